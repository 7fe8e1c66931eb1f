#!/usr/bin/env python3
"""Entry hosts are killed while they process orders; clients resend them to other hosts with the same key.

Each order must run at most once, an order reported as not run must not have run, and every answer must be complete
and belong to the order."""

import sys

import harness
from harness import fleets

ORDERS = 240
SEED = 7


def main():
    checks = harness.Checks()
    fleet = fleets.Fleet(["claimdesk"], upstreams_per_service=3, work_ms=30)
    try:
        harness.start_with_config(fleet)
        callers = [harness.Caller(f"order-{i}", SEED + i) for i in range(ORDERS)]
        threads, waiting = harness.place_all(callers, fleet.entries)
        for victim, left in ((fleet.entries[0], 2 * ORDERS // 3), (fleet.entries[3], ORDERS // 3)):
            fleets.wait_until(lambda: len(waiting) <= left, "enough orders are submitted", 60)
            victim.kill()
            victim.start()
        for thread in threads:
            thread.join()
        outcomes = harness.check_orders(checks, callers, fleet.upstreams)
        print(f"seed {SEED}, {ORDERS} orders, 2 kills, last outcomes: {dict(outcomes)}")
        checks.check(outcomes["answered"] >= ORDERS * 0.95, f"too few orders were answered: {outcomes}")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
