"""The time-outs of open attempts, the earliest first."""

import heapq
from itertools import count

COMPACTION_MIN = 128  # entries from which those of ended attempts are removed


class AttemptTimeouts:
    """Time-outs of attempts by their deadlines.

    Entries of ended attempts are removed once the heap has grown, not only when their time comes: deadlines may be an
    hour away.
    """

    def __init__(self):
        self._heap = []  # (deadline, tie-breaker, OpenAttempt)
        self._tie_breakers = count()
        self._compact_at = COMPACTION_MIN

    def __len__(self):
        """Return the number of entries, with those of ended attempts that are not removed yet."""
        return len(self._heap)

    def add(self, attempt):
        """Add an attempt's time-out."""
        if len(self._heap) >= self._compact_at:
            self._heap = [entry for entry in self._heap if not entry[2].ended]
            heapq.heapify(self._heap)
            self._compact_at = max(COMPACTION_MIN, 2 * len(self._heap))
        heapq.heappush(self._heap, (attempt.deadline, next(self._tie_breakers), attempt))

    def next_deadline(self):
        """Return the earliest deadline of an attempt that has not ended (ns), or None."""
        while self._heap and self._heap[0][2].ended:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_expired(self, now):
        """Yield the attempts whose deadline has come and that have not ended."""
        while self._heap and self._heap[0][0] <= now:
            attempt = heapq.heappop(self._heap)[2]
            if not attempt.ended:
                yield attempt
