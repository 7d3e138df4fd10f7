"""Cache selection: which cache a request is sent to.

Weighted rendezvous hashing sends all requests for an object to one cache, and those for a hot object to up to
three. A cache that is not expected to answer in time is skipped.
"""

from collections.abc import Iterator
from itertools import chain, islice
from math import sqrt
from typing import TYPE_CHECKING

from sprucegate.routing.digest import COUNTING_INTERVAL_NS, ObjectRecord
from sprucegate.routing.events import Request
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.outlier_detection import OutlierDetector
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.routing.slow_start import SlowStart

if TYPE_CHECKING:
    from sprucegate.routing.request import RequestState

WIDTH_MAX = 3
HOT_SHARE = 0.25  # of the average work per cache
TIME_LEFT_RATIO = 0.75  # of the time left; the rest is for requests that will share the link later
FALLBACK_CACHES_MAX = 128  # further caches searched for one that is expected to answer in time


def object_key(request: Request) -> bytes:
    """The rendezvous hashing key of an object's part."""
    return request.object.to_bytes(8, "big") + request.part.to_bytes(4, "big")


class CacheSelector:
    """Chooses among the caches at this location."""

    def __init__(
        self, registry: ServerRegistry, load: LoadEstimator, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        self.registry = registry
        self.load = load
        self.slow_start = slow_start
        self.outliers = outliers

    def width(self, request: Request, record: ObjectRecord, caches: int, now: int) -> int:
        """How many caches the requests for an object are spread over, from 1 to WIDTH_MAX.

        Two if the object's work exceeds HOT_SHARE of the average work per cache, three if it exceeds twice
        that. Two standard deviations (Poisson) are subtracted from the request count, as one router of many
        sees few requests.

        :param caches: number of usable caches.
        """
        requests = sum(record.counts[:2])
        requests_min = requests - 2 * sqrt(requests)
        share = requests_min * self.load.sending_time(request) / (2 * COUNTING_INTERVAL_NS) * caches
        hot = HOT_SHARE * self.load.rate(now)
        return 1 + (share > hot > 0) + (share > 2 * hot > 0)

    def select(self, state: "RequestState", record: ObjectRecord, now: int) -> tuple[Server | None, bool]:
        """The cache for a request, or None; and whether it is expected to answer in time."""
        request = state.request
        excluded = self.outliers.excluded(now)
        first, others = self._candidates(state, record, excluded, now)
        if not first:
            return None, False
        usable = len(self.registry.group("cache")) - len(excluded)
        spread = first[: self.width(request, record, usable, now)]
        best = spread[0] if len(spread) == 1 else min(spread, key=lambda cache: _load_order(cache, now))
        time_left = TIME_LEFT_RATIO * (state.objective_at - now)
        slowness_max = max(1.0, time_left / max(1, self.load.sending_time(request)))
        if best.expected_slowness(now) <= slowness_max:
            return best, True
        for cache in chain(first, islice(others, FALLBACK_CACHES_MAX)):
            if cache.expected_slowness(now) <= slowness_max:
                return cache, True
        return best, False

    def _candidates(
        self, state: "RequestState", record: ObjectRecord, excluded: set[int], now: int
    ) -> tuple[list[Server], Iterator[Server]]:
        """The first WIDTH_MAX caches for the object, and an iterator over further ones.

        Caches that already failed the request are candidates only if there is no other.
        """
        request = state.request
        key = object_key(request)
        others = self._available(record, key, excluded | state.failed_servers, request.delivery_service, now)
        first: list[Server] = self.registry.ranking(record.rankings, "cache", key).nodes[:WIDTH_MAX]
        if excluded or state.failed_servers or any([cache.started for cache in first]):
            first = list(islice(others, WIDTH_MAX))
        if not first and state.failed_servers:
            others = self._available(record, key, excluded, request.delivery_service, now)
            first = list(islice(others, WIDTH_MAX))
        return first, others

    def _available(
        self, record: ObjectRecord, key: bytes, excluded: set[int], delivery_service: int, now: int
    ) -> Iterator[Server]:
        """Caches that may receive a request now, in rendezvous order for the key."""
        for cache in self.registry.ranked(record.rankings, "cache", key):
            if cache.index not in excluded and (
                not cache.started or self.slow_start.has_budget(cache, delivery_service, now)
            ):
                yield cache


def _load_order(cache: Server, now: int) -> tuple[float, float]:
    return cache.expected_slowness(now), cache.requests_in_flight(now) / cache.entry.weight
