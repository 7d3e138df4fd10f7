"""The life of one request: its attempts, its deadline, and its final answer."""

from typing import TYPE_CHECKING

from sprucegate.routing.actions import AwaitSlot, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from sprucegate.routing.attempt_results import AttemptResult
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Request
from sprucegate.routing.fill_source import Fill
from sprucegate.routing.load_shedding import final_answer
from sprucegate.routing.server import Server
from sprucegate.units import MILLISECOND

if TYPE_CHECKING:
    from sprucegate.routing.router import Router

ANSWER_MARGIN_NS = 20 * MILLISECOND  # kept before the end of the client's time

Action = SendAttempt | AwaitSlot | RejectRequest | FailRequest | CancelAttempt


class Attempt:
    """One attempt of a request.

    :ivar concurrent_transfers: this router's transfers from the cache when it was sent, including this one
        and excluding attempts that wait for a fill.
    :ivar concurrent_fills: this router's fills under way with it, 0 if no fill is expected.
    :ivar believed: whether the cache was believed to hold the object when it was sent.
    :ivar fill: the fill asked for, if one is expected.
    """

    __slots__ = (
        "cache",
        "source",
        "concurrent_transfers",
        "concurrent_fills",
        "believed",
        "is_open",
        "outcome",
        "fill",
    )

    def __init__(
        self, cache: Server, source: Server, concurrent_transfers: int, believed: bool = False
    ) -> None:
        self.cache = cache
        self.source = source
        self.concurrent_transfers = concurrent_transfers
        self.concurrent_fills = 0
        self.believed = believed
        self.is_open = True
        self.outcome: AttemptOutcome | None = None
        self.fill: Fill | None = None


class RequestState:
    """A request from its arrival to the end of its last attempt. Times are nanoseconds of the router's clock.

    :ivar objective_at: when it should be answered.
    :ivar deadline: when it is given up.
    :ivar attempts: all attempts in order; an attempt's number is its position.
    :ivar finished: whether its final answer is decided.
    :ivar streaming: whether the response has begun; nothing is decided from then on.
    :ivar missed: whether the last attempt was a plain miss or never left.
    :ivar no_retry: whether no further attempt may follow the one under way.
    :ivar failed_servers: indices of servers that did not serve or fill it.
    :ivar slot_source: source at which it holds a concurrency slot, if another module hands these out.
    """

    __slots__ = (
        "router", "request", "objective_at", "deadline", "attempts", "finished", "streaming", "missed",
        "no_retry", "failed_servers", "slot_source",
    )  # fmt: skip

    def __init__(self, router: "Router", request: Request, now: int) -> None:
        self.router = router
        self.request = request
        self.objective_at = now + router.latency_objective(request)
        self.deadline = now + request.ttl - ANSWER_MARGIN_NS
        self.attempts: list[Attempt] = []
        self.finished = False
        self.streaming = False
        self.missed = False
        self.no_retry = False
        self.failed_servers: set[int] = set()
        self.slot_source: int | None = None

    def open_attempts(self) -> list[int]:
        """Numbers of the attempts under way."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.is_open]

    def is_settled(self) -> bool:
        """Whether nothing more can happen to it."""
        return self.finished and not self.open_attempts()

    def possibly_executed(self) -> bool:
        """Whether an attempt is under way or may have had an effect."""
        for attempt in self.attempts:
            if attempt.outcome is None or attempt.is_open or not attempt.outcome.never_executed:
                return True
        return False

    def route(self, now: int) -> list[Action]:
        """Send it, wait for a slot, or give up."""
        if self.finished or self.streaming:
            return []
        action = self.router.plan(self, now)
        return [action] if action else self.give_up(now)

    def give_up(self, now: int) -> list[Action]:
        """The final answer without a response, and the end of attempts under way."""
        self.finished = True
        router = self.router
        router.digest.record_of(self.request, now).rejected_at = now
        return [final_answer(self, router.settings, router.retry_policy), *self._cancel_open_attempts()]

    def _cancel_open_attempts(self) -> list[Action]:
        return [CancelAttempt(number) for number in self.open_attempts() if self.router.settings.cancel]

    def attempt_ended(  # noqa: PLR0913 - called by position from every driver
        self,
        number: int,
        outcome: AttemptOutcome,
        status: CacheStatus,
        elapsed: int,
        fill_wait: int,
        load: dict[str, float],
        finished: bool,
        now: int,
    ) -> list[Action]:
        """An attempt ended; what is to be done next.

        :param elapsed: time since it was sent (ns).
        :param fill_wait: time that the cache says it waited for a fill (ns).
        :param load: the cache's load report, empty for none.
        :param finished: whether the client has its answer or has left.
        """
        attempt = self.attempts[number]
        attempt.is_open = False
        attempt.outcome = outcome
        self.router.results.record(
            AttemptResult(self, attempt, outcome, status, elapsed, fill_wait, load, now)
        )
        if finished or outcome is AttemptOutcome.RETURNED:
            return self.client_disconnected(now)
        return [] if self.open_attempts() else self.route(now)

    def response_started(self, number: int, now: int) -> list[Action]:
        """The client has received the first bytes of a response: nothing more may be sent."""
        self.streaming = True
        return []

    def client_disconnected(self, now: int) -> list[Action]:
        """The client has left, or has its answer."""
        if self.finished:
            return []
        self.finished = True
        return self._cancel_open_attempts()
