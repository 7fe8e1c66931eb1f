"""Helpers of the end-to-end cases of a seeded fleet: hosts, an instance whose answers a case releases, and callers."""

import http.server
import json
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading

import harness
from harness import fleets

sys.path.insert(0, str(fleets.ROOT / "platform"))
import e2e_calls  # noqa: E402

REPEATS = "repeat_ratio = 0.2\nrepeat_slack = 64\nrepeat_window_ms = 10000\n"
HEARTBEAT_S = 0.5
READ_TIMEOUT_S = 40.0


def lines_of(log, skip_text=False):
    """Returns the parsed lines of a decision log, without one that is not whole yet; with `skip_text` also without
    lines that are no JSON, such as findings."""
    complete, _, _ = log.read_text().rpartition("\n") if log.exists() else ("", "", "")
    return [json.loads(line) for line in complete.splitlines() if line.startswith("{") or not skip_text]


def matching_lines(log, kind, reason, **facts):
    return [line for line in lines_of(log) if line["kind"] == kind and line["reason"] == reason
            and all(line.get(name) == value for name, value in facts.items())]


class ControlHost:
    """A laburnumd process with its own loopback address."""

    def __init__(self, number, scratch, peer_port, calls_port):
        self.name = f"c{number}"
        self.address = f"127.0.0.{number}"
        self.folder = scratch / self.name
        self.settings = scratch / f"{self.name}.toml"
        self.log = scratch / f"{self.name}.log"
        self.peer_port = peer_port
        self.calls_port = calls_port
        self.metrics_port = fleets.free_port()
        self.process = None

    def write_settings(self, first_start, comment=""):
        seeds = ", ".join(f'"127.0.0.{i}:{self.calls_port}"' for i in (1, 2, 3))
        self.settings.write_text(
            f'{comment}host = "{self.name}"\ndata_centre = "d1"\nregion = "r1"\nrole = "control"\n'
            f'interface = "provider"\nfirst_start = {str(first_start).lower()}\n'
            f'calls = "{self.address}:{self.calls_port}"\npeer_address = "{self.address}:{self.peer_port}"\n'
            f'metrics = "{self.address}:{self.metrics_port}"\nseeds = [{seeds}]\nseed_peer_port = {self.peer_port}\n'
            f'data_folder = "{self.folder}"\nbear_losses = 1\n{REPEATS}[data_centres]\nd1 = "r1"\n')

    def start(self, first_start):
        self.write_settings(first_start)
        with open(self.log, "ab") as log:
            self.process = fleets.spawn([fleets.BIN / "laburnumd", self.settings], stdout=log)

    def gauge(self, name):
        """Returns the value of a gauge; None if the host does not answer or does not export it."""
        _, _, text = fleets.http("GET", f"http://{self.address}:{self.metrics_port}/metrics", timeout=2.0)
        found = re.search(rf"^{name} (\d+)$", text.decode(), re.MULTILINE)
        return int(found.group(1)) if found else None

    def has_line(self, kind, reason, **facts):
        return bool(matching_lines(self.log, kind, reason, **facts))


def voters(hosts):
    """Returns the number of voters reported by the leader; 0 without a leader."""
    return max((host.gauge("laburnum_voters") or 0) if host.gauge("laburnum_leads") else 0 for host in hosts)


class EntryHost:
    """A laburnumd process that serves callers."""

    def __init__(self, scratch, controls, grace_ms=20000):
        self.address = "127.0.0.9"
        self.port, self.ready_port, self.peer_port = fleets.free_port(), fleets.free_port(), fleets.free_port()
        self.settings = scratch / "e1.toml"
        self.log = scratch / "e1.log"
        self.controls = controls
        self.grace_ms = grace_ms
        self.process = None

    def settings_text(self, seeds):
        named = ", ".join(f'"{host.address}:{host.peer_port}"' for host in seeds)
        return (f'host = "e1"\ndata_centre = "d1"\nregion = "r1"\nrole = "entry"\ninterface = "provider"\n'
                f'entry = "{self.address}:{self.port}"\nready = "{self.address}:{self.ready_port}"\n'
                f'peer_address = "{self.address}:{self.peer_port}"\nseeds = [{named}]\n'
                f'stop_grace_ms = {self.grace_ms}\nkey_validity_ms = 5000\n[data_centres]\nd1 = "r1"\n')

    def write_settings(self, seeds):
        self.settings.write_text(self.settings_text(seeds))

    def start(self):
        self.write_settings(self.controls)
        with open(self.log, "ab") as log:
            self.process = fleets.spawn([fleets.BIN / "laburnumd", self.settings], stdout=log)

    def lines(self, kind, reason, **facts):
        return matching_lines(self.log, kind, reason, **facts)

    def count(self, kind, reason, **facts):
        return len(self.lines(kind, reason, **facts))

    def await_line(self, kind, reason, count=1, **facts):
        fleets.wait_until(lambda: self.count(kind, reason, **facts) >= count, f"{count} lines {kind}: {reason} {facts}")


class HeldInstance:
    """An instance that announces itself and answers the requests that arrived since hold() once they are released.

    Requests whose id begins with "midway" get the head and half of the body at once."""

    BODY = b"the whole answer of the instance " * 3000

    def __init__(self, name, service, controls):
        self.name, self.service, self.controls = name, service, controls
        self.lock = threading.Lock()
        self.arrived = []
        self.broken = []
        self.released = threading.Event()
        self.held = [self.released]
        self.ended = threading.Event()
        instance = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_request(self):
                instance.receive(self)

            do_GET = handle_request
            do_POST = handle_request

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.10", 0), Handler)
        self.server.daemon_threads = True
        self.threads = [threading.Thread(target=self.server.serve_forever, daemon=True),
                        threading.Thread(target=self.announce, daemon=True)]

    def receive(self, handler):
        handler.rfile.read(int(handler.headers.get("Content-Length", "0")))
        self.answer(handler)

    def answer(self, handler):
        request = handler.headers[e2e_calls.REQUEST_ID]
        try:
            begun = 0
            if request.startswith("midway"):
                begun = len(self.BODY) // 2
                self.send_head(handler, request)
                handler.wfile.write(self.BODY[:begun])
            with self.lock:
                self.arrived.append(request)
                released = self.released
            released.wait()
            if begun == 0:
                self.send_head(handler, request)
            handler.wfile.write(self.BODY[begun:])
        except OSError:
            with self.lock:
                self.broken.append(request)

    def send_head(self, handler, request):
        handler.send_response(200)
        handler.send_header(e2e_calls.REQUEST_ID, request)
        handler.send_header(e2e_calls.RESPONSE_STAMP, self.name)
        handler.send_header("Content-Length", str(len(self.BODY)))
        handler.end_headers()

    def start(self):
        for thread in self.threads:
            thread.start()

    def announce(self):
        address, port = self.server.server_address
        number = 0
        while not self.ended.wait(HEARTBEAT_S):
            number += 1
            body = e2e_calls.announcement(self.service, "d1", f"{address}:{port}", number)
            for host in self.controls:
                if call(host, e2e_calls.announce_path(self.name), body) == 200:
                    break

    def hold(self):
        """Returns the event that releases the requests that arrive from now on."""
        with self.lock:
            self.released = threading.Event()
            self.held.append(self.released)
            return self.released

    def arrivals(self, request):
        with self.lock:
            return self.arrived.count(request)

    def stop(self):
        for released in self.held:
            released.set()
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()


def call(host, path, body):
    """Posts a call to a control host; returns the status, 0 without an answer."""
    return fleets.http("POST", f"http://{host.address}:{host.calls_port}{path}",
                       json.dumps(body).encode(), timeout=2.0)[0]


def is_readable(host):
    """Whether a control host reads a configuration back."""
    url = f"http://{host.address}:{host.calls_port}{e2e_calls.GET_CONFIGURATION}"
    return fleets.http("GET", url, timeout=2.0)[0] == 200


def put_configuration(controls, number, accounts=None):
    """Has a configuration with routes to the service "s" acknowledged; `accounts` maps names to keys."""
    acknowledge(controls, number, e2e_calls.configuration(number, harness.HOST_NAME, "s", accounts))


def acknowledge(controls, number, body):
    """Sends the configuration `body` to the control hosts until one acknowledges it."""
    fleets.wait_until(lambda: any(call(host, e2e_calls.PUT_CONFIGURATION, body) == 200 for host in controls),
                      f"configuration {number} is acknowledged")


class Caller:
    """One request in a thread of its own; `answer` is all that came until the connection ended."""

    def __init__(self, entry, request, kind, key=None, host=harness.HOST_NAME):
        self.request, self.answer = request, b""
        self.text = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: {host}\r\n"
                     f"{e2e_calls.REQUEST_ID}: {request}\r\nContent-Length: 0\r\nConnection: close\r\n"
                     + (f"{e2e_calls.ACCOUNT_KEY}: {key}\r\n" if key else "") + "\r\n").encode()
        self.address = (entry.address, entry.port)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        try:
            with socket.create_connection(self.address, timeout=READ_TIMEOUT_S) as sock:
                sock.sendall(self.text)
                while data := sock.recv(65536):
                    self.answer += data
        except OSError as error:
            self.answer += f" ({error})".encode()

    def status(self):
        """Waits for the end; returns the status, 0 without one."""
        self.thread.join()
        found = re.match(rb"HTTP/1\.1 (\d+) ", self.answer)
        return int(found.group(1)) if found else 0

    def is_whole(self):
        """Waits for the end; whether this is the instance's whole answer to this request."""
        head, _, body = self.answer.partition(b"\r\n\r\n") if self.status() else (b"", b"", b"")
        return (self.status() == 200 and body == HeldInstance.BODY
                and f"{e2e_calls.REQUEST_ID}: {self.request}\r\n".encode().lower() in head.lower() + b"\r\n")


class SeededFleet:
    """Three control hosts, an entry host and a held instance of the service "s"."""

    def __init__(self, grace_ms=20000, instance_type=HeldInstance, entry_type=EntryHost):
        self.folder = tempfile.TemporaryDirectory(prefix="laburnum-")
        scratch = pathlib.Path(self.folder.name)
        peer_port, calls_port = fleets.free_port(), fleets.free_port()
        self.controls = [ControlHost(i, scratch, peer_port, calls_port) for i in (1, 2, 3)]
        self.entry = entry_type(scratch, self.controls, grace_ms)
        self.instance = instance_type("i-1", "s", self.controls)

    def start(self):
        """Starts all and waits until the configuration 0, the least, is in force and the instance serves."""
        for host in self.controls:
            host.start(first_start=True)
        self.entry.start()
        fleets.wait_until(lambda: voters(self.controls) == len(self.controls), "the control hosts bootstrap one log")
        put_configuration(self.controls, 0)
        fleets.wait_until(lambda: all(is_readable(host) for host in self.controls), "configuration 0 is read back")
        self.entry.await_line("config", "in-force", number=0)
        self.instance.start()
        self.await_service("first")

    def await_service(self, name):
        """Waits until the instance serves callers of the entry host."""
        number = 0

        def is_served():
            nonlocal number
            number += 1
            released = self.instance.hold()
            released.set()
            return Caller(self.entry, f"{name}-{number}", "safe").status() == 200

        fleets.wait_until(is_served, "the instance serves")

    def leader(self):
        return next((host for host in self.controls if host.gauge("laburnum_leads")), None)

    def await_level(self):
        """Waits until every control host has all that is committed. Until then a wiped host is not back."""
        def is_level():
            leader = self.leader()
            committed = leader and leader.gauge("laburnum_commit_index")
            return committed and all((host.gauge("laburnum_commit_index") or 0) >= committed for host in self.controls)

        fleets.wait_until(is_level, "all control hosts have what is committed")

    def requests_at_work(self, name, key=None):
        """Returns the callers of four requests at which the instance is at work, and the event that releases them."""
        released = self.instance.hold()
        callers = [Caller(self.entry, f"{phase}-{kind}-{name}", kind, key)
                   for phase in ("silent", "midway") for kind in ("safe", "unsafe")]
        fleets.wait_until(lambda: all(self.instance.arrivals(caller.request) for caller in callers),
                          f"the instance is at work on the requests {name}")
        return callers, released

    def stop(self):
        """Ends all; returns the names of the hosts that did not stop cleanly."""
        self.instance.stop()
        running = [host for host in [self.entry, *self.controls] if host.process and host.process.poll() is None]
        for host in running:
            host.process.send_signal(signal.SIGCONT)
            host.process.terminate()
        failed = []
        for host in running:
            try:
                if host.process.wait(fleets.STOP_TIMEOUT_S) != 0:
                    failed.append(host.settings.stem)
            except subprocess.TimeoutExpired:
                host.process.kill()
                host.process.wait()
                failed.append(host.settings.stem)
        self.folder.cleanup()
        return failed


def check_whole(checks, fleet, callers):
    """Each request reached the instance once and its caller has the instance's whole answer."""
    for caller in callers:
        checks.check(caller.is_whole(),
                     f"{caller.request} was broken off: {caller.answer[:200]}, {len(caller.answer)} bytes")
        checks.check(fleet.instance.arrivals(caller.request) == 1,
                     f"{caller.request} reached the instance more than once")
