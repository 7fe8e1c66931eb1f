#!/usr/bin/env python3
"""One of six instances fails all requests while its probes pass.

Lookups must still be answered, the faulty instance must be ejected but no healthy one, so that the floor holds, and
the instance must return to service without intervention once it is healthy."""

import sys
import time

import harness
from harness import fleets

ROUND = 60


def lookups(fleet, count):
    """Sends lookups through all entry hosts in turn; returns how many were answered with 200."""
    good = 0
    for i in range(count):
        entry = fleet.entries[i % len(fleet.entries)]
        status, _, _ = fleets.http("GET", f"http://{entry.entry}/claims/{i}", None, {"Host": harness.HOST_NAME})
        good += status == 200
    return good


def decisions(fleet, kind):
    return [d for host in fleet.entries for d in host.decisions() if d["kind"] == kind]


def describe(fleet, instance):
    """Prints what the hosts decided about the instance, for the trace of a failure."""
    kinds = {"eject", "return", "trial", "grant-ejection", "deny-ejection"}
    lines = [(d["time_ms"], host.name, d) for host in fleet.entries for d in host.decisions()
             if d["kind"] in kinds and d.get("instance") == instance]
    lines += [(d["time_ms"], host.name, d) for host in fleet.entries for d in host.decisions()
              if d["kind"] in {"ownership", "member"}]
    for _, host, decision in sorted(lines, key=lambda line: line[0]):
        print(host, decision)


def main():
    checks = harness.Checks()
    fleet = fleets.Fleet(["claimdesk"], upstreams_per_service=6)
    try:
        harness.start_with_config(fleet)
        checks.check(lookups(fleet, ROUND) == ROUND, "all lookups are answered while all instances are healthy")
        faulty = fleet.upstreams[0]
        faulty.set_mode("fail")
        started = time.monotonic()
        sent, good = 0, 0

        def ejected():
            nonlocal sent, good
            good += lookups(fleet, ROUND)
            sent += ROUND
            return any(d.get("instance") == faulty.name for d in decisions(fleet, "eject"))

        fleets.wait_until(ejected, "the faulty instance is ejected", 60)
        print(f"ejected after {time.monotonic() - started:.1f} s; {good} of {sent} lookups answered meanwhile")
        others = {d.get("instance") for d in decisions(fleet, "eject")} - {faulty.name}
        checks.check(not others, f"healthy instances were ejected: {others}")
        checks.check(lookups(fleet, ROUND) == ROUND, "all lookups are answered while the instance is ejected")
        faulty.set_mode("ok")

        def returned():
            lookups(fleet, ROUND)
            return any(d.get("instance") == faulty.name for d in decisions(fleet, "return"))

        try:
            fleets.wait_until(returned, "the recovered instance returns to service", 120)
        except TimeoutError:
            describe(fleet, faulty.name)
            raise
        checks.check(lookups(fleet, ROUND) == ROUND, "all lookups are answered after the return")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
