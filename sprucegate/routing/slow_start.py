"""Slow start: limits the work of a server after its start, while it is slow and its cache is empty.

Each router has a token bucket for each server that is warming up. The bucket fills at a share of the work
that warm servers complete, which grows linearly with the server's age; each request takes its expected
sending time. Completed work is the measure because capacity is never reported. Quotas have a ramp of their
own (`fleet/quotas/slots.py`), and maintenance permits wait for the same warm-up times
(`fleet/maintenance_agent.py`).
"""

from collections import deque
from math import ceil
from typing import NamedTuple

from sprucegate.routing.cache_status import HITS
from sprucegate.routing.events import CacheStatus
from sprucegate.routing.hashing import HashRandom
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.routing.settings import RoutingSettings

BUDGET_RATIO_MAX = 1.4  # of its share of the work that warm servers complete
# Both are shares of the work in one window of `fall_time` at which the server fails (`overload`).
OVERLOAD_MARGIN_RATIO = 0.7  # limit of the tokens earned; the rest is for what this router can't see
BURST_RATIO = 0.9  # limit of the tokens earned together with those saved up before
STATUSES_KEPT = 64
PRIOR_FILLS = 8  # fills assumed at first when the share of fills is estimated


class _Ramp(NamedTuple):
    """The slow-start settings of one role; see RoutingSettings."""

    cold_share: float
    warm_time: int
    fall_multiple: float


class SlowStart:
    """Slow-start budgets of all servers that are warming up. The budgets are stored with the servers.

    :ivar statuses: cache statuses of the last responses that reported one.
    """

    def __init__(
        self, settings: RoutingSettings, registry: ServerRegistry, load: LoadEstimator, random: HashRandom
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.load = load
        self.random = random
        self.statuses: deque[CacheStatus] = deque(maxlen=STATUSES_KEPT)
        self._cache_ramp = _Ramp(settings.cold_share, settings.warm_time, settings.fall_multiple)
        self._parent_ramp = _Ramp(
            settings.parent_cold_share, settings.parent_warm_time, settings.parent_fall_multiple
        )

    def spend(self, server: Server, delivery_service: int) -> None:
        """Charge one request of this service to the server's budget."""
        if server.slow_start_budget is not None:
            server.slow_start_budget -= self.load.mean_sending_time(delivery_service)

    def has_budget(self, server: Server, delivery_service: int, now: int) -> bool:
        """Whether the server's budget allows one more request of this service; a warm server has no limit."""
        ramp = self._parent_ramp if server.role == "parent" else self._cache_ramp
        age = self.registry.age(server, now)
        if server.role == "origin" or not server.started or age >= ramp.warm_time:
            return True
        window = self.settings.fall_time
        share = ramp.cold_share + (1 - ramp.cold_share) * max(0, age) / ramp.warm_time
        rate = self._full_rate(server, now)
        overload = ramp.fall_multiple * share * rate * window
        window_budget = min(BUDGET_RATIO_MAX * share * rate * window, OVERLOAD_MARGIN_RATIO * overload)
        cost = max(1, self.load.mean_sending_time(delivery_service))
        burst = max(0, BURST_RATIO * overload - window_budget)
        if not self.load.completions:  # if all servers are cold, no tokens would ever be earned
            window_budget = burst = cost * window / ramp.warm_time
        self._refill(server, window_budget, cost, burst, now)
        return server.slow_start_budget is not None and server.slow_start_budget >= cost

    def _full_rate(self, server: Server, now: int) -> float:
        """Work that a warm server of this weight completes, as the mean number of concurrent transfers.

        The divisor is the largest weight that the group has ever had, as `rate` still counts completions of
        servers that have left since.
        """
        rate = self.load.rate(now) * server.entry.weight / (self.registry.largest_weight[server.role] or 1)
        if server.role != "parent":
            return rate
        fills = PRIOR_FILLS + sum(status not in HITS for status in self.statuses)
        return rate * (fills / (PRIOR_FILLS + len(self.statuses)))

    def _refill(self, server: Server, window_budget: float, cost: int, burst: float, now: int) -> None:
        """Add the tokens earned since the last call to the server's slow-start budget (ns of sending time).

        :param window_budget: tokens earned in one window of `fall_time`.
        :param cost: expected sending time of the current request.
        :param burst: maximum of tokens kept beyond the cost of that request.
        """
        if server.slow_start_budget is None:
            # A random part of one request, as the first requests of many routers at once would overload it.
            server.slow_start_budget = self.random.next_float(server.label.hex()) * cost
            server.slow_start_budget_at = now
        elapsed = now - server.slow_start_budget_at
        tokens = server.slow_start_budget + window_budget * elapsed / self.settings.fall_time
        # Capped, or the tokens that all routers saved up in a quiet period would be spent at once. The cap
        # removes whole requests: with an equal cap all routers would always have a full request available.
        tokens -= cost * max(0, ceil((tokens - cost - burst) / cost))
        server.slow_start_budget = tokens
        server.slow_start_budget_at = now
