#!/usr/bin/env python3
"""The leader is killed, another is frozen and thawed, a disk is emptied, entry hosts restart.

Every accepted change comes into force at every entry host and no host ever shows a lower revision."""

import sys

import harness
from harness import fleets

CHANGES_PER_STEP = 3


class Watch:
    """Remembers the highest revision seen at each host."""

    def __init__(self, checks, fleet):
        self.checks, self.fleet, self.highest = checks, fleet, {}

    def look(self):
        for host in self.fleet.hosts:
            status = host.status()
            if not status:
                continue
            seen = self.highest.get(host.name, 0)
            self.checks.check(status["revision"] >= seen,
                              f"{host.name} went back from {seen} to {status['revision']}")
            self.highest[host.name] = max(seen, status["revision"])


def apply_some(fleet, watch, step):
    """Applies a few changes through whatever control hosts answer, until each is accepted."""
    for i in range(CHANGES_PER_STEP):
        deadline = 1000 + watch.highest.get("accepted", 1) * 10
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
        watch.checks.check(accepted[-1] > watch.highest.get("accepted", 1), f"{step}-{i} did not raise the revision")
        watch.highest["accepted"] = max(accepted[-1], watch.highest.get("accepted", 1))
        fleet.wait_in_force(accepted[-1])
        watch.look()


def main():
    checks = harness.Checks()
    fleet = fleets.Fleet(["claimdesk"], controls=3, upstreams_per_service=1)
    try:
        harness.start_with_config(fleet)
        watch = Watch(checks, fleet)
        apply_some(fleet, watch, "calm")

        leader = fleet.leader()
        leader.kill()
        apply_some(fleet, watch, "leader-killed")
        leader.wipe()
        leader.start()
        apply_some(fleet, watch, "disk-emptied")
        fleets.wait_until(lambda: (leader.status() or {}).get("revision", 0) >= watch.highest["accepted"],
                          "the host with the new disk has caught up")

        fleets.wait_until(fleet.leader, "there is a leader")
        frozen = fleet.leader()
        frozen.freeze()
        others = [host for host in fleet.controls if host is not frozen]
        fleet.controls = others
        apply_some(fleet, watch, "leader-frozen")
        frozen.thaw()
        fleet.controls = others + [frozen]
        apply_some(fleet, watch, "leader-thawed")

        for host in fleet.controls:
            host.kill()
        for entry in fleet.entries[:3]:
            entry.kill()
            entry.start()
        fleets.wait_until(lambda: all((e.status() or {}).get("revision", 0) >= watch.highest["accepted"]
                                      for e in fleet.entries), "entry hosts restart without control hosts")
        watch.look()
        for host in fleet.controls:
            host.start()
        apply_some(fleet, watch, "all-restarted")
        print(f"accepted revision {watch.highest['accepted']}, highest seen {watch.highest}")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
