"""Fill source selection: where a cache fetches a missing object from: a sibling, a parent or the origin.

Fills are throttled by the share that is on time: if the origin responds late, fewer requests may go to it.
"""

from collections import Counter, deque
from collections.abc import Sequence
from itertools import islice
from typing import TYPE_CHECKING

from sprucegate.routing.digest import RECHECK_MARGIN_NS, Digest, ObjectRecord
from sprucegate.routing.hashing import HashRandom
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.routing.settings import RoutingSettings
from sprucegate.routing.slow_start import SlowStart
from sprucegate.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from sprucegate.routing.request import RequestState

FILLS_KEPT = 256  # latest fills of all sources, for the on-time ratios
FILL_AGE_MAX_NS = 3 * SECOND  # since the start of a fill: older ones don't count in the on-time ratios
ON_TIME_RATIOS_AGE_MAX_NS = 20 * MILLISECOND  # then the fills are counted again
PRIOR_FILLS = 4  # weight of the overall ratio, in fills, when it is combined with a source's own
MIN_ON_TIME_RATIO = 0.7
PARENTS_COMPARED = 32  # first usable parents in rendezvous order; further ones are not considered
THROTTLE_RATIO = 1.3  # the share of fills allowed is this multiple of the origin's on-time ratio
FILL_SHARE_MIN = 0.15  # even a late fill leaves a copy for later requests


class Fill:
    """One fill requested from a source.

    :ivar source: the server that its result is attributed to.
    :ivar started_at: when the attempt was sent.
    :ivar due_at: when it becomes late.
    :ivar on_time: whether it was on time, None while it is in flight or if that can't be told.
    """

    __slots__ = ("source", "started_at", "due_at", "on_time")

    def __init__(self, source: Server, started_at: int, due_at: int, on_time: bool | None = None) -> None:
        self.source = source
        self.started_at = started_at
        self.due_at = due_at
        self.on_time = on_time

    def disregard(self) -> None:
        """Exclude the fill from the statistics of its source."""
        self.due_at = -LONG_AGO  # later than all times: it never becomes late
        self.on_time = None


class FillSourceSelector:
    """Chooses the source of a fill, and decides whether the fill may be made.

    :ivar fills: the most recent fills of all sources.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        registry: ServerRegistry,
        digest: Digest,
        slow_start: SlowStart,
        random: HashRandom,
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.digest = digest
        self.slow_start = slow_start
        self.random = random
        self.fills: deque[Fill] = deque(maxlen=FILLS_KEPT)
        self._counted_at = LONG_AGO
        self._ended: Counter[int] = Counter()
        self._on_time: Counter[int] = Counter()

    def on_time_ratios(self, sources: Sequence[Server], now: int) -> list[float]:
        """Share of each source's recent fills that were on time.

        The ratio of a source with few fills is drawn towards the overall ratio: (on time + PRIOR_FILLS *
        overall ratio) / (fills + PRIOR_FILLS).
        """
        if now - self._counted_at >= ON_TIME_RATIOS_AGE_MAX_NS:
            self._count_on_time(now)
        overall_ratio = (self._on_time.total() + 1) / (self._ended.total() + 1)
        return [
            (self._on_time[source.index] + PRIOR_FILLS * overall_ratio)
            / (self._ended[source.index] + PRIOR_FILLS)
            for source in sources
        ]

    def _count_on_time(self, now: int) -> None:
        ended = [
            fill
            for fill in self.fills
            if now - fill.started_at < FILL_AGE_MAX_NS and (fill.on_time is not None or fill.due_at <= now)
        ]
        self._counted_at = now
        self._ended = Counter([fill.source.index for fill in ended])
        self._on_time = Counter([fill.source.index for fill in ended if fill.on_time])

    def sibling(
        self, state: "RequestState", record: ObjectRecord, cache: Server, now: int
    ) -> tuple[Server | None, bool]:
        """A sibling of `cache` that is believed to hold the object, or None; and whether to recheck.

        A belief that expires soon is rechecked: the sibling may only return a cached copy.
        """
        allowed = self.settings.siblings
        for server, expires_at in self.digest.valid_beliefs(state.request, record, now).items():
            near = allowed == "location" and server.entry.location == cache.entry.location
            if (
                server is not cache
                and server.index not in state.failed_servers
                and (near or allowed == "any")
                and max(server.source_health.ejected_until, server.cache_health.ejected_until) <= now
                and self.slow_start.has_budget(server, state.request.delivery_service, now)
            ):
                return server, expires_at - now <= RECHECK_MARGIN_NS
        return None, False

    def parent_or_origin(self, state: "RequestState", now: int) -> tuple[Server | None, bool]:
        """The first parent in rendezvous order, or else the origin, whose fills are on time; and whether the
        fill may fetch from the origin.

        If no source reaches MIN_ON_TIME_RATIO, the one with the best ratio is chosen. If the origin's ratio
        is the worst, however, the parents are not the cause, and the first parent is kept. A throttled
        request may still ask a parent for a cached copy, but not the origin: it holds every object, and
        asking it would be the very fetch that throttling avoids.
        """
        order = self._parents_then_origins(state, now)
        ratios = self.on_time_ratios(order, now) or [0]
        position = next(
            (at for at, ratio in enumerate(ratios) if ratio >= MIN_ON_TIME_RATIO), ratios.index(max(ratios))
        )
        origin_ratio = ratios[-1]
        if ratios[position] < MIN_ON_TIME_RATIO and origin_ratio <= min(ratios):
            position = 0
        chosen = order[position] if order else None
        if chosen is None:
            return None, False
        if self.random.next_float(state.request.id) < max(FILL_SHARE_MIN, THROTTLE_RATIO * origin_ratio):
            return chosen, True
        if chosen.role != "origin":
            return chosen, False
        return next((server for server in order if server.role != "origin"), None), False

    def _parents_then_origins(self, state: "RequestState", now: int) -> list[Server]:
        request = state.request
        record = self.digest.record_of(request, now)
        ranked = self.registry.ranked(record.rankings, "parent", request.object.to_bytes(8, "big"))
        usable = (
            parent
            for parent in ranked
            if max(parent.source_health.ejected_until, parent.unreachable_until) <= now
            and parent.index not in state.failed_servers
            and self.slow_start.has_budget(parent, request.delivery_service, now)
        )
        return [*islice(usable, PARENTS_COMPARED), *self.registry.group("origin")]
