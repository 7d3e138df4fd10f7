"""Retry: whether one more attempt of a request is safe, and within the limits and the retry budget."""

from collections import deque
from typing import TYPE_CHECKING

from sprucegate.routing.events import AttemptOutcome
from sprucegate.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from sprucegate.routing.request import RequestState

ATTEMPTS_KEPT = 100
RETRY_BUDGET_RATIO = 0.2  # of the last attempts that may be retries
ATTEMPTS_MIN = 10  # so many are taken for the last ones where there were fewer


class RetryPolicy:
    """Limits of one request, and the retry budget of all (SRE book, chapter 22: Addressing Cascading
    Failures).

    :ivar retries: whether each of the last attempts was a retry.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.retries: deque[bool] = deque(maxlen=ATTEMPTS_KEPT)
        self.revenue_max = max([revenue for revenue in settings.revenue if revenue], default=1)

    def is_idempotent(self, delivery_service: int) -> bool:
        """Whether a request of this service may run twice (RFC 9110, 9.2.2); a word unknown here says no."""
        return bool(self.settings.of_service("effect", delivery_service, "idempotent") == "idempotent")

    def attempts_max(self, delivery_service: int) -> int:
        """Most attempts of one request: two, and up to two more by its revenue."""
        revenue = self.settings.of_service("revenue", delivery_service, 0)
        return 2 + int(2 * revenue / self.revenue_max)

    def may_attempt(self, state: "RequestState", now: int) -> bool:
        """Whether a request may be sent, or sent once more.

        Not after its deadline, not beyond its attempts, and never again if it may have run and isn't
        idempotent. A retry needs budget too, except after a plain miss or an attempt that never left, which
        cost nobody anything.
        """
        sent = len(state.attempts)
        service = state.request.delivery_service
        if state.no_retry or now >= state.deadline or sent >= self.settings.max_forwards:
            return False
        if state.possibly_executed() and not self.is_idempotent(service):
            return False
        if sent >= self.attempts_max(service):
            return False
        if not sent or state.missed:
            return True
        return sum(self.retries) <= RETRY_BUDGET_RATIO * max(ATTEMPTS_MIN, len(self.retries))

    def record_attempt(self, state: "RequestState") -> None:
        """Count an attempt that is about to be sent; what follows one that never left is no retry."""
        attempts = state.attempts
        self.retries.append(bool(attempts) and attempts[-1].outcome is not AttemptOutcome.NOT_SENT)
