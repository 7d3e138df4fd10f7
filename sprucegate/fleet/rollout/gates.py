"""Gates of a release: whether the servers with the new version do worse than the others in the same period. No I/O.

The two groups' rates are compared by Newcombe's confidence interval for the difference of two proportions (Statistics
in Medicine 17, 1998, method 10, from the Wilson interval of each). A gate is evaluated repeatedly while a wave bakes,
so each evaluation gets an equal part of the risk (Bonferroni). scipy is not used, as it lacks Newcombe's difference
and every front that may lead would have to load it.
"""

from enum import IntEnum
from statistics import NormalDist
from typing import NamedTuple

# Evaluations of one wave by which the risk and the baking time are divided. Evaluation goes on while the gate is
# inconclusive, so there may be more.
EVALUATIONS_MAX = 40
# Fronts report starts and not crashes: the leader passes 0 crashes, and the most starts of a server as `starts`.
METRICS = ("errors", "sheds", "late", "misses", "crashes")


class GateVerdict(IntEnum):
    """Verdict of an analysis gate on one wave."""

    INCONCLUSIVE = 0  # not enough data: not a pass
    PASS = 1
    FAIL = 2


class GateLimits(NamedTuple):
    """Limits of a gate.

    `increase_max`: how much higher a rate may be (thousandths): errors, sheds, late, misses; the last one, of crashes,
    is not read, as any crash fails the gate. `risk`: of a false failure.
    """

    increase_max: tuple = (5, 20, 50, 100, 0)
    risk: float = 0.01
    gets_min: int = 200  # GETs at the servers with the new version
    starts_max: int = 2  # of one server within a wave; with more it counts as crashing


class AnalysisSample(NamedTuple):
    """Counts since the wave began; `counts`: how many of the `gets` each of METRICS applies to, in order."""

    gets: int
    counts: tuple


def wilson_interval(hits, of, z):
    """Return the Wilson score interval of a proportion."""
    share, square = hits / of, z * z
    middle, half = share + square / (2 * of), z * ((share * (1 - share) + square / (4 * of)) / of) ** 0.5
    return (middle - half) / (1 + square / of), (middle + half) / (1 + square / of)


def difference_interval(hits1, of1, hits2, of2, risk):
    """Return the interval (low, high) of the first proportion minus the second, with that risk on either side."""
    z = NormalDist().inv_cdf(1 - risk)
    (low1, high1), (low2, high2) = wilson_interval(hits1, of1, z), wilson_interval(hits2, of2, z)
    difference, share1, share2 = hits1 / of1 - hits2 / of2, hits1 / of1, hits2 / of2
    return (
        difference - ((share1 - low1) ** 2 + (high2 - share2) ** 2) ** 0.5,
        difference + ((high1 - share1) ** 2 + (share2 - low2) ** 2) ** 0.5,
    )


def evaluate(released, others, starts, baked, limits):
    """Return (verdict, metric that decided it, figures).

    `starts`: the most starts of any server with the new version; `baked`: whether the wave was observed long enough.
    """
    if starts > limits.starts_max:
        return GateVerdict.FAIL, "starts", (starts, limits.starts_max)
    if released.counts[METRICS.index("crashes")]:
        return GateVerdict.FAIL, "crashes", (released.counts[METRICS.index("crashes")], 0)
    if not released.gets or not others.gets:
        return GateVerdict.INCONCLUSIVE, "gets", (released.gets, others.gets)
    doubtful = ""
    for name, bad, fine, increase_max in zip(
        METRICS[:-1], released.counts, others.counts, limits.increase_max, strict=False
    ):
        low, _ = difference_interval(
            min(bad, released.gets),
            released.gets,
            min(fine, others.gets),
            others.gets,
            limits.risk / (EVALUATIONS_MAX * (len(METRICS) - 1)),
        )
        if low * 1000 > increase_max:
            return GateVerdict.FAIL, name, (bad / released.gets, fine / others.gets)
        # A pass doesn't prove that the version is as good; it needs enough data and no observed rate above the limit.
        if bad / released.gets - fine / others.gets > increase_max / 1000:
            doubtful = doubtful or name
    if released.gets < limits.gets_min or doubtful or not baked:
        return GateVerdict.INCONCLUSIVE, doubtful or "gets", (released.gets, limits.gets_min)
    return GateVerdict.PASS, "", (released.gets, others.gets)
