"""A soak of a fleet of real processes under faults from outside.

Usage: fleet_soak.py SEED [SECONDS [CONTROLS ENTRIES [disks]]]

Faults come in series and overlap: processes are killed, frozen, stopped and
restarted by signals; links between instances are cut, one way or both, lose or
delay messages; calls are reset or held back by a relay; disks are full or
wiped; servers crash, leave and are replaced, also at the address of another
service, or start again under the same id, and are cold then; data centres are
evacuated and return; another writer sends odd reports, configs, requests, packets and
messages all the while. With `disks`, the faults of control instances are series
of full disks, one after another, with restarts meanwhile. Ends with 1 and prints
every broken promise, and keeps the logs, when
one was broken. Not brought about: slow disks, and clocks, since the fleet uses
only the time since the machine's start.
"""
import functools
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "System"))
import evacuations  # noqa: E402
import fleet_processes  # noqa: E402
import fleet_traffic  # noqa: E402
import odd_writer  # noqa: E402
import relay  # noqa: E402
import warmups  # noqa: E402

START_S = 5.0
SETTLE_S = 9.0
RECOVERY_S = 4.0   # CatchUpS of the platform's deployments
ACK_LIMIT_S = 3.0  # ConfigApplyMs of the platform's deployments


class Soak:
    def __init__(self, seed, seconds, controls, entries, only_disks,
                 evacuates=True):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.fault_of_controls = (self.fill_disks_in_series if only_disks
                                  else self.fault_of_control)
        self.folder = tempfile.mkdtemp(prefix="fleet-soak-")
        network = fleet_processes.reserve_network(20 + seed % 200)
        self.fleet = fleet_processes.Fleet(network, self.folder, seed, controls,
                                           entries)
        self.relay = relay.Relay()
        for control in self.fleet.controls:
            self.relay.add(control.host, "%s:%d" % (
                control.host, fleet_processes.CALL_PORT), "%s:%d" % (
                    control.host, fleet_processes.CALL_REAL_PORT))
        self.traffic = fleet_traffic.Traffic(self.fleet, network + ".4.1",
                                             seed)
        self.operator = fleet_traffic.Operator(self.traffic, seed)
        self.evacuates = evacuates
        self.evacuations = evacuations.Evacuations(self.traffic, seed)
        self.traffic.opening_checks.append(self.evacuations.check_opening)
        self.warmups = warmups.Warmups(self.traffic)
        self.traffic.opening_checks.append(self.warmups.check_opening)
        self.odd_writer = odd_writer.OddWriter(self.fleet, network + ".4.2",
                                               seed)
        self.next_server = seed % 1000 * 65536 + 1
        self.actions = []  # (when, what)
        self.control_busy_until = 0.0
        self.series_end = 0.0  # of disks that are full one after another
        self.events = []

    def add_server(self, host_number, service, number=None,
                   warmup_s=warmups.DURATION_S):
        """Adds a server, or starts the one with `number` again."""
        if number is None:
            number = self.next_server
            self.next_server += 1
        host = "%s.3.%d" % (self.fleet.network, host_number)
        zone = evacuations.ZONES[host_number // 2 % len(evacuations.ZONES)]
        return fleet_traffic.Server(self.traffic, number, host, 9000, service,
                                    zone, warmup_s)

    def note(self, what):
        self.events.append("%.2f: %s" % (time.monotonic(), what))

    def later(self, delay, action):
        self.actions.append((time.monotonic() + delay, action))

    def impair(self, processes, seconds):
        until = time.monotonic() + seconds
        for process in processes:
            process.impaired_until = max(process.impaired_until, until)

    # Faults of processes. Each ends what it began by itself.

    def restart(self, process, down, wipe=False):
        self.impair([process], down + 1.0)
        process.kill()
        if wipe:
            process.wipe()
        self.later(down, process.start)

    def freeze(self, process, seconds):
        self.impair([process], seconds + 0.5)
        process.signal(signal.SIGSTOP)
        self.later(seconds, lambda: process.signal(signal.SIGCONT))

    def stop_gracefully(self, process):
        self.impair([process], 4.0)
        process.signal(signal.SIGTERM)

        def again():
            process.kill()
            process.start()
        self.later(3.0, again)

    def fill_disk(self, process, seconds):
        self.impair([process], seconds + 1.0)
        process.limit_files(True)
        self.later(seconds, lambda: process.limit_files(False))

    def fill_disks_in_series(self):
        """Each disk is full once, one after another; some processes are killed
        or stopped meanwhile, or as there is room again."""
        if time.monotonic() < self.control_busy_until:
            return
        begin = 0.0
        for process in self.random.sample(self.fleet.controls,
                                          len(self.fleet.controls)):
            seconds = self.random.uniform(0.3, 6.0)
            restart_at = self.random.choice([None, seconds / 2, seconds])
            number = self.random.choice([signal.SIGKILL, signal.SIGTERM])
            self.note("disk of %s is full from %.1f s on for %.1f s, restart %s"
                      % (process.host, begin, seconds, restart_at))
            self.later(begin, functools.partial(self.fill_disk, process,
                                                seconds))
            if restart_at is not None:
                self.later(begin + restart_at, functools.partial(
                    self.restart_by, process, number))
            begin += seconds + self.random.choice([0.0, 0.3, 4.0])
        self.control_busy_until = time.monotonic() + begin + 4.0
        self.series_end = time.monotonic() + begin

    def restart_by(self, process, number):
        self.impair([process], 2.0)
        process.signal(number)
        process.process.wait(5)
        process.start()

    def cut(self, process, seconds, share, one_way):
        everyone = [other.host for other in self.fleet.processes()]
        self.impair([process], seconds + 0.5)
        self.fleet.cut(process.host, everyone, share, one_way)
        self.later(seconds, lambda: self.fleet.cut(process.host, everyone, 0.0))

    def hold_calls(self, process, seconds):
        mode = self.random.choice(["silent", "reset"])
        self.impair([process], seconds + 0.5)
        self.relay.set([process.host], mode)
        self.later(seconds, lambda: self.relay.set([process.host], "pass"))

    def kill_all(self, processes):
        down = self.random.uniform(0.2, 1.0)
        self.control_busy_until = time.monotonic() + down + 6.0
        for process in processes:
            self.restart(process, down)

    def fault_of_control(self):
        """At most one control instance at a time, but for a kill of all."""
        if time.monotonic() < self.control_busy_until:
            return
        process = self.random.choice(self.fleet.controls)
        seconds = self.random.uniform(0.3, 4.0)
        self.control_busy_until = time.monotonic() + seconds + 4.0
        choice = self.random.randrange(9)
        self.note("control %s fault %d for %.1f s" % (process.host, choice,
                                                      seconds))
        if choice == 0:
            self.restart(process, seconds)
        elif choice == 1:
            self.restart(process, seconds, wipe=True)
        elif choice == 2:
            self.freeze(process, seconds)
        elif choice == 3:
            self.fill_disk(process, seconds)
        elif choice == 4:
            self.cut(process, seconds, 1.0, one_way=True)
        elif choice == 5:
            self.cut(process, seconds, 1.0, one_way=False)
        elif choice == 6:
            self.hold_calls(process, seconds)
        elif choice == 7:
            self.stop_gracefully(process)
        else:
            everybody = self.random.random() < 0.5
            self.kill_all(self.fleet.processes() if everybody
                          else self.fleet.controls)

    def fault_of_entry(self):
        process = self.random.choice(self.fleet.entries)
        seconds = self.random.uniform(0.3, 3.0)
        choice = self.random.randrange(6)
        self.note("entry %s fault %d for %.1f s" % (process.host, choice,
                                                    seconds))
        if choice == 0:
            self.restart(process, seconds)
        elif choice == 1:
            self.freeze(process, seconds)
        elif choice == 2:
            self.stop_gracefully(process)
        elif choice == 3:
            process.signal(signal.SIGHUP)
        elif choice == 4:
            self.cut(process, seconds, self.random.uniform(0.05, 1.0),
                     one_way=self.random.random() < 0.5)
        else:
            for other in self.fleet.processes():
                self.fleet.proxy.delay[(process.host, other.host)] = 0.05
            self.impair([process], seconds + 0.5)
            self.later(seconds, self.fleet.proxy.delay.clear)

    def fault_of_server(self):
        """A successor starts; the old one leaves or crashes. At times its
        address goes to another service, or it starts again by itself."""
        ready = [s for s in self.traffic.servers
                 if s.alive and s.state == "ready"]
        if len(ready) < 6:
            return
        server = self.random.choice(ready)
        host_number = int(server.host.split(".")[3])
        crash = self.random.random() < 0.4
        again = crash and self.random.random() < 0.6
        other = not again and self.random.random() < 0.5
        service = {"alpha": "beta", "beta": "alpha"}[server.service] \
            if other else server.service
        self.note("server %s %s" % (server.name, "starts again" if again else
                                    "crashes" if crash else "leaves"))

        def replace():
            server.end()
            down = self.random.uniform(0.3, 2.0) if again else 2.0
            number = server.number if again else None
            self.later(down, lambda: self.add_server(host_number, service,
                                                     number))
        if crash:
            replace()
        else:
            server.state = "draining"
            self.later(6.0, replace)

    def step(self):
        due = [item for item in self.actions if item[0] <= time.monotonic()]
        self.actions = [item for item in self.actions if item not in due]
        for _, action in due:
            action()
        self.check_processes()
        self.odd_writer.server_ids = [s.id for s in self.traffic.servers]

    def check_processes(self):
        for process in self.fleet.processes():
            status = process.own_end()
            if status is not None:
                self.traffic.violate("%s ended by itself with status %d" %
                                     (process.host, status))
                process.kill()
                process.start()

    def start(self):
        for process in self.fleet.processes():
            process.start(first_start=True)
        for i in range(10):
            self.add_server(i + 1, "alpha" if i % 2 else "beta", warmup_s=0.0)
        self.impair(self.fleet.processes(), START_S)
        self.traffic.opening = False
        self.traffic.start()
        self.operator.start()
        time.sleep(START_S)
        self.traffic.opening = True
        self.odd_writer.start()
        if self.evacuates:
            self.evacuations.start()

    def run(self):
        self.start()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self.random.choice([self.fault_of_controls, self.fault_of_entry,
                                self.fault_of_server])()
            pause = time.monotonic() + self.random.uniform(0.1, 1.2)
            while time.monotonic() < pause:
                self.step()
                time.sleep(0.02)
        self.settle()

    def settle(self):
        """Lets every fault end; then all must be as it should be."""
        end = max(time.monotonic() + SETTLE_S,
                  self.series_end + RECOVERY_S + ACK_LIMIT_S)
        while time.monotonic() < end or self.actions:
            self.step()
            time.sleep(0.02)
        last = self.operator.acked[-1][0] if self.operator.acked else 0.0
        if time.monotonic() - last > ACK_LIMIT_S:
            self.traffic.violate("at the end no version is accepted")
        self.odd_writer.running = False
        self.odd_writer.join(10)
        self.operator.running = False
        self.operator.join(10)
        self.end_evacuations()
        time.sleep(1.0)
        newest = self.operator.newest_before(time.monotonic())
        before = self.traffic.answered
        for entry in self.fleet.entries:
            version = self.operator.look(entry)
            if version < newest:
                self.traffic.violate("at the end %s has version %d, not %d" % (
                    entry.host, version, newest))
            if self.traffic.ready.get(entry.host, 2) > 0:
                self.traffic.violate("at the end %s is not ready" % entry.host)
        reads = [self.operator.read(control.host)
                 for control in self.fleet.controls]
        if max(reads) < newest:
            self.traffic.violate("at the end %d is read, not %d" % (max(reads),
                                                                    newest))
        time.sleep(1.0)
        if self.traffic.answered == before:
            self.traffic.violate("at the end nothing is answered")

    def end_evacuations(self):
        """Withdraws them all and waits until that has to be in force."""
        if not self.evacuates:
            return
        self.evacuations.running = False
        self.evacuations.join(10)
        self.evacuations.running = True
        self.evacuations.withdraw_all()
        time.sleep(evacuations.IN_FORCE_S)
        self.evacuations.check_withdrawn()

    def finish(self):
        self.odd_writer.running = False
        self.traffic.running = False
        self.operator.running = False
        self.evacuations.running = False
        self.traffic.join(2)
        self.fleet.stop()
        self.relay.close()


def main():
    seed = int(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    controls = int(sys.argv[3]) if len(sys.argv) > 3 else 4
    entries = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    soak = Soak(seed, seconds, controls, entries, sys.argv[5:] == ["disks"])
    try:
        soak.run()
    finally:
        soak.finish()
    traffic = soak.traffic
    print("seed %d: %d answers, %d flows unopened, %d refused, %d lost with "
          "their server, %d versions, %d violations" % (
              seed, traffic.answered, traffic.unopened, traffic.refused,
              traffic.lost, len(soak.operator.acked), len(traffic.violations)))
    print("odd input:", soak.odd_writer.sent)
    print("evacuation commands: %d accepted, evacuated data centres looked at "
          "%d times" % (soak.evacuations.accepted, soak.evacuations.checked))
    print("flows to cold servers: %d, at most %d in a second (allowed: %.1f)" %
          (soak.warmups.counted, soak.warmups.most, warmups.ALLOWED))
    if not traffic.violations:
        shutil.rmtree(soak.folder)
        return 0
    print("\n".join(sorted(soak.events + traffic.violations)))
    print("logs are kept in", soak.folder)
    return 1


if __name__ == "__main__":
    sys.exit(main())
