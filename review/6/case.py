"""Two losses of one disk each, 9 s apart, while configs are accepted."""
import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import (Deployment, Operator, Record, route,  # noqa: E402
                        service)

CHANGE_INTERVAL_S = 0.17    # two operators, a change each 0.33 s
CHANGES_FROM_S, CHANGES_UNTIL_S = 5.0, 20.0
FIRST_LOSS_S, SECOND_LOSS_S = 7.0, 16.0
DOWN_S = 1.0
READS_FROM_S, READS_UNTIL_S = 22.0, 50.0


def content(version):
    routes = [route("127.198.0.%d" % i, "salon") for i in range(1, 101)]
    routes[0]["TimeoutMs"] = 1000 + version % 500
    return routes, [service("salon"), service("videoteca")]


def send_changes(operator, record):
    """Two operators take turns; each change has a thread, eight at most."""
    room = threading.Semaphore(8)

    def send():
        operator.change(CHANGES_UNTIL_S + 2)
        room.release()

    due = CHANGES_FROM_S
    while due < CHANGES_UNTIL_S:
        time.sleep(max(0.0, due - record.now()))
        room.acquire()
        threading.Thread(target=send, daemon=True).start()
        due += CHANGE_INTERVAL_S


def lose_disk(deployment, operator, record, already_lost):
    """The disk of a machine that doesn't lead, drawn among the others."""
    _, leader = operator.read(0)
    for machine in deployment.control:
        if machine.ip != leader and machine.ip not in already_lost:
            break
    record.write("loss: %s is killed, its disk is lost (leader %s)" %
                 (machine.ip, leader))
    machine.kill()
    machine.lose_disk()
    time.sleep(DOWN_S)
    machine.start()
    record.write("loss: %s is back with an empty disk" % machine.ip)
    already_lost.append(machine.ip)


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    deployment = Deployment(record)
    operator = Operator(deployment)
    operator.content = content
    try:
        deployment.start()
        if not operator.change(until=CHANGES_FROM_S):
            record.write("result: the first config was not accepted")
            return 2
        threading.Thread(target=send_changes, args=(operator, record),
                         daemon=True).start()
        lost = []
        for at in (FIRST_LOSS_S, SECOND_LOSS_S) if trouble else ():
            time.sleep(max(0.0, at - record.now()))
            lose_disk(deployment, operator, record, lost)
        time.sleep(max(0.0, READS_FROM_S - record.now()))
        acknowledged = operator.acknowledged
        turn, read = 0, None
        while record.now() < READS_UNTIL_S and read is None:
            read, _ = operator.read(turn)
            turn += 1
            time.sleep(0.2)
        running = [machine.ip for machine in deployment.control
                   if machine.process.poll() is None]
        record.write("running: " + " ".join(running))
        broken = read is None or read < acknowledged
        record.write("result: acknowledged version %d, read back %s: %s" %
                     (acknowledged, read, "broken" if broken else "held"))
        return 1 if broken else 0
    finally:
        deployment.close()


try:
    status = main()
except Exception as error:  # The case couldn't run.
    print(error, file=sys.stderr)
    status = 2
sys.exit(status)
