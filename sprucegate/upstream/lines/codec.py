"""Codec of the line protocol that caches, parents and the origin speak; no I/O."""

from math import isfinite
from typing import NamedTuple

from sprucegate.errors import ProtocolError
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.upstream.place import ServerResponse

LINE_MAX = 4096  # bytes of an answer's head line
BODY_MAX = 240_000  # bytes of an object
MS = 1_000_000
OUTCOMES = {
    b"served": AttemptOutcome.RETURNED,
    b"still_good": AttemptOutcome.RETURNED,
    b"not_here": AttemptOutcome.MISS,
    b"overload": AttemptOutcome.FULL,
    b"crashed": AttemptOutcome.ERROR,
    b"nobody": AttemptOutcome.NOT_SENT,
}
REMARKS = {
    "cached": CacheStatus.HIT,
    "fetched": CacheStatus.FILLED,
    "fetched_root": CacheStatus.FILLED_BY_ORIGIN,
    "merged": CacheStatus.COLLAPSED,
    "past_fresh": CacheStatus.STALE_HIT,
    "up_refused": CacheStatus.FILL_SOURCE_REFUSED,
    "up_lost": CacheStatus.FILL_SOURCE_BROKEN,
    "up_empty": CacheStatus.FILL_SOURCE_MISS,
    "fills_full": CacheStatus.FILL_SLOTS_EXHAUSTED,
    "root_failed": CacheStatus.ORIGIN_FAILED,
}
LOADS = {
    "inflight": "inflight",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "latency_ms",
    "qps": "per_second",
    "eps": "errors_per_second",
    "x0": "hit_share",
    "x1": "link_use",
}


class MalformedAnswerError(ProtocolError, ValueError):
    """A server sent a malformed answer: nothing after it on that connection can be trusted."""


class Answer(NamedTuple):
    """One answer.

    :ivar id: the call id of its request
    :ivar status: what came of the request, a key of OUTCOMES
    :ivar fields: its fields
    :ivar body: its content
    """

    id: bytes
    status: bytes
    fields: dict
    body: bytes


def encode_request(get_id, ds, thing, part, action, source, have, body, token="", time_left=None):
    """Return the line and body that send an attempt.

    Limits are rounded down, so that none is wider than decided, but not to 0, which would mean no limit. `time_left` is
    how long the client still waits (ns) when the line is sent, None if that is when the attempt was decided.
    """
    wait = action.timeout if time_left is None else min(time_left, action.timeout)
    fields = f"profile={ds},thing={thing},nth={part},max={max(1, wait // MS)}"
    if source:
        fields += f",src={source}"
    if action.rank:
        fields += f",keep={action.rank}"
    if action.max_age:
        fields += f",maxage={max(1, action.max_age // MS)}"
    flags = [
        flag
        for flag, on in (
            ("j", action.collapse),
            ("h", action.only_if_cached),
            ("n", action.bypass_parent),
            ("r", action.revalidate),
        )
        if on
    ]
    if flags:
        fields += f",flags={'+'.join(flags)}"
    if have:
        fields += f",have={have}"
    if token:
        fields += f",replay={token}"
    return b"serve %b %b %d\r\n%b\r\n" % (get_id, fields.encode(), len(body), body)


def encode_cancel(get_id):
    """Return the line that cancels a request."""
    return b"cancel %b\r\n" % get_id


class AnswerReader:
    """Parses the answers on one connection, incrementally.

    :ivar buffer: received bytes that are not parsed yet
    :ivar head: the head of an answer whose body is not complete, or None
    :ivar fault: the error that ended parsing, or None
    """

    def __init__(self):
        self.buffer = bytearray()
        self.head = None
        self.fault = None

    def has_partial_answer(self):
        """Return whether a part of an answer was received."""
        return self.head is not None or bool(self.buffer)

    def memory_size(self):
        """Return the bytes that the partly received answer takes once it is whole."""
        return max(len(self.buffer), self.head[3] if self.head is not None else 0)

    def feed(self, data):
        """Return the answers that are complete now, also those before an error."""
        complete = []
        self.buffer += data
        try:
            self._parse(self.buffer, complete)
        except MalformedAnswerError as fault:
            self.fault = str(fault)
        return complete

    def _parse(self, buffer, complete):
        start = 0
        while True:
            if self.head is None:
                end = buffer.find(b"\r\n", start)
                if end < 0:
                    if len(buffer) - start > LINE_MAX:
                        raise MalformedAnswerError(f"no line end within {LINE_MAX} bytes")
                    break
                self.head, start = parse_head(bytes(buffer[start:end])), end + 2
            length = self.head[3]
            if len(buffer) - start < length + 2:
                break
            if buffer[start + length : start + length + 2] != b"\r\n":
                raise MalformedAnswerError("line end missing after the body")
            with memoryview(buffer) as view:  # a slice of the buffer itself would be copied twice
                complete.append(Answer(*self.head[:3], bytes(view[start : start + length])))
            self.head, start = None, start + length + 2
        del buffer[:start]


def parse_head(line):
    """Return the head of an answer: id, status, fields and length of the body; raise MalformedAnswerError."""
    parts = line.split(b" ")
    if len(parts) != 4 or not parts[3].isdigit() or int(parts[3]) > BODY_MAX:
        raise MalformedAnswerError(f"malformed head line: {line[:60]!r}")
    fields = {}
    if parts[2] != b"-":
        try:
            text = parts[2].decode()
        except UnicodeDecodeError:
            raise MalformedAnswerError(f"fields are not UTF-8: {line[:60]!r}") from None
        for pair in text.split(","):
            name, separator, value = pair.partition("=")
            if not separator:
                raise MalformedAnswerError(f"field without '=': {line[:60]!r}")
            fields[name] = value
    return parts[0], parts[1], fields, int(parts[3])


def interpret(answer, have):
    """Return (outcome, cache status, time that the server waited for the source of a fill in ns, load report).

    `have` is the entity tag of the client's stored response that was sent along, "" for none.
    """
    fields = answer.fields
    outcome = OUTCOMES.get(answer.status)
    load = {}
    if outcome is None:
        raise MalformedAnswerError(f"unknown status {answer.status[:30]!r}")
    if answer.status == b"still_good" and (not have or fields.get("etag") != have):
        # If it were passed on, the client would use a stored response that no cache has validated.
        raise MalformedAnswerError(
            f"still_good for another entity tag: {fields.get('etag', '')[:30]!r} instead of {have!r}"
        )
    try:
        for pair in filter(None, fields.get("report", "").split(";")):
            name, _, value = pair.partition(":")
            if name in LOADS:  # unknown names are skipped
                load[LOADS[name]] = _parse_number(value)
        fill_wait = int(_parse_number(fields.get("ttfb", 0)) * MS)
    except ValueError:
        raise MalformedAnswerError(f"not a number: {fields}"[:200]) from None
    return outcome, REMARKS.get(fields.get("remark"), CacheStatus.UNKNOWN), fill_wait, load


def _parse_number(text):
    """Parse a number of at least 0. Infinity and NaN are refused: comparisons with NaN are always false."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return max(0.0, value)


def to_response(answer):
    """Return the response that is passed to the client, of an answer whose outcome is RETURNED."""
    made = answer.fields.get("made", "")
    return ServerResponse(
        answer.status == b"still_good",
        answer.fields.get("etag", ""),
        int(made) * MS if made.isdecimal() else 0,
        answer.body,
    )
