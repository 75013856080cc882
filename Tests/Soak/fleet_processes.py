"""Real processes of a fleet on loopback, and a proxy between them."""
import os
import pathlib
import random
import resource
import selectors
import shutil
import signal
import socket
import subprocess
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
BINARY = os.environ.get("FILBERTWALL", str(
    HERE.parent.parent / "build/default/Source/Commands/filbertwall"))

MESSAGE_PORT = 7720       # the proxy listens here for peer messages
MESSAGE_REAL_PORT = 7721  # the instances listen here
CALL_PORT = 8166          # calls to control instances: the relay
CALL_REAL_PORT = 8165
READY_PORT = 8167
PACKET_PORT = 8172
METRICS_PORT = 9464
RESERVATION_PORT = 7719   # held by the test that uses a network
FIRST_NETWORK, NETWORKS = 20, 234
FULL_DISK_BYTES = 16  # the size of files on a full disk

reservations = []  # sockets, until this process ends


def reserve_network(preferred):
    """Returns the first network from 127.PREFERRED on that no other test uses.

    It is reserved until this process ends.
    """
    for i in range(NETWORKS):
        number = FIRST_NETWORK + (preferred - FIRST_NETWORK + i) % NETWORKS
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(("127.%d.0.1" % number, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        reservations.append(reservation)
        return "127.%d" % number
    raise RuntimeError("no network on loopback is free")


class DatagramProxy(threading.Thread):
    """Forwards messages between instances and can drop or delay them per direction.

    Instances identify peers by address, so a datagram keeps the sender's address.
    """

    def __init__(self, hosts, seed):
        super().__init__(daemon=True)
        self.random = random.Random(seed)
        self.loss = {}   # (from, to) -> share
        self.delay = {}  # (from, to) -> seconds
        self.waiting = []
        self.running = True
        self.selector = selectors.DefaultSelector()
        self.out = {}
        for host in hosts:
            inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            inner.bind((host, MESSAGE_PORT))
            inner.setblocking(False)
            self.selector.register(inner, selectors.EVENT_READ, host)
            self.out[host] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.out[host].bind((host, MESSAGE_PORT + 2))

    def carry(self, sender, target, data):
        try:
            self.out[sender].sendto(data, (target, MESSAGE_REAL_PORT))
        except OSError:
            pass  # the target is not listening

    def run(self):
        while self.running:
            for key, _ in self.selector.select(0.005):
                data, (sender, _) = key.fileobj.recvfrom(2048)
                link = (sender, key.data)
                if self.random.random() < self.loss.get(link, 0.0):
                    continue
                delay = self.delay.get(link, 0.0)
                if delay:
                    self.waiting.append((time.monotonic() + delay,) + link +
                                        (data,))
                else:
                    self.carry(sender, key.data, data)
            now = time.monotonic()
            due = [item for item in self.waiting if item[0] <= now]
            self.waiting = [item for item in self.waiting if item[0] > now]
            for _, sender, target, data in due:
                self.carry(sender, target, data)


class Process:
    """One instance: its settings, its folder and its process."""

    def __init__(self, fleet, host, control, data_centre):
        self.fleet = fleet
        self.host = host
        self.control = control
        self.data_centre = data_centre
        self.folder = fleet.folder / host
        self.folder.mkdir(exist_ok=True)
        self.settings = fleet.folder / (host + ".ini")
        self.process = None
        self.boots = 0
        self.full = False  # Whether the next start finds a full disk.
        self.stopping = False
        self.impaired_until = 0.0

    def write_settings(self, first_start):
        port = CALL_REAL_PORT if self.control else READY_PORT
        lines = ["[instance]", "id = " + self.host,
                 "data_centre = " + self.data_centre,
                 "roles = " + ("control" if self.control else "entry"),
                 "announce_address = %s:%d" % (self.host, port),
                 "control_address = %s:%d" % (self.host, MESSAGE_REAL_PORT)]
        if self.control:
            lines.append("data_folder = %s" % self.folder)
        else:
            lines.append("packet_address = %s:%d" % (self.host, PACKET_PORT))
        seeds = ",".join("%s:%d" % (host, CALL_PORT)
                         for host in self.fleet.seeds)
        lines += ["[fleet]", "seeds = " + seeds,
                  "first_start = " + ("true" if first_start else "false"),
                  "tolerated_losses = 1", "announce_interval = 400ms",
                  "peer_port = %d" % MESSAGE_PORT,
                  "metrics_port = %d" % METRICS_PORT,
                  "[security]", "mode = none"]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self, first_start=False):
        if self.alive():
            return  # Another fault that ended earlier has started it.
        self.write_settings(first_start)
        self.boots += 1
        self.stopping = False
        full = self.full

        def prepare():
            if full:
                resource.setrlimit(resource.RLIMIT_FSIZE,
                                   (FULL_DISK_BYTES, resource.RLIM_INFINITY))

        self.process = subprocess.Popen(
            [BINARY, "fleet", str(self.settings)], stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, preexec_fn=prepare)
        threading.Thread(target=self.write_log, args=(self.process.stdout,),
                         daemon=True).start()

    def write_log(self, output):
        """Writes what the process says to a file, to which its limit on the
        size of files doesn't apply."""
        with output, open(self.fleet.folder / (self.host + ".log"),
                          "ab", buffering=0) as log:
            for line in output:
                log.write(line)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.stopping = self.stopping or number == signal.SIGTERM
            self.process.send_signal(number)

    def own_end(self):
        """The status of a process that ended without having been asked to,
        else None."""
        if self.process is None or self.stopping:
            return None
        return self.process.poll()

    def kill(self):
        if self.process is not None:
            if self.alive():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
            self.process = None

    def wipe(self):
        shutil.rmtree(self.folder)
        self.folder.mkdir()

    def log_text(self):
        path = self.fleet.folder / (self.host + ".log")
        return path.read_text(errors="replace") if path.exists() else ""

    def limit_files(self, full, size=FULL_DISK_BYTES):
        """Simulates a full disk, also for later starts, by limiting the size of
        files."""
        self.full = full
        if self.alive():
            size = size if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                             (size, resource.RLIM_INFINITY))


class Fleet:
    def __init__(self, network, folder, seed, controls=4, entries=4):
        self.folder = pathlib.Path(folder)
        self.network = network
        control_hosts = ["%s.1.%d" % (network, i + 1) for i in range(controls)]
        entry_hosts = ["%s.2.%d" % (network, i + 1) for i in range(entries)]
        self.seeds = control_hosts[:3]
        self.proxy = DatagramProxy(control_hosts + entry_hosts, seed)
        self.proxy.start()
        self.controls = [Process(self, host, True, "dc%d" % (i % 4))
                         for i, host in enumerate(control_hosts)]
        self.entries = [Process(self, host, False, "dc%d" % (i % 4))
                        for i, host in enumerate(entry_hosts)]

    def processes(self):
        return self.controls + self.entries

    def cut(self, one, others, share, one_way=False):
        """Sets the loss rate between one host and others."""
        for other in others:
            if other != one:
                self.proxy.loss[(one, other)] = share
                if not one_way:
                    self.proxy.loss[(other, one)] = share

    def heal(self):
        self.proxy.loss.clear()
        self.proxy.delay.clear()

    def stop(self):
        for process in self.processes():
            process.kill()
        self.proxy.running = False
        self.proxy.join(1)
