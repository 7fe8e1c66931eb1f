#!/usr/bin/env python3
"""Routes for several ports of a name, IPv6 literals and names of other case, in a seeded and in a listed fleet.

Guards against requests for one port of a name that run at the service of another port, or for a host that no entry
names (ROUTE)."""

import itertools
import sys

import harness
import seeded_harness
from harness import fleets
from seeded_harness import e2e_calls

# Hosts of a configuration with their services, in both orders of the entries that share a name.
DECLARED = [
    {"h.example": "a", "h.example:8080": "b", "P.example:8080": "a", "p.example:8443": "b",
     "[2001:DB8::1]": "a", "[2001:db8::1]:8443": "b", "[::1]:8080": "a"},
    {"[2001:db8::1]:8443": "b", "[2001:DB8::1]": "a", "p.example:8443": "b", "P.example:8080": "a",
     "h.example:8080": "b", "h.example": "a", "[::1]:8080": "a"},
]
# Host of a request and the service that it belongs to; None: no entry names the host.
REQUESTED = [
    ("h.example", "a"), ("H.example:80", "a"), ("h.example:8080", "b"), ("H.EXAMPLE:8080", "b"),
    ("h.example:9090", "a"), ("p.example:8080", "a"), ("P.EXAMPLE:8443", "b"), ("p.example", None),
    ("p.example:9090", None), ("[2001:db8:0::1]", "a"), ("[2001:db8::1]:8443", "b"), ("[2001:DB8::1]:8080", "a"),
    ("[::1]:8080", "a"), ("[0::1]:8080", "a"), ("[::1]", None), ("[::1]:8443", None), ("other.example:8080", None),
]


def check_run(checks, request, host, expected, status, services):
    """A request ran once, at the expected service, or was refused with 404 and did not run."""
    runs = [service for service in "ab" for _ in range(services(service).count(request))]
    checks.check(runs == ([expected] if expected else []), f"{request} for {host} ran at {runs}, not at {expected}")
    checks.check(status == (200 if expected else 404), f"{request} for {host} was answered with {status}")


def seeded(checks):
    fleet = seeded_harness.SeededFleet()
    instances = {name: seeded_harness.HeldInstance(f"i-{name}", name, fleet.controls) for name in "ab"}
    try:
        fleet.start()
        for instance in instances.values():
            instance.hold().set()
            instance.start()
        for number, declared in enumerate(DECLARED, 1):
            seeded_harness.acknowledge(fleet.controls, number, e2e_calls.configuration_of_hosts(number, declared))
            fleet.entry.await_line("config", "in-force", number=number)
            tries = itertools.count()

            def is_served(host):
                return seeded_harness.Caller(fleet.entry, f"try-{next(tries)}", "safe", host=host).status() == 200

            for host in ("h.example", "h.example:8080"):
                fleets.wait_until(lambda: is_served(host), f"{host} is served")
            for at, (host, expected) in enumerate(REQUESTED):
                request = f"request-{number}-{at}"
                status = seeded_harness.Caller(fleet.entry, request, "unsafe", host=host).status()
                check_run(checks, request, host, expected, status, lambda name: instances[name].arrived)
    finally:
        for instance in instances.values():
            instance.stop()
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")


def listed(checks):
    fleet = fleets.Fleet(["a", "b"], upstreams_per_service=1)
    try:
        fleet.start()
        fleets.wait_until(fleet.leader, "the control hosts elect a leader")
        for number, declared in enumerate(DECLARED, 1):
            text = "".join(f'[[service]]\nname = "{name}"\nfloor_slots = 1\n' for name in "ab")
            text += "".join(f'[[route]]\nhost = "{host}"\nservice = "{name}"\n' for host, name in declared.items())
            fleet.apply(harness.write_config(fleet, f"{number}.toml", text), f"change-{number}")
            fleet.wait_in_force(number)
            for at, (host, expected) in enumerate(REQUESTED):
                entry = fleet.entries[at % len(fleet.entries)]
                request = f"request-{number}-{at}"
                status, _, _ = fleets.http("POST", f"http://{entry.entry}/x", b"", {"Host": host, "X-Order": request})
                check_run(checks, request, host, expected, status,
                          lambda name: [run for upstream in fleet.instances_of(name) for run in upstream.runs()])
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")


def main():
    checks = harness.Checks()
    seeded(checks)
    listed(checks)
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
