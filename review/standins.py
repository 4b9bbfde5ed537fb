"""Stand-ins for the review's cases: callers, setup servers, the bulletin, a proxy, and the platform.

They are written from the protocol pages alone and use the standard library only. Each line of a record begins
with the time on the system's Unix clock. Nothing here judges: each case has its own check.
"""

from __future__ import annotations

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
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, RETRY, NUMBER, FIGURES, STAY_AWAY, NOTE, REPORT, CAUSE, DESCRIPTION = (
    64, 65, 67, 68, 69, 70, 71, 73, 78, 79,
)  # fmt: skip
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def encode(kind: int, call: int, values: dict[int, bytes]) -> bytes:
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in values.items())
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


class Splitter:
    """Splits a byte stream into messages (kind, call, parameters)."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes):
        self.buffer += data
        while len(self.buffer) >= 2 and len(self.buffer) >= 2 + int.from_bytes(self.buffer[:2], "big"):
            end = 2 + int.from_bytes(self.buffer[:2], "big")
            raw, self.buffer = self.buffer[:end], self.buffer[end:]
            kind, call = struct.unpack_from(">BQ", raw, 2)
            values, position = {}, 11
            while position < end:
                code, length = struct.unpack_from(">BH", raw, position)
                values[code] = raw[position + 3 : position + 3 + length]
                position += 3 + length
            yield kind, call, values


class Record:
    """The file record.txt of a case; every entry is kept for its check too."""

    def __init__(self, folder: Path) -> None:
        self.entries: list[tuple[float, str, str, int, str]] = []  # time, who, what, call, more
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w")

    def add(self, who: str, what: str, call: int = 0, more: str = "") -> float:
        with self.lock:
            now = time.time()
            self.entries.append((now, who, what, call, more))
            self.file.write(f"{now:.6f} {who} {what} {call:016x} {more}".rstrip() + "\n")
            self.file.flush()
            return now

    def find(self, who: str = "", what: str = "", call: int = 0) -> list[tuple[float, str, str, int, str]]:
        """Entries whose names begin so, in the order of time."""
        with self.lock:
            return [
                entry
                for entry in self.entries
                if entry[1].startswith(who) and entry[2].startswith(what) and call in (0, entry[3])
            ]


def start_thread(target, *args) -> threading.Thread:
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


def listen() -> tuple[socket.socket, str]:
    """A socket that listens on a free port of a loopback address of this run's own, and its address."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 250}.{pid >> 8 & 255}.{pid & 255}"
    sock = socket.create_server((host, 0), backlog=128)
    return sock, f"{host}:{sock.getsockname()[1]}"


class Connection:
    """One connection with a thread that reads it; `on_message` and `on_end` are called on that thread."""

    def __init__(self, sock: socket.socket, on_message, on_end) -> None:
        self.sock, self.on_message, self.on_end = sock, on_message, on_end
        self.is_open = True
        self.lock = threading.Lock()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        start_thread(self._read)

    def send(self, kind: int, call: int, values: dict[int, bytes]) -> bool:
        return self.send_raw(encode(kind, call, values))

    def send_raw(self, data: bytes) -> bool:
        with self.lock:
            if not self.is_open:
                return False
            try:
                self.sock.sendall(data)
                return True
            except OSError:
                return False

    def _read(self) -> None:
        splitter = Splitter()
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                for message in splitter.feed(data):
                    self.on_message(self, *message)
        with self.lock:
            self.is_open = False
        with contextlib.suppress(OSError):
            self.sock.close()
        self.on_end(self)


class SetupServer:
    """A setup server: answers each set-up after `answer_s`, and releases the call after `hold_s`.

    A call that stands belongs to no connection: its release goes out on the connection of its set-up, failing
    that on any open one, and also on the next one that is opened.
    """

    def __init__(self, record: Record, host: str, block: int, answer_s=0.03, hold_s=None, lines=500) -> None:
        self.record, self.host, self.block, self.lines = record, host, block, lines
        self.answer_s, self.hold_s = answer_s, hold_s or (lambda call, values: 2.0)
        self.lock = threading.RLock()
        self.connections: list[Connection] = []
        self.open: dict[int, Connection] = {}  # set-ups that wait for their answer, by call
        self.standing: dict[int, Connection] = {}
        self.repeat: list[int] = []  # releases to be sent on the next connection too
        self.listener, self.address = listen()
        start_thread(self._accept)
        start_thread(self._report)

    def entry(self, health: str = "Ready", born_ms: int = 0, dial: str = "") -> dict[str, object]:
        return {"host": self.host, "dial": dial or self.address, "site": "one", "class": "std",
                "block": self.block, "health": health, "share": 1, "born_ms": born_ms}  # fmt: skip

    def state(self) -> bytes:
        free = self.lines - len(self.standing) - len(self.open)
        return b"free:%d;size:%d;hold_back:0;avg_ms:1" % (free, self.lines)

    def _accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            connection = Connection(sock, self._on_message, self._on_end)
            connection.send(STATE, 0, {REPORT: self.state()})
            with self.lock:
                self.connections.append(connection)
                repeat, self.repeat = self.repeat, []
            self.record.add(self.host, "connection")
            for call in repeat:
                if connection.send(RELEASE, call, {CAUSE: b"\x10"}):
                    self.record.add(self.host, "release-again", call)
            connection.start()

    def _report(self) -> None:
        while True:
            time.sleep(0.3)
            with self.lock:
                connections = [*self.connections]
            for connection in connections:
                connection.send(STATE, 0, {REPORT: self.state()})

    def _on_end(self, connection: Connection) -> None:
        with self.lock:
            self.connections.remove(connection)
            for call in [call for call, other in self.open.items() if other is connection]:
                del self.open[call]
                self.record.add(self.host, "given-up", call, "by the close of its connection")
        self.record.add(self.host, "connection-end")

    def _on_message(self, connection: Connection, kind: int, call: int, values: dict[int, bytes]) -> None:
        if kind == SET_UP:
            with self.lock:
                twice = call in self.open or call in self.standing
                self.record.add(self.host, "set-up", call, "while its call is here already" if twice else "")
                if twice:
                    connection.send(RELEASE, call, {CAUSE: b"\x2f"})
                    self.record.add(self.host, "error", call)
                    return
                if len(self.open) + len(self.standing) >= self.lines:
                    full = {CAUSE: b"\x22", NOTE: b"no_circuit", REPORT: self.state()}
                    connection.send(RELEASE, call, full)
                    self.record.add(self.host, "full", call)
                    return
                self.open[call] = connection
            self.serve(connection, call, values)
        elif kind == RELEASE:
            with self.lock:
                was_open, was_standing = self.open.pop(call, None), self.standing.pop(call, None)
                state = "open" if was_open else "standing" if was_standing else "nothing here"
                self.record.add(self.host, "released-by-softswitch", call, state)
            connection.send(RELEASE_HEARD, call, {})
        elif kind == TEST:
            if values.get(CAUSE) == b"\x01":
                connection.send(STATE, call, {REPORT: self.state()})
            else:
                connection.send(TEST_RESULT, call, {CAUSE: b"\x01"})

    def serve(self, connection: Connection, call: int, values: dict[int, bytes]) -> None:
        timer = threading.Timer(self.answer_s, self.answer, (connection, call, values))
        timer.daemon = True
        timer.start()

    def answer(self, connection: Connection, call: int, values: dict[int, bytes]) -> None:
        with self.lock:
            if self.open.get(call) is not connection:
                return  # given up
            del self.open[call]
            self.record.add(self.host, "answer", call)
            self.standing[call] = connection
            connection.send(ANSWER, call, {DESCRIPTION: b"by %s for %016x" % (self.host.encode(), call)})
        timer = threading.Timer(self.hold_s(call, values), self.end, (call,))
        timer.daemon = True
        timer.start()

    def end(self, call: int) -> None:
        with self.lock:
            connection = self.standing.pop(call, None)
            if connection is None:
                return
            self.record.add(self.host, "end", call)
            self.repeat.append(call)
            for other in [connection, *self.connections]:
                if other.send(RELEASE, call, {CAUSE: b"\x10", REPORT: self.state()}):
                    self.record.add(self.host, "release", call)
                    break

    def close(self) -> None:
        self.listener.close()


class Bulletin:
    """The bulletin: numbered events, told by long polling; each answer goes out `delay_s` late."""

    def __init__(self, record: Record, hosts: list[dict[str, object]], delay_s: float = 0.0) -> None:
        self.record, self.delay_s = record, delay_s
        self.changed = threading.Condition()
        self.events = [self._event(1, True, hosts)]
        self.listener, self.address = listen()
        start_thread(self._accept)

    def _event(self, number: int, whole: bool, hosts: list[dict[str, object]]) -> dict[str, object]:
        return {"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}

    def known(self) -> dict[str, object]:
        with self.changed:
            return {"no": len(self.events), "items": [*self.events]}

    def tell(self, *hosts: dict[str, object]) -> None:
        with self.changed:
            self.events.append(self._event(len(self.events) + 1, False, [*hosts]))
            self.changed.notify_all()
        for host in hosts:
            self.record.add("bulletin", "event", 0, f"{host['host']} {host['health']}")

    def _accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            start_thread(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        buffer = b""
        with contextlib.suppress(OSError), sock:
            while True:
                while b"\r\n\r\n" not in buffer:
                    if not (data := sock.recv(4096)):
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                query = head.split(b" ")[1].decode().partition("?")[2]
                asked = dict(pair.split("=") for pair in query.split("&"))
                after, patience_s = int(asked["after"]), min(int(asked["patience"]), 5000) / 1000
                with self.changed:
                    self.changed.wait_for(lambda after=after: len(self.events) > after, patience_s)
                    items, last = self.events[after:], len(self.events)
                time.sleep(self.delay_s)
                body = json.dumps({"no": last, "items": items}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.record.add("bulletin", "told", 0, f"after={after} last={last}")


class Caller:
    """A caller's connection to one softswitch; many calls share it. It confirms every release."""

    def __init__(self, record: Record, name: str, address: str) -> None:
        self.record, self.name = record, name
        host, _, port = address.partition(":")
        sock = socket.create_connection((host, int(port)), timeout=2)
        sock.settimeout(None)
        self.stood: set[int] = set()
        self.connection = Connection(sock, self._on_message, self._on_end)
        self.connection.start()

    def _on_message(self, connection: Connection, kind: int, call: int, values: dict[int, bytes]) -> None:
        if kind == ANSWER:
            self.stood.add(call)
            self.record.add(self.name, "stands", call, values.get(DESCRIPTION, b"").decode(errors="replace"))
        elif kind == RELEASE:
            self.record.add(self.name, "released", call, f"cause {values.get(CAUSE, b'?')[0]}")
            connection.send(RELEASE_HEARD, call, {})
        elif kind == TEST_RESULT:
            self.record.add(self.name, "test", call, "passed" if values.get(CAUSE) == b"\x01" else "failed")
        elif kind == RELEASE_HEARD:
            self.record.add(self.name, "release-heard", call)

    def _on_end(self, connection: Connection) -> None:
        self.record.add(self.name, "connection-end")

    def set_up(
        self, call: int, klass="general", wait_ms=9000, number="", description=b"v=0", dest=-1
    ) -> bytes:
        return encode(SET_UP, call, {
            CLASS: klass.encode(), WAIT: b"%d" % wait_ms, NUMBER: (number or f"{call:016x}").encode(),
            FIGURES: b"dest:%d;width:1;via:-1" % dest, DESCRIPTION: description,
        })  # fmt: skip

    def place(self, call: int, **fields) -> bool:
        if not self.connection.send_raw(self.set_up(call, **fields)):
            return False
        self.record.add(self.name, "set-up", call, fields.get("klass", "general"))
        return True

    def hang_up(self, call: int) -> None:
        self.connection.send(RELEASE, call, {CAUSE: b"\x10"})
        self.record.add(self.name, "hang-up", call)

    @property
    def is_open(self) -> bool:
        return self.connection.is_open

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.sock.shutdown(socket.SHUT_RDWR)


class Proxy:
    """A proxy before a server. `silence` makes its present connections silent; new ones pass as before."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.listener, self.address = listen()
        self.sockets: set[socket.socket] = set()  # both sides of each connection
        self.silent: set[socket.socket] = set()
        start_thread(self._accept)

    def silence(self) -> int:
        """Let nothing more pass on the connections of now, nor their ends; how many there are."""
        self.silent = {*self.sockets}
        return len(self.silent) // 2

    def _accept(self) -> None:
        host, _, port = self.target.partition(":")
        while True:
            try:
                front = self.listener.accept()[0]
                back = socket.create_connection((host, int(port)), timeout=2)
            except OSError:
                return
            back.settimeout(None)
            for sock in (front, back):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.sockets.add(sock)
            start_thread(self._pass, front, back)
            start_thread(self._pass, back, front)

    def _pass(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if source not in self.silent:
                    target.sendall(data)
        if source in self.silent:
            return  # the other side hears nothing of this end
        self.sockets.discard(source)
        for sock in (target, source):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Softswitch:
    """The platform's side of one softswitch: its configuration, and its process, started as in deploy/."""

    def __init__(self, record: Record, folder: Path, bulletin: Bulletin, name="n0", **limits) -> None:
        self.record, self.folder, self.bulletin, self.name = record, folder, bulletin, name
        self.command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        probe, self.address = listen()
        probe.close()  # free now, and listened on by the softswitch from its start on
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def settings(self, blocks: int) -> dict[str, object]:
        """Those of the example, for so many setup servers; a small deployment has six softswitches."""
        settings = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
        settings["family_info"]["allowed_pools"] = [[*range(blocks)]] * 3
        return {**settings, "peers_total": 6}

    def start(self, blocks: int = 2, change=None) -> None:
        self.starts += 1
        settings = self.settings(blocks)
        if change is not None:
            change(settings)
        config = {"name": self.name, "listen": self.address, "seed": f"{0x5EED00 + self.starts:016x}",
                  "limits": self.limits, "bulletin": self.bulletin.address, "known": self.bulletin.known(),
                  "settings": settings}  # fmt: skip
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        temporary = self.folder / f"{self.name}-{self.starts}"
        temporary.mkdir()
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment |= {"ROUTER_NAME": self.name, "ROUTER_LISTEN": self.address, "ROUTER_CONFIG": str(path),
                        "TMPDIR": str(temporary)}  # fmt: skip
        log = (self.folder / f"{self.name}-{self.starts}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
        )  # fmt: skip
        self.record.add(self.name, "started", 0, f"pid {self.process.pid}")

    def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Until a test is passed, asked ten times a second on connections of the front's own."""
        until = time.monotonic() + timeout_s
        host, _, port = self.address.partition(":")
        while time.monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(encode(TEST, 1, {CAUSE: b"\x00"}))
                for kind, _, values in Splitter().feed(sock.recv(4096)):
                    if kind == TEST_RESULT and values.get(CAUSE) == b"\x01":
                        self.record.add(self.name, "ready")
                        return
            time.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(self.name, number.name)
        self.process.send_signal(number)

    def wait_end(self, timeout_s: float) -> None:
        assert self.process is not None
        self.process.wait(timeout_s)
        self.record.add(self.name, "ended", 0, f"code {self.process.returncode}")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        logs = sorted(self.folder.glob(f"{self.name}-*.log"))
        return "".join(path.read_text(errors="replace") for path in logs)


class CannotRun(Exception):
    """The case couldn't run: neither kept nor broken."""


def main(case, folder: Path) -> None:
    """Run a case: `case(record, folder, started)` returns what broke the rule; ends what it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record, started, temporary = Record(folder), [], Path(tempfile.mkdtemp(prefix="wickstep-review-"))
    code = 2
    try:
        broken = case(record, temporary, started)
        for line in broken[:20]:
            print(line)
        code = 1 if broken else 0
        record.add("verdict", "broken" if broken else "held", 0, f"{len(broken)} times")
        print("rule broken" if broken else "rule held")
    except (CannotRun, OSError, subprocess.TimeoutExpired, AssertionError) as error:
        record.add("verdict", "not-run", 0, repr(error))
        print(f"could not run: {error!r}")
    finally:
        for softswitch in started:
            softswitch.kill()
            if "--logs" in sys.argv:
                print(softswitch.log(), file=sys.stderr)
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
