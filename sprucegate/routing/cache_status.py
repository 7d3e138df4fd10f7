"""Groups of cache statuses that routing decisions treat the same way."""

from sprucegate.routing.events import CacheStatus

HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT)
FILLS = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)
FILL_SOURCE_FAULTS = (
    CacheStatus.FILL_SOURCE_REFUSED,
    CacheStatus.FILL_SOURCE_BROKEN,
    CacheStatus.ORIGIN_FAILED,
)
