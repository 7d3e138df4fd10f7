"""Medians, as `statistics` has them.

That module imports decimal and fractions: 0.8 MB of a process whose limit may be 32 MB.
"""

from collections.abc import Iterable


def median_low(data: Iterable[float]) -> float:
    """The middle value, or the smaller one of the two in the middle; raises IndexError without data."""
    ordered = sorted(data)
    return ordered[(len(ordered) - 1) // 2]


def median(data: Iterable[float]) -> float:
    """The middle value, or the mean of the two in the middle; raises IndexError without data."""
    ordered = sorted(data)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
