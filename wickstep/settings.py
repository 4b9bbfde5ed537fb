"""The platform's settings, as the simulator's first message and the configuration's `settings` give them.

This file owns the names of that object, which the simulator's adapter and the softswitch on sockets both
read. It must never touch a socket or a file, and never guess a value that must be there.
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
REPORT_FIELDS = {
    "avg_ms": "wait_ms",
    "waiting": "waiting",
    "can_take": "can_take",
    "free": "free",
    "size": "lines",
    "hold_back": "hold_back",
}


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Translate the settings, times in nanoseconds; unknown keys are skipped.

    Raises ValueError with the setting's name where a value is missing, of a wrong type or out of range.
    """
    info, limits, rules = (get_section(conf, name) for name in ("family_info", "limits", "rules"))
    pools = info.get("allowed_pools")
    lengths = info.get("call_length_ns")
    classes = []
    for position, item in enumerate(read_list(conf, "classes", "classes")):
        where = f"classes[{position}]"
        if not isinstance(item, dict):
            raise ValueError(f"setting {where}: {item!r} is no class")
        pool = read_for_class(pools, position, "family_info.allowed_pools", parse_integers)
        classes.append(
            api.CallClass(
                aim=read_integer(item, "slo_ns", f"{where}.slo_ns"),
                worth=read_number(item, "credit", f"{where}.credit"),
                late_worth=read_number(item, "late_value", f"{where}.late_value", 0.0),
                effect=EFFECTS.get(str(item.get("effect")), api.Effect.UNSAFE),
                allowed=frozenset(pool) if pool is not None else None,
                holding_time=read_for_class(lengths, position, "family_info.call_length_ns", int) or 0,
                give_up_after=read_integer(item, "give_up_ns", f"{where}.give_up_ns", 0),
            )
        )
    tenants = []
    for position, item in enumerate(read_list(conf, "parties", "parties") if conf.get("parties") else ()):
        if not isinstance(item, dict):
            raise ValueError(f"setting parties[{position}]: {item!r} is no tenant")
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
    """An object in the settings; an empty one where there is none."""
    found = conf.get(name)
    return found if isinstance(found, dict) else {}


def require_value(where: dict[str, Any], key: str, name: str) -> Any:
    """What stands under a key; ValueError with the setting's name where nothing does."""
    if where.get(key) is None:
        raise ValueError(f"setting {name}: missing")
    return where[key]


def read_integer(where: dict[str, Any], key: str, name: str, absent: int | None = None) -> int:
    """A whole number; `absent` stands for one that is not there. ValueError names the setting."""
    return _read(where, key, name, int, absent)


def read_number(where: dict[str, Any], key: str, name: str, absent: float | None = None) -> float:
    """The same for any finite number."""
    return _read(where, key, name, float, absent)


def _read(where: dict[str, Any], key: str, name: str, kind: Callable[[Any], T], absent: T | None) -> T:
    if where.get(key) is None and absent is not None:
        return absent
    return convert(require_value(where, key, name), name, kind)


def read_list(where: dict[str, Any], key: str, name: str) -> list[Any]:
    """A list; ValueError with the setting's name where there is none."""
    found = require_value(where, key, name)
    if not isinstance(found, list):
        raise ValueError(f"setting {name}: no list")
    return found


def parse_integers(found: Any) -> list[int]:
    if not isinstance(found, list):
        raise TypeError("no list")
    return [int(item) for item in found]


def read_for_class(found: Any, position: int, name: str, kind: Callable[[Any], T]) -> T | None:
    """What a list has for a class; None where there is no such list."""
    if not found:
        return None
    if not isinstance(found, list) or len(found) <= position:
        raise ValueError(f"setting {name}: nothing for class {position}")
    return convert(found[position], f"{name}[{position}]", kind)


def convert(value: Any, name: str, kind: Callable[[Any], T]) -> T:
    """What `kind` makes of a value; ValueError with the setting's name where it can't."""
    try:
        found = kind(value)
        if isinstance(found, float) and not isfinite(found):
            raise ValueError("not finite")
    except (TypeError, ValueError, OverflowError) as trouble:
        raise ValueError(f"setting {name}: {str(value)[:80]!r} will not do: {trouble}") from trouble
    return found
