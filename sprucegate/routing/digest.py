"""Digest: which sibling caches are believed to hold an object, learnt from the router's own attempts.

The mechanism of Tumuluri's thesis on implicit cache digests: nobody sends digests. A cache that served or
filled an object is believed to hold it until the belief expires. The expiry follows the trend of the
object's request rate, as a cache evicts what is asked for ever less.
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
RETRY_AFTER_REJECTION_NS = 2 * SECOND  # a request so soon after a rejection is its retry
EVICTION_THRESHOLD = 0.5  # requests in a span below which a cache is taken to evict an object
BELIEF_LIFETIME_MAX_NS = 8 * SECOND
RECHECK_MARGIN_NS = SECOND
ROUND_TRIP_NS = 2 * MILLISECOND  # inside a location, at most
OBJECTS_MAX = 4096
SENDING_TIMES_PER_OBJECT = 8


class Belief(NamedTuple):
    """That one cache holds an object: until when, since when, and the start of the cache's process (ns)."""

    expires_at: int
    since: int
    server_started: int


class ObjectRecord:
    """What the router remembers of one part of an object.

    :ivar interval: number of the current counting span.
    :ivar counts: requests in the current span and in those before, the current one first.
    :ivar rejected_at: when the last request for it was given up, if none came since.
    :ivar returned: whether it was ever returned, so that it exists.
    :ivar beliefs: by server index.
    :ivar rankings: first servers for its key, by role.
    :ivar sending_times: last ones (ns) of all parts of the object; the least tells a part's size.
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
        """Start the counts of a new span."""
        elapsed = interval - self.interval
        if elapsed > 0:
            self.counts = ([0] * min(INTERVALS_COUNTED, elapsed) + self.counts)[:INTERVALS_COUNTED]
            self.interval = interval

    def belief_lifetime(self) -> int:
        """How long a new belief is valid (ns): until the line through the last two spans meets the threshold.

        Bounded by BELIEF_TIME_MAX_NS. A fall within the noise of counting (Poisson) is no trend.
        """
        _, newer, older = self.counts
        if older - newer <= sqrt(older + newer):
            return BELIEF_LIFETIME_MAX_NS
        until_evicted = (newer - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / (older - newer) - ROUND_TRIP_NS
        return int(max(0, min(BELIEF_LIFETIME_MAX_NS, until_evicted)))


class Digest:
    """Records of the objects asked for last, the least recently used one giving way to a new one.

    :ivar records: the table; `position_of` maps (object, part) to a position in it, the latest last.
    :ivar sending_times: by object, shared by the records of its parts.
    """

    def __init__(self, registry: ServerRegistry, invalidations: InvalidationLog) -> None:
        self.registry = registry
        self.invalidations = invalidations
        self.records: list[ObjectRecord] = []
        self.position_of: OrderedDict[tuple[int, int], int] = OrderedDict()
        self.sending_times: OrderedDict[int, deque[int]] = OrderedDict()

    def record_of(self, request: Request | BeliefGossip, now: int) -> ObjectRecord:
        """The record of what is asked for, a new one if there is none; it becomes the latest."""
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
        is_full = len(self.records) >= OBJECTS_MAX
        position = self.position_of.popitem(last=False)[1] if is_full else len(self.records)
        # Parts of one object are alike in size, and each alone is asked for too seldom to tell it.
        # An empty one is shared as well: the next part is asked for before the first has come back.
        sending_times = self.sending_times.pop(identifier, None)
        if sending_times is None:
            sending_times = deque(maxlen=SENDING_TIMES_PER_OBJECT)
        self.records[position : position + 1] = [ObjectRecord(interval, sending_times)]
        self.sending_times[identifier] = sending_times
        if len(self.sending_times) > OBJECTS_MAX:
            self.sending_times.popitem(last=False)
        return position

    def may_add(self, request: Request | BeliefGossip) -> bool:
        """Whether a record exists, or can be added without taking another one's place."""
        return (request.object, request.part) in self.position_of or len(self.records) < OBJECTS_MAX

    def count(self, record: ObjectRecord, repeat: bool, now: int) -> None:
        """Count a request. Retries by the client are not demand; unmarked ones follow a rejection soon."""
        record.counts[0] += not repeat and now - record.rejected_at > RETRY_AFTER_REJECTION_NS
        record.rejected_at = LONG_AGO

    def add_belief(self, record: ObjectRecord, server: Server, now: int) -> None:
        """From now on the server is believed to hold the object."""
        record.beliefs[server.index] = Belief(now + record.belief_lifetime(), now, server.started)

    def valid_beliefs(self, request: Request, record: ObjectRecord, now: int) -> dict[Server, int]:
        """Servers believed to hold the object with the belief's expiry (ns), the longest first.

        A restart of the server or an invalidation since then voids a belief.
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
