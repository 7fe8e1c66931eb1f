#!/usr/bin/env python3
"""One of three seeded control hosts restarts with an unusable data folder.

The host must stay up and report the failure, the others must continue, and the host must vote again once its data
folder is usable. A settings file that changes must be reloaded without a signal; an invalid one must be refused."""

import pathlib
import shutil
import sys
import tempfile

import harness
from harness import fleets
from seeded_harness import ControlHost, voters


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
        # Lines are written by a thread of their own.
        fleets.wait_until(lambda: third.has_line("store", "closed"), "a log line reports the unusable data folder")
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
