"""Files that tell whether they are whole: one line with kind, version and checksum, then a body of JSON.

This file owns that form and the way it is written and read. It must never raise anything but `CorruptFile` on
what stands in a file, follow a link, wait for a pipe, or read more than it was told to.
"""

from __future__ import annotations

import contextlib
import os
import stat
from pathlib import Path
from typing import Any

import ujson

MARK = "wickstep"
VERSION = 1  # of all that is sealed here; another one's is not read
DIGEST = 16  # bytes


class CorruptFile(ValueError):
    """A file that cannot be used; the text says why."""


def _digest(head: bytes, body: bytes) -> str:
    import hashlib  # 3.7 MB, for who keeps or finds a file only

    return hashlib.blake2b(head + b"\n" + body, digest_size=DIGEST).hexdigest()


def pack(kind: str, content: Any) -> bytes:
    """What stands in a file of this kind. The content is of what JSON has."""
    body = ujson.dumps(content, escape_forward_slashes=False).encode()
    head = f"{MARK} {kind} {VERSION}".encode()
    return b"%b %b\n%b" % (head, _digest(head, body).encode(), body)


def unpack(kind: str, raw: bytes) -> Any:
    """The content; raises CorruptFile."""
    line, _, body = raw.partition(b"\n")
    words = line.split(b" ")
    if len(words) != 4 or words[0] != MARK.encode() or words[1] != kind.encode():
        raise CorruptFile(f"no {kind} of {MARK}")
    if words[2] != b"%d" % VERSION:
        raise CorruptFile(f"version {words[2][:20]!r}, this is {VERSION}")
    if words[3] != _digest(b" ".join(words[:3]), body).encode():
        raise CorruptFile("the checksum does not fit")
    try:
        return ujson.loads(body)
    except ValueError as trouble:
        raise CorruptFile(f"no JSON: {trouble}") from trouble


def write(path: Path, kind: str, content: Any) -> None:
    """Replace the file whole: a reader, or a kill at any moment, finds the old one or the new. OSError."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(pack(kind, content))
        os.replace(beside, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(beside)
        raise


def read_own_file(path: Path, most: int) -> bytes:
    """At most so many bytes of a plain file of this user; OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    with os.fdopen(descriptor, "rb") as file:
        found = os.fstat(descriptor)
        if not stat.S_ISREG(found.st_mode) or found.st_uid != os.geteuid():
            raise OSError("no file of this user")
        return file.read(most)


def read(path: Path, kind: str, most: int) -> Any | None:
    """The content of a file of at most so many bytes, None where there is none; raises CorruptFile."""
    try:
        raw = read_own_file(path, most + 1)
    except FileNotFoundError:
        return None
    except OSError as trouble:
        raise CorruptFile(str(trouble)) from trouble
    if len(raw) > most:
        raise CorruptFile(f"more than {most} bytes")
    return unpack(kind, raw)
