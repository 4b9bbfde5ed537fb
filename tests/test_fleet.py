"""The model of a fleet: its script, its course, and what the decisions make of thin streams there."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from wickstep.fleet import plan, report
from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.edge import Edge
from wickstep.fleet.model import Model, Outcome
from wickstep.fleet.plan import Crowd, Happening, Kind, Plan, Tariff
from wickstep.fleet.processor import Processor
from wickstep.forms import KdlError
from wickstep.interface import ServerState
from wickstep.spread.reasons import SendReason

# Thirty softswitches with two or three calls a second each; two servers with few lines, a slow one with many.
EXAMPLES = Path(__file__).parent.parent / "examples" / "fleets"
SMALL = Plan(
    "small", 1, 30, 14.0,
    (
        Kind(1, rate=40, lines=600, wish=0.6), Kind(1, rate=40, lines=120, standing=0.95, wish=0.6),
        Kind(1, rate=40, lines=100, standing=0.95, wish=0.6),
        Kind(1, rate=6, lines=150, standing=0.4, wish=0.6),
    ),
    Tariff(), Crowd(rate=60, aim_s=2, wait_s=8, hold_s=8, spread=5), (Happening("burst", 6, 4, 1.6),),
)  # fmt: skip


def test_a_plan_is_read_and_what_is_wrong_with_one_is_said() -> None:
    found = plan.read(
        'fleet "x" seed=3 softswitches=40 lasts-s=9 own-number="wrong" {\n servers 2 rate=9 lines=7\n'
        ' work again-s=0.2\n callers rate=50 spread=4\n event "slow" at=3 for-s=2 size=4 part=0.5\n'
        ' event "burst" at=1\n}'
    )
    assert (found.seed, found.softswitches, found.kinds[0].count, found.crowd.rate) == (3, 40, 2, 50)
    assert [one.what for one in found.happenings] == ["burst", "slow"]
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
def test_bad_plans_are_refused(text: str) -> None:
    with pytest.raises(KdlError):
        plan.read(text)


def test_the_clock_keeps_the_order_of_moments_and_of_making() -> None:
    clock, seen = Clock(), list[str]()
    clock.after(5, seen.append, "c")
    clock.after(3, seen.append, "a")
    clock.after(3, seen.append, "b")
    clock.after(9, seen.append, "too late")
    clock.run(9)
    assert seen == ["a", "b", "c"]
    assert clock.now == 9


class Ears(Edge):
    """Hears what a processor says, and decides nothing."""

    def __init__(self) -> None:
        self.number, self.heard = 1, list[str]()
        self.standing = {}

    def hear_answer(self, server: Processor, call: int, attempt: int) -> None:
        self.heard.append(f"answer {call}")

    def hear_full(self, server: Processor, call: int, attempt: int, no_line: bool) -> None:
        self.heard.append(f"full {call} {no_line}")

    def hear_over(self, server: Processor, call: int, attempt: int) -> None:
        self.heard.append(f"over {call}")


def test_a_processor_works_in_one_line_and_answers_wait_behind_set_ups() -> None:
    clock, ears = Clock(), Ears()
    server = Processor("s", 0, Kind(rate=10, lines=3, queue_s=1), Tariff(again_s=0), clock, 1)
    for call in (1, 2, 3, 4):
        server.set_up(ears, call, 0, hold=SECOND)
    assert ears.heard == ["full 4 True"]
    clock.run(int(0.9 * SECOND))
    assert ears.heard[1:] == ["answer 1", "answer 2", "answer 3"]
    server.give_up(1, 2)  # a call that stands is cut: its line is free at once
    assert server.free()["free"] == 1
    clock.run(3 * SECOND)
    assert ears.heard[4:] == ["over 1", "over 3"]
    assert server.free()["free"] == 3
    # Three calls are three set-ups, three answers and two releases, and the refusal of a fourth.
    work = 3 + 3 * 0.35 + 2 * 0.35 + 0.2
    assert server.worked() == pytest.approx(work / server.speed * SECOND, rel=0.01)


def test_what_is_given_up_while_it_waits_costs_no_work_and_what_waits_is_sent_again() -> None:
    clock, ears = Clock(), Ears()
    server = Processor("s", 0, Kind(rate=1, lines=9, queue_s=9), Tariff(again_s=0.2), clock, 1)
    server.set_up(ears, 1, 0, hold=SECOND)
    server.set_up(ears, 2, 0, hold=SECOND)
    clock.run(SECOND // 2)
    assert server.backlog > 1 + 0.35  # the second, and repeats of both
    server.give_up(1, 2)
    clock.run(4 * SECOND)
    assert ears.heard[0] == "answer 1"
    assert "answer 2" not in ears.heard


def same(one: Outcome, other: Outcome) -> bool:
    return one.record == other.record and one.fates == other.fates and one.probes == other.probes


def test_the_same_plan_gives_the_same_play_and_another_seed_another() -> None:
    short = replace(SMALL, lasts_s=5.0, happenings=())
    first = Model(short).play()
    assert same(first, Model(short).play())
    assert not same(first, Model(replace(short, seed=2)).play())


def test_every_call_has_one_fate_and_its_worth_is_counted_once() -> None:
    outcome = Model(SMALL).play()
    assert {fate.kind for fate in outcome.fates} <= {"stands", "refused", "failed"}
    shares = [outcome.share(kind) for kind in ("stands", "refused", "failed")]
    assert sum(shares) == pytest.approx(1)
    assert 0.5 < outcome.worth() <= 1
    assert "burst 6" in report.as_json(outcome)
    assert any(line.startswith("all") for line in report.lines(outcome))


@pytest.mark.parametrize(
    "happening",
    [
        Happening("slow", 4, 3, 4, 0.3), Happening("silent", 4, 2, 1, 0.25), Happening("drain", 4, 3, 1, 0.3),
        Happening("join", 4, 0, 1, 0.3), Happening("kill", 4, 0, 1, 0.7), Happening("shift", 4),
    ],
    ids=lambda happening: happening.what,
)  # fmt: skip
@pytest.mark.parametrize("own", plan.NUMBERS)
def test_a_fleet_comes_through_what_happens_to_it(happening: Happening, own: str) -> None:
    script = replace(SMALL, softswitches=12, lasts_s=9.0, happenings=(happening,), own_number=own)
    model = Model(script)
    outcome = model.play()
    lost = sum(fate.kind == "lost" for fate in outcome.fates)
    assert lost == 0 or (happening.what == "kill" and lost < 0.2 * len(outcome.fates))
    assert outcome.worth(7.0) > 0.55
    gone = [name for name, server in model.servers.items() if server.state is ServerState.GONE]
    late = [item for item in outcome.record.sent if item.server in gone and item.at > 4 + 3]
    assert not late
    assert {item.reason for item in outcome.record.sent} <= set(SendReason)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.kdl")), ids=lambda path: path.stem)
def test_the_example_plans_are_plans(path: Path) -> None:
    assert plan.read(path.read_text()).name == path.stem
