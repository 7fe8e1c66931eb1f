"""A small deployment of the project's own programs on loopback: core and front machines, each with an
address of its own, and the platform's part of their life: settings, start, signals, restart, disk."""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

import template

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"hv-a": "highveld", "hv-b": "highveld", "cape-a": "cape", "cape-b": "cape", "natal-a": "natal"}
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2500,
    "rollback_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_slack": 64, "recovery_s": 15, "probes_per_s": 3, "floor_share": 0.7,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the record began."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._begin

    def add(self, text):
        with self._lock:
            self._file.write(f"{self.now():9.3f} s  {text}\n")
            self._file.flush()


def free_ports(count):
    """Port numbers that were free on loopback just now."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in ports:
            ports.append(port)
    return ports


class Machine:
    def __init__(self, fleet, role, number, zone):
        self.fleet = fleet
        self.role = role
        self.zone = zone
        self.ip = f"127.{fleet.net}.{1 if role == 'control' else 2}.{number}"
        self.name = f"{'core' if role == 'control' else 'front'}-{zone}-{number}"
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process = None
        self.seeds = None
        self.log = open(self.folder / "log.txt", "ab")

    def endpoint(self, what):
        return f"{self.ip}:{self.fleet.ports[what]}"

    def fields(self, bootstrap):
        core = self.role == "control"
        listen = {"control": self.endpoint("control")} if core else {
            "front": self.endpoint("front"), "readiness_addr": self.endpoint("ready")}
        return {
            "node_id": self.name, "role": self.role, "machine_class": "core" if core else "front",
            "serves": ["control" if core else "front"], "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES, "listen": listen,
            "internal_ports": [self.fleet.ports["peer"], self.fleet.ports["peer"] + 15],
            "seeds": self.seeds or self.fleet.seeds(), "bootstrap": bootstrap, "tolerance_member": core,
            "limits": {"cpu_share": 0.6 if core else 0.2, "cores": 1, "memory_mb": 256 if core else 260,
                       "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 256 if core else 0},
            "data_dir": str(self.data) if core else None, "discovery": "registration", "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health"],
            "fault_tolerance": {"machines": self.fleet.tolerance, "zones": 0, "regions": 0},
            "bounds": self.fleet.bounds, "config_mode": "highest",
        }

    def start(self, bootstrap=False):
        role = self.fleet.deploy["roles"][self.role]
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        text = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.folder / "settings.yaml"
        rendered = template.render(text, self.fields(bootstrap))
        # The metrics port is fixed in the template; several fleets may run on one machine.
        settings.write_text(rendered.replace(":9917", f":{self.fleet.ports['metrics']}"), encoding="utf-8")
        words = role["run"].split()
        self.process = subprocess.Popen(
            [str(ROOT / words[0])] + [str(settings) if w.startswith("/etc/") else w for w in words[1:]],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "LABURNUMROUTE_BOOT": str(settings)})
        self.fleet.record.add(f"platform: {self.name} ({self.ip}) starts, bootstrap {bootstrap}")

    def send(self, number):
        self.fleet.record.add(f"platform: {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        """The machine loses its disk. Only while its process is not running."""
        self.fleet.record.add(f"platform: {self.name} loses its disk")
        shutil.rmtree(self.data)

    def running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    def __init__(self, record, core=5, front=2, tolerance=2, bounds=None):
        if not (ROOT / "target/bin/laburnumd").exists():
            raise CannotRun("target/bin/laburnumd is missing: run the build of the deploy file first")
        self.record = record
        self.tolerance = tolerance
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.net = random.randint(10, 250)
        self.ports = dict(zip(("peer", "control", "front", "ready", "metrics"), free_ports(5)))
        zones = list(ZONES)
        self.core = [Machine(self, "control", i + 1, zones[i % len(zones)]) for i in range(core)]
        self.front = [Machine(self, "entry", i + 1, zones[i % len(zones)]) for i in range(front)]
        self._core_count = core

    def seeds(self):
        return [m.endpoint("control") for m in self.core[:3]]

    def machines(self):
        return self.core + self.front

    def start(self):
        for machine in self.machines():
            machine.start(bootstrap=True)

    def add_core(self):
        """A new machine of the core, at a new address and with an empty disk."""
        self._core_count += 1
        zone = list(ZONES)[self._core_count % len(ZONES)]
        machine = Machine(self, "control", self._core_count, zone)
        self.core.append(machine)
        return machine

    def stop(self):
        for machine in self.machines():
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
            machine.log.close()

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, machine, needle):
        text = (machine.folder / "log.txt").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if needle in line]
