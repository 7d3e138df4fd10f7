"""State of one request: its attempts, its deadline, and its final answer."""

from typing import TYPE_CHECKING

from sprucegate.routing.actions import (
    AwaitSlot,
    CancelAttempt,
    FailRequest,
    PostponeAttempt,
    RejectRequest,
    SendAttempt,
)
from sprucegate.routing.attempt_results import AttemptResult
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Request
from sprucegate.routing.fill_source import Fill
from sprucegate.routing.load_shedding import final_answer
from sprucegate.routing.server import Server
from sprucegate.units import MILLISECOND

if TYPE_CHECKING:
    from sprucegate.routing.router import Router

ANSWER_MARGIN_NS = 20 * MILLISECOND  # reserved before the client's time-out for sending the final answer

Action = SendAttempt | AwaitSlot | PostponeAttempt | RejectRequest | FailRequest | CancelAttempt


class Attempt:
    """One attempt of a request.

    :ivar concurrent_transfers: this router's transfers from the cache when it was sent, including this one
        and excluding attempts that wait for a fill.
    :ivar concurrent_fills: this router's fills in flight when it was sent, including its own; 0 if no fill is
        expected.
    :ivar believed: whether the cache was believed to hold the object when the attempt was sent.
    :ivar fill: the fill that is expected to be made for it, or None.
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

    :ivar objective_at: when its latency objective is reached.
    :ivar deadline: when the router gives it up.
    :ivar attempts: all attempts in order; an attempt's number is its position.
    :ivar finished: whether it has its final answer or the client has left.
    :ivar streaming: whether the client has received part of a response; no more attempts are made then.
    :ivar missed: whether the last attempt was a plain miss or was never sent.
    :ivar no_retry: whether no further attempt may follow the current one.
    :ivar failed_servers: indices of servers that failed to serve or fill it.
    :ivar slot_source: id of the source at which it holds a concurrency slot granted by another module.
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
        """Numbers of the attempts in flight."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.is_open]

    def is_settled(self) -> bool:
        """Whether it is finished and no attempt is in flight."""
        return self.finished and not self.open_attempts()

    def possibly_executed(self) -> bool:
        """Whether an attempt is in flight or may have been executed."""
        for attempt in self.attempts:
            if attempt.outcome is None or attempt.is_open or not attempt.outcome.never_executed:
                return True
        return False

    def route(self, now: int) -> list[Action]:
        """Send an attempt, wait for a slot or for a time, or give up."""
        if self.finished or self.streaming:
            return []
        action = self.router.plan(self, now)
        return [action] if action else self.give_up(now)

    def give_up(self, now: int) -> list[Action]:
        """End the request without a response and cancel its attempts in flight."""
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
        """Record the end of an attempt and decide what follows.

        :param elapsed: time since the attempt was sent (ns).
        :param fill_wait: time that the cache reports to have waited for a fill (ns).
        :param load: the cache's load report, empty if it sent none.
        :param finished: whether the client has its response or has left.
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
        """The first bytes of a response went to the client, so that no further attempt can be made."""
        self.streaming = True
        return []

    def client_disconnected(self, now: int) -> list[Action]:
        """The client has left or has its response."""
        if self.finished:
            return []
        self.finished = True
        return self._cancel_open_attempts()
