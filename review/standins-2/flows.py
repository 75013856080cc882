"""Stand-ins for the routers, the consumers and the servers, by PROTOCOL.md.

One packet holds a whole request or a whole response, so each end has at most
one packet in flight on a flow, which it repeats until it is acknowledged.
"""
import json
import socket
import struct
import threading
import time
import zlib

from deployment import CONTROL_PORT, PACKET_PORT, READY_PORT, call

SYN, RST, ACK, FIN, BOUNCED = 1, 2, 4, 8, 64
HEAD = struct.Struct("<IIIIIHHHBBI")
KEY = b"known to both ends only"


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.echo = seq, ack, data, echo
        self.sum = self.keyed_sum()

    def keyed_sum(self):
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq,
                     self.ack, self.data)).encode()
        return zlib.crc32(KEY + text)

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.sum, ip_number(self.src[0]),
                         ip_number(self.dst[0]), self.src[1], self.dst[1],
                         len(self.data), self.flags, 0, self.echo) + self.data


def decode(datagram):
    (seq, ack, keyed, src, dst, sport, dport, length, flags, _,
     echo) = HEAD.unpack_from(datagram)
    packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq,
                    ack, datagram[HEAD.size:HEAD.size + length], echo)
    packet.valid = packet.sum == keyed
    packet.sum = keyed
    return packet


class Router:
    """Sends each packet to an entry machine that is in rotation.

    The machine is the one with the highest hash of the flow and its address,
    so only the flows of a machine that leaves or joins move.
    """

    def __init__(self, machines, record):
        self.machines = machines
        self.record = record
        self.misses = {machine.ip: 2 for machine in machines}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.running = True
        for machine in machines:
            threading.Thread(target=self.probe, args=(machine.ip,),
                             daemon=True).start()

    def probe(self, ip):
        while self.running:
            ready = call(ip, READY_PORT, "GET", "/api/ready",
                         timeout=0.4)[0] == 200
            before = self.misses[ip]
            self.misses[ip] = 0 if ready else before + 1
            if (before < 2) != (self.misses[ip] < 2):
                self.record.write("router: %s %s rotation" % (
                    ip, "is in" if ready else "is out of"))
            time.sleep(0.5)

    def in_rotation(self):
        ready = [ip for ip, misses in self.misses.items() if misses < 2]
        # With fewer than half of them, all are used.
        return ready if 2 * len(ready) >= len(self.misses) else list(
            self.misses)

    def choose(self, packet):
        key = repr((packet.src, packet.dst)).encode()
        return max(self.in_rotation(),
                   key=lambda ip: zlib.crc32(key + ip.encode()))

    def send(self, packet):
        ip = self.choose(packet)
        self.socket.sendto(packet.encode(), (ip, PACKET_PORT))
        return ip


class Server:
    """A server that answers each request after some work."""

    def __init__(self, name, service, zone, address, hosts, record):
        self.name, self.service, self.zone = name, service, zone
        self.address, self.hosts, self.record = address, hosts, record
        self.number = int("".join(c for c in name
                                  if c in "0123456789abcdef"), 16)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.runs = []
        self.turn = 0
        self.endpoint = None
        self.running = True
        self.calls = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(address)
        threading.Thread(target=self.receive, daemon=True).start()

    def report(self):
        """Sends one liveness report; returns whether it was acknowledged."""
        with self.calls:
            for _ in range(2 * len(self.hosts)):
                self.sequence += 1
                body = {"Service": self.service, "Zone": self.zone,
                        "Address": "%s:%d" % self.address, "Version": "v1",
                        "ConcurrencyLimit": 2, "State": self.state,
                        "WarmupRemainingMs": 0, "Sequence": self.sequence,
                        "born": self.born}
                host = self.endpoint or self.hosts[self.turn % len(self.hosts)]
                status, _, answer = call(
                    host, CONTROL_PORT, "POST",
                    "/api/Instances.Heartbeat/" + self.name, json.dumps(body))
                if status == 200:
                    named = json.loads(answer).get("HeartbeatEndpoint")
                    self.endpoint = named.split(":")[0] if named else None
                    return True
                self.endpoint = None
                self.turn += 1
        return False

    def start_reports(self, interval_s):
        def repeat():
            while self.running:
                self.report()
                time.sleep(interval_s)

        threading.Thread(target=repeat, daemon=True).start()

    def drain(self):
        self.state = "draining"
        acknowledged = self.report()
        self.record.write("server %s: draining, acknowledged %s" %
                          (self.name, acknowledged))
        return acknowledged

    def send(self, packet):
        self.socket.sendto(packet.encode(), (packet.dst[0], PACKET_PORT))

    def reply(self, packet, flags, flow=None, data=b""):
        self.send(Packet(packet.dst, packet.src, flags,
                         flow["seq"] if flow else packet.ack,
                         packet.seq + len(packet.data) +
                         (1 if packet.flags & (SYN | FIN) else 0), data,
                         packet.echo))

    def receive(self):
        while self.running:
            datagram, _ = self.socket.recvfrom(2048)
            number = int.from_bytes(datagram[:8], "big")
            if number not in (0, self.number):
                continue  # It is for another server.
            self.handle(decode(datagram[8:]))

    def handle(self, packet):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if not packet.valid:
            self.record.write("server %s: a packet that its sender didn't "
                              "write so" % self.name)
            return
        if packet.flags & SYN:
            if flow is None or flow["syn"] != packet.seq:
                flow = {"syn": packet.seq, "seq": zlib.crc32(
                    repr((key, self.name)).encode()) & 0x3fffffff,
                        "open": False, "answers": {}}
                self.flows[key] = flow
            self.reply(packet, SYN | ACK, flow)
            return
        if flow is None:
            if not packet.flags & RST:
                self.record.write("server %s: reset of a flow that it doesn't "
                                  "hold, from %s:%d" %
                                  ((self.name,) + packet.src))
                self.reply(packet, RST)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"] and packet.ack == flow["seq"] + 1:
            flow["open"] = True
            flow["seq"] += 1
        if packet.data:
            answer = flow["answers"].get(packet.seq)
            if answer is None:
                self.runs.append(packet.data)
                self.record.write("server %s: runs %s" %
                                  (self.name, packet.data.decode()))
                closes = FIN if self.state == "draining" else 0
                answer = (flow["seq"], b"answer to " + packet.data, closes)
                flow["answers"][packet.seq] = answer
                flow["seq"] += len(answer[1]) + (1 if closes else 0)
            self.send(Packet(packet.dst, packet.src, ACK | answer[2], answer[0],
                             packet.seq + len(packet.data), answer[1],
                             packet.echo))
        elif packet.flags & FIN:
            self.reply(packet, ACK, flow)


class Flow:
    """A consumer's flow, kept open for several requests."""

    def __init__(self, consumer, port, target):
        self.consumer, self.target = consumer, target
        self.source = (consumer.ip, port)
        self.seq = port * 1000
        self.ack = self.echo = 0
        self.server = None   # The address from which it was accepted.
        self.state = "new"
        self.answer = None
        self.event = threading.Event()

    def send(self, flags, data=b"", ack=None):
        return self.consumer.router.send(
            Packet(self.source, self.target, flags, self.seq,
                   self.ack if ack is None else ack, data, self.echo))

    def open(self):
        start = time.monotonic()
        for copies, until in enumerate((0.2, 0.6, 1.4)):
            machine = self.send(SYN, ack=copies)
            if self.event.wait(max(0, start + until - time.monotonic())):
                break
        self.event.clear()
        self.consumer.record.write("consumer %s:%d: opens through %s: %s" % (
            self.source + (machine, self.state)))
        return self.state == "open"

    def request(self, text, budget_s=1.2):
        """Returns the answer, or nothing."""
        self.answer = None
        start, pause = time.monotonic(), 0.2
        machine = None
        while self.state == "open" and self.answer is None:
            left = start + budget_s - time.monotonic()
            if left <= 0:
                break
            machine = self.send(ACK, text.encode())
            self.event.wait(min(pause, left))
            self.event.clear()
            pause = min(1.6, 2 * pause)
        self.consumer.record.write("consumer %s:%d: %s through %s: %s (%s)" % (
            self.source + (text, machine, self.answer, self.state)))
        return self.answer

    def handle(self, packet, sender):
        if packet.flags & RST:
            opened = self.state == "open"
            self.state = "reset"
            self.consumer.record.write(
                "consumer %s:%d: reset from %s; the flow's server is %s" %
                (self.source + (sender, self.server)))
            if opened and sender != self.server:
                self.consumer.foreign_resets += 1
            self.event.set()
            return
        if not packet.valid:
            self.consumer.record.write("consumer: a packet that its sender "
                                       "didn't write so")
            return
        if packet.flags & SYN:
            if self.state == "new":
                self.state, self.server = "open", sender
                self.echo = packet.echo
                self.seq, self.ack = packet.ack, packet.seq + 1
                self.event.set()
                self.send(ACK)
            return
        self.echo = packet.echo
        if packet.data and packet.seq == self.ack:
            self.answer = packet.data.decode()
            self.seq = packet.ack
            self.ack = packet.seq + len(packet.data)
            if packet.flags & FIN:
                self.ack += 1
                self.state = "closed"
                self.send(ACK | FIN)
            else:
                self.send(ACK)
            self.event.set()


class Consumer:
    def __init__(self, ip, router, record):
        self.ip, self.router, self.record = ip, router, record
        self.flows = {}
        self.foreign_resets = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, PACKET_PORT))
        threading.Thread(target=self.receive, daemon=True).start()

    def flow(self, port, target):
        self.flows[port] = Flow(self, port, target)
        return self.flows[port]

    def receive(self):
        while True:
            datagram, sender = self.socket.recvfrom(2048)
            packet = decode(datagram)
            flow = self.flows.get(packet.dst[1])
            if flow is not None and packet.src == flow.target:
                flow.handle(packet, sender[0])
