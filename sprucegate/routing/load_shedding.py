"""Load shedding: request deadlines, and the final answer to a request that is not served."""

import heapq
from itertools import count
from typing import TYPE_CHECKING

from sprucegate.routing.actions import FailRequest, RejectRequest
from sprucegate.routing.retry import RetryPolicy
from sprucegate.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from sprucegate.routing.request import RequestState

COMPACTION_MIN = 128  # with fewer timers, those of finished requests are not removed ahead of time

Timer = tuple[int, int, "RequestState | None"]


def final_answer(
    state: "RequestState", settings: RoutingSettings, retry_policy: RetryPolicy
) -> RejectRequest | FailRequest:
    """The final answer without a response: a rejection if a retry by the client is safe, else a failure."""
    if retry_policy.is_idempotent(state.request.delivery_service) or not state.possibly_executed():
        return RejectRequest(settings.max_retry_after if settings.retry_after else 0)
    return FailRequest()


class DeadlineQueue:
    """Timers for the deadlines of requests and, with None for a request, for endpoint list queries.

    :ivar timers: heap of (time, sequence number, request or None); compaction removes the entries of finished
        requests.
    """

    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self._sequence = count()
        self._compact_at = COMPACTION_MIN

    def add(self, at: int, state: "RequestState | None") -> None:
        """Set a timer for a request at a time (ns)."""
        if len(self.timers) >= self._compact_at:
            # Deadlines may be an hour away: entries of finished requests must not accumulate until then.
            self.timers = [timer for timer in self.timers if timer[2] is None or not timer[2].finished]
            heapq.heapify(self.timers)
            self._compact_at = max(COMPACTION_MIN, 2 * len(self.timers))
        heapq.heappush(self.timers, (at, next(self._sequence), state))

    def next(self) -> int | None:
        """Time of the next timer (ns), None if there is none."""
        while self.timers and self.timers[0][2] is not None and self.timers[0][2].finished:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def pop_expired(self, now: int) -> "list[RequestState | None]":
        """Remove expired timers; returns their requests, except those finished or being answered."""
        expired = []
        while self.timers and self.timers[0][0] <= now:
            state = heapq.heappop(self.timers)[2]
            if state is None or not state.finished and not state.streaming:
                expired.append(state)
        return expired
