"""Book: what became of GETs and forwards, counted for the log."""

from collections import Counter


class Counters:
    def __init__(self):
        self.counts = Counter()

    def count(self, what, times=1):
        self.counts[what] += times

    def taken(self):
        """The counts since the last call."""
        counts, self.counts = self.counts, Counter()
        return dict(sorted(counts.items()))
