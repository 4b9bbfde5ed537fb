"""Runs a scenario: starts its peers and softswitches, injects its faults, ends what it started.

This file owns the course of a rehearsal. It must never last longer than its bound, whatever hangs.
"""

from __future__ import annotations

import os
import random
import signal
from functools import partial
from pathlib import Path
from typing import Any

from wickstep.rehearsal import judge, report
from wickstep.rehearsal.callers import CALL_CLASS, Callers
from wickstep.rehearsal.loop import Loop
from wickstep.rehearsal.processes import ROOT, Launchers, Softswitch, find_free_ports, own_loopback_host
from wickstep.rehearsal.relay import NO_FAULT, LinkCondition, LinkMode, Network
from wickstep.rehearsal.scenario import Fault, Scenario
from wickstep.rehearsal.servers import HEALTH_STATES, Bulletin, Link, SetUpServer
from wickstep.rehearsal.trace import EventKind, Trace

READY_TIMEOUT_S = 60.0
SETTLE_S = 1.5  # after the last call, for releases on their way
NS_PER_S = 1_000_000_000
LINK_CONDITIONS = {
    "cut": LinkCondition(LinkMode.DROP),
    "reset": LinkCondition(LinkMode.RESET),
    "half-open": LinkCondition(LinkMode.DROP_INBOUND),
}


def softswitch_settings(scenario: Scenario) -> dict[str, Any]:
    """The settings that the platform would give the softswitches of a scenario."""
    plan, callers = scenario.servers, scenario.callers
    return {
        "classes": [
            {
                "name": CALL_CLASS, "slo_ns": int(callers.aim_s * NS_PER_S),
                "give_up_ns": int(callers.wait_s * NS_PER_S),
                "credit": 1.0, "late_value": 0.1, "effect": "read_like",
            }
        ],
        "peers_total": scenario.softswitches,
        "family_info": {
            "allowed_pools": [list(range(plan.count))], "call_length_ns": [int(callers.hold_s * NS_PER_S)],
            "release_ns": NS_PER_S // 5, "retransmit_ns": 4 * NS_PER_S // 10, "this_node": -1,
        },
        "limits": {
            "attempts_cap": 5, "cancel": True, "dial_timeout_ns": NS_PER_S // 2, "max_open": 20000,
            "max_retry_after_ns": 2 * NS_PER_S, "probes": True, "retry_after": True,
        },
        "rules": {
            "cold_from": plan.cold_from, "drain_grace_ns": 2 * NS_PER_S, "fall_multiple": plan.fall_multiple,
            "ramp_time_ns": int(max(plan.cold_s, 0.1) * NS_PER_S),
            "tip_after_ns": int(plan.fall_s * NS_PER_S),
        },
        "stats": {"columns": ["free", "size", "hold_back", "avg_ms"], "source": "inline"},
    }  # fmt: skip


class Rehearsal:
    """One run of a scenario, in a folder of its own."""

    def __init__(self, scenario: Scenario, folder: Path, program: Path = ROOT) -> None:
        """`program`: the checkout whose softswitches run, so that an earlier version can be compared."""
        self.scenario, self.random = scenario, random.Random(scenario.seed)
        self.loop, self.network, self.trace = Loop(), Network(), Trace()
        count = scenario.softswitches
        self.bulletin = Bulletin(self.loop, self.network, self.trace, count)
        self.servers = [self._make_server(f"s-{number}", number) for number in range(scenario.servers.count)]
        self.bulletin.publish(self.servers, whole=True)
        folders = [folder / f"n{number}" for number in range(count)]
        host = own_loopback_host(os.getpid())
        ports = find_free_ports(count, scenario.seed, host)
        self.launchers = Launchers(self.loop, program.resolve())
        self.switches = [
            Softswitch(n, own_folder, (host, ports[n]), self._serve_options(own_folder), self.launchers)
            for n, own_folder in enumerate(folders)
        ]
        addresses = [softswitch.address for softswitch in self.switches]
        self.callers = Callers(
            scenario.callers, self.loop, self.network, self.trace, addresses, scenario.seed + 1,
            len(self.servers),
        )  # fmt: skip
        self.ready_s = 0.0
        self.awaiting_restart: set[int] = set()  # killed softswitches that are not yet started again

    def play(self) -> report.Report:
        """Run the scenario to its end; all processes that were started have ended then."""
        loop = self.loop
        try:
            for softswitch in self.switches:
                self._start(softswitch)
            self.callers.start_tests()
            if not loop.run_until(self.callers.have_all_passed, READY_TIMEOUT_S):
                raise TimeoutError(
                    f"softswitches not ready in time; log of the first: {self.switches[0].logs()[-2000:]}"
                )
            self.ready_s = loop.elapsed_s
            # The times of the trace and of the faults count from here.
            self.bulletin.unix_start += loop.elapsed_s
            for server in self.servers:
                server.free_at -= loop.elapsed_s
            loop.started_at = loop.now
            self.trace.events.clear()
            for fault in self.scenario.faults:
                loop.call_later(fault.at, partial(self._inject, fault))
            self.callers.start()
            loop.call_later(self.scenario.lasts_s, self.callers.stop)
            end = self.scenario.lasts_s + self.scenario.callers.wait_s + SETTLE_S
            loop.run_until(lambda: loop.elapsed_s >= end, end + 5)
            crashes = [
                f"n{s.number}: exit code {s.exit_code}" for s in self.switches if s.exit_code is not None
            ]
        finally:
            self.launchers.close()
        violations = judge.find_violations(self.trace, loop.elapsed_s, self.scenario.keeps_calls)
        return report.build_report(self.scenario, self.trace, violations, self.ready_s, crashes)

    def _serve_options(self, folder: Path) -> list[str]:
        if not self.scenario.keeps_state:
            return []
        settings_file = folder.parent / f"{folder.name}.kdl"
        settings_file.parent.mkdir(parents=True, exist_ok=True)
        calls = "    calls confirm-s=3\n" if self.scenario.keeps_calls else ""
        settings_file.write_text(f'recovery {{\n    folder "{folder / "state"}"\n{calls}}}\n')
        return ["--recovery", str(settings_file)]

    def _make_server(self, name: str, number: int, started_at: float = -1e9) -> SetUpServer:
        scenario = self.scenario
        return SetUpServer(
            name, number, scenario.servers, self.loop, self.network, self.trace, scenario.callers.hold_s,
            self.random.randrange(2**31), scenario.softswitches, started_at,
        )  # fmt: skip

    def _start(self, softswitch: Softswitch) -> None:
        self.awaiting_restart.discard(softswitch.number)
        softswitch.start(
            {
                "seed": f"{self.random.randrange(2**63):x}",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "settings": softswitch_settings(self.scenario),
                "bulletin": self.bulletin.listeners[softswitch.number].address,
                "known": self.bulletin.known(softswitch.number),
            }
        )

    def _select_softswitches(self, fault: Fault) -> list[int]:
        """The numbers of the softswitches that a fault hits."""
        everyone = range(self.scenario.softswitches)
        if fault.group >= 0:
            return [number for number in everyone if number % fault.of == fault.group]
        return sorted(self.random.sample(everyone, round(fault.part * len(everyone))))

    def _inject(self, fault: Fault) -> None:
        selected = self._select_softswitches(fault)
        match fault.kind:
            case "kill":
                for number in selected:
                    self._mark_down(number)
                    self.switches[number].kill()
                    if number not in self.awaiting_restart:  # else its restart is scheduled already
                        self.awaiting_restart.add(number)
                        self.loop.call_later(fault.back_s, partial(self._start, self.switches[number]))
            case "stall":
                for number in selected:
                    self._mark_down(number)
                    self.switches[number].send_signal(signal.SIGSTOP)
                    self.loop.call_later(fault.for_s, partial(self._resume, number))
            case "lose-state":
                for number in selected:
                    self.switches[number].delete_state()
            case "age-state":
                for number in selected:
                    self.switches[number].age_state(fault.delay_s)
            case "silence":
                self._silence_connections(fault, selected)
            case "replace" | "drain":
                self._drain_server(fault)
            case _:
                self._inject_link_fault(fault, selected)

    def _mark_down(self, number: int) -> None:
        self.trace.record(self.loop.elapsed_s, EventKind.DOWN, number)
        self.callers.on_died(number)

    def _resume(self, number: int) -> None:
        self.switches[number].send_signal(signal.SIGCONT)
        self.trace.record(self.loop.elapsed_s, EventKind.UP, number)

    def _inject_link_fault(self, fault: Fault, selected: list[int]) -> None:
        """A fault of the links of these softswitches to one setup server, or to all and to the bulletin."""
        condition = LINK_CONDITIONS.get(fault.kind) or LinkCondition(LinkMode.DELAY, fault.delay_s)
        servers = [self.servers[fault.server]] if fault.server >= 0 else self.servers
        peers = [server.name for server in servers] + (["bulletin"] if fault.server < 0 else [])
        links = {(number, peer) for number in selected for peer in peers}
        for number in selected:
            self.trace.record(
                self.loop.elapsed_s, EventKind.LINK_FAULT, number, detail="servers", value=fault.for_s + 1
            )
        for server in servers:
            for link in server.links:
                if link.softswitch in selected and condition.mode in (LinkMode.DROP, LinkMode.DROP_INBOUND):
                    self._record_cut_attempts(server, link)
        self.network.set_condition(links, condition)
        self.loop.call_later(fault.for_s, partial(self.network.set_condition, links, NO_FAULT))

    def _silence_connections(self, fault: Fault, selected: list[int]) -> None:
        """The present connections of these softswitches to one server, or to all, die without a sign."""
        servers = [self.servers[fault.server]] if fault.server >= 0 else self.servers
        for server in servers:
            for link in server.links:
                if link.softswitch in selected:
                    link.connection.silence()
                    self._record_cut_attempts(server, link)

    def _record_cut_attempts(self, server: SetUpServer, link: Link) -> None:
        """The server will not receive a release of these attempts, so they count as ended here."""
        for call in link.open_attempts:
            self.trace.record(
                self.loop.elapsed_s, EventKind.ATTEMPT_ENDED, link.softswitch, call, server.name, "cut"
            )

    def _drain_server(self, fault: Fault) -> None:
        """A server drains and is gone after the fault's duration; `replace` starts a cold one in its place at
        once."""
        old = self.servers[fault.server]
        old.health = HEALTH_STATES[1]
        old.drain()
        changed = [old]
        if fault.kind == "replace":
            new = self._make_server(f"{old.name}+", old.number, self.loop.elapsed_s)
            self.servers[fault.server] = new
            changed.append(new)
        self.bulletin.publish(changed)
        self.loop.call_later(fault.for_s, partial(self._end_server, old))

    def _end_server(self, server: SetUpServer) -> None:
        server.health = HEALTH_STATES[2]
        self.bulletin.publish([server])
        server.end()
