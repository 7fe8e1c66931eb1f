"""Instances fall silent for a time while they send their answers. See claim.txt."""

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

INSTANCES, LOST = 29, 4            # 4 of 29 are 13.8 %; srv_crash takes a share of .14 at most in the site file
REQUESTS, PER_S, LOST_AFTER = 480, 60, 240
DOWN_S = 4.5                       # for_s of srv_crash in the site file
TIMEOUT_S, GRACE_S = 4.0, 0.5      # timeout_ms of the route; "half a second later"
CLIENT_MS = 10000                  # the client's own time budget
LEAST = 8                          # "Eight or more of them, and over a quarter"
HOST = "jepu9.example"


def start_instances(deployment):
    controls = [(c.address, deployment.calls_port) for c in deployment.controls]
    processes = []
    for i in range(INSTANCES):
        options = {"id": f"i-{i:02}", "service": "huvo11a", "address": f"{dep.NET}.3.{i + 1}", "work_ms": 1800, "pieces": 6, "body_bytes": 2400,
                   "framing": "chunked", "controls": controls, "zone": list(dep.ZONES)[i % 5]}
        processes.append(subprocess.Popen([sys.executable, str(HERE.parent / "standins" / "server.py"),
                                           json.dumps(options)], stdout=subprocess.DEVNULL))
    return processes


def send_load(entry, port, lose):
    outcomes, threads = [], []
    begin = time.monotonic()
    for k in range(REQUESTS):
        time.sleep(max(0.0, begin + k / PER_S - time.monotonic()))
        if k == LOST_AFTER:
            lose()
        outcome = client.Outcome(f"q{k:04}")
        thread = threading.Thread(target=client.request, daemon=True, kwargs=dict(
            address=entry.address, port=port, method="GET", host=HOST, path=f"/lepu270/{k}",
            request_id=outcome.id, deadline_ms=CLIENT_MS, outcome=outcome))
        outcomes.append(outcome)
        threads.append(thread)
        thread.start()
    for thread in threads:
        thread.join(CLIENT_MS / 1000 + 2)
    return begin, outcomes


def main():
    trouble = os.environ.get("TROUBLE") != "0"
    record = open(HERE / "record.txt", "w")
    dep.stop_in_time()
    deployment, instances = None, []
    try:
        deployment = dep.Deployment(controls=3, entries=1, tolerated=1)
        deployment.start()
        config = dep.configuration(1, ["huvo11a"], [dep.route("r-1", "/lepu270/", "huvo11a", "safe", 4000, 2500, 2, HOST)])
        if deployment.put(config)[0] != 200:
            raise dep.CannotRun("the configuration was refused")
        deployment.wait_ready()
        instances = start_instances(deployment)
        limit = time.monotonic() + 15
        while deployment.entries[0].gauge("laburnum_instances_known") != INSTANCES:
            if time.monotonic() > limit:
                raise dep.CannotRun("the instances are not known")
            time.sleep(0.1)
        time.sleep(3.5)  # longer than stable_window_ms

        def back():
            for process in instances[:LOST]:
                process.send_signal(signal.SIGCONT)

        def lose():
            if trouble:
                for process in instances[:LOST]:
                    process.send_signal(signal.SIGSTOP)
                threading.Timer(DOWN_S, back).start()

        begin, outcomes = send_load(deployment.entries[0], deployment.front_port, lose)
        for o in outcomes:
            record.write(f"{o.sent - begin:8.3f} s sent {o.id}; {o.lasted():7.3f} s later: {o.how}, status {o.status}, "
                         f"{o.bytes} bytes, whole {o.whole}\n")
        longer = [o for o in outcomes if o.lasted() > TIMEOUT_S]
        without = [o for o in longer if o.lasted() > TIMEOUT_S + GRACE_S]
        served = sum(o.whole and o.status == 200 for o in outcomes)
        broken = len(without) >= LEAST and len(without) * 4 > len(longer)
        verdict = (f"TROUBLE={int(trouble)}: {len(outcomes)} requests, {served} served; {len(longer)} lasted longer than "
                   f"the route's timeout, {len(without)} of them had no final answer {GRACE_S} s after it: "
                   f"{'rule broken' if broken else 'rule held'}")
        record.write(verdict + "\n")
        print(verdict)
        if not trouble and served < len(outcomes) * 0.95:
            raise dep.CannotRun("too few requests were served without the disruption")
        return 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {error}\n{traceback.format_exc()}")
        print(f"could not run: {error}")
        return 2
    finally:
        record.close()
        for process in instances:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        if deployment:
            deployment.end()


if __name__ == "__main__":
    sys.exit(main())
