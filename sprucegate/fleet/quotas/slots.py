"""How many slots a source has now: those of the operator's file, fewer while fills are late or it has just started.

Never more than in the file, as the fronts' floors are computed from that number.
"""

from sprucegate.units import SECOND

ADJUSTMENT_INTERVAL = SECOND  # the least time between two adjustments
ADJUSTMENT_FILLS_MIN = 8  # with fewer fills the interval is extended
DECREASE_LATE_RATIO = 0.2  # share of late fills above which the limit falls
INCREASE_LATE_RATIO = 0.05  # share of late fills up to which the limit rises
DECREASE_FACTOR = 0.8
INCREASE_STEP = 0.05
LIMIT_RATIO_MIN = 0.25  # some fills have to run to show that the source has recovered


class AdaptiveLimit:
    """The share of a source's slots that is lent, by additive increase and multiplicative decrease on late fills.

    Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989; the same rule
    governs adaptive concurrency limits.

    :ivar ratio: from LIMIT_RATIO_MIN to 1.
    """

    def __init__(self, now: int) -> None:
        self.ratio = 1.0
        self.since = now
        self.ended = 0
        self.late = 0

    def fills_ended(self, ended: int, late: int, now: int) -> None:
        """Count fills that ended, `late` of them late, and adjust the ratio once there are enough."""
        self.ended += ended
        self.late += late
        if now - self.since < ADJUSTMENT_INTERVAL or self.ended < ADJUSTMENT_FILLS_MIN:
            return
        late_ratio = self.late / self.ended
        if late_ratio > DECREASE_LATE_RATIO:
            self.ratio = max(LIMIT_RATIO_MIN, self.ratio * DECREASE_FACTOR)
        elif late_ratio <= INCREASE_LATE_RATIO:
            self.ratio = min(1.0, self.ratio + INCREASE_STEP)
        self.since = now
        self.ended = 0
        self.late = 0


def slow_start_ratio(started: int, warm_time: int, initial_ratio: float, now: int) -> float:
    """Return the share of its slots that a source has after a cold start: linear from `initial_ratio` to 1.

    `started`: time of its start, ns, or 0 for a warm source; `warm_time`: ns until it has all slots.
    """
    if not started or not warm_time or now - started >= warm_time:
        return 1.0
    return initial_ratio + (1 - initial_ratio) * max(0, now - started) / warm_time
