"""Three control machines; one is replaced as planned. A second after it has left, a
config is acknowledged and another machine loses its disk: the final fault. What was
acknowledged has to be there."""
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
import fleet as standins  # noqa: E402

CATCH_UP_S = 4.0       # CatchUpS
GRACE_PERIOD_S = 6.0   # GracePeriodS
RECOVERY_S = 12.0      # RecoveryS
CONTACT_S = 4.0        # ContactMs
ACK_TIMEOUT_S = 5.0    # AckTimeoutMs
MARGIN_S = 1.0         # of each wait, beyond what the pages set
ZONES = ["quito-norte", "quito-centro", "quito-sur"]
SERVICES = {"salon": {}, "videoteca": {}}


def run(record, trouble):
    deployment = standins.Fleet(record, ZONES, controls=3, entries=2)
    try:
        return play(record, trouble, deployment)
    finally:
        deployment.stop()


def play(record, trouble, deployment):
    first, second, leaving = deployment.controls
    host = deployment.network + ".9.1"

    def config(version):
        return standins.make_config(version, SERVICES, [
            ("board", host, 8080, "safe", "salon"),
            ("pair", host, 8443, "unsafe", "salon"),
            ("extra-%d" % version, host, 9000 + version, "download", "videoteca")])

    operator = standins.Operator(record, [m.address for m in deployment.controls])
    deployment.start()
    if operator.replace(config(3), 15) != 200:
        return None
    time.sleep(CONTACT_S + MARGIN_S)

    record.write("planned: core-4 is added, with an empty disk at a new address")
    successor = deployment.add("core-4", leaving.zone, control=True)
    successor.start()
    time.sleep(CATCH_UP_S + MARGIN_S)
    record.write("the successor has run for longer than CatchUpS")
    leaving.signal(signal.SIGTERM)
    leaving.wait(GRACE_PERIOD_S)
    record.write("%s is removed for good" % leaving.name)
    operator.addresses = [first.address, second.address, successor.address]
    time.sleep(MARGIN_S)
    if operator.replace(config(8), ACK_TIMEOUT_S + MARGIN_S) != 200:
        return None
    if trouble:
        record.write("final fault, right after the acknowledgement")
        first.signal(signal.SIGKILL)
        first.wait(1)
        first.wipe()
        time.sleep(0.5)
        first.start(bootstrap=False)
    back_at = time.monotonic()

    # The operator sends one more change and reads for RecoveryS and beyond.
    limit = back_at + RECOVERY_S + CATCH_UP_S + CONTACT_S
    acked = operator.replace(config(12), RECOVERY_S + CATCH_UP_S)
    record.write("version 12, sent after the loss: %d" % acked)
    newest = 0
    while time.monotonic() < limit or newest < 8:
        newest = max(newest, operator.read())
        if newest >= 8 or time.monotonic() > limit + 20:
            break
        time.sleep(1)
    record.write("newest version read back: %d (8 was acknowledged)" % newest)
    return newest >= 8


if __name__ == "__main__":
    standins.main(__file__, run)
