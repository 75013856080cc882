"""A config that was acknowledged is read back in an older state."""
import http.client
import json
import os
import signal
import subprocess
import sys
import time

import fleet
from fleet import CONFIG_APPLY_S, now, require, run_case, wait_for

DARK_S = 2.5          # the core machines but one are without power
LEADER_DARK_S = 3.5   # the machine that has acknowledged
READ_S = 4.5          # the reads begin when the first machines are back
LIMIT_S = 95.0
MORE_ROUTES = 300     # the config grows by as many


def leader_of(scene):
    for core in scene.fleet.cores:
        if scene.operator.read(core.host, hops=0)[0] == 200:
            return core
    return None


def document(scene, version):
    grown = [("idle-%d" % i, scene.fleet.net + ".41.1", 1000 + i, "safe", "videoteca")
             for i in range(MORE_ROUTES)]
    return json.dumps(scene.document(version, scene.routes + grown)).encode()


def start_readers(scene, cores):
    readers = []
    for core in cores:
        path = scene.fleet.folder / ("reads-" + core.host)
        program = os.path.join(os.path.dirname(fleet.__file__), "reader.py")
        readers.append((core, path, subprocess.Popen(
            [sys.executable, program, core.host, str(scene.fleet.call_port), str(path),
             str(READ_S)])))
    return readers


def collect(readers):
    reads = []
    for core, path, process in readers:
        process.wait()
        for line in path.read_text().splitlines():
            sent, status, version = line.split()
            reads.append((float(sent), core.host, int(status), int(version)))
    return sorted(reads)


def play_round(scene, trouble, version):
    record, cores = scene.record, scene.fleet.cores
    require(wait_for(lambda: leader_of(scene), 20.0), "no leader")
    time.sleep(1.0)
    leader = leader_of(scene)
    require(leader, "the leader changed")
    others = [core for core in cores if core is not leader]
    body = document(scene, version)
    for core in cores:
        core.wanted = not trouble
    connection = http.client.HTTPConnection(leader.host, scene.fleet.call_port, timeout=1)
    connection.request("POST", "/api/Config.Replace", body)
    status = connection.getresponse().status
    acked = now()
    if trouble:
        for core in others + [leader]:
            core.signal(signal.SIGKILL)
        for core in cores:
            core.process.wait()
    record.write("operator sent version %d to %s, got %d" % (version, leader.host, status))
    require(status == 200, "the config was not acknowledged")
    if trouble:
        record.write("all core machines lost power as the ack arrived")
        time.sleep(max(0.0, acked + DARK_S - now()))
        for core in others:
            core.start()
        record.write("back: %s" % " ".join(core.host for core in others))
    readers = start_readers(scene, cores)
    if trouble:
        time.sleep(max(0.0, acked + LEADER_DARK_S - now()))
        leader.start()
        record.write("back: %s" % leader.host)
    reads = collect(readers)
    answered = [read for read in reads if read[2] == 200]
    older = [read for read in answered
             if read[0] > acked + CONFIG_APPLY_S and read[3] < version]
    record.write("reads %d, answered %d, answered with an older version %d" % (
        len(reads), len(answered), len(older)))
    for sent, host, _, found in older[:10]:
        record.write("read sent to %s %.3f s after the ack of version %d was answered "
                     "with 200 and version %d" % (host, sent - acked, version, found))
    require(answered, "no read was answered")
    return bool(older)


def case(scene, trouble):
    scene.begin(per_s=0)
    version, ends = 20, now() + LIMIT_S
    while now() < ends - 14.0:
        version += 3
        if play_round(scene, trouble, version):
            return True
    return False


# TROUBLE=0 leaves the disruption out.
run_case(case, os.environ.get("TROUBLE", "1") != "0", delay_s=0.0014)
