"""Maps attempts to HTTP requests, and responses to outcome, cache status, fill wait and load; see docs/http2.md.

Pure functions: no socket and no clock. Standard fields are used where there are any (RFC 9110, 9111, 9211;
Server-Timing of W3C); the rest goes into a few fields of our own, which are structured fields (RFC 9651).
"""

from decimal import Decimal
from functools import lru_cache
from typing import NamedTuple

from hpack import NeverIndexedHeaderTuple as NeverIndexed
from http_sfv import Dictionary, List
from http_sfv.string import ser_string

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.upstream.http2 import evidence
from sprucegate.upstream.place import ServerResponse

MS = 1_000_000
AGE_UNIT_NS = 1_000_000_000  # ages are whole seconds (RFC 9111 section 1.2.2)
BODY_MAX = 240_000  # bytes of an object
STRUCTURED_FIELD_MAX = 1000  # bytes; longer structured fields are ignored
PARSED_FIELDS_CACHED = 512  # parsed structured fields that are cached: a server sends few different ones
DETAILS = {
    "source-refused": CacheStatus.FILL_SOURCE_REFUSED,
    "source-broken": CacheStatus.FILL_SOURCE_BROKEN,
    "source-lacks": CacheStatus.FILL_SOURCE_MISS,
    "no-fill-place": CacheStatus.FILL_SLOTS_EXHAUSTED,
    "origin-failed": CacheStatus.ORIGIN_FAILED,
}
# With these a cache sent the request on, whatever its directives: a 504 then says nothing about what was executed.
FORWARDED = (
    CacheStatus.FILLED,
    CacheStatus.FILLED_BY_ORIGIN,
    CacheStatus.COLLAPSED,
    CacheStatus.FILL_SOURCE_BROKEN,
    CacheStatus.ORIGIN_FAILED,
)
LOADS = (
    "inflight",
    "queued",
    "busy",
    "latency_ms",
    "per_second",
    "errors_per_second",
    "hit_share",
    "link_use",
)


class ResponseMeaning(NamedTuple):
    """What a response means for the attempt.

    :ivar outcome: the outcome of the attempt
    :ivar cache_status: how the cache came by its answer
    :ivar fill_wait: how long the server waited for the source of a fill (ns)
    :ivar load: the server's load report
    :ivar response: what is passed to the client, None unless the outcome is RETURNED
    :ivar row: the row of the evidence table that applies, or None
    """

    outcome: AttemptOutcome
    cache_status: CacheStatus
    fill_wait: int
    load: dict
    response: ServerResponse | None
    row: evidence.Row | None


def request_fields(authority, get, action, source, stored_only, time_left):
    """Return the header list of an attempt. Waits are rounded down; for ages see `_age_directives`.

    `stored_only` is whether the server may answer from its stored responses alone (RFC 9111 section 5.2.1.7);
    `time_left` is how long the client still waits (ns) when the request is sent.
    """
    path = b"/svc/%b/%b/slice-%d" % (get.ds.encode(), get.object_key.encode(), get.part)
    # Fields that differ from request to request are never indexed (RFC 7541 section 6.2.3): in the peer's dynamic table
    # they would evict the entries that repeat. It also saves 8% of the CPU time of sending.
    fields = [
        (b":method", b"PUT" if get.routing_request.write else b"GET"),
        (b":scheme", b"http"),
        (b":authority", authority),
        NeverIndexed(b":path", path),
        NeverIndexed(b"x-call-id", get.id),
        NeverIndexed(b"spruce-wait", b"%d" % max(1, min(time_left, action.timeout) // MS)),
    ]
    cache_control = _age_directives(action.max_age)
    if stored_only:
        cache_control.append("only-if-cached")
    if cache_control:
        fields.append((b"cache-control", ", ".join(cache_control).encode()))
    if get.if_none_match:
        fields.append((b"if-none-match", b'"%b"' % get.if_none_match.encode()))
    if get.token:
        fields.append(NeverIndexed(b"idempotency-key", ser_string(get.token).encode()))
    fill = []
    if source:
        fill.append("source=" + ser_string(source))
    if action.rank:
        fill.append(f"rank={action.rank}")
    if action.number:
        fill.append(f"try={action.number}")
    fill += [
        flag
        for flag, on in (
            ("join", action.collapse),
            ("held", action.only_if_cached),
            ("pass", action.bypass_parent),
            ("renew", action.revalidate),
        )
        if on
    ]
    if fill:
        fields.append((b"spruce-fill", ", ".join(fill).encode()))
    if get.body or get.routing_request.write:
        fields.append((b"content-length", b"%d" % len(get.body)))
    return fields


def _age_directives(max_age):
    """Return the Cache-Control directives (RFC 9111 section 5.2.1) that admit no response older than `max_age` (ns).

    A server counts ages in whole seconds and so takes a response for up to one second younger than it is. `max-stale`
    accepts a stale response up to the same age. No age excludes all responses of less than a second: where one of them
    may be from before a purge, the router sends no attempt (`Router.sendable_at`).
    """
    if not max_age:
        return []
    seconds = max(0, max_age // AGE_UNIT_NS - 1)
    return [f"max-age={seconds}", f"max-stale={seconds}"]


@lru_cache(PARSED_FIELDS_CACHED)
def _parse_cache_status(text):
    """Return the cache status by Cache-Status (RFC 9211), whose last member is the cache that sent the response."""
    members = List()
    members.parse(text)
    if not members:
        return CacheStatus.UNKNOWN
    own, upstream = members[-1].params, list(members)[:-1]
    if own.get("hit"):
        return (
            CacheStatus.STALE_HIT if isinstance(ttl := own.get("ttl"), int) and ttl < 0 else CacheStatus.HIT
        )
    if (detail := own.get("detail")) is not None and str(detail) in DETAILS:
        return DETAILS[str(detail)]
    if "fwd" not in own:
        return CacheStatus.UNKNOWN
    if own.get("collapsed"):
        return CacheStatus.COLLAPSED
    # If a cache further upstream forwarded the request as well, the object came from the origin.
    return (
        CacheStatus.FILLED_BY_ORIGIN
        if any("fwd" in member.params for member in upstream)
        else CacheStatus.FILLED
    )


@lru_cache(PARSED_FIELDS_CACHED)
def _parse_fill_wait(text):
    """Return the duration (ns) of the metric `fill` in Server-Timing."""
    members = List()
    members.parse(text)
    for member in members:
        if str(member.value) == "fill" and isinstance(member.params.get("dur"), int | float | Decimal):
            return max(0, int(member.params["dur"] * MS))
    return 0


def _parse_load(text):
    members = Dictionary()
    members.parse(text)
    return {
        name: float(members[name].value)
        for name in LOADS
        if name in members
        and isinstance(value := members[name].value, int | float | Decimal)
        and not isinstance(value, bool)
    }


def _parse_or_default(parser, text, default):
    """Parse a structured field; one that can't be parsed is ignored as if it were absent (RFC 9651 section 4.2)."""
    if not text or len(text) > STRUCTURED_FIELD_MAX:
        return default
    try:
        return parser(text)
    except Exception:
        return default


def _entity_tag(text):
    text = text.removeprefix(b"W/")
    tag = text[1:-1].decode("latin-1") if len(text) > 2 and text[:1] == text[-1:] == b'"' else ""
    return tag if len(tag) <= 64 and '"' not in tag else ""


def _greatest_age(fields):
    """Return the greatest age of the response (ns): Age is in whole seconds (RFC 9111 section 4.2.3)."""
    age = fields.get(b"age", b"")
    return (int(age) + 1) * AGE_UNIT_NS if age.isdigit() and len(age) < 10 else None


def interpret(status, fields, body, cached_only, have=""):
    """Return the ResponseMeaning of a response. `fields` maps lower-case names to bytes.

    `have` is the entity tag of the client's stored response that was sent along, "" for none.
    """
    cache_status = _parse_or_default(_parse_cache_status, fields.get(b"cache-status"), CacheStatus.UNKNOWN)
    fill_wait = _parse_or_default(_parse_fill_wait, fields.get(b"server-timing"), 0)
    load = _parse_or_default(_parse_load, fields.get(b"spruce-load"), {})
    not_forwarded = cached_only and cache_status not in FORWARDED
    row = evidence.of_status(status, fields.get(b"spruce-ran") == b"?0", not_forwarded)
    tag = _entity_tag(fields.get(b"etag", b""))
    # A 304 whose tag is not that of the client's stored response is not passed on: the client would use a response that
    # no cache has validated.
    if status == 200 or status == 304 and have and tag == have:
        response = ServerResponse(
            status == 304, tag, 0, body if status == 200 else b"", _greatest_age(fields)
        )
        return ResponseMeaning(AttemptOutcome.RETURNED, cache_status, fill_wait, load, response, None)
    return ResponseMeaning(
        row.outcome if row else AttemptOutcome.ERROR, cache_status, fill_wait, load, None, row
    )
