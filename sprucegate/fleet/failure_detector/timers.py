"""The failure detector's timers: a priority queue by deadline, first in, first out for equal deadlines."""

import heapq
from collections.abc import Collection
from enum import Enum, auto
from itertools import count
from typing import Any, NamedTuple


class TimerKind(Enum):
    """What is to be done when a timer expires."""

    PROBE = auto()  # end a probe period and begin the next
    ASK_HELPERS = auto()  # the target of a probe hasn't answered directly
    SEND_NACK = auto()  # the target of a helper's probe hasn't answered
    FORGET_RELAY = auto()  # the answer to a relayed probe is no longer passed on
    SUSPICION = auto()  # a suspicion may have timed out
    SYNC = auto()  # exchange the full state
    RECONNECT = auto()  # try a dead or not yet known member
    REPEAT_REFUSAL = auto()  # nobody has confirmed a refused connection


class Timer(NamedTuple):
    """A timer that is set: its deadline in ns, its order among equal deadlines, its kind and subject."""

    deadline: int
    order: int
    kind: TimerKind
    subject: Any


class TimerQueue:
    """Timers by deadline. A timer can't be cancelled alone: its handler ignores outdated ones."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._order = count()

    def set(self, deadline: int, kind: TimerKind, subject: Any = None) -> None:
        """Set a timer for `deadline` in ns."""
        heapq.heappush(self._heap, Timer(int(deadline), next(self._order), kind, subject))

    def next_deadline(self) -> int | None:
        """Return the earliest deadline in ns, or None if no timer is set."""
        return self._heap[0].deadline if self._heap else None

    def pop_expired(self, now: int) -> Timer | None:
        """Remove and return the earliest timer that has expired, or None."""
        if self._heap and self._heap[0].deadline <= now:
            return heapq.heappop(self._heap)
        return None

    def clear(self, kinds: Collection[TimerKind]) -> None:
        """Remove all timers of those kinds."""
        self._heap = [timer for timer in self._heap if timer.kind not in kinds]
        heapq.heapify(self._heap)
