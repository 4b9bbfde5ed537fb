"""What audits of calls cost: connections at a server, descriptors of a softswitch, processor time of each.

    python -m benchmarks.audits              # prints a table; takes half a minute, loopback only

The schedule runs on a virtual clock with its real draws. The cost of a connection is measured with both ends
in this process, so it is an upper bound for either. There is no pass or fail here.
"""

from __future__ import annotations

import heapq
import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass
from queue import SimpleQueue

import click

from wickstep.net import GroupState, Reason, Release, codec, links
from wickstep.net.audit_schedule import AuditSchedule
from wickstep.net.call_audit import AUDIT_LINK_TIME, DESCRIPTOR_DIVISOR
from wickstep.net.units import MS, SECOND

DURATION = 60 * SECOND
STEADY_FROM = 10 * SECOND  # the first connections, which come together, are told apart
WINDOW = 100 * MS
ROUND_TRIP = 20 * MS  # between the end of one side and that of the other
REPORT = {"free": 900.0, "size": 1000.0, "hold_back": 0.0, "avg_ms": 1.0}


@dataclass(slots=True)
class SoftswitchResult:
    dials: list[tuple[int, int]]  # time, number of the server
    max_open: int
    max_gap: int  # between two connections to one server


def audit_servers(servers: int, sockets: int, seed: int, once: bool = False) -> SoftswitchResult:
    """One softswitch that has lost its connections to all these servers, with a call on each.

    With `once` the servers know of the end, since the connections were reset: one connection each is enough.
    """
    schedule = AuditSchedule(random.Random(seed), sockets // DESCRIPTOR_DIVISOR)
    for server in range(servers):
        schedule.add(str(server), 0)
    open_until: list[int] = []
    last_opened = [0] * servers
    result = SoftswitchResult([], 0, 0)
    now = 0
    while now < DURATION:
        while open_until and open_until[0] <= now:
            heapq.heappop(open_until)
        for host in schedule.take_due(now, len(open_until)):
            heapq.heappush(open_until, now + AUDIT_LINK_TIME + ROUND_TRIP)
            if once:
                schedule.remove(host)
            else:
                schedule.told(host, now)
            server = int(host)
            result.dials.append((now, server))
            result.max_gap = max(result.max_gap, now - last_opened[server])
            last_opened[server] = now
        result.max_open = max(result.max_open, len(open_until))
        now += 10 * MS
    return result


def print_server_load(softswitches: int) -> None:
    """All softswitches have lost their connection to one server in the same instant."""
    per_window: Counter[int] = Counter()
    for seed in range(softswitches):
        per_window.update(at // WINDOW for at, _ in audit_servers(1, 1024, seed).dials)
    steady = [per_window[window] for window in range(STEADY_FROM // WINDOW, DURATION // WINDOW)]
    first = max(per_window[window] for window in range(STEADY_FROM // WINDOW))
    per_second = sum(steady) / len(steady) * SECOND / WINDOW
    click.echo(
        f"{softswitches:5} softswitches, one server: {per_second:5.1f} connections a second;"
        f" busiest 100 ms {first} in the first 10 s, {max(steady)} later"
    )


def print_softswitch_load(servers: int, sockets: int) -> None:
    result = audit_servers(servers, sockets, seed=1)
    per_second = len(result.dials) * SECOND / DURATION
    click.echo(
        f"{servers:5} servers, {sockets} descriptors, one softswitch: {per_second:5.1f} connections a second,"
        f" {result.max_open} open at once; longest time between two to one server"
        f" {result.max_gap / SECOND:.1f} s"
    )


def print_reset_load(servers: int, sockets: int) -> None:
    """Replaced connections to all these servers are reset in one instant, while calls stand on each."""
    result = audit_servers(servers, sockets, seed=1, once=True)
    per_window = Counter(at // WINDOW for at, _ in result.dials)
    click.echo(
        f"{servers:5} servers reset, {sockets} descriptors, one softswitch: {len(result.dials)} connections,"
        f" the last after {max(at for at, _ in result.dials) / SECOND:.1f} s; busiest 100 ms"
        f" {max(per_window.values())}, {result.max_open} open at once"
    )


def print_connection_cost(connections: int, releases: int) -> None:
    """Processor time of a connection that brings a report and so many releases."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=16)
    greeting = codec.encode(GroupState(0, REPORT)) + b"".join(
        codec.encode(Release(call, Reason.CLEARED)) for call in range(1, releases + 1)
    )

    def serve() -> None:
        for _ in range(connections):
            with listener.accept()[0] as sock:
                sock.sendall(greeting)
                while sock.recv(4096):
                    pass

    threading.Thread(target=serve, daemon=True).start()
    reader, inbox = links.Reader(), SimpleQueue[object]()
    reader.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    began = time.process_time()
    for _ in range(connections):
        links.dial(address, SECOND, inbox, None, reader)
        received = 0
        while True:
            match inbox.get():
                case links.Received(link=link):
                    link.mark_processed(0)
                    received += 1
                    if received == releases + 1:
                        link.finish(keep_reading=True)
                case links.Closed():
                    break
    cost_us = (time.process_time() - began) / connections * 1e6
    click.echo(f"a connection that brings a report and {releases} releases: {cost_us:.0f} us, both ends")


@click.command()
def main() -> None:
    for softswitches in (1, 24, 200, 2600):
        print_server_load(softswitches)
    for servers, sockets in ((24, 256), (24, 1024), (2600, 4096), (2600, 8192)):
        print_softswitch_load(servers, sockets)
    for servers, sockets in ((24, 256), (2600, 4096), (2600, 8192)):
        print_reset_load(servers, sockets)
    for releases in (0, 10):
        print_connection_cost(200, releases)


if __name__ == "__main__":
    main()
