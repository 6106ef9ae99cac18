"""Whole streams are reset at their end while a gate can open no new channels to the runners."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

EVENTS = 60
EVENT_S = 0.06
SHORT_EVENTS = 5
CLIENTS = 16
CUT_S = 5.0


class StreamRunner(Runner):
    """Streams events with neither a length nor chunks; the channel ends with the stream."""

    def __init__(self, *args):
        self.whole = set()
        super().__init__(*args)

    def handle(self, connection, method, target, headers, body):
        attempt = headers.get("x-rosemarylift-attempt-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        last = SHORT_EVENTS if target.endswith("short") else EVENTS
        self.note_run(f"{target} from {first}", headers)
        fields = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            f"X-Rosemarylift-Attempt-Id: {attempt}\r\nX-Rosemarylift-Response-Seal: seal.{attempt}\r\n"
        )
        if first > last:
            connection.sock.sendall(f"{fields}Content-Length: 0\r\n\r\n".encode())
            raise ConnectionError("nothing is left of the stream")
        connection.sock.sendall(f"{fields}\r\n".encode())
        for number in range(first, last + 1):
            time.sleep(EVENT_S)
            if connection.peer_closed():
                raise ConnectionError("the caller left")
            connection.sock.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
        connection.sock.shutdown(socket.SHUT_WR)
        self.whole.add(attempt)
        self.record.write(f"runner {self.name}: sent all of {attempt} and ended its channel")
        raise ConnectionError("the stream has ended")


class KeptChannel:
    """A client's channel, which is kept for many requests."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.settimeout(20.0)
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.fill()
        found, self.buffer = self.buffer.split(mark, 1)
        return found

    def ask(self, target, attempt):
        """Returns status, pieces and how the answer ended."""
        head = (
            f"POST {target} HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: {len(attempt)}\r\n"
            f"X-Rosemarylift-Attempt-Id: {attempt}\r\nX-Rosemarylift-Deadline-Ms: 20000\r\n\r\n{attempt}"
        )
        body = b""
        try:
            self.sock.sendall(head.encode())
            lines = self.until(b"\r\n\r\n").decode("latin-1").lower().split("\r\n")
            status = int(lines[0].split(" ")[1])
            if "transfer-encoding: chunked" in lines:
                while True:
                    size = int(self.until(b"\r\n"), 16)
                    while len(self.buffer) < size + 2:
                        self.fill()
                    body += self.buffer[:size]
                    self.buffer = self.buffer[size + 2 :]
                    if size == 0:
                        return status, body.count(b"data: "), "complete"
            size = int([line for line in lines if line.startswith("content-length:")][0][15:])
            while len(self.buffer) < size:
                self.fill()
            body, self.buffer = self.buffer[:size], self.buffer[size:]
            return status, body.count(b"data: "), "complete"
        except OSError as err:
            return 0, body.count(b"data: "), str(err)


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    runners = [StreamRunner(record, store, f"i-{n}", "model") for n in range(3)]
    routes = [
        route(
            "draft", "model", "streaming", public=True, resumable=True,
            **{"max-attempts": 3, "timeout-ms": 20000, "target-latency-ms": 3000, "gap-aim-ms": 1000},
        )
    ]
    store.write("config", "main", config(11, routes, ["model"], max_conns=360))
    # The paths of front-0 to the runners are proxies; the store tells it their addresses.
    paths = {runner.name: LinkProxy(runner.port) for runner in runners}
    view = StoreView(store, {name: path.addr for name, path in paths.items()})
    case.gates = gates = [Gate(case.folder, n, view if n == 0 else store) for n in range(6)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(STABLE_WINDOW_S + 1)

    results = []

    def client(gate, number):
        channel = KeptChannel(gate.ports["callers"])
        for target in ("/draft/short", "/draft/long", "/draft/long"):
            attempt = f"{gate.name}.{number}.{target[7:]}.{len(results)}"
            record.write(f"client: sends {attempt}")
            status, pieces, end = channel.ask(target, attempt)
            record.write(f"client: {attempt}: {status}, pieces {pieces}, {end}")
            results.append((gate.name, attempt, target, pieces, end))
            if end != "complete":
                return

    threads = []
    for gate in gates[:2]:
        for number in range(CLIENTS):
            thread = threading.Thread(target=client, args=(gate, number), daemon=True)
            thread.start()
            threads.append(thread)
    time.sleep(1.5)
    if TROUBLE:
        record.write("front-0 is partitioned from all runners: channels live on, new ones are refused")
        for path in paths.values():
            path.refuse()
    time.sleep(CUT_S)
    if TROUBLE:
        for path in paths.values():
            path.listen()
        record.write("the partition is over")
    for thread in threads:
        thread.join(30)
    whole = set().union(*(runner.whole for runner in runners))
    lost = {}
    for gate, attempt, target, pieces, end in results:
        if target == "/draft/long" and end != "complete" and attempt in whole:
            lost.setdefault(gate, []).append((attempt, pieces, end))
    served = sum(1 for result in results if result[4] == "complete")
    if not served:
        case.could_not_run("nothing was served")
    counts = {gate: len(entries) for gate, entries in lost.items()}
    every = sum(1 for entries in lost.values() for entry in entries if entry[1] == EVENTS)
    case.verdict(
        any(count > 3 for count in counts.values()),
        f"requests from kept channels whose stream a runner sent whole, and whose channel the gate closed "
        f"without the end: {counts} (of these {every} had every piece); answers that ended well: {served}",
    )


Case.run(main)
