"""A gate that starts while the store is away keeps objects from before the older copy."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403


DRILLS = 3


def tenants(keys):
    return [{"name": "embassy", "api-keys": keys}]


def one_drill(case, store, runners, version, write_config, keys, goes):
    """Returns how many requests with the dropped key `goes` ran, by gate, long after it was dropped."""
    record, gates = case.record, case.gates
    # What the store comes back from: its state 5 s before it goes away.
    copy = store.copy()
    for _ in range(5):
        write_config("changes a time-out")
        time.sleep(1)

    # One gate is killed and starts again after a short delay, in both modes.
    record.write("gate front-2 is killed")
    gates[2].signal(signal.SIGKILL)
    gates[2].process.wait()
    if TROUBLE:
        record.write("store: away")
        store.go_away()
    time.sleep(1.2)
    gates[2].start(gates, False)
    record.write("gate front-2 started")
    time.sleep(0.15)
    if TROUBLE:
        store.return_from(copy)
        record.write(f"store: back from the copy, revision {store.revision}, era {store.era}")
        # What the operator wrote is written again.
        version[0] -= 1
        write_config("writes the newest configuration again")
    if not gates[2].wait_ready():
        case.could_not_run("the gate that was killed is not ready again")

    # Well over a stable window after the disruption, a key is taken away.
    time.sleep(STABLE_WINDOW_S + 3)
    keys.remove(goes)
    write_config("takes a key away")
    acknowledged = now()
    time.sleep(CONFIG_APPLY_S + 1)

    late = {}
    stays = 0
    number = 0
    while now() < acknowledged + CONFIG_APPLY_S + 5:
        for gate in gates:
            for key in (goes, "k-stays"):
                number += 1
                attempt = f"{goes[-1]}.{number}-{key}"
                headers = {
                    "X-Rosemarylift-Attempt-Id": attempt, "X-Rosemarylift-Deadline-Ms": "600",
                    "X-Api-Key": key,
                }
                sent = now()
                try:
                    status = call(gate.ports["callers"], "GET", "/look/x", headers)[0]
                except OSError as err:
                    status = str(err)
                record.write(f"client: {attempt} to {gate.name} at {sent:.3f}: {status}")
                if key == "k-stays":
                    stays += status == 200
                elif any(run[1] == attempt for runner in runners for run in runner.runs):
                    late[gate.name] = late.get(gate.name, 0) + 1
        time.sleep(0.3)
    if not stays:
        case.could_not_run("no request with the key that stays was served")
    return late


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    runners = [Runner(record, store, f"i-{n}", "app") for n in range(2)]
    version = [10]
    keys = ["k-stays"] + [f"k-goes-{number}" for number in range(DRILLS)]

    def write_config(why):
        version[0] += 1
        routes = [route("look", "app", **{"timeout-ms": 6000 + version[0]})]
        store.write("config", "main", config(version[0], routes, ["app"], tenants(keys)))
        record.write(f"operator: {why}, version {version[0]} acknowledged, revision {store.revision}")

    write_config("first configuration")
    case.gates = gates = [Gate(case.folder, n, store) for n in range(6)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(4)

    # The processes' pauses vary; a drill that is without consequences is followed by another.
    for number in range(DRILLS):
        goes = f"k-goes-{number}"
        late = one_drill(case, store, runners, version, write_config, keys, goes)
        text = (
            f"requests with the dropped key that ran, {CONFIG_APPLY_S + 1:.0f} s and more after it was "
            f"dropped: {late}, after drill {number + 1} of {DRILLS} at most"
        )
        if late:
            case.verdict(True, text)
    case.verdict(False, text)


Case.run(main)
