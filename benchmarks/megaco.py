"""The text codec against the binary one, and the memory of transactions against a plain one, paired in one
run.

    python -m benchmarks.megaco

A call's messages are encoded and read in both encodings in turns; what counts is the ratio. The memory of
transactions is filled to 100 thousand and kept there while the time goes on, beside an ordered dict whose
entries leave one by one.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from functools import partial

from wickstep.megaco import frames, messages
from wickstep.megaco.messages import Action, Command, Message, Request
from wickstep.megaco.text import Node
from wickstep.megaco.transactions import AGE, Known, Memory, digest
from wickstep.net import SetUp, codec

ROUNDS, EACH = 9, 2000
FULL = 100_000
DESCRIPTION = (
    b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0 8\r\n"
)


def timed(do: Callable[[], object]) -> float:
    began = time.perf_counter()
    for _ in range(EACH):
        do()
    return (time.perf_counter() - began) / EACH * 1e6


def pairs(what: str, ours: Callable[[], object], theirs: Callable[[], object]) -> None:
    found = [(timed(ours), timed(theirs)) for _ in range(ROUNDS)]
    ratio = statistics.median(mine / other for mine, other in found)
    mine, other = (statistics.median(side) for side in zip(*found, strict=True))
    print(f"{what}: {mine:.1f} us against {other:.1f} us, ratio {ratio:.1f} ({ROUNDS} pairs)", flush=True)


def codecs() -> None:
    binary = SetUp(0x7F3A9C21E0B4D655, "general", 1500, "7f3a9c21e0b4d655", DESCRIPTION, first_choice=2)
    control = [Node("Mode", "SendReceive"), Node("wkc/class", "general"), Node("wkc/wait", "1500")]
    control += [Node("wkc/number", "7f3a9c21e0b4d655"), Node("wkc/dest", "2")]
    stream = Node("Stream", "1", [Node("LocalControl", items=control), Node("Remote", octets=DESCRIPTION)])
    command = Command("Add", "call/7f3a9c21e0b4d655", [Node("Media", items=[stream])])
    text = Message("[127.0.0.1]:2944", [Request(9998, [Action("$", [command])])])
    bits = codec.encode(binary)
    for name, short in (("long", False), ("short", True)):
        wire = frames.wrap(messages.compose(text, short))
        print(f"a set-up in {name} tokens: {len(wire)} bytes against {len(bits)}")
        pairs(f"  written, {name}", partial(messages.compose, text, short), partial(codec.encode, binary))
        pairs(f"  read, {name}", partial(read_text, wire), partial(read_binary, bits))


def read_text(wire: bytes) -> list[Message]:
    return [messages.parse(data) for data in frames.Frames().feed(wire)]


def read_binary(bits: bytes) -> list[object]:
    return list(codec.Splitter().feed(bits))


class Plain:
    """What a page of Python would do: an ordered dict, and what is too old leaves at its front, one by
    one."""

    def __init__(self) -> None:
        self.kept: OrderedDict[tuple[str, int], tuple[int, bytes, bytes | None]] = OrderedDict()

    def comes(self, sender: str, ident: int, content: bytes, now: int) -> bytes | None:
        while self.kept and next(iter(self.kept.values()))[0] < now - AGE:
            self.kept.popitem(last=False)
        found = self.kept.get((sender, ident))
        if found is None:
            self.kept[sender, ident] = (now, content, None)
            return None
        return found[2]

    def answered(self, sender: str, ident: int, reply: bytes, now: int) -> None:
        _, content, _ = self.kept[sender, ident]
        self.kept[sender, ident] = (now, content, reply)
        self.kept.move_to_end((sender, ident))


def memories() -> None:
    reply = b"MEGACO/3 [127.0.0.1]:2944 Reply = 1 { Context = 1 { Add = call/7f3a9c21e0b4d655 } }"
    content = digest(b"content")

    def fill(memory: Memory | Plain, first: int, count: int, now: int, gap: int) -> None:
        for ident in range(first, first + count):
            now += gap
            memory.comes("[127.0.0.1]:2944", ident, content, now)
            memory.answered("[127.0.0.1]:2944", ident, reply + ident.to_bytes(4, "big"), now)

    gap = AGE // FULL
    figures: list[tuple[Memory | Plain, float]] = []
    makes: list[Callable[[], Memory | Plain]] = [lambda: Memory(most=2 * FULL), Plain]
    for make in makes:
        tracemalloc.start()
        memory = make()
        fill(memory, 1, FULL, 0, gap)
        held = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        figures.append((memory, held))
    (ours, ours_mb), (plain, plain_mb) = figures
    assert isinstance(ours, Memory)
    assert isinstance(plain, Plain)
    both: list[Memory | Plain] = [ours, plain]
    print(f"{FULL} transactions remembered: {ours_mb:.1f} MB against {plain_mb:.1f} MB")
    now, ident, ratios, times, worst = AGE, FULL + 1, [], [], [0.0, 0.0]
    for _ in range(ROUNDS):
        took = []
        for place, each in enumerate(both):
            began = time.perf_counter()
            fill(each, ident, FULL // ROUNDS, now, gap)
            took.append((time.perf_counter() - began) / (FULL // ROUNDS) * 1e6)
            # The longest single step: where a generation goes, or the plain one forgets after a silence.
            before = time.perf_counter()
            each.comes("[127.0.0.1]:2944", 0xFFFFFFFF - ident, content, now + gap * (FULL // ROUNDS))
            worst[place] = max(worst[place], (time.perf_counter() - before) * 1e3)
        now, ident = now + gap * (FULL // ROUNDS), ident + FULL // ROUNDS
        times.append(took)
        ratios.append(took[0] / took[1])
    ours_us, plain_us = (statistics.median(side) for side in zip(*times, strict=True))
    ratio = statistics.median(ratios)
    took_us = f"{ours_us:.2f} us against {plain_us:.2f} us"
    print(f"  a request and its reply: {took_us}, ratio {ratio:.2f} ({ROUNDS} pairs)")
    assert ours.comes("[127.0.0.1]:2944", ident - 1, content, now)[0] is Known.DONE
    silences = []
    for each in both:
        began = time.perf_counter()
        each.comes("[127.0.0.1]:2944", 0xFFFFFFF0, content, now + 3 * AGE)
        silences.append((time.perf_counter() - began) * 1e3)
    print(
        f"  the first request after a silence: {silences[0]:.2f} ms against {silences[1]:.2f} ms (one each)"
    )


if __name__ == "__main__":
    codecs()
    memories()
