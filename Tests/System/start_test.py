"""Checks that a process of a fleet starts with what the platform may fill into its
settings, and that no signal and no standard output ends it before it is told to."""
import contextlib
import http.client
import os
import pathlib
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from deployment import BINARY, wait_until

MESSAGE_PORT = 7721
CALL_PORT = 8165
READY_PORT = 8167
PACKET_PORT = 8172
START_LIMIT = 10.0   # seconds until a process answers calls
END_DELAY = 0.5      # seconds in which a process that was harmed ends
STOP_LIMIT = 10.0    # seconds until a graceful stop has ended
HANGUP_INTERVAL = 0.0005
ODD_PACKETS = 300
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def host(number):
    own = os.getpid()
    return "127.%d.%d.%d" % (200 + own % 20, 1 + own // 20 % 250, number)


def settings(number, control=False, folder=None, **changes):
    """The text of a settings file. A change to None leaves the key out."""
    own = host(number)
    values = {"id": own, "data_centre": "dc0",
              "roles": "control" if control else "entry",
              "announce_address": "%s:%d" % (own, CALL_PORT if control
                                             else READY_PORT),
              "control_address": "%s:%d" % (own, MESSAGE_PORT)}
    if control:
        values["data_folder"] = folder
    else:
        values["packet_address"] = "%s:%d" % (own, PACKET_PORT)
    fleet = {"seeds": "%s:%d" % (host(1), CALL_PORT), "first_start": "true",
             "tolerated_losses": "0", "announce_interval": "400ms"}
    for section in (values, fleet):
        section.update({key: value for key, value in changes.items()
                        if key in section})
    return "\n".join(
        ["[instance]"] +
        ["%s = %s" % item for item in values.items() if item[1] is not None] +
        ["[fleet]"] +
        ["%s = %s" % item for item in fleet.items() if item[1] is not None] +
        ["[security]", "mode = none", ""])


def answers(number, port=READY_PORT):
    """Whether the process answers calls."""
    connection = http.client.HTTPConnection(host(number), port, timeout=0.5)
    try:
        connection.request("GET", "/api/ready")
        return connection.getresponse().status in (200, 503)
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class Run:
    """A process with its settings in a folder of its own."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.settings = self.folder / "settings.ini"
        self.log = self.folder / "log.txt"
        self.process = None

    def start(self, stdout=None, **options):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [BINARY, "fleet", str(self.settings)],
                stdout=log if stdout is None else stdout, stderr=log,
                **options)

    def check_runs(self):
        time.sleep(END_DELAY)
        assert self.process.poll() is None, (self.process.returncode,
                                             self.log.read_text()[-500:])

    def stop(self):
        self.process.terminate()
        status = self.process.wait(STOP_LIMIT)
        assert status == 0, status


@contextlib.contextmanager
def run():
    with tempfile.TemporaryDirectory(prefix="start-") as folder:
        one = Run(folder)
        try:
            yield one
        finally:
            if one.process is not None:
                one.process.kill()
                one.process.wait()


def handles_hangups(pid):
    """Whether main() has begun to set what signals do."""
    with open("/proc/%d/status" % pid, encoding="ascii") as status:
        masks = dict(line.split(":\t") for line in status if ":\t" in line)
    return any(int(masks[name], 16) & HANGUP_BIT for name in ("SigIgn", "SigCgt"))


def send_hangups(process, ended):
    while not ended.is_set():
        process.send_signal(signal.SIGHUP)
        time.sleep(HANGUP_INTERVAL)


def bursts_of_hangups_end_no_process():
    for control in (False, True):
        with run() as one:
            one.settings.write_text(settings(1, control, one.folder))
            one.start()
            wait_until(lambda: handles_hangups(one.process.pid), START_LIMIT,
                       "signals are set")
            ended = threading.Event()
            sender = threading.Thread(target=send_hangups,
                                      args=(one.process, ended))
            sender.start()
            try:
                wait_until(lambda: answers(1, CALL_PORT if control
                                           else READY_PORT), START_LIMIT,
                           lambda: "calls answered: %s" % one.process.poll())
                one.check_runs()
                one.stop()
            finally:
                ended.set()
                sender.join()


def second_termination_cuts_no_graceful_stop():
    with run() as one:
        one.settings.write_text(settings(1))
        one.start()
        wait_until(lambda: answers(1), START_LIMIT, "calls are answered")
        begun = time.monotonic()
        one.process.terminate()
        time.sleep(0.1)
        one.stop()
        # An entry instance forwards packets for 1.8 s after the first signal.
        assert time.monotonic() - begun > 1.7, time.monotonic() - begun


def second_interrupt_ends_a_process_at_once():
    with run() as one:
        one.settings.write_text(settings(1))
        one.start()
        wait_until(lambda: answers(1), START_LIMIT, "calls are answered")
        begun = time.monotonic()
        one.process.send_signal(signal.SIGINT)
        time.sleep(0.1)
        one.process.send_signal(signal.SIGINT)
        assert one.process.wait(STOP_LIMIT) == 0
        assert time.monotonic() - begun < 1.5, time.monotonic() - begun


def send_odd_packets():
    """Sends packets of which each is logged."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    head = struct.Struct("<IIIIIHHHBBI")
    for number in range(ODD_PACKETS):
        caller.sendto(b"x" * (number % 32), (host(1), PACKET_PORT))
        caller.sendto(head.pack(1, 0, 0, 0x7F000007, 0xC6120001, 1 + number,
                                443, 0, 4, 0, 7), (host(1), PACKET_PORT))
        time.sleep(0.002)


def datagrams_of_any_size_end_no_process():
    head = struct.Struct("<IIIIIHHHBBI")
    with run() as one:
        one.settings.write_text(settings(1))
        one.start()
        wait_until(lambda: answers(1), START_LIMIT, "calls are answered")
        caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for size in (0, 1, 31, 32, 33, 1232, 1233, 1500, 2047, 2048, 2049,
                     9216, 65507):
            for length in {max(0, size - 32), 0, 1200, 2016, 65535}:
                for flags in (0, 1, 2, 4, 8, 15, 64, 255):
                    data = head.pack(1, 0, 0, 0x7F000007, 0xC6120001, 7, 443,
                                     length, flags, 0, 7) + b"x" * size
                    caller.sendto(data[:size], (host(1), PACKET_PORT))
                    caller.sendto(b"\xff" * size, (host(1), PACKET_PORT))
        one.check_runs()
        assert answers(1)
        one.stop()


def closed_pipe(_):
    reader, writer = os.pipe()
    os.close(reader)
    return writer, None


def full_pipe(_):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    return writer, reader


def full_device(_):
    return os.open("/dev/full", os.O_WRONLY), None


def closed_descriptor(_):
    return os.open("/dev/null", os.O_WRONLY), None


def odd_standard_outputs_end_no_process():
    for make in (closed_pipe, full_pipe, full_device, closed_descriptor):
        with run() as one:
            one.settings.write_text(settings(1))
            output, other = make(one)
            options = {}
            if make is closed_descriptor:
                options["preexec_fn"] = lambda: os.close(1)
            one.start(stdout=output, **options)
            try:
                wait_until(lambda: answers(1), START_LIMIT, make.__name__)
                send_odd_packets()
                one.check_runs()
                assert answers(1), make.__name__
                one.stop()
            finally:
                os.close(output)
                if other is not None:
                    os.close(other)


def log_reaches_no_file_of_a_process_without_standard_output():
    with run() as one:
        one.settings.write_text(settings(1, True, one.folder / "data"))
        one.start(preexec_fn=lambda: os.close(1))
        wait_until(lambda: answers(1, CALL_PORT), START_LIMIT, "calls answered")
        one.check_runs()
        one.stop()
        for path in (one.folder / "data").rglob("*"):
            assert not path.is_file() or b" FW-" not in path.read_bytes(), path


def file_size_limit_ends_no_process():
    with run() as one:
        one.settings.write_text(settings(1, True, one.folder / "data"))
        # Python restores the default action of SIGXFSZ in the child.
        one.start(preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_FSIZE, (16, resource.RLIM_INFINITY)))
        wait_until(lambda: answers(1, CALL_PORT), START_LIMIT,
                   lambda: "calls answered: %s" % one.process.poll())
        one.check_runs()
        resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE,
                         (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        one.stop()


def ports_of_a_predecessor_delay_a_start():
    for port, kind in ((MESSAGE_PORT, socket.SOCK_DGRAM),
                       (PACKET_PORT, socket.SOCK_DGRAM),
                       (READY_PORT, socket.SOCK_STREAM)):
        with run() as one, socket.socket(socket.AF_INET, kind) as predecessor:
            predecessor.bind((host(1), port))
            if kind == socket.SOCK_STREAM:
                predecessor.listen(1)
            one.settings.write_text(settings(1))
            one.start()
            one.check_runs()
            predecessor.close()
            wait_until(lambda: answers(1), 2.0, "port %d is used" % port)
            one.stop()


def log_is_not_opened_while_a_predecessor_runs():
    with run() as one, socket.socket(socket.AF_INET,
                                     socket.SOCK_DGRAM) as predecessor:
        predecessor.bind((host(1), MESSAGE_PORT))
        data = one.folder / "data"
        one.settings.write_text(settings(1, True, data))
        one.start()
        one.check_runs()
        assert not data.exists(), list(data.rglob("*"))
        predecessor.close()
        wait_until(lambda: answers(1, CALL_PORT), 2.0, "calls are answered")
        one.stop()


def termination_while_a_port_is_in_use_ends_a_start():
    with run() as one, socket.socket(socket.AF_INET,
                                     socket.SOCK_DGRAM) as predecessor:
        predecessor.bind((host(1), MESSAGE_PORT))
        one.settings.write_text(settings(1))
        one.start()
        one.check_runs()
        begun = time.monotonic()
        one.stop()
        assert time.monotonic() - begun < 1.0


def settings_are_read_again_while_they_are_written():
    text = settings(1)
    for cut in (0, 20, len(text) // 2, len(text) - len("mode = none\n")):
        with run() as one:
            one.settings.write_text(text[:cut])
            one.start()
            one.check_runs()
            one.settings.write_text(text)
            wait_until(lambda: answers(1), START_LIMIT, "calls are answered")
            one.stop()


def start_fails_for_no_setting_with_a_default():
    odd = [{"tolerated_losses": ""}, {"seeds": ""}, {"first_start": None},
           {"announce_interval": "ms"}, {"data_centre": None}, {"id": None},
           {"tolerated_losses": "-1", "announce_interval": "1200.5ms"},
           {"data_centre": "\"\\u0000\""}, {"data_centre": "a" * 4000},
           {"seeds": "10.0.0.1,%s:%d" % (host(1), CALL_PORT)}]
    with run() as one:
        for changes in odd:
            one.settings.write_text(settings(1, **changes))
            one.start()
            wait_until(lambda: answers(1), START_LIMIT, str(changes))
            one.check_runs()
            one.stop()
        text = settings(1, data_centre=None).encode()
        not_utf8 = text.replace(b"[fleet]", b"data_centre = \xff\xfe\n[fleet]")
        for odd_text in (b"\xef\xbb\xbf" + text.replace(b"\n", b"\r\n"),
                         not_utf8):
            one.settings.write_bytes(odd_text)
            one.start()
            wait_until(lambda: answers(1), START_LIMIT, odd_text)
            one.stop()


def invalid_settings_change_nothing_in_a_running_process():
    with run() as one:
        one.settings.write_text(settings(1))
        one.start()
        wait_until(lambda: answers(1), START_LIMIT, "calls are answered")
        for text in ("", "[", settings(1)[:60], "[fleet]\nseeds = x\n"):
            one.settings.write_text(text)
            one.process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        one.check_runs()
        assert answers(1)
        assert "settings in force are kept" in one.log.read_text()
        one.stop()


if __name__ == "__main__":
    globals()[sys.argv[1]]()
