"""Sends what no well-behaved server, caller or operator would: odd reports,
configs, HTTP requests, packets and datagrams, drawn from a seed."""
import json
import random
import socket
import struct
import threading
import time

from fleet_processes import (CALL_PORT, MESSAGE_REAL_PORT, PACKET_PORT,
                             READY_PORT)

HEAD = struct.Struct("<IIIIIHHHBBI")
PAUSE_S = 0.05
TIMEOUT_S = 0.3
DEPTHS = (10, 1000, 200000)
NUMBERS = (-1, 0, 65536, 2**31, 2**32 - 1, 2**53, 2**63, 2**64, 10**400, 1.5,
           1e300)
TEXTS = ("", "x" * 300, "x" * 70000, "práctica", "\x00", "a\nb", "\ufeff")
BYTES = (b"\xff\xfe", b"\xc3", b"\xed\xa0\x80", b"\xf4\x90\x80\x80")


class OddWriter(threading.Thread):
    def __init__(self, fleet, own_host, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.random = random.Random(seed)
        self.host = own_host
        self.running = True
        self.sent = {}  # kind -> count
        self.server_ids = []  # of valid servers, set from outside
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((own_host, 0))

    def run(self):
        kinds = [self.report, self.deregistration, self.config, self.http,
                 self.pipeline, self.packet, self.message]
        while self.running:
            kind = self.random.choice(kinds)
            self.sent[kind.__name__] = self.sent.get(kind.__name__, 0) + 1
            try:
                kind()
            except OSError:
                pass  # the process is away or has refused the connection
            time.sleep(self.random.uniform(0, 2 * PAUSE_S))

    def odd_value(self):
        pick = self.random.randrange(5)
        if pick == 0:
            return self.random.choice(NUMBERS)
        if pick == 1:
            return self.random.choice(TEXTS)
        if pick == 2:
            return self.random.choice([None, True, [], {}, [[]], {"a": {}}])
        if pick == 3:
            return [self.random.choice(NUMBERS) for _ in range(5)]
        return {"x": self.random.choice(TEXTS)}

    def odd_bytes(self, body):
        """Cuts, flips, nests or otherwise spoils a serialized body."""
        body = bytearray(body)
        pick = self.random.randrange(6)
        place = self.random.randrange(len(body) + 1)
        if pick == 0:
            return bytes(body[:place])
        if pick == 1 and body:
            body[place % len(body)] = self.random.randrange(256)
        elif pick == 2:
            body[place:place] = self.random.choice(BYTES)
        elif pick == 3:
            depth = self.random.choice(DEPTHS)
            opening = self.random.choice([b"[", b'{"a":'])
            return body[:-1] + b',"odd":' + opening * depth + b"}"
        elif pick == 4:
            depth = self.random.choice(DEPTHS)
            return body[:-1] + b',"odd":' + b"[" * depth + b"]" * depth + b"}"
        return bytes(body)

    def post(self, path, body):
        """Sends one request to some control instance; ignores the answer."""
        host = self.random.choice(self.fleet.controls).host
        with socket.create_connection((host, CALL_PORT),
                                      timeout=TIMEOUT_S) as connection:
            connection.sendall(b"POST %s HTTP/1.1\r\nHost: x\r\n"
                               b"Content-Length: %d\r\n\r\n" %
                               (path, len(body)) + body)
            if self.random.random() < 0.8:
                connection.recv(4096)

    def server_path(self, call):
        ids = [b"i-\xff\xfe", b"", b"x" * 250, b"i-%00", b"i-0a/../b"]
        if self.server_ids and self.random.random() < 0.5:
            ids = [self.random.choice(self.server_ids).encode()]
        return b"/api/Instances.%s/%s" % (call, self.random.choice(ids))

    def report(self):
        """Fields missing, of another type or out of range, or bytes that can't
        be read: the page says that such a report names no server to use."""
        beat = {"Service": "alpha", "Address": "127.0.0.1:9", "Zone": "dc0",
                "Version": "v1", "ConcurrencyLimit": 4, "State": "ready",
                "WarmupRemainingMs": 0, "Sequence": 2**40,
                "born": int(time.time() * 1000) + 60000}
        for field in self.random.sample(
                ["Service", "Address", "Zone", "Version", "ConcurrencyLimit",
                 "State", "WarmupRemainingMs", "Sequence"], 2):
            if self.random.random() < 0.5:
                del beat[field]
            else:
                beat[field] = self.random.choice([None, [], {}, True, -1, 1.5])
        body = json.dumps(beat).encode()
        if self.random.random() < 0.5:
            body = self.odd_bytes(body)
        self.post(self.server_path(b"Heartbeat"), body)

    def deregistration(self):
        body = self.odd_bytes(b'{"born":"x","odd":0}')
        self.post(self.server_path(b"Deregister"), body or b"{")

    def config(self):
        """Always invalid: it names a service that it does not have, and none of
        the odd values is the name of one that it has."""
        document = {"Version": 10**6, "Services": [{"Name": "sesión"}],
                    "Routes": [{"Name": "r", "Hostname": "198.18.0.9",
                                "PathPrefix": "/443/", "Type": "safe",
                                "TimeoutMs": 1000, "Service": "no such"}],
                    "Limits": {"IdleTimeoutMs": 15000}}
        if self.random.random() < 0.5:
            part = self.random.choice([document, document["Services"][0],
                                       document["Routes"][0]])
            part[self.random.choice(list(part))] = self.odd_value()
            document["Routes"] = document.get("Routes") or [{}]
        encoded = json.dumps(document, ensure_ascii=False)
        body = encoded.encode(self.random.choice(["utf-8", "cp1252", "utf-16"]),
                              "replace")
        if self.random.random() < 0.5:
            body = self.odd_bytes(body)
        self.post(b"/api/Config.Replace", body)

    def http(self):
        process = self.random.choice(self.fleet.processes())
        port = CALL_PORT if process.control else READY_PORT
        text = self.random.choice([
            b"GET /api/ready HTTP/1.1\r\n\r\n", b"\r\n\r\n\r\n", b"GET\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"OPTIONS * HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n",
            b"POST /api/Config.Replace HTTP/1.1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
            b"GET /" + b"a" * 20000 + b" HTTP/1.1\r\n\r\n",
            b"GET /\xff\x00 HTTP/1.1\r\nHost: \xff\r\n\r\n"])
        with socket.create_connection((process.host, port),
                                      timeout=TIMEOUT_S) as connection:
            connection.sendall(text[:self.random.randrange(1, len(text) + 1)])
            if self.random.random() < 0.5:
                connection.recv(4096)
            elif self.random.random() < 0.5:  # close with a reset
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))

    def pipeline(self):
        """Several requests at once on one connection."""
        host = self.random.choice(self.fleet.controls).host
        one = b"GET /api/Config.Describe HTTP/1.1\r\nHost: x\r\n\r\n"
        with socket.create_connection((host, CALL_PORT),
                                      timeout=TIMEOUT_S) as connection:
            for _ in range(self.random.randint(2, 20)):
                connection.sendall(one)
                time.sleep(self.random.choice([0, 0, 0.0003]))
            connection.recv(4096)

    def packet(self):
        """A datagram that is no packet, or a header of random fields. Its source
        stays on loopback, since it is answered."""
        entry = self.random.choice(self.fleet.entries).host
        if self.random.random() < 0.3:
            data = self.random.randbytes(self.random.choice([0, 1, 31, 40, 1400]))
        else:
            numbers = [0, 1, 2**31, 2**32 - 1, self.random.randrange(2**32)]
            pick = self.random.choice
            data = HEAD.pack(pick(numbers), pick(numbers), pick(numbers),
                             0x7FFE0000 + self.random.randrange(1, 65535),
                             0xC6120001,
                             self.random.randrange(65536), 443, 0,
                             self.random.randrange(256), 0, pick(numbers))
        self.datagrams.sendto(data, (entry, PACKET_PORT))

    def message(self):
        """A datagram at the port for messages between instances."""
        host = self.random.choice(self.fleet.processes()).host
        kind = self.random.choice([b"\xf1", b"\xf2", b"\x00"])
        count = self.random.choice([1, 2, 65535])
        data = kind + struct.pack("<IHH", self.random.randrange(2**32),
                                  self.random.choice([0, count - 1]), count)
        data += self.random.randbytes(self.random.choice([0, 1, 20, 1000]))
        self.datagrams.sendto(data, (host, MESSAGE_REAL_PORT))
