"""Case 10: a setup server is drained while its links are partitioned, and the links come back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers

CALLS_A_SECOND = 25
CLASSES = [("slot-lookup", 5.0, 15.0, 1.0), ("book-slot", 5.0, 15.0, 3.0)]
DRAIN_S = 0.5  # `drain_grace_ns` of the settings
DESCRIPTION_BYTES = 12_000  # a message may have 16 KiB


def kernel_bytes(near_port: int) -> dict[tuple[str, int], int]:
    """What the kernel holds of each connection to the link, by the softswitch's end: unsent, or unread."""
    held: dict[tuple[str, int], int] = {}
    for text in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = text.split()
        local, remote = (int(address.split(":")[1], 16) for address in fields[1:3])
        unsent, unread = (int(number, 16) for number in fields[4].split(":"))
        if fields[3] != "0A" and remote == near_port:
            held[("127.0.0.1", local)] = held.get(("127.0.0.1", local), 0) + unsent
        elif fields[3] != "0A" and local == near_port:
            held[("127.0.0.1", remote)] = held.get(("127.0.0.1", remote), 0) + unread
    return held


async def play(case: peers.Case) -> None:
    servers = [peers.Server(case, f"s-{n}", n, answer_s=0.5, hold_s=3.0) for n in range(2)]
    for server in servers:
        await server.start()
    link = peers.Link(case, servers[0].port, buffer_bytes=8192)
    await link.start()
    bulletin = peers.Bulletin(case)
    await bulletin.start()
    bulletin.publish([peers.line(servers[0], port=link.port), peers.line(servers[1])], whole=True)
    site = peers.settings(
        CLASSES, pools=[0, 1], rules__drain_grace_ns=int(DRAIN_S * 1e9), limits__probes=False
    )
    softswitch = peers.Softswitch(case, "n0", bulletin, site)
    softswitch.start()
    await softswitch.ready()
    calls: dict[int, peers.Outcome] = {}
    client = peers.Client(case, softswitch.port, calls)
    await client.connect()

    async def load(until: float) -> None:
        number = 0
        while case.now() < until:
            description = f"v=0 call {number} ".encode().ljust(DESCRIPTION_BYTES, b".")
            client.set_up("slot-lookup", 5900, description, 0 if number % 4 else 1)
            number += 1
            if not lull.is_set() and case.now() > began + 15.4:
                await lull.wait()  # traffic comes in waves: none for half a second, then as before
            await asyncio.sleep(1 / CALLS_A_SECOND)

    began, lull = case.now(), asyncio.Event()
    loading = case.spawn(load(began + 20.0))
    await case.until(began + 16.0)
    frozen: dict[tuple[str, int], int] = {}
    if peers.TROUBLE:
        link.silent()
        case.note("link: partitioned")
    lull.set()
    await case.until(began + 16.9)
    bulletin.publish([peers.line(servers[0], "Terminating", port=link.port)])
    told = case.now()
    await case.until(told + DRAIN_S + peers.SLACK + 0.3)
    if peers.TROUBLE:
        frozen = kernel_bytes(link.port)
        for peer, count in frozen.items():
            case.note(f"link: {peer[1]}: {link.passed.get(peer)} bytes passed, {count} in the kernel")
    limits = {peer: link.passed.get(peer, 0) + count for peer, count in frozen.items()}
    await case.until(began + 17.9)
    link.heal()
    case.note("link: whole again")
    await loading
    await asyncio.sleep(1.0)
    judge(case, link, servers[0], told + DRAIN_S + peers.SLACK, limits)


def judge(
    case: peers.Case, link: peers.Link, server: peers.Server, last: float, limits: dict[tuple[str, int], int]
) -> None:
    """What the kernel took before the limit counts as sent in time, whenever it came to the server."""
    arrived = {call: at for at, call in server.set_ups}
    late = sum(at > last for at, _ in server.set_ups)
    case.note(f"{server.host}: {late} set-ups came whole after {last:.3f}")
    for peer, starts in link.set_ups.items():
        for offset, call in starts:
            if arrived.get(call, 0.0) > last and offset >= limits.get(peer, 0):
                case.fault(
                    f"set-up {call:016x} reached {server.host} at {arrived[call]:.3f}; by {last:.3f} "
                    f"nothing of it was written: byte {offset}, its kernel had {limits.get(peer, 0)}"
                )


peers.run_case(__file__, play)
