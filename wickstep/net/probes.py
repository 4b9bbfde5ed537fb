"""Probes of setup servers: sent within this softswitch's part of the rate of all, answered or timed out.

This file owns the probes in flight and their rate. It must never choose which server is probed. Times are
microseconds.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping

from wickstep import interface as api
from wickstep.net import Test
from wickstep.net.links import Link
from wickstep.net.route import RouteStage
from wickstep.net.state import Server, SharedState, log
from wickstep.net.units import MS, NS_PER_US, SECOND

PROBE_TIMEOUT = 250 * MS
PROBES_PER_SERVER = 3.0  # probes a second to one server, from all softswitches together
MAX_SAVED_PROBES = 3.0  # size of the token bucket for this softswitch's part of that rate


class Probes:
    """Sends probes on connections to servers, and tells the controller how each ended."""

    def __init__(self, shared: SharedState, route: RouteStage) -> None:
        self.shared, self.route = shared, route
        # By id: where, on which connection and when it was sent.
        self._pending: dict[int, tuple[Server, Link, int]] = {}
        self._tokens, self._refilled_at = MAX_SAVED_PROBES, shared.now
        self._ids = itertools.count(shared.config.seed & 0xFFFFFFFF0000 | 1 << 63)

    def send_requested(self, action: api.Probe) -> None:
        server = self.shared.servers.get(action.server)
        if server is None or server.link is None:
            return
        self.probe(server, server.link)

    def probe(self, server: Server, link: Link) -> None:
        """Probe a server, within this softswitch's part of the rate of probes to all servers.

        Each probe is work for a processor that is late already: 200 softswitches that probe again and again,
        each for one slow set-up, would take more of it than the calls do.
        """
        settings, now = self.route.controller.settings, self.shared.now
        rate = PROBES_PER_SERVER * max(len(self.shared.servers), 1) / settings.proxies
        self._tokens = min(MAX_SAVED_PROBES, self._tokens + rate * (now - self._refilled_at) / SECOND)
        self._refilled_at = now
        if self._tokens < 1:
            return
        probe_id = next(self._ids)
        if link.send(Test(probe_id, probe=True)):
            self._tokens -= 1
            link.probed_at = self.shared.now
            self.shared.counters["probes_sent"] += 1
            log.info("probing %s: nothing received for %d us", server.host, self.shared.now - link.heard_at)
            self._pending[probe_id] = (server, link, self.shared.now)
            self.shared.schedule(self.shared.now + PROBE_TIMEOUT, lambda: self._end(probe_id, None))

    def finish(self, probe_id: int, load_report: Mapping[str, float] | None) -> bool:
        """End a probe: answered or, without a report, rejected. False if it is unknown."""
        if probe_id not in self._pending:
            return False
        server, link, sent_at = self._pending[probe_id]
        server.releases.confirm_before(link, sent_at)
        if load_report is not None:
            link.answered_until = max(link.answered_until, sent_at)
        self._end(probe_id, load_report)
        return True

    def _end(self, probe_id: int, load_report: Mapping[str, float] | None) -> None:
        """Tell the controller how a probe ended: without a report it was rejected or has timed out."""
        if probe_id not in self._pending:
            return
        server, _, sent_at = self._pending.pop(probe_id)
        log.info("%s: probe %s after %d us", server.host,
                 "rejected or timed out" if load_report is None else "answered",
                 self.shared.now - sent_at)  # fmt: skip
        report = self.route.convert_report(load_report or {})
        delay = (self.shared.now - sent_at) * NS_PER_US
        self.route.handle_event(api.ProbeAnswered(server.host, load_report is not None, delay, report))
