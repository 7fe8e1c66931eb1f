"""Starts and stops a small fleet of laburnumd processes and stand-in upstreams on loopback."""

import json
import pathlib
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


def free_port():
    """A TCP port on loopback that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def http(method, url, body=None, headers=None, timeout=10.0):
    """One request; returns (status, headers, body). Status 0 means that there was no answer."""
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
            raise TimeoutError(f"not in time: {what}")
        time.sleep(POLL_INTERVAL_S)


def spawn(command, **options):
    """Starts a process that takes the signals which this one may have blocked."""
    signals = {signal.SIGTERM, signal.SIGINT}
    return subprocess.Popen(command, preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_UNBLOCK, signals), **options)


class Host:
    """One laburnumd process, its addresses and its settings file."""

    def __init__(self, folder, name, region, data_centre, control):
        self.name, self.region, self.data_centre, self.control = name, region, data_centre, control
        self.folder = folder / name
        self.folder.mkdir()
        self.entry = None if control else f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}"
        self.peer = f"127.0.0.1:{free_port()}"
        self.log = self.folder / "decisions.jsonl"
        self.process = None

    def write_settings(self, hosts):
        lines = [f'host = "{self.name}"', f'region = "{self.region}"', f'data_centre = "{self.data_centre}"',
                 f'role = "{"control" if self.control else "entry"}"', f'admin = "{self.admin}"',
                 f'peer_address = "{self.peer}"', f'data_folder = "{self.folder}/data"', f'log_file = "{self.log}"']
        if self.entry:
            lines.append(f'entry = "{self.entry}"')
        for other in hosts:
            if other is not self:
                lines += ["[[peer]]", f'host = "{other.name}"', f'address = "{other.peer}"',
                          f'role = "{"control" if other.control else "entry"}"']
        (self.folder / "settings.toml").write_text("\n".join(lines) + "\n")

    def start(self):
        with open(self.folder / "output.log", "ab") as output:
            self.process = spawn([BIN / "laburnumd", self.folder / "settings.toml"], stdout=output, stderr=output)

    def status(self):
        code, _, body = http("GET", f"http://{self.admin}/v1/status", timeout=2.0)
        return json.loads(body) if code == 200 else None


class Upstream:
    """One stand-in upstream process."""

    def __init__(self, name, service, region, data_centre, admin):
        self.name = name
        self.listen = f"127.0.0.1:{free_port()}"
        self.command = [BIN / "standin_upstream", "--id", name, "--service", service, "--listen", self.listen,
                        "--region", region, "--data-centre", data_centre, "--admin", f"http://{admin}"]
        self.process = None

    def start(self):
        self.process = spawn(self.command)


class Fleet:
    """Entry hosts in every data centre, control hosts, and stand-ins for the named services."""

    def __init__(self, services, controls=1, upstreams_per_service=3):
        self.scratch = tempfile.TemporaryDirectory(prefix="laburnum-")
        folder = pathlib.Path(self.scratch.name)
        places = [(region, centre) for region, centres in REGIONS.items() for centre in centres]
        self.controls = [Host(folder, f"control-{i + 1}", *places[(2 * i) % len(places)], True)
                         for i in range(controls)]
        self.entries = [Host(folder, f"entry-{centre}", region, centre, False) for region, centre in places]
        self.hosts = self.controls + self.entries
        self.upstreams = []
        for service in services:
            for i in range(upstreams_per_service):
                region, centre = places[(2 * i) % len(places)]
                entry = self.entries[(2 * i) % len(places)]
                self.upstreams.append(Upstream(f"{service}-{i + 1}", service, region, centre, entry.admin))

    def start(self):
        for host in self.hosts:
            host.write_settings(self.hosts)
            host.start()
        wait_until(lambda: all(host.status() for host in self.hosts), "every host answers")
        for upstream in self.upstreams:
            upstream.start()
        wait_until(lambda: all(host.status()["instances"] == len(self.upstreams) for host in self.entries),
                   "every entry host knows every instance")

    def ctl(self, *arguments):
        """Runs laburnumctl against the first control host; returns the completed process."""
        command = [BIN / "laburnumctl", "--control", f"http://{self.controls[0].admin}", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def wait_in_force(self, revision):
        wait_until(lambda: all(host.status()["revision"] >= revision for host in self.entries),
                   f"revision {revision} in force at every entry host")

    def stop(self):
        """Asks every process to stop; returns the names of those that did not exit with 0."""
        running = [item for item in self.upstreams + self.hosts if item.process]
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
