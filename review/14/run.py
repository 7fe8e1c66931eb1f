"""Case 14: two hosts of a configuration differ in their ports only, and their routes go to different services."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import stand

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = ({"svc-a": "review.example:8080", "svc-b": "review.example:8443"} if TROUBLE else
         {"svc-a": "a.review.example", "svc-b": "b.review.example"})


def play(record, fleet):
    fleet.start()
    first = stand.configuration(3)
    first["hosts"][0]["host"] = "first.example"
    if not fleet.put(first):
        raise stand.Impossible("the first configuration was not acknowledged")
    fleet.await_ready()
    zones = list(stand.ZONES)
    instances = [stand.Instance(fleet, f"i-{service[-1]}{number}", f"{fleet.block}.{101 + 10 * at + number}",
                                service=service, zone=zones[number]) for at, service in enumerate(HOSTS)
                 for number in range(3)]
    for instance in instances:
        if not instance.beat():
            raise stand.Impossible("a ping was not acknowledged")
        instance.announce()
    time.sleep(4)
    changed = stand.configuration(5)
    changed["hosts"] = [{"host": host, "paths": stand.configuration(5, service=service)["hosts"][0]["paths"]}
                        for service, host in HOSTS.items()]
    for service, host in HOSTS.items():
        record(f"r5: host {host} goes to {service}")
    if not fleet.put(changed):
        raise stand.Impossible("the change was not acknowledged")
    time.sleep(stand.BOUNDS["config_apply_ms"] / 1000 + 1)
    sent = {}  # request id: service that the configuration names
    for _ in range(10):
        for machine in fleet.fronts:
            for service, host in HOSTS.items():
                name, status, _, body = stand.request(fleet, machine, host=host)
                sent[name] = service
                record(f"client: {name} for {host} at {machine.name}: {status or 'no answer'} {body.decode().strip()}")
    foreign = [(name, instance.service) for instance in instances for _, name in instance.runs
               if sent.get(name, instance.service) != instance.service]
    runs = sum(1 for instance in instances for _, name in instance.runs if name in sent)
    if runs == 0:
        raise stand.Impossible("no request has run")
    record(f"requests run: {runs}; run by the other host's service: {len(foreign)}")
    return bool(foreign)


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
    record("ROUTE is broken" if broken else "ROUTE held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
