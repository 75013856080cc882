"""Runs processes of two builds together, and each on data that the other wrote.

Usage: builds_test.py OLD NEW [TEST...]

OLD and NEW are `filbertwall` binaries. Not part of ctest, since a build of CI
has no older binary beside it. Guards against a change of a message, a stored
record or a setting that only a deployment of mixed versions shows.
"""
import contextlib
import pathlib
import sys
import tempfile

import deployment
from deployment import Deployment, request, wait_until

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "Soak"))
import fleet_processes  # noqa: E402
import fleet_soak  # noqa: E402
import warmups  # noqa: E402

IN_FORCE_LIMIT_S = 3.0
SOAK_SEED = 7
SOAK_S = 30
BUILDS = {}


def start(instance, build):
    deployment.BINARY = BUILDS[build]
    instance.build = build
    instance.start()


@contextlib.contextmanager
def instances(builds):
    """A deployment of one instance a build; the first three are control
    instances."""
    with tempfile.TemporaryDirectory() as folder:
        d = Deployment(pathlib.Path(folder) / "run")
        for index, _ in enumerate(builds):
            instance = d.add(index + 1, control=index < 3,
                             data_centre="dc-%d" % (1 + index // 2))
            instance.extra = "[instance]\norder_memory = 30s"
        d.configure()
        deployment.BINARY = BUILDS[builds[0]]
        deployment.subprocess.run(
            [deployment.BINARY, "format", str(d.instances[1].settings)],
            check=True, capture_output=True)
        try:
            for build, instance in zip(builds, d.instances.values()):
                start(instance, build)
            d.wait_for_voters()
            yield d
        finally:
            d.close()


def data_folder():
    """Each build opens what the other wrote and submits one more version."""
    with instances(["old"] * 4) as d:
        d.submit(1)
        d.wait_in_force(1, 5)
        version = 1
        for build in ["new", "old", "new"]:
            for instance in d.instances.values():
                assert instance.stop() == 0, instance.number
            for instance in d.instances.values():
                start(instance, build)
            d.wait_for_voters()
            d.wait_in_force(version, 10)
            version += 1
            d.submit(version)
            d.wait_in_force(version, IN_FORCE_LIMIT_S)
            older = d.instances[1].submit(d.rules(1, "# other\n", "older"))
            assert older.returncode != 0, older
            print("  %s: version %d read, version %d accepted" % (
                build, version - 1, version))


def order(instance, key):
    return request(instance.http, "POST", "/orders",
                   {"Host": "catalogue", "Idempotency-Key": key},
                   "payload-" + key)


def orders_run_once(d, prefix):
    """An order and its copy at an instance of the other build."""
    keys = []
    running = [i for i in d.instances.values() if i.process]
    for first in running:
        for second in running:
            if first.build == second.build:
                continue
            key = "%s-%d-%d" % (prefix, first.number, second.number)
            keys.append(key)
            answer, again = order(first, key), order(second, key)
            assert answer[0] == 200 and again[0] == 200, (answer, again)
            assert answer[2] == again[2], (answer, again)
    names = [run[3] for run in d.runs()]
    assert all(names.count(key) == 1 for key in keys), names
    return len(keys)


def restart(d, instance):
    """Starts an instance that was killed and waits until it has pulled the
    records of orders. Two recorders that restart at once lose records that no
    other has, and answer "unknown" until the retention has passed."""
    start(instance, instance.build)
    d.wait_for_voters()
    wait_until(lambda: (instance.dump() or {}).get("order_amnesia") is False,
               10, "instance %d has pulled the records" % instance.number)


def leader_of(d, build):
    """Restarts leaders until one of the given build leads."""
    for _ in range(20):
        leader = wait_until(d.leader, 10, "a leader")
        if leader.build == build:
            return leader
        leader.kill()
        wait_until(d.leader, 10, "another leader")
        restart(d, leader)
    raise AssertionError("no leader of the build %s" % build)


def mixed_deployment():
    """Half of the instances are old, half new; each build leads once."""
    with instances(["old", "new", "old", "new"]) as d:
        d.submit(1)
        d.wait_ready()
        d.add_backends("catalogue", 4)
        d.wait_backends(4)
        version = 1
        for build in ["old", "new"]:
            leader = leader_of(d, build)
            d.wait_ready()
            d.wait_backends(4)
            count = orders_run_once(d, build)
            version += 1
            d.submit(version)
            d.wait_in_force(version, IN_FORCE_LIMIT_S)
            lost = next(i for i in d.instances.values()
                        if i.control and i.build == build)
            lost.kill()
            wait_until(d.leader, 10, "a leader without instance %d" %
                       lost.number)
            version += 1
            d.submit(version)
            restart(d, lost)
            d.wait_in_force(version, IN_FORCE_LIMIT_S)
            print("  leader %d (%s): %d orders and their copies ran once, "
                  "versions %d and %d in force; control instance %d was "
                  "killed and came back" % (leader.number, build, count,
                                            version - 1, version,
                                            lost.number))


def play_fleet(build_of, check_warmup):
    """Plays the soak with the build that `build_of` names for each start of a
    process. `check_warmup`: holds the flows that the new build sends to cold
    servers to the limit. Without evacuations, which builds before 0.10 do not
    know."""
    original = fleet_processes.Process.start
    starts = {"old": 0, "new": 0}
    running = {}  # host -> build

    def start(process, first_start=False):
        build = build_of(process)
        starts[build] += 1
        running[process.host] = build
        fleet_processes.BINARY = BUILDS[build]
        original(process, first_start)

    fleet_processes.Process.start = start
    try:
        soak = fleet_soak.Soak(SOAK_SEED, SOAK_S, 4, 4, only_disks=False,
                               evacuates=False)
        check = soak.warmups.check_opening
        soak.traffic.opening_checks.remove(check)
        if not check_warmup:
            warmups.SERVICE_FIELDS.clear()
        else:
            soak.traffic.opening_checks.append(
                lambda server, sender: running.get(sender) == "new" and
                check(server, sender))
        try:
            soak.run()
        finally:
            soak.finish()
        assert not soak.traffic.violations, soak.traffic.violations[:10]
        assert min(starts.values()) >= 4, starts
        print("  starts: %(old)d old, %(new)d new" % starts,
              "and %d flows answered" % soak.traffic.answered)
        if check_warmup:
            print("  %d flows of the new build to cold servers, at most %d in a "
                  "second" % (soak.warmups.counted, soak.warmups.most))
    finally:
        fleet_processes.Process.start = original


def alternate(process):
    number = int(process.host.rsplit(".", 1)[1])
    return ["old", "new"][(number + process.boots) % 2]


def mixed_fleet():
    """The soak, with a build that changes at each start of a process, so that
    saved rules, votes and registries are read by the other build. Without
    limits for cold servers: control instances of builds before 0.10 refuse
    rules that hold them."""
    play_fleet(alternate, check_warmup=False)


def mixed_entry_instances():
    """The same with control instances of the new build only: entry instances of
    the new build keep the limit for cold servers beside older ones."""
    def build_of(process):
        is_control = process.host.split(".")[2] == "1"
        return "new" if is_control else alternate(process)
    play_fleet(build_of, check_warmup=True)


TESTS = [data_folder, mixed_deployment, mixed_entry_instances, mixed_fleet]


def main():
    if len(sys.argv) < 3:
        print(__doc__)
        return 2
    BUILDS["old"], BUILDS["new"] = sys.argv[1:3]
    names = sys.argv[3:] or [test.__name__ for test in TESTS]
    for test in TESTS:
        if test.__name__ in names:
            test()
            print("%s: passed" % test.__name__)
    return 0


if __name__ == "__main__":
    sys.exit(main())
