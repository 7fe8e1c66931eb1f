#!/usr/bin/env python3
"""Kills the leader, empties its disk, freezes and unfreezes another leader, and restarts hosts of both roles.

Every accepted change must come into force at every entry host, and no host may ever report a lower revision."""

import sys

import harness
from harness import fleets

CHANGES_PER_STEP = 3


class RevisionMonitor:
    """Records the highest revision reported by each host."""

    def __init__(self, checks, fleet):
        self.checks, self.fleet, self.highest = checks, fleet, {}

    def update(self):
        for host in self.fleet.hosts:
            status = host.status()
            if not status:
                continue
            seen = self.highest.get(host.name, 0)
            self.checks.check(status["revision"] >= seen,
                              f"the revision of {host.name} decreased from {seen} to {status['revision']}")
            self.highest[host.name] = max(seen, status["revision"])


def apply_changes(fleet, monitor, step):
    """Applies changes through any control host that answers, each until it is accepted and in force."""
    for i in range(CHANGES_PER_STEP):
        deadline = 1000 + monitor.highest.get("accepted", 1) * 10
        text = harness.CONFIG.replace("floor_slots = 6", f"floor_slots = 6\ndeadline_ms = {deadline}")
        path = harness.write_config(fleet, f"{step}-{i}.toml", text)
        accepted = []

        def try_apply():
            try:
                accepted.append(fleet.apply(path, f"{step}-{i}"))
            except RuntimeError:
                return False
            return True

        fleets.wait_until(try_apply, f"change {step}-{i} is accepted", 60)
        monitor.checks.check(accepted[-1] > monitor.highest.get("accepted", 1),
                             f"{step}-{i} did not increase the revision")
        monitor.highest["accepted"] = max(accepted[-1], monitor.highest.get("accepted", 1))
        fleet.wait_in_force(accepted[-1])
        monitor.update()


def main():
    checks = harness.Checks()
    fleet = fleets.Fleet(["claimdesk"], controls=3, upstreams_per_service=1)
    try:
        harness.start_with_config(fleet)
        monitor = RevisionMonitor(checks, fleet)
        apply_changes(fleet, monitor, "calm")

        leader = fleet.leader()
        leader.kill()
        apply_changes(fleet, monitor, "leader-killed")
        leader.wipe()
        leader.start()
        apply_changes(fleet, monitor, "disk-emptied")
        fleets.wait_until(lambda: (leader.status() or {}).get("revision", 0) >= monitor.highest["accepted"],
                          "the host with the new disk has caught up")

        fleets.wait_until(fleet.leader, "there is a leader")
        frozen = fleet.leader()
        frozen.freeze()
        others = [host for host in fleet.controls if host is not frozen]
        fleet.controls = others
        apply_changes(fleet, monitor, "leader-frozen")
        frozen.unfreeze()
        fleet.controls = others + [frozen]
        apply_changes(fleet, monitor, "leader-thawed")

        for host in fleet.controls:
            host.kill()
        for entry in fleet.entries[:3]:
            entry.kill()
            entry.start()
        fleets.wait_until(lambda: all((e.status() or {}).get("revision", 0) >= monitor.highest["accepted"]
                                      for e in fleet.entries), "entry hosts restart without control hosts")
        monitor.update()
        for host in fleet.controls:
            host.start()
        apply_changes(fleet, monitor, "all-restarted")
        print(f"accepted revision {monitor.highest['accepted']}, highest seen {monitor.highest}")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
