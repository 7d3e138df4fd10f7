"""The tuned values of membership, in nanoseconds and counts."""

from math import ceil, log, log2, log10
from typing import NamedTuple

MS, S = 1_000_000, 1_000_000_000


class Pace(NamedTuple):
    period: int = 500 * MS  # between two probes, while this front itself is well
    answer: int = 150 * MS  # for a probe's answer, before others are asked to probe
    helpers: int = 3  # that are asked
    health_most: int = 8  # of the local health: periods and answers get up to nine times as long
    suspect_least: float = (
        4.0  # periods, times the size's logarithm, until a suspect that several accuse is gone
    )
    suspect_most: float = 6.0  # times the least, where one alone accuses
    accusers: int = 3  # from which on the least holds
    news: int = 8  # words on members that one message bears
    retold: int = 4  # times the size's logarithm: how often a word is borne
    sync: int = 10 * S  # between two exchanges of all members, with one at random
    look: int = 200 * MS  # between two looks at one whose links were reset
    retells: int = 8  # of an end that nobody confirms, a look's time apart
    reach: int = 2 * S  # between two tries at one that is gone or not yet met

    def suspicion(self, size, accusers):
        """How long a suspect has (Lifeguard's line between most and least, by accusers beyond the first)."""
        least = self.suspect_least * max(1.0, log10(max(1, size))) * self.period
        most = self.suspect_most * least
        return int(max(least, most - (most - least) * log(accusers) / log(self.accusers + 1)))

    def times(self, size):
        return self.retold * ceil(log2(size + 1))
