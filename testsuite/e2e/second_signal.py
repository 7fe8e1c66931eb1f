#!/usr/bin/env python3
"""An entry host gets further stop signals while an instance is at work on requests.

Guards against requests that a repeated signal cuts in the first instant of a planned stop (LOST): SIGTERM from two
programs, or one key press that arrives twice. A later SIGINT forces the stop, and the host says what it cut."""

import signal
import sys

import harness
import seeded_harness
from harness import fleets

GRACE_MS = 25000


def begin(fleet, name):
    """Starts the entry host if it has ended; returns callers of requests at work and the event that releases them."""
    entry = fleet.entry
    if entry.process.poll() is not None:
        served = entry.count("leader", "joined")
        entry.start()
        entry.await_line("leader", "joined", served + 1)
        fleet.await_service(name)
    return fleet.requests_at_work(name)


def have_ended(callers):
    return not all(caller.thread.is_alive() for caller in callers)


def check_drained(checks, fleet, callers, released):
    """The requests go on, and the host ends by itself without a cut."""
    drained, cut = fleet.entry.count("stop", "drained", cut=0), fleet.entry.count("stop", "cut")
    released.set()
    seeded_harness.check_whole(checks, fleet, callers)
    checks.check(fleet.entry.process.wait(GRACE_MS / 1000) == 0, "the host did not exit with 0")
    checks.check(fleet.entry.count("stop", "drained", cut=0) == drained + 1, "the stop is not logged as drained")
    checks.check(fleet.entry.count("stop", "cut") == cut, "the stop is logged as a cut")


def repeat_terminate(checks, fleet):
    """An operator's tool and the service manager both send SIGTERM, at once and later."""
    entry = fleet.entry
    callers, released = begin(fleet, "terminate")
    leaving = entry.count("stop", "leaving")
    entry.process.terminate()
    entry.await_line("stop", "leaving", leaving + 1)
    entry.process.terminate()
    fleets.wait_until(lambda: entry.count("stop", "repeated") or have_ended(callers), "the signal is handled")

    def is_late():
        entry.process.terminate()
        return have_ended(callers) or any(line.get("after_ms", 0) > 2000 for line in entry.lines("stop", "repeated"))

    fleets.wait_until(is_late, "a signal 2 s later is handled")
    checks.check(not have_ended(callers), "a repeated SIGTERM ended requests at work")
    check_drained(checks, fleet, callers, released)


def interrupt_twice_at_once(checks, fleet):
    """One key press reaches the process through its terminal and through the program that started it."""
    entry = fleet.entry
    callers, released = begin(fleet, "at-once")
    repeated = entry.count("stop", "repeated")
    entry.process.send_signal(signal.SIGTERM)
    entry.process.send_signal(signal.SIGINT)
    fleets.wait_until(lambda: entry.count("stop", "repeated") > repeated or have_ended(callers),
                      "the second signal is handled")
    checks.check(not have_ended(callers), "a signal that came twice ended requests at work")
    check_drained(checks, fleet, callers, released)


def force(checks, fleet):
    """A person interrupts again, later: all requests in flight are cut at once, and counted."""
    entry = fleet.entry
    callers, released = begin(fleet, "force")
    cut = entry.count("stop", "cut")
    entry.process.send_signal(signal.SIGINT)

    def is_forced():
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGINT)
        return entry.count("stop", "cut") > cut

    fleets.wait_until(is_forced, "a later SIGINT forces the stop")
    checks.check(entry.process.wait(fleets.STOP_TIMEOUT_S) == 0, "the host did not exit with 0")
    forced = entry.lines("stop", "forced")
    checks.check(bool(forced) and forced[0]["signal"] == "interrupt" and 1000 <= forced[0]["after_ms"] < GRACE_MS,
                 f"forced too early or by the wrong signal: {forced}")
    checks.check(forced[:1] and forced[0]["in_flight"] == len(callers), f"not all requests were in flight: {forced}")
    checks.check(entry.lines("stop", "cut")[-1]["cut"] == len(callers),
                 f"the number of cut requests is wrong: {entry.lines('stop', 'cut')}")
    released.set()
    for caller in callers:
        checks.check(not caller.is_whole(), f"{caller.request} was served after the cut")
        checks.check(caller.status() in (0, 200),
                     f"{caller.request} got an answer of the host's own: {caller.answer[:80]}")
        checks.check(fleet.instance.arrivals(caller.request) == 1, f"{caller.request} was sent again")


def main():
    checks = harness.Checks()
    fleet = seeded_harness.SeededFleet(GRACE_MS)
    try:
        fleet.start()
        for case in (repeat_terminate, interrupt_twice_at_once, force):
            case(checks, fleet)
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
