"""Stand-ins of the second review: wire, clients, setup servers, the bulletin, a link, and the platform.

Standard library only. Everything runs on loopback addresses, in one thread of asyncio; the softswitches are
processes of their own, started with the command of the deploy file. Times are seconds since the case began.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, RESULT = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, RETRY, NUMBER, FIGURES, STAY_AWAY, NOTE, REPORT, CAUSE, DESCRIPTION = (
    64, 65, 67, 68, 69, 70, 71, 73, 78, 79
)  # fmt: skip
CLEARED, CUT = b"\x10", b"\x29"
SLACK = 0.05  # the protocol page lengthens each time limit by 50 ms
HELD_DESCRIPTOR = 5
LIMIT_S = 110.0  # a case that is not over by then could not run


def message(kind: int, call: int, parameters: dict[int, bytes] | None = None) -> bytes:
    body = struct.pack(">BQ", kind, call)
    for code, value in (parameters or {}).items():
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


async def messages(reader: asyncio.StreamReader) -> AsyncIterator[tuple[int, int, dict[int, bytes]]]:
    """The messages of a connection up to its end, however that comes."""
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            body = await reader.readexactly(struct.unpack(">H", await reader.readexactly(2))[0])
            kind, call = struct.unpack_from(">BQ", body)
            parameters, at = {}, 9
            while at < len(body):
                code, length = struct.unpack_from(">BH", body, at)
                parameters[code] = body[at + 3 : at + 3 + length]
                at += 3 + length
            yield kind, call, parameters


class Case:
    """The record, the temporary folder, and all that has to be ended."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.record_path = folder / "record.txt"
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.logs: list[tuple[int, Path]] = []  # of processes, by pid
        self.tasks: set[asyncio.Task[Any]] = set()
        self.broken: list[str] = []
        self.note(f"trouble: {'on' if TROUBLE else 'off'}")

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def fault(self, text: str) -> None:
        self.broken.append(text)
        self.note(f"RULE BROKEN: {text}")

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def until(self, at: float) -> None:
        await asyncio.sleep(max(at - self.now(), 0))

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for pid, log in self.logs:
            for text in log.read_text(errors="replace").splitlines():
                self.lines.append(f"   log of pid {pid}: {text}")
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record_path.write_text("\n".join(self.lines) + "\n")


def run_case(script: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(Path(script).resolve().parent)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: sys.exit(2))
    code = 2
    try:
        asyncio.run(asyncio.wait_for(play(case), LIMIT_S))
        code = 1 if case.broken else 0
    except BaseException:
        case.note(traceback.format_exc())
    finally:
        case.note(f"exit {code}: {len(case.broken)} breaches")
        case.end()
    verdict = {0: "held", 1: "broken"}.get(code, "could not run")
    with contextlib.suppress(OSError):  # nobody has to read this
        print(f"{verdict}: {len(case.broken)} breaches")
        for text in case.broken[:3]:
            print("  " + text)
        sys.stdout.flush()
    os._exit(code)  # the sockets of a loop that has ended need no further word


def hold_listener() -> int:
    """The platform holds the callers' listening socket as descriptor 5; its port. Call it first."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(256)
    port = int(sock.getsockname()[1])
    with contextlib.suppress(OSError):
        os.fstat(HELD_DESCRIPTOR)
        raise RuntimeError("descriptor 5 is in use")
    os.dup2(sock.fileno(), HELD_DESCRIPTOR)
    sock.close()
    return port


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass(eq=False)
class Attempt:
    """A set-up that has come whole to a setup server: out until it is given up, or its end is written."""

    call: int
    host: str
    at: float
    answered: float = 0.0
    end: float = float("inf")


@dataclass(eq=False)
class Server:
    """A setup server: it answers each set-up after `answer_s`, and releases the call after `hold_s`.

    A set-up that is given up, or whose connection ends before the answer, is dropped. A release of the
    softswitch for a call that stands cuts it; it is over then, and nothing more is said of it. Its own
    release goes on the connection of the set-up, otherwise on any open one, and also on the next one opened.
    """

    case: Case
    host: str
    number: int = 0
    answer_s: float = 0.1
    hold_s: float | Callable[[int], float] = 3.0
    lines: int = 200
    port: int = 0
    set_ups: list[tuple[float, int]] = field(default_factory=list)  # when a set-up had come whole, its call
    attempts: list[Attempt] = field(default_factory=list)
    answered: dict[int, float] = field(default_factory=dict)
    released: dict[int, float] = field(default_factory=dict)  # by this server, in the ordinary way
    cut: dict[int, float] = field(default_factory=dict)  # by the softswitch, while the call stood
    given_up: dict[int, float] = field(default_factory=dict)  # before the answer, with its connection too
    standing: dict[int, asyncio.StreamWriter] = field(default_factory=dict)
    _open: dict[int, asyncio.StreamWriter] = field(default_factory=dict)
    _told_last: list[int] = field(default_factory=list)  # releases to be said on the next connection too
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)
    _listener: asyncio.Server | None = None

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def report(self) -> bytes:
        used = len(self._open) + len(self.standing)
        free, wait_ms = max(self.lines - used, 0), self.answer_s * 1e3
        return f"free:{free};size:{self.lines};hold_back:0;avg_ms:{wait_ms:.0f}".encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        peer = writer.get_extra_info("peername")[1]
        self.case.note(
            f"{self.host}: connection from {peer}, {len(self._told_last)} releases said again there"
        )
        writer.write(message(STATE, 0, {REPORT: self.report()}))
        for call in self._told_last:
            writer.write(message(RELEASE, call, {CAUSE: CLEARED}))
        self._told_last.clear()
        async for kind, call, parameters in messages(reader):
            if kind == SET_UP:
                self.set_ups.append((self.case.now(), call))
                self.case.note(f"{self.host}: set-up {call:016x}")
                self._open[call] = writer
                self.attempts.append(Attempt(call, self.host, self.case.now()))
                self.case.spawn(self._work(self.attempts[-1], parameters[DESCRIPTION]))
            elif kind == RELEASE:
                self._take_release(call)
                writer.write(message(HEARD, call))
            elif kind == TEST:
                self.case.spawn(self._answer_test(writer, call))
        for call in [call for call, owner in self._open.items() if owner is writer]:
            del self._open[call]
            self._end(call)
            self.given_up[call] = self.case.now()
        if writer in self._writers:
            self._writers.remove(writer)
        self.case.note(f"{self.host}: connection from {peer} ended")
        writer.close()

    async def _answer_test(self, writer: asyncio.StreamWriter, call: int) -> None:
        await asyncio.sleep(self.answer_s)  # its processor works in order
        writer.write(message(STATE, call, {REPORT: self.report()}))

    def _end(self, call: int) -> None:
        for attempt in self.attempts:
            if attempt.call == call:
                attempt.end = min(attempt.end, self.case.now())

    def _take_release(self, call: int) -> None:
        self._end(call)
        if self._open.pop(call, None) is not None:
            self.given_up[call] = self.case.now()
            self.case.note(f"{self.host}: set-up {call:016x} given up by the softswitch")
        elif self.standing.pop(call, None) is not None:
            self.cut[call] = self.case.now()
            self.case.note(f"{self.host}: call {call:016x} stood, released by the softswitch")

    async def _work(self, attempt: Attempt, description: bytes) -> None:
        call = attempt.call
        await asyncio.sleep(self.answer_s)
        writer = self._open.pop(call, None)
        if writer is None:
            return
        self.standing[call] = writer
        self.answered[call] = attempt.answered = self.case.now()
        writer.write(message(ANSWER, call, {DESCRIPTION: f"{self.host} took ".encode() + description[:16]}))
        self.case.note(f"{self.host}: answer {call:016x}")
        await asyncio.sleep(self.hold_s if isinstance(self.hold_s, float) else self.hold_s(call))
        writer = self.standing.pop(call, None)
        if writer is None:
            return
        self.released[call] = self.case.now()
        self._end(call)
        self.case.note(f"{self.host}: release {call:016x}, the call has come to its end")
        self._told_last.append(call)
        if writer not in self._writers:  # on any open one
            writer = self._writers[-1] if self._writers else None
        if writer is not None:
            writer.write(message(RELEASE, call, {CAUSE: CLEARED, REPORT: self.report()}))


@dataclass(eq=False)
class Bulletin:
    """The bulletin: numbered events over HTTP; `slow_s` is what it takes before it looks at a request."""

    case: Case
    events: list[dict[str, Any]] = field(default_factory=list)
    slow_s: float = 0.0
    port: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    def publish(self, lines: list[dict[str, Any]], whole: bool = False) -> None:
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"seq": number, "whole": whole, "hosts": lines}})
        self.case.note(f"bulletin: event {number}: {[(line['host'], line['health']) for line in lines]}")
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        return {"no": len(self.events), "items": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                arrived = self.case.now()
                pairs = request.split(" ")[1].partition("?")[2].split("&")
                query = {name: int(value) for name, _, value in (pair.partition("=") for pair in pairs)}
                await asyncio.sleep(self.slow_s)
                while len(self.events) <= query["after"]:
                    left = arrived + query["patience"] / 1000 - self.case.now()
                    if left <= 0:
                        break
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), left)
                items = self.events[query["after"] :]
                body = json.dumps({"no": len(self.events), "items": items}).encode()
                if self.slow_s or items:
                    took = self.case.now() - arrived
                    gone = "; the softswitch has left" if reader.at_eof() else ""
                    self.case.note(f"bulletin: {request.splitlines()[0]} took {took:.2f} s{gone}")
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()


def line(server: Server, health: str = "Ready", port: int = 0, born_ms: int = 0) -> dict[str, Any]:
    """A setup server's line on the list; `port` where a link stands before it."""
    return {
        "host": server.host, "dial": f"127.0.0.1:{port or server.port}", "site": "east",
        "class": "single-core", "block": server.number, "health": health, "share": 1, "born_ms": born_ms,
    }  # fmt: skip


class Link:
    """A proxy in front of one address, which delays, falls silent or resets."""

    def __init__(self, case: Case, target_port: int, delay_s: float = 0.0) -> None:
        self.case, self.target_port = case, target_port
        self.delay_s = delay_s  # one way
        self._joined: set[asyncio.Task[None]] = set()
        self._open: set[socket.socket] = set()  # both ends of each connection
        self.hushed: set[socket.socket] = set()
        self.port = 0

    async def start(self) -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(64)
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.case.spawn(self._accept(sock))

    def hush(self) -> list[asyncio.Task[None]]:
        """The present connections fall silent for good, both ways, and stay open; new ones pass."""
        self.hushed |= self._open
        return list(self._joined)

    def reset(self, connections: list[asyncio.Task[None]] | None = None) -> None:
        """Reset connections, all or these, towards both ends; what is on its way is lost."""
        for task in [*(self._joined if connections is None else connections)]:
            task.cancel()
            self._joined.discard(task)

    async def _send_later(self, target: socket.socket, data: bytes) -> None:
        """In order: every piece is as late as the one before it."""
        await asyncio.sleep(self.delay_s)
        with contextlib.suppress(OSError, ValueError):  # closed meanwhile
            await asyncio.get_running_loop().sock_sendall(target, data)

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(sock)
            self._joined.add(self.case.spawn(self._join(near)))

    async def _join(self, near: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        near.setblocking(False)
        far = socket.socket()
        far.setblocking(False)
        try:
            await loop.sock_connect(far, ("127.0.0.1", self.target_port))
            self._open |= {near, far}
            await asyncio.gather(self._pass(near, far), self._pass(far, near))
        except OSError:
            pass
        except asyncio.CancelledError:  # it is reset
            for sock in (near, far):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            self._open -= {near, far}
            near.close()
            far.close()

    async def _pass(self, source: socket.socket, target: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._readable(source)
                if source in self.hushed:
                    await asyncio.Event().wait()
                data = source.recv(2048)
                if not data:
                    break
                if self.delay_s:
                    self.case.spawn(self._send_later(target, data))
                else:
                    await loop.sock_sendall(target, data)
        except OSError:
            pass
        if self.delay_s:
            await asyncio.sleep(self.delay_s + 0.005)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    async def _readable(self, sock: socket.socket) -> None:
        loop, future = asyncio.get_running_loop(), asyncio.get_running_loop().create_future()
        loop.add_reader(sock, lambda: future.done() or future.set_result(None))
        try:
            await future
        finally:
            if sock.fileno() >= 0:
                loop.remove_reader(sock)


@dataclass
class Outcome:
    """What a client has seen of one call."""

    sent: float
    wait_s: float
    description: bytes = b""
    answers: list[tuple[float, str]] = field(default_factory=list)  # final answers: stands, refused, failed
    released: float = 0.0

    def stands(self) -> bool:
        return bool(self.answers) and self.answers[0][1] == "stands" and not self.released


class Client:
    """One connection of callers; `calls` may be shared, since a release may come on any connection."""

    def __init__(self, case: Case, port: int, calls: dict[int, Outcome], name: str = "client") -> None:
        self.case, self.port, self.calls, self.name = case, port, calls, name
        self.ended = False
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.case.spawn(self._read(reader))

    def set_up(self, klass: str, wait_ms: int, description: bytes, first_choice: int = -1) -> int:
        call = int.from_bytes(os.urandom(8), "big") | 1
        figures = f"dest:{first_choice};width:1;via:-1" if first_choice >= 0 else "width:1;via:-1"
        parameters = {
            CLASS: klass.encode(), WAIT: str(wait_ms).encode(), NUMBER: f"{call:016x}".encode(),
            FIGURES: figures.encode(), DESCRIPTION: description,
        }  # fmt: skip
        assert self._writer is not None
        self.calls[call] = Outcome(self.case.now(), wait_ms / 1000, description)
        self.case.note(f"{self.name}: set-up {call:016x}, waits {wait_ms} ms")
        self._writer.write(message(SET_UP, call, parameters))
        self.case.spawn(self._give_up(call))
        return call

    async def _give_up(self, call: int) -> None:
        outcome = self.calls[call]
        await asyncio.sleep(outcome.wait_s + 0.5)  # up to half a second after its time an answer only earns 0
        if not outcome.answers and self._writer is not None:
            self.case.note(f"{self.name}: {call:016x} never answered, given up")
            with contextlib.suppress(OSError):
                self._writer.write(message(RELEASE, call, {CAUSE: CLEARED}))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        assert self._writer is not None
        async for kind, call, parameters in messages(reader):
            outcome = self.calls.get(call)
            if kind == ANSWER and outcome is not None:
                outcome.answers.append((self.case.now(), "stands"))
                self.case.note(f"{self.name}: {call:016x} stands")
                if not parameters[DESCRIPTION].endswith(b" took " + outcome.description[:16]):
                    self.case.fault(f"call {call:016x} got an answer that no setup server made for it")
            elif kind == RELEASE:
                cause = parameters[CAUSE][0]
                if outcome is not None and not outcome.answers:
                    kind_of = "refused" if cause in (34, 42, 102) else "failed"
                    outcome.answers.append((self.case.now(), kind_of))
                    self.case.note(f"{self.name}: {call:016x} {kind_of}, cause {cause}")
                elif outcome is not None:
                    outcome.released = outcome.released or self.case.now()
                    self.case.note(f"{self.name}: release {call:016x}, cause {cause}")
                with contextlib.suppress(OSError):
                    self._writer.write(message(HEARD, call))
        self.ended = True
        self.case.note(f"{self.name}: connection ended")


def settings(names: list[tuple[str, float, float, float]], **changes: Any) -> dict[str, Any]:
    """Settings of a small deployment; a class is its name, wanted time, give-up time and worth."""
    pools = changes.pop("pools")
    made: dict[str, Any] = {
        "areas": ["east", "west"],
        "classes": [
            {
                "credit": worth, "effect": "read_like", "give_up_ns": int(give_up_s * 1e9), "group": "all",
                "late_value": 0.1, "name": name, "slo_ns": int(aim_s * 1e9), "streaming": True,
            }
            for name, aim_s, give_up_s, worth in names
        ],
        "client_habits": {"marks_retry": True},
        "family": "trunks",
        "family_info": {
            "allowed_pools": [pools for _ in names], "call_length_ns": [9_000_000_000 for _ in names],
            "release_ns": 200_000_000, "retransmit_ns": 0, "shape": "pools", "this_node": -1,
            "widths": [1 for _ in names],
        },
        "limits": {
            "attempts_cap": 5, "cancel": True, "conn_idle_ns": 600_000_000_000,
            "dial_timeout_ns": 500_000_000, "max_open": 20000, "max_retry_after_ns": 2_000_000_000,
            "multiplex": 1048576, "parallel_tries": False, "peers": False, "probes": True,
            "retry_after": True,
        },
        "ordinal": 0, "parties": [], "peers_total": 2, "registry_mode": "push",
        "rules": {
            "answer_slack_ns": 20_000_000, "cold_from": 0.35, "drain_grace_ns": 2_000_000_000,
            "fall_multiple": 2.5, "ramp_time_ns": 15_000_000_000, "tip_after_ns": 1_500_000_000,
        },
        "stats": {"columns": ["free", "size", "hold_back", "avg_ms"], "source": "inline"},
        "zone": 0,
    }  # fmt: skip
    for name, value in changes.items():
        section, _, key = name.partition("__")
        if key:
            made[section][key] = value
        else:
            made[name] = value
    return made


class Softswitch:
    """The platform's side of one process of the softswitch: starts it with `run` of the deploy file."""

    def __init__(
        self, case: Case, name: str, bulletin: Bulletin, site: dict[str, Any], *, options: str = "",
        held: bool = False, port: int = 0, temporary: Path | None = None,
        seed: str = "",
    ) -> None:  # fmt: skip
        self.case, self.name, self.bulletin, self.site = case, name, bulletin, site
        self.options, self.held = options, held
        self.seed = seed or os.urandom(8).hex()  # new with each start
        self.port = port or free_port()
        self.operator = free_port()
        self.temporary = temporary or Path(tempfile.mkdtemp(dir=case.temporary))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + self.options
        path = Path(tempfile.mkdtemp(dir=self.case.temporary)) / "config.json"
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"127.0.0.1:{self.bulletin.port}", "operator": f"127.0.0.1:{self.operator}",
            "known": self.bulletin.known(), "settings": self.site,
        }  # fmt: skip
        path.write_text(json.dumps(config))
        environment = {
            **os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": config["listen"],
            "ROUTER_CONFIG": str(path), "ROUTER_OPERATOR": config["operator"], "TMPDIR": str(self.temporary),
        }  # fmt: skip
        environment.pop("ROUTER_ACCEPT_FD", None)
        if self.held:
            environment["ROUTER_ACCEPT_FD"] = str(HELD_DESCRIPTOR)
        log = self.case.temporary / f"log-{len(self.case.logs)}"
        descriptors = (HELD_DESCRIPTOR,) if self.held else ()
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, pass_fds=descriptors,
                stdin=subprocess.DEVNULL, stdout=output, stderr=output, start_new_session=True,
            )  # fmt: skip
        self.case.processes.append(self.process)
        self.case.logs.append((self.process.pid, log))
        self.case.note(f"platform: started a process of {self.name}, pid {self.process.pid}")

    async def ask(self, command: str) -> str:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.operator)
            writer.write(f"{command}\n".encode())
            reply = (await asyncio.wait_for(reader.read(), 2)).decode()
            writer.close()
            return reply
        except (OSError, TimeoutError):
            return ""

    async def ready(self, within_s: float = 10.0) -> None:
        deadline = self.case.now() + within_s
        while not (await self.ask("STATUS")).startswith("SUCCESS"):
            if self.case.now() > deadline:
                raise RuntimeError("the softswitch is not ready in time")
            await asyncio.sleep(0.05)
        self.case.note(f"platform: pid {self.process.pid if self.process else 0} is ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.case.note(f"platform: {number.name} to pid {self.process.pid}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
