"""Checks that control instances which are stopped, for good or to be started
again, leave a fleet that tolerates the next loss."""
import concurrent.futures
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "Soak"))
import fleet_processes  # noqa: E402
from deployment import wait_until  # noqa: E402
from outside_input_test import START_LIMIT, SmallFleet  # noqa: E402

CATCH_UP_S = 4.0   # CatchUpS of the platform's deployments
GRACE_S = 6.0      # GracePeriodS of the platform's deployments
RECOVERY_S = 12.0  # RecoveryS of the platform's deployments
FOUNDERS = 3


class GrowingFleet(SmallFleet):
    """Starts with three control instances; `successors` are started later."""

    def __init__(self, folder, number, successors):
        network = fleet_processes.reserve_network(
            40 + (os.getpid() * 4 + number) % 120)
        self.fleet = fleet_processes.Fleet(network, folder, number,
                                           FOUNDERS + successors, 1)
        self.successors = self.fleet.controls[FOUNDERS:]
        del self.fleet.controls[FOUNDERS:]
        self.controls, self.entry = self.fleet.controls, self.fleet.entries[0]
        self.version = 0
        self.descriptors = None

    def add_successors(self):
        for process in self.successors:
            process.start()
            self.controls.append(process)
        time.sleep(CATCH_UP_S)

    def remove(self, process):
        """Stops an instance for good, with notice."""
        process.signal(signal.SIGTERM)
        process.process.wait(GRACE_S)
        self.controls.remove(process)

    def lose_disk(self, process):
        process.kill()
        process.wipe()
        process.start()

    def newest_version(self):
        """The newest version that any instance reads back; 0 if none does."""
        newest = 0
        for process in self.controls:
            status, body = self.call(process.host, "GET", "/api/Config.Describe")
            if status == 200:
                newest = max(newest, json.loads(body).get("Version", 0))
        return newest

    def accepts(self):
        return any(self.submit(c.host) == 200 for c in self.controls)

    def check(self, what):
        """Fails unless what was accepted is read back and a change is accepted."""
        accepted = self.version
        wait_until(lambda: self.newest_version() >= accepted, RECOVERY_S,
                   what + ": the newest version is read back")
        wait_until(self.accepts, RECOVERY_S, what + ": a change is accepted")


def play(number, successors, scenario):
    with tempfile.TemporaryDirectory(prefix="departure-") as folder:
        small = GrowingFleet(folder, number, successors)
        try:
            small.start()
            small.add_successors()
            scenario(small)
        finally:
            if "KEEP" in os.environ:
                for process in small.fleet.processes() + small.successors:
                    target = pathlib.Path(os.environ["KEEP"])
                    (target / process.host).write_text(process.log_text())
            for process in small.successors:
                process.kill()
            small.fleet.stop()


def replace_and_lose_disk(small, leader_leaves, pause):
    leaders = small.leader()
    others = [c for c in small.controls[:FOUNDERS] if c not in leaders]
    leaving, lost = (leaders[0], others[0]) if leader_leaves else (
        others[0], others[1])
    small.remove(leaving)
    wait_until(small.accepts, START_LIMIT, "a change after the removal")
    time.sleep(pause)
    small.lose_disk(lost)
    small.check("leader leaves: %s, disk lost %.1f s later" % (leader_leaves,
                                                              pause))


def lost_disk_after_a_planned_replacement_stops_no_change():
    """Guards against a voter that is replaced as planned, keeps its vote when it
    ends, and leaves too few voters for the next loss."""
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        plays = [pool.submit(play, number, 1,
                             lambda small, item=item:
                             replace_and_lose_disk(small, *item))
                 for number, item in enumerate([(False, 0.0), (True, 0.0),
                                                (False, 1.0), (True, 1.0)])]
        for item in plays:
            item.result()


def replace_all(small, gap):
    for process in small.controls[:FOUNDERS]:
        process.signal(signal.SIGTERM)
        time.sleep(gap)
    for process in small.controls[:FOUNDERS]:
        process.process.wait(GRACE_S)
        small.controls.remove(process)
    small.lose_disk(small.controls[0])
    small.check("all replaced, %.1f s apart" % gap)


def replacement_of_all_control_instances_stops_no_change():
    """Guards against the same when all are replaced, each as soon as the one
    before was stopped."""
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        plays = [pool.submit(play, number, FOUNDERS,
                             lambda small, gap=gap: replace_all(small, gap))
                 for number, gap in enumerate([0.0, 0.5])]
        for item in plays:
            item.result()


def stop_all(small):
    accepted = small.version
    for process in small.controls:
        process.signal(signal.SIGTERM)
    for process in small.controls:
        process.process.wait(GRACE_S)
        process.start()
    small.version = accepted
    small.check("all stopped and started")


def stop_of_all_control_instances_ends_and_starts_again():
    """Guards against instances that wait for each other when all are stopped."""
    play(0, 1, stop_all)


if __name__ == "__main__":
    globals()[sys.argv[1]]()
