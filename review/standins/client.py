"""A client as PROTOCOL.md ("Requests", "Answers") tells it, on a new channel for each request."""

import http.client
import threading
import time


class Outcome:
    def __init__(self, request_id):
        self.id, self.sent = request_id, time.monotonic()
        self.status, self.stamp, self.whole, self.ended, self.bytes, self.how = 0, "", False, None, 0, "open"
        self.body = b""

    def lasted(self):
        return (self.ended or time.monotonic()) - self.sent


def request(address, port, method, host, path, request_id, deadline_ms, body=None, outcome=None):
    """Sends one request and reads its answer, until the client's time is over. Returns its Outcome."""
    outcome = outcome or Outcome(request_id)
    budget = deadline_ms / 1000
    connection = http.client.HTTPConnection(address, port, timeout=budget)
    timer = None
    try:
        connection.connect()
        channel = connection.sock

        def give_up():
            outcome.how = "gave up"
            try:
                channel.shutdown(2)
            except OSError:
                pass

        timer = threading.Timer(budget, give_up)
        timer.daemon = True
        timer.start()
        connection.request(method, path, body=body, headers={
            "Host": host, "X-Laburnumroute-Request-Id": request_id, "X-Laburnumroute-Deadline-Ms": str(deadline_ms)})
        answer = connection.getresponse()
        outcome.status = answer.status
        outcome.stamp = answer.getheader("X-Laburnumroute-Response-Stamp") or ""
        while True:
            part = answer.read1(65536)
            if not part:
                break
            outcome.body += part
            outcome.bytes += len(part)
        outcome.whole = outcome.how == "open" and not answer.length
        outcome.how = "answered" if outcome.how == "open" else outcome.how
    except (OSError, http.client.HTTPException) as error:
        if outcome.how == "open":
            outcome.how = f"broken off ({type(error).__name__})"
    finally:
        outcome.ended = time.monotonic()
        if timer:
            timer.cancel()
        connection.close()
    return outcome
