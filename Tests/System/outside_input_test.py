"""Checks that nothing that arrives from outside ends a process of a fleet or
hides what is valid.

Each test starts three control instances and one entry instance, sends them one
kind of input that no well-behaved sender would, and then expects the same
processes to run and to do their work.
"""
import contextlib
import http.client
import json
import os
import pathlib
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "Soak"))
import fleet_processes  # noqa: E402
from deployment import wait_until  # noqa: E402
from fleet_processes import (CALL_REAL_PORT, METRICS_PORT,  # noqa: E402
                             PACKET_PORT, READY_PORT)

START_LIMIT = 10.0       # seconds until a leader answers and packets are taken
IN_FORCE_LIMIT = 3.0     # ConfigApplyMs of the platform's deployments
END_DELAY = 0.5          # seconds in which a process that was harmed ends
HEAD = struct.Struct("<IIIIIHHHBBI")
SYN, RST = 1, 2
TRACKED_FLOWS = 100000   # limit of an entry instance's flow table
FLOOD_BURST = 10000
FLOOD_LIMIT = 60.0       # seconds until the flow table is full
MEMORY_LIMIT = 80 << 20  # bytes of an entry process in the smallest deployment


class SmallFleet:
    def __init__(self, folder, controls=3, descriptors=None):
        own = os.getpid()
        network = fleet_processes.reserve_network(224 + own % 30)
        self.fleet = fleet_processes.Fleet(network, folder, own, controls, 1)
        self.controls, self.entry = self.fleet.controls, self.fleet.entries[0]
        self.version = 0
        self.descriptors = descriptors

    def start(self):
        old = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (self.descriptors or old[0], old[1]))
        for process in self.fleet.processes():
            process.start(first_start=True)
        resource.setrlimit(resource.RLIMIT_NOFILE, old)
        wait_until(self.leader, START_LIMIT, "a leader")
        # The first config is sent again until it is accepted.
        wait_until(lambda: self.submit() == 200, START_LIMIT, "a first config")
        for number in range(1, 4):
            assert self.report("i-%08x" % number)[0] == 200
        wait_until(self.is_ready, START_LIMIT, "the entry instance serves")
        self.pids = [p.process.pid for p in self.fleet.processes()]

    def call(self, host, method, path, body=None, timeout=2.0):
        """Status and body; status 0 when nothing answers. Follows redirects."""
        port = CALL_REAL_PORT
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, port,
                                                        timeout=timeout)
                connection.request(method, path, body)
                answer = connection.getresponse()
                data = answer.read()
                connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b""
            if answer.status != 307:
                return answer.status, data
            host = urllib.parse.urlparse(answer.getheader("Location")).hostname
        return 0, b""

    def document(self, version, timeout_ms=1000):
        return {"Version": version, "Limits": {"IdleTimeoutMs": 15000},
                "Routes": [{"Name": "práctica", "Hostname": "198.18.0.1",
                            "PathPrefix": "/443/", "Type": "safe",
                            "TimeoutMs": timeout_ms, "Service": "alpha"}],
                "Services": [{"Name": "alpha"}, {"Name": "beta"}]}

    def submit(self, host=None):
        """Submits the next version; returns the status."""
        self.version += 1
        return self.call(host or self.controls[0].host, "POST",
                         "/api/Config.Replace",
                         json.dumps(self.document(self.version)))[0]

    def heartbeat(self, **changes):
        beat = {"Service": "alpha", "Address": "127.0.0.9:9000", "Zone": "dc0",
                "Version": "v1", "ConcurrencyLimit": 2, "State": "ready",
                "WarmupRemainingMs": 0, "Sequence": 1, "born": 1775979203709}
        beat.update(changes)
        return {key: value for key, value in beat.items() if value is not None}

    def report(self, server, host=None, **changes):
        return self.call(host or self.controls[0].host, "POST",
                         "/api/Instances.Heartbeat/" + server,
                         json.dumps(self.heartbeat(**changes)))

    def leader(self):
        return [c for c in self.controls
                if self.metric(c.host, "filbertwall_leader") == 1]

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.entry.host, READY_PORT,
                                                    timeout=0.5)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def metric(self, host, name):
        """Value of a metric without a label, or None."""
        try:
            connection = http.client.HTTPConnection(host, METRICS_PORT,
                                                    timeout=0.5)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return None
        found = re.search(r"(?m)^%s (\S+)" % name, text)
        return float(found.group(1)) if found else None

    def in_force(self):
        return self.metric(self.entry.host, "filbertwall_rules_version")

    def check(self):
        """Fails unless every process is the one that was started, and a new
        version gets into force."""
        time.sleep(END_DELAY)
        ended = {p.host: p.process.returncode for p in self.fleet.processes()
                 if not p.alive()}
        assert not ended, "processes ended by themselves: %s" % ended
        assert self.pids == [p.process.pid for p in self.fleet.processes()]
        wait_until(lambda: self.submit() == 200, 5.0, "a version is accepted")
        wait_until(lambda: self.in_force() == self.version, IN_FORCE_LIMIT,
                   lambda: "version %d in force: %s" % (self.version,
                                                        self.in_force()))


@contextlib.contextmanager
def small_fleet(controls=3, descriptors=None):
    with tempfile.TemporaryDirectory(prefix="outside-input-") as folder:
        small = SmallFleet(folder, controls, descriptors)
        try:
            small.start()
            yield small
        finally:
            small.fleet.stop()


def config_cut_inside_a_letter_ends_no_control_instance():
    with small_fleet() as small:
        text = json.dumps(small.document(99), ensure_ascii=False).encode()
        cut = text[:text.index("áctica".encode()) + 1]
        windows = json.dumps(small.document(99),
                             ensure_ascii=False).encode("cp1252")
        for control in small.controls:
            for body in (cut, windows):
                status, _ = small.call(control.host, "POST",
                                       "/api/Config.Replace", body)
                assert status == 400, status
        small.check()


def deeply_nested_body_ends_no_control_instance():
    with small_fleet() as small:
        deep = "[" * 200000 + "]" * 200000
        beat = json.dumps(small.heartbeat())[:-1] + ',"odd":' + deep + "}"
        config = json.dumps(small.document(99))[:-1] + ',"odd":' + deep + "}"
        for control in small.controls:
            small.call(control.host, "POST", "/api/Instances.Heartbeat/i-09",
                       beat)
            small.call(control.host, "POST", "/api/Instances.Deregister/i-09",
                       beat)
            small.call(control.host, "POST", "/api/Config.Replace", config)
        small.check()


def report_id_that_is_no_text_hides_no_later_config():
    with small_fleet() as small:
        for control in small.controls:
            for path in ("Heartbeat", "Deregister"):
                with socket.create_connection((control.host,
                                               CALL_REAL_PORT)) as connection:
                    body = json.dumps(small.heartbeat()).encode()
                    connection.sendall(
                        b"POST /api/Instances.%s/i-\xff\xfe HTTP/1.1\r\n"
                        b"Host: x\r\nContent-Length: %d\r\n\r\n%s" % (
                            path.encode(), len(body), body))
                    assert b" 400 " in connection.recv(4096)[:20]
        small.check()


def opening_packet_with_the_largest_count_ends_no_entry_instance():
    with small_fleet() as small:
        caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for count in (2**32 - 1, 2**31, 3, 4):
            head = HEAD.pack(1, count, 0, 0x7F000007, 0xC6120001, 40001, 443,
                             0, SYN, 0, 0)
            caller.sendto(head, (small.entry.host, PACKET_PORT))
        small.check()


def is_sanitized():
    """Whether the sanitizer's own memory counts as the process's."""
    return b"__asan_init" in pathlib.Path(fleet_processes.BINARY).read_bytes()


def resident_bytes(process):
    with open("/proc/%d/status" % process.process.pid, encoding="ascii") as status:
        return 1024 * int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def flood(host, first, count):
    """Opens flows from as many callers; resets each fourth and opens it anew."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for number in range(first, first + count):
        for flags in (SYN, RST, SYN) if number % 4 == 0 else (SYN,):
            caller.sendto(HEAD.pack(1, 0, 0, 0x7F010000 + number // 60000,
                                    0xC6120001, 1 + number % 60000, 443, 0,
                                    flags, 0, 0), (host, PACKET_PORT))
        if number % 64 == 0:
            time.sleep(0.001)


def flood_of_openings_ends_no_entry_instance_by_memory():
    with small_fleet() as small:
        small.version += 1
        order = json.dumps(small.document(small.version, 600000))
        assert small.call(small.controls[0].host, "POST", "/api/Config.Replace",
                          order)[0] == 200
        wait_until(lambda: small.in_force() == small.version, IN_FORCE_LIMIT,
                   "the long time-out is in force")
        end = time.monotonic() + FLOOD_LIMIT
        number = 0
        while small.metric(small.entry.host,
                           "filbertwall_flows_open") < TRACKED_FLOWS:
            assert time.monotonic() < end, "the flow table isn't full"
            for server in range(1, 4):
                small.report("i-%08x" % server, Sequence=2 + number)
            flood(small.entry.host, number, FLOOD_BURST)
            number += FLOOD_BURST
        flood(small.entry.host, number, FLOOD_BURST)
        used = resident_bytes(small.entry)
        assert is_sanitized() or used < MEMORY_LIMIT, used
        small.check()


def second_order_on_a_pending_connection_ends_no_control_instance():
    with small_fleet() as small:
        for _ in range(30):
            small.version += 1
            body = json.dumps(small.document(small.version)).encode()
            order = (b"POST /api/Config.Replace HTTP/1.1\r\nHost: x\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            for control in small.controls:
                with socket.create_connection((control.host, CALL_REAL_PORT),
                                              timeout=2) as connection:
                    connection.sendall(order)
                    time.sleep(0.0005)
                    connection.sendall(order)
                    connection.recv(4096)
        small.check()


def http_ports(small):
    """The addresses at which the processes take HTTP calls."""
    return ([(c.host, CALL_REAL_PORT) for c in small.controls] +
            [(c.host, METRICS_PORT) for c in small.fleet.processes()] +
            [(small.entry.host, READY_PORT)])


def connect(address):
    """A connection that may not be established yet."""
    stream = socket.socket()
    stream.setblocking(False)
    stream.connect_ex(address)
    return stream


def processor_seconds(process):
    fields = pathlib.Path("/proc/%d/stat" % process.process.pid).read_text()
    user, system = fields.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def odd_http_ends_no_process():
    post = b"POST /api/Config.Replace HTTP/1.1\r\nHost: x\r\n"
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    get = b"GET /api/Config.Describe HTTP/1.1\r\nHost: x\r\n\r\n"
    inputs = [
        b"", b"\r\n", b"\0" * 100, b"\xff" * 100, b"a" * 100000,
        b"GET /api/ready\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"BREW / HTTP/1.1\r\n\r\n", b"CONNECT x:1 HTTP/1.1\r\n\r\n",
        b"OPTIONS * HTTP/1.1\r\n\r\n", b"HEAD /metrics HTTP/1.1\r\n\r\n",
        b"GET http://x/api/ready HTTP/1.1\r\n\r\n",
        b"GET http://[::1 HTTP/1.1\r\n\r\n", b"GET :// HTTP/1.1\r\n\r\n",
        b"GET /a\0b HTTP/1.1\r\n\r\n", b"GET /\xff\xfe HTTP/1.1\r\n\r\n",
        b"GET /" + b"%" * 8000 + b" HTTP/1.1\r\n\r\n",
        b"POST /api/Instances.Heartbeat/a\r b HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\n a: b\r\n\r\n", b"GET / HTTP/1.1\r\n:\r\n\r\n",
        b"GET / HTTP/1.1\r\na:" + b" \r\n b" * 2000 + b"\r\n\r\n",
        post + b"Content-Length: -1\r\n\r\n",
        post + b"Content-Length: 9223372036854775807\r\n\r\n",
        post + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        post + b"Content-Length: 5000000\r\n\r\n" + b"a" * 100000,
        post + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n{}",
        post + b"Expect: x\r\nContent-Length: 2\r\n\r\n{}",
        chunked + b"-1\r\n", chunked + b"ffffffffffffffff\r\n",
        chunked + b"7fffffffffffffff\r\n", chunked + b"\r\n" * 10000,
        chunked + b"1\r\na\r\n" * 10000 + b"0\r\n\r\n",
        chunked + b"0\r\n" + b"a: b\r\n" * 10000 + b"\r\n", get * 1000,
        get + post + b"Content-Length: 2\r\n\r\n{}" + get]
    with small_fleet() as small:
        streams = []
        for address in http_ports(small):
            for data in inputs:
                stream = socket.create_connection(address, timeout=2)
                streams.append(stream)
                with contextlib.suppress(OSError):
                    stream.sendall(data)
        time.sleep(0.2)
        for stream in streams:
            stream.close()
        small.check()


def idle_connections_beyond_the_descriptors_stop_no_process():
    with small_fleet(descriptors=64) as small:
        streams = [connect(address) for _ in range(100)
                   for address in http_ports(small)]
        processes = small.fleet.processes()
        before = [processor_seconds(process) for process in processes]
        time.sleep(2.0)
        used = [processor_seconds(process) - start
                for process, start in zip(processes, before)]
        assert max(used) < 0.2, used
        assert small.is_ready()
        small.check()
        for stream in streams:
            stream.close()


def unfinished_bodies_end_no_control_instance():
    # Memory that a sanitizer keeps back would count as resident.
    os.environ["ASAN_OPTIONS"] = ":".join(
        [os.environ.get("ASAN_OPTIONS", ""), "quarantine_size_mb=1"])
    with small_fleet() as small:
        control = small.controls[0]
        head = (b"POST /api/Config.Replace HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 4000000\r\n\r\n")
        streams = []
        for _ in range(60):
            stream = socket.create_connection((control.host, CALL_REAL_PORT))
            streams.append(stream)
            with contextlib.suppress(OSError):
                stream.settimeout(2)
                stream.sendall(head + b"a" * 3900000)
        used = resident_bytes(control)
        assert is_sanitized() or used < 100 * 2**20, used
        small.check()
        for stream in streams:
            stream.close()


def answer_being_sent_is_not_cut_by_a_stop():
    with small_fleet() as small:
        document = small.document(small.version + 1)
        document["Routes"] = [
            dict(document["Routes"][0], Name="r%s-%d" % ("x" * 200, number),
                 Hostname="198.18.%d.%d" % (number // 250, number % 250))
            for number in range(10000)]
        small.version += 1
        text = json.dumps(document)
        wait_until(lambda: small.call(small.controls[0].host, "POST",
                                      "/api/Config.Replace", text, 9)[0] == 200,
                   START_LIMIT, "a large config is accepted")
        host = wait_until(small.leader, START_LIMIT, "a leader")[0].host
        control = [c for c in small.controls if c.host == host][0]
        stream = socket.socket()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        stream.connect((host, CALL_REAL_PORT))
        stream.sendall(b"GET /api/Config.Describe HTTP/1.1\r\nHost: x\r\n\r\n")
        received = stream.recv(4096)
        assert b" 200 " in received[:20], received[:100]
        control.signal(signal.SIGTERM)
        time.sleep(0.6)
        answer = bytearray(received)
        with contextlib.suppress(OSError):
            while data := stream.recv(65536):
                answer += data
        head, _, body = bytes(answer).partition(b"\r\n\r\n")
        length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
        assert len(body) == length, (len(body), length)


def call_path_of_any_length_and_bytes_leaves_log_lines_readable():
    with small_fleet() as small:
        for control in small.controls:
            with socket.create_connection((control.host,
                                           CALL_REAL_PORT)) as connection:
                connection.sendall(b"GET /" + b"\xc2\x9b" * 7000 +
                                   b" HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 404 " in connection.recv(4096)[:20]
        time.sleep(END_DELAY)
        for control in small.controls:
            log = (small.fleet.folder / (control.host + ".log")).read_bytes()
            longest = max(log.splitlines(), key=len)
            assert len(longest) < 1000, len(longest)
            assert b"\xc2" not in log
        small.check()


def hangup_during_the_start_ends_no_process():
    with tempfile.TemporaryDirectory(prefix="outside-input-") as folder:
        settings = os.path.join(folder, "settings.ini")
        os.mkfifo(settings)
        process = subprocess.Popen([fleet_processes.BINARY, "fleet", settings])
        try:
            # The settings are open for writing once the process reads them.
            wait_until(lambda: can_write(settings), 5.0, "settings are read")
            process.send_signal(signal.SIGHUP)
            time.sleep(END_DELAY)
            assert process.poll() is None, process.returncode
        finally:
            process.kill()
            process.wait()


@contextlib.contextmanager
def one_answer(body):
    """An HTTP server that answers one call with status 200 and the body;
    yields its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        def serve():
            connection = listener.accept()[0]
            with connection:
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d"
                                   b"\r\n\r\n%s" % (len(body), body))
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield "127.0.0.1:%d" % listener.getsockname()[1]
        thread.join(5)


def explain_answers_and_odd_calls_are_refused():
    """Guards against an answer that differs from what the instance does, one
    that a control instance gives, and odd calls that are answered."""
    with small_fleet() as small:
        def explain(host, *words):
            return subprocess.run(
                [fleet_processes.BINARY, "explain", "--at",
                 "%s:%d" % (host, METRICS_PORT)] + list(words),
                capture_output=True, text=True, check=False, timeout=20)

        def get(target, method="GET"):
            connection = http.client.HTTPConnection(
                small.entry.host, METRICS_PORT, timeout=2)
            connection.request(method, target)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())

        entry = small.entry.host
        placed = explain(entry, "--json", "198.18.0.1:443", "127.0.0.1:1059")
        assert placed.returncode == 0, placed
        answer = json.loads(placed.stdout)
        assert answer["route"]["service"] == "alpha", answer
        assert answer["decision"]["action"] == "forward", answer
        assert answer["servers"][0]["id"] == answer["decision"]["server"]
        text = explain(entry, "198.18.0.1:443")
        assert text.stdout.splitlines()[-1].startswith(
            "decision: forward to server i-0000000"), text
        assert "FW-6001" not in small.entry.log_text()
        unknown = explain(entry, "198.18.0.9:443")
        assert "route: none\n" in unknown.stdout, unknown
        assert "decision: reset (no-route)\n" in unknown.stdout, unknown
        control = explain(small.controls[0].host, "198.18.0.1:443")
        assert control.returncode == 4, control
        assert control.stderr == (
            "refused: a control instance forwards no flows: ask an entry "
            "instance\n"), control
        # Another HTTP server of the instance: no answer of this form.
        other = subprocess.run(
            [fleet_processes.BINARY, "explain", "--at",
             "%s:%d" % (entry, READY_PORT), "198.18.0.1:443"],
            capture_output=True, text=True, check=False, timeout=20)
        assert other.returncode == 5, other
        for body in (b"hello", b"{}", b"[1]", b'{"route": "\xff"}', b""):
            with one_answer(body) as address:
                strange = subprocess.run(
                    [fleet_processes.BINARY, "explain", "--at", address,
                     "198.18.0.1:443"],
                    capture_output=True, text=True, check=False, timeout=20)
            assert strange.returncode == 5, strange
            assert strange.stderr.startswith("unknown: "), strange
            assert not strange.stdout, strange
        for target in ("/explain", "/explain?", "/explain?to=", "/explain?x=1",
                       "/explain?to=198.18.0.1", "/explain?to=a%FF:1",
                       "/explain?to=198.18.0.1:443&to=198.18.0.1:443",
                       "/explain?from=198.18.0.1:443",
                       "/explain?to=198.18.0.1:443&from=",
                       "/explain?to=" + "1" * 300):
            status, refusal = get(target)
            assert status == 400 and refusal["error"], (target, refusal)
        assert get("/explain?to=198.18.0.1:443", "POST")[0] == 400
        assert get("/explain?to=198.18.0.1%3A443")[0] == 200
        small.check()


def can_write(fifo):
    try:
        os.set_blocking(os.open(fifo, os.O_WRONLY | os.O_NONBLOCK), True)
        return True
    except OSError:
        return False


if __name__ == "__main__":
    globals()[sys.argv[1]]()
