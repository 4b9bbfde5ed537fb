"""Compares the text codec with the binary one and the cache of requests with an ordered dict, in paired runs.

    python -m benchmarks.megaco

A set-up is encoded and decoded in both encodings in turns; the ratio is the result. The cache of requests is
filled with 100 thousand entries and kept at that size while time passes, beside an ordered dict that drops
its expired entries one by one.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from functools import partial

from wickstep.megaco import frames, messages
from wickstep.megaco.messages import Action, Command, Message, TransactionRequest
from wickstep.megaco.text import Node
from wickstep.megaco.transactions import LONG_TIMER_US, DuplicateRequestCache, RequestStatus, digest
from wickstep.net import SetUp, codec

ROUNDS, CALLS_PER_ROUND = 9, 2000
ENTRIES = 100_000
DESCRIPTION = (
    b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0 8\r\n"
)


def mean_time_us(function: Callable[[], object]) -> float:
    started = time.perf_counter()
    for _ in range(CALLS_PER_ROUND):
        function()
    return (time.perf_counter() - started) / CALLS_PER_ROUND * 1e6


def compare(label: str, tested: Callable[[], object], baseline: Callable[[], object]) -> None:
    times = [(mean_time_us(tested), mean_time_us(baseline)) for _ in range(ROUNDS)]
    ratio = statistics.median(tested_us / baseline_us for tested_us, baseline_us in times)
    tested_us, baseline_us = (statistics.median(side) for side in zip(*times, strict=True))
    print(
        f"{label}: {tested_us:.1f} us against {baseline_us:.1f} us, ratio {ratio:.1f} ({ROUNDS} pairs)",
        flush=True,
    )


def compare_codecs() -> None:
    set_up = SetUp(0x7F3A9C21E0B4D655, "general", 1500, "7f3a9c21e0b4d655", DESCRIPTION, first_choice=2)
    control = [Node("Mode", "SendReceive"), Node("wkc/class", "general"), Node("wkc/wait", "1500")]
    control += [Node("wkc/number", "7f3a9c21e0b4d655"), Node("wkc/dest", "2")]
    stream = Node("Stream", "1", [Node("LocalControl", items=control), Node("Remote", octets=DESCRIPTION)])
    command = Command("Add", "call/7f3a9c21e0b4d655", [Node("Media", items=[stream])])
    message = Message("[127.0.0.1]:2944", [TransactionRequest(9998, [Action("$", [command])])])
    binary = codec.encode(set_up)
    for name, short in (("long", False), ("short", True)):
        packet = frames.encode_packet(messages.serialize(message, short))
        print(f"a set-up in {name} tokens: {len(packet)} bytes against {len(binary)} in binary")
        compare(
            f"  encoded, {name}", partial(messages.serialize, message, short), partial(codec.encode, set_up)
        )
        compare(f"  decoded, {name}", partial(decode_text, packet), partial(decode_binary, binary))


def decode_text(packet: bytes) -> list[Message]:
    return [messages.parse(data) for data in frames.PacketDecoder().feed(packet)]


def decode_binary(data: bytes) -> list[object]:
    return list(codec.Splitter().feed(data))


class OrderedDictCache:
    """The simplest implementation, as baseline: drops expired entries from the front of one ordered dict."""

    def __init__(self) -> None:
        self.entries: OrderedDict[tuple[str, int], tuple[int, bytes, bytes | None]] = OrderedDict()

    def register(self, sender: str, transaction_id: int, content_digest: bytes, now: int) -> bytes | None:
        while self.entries and next(iter(self.entries.values()))[0] < now - LONG_TIMER_US:
            self.entries.popitem(last=False)
        entry = self.entries.get((sender, transaction_id))
        if entry is None:
            self.entries[sender, transaction_id] = (now, content_digest, None)
            return None
        return entry[2]

    def store_reply(self, sender: str, transaction_id: int, reply: bytes, now: int) -> None:
        _, content_digest, _ = self.entries[sender, transaction_id]
        self.entries[sender, transaction_id] = (now, content_digest, reply)
        self.entries.move_to_end((sender, transaction_id))


def compare_caches() -> None:
    reply = b"MEGACO/3 [127.0.0.1]:2944 Reply = 1 { Context = 1 { Add = call/7f3a9c21e0b4d655 } }"
    content_digest = digest(b"content")

    def fill(
        candidate: DuplicateRequestCache | OrderedDictCache,
        first: int,
        count: int,
        now: int,
        interval_us: int,
    ) -> None:
        for transaction_id in range(first, first + count):
            now += interval_us
            candidate.register("[127.0.0.1]:2944", transaction_id, content_digest, now)
            candidate.store_reply(
                "[127.0.0.1]:2944", transaction_id, reply + transaction_id.to_bytes(4, "big"), now
            )

    interval_us = LONG_TIMER_US // ENTRIES
    filled: list[tuple[DuplicateRequestCache | OrderedDictCache, float]] = []
    factories: list[Callable[[], DuplicateRequestCache | OrderedDictCache]] = [
        lambda: DuplicateRequestCache(max_entries=2 * ENTRIES),
        OrderedDictCache,
    ]
    for factory in factories:
        tracemalloc.start()
        new_cache = factory()
        fill(new_cache, 1, ENTRIES, 0, interval_us)
        held_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        filled.append((new_cache, held_mb))
    (cache, cache_mb), (baseline, baseline_mb) = filled
    assert isinstance(cache, DuplicateRequestCache)
    assert isinstance(baseline, OrderedDictCache)
    caches: list[DuplicateRequestCache | OrderedDictCache] = [cache, baseline]
    print(f"{ENTRIES} transactions cached: {cache_mb:.1f} MB against {baseline_mb:.1f} MB")
    now, transaction_id, ratios, times, worst_ms = LONG_TIMER_US, ENTRIES + 1, [], [], [0.0, 0.0]
    for _ in range(ROUNDS):
        round_us = []
        for index, candidate in enumerate(caches):
            started = time.perf_counter()
            fill(candidate, transaction_id, ENTRIES // ROUNDS, now, interval_us)
            round_us.append((time.perf_counter() - started) / (ENTRIES // ROUNDS) * 1e6)
            # The longest single operation: the cache drops a generation, or the baseline its expired entries.
            operation_started = time.perf_counter()
            candidate.register(
                "[127.0.0.1]:2944",
                0xFFFFFFFF - transaction_id,
                content_digest,
                now + interval_us * (ENTRIES // ROUNDS),
            )
            worst_ms[index] = max(worst_ms[index], (time.perf_counter() - operation_started) * 1e3)
        now, transaction_id = now + interval_us * (ENTRIES // ROUNDS), transaction_id + ENTRIES // ROUNDS
        times.append(round_us)
        ratios.append(round_us[0] / round_us[1])
    cache_us, baseline_us = (statistics.median(side) for side in zip(*times, strict=True))
    ratio = statistics.median(ratios)
    both_us = f"{cache_us:.2f} us against {baseline_us:.2f} us"
    print(f"  a request and its reply: {both_us}, ratio {ratio:.2f} ({ROUNDS} pairs)")
    assert (
        cache.register("[127.0.0.1]:2944", transaction_id - 1, content_digest, now)[0] is RequestStatus.DONE
    )
    first_ms = []
    for candidate in caches:
        started = time.perf_counter()
        candidate.register("[127.0.0.1]:2944", 0xFFFFFFF0, content_digest, now + 3 * LONG_TIMER_US)
        first_ms.append((time.perf_counter() - started) * 1e3)
    print(f"  the first request after a pause: {first_ms[0]:.2f} ms against {first_ms[1]:.2f} ms (one each)")


if __name__ == "__main__":
    compare_codecs()
    compare_caches()
