"""Stand-ins for backend servers, callers and the operator, with the checks of
what each of them sees."""
import concurrent.futures
import heapq
import http.client
import json
import random
import re
import selectors
import socket
import struct
import threading
import time
import urllib.parse

import warmups
from fleet_processes import CALL_PORT, METRICS_PORT, PACKET_PORT, READY_PORT

HEAD = struct.Struct("<IIIIIHHHBBI")
SYN, RST, ACK, FIN = 1, 2, 4, 8
ADDRESSES = {("198.18.0.1", 443): "alpha", ("198.18.0.2", 443): "beta"}
ANSWER_LIMIT_S = 5.0    # an open flow on a living server is answered by then
DRAIN_LIMIT_S = 3.0
RULES_LIMIT_S = 3.0
CONTACT_S = 4.0         # bounds hold for instances left alone for this long


def number_of(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def host_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def call(host, port, method, path, body=None, timeout=1.0, hops=2):
    """Status and body, or (0, b"") when nothing answered in time."""
    try:
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text)
        answer = connection.getresponse()
        data = answer.read()
        location = answer.getheader("Location")
        connection.close()
    except (OSError, http.client.HTTPException):
        return 0, b""
    if answer.status == 307 and hops > 0 and location:
        target = urllib.parse.urlparse(location)
        return call(target.hostname, target.port, method, target.path, body,
                    timeout, hops - 1)
    return answer.status, data


class Server:
    def __init__(self, traffic, number, host, port, service, zone="dc0",
                 warmup_s=0.0):
        self.traffic = traffic
        self.zone = zone
        self.id = "i-%08x" % number
        self.number = number
        self.host, self.port, self.service = host, port, service
        self.born = int(time.time() * 1000)
        self.name = "%s.%d" % (self.id, self.born)  # differs after a restart
        self.cold_until = time.monotonic() + warmup_s
        self.known_at = None  # when its first report was answered
        self.state = "ready"
        self.sequence = 0
        self.endpoint = None
        self.drain_acked_at = None
        self.flows = {}
        self.alive = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.socket.setblocking(False)
        traffic.selector.register(self.socket, selectors.EVENT_READ, self.take)
        traffic.servers.append(self)

    def end(self):
        self.alive = False
        self.traffic.selector.unregister(self.socket)
        self.socket.close()

    def warmup_remaining_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def report(self):
        """One report; runs on a thread of the pool."""
        if not self.alive:
            return
        self.sequence += 1
        state = self.state
        body = {"Service": self.service, "ConcurrencyLimit": 4,
                "Address": "%s:%d" % (self.host, self.port),
                "Zone": self.zone, "Version": "v1", "State": state,
                "WarmupRemainingMs": self.warmup_remaining_ms(),
                "Sequence": self.sequence, "born": self.born}
        host = self.endpoint or random.choice(self.traffic.fleet.controls).host
        status, data = call(host, CALL_PORT, "POST",
                            "/api/Instances.Heartbeat/" + self.id, body)
        self.endpoint = None
        if status == 200:
            self.known_at = self.known_at or time.monotonic()
            self.endpoint = json.loads(data).get(
                "HeartbeatEndpoint", ":").split(":")[0] or None
            if state == "draining" and self.drain_acked_at is None:
                self.drain_acked_at = time.monotonic()

    def take(self):
        """Takes one packet. The server may end on another thread meanwhile."""
        try:
            self.take_packet()
        except BlockingIOError:
            pass
        except OSError:
            if self.alive:
                raise

    def take_packet(self):
        data, sender = self.socket.recvfrom(4096)
        meant = struct.unpack(">Q", data[:8])[0]
        if meant not in (0, self.number):
            return
        head = HEAD.unpack(data[8:40])
        seq, _, _, src, dst, sport, dport, _, flags, _, echo = head
        key = (src, sport)
        address = (host_of(dst), dport)
        traffic = self.traffic
        if flags & SYN:
            self.check_opening(address, sender[0])
            if key not in self.flows:  # Copies may follow the accepted one.
                for check in traffic.opening_checks:
                    check(self, sender[0])
            self.flows[key] = True
            self.answer(head, SYN | ACK, b"")
            return
        if key not in self.flows:
            self.answer(head, RST, b"")
            return
        if flags & FIN:
            del self.flows[key]
            return
        body = data[40:]
        if body:
            traffic.runs += 1
            self.answer(head, ACK, b"%s %s" % (body, self.name.encode()))

    def check_opening(self, address, sender):
        now = time.monotonic()
        expected = ADDRESSES.get(address)
        if expected is not None and expected != self.service:
            self.traffic.violate("%s of %s got a flow to %s" % (
                self.id, self.service, expected))
        late = (self.drain_acked_at is not None and
                now - self.drain_acked_at > DRAIN_LIMIT_S)
        if late and self.traffic.in_touch(sender, now):
            self.traffic.violate("%s got a flow %.1f s after it was told to "
                                 "leave" % (self.id, now - self.drain_acked_at))

    def answer(self, head, flags, body):
        seq, _, _, src, dst, sport, dport, _, _, _, echo = head
        packet = HEAD.pack(7, seq, 0, dst, src, dport, sport, len(body), flags,
                           0, echo) + body
        self.socket.sendto(packet, (host_of(src), PACKET_PORT))


class Flow:
    """A caller's flow: some requests with pauses, then its end."""

    def __init__(self, traffic, port):
        self.traffic = traffic
        self.port = port
        self.address = traffic.random.choice(list(ADDRESSES))
        self.echo = 0
        self.server = None
        self.requests = traffic.random.randint(1, 6)
        self.asked = None
        self.opened_at = time.monotonic()
        self.copies = 0
        self.open = False

    def send(self, flags, body=b""):
        entry = self.traffic.entry_for(self.port)
        if entry is None:
            return
        packet = HEAD.pack(1, self.copies, 0, number_of(self.traffic.caller),
                           number_of(self.address[0]), self.port,
                           self.address[1], len(body), flags, 0,
                           self.echo) + body
        self.traffic.socket.sendto(packet, (entry, PACKET_PORT))

    def begin(self):
        self.send(SYN)
        self.traffic.later(0.2, self.repeat_opening)

    def repeat_opening(self):
        if self.open or self.port not in self.traffic.flows:
            return
        if time.monotonic() - self.opened_at > 1.4:
            self.traffic.unopened += 1
            self.traffic.flows.pop(self.port)
            return
        self.copies += 1
        self.send(SYN)
        self.traffic.later(0.4, self.repeat_opening)

    def ask(self):
        self.asked = b"%d-%d" % (self.port, self.requests)
        self.asked_at = time.monotonic()
        self.repeat_request(self.asked)

    def repeat_request(self, asked):
        if self.asked != asked or self.port not in self.traffic.flows:
            return
        if time.monotonic() - self.asked_at > ANSWER_LIMIT_S:
            self.traffic.flows.pop(self.port)
            self.traffic.lost_flow(self)
            return
        self.send(ACK, asked)
        self.traffic.later(0.2, lambda: self.repeat_request(asked))

    def take(self, flags, echo, body):
        if flags & RST:
            self.traffic.flows.pop(self.port, None)
            if self.open:
                self.traffic.lost_flow(self)
            else:
                self.traffic.refused += 1
            return
        self.echo = echo
        if flags & SYN:
            if not self.open:
                self.open = True
                self.ask()
            return
        if self.asked is None or not body:
            return
        asked, server = body.split(b" ")
        if asked != self.asked:
            return  # an answer to a copy that was sent again
        server = server.decode()
        if self.server not in (None, server):
            self.traffic.violate("a flow went from %s to %s" %
                                 (self.server, server))
        self.server = server
        self.asked = None
        self.requests -= 1
        self.traffic.answered += 1
        if self.requests == 0:
            self.traffic.flows.pop(self.port)
            self.send(FIN | ACK)
            return
        self.traffic.later(self.traffic.random.uniform(0.0, 1.5), self.ask)


class Traffic(threading.Thread):
    """All servers and callers, on one thread, and what they have seen."""

    def __init__(self, fleet, caller, seed, flows_per_s=60):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.caller = caller
        self.random = random.Random(seed)
        self.flows_per_s = flows_per_s
        self.selector = selectors.DefaultSelector()
        self.servers, self.flows, self.timers = [], {}, []
        self.violations, self.ready = [], {}
        self.answered = self.runs = self.unopened = self.refused = 0
        self.lost = 0
        self.crashed = {}  # id of a server -> when
        self.opening_checks = []  # called with the server and the sender's host
        self.next_port, self.next_timer = 1024, 0
        self.running, self.opening = True, True
        self.pool = concurrent.futures.ThreadPoolExecutor(12)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((caller, PACKET_PORT))
        self.socket.setblocking(False)
        self.selector.register(self.socket, selectors.EVENT_READ, self.take)

    def violate(self, what):
        self.violations.append("%.2f: %s" % (time.monotonic(), what))

    def in_touch(self, host, now):
        """Whether the instance and all control instances were left alone."""
        for process in self.fleet.processes():
            watched = process.control or process.host == host
            if watched and now - process.impaired_until < CONTACT_S:
                return False
        return True

    def lost_flow(self, flow):
        server = next((s for s in self.servers if s.name == flow.server), None)
        self.lost += 1
        if server is not None and server.alive and server.state == "ready":
            self.violate("an open flow on %s was not answered" % server.id)

    def later(self, delay, action):
        self.next_timer += 1
        heapq.heappush(self.timers, (time.monotonic() + delay,
                                     self.next_timer, action))

    def entry_for(self, port):
        """Rendezvous hashing over those that answer the health check."""
        ready = [host for host, misses in self.ready.items() if misses < 2]
        hosts = ready or [entry.host for entry in self.fleet.entries]
        return max(hosts, key=lambda host: hash((host, port)), default=None)

    def take(self):
        data, _ = self.socket.recvfrom(4096)
        head = HEAD.unpack(data[:32])
        flow = self.flows.get(head[6])
        if flow is not None:
            flow.take(head[8], head[10], data[32:])

    def open_flow(self):
        if self.opening:
            self.next_port = 1024 + (self.next_port - 1023) % 60000
            flow = Flow(self, self.next_port)
            self.flows[flow.port] = flow
            flow.begin()
        if self.running:
            self.later(self.random.expovariate(self.flows_per_s),
                       self.open_flow)

    def report_all(self):
        for server in list(self.servers):
            if server.alive:
                self.pool.submit(server.report)
        self.later(0.4, self.report_all)

    def check_health(self):
        for entry in self.fleet.entries:
            self.pool.submit(self.check_one, entry.host)
        self.later(0.25, self.check_health)

    def check_one(self, host):
        status, _ = call(host, READY_PORT, "GET", "/api/ready", timeout=0.25)
        self.ready[host] = 0 if status == 200 else self.ready.get(host, 2) + 1

    def run(self):
        self.report_all()
        self.check_health()
        self.later(0.0, self.open_flow)
        while self.running:
            for key, _ in self.selector.select(0.005):
                try:
                    key.data()
                except BlockingIOError:
                    pass
            while self.timers and self.timers[0][0] <= time.monotonic():
                heapq.heappop(self.timers)[2]()
        self.pool.shutdown(wait=False, cancel_futures=True)


class Operator(threading.Thread):
    """Hands over versions, reads them back, and looks at what is in force."""

    def __init__(self, traffic, seed):
        super().__init__(daemon=True)
        self.traffic = traffic
        self.random = random.Random(seed)
        self.version = 0
        self.acked = []  # (when, version)
        self.seen = {}   # (host, boot) -> version
        self.running = True

    def document(self, version):
        routes = [{"Name": "r-%s" % service, "Hostname": host,
                   "PathPrefix": "/%d/" % port, "Type": "safe",
                   "TimeoutMs": 1000 + version % 7, "Service": service}
                  for (host, port), service in ADDRESSES.items()]
        routes += [{"Name": "x%d" % i, "Hostname": "198.18.1.1",
                    "PathPrefix": "/%d/" % (2000 + i), "Type": "safe",
                    "TimeoutMs": 1000, "Service": "alpha"}
                   for i in range(version % 40)]
        return {"Version": version, "Routes": routes,
                "Services": [{"Name": name, "HealthCheckPath": "/health",
                              "MaxFlows": 100, "Protocol": "h1", "Tls": False,
                              **warmups.SERVICE_FIELDS}
                             for name in ("alpha", "beta")]}

    def newest_before(self, when):
        return max([v for t, v in self.acked if t < when], default=0)

    def submit(self):
        self.version += self.random.randint(1, 3)
        document = self.document(self.version)
        for _ in range(30):
            host = self.random.choice(self.traffic.fleet.controls).host
            status, _ = call(host, CALL_PORT, "POST", "/api/Config.Replace",
                             document)
            if status == 200:
                self.acked.append((time.monotonic(), self.version))
                return
            if 400 <= status < 500:
                self.traffic.violate("version %d was refused: %d" %
                                     (self.version, status))
                return
            time.sleep(0.1)
            if not self.running:
                return

    def read(self, host):
        sent = time.monotonic()
        status, data = call(host, CALL_PORT, "GET", "/api/Config.Describe")
        if status != 200:
            return 0
        document = json.loads(data)
        version = document["Version"]
        if version < self.newest_before(sent - RULES_LIMIT_S):
            self.traffic.violate("read version %d, older than accepted" %
                                 version)
        wanted = self.document(version)
        if len(document["Routes"]) != len(wanted["Routes"]):
            self.traffic.violate("version %d is not what was sent" % version)
        return version

    def look(self, entry):
        boot, asked = entry.boots, time.monotonic()
        status, data = call(entry.host, METRICS_PORT, "GET", "/metrics",
                            timeout=0.5)
        found = re.search(rb"(?m)^filbertwall_rules_version (\S+)", data)
        if status != 200 or found is None or boot != entry.boots:
            return 0
        version = int(float(found.group(1)))
        if version < self.seen.get((entry.host, boot), 0):
            self.traffic.violate("%s went back to version %d" %
                                 (entry.host, version))
        self.seen[(entry.host, boot)] = version
        overdue = self.newest_before(asked - RULES_LIMIT_S)
        if version < overdue and self.traffic.in_touch(entry.host, asked):
            self.traffic.violate("%s has version %d, %d was accepted" %
                                 (entry.host, version, overdue))
        return version

    def run(self):
        while self.running:
            self.submit()
            self.read(self.random.choice(self.traffic.fleet.controls).host)
            for entry in self.traffic.fleet.entries:
                self.look(entry)
            time.sleep(self.random.uniform(0.1, 0.6))
