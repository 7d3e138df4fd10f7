"""Router: turns events into actions. It does no I/O and reads no clock; the driver passes the time (ns).

Each policy is in a module of its own. This module wires them together and plans single attempts.
"""

from collections.abc import Sequence

from sprucegate.routing.actions import AwaitSlot, PostponeAttempt, SendAttempt, SubscribeToEndpoints
from sprucegate.routing.attempt_results import ResultRecorder
from sprucegate.routing.cache_selection import CacheSelector
from sprucegate.routing.digest import OBJECTS_MAX, Digest, ObjectRecord
from sprucegate.routing.events import AttemptOutcome, BeliefGossip, EjectionGossip, Endpoint, Request
from sprucegate.routing.fill_source import Fill, FillSourceSelector
from sprucegate.routing.gossip import Gossip
from sprucegate.routing.hashing import HashRandom
from sprucegate.routing.inbound_link import TRIAL_SHARE, InboundLink
from sprucegate.routing.invalidation import InvalidationLog
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.load_shedding import DeadlineQueue
from sprucegate.routing.outlier_detection import OutlierDetector
from sprucegate.routing.request import Action, Attempt, RequestState
from sprucegate.routing.response_cache import ResponseCachePolicy
from sprucegate.routing.retry import RetryPolicy
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.routing.settings import RoutingSettings
from sprucegate.routing.slow_start import SlowStart
from sprucegate.units import MILLISECOND, SECOND

# The first two are used by the line transport (`upstream/lines/transport.py`).
CONNECTIONS_PER_CACHE = 4  # each one is read separately, which costs CPU under a high request rate
STALL_TIMEOUT_NS = 150 * MILLISECOND  # a response without data for so long is taken to be stalled for good
ENDPOINT_RETRY_NS = SECOND  # gives an overloaded discovery service time to recover
TIMEOUT_MIN_NS = MILLISECOND
# Ranks that attempts are sent with; that of writes is given to all requests that run at the origin.
RANK_OF_WRITES, RANK_OF_FIRST_REQUESTS, RANK_OF_REPEATED_REQUESTS = range(3)


class Router:
    """The routing decisions of one router process.

    :ivar age_units: unit in which servers are told the oldest acceptable age (ns), by id; others are told it
        as exactly as the platform's times are.
    :ivar slot_limited_sources: ids of fill sources whose concurrency slots another module grants.
    :ivar pending_actions: actions that the next `on_timer` returns.
    """

    def __init__(
        self, settings: RoutingSettings, seed: int, now: int, objects_max: int = OBJECTS_MAX
    ) -> None:
        self.settings = settings
        self.random = HashRandom(settings.my_number, seed)
        self.registry = ServerRegistry(settings)
        self.invalidations = InvalidationLog(settings)
        self.digest = Digest(self.registry, self.invalidations, objects_max)
        self.load = LoadEstimator(settings, self.digest, now)
        self.outliers = OutlierDetector(self.registry)
        self.slow_start = SlowStart(settings, self.registry, self.load, self.random)
        self.cache_selector = CacheSelector(self.registry, self.load, self.slow_start, self.outliers)
        self.source_selector = FillSourceSelector(
            settings, self.registry, self.digest, self.slow_start, self.random
        )
        self.inbound_link = InboundLink(settings, self.load, self.outliers, self.random)
        self.retry_policy = RetryPolicy(settings)
        self.response_cache = ResponseCachePolicy(settings, self.digest, self.invalidations, self.load)
        self.results = ResultRecorder(
            settings, self.registry, self.digest, self.load, self.slow_start, self.outliers, self.inbound_link
        )
        self.gossip = Gossip(self.registry, self.digest, self.outliers)
        self.deadlines = DeadlineQueue()
        self.postponed = DeadlineQueue()
        self.age_units: dict[int, int] = {}
        self.slot_limited_sources: Sequence[int] | dict[int, int] = ()
        self.pending_actions = [SubscribeToEndpoints()] if settings.discovery == "ask" else []

    # Requests.

    def start_request(self, request: Request, now: int) -> RequestState:
        """Register a new request; call `route` of the returned state to get its first actions."""
        self.load.now = now
        record = self.digest.record_of(request, now)
        self.digest.count(record, request.repeat, now)
        if request.size:
            self.load.sending_times[request.delivery_service].append(self.load.sending_time(request))
        state = RequestState(self, request, now)
        self.deadlines.add(state.deadline, state)
        return state

    def latency_objective(self, request: Request) -> int:
        """Target latency of the request (ns)."""
        return self.load.latency_objective(request)

    def plan(self, state: RequestState, now: int) -> SendAttempt | AwaitSlot | PostponeAttempt | None:
        """The next attempt of a request, a wait for a slot or for a time, or None to give up."""
        if not self.retry_policy.may_attempt(state, now):
            return None
        request = state.request
        record = self.digest.record_of(request, now)
        runs_at_origin = self.settings.of_service("runs_at_origin", request.delivery_service, False)
        cache, in_time = self.cache_selector.select(state, record, now)
        sendable_at = now if cache is None else self.sendable_at(request, cache.id, now)
        if sendable_at > now:
            if sendable_at < min(state.objective_at, state.deadline) or not self.settings.direct:
                return self._postpone(state, sendable_at, now)
            cache = None
        only_if_cached = False
        source: Server | None
        if runs_at_origin:
            source = self._first_origin() or self.source_selector.parent_or_origin(state, now)[0]
            cache = source if self.settings.direct else cache
        elif cache is None:
            source = self._first_origin()
            cache = self._direct_target(state, now) if self.settings.direct else None
            # A response straight from the origin occupies the inbound link for as long as a fill does.
            if self.inbound_link.fill_would_be_late(request, state.objective_at, now):
                return self._postpone(state, sendable_at, now)
        elif not in_time and self.random.next_float(request.id) >= TRIAL_SHARE:
            return None  # it would take capacity from requests that can still be answered in time
        else:
            source, only_if_cached = self._select_source(state, record, cache, now)
        if cache is None:
            return self._postpone(state, sendable_at, now)
        if source is not None and self._needs_slot(
            state, record, cache, source, runs_at_origin or only_if_cached
        ):
            # Nothing is counted yet: once the slot is granted, the request may be routed differently.
            return AwaitSlot(source.id)
        return self._send(state, record, cache, source or cache, only_if_cached, now)

    def sendable_at(self, request: Request, server_id: int, now: int) -> int:
        """When a request may be sent to a server (ns): after `now` if its limit can't be told there yet."""
        age_unit = self.age_units.get(server_id, 0)
        if not age_unit or self.settings.of_service("runs_at_origin", request.delivery_service, False):
            return now
        index = self.registry.index_of.get(server_id)
        if request.write or index is None or self.registry.servers[index].role == "origin":
            return now  # no stored response answers it
        return self.invalidations.sendable_at(request, age_unit, now)

    def _postpone(self, state: RequestState, until: int, now: int) -> PostponeAttempt | None:
        """A wait until then, or None if it is over or would outlast the request."""
        if not now < until < state.deadline:
            return None
        self.postponed.add(until, state)
        return PostponeAttempt(until)

    def _direct_target(self, state: RequestState, now: int) -> Server | None:
        """The parent or origin that a request is sent to without a cache."""
        target = self.source_selector.parent_or_origin(state, now)[0]
        if target is not None and self.sendable_at(state.request, target.id, now) > now:
            return self._first_origin()
        return target

    def _first_origin(self) -> Server | None:
        return next(iter(self.registry.group("origin")), None)

    def _select_source(
        self, state: RequestState, record: ObjectRecord, cache: Server, now: int
    ) -> tuple[Server, bool]:
        """The fill source, and whether the attempt may only return a cached copy."""
        sibling, recheck = self.source_selector.sibling(state, record, cache, now)
        if sibling is not None:
            return sibling, recheck
        source, may_fetch = self.source_selector.parent_or_origin(state, now)
        if source is None or (
            cache.index not in record.beliefs
            and self.inbound_link.fill_would_be_late(state.request, state.objective_at, now)
        ):
            source = cache
            may_fetch = False
        # Without permission to fetch it is still sent: a lookup at cache and parent is cheap and may hit.
        state.no_retry = not may_fetch
        return source, not may_fetch

    def _needs_slot(
        self, state: RequestState, record: ObjectRecord, cache: Server, source: Server, no_fill: bool
    ) -> bool:
        return (
            source.role != "cache"
            and cache.index not in record.beliefs
            and source.id in self.slot_limited_sources
            and not no_fill
            and state.slot_source != source.id
        )

    def _send(  # noqa: PLR0913 - all parts of one decision
        self,
        state: RequestState,
        record: ObjectRecord,
        cache: Server,
        source: Server,
        only_if_cached: bool,
        now: int,
    ) -> SendAttempt:
        """Account for the attempt and build the action that sends it."""
        request = state.request
        service = request.delivery_service
        number = len(state.attempts)
        self.slow_start.spend(cache, service)
        if source is not cache:
            self.slow_start.spend(source, service)
        cache.in_flight += 1
        believed = cache.index in record.beliefs
        attempt = Attempt(cache, source, cache.in_flight - cache.fills_in_flight, believed)
        if source.role != "cache" and cache is not source and not believed:
            self._count_fill(attempt, request, only_if_cached, now)
        self.retry_policy.record_attempt(state)
        state.attempts.append(attempt)
        if self.settings.of_service("runs_at_origin", service, False):
            rank = RANK_OF_WRITES
        else:
            rank = RANK_OF_FIRST_REQUESTS if sum(record.counts) <= 1 else RANK_OF_REPEATED_REQUESTS
        return SendAttempt(
            number,
            cache.id,
            source.id,
            rank=rank,
            max_age=self.invalidations.max_age(
                request, number > 0 or state.no_retry, now, self.age_units.get(cache.id, 0)
            ),
            timeout=max(TIMEOUT_MIN_NS, state.deadline - now),
            collapse=bool(self.settings.joins),
            only_if_cached=only_if_cached,
            bypass_parent=False,
            revalidate=bool(self.settings.of_service("fresh_time", service, 0)) and not state.no_retry,
        )

    def stored_response_only(self, request: Request, action: SendAttempt) -> bool:
        """Whether the server of an attempt may answer it from its stored responses alone.

        Only where a cache or parent is named as its own fill source, which forbids a fill, and only for a
        request that a stored response can answer. The origin holds no copies. A write, and whatever runs at
        the origin, is executed by the server itself: a cache writes unsafe methods through (RFC 9111, 4), so
        that no answer to them is a miss.
        """
        if action.fill_source != action.cache or request.write:
            return False
        if self.settings.of_service("runs_at_origin", request.delivery_service, False):
            return False
        index = self.registry.index_of.get(action.cache)
        return index is not None and self.registry.servers[index].role != "origin"

    def _count_fill(self, attempt: Attempt, request: Request, only_if_cached: bool, now: int) -> None:
        self.inbound_link.fills_in_flight += 1
        attempt.concurrent_fills = self.inbound_link.fills_in_flight
        attempt.cache.fills_in_flight += 1
        attempt.fill = Fill(attempt.source, now, now + self.latency_objective(request))
        if not only_if_cached:
            self.source_selector.fills.append(attempt.fill)

    # Timers.

    def next_deadline(self) -> int | None:
        """When to call `on_timer` next (ns): 0 for at once, None if no timer is set."""
        if self.pending_actions:
            return 0
        dues = [due for due in (self.deadlines.next(), self.postponed.next()) if due is not None]
        return min(dues) if dues else None

    def on_timer(self, now: int) -> list[tuple[RequestState | None, list[Action | SubscribeToEndpoints]]]:
        """Actions that are due, as lists with the request that they belong to, or None for no request."""
        decided: list[tuple[RequestState | None, list[Action | SubscribeToEndpoints]]]
        decided = [(None, [*self.pending_actions])]
        self.pending_actions = []
        for state in self.deadlines.pop_expired(now):
            decided.append((state, [*state.give_up(now)] if state else [SubscribeToEndpoints()]))
        for state in self.postponed.pop_expired(now):
            if state:
                decided.append((state, [*state.route(now)]))
        return decided

    # Endpoints.

    @property
    def platform_clock_offset(self) -> int:
        """Lower bound of how far the platform's clock is ahead of the router's (ns)."""
        return self.registry.platform_clock_offset

    @platform_clock_offset.setter
    def platform_clock_offset(self, offset: int) -> None:
        self.registry.platform_clock_offset = offset

    def update_endpoints(self, entries: Sequence[Endpoint], complete: bool, now: int) -> None:
        """Apply the endpoint list or, if not `complete`, changed entries of it."""
        for server in self.registry.update(entries, complete, now):
            self.outliers.remove(server)

    def endpoint_list_failed(self, now: int) -> None:
        """Handle a failed request for the endpoint list."""
        if self.settings.discovery == "ask":
            self.deadlines.add(now + ENDPOINT_RETRY_NS, None)

    def endpoints_to_connect(self, limit: int) -> list[int]:
        """Ids of at most `limit` servers to connect to at startup."""
        return self.registry.endpoints_to_connect(limit)

    def group(self, role: str) -> list[Server]:
        """Servers of a role that may receive requests or fills."""
        return self.registry.group(role)

    def age(self, server: Server, now: int) -> int:
        """Lower bound of the time since the server started (ns)."""
        return self.registry.age(server, now)

    def receive_load_report(
        self, cache: int, outcome: AttemptOutcome, elapsed: int, load: dict[str, float], now: int
    ) -> None:
        """Ignored: no health checks are sent, so no report is expected."""

    # Invalidation and the response cache.

    def invalidate(self, identifier: int, group: int, age: int, now: int) -> None:
        """Record a purge of an object, or of a group if `identifier` is negative, issued `age` ns ago."""
        self.invalidations.invalidate(identifier, group, age, now)

    def on_purges_received(self, until: int) -> None:
        """Record that all purges issued up to `until` (ns) have been received; without a call, all are."""
        self.invalidations.received_until = until

    def purge_lag(self, now: int) -> int:
        """Time since which purges may have been issued that have not been received (ns)."""
        until = self.invalidations.received_until
        return 0 if until is None else now - until

    def on_purges_skipped(self, now: int) -> None:
        """Record that purges issued up to `now` may have been skipped, as they could not be read."""
        self.invalidations.skip(now)

    def may_serve_stored_response(
        self, request: Request, generated_at: int, requested_at: int, link_queue: int, now: int
    ) -> bool:
        """Whether the request may be answered from a response that this process stored.

        :param generated_at: when the response was generated (ns).
        :param requested_at: when it was requested from its server (ns).
        :param link_queue: queueing delay on this process's outgoing link (ns).
        """
        return self.response_cache.may_serve(request, generated_at, requested_at, link_queue, now)

    def should_store_response(self, request: Request, generated_at: int, requested_at: int, now: int) -> bool:
        """Whether to store a response, by when it was generated and when it was requested (ns)."""
        return self.response_cache.should_store(request, generated_at, requested_at, now)

    # Other routers.

    def gossip_to_send(self, limit: int, now: int) -> list[EjectionGossip | BeliefGossip]:
        """At most `limit` gossip entries to send to other routers."""
        return self.gossip.to_send(limit, now)

    def receive_gossip(self, entries: Sequence[EjectionGossip | BeliefGossip], age: int, now: int) -> None:
        """Apply gossip that another router sent `age` ns ago."""
        self.gossip.receive(entries, age, now)

    def receive_peer_message(self, peer: int, payload: bytes, now: int) -> None:
        """Ignored: routers exchange no messages over the simulator's protocol."""
