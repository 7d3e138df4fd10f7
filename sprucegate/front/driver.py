"""The driver of the router: passes events to the Router and performs the actions that it returns."""

import asyncio
import traceback

from sprucegate import clock as system
from sprucegate.front.admission import LIVENESS_PATH, admit
from sprucegate.front.attempt_timeouts import AttemptTimeouts
from sprucegate.front.call_id_history import CallIdHistory
from sprucegate.front.counters import Counters
from sprucegate.front.invariants import Invariants
from sprucegate.front.open_requests import OpenAttempt
from sprucegate.front.protocol.http import RejectedRequest, etag_header
from sprucegate.front.response_cache import CachedResponse, ResponseCache
from sprucegate.front.response_writer import ResponseWriter
from sprucegate.routing.actions import (
    AwaitSlot,
    CancelAttempt,
    FailRequest,
    PostponeAttempt,
    RejectRequest,
    SendAttempt,
)
from sprucegate.routing.events import AttemptOutcome, CacheStatus, EndpointState
from sprucegate.routing.memory_budget import MemoryBudget, MemoryUse
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.upstream.buffered_bytes import BufferedBytes, Holder
from sprucegate.upstream.hosts import EndpointList
from sprucegate.upstream.sending import Sending
from sprucegate.upstream.servers import UpstreamServers
from sprucegate.upstream.sockets import InputState

MS = 1_000_000
TIMER_RETRY_NS = 50 * MS  # delay before the timer is tried again when its deadline could not be computed


class Driver:
    """Drives the router: passes on events, performs the actions that it returns, and keeps its timer.

    :ivar response_writer: writes the responses to clients
    :ivar counters: the counters
    :ivar ready: the front has started and takes requests
    :ivar drained: a permit of the rollout drains this front: the liveness check fails, requests are still served
    :ivar max_open_requests: requests above this number are shed
    :ivar open_requests: OpenRequest by the router's handle
    :ivar requests_by_id: OpenRequest by call id
    :ivar spent_ids: CallIdHistory of requests that are over
    :ivar attempt_timeouts: AttemptTimeouts of the open attempts
    :ivar timer_due: when the timer fires (monotonic ns), or None
    :ivar fill_quota: the quota of concurrent fills, or None: each fill starts at once
    :ivar response_cache: the front's own response cache
    :ivar memory: the MemoryBudget of this process
    :ivar is_under_memory_pressure: the process is near its memory limit
    :ivar buffers: BufferedBytes of clients and servers
    """

    def __init__(self, config, pool, log, clock=system.now, resident=0):
        """`resident`: memory that the process takes before it serves, in bytes."""
        self.config = config
        self.log = log
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.platform_time = system.PlatformTime()
        most_servers = config.descriptors // 3
        listed = sum(len(event.entries) for _, event in config.known if isinstance(event, EndpointList))
        use = MemoryUse(resident, config.descriptors // 2, most_servers, listed)
        self.memory = MemoryBudget(int(config.memory_mb * 2**20), use)
        self.is_under_memory_pressure = False
        self.buffers = BufferedBytes(self.memory.buffer_bytes)
        self.router = Router(
            RoutingSettings.from_mapping(config.settings), config.seed, clock(), self.memory.objects_max
        )
        self.response_writer = ResponseWriter(self)
        self.counters = Counters()
        self.ready = False
        self.drained = False
        self.invariants = Invariants(config.settings, self.counters.count, log)
        self.sending = Sending(self.counters.count, self.invariants.check_attempt, self._may_send)
        self.servers = UpstreamServers(self, pool, config.settings, most_servers, config.servers)
        self.router.age_units = self.servers.age_units
        self.max_open_requests = config.settings.get("max_open", 1 << 30)
        self.open_requests = {}
        self.requests_by_id = {}
        self.spent_ids = CallIdHistory()
        self.attempt_timeouts = AttemptTimeouts()
        self.timer = None
        self.timer_due = None
        self.membership = None
        self.fleet = None
        self.fill_quota = None
        self.response_cache = ResponseCache(self.memory.response_cache_bytes, config.link)

    # Events.

    def receive_request(self, client, http_request, at):
        """Handle a complete request; `at`: when its last byte arrived (monotonic ns)."""
        now = self.clock()
        if http_request.target == LIVENESS_PATH:
            up = self.ready and not self.drained and not self.response_writer.stopping
            self.response_writer.write(client, 200 if up else 503, b"\n")
            return
        try:
            request = admit(
                client,
                http_request,
                self.config.ds_names,
                self.config.settings,
                self.requests_by_id,
                now - at,
                self.spent_ids,
            )
        except Exception as fault:
            self.log_exception(fault)
            request = RejectedRequest(500, "this request could not be read")
        if isinstance(request, RejectedRequest):
            self.counters.count("bad_requests")
            self.response_writer.reject(client, request)
            return
        client.open_request = request
        self.requests_by_id[request.id] = request
        request.client_deadline = now + max(0, request.routing_request.ttl)
        request.trace.append((now, "read"))
        if self.fill_quota is not None:
            request.tenant = self.fill_quota.tenant_index(http_request.headers)
        size = self.memory.request_bytes(len(request.body))
        has_memory = self.memory.admits(self.buffers.committed(), size)
        self._count_buffered(request, size)
        if not has_memory or len(self.open_requests) >= self.max_open_requests:
            self.counters.count("shed_over_bound" if has_memory else "shed_for_memory")
            request.handle = self.router.start_request(request.routing_request, now)
            self.guarded(request, self.perform, request, request.handle.give_up(now), now)
            return
        self.guarded(request, self._begin_routing, request, now)

    def _begin_routing(self, request, now):
        if self._respond_from_cache(request, now):
            self.forget(request)
            return
        request.handle = self.router.start_request(request.routing_request, now)
        actions = request.handle.route(now)
        self.open_requests[request.handle] = request
        self.perform(request, actions, now)

    def _respond_from_cache(self, request, now):
        """Respond from the front's own cache if it has the object and the router allows it; return whether it did."""
        key = request.ds, request.object_key, request.part
        cached = self.response_cache.find(key)
        if (
            cached is None
            or request.routing_request.write
            or not self.router.may_serve_stored_response(
                request.routing_request,
                cached.generated_at,
                cached.requested_at,
                self.response_cache.link_wait(now),
                now,
            )
        ):
            return False
        not_modified = cached.etag and request.if_none_match == cached.etag
        self.response_cache.record_sent(
            key, len(cached.body) // 20 if not_modified else len(cached.body), now
        )
        self.response_writer.respond(
            request,
            304 if not_modified else 200,
            b"" if not_modified else cached.body,
            etag_header(cached.etag),
        )
        self.counters.count("gets_own")
        return True

    def on_attempt_ended(  # noqa: PLR0913 - called by position from every transport
        self, attempt, outcome, cache_status, fill_wait, load, at=None
    ):
        """Handle the end of an attempt, once.

        `at`: one time for all attempts that end together. With different times they would count as separate failures
        of the server.
        """
        if not attempt.ended:
            self.guarded(
                attempt.request, self._on_attempt_ended, attempt, outcome, cache_status, fill_wait, load, at
            )

    def _on_attempt_ended(  # noqa: PLR0913 - the arguments of on_attempt_ended
        self, attempt, outcome, cache_status, fill_wait, load, at
    ):
        now = at or self.clock()
        request = attempt.request
        attempt.ended = True
        attempt.outcome = outcome
        attempt.may_have_run = not outcome.never_executed
        request.trace.append((now, f"attempt {attempt.number} {outcome.name.lower()}"))
        self.counters.count(f"forwards_{outcome.name.lower()}")
        if self.fleet is not None:
            self.fleet.on_attempt_ended(
                attempt.cache, outcome, cache_status, now - attempt.decided_at, request.routing_request
            )
        finished = request.answered or request.client.open_request is not request
        actions = request.handle.attempt_ended(
            attempt.number, outcome, cache_status, now - attempt.decided_at, fill_wait, load, finished, now
        )
        if attempt.slot is not None:
            self.fill_quota.attempt_ended(attempt, outcome, cache_status, fill_wait, now)
        if actions:
            self.perform(request, actions, now)
        elif request.handle.is_settled():
            self.forget(request)

    def _count_buffered(self, request, size):
        former, request.buffered = request.buffered, size
        self.buffers.change(Holder.OPEN_REQUEST, former, size)

    def forget(self, request):
        """Drop the state of a request that is over."""
        self._count_buffered(request, 0)
        self.invariants.check_forgotten(request)
        if self.config.log_gets and request.id in self.requests_by_id:
            self._log_request(request)
        is_routed = self.requests_by_id.pop(request.id, None) is request and request.handle is not None
        if is_routed and self.router.retry_policy.is_id_spent(request.handle):
            self.spent_ids.add(request.id)
        if self.fill_quota is not None:
            self.fill_quota.request_ended(request)
        # Request and attempts refer to each other: the cycle would leave each request to the garbage collector.
        if self.open_requests.pop(request.handle, None) is not None:
            request.attempts.clear()

    def _describe_target(self, action):
        """Return the names of an attempt's server and of the source of its fill, for the log."""
        names = [
            server.name if server is not None else f"{at:x}"
            for at in (action.cache, action.fill_source)
            for server in [self.servers.by_id.get(at)]
        ]
        return (
            f"to {names[0]}"
            if action.fill_source == action.cache
            else f"to {names[0]}, filled from {names[1]}"
        )

    def _log_request(self, request):
        """Log one request from its first byte to its end: decisions and outcomes, each with its time (ms)."""
        began = request.trace[0][0] if request.trace else 0
        self.log(
            "get",
            id=request.id.decode("latin-1"),
            ds=request.ds,
            object=request.object_key,
            part=request.part,
            story=[f"{(at - began) // MS} {event}" for at, event in request.trace],
        )

    def stored_response_only(self, attempt, action):
        """Return whether the server may answer an attempt from its stored responses alone."""
        return self.router.stored_response_only(attempt.request.routing_request, action)

    def on_response(self, attempt, response):
        """Pass the first response that a server returns on to the client unchanged."""
        if response.not_modified:
            self.response_writer.respond(attempt.request, 304, headers=etag_header(response.tag))
        else:
            self.response_writer.respond(attempt.request, 200, response.body, etag_header(response.tag))
            request, now = attempt.request, self.clock()
            generated_at = self._generated_at(attempt, response, now)
            if generated_at is not None and self.router.should_store_response(
                request.routing_request, generated_at, attempt.decided_at, now
            ):
                self.response_cache.put(
                    (request.ds, request.object_key, request.part),
                    CachedResponse(response.body, response.tag, generated_at, attempt.decided_at),
                )
        self.counters.count("gets_returned")

    def _generated_at(self, attempt, response, now):
        """Return the earliest time at which a response was generated, on this front's clock; None where unknown."""
        if response.age is not None:
            return attempt.decided_at - response.age
        self.platform_time.add_copy_timestamp(response.generated_at, attempt.cache, now)
        self.router.platform_clock_offset = self.platform_time.least_offset
        age = self.platform_time.copy_age(response.generated_at, now) if response.generated_at else None
        return None if age is None else now - age

    def client_left(self, request):
        """Handle a client that closed its connection or cancelled."""
        self.counters.count("gets_left")
        now = self.clock()
        request.answered = True
        request.client.open_request = None
        request.client_left_at = now
        request.trace.append((now, "client left"))
        if self.fill_quota is not None:
            self.fill_quota.request_ended(request)
        self.withdraw_unsent(request)
        self.perform(request, request.handle.client_disconnected(now), now)

    def withdraw_unsent(self, request, is_affected=lambda attempt: True):
        """Withdraw the affected attempts of which no byte was sent, and end them as not sent.

        Such an attempt waits for a connection to be established, or behind one whose peer reads nothing, for up to
        its request's remaining time.
        """
        for attempt in list(request.attempts.values()):
            if not attempt.ended and is_affected(attempt) and self.servers.withdraw(attempt):
                self._end_soon(attempt, AttemptOutcome.NOT_SENT)

    def withdraw_all_unsent(self, is_affected):
        """Withdraw the affected unsent attempts of all requests, so that they are routed again.

        They were decided before the discovery event just applied, and would be sent after it.
        """
        for request in list(self.open_requests.values()):
            self.withdraw_unsent(request, is_affected)

    def on_discovery_event(self, event):
        """Apply an endpoint list or an invalidation, from the event bus or from the start configuration."""
        now = self.clock()
        self.record_platform_stamps(event, now)
        if isinstance(event, EndpointList):
            if self.membership is not None:
                event = self.membership.merge_bus_list(event, now)
            if event is not None:
                self.apply(event)
            if self.fleet is not None:
                self.fleet.on_endpoints_changed()
        elif event is not None:
            if self.fleet is not None:
                self.fleet.on_invalidation(event.object, event.group, event.at)
            self.router.invalidate(event.object, event.group, self.platform_time.age(event.at, now), now)
            # The maximum age that an attempt accepts was computed before this invalidation.
            self.withdraw_all_unsent(
                lambda attempt: event.group == attempt.request.routing_request.group
                if event.object < 0
                else event.object == attempt.request.routing_request.object
            )
        self.arm(now)

    def record_platform_stamps(self, event, now):
        """Record the platform's time stamps in a discovery event: ages are computed relative to the newest one."""
        if isinstance(event, EndpointList):
            for entry in event.entries:
                self.platform_time.add_timestamp(entry.started, now)
        elif event is not None:
            self.platform_time.add_timestamp(event.at, now)
        self.router.platform_clock_offset = self.platform_time.least_offset

    def apply(self, hosts):
        """Apply an effective endpoint list: that of the bus alone, or the one merged from all sources."""
        self.servers.apply_endpoints(hosts)
        self.router.update_endpoints(hosts.entries, hosts.whole, self.clock())
        serving = {entry.id for entry in hosts.entries if entry.state is EndpointState.SERVING}
        named = hosts.names.keys()
        self.invariants.record_endpoint_list(serving, named, hosts.whole)
        self.withdraw_all_unsent(
            lambda attempt: any(
                at not in serving and (hosts.whole or at in named) for at in (attempt.cache, attempt.source)
            )
        )
        self.arm(self.clock())

    def stop(self):
        """At the end of the drain, give each open request its final response."""
        now = self.clock()
        for request in list(self.open_requests.values()):
            if not request.answered:
                self.guarded(request, self.perform, request, request.handle.give_up(now), now)

    def on_events_received(self, until):
        """Tell the router that the event bus has delivered all events issued up to `until` (monotonic ns)."""
        self.router.on_purges_received(until)

    def on_event_skipped(self):
        """Tell the router that an event of the bus, perhaps a purge, could not be applied."""
        self.router.on_purges_skipped(self.clock())

    def on_discovery_lost(self):
        """Tell the router that the endpoint list could not be read."""
        self.router.endpoint_list_failed(self.clock())

    # Actions.

    def perform(self, request, actions, now):
        """Perform the router's actions for one request, in order."""
        for action in actions:
            match action:
                case SendAttempt():
                    self._send_attempt(request, action, now)
                case AwaitSlot():
                    self.fill_quota.request_slot(request, action.fill_source, now)
                case PostponeAttempt():
                    self.counters.count("gets_postponed")
                    self.bring_timer_forward(action.until)
                case RejectRequest():
                    self._reject(request, action)
                case FailRequest():
                    self.counters.count("gets_errored")
                    self.withdraw_unsent(request)
                    self.response_writer.respond(request, 502)
                case CancelAttempt():
                    attempt = request.attempts[action.number]
                    self.servers.cancel(attempt)
                    self._end_soon(attempt, AttemptOutcome.CANCELLED)
        if request.handle.is_settled():
            self.forget(request)

    def _send_attempt(self, request, action, now):
        attempt = request.attempts[action.number] = OpenAttempt(
            request, action.number, action.cache, action.fill_source, now, now + action.timeout
        )
        if self.config.log_gets:
            request.trace.append((now, f"attempt {action.number} {self._describe_target(action)}"))
        if (found := request.client.look_for_close()) is not InputState.EMPTY:
            self._end_for_client(request, attempt, found, now)
            return
        previous = request.attempts.get(action.number - 1)
        if previous is not None and previous.outcome is not None:
            self.counters.count(f"retries_after_{previous.outcome.name.lower()}")
        if self.fill_quota is not None:
            self.fill_quota.attempt_sent(request, attempt, action, now)
        self.servers.forward(attempt, action)
        self.attempt_timeouts.add(attempt)
        self.bring_timer_forward(attempt.deadline)

    def _may_send(self, attempt, now):
        return self.router.sendable_at(attempt.request.routing_request, attempt.cache, now) <= now

    def _reject(self, request, action):
        self.counters.count("gets_shed")
        self.counters.count("gets_shed_after_attempts" if request.attempts else "gets_shed_unsent")
        self.withdraw_unsent(request)
        headers = b"X-Come-Back-Ms: %d\r\n" % (action.retry_after // MS) if action.retry_after else b""
        self.response_writer.respond(request, 503, headers=headers)

    def _end_soon(self, attempt, outcome):
        """Report the end of an attempt of which no answer is known, from a later turn of the event loop."""
        self.loop.call_soon(self.on_attempt_ended, attempt, outcome, CacheStatus.UNKNOWN, 0, {})

    def _end_for_client(self, request, attempt, found, now):
        """End a request before its next attempt is sent, as its client has left or may have left.

        The event loop reports a close only after what it still handles in this iteration, and after the bytes before
        it. A client that sends on and on, without waiting for its response, gets the final answer.
        """
        self._end_soon(attempt, AttemptOutcome.NOT_SENT)
        if found is InputState.ENDED:
            self.client_left(request)
        else:
            self.counters.count("gets_ended_unread_input")
            self.perform(request, request.handle.give_up(now), now)

    def bring_timer_forward(self, due):
        """Bring the timer forward if `due` is earlier."""
        if self.timer_due is None or due < self.timer_due:
            self.arm(self.clock())

    def arm(self, now):
        """Set the one timer to the earliest deadline of the router, the attempts and the transports."""
        deadlines = (
            self.router.next_deadline(),
            self.attempt_timeouts.next_deadline(),
            self.servers.next_due(),
        )
        due = min([deadline for deadline in deadlines if deadline is not None], default=None)
        if due is None or self.timer_due is not None and self.timer_due <= due:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due = due
        self.timer = self.loop.call_later(max(0, due - now) / 1e9, self._on_timer)

    def _on_timer(self):
        now = self.clock()
        self.timer_due = None
        self.timer = None
        # Each step is guarded by itself: this timer serves all deadlines and must be armed again whatever fails.
        for step in (self.servers.due, self._expire_attempts, self._run_router_timers, self.arm):
            try:
                step(now)
            except Exception as fault:
                self.log_exception(fault)
        if self.timer is None and self.open_requests:
            self.timer_due = now + TIMER_RETRY_NS
            self.timer = self.loop.call_later(TIMER_RETRY_NS / 1e9, self._on_timer)

    def _expire_attempts(self, now):
        # Before the router's own timers, so that it learns that an attempt timed out, not that it was cancelled.
        for attempt in self.attempt_timeouts.pop_expired(now):
            self.guarded(attempt.request, self._time_out, attempt)

    def _time_out(self, attempt):
        never_executed = self.servers.cancel(attempt, timed_out=True)
        self.on_attempt_ended(attempt, never_executed or AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, 0, {})

    def _run_router_timers(self, now):
        for handle, actions in self.router.on_timer(now):
            if handle in self.open_requests:
                self.guarded(
                    self.open_requests[handle], self.perform, self.open_requests[handle], actions, now
                )

    def guarded(self, request, action, *arguments):
        """Call `action`; if it raises, the request gets its one response (500) and other requests go on."""
        try:
            action(*arguments)
        except Exception as fault:
            self.log_exception(fault)
            self.response_writer.respond(request, 500)
            self.forget(request)

    def on_loop_exception(self, loop, context):
        """Log an exception that nothing caught.

        Replaces asyncio's own handler, which writes to standard error and may block.
        """
        fault = context.get("exception")
        if fault is not None:
            self.log_exception(fault)
            return
        self.log("fault", error=str(context.get("message", ""))[:200], where="loop")
        self.counters.count("faults")

    def log_exception(self, fault):
        """Log and count an unexpected exception."""
        at = (traceback.extract_tb(fault.__traceback__) or [None])[-1]
        self.log(
            "fault", error=f"{type(fault).__name__}: {fault}", where=f"{at.name}:{at.lineno}" if at else ""
        )
        self.counters.count("faults")
