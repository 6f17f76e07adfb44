"""A core machine is replaced, the new one first; as the old one has ended, two others lose their disks. The core never comes back."""
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (TROUBLE, CannotRun, System, call, config, put_config, route, run_case)  # noqa: E402

LATER_S = float(os.environ.get("LATER_S", "0"))  # from the end of the old machine to the final fault
CATCH_UP_S = 6.0
DOWN_S = 1.0
RECOVERY_S = 15.0
CLOSING = 9  # the version that is acknowledged right before the final fault


def read_back(system):
    """What each running core machine answers to a read: a version, or the status."""
    answers = {}
    for host in system.cores:
        reply = call(system.control(host), "GET", "/v1/config", timeout=1.5)
        answers[host] = None if reply is None else reply.status if reply.status != 200 else json.loads(reply.body)["version"]
    return answers


def case(record):
    system = System(record, cores=5, spare_cores=1, entries=1)
    try:
        system.start_all()
        system.add_backend("i-0", "desk", "zone-a")
        rules = [route("r1", "/stock/", "desk")]
        put_config(system, config(1, 0, rules, ["desk"]))
        system.wait_ready()
        time.sleep(CATCH_UP_S)
        old = system.cores[4]  # not one of the seeds
        if TROUBLE:
            system.record.add("a new core machine starts: %s" % system.spare_cores[0])
            system.cores.append(system.spare_cores[0])
            system.start(system.cores[5], is_first=False)
            time.sleep(CATCH_UP_S + 2)  # from here on the old machine does not count any more
            system.signal(old, signal.SIGTERM)
            system.processes[old].wait()
            system.record.add("the old machine has ended: %s" % old)
            system.cores.remove(old)
        time.sleep(LATER_S)
        status, acked_at = system.order("PUT", "/v1/config", json.dumps(config(CLOSING, 1, rules, ["desk"])).encode(), seconds=10)
        if status != 200:
            raise CannotRun("the closing change was not acknowledged: %s" % status)
        lost = system.cores[:2]
        for host in lost:
            system.signal(host, signal.SIGKILL)
        for host in lost:
            system.processes[host].wait()
            shutil.rmtree(os.path.join(system.folder, "data-" + host))
            system.record.add("%s has lost its disk" % host)
        time.sleep(DOWN_S)
        for host in lost:
            system.start(host, is_first=False)
            system.record.add("%s is back with an empty disk" % host)
        end = time.monotonic() + 2 * RECOVERY_S
        answers = {}
        while time.monotonic() < end and "%08x" % CLOSING not in answers.values():
            time.sleep(1)
            answers = read_back(system)
            system.record.add("read back: %s" % answers)
        breaks = []
        if "%08x" % CLOSING not in answers.values():
            breaks.append("LOST: %.0f s after all machines are back, no core machine answers a read with the acknowledged version %08x: %s"
                          % (2 * RECOVERY_S, CLOSING, answers))
        return system, breaks
    except BaseException:
        system.stop()
        raise


run_case(os.path.join(FOLDER, "record.txt"), case)
