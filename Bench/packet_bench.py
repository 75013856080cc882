"""Compares packets per second of a real instance and a plain relay.

Prints a line per measurement: path, flows, packets per second (median of 5).
Usage: packet_bench.py [SECONDS]
"""
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

from deployment import Deployment, request  # noqa: E402

LOAD = os.environ.get("PACKET_LOAD",
                      str(ROOT / "build/release/Bench/packet_load"))


def rate(target, receiver, flows, seconds):
    result = subprocess.run(
        [LOAD, "send", target, receiver, str(flows), str(seconds)],
        capture_output=True, text=True, check=True)
    return float(result.stdout)


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    flows = 50000
    with tempfile.TemporaryDirectory() as folder:
        d = Deployment(pathlib.Path(folder) / "run")
        instance = d.add(1, control=True)
        receiver = "%s.200:9000" % d.network
        relay_address = "%s.201:6081" % d.network
        relay = subprocess.Popen([LOAD, "relay", relay_address, receiver])
        try:
            d.start()
            d.submit(1)
            d.wait_ready()
            body = json.dumps({"service": "proof", "address": receiver,
                               "slots": 9, "phase": "READY", "sequence": "1"})
            request(instance.announce, "POST", "/announce", body=body)
            through, bare = [], []
            for _ in range(5):
                through.append(rate(instance.packet, receiver, flows, seconds))
                bare.append(rate(relay_address, receiver, flows, seconds))
                time.sleep(0.2)
            print("path,flows,packets_per_second,least,most")
            for name, values in (("instance", through), ("bare relay", bare)):
                print("%s,%d,%.0f,%.0f,%.0f" % (
                    name, flows, statistics.median(values), min(values),
                    max(values)))
            ratios = [a / b for a, b in zip(through, bare)]
            print("ratio,%d,%.2f,%.2f,%.2f" % (
                flows, statistics.median(ratios), min(ratios), max(ratios)))
        finally:
            relay.kill()
            relay.wait()
            d.close()


main()
