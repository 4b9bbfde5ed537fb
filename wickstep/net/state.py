"""State that the stages of a call share: servers, attempts, calls, the clock and the timers.

This file owns those records and no decision about them. Only the loop's thread may change them.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from queue import SimpleQueue

from wickstep.interface import ServerState
from wickstep.net import Release, SetUp, links
from wickstep.net.call_ids import CallIdCache
from wickstep.net.config import Config
from wickstep.net.links import Link
from wickstep.net.server_releases import ServerReleases
from wickstep.net.units import MS, NS_PER_US
from wickstep.operation.handover import InheritedCalls
from wickstep.operation.metrics import ResultCounts
from wickstep.operation.mode import Mode
from wickstep.recovery.recorder import CallRecorder

log = logging.getLogger("wickstep.net.softswitch")  # of all stages: `wickstep spread` reads its lines

# Of the ids of past calls that are remembered, for each kind of them that is remembered beside these.
PAST_IDS_DIVISOR = 4
MIN_REDIAL_DELAY = 250 * MS  # between two connects to one server; doubled by each that fails


@dataclass(slots=True, eq=False)
class Server:
    """A setup server, identified by its host name: its address may later belong to another."""

    host: str
    address: str
    number: int
    state: ServerState
    started_at: int  # start of its process; 0: long ago or unknown
    link: Link | None = None
    linked_at: int = 0  # when that connection was opened
    # How soon the first message about a set-up is due, where the protocol has such a limit.
    reply_timeout: int = 0
    pending_timeout: int = 0  # how much later it is due after a message that the server is at work
    smoothed_delay: int = 0  # EWMA of the time a set-up takes there
    dialing: bool = False
    link_lost: bool = False  # the last connection broke, and none has been opened since
    refusals: int = 0  # connects refused since the last connection broke
    redial_after: int = MIN_REDIAL_DELAY
    redial_pending: bool = False
    additional_dial_after: int = 0  # no second connection is tried before this time
    # Silent connections that still have set-ups in flight.
    replaced_links: list[Link] = field(default_factory=list)
    lingering_links: list[Link] = field(default_factory=list)  # closed for writing and still read
    waiting: list[Attempt] = field(default_factory=list)  # attempts waiting for a connection
    # Attempts waiting until the server has received the release of an earlier one of their call.
    held: list[Attempt] = field(default_factory=list)
    # Attempts elsewhere, waiting until this server has received the release of an earlier one of their call.
    awaiting_release: list[Attempt] = field(default_factory=list)
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by the call's id: in flight or standing
    releases: ServerReleases = field(default_factory=ServerReleases)  # that it may not have received
    dials_for_audit: bool = False  # the connection that is being dialled only tells which calls have ended
    audit_links: list[Link] = field(default_factory=list)  # such connections, until their end
    # When the latest of the connections was opened on which this server has spoken. It accepts them in their
    # order, so that it has accepted all that were opened before.
    spoken_link_opened_at: int = 0

    def all_links(self) -> list[Link]:
        """Connections to it, those included that are only read."""
        current = [self.link] if self.link is not None else []
        return [*current, *self.other_links()]

    def other_links(self) -> list[Link]:
        """Connections besides the present one."""
        return [*self.replaced_links, *self.lingering_links, *self.audit_links]

    def forget_other_link(self, link: Link) -> None:
        """Remove a connection that is not the present one."""
        for links_of_a_kind in (self.replaced_links, self.lingering_links, self.audit_links):
            if link in links_of_a_kind:
                links_of_a_kind.remove(link)

    def has_spoken_since(self, link: Link) -> bool:
        """Whether the server has spoken on a connection that was opened later than this one."""
        return self.spoken_link_opened_at > link.opened_at

    def release_call(self, release: Release, now: int, set_up_link: Link | None = None) -> None:
        """Send a caller's release of a call that may stand here, now or once a connection is there.

        `set_up_link` is the connection of the call's set-up, if it is known: it may outlive its successor.
        """
        self.releases.send(release, [link for link in (self.link, set_up_link) if link is not None], now)


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    index: int
    server: Server
    sent_at: int
    expires_at: int  # the attempt ends then, whatever the server says about it
    timeout_at: int  # earlier end, where the server owes a message sooner
    link: Link | None = None  # None while it waits for a connection, or for the release of an earlier attempt
    stands: bool = False
    sent_to: str = ""  # the server's name when it was sent, by which the controller knows it
    awaits: Server | None = None  # the server that has yet to receive the release of an earlier attempt


@dataclass(slots=True, eq=False)
class Call:
    """A call, from its set-up to its end."""

    controller_id: int  # its id towards the controller
    call_id: int  # its id in messages
    set_up: SetUp
    klass: int
    caller: Link
    deadline: int
    tenant: int = -1  # index in the settings; -1: none
    attempt_count: int = 0
    attempt: Attempt | None = None  # the one that is in flight or stands
    # A server where an earlier attempt may stand: its connection broke, and an answer may be lost with it.
    may_stand_at: Server | None = None
    may_stand_until: int = 0  # when that no longer keeps another attempt from being sent
    table: object = None  # of number analysis, as it was when the call was taken in


class SharedState:
    """State that the stages share: the clock, the timers, the tables and the counters."""

    def __init__(self, config: Config, now: int) -> None:
        self.config = config
        self.now = self.started_at = now
        # Read once: if it changed, a server's start time would seem to move, which is taken for a restart.
        self.unix_offset = time.time_ns() // NS_PER_US - now
        self.inbox: links.Inbox = SimpleQueue()
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.timer_order = itertools.count()
        self.servers: dict[str, Server] = {}
        self.open_calls: dict[int, Call] = {}  # by the id in messages; no final answer yet
        self.calls_by_id: dict[int, Call] = {}  # the same calls by the controller's id
        self.standing: dict[int, Attempt] = {}  # calls that stand, by the id in messages
        self.held_bytes = 0  # total size of the descriptions of open calls
        # The silence of a server's connection is compared with the shortest time in which a call is wanted.
        self.min_aim = min(item.aim for item in config.settings.classes) // NS_PER_US
        self.caller_limit = config.max_callers
        self.caller_links: dict[Link, None] = {}  # accepted connections, oldest first
        # Connections on which a message about a call has come; a load balancer's health checks do not count.
        self.calling_links: dict[Link, None] = {}
        self.counters: Counter[str] = Counter()
        self.list_known = False
        self.mode = Mode()
        self.stop_began_at = 0  # when the process began to stop or to hand over
        self.result_counts = ResultCounts(tuple(config.classes))
        self.inherited_calls = InheritedCalls()
        # Servers that may take a connection for open which has ended here, by host.
        self.hosts_with_lost_links: set[str] = set()
        # Ids of calls that may have run at a server and whose class forbids a second run.
        self.unrepeatable_ids = CallIdCache(config.max_past_ids // PAST_IDS_DIVISOR)
        self.recorder = CallRecorder()  # records each call in the journal, if one is kept

    def born_ms(self, server: Server) -> int:
        """Start of a server in Unix milliseconds, as in the pool list; 0: long ago or unknown."""
        return (server.started_at + self.unix_offset) // MS if server.started_at else 0

    def schedule(self, due: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (due, next(self.timer_order), callback))
