"""Load estimation: sending times of requests, completed work per time, and latency objectives."""

from collections import defaultdict, deque

from sprucegate.routing.digest import Digest
from sprucegate.routing.events import Request
from sprucegate.routing.order_statistics import median
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MILLISECOND, SECOND

SENDING_TIMES_PER_SERVICE = 64
COMPLETIONS_MAX = 256  # latest answered requests, from which the rate of completed work is computed
RATE_AGE_MAX_NS = 20 * MILLISECOND  # then the rate is computed again
DEFAULT_SENDING_TIME_NS = 400 * MILLISECOND


class LoadEstimator:
    """Estimates from recent attempts. Work is measured as expected sending time.

    :ivar now: time of the last request or result (ns).
    :ivar sending_times: recent sending times by delivery service (ns).
    :ivar completions: (time, sending time) of the last requests that were answered.
    """

    def __init__(self, settings: RoutingSettings, digest: Digest, now: int) -> None:
        self.settings = settings
        self.digest = digest
        self.now = now
        self.sending_times: defaultdict[int, deque[int]] = defaultdict(
            lambda: deque(maxlen=SENDING_TIMES_PER_SERVICE)
        )
        self.completions: deque[tuple[int, int]] = deque(maxlen=COMPLETIONS_MAX)
        self._rate_updated_at = LONG_AGO
        self._rate = 0.0

    def mean_sending_time(self, delivery_service: int) -> int:
        """Mean of the service's recent sending times (ns), or its latency objective if there are none."""
        known = self.sending_times.get(delivery_service)
        if known:
            return sum(known) // len(known)
        objective: int = self.settings.of_service(
            "latency_objective", delivery_service, DEFAULT_SENDING_TIME_NS
        )
        return objective

    def sending_time(self, request: Request) -> int:
        """Expected time to send the response over an idle link (ns).

        From the size if it is known, else the object's shortest recent time, else the service's median.
        """
        rate = self.settings.client_kb_per_s
        if request.size and rate:
            return int(request.size / rate * SECOND)
        of_object = self.digest.record_of(request, self.now).sending_times
        if of_object:
            return min(of_object)
        service = request.delivery_service
        return int(median(self.sending_times.get(service) or [self.mean_sending_time(service)]))

    def latency_objective(self, request: Request) -> int:
        """Target latency (ns): that of the service, extended for large responses."""
        service = request.delivery_service
        stretch = self.settings.of_service("objective_stretch", service, 0)
        extra = int(stretch * self.sending_time(request))
        # Without an objective: -LONG_AGO as a duration, longer than any request takes.
        objective: int = self.settings.of_service("latency_objective", service, -LONG_AGO)
        return objective + extra

    def rate(self, now: int) -> float:
        """Sending time completed per nanosecond recently: the mean number of concurrent transfers."""
        if now - self._rate_updated_at >= RATE_AGE_MAX_NS and self.completions:
            self._rate_updated_at = now
            self._rate = sum([work for _, work in self.completions]) / max(
                SECOND, now - self.completions[0][0]
            )
        return self._rate
