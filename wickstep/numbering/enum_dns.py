"""ENUM over TCP: the portability database's wire, and the thread that speaks it.

This file owns the messages (RFC 6116 for the names and records, RFC 7766 for DNS over TCP, RFC 4769 for the
service `E2U+pstn:tel`, RFC 4694 for `npdi` and `rn` in tel URIs) and the connection. It must never decide
whether to ask, how long to wait or what an answer means for a call, and nothing here ever blocks the loop:
it puts questions into a queue.

What a record may say is read narrowly. Its regular expression comes from elsewhere, so it is never run: the
two forms that replace the whole number, `^.*$` and `^(.*)$`, are known, and any other makes the answer a
spoilt one.
"""

from __future__ import annotations

import contextlib
import logging
import re
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from wickstep.net import links
from wickstep.numbering.analysis import Ported
from wickstep.numbering.portability import Ask

log = logging.getLogger(__name__)

LENGTH = struct.Struct(">H")
CONNECT_S = 0.5
SEND_S = 0.2
SERVICE = "e2u+pstn:tel"  # RFC 4769; service fields do not mind their case
WHOLE = ("^.*$", "^(.*)$")
TEL = re.compile(r"tel:\+?([0-9a-fA-F.\-()]+)((?:;[^;]*)*)", re.IGNORECASE)
ROUTING = re.compile(r"\+?([0-9a-fA-F.\-()]+)")
SEPARATORS = str.maketrans("", "", ".-()")


class Spoilt(ValueError):
    """An answer that cannot be read."""


@dataclass(slots=True, frozen=True)
class Answered:
    question: int
    found: Ported


@dataclass(slots=True, frozen=True)
class Failed:
    question: int


def name_of(number: str, suffix: str) -> dns.name.Name:
    """The domain of a number: its digits backwards, each a label."""
    return dns.name.from_text(".".join([*reversed(number), suffix]) + ".")


def query(number: str, suffix: str, ident: int) -> bytes:
    message = dns.message.make_query(name_of(number, suffix), dns.rdatatype.NAPTR, id=ident)
    wire = message.to_wire()
    return LENGTH.pack(len(wire)) + wire


def read_answer(wire: bytes, number: str, suffix: str) -> Ported:
    """What an answer says of a number; raises Spoilt.

    No such name, and a name with no record of the service, mean that the number is not ported. Of several
    records the one of the lowest order counts, and among those the lowest preference.
    """
    try:
        message = dns.message.from_wire(wire)
    except (dns.exception.DNSException, ValueError, IndexError, struct.error) as trouble:
        raise Spoilt(f"no DNS message: {trouble!r}") from trouble
    wanted = name_of(number, suffix)
    if not message.flags & dns.flags.QR or message.flags & dns.flags.TC:
        raise Spoilt("not an answer, or not a whole one")
    if len(message.question) != 1 or message.question[0].name != wanted:
        raise Spoilt("an answer to another question")
    if message.rcode() == dns.rcode.NXDOMAIN:
        return Ported()
    if message.rcode() != dns.rcode.NOERROR:
        raise Spoilt(dns.rcode.to_text(message.rcode()))
    records = [
        record
        for rrset in message.answer
        if rrset.rdtype == dns.rdatatype.NAPTR and rrset.name == wanted
        for record in rrset
        if _text(record.service).lower() == SERVICE and _text(record.flags).lower() == "u"
    ]
    if not records:
        return Ported()
    first = min(records, key=lambda record: (record.order, record.preference))
    return read_uri(_replaced(_text(first.regexp), number))


def _text(value: bytes) -> str:
    return value.decode("ascii", "replace")


def _replaced(expression: str, number: str) -> str:
    """The URI that a record's substitution makes of the number."""
    mark = expression[:1]
    parts = expression.split(mark) if mark else []
    if len(parts) != 4 or parts[1] not in WHOLE or parts[3] not in ("", "i"):
        raise Spoilt(f"a substitution that is not run: {expression!r}")
    return parts[2].replace("\\1", f"+{number}") if parts[1] == WHOLE[1] else parts[2]


def read_uri(uri: str) -> Ported:
    """From a tel URI: with a routing number the number is ported there, without one it is where it was."""
    match = TEL.fullmatch(uri)
    if match is None:
        raise Spoilt(f"no tel URI: {uri!r}")
    routing = ""
    for parameter in match[2].split(";")[1:]:
        name, equals, value = parameter.partition("=")
        if name.lower() == "rn":
            found = ROUTING.fullmatch(value)
            if not equals or found is None or routing:
                raise Spoilt(f"no routing number: {parameter!r}")
            routing = found[1].translate(SEPARATORS).lower()
            if not routing:
                raise Spoilt(f"no routing number: {parameter!r}")
    return Ported(routing)


class Client:
    """One connection, made when there is something to ask; questions go out in turn, answers come in any
    order.

    One thread asks, another reads while there is a connection. When it ends, all that is out on it has
    failed.
    """

    def __init__(self, dial: str, suffix: str, hand_on: Callable[[Answered | Failed], None]) -> None:
        self._dial, self._suffix, self._hand_on = dial, suffix, hand_on
        self._questions: SimpleQueue[Ask | None] = SimpleQueue()  # as many as the plan lets out
        self._sending = threading.Lock()  # while the descriptor is written to it must not be freed
        self._lock = threading.Lock()  # over what follows
        self._sock: socket.socket | None = None
        self._out: dict[int, Ask] = {}  # by the message's id
        self._ident = 0

    def start(self) -> None:
        links.start_thread(self._run)

    def ask(self, ask: Ask) -> None:
        self._questions.put(ask)

    def stop(self) -> None:
        """No more questions; what is out is given up. Never blocks."""
        self._questions.put(None)
        with self._lock:
            sock = self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while (ask := self._questions.get()) is not None:
            if time.monotonic_ns() // 1000 >= ask.due:
                self._hand_on(Failed(ask.question))  # it has waited for those before it
                continue
            try:
                self._put(ask, self._connection())
            except (OSError, RuntimeError) as trouble:  # no connection, or no thread for its reader
                log.info("portability: %s", trouble)
                self._hand_on(Failed(ask.question))
            except Exception:  # this thread must outlive whatever one question brings about
                log.exception("portability: a question is given up")
                self._hand_on(Failed(ask.question))
        self._hang_up(self._sock)

    def _connection(self) -> socket.socket:
        with self._lock:
            if self._sock is not None:
                return self._sock
        sock = socket.create_connection(links.parse_address(self._dial), timeout=CONNECT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # For writing only: the reader waits for as long as the peer is silent. Python's own timeout holds
        # for both.
        sock.settimeout(None)
        span = links.TIMEVAL.pack(0, int(SEND_S * 1_000_000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, span)
        with self._lock:
            self._sock = sock
        try:
            links.start_thread(lambda: self._read(sock), timeout_s=0.0)
        except RuntimeError:
            self._hang_up(sock)
            sock.close()
            raise
        return sock

    def _put(self, ask: Ask, sock: socket.socket) -> None:
        with self._lock:
            while self._ident in self._out:
                self._ident = (self._ident + 1) & 0xFFFF
            ident = self._ident
            self._ident = (ident + 1) & 0xFFFF
            # Those whose time is up are forgotten: their answers, should they come, are for nobody.
            now = time.monotonic_ns() // 1000
            for old in [key for key, waiting in self._out.items() if waiting.due <= now]:
                del self._out[old]
            self._out[ident] = ask
        try:
            with self._sending:
                sock.sendall(query(ask.number, self._suffix, ident))
        except OSError:
            with self._lock:
                mine = self._out.pop(ident, None)
            self._hang_up(sock)
            if mine is not None:  # else it has failed already, with the connection
                raise

    def _read(self, sock: socket.socket) -> None:
        data = b""
        try:
            while piece := sock.recv(links.CALLER_READ_SIZE):
                data += piece
                while len(data) >= LENGTH.size:
                    (size,) = LENGTH.unpack_from(data)
                    if len(data) < LENGTH.size + size:
                        break
                    self._take(data[LENGTH.size : LENGTH.size + size])
                    data = data[LENGTH.size + size :]
        except (OSError, Spoilt) as trouble:
            log.info("portability: %s", trouble)
        self._hang_up(sock)
        with self._sending:
            sock.close()

    def _take(self, wire: bytes) -> None:
        if len(wire) < 12:
            raise Spoilt("a message too short for its head")  # where the next begins cannot be trusted
        with self._lock:
            ask = self._out.pop(LENGTH.unpack_from(wire)[0], None)
        if ask is None:
            return  # late, twice, or never asked
        try:
            self._hand_on(Answered(ask.question, read_answer(wire, ask.number, self._suffix)))
        except Spoilt as trouble:
            log.warning("portability of %s: %s", ask.number, trouble)
            self._hand_on(Failed(ask.question))

    def _hang_up(self, sock: socket.socket | None) -> None:
        """The connection has ended: what was out on it has failed. By whichever thread sees it first; its
        reader
        frees the descriptor."""
        with self._lock:
            if sock is None or self._sock is not sock:
                return
            self._sock = None
            out, self._out = self._out, {}
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        for ask in out.values():
            self._hand_on(Failed(ask.question))
