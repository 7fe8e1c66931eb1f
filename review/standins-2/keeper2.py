"""The platform's care for processes: one that uses more than its `memory_mb` is killed, and one that has ended
is restarted after a short delay."""

import os
import threading
import time

MEMORY_MB = 256
RESTART_S = 0.5
PAGE = os.sysconf("SC_PAGE_SIZE")


class Keeper:
    def __init__(self, record, machines):
        self.record = record
        self.machines = machines
        self.ends = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _memory_mb(self, machine):
        try:
            with open(f"/proc/{machine.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * PAGE / 2**20
        except (OSError, ValueError, IndexError):
            return 0.0

    def _run(self):
        due = {}
        while not self._stopped.wait(0.01):
            for machine in self.machines:
                if machine.running():
                    used = self._memory_mb(machine)
                    if used > MEMORY_MB:
                        self.record.add(f"platform: {machine.name} uses {used:.0f} MB of {MEMORY_MB} MB")
                        machine.kill()
                elif machine not in due:
                    self.ends[machine.name] = self.ends.get(machine.name, 0) + 1
                    self.record.add(f"platform: {machine.name} has ended with {machine.process.returncode}, "
                                    f"end {self.ends[machine.name]}")
                    due[machine] = time.monotonic() + RESTART_S
                elif time.monotonic() >= due[machine]:
                    del due[machine]
                    machine.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()
