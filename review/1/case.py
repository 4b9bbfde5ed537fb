"""A softswitch is restarted once, and the calls that stood go on: is each released towards its caller?"""

from __future__ import annotations

import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import TROUBLE, Bulletin, Caller, Record, SetupServer, Softswitch, main  # noqa: E402

SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
RELEASE_S, LATE_RELEASE_S = 1.0 + SLACK_S, 8.0 + SLACK_S
MEANS = {"general": 9.9, "urgent": 6.0, "adviser": 7.9}  # seconds, `call_length_ns` of the example's settings
SHARES = {"general": 0.74, "urgent": 0.05, "adviser": 0.21}
RESTART_AT_S, LAST_MEASURED_S, END_S = 12.0, 16.0, 100.0
CALLS_PER_S, LATER_CALLS_PER_S = 20, 2


def case(record: Record, folder: Path, started: list[Softswitch]) -> list[str]:
    draw = random.Random(33)
    lengths: dict[int, float] = {}
    servers = [
        SetupServer(record, f"s-{block}", block, hold_s=lambda call, values: lengths[call])
        for block in (0, 1)
    ]
    bulletin = Bulletin(record, [server.entry() for server in servers])
    softswitch = Softswitch(record, folder, bulletin)
    started.append(softswitch)
    softswitch.start()
    softswitch.wait_ready()
    caller = Caller(record, "caller", softswitch.address)
    began, restarted, number = time.monotonic(), False, 0
    ready_again = 0.0
    next_call = began
    while (elapsed := time.monotonic() - began) < END_S:
        if TROUBLE and not restarted and elapsed >= RESTART_AT_S:
            restarted = True
            softswitch.signal(signal.SIGTERM)  # a planned restart; SIGKILL would come 3.7 s later
            softswitch.wait_end(3.7)
            softswitch.start()
            softswitch.wait_ready()
            ready_again = time.time()
            caller = Caller(record, "caller", softswitch.address)
            next_call = time.monotonic()
        is_measured = elapsed < LAST_MEASURED_S
        if time.monotonic() >= next_call:
            number += 1
            call = draw.getrandbits(64) | 1
            klass = draw.choices([*SHARES], [*SHARES.values()])[0]
            # Later calls only show that a caller's connection is open and in use.
            lengths[call] = draw.expovariate(1 / MEANS[klass]) if is_measured else 1.0
            caller.place(call, klass=klass, wait_ms=6000 if klass == "urgent" else 9000, dest=number % 2)
            next_call += 1 / (CALLS_PER_S if is_measured else LATER_CALLS_PER_S)
        if not is_measured and elapsed > 30:
            long_ones = [call for server in servers for call in [*server.standing] if lengths[call] > 5]
            if not long_ones:
                time.sleep(LATE_RELEASE_S + 0.2)
                break
        time.sleep(0.01)
    return check(record, lengths, ready_again)


def check(record: Record, lengths: dict[int, float], ready_again: float) -> list[str]:
    """Every call that stood and is over is released towards its caller, in time."""
    stood = {entry[3] for entry in record.find("caller", "stands")}
    released = {entry[3]: entry[0] for entry in reversed(record.find("caller", "released"))}
    broken = []
    for ended_at, host, _, call, _ in record.find("s-", "end"):
        if call not in stood:
            continue
        sent = [entry for entry in record.find(host, "release", call) if entry[0] >= ended_at]
        writes = [entry[0] for entry in sent if entry[2] in ("release", "release-again")]
        # 1 s from the server's release; 8 s from the end where the softswitch was down or starting then.
        prompt = writes and not (ready_again and ended_at < ready_again)
        due = writes[0] + RELEASE_S if prompt else ended_at + LATE_RELEASE_S
        if released.get(call, float("inf")) > due and time.time() > due:
            after = f", {ended_at - ready_again:.1f} s after the restart" if ready_again else ""
            seen = f"{released[call] - ended_at:.2f} s later" if call in released else "never"
            broken.append(f"{call:016x}: ended at {host} after {lengths[call]:.1f} s{after}; released {seen}")
    return broken


if __name__ == "__main__":
    main(case, HERE)
