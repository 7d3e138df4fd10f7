"""Retry policy: whether another attempt of a request is safe and within its limits and the retry budget."""

from collections import deque
from typing import TYPE_CHECKING

from sprucegate.routing.events import AttemptOutcome
from sprucegate.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from sprucegate.routing.request import RequestState

UNANSWERED = (None, AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)
ATTEMPTS_KEPT = 100
RETRY_BUDGET_RATIO = 0.2  # share of the last attempts that may be retries
ATTEMPTS_MIN = 10  # after fewer attempts, as many retries are allowed as after this many


class RetryPolicy:
    """Attempt limits of each request and the retry budget of the router (SRE book, chapter 22: Addressing
    Cascading Failures).

    :ivar retries: whether each of the last attempts was a retry.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.retries: deque[bool] = deque(maxlen=ATTEMPTS_KEPT)
        self.revenue_max = max([revenue for revenue in settings.revenue if revenue], default=1)

    def is_idempotent(self, delivery_service: int) -> bool:
        """Whether the service's requests may run twice (RFC 9110, 9.2.2); an unknown `effect` means no."""
        return bool(self.settings.of_service("effect", delivery_service, "idempotent") == "idempotent")

    def attempts_max(self, delivery_service: int) -> int:
        """Maximum attempts of one request: two, plus up to two more in proportion to its revenue."""
        revenue = self.settings.of_service("revenue", delivery_service, 0)
        return 2 + int(2 * revenue / self.revenue_max)

    def may_attempt(self, state: "RequestState", now: int) -> bool:
        """Whether a request may be sent or retried.

        Not after its deadline, not beyond its maximum attempts, and not if it may have been executed and
        isn't idempotent. A retry also needs retry budget, except after a plain miss or an attempt that was
        never sent, as these add no load.
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

    def is_id_spent(self, state: "RequestState") -> bool:
        """Whether no other request may be taken under the id of this settled one.

        A request that may have been executed and isn't idempotent would run twice. One that got no answer may
        still get it, and the answer would be taken for that of the other request.
        """
        sent = [a.outcome for a in state.attempts if a.outcome is None or not a.outcome.never_executed]
        if not sent:
            return False
        if not self.is_idempotent(state.request.delivery_service):
            return True
        return any(outcome in UNANSWERED for outcome in sent)

    def record_attempt(self, state: "RequestState") -> None:
        """Count an attempt that is about to be sent; it is no retry if the one before was never sent."""
        attempts = state.attempts
        self.retries.append(bool(attempts) and attempts[-1].outcome is not AttemptOutcome.NOT_SENT)
