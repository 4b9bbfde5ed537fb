"""Case 6: the process of a setup server hangs for some seconds and goes on."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers_2 as peers
from server_2 import hold_s

SERVER = Path(peers.__file__).with_name("server_2.py")
CALLS_A_SECOND = 25
CLASSES = [("general", 1.5, 9.0, 1.0), ("urgent", 1.2, 6.0, 6.0)]
ANSWER_S = 0.2
HANGS_S = 8.0  # the brief has 7.7 to 23 s
RELEASED_WITHIN_S = 8.0


async def play(case: peers.Case) -> None:
    tables = case.temporary / "s-0.json"
    arguments = ["s-0", "0", str(ANSWER_S), str(case.began), str(tables)]
    hanging = subprocess.Popen(
        [sys.executable, str(SERVER), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    case.processes.append(hanging)
    assert hanging.stdout is not None
    first = peers.Server(case, "s-0", 0, port=int(hanging.stdout.readline()))  # its line on the list, no more
    second = peers.Server(case, "s-1", 1, answer_s=ANSWER_S, hold_s=hold_s)
    await second.start()
    bulletin = peers.Bulletin(case)
    await bulletin.start()
    bulletin.publish([peers.line(first), peers.line(second)], whole=True)
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
    loading = case.spawn(load(began + 10.0 + HANGS_S + 4.0))
    await case.until(began + 10.0)
    if peers.TROUBLE:
        hanging.send_signal(signal.SIGSTOP)
        case.note("s-0: hangs")
    await case.until(began + 10.0 + HANGS_S)
    if peers.TROUBLE:
        hanging.send_signal(signal.SIGCONT)
        case.note("s-0: goes on")
    await loading
    await asyncio.sleep(9.0 + RELEASED_WITHIN_S + 2.0)  # the last call's end, and the time for its release
    hanging.send_signal(signal.SIGTERM)
    hanging.wait()
    said = json.loads(tables.read_text())
    case.lines += said["notes"]
    released = {int(call): at for call, at in said["released"].items()} | second.released
    for call, at in released.items():
        outcome = calls[call]
        told = outcome.released or case.now()
        if (
            outcome.answers
            and outcome.answers[0][1] == "stands"
            and told - at > RELEASED_WITHIN_S + peers.SLACK
        ):
            what = "told" if outcome.released else "still not told"
            case.fault(
                f"call {call:016x} came to its end and was released by its setup server at {at:.3f}; its "
                f"caller was {what} {told - at:.1f} s later"
            )
    case.note(f"{len(calls)} calls, {sum(bool(each.answers) for each in calls.values())} answered")


peers.run_case(__file__, play)
