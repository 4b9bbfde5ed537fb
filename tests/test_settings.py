"""Settings: an error is one line that names the setting; no values of a deployment are built in."""

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
from wickstep.net.config import Config
from wickstep.settings import read_settings

from .test_softswitch import Rig, Server, list_line
from .test_wire import CONF

CONFIG = {
    "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "bulletin": "127.0.0.1:9", "settings": CONF,
    "limits": {"sockets": 256, "memory_mb": 64},
}  # fmt: skip
REQUIRED_KEYS = [
    "name", "listen", "seed", "bulletin", "settings", "settings.classes", "settings.classes.0.slo_ns",
    "settings.classes.0.credit", "settings.classes.0.name", "settings.peers_total",
    "settings.limits.attempts_cap", "settings.family_info.release_ns", "settings.rules.drain_grace_ns",
    "settings.rules.cold_from", "settings.rules.ramp_time_ns", "settings.rules.fall_multiple",
    "settings.rules.tip_after_ns",
]  # fmt: skip
NUMERIC_KEYS = [
    *(key for key in REQUIRED_KEYS if key.endswith(("_ns", "credit", "total", "cap", "from", "multiple"))),
    "seed", "limits.sockets", "limits.memory_mb", "settings.limits.max_open",
    "settings.limits.dial_timeout_ns",
    "settings.limits.max_retry_after_ns", "settings.classes.0.give_up_ns", "settings.classes.0.late_value",
    "settings.family_info.allowed_pools", "settings.family_info.widths",
    "settings.family_info.call_length_ns",
]  # fmt: skip


def settings_with(key: str, value: Any) -> str:
    """Return the configuration as JSON with one value replaced, or removed if None."""
    config = json.loads(json.dumps(CONFIG))
    config["settings"]["classes"][0]["name"] = "voice"
    node = config
    *path, last = (int(part) if part.isdecimal() else part for part in key.split("."))
    for part in path:
        node = node[part]
    if value is None:
        del node[last]
    else:
        node[last] = value
    return json.dumps(config)


def assert_refused(text: str, key: str, folder: Path) -> None:
    """A start with this configuration prints one line that names the key and ends with exit code 2."""
    path = folder / "config.json"
    path.write_text(text)
    for command in ("check-config", "serve"):
        result = CliRunner().invoke(main, [command, "--config", str(path)])
        assert result.exit_code == 2, result.output
        (message,) = result.output.splitlines()
        assert key.split(".")[-1] in message


@pytest.mark.parametrize("key", REQUIRED_KEYS)
def test_a_missing_setting_is_named(key: str, tmp_path: Path) -> None:
    assert_refused(settings_with(key, None), key, tmp_path)


@pytest.mark.parametrize("key", NUMERIC_KEYS)
@pytest.mark.parametrize("value", ["many", {"a": 1}, [["x"]]], ids=str)
def test_a_setting_of_the_wrong_type_is_named(key: str, value: Any, tmp_path: Path) -> None:
    assert_refused(settings_with(key, value), key, tmp_path)


@pytest.mark.parametrize(
    ("key", "value", "expected"),
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
def test_a_setting_out_of_range_is_named(key: str, value: Any, expected: str, tmp_path: Path) -> None:
    assert_refused(settings_with(key, value), expected, tmp_path)


def test_an_integer_written_as_a_float_is_read() -> None:
    assert (
        Config.read(settings_with("settings.classes.0.slo_ns", 1.5e9)).settings.classes[0].aim
        == 1_500_000_000
    )


# Arbitrary deployments.

TIMES = st.integers(50, 60_000).map(lambda ms: ms * 1_000_000)
NAMES = st.text(st.characters(codec="utf-8", exclude_categories=("Cs", "Cc")), min_size=1, max_size=20)


@st.composite
def deployments(draw: st.DrawFn) -> dict[str, Any]:
    """Draw settings with any names and number of classes, any limits, values of zero and missing keys."""
    classes = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        item: dict[str, Any] = {
            "name": name, "slo_ns": draw(TIMES), "credit": draw(st.floats(0, 1000)),
            "effect": draw(st.sampled_from(["read_like", "idempotency_key", "non_idempotent", "new", None])),
        }  # fmt: skip
        if draw(st.booleans()):
            item["late_value"] = draw(st.floats(0, 1))
        if draw(st.booleans()):
            item["give_up_ns"] = draw(st.sampled_from([0, 10**9, 10**10]))
        classes.append(item)
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
def test_the_controller_answers_each_call_once_under_any_settings(conf: dict[str, Any], seed: int) -> None:
    read = read_settings(conf)
    controller = Controller(read, seed)
    now, timers = 10**9, list[tuple[int, int]]()
    final_answers: dict[int, int] = {}
    attempts: dict[int, int] = {}

    def deliver(event: interface.Event) -> None:
        for action in controller.handle(event, now):
            match action:
                case interface.Wake(token=token, due=due):
                    timers.append((due, token))
                case interface.Refuse(call=call) | interface.Fail(call=call):
                    final_answers[call] = final_answers.get(call, 0) + 1
                case interface.Send(call=call, server=server):
                    attempts[call] = attempt = attempts.get(call, 0) + 1
                    assert call not in final_answers
                    assert attempt <= read.max_attempts
                    # Calls whose number is divisible by three end as full, reset or error; the others stand.
                    in_flight.append((call, attempt - 1, server))

    in_flight: list[tuple[int, int, str]] = []
    deliver(interface.Started())
    active = interface.ServerState.ACTIVE
    entries = tuple(interface.ServerEntry(f"s{n}", n, 0 if n else 5 * 10**8, active) for n in range(3))
    deliver(interface.ServerList(interface.ListKind.COMPLETE, entries))
    outcomes = [interface.Outcome.FULL, interface.Outcome.RESET, interface.Outcome.ERROR]
    for step in range(60):
        now += 37_000_000
        while timers and min(timers)[0] <= now:
            timers.remove(first := min(timers))
            deliver(interface.TimerDue(first[1]))
        deliver(interface.NewCall(step, step % len(read.classes), 2 * 10**9, step % 3))
        for call, attempt, server in in_flight[:2]:
            in_flight.remove((call, attempt, server))
            if call % 3:
                final_answers[call] = final_answers.get(call, 0) + 1
                deliver(interface.CallStands(call, attempt, server, 20_000_000))
            else:
                outcome = outcomes[call // 3 % 3]
                deliver(interface.AttemptEnded(call, attempt, server, outcome, 20_000_000, False, False, {}))
    for _ in range(400):
        if timers:
            now = max(now, min(timers)[0])
            timers.remove(first := min(timers))
            deliver(interface.TimerDue(first[1]))
    assert set(final_answers.values()) == {1}
    assert {call for call in range(60) if call not in final_answers} <= {call for call, _, _ in in_flight}


@settings(max_examples=8, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(deployments())
def test_a_call_of_any_class_is_sent_with_its_class_name(conf: dict[str, Any]) -> None:
    rig, server = Rig(), Server()
    for item in conf["classes"]:
        item["slo_ns"] += 20 * 10**9  # a slow test must not count as a silent connection
    rig.open(list_line(server, "s-1"), replaced=conf)
    try:
        server_peer, caller = server.accept(), rig.caller()
        for item in conf["classes"]:
            call = rig.call(caller, wait_ms=1000, klass=item["name"])
            assert server_peer.receive(SetUp, call).klass == item["name"]
            server_peer.send(Answer(call, b"accept"))
            caller.receive(Answer, call)
    finally:
        rig.stop()
    assert rig.switch is not None
    assert rig.switch.shared.counters["faults"] == 0
