"""Upgrades in service: real processes on one inherited socket, under load, with faults in the handover.

Callers keep calling on persistent connections, two setup servers answer, and the checker judges from the
messages on the sockets. Each test ends only processes that it started.
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
from .test_softswitch import Server as ListeningSocket
from .test_wire import CONF

ROOT = Path(__file__).parent.parent
MEAN_CALL_GAP_S = 0.02
CLOSE_RACE_S = 0.05  # a close that comes this soon after a set-up may have crossed it
HOLDING_TIME_S = 0.4  # of an established call


class SetUpServer:
    """Answers each set-up at once and releases it after a while, on any open connection."""

    def __init__(self, host: str, checker: Checker) -> None:
        self.host, self.checker, self.server = host, checker, ListeningSocket()
        self.server.sock.settimeout(None)
        self.lock = threading.Lock()
        self.open_sockets: list[socket.socket] = []
        self.standing: dict[int, socket.socket] = {}
        self.unconfirmed: set[int] = set()  # releases to repeat on the next connection
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            sock, _ = self.server.sock.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def send(self, sock: socket.socket, *messages: Any) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(b"".join(codec.encode(message) for message in messages))

    def serve(self, sock: socket.socket) -> None:
        splitter = codec.Splitter()
        self.send(sock, GroupState(0, LINES))
        with self.lock:
            self.open_sockets.append(sock)
            retry = [Release(call, Reason.CLEARED) for call in self.unconfirmed]
        self.send(sock, *retry)
        with contextlib.suppress(OSError, MalformedMessage):
            while data := sock.recv(4096):
                for message in splitter.feed(data):
                    self.handle_message(sock, message)
        with self.lock:
            self.open_sockets.remove(sock)

    def handle_message(self, sock: socket.socket, message: Any) -> None:
        if isinstance(message, Test):
            self.send(sock, GroupState(message.call, LINES))
        elif isinstance(message, SetUp):
            self.checker.record_attempt(message.call, self.host)
            self.checker.record_attempt_end(message.call, self.host, "stands")
            with self.lock:
                self.standing[message.call] = sock
            self.send(sock, Answer(message.call, b"accept"))
            timer = threading.Timer(HOLDING_TIME_S, self.release_call, (message.call,))
            timer.daemon = True
            timer.start()
        elif isinstance(message, Release | ReleaseComplete):
            with self.lock:
                self.standing.pop(message.call, None)
                self.unconfirmed.discard(message.call)

    def release_call(self, call: int) -> None:
        with self.lock:
            sock = self.standing.pop(call, None)
            self.unconfirmed |= {call} if sock is not None else set()
            if sock not in self.open_sockets:  # closed with its process
                sock = next(iter(self.open_sockets), None)
        if sock is not None:
            self.send(sock, Release(call, Reason.CLEARED))


class Caller:
    """Calls repeatedly on one connection, connects again when it is closed, and counts."""

    def __init__(self, address: tuple[str, int], number: int, checker: Checker) -> None:
        self.address, self.checker = address, checker
        self.ids = iter(range(number << 32 | 1, number << 32 | 0xFFFF))
        self.random = random.Random(number)
        self.stop_event = threading.Event()
        self.established: set[int] = set()
        self.released: set[int] = set()
        self.failed_connections = 0  # refused or reset, or closed during a call
        self.pending_retry = 0  # the call to send once more on the next connection; 0: none
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stop_event.is_set() or self.pending_retry:
            try:
                sock = socket.create_connection(self.address, timeout=TIMEOUT_S)
            except OSError:
                self.failed_connections += 1
                self.stop_event.wait(0.05)
                continue
            with sock:
                self.call_repeatedly(sock)

    def send_set_up(self, sock: socket.socket, call: int) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(codec.encode(SetUp(call, "voice", 2000, "7", b"offer", first_choice=0)))

    def call_repeatedly(self, sock: socket.socket) -> None:
        splitter = codec.Splitter()
        open_call, due, deadline = self.pending_retry, time.monotonic(), time.monotonic() + 3
        if open_call:
            self.send_set_up(sock, open_call)
        while not self.stop_event.is_set() or open_call:
            now = time.monotonic()
            if open_call and now > deadline:
                return  # the checker reports the missing answer
            try:
                if not open_call and now >= due:
                    open_call, deadline = next(self.ids), now + 3
                    self.checker.record_set_up(open_call, 2.0)
                    self.send_set_up(sock, open_call)
                sock.settimeout(0.01)
                data = sock.recv(4096)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                if open_call:  # its set-up crossed the close, or was lost with the connection
                    self.failed_connections += 1
                    retry = open_call != self.pending_retry and time.monotonic() < deadline - 3 + CLOSE_RACE_S
                    if not retry:
                        self.checker.record_left(open_call)
                    self.pending_retry = open_call if retry else 0
                return
            self.pending_retry = 0
            for message in splitter.feed(data):
                if isinstance(message, Answer | Release) and message.call == open_call:
                    kind = "stands" if isinstance(message, Answer) else message.reason.value
                    self.checker.record_final(open_call, kind)
                    if kind == "stands":
                        self.established.add(open_call)
                    open_call, due = 0, time.monotonic() + MEAN_CALL_GAP_S * self.random.random() * 2
                elif isinstance(message, Release):
                    self.released.add(message.call)
                    with contextlib.suppress(OSError):
                        sock.sendall(codec.encode(ReleaseComplete(message.call)))


class Process:
    """One `wickstep serve`, started by the test."""

    def __init__(self, platform: Platform) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.operators = f"127.0.0.1:{free.getsockname()[1]}"
        environment = {
            **os.environ,
            "ROUTER_ACCEPT_FD": str(platform.listen_socket.fileno()),
            "ROUTER_OPERATOR": self.operators,
            "TMPDIR": str(platform.shared_root),
        }
        command = [sys.executable, "-m", "wickstep", "serve", "--config", str(platform.config_path)]
        self.log = platform.shared_root.parent / f"{len(platform.processes)}.log"
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stderr=log, pass_fds=[platform.listen_socket.fileno()]
            )
        platform.processes.append(self)

    def is_ready(self) -> bool:
        try:
            return operator_server.send_command(self.operators, "STATUS", 1.0) == ["SUCCESS serving"]
        except OSError:
            return False

    def send_signal(self, which: signal.Signals) -> None:
        self.child.send_signal(which)


class Platform:
    """Stand-in for the platform: listening socket, shared folder, configuration, setup servers, callers."""

    def __init__(self, directory: Path) -> None:
        self.listen_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.shared_root = directory / "shared"
        self.shared_root.mkdir()
        self.config_path = directory / "config.json"
        self.checker = Checker()
        self.processes: list[Process] = []
        self.callers: list[Caller] = []
        servers = [SetUpServer(f"s-{number}", self.checker) for number in range(2)]
        hosts = [list_line(one.server, one.host, number) for number, one in enumerate(servers)]
        self.bulletin = Bulletin()
        settings = json.loads(json.dumps(CONF))
        settings["classes"][0].update({"name": "voice", "give_up_ns": 2_000_000_000})
        settings["family_info"]["release_ns"] = 200_000_000
        settings["stats"] = {"columns": ["free", "size", "hold_back", "avg_ms"]}
        list_config = {"no": 1, "items": [{"no": 1, "roster": {"seq": 1, "whole": True, "hosts": hosts}}]}
        host, port = self.listen_socket.getsockname()
        self.config_path.write_text(
            json.dumps(
                {
                    "name": "n0", "listen": f"{host}:{port}", "seed": "8c1f30d27a5be964",
                    "settings": settings, "bulletin": self.bulletin.dial, "known": list_config,
                    "limits": {"sockets": 256},
                }
            )
        )  # fmt: skip

    def start_process(self) -> Process:
        process = Process(self)
        wait_for(process.is_ready)
        return process

    def start_callers(self, callers: int = 6) -> None:
        self.callers = [Caller(self.listen_socket.getsockname(), n + 1, self.checker) for n in range(callers)]

    def established_count(self) -> int:
        return sum(len(caller.established) for caller in self.callers)

    def released_calls(self) -> set[int]:
        return {call for caller in self.callers for call in caller.released}

    def wait_for_calls(self, more: int = 60) -> None:
        before = self.established_count()
        wait_for(lambda: self.established_count() >= before + more)

    def stop_callers(self) -> None:
        for caller in self.callers:
            caller.stop_event.set()
        for caller in self.callers:
            caller.thread.join(TIMEOUT_S)

    def close(self) -> None:
        self.stop_callers()
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.child.kill()
            process.child.wait(TIMEOUT_S)
        self.listen_socket.close()

    @property
    def failed_connections(self) -> int:
        return sum(caller.failed_connections for caller in self.callers)


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    opened = Platform(tmp_path)
    yield opened
    opened.close()


def shared_directory(platform: Platform) -> Path:
    return platform.shared_root / "wickstep-n0"


def test_an_upgrade_under_load_loses_no_call_and_no_release(platform: Platform) -> None:
    old = platform.start_process()
    platform.start_callers()
    platform.wait_for_calls()
    wait_for((shared_directory(platform) / "learned").exists)
    new = platform.start_process()
    assert "starting with the learned state of 2 servers" in new.log.read_text()
    wait_for(lambda: "2 processes share" in old.log.read_text())
    wait_for(
        lambda: any(
            file.read_bytes() == b"r" for file in shared_directory(platform).glob(f"*-{new.child.pid}.life")
        )
    )
    time.sleep(0.3)  # until the old process has scanned the folder
    old.send_signal(signal.SIGTERM)
    assert old.child.wait(TIMEOUT_S) == 0
    assert "handing over" in old.log.read_text()
    platform.wait_for_calls()
    wait_for(lambda: "handover from an earlier process" in new.log.read_text())
    platform.stop_callers()
    ended = {call for caller in platform.callers for call in caller.established}
    assert platform.checker.find_violations() == []
    assert platform.failed_connections <= len(platform.callers)  # at most one call crosses each close
    assert len(ended) > 120
    # The next caller receives the releases that waited for a connection.
    last = Caller(platform.listen_socket.getsockname(), 99, platform.checker)
    platform.callers.append(last)
    wait_for(lambda: ended <= platform.released_calls())


@pytest.mark.parametrize(
    "fault",
    ["old killed", "new killed", "old stalled", "new stalled", "old killed in handover", "no successor"],
)
def test_a_fault_in_the_handover_closes_each_connection_at_most_once(platform: Platform, fault: str) -> None:
    old = platform.start_process()
    platform.start_callers()
    platform.wait_for_calls(20)
    if fault == "no successor":
        old.send_signal(signal.SIGTERM)  # callers wait in the socket's backlog meanwhile
        assert old.child.wait(TIMEOUT_S) == 0
        new = platform.start_process()
        assert "stopping" in old.log.read_text()
    else:
        new = platform.start_process()
        time.sleep(0.5)
    match fault:
        case "old killed":
            old.child.kill()  # no handover: the calls open there are lost
        case "new killed":
            new.child.kill()
            new.child.wait(TIMEOUT_S)
            time.sleep(0.5)
            assert operator_server.send_command(old.operators, "STATUS")[0] == "SUCCESS serving"
        case "old stalled":
            old.send_signal(signal.SIGTERM)
            old.send_signal(signal.SIGSTOP)
            time.sleep(0.5)
            old.send_signal(signal.SIGCONT)
            assert old.child.wait(TIMEOUT_S) == 0
        case "new stalled":
            new.send_signal(signal.SIGSTOP)
            old.send_signal(signal.SIGTERM)
            time.sleep(0.5)
            new.send_signal(signal.SIGCONT)
            assert old.child.wait(TIMEOUT_S) == 0
        case "old killed in handover":
            old.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            old.child.kill()
    platform.wait_for_calls()
    platform.stop_callers()
    assert platform.checker.find_violations() == []
    # Each connection to either process closes once.
    assert platform.failed_connections <= 2 * len(platform.callers)


@pytest.mark.parametrize("corruption", ["noise", "cut", "foreign", "old", "no folder"])
def test_a_corrupt_shared_folder_costs_only_the_learned_state(platform: Platform, corruption: str) -> None:
    learned_path = shared_directory(platform) / "learned"
    match corruption:
        case "noise":
            learned_path.parent.mkdir(0o700)
            learned_path.write_bytes(random.Random(1).randbytes(5000))
        case "cut" | "old":
            earlier = platform.start_process()
            wait_for(learned_path.exists)
            earlier.child.kill()
            earlier.child.wait(TIMEOUT_S)
            original = learned_path.read_bytes()
            learned_path.write_bytes(original[: len(original) // 2] if corruption == "cut" else original)
            if corruption == "old":
                from wickstep.recovery import envelope

                content = envelope.unpack("learned", original)
                envelope.write(learned_path, "learned", {**content, "at": max(content["at"] - 60 * 10**9, 0)})
        case "foreign":
            (platform.shared_root / "elsewhere").mkdir()
            learned_path.parent.symlink_to(platform.shared_root / "elsewhere")
        case "no folder":
            platform.shared_root.rmdir()
    process = platform.start_process()
    log = process.log.read_text()
    assert "starting with the learned state" not in log
    assert ("nothing is shared" if corruption in ("foreign", "no folder") else "is not used") in log
    platform.start_callers(2)
    platform.wait_for_calls(10)
    platform.stop_callers()
    process.send_signal(signal.SIGTERM)
    assert process.child.wait(TIMEOUT_S) == 0
    assert platform.checker.find_violations() == []


def test_each_process_answers_operators_at_its_own_address(platform: Platform) -> None:
    old, new = platform.start_process(), platform.start_process()
    assert operator_server.send_command(old.operators, "PAUSE") == ["SUCCESS draining"]
    assert operator_server.send_command(old.operators, "STATUS") == ["FAILURE paused"]
    assert operator_server.send_command(new.operators, "STATUS") == ["SUCCESS serving"]
    with socket.create_connection(links.parse_address(old.operators)) as sock:
        sock.sendall(b"METRICS\n")
        assert sock.recv(100).startswith(b"svc_results{")
