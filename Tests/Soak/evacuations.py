"""An operator that evacuates data centres and withdraws it, at random instances
and at times with the opposite command at the same time, and the check of what
servers see meanwhile."""
import random
import threading
import time
import urllib.parse

from fleet_traffic import CALL_PORT, METRICS_PORT, call

ZONES = ["z0", "z 1", "z2"]
IN_FORCE_S = 5.0
PAUSE_S = 9.0


class Attempt:
    """One call: `ended` is None while its answer is outstanding."""

    def __init__(self, active):
        self.active = active
        self.sent, self.ended, self.status = time.monotonic(), None, 0


class Evacuations(threading.Thread):
    def __init__(self, traffic, seed):
        super().__init__(daemon=True)
        self.traffic = traffic
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.attempts = {zone: [] for zone in ZONES}
        self.accepted = self.checked = 0
        self.running = True

    def send(self, host, zone, active):
        attempt = Attempt(active)
        with self.lock:
            self.attempts[zone].append(attempt)
        path = "/api/Evacuations.%s/%s" % ("Start" if active else "Stop",
                                           urllib.parse.quote(zone, safe=""))
        status, _ = call(host, CALL_PORT, "POST", path)
        with self.lock:
            attempt.ended, attempt.status = time.monotonic(), status
        if 400 <= status < 500:
            self.traffic.violate("%s was refused: %d" % (path, status))
        return status == 200

    def order(self, zone, active, tries=30):
        """Sends a command to one instance after another until it is
        acknowledged."""
        for _ in range(tries):
            host = self.random.choice(self.traffic.fleet.controls).host
            if self.send(host, zone, active):
                self.accepted += 1
                return True
            time.sleep(0.1)
            if not self.running:
                break
        return False

    def evacuated_since(self, zone):
        """When the first command in a row was acknowledged that no opposite one
        has been sent after or overlapped with; None if there is none."""
        with self.lock:
            attempts = list(self.attempts[zone])
        now = time.monotonic()
        last_stop = max([a.ended or now for a in attempts if not a.active],
                        default=0.0)
        return min([a.ended for a in attempts if a.active and a.status == 200
                    and a.sent > last_stop], default=None)

    def check_opening(self, server, sender):
        """Called for each opening packet that a server gets."""
        since = self.evacuated_since(server.zone)
        now = time.monotonic()
        if since is None or now - since <= IN_FORCE_S:
            return
        if self.traffic.in_touch(sender, now):
            self.traffic.violate(
                "%s in %s got a flow of %s %.1f s after the evacuation" % (
                    server.id, server.zone, sender, now - since))

    def race(self, zone):
        """Sends opposite commands to two instances at once."""
        hosts = self.random.sample(self.traffic.fleet.controls, 2)
        threads = [threading.Thread(target=self.send,
                                    args=(host.host, zone, active))
                   for host, active in zip(hosts, (True, False))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def run(self):
        while self.running:
            zone = self.random.choice(ZONES)
            if self.random.random() < 0.3:
                self.race(zone)
            self.order(zone, self.random.random() < 0.6)
            end = time.monotonic() + self.random.uniform(0.0, PAUSE_S)
            while self.running and time.monotonic() < end:
                time.sleep(0.05)
                self.checked += sum(
                    1 for name in ZONES
                    if (self.evacuated_since(name) or end) <
                    time.monotonic() - IN_FORCE_S)

    def withdraw_all(self):
        for zone in ZONES:
            if not self.order(zone, False):
                self.traffic.violate("at the end %s can't be withdrawn" % zone)

    def check_withdrawn(self):
        """Precondition: `withdraw_all` ended `IN_FORCE_S` ago."""
        for entry in self.traffic.fleet.entries:
            status, data = call(entry.host, METRICS_PORT, "GET", "/metrics")
            if status != 200 or b"evacuated_data_centres 0\n" not in data:
                self.traffic.violate("at the end %s has evacuations" %
                                     entry.host)
