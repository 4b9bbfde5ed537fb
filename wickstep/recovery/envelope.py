"""Files with a checksum: one header line with magic, kind, version and checksum, then a body of JSON.

This file owns that format, and how it is written and read. Whatever a file contains, it must never raise
anything but `CorruptFile`. It must never follow a link, block on a pipe, or read beyond the given limit.
"""

from __future__ import annotations

import contextlib
import os
import stat
from pathlib import Path
from typing import Any

import ujson

MAGIC = "wickstep"
VERSION = 1  # of every kind of file; files of another version are not read
DIGEST_BYTES = 16


class CorruptFile(ValueError):
    """A file that cannot be used; the text says why."""


def _checksum(header: bytes, body: bytes) -> str:
    import hashlib  # takes 3.7 MB: imported only by processes that write or find such a file

    return hashlib.blake2b(header + b"\n" + body, digest_size=DIGEST_BYTES).hexdigest()


def pack(kind: str, content: Any) -> bytes:
    """The bytes of a file of this kind. The content has to be representable in JSON."""
    body = ujson.dumps(content, escape_forward_slashes=False).encode()
    header = f"{MAGIC} {kind} {VERSION}".encode()
    return b"%b %b\n%b" % (header, _checksum(header, body).encode(), body)


def unpack(kind: str, raw: bytes) -> Any:
    """The content; raises CorruptFile."""
    line, _, body = raw.partition(b"\n")
    words = line.split(b" ")
    if len(words) != 4 or words[0] != MAGIC.encode() or words[1] != kind.encode():
        raise CorruptFile(f"not a {kind} file of {MAGIC}")
    if words[2] != b"%d" % VERSION:
        raise CorruptFile(f"file has version {words[2][:20]!r}, expected {VERSION}")
    if words[3] != _checksum(b" ".join(words[:3]), body).encode():
        raise CorruptFile("checksum mismatch")
    try:
        return ujson.loads(body)
    except ValueError as error:
        raise CorruptFile(f"body is not JSON: {error}") from error


def write(path: Path, kind: str, content: Any) -> None:
    """Replace the file atomically: after a kill at any moment, readers find the old one or the new one.

    Raises OSError.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(pack(kind, content))
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise


def read_own_file(path: Path, max_bytes: int) -> bytes:
    """The first `max_bytes` bytes of a regular file that belongs to this user; raises OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    with os.fdopen(descriptor, "rb") as file:
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid():
            raise OSError("not a regular file of this user")
        return file.read(max_bytes)


def read(path: Path, kind: str, max_bytes: int) -> Any | None:
    """The content of a file of at most `max_bytes` bytes, None if there is no file; raises CorruptFile."""
    try:
        raw = read_own_file(path, max_bytes + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise CorruptFile(str(error)) from error
    if len(raw) > max_bytes:
        raise CorruptFile(f"file has more than {max_bytes} bytes")
    return unpack(kind, raw)
