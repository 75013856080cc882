"""A rolling restart of two entry machines while a server drains.

The ids of two servers of a service differ, but end in the same 8 hex digits.
"""
import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import (Deployment, Operator, Record, HEARTBEAT_MS,  # noqa: E402
                        ZONES, route, service)
from flows import Consumer, Router, Server  # noqa: E402

FLOWS = 10
DRAIN_S = 9.0           # the server reports that it drains
FIRST_STOP_S = 10.0     # SIGTERM to the first entry machine of the zone
SECOND_STOP_S = 15.0    # and to the second one
LAST_REQUEST_S = 18.0   # a pause of 11 s on each flow; 15 s are allowed
GRACE_S = 6.0


def wait_until(record, at):
    time.sleep(max(0.0, at - record.now()))


def restart(machine, record):
    """Stops a machine as planned work does, and starts it again."""
    record.write("planned: SIGTERM to %s" % machine.ip)
    machine.send(signal.SIGTERM)
    try:
        machine.process.wait(GRACE_S)
    except Exception:
        machine.kill()
    time.sleep(0.2)
    machine.start()
    record.write("planned: %s is started again" % machine.ip)


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    deployment = Deployment(record)
    # Both entry machines of this case are in the consumer's zone.
    deployment.entry = deployment.entry[:2]
    for machine in deployment.entry:
        machine.zone = ZONES[0]
    operator = Operator(deployment)
    target = ("127.198.0.1", 8080)
    operator.content = lambda version: (
        [route(target[0], "salon", port=target[1])], [service("salon")])
    try:
        deployment.start()
        if not operator.change(until=5.0):
            record.write("result: the first config was not accepted")
            return 2
        router = Router(deployment.entry, record)
        hosts = [machine.ip for machine in deployment.control]
        servers = []
        for i, name in enumerate(("i-017f3a91c2", "i-027f3a91c2")):
            servers.append(Server(name, "salon", ZONES[0],
                                  ("%s.1.%d" % (deployment.prefix, i + 1),
                                   8400), hosts, record))
            if not servers[i].report():
                record.write("result: a report was not acknowledged")
                return 2
            servers[i].start_reports(HEARTBEAT_MS / 1000)
            time.sleep(0.5)
        wait_until(record, 6.0)
        consumer = Consumer("%s.2.1" % deployment.prefix, router, record)
        flows = [consumer.flow(40001 + i, target) for i in range(FLOWS)]
        opened = [flow for flow in flows if flow.open() and
                  flow.request("request-1-%d" % flow.source[1])]
        if len(opened) < FLOWS:
            record.write("result: only %d flows were opened" % len(opened))
            return 2
        wait_until(record, DRAIN_S)
        if not next(s for s in servers
                    if s.address[0] == opened[0].server).drain():
            return 2
        if trouble:
            for at, machine in zip((FIRST_STOP_S, SECOND_STOP_S),
                                   deployment.entry):
                wait_until(record, at)
                threading.Thread(target=restart, args=(machine, record),
                                 daemon=True).start()
        wait_until(record, LAST_REQUEST_S)
        threads = [threading.Thread(target=flow.request,
                                    args=("request-2-%d" % flow.source[1],))
                   for flow in opened]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        answered = sum(1 for flow in opened if flow.answer)
        broken = consumer.foreign_resets
        record.write("result: of %d open flows %d were answered, %d were reset "
                     "by a server that isn't theirs: %s" %
                     (len(opened), answered, broken,
                      "broken" if broken else "held"))
        if not broken and answered < len(opened):
            return 2  # Silence breaks no rule, but wasn't to be expected.
        return 1 if broken else 0
    finally:
        deployment.close()


try:
    status = main()
except Exception as error:  # The case couldn't run.
    print(error, file=sys.stderr)
    status = 2
sys.stdout.flush()
os._exit(status)
