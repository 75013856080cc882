"""Stand-ins for the platform, the servers, the consumers and the operator.

Each process of the system runs with the command of deploy/system.toml and with
settings filled in from deploy/settings.ini, on loopback addresses of its own.
"""
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = ROOT / "target/Source/Commands/filbertwall"

# Bounds of the small deployments, as the settings of a process give them.
CONTACT_S = 4.0
DRAIN_PERIOD_S = 3.0
CONFIG_APPLY_S = 3.0
BEAT_S = 1.2
RESTART_DELAY_S = 0.3

HEAD = struct.Struct("<IIIIIHHHBBI")
SYN, RST, ACK, FIN = 1, 2, 4, 8
SYN_COPIES_S = (0.2, 0.6)
SYN_LIMIT_S = 1.4


def now():
    return time.monotonic()


def number_of(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def host_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = now()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() - self.started, text))
            self.file.flush()


def free_ports(hosts, count):
    """Returns ports that are free on all of the addresses."""
    found = []
    candidate = random.randint(20000, 28000)
    while len(found) < count:
        candidate += 1
        sockets = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    item = socket.socket(socket.AF_INET, kind)
                    sockets.append(item)
                    item.bind((host, candidate))
            found.append(candidate)
        except OSError:
            pass
        finally:
            for item in sockets:
                item.close()
    return found


class Process:
    """One machine of the system with its process, as the platform runs it."""

    def __init__(self, fleet, host, zone, core):
        self.fleet, self.host, self.zone, self.core = fleet, host, zone, core
        self.folder = fleet.folder / host
        self.folder.mkdir()
        self.settings = fleet.folder / (host + ".ini")
        self.process = None
        self.wanted = False
        self.own_ends = []  # exit statuses of ends that nobody caused
        self.started_at = 0.0

    def write_settings(self, first_start):
        fleet = self.fleet
        lines = ["[instance]", "id = " + self.host, "data_centre = " + self.zone]
        if self.core:
            lines += ["roles = control",
                      "announce_address = %s:%d" % (self.host, fleet.call_port),
                      "data_folder = %s" % self.folder]
        else:
            lines += ["roles = entry",
                      "packet_address = %s:%d" % (self.host, fleet.packet_port),
                      "announce_address = %s:%d" % (self.host, fleet.ready_port)]
        seeds = ",".join("%s:%d" % (core.host, fleet.call_port)
                         for core in fleet.cores[:3])
        lines += ["control_address = %s:%d" % (self.host, fleet.inner_port),
                  "[fleet]", "seeds = " + seeds,
                  "first_start = " + ("true" if first_start else "false"),
                  "tolerated_losses = 1",
                  "announce_interval = %dms" % (BEAT_S * 1000),
                  "metrics_port = %d" % fleet.metrics_port]
        if fleet.proxy:
            lines.append("peer_port = %d" % fleet.peer_port)
        lines += ["[security]", "mode = none"]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self, first_start=False):
        self.write_settings(first_start)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["FILBERTWALL_CONFIG"] = str(self.settings)
        with open(self.fleet.folder / (self.host + ".log"), "ab") as log:
            self.process = subprocess.Popen([str(BINARY), "fleet"], cwd=ROOT,
                                            env=environment, stdout=log, stderr=log)
        self.wanted = True
        self.started_at = now()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.wanted = False
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """The machines of a small deployment and the platform that runs them."""

    def __init__(self, folder, record, cores=3, entries=6, zones=3,
                 proxy_delay_s=0.0):
        self.folder = pathlib.Path(folder)
        self.record = record
        net = "127.%d" % random.randint(20, 240)
        self.net = net
        core_hosts = ["%s.1.%d" % (net, i + 1) for i in range(cores)]
        entry_hosts = ["%s.2.%d" % (net, i + 1) for i in range(entries)]
        self.extra_hosts = ["%s.3.%d" % (net, i + 1) for i in range(40)]
        self.consumer = net + ".4.1"
        ports = free_ports(core_hosts + entry_hosts + [self.consumer], 6)
        (self.call_port, self.inner_port, self.ready_port, self.packet_port,
         self.metrics_port, self.peer_port) = ports
        self.proxy = None
        self.cores, self.entries = [], []
        if proxy_delay_s:
            self.proxy = self.start_proxy(proxy_delay_s, core_hosts + entry_hosts)
        for i, host in enumerate(core_hosts):
            self.cores.append(Process(self, host, "zone-%d" % (i % zones), True))
        for i, host in enumerate(entry_hosts):
            self.entries.append(Process(self, host, "zone-%d" % (i % zones), False))
        self.running = True
        self.watch = threading.Thread(target=self.watch_ends, daemon=True)

    def start_proxy(self, delay_s, hosts):
        program = pathlib.Path(__file__).resolve().parent / "proxy.py"
        proxy = subprocess.Popen(
            [sys.executable, str(program), str(delay_s), str(self.peer_port),
             str(self.inner_port)] + hosts, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE)
        if proxy.stdout.readline().strip() != b"ready":
            proxy.kill()
            raise RuntimeError("the proxy does not start")
        return proxy

    def cut(self, sender, target):
        """Lets no message pass from one machine to another any more."""
        self.proxy.stdin.write(("cut %s %s\n" % (sender.host, target.host)).encode())
        self.proxy.stdin.flush()

    def machines(self):
        return self.cores + self.entries

    def start(self):
        if not BINARY.exists():
            raise RuntimeError("%s is missing: run the build" % BINARY)
        for machine in self.machines():
            machine.start(first_start=True)
        self.watch.start()

    def watch_ends(self):
        """Starts a process that ended by itself again after a short delay."""
        while self.running:
            for machine in self.machines():
                if machine.wanted and not machine.alive():
                    status = machine.process.returncode
                    machine.own_ends.append(status)
                    self.record.write("end machine=%s status=%s: ended by itself, "
                                      "nobody stopped it" % (machine.host, status))
                    time.sleep(RESTART_DELAY_S)
                    if self.running and machine.wanted:
                        machine.start()
            time.sleep(0.05)

    def stop(self):
        self.running = False
        if self.watch.is_alive():
            self.watch.join()
        for machine in self.machines():
            machine.kill()
        if self.proxy:
            self.proxy.kill()
            self.proxy.wait()


def call(host, port, method, path, body=None, timeout=1.0, hops=2, headers=None):
    """Returns status and body; status 0 when there was no clear response."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body,
                           headers or {"Content-Type": "application/json"})
        answer = connection.getresponse()
        data = answer.read()
        location = answer.getheader("Location")
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
    if answer.status == 307 and hops > 0 and location:
        target = urllib.parse.urlparse(location)
        return call(target.hostname, target.port, method, target.path, body, timeout,
                    hops - 1, headers)
    return answer.status, data


class Operator:
    """Sends configs and reads them back, as PROTOCOL.md says."""

    def __init__(self, fleet, seed=1):
        self.fleet = fleet
        self.random = random.Random(seed)

    def config(self, version, routes, services):
        return {
            "Version": version,
            "Routes": [{"Name": name, "Hostname": host, "PathPrefix": "/%d/" % port,
                        "Type": kind, "TimeoutMs": 2000, "TargetLatencyMs": 300,
                        "Priority": 1, "Service": service, "MaxAttempts": 2}
                       for name, host, port, kind, service in routes],
            "Services": [{"Name": name, "HealthCheckPath": "/health",
                          "MaxFlows": 2000, "Protocol": "h1", "Tls": False}
                         for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}

    def send(self, body, limit_s=10.0, first=None, tries=1000, what="config"):
        """Sends the same body until there is a clear response. Returns its status,
        or 0. Moves to another node after each failure, with growing backoff."""
        ends, pause = now() + limit_s, 0.05
        hosts = [core.host for core in self.fleet.cores]
        self.random.shuffle(hosts)
        if first:
            hosts.remove(first)
            hosts.insert(0, first)
        for attempt in range(tries):
            if now() >= ends:
                break
            host = hosts[attempt % len(hosts)]
            status, _ = call(host, self.fleet.call_port, "POST",
                             "/api/Config.Replace", body)
            self.fleet.record.write("operator sent %s (%d bytes) to %s, got %s" % (
                what, len(body), host, status or "no response"))
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            time.sleep(pause)
            pause = min(1.0, pause * 1.6)
        return 0

    def submit(self, document, limit_s=15.0, first=None):
        return self.send(json.dumps(document).encode(), limit_s, first=first,
                         what="config version %d" % document["Version"])

    def read(self, host, hops=2):
        """Returns status and version of a read at one node."""
        status, data = call(host, self.fleet.call_port, "GET",
                            "/api/Config.Describe", hops=hops)
        version = json.loads(data).get("Version") if status == 200 else None
        return status, version


def checksum(head, body):
    return zlib.crc32(b"private key of the ends" + head + body) | 1


class Server:
    """A server of a service: reports itself, takes flows and runs requests."""

    def __init__(self, fleet, index, service, zone, identity=None):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.id = identity or "i-%08x" % random.getrandbits(32)
        self.number = int("".join(c for c in self.id
                                  if c in "0123456789abcdefABCDEF"), 16)
        self.host = fleet.extra_hosts[index]
        self.port = fleet.packet_port
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.endpoint = "ready", 0, None
        self.drain_acked_at = None
        self.flows = {}
        self.run_addresses = []  # (time, request id, address that it was sent to)
        self.opened = []  # (time, entry, key) of opening packets taken
        self.alive = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.host, self.port))
        self.socket.settimeout(0.2)
        self.threads = [threading.Thread(target=self.report_loop, daemon=True),
                        threading.Thread(target=self.serve, daemon=True)]
        for thread in self.threads:
            thread.start()

    def report(self):
        self.sequence += 1
        state = self.state
        body = json.dumps({
            "Service": self.service, "Address": "%s:%d" % (self.host, self.port),
            "Zone": self.zone, "Version": "v1", "ConcurrencyLimit": 3,
            "State": state, "WarmupRemainingMs": 0, "Sequence": self.sequence,
            "born": self.born}).encode()
        hosts = [core.host for core in self.fleet.cores]
        random.shuffle(hosts)
        if self.endpoint:
            hosts.insert(0, self.endpoint)
        for host in hosts[:4]:
            status, data = call(host, self.fleet.call_port, "POST",
                                "/api/Instances.Heartbeat/" + self.id, body)
            if status == 200:
                endpoint = json.loads(data).get("HeartbeatEndpoint", "")
                self.endpoint = endpoint.split(":")[0] or None
                if state == "draining" and self.drain_acked_at is None:
                    self.drain_acked_at = now()
                    self.fleet.record.write("server %s: %s acknowledged that it is "
                                            "draining" % (self.id, host))
                return True
            self.endpoint = None
        return False

    def report_loop(self):
        due = now() + random.random() * 0.2
        while self.alive:
            time.sleep(max(0.0, min(0.05, due - now())))
            if self.alive and now() >= due:
                due = now() + BEAT_S
                self.report()

    def drain(self):
        """Says that it leaves, and returns whether that was acknowledged."""
        self.state = "draining"
        self.fleet.record.write("server %s (%s) says that it is draining" % (
            self.id, self.service))
        return self.report()

    def end(self):
        self.alive = False

    def serve(self):
        while self.alive:
            try:
                data, (sender, _) = self.socket.recvfrom(4096)
            except OSError:
                continue
            if len(data) >= 40:
                self.take(data, sender)
        self.socket.close()

    def take(self, data, sender):
        meant = struct.unpack(">Q", data[:8])[0]
        if meant not in (0, self.number):
            return
        seq, ack, _, src, dst, sport, dport, _, flags, _, echo = HEAD.unpack(data[8:40])
        body = data[40:]
        key = (src, sport)
        if flags & SYN:
            flow = self.flows.get(key)
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "run": None}
                self.opened.append((now(), sender, key))
            self.reply(src, sport, dst, dport, flow["seq"], seq + 1, SYN | ACK, echo)
            return
        flow = self.flows.get(key)
        if flow is None:
            self.reply(src, sport, dst, dport, ack, seq, RST, echo)
            return
        if flags & FIN:
            self.reply(src, sport, dst, dport, flow["seq"] + 1, seq + 1, ACK, echo)
            return
        if body and ack == (flow["seq"] + 1) & 0xffffffff:
            if flow["run"] is None:
                flow["run"] = body
                self.run_addresses.append((now(), body.split(b" ")[0].decode(),
                                           (dst, dport)))
            answer = body.split(b" ")[0] + b" done by " + self.id.encode()
            self.reply(src, sport, dst, dport, flow["seq"] + 1, seq + len(body), ACK,
                       echo, answer)

    def reply(self, src, sport, dst, dport, seq, ack, flags, echo, body=b""):
        fields = [seq & 0xffffffff, ack & 0xffffffff, 0, dst, src, dport, sport,
                  len(body), flags, 0, 0]
        fields[2] = checksum(HEAD.pack(*fields), body)
        fields[10] = echo
        try:
            self.socket.sendto(HEAD.pack(*fields) + body,
                               (host_of(src), self.fleet.packet_port))
        except OSError:
            pass


class Consumers:
    """Consumers of one address, behind routers that spread their flows."""

    def __init__(self, fleet, addresses, per_s=40, entries=None):
        self.fleet, self.addresses, self.per_s = fleet, addresses, per_s
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((fleet.consumer, fleet.packet_port))
        self.socket.settimeout(0.05)
        self.entries = entries or fleet.entries
        self.ready = {entry.host: 2 for entry in fleet.entries}
        self.flows, self.next_port = {}, 1024
        self.sent = self.served = self.refused = self.unopened = self.broken = 0
        self.sent_at = {}  # request id -> when its flow's opening packet was sent
        self.running = True
        self.threads = [threading.Thread(target=self.run, daemon=True),
                        threading.Thread(target=self.probe, daemon=True)]
        for thread in self.threads:
            thread.start()

    def probe(self):
        while self.running:
            for entry in self.fleet.entries:
                status, _ = call(entry.host, self.fleet.ready_port, "GET",
                                 "/api/ready", timeout=0.3)
                misses = self.ready[entry.host]
                self.ready[entry.host] = 0 if status == 200 else min(9, misses + 1)
            time.sleep(0.5)

    def entry_for(self, port):
        hosts = [entry.host for entry in self.entries]
        ready = [host for host in hosts if self.ready[host] < 2] or hosts
        return max(ready, key=lambda host: zlib.crc32(
            ("%s %d" % (host, port)).encode()))

    def send(self, port, flow, flags, seq, ack, body=b""):
        host, dport = flow["address"]
        fields = [seq & 0xffffffff, ack & 0xffffffff, 0,
                  number_of(self.fleet.consumer), number_of(host), port, dport,
                  len(body), flags, 0, 0]
        fields[2] = checksum(HEAD.pack(*fields), body)
        fields[10] = flow["echo"]
        entry = self.entry_for(port)
        flow["entry"] = entry
        self.socket.sendto(HEAD.pack(*fields) + body, (entry, self.fleet.packet_port))

    def open(self, address=None):
        self.next_port = 1024 + (self.next_port - 1023) % 60000
        port = self.next_port
        flow = {"address": address or random.choice(self.addresses), "echo": 0,
                "begun": now(), "copies": 0, "open": False, "asked": 0.0,
                "seq": random.getrandbits(32), "answered": False, "entry": None}
        flow["request"] = "%d-%x" % (port, flow["seq"])
        self.flows[port] = flow
        self.sent_at[flow["request"]] = flow["begun"]
        self.sent += 1
        self.send(port, flow, SYN, flow["seq"], 0)

    def finish(self, port, outcome):
        self.flows.pop(port)
        setattr(self, outcome, getattr(self, outcome) + 1)

    def take(self, data):
        seq, ack, _, _, _, _, dport, _, flags, _, echo = HEAD.unpack(data[:32])
        flow = self.flows.get(dport)
        if flow is None:
            return
        if flags & RST:
            self.finish(dport, "broken" if flow["open"] else "refused")
            return
        if flags & SYN:
            if not flow["open"]:
                flow.update(open=True, echo=echo, server_seq=seq)
                self.ask(dport, flow)
            return
        flow["echo"] = echo
        if data[32:] and not flow["answered"]:
            flow["answered"] = True
            self.send(dport, flow, FIN | ACK, flow["seq"] + 200,
                      seq + len(data) - 32)
            self.finish(dport, "served")

    def ask(self, port, flow):
        flow["asked"] = now()
        self.send(port, flow, ACK, flow["seq"] + 1, flow["server_seq"] + 1,
                  flow["request"].encode() + b" " + b"x" * 100)

    def run(self):
        due = now()
        while self.running:
            try:
                self.take(self.socket.recvfrom(4096)[0])
            except OSError:
                pass
            while self.per_s and now() >= due:
                due = max(due + 1.0 / self.per_s, now() - 0.5)
                self.open()
            for port, flow in list(self.flows.items()):
                age = now() - flow["begun"]
                if flow["open"]:
                    if age > 3.0:
                        self.finish(port, "broken")
                    elif now() - flow["asked"] > 0.2:
                        self.ask(port, flow)
                elif age > SYN_LIMIT_S:
                    self.finish(port, "unopened")
                elif flow["copies"] < 2 and age > SYN_COPIES_S[flow["copies"]]:
                    flow["copies"] += 1
                    self.send(port, flow, SYN, flow["seq"], flow["copies"])
            self.socket.settimeout(0.01)


def wait_for(condition, limit_s):
    ends = now() + limit_s
    while now() < ends:
        if condition():
            return True
        time.sleep(0.05)
    return False


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


def require(condition, what):
    if not condition:
        raise CannotRun(what)


class Scene:
    """A small deployment that serves: core and frontend machines in some zones,
    servers of two services, consumers and an operator."""

    ROUTES_VERSION = 10

    def __init__(self, record, folder, delay_s=0.0, servers=(4, 2), zones=3):
        self.record = record
        self.fleet = Fleet(folder, record, cores=zones, entries=2 * zones, zones=zones,
                           proxy_delay_s=delay_s)
        self.zones = zones
        self.lock = threading.Lock()
        self.operator = Operator(self.fleet)
        net = self.fleet.net
        self.stock = ("route-stock", net + ".40.1", 443, "unsafe", "salon")
        self.proofs = ("route-proofs", net + ".40.2", 443, "unsafe", "videoteca")
        self.other = ("route-other", net + ".40.3", 443, "unsafe", "salon")
        self.routes = [self.stock, self.proofs, self.other]
        self.server_counts = servers
        self.servers, self.consumers = [], None

    def document(self, version, routes=None):
        return self.operator.config(version, routes or self.routes,
                                    ["salon", "videoteca"])

    def add_server(self, service):
        with self.lock:
            index = len(self.servers)
            server = Server(self.fleet, index, service, "zone-%d" % (index % self.zones))
            self.servers.append(server)
        return server

    def begin(self, per_s=40):
        self.fleet.start()
        require(self.operator.submit(self.document(self.ROUTES_VERSION)) == 200,
                "the first config was not acknowledged")
        if not per_s:
            return
        for service, count in zip(("salon", "videoteca"), self.server_counts):
            for i in range(count):
                self.add_server(service)
        time.sleep(2.5)
        self.consumers = Consumers(
            self.fleet, [(route[1], route[2]) for route in self.routes], per_s)
        require(wait_for(lambda: self.consumers.served > 60, 10.0),
                "the deployment does not serve")

    def end(self):
        for server in self.servers:
            server.end()
        if self.consumers:
            self.consumers.running = False
        self.fleet.stop()


def run_case(case, trouble, delay_s=0.0, **options):
    """Runs `case(scene, trouble)` in a temporary folder. It returns whether the
    rule was broken. Ends the program with 1, 0 or 2."""
    def stop(*_):
        raise CannotRun("stopped from outside")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    here = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(here / "record.txt")
    record.write("case %s, disruption %s" % (here.name, "on" if trouble else "off"))
    with tempfile.TemporaryDirectory() as folder:
        scene = None
        try:
            scene = Scene(record, folder, delay_s, **options)
            broken = case(scene, trouble)
            status = 1 if broken else 0
        except Exception:  # noqa: BLE001: anything else means that it couldn't run
            record.write("could not run: " + traceback.format_exc())
            status = 2
        finally:
            if scene:
                scene.end()
    verdict = {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}
    record.write("result: %s" % verdict[status])
    print("case %s: %s" % (here.name, verdict[status]))
    sys.stdout.flush()
    os._exit(status)
