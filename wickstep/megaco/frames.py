"""Messages of H.248 on TCP: the packets of RFC 1006 (TPKT), as H.248.1 Annex D.2 has them.

This file owns where one message ends and the next begins. It must never hold more of one peer's than a
message.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from wickstep.megaco.text import Malformed

HEAD = struct.Struct(">BBH")  # version 3, reserved, the length with these four
MOST = 48 * 1024  # a description of 16 KiB, every octet escaped, and room for the rest


def wrap(message: bytes) -> bytes:
    size = HEAD.size + len(message)
    if size > MOST:
        raise ValueError(f"a message of {size} bytes")
    return HEAD.pack(3, 0, size) + message


class Frames:
    """Cuts one connection's bytes into messages."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def begun(self) -> bool:
        return bool(self._rest)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The messages that are whole now; raises Malformed where no packet begins."""
        self._rest += data
        while len(self._rest) >= HEAD.size:
            version, _, size = HEAD.unpack_from(self._rest)
            if version != 3 or not HEAD.size < size <= MOST:
                raise Malformed(f"no packet: version {version}, {size} bytes")
            if len(self._rest) < size:
                return
            message = bytes(self._rest[HEAD.size : size])
            del self._rest[:size]
            yield message
