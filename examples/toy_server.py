"""A toy setup server with a toy pool list, to try the softswitch by hand: it answers every set-up.

    python -m examples.toy_server              # a server on 127.0.0.1:5090, the pool list on 127.0.0.1:8500
    python -m wickstep serve --config examples/config.json
    python -m wickstep call

A call stands for a while (`--stands-s`), then the server releases it. Nothing is measured or modelled here.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading

import click

from wickstep.net import Answer, GroupState, Reason, Release, SetUp, Test, codec

REPORT = {"free": 100.0, "size": 100.0, "hold_back": 0.0, "avg_ms": 1.0}


def serve_calls(sock: socket.socket, stands_s: float) -> None:
    splitter, lock = codec.Splitter(), threading.Lock()

    def send(message: Answer | GroupState | Release) -> None:
        with lock, contextlib.suppress(OSError):
            sock.sendall(codec.encode(message))

    send(GroupState(0, REPORT))
    while data := sock.recv(4096):
        for message in splitter.feed(data):
            click.echo(f"received {message}")
            if isinstance(message, SetUp):
                send(Answer(message.call, b"v=0 toy"))
                release = Release(message.call, Reason.CLEARED, report=REPORT)
                threading.Timer(stands_s, send, (release,)).start()
            elif isinstance(message, Test):
                send(GroupState(message.call, REPORT))


def serve_pool_list(sock: socket.socket, address: str) -> None:
    """Serves one event, the first list; a request from a client that has it is held for its `patience`."""
    host = {"host": "toy-1", "dial": address, "site": "here", "class": "toy", "block": 0, "health": "Ready"}
    event = {"no": 1, "roster": {"seq": 1, "whole": True, "hosts": [{**host, "share": 1, "born_ms": 0}]}}
    hold = threading.Event()
    while request := sock.recv(4096).decode():
        query = dict(pair.split("=") for pair in request.split(" ")[1].partition("?")[2].split("&"))
        items = [] if int(query["after"]) >= 1 else [event]
        if not items:
            hold.wait(int(query["patience"]) / 1000)
        body = json.dumps({"no": 1, "items": items})
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


@click.command()
@click.option("--port", default=5090, show_default=True, help="Port of the setup server.")
@click.option("--bulletin-port", default=8500, show_default=True, help="Port of the pool list (bulletin).")
@click.option("--stands-s", default=2.0, show_default=True, help="How long a call stands.")
def main(port: int, bulletin_port: int, stands_s: float) -> None:
    """Answer every set-up, on loopback only."""
    calls = socket.create_server(("127.0.0.1", port))
    pool_list = socket.create_server(("127.0.0.1", bulletin_port))
    port, bulletin_port = calls.getsockname()[1], pool_list.getsockname()[1]  # port 0: chosen by the system

    def accept_list_clients() -> None:
        while True:
            sock = pool_list.accept()[0]
            threading.Thread(target=serve_pool_list, args=(sock, f"127.0.0.1:{port}"), daemon=True).start()

    threading.Thread(target=accept_list_clients, daemon=True).start()
    click.echo(f"setup server on 127.0.0.1:{port}, bulletin on 127.0.0.1:{bulletin_port}")
    while True:
        threading.Thread(target=serve_calls, args=(calls.accept()[0], stands_s), daemon=True).start()


if __name__ == "__main__":
    main()
