"""Requests of one front that wait for slots: which fill starts next, and which requests are answered without one.

Start-time fair queueing with several fills served at a time, SFQ(D): Goyal, Vin, Cheng, "Start-time Fair Queueing",
1996; Jin, Chase, Kaur, "Interposed Proportional Sharing", SIGMETRICS 2004. A tenant is charged the source's mean fill
time by its weight when a request starts, and the difference to the actual fill time when the fill ends.
"""

import heapq
from collections import deque
from collections.abc import Callable, Hashable, Mapping
from itertools import count
from typing import NamedTuple

from sprucegate.fleet.quotas.actions import AbandonWait, Action, StartFill
from sprucegate.fleet.quotas.messages import TenantDemand
from sprucegate.fleet.quotas.settings import COMMON_TENANT, QuotaSettings
from sprucegate.units import MILLISECOND

MEAN_SAMPLES_MAX = 64  # latest fills in the mean fill time of a source
INITIAL_FILL_TIME = 100 * MILLISECOND  # assumed before any fill has ended
INITIAL_FILL_SAMPLES = 4  # weight of that assumption, in samples
CORRECTION_MEANS_MAX = 8  # bound of the correction for one fill, in mean fill times
SOURCES_MAX = 1000
STALE_DEADLINES_MAX = 1000  # entries beyond twice the number of waiting requests
TENANT_HEADER_BYTES_MAX = 200


class AvailableSlots(NamedTuple):
    """Slots of one source at one instant: those granted to tenants, and the total."""

    by_tenant: Mapping[int, int]
    total: int


class SourceState(NamedTuple):
    """Demand at one source: by tenant, where there is any, and the number of running fills."""

    tenants: list[TenantDemand]
    using: int


class WaitingRequest:
    """A request in the queue, `open` until it starts, is answered or cancelled; `deadline`: its client's, ns."""

    __slots__ = ("deadline", "open", "source", "tenant", "token")

    def __init__(self, token: Hashable, tenant: int, source: int, deadline: int) -> None:
        self.token = token
        self.tenant = tenant
        self.source = source
        self.deadline = deadline
        self.open = True


class RunningFill:
    """A fill that has held a slot since `since`; `charged`: ns of slot time charged to its tenant at the start."""

    __slots__ = ("charged", "since", "source", "tenant")

    def __init__(self, tenant: int, source: int, since: int, charged: int) -> None:
        self.tenant = tenant
        self.source = source
        self.since = since
        self.charged = charged


class SourceQueue:
    """The queues, running fills and SFQ tags of one source, by tenant."""

    def __init__(self) -> None:
        self.using: dict[int, int] = {}
        self.waiting: dict[int, deque[WaitingRequest]] = {}
        self.finish_tags: dict[int, float] = {}
        self.virtual_time: float = 0
        self.fill_times: deque[int] = deque(maxlen=MEAN_SAMPLES_MAX)
        self.ended = 0  # fills since they were last reported to the lease holder
        self.late = 0

    def mean_fill_time(self) -> int:
        """Return the mean time of the latest fills (ns); with few samples INITIAL_FILL_TIME is averaged in."""
        total = sum(self.fill_times) + INITIAL_FILL_SAMPLES * INITIAL_FILL_TIME
        return total // (len(self.fill_times) + INITIAL_FILL_SAMPLES)

    def backlogged(self) -> list[int]:
        """Return the tenants that have waiting requests."""
        return [tenant for tenant, queue in self.waiting.items() if queue]

    def start_tag(self, tenant: int) -> float:
        """Return the tenant's SFQ start tag; one that was idle starts at the present virtual time, with no credit."""
        return max(self.virtual_time, self.finish_tags.get(tenant, 0))

    def has_free_slot(self, total: int) -> bool:
        """Whether fewer than `total` fills run."""
        return sum(self.using.values()) < total

    def remove(self, waiting: WaitingRequest) -> None:
        """Take a request out of its queue."""
        queue = self.waiting[waiting.tenant]
        queue.remove(waiting)
        if not queue:
            del self.waiting[waiting.tenant]


class FairQueue:
    """All waiting requests and running fills of one front.

    `available_slots(source, now)` is called at each decision, so that nothing starts by an expired lease.
    """

    def __init__(
        self, settings: QuotaSettings, available_slots: Callable[[int, int], AvailableSlots]
    ) -> None:
        self.settings = settings
        self.available_slots = available_slots
        self.sources: dict[int, SourceQueue] = {}
        self.waiting: dict[Hashable, WaitingRequest] = {}
        self.running: dict[Hashable, RunningFill] = {}
        self.deadlines: list[tuple[int, int, WaitingRequest]] = []  # heap of (latest start, order, request)
        self.detached: list[tuple[int, int, Hashable]] = []  # heap of (time of release, order, token)
        self.order = count()

    def next_deadline(self) -> int | None:
        """Return when `on_timer` is to be called next, or None."""
        while self.deadlines and not self.deadlines[0][2].open:
            heapq.heappop(self.deadlines)
        times = [self.deadlines[0][0]] if self.deadlines else []
        if self.detached:
            times.append(self.detached[0][0])
        return min(times, default=None)

    def demand(self, source: int) -> SourceState:
        """Return the demand at a source."""
        queue = self.sources.get(source)
        if queue is None:
            return SourceState([], 0)
        tenants = sorted(queue.using.keys() | queue.waiting.keys())
        rows = [TenantDemand(t, queue.using.get(t, 0), len(queue.waiting.get(t, ()))) for t in tenants]
        return SourceState([row for row in rows if row.using or row.waiting], sum(queue.using.values()))

    def take_fill_counts(self, source: int) -> tuple[int, int]:
        """Return (fills that ended, those of them that were late) since the last call."""
        queue = self.sources.get(source)
        if queue is None:
            return 0, 0
        counts = queue.ended, queue.late
        queue.ended = 0
        queue.late = 0
        return counts

    def request_arrived(
        self, token: Hashable, source: int, tenant: int, deadline: int, now: int
    ) -> list[Action]:
        """A request needs a fill at a source before `deadline`: start it, queue it, or abandon it at once."""
        queue = self._source_queue(source)
        if queue is None:
            return [AbandonWait(token, source)]
        waiting = WaitingRequest(token, tenant, source, deadline)
        tenant_queue = queue.waiting.setdefault(tenant, deque())
        slots = self.available_slots(source, now)
        ahead = len(tenant_queue)
        if queue.has_free_slot(slots.total) and not queue.backlogged():
            return self._start(queue, waiting, now)
        wait = self._expected_wait(queue, tenant, ahead, slots)
        if ahead >= self.settings.waiting_max or now + wait + queue.mean_fill_time() > deadline:
            return [AbandonWait(token, source)]
        tenant_queue.append(waiting)
        self.waiting[token] = waiting
        self._drop_stale_deadlines()
        heapq.heappush(self.deadlines, (deadline - queue.mean_fill_time(), next(self.order), waiting))
        return self._dispatch(source, queue, now)

    def request_cancelled(self, token: Hashable) -> None:
        """The client of a waiting request has left."""
        waiting = self.waiting.pop(token, None)
        if waiting is not None:
            waiting.open = False
            self.sources[waiting.source].remove(waiting)

    def slot_unused(self, token: Hashable, now: int) -> list[Action]:
        """A started request needed no fill: its slot is free again, and its tenant's charge is refunded."""
        return self.fill_ended(token, 0, None, now)

    def fill_detached(self, token: Hashable, now: int) -> None:
        """Nobody waits for the fill here, but it may go on at the source: its slot is kept for `fill_time_max`."""
        fill = self.running.get(token)
        if fill is not None:
            released = max(now, fill.since + self.settings.fill_time_max)
            heapq.heappush(self.detached, (released, next(self.order), token))

    def fill_ended(self, token: Hashable, duration: int, on_time: bool | None, now: int) -> list[Action]:
        """A fill ended after `duration` ns (0: there was none); `on_time` None: it says nothing about the source."""
        fill = self.running.pop(token, None)
        if fill is None:
            return []
        queue = self.sources[fill.source]
        weight = self.settings.tenants[fill.tenant].weight
        queue.using[fill.tenant] -= 1
        if on_time is not None:
            queue.fill_times.append(duration)
            queue.ended += 1
            queue.late += not on_time
        bound = CORRECTION_MEANS_MAX * queue.mean_fill_time()
        queue.finish_tags[fill.tenant] += max(-bound, min(bound, duration - fill.charged)) / weight
        if not queue.using[fill.tenant]:
            del queue.using[fill.tenant]
        return self._dispatch(fill.source, queue, now)

    def on_timer(self, now: int) -> list[Action]:
        """Release detached fills, abandon requests that can't be filled in time, start those that may start now."""
        actions = self._release_detached(now)
        while self.deadlines and (self.deadlines[0][0] <= now or not self.deadlines[0][2].open):
            waiting = heapq.heappop(self.deadlines)[2]
            if waiting.open:
                self._take_out(waiting)
                actions.append(AbandonWait(waiting.token, waiting.source))
        for source, queue in self.sources.items():
            if queue.backlogged():
                actions += self._dispatch(source, queue, now)
        return actions

    def _release_detached(self, now: int) -> list[Action]:
        actions: list[Action] = []
        while self.detached and self.detached[0][0] <= now:
            token = heapq.heappop(self.detached)[2]
            if token in self.running:
                actions += self.fill_ended(token, now - self.running[token].since, None, now)
        return actions

    def _drop_stale_deadlines(self) -> None:
        if len(self.deadlines) > STALE_DEADLINES_MAX + 2 * len(self.waiting):
            self.deadlines = [entry for entry in self.deadlines if entry[2].open]
            heapq.heapify(self.deadlines)

    def _source_queue(self, source: int) -> SourceQueue | None:
        """Return the source's queue; None where there are SOURCES_MAX busy ones."""
        if source not in self.sources and len(self.sources) >= SOURCES_MAX:
            idle = next(
                (one for one, queue in self.sources.items() if not queue.using and not queue.backlogged()),
                None,
            )
            if idle is None:
                return None
            del self.sources[idle]
        return self.sources.setdefault(source, SourceQueue())

    def _expected_wait(self, queue: SourceQueue, tenant: int, ahead: int, slots: AvailableSlots) -> float:
        """Return the wait (ns) behind `ahead` requests of the tenant, if all other tenants stay backlogged.

        The tenant then has the slots of its lease, or its share of all slots by weight.
        """
        contenders = {*queue.backlogged(), *queue.using, tenant}
        weights = {one: self.settings.tenants[one].weight for one in contenders}
        share = max(slots.by_tenant.get(tenant, 0), slots.total * weights[tenant] / sum(weights.values()))
        return (ahead + 1) * queue.mean_fill_time() // share if share else 0

    def _take_out(self, waiting: WaitingRequest) -> None:
        waiting.open = False
        del self.waiting[waiting.token]
        self.sources[waiting.source].remove(waiting)

    def _dispatch(self, source: int, queue: SourceQueue, now: int) -> list[Action]:
        """Give each free slot to the backlogged tenant with the smallest start tag."""
        actions: list[Action] = []
        while backlogged := queue.backlogged():
            slots = self.available_slots(source, now)
            if not queue.has_free_slot(slots.total):
                break
            # Tenants with leased slots go first: the lease holder has weighed them over all fronts, unlike spare slots.
            leased = [t for t in backlogged if queue.using.get(t, 0) < slots.by_tenant.get(t, 0)]
            tenant = min(leased or backlogged, key=lambda t: (queue.start_tag(t), t))
            waiting = queue.waiting[tenant][0]
            self._take_out(waiting)
            actions += self._start(queue, waiting, now)
        return actions

    def _start(self, queue: SourceQueue, waiting: WaitingRequest, now: int) -> list[Action]:
        tenant = waiting.tenant
        charge = queue.mean_fill_time()
        queue.virtual_time = queue.start_tag(tenant)
        queue.finish_tags[tenant] = queue.virtual_time + charge / self.settings.tenants[tenant].weight
        queue.using[tenant] = queue.using.get(tenant, 0) + 1
        self.running[waiting.token] = RunningFill(tenant, waiting.source, now, charge)
        return [StartFill(waiting.token, waiting.source)]


def tenant_of(header: bytes | None, listed: Mapping[bytes, int]) -> tuple[int, bool]:
    """Return (index of the tenant, whether it is listed) for a client's header.

    Only listed names become keys of tables; all other clients belong to the common tenant.
    """
    if header is None or not 0 < len(header) <= TENANT_HEADER_BYTES_MAX:
        return COMMON_TENANT, False
    index = listed.get(bytes(header).strip())
    return (COMMON_TENANT, False) if index is None else (index, True)
