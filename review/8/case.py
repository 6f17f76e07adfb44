"""Orders that a new configuration allows are refused with 413 on connections that were opened before it."""
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (HOST, TROUBLE, System, config, put_config, read_message, route, run_case)  # noqa: E402

CONNECTIONS = 20
OLD_BYTES = 2000
NEW_BYTES = 1000000
BODY_BYTES = 8000
WAIT_S = 4.0  # twice config_apply_s


class Connection:
    """A connection that a client keeps open for many requests."""

    def __init__(self, system, host):
        self.system = system
        self.host = host
        self.socket = socket.create_connection(system.front(host), timeout=3)
        self.stream = self.socket.makefile("rb")

    def post(self, path, size):
        self.system.requests += 1
        request = "req-%d" % self.system.requests
        self.system.record.add("client sends %s POST %s with %d bytes to %s on its kept connection" % (request, path, size, self.host))
        head = "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n"
        status = 0
        try:
            self.socket.sendall((head % (path, HOST, request, size)).encode() + b"x" * size)
            message = read_message(self.stream)
            status = 0 if message is None else int(message[0].split()[1])
        except OSError:
            pass
        self.system.record.add("client gets %s for %s" % (status or "no answer", request))
        return status


def settings(version, base, max_body):
    limits = {"max_header_bytes": 16384, "max_body_bytes": max_body, "header_timeout_s": 3, "idle_timeout_s": 15}
    return config(version, base, [route("r1", "/order/", "desk", kind="unsafe", timeout_s=2)], ["desk"], limits)


def case(folder):
    system = System(folder)
    try:
        system.start_all()
        for number, zone in enumerate(system.zones):
            system.add_backend("i-%d" % number, "desk", zone)
        put_config(system, settings(1, 0, OLD_BYTES if TROUBLE else NEW_BYTES))
        system.wait_ready()
        time.sleep(3)
        connections = [Connection(system, system.entries[n % len(system.entries)]) for n in range(CONNECTIONS)]
        before = [it.post("/order/small", 100) for it in connections]
        if TROUBLE:
            put_config(system, settings(2, 1, NEW_BYTES))
        time.sleep(WAIT_S)
        fresh = [Connection(system, it).post("/order/fresh", BODY_BYTES) for it in system.entries]
        after = [it.post("/order/large", BODY_BYTES) for it in connections]
        system.record.add("small, before the change: %s" % before)
        system.record.add("large, after it, new connections: %s" % fresh)
        system.record.add("large, after it, kept connections: %s" % after)
        refused = sum(1 for it in after if 300 <= it < 500 and it not in (408, 421, 429))
        allowed = 5 + system.requests / 500
        breaks = []
        if refused > allowed:
            breaks.append("DENIED: %d of %d proper orders were refused with %s, %.0f s after the configuration that allows them was "
                          "acknowledged; %.0f of %d requests may be (on new connections: %s)"
                          % (refused, len(after), sorted(set(after)), WAIT_S, allowed, system.requests, fresh))
        return system, breaks
    except BaseException:
        system.stop()
        raise


run_case(FOLDER, case)
