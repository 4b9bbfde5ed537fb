"""The model of a fleet: plan, clock, servers, and service where each softswitch has little traffic."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from wickstep.fleet import plan, report
from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.model import Model, RunResult
from wickstep.fleet.plan import CallerTraffic, FleetEvent, FleetPlan, ServerBehaviour, ServerKind
from wickstep.fleet.processor import SimulatedServer
from wickstep.fleet.softswitch import SimulatedSoftswitch
from wickstep.forms import KdlError
from wickstep.interface import ServerState
from wickstep.spread.reasons import SendReason

EXAMPLES = Path(__file__).parent.parent / "examples" / "fleets"
# Thirty softswitches with two or three calls per second each on average; two servers have few
# free lines, one is slow and has many lines for its rate.
SMALL_FLEET = FleetPlan(
    "small", 1, 30, 14.0,
    (
        ServerKind(1, rate=40, lines=600, choice_weight=0.6),
        ServerKind(1, rate=40, lines=120, initial_occupancy=0.95, choice_weight=0.6),
        ServerKind(1, rate=40, lines=100, initial_occupancy=0.95, choice_weight=0.6),
        ServerKind(1, rate=6, lines=150, initial_occupancy=0.4, choice_weight=0.6),
    ),
    ServerBehaviour(), CallerTraffic(rate=60, aim_s=2, wait_s=8, hold_s=8, busiest_ratio=5),
    (FleetEvent("burst", 6, 4, 1.6),),
)  # fmt: skip


def test_plan_is_read_with_its_events_in_order_of_time() -> None:
    found = plan.read(
        'fleet "x" seed=3 softswitches=40 lasts-s=9 own-number="wrong" {\n servers 2 rate=9 lines=7\n'
        ' work again-s=0.2\n callers rate=50 spread=4\n event "slow" at=3 for-s=2 size=4 part=0.5\n'
        ' event "burst" at=1\n}'
    )
    assert (found.seed, found.softswitches, found.server_kinds[0].count, found.traffic.rate) == (3, 40, 2, 50)
    assert [event.event_type for event in found.events] == ["burst", "slow"]
    assert found.capacity == 18


@pytest.mark.parametrize(
    "text",
    [
        "rehearsal", 'fleet "x" softswitches=0', 'fleet "x" {\n servers 101\n}', "fleet {",
        'fleet "x" {\n event "flood" at=1\n}', 'fleet "x" lasts-s=5 {\n event "slow" at=9\n}',
        'fleet "x" {\n servers 60\n servers 60\n}', 'fleet "x" {\n callers rate="many"\n}',
        'fleet "x" {\n queues 1\n}', 'fleet "x" own-number="seven"',
    ],
)  # fmt: skip
def test_invalid_plans_are_refused(text: str) -> None:
    with pytest.raises(KdlError):
        plan.read(text)


def test_clock_runs_callbacks_by_due_time_and_ties_by_scheduling_order() -> None:
    clock, seen = Clock(), list[str]()
    clock.after(5, seen.append, "c")
    clock.after(3, seen.append, "a")
    clock.after(3, seen.append, "b")
    clock.after(9, seen.append, "too late")
    clock.run(9)
    assert seen == ["a", "b", "c"]
    assert clock.now == 9


class RecordingSoftswitch(SimulatedSoftswitch):
    """Records the messages of a server, and decides nothing."""

    def __init__(self) -> None:
        self.number, self.messages = 1, list[str]()
        self.established = {}

    def receive_answer(self, server: SimulatedServer, call: int, attempt: int) -> None:
        self.messages.append(f"answer {call}")

    def receive_full(self, server: SimulatedServer, call: int, attempt: int, no_line: bool) -> None:
        self.messages.append(f"full {call} {no_line}")

    def receive_release(self, server: SimulatedServer, call: int, attempt: int) -> None:
        self.messages.append(f"over {call}")


def test_server_has_one_queue_in_which_answers_wait_behind_set_ups() -> None:
    clock, softswitch = Clock(), RecordingSoftswitch()
    server = SimulatedServer(
        "s", 0, ServerKind(rate=10, lines=3, queue_s=1), ServerBehaviour(retransmit_s=0), clock, 1
    )
    for call in (1, 2, 3, 4):
        server.receive_set_up(softswitch, call, 0, holding_time=SECOND)
    assert softswitch.messages == ["full 4 True"]
    clock.run(int(0.9 * SECOND))
    assert softswitch.messages[1:] == ["answer 1", "answer 2", "answer 3"]
    server.receive_cancel(1, 2)  # an answered call is cut: its line is free at once
    assert server.free_lines()["free"] == 1
    clock.run(3 * SECOND)
    assert softswitch.messages[4:] == ["over 1", "over 3"]
    assert server.free_lines()["free"] == 3
    # Work of three set-ups, three answers, two releases, and the refusal of the fourth call.
    work = 3 + 3 * 0.35 + 2 * 0.35 + 0.2
    assert server.total_busy_ns() == pytest.approx(work / server.speed * SECOND, rel=0.01)


def test_cancelled_set_up_costs_no_work_and_queued_set_ups_are_retransmitted() -> None:
    clock, softswitch = Clock(), RecordingSoftswitch()
    server = SimulatedServer(
        "s", 0, ServerKind(rate=1, lines=9, queue_s=9), ServerBehaviour(retransmit_s=0.2), clock, 1
    )
    server.receive_set_up(softswitch, 1, 0, holding_time=SECOND)
    server.receive_set_up(softswitch, 2, 0, holding_time=SECOND)
    clock.run(SECOND // 2)
    assert server.backlog > 1 + 0.35  # the second set-up, and retransmissions of both
    server.receive_cancel(1, 2)
    clock.run(4 * SECOND)
    assert softswitch.messages[0] == "answer 1"
    assert "answer 2" not in softswitch.messages


def is_same_run(first_run: RunResult, second_run: RunResult) -> bool:
    return (
        first_run.record == second_run.record
        and first_run.calls == second_run.calls
        and first_run.probes == second_run.probes
    )


def test_run_is_reproducible_and_depends_on_the_seed() -> None:
    short = replace(SMALL_FLEET, duration_s=5.0, events=())
    first = Model(short).run()
    assert is_same_run(first, Model(short).run())
    assert not is_same_run(first, Model(replace(short, seed=2)).run())


def test_every_call_has_one_result_and_its_worth_is_counted_once() -> None:
    result = Model(SMALL_FLEET).run()
    assert {call.kind for call in result.calls} <= {"stands", "refused", "failed"}
    shares = [result.share(kind) for kind in ("stands", "refused", "failed")]
    assert sum(shares) == pytest.approx(1)
    assert 0.5 < result.worth() <= 1
    assert "burst 6" in report.as_json(result)
    assert any(line.startswith("all") for line in report.format_lines(result))


@pytest.mark.parametrize(
    "event",
    [
        FleetEvent("slow", 4, 3, 4, 0.3), FleetEvent("silent", 4, 2, 1, 0.25),
        FleetEvent("drain", 4, 3, 1, 0.3), FleetEvent("join", 4, 0, 1, 0.3),
        FleetEvent("kill", 4, 0, 1, 0.7), FleetEvent("shift", 4),
    ],
    ids=lambda event: event.event_type,
)  # fmt: skip
@pytest.mark.parametrize("own_number", plan.OWN_NUMBER_MODES)
def test_fleet_keeps_service_through_each_event(event: FleetEvent, own_number: str) -> None:
    script = replace(SMALL_FLEET, softswitches=12, duration_s=9.0, events=(event,), own_number=own_number)
    model = Model(script)
    result = model.run()
    lost = sum(call.kind == "lost" for call in result.calls)
    assert lost == 0 or (event.event_type == "kill" and lost < 0.2 * len(result.calls))
    assert result.worth(7.0) > 0.55
    gone = [name for name, server in model.servers.items() if server.state is ServerState.GONE]
    late = [item for item in result.record.sent if item.server in gone and item.at > 4 + 3]
    assert not late
    assert {item.reason for item in result.record.sent} <= set(SendReason)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.kdl")), ids=lambda path: path.stem)
def test_example_plans_are_valid(path: Path) -> None:
    assert plan.read(path.read_text()).name == path.stem
