"""Uploads in chunks that come at once make an entry stop reading all of them; none is answered within its route's timeout."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (HOST, TROUBLE, System, config, put_config, read_message, route, run_case)  # noqa: E402

USUAL = 5  # uploads at once at an entry
BURST = 2  # times as many
BODY_BYTES = 20 * 1024 * 1024  # max_body_bytes is 64 MiB
CHUNK = b"x" * 65536
TIMEOUT_S = 5.0
DEADLINE_MS = 8000


class Upload(threading.Thread):
    def __init__(self, system, host, request):
        super().__init__(daemon=True)
        self.system = system
        self.host = host
        self.request = request
        self.sent = 0
        self.status = None
        self.took = None

    def run(self):
        self.start_at = time.monotonic()
        self.system.record.add("client sends %s POST /upload/ in chunks to %s" % (self.request, self.host))
        try:
            with socket.create_connection(self.system.front(self.host), timeout=DEADLINE_MS / 1000) as sock:
                head = ("POST /upload/doc HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" % (HOST, self.request, DEADLINE_MS))
                sock.sendall(head.encode())
                while self.sent < BODY_BYTES:
                    sock.settimeout(max(0.01, self.start_at + DEADLINE_MS / 1000 - time.monotonic()))
                    sock.sendall(b"%x\r\n" % len(CHUNK) + CHUNK + b"\r\n")
                    self.sent += len(CHUNK)
                sock.sendall(b"0\r\n\r\n")
                sock.settimeout(max(0.01, self.start_at + DEADLINE_MS / 1000 - time.monotonic()))
                message = read_message(sock.makefile("rb"))
                self.status = None if message is None else int(message[0].split()[1])
        except socket.timeout:
            pass
        except OSError as error:  # the entry has closed the connection; its answer may have been lost with it
            self.system.record.add("the connection of %s ends: %s" % (self.request, error))
            self.status = 0
        self.took = time.monotonic() - self.start_at
        self.system.record.add("client gets %s for %s after %.2f s; %d of %d bytes were taken"
                               % (self.status or "no answer", self.request, self.took, self.sent, BODY_BYTES))


def wave(system, name, count):
    uploads = [Upload(system, host, "%s-%d" % (name, number))
               for number, host in enumerate(host for host in system.entries for _ in range(count))]
    for it in uploads:
        it.start()
    for it in uploads:
        it.join()
    return uploads


def case(folder):
    system = System(folder, memory_mb=260)
    try:
        system.start_all()
        for number, zone in enumerate(system.zones):
            system.add_backend("i-%d" % number, "drop", zone)
        rules = [route("r1", "/upload/", "drop", kind="upload", timeout_s=TIMEOUT_S, slo_s=2.5)]
        put_config(system, config(1, 0, rules, ["drop"]))
        system.wait_ready()
        time.sleep(3)
        uploads = []
        for number in range(4):
            uploads += wave(system, "usual-%d" % number, USUAL)
            time.sleep(0.5)
        if TROUBLE:
            uploads += wave(system, "burst", USUAL * BURST)
        else:
            for number in range(2):
                uploads += wave(system, "later-%d" % number, USUAL)
        late = [it for it in uploads if it.took > TIMEOUT_S]
        unanswered = [it for it in uploads if it.took > TIMEOUT_S + 0.5]
        system.record.add("%d uploads; %d lasted longer than timeout_s, %d had no answer half a second after it; statuses %s"
                          % (len(uploads), len(late), len(unanswered), sorted(str(it.status) for it in uploads)))
        breaks = []
        if len(unanswered) >= 8 and len(unanswered) > len(late) / 4:
            breaks.append("CONFIG: %d of %d requests that lasted longer than timeout_s (%.0f s) had no final answer 0.5 s after it; "
                          "the last one after %.1f s" % (len(unanswered), len(late), TIMEOUT_S, max(it.took for it in uploads)))
        return system, breaks
    except BaseException:
        system.stop()
        raise


run_case(FOLDER, case)
