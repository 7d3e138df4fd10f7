"""Counters of requests, attempts and connections by outcome, for the log."""

from collections import Counter


class Counters:
    """Counts by name since the last call of `read_and_reset`."""

    def __init__(self):
        self.counts = Counter()

    def count(self, name, times=1):
        """Add `times` to a counter."""
        self.counts[name] += times

    def read_and_reset(self):
        """Return the counts since the last call, sorted by name, and reset them to zero."""
        counts, self.counts = self.counts, Counter()
        return dict(sorted(counts.items()))
