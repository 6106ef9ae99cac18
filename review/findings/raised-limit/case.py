"""A raised limit on bodies is not in force for the next request of a channel that was idle."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

CLIENTS = 12
OLD_LIMIT = 65536
NEW_LIMIT = 131072
LARGE_BODY = 72000
IDLE_TIMEOUT_S = 15


def main():
    case = Case(__file__)
    record = case.record
    store = Store(record)
    runners = [Runner(record, store, f"i-{n}", "app") for n in range(2)]
    routes = [route("print", "app", "non_idempotent", public=True, **{"max-attempts": 1})]

    def write_config(version, max_body_bytes):
        spec = config(version, routes, ["app"])
        spec["limits"]["max-body-bytes"] = max_body_bytes
        store.write("config", "main", spec)
        record.write(f"operator: version {version}, max-body-bytes {max_body_bytes}, acknowledged")

    write_config(11, OLD_LIMIT if TROUBLE else NEW_LIMIT)
    case.gates = gates = [Gate(case.folder, n, store) for n in range(2)]
    for gate in gates:
        gate.start(gates, True)
    if not all(gate.wait_ready() for gate in gates):
        case.could_not_run("a gate is not ready")
    time.sleep(STABLE_WINDOW_S + 1)

    counts = {"requests": 0, "denied": 0, "served": 0}

    def ask(channel, attempt, size):
        counts["requests"] += 1
        status = channel.ask(
            "POST", "/print/x",
            {"X-Rosemarylift-Attempt-Id": attempt, "X-Rosemarylift-Deadline-Ms": "1500"}, b"x" * size,
        )
        counts["served"] += status == 200
        record.write(f"client: {attempt} with {size} bytes: {status}")
        return status

    channels = []
    for gate in gates:
        for number in range(CLIENTS):
            channel = KeptChannel(gate.ports["callers"])
            name = f"{gate.name}.{number}"
            if ask(channel, f"{name}.small", 600) != 200:
                case.could_not_run("a small request is not served")
            channels.append((gate, name, channel))
    if TROUBLE:
        write_config(12, NEW_LIMIT)
    acknowledged = now()
    # Well within four fifths of the idle time-out, and later than the time for a change.
    time.sleep(CONFIG_APPLY_S + 2)
    for gate, name, channel in channels:
        if ask(channel, f"{name}.large", LARGE_BODY) in (400, 401, 403, 404, 413, 431):
            counts["denied"] += 1
    fresh = {}
    for gate in gates:
        status = ask(KeptChannel(gate.ports["callers"]), f"{gate.name}.fresh", LARGE_BODY)
        fresh[gate.name] = status
    allowed = 5 + counts["requests"] / 500
    case.verdict(
        counts["denied"] > allowed,
        f"{counts['denied']} of {counts['requests']} requests denied with a 4xx of the gates' own, "
        f"{now() - acknowledged:.1f} s at most after the configuration in force allowed them "
        f"(more than {allowed:.1f} break the rule); the same request on a new channel: {fresh}",
    )


class KeptChannel:
    """A client's channel, which is kept for many requests."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self.sock.settimeout(10.0)

    def ask(self, method, target, headers, body):
        """Returns the status of the complete answer, or what broke."""
        text = f"{method} {target} HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: {len(body)}\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        try:
            self.sock.sendall(text.encode() + b"\r\n" + body)
        except OSError:
            pass  # An early answer may be there to read.
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                more = self.sock.recv(65536)
                if not more:
                    return "closed"
                data += more
            head, rest = data.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").lower().split("\r\n")
            size = int([line for line in lines if line.startswith("content-length:")][0][15:])
            while len(rest) < size:
                more = self.sock.recv(65536)
                if not more:
                    return "closed"
                rest += more
        except OSError as err:
            return str(err)
        return int(lines[0].split(" ")[1])


Case.run(main)
