"""An invalid config ends the process that reads it."""
import json
import os
import time

from fleet import require, run_case

COUNT, GAP_S, TRIES_S = 3, 1.0, 6.0
ENDS_LIMIT = 3   # of one process in the day


def invalid_config(scene, version, trouble):
    """A config that is cut short. With the disruption, the cut is in the middle of
    a letter of a name; without it, the same config is cut between two letters."""
    text = json.dumps(scene.document(version), ensure_ascii=False)
    body = text.replace("route-stock", "práctica").encode()
    letter = body.index("áctica".encode())
    return body[:letter + 1] if trouble else body[:letter]


def case(scene, trouble):
    scene.begin()
    record, fleet = scene.record, scene.fleet
    for i in range(COUNT):
        status = scene.operator.send(invalid_config(scene, 20 + i, trouble),
                                     limit_s=TRIES_S, what="a config that is cut short")
        record.write("the answer to the invalid config %d: %s" % (
            i + 1, status or "none at any node"))
        require(trouble or status == 400, "an invalid config got %d" % status)
        time.sleep(GAP_S)
    ends = {core.host: len(core.own_ends) for core in fleet.cores}
    record.write("processes of the core that ended by themselves: %s" % ends)
    many = [host for host, count in ends.items() if count >= ENDS_LIMIT]
    # The rule as written: half of the core, three times each, no impairment there.
    return 2 * len(many) >= len(fleet.cores)


# TROUBLE=0 leaves the disruption out.
run_case(case, os.environ.get("TROUBLE", "1") != "0")
