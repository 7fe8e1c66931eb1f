"""Instances are restarted as planned and start again under the ids that they had. See claim.txt."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
import client  # noqa: E402
import deployment as dep  # noqa: E402

INSTANCES, RESTARTED = 10, 4       # 4 of 10; release takes a share of .5
WORK_MS, PER_S, LENGTH_S, RESTART_AT_S = 600, 84, 26, 3
HOST = "jepu9.example"
FLOOR_SHARE, WINDOW_S, SOUND_AFTER_S = 0.7, 2.0, 6.0  # twice stable_window_ms


class Instances:
    def __init__(self, deployment, folder):
        self.deployment, self.folder, self.processes, self.ids, self.ready = deployment, folder, {}, {}, {}

    def start(self, i, instance_id):
        options = {"id": instance_id, "service": "huvo11a", "address": f"{dep.NET}.3.{i + 1}",
                   "port": self.deployment.instance_port, "work_ms": WORK_MS, "zone": list(dep.ZONES)[i % 5],
                   "controls": [(c.address, self.deployment.calls_port) for c in self.deployment.controls],
                   "runs": str(self.folder / f"runs-{i}"), "answers": str(self.folder / f"calls-{i}")}
        self.ids[i] = instance_id
        self.processes[i] = subprocess.Popen([sys.executable, str(HERE.parent / "standins" / "server.py"),
                                              json.dumps(options)], stdout=subprocess.DEVNULL)
        self.ready[i] = time.time()

    def restart(self, new_ids):
        """As in a release: each one drains, leaves, ends and is started again at its address."""
        for i in range(RESTARTED):
            self.processes[i].send_signal(signal.SIGTERM)
        for i in range(RESTARTED):
            self.processes[i].wait(15)
            self.ready[i] = float("inf")
        for i in range(RESTARTED):
            self.start(i, f"i-{i:02}b" if new_ids else f"i-{i:02}")

    def lines(self, name):
        result = []
        for i in range(INSTANCES):
            path = self.folder / f"{name}-{i}"
            if path.exists():
                result += [{"n": i, **json.loads(line)} for line in path.read_text().splitlines()]
        return result

    def end(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def send_load(entry, port, disrupt):
    outcomes, threads = [], []
    begin = time.time()
    thread = None
    for k in range(PER_S * LENGTH_S):
        time.sleep(max(0.0, begin + k / PER_S - time.time()))
        if thread is None and time.time() - begin > RESTART_AT_S:
            thread = threading.Thread(target=disrupt, daemon=True)
            thread.start()
        outcome = client.Outcome(f"q{k:05}")
        outcome.at = time.time()
        worker = threading.Thread(target=client.request, daemon=True, kwargs=dict(
            address=entry.address, port=port, method="GET", host=HOST, path=f"/lepu270/{k}", request_id=outcome.id,
            deadline_ms=8000, outcome=outcome))
        outcomes.append(outcome)
        threads.append(worker)
        worker.start()
    for worker in threads:
        worker.join(10)
    thread.join(20)
    return begin, outcomes


def main():
    trouble = os.environ.get("TROUBLE", "1")  # 0: no restarts; new: restarts under new ids
    record = open(HERE / "record.txt", "w")
    dep.stop_in_time()
    deployment, instances = None, None
    try:
        deployment = dep.Deployment(controls=3, entries=1, tolerated=1)
        deployment.instance_port = dep.free_ports(1)[0]
        deployment.start()
        config = dep.configuration(1, ["huvo11a"], [dep.route("r-1", "/lepu270/", "huvo11a", "safe", 8000, 2500, 2, HOST)])
        if deployment.put(config)[0] != 200:
            raise dep.CannotRun("the configuration was refused")
        deployment.wait_ready()
        instances = Instances(deployment, deployment.scratch)
        for i in range(INSTANCES):
            instances.start(i, f"i-{i:02}")
        limit = time.monotonic() + 15
        while deployment.entries[0].gauge("laburnum_instances_known") != INSTANCES:
            if time.monotonic() > limit:
                raise dep.CannotRun("the instances are not known")
            time.sleep(0.1)
        time.sleep(SOUND_AFTER_S + 0.5)
        begin, outcomes = send_load(deployment.entries[0], deployment.front_port,
                                    (lambda: instances.restart(trouble == "new")) if trouble != "0" else (lambda: None))
        ran = instances.lines("runs")
        for line in instances.lines("calls"):
            if line["n"] < RESTARTED and line["t"] > begin:
                record.write(f"{line['t'] - begin:6.2f} s {line['id']} {line['call']} {line['state']}: "
                             f"answered {line['answered']}\n")
        broken = 0
        start = 1.0
        while start + WINDOW_S < LENGTH_S:
            sent = [o for o in outcomes if start <= o.at - begin < start + WINDOW_S]
            sound = {i for i in range(INSTANCES) if instances.ready[i] + SOUND_AFTER_S <= begin + start
                     or (i < RESTARTED and trouble != "0" and start + WINDOW_S < RESTART_AT_S)}
            used = {r["n"] for r in ran if start <= r["t"] - begin < start + WINDOW_S} & sound
            unserved = sum(not (o.whole and o.status == 200) for o in sent) / max(len(sent), 1)
            below = 0 < len(used) < FLOOR_SHARE * len(sound) and 0.1 < unserved < 0.5
            broken += below
            record.write(f"{start:5.1f} s to {start + WINDOW_S:5.1f} s: {len(used)} of {len(sound)} sound instances get "
                         f"requests, {unserved:.2f} of {len(sent)} requests aren't served"
                         f"{'  BELOW THE FLOOR' if below else ''}\n")
            start += 0.5
        statuses = {}
        for o in outcomes:
            statuses[o.status] = statuses.get(o.status, 0) + 1
        for i in range(INSTANCES):
            record.write(f"{instances.ids[i]}: requests run in the last 8 s: "
                         f"{sum(r['n'] == i and r['t'] - begin > LENGTH_S - 8 for r in ran)}\n")
        served = sum(o.whole and o.status == 200 for o in outcomes)
        verdict = (f"TROUBLE={trouble}: {len(outcomes)} requests, {served} served, statuses {statuses}; windows of 2 s below "
                   f"the floor: {broken}: {'rule broken' if broken else 'rule held'}")
        record.write(verdict + "\n")
        print(verdict)
        if trouble == "0" and served < len(outcomes) * 0.95:
            raise dep.CannotRun("too few requests were served without the disruption")
        return 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {error}\n{traceback.format_exc()}")
        print(f"could not run: {error}")
        return 2
    finally:
        record.close()
        if instances:
            instances.end()
        if deployment:
            deployment.end()


if __name__ == "__main__":
    sys.exit(main())
