"""An order to end an evacuation that waited in a frozen core instance is carried out when the instance wakes, after a later order."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness2 import (STABLE_WINDOW_S, TROUBLE, CannotRun, System, config, put_config, route, run_case)  # noqa: E402

EVACUATE_S = 5.0  # the bound `evacuate_s`
FREEZE_S = 4.0
ZONE = "zone-a"
PATH = "/v1/evacuations/" + ZONE


def clear(status, what):
    if status != 200:
        raise CannotRun("%s was not acknowledged: %s" % (what, status))


def round_with(system, frozen, breaks):
    """One evacuation that is taken back and ordered again while \\p frozen stands still."""
    clear(system.order("POST", PATH)[0], "the evacuation")
    time.sleep(1)
    if TROUBLE:
        system.signal(frozen, signal.SIGSTOP)
    thaw_at = time.monotonic() + FREEZE_S
    clear(system.order("DELETE", PATH, first=frozen)[0], "the end of the evacuation")
    status, acked_at = system.order("POST", PATH, first=next(it for it in system.cores if it != frozen))
    clear(status, "the second evacuation")
    time.sleep(max(0, thaw_at - time.monotonic()))
    if TROUBLE:
        system.signal(frozen, signal.SIGCONT)
    thawed_at = time.monotonic()
    # From here on the order binds, and the entries are in touch: nothing has disturbed the core for stable_window_s.
    binds_at = max(acked_at + EVACUATE_S, thawed_at + STABLE_WINDOW_S) + 0.5
    time.sleep(max(0, binds_at - time.monotonic()))
    system.record.add("the evacuation of %s binds: acknowledged %.1f s ago, woken %.1f s ago"
                      % (ZONE, time.monotonic() - acked_at, time.monotonic() - thawed_at))
    since = time.monotonic()
    for number in range(30):
        system.request(system.entries[number % len(system.entries)], "/stock/%d" % number)
    for backend in system.backends:
        late = [request for at, request in backend.runs if at > since]
        if backend.zone == ZONE and late:
            breaks.append("EVAC: %d of 30 requests reached %s in the evacuated zone, %.1f s after the acknowledgement (frozen: %s)"
                          % (len(late), backend.name, since - acked_at, frozen))
    clear(system.order("DELETE", PATH)[0], "the end of the second evacuation")
    time.sleep(1)


def case(record):
    system = System(record)
    try:
        system.start_all()
        for number, zone in enumerate(["zone-a", "zone-a", "zone-b", "zone-c"]):
            system.add_backend("i-%d" % number, "desk", zone)
        put_config(system, config(1, 0, [route("r1", "/stock/", "desk")], ["desk"]))
        system.wait_ready()
        time.sleep(3)
        breaks = []
        for frozen in system.cores:  # at most one of them leads
            round_with(system, frozen, breaks)
        return system, breaks
    except BaseException:
        system.stop()
        raise


run_case(os.path.join(FOLDER, "record.txt"), case)
