"""Types of the router's input: requests, endpoint lists, ends of attempts, gossip.

Times are whole nanoseconds on one clock that the caller supplies, sizes are kilobytes, and identifiers are
whole numbers unless a type says otherwise.
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
        """Whether the attempt provably had no effect: any request may be retried then (RFC 9110, 9.2.2)."""
        return self in NEVER_EXECUTED


NEVER_EXECUTED = frozenset(
    {AttemptOutcome.FULL, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT, AttemptOutcome.MISS}
)


class CacheStatus(Enum):
    """How a cache handled a request, in the sense of the Cache-Status header field (RFC 9211).

    UNKNOWN: the cache reported no status. FILLED and FILLED_BY_ORIGIN: the cache fetched the object on a
    miss. COLLAPSED: the request joined a fill in flight. The members from FILL_SOURCE_REFUSED on are the
    reasons of failed fills.
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
    """An endpoint list entry for a cache, parent or origin.

    `location`, `kind` and `cell` are positions in the platform's own lists; `weight` is its share of the
    capacity; `started` is the start of its process in nanoseconds of the platform's clock, 0 if not reported.
    """

    id: int
    location: int
    kind: int
    cell: int
    state: EndpointState
    weight: float
    started: int


class Request(NamedTuple):
    """A client's request, as parsed by the front.

    `object` and `part` identify the content; `group` is its invalidation group, -1 for none;
    `delivery_service` is a position in the settings' lists of delivery services; `size` is in kilobytes, 0 if
    unknown; `write` is set for methods other than GET; `repeat` if the client marked it as a retry; `ttl` is
    the time until the client gives up, in nanoseconds.
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

    `remaining` is the time until the belief expires and `age` the age of its evidence, in nanoseconds as of
    when it was sent.
    """

    object: int
    part: int
    cache: int
    started: int
    remaining: int
    age: int


class EjectionGossip(NamedTuple):
    """A server that another router has ejected or found to be slow.

    `slowness` is the median ratio of actual to expected sending time in thousandths, 0 if unknown;
    `remaining` is the time until the ejection ends and `age` the age of the latest slowness sample, in
    nanoseconds.
    """

    cache: int
    started: int
    as_source: bool
    remaining: int
    slowness: int
    age: int
