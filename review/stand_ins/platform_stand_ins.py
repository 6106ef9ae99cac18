"""Stand-ins for the platform's store, its runners and clients, and a starter of gate processes.

They follow PROTOCOL.md; where a page is silent they behave like a sound store, runner or client.
Standard library only. All addresses are loopback addresses with free ports.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATE = os.path.join(TOP, "target", "release", "rosemary-gate")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()

# Bounds of the sheet of shrestha-kiosk.
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
GRACE_S = 8
BEAT_S = 1.2


def now():
    """Returns the seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.write(f"TROUBLE={1 if TROUBLE else 0}")

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


def free_port(taken=set()):
    """Returns a free port below the range of outgoing connections that was not returned before."""
    import random

    while True:
        port = random.randrange(12000, 30000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class HttpConnection:
    """Server side of one connection: reads requests and writes answers."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def read_request(self):
        """Returns method, target, headers (lower case) and body, or None at the end."""
        try:
            while b"\r\n\r\n" not in self.buffer:
                self.read_more()
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = {}
            for line in lines[1:]:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            while len(self.buffer) < length:
                self.read_more()
            body, self.buffer = self.buffer[:length], self.buffer[length:]
            return method, target, headers, body
        except (ConnectionError, OSError, ValueError):
            return None

    def peer_closed(self):
        """Returns whether the other side has closed or reset the connection."""
        try:
            data = self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return data == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def answer(self, status, headers, body):
        text = f"HTTP/1.1 {status} X\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        text += f"Content-Length: {len(body)}\r\n\r\n"
        self.sock.sendall(text.encode("latin-1") + body)

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


class Server:
    """Accepts connections, each of which is served by a thread."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.listener = None

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(512)
        threading.Thread(target=self.accept_all, args=(self.listener,), daemon=True).start()

    def accept_all(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(sock,), daemon=True).start()

    def serve_quietly(self, sock):
        connection = HttpConnection(sock)
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def serve(self, connection):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, one revision counter, watches, Store-Era."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.revision = 1
        self.era = 1
        self.objects = {}  # (kind, name) -> object with revision, created, spec, status, deleted
        self.away = False
        self.listen()

    # What the operator and the runners write. The return is the acknowledgement.
    def write(self, kind, name, spec):
        with self.lock:
            old = self.objects.get((kind, name))
            if old and not old["deleted"] and old["spec"] == spec:
                return old["revision"]
            status = old["status"] if old and not old["deleted"] else None
            return self.put(kind, name, spec, status, False)

    def remove(self, kind, name):
        with self.lock:
            old = self.objects.get((kind, name))
            if old and not old["deleted"]:
                self.put(kind, name, None, None, True)

    def put(self, kind, name, spec, status, deleted):
        with self.lock:
            old = self.objects.get((kind, name))
            self.revision += 1
            created = old["created"] if old and not old["deleted"] else self.revision
            self.objects[kind, name] = {
                "revision": self.revision, "created": created, "spec": spec, "status": status,
                "deleted": deleted,
            }
            self.changed.notify_all()
            return self.revision

    def copy(self):
        with self.lock:
            return self.revision, {key: dict(value) for key, value in self.objects.items()}

    def go_away(self):
        with self.lock:
            self.away = True
            self.changed.notify_all()

    def return_from(self, copy):
        """Ends the absence with a copy, or with what the store holds if it is None."""
        with self.lock:
            if copy is not None:
                self.revision = copy[0]
                self.objects = {key: dict(value) for key, value in copy[1].items()}
                self.era += 1
            self.away = False
            self.changed.notify_all()

    @staticmethod
    def document(name, entry):
        return {
            "metadata": {
                "name": name, "revision": entry["revision"], "created-rev": entry["created"],
                "finalizers": [], "deleting": False,
            },
            "spec": entry["spec"], "status": entry["status"],
        }

    def serve(self, connection):
        while True:
            request = connection.read_request()
            if request is None:
                return
            method, target, headers, body = request
            if self.away:
                status, value = 503, {}
            else:
                status, value = self.execute(method, target, body)
                if self.away and status == 200 and method == "GET":
                    status, value = 503, {}
            if status is None:
                return
            text = json.dumps(value).encode()
            fields = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            connection.answer(status, fields, text)
            if headers.get("connection", "").lower() == "close":
                return

    def execute(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix("/-/objects/").split("/")
        value = json.loads(body) if body else {}
        with self.lock:
            if method == "GET" and len(parts) == 1:
                if "watch" in query:
                    return self.watch(parts[0], int(query["watch"]), int(query.get("wait-ms", 0)))
                return self.list(parts[0], query.get("after", ""))
            if method == "GET" and len(parts) == 2:
                entry = self.objects.get((parts[0], parts[1]))
                if entry is None or entry["deleted"]:
                    return 404, {}
                return 200, self.document(parts[1], entry)
            return self.change(method, parts, query, value)

    def list(self, kind, after):
        names = sorted(n for (k, n), e in self.objects.items() if k == kind and not e["deleted"])
        names = [name for name in names if name > after]
        page = names[:500]
        items = [self.document(name, self.objects[kind, name]) for name in page]
        return 200, {"items": items, "more": len(names) > len(page), "current-rev": self.revision}

    def watch(self, kind, since, wait_ms):
        era = self.era
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            if self.away:
                return 503, {}
            if since > self.revision or self.era != era:
                return 410, {}
            events = [
                (entry["revision"], name, entry)
                for (k, name), entry in self.objects.items()
                if k == kind and entry["revision"] > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                events.sort(key=lambda event: event[0])
                found = [
                    {"object": self.document(name, entry), "deleted": entry["deleted"]}
                    for _, name, entry in events
                ]
                return 200, {"events": found, "current-rev": self.revision}
            self.changed.wait(left)

    def change(self, method, parts, query, value):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else value["metadata"]["name"]
        entry = self.objects.get((kind, name))
        if entry is not None and entry["deleted"]:
            entry = None
        expected = value.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST":
            if entry is not None:
                return 409, self.document(name, entry)
            self.put(kind, name, value.get("spec"), None, False)
        elif entry is None:
            return 404, {}
        elif expected is not None and int(expected) != entry["revision"]:
            return 409, self.document(name, entry)
        elif method == "PUT" and len(parts) == 3:
            if entry["status"] != value.get("status"):
                self.put(kind, name, entry["spec"], value.get("status"), False)
        elif method == "PUT":
            if entry["spec"] != value.get("spec"):
                self.put(kind, name, value.get("spec"), entry["status"], False)
        elif method == "DELETE":
            self.put(kind, name, None, None, True)
        else:
            return 405, {}
        self.record.write(f"store: system {method} {'/'.join(parts)} {json.dumps(value.get('status'))}")
        return 200, self.document(name, self.objects[kind, name])


class StoreView(Server):
    """The store as one gate sees it, with the addresses by which it reaches the runners."""

    def __init__(self, store, addrs):
        super().__init__()
        self.store = store
        self.addrs = addrs
        self.listen()

    def serve(self, connection):
        while True:
            request = connection.read_request()
            if request is None:
                return
            method, target, headers, body = request
            status, value = self.store.execute(method, target, body)
            value = json.loads(json.dumps(value))
            items = value.get("items", []) + [event["object"] for event in value.get("events", [])]
            for item in items + [value]:
                name = item.get("metadata", {}).get("name")
                if name in self.addrs and item.get("spec"):
                    item["spec"]["address"] = self.addrs[name]
            text = json.dumps(value).encode()
            fields = {"Content-Type": "application/json", "Store-Era": str(self.store.era)}
            connection.answer(status, fields, text)
            if headers.get("connection", "").lower() == "close":
                return


class Runner(Server):
    """A runner of a plain service. `handle` may be replaced by a case."""

    def __init__(self, record, store, name, service, zone="hall-a", version="v1", slots=64):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.entry = {
            "service": service, "address": self.addr, "zone": zone, "version": version,
            "slots": slots, "state": "ready", "cold-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.beats = True
        self.beat_count = 0
        self.runs = []  # (time, id, path, headers)
        self.runs_lock = threading.Lock()
        self.listen()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        """Writes its entry every heartbeat; only a change beyond `sequence` changes the entry."""
        while True:
            if self.beats and not self.store.away:
                self.store.write("servers", self.name, dict(self.entry))
            self.beat_count += 1
            time.sleep(BEAT_S)

    def note_run(self, path, headers):
        attempt = headers.get("x-rosemarylift-attempt-id", "")
        with self.runs_lock:
            self.runs.append((now(), attempt, path, headers))
        tenant = headers.get("x-rosemarylift-tenant")
        self.record.write(f"runner {self.name}: runs {attempt} {path} tenant={tenant}")

    def common(self, headers):
        return {
            "X-Rosemarylift-Attempt-Id": headers.get("x-rosemarylift-attempt-id", ""),
            "Keep-Alive": "timeout=30",
        }

    def serve(self, connection):
        while True:
            request = connection.read_request()
            if request is None:
                return
            method, target, headers, body = request
            if target.startswith("/healthz"):
                fields = {"X-Rosemarylift-Instance-Id": self.name}
                connection.answer(200, fields, b"{}")
                continue
            wanted = headers.get("x-rosemarylift-target-instance")
            if wanted not in (None, self.name):
                connection.answer(421, self.common(headers), b"")
                continue
            self.handle(connection, method, target, headers, body)

    def handle(self, connection, method, target, headers, body):
        self.note_run(target, headers)
        time.sleep(0.015)
        fields = self.common(headers)
        fields["X-Rosemarylift-Response-Seal"] = f"seal.{fields['X-Rosemarylift-Attempt-Id']}"
        connection.answer(200, fields, f"run by {self.name}".encode())


class Gate:
    """One gate process, started with the command of the deploy file."""

    def __init__(self, folder, number, store, zone="hall-a"):
        self.name = f"front-{number}"
        self.folder = folder
        self.zone = zone
        self.store = store
        self.ports = {
            name: free_port()
            for name in ("callers", "ready", "peers", "directory", "carried", "metrics")
        }
        self.process = None

    def addr(self, name):
        return f"127.0.0.1:{self.ports[name]}"

    def start(self, gates, first):
        """Starts the process with settings as the template of the deploy file gives them."""
        peers = ",".join(f'"{gate.addr("peers")}"' for gate in gates[:3])
        settings = f"""name = "{self.name}"
zone = "{self.zone}"
peers = [{peers}]
first_start = {"true" if first else "false"}
store = "{self.store.addr}"
stop_s = {GRACE_S}
drain_ms = 2000
bad_version_share = 0.15
bad_version_floor = 30.0
metrics_port = {self.ports["metrics"]}

[listen]
callers = "{self.addr("callers")}"
ready = "{self.addr("ready")}"
peers = "{self.addr("peers")}"
directory = "{self.addr("directory")}"
carried = "{self.addr("carried")}"

[repeats]
ratio = 0.9
floor = 52
window_s = 10
"""
        path = os.path.join(self.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "ROSEMARYLIFT_SETTINGS": path}
        self.process = subprocess.Popen([GATE], env=env, cwd=TOP, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            return call(self.ports["ready"], "GET", "/-/ready", {}, timeout=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except OSError:
                pass
            self.process.wait()


def call(port, method, target, headers, body=b"", timeout=30.0):
    """Sends a request over a new connection; returns status, headers (lower case) and body."""
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
        sock.settimeout(timeout)
        text = f"{method} {target} HTTP/1.1\r\n"
        fields = {"Host": "kiosk.example", **headers, "Connection": "close"}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        for name, value in fields.items():
            text += f"{name}: {value}\r\n"
        sock.sendall(text.encode("latin-1") + b"\r\n" + body)
        data = b""
        while True:
            more = sock.recv(65536)
            if not more:
                break
            data += more
    if b"\r\n\r\n" not in data:
        raise ConnectionError("no answer")
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    found = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        found[name.strip().lower()] = value.strip()
    if "content-length" in found and len(rest) < int(found["content-length"]):
        raise ConnectionError("answer cut short")
    return int(lines[0].split(" ")[1]), found, rest


def route(name, service, kind="idempotent", **more):
    return {
        "name": name, "hostname": "kiosk.example", "path-prefix": f"/{name}/", "kind": kind,
        "timeout-ms": 6000, "target-latency-ms": 100, "service": service, "max-attempts": 2,
        "priority": 2, **more,
    }


def config(version, routes, services, tenants=None, max_conns=96):
    found = {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "health-path": "/healthz", "max-conns": max_conns} for name in services
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    if tenants is not None:
        found["tenants"] = tenants
    return found


class Case:
    """Folder, record and processes of a case; ends all processes that it started."""

    current = None

    @staticmethod
    def run(main):
        """Runs a case. An error of the script itself is no verdict."""
        try:
            main()
        except BaseException as err:  # noqa: B036
            if Case.current is None:
                print(f"could not run: {err!r}")
                os._exit(2)
            Case.current.could_not_run(repr(err))

    def __init__(self, file):
        Case.current = self
        self.record = Record(os.path.dirname(os.path.abspath(file)))
        self.folder = tempfile.mkdtemp(prefix="rosemary-review-")
        self.gates = []
        self.extra = []
        self.is_over = False
        signal.signal(signal.SIGTERM, lambda *_: self.could_not_run("out of time"))

    def could_not_run(self, why):
        self.is_over = True
        self.record.write(f"could not run: {why}")
        self.end()
        print(f"could not run: {why}")
        os._exit(2)

    def verdict(self, is_broken, text):
        self.is_over = True
        word = "BROKEN" if is_broken else "held"
        self.record.write(f"{word}: {text}")
        self.end()
        print(f"{word}: {text}")
        os._exit(1 if is_broken else 0)

    def end(self):
        for gate in self.gates:
            gate.end()
        for process in self.extra:
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27


def drop_all(sock):
    """Drops all packets that arrive for a socket, as a partition does: none is acknowledged."""
    import ctypes
    import struct

    code = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))  # return 0
    sock.setsockopt(
        socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(code))
    )


def drop_none(sock):
    """Ends `drop_all`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


class LinkProxy(Server):
    """The link to one runner. While it is cut nothing passes and no packet is acknowledged; what was
    sent meanwhile, the end of a channel too, passes when the cut is over."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.link = threading.Condition()
        self.is_cut = False
        self.open = []
        self.listen()

    def cut(self):
        with self.link:
            self.is_cut = True
            drop_all(self.listener)
            for sock in self.open:
                drop_all(sock)

    def heal(self):
        with self.link:
            drop_none(self.listener)
            for sock in self.open:
                drop_none(sock)
            self.is_cut = False
            self.link.notify_all()

    def refuse(self):
        """Refuses new channels until `listen`; those that are open live on."""
        # Closing alone does not end an accept that waits.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def serve_quietly(self, sock):
        with self.link:
            while self.is_cut:
                self.link.wait()
            self.open.append(sock)
        try:
            other = socket.create_connection(("127.0.0.1", self.target_port), timeout=1.0)
        except OSError:
            # The runner's host refuses the connection.
            import struct

            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.forget(sock)
            sock.close()
            return
        other.settimeout(None)
        pumps = [
            threading.Thread(target=self.pump, args=pair, daemon=True)
            for pair in ((sock, other), (other, sock))
        ]
        for thread in pumps:
            thread.start()
        for thread in pumps:
            thread.join()
        self.forget(sock)
        sock.close()
        other.close()

    def forget(self, sock):
        with self.link:
            if sock in self.open:
                self.open.remove(sock)

    def pump(self, source, target):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            with self.link:
                while self.is_cut:
                    self.link.wait()
            try:
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
            except OSError:
                return
