"""Counters of what became of requests, attempts and connections, for the log."""

from collections import Counter


class Counters:
    """Counts by name since they were last read."""

    def __init__(self):
        self.counts = Counter()

    def count(self, name, times=1):
        """Add `times` to a counter."""
        self.counts[name] += times

    def taken(self):
        """Return the counts since the last call, sorted by name, and start again from zero."""
        counts, self.counts = self.counts, Counter()
        return dict(sorted(counts.items()))
