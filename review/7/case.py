"""A valid configuration gives a tenant the lowest rank that is accepted. Every leader of the core then loops."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import case2
import keeper2
import standins2

LOWEST_RANK = 4294967295
USUAL_RANK = 3
CLIENTS = 10
LOAD_S = 25.0


def play(record, fleet):
    fleet.start()
    operator = standins2.Operator(record, fleet)
    content = standins2.configuration(1, [("a.example", "/reports/", "safe", "ledger")])
    rank = LOWEST_RANK if case2.trouble() else USUAL_RANK
    content["tenants"] = [{"name": "nightly", "api_keys": ["k-nightly"], "priority": rank,
                           "rate_per_s": 400, "burst": 400}]
    content["hosts"][0]["paths"][0]["anonymous"] = False
    record.add(f"operator: the tenant's priority is {rank}")
    status, _ = operator.put(content, tries=40)
    case2.need(status == 200, f"the configuration was answered {status}")
    instance = standins2.Instance(record, fleet, "ledger", 1, "hv-a", slots=3, work=lambda run: 0.3)
    case2.need(instance.register(), "the instance was not registered")
    time.sleep(3.5)
    keeper = keeper2.Keeper(record, fleet.core)
    stopped = threading.Event()
    statuses = {}

    def client():
        while not stopped.is_set():
            _, status, _, _ = standins2.request(record, fleet.front[0].endpoint("front"), "a.example",
                "/reports/1", fields={"Api-Key": "k-nightly"}, deadline_ms=4000)
            statuses[status] = statuses.get(status, 0) + 1
            time.sleep(0.1)

    for _ in range(CLIENTS):
        threading.Thread(target=client, daemon=True).start()
    time.sleep(LOAD_S)
    stopped.set()
    keeper.stop()
    record.add(f"case: clients got {statuses}; core processes ended by themselves: {keeper.ends}")
    often = [name for name, count in keeper.ends.items() if count >= 3]
    machines = len(fleet.machines())
    # A tenth of the machines in use, two at least; or half of the core.
    if len(often) >= max(2, machines / 10) or len(often) * 2 >= len(fleet.core):
        return [f"Fault: processes ended by themselves three times or more on {len(often)} of {machines} "
                f"machines: {', '.join(often)}"]
    return []


case2.run(play, FOLDER, core=5, front=2)
