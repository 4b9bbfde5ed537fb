"""Case 7: connections to a setup server are reset while answers are on their way."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers

CALLS_A_SECOND = 50
CLASSES = [("general", 1.5, 9.0, 1.0), ("urgent", 1.2, 6.0, 6.0)]
ONE_WAY_S = 0.022  # the brief has 10 to 22 ms
RESETS, INTERVAL_S = 20, 1.1
HOLD_S = 6.0


async def play(case: peers.Case) -> None:
    servers = [peers.Server(case, f"s-{n}", n, answer_s=0.2, hold_s=HOLD_S) for n in range(2)]
    links = []
    for server in servers:
        await server.start()
        links.append(peers.Link(case, server.port, delay_s=ONE_WAY_S))
        await links[-1].start()
    bulletin = peers.Bulletin(case)
    await bulletin.start()
    lines = [peers.line(server, port=link.port) for server, link in zip(servers, links, strict=True)]
    bulletin.publish(lines, whole=True)
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
    loading = case.spawn(load(began + 8.0 + RESETS * INTERVAL_S))
    for number in range(RESETS):
        await case.until(began + 8.0 + number * INTERVAL_S)
        if peers.TROUBLE:
            case.note("link: the connections to s-0 are reset")
            links[0].reset()
    await loading
    await asyncio.sleep(3.2 + HOLD_S + 1.0)
    judge(case, servers, calls)


def judge(case: peers.Case, servers: list[peers.Server], calls: dict[int, peers.Outcome]) -> None:
    by_call: dict[int, list[peers.Attempt]] = {}
    for attempt in sorted((each for server in servers for each in server.attempts), key=lambda each: each.at):
        by_call.setdefault(attempt.call, []).append(attempt)
    for call, attempts in by_call.items():
        for first, second in itertools.pairwise(attempts):
            if first.answered and first.end > second.at + peers.SLACK:
                case.fault(
                    f"call {call:016x} stood at {first.host} from {first.answered:.3f} to {first.end:.3f}, "
                    f"and was sent to {second.host} at {second.at:.3f}"
                )
    answered = sum(bool(outcome.answers) for outcome in calls.values())
    again = sum(len(attempts) > 1 for attempts in by_call.values())
    case.note(f"{len(calls)} calls, {answered} answered, {again} sent more than once")


peers.run_case(__file__, play)
