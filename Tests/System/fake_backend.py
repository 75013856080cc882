"""A small fake backend server: answers and records requests, announces itself.

One process serves one or more addresses. Usage:
    fake_backend.py SERVICE IP:PORT[,IP:PORT...] ANNOUNCE_URL_HOST:PORT[,...]
                    [--slots N] [--delay MS] [--lie]
Control paths, answered at once: /_ledger, /_set?key=value&...
"""
import argparse
import asyncio
import json
import time
import urllib.parse


class Server:
    def __init__(self, options, address):
        self.service = options.service
        self.address = address
        self.announce_to = options.announce.split(",")
        self.slots = options.slots
        self.delay_ms = options.delay
        self.lie = options.lie
        self.phase = "READY"
        self.fault = ""
        self.in_flight = 0
        self.ledger = []
        self.sequence = int(time.time() * 1000)
        self.next_target = 0
        self.silent = False
        self.peak = 0

    async def announce_once(self, target):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": self.address,
            "slots": self.slots, "phase": self.phase,
            "in_flight": 0 if self.lie else self.in_flight,
            "sequence": str(self.sequence)}).encode()
        host, port = target.split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1)
            writer.write(b"POST /announce HTTP/1.1\r\nHost: announce\r\n"
                         b"Connection: close\r\nContent-Length: %d\r\n\r\n"
                         % len(body) + body)
            status = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in status
        except (OSError, asyncio.TimeoutError):
            return False

    async def announce(self):
        """Announces to one instance, and tries the next one on failure."""
        for _ in self.announce_to:
            target = self.announce_to[self.next_target % len(self.announce_to)]
            if await self.announce_once(target):
                return
            self.next_target += 1

    async def announce_forever(self):
        while True:
            if not self.silent:
                await self.announce()
            await asyncio.sleep(0.5)

    async def set_state(self, query):
        for key, value in urllib.parse.parse_qsl(query, True):
            if key in ("delay_ms", "slots"):
                value = float(value) if key == "delay_ms" else int(value)
            if key == "silent":
                value = value == "1"
            setattr(self, key, value)
        await self.announce()

    async def handle(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        parsed = urllib.parse.urlsplit(path)
        if parsed.path == "/_ledger":
            text = json.dumps({"runs": self.ledger, "peak": self.peak})
            self.reply(writer, 200, text.encode())
        elif parsed.path == "/_set":
            await self.set_state(parsed.query)
            self.reply(writer, 200, b"set")
        else:
            await self.work(writer, method, path, fields, body)
        await writer.drain()

    async def work(self, writer, method, path, fields, body):
        if self.in_flight >= self.slots or self.phase == "DRAINING" and \
                self.fault == "refuse":
            self.reply(writer, 503, b"busy", "Filbertwall-Not-Run: true\r\n")
            return
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        try:
            name = fields.get("idempotency-key", "")
            self.ledger.append([method, path, name, time.time()])
            await asyncio.sleep(self.delay_ms / 1000)
            answer = ("%s %s %s %s by %s\n" % (
                self.service, method, path, name, self.address)).encode()
            answer += body
            if self.fault == "reset":
                writer.transport.abort()
            elif self.fault == "truncate":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                             % (len(answer) + 100) + answer)
            elif self.fault == "no-length":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + answer)
            elif self.fault == "error":
                self.reply(writer, 500, b"failed")
            else:
                self.reply(writer, 200, answer)
        finally:
            self.in_flight -= 1

    @staticmethod
    def reply(writer, status, body, extra=""):
        writer.write(("HTTP/1.1 %d X\r\nContent-Length: %d\r\n"
                      "Connection: close\r\n%s\r\n"
                      % (status, len(body), extra)).encode() + body)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("service")
    parser.add_argument("addresses")
    parser.add_argument("announce")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--delay", type=float, default=5)
    parser.add_argument("--lie", action="store_true")
    options = parser.parse_args()
    for address in options.addresses.split(","):
        server = Server(options, address)
        host, port = address.split(":")
        await asyncio.start_server(server.handle, host, int(port), backlog=512)
        asyncio.get_running_loop().create_task(server.announce_forever())
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
