"""A toy setup server with a toy bulletin, to try the softswitch by hand: it answers every set-up.

    python -m examples.toy_server              # a server on 127.0.0.1:5090, the bulletin on 127.0.0.1:8500
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

    def say(message: Answer | GroupState | Release) -> None:
        with lock, contextlib.suppress(OSError):
            sock.sendall(codec.encode(message))

    say(GroupState(0, REPORT))
    while data := sock.recv(4096):
        for message in splitter.feed(data):
            click.echo(f"heard {message}")
            if isinstance(message, SetUp):
                say(Answer(message.call, b"v=0 toy"))
                over = Release(message.call, Reason.CLEARED, report=REPORT)
                threading.Timer(stands_s, say, (over,)).start()
            elif isinstance(message, Test):
                say(GroupState(message.call, REPORT))


def serve_bulletin(sock: socket.socket, dial: str) -> None:
    """One event, the first; a call that has it already is held until its patience is over."""
    host = {"host": "toy-1", "dial": dial, "site": "here", "class": "toy", "block": 0, "health": "Ready"}
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
@click.option("--port", default=5090, show_default=True, help="Where the setup server listens.")
@click.option("--bulletin-port", default=8500, show_default=True, help="Where the bulletin listens.")
@click.option("--stands-s", default=2.0, show_default=True, help="How long a call stands.")
def main(port: int, bulletin_port: int, stands_s: float) -> None:
    """Answer every set-up, on loopback only."""
    calls = socket.create_server(("127.0.0.1", port))
    bulletin = socket.create_server(("127.0.0.1", bulletin_port))
    port, bulletin_port = calls.getsockname()[1], bulletin.getsockname()[1]  # 0 lets the system choose

    def accept_bulletin() -> None:
        while True:
            sock = bulletin.accept()[0]
            threading.Thread(target=serve_bulletin, args=(sock, f"127.0.0.1:{port}"), daemon=True).start()

    threading.Thread(target=accept_bulletin, daemon=True).start()
    click.echo(f"setup server on 127.0.0.1:{port}, bulletin on 127.0.0.1:{bulletin_port}")
    while True:
        threading.Thread(target=serve_calls, args=(calls.accept()[0], stands_s), daemon=True).start()


if __name__ == "__main__":
    main()
