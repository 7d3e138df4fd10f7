"""Invalidation: purges of objects and groups, and the maximum age of usable copies.

A purge is kept until every cache has applied it and no belief or stored response from before it can remain.
"""

import heapq

from sprucegate.routing.events import Request
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MICROSECOND, SECOND

CACHED_RESPONSE_AGE_MAX_NS = 30 * SECOND
# The platform holds a front to a purge from this long after it, whether the event bus delivered it or not.
PURGE_DELIVERY_MAX_NS = 7 * SECOND
EXPIRED_PER_CALL_MAX = 4  # bounds the duration of a call when many purges expire at once
MAX_AGE_MIN_NS = MICROSECOND  # 0 would mean the freshness lifetime
UNLIMITED_AGE_NS = 1 << 62

PurgeKey = tuple[str, int]


class InvalidationLog:
    """Purges that have not expired.

    :ivar purges: time of the last purge by ("object" or "group", identifier).
    :ivar by_age: heap of (time, key).
    :ivar received_until: purges up to then have been received, None if all are received as they are issued.
    :ivar skipped_after: a purge later than this and up to `skipped_until` may have been skipped, because its
        event could not be read.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.purges: dict[PurgeKey, int] = {}
        self.by_age: list[tuple[int, PurgeKey]] = []
        self.received_until: int | None = None
        self.skipped_after = self.skipped_until = LONG_AGO

    def invalidate(self, identifier: int, group: int, age: int, now: int) -> None:
        """Record a purge, issued `age` ns ago, of an object or, if `identifier` is negative, of a group."""
        self._expire_old(now)
        key = ("object", identifier) if identifier >= 0 else ("group", group)
        self.purges[key] = max(now - age, self.purges.get(key, LONG_AGO))
        heapq.heappush(self.by_age, (self.purges[key], key))

    def skip(self, now: int) -> None:
        """Record that a purge issued up to `now` may have been skipped."""
        if now - self.skipped_until > self._lifetime():
            self.skipped_after = now if self.received_until is None else self.received_until
        self.skipped_until = now

    def _lifetime(self) -> int:
        # Beliefs and stored responses may outlive the purged copies at the caches.
        return self.settings.purge_done + CACHED_RESPONSE_AGE_MAX_NS

    def _expire_old(self, now: int) -> None:
        for _ in range(EXPIRED_PER_CALL_MAX):
            if not self.by_age or now - self.by_age[0][0] <= self._lifetime():
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

    def latest_missed(self, now: int) -> int:
        """When the last purge that binds this front, and that it may have missed, can have been issued (ns).

        A purge binds PURGE_DELIVERY_MAX_NS after it was issued. LONG_AGO if none can have been missed.
        """
        binding_until = now - PURGE_DELIVERY_MAX_NS
        if self.received_until is not None and self.received_until < binding_until:
            return binding_until
        return min(self.skipped_until, binding_until) if self.skipped_after < binding_until else LONG_AGO

    def may_predate_missed(self, generated_at: int, requested_at: int, now: int) -> bool:
        """Whether a copy may be older than a purge that binds this front and that it may have missed.

        No server returns a copy from before a purge to a request sent `purge_done` or more after that purge.

        :param generated_at: when the copy was generated (ns).
        :param requested_at: when it was requested from its server (ns).
        """
        latest_missed = self.latest_missed(now)
        return generated_at < latest_missed and requested_at - self.settings.purge_done < latest_missed

    def sendable_at(self, request: Request, age_unit: int, now: int) -> int:
        """When a request may be sent to a server that is told the oldest age in whole `age_unit`s (ns).

        Such a server takes a copy for up to a unit younger than it is. A limit below one unit can't be told
        to it: it could return a copy from before the purge. Within the purge grace that is allowed.
        """
        invalidated_at = self.invalidated_at(request)
        if now < invalidated_at + self.settings.purge_grace:
            return now
        return max(now, invalidated_at + age_unit + self.settings.tick)

    def max_age(self, request: Request, allow_stale: bool, now: int, age_unit: int = 0) -> int:
        """Maximum age of an acceptable copy (ns); 0 stands for the freshness lifetime.

        `allow_stale` adds the grace time (RFC 5861, section 4). After a purge only copies younger than the
        purge are acceptable, less one tick, as the platform rounds times. So it is after purges that may have
        been missed, where servers may still hold copies from before them. A limit told in whole `age_unit`s
        excludes some copies from after the purge too, so it ends once no server holds older ones.
        """
        service = request.delivery_service
        fresh: int = self.settings.of_service("fresh_time", service, 0)
        limit: int = (
            fresh + self.settings.of_service("grace_time", service, 0) if allow_stale and fresh else 0
        )
        invalidated_at = self.invalidated_at(request)
        if age_unit and 0 < self.settings.purge_done < now - invalidated_at:
            invalidated_at = LONG_AGO
        if self.may_predate_missed(LONG_AGO, now, now):
            invalidated_at = max(invalidated_at, self.latest_missed(now))
        if invalidated_at > LONG_AGO:
            since_purge = max(MAX_AGE_MIN_NS, now - invalidated_at - self.settings.tick)
            limit = min(since_purge, limit or fresh or since_purge)
        return limit
