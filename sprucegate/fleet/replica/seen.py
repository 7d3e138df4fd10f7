"""Which dots a front has seen: for each owner's life the counters as intervals. No I/O.

A dot is (owner, life, counter). Counters begin at 1. After Almeida, Shoker, Baquero, "Delta State Replicated Data
Types" (2018): a dot that is in here and whose fact is not held was let go or replaced, and never comes back.
"""

from bisect import bisect_right


class Seen:
    def __init__(self, lives=()):
        """`lives`: (owner, life, [first, past, first, past, ...]) as `told` gives it, or in any order."""
        self.lives = {}
        for owner, life, ends in lives:
            if (owner, life) not in self.lives:
                self.lives[owner, life] = list(ends)
                continue
            for first, past in zip(ends[::2], ends[1::2], strict=True):
                self.span(owner, life, first, past)

    def add(self, dot):
        self.span(dot[0], dot[1], dot[2], dot[2] + 1)

    def span(self, owner, life, first, past):
        """Counters from `first` up to and without `past`."""
        if past <= first:
            return
        ends = self.lives.setdefault((owner, life), [])
        if not ends or first > ends[-1]:  # what comes in order is by far the most frequent
            ends += [first, past]
            return
        # Intervals that touch become one: left and right are the first and past-the-last ends that it covers.
        left, right = bisect_right(ends, first - 1), bisect_right(ends, past)
        made = ([first] if left % 2 == 0 else []) + ([past] if right % 2 == 0 else [])
        ends[left:right] = made

    def has(self, dot):
        return bisect_right(self.lives.get((dot[0], dot[1]), ()), dot[2]) % 2 == 1

    def lacks(self, other):
        """What `other` has seen and this one not: (owner, life, first, past), at most; empty where there is none."""
        found = []
        for (owner, life), ends in other.lives.items():
            own = self.lives.get((owner, life), [])
            if own == ends:
                continue
            for at in range(0, len(ends), 2):
                found += [(owner, life, a, b) for a, b in gaps(own, ends[at], ends[at + 1])]
        return found

    def covers(self, other):
        return not self.lacks(other)

    def told(self):
        """Plain data that `Seen` takes; in an order that is the same in any process."""
        return [(owner, life, list(ends)) for (owner, life), ends in sorted(self.lives.items())]

    def copy(self):
        return Seen(self.told())


def gaps(ends, first, past):
    """The parts of [first, past) that the intervals `ends` don't cover."""
    at, found = bisect_right(ends, first), []
    if at % 2:
        first = ends[at]
        at += 1
    while first < past:
        upto = min(past, ends[at]) if at < len(ends) else past
        if upto > first:
            found.append((first, upto))
        if at >= len(ends):
            break
        first, at = ends[at + 1], at + 2
    return found
