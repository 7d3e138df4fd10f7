"""The lease holder grants slots from the floors that fronts have waived, by tenants' weights and demand.

At any time its grants are within the floors that are certainly waived in its favour until the last fill by a grant has
ended; what a former lease holder may still have lent of these floors is subtracted. `allocation` decides who gets which
slots.
"""

from typing import NamedTuple

from sprucegate.fleet.quotas.actions import Send
from sprucegate.fleet.quotas.allocation import FrontDemand, SlotAllocator
from sprucegate.fleet.quotas.messages import (
    LeaseGrant,
    LeaseHolderId,
    QuotaRequest,
    SourceGrant,
    TenantSlots,
)
from sprucegate.fleet.quotas.settings import (
    CLOCK_DRIFT_DIVISOR,
    LEASE_DURATION,
    QuotaSettings,
    promise_duration,
)
from sprucegate.fleet.quotas.slots import AdaptiveLimit
from sprucegate.units import SECOND

FOLLOWER_TIMEOUT = 2 * LEASE_DURATION  # after which a front without a request is no follower
FRONT_KEPT_MIN = 60 * SECOND  # the least time for which a silent front is kept
FRONTS_MAX = 1000
UNREQUESTED_GRANTS_MAX = 8  # to other fronts, per request


class GrantRecord(NamedTuple):
    """A grant as the lease holder counts it: {source: slots} until `expires`."""

    number: int
    slots: dict[int, int]
    expires: int


class FrontRecord:
    """What is known of one incarnation of a borrower from its latest request.

    :ivar waived_until: until then its floors may be lent by this lease holder.
    :ivar former_lease: {source: slots} lent to it by its former lease holder, which may lend its floors until
        `former_floors_until`, and certainly counts those slots as in use until `former_counted_until`.
    :ivar using: {source: running fills}; `demand`: {source: {tenant: (running, waiting)}}.
    :ivar grants: those by which it may have started fills.
    :ivar heard_at: time of the latest request; 0: none.
    """

    def __init__(self, incarnation: int, epoch: int) -> None:
        self.incarnation = incarnation
        self.epoch = epoch
        self.sequence = 0
        self.waived_until = 0
        self.former_floors_until = 0
        self.former_counted_until = 0
        self.former_lease: dict[int, int] = {}
        self.using: dict[int, int] = {}
        self.demand: dict[int, FrontDemand] = {}
        self.grants: list[GrantRecord] = []
        self.heard_at = 0

    def slots_in_use(self, source: int, fill_time_max: int, now: int) -> int:
        """Return the most slots that it may use: by its latest request, and by each grant whose fills may still run."""
        reported_until = self.heard_at + promise_duration(LEASE_DURATION + fill_time_max)
        reported = self.using.get(source, 0) if now < reported_until else 0
        fill_duration = promise_duration(fill_time_max)
        lent = [one.slots.get(source, 0) for one in self.grants if now < one.expires + fill_duration]
        return max([reported, *lent])

    def has_waiting_requests(self) -> bool:
        """Whether its latest request for slots reported any waiting request."""
        return any(waiting for rows in self.demand.values() for _, waiting in rows.values())

    def update(self, request: QuotaRequest, settings: QuotaSettings, now: int) -> None:
        """Update the record by a request."""
        self.sequence = request.sequence
        self.heard_at = now
        if request.echo:
            # Sent after this lease holder's clock showed `echo`: the floors are waived for at least this long.
            waiver = settings.floor_waiver
            self.waived_until = max(self.waived_until, request.echo + waiver - waiver // CLOCK_DRIFT_DIVISOR)
        self.former_floors_until = now + promise_duration(request.floors_lent) if request.floors_lent else 0
        # Counted from the echo, which was before the request was sent: never longer than it really is.
        counted = request.lease_counted
        self.former_counted_until = (
            request.echo + counted - counted // CLOCK_DRIFT_DIVISOR if request.echo else 0
        )
        self.former_lease = {row.source: row.former_lease for row in request.sources}
        self.using = {row.source: row.using for row in request.sources}
        self.demand = {
            row.source: {tenant: (using, waiting) for tenant, using, waiting in row.tenants}
            for row in request.sources
        }
        ended = now - promise_duration(settings.fill_time_max)
        self.grants = [one for one in self.grants if one.number >= request.grant and one.expires > ended]


class LeaseHolder:
    """The lending side of one incarnation of a front; every front has one, for the time when others follow it.

    :ivar fronts: followers by name; `former_fronts`: former incarnations, until their fills have ended.
    :ivar limits: adaptive limits by source; `slow_start`: {source: share of its slots after a cold start}.
    :ivar grant: number of the latest grant; it starts at the clock, so that it rises across restarts.
    """

    def __init__(self, incarnation: int, settings: QuotaSettings, now: int) -> None:
        self.incarnation = incarnation
        self.settings = settings
        self.fronts: dict[str, FrontRecord] = {}
        self.former_fronts: list[FrontRecord] = []
        self.allocator = SlotAllocator(settings)
        self.limits: dict[int, AdaptiveLimit] = {}
        self.slow_start: dict[int, float] = {}
        self.grant = int(now)

    def on_request(self, sender: str, request: QuotaRequest, now: int) -> list[Send]:
        """Answer a front's request, and grant slots that it has released to fronts that wait for them."""
        front = self._front_of(sender, request, now) if request.lease_holder == self.incarnation else None
        if front is None:
            return []
        # Only listed sources: a peer that names others could make the tables grow without bound.
        listed = [row for row in request.sources if row.source in self.settings.slots]
        request = request._replace(sources=listed)
        elapsed = min(now - front.heard_at, LEASE_DURATION) if front.heard_at else 0
        self.allocator.charge(sender, request.sources, elapsed, now)
        used_before = dict(front.using)
        front.update(request, self.settings, now)
        for row in request.sources:
            limit = self.limits.setdefault(row.source, AdaptiveLimit(now))
            limit.fills_ended(row.ended, row.late, now)
        sends = [self._grant(sender, front, now)]
        if any(front.using.get(source, 0) < count for source, count in used_before.items()):
            sends += self._grant_to_waiting(sender, now)
        return sends

    def _grant_to_waiting(self, sender: str, now: int) -> list[Send]:
        """Grant released slots to waiting fronts, in answer to their latest requests.

        Otherwise a slot would be idle until the next request of the front that is to have it.
        """
        sends: list[Send] = []
        for name, front in self.fronts.items():
            if name == sender or now - front.heard_at > LEASE_DURATION // 2:
                continue
            if front.has_waiting_requests() and self._would_gain(name, front, now):
                sends.append(self._grant(name, front, now))
                if len(sends) >= UNREQUESTED_GRANTS_MAX:
                    break
        return sends

    def _would_gain(self, name: str, front: FrontRecord, now: int) -> bool:
        granted = front.grants[-1].slots if front.grants else {}
        for source in front.demand:
            by_tenant, spare = self._slots_for(name, front, source, now)
            if sum(by_tenant.values()) + spare > granted.get(source, 0):
                return True
        return False

    def _grant(self, name: str, front: FrontRecord, now: int) -> Send:
        sources = []
        totals = {}
        for source in self.settings.slots:
            by_tenant, spare = self._slots_for(name, front, source, now)
            if by_tenant or spare:
                tenants = sorted(TenantSlots(tenant, slots) for tenant, slots in by_tenant.items())
                sources.append(SourceGrant(source, spare, tenants))
                totals[source] = spare + sum(by_tenant.values())
        self.grant += 1
        front.grants.append(GrantRecord(self.grant, totals, now + promise_duration(LEASE_DURATION)))
        return Send(name, LeaseGrant(front.epoch, front.sequence, now, self.grant, sources))

    def is_followed_by(self, front_id: LeaseHolderId, now: int) -> bool:
        """Whether that incarnation of a front follows this lease holder."""
        front = self.fronts.get(front_id.name)
        if front is None or front.incarnation != front_id.incarnation:
            return False
        return now - front.heard_at < FOLLOWER_TIMEOUT

    def follower_count(self, now: int) -> int:
        """Return how many fronts follow this lease holder."""
        return sum(now - front.heard_at < FOLLOWER_TIMEOUT for front in self.fronts.values())

    def capacity(self, source: int, now: int) -> int:
        """Return the slots of a source that may be lent at this instant, including those that are lent.

        Only floors count that are waived until the last fill by a lease granted now has ended.
        """
        horizon = now + promise_duration(LEASE_DURATION) + promise_duration(self.settings.fill_time_max)
        floors = 0
        lendable = 0
        for name, front in self.fronts.items():
            if front.waived_until >= horizon:
                floor = self.settings.floor(name, source)
                floors += floor
                lendable += self._lendable(front, source, floor, now)
        ratio = self.limits[source].ratio if source in self.limits else 1.0
        return int(min(lendable, floors) * min(ratio, self.slow_start.get(source, 1.0)))

    @staticmethod
    def _lendable(front: FrontRecord, source: int, floor: int, now: int) -> int:
        """Return how many slots this lease holder may lend based on one front's floor.

        While a former lease holder may lend that floor, these are the slots that it lent to this very front, as nobody
        else can have them. Once the former lease holder counts them as free again, they are at most the floor: those
        beyond it came from other fronts' floors, and may have been lent again.
        """
        if now >= front.former_floors_until:
            return floor
        lent = front.former_lease.get(source, 0)
        return lent if now < front.former_counted_until else min(lent, floor)

    def _front_of(self, sender: str, request: QuotaRequest, now: int) -> FrontRecord | None:
        """Return the sender's record, a new one for a new incarnation; None for a late request or too many fronts."""
        front = self.fronts.get(sender)
        if front is None or front.incarnation != request.incarnation:
            if front is not None and request.incarnation < front.incarnation:
                return None
            if not self._make_room(front, now):
                return None
            front = self.fronts[sender] = FrontRecord(request.incarnation, request.epoch)
            return front
        if (request.epoch, request.sequence) <= (front.epoch, front.sequence):
            return None
        if front.epoch != request.epoch:
            # It has followed another lease holder since: it dropped its grants from here, and reports the slots in use.
            front.epoch = request.epoch
            front.grants = []
            front.waived_until = 0
            front.former_lease = {}
        return front

    def _make_room(self, replaced: FrontRecord | None, now: int) -> bool:
        """Return whether there is room for a new record; the replaced one is kept, as its fills may still run."""
        if max(len(self.fronts), len(self.former_fronts)) >= FRONTS_MAX:
            self._forget_silent(now)
        if replaced is None and len(self.fronts) >= FRONTS_MAX:
            return False
        if len(self.former_fronts) >= FRONTS_MAX:
            return False
        if replaced is not None:
            self.former_fronts.append(replaced)
        return True

    def _forget_silent(self, now: int) -> None:
        """Remove fronts without grant, waiver or fill, and what was kept of sources that are no longer listed."""
        oldest = now - max(FRONT_KEPT_MIN, 2 * promise_duration(self.settings.floor_waiver))
        self.fronts = {name: front for name, front in self.fronts.items() if front.heard_at > oldest}
        self.allocator.forget_unlisted_sources()
        for source in [one for one in self.limits if one not in self.settings.slots]:
            del self.limits[source]

    def _slots_in_use(self, source: int, now: int, excluded: FrontRecord) -> int:
        fill_time_max = self.settings.fill_time_max
        self.former_fronts = [one for one in self.former_fronts if now < self._fills_end(one)]
        fronts = [*self.fronts.values(), *self.former_fronts]
        return sum(one.slots_in_use(source, fill_time_max, now) for one in fronts if one is not excluded)

    def _fills_end(self, front: FrontRecord) -> int:
        last_start = max([front.heard_at + LEASE_DURATION, *[one.expires for one in front.grants]])
        return last_start + 2 * promise_duration(self.settings.fill_time_max)

    def _slots_for(self, name: str, front: FrontRecord, source: int, now: int) -> tuple[dict[int, int], int]:
        """Return ({tenant: slots}, spare slots) for one front: its allotment, limited to the free slots and its own."""
        capacity = self.capacity(source, now)
        free = capacity - self._slots_in_use(source, now, front)
        if free <= 0:
            return {}, 0
        demand = {
            other: record.demand.get(source, {})
            for other, record in self.fronts.items()
            if now - record.heard_at < FOLLOWER_TIMEOUT
        }
        allocation = self.allocator.allocate(source, capacity, demand, now)
        allotted, spare = allocation.get(name, ({}, 0))
        by_tenant = dict(allotted)
        while sum(by_tenant.values()) > free:
            most_served = max(by_tenant, key=lambda t: (self.allocator.used_time(source, t), t))
            by_tenant[most_served] -= 1
            if not by_tenant[most_served]:
                del by_tenant[most_served]
        return by_tenant, min(spare, free - sum(by_tenant.values()))
