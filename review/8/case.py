"""When the last tenant is taken out of the configuration, every key is accepted, and keys are passed on to the backends."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (HOST, TROUBLE, Backend, System, call, config, put_config, route, run_case)  # noqa: E402

WAIT_S = 4.0  # twice config_apply_s
HELD_KEY = "key-of-the-only-tenant"
STRANGE_KEY = "key-that-no-configuration-ever-held"


class NotingBackend(Backend):
    """Notes the key and the tenant that reach it."""

    def answer(self, sock, first, fields, body):
        request = fields.get("x-request-id")
        if request is not None:
            self.system.arrived[request] = (fields.get("authorization"), fields.get("x-tenant"))
            self.system.record.add("%s has Authorization %s and X-Tenant %s" % (request, *self.system.arrived[request]))
        super().answer(sock, first, fields, body)


def document(version, base, has_tenant):
    it = config(version, base, [route("r1", "/order/", "desk", kind="unsafe")], ["desk"])
    it["tenants"] = [{"name": "shop", "api_keys": [HELD_KEY], "priority": 0, "rate_per_s": 100, "burst": 100}] if has_tenant else []
    return it


def ask(system, name, key, tenant=None):
    """Sends one order with \\p key to each entry; returns (request, status) of each."""
    results = []
    for number, host in enumerate(system.entries):
        request = "%s-%d" % (name, number)
        fields = {"X-Request-Id": request, "X-Deadline-Ms": "1500", "Authorization": "Bearer " + key}
        if tenant is not None:
            fields["X-Tenant"] = tenant
        system.record.add("client sends %s with key %s, X-Tenant %s to %s" % (request, key, tenant, host))
        reply = call(system.front(host), "POST", "/order/1", fields, b"1", 2, HOST)
        system.record.add("client gets %s for %s" % ("no answer" if reply is None else reply.status, request))
        results.append((request, None if reply is None else reply.status))
    return results


def case(record):
    system = System(record)
    system.arrived = {}
    try:
        system.start_all()
        for number, zone in enumerate(system.zones):
            address = ("%s.%d" % (system.net, 100 + number), system.port + 7)
            system.backends.append(NotingBackend(system, "i-%d" % number, "desk", zone, address))
        put_config(system, document(1, 0, True))
        system.wait_ready()
        time.sleep(3)
        before = ask(system, "held-before", HELD_KEY) + ask(system, "strange-before", STRANGE_KEY)
        if TROUBLE:
            put_config(system, document(2, 1, False))
        time.sleep(WAIT_S)
        reply = call(system.control(system.cores[0]), "GET", "/v1/config", timeout=2)
        if reply is not None and reply.status == 200:
            system.record.add("tenants of the configuration that is read back: %s" % json.dumps(json.loads(reply.body).get("tenants")))
        held = ask(system, "held-after", HELD_KEY)
        strange = ask(system, "strange-after", STRANGE_KEY, "shop")
        system.record.add("before: %s, after: held %s, strange %s" % (before, held, strange))
        breaks = []
        ran = [request for request, _ in strange if request in system.arrived]
        if ran:
            breaks.append("ROUTE: requests ran whose key no configuration ever held: %s" % ran)
        passed = [request for request, (key, _) in system.arrived.items() if key is not None]
        if passed:
            breaks.append("UNASKED: the key was passed on to the backend with %s" % passed)
        forged = [request for request, (_, tenant) in system.arrived.items() if request.startswith("strange") and tenant is not None]
        if forged:
            breaks.append("UNASKED: the backend was told the tenant that the client claimed: %s" % forged)
        dropped = [request for request, _ in held if request in system.arrived]
        if TROUBLE and dropped:
            breaks.append("CONFIG: requests ran with a dropped key, %.0f s after the acknowledgement: %s" % (WAIT_S, dropped))
        return system, breaks
    except BaseException:
        system.stop()
        raise


run_case(os.path.join(FOLDER, "record.txt"), case)
