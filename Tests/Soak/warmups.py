"""The load limit of servers that have just started, and the check of what they
get meanwhile."""
import collections
import time

DURATION_S = 4.0
RATE = 1.0  # flows a second, a server
ALLOWED = RATE * 1.5 + 5
# Until a server's report is accepted, nobody can know that it has started again
# under its id; then all instances in contact have heard of it within this time.
ANNOUNCEMENT_S = 0.3


# Fields of a service in a config. Empty for fleets with control instances of
# builds before 0.10, which refuse rules that hold a warm-up.
SERVICE_FIELDS = {"WarmupS": DURATION_S, "WarmupPerS": RATE}


class Warmups:
    def __init__(self, traffic):
        self.traffic = traffic
        self.openings = {}  # server -> times within the last second
        self.counted = self.most = 0

    def check_opening(self, server, sender):
        """Called for each opening packet that a server gets."""
        now = time.monotonic()
        known = (server.known_at is not None and
                 now >= server.known_at + ANNOUNCEMENT_S)
        if not known or now >= server.cold_until:
            return
        times = self.openings.setdefault(server.name, collections.deque())
        times.append(now)
        while now - times[0] >= 1.0:
            times.popleft()
        self.counted += 1
        self.most = max(self.most, len(times))
        if len(times) > ALLOWED:
            self.traffic.violate(
                "%s got %d flows in a second while it warms up, the last from "
                "%s" % (server.name, len(times), sender))
