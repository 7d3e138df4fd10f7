"""Digest: which sibling caches are believed to hold an object, learned from the router's own attempts.

An implicit cache digest as in Tumuluri's thesis: caches send no digests. A cache that served or filled an
object is believed to hold it until the belief expires. The expiry follows the trend of the object's request
rate, as caches evict objects with a falling rate.
"""

from collections import OrderedDict, deque
from math import sqrt
from typing import NamedTuple

from sprucegate.routing.events import BeliefGossip, EndpointState, Request
from sprucegate.routing.invalidation import InvalidationLog
from sprucegate.routing.rendezvous import Ranking
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.units import MILLISECOND, SECOND

COUNTING_INTERVAL_NS = 2 * SECOND
INTERVALS_COUNTED = 3
RETRY_AFTER_REJECTION_NS = 2 * SECOND  # a request so soon after a rejection is taken to be its retry
EVICTION_THRESHOLD = 0.5  # requests per interval below which a cache is assumed to evict an object
BELIEF_LIFETIME_MAX_NS = 8 * SECOND
RECHECK_MARGIN_NS = SECOND
ROUND_TRIP_NS = 2 * MILLISECOND  # upper bound inside a location
OBJECTS_MAX = 4096
SENDING_TIMES_PER_OBJECT = 8  # latest ones kept, of all parts of the object


class Belief(NamedTuple):
    """Belief that a cache holds an object: expiry, time of its evidence, start of the cache process (ns)."""

    expires_at: int
    since: int
    server_started: int


class ObjectRecord:
    """What the router remembers of one part of an object.

    :ivar interval: number of the current counting interval.
    :ivar counts: requests in the current interval and those before it, the latest first.
    :ivar rejected_at: when the last request for it was given up, LONG_AGO if another one came since.
    :ivar returned: whether it was ever returned, which proves that it exists.
    :ivar beliefs: by server index.
    :ivar rankings: first servers for its key, by role.
    :ivar sending_times: recent sending times (ns) of all parts of the object; the shortest indicates the size
        of a part.
    """

    __slots__ = ("interval", "counts", "rejected_at", "returned", "beliefs", "rankings", "sending_times")

    def __init__(self, interval: int, sending_times: deque[int] | None = None) -> None:
        self.interval = interval
        self.counts = [0] * INTERVALS_COUNTED
        self.rejected_at = LONG_AGO
        self.returned = False
        self.beliefs: dict[int, Belief] = {}
        self.rankings: dict[str, Ranking] = {}
        self.sending_times: deque[int] = deque() if sending_times is None else sending_times

    def advance(self, interval: int) -> None:
        """Shift the counts to a new interval."""
        elapsed = interval - self.interval
        if elapsed > 0:
            self.counts = ([0] * min(INTERVALS_COUNTED, elapsed) + self.counts)[:INTERVALS_COUNTED]
            self.interval = interval

    def belief_lifetime(self) -> int:
        """How long a new belief is valid (ns), at most BELIEF_LIFETIME_MAX_NS.

        It expires when the counts of the last two full intervals, extrapolated linearly, reach the eviction
        threshold. A decrease within one standard deviation of the counts (Poisson) is not a trend.
        """
        _, newer, older = self.counts
        if older - newer <= sqrt(older + newer):
            return BELIEF_LIFETIME_MAX_NS
        until_evicted = (newer - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / (older - newer) - ROUND_TRIP_NS
        return int(max(0, min(BELIEF_LIFETIME_MAX_NS, until_evicted)))


class Digest:
    """LRU table of the records of recently requested objects, `objects_max` at most.

    :ivar records: the table; `position_of` maps (object, part) to a position in it, the latest last.
    :ivar sending_times: by object, shared by the records of its parts.
    """

    def __init__(
        self, registry: ServerRegistry, invalidations: InvalidationLog, objects_max: int = OBJECTS_MAX
    ) -> None:
        self.registry = registry
        self.invalidations = invalidations
        self.objects_max = objects_max
        self.records: list[ObjectRecord] = []
        self.position_of: OrderedDict[tuple[int, int], int] = OrderedDict()
        self.sending_times: OrderedDict[int, deque[int]] = OrderedDict()

    def record_of(self, request: Request | BeliefGossip, now: int) -> ObjectRecord:
        """The record of an object's part, created if there is none; it becomes the most recently used."""
        key = (request.object, request.part)
        position = self.position_of.pop(key, None)
        interval = now // COUNTING_INTERVAL_NS
        if position is None:
            position = self._add(request.object, interval)
        self.position_of[key] = position
        record = self.records[position]
        record.advance(interval)
        return record

    def _add(self, identifier: int, interval: int) -> int:
        is_full = len(self.records) >= self.objects_max
        position = self.position_of.popitem(last=False)[1] if is_full else len(self.records)
        # Parts of one object have similar sizes, and one part alone is requested too rarely to estimate its
        # size. An empty list is shared too: the next part is requested before the first one has returned.
        sending_times = self.sending_times.pop(identifier, None)
        if sending_times is None:
            sending_times = deque(maxlen=SENDING_TIMES_PER_OBJECT)
        self.records[position : position + 1] = [ObjectRecord(interval, sending_times)]
        self.sending_times[identifier] = sending_times
        if len(self.sending_times) > self.objects_max:
            self.sending_times.popitem(last=False)
        return position

    def may_add(self, request: Request | BeliefGossip) -> bool:
        """Whether a record exists or can be added without evicting another one."""
        return (request.object, request.part) in self.position_of or len(self.records) < self.objects_max

    def count(self, record: ObjectRecord, repeat: bool, now: int) -> None:
        """Count a request, except for client retries: marked ones, and any soon after a rejection."""
        record.counts[0] += not repeat and now - record.rejected_at > RETRY_AFTER_REJECTION_NS
        record.rejected_at = LONG_AGO

    def add_belief(self, record: ObjectRecord, server: Server, now: int) -> None:
        """Record the belief that the server holds the object from now on."""
        record.beliefs[server.index] = Belief(now + record.belief_lifetime(), now, server.started)

    def valid_beliefs(self, request: Request, record: ObjectRecord, now: int) -> dict[Server, int]:
        """Servers believed to hold the object, with the expiry of each belief (ns), the latest expiry first.

        A belief is void if the server restarted or the object was invalidated since.
        """
        invalidated_at = self.invalidations.invalidated_at(request)
        servers = self.registry.servers
        valid = [
            (-expires_at, index)
            for index, (expires_at, since, server_started) in record.beliefs.items()
            if expires_at > now
            and since > invalidated_at
            and (server := servers.get(index))
            and server_started == server.started
            and server.entry.state is EndpointState.SERVING
        ]
        record.beliefs = {index: record.beliefs[index] for _, index in valid}
        return {servers[index]: -expires_at for expires_at, index in sorted(valid)}
