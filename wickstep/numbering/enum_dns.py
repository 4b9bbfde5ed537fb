"""ENUM over TCP: the messages of the portability database, and the threads of its connection.

This file owns the messages (RFC 6116 for the names and records, RFC 7766 for DNS over TCP, RFC 4769 for the
service `E2U+pstn:tel`, RFC 4694 for `npdi` and `rn` in tel URIs) and the connection. It must never decide
whether to send a query, how long to wait or what an answer means for a call, and it must never block the
loop, which puts queries into a queue.

Records are read strictly. A record's regular expression comes from outside, so it is never run: only the two
forms that replace the whole number, `^.*$` and `^(.*)$`, are accepted; any other makes the answer invalid.
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
from wickstep.numbering.analysis import PortingResult
from wickstep.numbering.portability import QueryRequest

log = logging.getLogger(__name__)

LENGTH_PREFIX = struct.Struct(">H")
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 0.2
READ_SIZE = 4 * 1024  # bytes of one receive
ENUM_SERVICE = "e2u+pstn:tel"  # RFC 4769; service fields are not case-sensitive
WHOLE_NUMBER_PATTERNS = ("^.*$", "^(.*)$")
TEL_URI = re.compile(r"tel:\+?([0-9a-fA-F.\-()]+)((?:;[^;]*)*)", re.IGNORECASE)
ROUTING_NUMBER = re.compile(r"\+?([0-9a-fA-F.\-()]+)")
VISUAL_SEPARATORS = str.maketrans("", "", ".-()")


class InvalidAnswer(ValueError):
    """An answer that cannot be read."""


@dataclass(slots=True, frozen=True)
class QueryAnswered:
    query_id: int
    result: PortingResult


@dataclass(slots=True, frozen=True)
class QueryFailed:
    query_id: int


def enum_domain(number: str, suffix: str) -> dns.name.Name:
    """The domain of a number: its digits in reverse order, each a label."""
    return dns.name.from_text(".".join([*reversed(number), suffix]) + ".")


def encode_query(number: str, suffix: str, message_id: int) -> bytes:
    message = dns.message.make_query(enum_domain(number, suffix), dns.rdatatype.NAPTR, id=message_id)
    wire = message.to_wire()
    return LENGTH_PREFIX.pack(len(wire)) + wire


def decode_answer(wire: bytes, number: str, suffix: str) -> PortingResult:
    """The result that an answer holds for a number; raises InvalidAnswer.

    NXDOMAIN, and a name without a record of the service, mean that the number is not ported. Of several
    records the one with the lowest order counts, and among those the one with the lowest preference.
    """
    try:
        message = dns.message.from_wire(wire)
    except (dns.exception.DNSException, ValueError, IndexError, struct.error) as error:
        raise InvalidAnswer(f"not a DNS message: {error!r}") from error
    domain = enum_domain(number, suffix)
    if not message.flags & dns.flags.QR or message.flags & dns.flags.TC:
        raise InvalidAnswer("expected a complete response: the QR flag is not set, or the TC flag is")
    if len(message.question) != 1 or message.question[0].name != domain:
        raise InvalidAnswer("the question in the answer is not the one that was sent")
    if message.rcode() == dns.rcode.NXDOMAIN:
        return PortingResult()
    if message.rcode() != dns.rcode.NOERROR:
        raise InvalidAnswer(dns.rcode.to_text(message.rcode()))
    records = [
        record
        for rrset in message.answer
        if rrset.rdtype == dns.rdatatype.NAPTR and rrset.name == domain
        for record in rrset
        if _decode_text(record.service).lower() == ENUM_SERVICE and _decode_text(record.flags).lower() == "u"
    ]
    if not records:
        return PortingResult()
    first = min(records, key=lambda record: (record.order, record.preference))
    return parse_tel_uri(_apply_substitution(_decode_text(first.regexp), number))


def _decode_text(value: bytes) -> str:
    return value.decode("ascii", "replace")


def _apply_substitution(expression: str, number: str) -> str:
    """The URI that a record's substitution expression makes of the number."""
    delimiter = expression[:1]
    parts = expression.split(delimiter) if delimiter else []
    if len(parts) != 4 or parts[1] not in WHOLE_NUMBER_PATTERNS or parts[3] not in ("", "i"):
        raise InvalidAnswer(f"expected a substitution of the whole number, got {expression!r}")
    return parts[2].replace("\\1", f"+{number}") if parts[1] == WHOLE_NUMBER_PATTERNS[1] else parts[2]


def parse_tel_uri(uri: str) -> PortingResult:
    """The result that a tel URI holds: ported if it has a routing number, not ported otherwise."""
    match = TEL_URI.fullmatch(uri)
    if match is None:
        raise InvalidAnswer(f"not a tel URI: {uri!r}")
    routing_number = ""
    for parameter in match[2].split(";")[1:]:
        name, equals, value = parameter.partition("=")
        if name.lower() == "rn":
            matched = ROUTING_NUMBER.fullmatch(value)
            if not equals or matched is None or routing_number:
                raise InvalidAnswer(f"routing number invalid or given twice: {parameter!r}")
            routing_number = matched[1].translate(VISUAL_SEPARATORS).lower()
            if not routing_number:
                raise InvalidAnswer(f"routing number without digits: {parameter!r}")
    return PortingResult(routing_number)


class Client:
    """The connection to the ENUM server, opened when there is a query to send.

    One thread sends the queries in order; another reads while there is a connection, and answers may come in
    any order. When the connection ends, all queries outstanding on it have failed.
    """

    def __init__(
        self, address: str, suffix: str, on_result: Callable[[QueryAnswered | QueryFailed], None]
    ) -> None:
        self._address, self._suffix, self._on_result = address, suffix, on_result
        self._queue: SimpleQueue[QueryRequest | None] = SimpleQueue()  # at most the settings' `outstanding`
        self._send_lock = threading.Lock()  # held while writing, so that the descriptor stays open
        self._lock = threading.Lock()  # guards the attributes below
        self._sock: socket.socket | None = None
        self._outstanding: dict[int, QueryRequest] = {}  # by message id
        self._next_id = 0

    def start(self) -> None:
        links.start_thread(self._run)

    def enqueue(self, request: QueryRequest) -> None:
        self._queue.put(request)

    def stop(self) -> None:
        """Accept no more queries and abandon the outstanding ones. Never blocks."""
        self._queue.put(None)
        with self._lock:
            sock = self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while (request := self._queue.get()) is not None:
            if time.monotonic_ns() // 1000 >= request.deadline:
                self._on_result(QueryFailed(request.query_id))  # it waited too long behind other queries
                continue
            try:
                self._send(request, self._ensure_connection())
            except (OSError, RuntimeError) as error:  # no connection, or no thread for its reader
                log.info("portability: query could not be sent: %s", error)
                self._on_result(QueryFailed(request.query_id))
            except Exception:  # this thread must survive any error that one query causes
                log.exception("portability: unexpected error; the query is abandoned")
                self._on_result(QueryFailed(request.query_id))
        self._disconnect(self._sock)

    def _ensure_connection(self) -> socket.socket:
        with self._lock:
            if self._sock is not None:
                return self._sock
        sock = socket.create_connection(links.parse_address(self._address), timeout=CONNECT_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The time-out must hold for writing only, since the reader waits for as long as the peer is silent.
        # Python's own time-out would hold for both.
        sock.settimeout(None)
        timeval = links.TIMEVAL.pack(0, int(SEND_TIMEOUT_S * 1_000_000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval)
        with self._lock:
            self._sock = sock
        try:
            links.start_thread(lambda: self._read(sock), timeout_s=0.0)
        except RuntimeError:
            self._disconnect(sock)
            sock.close()
            raise
        return sock

    def _send(self, request: QueryRequest, sock: socket.socket) -> None:
        with self._lock:
            while self._next_id in self._outstanding:
                self._next_id = (self._next_id + 1) & 0xFFFF
            message_id = self._next_id
            self._next_id = (message_id + 1) & 0xFFFF
            # Requests past their deadline are forgotten: an answer that still came would be dropped.
            now = time.monotonic_ns() // 1000
            for expired in [key for key, waiting in self._outstanding.items() if waiting.deadline <= now]:
                del self._outstanding[expired]
            self._outstanding[message_id] = request
        try:
            with self._send_lock:
                sock.sendall(encode_query(request.number, self._suffix, message_id))
        except OSError:
            with self._lock:
                unsent = self._outstanding.pop(message_id, None)
            self._disconnect(sock)
            if unsent is not None:  # otherwise it has been reported as failed, with its connection
                raise

    def _read(self, sock: socket.socket) -> None:
        data = b""
        try:
            while chunk := sock.recv(READ_SIZE):
                data += chunk
                while len(data) >= LENGTH_PREFIX.size:
                    (size,) = LENGTH_PREFIX.unpack_from(data)
                    if len(data) < LENGTH_PREFIX.size + size:
                        break
                    self._handle_message(data[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size])
                    data = data[LENGTH_PREFIX.size + size :]
        except (OSError, InvalidAnswer) as error:
            log.info("portability: connection closed: %s", error)
        self._disconnect(sock)
        with self._send_lock:
            sock.close()

    def _handle_message(self, wire: bytes) -> None:
        if len(wire) < 12:
            # The length prefix can no longer be trusted, nor where the next message begins.
            raise InvalidAnswer("message shorter than the DNS header of 12 bytes")
        with self._lock:
            request = self._outstanding.pop(LENGTH_PREFIX.unpack_from(wire)[0], None)
        if request is None:
            return  # a late or repeated answer, or one to no query
        try:
            self._on_result(
                QueryAnswered(request.query_id, decode_answer(wire, request.number, self._suffix))
            )
        except InvalidAnswer as error:
            log.warning("portability: invalid answer for %s: %s", request.number, error)
            self._on_result(QueryFailed(request.query_id))

    def _disconnect(self, sock: socket.socket | None) -> None:
        """Report all queries outstanding on the connection as failed.

        Called by whichever thread notices first that the connection has ended; the reading thread closes the
        descriptor.
        """
        with self._lock:
            if sock is None or self._sock is not sock:
                return
            self._sock = None
            outstanding, self._outstanding = self._outstanding, {}
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        for request in outstanding.values():
            self._on_result(QueryFailed(request.query_id))
