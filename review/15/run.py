"""Case 15: a deployment in which a value of `bounds` is a fraction."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import stand

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.5 if TROUBLE else 6
ENDS = 3


def play(record, fleet):
    stand.BOUNDS["grace_s"] = GRACE_S
    record(f"all machines start; bounds.grace_s is {GRACE_S}")
    fleet.start()
    ends = {machine.name: 0 for machine in fleet.cores + fleet.fronts}
    began = time.monotonic()
    configured = False
    while time.monotonic() < began + 15:
        for machine in fleet.cores + fleet.fronts:
            code = machine.ended()
            if code is None or ends[machine.name] == ENDS:
                continue
            ends[machine.name] += 1
            last = machine.log.read_text(encoding="utf-8", errors="replace").strip().splitlines()[-1:]
            record(f"{machine.name} ended by itself with code {code}: "
                   f"{' '.join(last).replace(str(fleet.folder), 'FOLDER')}")
            if ends[machine.name] < ENDS:
                machine.start(bootstrap=False)
        configured = configured or fleet.put(stand.configuration(3), 1.0)
        time.sleep(0.3)
    if not configured:
        raise stand.Impossible("no configuration was acknowledged")
    instances = [stand.Instance(fleet, f"i-{number}", f"{fleet.block}.{101 + number}") for number in range(3)]
    for instance in instances:
        instance.beat()
    time.sleep(1.5)
    for instance in instances:
        instance.beat()
    answers = [stand.request(fleet, machine) for machine in fleet.fronts for _ in range(5)]
    for name, status, _, _ in answers:
        record(f"client: {name}: {status or 'no answer'}")
    dead = [name for name, count in ends.items() if count == ENDS]
    served = sum(1 for answer in answers if answer[1] == 200)
    record(f"machines whose process ended by itself {ENDS} times: {', '.join(dead) or 'none'}")
    record(f"requests served: {served} of {len(answers)}")
    limit = max(2, len(ends) / 10)
    return len(dead) >= limit or served == 0


def main():
    record = stand.Record(pathlib.Path(__file__).parent / "record.txt")
    fleet = stand.Fleet(record)
    try:
        broken = play(record, fleet)
    except stand.Impossible as problem:
        record(f"could not run: {problem}")
        return 2
    finally:
        fleet.stop()
    record("Fault" if broken else "no fault")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
