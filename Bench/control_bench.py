"""Measures rules activation time, leader changes and bytes on real processes.

Eight instances (three control), 18 backend servers. Prints one line per
figure: name, count, median, p99, maximum, unit.
Usage: control_bench.py [CHANGES]
"""
import datetime
import pathlib
import re
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import relay as relays  # noqa: E402
from deployment import Deployment, wait_until  # noqa: E402

PAUSE = 0.06  # Above this rate the log leaves records out.
LINE = re.compile(r"^(\S+ \S+) FW-(\d+) \S+ instance=\d+ (.*)$")


def events(deployment, number):
    """Returns (time, event, text) of each log record of an instance."""
    text = (deployment.folder / ("log-%d.txt" % number)).read_text()
    found = []
    for line in text.splitlines():
        match = LINE.match(line)
        if match:
            moment = datetime.datetime.fromisoformat(match.group(1))
            found.append((moment.timestamp(), int(match.group(2)),
                          match.group(3)))
    return found


def report(name, values, unit):
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print("%s,%d,%.2f,%.2f,%.2f,%s" % (
        name, len(ordered), statistics.median(ordered), p99, ordered[-1],
        unit), flush=True)


def in_force_times(deployment, versions, instances):
    """Returns, per version, the ms from first to last instance in force."""
    times = {}
    for number in instances:
        for moment, event, text in events(deployment, number):
            match = re.match(r"version (\d+) from", text)
            if event == 2010 and match and int(match.group(1)) in versions:
                times.setdefault(int(match.group(1)), []).append(moment)
    return [1000 * (max(t) - min(t)) for t in times.values()
            if len(t) == len(instances)]


def submit_many(deployment, first, count):
    leader = deployment.leader()
    took = []
    for version in range(first, first + count):
        path = deployment.rules(version, name="bench")
        started = time.monotonic()
        wait_until(lambda: leader.submit(path).returncode == 0, 20, "accepted")
        took.append(1000 * (time.monotonic() - started))
        time.sleep(PAUSE)
    return took


def bytes_sent(deployment):
    total = {}
    for instance in deployment.instances.values():
        for name, count in instance.dump()["counters"].items():
            if name.startswith("bytes_sent_"):
                kind = name[len("bytes_sent_"):]
                total[kind] = total.get(kind, 0) + int(count)
    return total


def measure_bytes(deployment, name, seconds, work):
    before = bytes_sent(deployment)
    started = time.monotonic()
    work()
    time.sleep(max(0.0, seconds - (time.monotonic() - started)))
    took = time.monotonic() - started
    after = bytes_sent(deployment)
    share = len(deployment.instances) * took
    for kind in sorted(after):
        rate = (after[kind] - before.get(kind, 0)) / share
        print("%s.%s,1,%.1f,,,bytes/s an instance" % (name, kind, rate))
    whole = sum(after.values()) - sum(before.values())
    print("%s.all,1,%.1f,,,bytes/s an instance" % (name, whole / share),
          flush=True)


def main():
    changes = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    with tempfile.TemporaryDirectory() as folder:
        d = Deployment(pathlib.Path(folder) / "run")
        for number in range(1, 9):
            d.add(number, control=number <= 3)
        relay = relays.Relay()
        relay.connect(d)
        try:
            d.start()
            d.submit(1)
            d.wait_ready()
            d.add_backends("catalogue", 14)
            d.add_backends("proof", 4, first_host=20)
            d.wait_backends(18)
            print("figure,count,median,p99,most,unit")
            time.sleep(3)
            measure_bytes(d, "bytes.steady", 10, lambda: None)
            took = []
            measure_bytes(d, "bytes.changes", 0, lambda: took.extend(
                submit_many(d, 2, changes)))
            report("submit_command", took, "ms")
            d.wait_in_force(changes + 1, 5)
            report("first_to_last_in_force", in_force_times(
                d, set(range(2, changes + 2)), list(d.instances)), "ms")
            measure_cut(d, relay, changes + 2)
            measure_leader_change(d)
        finally:
            d.close()
            relay.close()


def measure_cut(deployment, relay, first):
    """Isolates instance 8 and measures when it catches up afterwards."""
    rest = [n for n in deployment.instances if n != 8]
    relay.set(relays.links_between([8], rest), "silent")
    submit_many(deployment, first, 20)
    report("in_force_during_cut", in_force_times(
        deployment, set(range(first, first + 20)), rest), "ms")
    healed = time.monotonic()
    relay.set(list(relay.links), "pass")
    deployment.wait_in_force(first + 19, 10, [deployment.instances[8]])
    report("in_force_after_cut", [1000 * (time.monotonic() - healed)], "ms")


def measure_leader_change(deployment):
    took = []
    for _ in range(7):
        leader = deployment.leader()
        killed = time.time()
        leader.kill()
        wait_until(deployment.leader, 10, "another leader")
        elected = [moment for number in (1, 2, 3)
                   for moment, event, _ in events(deployment, number)
                   if event == 2001 and moment > killed]
        took.append(1000 * (min(elected) - killed))
        leader.start()
        deployment.wait_for_voters()
        time.sleep(1)
    report("leader_change", took, "ms")


main()
