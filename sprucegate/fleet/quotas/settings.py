"""The operator's settings of quotas, and the protocol's durations, in ns of a monotonic clock."""

from typing import NamedTuple

from sprucegate.units import MILLISECOND, SECOND

LEASE_DURATION = 400 * MILLISECOND  # as the borrower counts it, from its request on; the lender counts longer
PROMISE_MARGIN = 60 * MILLISECOND  # by which the party that gave a promise keeps it longer
CLOCK_DRIFT_DIVISOR = 1000  # two clocks may drift apart by one ns in this many
REQUEST_GAP_MAX = SECOND  # between two requests of a front, while its floor stays lent
REQUEST_INTERVAL = 50 * MILLISECOND  # of a front with demand, in a small fleet
SMALL_FLEET_SIZE = 25  # fronts up to which `request_interval` is constant
DEFAULT_WAITING_MAX = 200  # requests of one tenant that may wait for one source
COMMON_TENANT = 0  # index of the tenant for clients that name no listed one


class Tenant(NamedTuple):
    """The settings of one tenant.

    :ivar weight: its share of a source's slot time relative to the other tenants' weights.
    :ivar floor: slots of a source that it is granted before other tenants, as far as it has demand.
    """

    weight: int
    floor: int


class QuotaSettings(NamedTuple):
    """The settings of the quotas, which have to be the same on all fronts of a fleet.

    :ivar tenants: by index, the common one first.
    :ivar fronts: names of all fronts that may exist, in the same order everywhere.
    :ivar slots: {source: fills that it runs at once}; the component updates it with the list of servers.
    :ivar fill_time_max: the longest that a fill may take, ns.
    :ivar waiting_max: requests of one tenant that may wait for one source.
    """

    tenants: tuple[Tenant, ...]
    fronts: tuple[str, ...]
    slots: dict[int, int]
    fill_time_max: int
    waiting_max: int = DEFAULT_WAITING_MAX

    def floor(self, name: str, source: int) -> int:
        """Return a front's guaranteed slots; over all fronts they add up to the slots of the source."""
        count = self.slots.get(source, 0)
        if name not in self.fronts:
            return 0
        size = len(self.fronts)
        # Rotated by source: with few slots it is not always the same fronts that have none.
        position = (self.fronts.index(name) + source) % size
        return count * (position + 1) // size - count * position // size

    @property
    def floor_waiver(self) -> int:
        """For how long (ns) a request waives the sender's floors in favour of the lease holder."""
        return LEASE_DURATION + self.fill_time_max + REQUEST_GAP_MAX + PROMISE_MARGIN


def request_interval(fleet_size: int) -> int:
    """Return the ns between two requests of a front with demand.

    It grows with the fleet, so that a lease holder never receives more requests than in a fleet of SMALL_FLEET_SIZE.
    """
    if fleet_size <= SMALL_FLEET_SIZE:
        return REQUEST_INTERVAL
    return REQUEST_INTERVAL * fleet_size // SMALL_FLEET_SIZE


def promise_duration(duration: int) -> int:
    """Return how long the party that gave a promise has to keep it: longer than the other party relies on it."""
    return duration + PROMISE_MARGIN + duration // CLOCK_DRIFT_DIVISOR
