"""Counts the bytes that clients and servers make this process buffer, and has some freed where they exceed their share.

Each holder reports its size as it grows and shrinks. Above the bound connections of clients are closed whose requests
are not whole, or that don't read their responses; nothing that was taken on is given up for it. What can't be freed
keeps new requests and new answers out: see `MemoryBudget.admits` and `is_full`.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

FREED_PER_REPORT_MAX = 64  # connections closed for one holder that has grown


class Holder(StrEnum):
    """What holds buffered bytes.

    :cvar PARTIAL_REQUEST: a request that is not read whole, or waits to be dispatched
    :cvar OPEN_REQUEST: a request in progress, with its body
    :cvar UNWRITTEN_RESPONSE: a response that its client has not taken whole
    :cvar PARTIAL_ANSWER: an answer of a server that is not read whole
    """

    PARTIAL_REQUEST = "partial_requests"
    OPEN_REQUEST = "open_requests"
    UNWRITTEN_RESPONSE = "unwritten_responses"
    PARTIAL_ANSWER = "partial_answers"


class BufferedBytes:
    """Bytes by holder, within a bound.

    :ivar bound: upper bound of all together
    :ivar total: all together
    :ivar by_holder: bytes by Holder
    :ivar free_one: closes one connection to free its bytes; False if there is none to close
    :ivar waiting: what to call when there is room again, by who waits
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.total = 0
        self.by_holder: Counter[Holder] = Counter()
        self.free_one: Callable[[], bool] = lambda: False
        self.waiting: dict[object, Callable[[], None]] = {}

    def change(self, holder: Holder, former: int, size: int) -> None:
        """Record that what held `former` bytes holds `size` now, and keep within the bound."""
        self.total += size - former
        self.by_holder[holder] += size - former
        if size > former:
            self._free()
        elif self.waiting and not self.is_full():
            waiting, self.waiting = self.waiting, {}
            for resume in waiting.values():
                resume()

    def committed(self) -> int:
        """Return the bytes of what was taken on, which is not given up."""
        return self.by_holder[Holder.OPEN_REQUEST] + self.by_holder[Holder.PARTIAL_ANSWER]

    def is_full(self) -> bool:
        """Return whether what was taken on reaches the bound, so that no further answer should be read."""
        return self.committed() >= self.bound

    def when_not_full(self, who: object, resume: Callable[[], None]) -> None:
        """Call `resume` once, when there is room again."""
        self.waiting[who] = resume

    def stop_waiting(self, who: object) -> None:
        """Forget what `when_not_full` was told."""
        self.waiting.pop(who, None)

    def _free(self) -> None:
        for _ in range(FREED_PER_REPORT_MAX):
            if self.total <= self.bound or not self.free_one():
                return

    def kilobytes(self) -> dict[str, int]:
        """Return the kilobytes by holder, without those that hold nothing, for the log."""
        return {holder.value: size >> 10 for holder, size in sorted(self.by_holder.items()) if size >> 10}
