"""The form of the journal of calls: records that tell whether they are whole, in segments with an owner.

    segment = magic:8 owner:8 number:8 crc:4, then records; the first ones tell what is live, up to a mark
    record  = crc:4 length:2 kind:1 content      crc of all that follows it; big-endian

This file owns that form. It must never do I/O, and never believe a byte beyond the first that does not fit.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MAGIC = b"wkcalls\x01"  # its last byte is the version
HEAD = struct.Struct(">8s8sQ")
CRC = struct.Struct(">I")
FRAME = struct.Struct(">IHB")
CALL = struct.Struct(">Q")
SENT = struct.Struct(">QBHQ")
SERVER = struct.Struct(">HQ")
HEAD_BYTES = HEAD.size + CRC.size
HOST_MOST = 255
CONTENT_MOST = SERVER.size + HOST_MOST
ATTEMPTS_MOST = 255
SERVERS_MOST = 65536


class Kind(IntEnum):
    SERVER = 1  # a number for a host and its start
    TAKEN = 2
    SENT = 3  # an attempt goes out; when, in Unix milliseconds
    OVER = 4  # that attempt has ended, the call has not; or what stood is over, which its caller has to hear
    STANDS = 5
    ENDED = 6  # nothing is owed to anybody any more
    LIVE = 7  # all that was live when the segment began stands before this


class Foreign(ValueError):
    """A segment of another softswitch or version, or whose head is not whole."""


class Record(NamedTuple):
    """Times in Unix milliseconds. What a kind has no use for is 0 or empty."""

    kind: Kind
    call: int = 0
    server: int = 0  # its number in this segment
    attempt: int = 0
    at_ms: int = 0  # of SENT when it was sent, of SERVER when that started (0: long ago)
    host: str = ""


def owner(softswitch: str) -> bytes:
    return hashlib.blake2b(softswitch.encode(), digest_size=8).digest()


def encode_head(softswitch: str, number: int) -> bytes:
    plain = HEAD.pack(MAGIC, owner(softswitch), number)
    return plain + CRC.pack(zlib.crc32(plain))


def read_head(raw: bytes, softswitch: str) -> int:
    """The number of a segment; raises Foreign."""
    if len(raw) < HEAD_BYTES:
        raise Foreign(f"{len(raw)} bytes are no head")
    magic, whose, number = HEAD.unpack_from(raw)
    if CRC.unpack_from(raw, HEAD.size)[0] != zlib.crc32(raw[: HEAD.size]):
        raise Foreign("the head's checksum does not fit")
    if magic != MAGIC:
        raise Foreign(f"{magic!r} is another version, or no journal")
    if whose != owner(softswitch):
        raise Foreign("it is another softswitch's")
    return int(number)


def encode(record: Record) -> bytes:
    """A record as it stands in a segment. ValueError or struct.error for one that cannot be."""
    match record.kind:
        case Kind.SERVER:
            host = record.host.encode()
            if not 0 < len(host) <= HOST_MOST:
                raise ValueError(f"a host of {len(host)} bytes")
            content = SERVER.pack(record.server, record.at_ms) + host
        case Kind.SENT:
            content = SENT.pack(record.call, record.attempt, record.server, record.at_ms)
        case Kind.LIVE:
            content = b""
        case _:
            content = CALL.pack(record.call)
    rest = FRAME.pack(0, len(content), record.kind)[CRC.size :] + content
    return CRC.pack(zlib.crc32(rest)) + rest


def read(raw: bytes, begin: int = HEAD_BYTES) -> Iterator[tuple[Record, int]]:
    """Whole records, each with where it ends, up to the first that is not whole or makes no sense."""
    place = begin
    while place + FRAME.size <= len(raw):
        crc, length, kind = FRAME.unpack_from(raw, place)
        end = place + FRAME.size + length
        if length > CONTENT_MOST or end > len(raw) or zlib.crc32(raw[place + CRC.size : end]) != crc:
            return
        record = _record(kind, raw[place + FRAME.size : end])
        if record is None:
            return
        yield record, end
        place = end


def _record(kind: int, content: bytes) -> Record | None:
    match kind:
        case Kind.SERVER if len(content) > SERVER.size:
            server, at_ms = SERVER.unpack_from(content)
            try:
                return Record(Kind.SERVER, server=server, at_ms=at_ms, host=content[SERVER.size :].decode())
            except UnicodeDecodeError:
                return None
        case Kind.SENT if len(content) == SENT.size:
            call, attempt, server, at_ms = SENT.unpack(content)
            return Record(Kind.SENT, call, server, attempt, at_ms)
        case Kind.LIVE if not content:
            return Record(Kind.LIVE)
        case Kind.TAKEN | Kind.OVER | Kind.STANDS | Kind.ENDED if len(content) == CALL.size:
            return Record(Kind(kind), CALL.unpack(content)[0])
    return None
