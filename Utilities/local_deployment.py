"""A small deployment on loopback: two data centres, four instances.

Three of the instances are control instances. An order and a look-up are sent
to different instances, and their answers are printed.
"""
import argparse
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

from deployment import Deployment, request  # noqa: E402


def check(name, answer, status, text):
    print("%s: %d %s" % (name, answer[0], answer[2].decode().strip()))
    return answer[0] == status and text in answer[2]


def show(deployment):
    instances = deployment.instances
    order = request(instances[1].http, "POST", "/orders",
                    {"Host": "catalogue", "Idempotency-Key": "order-1"},
                    b"20 planners")
    lookup = request(instances[4].http, "GET", "/stock/planner",
                     {"Host": "catalogue"})
    again = request(instances[3].http, "POST", "/orders",
                    {"Host": "catalogue", "Idempotency-Key": "order-1"},
                    b"20 planners")
    good = check("order", order, 200, b"20 planners")
    good &= check("look-up", lookup, 200, b"/stock/planner")
    good &= check("same order again, elsewhere", again, 200, b"20 planners")
    orders = [run for run in deployment.runs() if run[3] == "order-1"]
    print("the order ran %d time(s)" % len(orders))
    return good and len(orders) == 1


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--once", action="store_true")
    options = parser.parse_args()
    deployment = Deployment(ROOT / "run", curve=True)
    for number in range(1, 5):
        deployment.add(number, control=number <= 3,
                       data_centre="sofia-%d" % (1 + number // 3))
    try:
        deployment.start()
        deployment.submit(1)
        deployment.wait_ready()
        deployment.add_backends("catalogue", 3)
        deployment.wait_backends(3)
        good = show(deployment)
        if not options.once:
            print("up; callers' address: %s. Interrupt to end."
                  % deployment.instances[1].http)
            signal.sigwait([signal.SIGINT, signal.SIGTERM])
        return 0 if good else 1
    finally:
        deployment.close()


sys.exit(main())
