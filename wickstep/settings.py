"""Reads the platform's settings: the JSON object in the simulator's first message and in the configuration.

This file owns the names in that object; the simulator's adapter and the softswitch both read it through here.
It must never touch a socket or a file, and never guess a value that is required.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf, isfinite
from typing import Any, TypeVar

from wickstep import interface as api

T = TypeVar("T")

EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
# Fields of a load report: name on the wire and in the settings -> name in the controller's events.
REPORT_FIELDS = {
    "avg_ms": "wait_ms",
    "waiting": "waiting",
    "can_take": "can_take",
    "free": "free",
    "size": "lines",
    "hold_back": "hold_back",
}


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Convert the JSON settings, times in nanoseconds; unknown keys are ignored.

    Raises ValueError, naming the setting, if a value is missing, of a wrong type or out of range.
    """
    info, limits, rules = (get_section(conf, name) for name in ("family_info", "limits", "rules"))
    pools = info.get("allowed_pools")
    holding_times = info.get("call_length_ns")
    classes = []
    for position, item in enumerate(read_list(conf, "classes", "classes")):
        path = f"classes[{position}]"
        if not isinstance(item, dict):
            raise ValueError(f"setting {path}: expected an object for a class, got {item!r}")
        pool = read_for_class(pools, position, "family_info.allowed_pools", parse_integers)
        classes.append(
            api.CallClass(
                aim=read_integer(item, "slo_ns", f"{path}.slo_ns"),
                worth=read_number(item, "credit", f"{path}.credit"),
                late_worth=read_number(item, "late_value", f"{path}.late_value", 0.0),
                effect=EFFECTS.get(str(item.get("effect")), api.Effect.UNSAFE),
                allowed=frozenset(pool) if pool is not None else None,
                holding_time=read_for_class(holding_times, position, "family_info.call_length_ns", int) or 0,
                give_up_after=read_integer(item, "give_up_ns", f"{path}.give_up_ns", 0),
            )
        )
    tenants = []
    for position, item in enumerate(read_list(conf, "parties", "parties") if conf.get("parties") else ()):
        if not isinstance(item, dict):
            raise ValueError(f"setting parties[{position}]: expected an object for a tenant, got {item!r}")
        quota = read_number(item, "quota_per_s", f"parties[{position}].quota_per_s", inf)
        tenants.append(api.Tenant(quota))
    return api.Settings(
        classes=tuple(classes),
        proxies=read_integer(conf, "peers_total", "peers_total"),
        max_attempts=read_integer(limits, "attempts_cap", "limits.attempts_cap"),
        max_retry_after=read_integer(limits, "max_retry_after_ns", "limits.max_retry_after_ns", 0),
        retransmit=read_integer(info, "retransmit_ns", "family_info.retransmit_ns", 0),
        release_wait=read_integer(info, "release_ns", "family_info.release_ns"),
        drain_grace=read_integer(rules, "drain_grace_ns", "rules.drain_grace_ns"),
        cold_from=read_number(rules, "cold_from", "rules.cold_from"),
        ramp_time=read_integer(rules, "ramp_time_ns", "rules.ramp_time_ns"),
        fall_multiple=read_number(rules, "fall_multiple", "rules.fall_multiple"),
        fall_window=read_integer(rules, "tip_after_ns", "rules.tip_after_ns"),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("probes")),
        may_message=bool(limits.get("peers")),
        heeds_retry_after=bool(limits.get("retry_after")),
        list_on_request=conf.get("registry_mode") == "ask",
        own_number=read_integer(info, "this_node", "family_info.this_node", -1),
        tenants=tuple(tenants),
        over_quota_worth=read_number(conf, "over_share_worth", "over_share_worth", 1.0),
        marks_repeats=bool(get_section(conf, "client_habits").get("marks_retry", True)),
        ordinal=read_integer(conf, "ordinal", "ordinal", 0),
    )


def get_section(conf: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object in the settings; an empty one if it is missing or of another type."""
    value = conf.get(name)
    return value if isinstance(value, dict) else {}


def require_value(section: dict[str, Any], key: str, name: str) -> Any:
    """Return the value of a key; ValueError, naming the setting, if it is missing or null."""
    if section.get(key) is None:
        raise ValueError(f"setting {name}: missing, a value is required")
    return section[key]


def read_integer(section: dict[str, Any], key: str, name: str, default: int | None = None) -> int:
    """Return an integer, `default` if it is missing; ValueError, naming the setting, if it is invalid."""
    return _read(section, key, name, int, default)


def read_number(section: dict[str, Any], key: str, name: str, default: float | None = None) -> float:
    """Return a finite number; otherwise as `read_integer`."""
    return _read(section, key, name, float, default)


def _read(section: dict[str, Any], key: str, name: str, parse: Callable[[Any], T], default: T | None) -> T:
    if section.get(key) is None and default is not None:
        return default
    return convert(require_value(section, key, name), name, parse)


def read_list(section: dict[str, Any], key: str, name: str) -> list[Any]:
    """Return a list; ValueError, naming the setting, if it is missing or of another type."""
    value = require_value(section, key, name)
    if not isinstance(value, list):
        raise ValueError(f"setting {name}: expected a list")
    return value


def parse_integers(value: Any) -> list[int]:
    if not isinstance(value, list):
        raise TypeError("expected a list")
    return [int(item) for item in value]


def read_for_class(value: Any, position: int, name: str, parse: Callable[[Any], T]) -> T | None:
    """Return the entry of a list with one entry per class; None if there is no such list."""
    if not value:
        return None
    if not isinstance(value, list) or len(value) <= position:
        raise ValueError(f"setting {name}: expected a list with an entry for class {position}")
    return convert(value[position], f"{name}[{position}]", parse)


def convert(value: Any, name: str, parse: Callable[[Any], T]) -> T:
    """Return `parse(value)`; ValueError, naming the setting, if that fails or is not finite."""
    try:
        result = parse(value)
        if isinstance(result, float) and not isfinite(result):
            raise ValueError("expected a finite number")
    except (TypeError, ValueError, OverflowError) as error:
        raise ValueError(f"setting {name}: invalid value {str(value)[:80]!r}: {error}") from error
    return result
