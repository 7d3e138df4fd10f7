"""Response cache policy: which responses the router process stores, and when it may serve them."""

from sprucegate.routing.digest import Digest
from sprucegate.routing.events import Request
from sprucegate.routing.invalidation import CACHED_RESPONSE_AGE_MAX_NS, UNLIMITED_AGE_NS, InvalidationLog
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MILLISECOND

# Largest size of the front's cache of responses, in each process; applied in `front/driver.py`.
RESPONSE_CACHE_BYTES = 64 << 20
# Queueing delay at the outgoing link times sending time of the response, in ns squared.
QUEUE_TIMES_SENDING_TIME_MAX = 5 * MILLISECOND * 100 * MILLISECOND


class ResponseCachePolicy:
    """Admission to and use of the response cache."""

    def __init__(
        self,
        settings: RoutingSettings,
        digest: Digest,
        invalidations: InvalidationLog,
        load: LoadEstimator,
    ) -> None:
        self.settings = settings
        self.digest = digest
        self.invalidations = invalidations
        self.load = load

    def may_serve(
        self, request: Request, generated_at: int, requested_at: int, link_queue: int, now: int
    ) -> bool:
        """Whether a stored response may be served.

        It must be young enough, not from before a purge that may have been missed, and the queue at the
        outgoing link short: shorter for larger responses.

        :param generated_at: when the response was generated (ns).
        :param requested_at: when it was requested from its server (ns).
        :param link_queue: queueing delay at the outgoing link (ns).
        """
        limit = (
            self.invalidations.max_age(request, False, now)
            or self.settings.of_service("fresh_time", request.delivery_service, 0)
            or UNLIMITED_AGE_NS
        )
        return (
            now - requested_at < CACHED_RESPONSE_AGE_MAX_NS
            and now - generated_at < limit
            and not self.invalidations.may_predate_missed(generated_at, requested_at, now)
            and link_queue * self.load.sending_time(request) <= QUEUE_TIMES_SENDING_TIME_MAX
        )

    def should_store(self, request: Request, generated_at: int, requested_at: int, now: int) -> bool:
        """Whether to store a response: if it is requested repeatedly and doesn't run at the origin."""
        requested_again = sum(self.digest.record_of(request, now).counts) > 1
        if not requested_again or self.settings.of_service("runs_at_origin", request.delivery_service, False):
            return False
        return self.may_serve(request, generated_at, requested_at, 0, now)
