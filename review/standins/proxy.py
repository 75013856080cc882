"""Carries the messages between the machines, each link with its own delay.

Arguments: delay in seconds, listening port, port of the machines, addresses. A line
"cut FROM TO" on the standard input lets nothing pass from FROM to TO any more.
"""
import heapq
import os
import selectors
import socket
import sys
import time


def main():
    delay, listening, target_port = float(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    hosts = sys.argv[4:]
    selector, out = selectors.DefaultSelector(), {}
    for host in hosts:
        inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        inner.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        inner.bind((host, listening))
        inner.setblocking(False)
        selector.register(inner, selectors.EVENT_READ, host)
        out[host] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out[host].bind((host, 0))
    selector.register(sys.stdin, selectors.EVENT_READ, None)
    print("ready", flush=True)
    waiting, count, cut = [], 0, set()
    while True:
        pause = max(0.0, waiting[0][0] - time.monotonic()) if waiting else 1.0
        for key, _ in selector.select(pause):
            if key.data is None:
                lines = os.read(sys.stdin.fileno(), 4096).decode().splitlines()
                if not lines:
                    return  # the script has ended
                cut.update(tuple(line.split()[1:3]) for line in lines)
                continue
            try:
                while True:
                    data, (sender, _) = key.fileobj.recvfrom(4096)
                    count += 1
                    heapq.heappush(waiting, (time.monotonic() + delay, count, sender,
                                             key.data, data))
            except BlockingIOError:
                pass
        while waiting and waiting[0][0] <= time.monotonic():
            _, _, sender, target, data = heapq.heappop(waiting)
            if sender in out and (sender, target) not in cut:
                try:
                    out[sender].sendto(data, (target, target_port))
                except OSError:
                    pass  # nobody listens there


if __name__ == "__main__":
    main()
