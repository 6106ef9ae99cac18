"""A runner as a process of its own: streams events with neither a length nor chunks.

Usage: stream_runner.py PORT NAME EVENTS EVENT_S [NOTICE_S]

With NOTICE_S a worker process accepts and answers, and its parent ends that long after the worker has.
"""

import os
import socket
import sys
import threading
import time

from platform_stand_ins import HttpConnection


def serve(sock, name, events, event_s):
    connection = HttpConnection(sock)
    try:
        request = connection.read_request()
        if request is None:
            return
        _, target, headers, _ = request
        attempt = headers.get("x-rosemarylift-attempt-id", "")
        if target.startswith("/healthz"):
            connection.answer(200, {"X-Rosemarylift-Instance-Id": name}, b"{}")
            return
        if headers.get("x-rosemarylift-target-instance", name) != name:
            connection.answer(421, {"X-Rosemarylift-Attempt-Id": attempt, "Connection": "close"}, b"")
            return
        first = int(headers.get("last-event-id", "0")) + 1
        print(f"{name} runs {attempt} from {first}", flush=True)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            + f"X-Rosemarylift-Attempt-Id: {attempt}\r\n".encode()
            + f"X-Rosemarylift-Response-Seal: seal.{attempt}\r\n\r\n".encode()
        )
        for number in range(first, events + 1):
            time.sleep(event_s)
            if connection.peer_closed():
                return
            sock.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
        print(f"{name} ended {attempt} after {events}", flush=True)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass
    finally:
        connection.close()


def end_with_parent(parent):
    while os.getppid() == parent:
        time.sleep(0.1)
    os._exit(0)


def main():
    port, name, events, event_s = sys.argv[1:5]
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", int(port)))
    listener.listen(128)
    if len(sys.argv) > 5:
        worker = os.fork()
        if worker:
            print(f"worker {worker}", flush=True)
            os.waitpid(worker, 0)
            time.sleep(float(sys.argv[5]))
            return
        threading.Thread(target=end_with_parent, args=(os.getppid(),), daemon=True).start()
    print(f"{name} listens", flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        args = (sock, name, int(events), float(event_s))
        threading.Thread(target=serve, args=args, daemon=True).start()


main()
