"""A small deployment on loopback: control and entry processes started as deploy/system.toml says, each with its own
loopback address, and an operator. Used by the scripts of the review's cases."""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"mass-worcester": "mass", "conn-waterbury": "conn", "nhme-nashua": "nhme",
         "mass-lowell": "mass", "conn-meriden": "conn"}
BOUNDS = {"config_apply_ms": 2500, "drain_ms": 2500, "stable_window_ms": 3000, "grace_s": 6,
          "retry_budget_ratio": 0.2, "retry_budget_slack": 62, "budget_window_s": 10}


# The first half of all addresses; another second number keeps scripts apart that run at once. Always loopback.
NET = f"127.{int(os.environ.get('REVIEW_NET', '0')) % 256}"


class CannotRun(Exception):
    """The case could not be set up (exit code 2)."""


def stop_in_time():
    """Ends the case with exit code 2, processes included, on SIGTERM and before 120 seconds are over."""
    def stop(*_):
        raise CannotRun("the time of the case is over, or it was told to stop")

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(110)


def free_ports(count):
    """Returns ports that are free just now on the loopback addresses of the controls, entries and instances."""
    ports, held = [], []
    while len(ports) < count:
        first = socket.socket()
        first.bind((f"{NET}.1.1", 0))
        port = first.getsockname()[1]
        probes = [first]
        try:
            for address in [f"{NET}.{network}.{i}" for network in (1, 2, 3) for i in range(1, 33)][1:]:
                probe = socket.socket()
                probes.append(probe)
                probe.bind((address, port))
            ports.append(port)
        except OSError:
            pass
        held += probes
    for probe in held:
        probe.close()
    return ports


def fill_template(path, values):
    """Fills the template of a role as DEPLOY.md ("Settings of a process") tells it, as far as the roles use it."""
    def look_up(name):
        value = values
        for part in name.split("."):
            if value is None:
                return None
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return value

    def plain(value):
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(text, entry=None, key=None, last=True):
        def section(match):
            inverted, name, body = match.group(1) == "^", match.group(2), match.group(3)
            value = look_up(name)
            if inverted:
                return "" if value else fill(body)
            if isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                return fill(body) if value else ""
            return "".join(fill(body, item, k, i + 1 == len(items)) for i, (k, item) in enumerate(items))

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def value_of(match):
            name, as_json = match.group(1), match.group(2)
            value = {".": entry, "@": key}.get(name) if name in (".", "@") else look_up(name)
            return json.dumps(value) if as_json else plain(value)

        text = text.replace("{{,}}", "" if last else ",")
        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", value_of, text)

    return fill((ROOT / path).read_text())


class Process:
    """One process of the system."""

    def __init__(self, deployment, role, name, zone, address, control):
        self.deployment, self.role, self.name, self.zone = deployment, role, name, zone
        self.address, self.control = address, control
        self.folder = deployment.scratch / name
        self.folder.mkdir()
        self.settings = self.folder / "settings.toml"
        self.popen = None

    def write_settings(self, bootstrap):
        deployment = self.deployment
        listen = ({"control": f"{self.address}:{deployment.calls_port}"} if self.control else
                  {"front": f"{self.address}:{deployment.front_port}",
                   "readiness_addr": f"{self.address}:{deployment.ready_port}"})
        values = {
            "node_id": self.name, "ip": self.address, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "listen": listen, "internal_ports": [deployment.peer_port, deployment.peer_port],
            "seeds": [f"{p.address}:{deployment.calls_port}" for p in deployment.controls[:3]],
            "bootstrap": bootstrap, "data_dir": str(self.folder / "data") if self.control else None,
            "fault_tolerance": {"machines": deployment.tolerated, "zones": 0, "regions": 0}, "bounds": BOUNDS}
        text = fill_template(deployment.deploy["roles"][self.role]["template"], values)
        self.settings.write_text(text)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        command = self.deployment.deploy["roles"][self.role]["run"].split()
        command = [str(self.settings) if word.startswith("/etc/") else word for word in command]
        with open(self.folder / "output.log", "ab") as output:
            self.popen = subprocess.Popen(
                command, cwd=ROOT, stdout=output, stderr=output,
                env={"PATH": os.environ["PATH"], "LABURNUMROUTE_BOOT": str(self.settings)})

    def send_signal(self, number):
        self.popen.send_signal(number)

    def end(self):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def lines(self, kind=None):
        """The decisions that this process has logged."""
        path = self.folder / "output.log"
        result = []
        for line in path.read_text(errors="replace").splitlines() if path.exists() else []:
            try:
                parsed = json.loads(line)
            except ValueError:
                continue
            if kind is None or parsed.get("kind") == kind:
                result.append(parsed)
        return result

    def gauge(self, name):
        status, _, body = call("GET", self.address, 9917, "/metrics", timeout=1.0)
        found = re.search(rf"^{name} ([\d.]+)$", body.decode(errors="replace"), re.M) if status == 200 else None
        return float(found.group(1)) if found else None


def call(method, address, port, path, body=None, headers=None, timeout=1.0):
    """One call on a new channel; status 0 means no answer."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Deployment:
    """The processes of one site: `controls` on 127.0.1.N, `entries` on 127.0.2.N (see NET)."""

    def __init__(self, controls=3, entries=1, tolerated=1):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        if not (ROOT / "target" / "bin" / "laburnumd").exists():
            raise CannotRun("target/bin/laburnumd is missing: run the build of deploy/system.toml")
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.calls_port, self.peer_port, self.front_port, self.ready_port = free_ports(4)
        self.tolerated = tolerated
        zones = list(ZONES)
        self.controls, self.entries, self.instances = [], [], []
        for i in range(controls):
            self.controls.append(Process(self, "control", f"core-{i + 1}", zones[i % 5], f"{NET}.1.{i + 1}", True))
        for i in range(entries):
            self.entries.append(Process(self, "entry", f"front-{i + 1}", zones[i % 5], f"{NET}.2.{i + 1}", False))

    def start(self):
        for process in self.controls + self.entries:
            process.start(bootstrap=True)

    def leader(self):
        for process in self.controls:
            if process.popen.poll() is None and process.gauge("laburnum_leads") == 1:
                return process
        return None

    def end(self):
        for instance in self.instances:
            instance.end()
        for process in self.controls + self.entries:
            process.end()
        shutil.rmtree(self.scratch, ignore_errors=True)

    def put(self, config, limit_s=15.0, first=0):
        """The operator: sends until a clear answer, to one control process after the other. Returns (status, time)."""
        end = time.monotonic() + limit_s
        attempt = first
        while time.monotonic() < end:
            target = self.controls[attempt % len(self.controls)]
            attempt += 1
            status, _, _ = call("POST", target.address, self.calls_port, "/laburnumroute/config/put",
                                json.dumps(config), {"Content-Type": "application/json"}, timeout=1.0)
            if status and status < 500 and status not in (408, 429):
                return status, time.monotonic()
            time.sleep(0.1)
        raise CannotRun("the configuration got no answer")

    def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        for process in self.entries:
            while call("GET", process.address, self.ready_port, "/laburnumroute/readyz")[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{process.name} does not become ready")
                time.sleep(0.1)


def route(name, prefix, service, kind="safe", timeout_ms=4000, target_ms=2500, attempts=2, host="jepu9.example"):
    return {"host": host, "path": {
        "name": name, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts}}


def configuration(version, services, routes):
    hosts = {}
    for item in routes:
        hosts.setdefault(item["host"], []).append(item["path"])
    return {"version": f"r{version}",
            "services": [{"name": s, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "hosts": [{"host": h, "paths": p} for h, p in hosts.items()]}
