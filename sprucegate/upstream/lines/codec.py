"""The lines that caches, parents and the origin speak. Opens no socket, decides nothing."""

from math import isfinite
from typing import NamedTuple

from sprucegate.errors import ProtocolError
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.upstream.place import ServerResponse

LINE_MOST = 4096  # bytes of an answer's line
BODY_MOST = 240_000  # bytes of an object
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
    """What a cache sent can't be read: nothing after it on that connection can be trusted."""


class Answer(NamedTuple):
    """One response: the attempt's id, its word, its fields and its body."""

    id: bytes
    word: bytes
    fields: dict
    body: bytes


def serve(get_id, ds, thing, part, forward, source, have, body, token="", left=None):
    """A forward as a line. A rounded limit must not be wider than the decided one, nor 0, which is none.

    `left` is what the client still waits (ns) when the line is sent, if that is later than it was decided.
    """
    wait = forward.timeout if left is None else min(left, forward.timeout)
    fields = f"profile={ds},thing={thing},nth={part},max={max(1, wait // MS)}"
    if source:
        fields += f",src={source}"
    if forward.rank:
        fields += f",keep={forward.rank}"
    if forward.max_age:
        fields += f",maxage={max(1, forward.max_age // MS)}"
    flags = [
        flag
        for flag, on in (
            ("j", forward.collapse),
            ("h", forward.only_if_cached),
            ("n", forward.bypass_parent),
            ("r", forward.revalidate),
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


def cancel(get_id):
    """Return the line that cancels an attempt."""
    return b"cancel %b\r\n" % get_id


class AnswerReader:
    """Answers of one connection, fed in whatever pieces they come; `fault` once they can't be read."""

    def __init__(self):
        self.held, self.head, self.fault = bytearray(), None, None

    def partial(self):
        """Whether a response has begun and is not whole."""
        return self.head is not None or bool(self.held)

    def feed(self, data):
        """The answers made whole: also those before a fault, which were read well."""
        whole = []
        self.held += data
        try:
            self._cut(self.held, whole)
        except MalformedAnswerError as fault:
            self.fault = str(fault)
        return whole

    def _cut(self, held, whole):
        at = 0
        while True:
            if self.head is None:
                end = held.find(b"\r\n", at)
                if end < 0:
                    if len(held) - at > LINE_MOST:
                        raise MalformedAnswerError("a line without an end")
                    break
                self.head, at = read_head(bytes(held[at:end])), end + 2
            length = self.head[3]
            if len(held) - at < length + 2:
                break
            if held[at + length : at + length + 2] != b"\r\n":
                raise MalformedAnswerError("a body without its end")
            whole.append(Answer(*self.head[:3], bytes(held[at : at + length])))
            self.head, at = None, at + length + 2
        del held[:at]


def read_head(line):
    """Return the head of a response: id, word, fields and length; raises MalformedAnswerError."""
    words = line.split(b" ")
    if len(words) != 4 or not words[3].isdigit() or int(words[3]) > BODY_MOST:
        raise MalformedAnswerError(f"no answer: {line[:60]!r}")
    fields = {}
    if words[2] != b"-":
        try:
            text = words[2].decode()
        except UnicodeDecodeError:
            raise MalformedAnswerError(f"fields are not text: {line[:60]!r}") from None
        for pair in text.split(","):
            name, mark, value = pair.partition("=")
            if not mark:
                raise MalformedAnswerError(f"a field without '=': {line[:60]!r}")
            fields[name] = value
    return words[0], words[1], fields, int(words[3])


def meaning(answer, have):
    """Outcome, where it was found, time waited for the source and load report, as the module knows them.

    `have` is the tag of the client's copy that was sent along, "" for none.
    """
    fields, outcome, report = answer.fields, OUTCOMES.get(answer.word), {}
    if outcome is None:
        raise MalformedAnswerError(f"an unknown word {answer.word[:30]!r}")
    if answer.word == b"still_good" and (not have or fields.get("etag") != have):
        # Passed on, it would tell a client to show a copy that no cache has named.
        raise MalformedAnswerError(
            f"still_good of another copy: {fields.get('etag', '')[:30]!r}, asked {have!r}"
        )
    try:
        for pair in filter(None, fields.get("report", "").split(";")):
            name, _, value = pair.partition(":")
            if name in LOADS:  # what is not known is skipped
                report[LOADS[name]] = _figure(value)
        waited = int(_figure(fields.get("ttfb", 0)) * MS)
    except ValueError:
        raise MalformedAnswerError(f"no number where one belongs: {fields}"[:200]) from None
    return outcome, REMARKS.get(fields.get("remark"), CacheStatus.UNKNOWN), waited, report


def _figure(text):
    """Against what is a number to Python and tells nothing: compared, NaN is neither less nor more."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return max(0.0, value)


def returned(answer):
    """What goes on to the client of an answer whose outcome is RETURNED."""
    made = answer.fields.get("made", "")
    return ServerResponse(
        answer.word == b"still_good",
        answer.fields.get("etag", ""),
        int(made) * MS if made.isdecimal() else 0,
        answer.body,
    )
