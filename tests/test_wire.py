"""The simulator's adapter: round trips, malformed input, and the deployed command as a subprocess."""

import io
import json
import os
import shutil
import subprocess
import sys
import tomllib
from importlib.util import cache_from_source
from pathlib import Path
from typing import Any

import pytest

from wickstep import benchlink, settings
from wickstep import interface as api

ROOT = Path(__file__).parent.parent
CONF: dict[str, Any] = {
    "classes": [{"slo_ns": 1000000000, "credit": 2.0, "late_value": 0.1, "effect": "read_like", "new": 1}],
    "family_info": {"release_ns": 400000000, "retransmit_ns": 600000000, "allowed_pools": [[0, 1]]},
    "limits": {"attempts_cap": 4, "cancel": True, "retry_after": True, "max_retry_after_ns": 1000000000},
    "rules": {
        "drain_grace_ns": 500000000,
        "cold_from": 0.3,
        "ramp_time_ns": 9000000000,
        "fall_multiple": 2.0,
        "tip_after_ns": 2000000000,
    },
    "peers_total": 3,
    "something_new": {"a": 1},
}
START_LINES = [
    "TICK 5000000000",
    f"BORN proxy_0 17 {json.dumps(CONF)}",
    "POOL 0 1",
    "ENTRY 0 10.0.0.1:80 - 0 0 active 1",
    "DIRECTORY_UPDATE proxy_0 remembered 0 4",
    "END",
]
CALL_LINE = "KNOCK proxy_0 77 0 0 00000000000000aa 3000000000 - 0 1 -1 0 0 0 0"


def run_adapter(*lines: str) -> str:
    output = io.StringIO()
    benchlink.answer_batches((line + "\n" for line in lines), output)
    return output.getvalue()


def test_a_call_is_sent_and_not_refused_until_its_end() -> None:
    reply = run_adapter(
        *START_LINES,
        "TICK 5005000000",
        CALL_LINE,
        "END",
        "TICK 5045000000",
        "ACK_FIRST proxy_0 77 10.0.0.1:80 40000000 0",
        "END",
        "TICK 9045000000",
        "DONE proxy_0 77 0 10.0.0.1:80 200 4040000000 1 - free:3,size:9,avg_ms:2.5,later:1",
        "END",
    )
    assert "PASS_ON proxy_0 77 10.0.0.1:80 3000000000" in reply
    assert reply.count("END\n") == 4
    assert "SAY_NO" not in reply


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run_adapter("TICK 1", "END") == "END\n"


def test_input_may_end_between_batches() -> None:
    assert run_adapter() == ""


@pytest.mark.parametrize(
    "line",
    [
        "HELLO proxy_0",
        "TIMER proxy_0",
        "TIMER proxy_0 soon",
        "KNOCK proxy_0 77",
        "DONE proxy_0 77 0 10.0.0.1:80 999 1 1 - -",
        "DONE proxy_0 77 0 10.0.0.1:80 200 1 1 - avg_ms:fast",
        "DONE proxy_0 77 0 10.0.0.1:80 200 1 maybe - -",
        "PEER_DATA proxy_0 1 !!!",
        "DIRECTORY_UPDATE proxy_0 all 9 4",
        "ENTRY 0 10.0.0.1:80 - 0 0 active 1",
        "POOL 0 3",
        "BORN proxy_1 17 {broken",
        "",
    ],
)
def test_a_malformed_line_is_named(line: str) -> None:
    with pytest.raises(benchlink.WireError) as raised:
        run_adapter(*START_LINES, "TICK 5005000000", line, "END")
    assert line in str(raised.value)


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    with pytest.raises(benchlink.WireError, match="END is missing"):
        run_adapter(*START_LINES, "TICK 5005000000", CALL_LINE)


@pytest.mark.parametrize(
    ("section", "key"),
    [
        (None, "classes"),
        (None, "peers_total"),
        ("limits", "attempts_cap"),
        ("family_info", "release_ns"),
        ("rules", "cold_from"),
        ("rules", "tip_after_ns"),
    ],
)
def test_a_missing_setting_is_named(section: str | None, key: str) -> None:
    conf = json.loads(json.dumps(CONF))
    del (conf[section] if section else conf)[key]
    with pytest.raises(ValueError, match=key):
        settings.read_settings(conf)


def test_a_setting_out_of_range_is_named() -> None:
    conf = json.loads(json.dumps(CONF))
    conf["rules"]["cold_from"] = 1.5
    with pytest.raises(ValueError, match="cold_from"):
        settings.read_settings(conf)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.Send(5, "a:1", 9), "PASS_ON p 5 a:1 9"),
        (api.Refuse(5, 7), "SAY_NO p 5 7"),
        (api.Fail(5), "GIVE_UP p 5"),
        (api.Cancel(5, 2), "ABANDON p 5 2"),
        (api.Wake(6, 8), "WAKE_ME p 6 8"),
        (api.Probe("a:1"), "POLL p a:1"),
        (api.Message(None, b"hi"), "SHARE p -1 aGk="),
        (api.Message(3, b""), "SHARE p 3 -"),
        (api.FollowList(), "FOLLOW p 1"),
    ],
)
def test_each_action_has_its_line(action: api.Action, line: str) -> None:
    assert benchlink.format_action("p", action) == line


DEPLOYED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def run_deployed(text: str) -> subprocess.CompletedProcess[str]:
    command = DEPLOYED["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        ["/bin/sh", "-c", command], input=text, capture_output=True, text=True, cwd=ROOT, env=environment
    )


def test_the_deployed_command_answers_and_exits_0() -> None:
    result = run_deployed("\n".join([*START_LINES, "TICK 5005000000", CALL_LINE, "END"]) + "\n")
    assert result.returncode == 0
    assert "PASS_ON proxy_0 77 10.0.0.1:80" in result.stdout
    assert result.stderr == ""


def test_the_deployed_command_names_a_bad_line_and_fails() -> None:
    result = run_deployed("TICK 1\nNONSENSE here\nEND\n")
    assert result.returncode == 1
    assert result.stdout == ""
    assert "NONSENSE here" in result.stderr
    assert "Traceback" not in result.stderr


def test_the_build_compiles_all_modules_as_a_start_cannot_write_them(tmp_path: Path) -> None:
    shutil.copytree(ROOT / "wickstep", tmp_path / "wickstep", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    subprocess.run(["/bin/sh", "-c", DEPLOYED["build"]], cwd=tmp_path, check=True)
    sources = list((tmp_path / "wickstep").rglob("*.py"))
    assert [path for path in sources if not Path(cache_from_source(str(path))).exists()] == []
