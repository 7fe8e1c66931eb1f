"""Helpers of the end-to-end cases: a test configuration, clients that resend orders, and checks."""

import collections
import pathlib
import random
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import fleet as fleets  # noqa: E402

HOST_NAME = "book.vaalbank.example"
CONFIG = """[[service]]
name = "claimdesk"
floor_slots = 6
weighting = "quick-detection"

[[route]]
host = "book.vaalbank.example"
prefix = "/claims"
service = "claimdesk"
"""
MAX_TRIES = 6

Attempt = collections.namedtuple("Attempt", "entry status outcome reason body")


class Checks:
    """Collects failed checks. The case fails if there are any."""

    def __init__(self):
        self.failed = []

    def check(self, condition, what):
        if not condition:
            self.failed.append(what)
            print(f"FAILED: {what}")

    def exit_code(self):
        print(f"{len(self.failed)} failed checks")
        return 1 if self.failed else 0


def write_config(fleet, name, text=CONFIG):
    path = pathlib.Path(fleet.scratch.name) / name
    path.write_text(text)
    return path


def start_with_config(fleet):
    """Starts the fleet, applies CONFIG and waits until revision 1 is in force at every entry host."""
    fleet.start()
    fleets.wait_until(fleet.leader, "the control hosts elect a leader")
    fleet.apply(write_config(fleet, "config.toml"), "first")
    fleet.wait_in_force(1)


class Caller:
    """Submits one order and resends it to random entry hosts until it is answered, up to MAX_TRIES times."""

    def __init__(self, order, seed):
        self.order = order
        self.random = random.Random(seed)
        self.attempts = []

    def place(self, entries):
        for _ in range(MAX_TRIES):
            entry = self.random.choice(entries)
            body = f"order {self.order}".encode()
            status, headers, answer = fleets.http(
                "POST", f"http://{entry.entry}/claims", body,
                {"Host": HOST_NAME, "X-Order": self.order, "Idempotency-Key": self.order}, timeout=5.0)
            outcome = headers.get("Laburnum-Outcome", "none")
            self.attempts.append(Attempt(entry.name, status, outcome, headers.get("Laburnum-Reason", ""), answer))
            if outcome == "answered":
                return

    def last(self):
        return self.attempts[-1]


def place_all(callers, entries, workers=12):
    """Submits all orders from `workers` threads; returns the started threads and the queue of waiting orders."""
    waiting = collections.deque(callers)

    def work():
        while True:
            try:
                caller = waiting.popleft()
            except IndexError:
                return
            caller.place(entries)

    threads = [threading.Thread(target=work) for _ in range(workers)]
    for thread in threads:
        thread.start()
    return threads, waiting


def check_orders(checks, callers, upstreams):
    """Checks the outcome of each order against the requests that the stand-ins executed; returns counts by outcome."""
    runs = collections.Counter(order for upstream in upstreams for order in upstream.runs())
    outcomes = collections.Counter(caller.last().outcome for caller in callers)
    for caller in callers:
        count = runs[caller.order]
        checks.check(count <= 1, f"{caller.order} ran {count} times: {caller.attempts}")
        answered = [a for a in caller.attempts if a.outcome == "answered" and a.status == 200]
        for attempt in answered:
            checks.check(attempt.body == f"POST /claims\norder {caller.order}".encode(),
                         f"{caller.order} got the answer to another request: {attempt}")
        if answered:
            checks.check(count == 1, f"{caller.order} was answered but did not run: {caller.attempts}")
        if all(a.outcome == "not-run" for a in caller.attempts):
            checks.check(count == 0, f"{caller.order} was refused as not run but ran: {caller.attempts}")
    return outcomes
