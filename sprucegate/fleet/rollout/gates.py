"""Whether those already released do worse than those that are not, in the same minutes. No I/O.

Counts of two groups are held side by side by Newcombe's interval of a difference of two shares (Statistics in Medicine
17, 1998, method 10: from Wilson's interval of each). It is looked at again and again while a wave bakes, so each look
gets an even part of the risk (Bonferroni). Libraries: scipy has Wilson's interval, not the difference by Newcombe, and
is loaded in every front that may lead; the quantile is the standard library's.
"""

from enum import IntEnum
from statistics import NormalDist
from typing import NamedTuple

LOOKS = 40  # at most, of one wave
MEASURES = ("errors", "sheds", "late", "misses", "crashes")


class GateVerdict(IntEnum):
    """Verdict of an analysis gate on one stage."""

    FEW = 0  # not enough seen to say: not a pass
    PASS = 1
    FAIL = 2


class GateLimits(NamedTuple):
    """How much worse a share may be (thousandths), for each of MEASURES; and how sure a fail has to be."""

    worse: tuple = (5, 20, 50, 100, 0)
    risk: float = 0.01
    least: int = 200  # GETs of the released
    starts: int = 2  # of one box within a wave: past that it is taken for one that does not live


class AnalysisSample(NamedTuple):
    """Counts since the wave began; each of MEASURES in order, of `gets`."""

    gets: int
    counts: tuple


def wilson(hits, of, z):
    """Wilson's interval of a share."""
    share, square = hits / of, z * z
    middle, half = share + square / (2 * of), z * ((share * (1 - share) + square / (4 * of)) / of) ** 0.5
    return (middle - half) / (1 + square / of), (middle + half) / (1 + square / of)


def worse_by(one, of_one, other, of_other, risk):
    """(least, most) by which the share of `one` is larger, at that risk on either side."""
    z = NormalDist().inv_cdf(1 - risk)
    (low1, high1), (low2, high2) = wilson(one, of_one, z), wilson(other, of_other, z)
    apart, share1, share2 = one / of_one - other / of_other, one / of_one, other / of_other
    return (
        apart - ((share1 - low1) ** 2 + (high2 - share2) ** 2) ** 0.5,
        apart + ((high1 - share1) ** 2 + (share2 - low2) ** 2) ** 0.5,
    )


def verdict(released, others, starts, baked, limits):
    """(Verdict, by which measure, figures). `starts`: the most that one released box has made; `baked`: long enough."""
    if starts > limits.starts:
        return GateVerdict.FAIL, "starts", (starts, limits.starts)
    if released.counts[MEASURES.index("crashes")]:
        return GateVerdict.FAIL, "crashes", (released.counts[MEASURES.index("crashes")], 0)
    if not released.gets or not others.gets:
        return GateVerdict.FEW, "gets", (released.gets, others.gets)
    unsure = ""
    for name, bad, fine, worse in zip(
        MEASURES[:-1], released.counts, others.counts, limits.worse, strict=False
    ):
        least, most = worse_by(
            min(bad, released.gets),
            released.gets,
            min(fine, others.gets),
            others.gets,
            limits.risk / (LOOKS * (len(MEASURES) - 1)),
        )
        if least * 1000 > worse:
            return GateVerdict.FAIL, name, (bad / released.gets, fine / others.gets)
        # A pass is no proof that it is as good: what was seen must not be past the limit, and enough was seen.
        if bad / released.gets - fine / others.gets > worse / 1000:
            unsure = unsure or name
    if released.gets < limits.least or unsure or not baked:
        return GateVerdict.FEW, unsure or "gets", (released.gets, limits.least)
    return GateVerdict.PASS, "", (released.gets, others.gets)
