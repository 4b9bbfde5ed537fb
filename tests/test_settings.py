"""Settings: what is wrong with them is told in one line, and they alone say what a customer's calls are."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from wickstep import Controller, interface
from wickstep.__main__ import main
from wickstep.net import Answer, SetUp
from wickstep.net.softswitch import Config
from wickstep.settings import read_settings

from .test_softswitch import Rig, Server, list_line
from .test_wire import CONF

GIVEN = {
    "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "bulletin": "127.0.0.1:9", "settings": CONF,
    "limits": {"sockets": 256, "memory_mb": 64},
}  # fmt: skip
NEEDED = [
    "name", "listen", "seed", "bulletin", "settings", "settings.classes", "settings.classes.0.slo_ns",
    "settings.classes.0.credit", "settings.classes.0.name", "settings.peers_total",
    "settings.limits.attempts_cap", "settings.family_info.release_ns", "settings.rules.drain_grace_ns",
    "settings.rules.cold_from", "settings.rules.ramp_time_ns", "settings.rules.fall_multiple",
    "settings.rules.tip_after_ns",
]  # fmt: skip
NUMBERS = [
    *(key for key in NEEDED if key.endswith(("_ns", "credit", "total", "cap", "from", "multiple"))),
    "seed", "limits.sockets", "limits.memory_mb", "settings.limits.max_open",
    "settings.limits.dial_timeout_ns",
    "settings.limits.max_retry_after_ns", "settings.classes.0.give_up_ns", "settings.classes.0.late_value",
    "settings.family_info.allowed_pools", "settings.family_info.widths",
    "settings.family_info.call_length_ns",
]  # fmt: skip


def settings_with(key: str, value: Any) -> str:
    """The settings with one value replaced, or taken out."""
    found = json.loads(json.dumps(GIVEN))
    found["settings"]["classes"][0]["name"] = "voice"
    place = found
    *path, last = (int(part) if part.isdecimal() else part for part in key.split("."))
    for part in path:
        place = place[part]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return json.dumps(found)


def assert_refused(text: str, key: str, folder: Path) -> None:
    """A start with these settings ends with one line that names the key, and exit code 2."""
    path = folder / "config.json"
    path.write_text(text)
    for command in ("check-config", "serve"):
        done = CliRunner().invoke(main, [command, "--config", str(path)])
        assert done.exit_code == 2, done.output
        (told,) = done.output.splitlines()
        assert key.split(".")[-1] in told


@pytest.mark.parametrize("key", NEEDED)
def test_a_setting_that_is_missing_is_named(key: str, tmp_path: Path) -> None:
    assert_refused(settings_with(key, None), key, tmp_path)


@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize("value", ["many", {"a": 1}, [["x"]]], ids=str)
def test_a_setting_that_is_no_number_is_named(key: str, value: Any, tmp_path: Path) -> None:
    assert_refused(settings_with(key, value), key, tmp_path)


@pytest.mark.parametrize(
    ("key", "value", "told"),
    [
        ("settings.classes", {}, "classes"),
        ("settings.classes", [], "classes"),
        ("settings.classes", ["voice"], "classes"),
        ("settings.classes.0.slo_ns", 0, "aim"),
        ("settings.classes.0.credit", -1, "worth"),
        ("settings.peers_total", 0, "proxies"),
        ("settings.rules.cold_from", 1.5, "cold_from"),
        ("listen", "nowhere", "nowhere"),
        ("bulletin", "127.0.0.1:99999", "99999"),
    ],
)
def test_a_setting_out_of_range_is_named(key: str, value: Any, told: str, tmp_path: Path) -> None:
    assert_refused(settings_with(key, value), told, tmp_path)


def test_an_integer_is_read_from_a_float_as_json_writers_have_them() -> None:
    assert (
        Config.read(settings_with("settings.classes.0.slo_ns", 1.5e9)).settings.classes[0].aim
        == 1_500_000_000
    )


# No customer's values.

TIMES = st.integers(50, 60_000).map(lambda ms: ms * 1_000_000)
NAMES = st.text(st.characters(codec="utf-8", exclude_categories=("Cs", "Cc")), min_size=1, max_size=20)


@st.composite
def deployments(draw: st.DrawFn) -> dict[str, Any]:
    """Settings of nobody in particular: other names and numbers of classes, other limits, zero and absent."""
    classes = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        one: dict[str, Any] = {
            "name": name, "slo_ns": draw(TIMES), "credit": draw(st.floats(0, 1000)),
            "effect": draw(st.sampled_from(["read_like", "idempotency_key", "non_idempotent", "new", None])),
        }  # fmt: skip
        if draw(st.booleans()):
            one["late_value"] = draw(st.floats(0, 1))
        if draw(st.booleans()):
            one["give_up_ns"] = draw(st.sampled_from([0, 10**9, 10**10]))
        classes.append(one)
    return {
        "classes": classes,
        "peers_total": draw(st.integers(1, 1000)),
        "limits": {
            "attempts_cap": draw(st.integers(1, 9)), "cancel": draw(st.booleans()),
            "probes": draw(st.booleans()), "retry_after": draw(st.booleans()), "unheard_of": [1],
        },
        "family_info": {"release_ns": draw(TIMES), "zones": draw(st.lists(NAMES, max_size=3))},
        "rules": {
            "drain_grace_ns": draw(TIMES), "cold_from": draw(st.floats(0.05, 1)),
            "ramp_time_ns": draw(st.sampled_from([0, 10**9, 15 * 10**9])),
            "fall_multiple": draw(st.floats(0.5, 5)), "tip_after_ns": draw(TIMES),
        },
        "unheard_of": {"a": None},
    }  # fmt: skip


@settings(max_examples=60, deadline=None, derandomize=True)
@given(deployments(), st.integers(0, 2**30))
def test_the_module_decides_by_the_settings_alone(conf: dict[str, Any], seed: int) -> None:
    read = read_settings(conf)
    controller = Controller(read, seed)
    now, timers = 10**9, list[tuple[int, int]]()
    ends: dict[int, int] = {}
    tries: dict[int, int] = {}

    def give(event: interface.Event) -> None:
        for action in controller.handle(event, now):
            match action:
                case interface.Wake(token=token, due=due):
                    timers.append((due, token))
                case interface.Refuse(call=call) | interface.Fail(call=call):
                    ends[call] = ends.get(call, 0) + 1
                case interface.Send(call=call, server=server):
                    tries[call] = attempt = tries.get(call, 0) + 1
                    assert call not in ends
                    assert attempt <= read.max_attempts
                    # Every third stands; the others end in every way there is.
                    waiting.append((call, attempt - 1, server))

    waiting: list[tuple[int, int, str]] = []
    give(interface.Started())
    active = interface.ServerState.ACTIVE
    entries = tuple(interface.ServerEntry(f"s{n}", n, 0 if n else 5 * 10**8, active) for n in range(3))
    give(interface.ServerList(interface.ListKind.COMPLETE, entries))
    outcomes = [interface.Outcome.FULL, interface.Outcome.RESET, interface.Outcome.ERROR]
    for step in range(60):
        now += 37_000_000
        while timers and min(timers)[0] <= now:
            timers.remove(first := min(timers))
            give(interface.TimerDue(first[1]))
        give(interface.NewCall(step, step % len(read.classes), 2 * 10**9, step % 3))
        for call, attempt, server in waiting[:2]:
            waiting.remove((call, attempt, server))
            if call % 3:
                ends[call] = ends.get(call, 0) + 1
                give(interface.CallStands(call, attempt, server, 20_000_000))
            else:
                why = outcomes[call // 3 % 3]
                give(interface.AttemptEnded(call, attempt, server, why, 20_000_000, False, False, {}))
    for _ in range(400):
        if timers:
            now = max(now, min(timers)[0])
            timers.remove(first := min(timers))
            give(interface.TimerDue(first[1]))
    assert set(ends.values()) == {1}
    assert {call for call in range(60) if call not in ends} <= {call for call, _, _ in waiting}


@settings(max_examples=8, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(deployments())
def test_a_call_of_any_class_is_served(conf: dict[str, Any]) -> None:
    place, server = Rig(), Server()
    for item in conf["classes"]:
        item["slo_ns"] += 20 * 10**9  # no connection is doubted over a test that is slow
    place.open(list_line(server, "s-1"), replaced=conf)
    try:
        trunk, caller = server.accept(), place.caller()
        for item in conf["classes"]:
            call = place.call(caller, wait_ms=1000, klass=item["name"])
            assert trunk.hear(SetUp, call).klass == item["name"]
            trunk.say(Answer(call, b"accept"))
            caller.hear(Answer, call)
    finally:
        place.stop()
    assert place.switch is not None
    assert place.switch.shared.counters["faults"] == 0
