"""Framing of H.248 messages on TCP: TPKT packets (RFC 1006), as required by H.248.1 Annex D.2.

This file owns the boundaries between messages in a byte stream. It must never buffer more than one message of
a peer.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from wickstep.megaco.text import Malformed

TPKT_HEADER = struct.Struct(">BBH")  # version 3, reserved, packet length including this header
MAX_PACKET_BYTES = 48 * 1024  # a description of 16 KiB with every octet escaped, and room for the rest


def encode_packet(message: bytes) -> bytes:
    """Prepends the TPKT header; raises ValueError if the message is too long."""
    size = TPKT_HEADER.size + len(message)
    if size > MAX_PACKET_BYTES:
        raise ValueError(f"TPKT packet of {size} bytes exceeds the maximum length")
    return TPKT_HEADER.pack(3, 0, size) + message


class PacketDecoder:
    """Splits the byte stream of one connection into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def has_partial_message(self) -> bool:
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the messages that are complete; raises Malformed on an invalid packet header."""
        self._buffer += data
        while len(self._buffer) >= TPKT_HEADER.size:
            version, _, size = TPKT_HEADER.unpack_from(self._buffer)
            if version != 3 or not TPKT_HEADER.size < size <= MAX_PACKET_BYTES:
                raise Malformed(f"invalid TPKT header: version {version}, packet length {size} bytes")
            if len(self._buffer) < size:
                return
            message = bytes(self._buffer[TPKT_HEADER.size : size])
            del self._buffer[:size]
            yield message
