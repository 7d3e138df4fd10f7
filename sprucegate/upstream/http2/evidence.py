"""What an end over HTTP/2 proves: a forward never ran, or it may have run. docs/http2.md has the same table.

RFC 9113 section 8.7 names two proofs, REFUSED_STREAM and a number above the last one of a GOAWAY. A header block that
the peer can't have whole is the third (section 4.3). RFC 9110 section 15.5.20 gives one more by status. All else may
have run, whatever servers usually do.
"""

from enum import IntEnum
from typing import NamedTuple

from sprucegate.routing.events import AttemptOutcome

# Error codes, RFC 9113 section 7.
REFUSED_STREAM = 0x7
CANCEL = 0x8
ENHANCE_YOUR_CALM = 0xB
HTTP_1_1_REQUIRED = 0xD

# Status codes, RFC 9110 section 15 and RFC 6585.
MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class WriteProgress(IntEnum):
    """How much of a request the socket took before the connection was closed for good."""

    NOTHING = 0
    PART = 1  # of its header block
    WHOLE = 2  # the header block; a body may still be under way


class Row(NamedTuple):
    """FULL where another server should be asked; both it and NOT_SENT tell the rules that nothing ran."""

    name: str
    outcome: AttemptOutcome
    source: str  # where it is written


NOT_WRITTEN = Row("not written", AttemptOutcome.NOT_SENT, "RFC 9113 4.3")
IN_PART = Row("written in part", AttemptOutcome.NOT_SENT, "RFC 9113 4.3")
ABOVE_LAST = Row("above the last stream of a GOAWAY", AttemptOutcome.NOT_SENT, "RFC 9113 6.8, 8.7")
REFUSED = Row("REFUSED_STREAM", AttemptOutcome.NOT_SENT, "RFC 9113 8.7")
OTHER_RESET = Row("other reset", AttemptOutcome.RESET, "RFC 9113 5.4.2, 8.7")
NEEDS_HTTP_1_1 = Row("HTTP_1_1_REQUIRED", AttemptOutcome.RESET, "RFC 9113 7")
CALM = Row("ENHANCE_YOUR_CALM", AttemptOutcome.RESET, "RFC 9113 7")
ENDED_AFTER_GOAWAY = Row(
    "end after a GOAWAY, not above its last stream", AttemptOutcome.RESET, "RFC 9113 6.8"
)
ENDED = Row("end without a GOAWAY", AttemptOutcome.RESET, "RFC 9113 5.4.1, RFC 9110 9.2.2")
TIMED_OUT = Row("time-out", AttemptOutcome.TIMED_OUT, "RFC 9110 9.2.2")
MISDIRECTED = Row("421", AttemptOutcome.FULL, "RFC 9110 15.5.20")
BUSY = Row("429 or 503", AttemptOutcome.ERROR, "RFC 6585 4, RFC 9110 15.6.4")
BUSY_NEVER_RAN = Row("429 or 503 with Spruce-Ran: ?0", AttemptOutcome.FULL, "docs/http2.md")
NOT_HELD = Row("504 to only-if-cached", AttemptOutcome.MISS, "RFC 9111 5.2.1.7")

ROWS = (
    NOT_WRITTEN,
    IN_PART,
    ABOVE_LAST,
    REFUSED,
    OTHER_RESET,
    NEEDS_HTTP_1_1,
    CALM,
    ENDED_AFTER_GOAWAY,
    ENDED,
    TIMED_OUT,
    MISDIRECTED,
    BUSY,
    BUSY_NEVER_RAN,
    NOT_HELD,
)
CODES = {REFUSED_STREAM: REFUSED, HTTP_1_1_REQUIRED: NEEDS_HTTP_1_1, ENHANCE_YOUR_CALM: CALM}


def of_reset(code):
    """Return what a reset of the stream by the peer with this error code proves."""
    return CODES.get(code, OTHER_RESET)


def of_end(written, stream, last):
    """Return what the end of a connection proves; `last`: lowest last stream id of its GOAWAYs, None without one.

    Only for a connection closed on this side too: bytes that still lie in the front may go out otherwise.
    """
    if written is not WriteProgress.WHOLE:
        return NOT_WRITTEN if written is WriteProgress.NOTHING else IN_PART
    if last is None:
        return ENDED
    return ABOVE_LAST if stream > last else ENDED_AFTER_GOAWAY


def of_status(status, says_never_ran, only_if_cached):
    """Return what the status of a response proves, or None where the request was simply executed."""
    if status == MISDIRECTED_REQUEST:
        return MISDIRECTED
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return BUSY_NEVER_RAN if says_never_ran else BUSY
    return NOT_HELD if status == GATEWAY_TIMEOUT and only_if_cached else None
