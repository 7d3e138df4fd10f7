"""The allocation of a source's slots: whole slots to tenants by weight, and a tenant's to the fronts with its demand.

Slot time is shared over all fronts as in start-time fair queueing (Goyal, Vin, Cheng, 1996): each slot goes to the
tenant with the least slot time relative to its weight. Slots without demand are lent to the fronts as spare ones, so
that an occasional request doesn't wait for a grant.
"""

from collections.abc import Mapping
from typing import NamedTuple

from sprucegate.fleet.quotas.messages import SourceDemand
from sprucegate.fleet.quotas.settings import LEASE_DURATION, QuotaSettings
from sprucegate.units import MILLISECOND, SECOND

ALLOCATION_FRESH = 20 * MILLISECOND  # for which an allocation is reused if demand and capacity are the same
ACCOUNT_KEPT = 60 * SECOND  # for which an idle tenant's slot time is kept
ACCOUNTS_MAX = 1000  # above which idle ones are removed

# Of one front and one source: {tenant: (running fills, waiting requests)}.
FrontDemand = Mapping[int, tuple[int, int]]
# Slot time is kept by (source, tenant), and by (source, tenant, front).
AccountKey = tuple[int, int] | tuple[int, int, str]


class Allotment(NamedTuple):
    """One front's slots of one source: those of each tenant, and spare ones for any tenant."""

    by_tenant: dict[int, int]
    spare: int


Allocation = dict[str, Allotment]  # by front


class CachedAllocation(NamedTuple):
    """An allocation and its inputs."""

    made_at: int
    capacity: int
    demand: dict[str, FrontDemand]
    allocation: Allocation

    def holds(self, capacity: int, demand: dict[str, FrontDemand], now: int) -> bool:
        """Whether it is recent and was made from the same capacity and demand."""
        fresh = now - self.made_at < ALLOCATION_FRESH
        return fresh and (self.capacity, self.demand) == (capacity, demand)


class SlotAllocator:
    """Allocates slots, and accounts for the slot time that tenants have had.

    :ivar slot_time: ns of slot time, divided by the weight; `charged_at`: when the account was last charged.
    """

    def __init__(self, settings: QuotaSettings) -> None:
        self.settings = settings
        self.slot_time: dict[AccountKey, int] = {}
        self.charged_at: dict[AccountKey, int] = {}
        self.cached: dict[int, CachedAllocation] = {}

    def charge(self, front: str, sources: list[SourceDemand], elapsed: int, now: int) -> None:
        """Charge `elapsed` ns of the slots that one front uses to its tenants, by weight, and to the front itself."""
        for row in sources:
            for tenant, using, _ in row.tenants:
                weight = self.settings.tenants[tenant].weight
                self._charge_account((row.source, tenant), using * elapsed // weight, now)
                self._charge_account((row.source, tenant, front), using * elapsed, now)
        if len(self.charged_at) > ACCOUNTS_MAX:
            for key in [key for key, at in self.charged_at.items() if now - at > ACCOUNT_KEPT]:
                del self.slot_time[key], self.charged_at[key]

    def _charge_account(self, key: AccountKey, amount: int, now: int) -> None:
        if now - self.charged_at.get(key, -ACCOUNT_KEPT) > LEASE_DURATION:
            # It was idle: it starts at the least slot time of the active accounts, so that it has no credit.
            active = [
                self.slot_time[other]
                for other, at in self.charged_at.items()
                if len(other) == len(key) and other[:-1] == key[:-1] and now - at <= LEASE_DURATION
            ]
            self.slot_time[key] = max(self.slot_time.get(key, 0), min(active, default=0))
        self.slot_time[key] = self.slot_time.get(key, 0) + amount
        self.charged_at[key] = now

    def used_time(self, source: int, tenant: int) -> int:
        """Return the slot time that a tenant has had at a source, divided by its weight."""
        return self.slot_time.get((source, tenant), 0)

    def forget_unlisted_sources(self) -> None:
        """Drop the allocations of sources that are no longer listed."""
        for source in [one for one in self.cached if one not in self.settings.slots]:
            del self.cached[source]

    def allocate(self, source: int, capacity: int, demand: dict[str, FrontDemand], now: int) -> Allocation:
        """Return each front's slots of a source; reused for ALLOCATION_FRESH while demand and capacity are the same."""
        cached = self.cached.get(source)
        if cached is not None and cached.holds(capacity, demand, now):
            return cached.allocation
        former = cached.allocation if cached is not None else {}
        allocation = self.divide(source, capacity, demand, former)
        self.cached[source] = CachedAllocation(now, capacity, demand, allocation)
        return allocation

    def divide(
        self, source: int, capacity: int, demand: dict[str, FrontDemand], former: Allocation
    ) -> Allocation:
        """Compute a new allocation of `capacity` slots; `former` is the previous one.

        A slot stays where it is until another tenant or front is behind by one lease duration: each move leaves the
        slot idle for a while, and without that tolerance all slots would move at each request.
        """
        by_tenant, remaining = self._by_tenant(source, capacity, demand, former)
        allocation = {name: Allotment({}, 0) for name in sorted(demand)}
        for tenant, slots in by_tenant.items():
            by_front = self._by_front(source, tenant, slots, demand, former)
            for name, count in by_front.items():
                if count:
                    allocation[name].by_tenant[tenant] = count
        names = sorted(demand)
        for index in range(remaining if names else 0):
            name = names[(index + source) % len(names)]
            allotment = allocation[name]
            allocation[name] = allotment._replace(spare=allotment.spare + 1)
        return allocation

    def _by_tenant(
        self, source: int, capacity: int, demand: dict[str, FrontDemand], former: Allocation
    ) -> tuple[dict[int, int], int]:
        """Return ({tenant: slots}, slots without demand): floors first, then one at a time by least slot time."""
        held: dict[int, int] = {}
        for by_tenant, _ in former.values():
            for tenant, slots in by_tenant.items():
                held[tenant] = held.get(tenant, 0) + slots
        wanted: dict[int, int] = {}
        for front_demand in demand.values():
            for tenant, (using, waiting) in front_demand.items():
                wanted[tenant] = wanted.get(tenant, 0) + using + waiting
        given = dict.fromkeys(wanted, 0)
        remaining = capacity
        for tenant in sorted(wanted):
            given[tenant] = min(wanted[tenant], self.settings.tenants[tenant].floor, remaining)
            remaining -= given[tenant]

        def order(tenant: int) -> tuple[int, int]:
            # Slots of the next lease count as used already: otherwise a tenant slightly behind would get all of them.
            new_slots = given[tenant] - (given[tenant] < held.get(tenant, 0))
            next_lease = new_slots * LEASE_DURATION // self.settings.tenants[tenant].weight
            return self.used_time(source, tenant) + next_lease, tenant

        while remaining:
            unsatisfied = [tenant for tenant in sorted(wanted) if given[tenant] < wanted[tenant]]
            if not unsatisfied:
                break
            given[min(unsatisfied, key=order)] += 1
            remaining -= 1
        return given, remaining

    def _by_front(
        self, source: int, tenant: int, slots: int, demand: dict[str, FrontDemand], former: Allocation
    ) -> dict[str, int]:
        """Return {front: slots} of a tenant: first where its fills run, then where it has had the least slot time."""
        rows = {name: one[tenant] for name, one in sorted(demand.items()) if tenant in one}
        given = dict.fromkeys(rows, 0)
        held = {name: former[name].by_tenant.get(tenant, 0) if name in former else 0 for name in rows}

        def order(name: str) -> tuple[bool, int, str]:
            using, _ = rows[name]
            used = self.slot_time.get((source, tenant, name), 0)
            new_slots = given[name] - (given[name] < held[name])
            return given[name] >= using, used + new_slots * LEASE_DURATION, name

        for _ in range(slots):
            unsatisfied = [name for name in rows if given[name] < sum(rows[name])]
            given[min(unsatisfied, key=order)] += 1
        return given
