"""What crosses the boundary between the rules and whatever speaks a protocol. Nothing is decided here.

Times are whole nanoseconds on one clock that the caller supplies; sizes are KB; ids are whole numbers.
"""

from enum import Enum, auto
from typing import NamedTuple


class State(Enum):
    """How the list describes a cache."""

    SERVING = auto()
    DRAINING = auto()
    GONE = auto()


class Outcome(Enum):
    """How one forward ended. The second group proves that it never ran."""

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
    def never_ran(self):
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.MISS)


class Found(Enum):
    """Where an answer came from, or why a fill did not work."""

    UNTOLD = auto()
    HIT = auto()
    FILLED = auto()
    FILLED_BY_ORIGIN = auto()
    JOINED = auto()
    STALE_HIT = auto()
    SOURCE_REFUSED = auto()
    SOURCE_BROKEN = auto()
    SOURCE_LACKS = auto()
    NO_FILL_PLACE = auto()
    ORIGIN_FAILED = auto()


class Listed(NamedTuple):
    """A cache, parent or origin as the list has it."""

    id: int
    location: int
    kind: int
    cell: int
    state: State
    weight: float
    started: int


class Asked(NamedTuple):
    """A client's GET as it reached the front."""

    id: str
    object: int
    part: int
    group: int
    ds: int
    size: int
    write: bool
    repeat: bool
    ttl: int


class Forward(NamedTuple):
    """Send the GET to a cache. `source` fills a miss; the cache's own id there means no fill."""

    number: int
    cache: int
    source: int
    rank: int
    oldest: int
    timeout: int
    join: bool
    held_only: bool
    pass_parent: bool
    renew: bool


class Wait(NamedTuple):
    """A slow GET, where places of its source are shared out: route it again once it has one. Nothing was sent."""

    source: int


class Shed(NamedTuple):
    """Final answer: trying again is harmless, best after `retry_after` (0: no advice)."""

    retry_after: int


class Errored(NamedTuple):
    """Final answer without a promise about what ran."""


class Cancel(NamedTuple):
    """Stop waiting for one forward."""

    number: int


class Probe(NamedTuple):
    """Ask a cache for its load."""

    cache: int


class Tell(NamedTuple):
    """Send bytes to one peer front, or to all with peer -1."""

    peer: int
    payload: bytes


class Believed(NamedTuple):
    """One front's own belief, for other fronts: `left` and `ago` (ns) count from when it was told."""

    object: int
    part: int
    cache: int
    started: int
    left: int
    ago: int


class Resting(NamedTuple):
    """A place that a front finds slow (in thousandths of its usual pace) or has set aside.

    `left`: how long still; `ago`: since the last sample of its pace (ns).
    """

    cache: int
    started: int
    as_source: bool
    left: int
    slow: int
    ago: int


class Subscribe(NamedTuple):
    """Ask discovery for the list and its changes."""
