"""Starts and stops a small fleet of laburnumd processes and stand-in upstreams on loopback."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02

REGIONS = {"cpt": ["cpt-1", "cpt-2"], "jnb": ["jnb-1", "jnb-2"], "dur": ["dur-1", "dur-2"]}


# Below the range from which the kernel takes the ports of outgoing connections: one of those could take a port between
# its choice and its use. Processes that run at the same time begin at different places.
FIRST_PORT, LAST_PORT, PORTS_PER_PROCESS = 12000, 31999, 100
GIVEN_PORTS = set()


def free_port():
    """Returns a TCP port on loopback that was free just now and that no other call has returned."""
    size = LAST_PORT - FIRST_PORT + 1
    begin = os.getpid() * PORTS_PER_PROCESS % size
    for i in range(size):
        port = FIRST_PORT + (begin + i) % size
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port
    raise RuntimeError("no port is free")


def http(method, url, body=None, headers=None, timeout=10.0):
    """Sends one request; returns (status, headers, body). Status 0 means that there was no answer."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
    except OSError:
        return 0, {}, b""


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Polls `condition` until it is true; raises TimeoutError that names `what`."""
    limit = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f"timed out waiting for: {what}")
        time.sleep(POLL_INTERVAL_S)


def spawn(command, **options):
    """Starts a process with SIGTERM and SIGINT unblocked, even if this process blocks them."""
    signals = {signal.SIGTERM, signal.SIGINT}
    return subprocess.Popen(command, preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_UNBLOCK, signals), **options)


class Host:
    """One laburnumd process, its addresses and its settings file."""

    def __init__(self, folder, name, region, data_centre, control):
        self.name, self.region, self.data_centre, self.control = name, region, data_centre, control
        self.folder = folder / name
        self.folder.mkdir()
        self.claims = not control
        self.entry = None if control else f"127.0.0.1:{free_port()}"
        self.operators = f"127.0.0.1:{free_port()}" if control else None
        self.admin = f"127.0.0.1:{free_port()}"
        self.peer = f"127.0.0.1:{free_port()}"
        self.log = self.folder / "decisions.jsonl"
        self.process = None

    def location_settings(self):
        """Settings lines with the host's name, location and role."""
        return [f'host = "{self.name}"', f'region = "{self.region}"', f'data_centre = "{self.data_centre}"',
                f'role = "{"control" if self.control else "entry"}"',
                f'claims = {"true" if self.claims else "false"}']

    def write_settings(self, hosts):
        lines = self.location_settings() + [
            f'admin = "{self.admin}"', f'peer_address = "{self.peer}"', f'data_folder = "{self.folder}/data"',
            f'log_file = "{self.log}"']
        if self.entry:
            lines.append(f'entry = "{self.entry}"')
        if self.operators:
            lines.append(f'operators = "{self.operators}"')
        for other in hosts:
            if other is not self:
                lines += ["[[peer]]", f'address = "{other.peer}"'] + other.location_settings()
        (self.folder / "settings.toml").write_text("\n".join(lines) + "\n")

    def start(self):
        with open(self.folder / "output.log", "ab") as output:
            self.process = spawn([BIN / "laburnumd", self.folder / "settings.toml"], stdout=output, stderr=output)

    def kill(self):
        """Kills the process without a clean shutdown, as in a crash."""
        self.process.kill()
        self.process.wait()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def unfreeze(self):
        self.process.send_signal(signal.SIGCONT)

    def wipe(self):
        """Removes the data folder of a host that is not running."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def decisions(self):
        """Returns all parsed lines of the decision log."""
        return [json.loads(line) for line in self.log.read_text().splitlines()] if self.log.exists() else []

    def status(self):
        code, _, body = http("GET", f"http://{self.admin}/v1/status", timeout=2.0)
        return json.loads(body) if code == 200 else None


class Upstream:
    """One stand-in upstream process."""

    def __init__(self, folder, name, service, region, data_centre, admin, work_ms=0):
        self.name = name
        self.listen = f"127.0.0.1:{free_port()}"
        self.runs_file = folder / f"{name}.runs"
        self.mode_file = folder / f"{name}.mode"
        self.command = [BIN / "standin_upstream", "--id", name, "--service", service, "--listen", self.listen,
                        "--region", region, "--data-centre", data_centre, "--admin", f"http://{admin}",
                        "--runs", self.runs_file, "--mode", self.mode_file, "--work-ms", str(work_ms)]
        self.process = None

    def start(self):
        self.process = spawn(self.command)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def set_mode(self, mode):
        """Sets the mode to ok, fail, slow or shed, from the next request on."""
        fresh = self.mode_file.with_suffix(".new")
        fresh.write_text(mode)
        fresh.rename(self.mode_file)

    def runs(self):
        """Returns the X-Order headers of the executed requests, in order."""
        return self.runs_file.read_text().split() if self.runs_file.exists() else []


class Fleet:
    """Entry hosts in every data centre, control hosts, and stand-in upstreams of the given services."""

    def __init__(self, services, controls=3, upstreams_per_service=3, work_ms=0):
        self.scratch = tempfile.TemporaryDirectory(prefix="laburnum-")
        folder = pathlib.Path(self.scratch.name)
        locations = [(region, centre) for region, centres in REGIONS.items() for centre in centres]
        self.controls = [Host(folder, f"control-{i + 1}", *locations[(2 * i) % len(locations)], True)
                         for i in range(controls)]
        self.entries = [Host(folder, f"entry-{centre}", region, centre, False) for region, centre in locations]
        self.hosts = self.controls + self.entries
        self.upstreams = []
        for service in services:
            for i in range(upstreams_per_service):
                region, centre = locations[(2 * i) % len(locations)]
                entry = self.entries[(2 * i) % len(locations)]
                self.upstreams.append(
                    Upstream(folder, f"{service}-{i + 1}", service, region, centre, entry.admin, work_ms))

    def start(self):
        for host in self.hosts:
            host.write_settings(self.hosts)
            host.start()
        try:
            wait_until(lambda: all(host.status() for host in self.hosts), "every host answers")
        except TimeoutError:
            self.describe_silent_hosts()
            raise
        for upstream in self.upstreams:
            upstream.start()
        wait_until(lambda: all(host.status()["instances"] == len(self.upstreams) for host in self.entries),
                   "every entry host knows every instance")

    def describe_silent_hosts(self):
        """Prints, for the trace of a failed start, the exit code and the last output of hosts that do not answer."""
        for host in self.hosts:
            if not host.status():
                output = (host.folder / "output.log").read_text(errors="replace")[-500:]
                print(f"{host.name} does not answer, exit code {host.process.poll()}, output: {output!r}")

    def ctl(self, *arguments, control=None):
        """Runs laburnumctl against a control host, by default the first; returns the completed process."""
        host = control or self.controls[0]
        command = [BIN / "laburnumctl", *arguments, "--control", f"http://{host.operators}"]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def wait_in_force(self, revision):
        wait_until(lambda: all(host.status()["revision"] >= revision for host in self.entries),
                   f"revision {revision} in force at every entry host")

    def instances_of(self, service):
        return [upstream for upstream in self.upstreams if upstream.name.startswith(service + "-")]

    def leader(self):
        """Returns the control host that reports itself as leader; None if there is none."""
        for host in self.controls:
            status = host.status()
            if status and status.get("role") == "leader":
                return host
        return None

    def apply(self, path, change_id):
        """Applies a configuration at the control hosts in turn until one accepts it; returns its revision."""
        answers = []
        for host in self.controls:
            answers.append(self.ctl("apply", str(path), "--change-id", change_id, "--json", "--wait", "0", control=host))
            if answers[-1].returncode == 0:
                return json.loads(answers[-1].stdout)["revision"]
        raise RuntimeError("no control host accepted: " + " | ".join(a.stdout + a.stderr for a in answers))

    def stop(self):
        """Sends SIGTERM to every process; returns the names of those that did not exit with 0."""
        running = [item for item in self.upstreams + self.hosts if item.process and item.process.poll() is None]
        for item in running:
            item.process.send_signal(signal.SIGTERM)
        failed = []
        for item in running:
            try:
                if item.process.wait(STOP_TIMEOUT_S) != 0:
                    failed.append(item.name)
            except subprocess.TimeoutExpired:
                item.process.kill()
                failed.append(item.name)
        self.scratch.cleanup()
        return failed
