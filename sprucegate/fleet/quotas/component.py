"""The quotas in a front: connects the coordinator to waiting requests, to other fronts and to timers.

The component sets itself as `driver.fill_quota`, and the sources whose fills wait for slots as
`router.slot_limited_sources`. No other front is called synchronously while a request is served.
"""

import time

from sprucegate.fleet.components import FleetComponent
from sprucegate.fleet.links.codec import ComponentMessage
from sprucegate.fleet.membership_view.degraded_mode import OwnAction, PeerAction
from sprucegate.fleet.quotas import codec
from sprucegate.fleet.quotas.actions import AbandonWait, LeaseHolderChanged, Send, StartFill
from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.fair_queue import tenant_of
from sprucegate.fleet.quotas.settings import QuotaSettings, Tenant
from sprucegate.fleet.quotas.slots import slow_start_ratio
from sprucegate.fleet.quotas.status import quota_status
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.units import SECOND

SLOW_START_INTERVAL_S = 0.5  # between two updates of the sources that have just started
TIMER_WAIT_MAX_S = 1.0
RETRY_AFTER_FAULT_S = 0.1
FILL_TIME_MAX_DEFAULT = 3 * SECOND  # if neither the operator's file nor the settings bound a request's time
CACHE_HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT, CacheStatus.COLLAPSED)
# Outcomes after which the fill may still run at the source.
DETACHED_OUTCOMES = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET)


class SlotWait:
    """One wait of one request for a slot.

    :ivar request: the open request; `source`: where its fill is to run.
    :ivar attempt: the attempt that uses the slot, or None.
    :ivar granted: whether the slot was granted.
    """

    __slots__ = ("attempt", "granted", "request", "source")

    def __init__(self, request, source):
        self.request = request
        self.source = source
        self.attempt = None
        self.granted = False


class QuotaComponent(FleetComponent):
    """Connects the quota coordinator to a front's driver and to its fleet.

    :ivar fleet: the front's fleet service.
    :ivar node: the block `shares` of the operator's file.
    :ivar waits_by_request: {open request: its SlotWait}.
    :ivar source_names: {source: name of its server}.
    :ivar running: between start and stop.
    """

    name = "shares"
    question = "share"

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.driver = fleet.driver
        self.loop = fleet.loop
        timeouts = [one for one in self.driver.config.settings.get("viewer_timeout", ()) if one]
        self.settings = QuotaSettings(
            tenants=tuple(Tenant(*one) for one in node.tenant_weights),
            fronts=tuple(node.fronts),
            slots={},
            fill_time_max=node.longest or max(timeouts, default=FILL_TIME_MAX_DEFAULT),
            waiting_max=node.waiting,
        )
        self.quotas = QuotaCoordinator(fleet.name, fleet.random_bits, self.settings, time.monotonic_ns())
        # Until the first membership view; floors that a former incarnation has waived are still not used.
        self.quotas.borrower.may_use_floors = True
        self.waits_by_request = {}
        self.timer = None
        self.source_names = {}
        self.running = False
        self.driver.fill_quota = self
        self.driver.router.slot_limited_sources = self.settings.slots

    async def start(self):
        """Start with the front's identity in the fleet."""
        self.running = True
        own = self.fleet.fleet_node.members.own
        self.on_identity_changed(own.name, own.incarnation)
        self._update_slow_start()

    def start_without_storage(self):
        """Start with the floors alone: otherwise requests that wait for slots would be neither filled nor answered."""
        self.running = True
        self._update_slow_start()
        self._set_timer()

    async def stop(self):
        """Stop the timers."""
        self.running = False
        if self.timer is not None:
            self.timer.cancel()

    # Events of the fleet.

    def on_endpoints_changed(self):
        """Set the slots of the listed sources, which the operator's file gives by a source's name or by its kind."""
        router = self.driver.router
        kinds = {value: name for name, value in self.driver.config.kinds.items()}
        slots = {}
        for source in [*router.group("parent"), *router.group("origin")]:
            server = self.driver.servers.by_id.get(source.id)
            name = server.name if server is not None else ""
            count = self.node.slot_counts.get(name) or self.node.slot_counts.get(
                kinds.get(source.entry.kind, "")
            )
            if count:
                slots[source.id] = count
                self.source_names[source.id] = name
        self.source_names = {source: name for source, name in self.source_names.items() if source in slots}
        if slots != self.settings.slots:
            self.settings.slots.clear()
            self.settings.slots.update(slots)

    def on_identity_changed(self, name, life):
        """This front has another name or incarnation."""
        self._perform(self.quotas.on_identity_changed(name, life, time.monotonic_ns()))

    def on_view_changed(self, view):
        """Tell the coordinator who may be lease holder, and whether this front may borrow or use its floors."""
        own = self.fleet.fleet_node.members.own
        candidates = [
            (name, row.incarnation)
            for name, row in view.rows.items()
            if view.allows(PeerAction.LEASE_HOLDER, name)
        ]
        if view.allows_own(OwnAction.GRANT_SLOTS):
            candidates.append((own.name, own.incarnation))
        may_borrow = view.allows_own(OwnAction.BORROW)
        may_use_floors = view.allows_own(OwnAction.USE_MINIMUM)
        now = time.monotonic_ns()
        self._perform(self.quotas.on_view_changed(candidates, may_borrow, may_use_floors, now))

    def on_message(self, sender, data):
        """Handle a message of another front; raises FrameError for one that is not valid."""
        message = codec.decode(data, self.settings)
        self._perform(self.quotas.on_message(sender, message, time.monotonic_ns()))

    def explain(self, given):
        """Return the rows of `fleet why share`, for the tenants or sources given, or for all."""
        now = time.monotonic_ns()
        return quota_status(self.quotas, self.node.tenant_names, self.source_names, given, now)

    # Events of the front, called by its driver.

    def tenant_index(self, headers):
        """Return the index of a client's tenant; clients that name no listed one belong to the common tenant."""
        index, listed = tenant_of(headers.get(self.node.lowercase_header), self.node.tenant_indices)
        if not listed:
            self.driver.counters.count("tenants_unlisted")
        return index

    def request_slot(self, request, source, now):
        """A request needs a slot. No attempt was sent for this fill; it is routed again once it has the slot."""
        wait = SlotWait(request, source)
        self.waits_by_request[request] = wait
        self.driver.counters.count("gets_slow")
        # The driver's clock is another one than the fleet's: only durations can be taken over.
        monotonic = time.monotonic_ns()
        deadline = monotonic + request.handle.deadline - now
        self._perform(self.quotas.request_arrived(wait, source, request.tenant, deadline, monotonic))

    def attempt_sent(self, request, attempt, action, now):
        """An attempt is sent: it uses the request's slot, if it is the fill that the slot was granted for."""
        wait = self.waits_by_request.get(request)
        if wait is None or not wait.granted or wait.attempt is not None:
            return
        if action.fill_source == wait.source and not action.only_if_cached:
            wait.attempt = attempt
            attempt.slot = wait
            attempt.deadline = min(attempt.deadline, now + self.settings.fill_time_max)

    def attempt_ended(self, attempt, outcome, cache_status, fill_duration, now):
        """An attempt ended; `cache_status` and `fill_duration` (ns, or 0) are those of its answer."""
        wait = attempt.slot
        if wait is None:
            return
        attempt.slot = None
        if self.waits_by_request.get(wait.request) is wait:
            del self.waits_by_request[wait.request]
        monotonic = time.monotonic_ns()
        if outcome in DETACHED_OUTCOMES:
            self.quotas.fill_detached(wait, monotonic)
            self._set_timer()
        elif outcome.never_executed or cache_status in CACHE_HITS:
            self._perform(self.quotas.slot_unused(wait, monotonic))
        else:
            duration = now - attempt.decided_at
            on_time = outcome is AttemptOutcome.RETURNED and duration <= self.driver.router.latency_objective(
                wait.request.routing_request
            )
            self._perform(self.quotas.fill_ended(wait, fill_duration or duration, on_time, monotonic))

    def request_ended(self, request):
        """A request is finished or its client has left, so it no longer waits."""
        wait = self.waits_by_request.pop(request, None)
        if wait is None:
            return
        if not wait.granted:
            self.quotas.request_cancelled(wait)
        elif wait.attempt is None:
            self._perform(self.quotas.slot_unused(wait, time.monotonic_ns()))

    # Actions of the coordinator.

    def _perform(self, actions):
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(to, message)
                case StartFill(wait, source):
                    self._start_fill(wait, source)
                case AbandonWait(wait, _):
                    self._abandon(wait)
                case LeaseHolderChanged(name):
                    self.fleet.log("shares_steward", steward=name)
        self._set_timer()

    def _abandon(self, wait):
        self._forget(wait)
        self.driver.counters.count("gets_not_waited")
        now = self.driver.clock()
        self.driver.guarded(wait.request, self._give_up, wait.request, now)

    def _forget(self, wait):
        if self.waits_by_request.get(wait.request) is wait:
            del self.waits_by_request[wait.request]

    def _give_up(self, request, now):
        self.driver.perform(request, request.handle.give_up(now), now)

    def _start_fill(self, wait, source):
        request = wait.request
        now = self.driver.clock()
        if self.waits_by_request.get(request) is not wait or request.handle.finished:
            self._perform(self.quotas.slot_unused(wait, time.monotonic_ns()))
            return
        wait.granted = True
        request.handle.slot_source = source
        self.driver.guarded(request, self._route, request, now)
        if wait.attempt is None:  # a cache has the object by now, or another source was chosen
            self._forget(wait)
            self._perform(self.quotas.slot_unused(wait, time.monotonic_ns()))

    def _route(self, request, now):
        actions = request.handle.route(now)
        request.handle.slot_source = None  # the slot was for this attempt only
        self.driver.perform(request, actions, now)
        self.driver.arm(now)

    def _send(self, to, message):
        members = self.fleet.fleet_node.members
        if to == members.own.name:
            self.loop.call_soon(self._on_own_message, message)
            return
        member = members.known.get(to)
        if member is not None:
            frame = ComponentMessage(self.name, codec.encode(message))
            self.fleet.links.send(to, member.address, frame, False)

    def _on_own_message(self, message):
        own = self.fleet.fleet_node.members.own
        self._perform(self.quotas.on_message(own.name, message, time.monotonic_ns()))

    # Timers.

    def _set_timer(self):
        if not self.running:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0, self.quotas.next_deadline() - time.monotonic_ns()) / SECOND
        self.timer = self.loop.call_later(min(wait, TIMER_WAIT_MAX_S), self._on_timer)

    def _on_timer(self):
        try:
            self._perform(self.quotas.on_timer(time.monotonic_ns()))
        except Exception as error:
            # Without another call all waiting requests would wait until their deadlines.
            self.driver.log_exception(error)
            self.timer = self.loop.call_later(RETRY_AFTER_FAULT_S, self._on_timer)

    def _update_slow_start(self):
        if not self.running:
            return
        router = self.driver.router
        now = self.driver.clock()
        warm_time = router.settings.parent_warm_time
        initial_ratio = router.settings.parent_cold_share
        ratios = {}
        for source in router.group("parent"):
            started = source.started and now - router.age(source, now)
            ratios[source.id] = slow_start_ratio(started, warm_time, initial_ratio, now)
        self.quotas.set_slow_start(ratios)
        self.loop.call_later(SLOW_START_INTERVAL_S, self._update_slow_start)
