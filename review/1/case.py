"""A liveness report that can't be read stops every later change of the config."""
import json
import os
import socket
import threading
import time

from fleet import BEAT_S, CONFIG_APPLY_S, number_of, now, require, run_case

WATCH_S = 12.0


def report_of_another_writer(scene, core, sequence, born):
    """Sends a report whose id holds bytes that are no text."""
    fleet = scene.fleet
    body = json.dumps({
        "Service": "salon", "Address": "%s:%d" % (fleet.extra_hosts[30],
                                                      fleet.packet_port),
        "Zone": "zone-0", "Version": "v1", "ConcurrencyLimit": 3, "State": "ready",
        "WarmupRemainingMs": 0, "Sequence": sequence, "born": born}).encode()
    head = (b"POST /api/Instances.Heartbeat/i-\xff\xfe12 HTTP/1.1\r\nHost: control\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body))
    answer = b""
    try:
        with socket.create_connection((core.host, fleet.call_port), 1.0) as sender:
            sender.sendall(head + body)
            answer = sender.recv(4096)
    except OSError:
        pass
    scene.record.write("another writer sent a report with the id i-\\xff\\xfe12 to %s, "
                       "got %r" % (core.host, answer.split(b"\r\n")[0]))


def keep_reporting(scene):
    """Reports as often as a server does, at one node after the other."""
    sequence, born = 0, int(time.time() * 1000)
    while scene.fleet.running:
        core = scene.fleet.cores[sequence % len(scene.fleet.cores)]
        sequence += 1
        report_of_another_writer(scene, core, sequence, born)
        time.sleep(BEAT_S)


def case(scene, trouble):
    scene.begin()
    record, consumers = scene.record, scene.consumers
    if trouble:
        threading.Thread(target=keep_reporting, args=(scene,), daemon=True).start()
    time.sleep(4 * BEAT_S)
    # The new version drops one route.
    kept = [scene.stock, scene.proofs]
    status = scene.operator.submit(scene.document(20, kept))
    acked = now()
    require(status == 200, "version 20 was not acknowledged")
    record.write("version 20, without the route %s:%d, was acknowledged" % scene.other[1:3])
    time.sleep(WATCH_S)
    consumers.running = False
    dropped = (number_of(scene.other[1]), scene.other[2])
    late = []
    for server in scene.servers:
        for ran_at, request, address in server.run_addresses:
            sent_at = consumers.sent_at.get(request, 0.0)
            if address == dropped and sent_at > acked + CONFIG_APPLY_S:
                late.append((sent_at, ran_at, request, server))
    for sent_at, ran_at, request, server in sorted(late, key=lambda item: item[0])[:10]:
        record.write("request %s to the dropped route was sent %.3f s after the ack and "
                     "run by %s" % (request, sent_at - acked, server.id))
    record.write("requests %d, served %d, refused %d; sent to the dropped route later than "
                 "%.0f s after the ack and run: %d" % (
                     consumers.sent, consumers.served, consumers.refused, CONFIG_APPLY_S,
                     len(late)))
    return bool(late)


# TROUBLE=0 leaves the disruption out.
run_case(case, os.environ.get("TROUBLE", "1") != "0")
