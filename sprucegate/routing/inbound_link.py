"""Inbound link: estimated congestion of the location's link from the parents."""

from collections import deque

from sprucegate.routing.events import Request
from sprucegate.routing.hashing import HashRandom
from sprucegate.routing.health_record import HealthRecord
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.order_statistics import median_low
from sprucegate.routing.outlier_detection import OutlierDetector
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.server import Server
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import SECOND

UTILIZATION_REPORT_AGE_MAX_NS = SECOND
RECENT_MISSES_MAX = 64  # responses from which the share of misses is estimated
LINK_SHARE = 0.3  # usable share of an even split: other routers' loads are uneven, and queueing delays add up
TRIAL_SHARE = 0.08  # share of requests sent although expected late, to detect when congestion ends
SIMILAR_SLOWNESS_RATIO = 1.5  # a source up to this many times as slow as its peers isn't the cause itself
PEER_SLOWNESS_DEFAULT = 9  # stands in for the slowness of the parents if none of them has an estimate


class InboundLink:
    """Estimates the state of the link from this router's fills and the caches' reports.

    :ivar health: slowness samples of fills.
    :ivar fills_in_flight: this router's fills in flight.
    :ivar utilization: last reported load, 1 for a full link, received at `utilization_reported_at`.
    :ivar recent_misses: for each of the last responses where a fill was expected, whether it was a miss.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        load: LoadEstimator,
        outliers: OutlierDetector,
        random: HashRandom,
    ) -> None:
        self.settings = settings
        self.load = load
        self.outliers = outliers
        self.random = random
        self.health = HealthRecord()
        self.fills_in_flight = 0
        self.utilization = 0.0
        self.utilization_reported_at = LONG_AGO
        self.recent_misses: deque[bool] = deque(maxlen=RECENT_MISSES_MAX)

    def expected_slowness(self, now: int) -> float:
        """Slowness to expect for one more fill of this router, at least 1.

        This router makes few of the fills on the link. Half of the reported load is used where that is higher
        than the estimate from own samples. If caches never report a cache status, there are no samples; an
        even split of the configured link rate among the routers is used instead.
        """
        here = self.settings.my_location
        rate = self.settings.client_kb_per_s
        link_rates = self.settings.link_in_kb_per_s
        if self.settings.tells == "none" and rate and here < len(link_rates) and link_rates[here]:
            fills = 1 + self.fills_in_flight * (1 + sum(self.recent_misses)) / (2 + len(self.recent_misses))
            routers = sum(self.settings.fronts_by_location[here : here + 1]) or 1
            return max(1.0, fills * routers * rate / link_rates[here] / LINK_SHARE)
        reported = (
            self.utilization / 2 if now - self.utilization_reported_at < UTILIZATION_REPORT_AGE_MAX_NS else 0
        )
        return max(reported, self.health.expected_slowness(self.fills_in_flight + 1, now))

    def fill_would_be_late(self, request: Request, objective_at: int, now: int) -> bool:
        """Whether a fill would miss the objective, except for a random share that is sent as a trial."""
        expected = self.load.sending_time(request) * self.expected_slowness(now)
        return expected > objective_at - now and self.random.next_float(request.id) >= TRIAL_SHARE

    def record_fill(self, source: Server, slowness: float, concurrent_transfers: int, now: int) -> None:
        """Record the slowness of a fill, unless its source is slower than its peers and thus the cause."""
        peers, _ = self.outliers.comparison_group("parent")
        peer_slowness = [ratio for peer in peers if (ratio := peer.source_health.slowness(now))] or [
            PEER_SLOWNESS_DEFAULT
        ]
        if source.source_health.slowness(now) <= SIMILAR_SLOWNESS_RATIO * median_low(peer_slowness):
            self.health.record(now, True, slowness, concurrent_transfers)
