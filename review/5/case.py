"""A runner that says in its answers that it leaves gets requests again after the store's drill."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

WORK_S = 0.6
AWAY_S = 0.1


class Leaver(Runner):
    """Announces that it leaves with `leave`, goes on serving, and ends with `end`."""

    leaving = False
    ended = False
    told = None  # when the first answer with Server-Leaving was complete

    def leave(self):
        self.entry["state"] = "draining"
        self.store.write("servers", self.name, dict(self.entry))
        self.leaving = True

    def handle(self, connection, method, target, headers, body):
        self.note_run(target, headers)
        leaving = self.leaving
        until = time.monotonic() + WORK_S
        while time.monotonic() < until:
            time.sleep(0.01)
            if self.ended:
                connection.close()
                return
        fields = self.common(headers)
        fields["X-Rosemarylift-Response-Seal"] = f"seal.{fields['X-Rosemarylift-Attempt-Id']}"
        if self.leaving:
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        connection.answer(200, fields, f"run by {self.name}".encode())

    def end(self):
        self.beats = False
        self.ended = True
        self.listener.close()
        self.store.remove("servers", self.name)


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    leaver = Leaver(record, store, "i-leaver", "app")
    other = Leaver(record, store, "i-other", "app")
    routes = [route("print", "app", "non_idempotent", public=True, **{"max-attempts": 1, "target-latency-ms": 1000})]
    store.write("config", "main", config(11, routes, ["app"]))
    case.gates = gates = [Gate(case.folder, n, store) for n in range(2)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(STABLE_WINDOW_S + 1)

    stop = threading.Event()
    sent = {}  # attempt -> (gate, when the client sent it)
    told = {}  # gate -> when it passed on the first answer with Server-Leaving
    lost = []
    lock = threading.Lock()

    def client(gate, number):
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"{gate.name}.{number}.{count}"
            headers = {"X-Rosemarylift-Attempt-Id": attempt, "X-Rosemarylift-Deadline-Ms": "3000"}
            began = now()
            sent[attempt] = (gate.name, began)
            try:
                status, fields, _ = call(gate.ports["callers"], "POST", "/print/x", headers, b"x" * 600)
            except OSError as err:
                status, fields = str(err), {}
            record.write(f"client: {attempt} sent {began:.3f}: {status} leaving={fields.get('server-leaving')}")
            with lock:
                if fields.get("server-leaving") == "1":
                    told.setdefault(gate.name, now())
                if status != 200:
                    lost.append((attempt, status))
            time.sleep(0.05)

    for gate in gates:
        for number in range(4):
            threading.Thread(target=client, args=(gate, number), daemon=True).start()
    time.sleep(2)
    copy = store.copy()
    time.sleep(1)
    leaver.leave()
    record.write("runner i-leaver: reports draining, and says so in its answers")
    time.sleep(DRAIN_S + 1)
    # The drill begins between two heartbeats of the runner.
    beats = leaver.beat_count
    while leaver.beat_count == beats:
        time.sleep(0.01)
    if TROUBLE:
        record.write("store: away")
        store.go_away()
        time.sleep(AWAY_S)
        store.return_from(copy)
        record.write(f"store: back from the copy, revision {store.revision}, era {store.era}")
    else:
        time.sleep(AWAY_S)
    # The runner has served a little longer than the time for draining, and exits.
    time.sleep(0.5)
    record.write("runner i-leaver: exits")
    leaver.end()
    time.sleep(2.0)
    stop.set()
    time.sleep(1.0)
    if len(told) < len(gates):
        case.could_not_run(f"only {list(told)} passed on an answer with Server-Leaving")
    late = {}
    for _, attempt, _, _ in leaver.runs:
        gate, began = sent[attempt]
        if began > told[gate] + DRAIN_S:
            late.setdefault(gate, []).append(attempt)
    counts = {gate: len(attempts) for gate, attempts in late.items()}
    all_late = {attempt for attempts in late.values() for attempt in attempts}
    record.write(f"failed: {lost}")
    lost_late = [entry for entry in lost if entry[0] in all_late]
    case.verdict(
        bool(counts),
        f"requests that reached the leaving runner, sent later than drain-ms after Server-Leaving "
        f"was passed on: {counts}; of these got no answer of it: {lost_late}",
    )


Case.run(main)
