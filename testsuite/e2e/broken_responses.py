#!/usr/bin/env python3
"""An instance sends broken responses: no caller takes one for a whole response, no unsafe request runs twice, and the
log says what was wrong.

Guards against an invalid status or field name that is passed on, and against a part of a response without length that
looks complete because it ends by a reset under an upload."""

import os
import select
import socket
import struct
import sys
import threading

import harness
import seeded_harness
from harness import fleets
from seeded_harness import e2e_calls

INVALID_STATUSES = ["000", "099", "20", "0200", "600", "999", "-200", "2e2"]
INVALID_NAMES = ["X Bad", "X\x01Bad", "X\x7fBad", "X\0Bad", "", "X\xe9", "X\t"]
STATUS_ERROR = "malformed HTTP: invalid status code"
UPLOAD_BYTES = 50_000_000
# A peer that accepts nothing for this long reads nothing.
BLOCKED_S = 0.2


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(connection.detach())


def finish(connection):
    """Sends a FIN and waits until the peer closes."""
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(65536):
        pass


class FaultyInstance(seeded_harness.HeldInstance):
    """Sends the responses that `faults` has for the ids of requests, without reading their bodies."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.faults = {}
        self.upload_waits = threading.Event()

    def receive(self, handler):
        request = handler.headers[e2e_calls.REQUEST_ID]
        if request not in self.faults:
            super().receive(handler)
            return
        response, waits, end = self.faults[request]
        with self.lock:
            self.arrived.append(request)
        handler.close_connection = True
        handler.connection.sendall(response.encode("latin-1"))
        if waits:
            self.upload_waits.wait()
        try:
            end(handler.connection)
        except OSError:
            pass


class Upload:
    """A request whose body is sent as far as it is accepted; `answer` is all that came until the connection ended."""

    def __init__(self, fleet, request, kind):
        self.answer = b""
        fleet.instance.upload_waits.clear()
        with socket.create_connection((fleet.entry.address, fleet.entry.port), seeded_harness.READ_TIMEOUT_S) as sock:
            sock.sendall(f"POST /{kind}/x HTTP/1.1\r\nHost: {harness.HOST_NAME}\r\n{e2e_calls.REQUEST_ID}: {request}\r\n"
                         f"Content-Length: {UPLOAD_BYTES}\r\n\r\n".encode())
            sent = 0
            try:
                while sent < UPLOAD_BYTES and select.select([], [sock], [], BLOCKED_S)[1]:
                    sent += sock.send(bytes(65536), socket.MSG_DONTWAIT)
            except OSError:
                pass
            fleet.instance.upload_waits.set()
            try:
                while data := sock.recv(65536):
                    self.answer += data
            except OSError:
                pass

    def is_complete(self):
        return self.answer.startswith(b"HTTP/1.1 200 ") and self.answer.endswith(b"0\r\n\r\n")


def head(request, status="200"):
    return (f"HTTP/1.1 {status} X\r\n{e2e_calls.REQUEST_ID}: {request}\r\n{e2e_calls.RESPONSE_STAMP}: i-1\r\n")


def has_attempt(fleet, request, cause, error="malformed HTTP: "):
    """Whether the log says that the instance ended an attempt of the request."""
    return any(line["kind"] == "attempt" and line.get("id") == request and line.get("by") == "instance"
               and line.get("cause") == cause and (cause != "not-http" or line.get("error", "").startswith(error))
               for line in seeded_harness.lines_of(fleet.entry.log))


def check_invalid(checks, fleet, name, response, error="malformed HTTP: "):
    """The response of a request is invalid; `response` makes it from the request's id."""
    for kind in ("unsafe", "safe"):
        request = f"{name}-{kind}"
        fleet.instance.faults[request] = (response(request), False, finish)
        caller = seeded_harness.Caller(fleet.entry, request, kind)
        checks.check(caller.status() == 502, f"{request} got {caller.answer[:200]}")
        checks.check(b"wrong" not in caller.answer, f"{request} got the invalid response")
        arrivals = fleet.instance.arrivals(request)
        checks.check(arrivals == 1 or (kind == "safe" and arrivals == 2), f"{request} arrived {arrivals} times")
        fleets.wait_until(lambda: has_attempt(fleet, request, "not-http", error), f"the log tells of {request}")
    fleet.await_service(f"after-{name}")


def check_upload(checks, fleet, name, waits, end, is_complete):
    """A response without length that ends while its request is being sent."""
    for kind in ("unsafe", "safe"):
        request = f"{name}-{kind}"
        fleet.instance.faults[request] = (head(request) + "\r\npart", waits, end)
        upload = Upload(fleet, request, kind)
        checks.check(upload.is_complete() == is_complete, f"{request} got {upload.answer[-200:]}")
        checks.check(fleet.instance.arrivals(request) == 1 or kind == "safe", f"{request} arrived more than once")
        if not is_complete:
            fleets.wait_until(lambda: has_attempt(fleet, request, "connection-lost"), f"the log tells of {request}")
    fleet.await_service(f"after-{name}")


def main():
    checks = harness.Checks()
    fleet = seeded_harness.SeededFleet(instance_type=FaultyInstance)
    body = "Content-Length: 5\r\n\r\nwrong"
    try:
        fleet.start()
        for status in INVALID_STATUSES:
            check_invalid(checks, fleet, f"status{status}", lambda request, s=status: head(request, s) + body, STATUS_ERROR)
        check_invalid(checks, fleet, "interim000",
                      lambda request: f"HTTP/1.1 000 X\r\n\r\n{head(request)}{body}", STATUS_ERROR)
        for number, name in enumerate(INVALID_NAMES):
            check_invalid(checks, fleet, f"name{number}", lambda request, n=name: f"{head(request)}{n}: 1\r\n{body}")
        check_upload(checks, fleet, "reset-at-once", False, reset, False)
        for number in range(4):
            check_upload(checks, fleet, f"reset-later{number}", True, reset, False)
            check_upload(checks, fleet, f"fin{number}", True, finish, True)
        checks.check(fleet.entry.process.poll() is None, "the entry host exited")
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
