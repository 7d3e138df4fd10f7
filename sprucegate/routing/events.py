"""What happens, as the router is told of it: requests, endpoint lists, ends of attempts, gossip.

Nothing is decided here. Times are whole nanoseconds on one clock that the caller supplies, sizes are
kilobytes, identifiers are whole numbers except where a type says otherwise.
"""

from enum import Enum, auto
from typing import NamedTuple


class EndpointState(Enum):
    """State of an endpoint in the endpoint list."""

    SERVING = auto()
    DRAINING = auto()
    GONE = auto()


class AttemptOutcome(Enum):
    """How one attempt ended. The members of NEVER_EXECUTED prove that the request was not executed."""

    RETURNED = auto()
    ERROR = auto()
    TIMED_OUT = auto()
    RESET = auto()
    CANCELLED = auto()

    FULL = auto()
    UNREACHABLE = auto()
    NOT_SENT = auto()
    MISS = auto()

    @property
    def never_executed(self) -> bool:
        """Whether the attempt provably had no effect: any request may be sent again (RFC 9110, 9.2.2)."""
        return self in NEVER_EXECUTED


NEVER_EXECUTED = frozenset(
    {AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT, AttemptOutcome.MISS}
)


class CacheStatus(Enum):
    """How a cache handled a request, in the sense of the Cache-Status header field (RFC 9211).

    UNKNOWN: the cache said nothing. FILLED and FILLED_BY_ORIGIN: the cache lacked the object and fetched it.
    COLLAPSED: the request joined a fill under way. The members from FILL_SOURCE_REFUSED on say why a fill
    failed.
    """

    UNKNOWN = auto()
    HIT = auto()
    FILLED = auto()
    FILLED_BY_ORIGIN = auto()
    COLLAPSED = auto()
    STALE_HIT = auto()
    FILL_SOURCE_REFUSED = auto()
    FILL_SOURCE_BROKEN = auto()
    FILL_SOURCE_MISS = auto()
    FILL_SLOTS_EXHAUSTED = auto()
    ORIGIN_FAILED = auto()


class Endpoint(NamedTuple):
    """A cache, parent or origin as the endpoint list has it.

    `location`, `kind` and `cell` are positions in the platform's own lists; `weight` is a share of capacity;
    `started` is when its process started, in nanoseconds of the platform's clock, 0 where it is not told.
    """

    id: int
    location: int
    kind: int
    cell: int
    state: EndpointState
    weight: float
    started: int


class Request(NamedTuple):
    """A client's request as the proxy read it.

    `object` and `part` identify what is asked for; `group` is an invalidation group, -1 for none;
    `delivery_service` is a position in the settings' service classes; `size` is in kilobytes, 0 if unknown;
    `write` is set for what is not a GET; `repeat` where the client marked a retry; `ttl` is how long the
    client still waits, in nanoseconds.
    """

    id: str
    object: int
    part: int
    group: int
    delivery_service: int
    size: int
    write: bool
    repeat: bool
    ttl: int


class BeliefGossip(NamedTuple):
    """Another router's belief that a cache holds an object.

    `remaining` is how long the belief is still valid and `age` how old its evidence is, in nanoseconds, both
    as of when it was sent.
    """

    object: int
    part: int
    cache: int
    started: int
    remaining: int
    age: int


class EjectionGossip(NamedTuple):
    """A server that another router finds slow or has ejected.

    `slowness` is the median ratio of actual to expected sending time, in thousandths, 0 if unknown;
    `remaining` is how long the ejection still lasts and `age` the time since the last sample of its pace, in
    nanoseconds.
    """

    cache: int
    started: int
    as_source: bool
    remaining: int
    slowness: int
    age: int
