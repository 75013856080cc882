"""Checks that disks of control instances that are full one after another stop
changes of the configuration only while they are full.

Each test plays rounds of several small fleets at the same time. An operator
submits a version after the other throughout.
"""
import concurrent.futures
import http.client
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "Soak"))
import fleet_processes  # noqa: E402
from deployment import wait_until  # noqa: E402
from fleet_processes import CALL_REAL_PORT  # noqa: E402
from outside_input_test import (START_LIMIT, SmallFleet,  # noqa: E402
                                is_sanitized)

RECOVERY_S = 4.0      # CatchUpS of the platform's deployments
IN_FORCE_S = 3.0      # ConfigApplyMs of the platform's deployments
ANSWER_S = 2.0        # each call is answered by then, also while disks are full
AFTER_S = 3.0         # time in which each submission after the series counts
PAUSE_S = 0.04        # between two submissions
FLEETS_AT_ONCE = 4


class DisksFleet(SmallFleet):
    def __init__(self, folder, number, controls):
        network = fleet_processes.reserve_network(
            100 + (os.getpid() * 4 + number) % 120)
        self.fleet = fleet_processes.Fleet(network, folder, number, controls, 1)
        self.controls, self.entry = self.fleet.controls, self.fleet.entries[0]
        self.version = 0
        self.descriptors = None

    def submit(self, host=None):
        """Submits until a version is accepted: at the start of five instances
        the voters still change."""
        wait_until(lambda: super(DisksFleet, self).submit(host) == 200,
                   RECOVERY_S, "a version is accepted")
        return 200


class Operator(threading.Thread):
    """Submits one version after the other, each to the next control instance."""

    def __init__(self, small):
        super().__init__(daemon=True)
        self.small = small
        self.running = True
        self.acked = 0        # newest acknowledged version
        self.sent = []        # (sent at, version, status, seconds, host)
        self.unanswered = []  # the same, of those without any answer in time

    def submit(self, host, version):
        """Status, and the time it took; status 0 when the connection ended, -1
        when no answer came in time."""
        begin = time.monotonic()
        body = json.dumps(self.small.document(version))
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, CALL_REAL_PORT,
                                                        timeout=ANSWER_S)
                connection.request("POST", "/api/Config.Replace", body)
                answer = connection.getresponse()
                answer.read()
                connection.close()
            except TimeoutError:
                return -1, time.monotonic() - begin
            except (OSError, http.client.HTTPException):
                return 0, time.monotonic() - begin
            if answer.status != 307:
                return answer.status, time.monotonic() - begin
            host = urllib.parse.urlparse(answer.getheader("Location")).hostname
        return 307, time.monotonic() - begin

    def run(self):
        turn = 0
        while self.running:
            host = self.small.controls[turn % len(self.small.controls)].host
            turn += 1
            self.small.version += 1
            version = self.small.version
            at = time.monotonic()
            status, seconds = self.submit(host, version)
            self.sent.append((at, version, status, seconds, host))
            if status == 200:
                self.acked = version
            if status == -1:
                self.unanswered.append(self.sent[-1])
            time.sleep(PAUSE_S)


def restart(process, number):
    process.signal(number)
    process.process.wait(5)
    process.start()


def fill_once(process, seconds, fault, luck):
    """Lets one disk be full for some seconds. `fault` says what else happens to
    the process meanwhile."""
    log = process.folder / "control.log"
    if fault == "torn" and log.exists():
        process.limit_files(True, log.stat().st_size + luck.randrange(400))
        time.sleep(min(0.2, seconds / 2))
        seconds -= min(0.2, seconds / 2)
    process.limit_files(True)
    time.sleep(seconds / 2)
    if fault == "kill":
        restart(process, signal.SIGKILL)
    if fault == "term":
        restart(process, signal.SIGTERM)
    time.sleep(seconds / 2)
    process.limit_files(False)
    if fault == "kill_after":
        restart(process, signal.SIGKILL)


def in_series(small, seconds, gap, fault, luck):
    """Lets each disk be full once, that of the leader first."""
    leaders = small.leader()
    others = [c for c in small.controls if c not in leaders]
    for process in leaders + others:
        fill_once(process, seconds, fault, luck)
        time.sleep(gap)


def read_version(small, host):
    status, body = small.call(host, "GET", "/api/Config.Get")
    return json.loads(body).get("Version", 0) if status == 200 else 0


def check_after(small, operator, room_at, what):
    """Fails unless each submission after the recovery bound is acknowledged, and
    what was acknowledged is in force and is read back."""
    time.sleep(max(0.0, room_at + RECOVERY_S - time.monotonic()))
    begin = time.monotonic()
    time.sleep(AFTER_S)
    for sent in [s for s in operator.sent if s[0] >= begin]:
        assert sent[2] == 200, "%s: %.1f s after room: %s" % (
            what, sent[0] - room_at, sent[1:])
    newest = operator.acked
    wait_until(lambda: (small.in_force() or 0) >= newest, IN_FORCE_S,
               lambda: "%s: version %d in force: %s" % (what, newest,
                                                        small.in_force()))
    assert not operator.unanswered, "%s: no answer: %s" % (
        what, [s[1:] for s in operator.unanswered])
    ended = [c.host for c in small.fleet.processes() if not c.alive()]
    assert not ended, "%s: ended: %s" % (what, ended)


def play(number, controls, rounds):
    """Plays rounds of (seconds, gap, fault) in one fleet; returns what broke."""
    with tempfile.TemporaryDirectory(prefix="disks-") as folder:
        small = DisksFleet(folder, number, controls)
        luck = random.Random(number)
        operator = Operator(small)
        broken = []
        try:
            small.start()
            operator.start()
            for seconds, gap, fault in rounds:
                what = "%d control instances, full for %.1f s, gap %.1f s, %s" \
                    % (controls, seconds, gap, fault)
                in_series(small, seconds, gap, fault, luck)
                room_at = time.monotonic()
                try:
                    check_after(small, operator, room_at, what)
                except AssertionError as error:
                    broken.append(str(error))
                operator.unanswered.clear()
        except AssertionError as error:
            broken.append("%d control instances: %s" % (controls, error))
        finally:
            operator.running = False
            if operator.is_alive():
                operator.join(10)
            if broken and "KEEP" in os.environ:
                target = pathlib.Path(os.environ["KEEP"]) / str(number)
                target.mkdir(parents=True, exist_ok=True)
                for process in small.fleet.processes():
                    (target / process.host).write_text(process.log_text())
            small.fleet.stop()
        return broken


def play_all(fleets):
    with concurrent.futures.ThreadPoolExecutor(FLEETS_AT_ONCE) as pool:
        results = list(pool.map(lambda item: play(*item),
                                [(i,) + fleet for i, fleet in
                                 enumerate(fleets)]))
    broken = [text for result in results for text in result]
    assert not broken, "\n".join(broken)


def disks_full_in_series_stop_changes_only_while_they_are_full():
    play_all([(3, [(0.3, 0.0, "none"), (2.0, 0.5, "none"), (4.0, 0.0, "none")]),
              (4, [(0.5, 0.2, "none"), (3.5, 0.0, "none")]),
              (5, [(1.0, 0.0, "none"), (3.5, 1.0, "none")]),
              (3, [(6.0, 4.0, "none")])])


def disks_full_in_series_beside_restarts_stop_no_later_change():
    play_all([(3, [(2.0, 0.0, "kill"), (1.0, 0.0, "kill_after"),
                   (4.0, 0.0, "term")]),
              (4, [(4.0, 0.0, "kill"), (1.0, 0.5, "term")]),
              (5, [(1.0, 0.0, "term"), (4.0, 0.0, "kill")]),
              (3, [(4.0, 0.5, "kill"), (3.5, 0.0, "kill_after")])])


def disks_full_in_the_middle_of_a_record_stop_no_later_change():
    play_all([(3, [(0.5, 0.0, "torn"), (2.0, 0.5, "torn"),
                   (4.0, 0.0, "torn")]),
              (4, [(0.5, 0.2, "torn"), (3.5, 0.0, "torn")]),
              (5, [(1.0, 0.0, "torn"), (3.5, 0.5, "torn")])])


RESTORED = "FW-2007"     # the event of a disk that works again
CORRUPT = "FW-2005"      # the event of a log that can't be read
MEMORY_KB = 260 * 1024   # MemoryMb of a control instance in the deployments


def instance_whose_disk_is_full_takes_part_only_once_there_is_room():
    with tempfile.TemporaryDirectory(prefix="disks-") as folder:
        small = DisksFleet(folder, 0, 3)
        try:
            small.start()
            process = small.controls[0]
            for at_start in (False, True):
                before = process.log_text().count(RESTORED)
                process.limit_files(True)
                if at_start:
                    restart(process, signal.SIGKILL)
                end = time.monotonic() + 3.0
                while time.monotonic() < end:
                    small.submit(small.controls[1].host)
                    time.sleep(0.05)
                assert process.log_text().count(RESTORED) == before
                process.limit_files(False)
                wait_until(lambda: process.log_text().count(RESTORED) ==
                           before + 1, 1.0, "the disk is used again")
            small.submit()
        finally:
            small.fleet.stop()


def write_garbage(process, name, size):
    block = os.urandom(1 << 20)
    with open(process.folder / name, "wb") as file:
        for _ in range(size >> 20):
            file.write(block)


def flip_first_record(process):
    log = process.folder / "control.log"
    data = bytearray(log.read_bytes())
    data[20] ^= 0x40
    log.write_bytes(data)


def repeat_log(process, size):
    log = process.folder / "control.log"
    data = log.read_bytes()
    with open(log, "wb") as file:
        for _ in range(size // len(data)):
            file.write(data)


def check_stored_state(small, process, says):
    """Fails unless the process runs within its memory, its log says what it
    found, and a new version gets into force."""
    other = small.controls[1].host
    wait_until(lambda: says in process.log_text(), START_LIMIT, says)
    small.submit(other)
    wait_until(lambda: small.in_force() == small.version, IN_FORCE_S,
               "in force")
    assert all(p.alive() for p in small.fleet.processes())
    status = pathlib.Path("/proc/%d/status" % process.process.pid).read_text()
    peak = int(status.split("VmHWM:")[1].split()[0])
    assert is_sanitized() or peak < MEMORY_KB, "%d kB, %s" % (peak, says)


def damaged_stored_state_ends_no_process_and_hides_no_later_version():
    # A long valid log shows the use of memory, which sanitizers hide.
    valid_bytes = (20 if is_sanitized() else 200) << 20
    damages = [
        (lambda p: write_garbage(p, "servers.saved", 1 << 20), "is set aside"),
        (lambda p: write_garbage(p, "servers.saved", 200 << 20),
         "is set aside"),
        (lambda p: repeat_log(p, valid_bytes), "FW-1001"),
        (flip_first_record, CORRUPT),
        (lambda p: write_garbage(p, "control.log", 200 << 20), CORRUPT)]
    with tempfile.TemporaryDirectory(prefix="disks-") as folder:
        small = DisksFleet(folder, 0, 3)
        try:
            small.start()
            other = small.controls[1].host
            for damage, says in damages:
                for _ in range(3):
                    small.submit(other)
                process = small.controls[0]
                process.kill()
                damage(process)
                (small.fleet.folder / (process.host + ".log")).unlink()
                process.start()
                check_stored_state(small, process, says)
                if says == CORRUPT:
                    process.kill()
                    process.wipe()
                    process.start()
                    time.sleep(2.0)
        finally:
            small.fleet.stop()


def series(seed):
    """Random series, by hand; not in the default run."""
    luck = random.Random(seed)
    faults = ["none", "kill", "term", "torn", "kill_after"]
    play_all([(luck.choice([3, 4, 5]),
               [(luck.uniform(0.3, 6.0), luck.choice([0, 0.3, 1.0, 4.0]),
                 luck.choice(faults)) for _ in range(3)])
              for _ in range(FLEETS_AT_ONCE)])


if __name__ == "__main__":
    if sys.argv[1] == "series":
        series(int(sys.argv[2]))
    else:
        globals()[sys.argv[1]]()
