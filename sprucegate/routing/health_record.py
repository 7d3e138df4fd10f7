"""Health record: the recent results of a server, and the rules that classify it as an outlier.

A server is ejected if it fails or is far slower than its peers. The ejection time doubles with each ejection,
up to a maximum, and shrinks with each success. After an ejection a cache is on probation: it receives one
request at a time until one succeeds. A fill source is used again at once. The terms are those of Envoy's
outlier detection.
"""

from collections import deque
from collections.abc import Sequence

from sprucegate.routing.order_statistics import median
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.units import MILLISECOND, SECOND

SAMPLES_MAX = 16  # latest slowness samples kept
SAMPLE_AGE_MAX_NS = 10 * SECOND
SAMPLES_MIN = 3  # fewer samples give no estimate
# Latest results kept for the failure ratio: few, as each router sends a server few requests, and those to a
# hanging server fail only when they time out.
RESULTS_MAX = 6
RESULT_SPACING_NS = 2 * MILLISECOND  # upper bound of a round trip inside a location
SLOWNESS_RATIO_MAX = 3.0
FAILURE_RATIO_MAX = 0.5
EJECTION_TIME_MIN_NS = 2 * SECOND
EJECTION_TIME_MAX_NS = 8 * EJECTION_TIME_MIN_NS
CONGESTED_SLOWNESS = 1.3  # lower samples are within the noise of measurement
CONGESTION_TRANSFERS_MIN = 3  # with fewer, only a slowness above SLOWNESS_RATIO_MAX indicates congestion
LINK_CAPACITY_QUANTILE = 0.25  # a low quantile keeps the queue at the link short
ESTIMATE_AGE_MAX_NS = 20 * MILLISECOND  # then the link capacity is estimated again


class HealthRecord:
    """The recent results of one server, either as a cache or as a fill source.

    :ivar results: (time, success) of the last attempts.
    :ivar slowness_samples: (time, slowness, concurrent transfers on the link) of the last attempts.
    :ivar ejection_time: length of the last ejection (ns), reduced by each success since.
    :ivar ejected_until: end of the ejection, 0 for none.
    :ivar on_probation: whether no attempt has succeeded since the last ejection.
    :ivar link_capacity: (time of the estimate, transfers that the link carries without slowing down).
        With too few samples the number is -LONG_AGO, which is larger than any number of transfers.
    """

    __slots__ = (
        "results",
        "slowness_samples",
        "ejection_time",
        "ejected_until",
        "on_probation",
        "link_capacity",
    )

    def __init__(self) -> None:
        self.results: deque[tuple[int, bool]] = deque(maxlen=RESULTS_MAX)
        self.slowness_samples: deque[tuple[int, float, int]] = deque(maxlen=SAMPLES_MAX)
        self.ejection_time = 0
        self.ejected_until = 0
        self.on_probation = False
        self.link_capacity: tuple[int, float] = (LONG_AGO, -LONG_AGO)

    def record(self, now: int, success: bool, slowness: float, concurrent_transfers: int = 0) -> None:
        """Record the result of one attempt; a slowness of 0 stands for no speed sample."""
        if success and self.ejected_until <= now:
            self.on_probation = False
            # Reduced slowly: one success does not clear a server that fails half of its requests.
            self.ejection_time = self.ejection_time * 3 // 4
        # When a connection breaks, all attempts on it fail together; they count as one failure.
        results = self.results
        if success or not results or results[-1][1] or now - results[-1][0] >= RESULT_SPACING_NS:
            results.append((now, success))
        if slowness:
            self.slowness_samples.append((now, slowness, concurrent_transfers))

    def slowness(self, now: int) -> float:
        """Median ratio of actual to expected sending time, 0 if there are too few recent samples."""
        fresh = [slowness for at, slowness, _ in self.slowness_samples if now - at < SAMPLE_AGE_MAX_NS]
        return median(fresh) if len(fresh) >= SAMPLES_MIN else 0

    def expected_slowness(self, concurrent_transfers: int, now: int) -> float:
        """Slowness to expect with `concurrent_transfers` on the link, at least 1.

        A full link is shared evenly, so that transfers / slowness of a sample is the number of transfers that
        it carries without slowing down.
        """
        if now - self.link_capacity[0] >= ESTIMATE_AGE_MAX_NS:
            capacities = sorted(
                [
                    transfers / slowness
                    for at, slowness, transfers in self.slowness_samples
                    if slowness
                    > (CONGESTED_SLOWNESS if transfers >= CONGESTION_TRANSFERS_MIN else SLOWNESS_RATIO_MAX)
                    and now - at < SAMPLE_AGE_MAX_NS
                ]
            )
            if len(capacities) >= SAMPLES_MIN:
                self.link_capacity = now, capacities[int(LINK_CAPACITY_QUANTILE * (len(capacities) - 1))]
            else:
                self.link_capacity = now, -LONG_AGO  # no congestion is expected
        return max(1.0, concurrent_transfers / self.link_capacity[1])

    def failure_ratio(self, now: int) -> float:
        """Share of recent attempts that failed, 0 if there are too few."""
        fresh = [success for at, success in self.results if now - at < SAMPLE_AGE_MAX_NS]
        return fresh.count(False) / len(fresh) if len(fresh) >= SAMPLES_MIN else 0

    def needs_evaluation(self, now: int) -> bool:
        """Whether the last result can cause an ejection; a success at normal speed can't."""
        if self.ejected_until > now:
            return False
        last_was_good = bool(self.results) and self.results[-1][1]
        return not (
            last_was_good and self.slowness_samples and self.slowness_samples[-1][1] <= SLOWNESS_RATIO_MAX
        )

    def evaluate(
        self, peers: Sequence["HealthRecord"], attributable: bool, now: int, idle_peers: int = 0
    ) -> None:
        """Eject the server if it is an outlier.

        It is one if it is more than SLOWNESS_RATIO_MAX times slower than the median of its peers, or if too
        many of its recent results are failures. If only the server itself can have caused the last failure
        (`attributable`), more than half of them are too many; otherwise all of them, while the median failure
        ratio of its peers is below one half.

        :param idle_peers: number of peers without a recent result; they count as healthy.
        """
        if not self.needs_evaluation(now):
            return
        slowness = self.slowness(now)
        failure_ratio = self.failure_ratio(now)
        peer_slowness = [ratio for peer in peers if peer is not self and (ratio := peer.slowness(now))]
        if attributable:
            failing = failure_ratio > FAILURE_RATIO_MAX
        else:
            failing = (
                failure_ratio == 1 and self._median_failure_ratio(peers, now, idle_peers) < FAILURE_RATIO_MAX
            )
        if failing or peer_slowness and slowness > SLOWNESS_RATIO_MAX * max(1.0, median(peer_slowness)):
            self._eject(now)

    def _median_failure_ratio(self, peers: Sequence["HealthRecord"], now: int, idle_peers: int) -> float:
        ratios = [peer.failure_ratio(now) for peer in peers if peer is not self]
        return 0 if idle_peers > len(ratios) else median(ratios + [0] * idle_peers or [1])

    def _eject(self, now: int) -> None:
        self.ejection_time = min(EJECTION_TIME_MAX_NS, max(EJECTION_TIME_MIN_NS, 2 * self.ejection_time))
        self.ejected_until = now + self.ejection_time
        self.on_probation = True
        self.results.clear()
        self.slowness_samples.clear()
