"""A small deployment on loopback addresses, and an operator, for run.sh scripts.

Each machine is one process, started with the command of the deploy file and
with settings like those that its template yields. Calls are HTTP/1.1 with a
connection each, as in PROTOCOL.md.
"""
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ["target/Source/Commands/filbertwall", "fleet"]
CONTROL_PORT = 8166
READY_PORT = 8167
PACKET_PORT = 8172
MESSAGE_PORT = 7720
METRICS_PORT = 9464
HEARTBEAT_MS = 1200
ZONES = ("quito-norte", "quito-centro", "quito-sur")


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))


def free_network():
    """Returns a prefix such as 127.77 under which our ports are free."""
    for number in range(40, 250):
        prefix = "127.%d" % number
        try:
            probes = []
            for kind, port in ((socket.SOCK_STREAM, CONTROL_PORT),
                               (socket.SOCK_STREAM, READY_PORT),
                               (socket.SOCK_STREAM, METRICS_PORT),
                               (socket.SOCK_DGRAM, MESSAGE_PORT),
                               (socket.SOCK_DGRAM, PACKET_PORT)):
                for host in range(1, 12):
                    probe = socket.socket(socket.AF_INET, kind)
                    probes.append(probe)
                    probe.bind(("%s.0.%d" % (prefix, host), port))
            return prefix
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no network on loopback has these ports free")


class Machine:
    """A machine of the system: its settings, its disk and its process."""

    def __init__(self, deployment, ip, control, zone):
        self.deployment = deployment
        self.ip = ip
        self.control = control
        self.zone = zone
        self.disk = deployment.folder / (ip + "-disk")
        self.settings = deployment.folder / (ip + ".ini")
        self.process = None

    def write_settings(self, first_start):
        seeds = ",".join("%s:%d" % (ip, CONTROL_PORT)
                         for ip in self.deployment.seeds)
        port = CONTROL_PORT if self.control else READY_PORT
        lines = ["[instance]", "id = " + self.ip,
                 "data_centre = " + json.dumps(self.zone),
                 "roles = " + ("control" if self.control else "entry"),
                 "announce_address = %s:%d" % (self.ip, port)]
        if self.control:
            lines.append("data_folder = " + json.dumps(str(self.disk)))
        else:
            lines.append("packet_address = %s:%d" % (self.ip, PACKET_PORT))
        lines += ["control_address = %s:%d" % (self.ip, MESSAGE_PORT),
                  "[fleet]", "seeds = " + seeds,
                  "first_start = " + ("true" if first_start else "false"),
                  "tolerated_losses = 1",
                  "announce_interval = %dms" % HEARTBEAT_MS,
                  "metrics_port = %d" % METRICS_PORT,
                  "regions = " + json.dumps({zone: "quito" for zone in ZONES}),
                  "[security]", "mode = none"]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self, first_start=False):
        if self.control:
            self.disk.mkdir(exist_ok=True)
        self.write_settings(first_start)
        with open(self.deployment.folder / (self.ip + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": str(self.deployment.folder),
                     "FILBERTWALL_CONFIG": str(self.settings)})

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def lose_disk(self):
        shutil.rmtree(self.disk)

    def send(self, number):
        self.process.send_signal(number)


class Deployment:
    """Three control machines and three entry machines, in three zones."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = free_network()
        self.control = []
        self.entry = []
        self.seeds = ["%s.0.%d" % (self.prefix, i) for i in (1, 2, 3)]
        for i, zone in enumerate(ZONES):
            self.control.append(Machine(self, self.seeds[i], True, zone))
            self.entry.append(Machine(self, "%s.0.%d" % (self.prefix, 5 + i),
                                      False, zone))

    def start(self):
        for machine in self.control + self.entry:
            machine.start(first_start=True)

    def close(self):
        for machine in self.control + self.entry:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(host, port, method, path, body=None, timeout=1.0):
    """Sends one call. Returns (status, headers, body); status 0: no answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def call_control(hosts, first, method, path, body=None, timeout=1.0):
    """Calls one of the machines that serve control; follows a 307 twice."""
    host, port = hosts[first % len(hosts)], CONTROL_PORT
    for _ in range(3):
        status, headers, answer = call(host, port, method, path, body, timeout)
        if status != 307:
            break
        target = headers["Location"].split("//")[1].split("/")[0]
        host, port = target.split(":")[0], int(target.split(":")[1])
    return status, host, answer


class Operator:
    """Sends configs and reads the config, as PROTOCOL.md says."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.version = 0
        self.acknowledged = 0
        self.lock = threading.Lock()
        self.content = None  # Returns Routes and Services of a version.
        self.timeout_s = 1.0  # "a second without a response (more for large
        #                       bodies)"

    def hosts(self):
        return [machine.ip for machine in self.deployment.control]

    def make(self, version):
        routes, services = self.content(version)
        return json.dumps({
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})

    def change(self, until):
        """Sends the next version until it is acknowledged or `until`."""
        with self.lock:
            self.version += 1
            version = self.version
        body = self.make(version)
        turn, pause = version, 0.05
        while self.record.now() < until:
            status, host, _ = call_control(self.hosts(), turn, "POST",
                                           "/api/Config.Replace", body,
                                           self.timeout_s)
            self.record.write("sent version %d: %s answered %d" %
                              (version, host, status))
            if status == 200:
                with self.lock:
                    self.acknowledged = max(self.acknowledged, version)
                return True
            turn += 1
            time.sleep(pause)
            pause = min(1.0, pause * 2)
        return False

    def read(self, turn):
        """Returns (version or None, the machine that answered)."""
        status, host, answer = call_control(self.hosts(), turn, "GET",
                                            "/api/Config.Describe", None,
                                            self.timeout_s)
        version = json.loads(answer)["Version"] if status == 200 else None
        self.record.write("read: %s answered %d version %s" %
                          (host, status, version))
        return version, host


def route(address, service, kind="safe", port=8080):
    return {"Name": "r-%s-%d" % (address, port), "Hostname": address,
            "PathPrefix": "/%d/" % port, "Type": kind, "TimeoutMs": 1200,
            "TargetLatencyMs": 200, "Priority": 1, "Service": service,
            "MaxAttempts": 2}


def service(name):
    return {"Name": name, "HealthCheckPath": "/health", "MaxFlows": 2000,
            "Protocol": "h1", "Tls": False}
