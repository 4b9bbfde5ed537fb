"""Case 10: a setup server takes the address of one that has gone, and the list tells so some seconds late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers

CALLS_A_SECOND = 12
CLASSES = [("general", 1.5, 9.0, 1.0), ("urgent", 1.2, 6.0, 6.0)]
NOTICE_S = 4.0  # how late the list is; the site file has 1.1 to 4.3 s
HOLD_S = 6.0


async def play(case: peers.Case) -> None:
    servers = [peers.Server(case, f"s-{n}", n, answer_s=0.1, hold_s=HOLD_S) for n in range(2)]
    for server in servers:
        await server.start()
    bulletin = peers.Bulletin(case)
    await bulletin.start()
    bulletin.publish([peers.line(server) for server in servers], whole=True)
    softswitch = peers.Softswitch(case, "n0", bulletin, peers.settings(CLASSES, pools=[0, 1]))
    softswitch.start()
    await softswitch.ready()
    calls: dict[int, peers.Outcome] = {}
    client = peers.Client(case, softswitch.port, calls)
    await client.connect()

    async def load(until: float) -> None:
        number = 0
        while case.now() < until:
            client.set_up("general", 3200, f"v=0 call {number}".encode(), number % 2)
            number += 1
            await asyncio.sleep(1 / CALLS_A_SECOND)

    began = case.now()
    loading = case.spawn(load(began + 13.0))
    await case.until(began + 4.0)
    new = peers.Server(case, "s-9", 0, answer_s=0.1, hold_s=HOLD_S, port=servers[0].port)
    if peers.TROUBLE:
        case.note("s-0: its process has ended")
        servers[0].die()
        await asyncio.sleep(0.1)
        born_ms = int(time.time() * 1000)
        await new.start()
        case.note("s-9: started at the address of s-0")
        await asyncio.sleep(NOTICE_S)
        bulletin.publish([peers.line(servers[0], "Gone"), peers.line(new, born_ms=born_ms)])
    await loading
    await asyncio.sleep(HOLD_S + 3.2)
    for server in (servers[1], new):
        for call, at in server.answered.items():
            outcome, over = calls[call], server.released.get(call, case.now())
            if outcome.released and outcome.released < over and call not in server.cut:
                case.fault(
                    f"call {call:016x} stands at {server.host} from {at:.3f} to {over:.3f}; its caller was "
                    f"told at {outcome.released:.3f} that it is over, and nobody had released it"
                )
        case.note(f"{server.host}: {len(server.answered)} calls stood")


peers.run_case(__file__, play)
