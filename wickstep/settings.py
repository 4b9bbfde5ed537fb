"""The platform's settings, as the simulator's first message and the configuration's `settings` give them.

This file owns the names of that object, which the simulator's adapter and the softswitch on sockets both
read. It must never touch a socket or a file, and never guess a value that must be there.
"""

from __future__ import annotations

from typing import Any

from wickstep import interface as api

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
}


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Translate the settings, times in nanoseconds; unknown keys are skipped.

    Raises ValueError, KeyError or TypeError where a value is missing or out of range.
    """
    info, limits, rules = (_section(conf, name) for name in ("family_info", "limits", "rules"))
    pools = info.get("allowed_pools")
    lengths = info.get("call_length_ns")
    classes = []
    for position, item in enumerate(_need(conf, "classes", "classes")):
        classes.append(
            api.CallClass(
                aim=int(_need(item, "slo_ns", "classes[].slo_ns")),
                worth=float(_need(item, "credit", "classes[].credit")),
                late_worth=float(item.get("late_value") or 0.0),
                effect=EFFECTS.get(str(item.get("effect")), api.Effect.UNSAFE),
                allowed=frozenset(int(n) for n in pools[position]) if pools else None,
                length=int(lengths[position]) if lengths else 0,
            )
        )
    return api.Settings(
        classes=tuple(classes),
        proxies=int(_need(conf, "peers_total", "peers_total")),
        max_attempts=int(_need(limits, "attempts_cap", "limits.attempts_cap")),
        max_retry_after=int(limits.get("max_retry_after_ns") or 0),
        retransmit=int(info.get("retransmit_ns") or 0),
        release_wait=int(_need(info, "release_ns", "family_info.release_ns")),
        drain_grace=int(_need(rules, "drain_grace_ns", "rules.drain_grace_ns")),
        cold_from=float(_need(rules, "cold_from", "rules.cold_from")),
        ramp_time=int(_need(rules, "ramp_time_ns", "rules.ramp_time_ns")),
        fall_multiple=float(_need(rules, "fall_multiple", "rules.fall_multiple")),
        fall_window=int(_need(rules, "tip_after_ns", "rules.tip_after_ns")),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("probes")),
        may_message=bool(limits.get("peers")),
        heeds_retry_after=bool(limits.get("retry_after")),
        list_on_request=conf.get("registry_mode") == "ask",
        own_number=int(info.get("this_node", -1)),
    )


def _section(conf: dict[str, Any], name: str) -> dict[str, Any]:
    found = conf.get(name)
    return found if isinstance(found, dict) else {}


def _need(where: dict[str, Any], key: str, name: str) -> Any:
    if where.get(key) is None:
        raise ValueError(f"setting {name}: missing")
    return where[key]
