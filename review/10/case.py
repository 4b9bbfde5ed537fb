"""Case 10: a caller's connection goes silent while two calls stand that were set up on it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers

CLASSES = [("general", 1.5, 9.0, 1.0), ("urgent", 1.2, 6.0, 6.0)]
SHORT_S, LONG_S, OTHER_S = 3.0, 28.0, 2.0  # how long the calls last
RELEASED_WITHIN_S = 8.0


async def play(case: peers.Case) -> None:
    lasts: dict[int, float] = {}
    server = peers.Server(case, "s-0", 0, answer_s=0.1, hold_s=lambda call: lasts[call])
    await server.start()
    bulletin = peers.Bulletin(case)
    await bulletin.start()
    bulletin.publish([peers.line(server)], whole=True)
    softswitch = peers.Softswitch(case, "n0", bulletin, peers.settings(CLASSES, pools=[0]))
    softswitch.start()
    await softswitch.ready()
    link = peers.Link(case, softswitch.port)
    await link.start()
    calls: dict[int, peers.Outcome] = {}
    first = peers.Client(case, link.port, calls, "connection 1")
    await first.connect()
    short = first.set_up("general", 3200, b"v=0 a short call", 0)
    long = first.set_up("general", 3200, b"v=0 a long call", 0)
    lasts[short], lasts[long] = SHORT_S, LONG_S
    await asyncio.sleep(1.0)
    if not (calls[short].stands() and calls[long].stands()):
        raise RuntimeError("the two calls don't stand")
    if peers.TROUBLE:
        link.silent()
        case.note("connection 1 is silent from now on")
    second = peers.Client(case, softswitch.port, calls, "connection 2")
    await second.connect()
    while case.now() < 24.0:
        lasts[second.set_up("general", 3200, b"v=0 another call", 0)] = OTHER_S
        await asyncio.sleep(1.0)
    for call, released in server.released.items():
        told = calls[call].released or case.now()
        if told - released > RELEASED_WITHIN_S + peers.SLACK:
            when = f"its caller was told {told - released:.1f} s later" if calls[call].released else (
                f"its caller has not been told {told - released:.1f} s later, though connection 2 was open "
                "and carried calls"
            )  # fmt: skip
            case.fault(f"call {call:016x} was released by its setup server at {released:.3f}; {when}")
    case.note(f"{len(calls)} calls, {len(server.released)} over")


peers.run_case(__file__, play)
