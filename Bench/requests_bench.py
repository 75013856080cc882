"""Measures requests under load: real instances, 14 servers, 3 slots, 50 ms.

Callers send at a fixed rate regardless of replies: half lookups (interactive,
deadline 1.5 s), half orders with keys (bulk, deadline 1.5 s). Prints a line per
load: kind, offered share of capacity, sent, goodput share, p50, p99, outcomes.
Usage: requests_bench.py [SECONDS]
"""
import asyncio
import pathlib
import random
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

from deployment import temporary_deployment  # noqa: E402

SERVERS, SLOTS, SERVICE_S = 14, 3, 0.05
CAPACITY = SERVERS * SLOTS / SERVICE_S


async def send(address, head, results, kind):
    host, port = address.split(":")
    started = time.monotonic()
    outcome = "broke"
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 4)
        writer.write(head)
        answer = await asyncio.wait_for(reader.read(), 4)
        writer.close()
        for name in (b"complete", b"not-run", b"unknown"):
            if b"Filbertwall-Outcome: " + name in answer:
                outcome = name.decode()
    except (OSError, asyncio.TimeoutError):
        pass
    ended = time.monotonic()
    results[kind].append((outcome, 1000 * (ended - started), ended))


async def offer(addresses, share, seconds, chance):
    results = {"look-up": [], "order": []}
    tasks = []
    started = time.monotonic()
    count = int(share * CAPACITY * seconds)
    for i in range(count):
        wait = started + i / (share * CAPACITY) - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        kind = "look-up" if i % 2 else "order"
        line = "GET /stock/x" if i % 2 else "POST /orders"
        extra = "" if i % 2 else (
            "Idempotency-Key: %.2f-%d\r\nContent-Length: 0\r\n" % (share, i))
        head = "%s HTTP/1.1\r\nHost: catalogue\r\nConnection: close\r\n%s\r\n" \
            % (line, extra)
        tasks.append(asyncio.create_task(send(
            chance.choice(addresses), head.encode(), results, kind)))
    over = time.monotonic()
    await asyncio.gather(*tasks)
    # Goodput counts only requests completed while load was still offered.
    done = sum(1 for values in results.values() for outcome, _, ended in values
               if outcome == "complete" and ended <= over)
    return results, over - started, done


def report(results, share, sending, done):
    for kind, values in results.items():
        good = sorted(ms for outcome, ms, _ in values if outcome == "complete")
        counts = {name: sum(1 for outcome, _, _ in values if outcome == name)
                  for name in ("complete", "not-run", "unknown", "broke")}
        print("%s,%.2f,%d,,%.0f,%.0f,%s" % (
            kind, share, len(values), good[len(good) // 2],
            good[int(len(good) * 0.99)],
            " ".join("%s=%d" % item for item in counts.items())))
    print("all,%.2f,%d,%.2f,,,offered %.0f/s" % (
        share, sum(len(v) for v in results.values()),
        done / sending / CAPACITY,
        sum(len(v) for v in results.values()) / sending), flush=True)


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    chance = random.Random(1)
    with temporary_deployment(8) as d:
        d.start()
        d.submit(1)
        d.wait_ready()
        for first in (1, 8):  # Two processes, so that they keep up.
            d.add_backends("catalogue", SERVERS // 2, first_host=first,
                           options=["--slots", str(SLOTS), "--delay",
                                    str(SERVICE_S * 1000)])
        d.wait_backends(SERVERS)
        time.sleep(4)  # Past the cold start of the servers.
        addresses = [i.http for i in d.instances.values()]
        print("kind,load,sent,goodput,p50_ms,p99_ms,outcomes")
        for share in (0.5, 0.8, 0.95, 1.2, 2.0):
            results, sending, done = asyncio.run(
                offer(addresses, share, seconds, chance))
            report(results, share, sending, done)


main()
