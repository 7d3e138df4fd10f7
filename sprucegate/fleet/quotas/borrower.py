"""The slots of each source that a front may use: the lease holder's grants, or else its floor.

Leases are those of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989: the borrower counts a lease from its request on, the lender from its answer on and longer. A
front's floor is a lease in the other direction: each request waives it in favour of the lease holder for a time, which
the front counts as longer than the lease holder does. So at any instant the slots that all fronts use are within the
sum of their floors, however many lease holders there are and whatever is disconnected.

Expiry is checked at each decision, so a process that was suspended uses nothing that has expired meanwhile.
"""

from collections.abc import Callable

from sprucegate.fleet.quotas.actions import Send
from sprucegate.fleet.quotas.fair_queue import AvailableSlots, SourceState
from sprucegate.fleet.quotas.messages import (
    NO_LEASE_HOLDER,
    LeaseGrant,
    LeaseHolderId,
    QuotaRequest,
    SourceDemand,
    SourceGrant,
)
from sprucegate.fleet.quotas.settings import (
    LEASE_DURATION,
    QuotaSettings,
    promise_duration,
    request_interval,
)
from sprucegate.units import MILLISECOND, SECOND

IDLE_REQUEST_INTERVAL = 300 * MILLISECOND  # between two requests without demand
OPEN_REQUESTS_MAX = 64  # latest requests whose answers are accepted
NO_SLOTS = AvailableSlots({}, 0)
DEMAND_INTERVAL_DIVISOR = 5  # new demand is reported after this fraction of the request interval


class Borrower:
    """The borrowing side of one front under one lease holder at a time.

    :ivar lease_holder: the one that this front follows; `epoch`: how often that has changed.
    :ivar granted: {source: slots} of the latest grant, in force until `expires`.
    :ivar floors_waived_until: until then this front's floors may be lent by some lease holder.
    :ivar former_lease: {source: slots} that the former lease holder lent; it may lend the floors until
        `former_floors_until`, and counts those slots as in use until `former_counted_until`.
    :ivar may_borrow: whether the membership view allows grants; `may_use_floors`: whether it allows floors.
    :ivar slow_start: {source: share of its slots that it has after a cold start}.
    """

    def __init__(self, name: str, incarnation: int, settings: QuotaSettings, now: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.lease_holder = NO_LEASE_HOLDER
        self.epoch = 0
        self.sequence = 0
        self.grant = 0
        self.echo = 0
        self.sent_at: dict[int, int] = {}  # by sequence number
        self.granted: dict[int, AvailableSlots] = {}
        self.expires = now
        # A former incarnation of this front may have waived its floors just before it ended.
        self.floors_waived_until = now + promise_duration(settings.floor_waiver)
        self.former_lease: dict[int, int] = {}
        self.former_floors_until = self.floors_waived_until
        self.former_counted_until = now
        self.may_borrow = False
        self.may_use_floors = False
        self.next_request_at = now
        self.unanswered = 0
        self.slow_start: dict[int, float] = {}

    def available_slots(self, source: int, now: int) -> AvailableSlots:
        """Return the slots of a source that may be used at this instant."""
        if self.may_borrow and now < self.expires:
            return self.granted.get(source, NO_SLOTS)
        if self.may_use_floors and now >= self.floors_waived_until:
            floor = self.settings.floor(self.name, source)
            return AvailableSlots({}, int(floor * self.slow_start.get(source, 1.0)))
        return NO_SLOTS

    def follow(self, lease_holder: LeaseHolderId, now: int) -> None:
        """Change the lease holder. Grants of the former are dropped, and the new one is told what it may still lend."""
        if lease_holder == self.lease_holder:
            return
        counted_until = self.expires + self.settings.fill_time_max
        if self.lease_holder != NO_LEASE_HOLDER:
            still_counted = now < counted_until
            lent = {source: slots.total for source, slots in self.granted.items()}
            self.former_lease = lent if still_counted else {}
            self.former_floors_until = self.floors_waived_until
            self.former_counted_until = counted_until
        self.lease_holder = lease_holder
        self.epoch += 1
        self.echo = 0
        self.grant = 0
        self.granted = {}
        self.expires = now
        self.sent_at = {}
        self.unanswered = 0
        self.next_request_at = now

    def next_deadline(self) -> int:
        """Return when the next request is to be sent."""
        return self.next_request_at

    def on_timer(
        self,
        demand: Callable[[int], SourceState],
        take_fill_counts: Callable[[int], tuple[int, int]],
        now: int,
    ) -> list[Send]:
        """Return the next request, if it is due; `demand` and `take_fill_counts` are the fair queue's."""
        if self.lease_holder == NO_LEASE_HOLDER or now < self.next_request_at:
            return []
        sources = []
        has_demand = False
        for source in sorted(self.settings.slots):
            tenants, using = demand(source)
            has_demand = has_demand or bool(tenants)
            former = self.former_lease.get(source, 0) if now < self.former_floors_until else 0
            if tenants or former:
                sources.append(SourceDemand(source, using, former, *take_fill_counts(source), tenants))
        self._count_request(has_demand, now)
        request = QuotaRequest(
            incarnation=self.incarnation,
            lease_holder=self.lease_holder.incarnation,
            epoch=self.epoch,
            sequence=self.sequence,
            echo=self.echo,
            grant=self.grant,
            floors_lent=max(0, self.former_floors_until - now),
            lease_counted=max(0, self.former_counted_until - now),
            sources=sources,
        )
        return [Send(self.lease_holder.name, request)]

    def _count_request(self, has_demand: bool, now: int) -> None:
        self.sequence += 1
        self.unanswered += 1
        self.sent_at[self.sequence] = now
        while len(self.sent_at) > OPEN_REQUESTS_MAX:
            del self.sent_at[next(iter(self.sent_at))]
        interval = request_interval(len(self.settings.fronts)) if has_demand else IDLE_REQUEST_INTERVAL
        self.next_request_at = now + interval
        waived_until = now + promise_duration(self.settings.floor_waiver)
        self.floors_waived_until = max(self.floors_waived_until, waived_until)

    def demand_changed(self, now: int) -> None:
        """There is demand that the last request didn't report: send the next one sooner."""
        interval = request_interval(len(self.settings.fronts)) // DEMAND_INTERVAL_DIVISOR
        earliest = self.sent_at.get(self.sequence, now - SECOND) + interval
        self.next_request_at = min(self.next_request_at, max(now, earliest))

    def on_grant(self, sender: str, message: LeaseGrant, now: int) -> bool:
        """Take a grant, unless it is late or of another lease holder; return whether it is in force now."""
        sent_at = self.sent_at.get(message.sequence)
        if sender != self.lease_holder.name or message.epoch != self.epoch:
            return False
        if sent_at is None or message.grant <= self.grant:
            return False
        if not self.echo:
            # Floors count as waived only from the request that follows the first answer.
            self.next_request_at = now
        self.grant = message.grant
        self.echo = max(self.echo, message.stamp)
        self.unanswered = 0
        self.expires = sent_at + LEASE_DURATION
        self.granted = {row.source: _slots_of(row) for row in message.sources}
        return now < self.expires


def _slots_of(grant: SourceGrant) -> AvailableSlots:
    by_tenant = {row.tenant: row.slots for row in grant.tenants}
    return AvailableSlots(by_tenant, sum(by_tenant.values()) + grant.spare)
