"""The configuration of one softswitch: what the platform gives it, and the limits that follow from that.

This file owns the names in the configuration around the settings; those of the settings are in
`wickstep.settings`. It must never open a connection. Times are microseconds, but the settings
keep their nanoseconds.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import ujson

from wickstep import interface as api
from wickstep.net import bulletin, links
from wickstep.net.bulletin import ListUpdate
from wickstep.net.units import NS_PER_US, SECOND
from wickstep.settings import (
    convert,
    get_section,
    read_for_class,
    read_integer,
    read_settings,
    require_value,
)

DEFAULT_MAX_WAIT = 60 * SECOND  # how long a caller waits at most if the settings do not say
OPEN_CALLS_PER_MB = 30  # calls that may be open at once, for each MB of memory
# The descriptions of open calls, up to 16 KiB each, may fill the memory divided by this.
HELD_MEMORY_DIVISOR = 16
# Fraction of the file descriptors for callers' connections. Callers hold a third of the descriptors at most;
# the limit protects the rest.
CALLER_DESCRIPTOR_SHARE = 0.45
# A silent caller's connection takes 40 KB of memory, one that keeps sending 16 KiB messages 80 KB.
CALLER_LINKS_PER_MB = 5
ENDED_CALLS_PER_MB = 150  # ended calls that are remembered, 0.35 KB each
PAST_IDS_PER_MB = 512  # ids of calls that were taken in, 8 bytes each


@dataclass(slots=True)
class Config:
    """Configuration of this softswitch, read from the JSON file and the environment."""

    name: str
    listen: str
    seed: int
    sockets: int
    bulletin: str
    # The last event number known at the start, and the events up to it.
    known_events: tuple[int, list[ListUpdate]]
    settings: api.Settings
    classes: dict[str, int]
    max_waits: tuple[int, ...]  # by class: the longest time a caller waits
    max_widths: tuple[int, ...]  # by class: the largest width a set-up may ask for
    max_open: int
    max_held_bytes: int  # total size of the descriptions of open calls
    max_callers: int  # callers' connections
    max_ended: int  # ended calls that are remembered
    max_past_ids: int  # ids that are remembered for longer than those
    dial_timeout: int
    operator: str = ""  # address for operators' commands; empty if there is none
    tenants: dict[str, int] = field(default_factory=dict)  # index in the settings, by name
    inherited_fd: int | None = None  # listening socket for callers, if the platform holds it

    @classmethod
    def read(cls, text: str | bytes) -> Config:
        raw = ujson.loads(text)
        if not isinstance(raw, dict) or not isinstance(require_value(raw, "settings", "settings"), dict):
            raise ValueError("setting settings: expected a JSON object")
        settings_section, machine_limits = raw["settings"], get_section(raw, "limits")
        settings = read_settings(settings_section)  # first, as it reports what is wrong with the classes
        limits, classes = get_section(settings_section, "limits"), settings_section["classes"]
        widths = get_section(settings_section, "family_info").get("widths")
        class_names = [
            str(require_value(item, "name", f"classes[{index}].name")) for index, item in enumerate(classes)
        ]
        parties = enumerate(settings_section.get("parties") or ())
        tenants = {
            str(require_value(item, "name", f"parties[{index}].name")): index for index, item in parties
        }
        max_open = read_integer(limits, "max_open", "limits.max_open", 0) or 20000
        memory_mb = read_integer(machine_limits, "memory_mb", "limits.memory_mb", 0) or 192
        sockets = read_integer(machine_limits, "sockets", "limits.sockets", 1024)
        # Reject an address that cannot be dialled.
        links.parse_address(str(require_value(raw, "bulletin", "bulletin")))
        links.parse_address(str(require_value(raw, "listen", "listen")))
        return cls(
            name=str(require_value(raw, "name", "name")),
            listen=str(raw["listen"]),
            seed=convert(require_value(raw, "seed", "seed"), "seed", lambda text: int(str(text), 16)),
            sockets=sockets,
            bulletin=str(raw["bulletin"]),
            known_events=bulletin.read_events(raw.get("known") or {"no": 0, "items": []}),
            settings=settings,
            classes={name: index for index, name in enumerate(class_names)},
            max_waits=tuple(
                (
                    read_integer(item, "give_up_ns", f"classes[{index}].give_up_ns", 0)
                    or DEFAULT_MAX_WAIT * NS_PER_US
                )
                // NS_PER_US
                for index, item in enumerate(classes)
            ),
            max_widths=tuple(
                1 if (width := read_for_class(widths, index, "family_info.widths", int)) is None else width
                for index in range(len(classes))
            ),
            max_open=min(max_open, memory_mb * OPEN_CALLS_PER_MB),
            max_held_bytes=(memory_mb << 20) // HELD_MEMORY_DIVISOR,
            max_callers=min(int(sockets * CALLER_DESCRIPTOR_SHARE), memory_mb * CALLER_LINKS_PER_MB),
            max_ended=memory_mb * ENDED_CALLS_PER_MB,
            max_past_ids=memory_mb * PAST_IDS_PER_MB,
            dial_timeout=(
                read_integer(limits, "dial_timeout_ns", "limits.dial_timeout_ns", 0) or SECOND * NS_PER_US
            )
            // NS_PER_US,
            inherited_fd=int(os.environ["ROUTER_ACCEPT_FD"]) if os.environ.get("ROUTER_ACCEPT_FD") else None,
            tenants=tenants,
            operator=os.environ.get("ROUTER_OPERATOR") or str(raw.get("operator") or ""),
        )
