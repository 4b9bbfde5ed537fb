"""Case 10: discovery is slow while a setup server is drained."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers

CALLS_A_SECOND = 15
CLASSES = [("general", 1.5, 9.0, 1.0), ("urgent", 1.2, 6.0, 6.0)]
SLOW_S = 4.0  # what the bulletin takes for each request while it is slow; it answers each of them
TOLD_S = 7.0  # whatever the bulletin has to tell counts as told then, whether it arrived or not
DRAIN_S = 2.0  # `drain_grace_ns` of the settings


async def play(case: peers.Case) -> None:
    servers = [peers.Server(case, f"s-{n}", n, answer_s=0.1, hold_s=3.0) for n in range(2)]
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
            klass, wait_ms = (("general", 3200), ("urgent", 2100))[number % 4 == 0]
            client.set_up(klass, wait_ms, f"v=0 call {number}".encode(), number % 2)
            number += 1
            await asyncio.sleep(1 / CALLS_A_SECOND)

    began = case.now()
    loading = case.spawn(load(began + 26.0))
    await case.until(began + 4.0)
    if peers.TROUBLE:
        bulletin.slow_s = SLOW_S
        case.note(f"bulletin: takes {SLOW_S} s for a request from now on")
    await case.until(began + 10.0)
    bulletin.publish([peers.line(servers[0], "Terminating")])
    published = case.now()
    await loading
    last = published + TOLD_S + DRAIN_S + peers.SLACK
    late = [(at, call) for at, call in servers[0].set_ups if at > last]
    before = sum(at <= last for at, _ in servers[0].set_ups)
    case.note(f"{servers[0].host}: {before} set-ups up to {last:.3f}, {len(late)} after it")
    for at, call in late:
        case.fault(
            f"set-up {call:016x} reached {servers[0].host} {at - published:.2f} s after its drain was told"
        )


peers.run_case(__file__, play)
