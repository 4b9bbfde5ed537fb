"""The judge by records that break each rule, measures, scripts, and plays of real processes."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from wickstep.__main__ import main
from wickstep.forms import KdlError
from wickstep.rehearsal import judge, report, scenario
from wickstep.rehearsal.processes import free_ports, own_host
from wickstep.rehearsal.report import Second
from wickstep.rehearsal.scenario import Fault
from wickstep.rehearsal.trace import Event, Trace, What

ASKED = Event(1.0, What.ASKED, 0, 7, value=2.0)
CAME = Event(1.1, What.CAME, 0, 7, "a", value=50.0)
STOOD = Event(1.2, What.ENDED, 0, 7, "a", "stands")
FINAL = Event(1.21, What.FINAL, 0, 7, why="stands")
OVER = Event(2.0, What.OVER, 0, 7, "a")
TOLD = Event(2.1, What.TOLD, 0, 7)
LEFT = Event(1.1, What.LEFT, 0, 7, why="closed")
GOOD = (ASKED, CAME, STOOD, FINAL, OVER, TOLD)


def broken(*events: Event) -> list[str]:
    return [breach.rule for breach in judge.breaches(Trace(list(events)), lasted=30.0)]


def came(at: float, server: str = "b") -> Event:
    return Event(at, What.CAME, 0, 7, server, value=50.0)


def ended(at: float, why: str, server: str = "a") -> Event:
    return Event(at, What.ENDED, 0, 7, server, why)


def test_a_good_record_breaks_nothing() -> None:
    assert broken(*GOOD) == []


@pytest.mark.parametrize(("told", "rules"), [(3.51, []), (11.0, ["release"])])
def test_a_softswitch_stopped_over_a_calls_end_tells_it_later(told: float, rules: list[str]) -> None:
    """It passes answer and end on after that, the answer a moment after the end of its stop is noted."""
    stop = (Event(1.15, What.DOWN, 0), Event(3.5, What.UP, 0))
    again = Event(4.0, What.ASKED, 0, 8), Event(4.1, What.FINAL, 0, 8, why="refused")
    final = Event(3.501, What.FINAL, 0, 7, why="stands")
    assert broken(ASKED, CAME, STOOD, *stop, OVER, final, Event(told, What.TOLD, 0, 7), *again) == rules
    assert "release" in broken(ASKED, CAME, STOOD, OVER, final, Event(told, What.TOLD, 0, 7), *again)


@pytest.mark.parametrize(
    ("events", "rules"),
    [
        ((ASKED,), ["lost"]),
        ((*GOOD, Event(1.3, What.FINAL, 0, 7, why="failed")), ["lost"]),
        ((ASKED, Event(3.4, What.FINAL, 0, 7, why="failed")), ["lost"]),
        ((ASKED, FINAL), ["lost"]),  # served by nobody
        ((ASKED, CAME, came(1.15), STOOD, FINAL), ["copies"]),
        ((ASKED, CAME, ended(1.2, "given up"), came(1.3), ended(1.4, "stands", "b"), FINAL), ["pause"]),
        ((ASKED, CAME, ended(1.2, "link"), came(1.3), ended(1.4, "stands", "b"), FINAL), ["pause"]),
        ((ASKED, CAME, ended(1.2, "full"), came(1.3), ended(1.4, "stands", "b"), FINAL), []),
        ((ASKED, CAME, ended(1.2, "link"), came(1.45), ended(1.5, "stands", "b"), FINAL), []),
        ((*GOOD, Event(0.0, What.HEARD, 0, 0, "a", "draining")), []),
        ((*GOOD, Event(-2.0, What.HEARD, 0, 0, "a", "draining")), ["drain"]),
        ((*GOOD, Event(-2.0, What.HEARD, 1, 0, "a", "draining")), []),  # told to another
        ((ASKED, LEFT, came(1.249), ended(1.3, "given up", "b")), []),
        ((ASKED, LEFT, came(1.251), ended(1.3, "given up", "b")), ["left"]),
        ((ASKED, CAME, ended(1.15, "full"), LEFT, came(1.251), ended(1.3, "given up", "b")), ["left"]),
        ((ASKED, CAME, LEFT, ended(1.2, "given up")), []),  # and no answer is owed,
        ((ASKED, LEFT, FINAL), ["lost"]),  # though none may be made up
        ((ASKED, LEFT, Event(1.2, What.BROKE, 0, why="callers", value=1.0), came(1.251)), []),
        ((Event(5.0, What.FELL, -1, 0, "a", "20 at 3 a second"),), ["cold"]),
        ((ASKED, CAME, STOOD, FINAL, OVER), ["release"]),
        ((ASKED, CAME, STOOD, FINAL, OVER, Event(4.0, What.TOLD, 0, 7)), ["release"]),
    ],
)
def test_each_rule_is_seen_to_be_broken(events: tuple[Event, ...], rules: list[str]) -> None:
    assert broken(*events) == rules


def test_a_set_up_that_goes_out_in_two_lives_of_its_softswitch_is_seen() -> None:
    down, up = Event(1.3, What.DOWN, 0), Event(1.5, What.UP, 0)
    again = (Event(1.6, What.ASKED, 0, 7, value=2.0), came(1.7), ended(1.8, "stands", "b"))
    final = Event(1.9, What.FINAL, 0, 7, why="stands")
    record = Trace([ASKED, CAME, down, ended(1.3, "link"), up, *again, final])
    assert [breach.rule for breach in judge.breaches(record, lasted=30.0)] == []
    assert [breach.rule for breach in judge.breaches(record, 30.0, calls_kept=True)] == ["twice"]


def test_more_attempts_than_five_are_seen() -> None:
    tries = [e for n in range(6) for e in (came(1.1 + n / 10, "a"), ended(1.15 + n / 10, "full"))]
    assert broken(ASKED, *tries, Event(2.0, What.FINAL, 0, 7, why="congested")) == ["attempts"]


@pytest.mark.parametrize(
    ("fault", "excused"),
    [
        ((Event(1.5, What.DOWN, 0), Event(2.0, What.UP, 0)), True),
        ((Event(1.5, What.DOWN, 1), Event(2.0, What.UP, 1)), False),
        ((Event(0.2, What.DOWN, 0), Event(0.5, What.UP, 0)), False),  # it was back when the call came
        ((Event(1.5, What.BROKE, 0, why="callers", value=1.0),), True),
        ((Event(1.5, What.BROKE, 0, why="servers", value=1.0),), False),  # it can say so in time
    ],
)
def test_a_call_is_excused_by_a_fault_of_its_own_softswitch(fault: tuple[Event, ...], excused: bool) -> None:
    assert broken(ASKED, *fault) == ([] if excused else ["lost"])


def test_full_service_is_back_once_it_stays() -> None:
    well, half = Second(offered=10, in_time=10), Second(offered=10, in_time=5)
    assert report.full_service([well] * 4 + [half, well, half, well, well, well, well], 4.0) == 3.0
    assert report.full_service([well] * 4 + [half] * 5, 4.0) == -1.0
    assert report.full_service([well] * 8, 4.0) == 0.0


def test_the_busiest_span_counts_each_kind_alone() -> None:
    moments = [("a", 0.0), ("a", 0.05), ("a", 0.09), ("a", 0.15), ("b", 0.06), ("b", 0.07)]
    assert report.busiest(moments) == 3
    assert report.busiest([]) == 0


GOOD_SCRIPT = """
rehearsal "x" seed=5 softswitches=4 lasts-s=9 state="kept" {
    servers 2 rate=40 lines=20
    callers rate=30 wait-s=1.5
    fault "kill" at=3 part=0.5 back-s=0.2
    fault "cut" at=1.5 group=1 of=2 server=0 for-s=2
}
"""


def test_a_script_is_read_with_its_faults_in_order() -> None:
    found = scenario.read(GOOD_SCRIPT)
    assert (found.name, found.seed, found.softswitches, found.lasts_s) == ("x", 5, 4, 9)
    assert found.keeps_state
    assert (found.servers.count, found.servers.rate, found.callers.wait_s) == (2, 40, 1.5)
    assert found.faults == (
        Fault(1.5, "cut", group=1, of=2, for_s=2, server=0),
        Fault(3, "kill", part=0.5, back_s=0.2),
    )


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("", "one node"),
        ("rehearsal", "argument is missing"),
        ('rehearsal "x" {', "not KDL"),
        ('rehearsal "x" sed=1', "knows no sed"),
        ('rehearsal "x" softswitches=1000', "no number from 1 to 250"),
        ('rehearsal "x" softswitches=1.5', "no whole number"),
        ('rehearsal "x" { fault "dance" at=1; }', "'dance', kill or"),
        ('rehearsal "x" { fault "kill"; }', "at is missing"),
        ('rehearsal "x" { fault "kill" at=99; }', "at: 99"),
        ('rehearsal "x" { fault "replace" at=1; }', "which server"),
        ('rehearsal "x" { servers 3 rate="many"; }', "rate: 'many'"),
        ('rehearsal "x" { serfers 3; }', "serfers has no place"),
        ('rehearsal "x" lasts-s=1e999', "lasts-s|not KDL"),
        ("x" * 70000, "at most"),
    ],
)
def test_a_bad_script_is_told_where(text: str, why: str) -> None:
    with pytest.raises(KdlError, match=why):
        scenario.read(text)


PLAYS = {
    "most killed": 'fault "kill" at=2 part=0.7',
    "all killed, and again while coming back": 'fault "kill" at=2\nfault "kill" at=2.4 part=0.5',
    "stalled and let go": 'fault "stall" at=2 part=0.5 for-s=1.5',
    "a group cut off": 'fault "cut" at=2 group=0 of=3 for-s=1.5\nfault "kill" at=3 part=0.3',
    "a server replaced meanwhile": 'fault "replace" at=2 server=0 for-s=1.5\nfault "kill" at=2.2 part=0.5',
    "links reset, then slow":
        'fault "reset" at=2 part=0.5 for-s=0.5\nfault "delay" at=3 part=0.5 for-s=1 delay-s=0.05',
    "state kept by all that are killed": 'fault "kill" at=3 part=0.7',
    "state lost in half of the killed": 'fault "kill" at=3\nfault "lose-state" at=3 part=0.5',
    "state hours old in all killed": 'fault "kill" at=3\nfault "age-state" at=3 delay-s=18000',
    "links half open": 'fault "half-open" at=2 group=1 of=2 server=1 for-s=1.5',
    "calls kept by killed ones, killed again while they come back":
        'fault "kill" at=1.5 part=0.6\nfault "kill" at=1.8 part=0.6 back-s=0.3\nfault "kill" at=3.2',
    "calls kept by killed ones, a server replaced and another cut off meanwhile":
        'fault "replace" at=1.4 server=0 for-s=0.8\nfault "kill" at=1.6 part=0.8 back-s=0.7\n'
        'fault "cut" at=2.9 server=1 for-s=0.8\nfault "kill" at=3 part=0.6',
}  # fmt: skip
HURT = ("killed", "stalled", "group", "replaced")  # in those processes or links to the list are down a while
AT_ONCE = 6


def script(faults: str, state: str = "none") -> str:
    again = "yes" if state == "calls" else "no"
    return (
        f'rehearsal "ci" seed=11 softswitches=5 lasts-s=6 state="{state}" {{\n'
        "servers 3 rate=50 lines=100 cold-s=3\ncallers rate=50 hold-s=0.5 spread=3 wait-s=1.5"
        f' again="{again}"\n'
        f"{faults}\n}}"
    )


def played(name: str, faults: str, folder: Path) -> dict[str, Any]:
    """The report of a play in a process of its own: several at once must not keep each other waiting."""
    path, told = folder / f"{name}.kdl", folder / f"{name}.json"
    states = {"state": "kept", "calls": "calls"}
    path.write_text(script(faults, states.get(name.split()[0], "none")))
    command = [sys.executable, "-m", "wickstep", "rehearse", str(path), "--json", str(told)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert told.exists(), done.stdout + done.stderr
    found: dict[str, Any] = {**json.loads(told.read_text()), "code": done.returncode, "said": done.stdout}
    return found


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> dict[str, dict[str, Any]]:
    folder = tmp_path_factory.mktemp("plays")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        running = {name: pool.submit(played, name, faults, folder) for name, faults in PLAYS.items()}
    return {name: one.result() for name, one in running.items()}


@pytest.mark.parametrize("name", PLAYS)
def test_rules_hold_and_service_comes_back(plays: dict[str, dict[str, Any]], name: str) -> None:
    found = plays[name]
    assert (found["breaches"], found["crashes"]) == ([], [])
    assert found["code"] == 0
    seconds = found["seconds"]
    assert sum(second["offered"] for second in seconds) > 200
    # Nothing is lost beyond what a kill, a stop or a broken link loses, and the last second is well again.
    lost = sum(second["unanswered"] for second in seconds)
    assert lost <= (120 if any(word in name for word in HURT) else 5)
    assert seconds[-1]["in_time"] >= 0.8 * seconds[-1]["offered"]


def test_the_command_prints_writes_and_ends_by_the_verdict(tmp_path: Path) -> None:
    script, told = tmp_path / "s.kdl", tmp_path / "told.json"
    script.write_text('rehearsal "tiny" softswitches=1 lasts-s=1 { servers 1; callers rate=20 wait-s=0.5; }')
    result = CliRunner().invoke(main, ["rehearse", str(script), "--json", str(told), "--seed", "4"])
    assert result.exit_code == 0, result.output
    assert "rules kept" in result.output
    assert json.loads(told.read_text())["kept"] is True
    script.write_text("rehearsal")
    assert CliRunner().invoke(main, ["rehearse", str(script)]).exit_code == 1


def test_rehearsals_that_run_at_once_have_addresses_of_their_own() -> None:
    hosts = {own_host(pid) for pid in range(1, 300_000, 7)}
    assert len(hosts) == len(range(1, 300_000, 7))
    assert all(ip_address(host).is_loopback for host in hosts)
    for pid in (1, 65_535, 65_536, 4_194_303):
        host = own_host(pid)
        (port,) = free_ports(1, 1, host)
        with socket.create_server((host, port)), socket.create_server((own_host(pid + 1), port)):
            pass  # the same port, and no clash
