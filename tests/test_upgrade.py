"""Upgrades in service: real processes on one inherited socket, under load, with faults in the handover.

Callers keep calling on connections that stay while they may, two setup servers answer, and the rules are read
from what crossed the sockets. Each story ends only processes that it started.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from wickstep.net import (
    Answer,
    GroupState,
    MalformedMessage,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    codec,
    links,
)
from wickstep.operation import operator_server

from .checker import Checker
from .test_softswitch import LINES, TIMEOUT_S, Bulletin, list_line, wait_for
from .test_softswitch import Server as Listening
from .test_wire import CONF

ROOT = Path(__file__).parent.parent
CALL_EVERY_S = 0.02
CROSSED_S = 0.05  # so soon after its set-up a close has crossed it
HOLD_S = 0.4  # how long a call stands


class SetUpServer:
    """Answers each set-up at once and releases it after a while, on any open connection."""

    def __init__(self, host: str, checker: Checker) -> None:
        self.host, self.checker, self.server = host, checker, Listening()
        self.server.sock.settimeout(None)
        self.lock = threading.Lock()
        self.open: list[socket.socket] = []
        self.standing: dict[int, socket.socket] = {}
        self.unheard: set[int] = set()  # releases that nobody has confirmed: said again on the next
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            sock, _ = self.server.sock.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def say(self, sock: socket.socket, *messages: Any) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(b"".join(codec.encode(message) for message in messages))

    def serve(self, sock: socket.socket) -> None:
        splitter = codec.Splitter()
        self.say(sock, GroupState(0, LINES))
        with self.lock:
            self.open.append(sock)
            again = [Release(call, Reason.CLEARED) for call in self.unheard]
        self.say(sock, *again)
        with contextlib.suppress(OSError, MalformedMessage):
            while data := sock.recv(4096):
                for message in splitter.feed(data):
                    self.heard(sock, message)
        with self.lock:
            self.open.remove(sock)

    def heard(self, sock: socket.socket, message: Any) -> None:
        if isinstance(message, Test):
            self.say(sock, GroupState(message.call, LINES))
        elif isinstance(message, SetUp):
            self.checker.record_attempt(message.call, self.host)
            self.checker.record_attempt_end(message.call, self.host, "stands")
            with self.lock:
                self.standing[message.call] = sock
            self.say(sock, Answer(message.call, b"accept"))
            timer = threading.Timer(HOLD_S, self.over, (message.call,))
            timer.daemon = True
            timer.start()
        elif isinstance(message, Release | ReleaseComplete):
            with self.lock:
                self.standing.pop(message.call, None)
                self.unheard.discard(message.call)

    def over(self, call: int) -> None:
        with self.lock:
            sock = self.standing.pop(call, None)
            self.unheard |= {call} if sock is not None else set()
            if sock not in self.open:  # its connection has gone with its process
                sock = next(iter(self.open), None)
        if sock is not None:
            self.say(sock, Release(call, Reason.CLEARED))


class Caller:
    """Calls again and again on one connection, a new one where that has closed, and keeps count."""

    def __init__(self, where: tuple[str, int], number: int, checker: Checker) -> None:
        self.where, self.checker = where, checker
        self.ids = iter(range(number << 32 | 1, number << 32 | 0xFFFF))
        self.random = random.Random(number)
        self.stop = threading.Event()
        self.stood: set[int] = set()
        self.over: set[int] = set()
        self.at_the_door = 0  # refused or reset connections, and such as closed under a call
        self.crossed = 0  # a call that is sent again, once, on the next connection
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stop.is_set() or self.crossed:
            try:
                sock = socket.create_connection(self.where, timeout=TIMEOUT_S)
            except OSError:
                self.at_the_door += 1
                self.stop.wait(0.05)
                continue
            with sock:
                self.converse(sock)

    def ask(self, sock: socket.socket, call: int) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(codec.encode(SetUp(call, "voice", 2000, "7", b"offer", first_choice=0)))

    def converse(self, sock: socket.socket) -> None:
        splitter = codec.Splitter()
        open_call, due, until = self.crossed, time.monotonic(), time.monotonic() + 3
        if open_call:
            self.ask(sock, open_call)
        while not self.stop.is_set() or open_call:
            now = time.monotonic()
            if open_call and now > until:
                return  # the checker sees that no answer came
            try:
                if not open_call and now >= due:
                    open_call, until = next(self.ids), now + 3
                    self.checker.record_set_up(open_call, 2.0)
                    self.ask(sock, open_call)
                sock.settimeout(0.01)
                data = sock.recv(4096)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                if open_call:  # it crossed the close, or was lost with it
                    self.at_the_door += 1
                    again = open_call != self.crossed and time.monotonic() < until - 3 + CROSSED_S
                    if not again:
                        self.checker.record_left(open_call)
                    self.crossed = open_call if again else 0
                return
            self.crossed = 0
            for message in splitter.feed(data):
                if isinstance(message, Answer | Release) and message.call == open_call:
                    kind = "stands" if isinstance(message, Answer) else message.reason.value
                    self.checker.record_final(open_call, kind)
                    if kind == "stands":
                        self.stood.add(open_call)
                    open_call, due = 0, time.monotonic() + CALL_EVERY_S * self.random.random() * 2
                elif isinstance(message, Release):
                    self.over.add(message.call)
                    with contextlib.suppress(OSError):
                        sock.sendall(codec.encode(ReleaseComplete(message.call)))


class Process:
    """One `serve`, started by the story."""

    def __init__(self, place: Place) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.operators = f"127.0.0.1:{free.getsockname()[1]}"
        environment = {
            **os.environ,
            "ROUTER_ACCEPT_FD": str(place.held.fileno()),
            "ROUTER_OPERATOR": self.operators,
            "TMPDIR": str(place.shared),
        }
        command = [sys.executable, "-m", "wickstep", "serve", "--config", str(place.path)]
        self.log = place.shared.parent / f"{len(place.running)}.log"
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stderr=log, pass_fds=[place.held.fileno()]
            )
        place.running.append(self)

    def ready(self) -> bool:
        try:
            return operator_server.send_command(self.operators, "STATUS", 1.0) == ["SUCCESS serving"]
        except OSError:
            return False

    def signal(self, which: signal.Signals) -> None:
        self.child.send_signal(which)


class Place:
    """The platform: the held socket, the folder, the configuration, setup servers and callers."""

    def __init__(self, folder: Path) -> None:
        self.held = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.shared = folder / "shared"
        self.shared.mkdir()
        self.path = folder / "config.json"
        self.checker = Checker()
        self.running: list[Process] = []
        self.callers: list[Caller] = []
        servers = [SetUpServer(f"s-{number}", self.checker) for number in range(2)]
        hosts = [list_line(one.server, one.host, number) for number, one in enumerate(servers)]
        self.bulletin = Bulletin()
        conf = json.loads(json.dumps(CONF))
        conf["classes"][0].update({"name": "voice", "give_up_ns": 2_000_000_000})
        conf["family_info"]["release_ns"] = 200_000_000
        conf["stats"] = {"columns": ["free", "size", "hold_back", "avg_ms"]}
        known = {"no": 1, "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}]}
        host, port = self.held.getsockname()
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0", "listen": f"{host}:{port}", "seed": "8c1f30d27a5be964", "settings": conf,
                    "bulletin": self.bulletin.dial, "known": known, "limits": {"sockets": 256},
                }
            )
        )  # fmt: skip

    def start(self) -> Process:
        process = Process(self)
        wait_for(process.ready)
        return process

    def call(self, callers: int = 6) -> None:
        self.callers = [Caller(self.held.getsockname(), n + 1, self.checker) for n in range(callers)]

    def served(self) -> int:
        return sum(len(caller.stood) for caller in self.callers)

    def over(self) -> set[int]:
        return {call for caller in self.callers for call in caller.over}

    def goes_on(self, more: int = 60) -> None:
        before = self.served()
        wait_for(lambda: self.served() >= before + more)

    def rest(self) -> None:
        for caller in self.callers:
            caller.stop.set()
        for caller in self.callers:
            caller.thread.join(TIMEOUT_S)

    def close(self) -> None:
        self.rest()
        for process in self.running:
            with contextlib.suppress(ProcessLookupError):
                process.signal(signal.SIGCONT)
            process.child.kill()
            process.child.wait(TIMEOUT_S)
        self.held.close()

    @property
    def at_the_door(self) -> int:
        return sum(caller.at_the_door for caller in self.callers)


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    made = Place(tmp_path)
    yield made
    made.close()


def folder(place: Place) -> Path:
    return place.shared / "wickstep-n0"


def test_an_upgrade_under_load_loses_no_call_and_tells_of_every_end(place: Place) -> None:
    old = place.start()
    place.call()
    place.goes_on()
    wait_for((folder(place) / "learned").exists)
    new = place.start()
    assert "starting with what was learned of 2 servers" in new.log.read_text()
    wait_for(lambda: "2 processes share" in old.log.read_text())
    wait_for(lambda: any(file.read_bytes() == b"r" for file in folder(place).glob(f"*-{new.child.pid}.life")))
    time.sleep(0.3)  # until the old one has looked
    old.signal(signal.SIGTERM)
    assert old.child.wait(TIMEOUT_S) == 0
    assert "handing over" in old.log.read_text()
    place.goes_on()
    wait_for(lambda: "has left" in new.log.read_text())
    place.rest()
    ended = {call for caller in place.callers for call in caller.stood}
    assert place.checker.find_violations() == []
    assert place.at_the_door <= len(place.callers)  # a connection that closes crosses one call at most
    assert len(ended) > 120
    last = Caller(place.held.getsockname(), 99, place.checker)  # whoever calls hears of ends that waited
    place.callers.append(last)
    wait_for(lambda: ended <= place.over())


@pytest.mark.parametrize(
    "fault",
    ["old killed", "new killed", "old stalled", "new stalled", "old killed in handover", "no successor"],
)
def test_a_fault_in_the_handover_costs_no_more_than_it_must(place: Place, fault: str) -> None:
    old = place.start()
    place.call()
    place.goes_on(20)
    if fault == "no successor":
        old.signal(signal.SIGTERM)  # whoever comes waits at the held socket
        assert old.child.wait(TIMEOUT_S) == 0
        new = place.start()
        assert "stopping" in old.log.read_text()
    else:
        new = place.start()
        time.sleep(0.5)
    match fault:
        case "old killed":
            old.child.kill()  # without a word: what was open there is lost with it
        case "new killed":
            new.child.kill()
            new.child.wait(TIMEOUT_S)
            time.sleep(0.5)
            assert operator_server.send_command(old.operators, "STATUS")[0] == "SUCCESS serving"
        case "old stalled":
            old.signal(signal.SIGTERM)
            old.signal(signal.SIGSTOP)
            time.sleep(0.5)
            old.signal(signal.SIGCONT)
            assert old.child.wait(TIMEOUT_S) == 0
        case "new stalled":
            new.signal(signal.SIGSTOP)
            old.signal(signal.SIGTERM)
            time.sleep(0.5)
            new.signal(signal.SIGCONT)
            assert old.child.wait(TIMEOUT_S) == 0
        case "old killed in handover":
            old.signal(signal.SIGTERM)
            time.sleep(0.1)
            old.child.kill()
    place.goes_on()
    place.rest()
    assert place.checker.find_violations() == []
    assert place.at_the_door <= 2 * len(place.callers)  # each connection of either process closes once


@pytest.mark.parametrize("spoilt", ["noise", "cut", "foreign", "old", "no folder"])
def test_a_spoilt_folder_costs_the_learning_only(place: Place, spoilt: str) -> None:
    kept = folder(place) / "learned"
    match spoilt:
        case "noise":
            kept.parent.mkdir(0o700)
            kept.write_bytes(random.Random(1).randbytes(5000))
        case "cut" | "old":
            first = place.start()
            wait_for(kept.exists)
            first.child.kill()
            first.child.wait(TIMEOUT_S)
            whole = kept.read_bytes()
            kept.write_bytes(whole[: len(whole) // 2] if spoilt == "cut" else whole)
            if spoilt == "old":
                from wickstep.recovery import envelope

                content = envelope.unpack("learned", whole)
                envelope.write(kept, "learned", {**content, "at": max(content["at"] - 60 * 10**9, 0)})
        case "foreign":
            (place.shared / "elsewhere").mkdir()
            kept.parent.symlink_to(place.shared / "elsewhere")
        case "no folder":
            place.shared.rmdir()
    process = place.start()
    log = process.log.read_text()
    assert "starting with what was learned" not in log
    assert ("nothing is shared" if spoilt in ("foreign", "no folder") else "is not used") in log
    place.call(2)
    place.goes_on(10)
    place.rest()
    process.signal(signal.SIGTERM)
    assert process.child.wait(TIMEOUT_S) == 0
    assert place.checker.find_violations() == []


def test_operators_are_answered_by_each_process_at_its_own_address(place: Place) -> None:
    old, new = place.start(), place.start()
    assert operator_server.send_command(old.operators, "PAUSE") == ["SUCCESS draining"]
    assert operator_server.send_command(old.operators, "STATUS") == ["FAILURE paused"]
    assert operator_server.send_command(new.operators, "STATUS") == ["SUCCESS serving"]
    with socket.create_connection(links.parse_address(old.operators)) as sock:
        sock.sendall(b"METRICS\n")
        assert sock.recv(100).startswith(b"svc_results{")
