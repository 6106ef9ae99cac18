"""Streams that ended with their channel are cut although a busy runner had sent them whole."""

import os
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

EVENTS = 10
EVENT_S = 0.04
SLOTS = 6
LONG_QUEUE = 6
MAX_CONNS = 96
# Clients on kept channels at each gate: usually, and while many users come at once.
USUAL = 10
BURST = 17


class StreamRunner(Runner):
    """Streams events with neither a length nor chunks. Resets further channels while its queue is long."""

    def __init__(self, *args):
        super().__init__(*args, slots=SLOTS)

    def accept_all(self, listener):
        self.slots_free = threading.Semaphore(SLOTS)
        self.count_lock = threading.Lock()
        self.waiting = 0
        self.resets = 0
        self.whole = {}  # attempt -> last event that was sent before the regular end
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if self.waiting >= LONG_QUEUE:
                with self.count_lock:
                    self.resets += 1
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(sock,), daemon=True).start()

    def handle(self, connection, method, target, headers, body):
        with self.count_lock:
            self.waiting += 1
        while not self.slots_free.acquire(timeout=0.02):
            if connection.peer_closed():
                with self.count_lock:
                    self.waiting -= 1
                raise ConnectionError("the caller left")
        with self.count_lock:
            self.waiting -= 1
        try:
            self.stream(connection, target, headers)
        finally:
            self.slots_free.release()
        raise ConnectionError("the stream has ended")

    def stream(self, connection, target, headers):
        attempt = headers.get("x-rosemarylift-attempt-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        self.note_run(f"{target} from {first}", headers)
        fields = self.common(headers)
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
        text += f"X-Rosemarylift-Attempt-Id: {attempt}\r\nX-Rosemarylift-Response-Seal: seal.{attempt}\r\n\r\n"
        connection.sock.sendall(text.encode())
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_S)
            if connection.peer_closed():
                return
            connection.sock.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
        connection.sock.shutdown(socket.SHUT_WR)
        self.whole.setdefault(attempt, EVENTS)
        self.record.write(f"runner {self.name}: sent all of {attempt} and ended its channel")


class KeptChannel:
    """A client's channel, which is kept for many requests."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.settimeout(20.0)
        self.buffer = b""
        self.answers = 0

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

    def ask(self, attempt):
        """Returns status, body and whether the answer was complete."""
        head = (
            f"POST /draft/x HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: 4\r\n"
            f"X-Rosemarylift-Attempt-Id: {attempt}\r\nX-Rosemarylift-Deadline-Ms: 20000\r\n\r\nbody"
        )
        self.sock.sendall(head.encode())
        lines = self.until(b"\r\n\r\n").decode("latin-1").lower().split("\r\n")
        status = int(lines[0].split(" ")[1])
        self.closes = "connection: close" in lines
        body = b""
        try:
            if "transfer-encoding: chunked" in lines:
                while True:
                    size = int(self.until(b"\r\n"), 16)
                    while len(self.buffer) < size + 2:
                        self.fill()
                    body += self.buffer[:size]
                    self.buffer = self.buffer[size + 2 :]
                    if size == 0:
                        break
            else:
                size = int([line for line in lines if line.startswith("content-length:")][0][15:])
                while len(self.buffer) < size:
                    self.fill()
                body, self.buffer = self.buffer[:size], self.buffer[size:]
        except OSError:
            return status, body, False
        self.answers += 1
        return status, body, True


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    runners = [StreamRunner(record, store, f"i-{n}", "model") for n in range(2)]
    routes = [
        route(
            "draft", "model", "streaming", public=True, resumable=True,
            **{"max-attempts": 3, "timeout-ms": 20000, "target-latency-ms": 3000, "gap-aim-ms": 1000},
        )
    ]
    store.write("config", "main", config(11, routes, ["model"], max_conns=MAX_CONNS))
    case.gates = gates = [Gate(case.folder, n, store) for n in range(2)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(STABLE_WINDOW_S + 1)

    stop = threading.Event()
    results = []
    lock = threading.Lock()

    def client(gate, number):
        channel = None
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"{gate.name}.{number}.{count}"
            is_kept = channel is not None
            try:
                channel = channel or KeptChannel(gate.ports["callers"])
                status, body, complete = channel.ask(attempt)
            except OSError as err:
                status, body, complete = str(err), b"", False
            pieces = body.count(b"data: ") if status == 200 else 0
            record.write(
                f"client: {attempt} kept={is_kept}: {status} pieces={pieces} complete={complete}"
            )
            with lock:
                results.append((attempt, is_kept, status, pieces, complete))
            if not complete or channel.closes:
                channel = None
            # A refused client comes back after a while.
            time.sleep(0.05 if status == 200 else 0.3)

    for gate in gates:
        for number in range(BURST if TROUBLE else USUAL):
            threading.Thread(target=client, args=(gate, number), daemon=True).start()
    time.sleep(12)
    stop.set()
    time.sleep(3)
    whole = set()
    for runner in runners:
        whole.update(runner.whole)
    lost = [r for r in results if r[1] and r[2] == 200 and not r[4] and r[0] in whole]
    every_piece = [r for r in lost if r[3] == EVENTS]
    served = sum(1 for r in results if r[4] and r[2] == 200)
    resets = sum(runner.resets for runner in runners)
    if not served:
        case.could_not_run("nothing was served")
    case.verdict(
        len(lost) > 3,
        f"requests from kept channels whose stream a runner sent whole, and whose channel the gate "
        f"closed without the end: {len(lost)} (of these {len(every_piece)} had every piece); served "
        f"{served}; channels that runners reset {resets}",
    )


Case.run(main)
