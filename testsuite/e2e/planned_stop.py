#!/usr/bin/env python3
"""An entry host receives SIGTERM, and once more, during an upload and a slow request; both must complete."""

import socket
import sys
import threading

import harness
from harness import fleets

UPLOAD_PARTS = 40
PART = b"x" * 8192


def upload(entry, halfway, go_on, results):
    """Sends a PUT in two halves, the second of them after `go_on` is set; appends the answer to `results`."""
    address, port = entry.entry.split(":")
    with socket.create_connection((address, int(port)), timeout=30) as sock:
        head = (f"PUT /claims/photo HTTP/1.1\r\nHost: {harness.HOST_NAME}\r\n"
                f"Content-Length: {UPLOAD_PARTS * len(PART)}\r\n\r\n")
        sock.sendall(head.encode())
        for i in range(UPLOAD_PARTS):
            if i == UPLOAD_PARTS // 2:
                halfway.set()
                go_on.wait()
            sock.sendall(PART)
        answer = b""
        while True:
            data = sock.recv(65536)
            if not data:
                break
            answer += data
    results.append(answer)


def main():
    checks = harness.Checks()
    fleet = fleets.Fleet(["claimdesk"], upstreams_per_service=1, work_ms=700)
    try:
        harness.start_with_config(fleet)
        entry = fleet.entries[0]
        halfway, go_on, results, answers = threading.Event(), threading.Event(), [], []
        uploading = threading.Thread(target=upload, args=(entry, halfway, go_on, results), daemon=True)
        uploading.start()
        halfway.wait()
        slow = threading.Thread(daemon=True, target=lambda: answers.append(fleets.http(
            "GET", f"http://{entry.entry}/claims/slow", None, {"Host": harness.HOST_NAME})))
        slow.start()
        fleets.wait_until(lambda: any(d["kind"] == "route" and d.get("target") == "/claims/slow"
                                      for d in entry.decisions()), "the slow request is in progress")
        entry.process.terminate()
        fleets.wait_until(lambda: fleets.http("GET", f"http://{entry.admin}/readyz")[0] == 503,
                          "the host reports that it is not ready")
        entry.process.terminate()
        fleets.wait_until(lambda: any(d["kind"] == "stop" and d["reason"] == "repeated" for d in entry.decisions()),
                          "the second signal is handled")
        go_on.set()
        uploading.join()
        slow.join()
        checks.check(answers[0][0] == 200, f"the slow request was cut off: {answers}")
        head, _, body = results[0].partition(b"\r\n\r\n")
        checks.check(b" 200 " in head.split(b"\r\n")[0], f"the upload was not answered: {head[:200]}")
        checks.check(body.endswith(PART) and b"connection: close" in head.lower(),
                     "the answer is complete and closes the connection")
        checks.check(entry.process.wait(20) == 0, "the host did not exit with 0")
        entry.process = None
    finally:
        failed = fleet.stop()
    checks.check(not failed, f"did not stop cleanly: {failed}")
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
