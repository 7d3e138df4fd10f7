"""Which versions of records a front has seen, as intervals of counters. No I/O.

After Almeida, Shoker, Baquero, "Delta State Replicated Data Types" (2018): a version that is contained here and whose
record isn't held was removed or replaced, and never comes back.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

Version = tuple[str, int, int]  # owner, the owner's incarnation, counter from 1
VersionRanges = tuple[str, int, list[int]]  # owner, incarnation, [first, end, first, end, ...]


class VersionInterval(NamedTuple):
    """Versions of one owner's incarnation, from counter `first` up to but without `end`."""

    owner: str
    incarnation: int
    first: int
    end: int


class VersionVector:
    """A set of versions.

    :param ranges: as `as_ranges` returns them, or in any order
    """

    def __init__(self, ranges: Iterable[VersionRanges] = ()) -> None:
        self._bounds: dict[tuple[str, int], list[int]] = {}
        for owner, incarnation, bounds in ranges:
            if (owner, incarnation) not in self._bounds:
                self._bounds[owner, incarnation] = list(bounds)
                continue
            for first, end in zip(bounds[::2], bounds[1::2], strict=True):
                self.add_range(owner, incarnation, first, end)

    def add(self, version: Version) -> None:
        """Add one version."""
        self.add_range(version[0], version[1], version[2], version[2] + 1)

    def add_range(self, owner: str, incarnation: int, first: int, end: int) -> None:
        """Add the counters from `first` up to but without `end`."""
        if end <= first:
            return
        bounds = self._bounds.setdefault((owner, incarnation), [])
        if not bounds or first > bounds[-1]:  # the frequent case: versions arrive in order
            bounds += [first, end]
            return
        # Intervals that touch are merged: an even position lies outside of the intervals there are.
        left, right = bisect_right(bounds, first - 1), bisect_right(bounds, end)
        bounds[left:right] = ([first] if left % 2 == 0 else []) + ([end] if right % 2 == 0 else [])

    def contains(self, version: Version) -> bool:
        """Tell whether the version was seen."""
        return bisect_right(self._bounds.get((version[0], version[1]), ()), version[2]) % 2 == 1

    def missing(self, other: "VersionVector") -> list[VersionInterval]:
        """Return what `other` contains and this vector doesn't."""
        found = []
        for (owner, incarnation), bounds in other._bounds.items():
            own = self._bounds.get((owner, incarnation), [])
            if own == bounds:
                continue
            for at in range(0, len(bounds), 2):
                found += [
                    VersionInterval(owner, incarnation, first, end)
                    for first, end in _gaps(own, bounds[at], bounds[at + 1])
                ]
        return found

    def covers(self, other: "VersionVector") -> bool:
        """Tell whether this vector contains all of `other`."""
        return not self.missing(other)

    def as_ranges(self) -> list[VersionRanges]:
        """Return plain data to send or store, in the same order in any process."""
        return [
            (owner, incarnation, list(bounds))
            for (owner, incarnation), bounds in sorted(self._bounds.items())
        ]

    def copy(self) -> "VersionVector":
        """Return a copy that is independent of this vector."""
        return VersionVector(self.as_ranges())


def _gaps(bounds: Sequence[int], first: int, end: int) -> list[tuple[int, int]]:
    """Return the parts of [first, end) that the intervals don't cover."""
    found = []
    at = bisect_right(bounds, first)
    if at % 2:
        first = bounds[at]
        at += 1
    while first < end:
        gap_end = min(end, bounds[at]) if at < len(bounds) else end
        if gap_end > first:
            found.append((first, gap_end))
        if at >= len(bounds):
            break
        first = bounds[at + 1]
        at += 2
    return found
