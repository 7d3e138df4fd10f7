"""Invalidation: purges of objects and groups, and the maximum age of usable copies.

A purge is kept until every cache has applied it and no belief or stored response from before it can remain.
"""

import heapq

from sprucegate.routing.events import Request
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MICROSECOND, SECOND

CACHED_RESPONSE_AGE_MAX_NS = 30 * SECOND
EXPIRED_PER_CALL_MAX = 4  # bounds the duration of a call when many purges expire at once
MAX_AGE_MIN_NS = MICROSECOND  # 0 would mean the freshness lifetime
UNLIMITED_AGE_NS = 1 << 62

PurgeKey = tuple[str, int]


class InvalidationLog:
    """Purges that have not expired.

    :ivar purges: time of the last purge by ("object" or "group", identifier).
    :ivar by_age: heap of (time, key).
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.purges: dict[PurgeKey, int] = {}
        self.by_age: list[tuple[int, PurgeKey]] = []

    def invalidate(self, identifier: int, group: int, age: int, now: int) -> None:
        """Record a purge, issued `age` ns ago, of an object or, if `identifier` is negative, of a group."""
        self._expire_old(now)
        key = ("object", identifier) if identifier >= 0 else ("group", group)
        self.purges[key] = max(now - age, self.purges.get(key, LONG_AGO))
        heapq.heappush(self.by_age, (self.purges[key], key))

    def _expire_old(self, now: int) -> None:
        # Beliefs and stored responses may outlive the purged copies at the caches.
        lifetime = self.settings.purge_done + CACHED_RESPONSE_AGE_MAX_NS
        for _ in range(EXPIRED_PER_CALL_MAX):
            if not self.by_age or now - self.by_age[0][0] <= lifetime:
                break
            at, key = heapq.heappop(self.by_age)
            if self.purges.get(key) == at:
                del self.purges[key]

    def invalidated_at(self, request: Request) -> int:
        """When the object or its group was last purged (ns), LONG_AGO for never."""
        purges = self.purges
        return max(
            purges.get(("object", request.object), LONG_AGO), purges.get(("group", request.group), LONG_AGO)
        )

    def max_age(self, request: Request, allow_stale: bool, now: int) -> int:
        """Maximum age of an acceptable copy (ns); 0 stands for the freshness lifetime.

        `allow_stale` adds the grace time (RFC 5861, section 4). After a purge only copies younger than the
        purge are acceptable, less one tick, as the platform rounds times.
        """
        service = request.delivery_service
        fresh: int = self.settings.of_service("fresh_time", service, 0)
        limit: int = (
            fresh + self.settings.of_service("grace_time", service, 0) if allow_stale and fresh else 0
        )
        invalidated_at = self.invalidated_at(request)
        if invalidated_at > LONG_AGO:
            since_purge = max(MAX_AGE_MIN_NS, now - invalidated_at - self.settings.tick)
            limit = min(since_purge, limit or fresh or since_purge)
        return limit
