#!/usr/bin/env python3
"""Requests at which an instance is at work get its whole answer, whatever changes around their entry host meanwhile.

Guards against requests that a change of settings, of the leader or of an account's keys ends (LOST)."""

import shutil
import signal
import sys

import harness
import seeded_harness
from harness import fleets

OTHER_ACCOUNT = {"b": ["k3"]}


def change_settings(checks, fleet):
    """By signal and by file, other seeds, an unreadable file and none at all."""
    callers, released = fleet.requests_at_work("settings")
    entry = fleet.entry
    entry.write_settings(fleet.controls[1:])
    entry.process.send_signal(signal.SIGHUP)
    entry.await_line("reload", "done", cause="signal")
    entry.write_settings(fleet.controls[:1])
    entry.await_line("reload", "done", cause="file")
    entry.settings.write_text("role =")
    entry.process.send_signal(signal.SIGHUP)
    entry.await_line("reload", "refused", cause="signal")
    entry.settings.unlink()
    entry.await_line("reload", "refused", cause="file")
    entry.write_settings(fleet.controls)
    entry.process.send_signal(signal.SIGHUP)
    entry.await_line("reload", "done", count=2, cause="signal")
    checks.check(not any(caller.answer.startswith(b"HTTP/1.1 5") for caller in callers), "answered before the release")
    released.set()
    seeded_harness.check_whole(checks, fleet, callers)


def change_leader(checks, fleet):
    """Killed and back with an empty disk as another member."""
    callers, released = fleet.requests_at_work("leader")
    joined, lost = fleet.entry.count("leader", "joined"), fleet.entry.count("leader", "lost")
    leader = fleet.leader()
    leader.process.kill()
    leader.process.wait()
    fleet.entry.await_line("leader", "lost", lost + 1)
    fleet.entry.await_line("leader", "joined", joined + 1)
    shutil.rmtree(leader.folder)
    leader.start(first_start=False)
    fleets.wait_until(lambda: seeded_harness.voters(fleet.controls) == len(fleet.controls),
                      "the wiped host is a member again")
    seeded_harness.put_configuration(fleet.controls, 2)
    fleet.await_level()
    released.set()
    seeded_harness.check_whole(checks, fleet, callers)


def lose_leader(checks, fleet):
    """The leader falls silent, then no control host is left; what was placed by it and what the host places alone."""
    placed, released_placed = fleet.requests_at_work("placed")
    lost, joined = fleet.entry.count("leader", "lost"), fleet.entry.count("leader", "joined")
    frozen = fleet.leader()
    frozen.process.send_signal(signal.SIGSTOP)
    fleet.entry.await_line("leader", "lost", lost + 1)
    fleet.entry.await_line("leader", "joined", joined + 1)
    frozen.process.send_signal(signal.SIGCONT)
    lost, joined = fleet.entry.count("leader", "lost"), fleet.entry.count("leader", "joined")
    for host in fleet.controls:
        host.process.kill()
        host.process.wait()
    fleet.entry.await_line("leader", "lost", lost + 1)
    refused = fleet.entry.count("hedge", "refused", alone=True)
    alone, released_alone = fleet.requests_at_work("alone")
    # The two safe ones ask for a second attempt.
    fleet.entry.await_line("hedge", "refused", refused + 2, alone=True)
    for host in fleet.controls:
        host.start(first_start=False)
    fleet.entry.await_line("leader", "joined", joined + 1)
    released_placed.set()
    released_alone.set()
    seeded_harness.check_whole(checks, fleet, placed + alone)


def withdraw_keys(checks, fleet):
    """A key, then its account, then all contact that could confirm the keys."""
    entry = fleet.entry

    def put(number, accounts):
        seeded_harness.put_configuration(fleet.controls, number, accounts)
        entry.await_line("config", "in-force", number=number)

    def check_refused(request):
        late = seeded_harness.Caller(entry, request, "safe", "k1")
        checks.check(late.status() in (401, 403), f"a withdrawn key is accepted: {late.answer[:200]}")
        checks.check(fleet.instance.arrivals(request) == 0, f"{request} reached the instance")

    put(3, {"a": ["k1", "k2"], **OTHER_ACCOUNT})
    entry.await_line("accounts", "confirmed")
    callers, released = fleet.requests_at_work("key", "k1")
    put(4, {"a": ["k2"], **OTHER_ACCOUNT})
    check_refused("late-key")
    put(5, OTHER_ACCOUNT)
    check_refused("late-account")
    others, released_others = fleet.requests_at_work("other-key", "k3")
    unconfirmed = entry.count("accounts", "unconfirmed")
    for host in fleet.controls:
        host.process.kill()
        host.process.wait()
    entry.await_line("accounts", "unconfirmed", unconfirmed + 1)
    released.set()
    released_others.set()
    seeded_harness.check_whole(checks, fleet, callers + others)


def main():
    checks = harness.Checks()
    fleet = seeded_harness.SeededFleet()
    try:
        fleet.start()
        for change in (change_settings, change_leader, lose_leader, withdraw_keys):
            change(checks, fleet)
        checks.check(fleet.entry.process.poll() is None, "the entry host exited")
        checks.check(not fleet.instance.broken, f"connections to the instance were closed: {fleet.instance.broken}")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
