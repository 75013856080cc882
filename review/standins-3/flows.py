"""Stand-ins of consumers and backend servers, and of the network between them.

Packets, flows and timers as PROTOCOL.md tells them. The key of `sum` is not
disclosed, so these stand-ins have a sum of their own; the system can't check it.
"""
import heapq
import http.client
import json
import random
import selectors
import socket
import struct
import threading
import time
import zlib

from fleet import PACKET_PORT

HEAD = struct.Struct("<IIIIIHHHBBI")
SYN, RST, ACK, FIN = 1, 2, 4, 8
MAX_DATA = 1200
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES_S = (0.2, 0.6)
SYN_LIMIT_S = 1.4
SPACE = 1 << 32


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"",
                 echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq, ack
        self.data, self.echo = data, echo
        self.sum = 0

    def computed_sum(self):
        fields = struct.pack("<IIIIHHHB", self.seq, self.ack, self.src, self.dst,
                             self.sport, self.dport, len(self.data), self.flags)
        return zlib.crc32(b"review" + fields + self.data)

    def pack(self):
        return HEAD.pack(self.seq, self.ack, self.computed_sum(), self.src,
                         self.dst, self.sport, self.dport, len(self.data),
                         self.flags, 0, self.echo) + self.data

    @staticmethod
    def parse(data):
        (seq, ack, total, src, dst, sport, dport, length, flags, _,
         echo) = HEAD.unpack_from(data)
        packet = Packet(src, sport, dst, dport, flags, seq, ack,
                        data[HEAD.size:HEAD.size + length], echo)
        packet.sum = total
        return packet

    def valid(self):
        return self.sum == self.computed_sum()

    def names(self):
        flags = [name for bit, name in ((SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"),
                                        (RST, "RST")) if self.flags & bit]
        return "+".join(flags) or "-"


class Loop(threading.Thread):
    """One thread with sockets and timers."""

    def __init__(self):
        super().__init__(daemon=True)
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.count = 0
        self.lock = threading.RLock()
        self.running = True

    def add_socket(self, address, port, handler):
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.bind((address, port))
        one.setblocking(False)
        self.selector.register(one, selectors.EVENT_READ, handler)
        return one

    def after(self, seconds, action):
        with self.lock:
            self.count += 1
            heapq.heappush(self.timers, (time.monotonic() + seconds, self.count,
                                         action))

    def run(self):
        while self.running:
            for key, _ in self.selector.select(0.001):
                while True:
                    try:
                        data, sender = key.fileobj.recvfrom(4096)
                    except BlockingIOError:
                        break
                    with self.lock:
                        key.data(data, sender)
            while True:
                with self.lock:
                    if not self.timers or self.timers[0][0] > time.monotonic():
                        break
                    action = heapq.heappop(self.timers)[2]
                    action()


class ServerFlow:
    def __init__(self, packet, iss):
        self.key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.iss = iss
        self.next_in = (packet.seq + 1) % SPACE
        self.next_out = (iss + 1) % SPACE
        self.echo = packet.echo
        self.open = False
        self.received = b""
        self.unacked = None  # (packet, tries) of the last answer
        self.syn_tries = 0


class Server:
    """A backend server that answers requests on flows that stay open."""

    def __init__(self, loop, record, name, server_id, service, host, port, zone,
                 controls, network, work_s=0.03, beat_s=1.2):
        self.loop, self.record, self.name = loop, record, name
        self.id, self.service, self.zone = server_id, service, zone
        self.host, self.port = host, port
        self.number = int("".join(c for c in server_id if c in
                                  "0123456789abcdef"), 16) % (1 << 64)
        self.controls = list(controls)
        self.network, self.work_s, self.beat_s = network, work_s, beat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.runs = []      # (time, flow key, request line)
        self.arrivals = []  # (time, flow key, flags, mine)
        self.random = random.Random(server_id)
        self.socket = loop.add_socket(host, port, self.receive)
        self.reporting = True
        self.state = "ready"
        self.drain_acked_at = None
        self.drain_acked_by = None
        self.target = None
        threading.Thread(target=self.report_forever, daemon=True).start()

    def report_forever(self):
        turn = 0
        while self.reporting:
            self.sequence += 1
            state = self.state
            body = json.dumps({
                "Service": self.service, "Address": "%s:%d" % (self.host, self.port),
                "Zone": self.zone, "Version": "v1", "ConcurrencyLimit": 2,
                "State": state, "WarmupRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born})
            address = self.target or self.controls[turn % len(self.controls)]
            status, answer = self.post(address, body)
            if state == "draining" and self.drain_acked_at is None:
                self.record.write("%s reports draining to %s -> %d" % (
                    self.name, address, status))
                if status == 200:
                    self.drain_acked_at = self.record.now()
                    self.drain_acked_by = address
            if status == 200:
                self.target = json.loads(answer or b"{}").get("HeartbeatEndpoint")
                self.wait_for_beat(state)
            else:
                self.target = None
                turn += 1
                time.sleep(0.05)

    def wait_for_beat(self, state):
        """Waits for the next report; a change of the state is reported at once."""
        deadline = time.monotonic() + self.beat_s
        while time.monotonic() < deadline and self.state == state:
            time.sleep(0.02)

    def post(self, address, body):
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("POST", "/api/Instances.Heartbeat/" + self.id, body,
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def send(self, flow, flags, seq, data=b""):
        src, sport, dst, dport = flow.key
        packet = Packet(dst, dport, src, sport, flags, seq, flow.next_in, data,
                        flow.echo)
        self.network.to_consumer(self, packet)
        return packet

    def receive(self, data, _):
        number = struct.unpack_from(">Q", data)[0]
        if number not in (0, self.number) or len(data) < 8 + HEAD.size:
            return
        packet = Packet.parse(data[8:])
        if not packet.valid():
            self.record.write("UNASKED: %s gets a forged packet" % self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        now = self.record.now()
        if packet.flags & SYN:
            self.arrivals.append((now, key, packet.names(), None))
            if flow is None:
                flow = ServerFlow(packet, self.random.getrandbits(32))
                self.flows[key] = flow
                self.record.write("%s gets SYN of :%d" % (self.name, packet.sport))
                self.send_syn_ack(flow)
            return
        if flow is None:
            self.arrivals.append((now, key, packet.names(), False))
            self.record.write("%s holds no flow :%d, sends RST" % (self.name,
                                                                   packet.sport))
            self.network.to_consumer(self, Packet(
                packet.dst, packet.dport, packet.src, packet.sport, RST,
                packet.ack, packet.seq, b"", packet.echo))
            return
        # A packet of this server's flow acknowledges its sequence numbers.
        mine = (packet.ack - flow.iss - 1) % SPACE < 1 << 20
        self.arrivals.append((now, key, packet.names(), mine))
        if not mine:
            self.record.write("%s gets a packet of flow :%d that acknowledges "
                              "another server's numbers" % (self.name, packet.sport))
            return
        if not flow.open:
            flow.open = True
            self.record.write("flow :%d is open at %s" % (packet.sport, self.name))
        flow.echo = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if flow.unacked is not None and packet.ack == flow.next_out:
            flow.unacked = None
        if packet.data:
            if packet.seq == flow.next_in:
                flow.next_in = (flow.next_in + len(packet.data)) % SPACE
                flow.received += packet.data
            self.send(flow, ACK, flow.next_out)
            self.serve(flow)

    def serve(self, flow):
        if b"\r\n\r\n" not in flow.received:
            return
        head, _, flow.received = flow.received.partition(b"\r\n\r\n")
        line = head.split(b"\r\n")[0].decode()
        self.runs.append((self.record.now(), flow.key, line))
        self.record.write("%s runs '%s' on flow :%d" % (self.name, line,
                                                        flow.key[1]))
        self.loop.after(self.work_s, lambda: self.answer(flow, line))

    def answer(self, flow, line):
        body = ("%s by %s" % (line, self.id)).encode()
        data = (b"HTTP/1.1 200 OK\r\nFilbertwall-Response-Signature: %s\r\n"
                b"Content-Length: %d\r\n\r\n" % (self.id.encode(), len(body)) + body)
        seq = flow.next_out
        flow.next_out = (seq + len(data)) % SPACE
        flow.unacked = (seq, data, 0)
        self.send_answer(flow, seq)

    def send_answer(self, flow, seq):
        if flow.unacked is None or flow.unacked[0] != seq:
            return
        _, data, tries = flow.unacked
        if tries > 8:
            return
        self.send(flow, ACK, seq, data)
        flow.unacked = (seq, data, tries + 1)
        self.loop.after(RETRANSMIT_S[min(tries, 7)],
                        lambda: self.send_answer(flow, seq))

    def send_syn_ack(self, flow):
        """Sends the SYN+ACK, and again while the flow has not opened here."""
        if flow.open or self.flows.get(flow.key) is not flow or flow.syn_tries > 8:
            return
        self.send(flow, SYN | ACK, flow.iss)
        tries = flow.syn_tries
        flow.syn_tries += 1
        self.loop.after(RETRANSMIT_S[min(tries, 7)],
                        lambda: self.send_syn_ack(flow))


class Session:
    """A consumer's flow that is kept open for many requests, with pauses."""

    def __init__(self, loop, record, consumer, sport, address, port, requests,
                 pause_s, budget_s):
        self.loop, self.record, self.consumer = loop, record, consumer
        self.sport, self.address, self.port = sport, ip_number(address), port
        self.requests, self.pause_s = list(requests), pause_s
        self.budget_s = budget_s
        self.iss = random.Random(sport).getrandbits(32)
        self.next_out = (self.iss + 1) % SPACE
        self.next_in = None
        self.echo = 0
        self.state = "opening"
        self.opener_seq = None
        self.answer = b""
        self.unacked = None
        self.answers = []
        self.resets = []
        self.failed = []
        self.started = record.now()
        self.opened_at = None

    @property
    def key(self):
        return (self.consumer.number, self.sport, self.address, self.port)

    def transmit(self, flags, seq, ack, data=b""):
        echo = 0 if flags & SYN else self.echo
        self.consumer.to_system(Packet(self.consumer.number, self.sport,
                                       self.address, self.port, flags, seq, ack,
                                       data, echo))

    def start(self):
        self.transmit(SYN, self.iss, 0)
        for copies, delay in enumerate(SYN_COPIES_S, 1):
            self.loop.after(delay, lambda n=copies: self.copy_syn(n))
        self.loop.after(SYN_LIMIT_S, self.end_opening)

    def copy_syn(self, copies):
        if self.state == "opening":
            self.record.write("consumer repeats the SYN of :%d" % self.sport)
            self.transmit(SYN, self.iss, copies)

    def end_opening(self):
        if self.state == "opening":
            self.state = "failed"
            self.failed.append("never opened")

    def receive(self, packet):
        self.echo = packet.echo  # "the last echo that they received on a flow"
        if packet.flags & RST:
            self.resets.append(self.record.now())
            self.record.write("consumer gets RST on :%d" % self.sport)
            self.state = "failed"
            return
        if packet.flags & SYN:
            if self.state != "opening":
                return  # Of a server that did not open the flow, or a repeat.
            self.state = "open"
            self.opened_at = self.record.now()
            self.opener_seq = packet.seq
            self.next_in = (packet.seq + 1) % SPACE
            self.next_request()
            return
        if self.state not in ("open", "idle") or self.next_in is None:
            return
        if (packet.ack - self.iss) % SPACE > 1 << 20:
            return
        if self.unacked is not None and packet.ack == self.next_out:
            self.unacked = None
        if packet.data and packet.seq == self.next_in:
            self.next_in = (self.next_in + len(packet.data)) % SPACE
            self.answer += packet.data
        if packet.data:
            self.transmit(ACK, self.next_out, self.next_in)
        self.check_answer()

    def check_answer(self):
        head, found, body = self.answer.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self.answer = body[length:]
        self.answers.append(body[:length].decode())
        self.state = "idle"
        self.loop.after(self.pause_s, self.next_request)

    def next_request(self):
        if self.state == "failed" or not self.requests:
            return
        self.state = "open"
        line = self.requests.pop(0)
        data = (line + " HTTP/1.1\r\nFilbertwall-Request-Id: %d-%d\r\n\r\n" % (
            self.sport, len(self.answers))).encode()
        seq = self.next_out
        self.next_out = (seq + len(data)) % SPACE
        self.unacked = (seq, data, 0)
        count = len(self.answers)
        self.send_request(seq)
        self.loop.after(self.budget_s, lambda: self.check_budget(count, line))

    def send_request(self, seq):
        if self.unacked is None or self.unacked[0] != seq or self.state == "failed":
            return
        _, data, tries = self.unacked
        if tries > 8:
            return
        if tries:
            self.record.write("consumer repeats its request on :%d" % self.sport)
        self.transmit(ACK, seq, self.next_in, data)
        self.unacked = (seq, data, tries + 1)
        self.loop.after(RETRANSMIT_S[min(tries, 7)],
                        lambda: self.send_request(seq))

    def check_budget(self, count, line):
        if len(self.answers) <= count and self.state != "failed":
            self.record.write("consumer gives up '%s' on :%d: no answer" % (
                line, self.sport))
            self.failed.append(line)
            self.state = "failed"


class Consumer:
    """A consumer's address. Its packets go to the entry node of its zone."""

    def __init__(self, loop, record, host, entry):
        self.loop, self.record, self.host = loop, record, host
        self.number = ip_number(host)
        self.entry = entry
        self.sessions = {}
        self.socket = loop.add_socket(host, PACKET_PORT, self.receive)
        self.sent = 0

    def open(self, sport, address, port, requests, pause_s, budget_s):
        session = Session(self.loop, self.record, self, sport, address, port,
                          requests, pause_s, budget_s)
        self.sessions[sport] = session
        with self.loop.lock:
            session.start()
        return session

    def to_system(self, packet):
        self.sent += 1
        self.socket.sendto(packet.pack(), (self.entry.host, PACKET_PORT))

    def receive(self, data, _):
        packet = Packet.parse(data)
        session = self.sessions.get(packet.dport)
        if session is not None:
            session.receive(packet)


class Network:
    """The way from servers to consumers, which may lose datagrams."""

    def __init__(self, record, loses):
        self.record, self.loses = record, loses
        self.carried = self.lost = 0

    def to_consumer(self, server, packet):
        if self.loses(server, packet):
            self.lost += 1
            self.record.write("the network loses a %s from %s to :%d" % (
                packet.names(), server.name, packet.dport))
            return
        self.carried += 1
        server.socket.sendto(packet.pack(), (ip_text(packet.dst), PACKET_PORT))


def flow_rule_b(session, servers, flow_s):
    """FLOW (b): the spans of `flow_s` seconds in which three or more packets of the
    flow reached other servers and none its own. Returns the first one, or None."""
    owner = [server for server in servers if session.key in server.flows and
             server.flows[session.key].iss == session.opener_seq]
    if len(owner) != 1 or not owner[0].flows[session.key].open:
        return None
    at_own = sorted(t for t, key, _, _ in owner[0].arrivals if key == session.key)
    opened = session.opened_at
    at_others = sorted(t for server in servers if server is not owner[0]
                       for t, key, flags, _ in server.arrivals
                       if key == session.key and t > opened and flags != "SYN")
    for begin in at_others:
        end = begin + flow_s
        others = [t for t in at_others if begin <= t <= end]
        own = [t for t in at_own if begin <= t <= end]
        if len(others) >= 3 and not own:
            return owner[0], begin, len(others)
    return None
