#!/usr/bin/env python3
"""One of three seeded control hosts restarts with an unusable data folder.

The host must stay up and report the failure, the others must continue, and the host must vote again once its data
folder is usable. A settings file that changes must be reloaded without a signal; an invalid one must be refused."""

import json
import pathlib
import re
import shutil
import sys
import tempfile

import harness
from harness import fleets

REPEATS = "repeat_ratio = 0.2\nrepeat_slack = 64\nrepeat_window_ms = 10000\n"


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
        complete, _, _ = self.log.read_text().rpartition("\n")
        lines = [json.loads(line) for line in complete.splitlines()]
        return any(line["kind"] == kind and line["reason"] == reason
                   and all(line.get(name) == value for name, value in facts.items()) for line in lines)


def voters(hosts):
    """Returns the number of voters reported by the leader; 0 without a leader."""
    return max((host.gauge("laburnum_voters") or 0) if host.gauge("laburnum_leads") else 0 for host in hosts)


def main():
    checks = harness.Checks()
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="laburnum-"))
    peer_port, calls_port = fleets.free_port(), fleets.free_port()
    hosts = [ControlHost(i, scratch, peer_port, calls_port) for i in (1, 2, 3)]
    try:
        for host in hosts:
            host.start(first_start=True)
        fleets.wait_until(lambda: voters(hosts) == 3, "the three seeds bootstrap one log")

        third = hosts[2]
        third.process.kill()
        third.process.wait()
        shutil.rmtree(third.folder)
        third.folder.write_text("a file where the data folder should be")
        third.start(first_start=False)
        fleets.wait_until(lambda: third.gauge("laburnum_store_open") == 0, "the host is up without its data folder")
        checks.check(third.has_line("store", "closed"), "no log line reports the unusable data folder")
        fleets.wait_until(lambda: any(host.gauge("laburnum_leads") for host in hosts[:2]),
                          "the other two hosts continue")

        third.folder.unlink()
        fleets.wait_until(lambda: third.gauge("laburnum_store_open") == 1, "the data folder is open again")
        fleets.wait_until(lambda: voters(hosts) == 3, "the host with the emptied disk votes again")
        checks.check(third.process.poll() is None, "the host exited")

        third.write_settings(False, "# changed without a signal\n")
        fleets.wait_until(lambda: third.has_line("reload", "done", cause="file"), "the settings file is reloaded")
        third.settings.write_text("role =")
        fleets.wait_until(lambda: third.has_line("reload", "refused", cause="file"),
                          "an invalid settings file is refused")
        checks.check(voters(hosts) == 3, "an invalid settings file changed the cluster")

        for host in hosts:
            host.process.terminate()
        for host in hosts:
            checks.check(host.process.wait(fleets.STOP_TIMEOUT_S) == 0, f"{host.name} did not exit with 0")
    finally:
        for host in hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        shutil.rmtree(scratch)
    return checks.exit_code()


if __name__ == "__main__":
    sys.exit(main())
