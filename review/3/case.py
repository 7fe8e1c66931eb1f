"""The operator sends bodies that are not JSON. See claim.txt."""

import json
import os
import pathlib
import subprocess
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
import client  # noqa: E402
import deployment as dep  # noqa: E402

HOST = "jepu9.example"
REQUESTS = 20
APPLY_S = 2.5  # config_apply_ms


def body(version):
    return json.dumps(dep.configuration(version, ["huvo11a"], [
        dep.route("r-1", "/lepu270/", "huvo11a", "safe", 4000, 2500, 2, HOST)]))


def damaged(version):
    """Bodies that cannot be read: each differs from a valid one in the bytes of one value."""
    valid = body(version).encode()
    yield "a host with a byte that is not UTF-8", valid.replace(b"jepu9", b"jep\xff9")
    yield "a host with a NUL byte", valid.replace(b"jepu9", b"jepu\x00")
    yield "a number without digits in a route", valid.replace(b'"target_latency_ms": 2500', b'"target_latency_ms": -')
    yield "a number without digits in the limits", valid.replace(b'"max_header_bytes": 16384', b'"max_header_bytes": -')


def is_json(text):
    """Whether `text` is JSON (RFC 8259), by a reader that is not the system's."""
    try:
        json.loads(text.decode("utf-8"))
        return True
    except ValueError:
        return False


def send(deployment, content):
    """Sends one order until it gets a clear answer; returns its status."""
    end = time.monotonic() + 15
    target = 0
    while time.monotonic() < end:
        control = deployment.controls[target % len(deployment.controls)]
        target += 1
        status, _, _ = dep.call("POST", control.address, deployment.calls_port, "/laburnumroute/config/put", content,
                                {"Content-Type": "application/json"})
        if status and status < 500:
            return status
        time.sleep(0.1)
    raise dep.CannotRun("an order got no clear answer")


def statuses(deployment, tag):
    """Statuses of requests that the newest valid configuration allows."""
    entry = deployment.entries[0]
    return [client.request(entry.address, deployment.front_port, "GET", HOST, f"/lepu270/{k}", f"{tag}{k:03}", 4000).status
            for k in range(REQUESTS)]


def main():
    trouble = os.environ.get("TROUBLE") != "0"
    record = open(HERE / "record.txt", "w")
    dep.stop_in_time()
    deployment, instance = None, None

    def note(text):
        record.write(text + "\n")
        print(text)

    try:
        deployment = dep.Deployment(controls=3, entries=1, tolerated=1)
        deployment.start()
        if send(deployment, body(1).encode()) != 200:
            raise dep.CannotRun("the first configuration was refused")
        deployment.wait_ready()
        options = {"id": "i-1", "service": "huvo11a", "address": "127.0.3.1", "work_ms": 5,
                   "controls": [(c.address, deployment.calls_port) for c in deployment.controls]}
        instance = subprocess.Popen([sys.executable, str(HERE.parent / "standins" / "server.py"), json.dumps(options)],
                                    stdout=subprocess.DEVNULL)
        time.sleep(3.5)
        before = statuses(deployment, "a")
        note(f"before: statuses of {REQUESTS} requests: {sorted(set(before))}")
        if before.count(200) < REQUESTS * 0.9:
            raise dep.CannotRun("requests are not served before the disruption")
        acknowledged = []
        for version, (what, content) in enumerate(damaged(0), start=10):
            content = content.replace(b'"r0"', f'"r{version}"'.encode())
            if not trouble:
                what, content = "a valid body", body(version).encode()
            valid = is_json(content)
            status = send(deployment, content)
            note(f"version r{version}, {what}: JSON {valid}, answered {status}")
            if status == 200 and not valid:
                acknowledged.append(version)
            if status != 200 and valid:
                raise dep.CannotRun("a valid body was refused")
            time.sleep(APPLY_S + 0.2)
            after = statuses(deployment, f"v{version}-")
            note(f"  {APPLY_S + 0.2:.1f} s later: statuses of {REQUESTS} requests: "
                 f"{ {s: after.count(s) for s in sorted(set(after))} }")
        for control in deployment.controls:
            status, _, content = dep.call("GET", control.address, deployment.calls_port, "/laburnumroute/config/get")
            note(f"{control.name}: a read of the configuration is answered {status}, JSON {is_json(content)}")
        note(f"TROUBLE={int(trouble)}: invalid configurations acknowledged: {len(acknowledged)}: "
             f"{'rule broken' if acknowledged else 'rule held'}")
        return 1 if acknowledged else 0
    except Exception as error:  # pylint: disable=broad-except
        note(f"could not run: {error}\n{traceback.format_exc()}")
        return 2
    finally:
        record.close()
        if instance:
            instance.kill()
            instance.wait()
        if deployment:
            deployment.end()


if __name__ == "__main__":
    sys.exit(main())
