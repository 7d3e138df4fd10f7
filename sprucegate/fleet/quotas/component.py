"""The quotas in a front: its waiting requests, messages to and from lease holders, timers. `coordinator` decides.

The component sets itself as `driver.fill_quota`, and the sources whose fills wait for slots as
`router.slot_limited_sources`. Nothing here asks another front on a request's path.
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

SLOW_START_INTERVAL_S = 0.5  # between two looks at which sources have just started
TIMER_WAIT_MAX_S = 1.0
RETRY_AFTER_FAULT_S = 0.1
FILL_TIME_MAX_DEFAULT = (
    3 * SECOND
)  # where neither the operator's file nor the settings bound a request's time
CACHE_HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT, CacheStatus.COLLAPSED)
# After these the fill may go on at the source, for all that is known here.
DETACHED_OUTCOMES = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET)


class SlotWait:
    """One wait of one request for a slot.

    :ivar get: the open request; `source`: where its fill is to run.
    :ivar out: the attempt that runs by the slot, or None.
    :ivar has: whether the slot was given.
    """

    __slots__ = ("get", "has", "out", "source")

    def __init__(self, get, source):
        self.get = get
        self.source = source
        self.out = None
        self.has = False


class QuotaComponent(FleetComponent):
    """Joins the quota coordinator to a front's driver and to its fleet.

    `fleet`: the front's fleet service; `node`: the block `shares` of the operator's file.
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
            tenants=tuple(Tenant(*one) for one in node.weights),
            fronts=tuple(node.fronts),
            slots={},
            fill_time_max=node.longest or max(timeouts, default=FILL_TIME_MAX_DEFAULT),
            waiting_max=node.waiting,
        )
        self.quotas = QuotaCoordinator(fleet.name, fleet.being, self.settings, time.monotonic_ns())
        # Until a view says otherwise; floors that a former incarnation may have lent are still waited for.
        self.quotas.borrower.may_use_floors = True
        self.waits_by_request = {}
        self.timer = None
        self.source_names = {}
        self.up = False
        self.driver.fill_quota = self
        self.driver.router.slot_limited_sources = self.settings.slots

    async def start(self):
        """Begin with the front's identity in the fleet."""
        self.up = True
        own = self.fleet.peer.members.own
        self.on_identity_changed(own.name, own.incarnation)
        self._update_slow_start()

    def start_without_storage(self):
        """Go on with the floors alone: else requests that wait for slots would be neither filled nor answered."""
        self.up = True
        self._update_slow_start()
        self._set_timer()

    async def stop(self):
        """Stop the timers."""
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    # Events of the fleet.

    def on_endpoints_changed(self):
        """Set the slots of the listed sources: what the operator's file gives by a source's name, else by its kind."""
        router = self.driver.router
        kinds = {value: name for name, value in self.driver.config.kinds.items()}
        slots = {}
        for source in [*router.group("parent"), *router.group("origin")]:
            server = self.driver.servers.places.get(source.id)
            name = server.name if server is not None else ""
            count = self.node.counts.get(name) or self.node.counts.get(kinds.get(source.entry.kind, ""))
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
        """Tell the coordinator who may lend, and whether this front may borrow or use its floors."""
        own = self.fleet.peer.members.own
        candidates = [
            (name, row.incarnation)
            for name, row in view.rows.items()
            if view.allows(PeerAction.LEASE_HOLDER, name)
        ]
        if view.allows_own(OwnAction.LEND):
            candidates.append((own.name, own.incarnation))
        may_borrow = view.allows_own(OwnAction.BORROW)
        may_use_floors = view.allows_own(OwnAction.FLOOR)
        now = time.monotonic_ns()
        self._perform(self.quotas.on_view_changed(candidates, may_borrow, may_use_floors, now))

    def on_message(self, sender, data):
        """A message of another front; raises FrameError for one that can't be read."""
        message = codec.decode(data, self.settings)
        self._perform(self.quotas.on_message(sender, message, time.monotonic_ns()))

    def explain(self, given):
        """Return the rows of `fleet why share`, of the tenants or sources given, or of all."""
        now = time.monotonic_ns()
        return quota_status(self.quotas, self.node.names, self.source_names, given, now)

    # Events of the front: the calls of the driver.

    def tenant(self, headers):
        """Return the index of a client's tenant; clients that name no listed one belong to the common tenant."""
        index, listed = tenant_of(headers.get(self.node.header_bytes), self.node.listed)
        if not listed:
            self.driver.counters.count("tenants_unlisted")
        return index

    def waits(self, get, source, now):
        """A request needs a slot: it has sent nothing for this fill, and is routed again once it has one."""
        wait = SlotWait(get, source)
        self.waits_by_request[get] = wait
        self.driver.counters.count("gets_slow")
        # The driver's clock and the fleet's differ: only durations are taken over.
        monotonic = time.monotonic_ns()
        deadline = monotonic + get.handle.deadline - now
        self._perform(self.quotas.request_arrived(wait, source, get.tenant, deadline, monotonic))

    def sent(self, get, out, forward, now):
        """An attempt goes out: by the request's slot, if it is the fill that the slot is for."""
        wait = self.waits_by_request.get(get)
        if wait is None or not wait.has or wait.out is not None:
            return
        if forward.fill_source == wait.source and not forward.only_if_cached:
            wait.out = out
            out.slot = wait
            out.deadline = min(out.deadline, now + self.settings.fill_time_max)

    def ended(self, out, outcome, found, waited, now):
        """An attempt ended; `found`: the server's cache status, `waited`: ns of the fill by its answer, or 0."""
        wait = out.slot
        if wait is None:
            return
        out.slot = None
        if self.waits_by_request.get(wait.get) is wait:
            del self.waits_by_request[wait.get]
        monotonic = time.monotonic_ns()
        if outcome in DETACHED_OUTCOMES:
            self.quotas.fill_detached(wait, monotonic)
            self._set_timer()
        elif outcome.never_executed or found in CACHE_HITS:
            self._perform(self.quotas.slot_unused(wait, monotonic))
        else:
            duration = now - out.decided_at
            on_time = outcome is AttemptOutcome.RETURNED and duration <= self.driver.router.latency_objective(
                wait.get.routing_request
            )
            self._perform(self.quotas.fill_ended(wait, waited or duration, on_time, monotonic))

    def left(self, get):
        """A request is over, or its client has left: it waits no more."""
        wait = self.waits_by_request.pop(get, None)
        if wait is None:
            return
        if not wait.has:
            self.quotas.request_cancelled(wait)
        elif wait.out is None:
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
        self.driver.guarded(wait.get, self._give_up, wait.get, now)

    def _forget(self, wait):
        if self.waits_by_request.get(wait.get) is wait:
            del self.waits_by_request[wait.get]

    def _give_up(self, get, now):
        self.driver.perform(get, get.handle.give_up(now), now)

    def _start_fill(self, wait, source):
        get = wait.get
        now = self.driver.clock()
        if self.waits_by_request.get(get) is not wait or get.handle.finished:
            self._perform(self.quotas.slot_unused(wait, time.monotonic_ns()))
            return
        wait.has = True
        get.handle.slot_source = source
        self.driver.guarded(get, self._route, get, now)
        if wait.out is None:  # another cache has the object by now, or another source is to be asked
            self._forget(wait)
            self._perform(self.quotas.slot_unused(wait, time.monotonic_ns()))

    def _route(self, get, now):
        actions = get.handle.route(now)
        get.handle.slot_source = None  # for this attempt alone
        self.driver.perform(get, actions, now)
        self.driver.arm(now)

    def _send(self, to, message):
        members = self.fleet.peer.members
        if to == members.own.name:
            self.loop.call_soon(self._on_own_message, message)
            return
        member = members.known.get(to)
        if member is not None:
            frame = ComponentMessage(self.name, codec.encode(message))
            self.fleet.links.send(to, member.address, frame, False)

    def _on_own_message(self, message):
        own = self.fleet.peer.members.own
        self._perform(self.quotas.on_message(own.name, message, time.monotonic_ns()))

    # Timers.

    def _set_timer(self):
        if not self.up:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0, self.quotas.next_deadline() - time.monotonic_ns()) / SECOND
        self.timer = self.loop.call_later(min(wait, TIMER_WAIT_MAX_S), self._on_timer)

    def _on_timer(self):
        try:
            self._perform(self.quotas.on_timer(time.monotonic_ns()))
        except (
            Exception
        ) as fault:  # without a next call all waiting requests would wait until their deadlines
            self.driver.log_exception(fault)
            self.timer = self.loop.call_later(RETRY_AFTER_FAULT_S, self._on_timer)

    def _update_slow_start(self):
        if not self.up:
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
