"""A part of a prompt that crashes runners as they begin to write reaches them again and again."""

import os
import random
import subprocess
import sys
import threading
import time

STAND_INS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins")
sys.path.insert(0, STAND_INS)
from platform_stand_ins import *  # noqa: E402,F403

RUNNERS = 9
EVENTS = 10
EVENT_S = 0.03
SHARED_PART = "5c1e07a2"
BAD_PART = "badc0de5"
KEY = "k-embassy"
SOUND_PER_S = 24
BAD_PER_S = float(os.environ.get("BAD_PER_S", "2"))
DOWN_S = 3
QUIET_S = 10
BAD_S = 40
# Time between sending by a client and arrival at a runner, and between two clocks that are compared.
SLACK_S = 0.5
# What a runner has written of its answer when it crashes: none, line (40 bytes of the head); for comparison
# head (the head) and event (the first event, too), under which the gates learn the part.
WRITTEN = os.environ.get("WRITTEN", "line")


class RunnerProcess:
    """A runner's process, which is started again after it has ended, with a new id."""

    def __init__(self, case, store, base):
        self.case = case
        self.store = store
        self.base = base
        self.port = free_port()
        self.starts = 0
        self.logs = []
        self.start()
        threading.Thread(target=self.keep, daemon=True).start()

    def start(self):
        self.starts += 1
        self.name = f"{self.base}-{self.starts}"
        path = os.path.join(self.case.folder, f"{self.name}.log")
        self.logs.append(path)
        with open(path, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, os.path.join(STAND_INS, "prompt_runner.py"), str(self.port), self.name,
                 str(EVENTS), str(EVENT_S), BAD_PART, WRITTEN],
                stdout=log, stderr=log,
            )
        self.case.extra.append(self.process)
        while True:
            try:
                socket.create_connection(("127.0.0.1", self.port), timeout=0.2).close()
                break
            except OSError:
                time.sleep(0.01)
        self.store.write("servers", self.name, {
            "service": "model", "address": f"127.0.0.1:{self.port}", "zone": "hall-a",
            "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000),
        })

    def keep(self):
        while True:
            self.process.wait()
            if self.case.is_over:
                return
            name = self.name
            self.case.record.write(f"runner {name} crashed")
            expire = threading.Timer(3 * BEAT_S, lambda name=name: self.store.remove("servers", name))
            expire.daemon = True
            expire.start()
            time.sleep(DOWN_S)
            if self.case.is_over:
                return
            self.start()


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    runners = [RunnerProcess(case, store, f"i-{n}") for n in range(RUNNERS)]
    routes = [
        route(
            "draft", "model", "streaming", resumable=True, sticky=True,
            **{"max-attempts": 3, "timeout-ms": 20000, "target-latency-ms": 3000, "gap-aim-ms": 1000},
        )
    ]
    tenants = [{"name": "embassy", "api-keys": [KEY]}]
    store.write("config", "main", config(11, routes, ["model"], tenants, max_conns=360))
    case.gates = gates = [Gate(case.folder, n, store) for n in range(6)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(STABLE_WINDOW_S + 1)

    chance = random.Random(1)
    results = []  # kind, attempt, unix time of sending, status, pieces

    def client(kind, number):
        gate = chance.choice(gates)
        attempt = f"{kind}.{number}"
        parts = [f"{SHARED_PART}:800", f"{number + 1:x}:250"]
        if kind == "bad":
            parts.insert(1, f"{BAD_PART}:410")
        headers = {
            "X-Rosemarylift-Attempt-Id": attempt, "X-Rosemarylift-Deadline-Ms": "20000",
            "X-Api-Key": KEY, "X-Rosemarylift-Token-Usage": "1460,60",
            "X-Rosemarylift-Prompt-Prefix": ",".join(parts), "X-Rosemarylift-Model": "m",
        }
        sent = time.time()
        try:
            status, _, body = call(gate.ports["callers"], "POST", "/draft/x", headers, attempt.encode())
            pieces = body.count(b"data: ")
        except OSError as err:
            status, pieces = str(err), 0
        results.append((kind, attempt, sent, status, pieces))
        record.write(f"client: {attempt} to {gate.name}: {status}, pieces {pieces}")

    def send(kind, per_s, for_s, first):
        began = time.monotonic()
        number = first
        while time.monotonic() < began + for_s:
            threading.Thread(target=client, args=(kind, number), daemon=True).start()
            number += 1
            time.sleep(max(0.0, began + (number - first) / per_s - time.monotonic()))

    sound = threading.Thread(target=send, args=("sound", SOUND_PER_S, QUIET_S + BAD_S, 0), daemon=True)
    sound.start()
    time.sleep(QUIET_S)
    bad_from = time.time()
    record.write("requests with the bad part begin to come")
    if TROUBLE:
        send("bad", BAD_PER_S, BAD_S, 100000)
    sound.join()
    time.sleep(3)

    crashes = []
    begun = []  # unix time, attempt
    for runner in runners:
        for path in runner.logs:
            with open(path, encoding="utf-8") as log:
                for line in log:
                    words = line.split(" ")
                    if " crashes " in line:
                        crashes.append(float(words[0]))
                    elif " begins " in line and "bad=True" in line:
                        begun.append((float(words[0]), words[3]))
                    record.write(f"runner: {line.strip()}")
    crashes.sort()
    sent = {attempt: when for _, attempt, when, _, _ in results}
    fifth = crashes[4] if len(crashes) >= 5 else None
    late = set()
    runs = 0
    if fifth:
        for when, attempt in begun:
            if sent[attempt] > fifth + STABLE_WINDOW_S + SLACK_S:
                late.add(attempt)
                runs += 1

    def begun_of(from_s, to_s):
        found = [r for r in results if r[0] == "sound" and from_s <= r[2] < to_s]
        return sum(1 for r in found if r[3] == 200 and r[4] > 0), len(found)

    good, all_before = begun_of(0, bad_from)
    good_late, all_late = begun_of((fifth or bad_from) + 2 * STABLE_WINDOW_S, time.time())
    if good < 0.9 * all_before:
        case.could_not_run(f"before the bad part {good} of {all_before} sound requests began")
    case.verdict(
        len(late) > 3,
        f"requests with the bad part that reached runners, sent later than stable-window-ms after the fifth "
        f"crash: {len(late)}, in {runs} runs (more than 3 break BUDGET); crashes in all: {len(crashes)}; sound "
        f"requests with the same key and first part that began: {good} of {all_before} before, {good_late} of "
        f"{all_late} from 2 x stable-window-ms after the fifth crash (less than half as often breaks LOST)",
    )


Case.run(main)
