"""Stand-ins for the scripts of this review: a small deployment on loopback addresses, its operator, instances and
clients. They speak what PROTOCOL.md says; the settings come from the templates of the deploy file, as DEPLOY.md says."""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PREFIX = "X-Laburnumroute-"
ZONES = {"z-a1": "a", "z-b1": "b", "z-c1": "c", "z-a2": "a", "z-b2": "b"}
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250,
          "outer_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 64,
          "recovery_s": 15, "probes_per_s": 3, "floor_share": 0.7}


# A script that is told to end still ends its processes.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Impossible(Exception):
    """The case could not run."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.file.flush()


def lookup(fields, path):
    for part in path.split("."):
        if isinstance(fields, dict):
            fields = fields.get(part)
        elif isinstance(fields, list) and part.isdigit() and int(part) < len(fields):
            fields = fields[int(part)]
        else:
            return None
    return fields


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(plain(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, fields):
    """Fills a template in as DEPLOY.md says."""
    while found := re.search(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text, re.DOTALL):
        value = lookup(fields, found[2])
        if found[1] == "^":
            body = "" if value else found[3]
        elif isinstance(value, (list, dict)):
            items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            body = "".join(found[3].replace("{{.|json}}", json.dumps(item)).replace("{{.}}", plain(item))
                           .replace("{{@}}", str(key)).replace("{{,}}", "," if at + 1 < len(items) else "")
                           for at, (key, item) in enumerate(items))
        else:
            body = found[3] if value else ""
        text = text[:found.start()] + body + text[found.end():]
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(fields, m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: plain(lookup(fields, m[1])), text)


class Machine:
    """A machine that runs one role."""

    def __init__(self, fleet, name, cls, ip, zone):
        self.fleet, self.name, self.cls, self.ip, self.zone = fleet, name, cls, ip, zone
        self.role = next((n, r) for n, r in fleet.deploy["roles"].items() if r["on"] == cls)
        self.data = fleet.folder / f"{name}.data" if cls == "core" else None
        self.settings = fleet.folder / f"{name}.settings"
        self.log = fleet.folder / f"{name}.log"
        self.process = None

    def fields(self, bootstrap):
        fleet = self.fleet
        front = self.cls == "front"
        listen = ({"front": f"{self.ip}:{fleet.ports['front']}", "readiness_addr": f"{self.ip}:{fleet.ports['ready']}"}
                  if front else {"control": f"{self.ip}:{fleet.ports['control']}"})
        return {"node_id": self.name, "role": self.role[0], "machine_class": self.cls, "serves": self.role[1]["serves"],
                "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES, "listen": listen,
                "internal_ports": [fleet.ports["internal"], fleet.ports["internal"] + 15],
                "seeds": [f"{m.ip}:{fleet.ports['control']}" for m in fleet.cores[:3]], "bootstrap": bootstrap,
                "tolerance_member": not front,
                "limits": {"cpu_share": 0.2 if front else 0.6, "cores": 1, "memory_mb": 260 if front else 256,
                           "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0 if front else 256},
                "data_dir": str(self.data) if self.data else None, "discovery": "registration", "entry": "vip",
                "heartbeat_ms": 1500, "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health"],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "config_mode": "highest"}

    def start(self, bootstrap=False):
        if self.data:
            self.data.mkdir(exist_ok=True)
        template = (ROOT / self.role[1]["template"]).read_text(encoding="utf-8")
        self.settings.write_text(render(template, self.fields(bootstrap)), encoding="utf-8")
        words = [str(self.settings) if w == "/etc/laburnumroute/settings.yaml" else w
                 for w in self.role[1]["run"].split()]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C",
                                                 "LABURNUMROUTE_BOOT": str(self.settings)})

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def ended(self):
        """The exit code of a process that ended; None while it runs."""
        return self.process.poll() if self.process else None


class Fleet:
    def __init__(self, record, cores=5, fronts=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        self.block = f"127.{random.randrange(64, 120)}.{random.randrange(1, 250)}"
        self.ports = dict(zip(("control", "front", "ready"), free_ports(3)))
        self.ports["internal"] = random.randrange(20000, 28000)
        zones = list(ZONES)
        self.cores, self.fronts = [], []
        for i in range(cores):
            self.cores.append(Machine(self, f"core-{i + 1}", "core", f"{self.block}.{10 + i}", zones[i % len(zones)]))
        for i in range(fronts):
            self.fronts.append(Machine(self, f"front-{i + 1}", "front", f"{self.block}.{50 + i}", zones[i % len(zones)]))
        self.instances = []

    def start(self):
        if not (ROOT / self.deploy["roles"]["entry"]["run"].split()[0]).exists():
            raise Impossible("the build of the deploy file is missing")
        for machine in self.cores + self.fronts:
            machine.start(bootstrap=True)

    def call(self, method, path, body=None, machine=None, timeout=1.0):
        """One call at one machine that serves control; the status (0: no answer) and the body."""
        machine = machine or random.choice(self.cores)
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        try:
            connection = http.client.HTTPConnection(machine.ip, self.ports["control"], timeout=timeout)
            connection.request(method, path, data, {"Content-Type": "application/json"} if data is not None else {})
            response = connection.getresponse()
            answer = response.read()
            connection.close()
            return response.status, answer
        except (OSError, http.client.HTTPException):
            return 0, b""

    def until_acked(self, path, body, seconds=15.0, what=""):
        """Sends a call again, to any machine, until it is acknowledged."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            machine = random.choice(self.cores)
            status, _ = self.call("POST", path, body, machine)
            if what:
                self.record(f"{what} to {machine.name}: {status or 'no answer'}")
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def put(self, configuration, seconds=15.0):
        return self.until_acked("/laburnumroute/config/put", configuration, seconds,
                                f"operator sends configuration {configuration['version']}")

    def is_ready(self, machine):
        try:
            connection = http.client.HTTPConnection(machine.ip, self.ports["ready"], timeout=1.0)
            connection.request("GET", "/laburnumroute/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def await_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while not all(self.is_ready(m) for m in self.fronts):
            if time.monotonic() > end:
                raise Impossible("the machines did not become ready")
            time.sleep(0.1)

    def stop(self):
        for instance in self.instances:
            instance.crash()
        for machine in self.cores + self.fronts:
            machine.signal(signal.SIGCONT)
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(count):
    holders = [socket.socket() for _ in range(count)]
    for holder in holders:
        holder.bind(("127.0.0.1", 0))
    ports = [holder.getsockname()[1] for holder in holders]
    for holder in holders:
        holder.close()
    return ports


def configuration(number, service="svc-a", **changes):
    paths = [{"name": f"r-{kind}", "path_prefix": f"/{kind}/", "route_type": kind, "timeout_ms": 5000,
              "target_latency_ms": 2000, "priority": 1, "service": service, "max_attempts": 2, **changes}
             for kind in ("safe", "unsafe", "upload")]
    return {"version": f"r{number}",
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": False}
                         for name in ("svc-a", "svc-b")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "hosts": [{"host": "review.example", "paths": paths}]}


def read_head(file):
    """The first line and the fields (names in small letters) of a message; None at the end of the channel."""
    first = file.readline()
    if not first:
        return None
    fields = {}
    while True:
        line = file.readline()
        if not line:
            return None
        line = line.strip()
        if not line:
            return first.decode("latin-1").strip(), fields
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def read_body(file, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(file.readline().split(b";")[0], 16):
            parts.append(file.read(size))
            file.readline()
        while file.readline().strip():
            pass
        return b"".join(parts)
    length = int(fields.get("content-length", 0))
    body = file.read(length)
    if len(body) < length:
        raise OSError("the body ended early")
    return body


class Instance:
    """A sound instance: it announces itself, works for `work_s` on each request and answers."""

    def __init__(self, fleet, name, ip, port=0, service="svc-a", born=None, zone="z-a1", slots=6, work_s=0.05):
        self.fleet, self.name, self.service, self.zone, self.slots = fleet, name, service, zone, slots
        self.work_s = work_s
        self.born = int(time.time() * 1000) if born is None else born
        self.seq = 0
        self.state = "ready"
        self.runs = []  # (monotonic time, request id)
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.channels = set()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(128)
        self.ip, self.port = self.socket.getsockname()
        fleet.instances.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.ended.is_set():
            try:
                channel, _ = self.socket.accept()
            except OSError:
                return
            with self.lock:
                self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        try:
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            file = channel.makefile("rb")
            while head := read_head(file):
                if not self.handle(channel, file, *head):
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.channels.discard(channel)
        channel.close()

    def handle(self, channel, file, line, fields):
        request = fields.get(PREFIX.lower() + "request-id", "")
        expected = fields.get(PREFIX.lower() + "expect-instance")
        body = read_body(file, fields)
        if expected not in (None, self.name):
            self.send(channel, 421, request, b"", {PREFIX + "Not-Executed": "1"})
            return True
        self.note(request, line)
        return self.work(channel, line, fields, request, body)

    def note(self, request, line):
        with self.lock:
            self.runs.append((time.monotonic(), request))
        self.fleet.record(f"{self.name} runs {request}: {line}")

    def work(self, channel, line, fields, request, body):
        time.sleep(self.work_s)
        self.send(channel, 200, request, f"{self.name} did {request}\n".encode(),
                  {PREFIX + "Response-Stamp": f"{self.name}.{request}"})
        return True

    def send(self, channel, status, request, body, fields=None):
        head = f"HTTP/1.1 {status} X\r\n{PREFIX}Request-Id: {request}\r\nContent-Length: {len(body)}\r\n"
        head += f"{PREFIX}Server-Load: 0,0,{self.slots}\r\n"
        for name, value in (fields or {}).items():
            head += f"{name}: {value}\r\n"
        channel.sendall(head.encode() + b"\r\n" + body)

    def beat_body(self):
        self.seq += 1
        return {"address": f"{self.ip}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "cold_left_ms": 0}}

    def beat(self, seconds=10.0):
        return self.fleet.until_acked(f"/laburnumroute/instances/{self.name}/heartbeat", self.beat_body(), seconds,
                                      f"{self.name} (born {self.born}) pings {self.state}, seq {self.seq}")

    def announce(self):
        """Pings each 1.5 s from now on."""
        def loop():
            while not self.ended.wait(1.5):
                self.beat()
        threading.Thread(target=loop, daemon=True).start()

    def deregister(self):
        return self.fleet.until_acked(f"/laburnumroute/instances/{self.name}/deregister", {"born": self.born}, 10.0,
                                      f"{self.name} deregisters")

    def crash(self):
        self.ended.set()
        # A thread that waits in accept() would keep the address in use.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        with self.lock:
            for channel in self.channels:
                try:
                    channel.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


_last_request = [random.getrandbits(40) << 20]
_request_lock = threading.Lock()


def new_id():
    with _request_lock:
        _last_request[0] += 1
        return f"{_last_request[0]:016x}"


def request(fleet, machine, kind="unsafe", body=b"", timeout=6.0, deadline_ms=5000, host="review.example"):
    """One client attempt on a new channel: its id, the status (0: none) and the fields and body of the answer."""
    name = new_id()
    method = "GET" if kind == "safe" else "POST"
    try:
        with socket.create_connection((machine.ip, fleet.ports["front"]), timeout=timeout) as channel:
            head = (f"{method} /{kind}/x HTTP/1.1\r\nHost: {host}\r\n{PREFIX}Request-Id: {name}\r\n"
                    f"{PREFIX}Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n")
            channel.sendall(head.encode() + body)
            file = channel.makefile("rb")
            head = read_head(file)
            if head is None:
                return name, 0, {}, b""
            return name, int(head[0].split()[1]), head[1], read_body(file, head[1])
    except (OSError, ValueError):
        return name, 0, {}, b""
