"""The format of the journal of calls: each segment names its owner, and each of its records has a checksum.

    segment = magic:8 owner:8 number:8 crc:4, then records; the first ones are a snapshot, which LIVE ends
    record  = crc:4 length:2 kind:1 content      the crc covers all that follows it; big-endian

This file owns that format. It must never do I/O, and never use a byte after the first record that is invalid.
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
RECORD_HEAD = struct.Struct(">IHB")
CALL_CONTENT = struct.Struct(">Q")
SENT_CONTENT = struct.Struct(">QBHQ")
SERVER_CONTENT = struct.Struct(">HQ")  # the host follows
HEAD_BYTES = HEAD.size + CRC.size
MAX_HOST_BYTES = 255
MAX_CONTENT_BYTES = SERVER_CONTENT.size + MAX_HOST_BYTES
MAX_ATTEMPT = 255
MAX_SERVERS = 65536


class Kind(IntEnum):
    SERVER = 1  # assigns a number to a host and its start
    TAKEN = 2
    SENT = 3  # an attempt is sent; with the time in Unix milliseconds
    OVER = 4  # the attempt has ended, but not the call; or a standing call is over, its caller to be notified
    STANDS = 5
    ENDED = 6  # neither the caller nor a server is owed anything any more
    LIVE = 7  # end of the snapshot of the calls that were live when the segment began


class UnusableSegment(ValueError):
    """A segment of another softswitch or version, or whose head is truncated or corrupt."""


class Record(NamedTuple):
    """Times in Unix milliseconds. Fields that a kind does not use are 0 or empty."""

    kind: Kind
    call: int = 0
    server: int = 0  # its number in this segment
    attempt: int = 0
    at_ms: int = 0  # SENT: when the attempt was sent; SERVER: the start of the server (0: long ago)
    host: str = ""


def owner_digest(softswitch: str) -> bytes:
    return hashlib.blake2b(softswitch.encode(), digest_size=8).digest()


def encode_head(softswitch: str, number: int) -> bytes:
    head = HEAD.pack(MAGIC, owner_digest(softswitch), number)
    return head + CRC.pack(zlib.crc32(head))


def decode_head(raw: bytes, softswitch: str) -> int:
    """The number of a segment; raises UnusableSegment."""
    if len(raw) < HEAD_BYTES:
        raise UnusableSegment(f"head of the segment truncated at {len(raw)} bytes")
    magic, owner, number = HEAD.unpack_from(raw)
    if CRC.unpack_from(raw, HEAD.size)[0] != zlib.crc32(raw[: HEAD.size]):
        raise UnusableSegment("checksum mismatch in the head of the segment")
    if magic != MAGIC:
        raise UnusableSegment(f"{magic!r} is not the magic number of this version of the journal")
    if owner != owner_digest(softswitch):
        raise UnusableSegment("the segment belongs to another softswitch")
    return int(number)


def encode(record: Record) -> bytes:
    """The bytes of a record in a segment; ValueError or struct.error if a field is out of its range."""
    match record.kind:
        case Kind.SERVER:
            host = record.host.encode()
            if not 0 < len(host) <= MAX_HOST_BYTES:
                raise ValueError(f"host name is empty or too long: {len(host)} bytes")
            content = SERVER_CONTENT.pack(record.server, record.at_ms) + host
        case Kind.SENT:
            content = SENT_CONTENT.pack(record.call, record.attempt, record.server, record.at_ms)
        case Kind.LIVE:
            content = b""
        case _:
            content = CALL_CONTENT.pack(record.call)
    checked = RECORD_HEAD.pack(0, len(content), record.kind)[CRC.size :] + content
    return CRC.pack(zlib.crc32(checked)) + checked


def iter_records(raw: bytes, begin: int = HEAD_BYTES) -> Iterator[tuple[Record, int]]:
    """The records and the offset at which each ends, up to the first truncated, corrupt or unknown one."""
    offset = begin
    while offset + RECORD_HEAD.size <= len(raw):
        crc, length, kind = RECORD_HEAD.unpack_from(raw, offset)
        end = offset + RECORD_HEAD.size + length
        if length > MAX_CONTENT_BYTES or end > len(raw) or zlib.crc32(raw[offset + CRC.size : end]) != crc:
            return
        record = _decode_content(kind, raw[offset + RECORD_HEAD.size : end])
        if record is None:
            return
        yield record, end
        offset = end


def _decode_content(kind: int, content: bytes) -> Record | None:
    match kind:
        case Kind.SERVER if len(content) > SERVER_CONTENT.size:
            server, at_ms = SERVER_CONTENT.unpack_from(content)
            try:
                return Record(
                    Kind.SERVER, server=server, at_ms=at_ms, host=content[SERVER_CONTENT.size :].decode()
                )
            except UnicodeDecodeError:
                return None
        case Kind.SENT if len(content) == SENT_CONTENT.size:
            call, attempt, server, at_ms = SENT_CONTENT.unpack(content)
            return Record(Kind.SENT, call, server, attempt, at_ms)
        case Kind.LIVE if not content:
            return Record(Kind.LIVE)
        case Kind.TAKEN | Kind.OVER | Kind.STANDS | Kind.ENDED if len(content) == CALL_CONTENT.size:
            return Record(Kind(kind), CALL_CONTENT.unpack(content)[0])
    return None
