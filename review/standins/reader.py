"""An operator's reads of the config at one node, one after the other.

Arguments: address, port, file for the results, seconds to run. Each line of the
file has the time when the read was sent, the status, and the version.
"""
import re
import socket
import sys
import time

REQUEST = b"GET /api/Config.Describe HTTP/1.1\r\nHost: config\r\nConnection: close\r\n\r\n"

PAUSE_S = 0.001


def read(host, port):
    sent = time.monotonic()
    try:
        with socket.create_connection((host, port), 1.0) as connection:
            connection.sendall(REQUEST)
            data = b""
            while chunk := connection.recv(1 << 16):
                data += chunk
    except OSError:
        return sent, 0, 0
    status = re.match(rb"HTTP/1\.1 (\d+)", data)
    version = re.search(rb'"Version":(\d+)', data)
    return (sent, int(status.group(1)) if status else 0,
            int(version.group(1)) if version else 0)


def main():
    host, port, path, limit_s = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
    ends = time.monotonic() + limit_s
    with open(path, "w", encoding="utf-8") as file:
        while time.monotonic() < ends:
            sent, status, version = read(host, port)
            file.write("%.6f %d %d\n" % (sent, status, version))
            time.sleep(PAUSE_S)


if __name__ == "__main__":
    main()
