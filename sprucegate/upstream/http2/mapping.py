"""A forward as an HTTP request, and an answer's fields as outcome, found, wait and load: docs/http2.md has it all.

Pure: no socket, no clock of its own. Where HTTP has a word it is used (RFC 9110, 9111, 9211; Server-Timing of W3C);
a few fields of our own, as structured fields of RFC 9651, carry the rest.
"""

from decimal import Decimal
from functools import lru_cache
from typing import NamedTuple

from hpack import NeverIndexedHeaderTuple as Once
from http_sfv import Dictionary, List
from http_sfv.string import ser_string

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.upstream.http2 import evidence
from sprucegate.upstream.place import ServerResponse

MS, S = 1_000_000, 1_000_000_000
BODY_MOST = 240_000  # bytes of an object
FIELD_MOST = 1000  # bytes of a structured field that is read at all
KEPT = 512  # structured fields whose reading is remembered: a server sends few different ones
DETAILS = {
    "source-refused": CacheStatus.FILL_SOURCE_REFUSED,
    "source-broken": CacheStatus.FILL_SOURCE_BROKEN,
    "source-lacks": CacheStatus.FILL_SOURCE_MISS,
    "no-fill-place": CacheStatus.FILL_SLOTS_EXHAUSTED,
    "origin-failed": CacheStatus.ORIGIN_FAILED,
}
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


class Meaning(NamedTuple):
    """What a response means for the attempt."""

    outcome: AttemptOutcome
    found: CacheStatus
    waited: int  # for the source, nanoseconds
    load: dict
    returned: ServerResponse | None
    row: evidence.Row | None


def request(authority, get, said, source, left):
    """A forward's header list. A rounded age or wait is never wider than the decided one.

    `left` is what the client still waits (ns) when it is sent.
    """
    path = b"/svc/%b/%b/slice-%d" % (get.ds.encode(), get.object_key.encode(), get.part)
    # What differs from GET to GET is kept out of the peer's table (RFC 7541 section 6.2.3), or it would push out
    # what repeats; that also spares 8% of the cost of sending.
    fields = [
        (b":method", b"PUT" if get.routing_request.write else b"GET"),
        (b":scheme", b"http"),
        (b":authority", authority),
        Once(b":path", path),
        Once(b"x-call-id", get.id),
        Once(b"spruce-wait", b"%d" % max(1, min(left, said.timeout) // MS)),
    ]
    control = []
    if said.max_age:
        # Both: as old as that may be, and stale is as good as fresh up to it (RFC 9111 section 5.2.1).
        control += [f"max-age={said.max_age // S}", f"max-stale={said.max_age // S}"]
    if only_if_cached(said):
        control.append("only-if-cached")
    if control:
        fields.append((b"cache-control", ", ".join(control).encode()))
    if get.if_none_match:
        fields.append((b"if-none-match", b'"%b"' % get.if_none_match.encode()))
    if get.token:
        fields.append(Once(b"idempotency-key", ser_string(get.token).encode()))
    fill = []
    if source:
        fill.append("source=" + ser_string(source))
    if said.rank:
        fill.append(f"rank={said.rank}")
    if said.number:
        fill.append(f"try={said.number}")
    fill += [
        word
        for word, on in (
            ("join", said.collapse),
            ("held", said.only_if_cached),
            ("pass", said.bypass_parent),
            ("renew", said.revalidate),
        )
        if on
    ]
    if fill:
        fields.append((b"spruce-fill", ", ".join(fill).encode()))
    if get.body or get.routing_request.write:
        fields.append((b"content-length", b"%d" % len(get.body)))
    return fields


def only_if_cached(said):
    """The server's own id as the source means that it is not to fill a miss."""
    return said.fill_source == said.cache


@lru_cache(KEPT)
def _found(text):
    """Where the answer came from, by Cache-Status (RFC 9211): its last member is the cache that answers."""
    members = List()
    members.parse(text)
    if not members:
        return CacheStatus.UNKNOWN
    here, behind = members[-1].params, list(members)[:-1]
    if here.get("hit"):
        return (
            CacheStatus.STALE_HIT if isinstance(ttl := here.get("ttl"), int) and ttl < 0 else CacheStatus.HIT
        )
    if (detail := here.get("detail")) is not None and str(detail) in DETAILS:
        return DETAILS[str(detail)]
    if "fwd" not in here:
        return CacheStatus.UNKNOWN
    if here.get("collapsed"):
        return CacheStatus.COLLAPSED
    # A member behind that forwarded as well had the object from the origin.
    return CacheStatus.FILLED_BY_ORIGIN if any("fwd" in one.params for one in behind) else CacheStatus.FILLED


@lru_cache(KEPT)
def _timed(text):
    """Nanoseconds of the metric `fill` in Server-Timing."""
    members = List()
    members.parse(text)
    for one in members:
        if str(one.value) == "fill" and isinstance(one.params.get("dur"), int | float | Decimal):
            return max(0, int(one.params["dur"] * MS))
    return 0


def _loads(text):
    members = Dictionary()
    members.parse(text)
    return {
        name: float(members[name].value)
        for name in LOADS
        if name in members
        and isinstance(value := members[name].value, int | float | Decimal)
        and not isinstance(value, bool)
    }


def _read(reader, text, default):
    """A field that can't be read is passed over (RFC 9651 section 4.2), as one that isn't there."""
    if not text or len(text) > FIELD_MOST:
        return default
    try:
        return reader(text)
    except Exception:
        return default


def _tag(text):
    text = text.removeprefix(b"W/")
    bare = text[1:-1].decode("latin-1") if len(text) > 2 and text[:1] == text[-1:] == b'"' else ""
    return bare if len(bare) <= 64 and '"' not in bare else ""


def _age(fields):
    """Nanoseconds since the origin gave it out, at the most: Age is in whole seconds (RFC 9111 section 4.2.3)."""
    age = fields.get(b"age", b"")
    return (int(age) + 1) * S if age.isdigit() and len(age) < 10 else None


def meaning(status, fields, body, cached_only, have=""):
    """What an answer says. `fields` maps lower-case names to bytes.

    `have` is the tag of the client's copy that was sent along, "" for none.
    """
    found = _read(_found, fields.get(b"cache-status"), CacheStatus.UNKNOWN)
    waited = _read(_timed, fields.get(b"server-timing"), 0)
    load = _read(_loads, fields.get(b"spruce-load"), {})
    row = evidence.of_status(status, fields.get(b"spruce-ran") == b"?0", cached_only)
    tag = _tag(fields.get(b"etag", b""))
    # A 304 that names no copy of the client's is not passed on: it would be shown one that no cache has named.
    if status == 200 or status == 304 and have and tag == have:
        returned = ServerResponse(status == 304, tag, 0, body if status == 200 else b"", _age(fields))
        return Meaning(AttemptOutcome.RETURNED, found, waited, load, returned, None)
    return Meaning(row.outcome if row else AttemptOutcome.ERROR, found, waited, load, None, row)
