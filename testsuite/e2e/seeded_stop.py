#!/usr/bin/env python3
"""A seeded entry host is told to stop while a request is in flight: a second signal, or the abort of the stop, cuts it.

Each request that is cut must be named in the log, with the cause. The host has no fleet: a request waits for its first
configuration for 312 ms, and is in flight meanwhile."""

import json
import pathlib
import shutil
import socket
import sys
import tempfile
import time

import harness
from harness import fleets

# Long enough that the host has read what was sent, short beside the wait for a configuration.
SETTLE_S = 0.1
GRACE_MS = 3000
ABORT_MS = GRACE_MS - GRACE_MS // 12
HEAD = b"GET /claims HTTP/1.1\r\nHost: book.vaalbank.example\r\n"


class EntryHost:
    """A laburnumd process that knows one seed, which does not exist."""

    def __init__(self, scratch, name, grace_ms):
        self.port = fleets.free_port()
        self.log = scratch / f"{name}.log"
        settings = scratch / f"{name}.toml"
        settings.write_text(
            f'host = "{name}"\ndata_centre = "d1"\nregion = "r1"\nrole = "entry"\ninterface = "provider"\n'
            f'entry = "127.0.0.1:{self.port}"\nseeds = ["127.0.0.1:{fleets.free_port()}"]\n'
            f'seed_peer_port = {fleets.free_port()}\nstop_grace_ms = {grace_ms}\n[data_centres]\nd1 = "r1"\n')
        with open(self.log, "ab") as log:
            self.process = fleets.spawn([fleets.BIN / "laburnumd", settings], stdout=log)
        fleets.wait_until(lambda: self.lines("start"), f"{name} has started")

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    def lines(self, kind, reason=None):
        complete, _, _ = self.log.read_text().rpartition("\n")
        lines = [json.loads(line) for line in complete.splitlines()]
        return [line for line in lines if line["kind"] == kind and reason in (None, line["reason"])]

    def signal(self):
        self.process.terminate()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def received(sock):
    """Returns what arrives until the end of the connection."""
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        pass
    return data


def check_cut(checks, host, cause, least_ms, most_ms):
    """The host ended by itself; its log names one request that it cut."""
    checks.check(host.process.wait(fleets.STOP_TIMEOUT_S) == 0, f"{cause}: the host did not exit with 0")
    cut = host.lines("stop", "request-cut")
    checks.check(len(cut) == 1, f"{cause}: {len(cut)} requests named: {cut}")
    for line in cut:
        checks.check(line["cause"] == cause, f"{cause}: named another cause: {line}")
        checks.check(least_ms <= line["stop_ms"] <= most_ms, f"{cause}: at another time: {line}")
        checks.check(0 <= line["ms"] <= 400, f"{cause}: the request has another age: {line}")
    total = host.lines("stop", "cut")
    checks.check([line["cut"] for line in total] == [1], f"{cause}: another number of requests: {total}")
    checks.check(not host.lines("stop", "abort-refused"), f"{cause}: an abort before its time")


def second_signal(checks, scratch):
    host = EntryHost(scratch, "e1", 30_000)
    try:
        with host.connect() as sock:
            host.signal()
            fleets.wait_until(lambda: host.lines("stop", "leaving"), "the first signal is taken")
            sock.sendall(HEAD + b"\r\n")
            time.sleep(SETTLE_S)
            host.signal()
            checks.check(received(sock) == b"", "second-signal: the request was answered")
        check_cut(checks, host, "second-signal", 0, 29_000)
    finally:
        host.end()


def abort(checks, scratch):
    host = EntryHost(scratch, "e2", GRACE_MS)
    try:
        with host.connect() as sock:
            # A request whose first byte is there is served after the drain has begun.
            sock.sendall(HEAD)
            time.sleep(SETTLE_S)
            began = time.monotonic()
            host.signal()
            time.sleep(began + (ABORT_MS - 150) / 1000 - time.monotonic())
            sock.sendall(b"\r\n")
            checks.check(received(sock) == b"", "stop-abort: the request was answered")
        check_cut(checks, host, "stop-abort", ABORT_MS, GRACE_MS)
    finally:
        host.end()


def main():
    checks = harness.Checks()
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="laburnum-"))
    try:
        second_signal(checks, scratch)
        abort(checks, scratch)
    finally:
        shutil.rmtree(scratch)
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
