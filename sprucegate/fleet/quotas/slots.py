"""How many fills a source bears at once: what the file gives, less where they come late or it has just started.

Additive increase, multiplicative decrease (Chiu and Jain, 1989) on the share of fills that came late, as adaptive
limits on concurrency do it. No I/O, no clock. Never above what the file gives: floors rest on that.
"""

S = 1_000_000_000
SPAN = S  # over which fills are judged
FEW = 8  # of them tell nothing yet
LATE, WELL = 0.2, 0.05  # share that came late: from which on less is lent, and up to which more is
LESS, MORE = 0.8, 0.05
LEAST = 0.25  # of what the file gives: some fills have to show that it passed


class Learned:
    """The part of a source's places that is lent."""

    def __init__(self, now):
        self.part, self.since, self.ended, self.late = 1.0, now, 0, 0

    def told(self, ended, late, now):
        self.ended, self.late = self.ended + ended, self.late + late
        if now - self.since < SPAN or self.ended < FEW:
            return
        share = self.late / self.ended
        if share > LATE:
            self.part = max(LEAST, self.part * LESS)
        elif share <= WELL:
            self.part = min(1.0, self.part + MORE)
        self.since, self.ended, self.late = now, 0, 0


def cold(started, warm_time, floor, now):
    """The part of a source that has just started: by the settings' line, as the rules' own budget grows."""
    if not started or not warm_time or now - started >= warm_time:
        return 1.0
    return floor + (1 - floor) * max(0, now - started) / warm_time
