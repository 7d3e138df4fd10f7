"""Progress of a stream of the event bus: whether it is silent, has caught up, may still be waited for.

It says how far the front knows what was purged, and thereby which copies it may use.
"""

from sprucegate.units import MILLISECOND, SECOND

SILENCE_MAX_NS = 1700 * MILLISECOND  # the bus sends a comment each second
SILENT_STREAM_KEPT_NS = 30 * SECOND
# The bus may begin with a comment. The events that were missed follow it, and take this long at most.
CATCH_UP_TIME_NS = SECOND


class EventStreamProgress:
    """What was heard of one stream. Times are nanoseconds of the router's clock.

    :ivar heard_at: when it last brought a part of an event or a comment, or else when it was begun.
    :ivar catches_up_until: what comes after this follows all events that were missed; None before any.
    """

    def __init__(self, now: int) -> None:
        self.heard_at = now
        self.catches_up_until: int | None = None

    def on_heard(self, now: int) -> None:
        """Record that the stream brought a part of an event or a comment."""
        self.heard_at = now
        if self.catches_up_until is None:
            self.catches_up_until = now + CATCH_UP_TIME_NS

    def on_purge(self, age: int, now: int) -> None:
        """Record a purge that was issued `age` ns ago: after an old one others may follow."""
        if age > CATCH_UP_TIME_NS:
            self.catches_up_until = now + CATCH_UP_TIME_NS

    def has_caught_up(self) -> bool:
        """Whether what was heard last followed all events issued before it."""
        return self.catches_up_until is not None and self.heard_at >= self.catches_up_until

    def silent_at(self) -> int:
        """When the stream counts as silent, unless it is heard before."""
        return self.heard_at + SILENCE_MAX_NS

    def may_go_on(self, now: int) -> bool:
        """Whether a silent stream may still be heard, so that it is worth a connection."""
        return now - self.heard_at <= SILENT_STREAM_KEPT_NS
