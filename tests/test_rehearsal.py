"""The judge on event traces that violate each rule, the measures, the scripts, and runs of real processes."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from wickstep.__main__ import main
from wickstep.forms import KdlError
from wickstep.rehearsal import judge, report, scenario
from wickstep.rehearsal.loop import Loop
from wickstep.rehearsal.processes import find_free_ports, own_loopback_host
from wickstep.rehearsal.relay import LinkCondition, LinkMode, Network, ProxyConnection
from wickstep.rehearsal.report import Second
from wickstep.rehearsal.scenario import Fault
from wickstep.rehearsal.trace import Event, EventKind, Trace

SENT = Event(1.0, EventKind.SET_UP_SENT, 0, 7, value=2.0)
STARTED = Event(1.1, EventKind.ATTEMPT_STARTED, 0, 7, "a", value=50.0)
ACCEPTED = Event(1.2, EventKind.ATTEMPT_ENDED, 0, 7, "a", "stands")
ANSWERED = Event(1.21, EventKind.FINAL_ANSWER, 0, 7, detail="stands")
ENDED = Event(2.0, EventKind.CALL_ENDED, 0, 7, "a")
RELEASED = Event(2.1, EventKind.RELEASE_RECEIVED, 0, 7)
LEFT = Event(1.1, EventKind.CALLER_LEFT, 0, 7, detail="closed")
GOOD_CALL = (SENT, STARTED, ACCEPTED, ANSWERED, ENDED, RELEASED)


def violated(*events: Event) -> list[str]:
    return [violation.rule for violation in judge.find_violations(Trace(list(events)), duration_s=30.0)]


@pytest.mark.parametrize(("released", "rules"), [(6.1, []), (15.0, ["release"])])
def test_a_call_ends_at_the_server_whose_answer_its_caller_was_given(
    released: float, rules: list[str]
) -> None:
    """Its first answer was lost on a dead connection: the end at that server concerns nobody."""
    lost = (SENT, STARTED, ended(1.15, "cut"), ended(1.16, "stands"))
    given = (
        started(1.4),
        ended(1.5, "stands", "b"),
        Event(1.51, EventKind.FINAL_ANSWER, 0, 7, detail="stands"),
    )
    ends = (Event(2.0, EventKind.CALL_ENDED, 0, 7, "a"), Event(6.0, EventKind.CALL_ENDED, 0, 7, "b"))
    assert violated(*lost, *given, *ends, Event(released, EventKind.RELEASE_RECEIVED, 0, 7)) == rules


@pytest.mark.parametrize(("detail", "rules"), [("untold", []), ("", ["release"])])
def test_a_release_lost_on_a_dead_connection_has_the_longer_limit(detail: str, rules: list[str]) -> None:
    end = Event(2.0, EventKind.CALL_ENDED, 0, 7, "a", detail)
    released = Event(9.5, EventKind.RELEASE_RECEIVED, 0, 7)
    assert violated(SENT, STARTED, ACCEPTED, ANSWERED, end, released) == rules
    assert violated(SENT, STARTED, ACCEPTED, ANSWERED, end) == ["release"]


def started(at: float, server: str = "b") -> Event:
    return Event(at, EventKind.ATTEMPT_STARTED, 0, 7, server, value=50.0)


def ended(at: float, outcome: str, server: str = "a") -> Event:
    return Event(at, EventKind.ATTEMPT_ENDED, 0, 7, server, outcome)


def test_a_trace_without_faults_has_no_violation() -> None:
    assert violated(*GOOD_CALL) == []


@pytest.mark.parametrize(("released", "rules"), [(3.51, []), (11.0, ["release"])])
def test_a_stopped_softswitch_may_release_a_call_after_it_resumes(released: float, rules: list[str]) -> None:
    """It passes on the answer and the release only after it resumes: here it resumes at 3.5 s, and the answer
    follows 1 ms later. Without the stop, the same trace violates the rule."""
    stop = (Event(1.15, EventKind.DOWN, 0), Event(3.5, EventKind.UP, 0))
    later_call = (
        Event(4.0, EventKind.SET_UP_SENT, 0, 8),
        Event(4.1, EventKind.FINAL_ANSWER, 0, 8, detail="refused"),
    )
    final = Event(3.501, EventKind.FINAL_ANSWER, 0, 7, detail="stands")
    assert violated(
        SENT, STARTED, ACCEPTED, *stop, ENDED, final, Event(released, EventKind.RELEASE_RECEIVED, 0, 7),
        *later_call,
    ) == rules  # fmt: skip
    assert "release" in violated(
        SENT, STARTED, ACCEPTED, ENDED, final, Event(released, EventKind.RELEASE_RECEIVED, 0, 7), *later_call
    )


@pytest.mark.parametrize(
    ("events", "rules"),
    [
        ((SENT,), ["lost"]),
        ((*GOOD_CALL, Event(1.3, EventKind.FINAL_ANSWER, 0, 7, detail="failed")), ["lost"]),
        ((SENT, Event(3.4, EventKind.FINAL_ANSWER, 0, 7, detail="failed")), ["lost"]),
        ((SENT, ANSWERED), ["lost"]),  # no server has accepted it
        ((SENT, STARTED, started(1.15), ACCEPTED, ANSWERED), ["copies"]),
        (
            (SENT, STARTED, ended(1.2, "given up"), started(1.3), ended(1.4, "stands", "b"), ANSWERED),
            ["pause"],
        ),
        ((SENT, STARTED, ended(1.2, "link"), started(1.3), ended(1.4, "stands", "b"), ANSWERED), ["pause"]),
        ((SENT, STARTED, ended(1.2, "full"), started(1.3), ended(1.4, "stands", "b"), ANSWERED), []),
        ((SENT, STARTED, ended(1.2, "link"), started(1.45), ended(1.5, "stands", "b"), ANSWERED), []),
        ((*GOOD_CALL, Event(0.0, EventKind.STATE_ANNOUNCED, 0, 0, "a", "draining")), []),
        ((*GOOD_CALL, Event(-2.0, EventKind.STATE_ANNOUNCED, 0, 0, "a", "draining")), ["drain"]),
        # Announced to another softswitch.
        ((*GOOD_CALL, Event(-2.0, EventKind.STATE_ANNOUNCED, 1, 0, "a", "draining")), []),
        ((SENT, LEFT, started(1.249), ended(1.3, "given up", "b")), []),
        ((SENT, LEFT, started(1.251), ended(1.3, "given up", "b")), ["left"]),
        ((SENT, STARTED, ended(1.15, "full"), LEFT, started(1.251), ended(1.3, "given up", "b")), ["left"]),
        ((SENT, STARTED, LEFT, ended(1.2, "given up")), []),  # no answer is due after the caller left
        ((SENT, LEFT, ANSWERED), ["lost"]),  # answered, though no server has accepted it
        ((SENT, LEFT, Event(1.2, EventKind.LINK_FAULT, 0, detail="callers", value=1.0), started(1.251)), []),
        ((Event(5.0, EventKind.SERVER_COLLAPSED, -1, 0, "a", "20 at 3 a second"),), ["cold"]),
        ((SENT, STARTED, ACCEPTED, ANSWERED, ENDED), ["release"]),
        (
            (SENT, STARTED, ACCEPTED, ANSWERED, ENDED, Event(4.0, EventKind.RELEASE_RECEIVED, 0, 7)),
            ["release"],
        ),
    ],
)
def test_each_violated_rule_is_reported(events: tuple[Event, ...], rules: list[str]) -> None:
    assert violated(*events) == rules


@pytest.mark.parametrize(
    ("events", "rules"),
    [
        (("run 2",), []),
        (("run 1",), ["lost"]),  # released before the caller was given its answer
        (("run 3",), ["lost"]),  # made by no server
        ((Event(1.25, EventKind.LINK_FAULT, 0, detail="callers", value=1.0), "run 1"), []),
    ],
    ids=["its server stands by it", "taken back", "made by nobody", "delayed by a fault"],
)
def test_an_answer_by_which_no_server_stands_is_reported(
    events: tuple[Event | str, ...], rules: list[str]
) -> None:
    """Guards against a judge that takes the answer of one run of a call for that of another."""
    runs = (
        replace(ACCEPTED, description="run 1"),
        Event(1.3, EventKind.CALL_TAKEN_BACK, 0, 7, "a", description="run 1"),
        started(1.35, "a"),
        replace(ended(1.4, "stands"), description="run 2"),
    )
    final = Event(1.5, EventKind.FINAL_ANSWER, 0, 7, detail="stands", description=str(events[-1]))
    faults = [event for event in events if isinstance(event, Event)]
    assert violated(SENT, STARTED, *runs, *faults, final) == rules


def test_a_set_up_sent_before_and_after_a_restart_is_reported() -> None:
    down, up = Event(1.3, EventKind.DOWN, 0), Event(1.5, EventKind.UP, 0)
    again = (Event(1.6, EventKind.SET_UP_SENT, 0, 7, value=2.0), started(1.7), ended(1.8, "stands", "b"))
    final = Event(1.9, EventKind.FINAL_ANSWER, 0, 7, detail="stands")
    trace = Trace([SENT, STARTED, down, ended(1.3, "link"), up, *again, final])
    assert [violation.rule for violation in judge.find_violations(trace, duration_s=30.0)] == []
    assert [violation.rule for violation in judge.find_violations(trace, 30.0, calls_kept=True)] == ["twice"]


def test_more_than_five_attempts_are_reported() -> None:
    attempts = [e for n in range(6) for e in (started(1.1 + n / 10, "a"), ended(1.15 + n / 10, "full"))]
    assert violated(
        SENT, *attempts, Event(2.0, EventKind.FINAL_ANSWER, 0, 7, detail="congested")
    ) == ["attempts"]  # fmt: skip


@pytest.mark.parametrize(
    ("fault", "excused"),
    [
        ((Event(1.5, EventKind.DOWN, 0), Event(2.0, EventKind.UP, 0)), True),
        ((Event(1.5, EventKind.DOWN, 1), Event(2.0, EventKind.UP, 1)), False),
        ((Event(0.2, EventKind.DOWN, 0), Event(0.5, EventKind.UP, 0)), False),  # up again before the call
        ((Event(1.5, EventKind.LINK_FAULT, 0, detail="callers", value=1.0),), True),
        ((Event(1.5, EventKind.LINK_FAULT, 0, detail="servers", value=1.0),), False),  # it can answer
    ],
)
def test_only_a_fault_of_its_own_softswitch_excuses_a_lost_call(
    fault: tuple[Event, ...], excused: bool
) -> None:
    assert violated(SENT, *fault) == ([] if excused else ["lost"])


def test_full_service_counts_from_when_it_stays() -> None:
    full, half = Second(offered=10, in_time=10), Second(offered=10, in_time=5)
    assert report.time_to_full_service([full] * 4 + [half, full, half, full, full, full, full], 4.0) == 3.0
    assert report.time_to_full_service([full] * 4 + [half] * 5, 4.0) == -1.0
    assert report.time_to_full_service([full] * 8, 4.0) == 0.0


def test_the_peak_is_counted_for_each_key_alone() -> None:
    moments = [("a", 0.0), ("a", 0.05), ("a", 0.09), ("a", 0.15), ("b", 0.06), ("b", 0.07)]
    assert report.count_peak(moments) == 3
    assert report.count_peak([]) == 0


GOOD_SCRIPT = """
rehearsal "x" seed=5 softswitches=4 lasts-s=9 state="kept" {
    servers 2 rate=40 lines=20
    callers rate=30 wait-s=1.5
    fault "kill" at=3 part=0.5 back-s=0.2
    fault "cut" at=1.5 group=1 of=2 server=0 for-s=2
}
"""


def test_the_faults_of_a_script_are_read_in_order_of_time() -> None:
    found = scenario.read(GOOD_SCRIPT)
    assert (found.name, found.seed, found.softswitches, found.lasts_s) == ("x", 5, 4, 9)
    assert found.keeps_state
    assert (found.servers.count, found.servers.rate, found.callers.wait_s) == (2, 40, 1.5)
    assert found.faults == (
        Fault(1.5, "cut", group=1, of=2, for_s=2, server=0),
        Fault(3, "kill", part=0.5, back_s=0.2),
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "expected exactly one node `rehearsal`"),
        ("rehearsal", "argument is missing"),
        ('rehearsal "x" {', "not KDL"),
        ('rehearsal "x" sed=1', "unknown arguments, properties or nodes: sed"),
        ('rehearsal "x" softswitches=1000', "expected a number from 1 to 250"),
        ('rehearsal "x" softswitches=1.5', "expected a whole number"),
        ('rehearsal "x" { fault "dance" at=1; }', "got 'dance', expected kill or"),
        ('rehearsal "x" { fault "kill"; }', "at is missing"),
        ('rehearsal "x" { fault "kill" at=99; }', "at: got 99"),
        ('rehearsal "x" { fault "replace" at=1; }', "property `server` is missing"),
        ('rehearsal "x" { servers 3 rate="many"; }', "rate: got 'many'"),
        ('rehearsal "x" { serfers 3; }', "unknown node serfers, expected one of"),
        ('rehearsal "x" lasts-s=1e999', "lasts-s|not KDL"),
        ("x" * 70000, "at most"),
    ],
)
def test_the_error_names_what_is_wrong_in_a_script(text: str, message: str) -> None:
    with pytest.raises(KdlError, match=message):
        scenario.read(text)


SCENARIOS = {
    "most killed": 'fault "kill" at=2 part=0.7',
    "all killed, and again while coming back": 'fault "kill" at=2\nfault "kill" at=2.4 part=0.5',
    "stalled and resumed": 'fault "stall" at=2 part=0.5 for-s=1.5',
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
# Words in the names of scenarios in which processes, or links to the list, are down for a while.
DOWN_WORDS = ("killed", "stalled", "group", "replaced")
MAX_CONCURRENT_RUNS = 6
EXAMPLES = Path(__file__).resolve().parent.parent / "examples" / "rehearsals"


def script(faults: str, state: str = "none") -> str:
    again = "yes" if state == "calls" else "no"
    return (
        f'rehearsal "ci" seed=11 softswitches=5 lasts-s=6 state="{state}" {{\n'
        "servers 3 rate=50 lines=100 cold-s=3\ncallers rate=50 hold-s=0.5 spread=3 wait-s=1.5"
        f' again="{again}"\n'
        f"{faults}\n}}"
    )


def run_scenario(name: str, faults: str, folder: Path) -> dict[str, Any]:
    """The report of a run of this script's faults."""
    path = folder / f"{name}.kdl"
    states = {"state": "kept", "calls": "calls"}
    path.write_text(script(faults, states.get(name.split()[0], "none")))
    return run_file(path, folder / f"{name}.json", timeout_s=60)


def run_file(path: Path, report_path: Path, timeout_s: float) -> dict[str, Any]:
    """The report of a run, in its own process so that concurrent runs do not delay each other."""
    command = [sys.executable, "-m", "wickstep", "rehearse", str(path), "--json", str(report_path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=timeout_s)
    assert report_path.exists(), done.stdout + done.stderr
    found: dict[str, Any] = {
        **json.loads(report_path.read_text()),
        "code": done.returncode,
        "said": done.stdout,
    }
    return found


@pytest.fixture(scope="module")
def reports(tmp_path_factory: pytest.TempPathFactory) -> dict[str, dict[str, Any]]:
    folder = tmp_path_factory.mktemp("plays")
    with ThreadPoolExecutor(MAX_CONCURRENT_RUNS) as pool:
        running = {
            name: pool.submit(run_scenario, name, faults, folder) for name, faults in SCENARIOS.items()
        }
    return {name: future.result() for name, future in running.items()}


@pytest.mark.parametrize("name", SCENARIOS)
def test_rules_are_kept_and_service_recovers(reports: dict[str, dict[str, Any]], name: str) -> None:
    found = reports[name]
    assert (found["breaches"], found["crashes"]) == ([], [])
    assert found["code"] == 0
    seconds = found["seconds"]
    assert sum(second["offered"] for second in seconds) > 200
    # Calls are lost only to a kill, a stop or a broken link, and service has recovered in the last second.
    lost = sum(second["unanswered"] for second in seconds)
    assert lost <= (120 if any(word in name for word in DOWN_WORDS) else 5)
    assert seconds[-1]["in_time"] >= 0.8 * seconds[-1]["offered"]


def test_calls_that_outlive_a_restart_are_released_towards_their_callers(tmp_path: Path) -> None:
    """Guards against callers that hold a dead call: those told of none that ended 30 s after the start."""
    found = run_file(EXAMPLES / "long-calls.kdl", tmp_path / "report.json", timeout_s=120)
    assert (found["breaches"], found["crashes"]) == ([], [])


def test_calls_on_connections_that_die_without_a_sign_are_released(tmp_path: Path) -> None:
    """Guards against callers that hold a dead call: those whose server tells its end on a dead connection."""
    found = run_file(EXAMPLES / "silent.kdl", tmp_path / "report.json", timeout_s=120)
    assert (found["breaches"], found["crashes"]) == ([], [])


def test_the_command_prints_and_writes_the_report_and_exits_by_it(tmp_path: Path) -> None:
    script, report_path = tmp_path / "s.kdl", tmp_path / "told.json"
    script.write_text('rehearsal "tiny" softswitches=1 lasts-s=1 { servers 1; callers rate=20 wait-s=0.5; }')
    result = CliRunner().invoke(main, ["rehearse", str(script), "--json", str(report_path), "--seed", "4"])
    assert result.exit_code == 0, result.output
    assert "rules kept" in result.output
    assert json.loads(report_path.read_text())["kept"] is True
    script.write_text("rehearsal")
    assert CliRunner().invoke(main, ["rehearse", str(script)]).exit_code == 1


def test_concurrent_rehearsals_have_different_addresses() -> None:
    hosts = {own_loopback_host(pid) for pid in range(1, 300_000, 7)}
    assert len(hosts) == len(range(1, 300_000, 7))
    assert all(ip_address(host).is_loopback for host in hosts)
    for pid in (1, 65_535, 65_536, 4_194_303):
        host = own_loopback_host(pid)
        (port,) = find_free_ports(1, 1, host)
        with socket.create_server((host, port)), socket.create_server((own_loopback_host(pid + 1), port)):
            pass  # both can listen on the same port


def test_a_delayed_link_delivers_what_is_on_its_way_before_its_end() -> None:
    """Guards against a link of the rehearsals that loses data when one end closes, as no network does."""
    loop, network, key = Loop(), Network(), (0, "s-0")
    network.set_condition({key}, LinkCondition(LinkMode.DELAY, 0.01))
    softswitch, stand_in = socket.socketpair()
    received: list[bytes] = []
    ends: list[str] = []
    connection = ProxyConnection(
        loop, network, stand_in, key, lambda data, at: received.append(data), lambda: ends.append("end")
    )
    connection.send(b"to the softswitch")
    softswitch.sendall(b"to the stand-in")
    softswitch.shutdown(socket.SHUT_WR)
    assert loop.run_until(lambda: bool(ends), 10.0)
    assert received == [b"to the stand-in"]
    softswitch.settimeout(10.0)
    assert softswitch.recv(100) == b"to the softswitch"
    assert softswitch.recv(100) == b""
    assert connection.closed
