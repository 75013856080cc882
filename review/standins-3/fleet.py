"""Stand-ins of the platform, the operator and the backend servers for the review.

The programs are the project's own, started with the command of the deploy file
(`deploy/system.toml`) and with the settings that `deploy/settings.ini` yields. Each
machine has a loopback address of its own; all machines use the same ports.
"""
import http.client
import json
import os
import pathlib
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target/Source/Commands/filbertwall"

CONTROL_PORT = 8166
READY_PORT = 8167
PACKET_PORT = 8172
INTERNAL_PORT = 7720
PROXY_PORT = 7721        # of the proxy between the machines, where there is one
PROXY_OUT_PORT = 7722
RESERVATION_PORT = 7719

HELD, BROKEN, NOT_RUN = 0, 1, 2

reservations = []


def reserve_network():
    """Returns a prefix 127.N that no other run of these scripts uses."""
    for number in range(20, 250):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(("127.%d.0.1" % number, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        reservations.append(reservation)
        return "127.%d" % number
    raise RuntimeError("no network on loopback is free")


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        line = "%8.3f  %s" % (self.now(), text)
        self.file.write(line + "\n")
        print(line)


class Quiet:
    """A record that keeps the time of another one and writes only what breaks a rule."""

    def __init__(self, record):
        self.record = record

    def now(self):
        return self.record.now()

    def write(self, text):
        if text.startswith(("UNASKED", "server-")) and "runs" not in text and \
                "gets SYN" not in text:
            self.record.write(text)


class Machine:
    """One machine: its address, zone, settings, data folder and process."""

    def __init__(self, fleet, name, host, zone, control):
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.control = control
        self.data = fleet.folder / name
        self.data.mkdir()
        self.settings = fleet.folder / (name + ".ini")
        self.process = None

    @property
    def address(self):
        return "%s:%d" % (self.host, CONTROL_PORT if self.control else READY_PORT)

    def write_settings(self, bootstrap):
        zones = {zone: self.fleet.region for zone in self.fleet.zones}
        lines = ["[instance]", "id = " + self.host,
                 "data_centre = " + json.dumps(self.zone)]
        if self.control:
            lines += ["roles = control", "announce_address = " + self.address,
                      "data_folder = " + json.dumps(str(self.data))]
        else:
            lines += ["roles = entry",
                      "packet_address = %s:%d" % (self.host, PACKET_PORT),
                      "announce_address = " + self.address]
        lines += ["control_address = %s:%d" % (self.host, INTERNAL_PORT), "",
                  "[fleet]", "seeds = " + ",".join(self.fleet.seeds),
                  "first_start = " + ("true" if bootstrap else "false"),
                  "tolerated_losses = %d" % self.fleet.tolerated,
                  "announce_interval = %dms" % self.fleet.heartbeat_ms,
                  "metrics_port = 9464"]
        if self.fleet.proxied:
            lines.append("peer_port = %d" % PROXY_PORT)
        if self.fleet.evacuations:
            lines.append("balance_by_load = true")
        lines += ["regions = " + json.dumps(zones), "", "[security]",
                  "mode = none"]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "HOME": str(self.fleet.folder), "LANG": "C",
                       "FILBERTWALL_CONFIG": str(self.settings)}
        with open(self.fleet.folder / (self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([str(BINARY), "fleet"], cwd=ROOT,
                                            env=environment, stdout=log,
                                            stderr=log)
        self.fleet.record.write("%s (%s, %s) started, pid %d, Bootstrap %s" % (
            self.name, self.host, self.zone, self.process.pid, bootstrap))

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.fleet.record.write("%s gets %s" % (self.name,
                                                signal.Signals(number).name))
        self.process.send_signal(number)

    def wait(self, limit):
        """Waits for the end of the process; kills it after `limit` seconds."""
        try:
            self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.fleet.record.write("%s has ended" % self.name)

    def wipe(self):
        shutil.rmtree(self.data)
        self.data.mkdir()
        self.fleet.record.write("%s lost its disk: DataDir is empty" % self.name)

    def log_text(self):
        return (self.fleet.folder / (self.name + ".log")).read_text(
            errors="replace")


class PeerProxy(threading.Thread):
    """Carries the datagrams between machines. `cut` holds the pairs (from, to) of
    addresses between which nothing passes."""

    def __init__(self, hosts):
        super().__init__(daemon=True)
        self.cut = set()
        self.running = True
        self.selector = selectors.DefaultSelector()
        self.out = {}
        for host in hosts:
            inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            inner.bind((host, PROXY_PORT))
            inner.setblocking(False)
            self.selector.register(inner, selectors.EVENT_READ, host)
            self.out[host] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.out[host].bind((host, PROXY_OUT_PORT))

    def run(self):
        while self.running:
            for key, _ in self.selector.select(0.01):
                while True:
                    try:
                        data, (sender, _) = key.fileobj.recvfrom(4096)
                    except OSError:
                        break
                    if (sender, key.data) not in self.cut and sender in self.out:
                        try:
                            self.out[sender].sendto(data, (key.data, INTERNAL_PORT))
                        except OSError:
                            pass  # The target is not listening.


class Fleet:
    """A small deployment: control machines (class core) and entry machines."""

    def __init__(self, record, zones, controls, entries, tolerated=1,
                 heartbeat_ms=1200, evacuations=False, proxied=False,
                 control_hosts=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = reserve_network()
        self.zones = zones
        self.region = "quito"
        self.tolerated = tolerated
        self.heartbeat_ms = heartbeat_ms
        self.evacuations = evacuations
        self.proxied = proxied
        self.machines = []
        control_hosts = control_hosts or (lambda network: [None] * controls)
        hosts = control_hosts(self.network)
        self.controls = [self.add("core-%d" % (i + 1), zones[i % len(zones)], True,
                                  hosts[i]) for i in range(controls)]
        self.entries = [self.add("front-%d" % (i + 1), zones[i % len(zones)], False)
                        for i in range(entries)]
        self.seeds = [machine.address for machine in self.controls[:3]]

    def add(self, name, zone, control, host=None):
        host = host or "%s.%d.%d" % (self.network, 1 if control else 2,
                                     10 + len(self.machines))
        machine = Machine(self, name, host, zone, control)
        self.machines.append(machine)
        return machine

    def start(self):
        for machine in self.machines:
            machine.start(bootstrap=True)

    def stop(self):
        for machine in self.machines:
            if machine.alive():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, timeout=1.0):
    """One call. Returns the status, the headers and the body; status 0 without an
    answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


def follow(address, method, path, body=None, timeout=1.0):
    """A call that follows a 307 twice, as callers of control_plane do."""
    status, headers, answer = call(address, method, path, body, timeout)
    for _ in range(2):
        location = headers.get("Location", "")
        if status != 307 or not location.startswith("http://"):
            break
        address, _, rest = location[len("http://"):].partition("/")
        status, headers, answer = call(address, method, "/" + rest, body, timeout)
    return status, answer, address


class Operator:
    """Sends orders to one node after another until one gives a clear answer."""

    def __init__(self, record, addresses):
        self.record = record
        self.addresses = list(addresses)
        self.turn = 0

    def next_address(self):
        self.turn += 1
        return self.addresses[self.turn % len(self.addresses)]

    def order(self, name, path, body, limit):
        """Sends an order again until it is acknowledged or refused, for `limit`
        seconds. Returns the last status."""
        deadline = time.monotonic() + limit
        pause = 0.1
        status = 0
        while time.monotonic() < deadline:
            address = self.next_address()
            status, answer, last = follow(address, "POST", path, body)
            self.record.write("%s to %s -> %d from %s %s" % (
                name, address, status, last, answer[:80].decode(errors="replace")))
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return status

    def replace(self, config, limit):
        return self.order("Config.Replace version %d" % config["Version"],
                          "/api/Config.Replace", json.dumps(config), limit)

    def read(self):
        """Reads the config at each node. Returns the highest version and all
        statuses."""
        best, statuses = 0, []
        for address in self.addresses:
            status, answer, last = follow(address, "GET", "/api/Config.Describe")
            version = json.loads(answer)["Version"] if status == 200 else 0
            statuses.append("%s:%d/%d" % (address, status, version))
            best = max(best, version)
        self.record.write("Config.Describe " + " ".join(statuses))
        return best


def make_config(version, services, routes, timeout_ms=1500):
    """A complete config. `services` maps names to extra fields; `routes` are
    (name, host, port, type, service)."""
    return {
        "Version": version,
        "Routes": [{"Name": name, "Hostname": host, "PathPrefix": "/%d/" % port,
                    "Type": kind, "TimeoutMs": timeout_ms, "TargetLatencyMs": 300,
                    "Priority": 1, "Service": service, "MaxAttempts": 2}
                   for name, host, port, kind, service in routes],
        "Services": [dict({"Name": name, "HealthCheckPath": "/health",
                           "MaxFlows": 2000, "Protocol": "h1", "Tls": False},
                          **extra) for name, extra in services.items()],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def main(case_file, run):
    """Runs a case: `run(record, trouble)` returns whether the rule held, or None
    when the case couldn't run."""
    folder = pathlib.Path(case_file).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("TROUBLE=%d" % trouble)
    if not BINARY.exists():
        record.write("the build of the deploy file is missing: %s" % BINARY)
        sys.exit(NOT_RUN)
    try:
        held = run(record, trouble)
    except Exception as error:  # Any failure of the script itself.
        record.write("the case could not run: %r" % error)
        sys.exit(NOT_RUN)
    if held is None:
        record.write("result: the case could not run")
        sys.exit(NOT_RUN)
    record.write("result: the rule %s" % ("held" if held else "was broken"))
    sys.exit(HELD if held else BROKEN)
