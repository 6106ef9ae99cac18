"""A model runner as a process of its own, which ends when it begins to write an answer on a bad part.

Usage: prompt_runner.py PORT NAME EVENTS EVENT_S BAD_PART WRITTEN

WRITTEN: how much of that answer it has written when it ends: none, line (a part of the head), head, event.
Prints a line for each request that it begins.
"""

import os
import socket
import sys
import threading
import time

from platform_stand_ins import HttpConnection

PORT, NAME, EVENTS, EVENT_S, BAD_PART, WRITTEN = sys.argv[1:7]
EVENTS = int(EVENTS)
EVENT_S = float(EVENT_S)


def serve(sock):
    connection = HttpConnection(sock)
    try:
        while answer(connection):
            pass
    except OSError:
        pass
    finally:
        connection.close()


def answer(connection):
    request = connection.read_request()
    if request is None:
        return False
    _, target, headers, _ = request
    attempt = headers.get("x-rosemarylift-attempt-id", "")
    if target.startswith("/healthz"):
        connection.answer(200, {"X-Rosemarylift-Instance-Id": NAME}, b"{}")
        return True
    if headers.get("x-rosemarylift-target-instance", NAME) != NAME:
        connection.answer(421, {"X-Rosemarylift-Attempt-Id": attempt}, b"")
        return True
    first = int(headers.get("last-event-id", "0")) + 1
    parts = [entry.split(":")[0] for entry in headers.get("x-rosemarylift-prompt-prefix", "").split(",")]
    is_bad = BAD_PART in parts
    print(f"{time.time():.3f} {NAME} begins {attempt} from {first} bad={is_bad}", flush=True)
    time.sleep(0.02)
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"X-Rosemarylift-Attempt-Id: {attempt}\r\nX-Rosemarylift-Response-Seal: seal.{attempt}\r\n"
        "Keep-Alive: timeout=30\r\n\r\n"
    ).encode()
    if is_bad:
        if WRITTEN == "line":
            connection.sock.sendall(head[:40])
        elif WRITTEN in ("head", "event"):
            connection.sock.sendall(head)
        if WRITTEN == "event":
            connection.sock.sendall(chunk(f"id: {first}\ndata: piece {first}\n\n"))
        print(f"{time.time():.3f} {NAME} crashes under {attempt}", flush=True)
        os._exit(139)
    connection.sock.sendall(head)
    for number in range(first, EVENTS + 1):
        if connection.peer_closed():
            return False
        connection.sock.sendall(chunk(f"id: {number}\ndata: piece {number}\n\n"))
        time.sleep(EVENT_S)
    connection.sock.sendall(b"0\r\n\r\n")
    return True


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n".encode()


def end_with_parent(parent):
    while os.getppid() == parent:
        time.sleep(0.1)
    os._exit(0)


def main():
    threading.Thread(target=end_with_parent, args=(os.getppid(),), daemon=True).start()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", int(PORT)))
    listener.listen(512)
    print(f"{time.time():.3f} {NAME} listens", flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
