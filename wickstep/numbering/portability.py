"""Portability look-ups: queries, the cache of results, and the circuit breaker.

This file owns every decision about look-ups: the cache and its lifetimes, which calls share a query, how many
queries are outstanding, how long a call waits, and the circuit breaker. It must never touch a socket or a
clock: times are passed in, in microseconds, and queries are returned as `QueryRequest`. It never decides
about a call: a call gets a `PortingResult`, or None, which means that the route's fallback applies.

A call's wait is bounded twice, by the settings and by a part of the time that the call has left until its
deadline, so that whatever the database does, enough time remains to set the call up. A query stays
outstanding until its own deadline, even when the calls that wait for it have gone, because its answer is
worth caching. A later answer is dropped: by then the query counts as failed, also for the circuit breaker.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from wickstep.numbering.analysis import PortingResult
from wickstep.numbering.table import PortabilitySettings

MS = 1000
MAX_REST_FACTOR = 16  # the breaker stays open for at most this many times `rest_ms`
MAX_CALLS_PER_QUERY = 1000  # that wait for one and the same query


@dataclass(slots=True, frozen=True)
class QueryRequest:
    """A query to be sent; its answer is of use until the deadline."""

    query_id: int
    number: str
    deadline: int


@dataclass(slots=True, frozen=True)
class LookUpResult:
    """The result for one call; None: the fallback applies."""

    call: Hashable
    result: PortingResult | None


@dataclass(slots=True)
class Query:
    """An outstanding query."""

    number: str
    deadline: int
    waiting_calls: dict[Hashable, int] = field(default_factory=dict)  # call -> end of its wait


class CircuitBreaker:
    """Closed while answers come, open after consecutive failures, then half-open: one trial at a time.

    Each trial that fails doubles the time until the next, up to `MAX_REST_FACTOR` times the first.
    """

    def __init__(self, settings: PortabilitySettings) -> None:
        self.settings = settings
        self.failures = 0
        self.open_until = 0
        self.rest_doublings = 0
        self.trial_query: int | None = None

    def allows_query(self, now: int) -> bool:
        if self.failures < self.settings.trips_after:
            return True
        return now >= self.open_until and self.trial_query is None

    def query_sent(self, query_id: int) -> None:
        if self.failures >= self.settings.trips_after:
            self.trial_query = query_id

    def query_answered(self, query_id: int) -> None:
        self.failures, self.rest_doublings = 0, 0
        self.trial_query = None

    def query_failed(self, query_id: int, now: int) -> None:
        self.failures += 1
        if self.trial_query == query_id:
            self.trial_query = None
        elif self.failures != self.settings.trips_after:
            return  # too few failures yet, or a query that was outstanding when the breaker opened
        rest = self.settings.rest_ms * MS * min(1 << self.rest_doublings, MAX_REST_FACTOR)
        self.rest_doublings = min(self.rest_doublings + 1, 16)
        self.open_until = now + rest


class LookUps:
    """All look-ups of one softswitch."""

    def __init__(self, settings: PortabilitySettings) -> None:
        self.settings = settings
        self.breaker = CircuitBreaker(settings)
        self.queries: OrderedDict[int, Query] = OrderedDict()  # by id, the oldest first
        self.by_number: dict[str, int] = {}
        self.by_call: dict[Hashable, int] = {}
        self.cache: OrderedDict[str, tuple[int, PortingResult]] = OrderedDict()  # expiry time and result
        self.last_id = 0
        self.counters: dict[str, int] = {}

    def change_settings(self, settings: PortabilitySettings) -> None:
        """Take a new table's settings; the cache, outstanding queries and the breaker's state are kept."""
        self.settings = self.breaker.settings = settings
        self._trim_cache()

    def look_up(
        self, call: Hashable, number: str, now: int, deadline: int
    ) -> list[QueryRequest | LookUpResult]:
        """Look up a number for a call: the result is returned at once, or later, by the end of its wait."""
        cached_result = self._get_cached(number, now)
        if cached_result is not None:
            return self._finish_now("cached", call, cached_result)
        wait = min(self.settings.budget_ms * MS, int((deadline - now) * self.settings.budget_part))
        if wait <= 0:
            return self._finish_now("without_time", call, None)
        query_id = self.by_number.get(number)
        if query_id is not None:
            query = self.queries[query_id]
            if len(query.waiting_calls) >= MAX_CALLS_PER_QUERY:
                return self._finish_now("crowded", call, None)
            self._count("joined")
            query.waiting_calls[call] = min(now + wait, query.deadline)
            self.by_call[call] = query_id
            return []
        if len(self.queries) >= self.settings.outstanding:
            return self._finish_now("over_the_limit", call, None)
        if not self.breaker.allows_query(now):
            return self._finish_now("broken", call, None)
        self.last_id += 1
        query_id, query_deadline = self.last_id, now + self.settings.budget_ms * MS
        self.queries[query_id] = Query(number, query_deadline, {call: now + wait})
        self.by_number[number] = query_id
        self.by_call[call] = query_id
        self.breaker.query_sent(query_id)
        self._count("asked")
        return [QueryRequest(query_id, number, query_deadline)]

    def cancel(self, call: Hashable) -> None:
        """The call has ended, or its caller has left: it gets no result any more."""
        query_id = self.by_call.pop(call, None)
        if query_id is not None:
            self.queries[query_id].waiting_calls.pop(call, None)

    def handle_answer(self, query_id: int, result: PortingResult, now: int) -> list[LookUpResult]:
        """Cache an answer and return it for the waiting calls; one to no outstanding query is dropped."""
        query = self._remove(query_id)
        if query is None:
            self._count("late")
            return []
        self.breaker.query_answered(query_id)
        self._count("ported" if result.routing_number else "not_ported")
        lifetime_ms = self.settings.keep_ms if result.routing_number else self.settings.keep_negative_ms
        if lifetime_ms:
            self.cache[query.number] = (now + lifetime_ms * MS, result)
            self.cache.move_to_end(query.number)
            self._trim_cache()
        return [LookUpResult(call, result) for call in query.waiting_calls]

    def handle_failure(self, query_id: int, now: int) -> list[LookUpResult]:
        """The query could not be sent, had no answer in time, or had an invalid one."""
        query = self._remove(query_id)
        if query is None:
            return []
        self.breaker.query_failed(query_id, now)
        self._count("failed")
        return [LookUpResult(call, None) for call in query.waiting_calls]

    def expire(self, now: int) -> list[LookUpResult]:
        """End the queries whose deadline has passed, and the waits of calls that may wait no longer."""
        results: list[LookUpResult] = []
        for query_id, query in list(self.queries.items()):
            if query.deadline <= now:
                self._count("timed_out")
                results += self.handle_failure(query_id, now)
                continue
            for call in [call for call, wait_end in query.waiting_calls.items() if wait_end <= now]:
                del query.waiting_calls[call]
                del self.by_call[call]
                self._count("out_of_time")
                results.append(LookUpResult(call, None))
        return results

    def _get_cached(self, number: str, now: int) -> PortingResult | None:
        expires_at, result = self.cache.get(number, (0, None))
        if result is None:
            return None
        if expires_at <= now:
            del self.cache[number]
            return None
        self.cache.move_to_end(number)
        return result

    def _trim_cache(self) -> None:
        while len(self.cache) > self.settings.cached:
            self.cache.popitem(last=False)

    def _remove(self, query_id: int) -> Query | None:
        query = self.queries.pop(query_id, None)
        if query is not None:
            del self.by_number[query.number]
            for call in query.waiting_calls:
                del self.by_call[call]
        return query

    def _finish_now(
        self, counter: str, call: Hashable, result: PortingResult | None
    ) -> list[QueryRequest | LookUpResult]:
        self._count(counter)
        return [LookUpResult(call, result)]

    def _count(self, counter: str) -> None:
        self.counters[counter] = self.counters.get(counter, 0) + 1
