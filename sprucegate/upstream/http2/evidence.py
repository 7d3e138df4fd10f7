"""What the end of a request over HTTP/2 proves: it was never executed, or may have been. docs/http2.md has the table.

RFC 9113 section 8.7 names two proofs that a request was not processed: REFUSED_STREAM, and a stream id above the last
one of a GOAWAY. A header block that was not sent completely is the third (section 4.3). Status 421 is one more (RFC
9110 section 15.5.20). In all other cases the request may have been executed, whatever servers usually do.
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
    """How much of a request the socket had taken when the connection was closed."""

    NOTHING = 0
    PARTIAL = 1  # part of its header block
    COMPLETE = 2  # all of its header block; its body may not be sent yet


class Row(NamedTuple):
    """A kind of end and the outcome that it proves.

    :ivar name: its name in the counters
    :ivar outcome: FULL if another server should be tried; FULL and NOT_SENT both say that nothing was executed
    :ivar source: the specification that says so
    """

    name: str
    outcome: AttemptOutcome
    source: str


NOT_WRITTEN = Row("not written", AttemptOutcome.NOT_SENT, "RFC 9113 4.3")
PARTLY_WRITTEN = Row("written in part", AttemptOutcome.NOT_SENT, "RFC 9113 4.3")
ABOVE_GOAWAY = Row("above the last stream of a GOAWAY", AttemptOutcome.NOT_SENT, "RFC 9113 6.8, 8.7")
REFUSED = Row("REFUSED_STREAM", AttemptOutcome.NOT_SENT, "RFC 9113 8.7")
OTHER_RESET = Row("other reset", AttemptOutcome.RESET, "RFC 9113 5.4.2, 8.7")
NEEDS_HTTP_1_1 = Row("HTTP_1_1_REQUIRED", AttemptOutcome.RESET, "RFC 9113 7")
CALM_DOWN = Row("ENHANCE_YOUR_CALM", AttemptOutcome.RESET, "RFC 9113 7")
ENDED_AFTER_GOAWAY = Row(
    "end after a GOAWAY, not above its last stream", AttemptOutcome.RESET, "RFC 9113 6.8"
)
ENDED = Row("end without a GOAWAY", AttemptOutcome.RESET, "RFC 9113 5.4.1, RFC 9110 9.2.2")
TIMED_OUT = Row("time-out", AttemptOutcome.TIMED_OUT, "RFC 9110 9.2.2")
MISDIRECTED = Row("421", AttemptOutcome.FULL, "RFC 9110 15.5.20")
BUSY = Row("429 or 503", AttemptOutcome.ERROR, "RFC 6585 4, RFC 9110 15.6.4")
BUSY_NOT_EXECUTED = Row("429 or 503 with Spruce-Ran: ?0", AttemptOutcome.FULL, "docs/http2.md")
NOT_CACHED = Row("504 to only-if-cached", AttemptOutcome.MISS, "RFC 9111 5.2.1.7")

ROWS = (
    NOT_WRITTEN,
    PARTLY_WRITTEN,
    ABOVE_GOAWAY,
    REFUSED,
    OTHER_RESET,
    NEEDS_HTTP_1_1,
    CALM_DOWN,
    ENDED_AFTER_GOAWAY,
    ENDED,
    TIMED_OUT,
    MISDIRECTED,
    BUSY,
    BUSY_NOT_EXECUTED,
    NOT_CACHED,
)
RESET_CODES = {REFUSED_STREAM: REFUSED, HTTP_1_1_REQUIRED: NEEDS_HTTP_1_1, ENHANCE_YOUR_CALM: CALM_DOWN}


def of_reset(code):
    """Return what a reset of the stream by the peer with this error code proves."""
    return RESET_CODES.get(code, OTHER_RESET)


def of_end(written, stream, last):
    """Return what the end of a connection proves about the stream with id `stream`.

    `last` is the lowest last stream id of the GOAWAYs received, None without one. Valid only once this side has closed
    the connection too: otherwise bytes that are still buffered here may be sent.
    """
    if written is not WriteProgress.COMPLETE:
        return NOT_WRITTEN if written is WriteProgress.NOTHING else PARTLY_WRITTEN
    if last is None:
        return ENDED
    return ABOVE_GOAWAY if stream > last else ENDED_AFTER_GOAWAY


def of_status(status, declared_not_executed, stored_only):
    """Return what the status of a response proves, or None if it has no special meaning here.

    `stored_only` is whether a cache was asked for a stored response alone, and does not say that it forwarded the
    request all the same.
    """
    if status == MISDIRECTED_REQUEST:
        return MISDIRECTED
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return BUSY_NOT_EXECUTED if declared_not_executed else BUSY
    return NOT_CACHED if status == GATEWAY_TIMEOUT and stored_only else None
