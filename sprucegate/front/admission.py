"""Admission of client requests: validates an HTTP request and turns it into the router's `Request`, or rejects it."""

import re

from sprucegate.front.open_requests import OpenRequest
from sprucegate.front.protocol.http import RejectedRequest
from sprucegate.routing.events import Request

MS = 1_000_000
TARGET = re.compile(rb"/svc/([^/?]+)/([0-9a-f]{1,16})(?:/slice-([0-9]{1,9}))?")
CALL_ID = re.compile(rb"[0-9a-f]{16}")
ETAG = re.compile(rb'(?:W/)?"([0-9A-Za-z_.-]{1,64})"')
TOKEN = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
LIVENESS_PATH = b"/status/live"


def _parse_number(headers, name, maximum, default=None):
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= maximum else None  # also None for NaN and infinity


def _setting_of(settings, name, ds, default):
    values = settings.get(name) or ()
    return values[ds] if ds < len(values) and values[ds] is not None else default


def admit(client, request, ds_names, settings, open_ids, waited, spent_ids=()):
    """Return an OpenRequest, or a RejectedRequest that names what is wrong.

    The numbers in the headers have upper bounds because they have lasting effects: a request is kept for as long as
    its patience lasts, and its size enters the estimate of usual sizes.

    `spent_ids`: ids of earlier requests that may have run or may still be answered, see `CallIdHistory`.
    `waited`: how long the request waited before it was read (ns), which counts against its patience.
    """
    headers = request.headers
    match = TARGET.fullmatch(request.target)
    if not match:
        return RejectedRequest(404, "no such path")
    ds_name, object_key, part = match.groups()
    ds = ds_names.get(ds_name.decode("latin-1"))
    if ds is None:
        return RejectedRequest(404, "no such delivery service")
    expected_method = b"PUT" if _setting_of(settings, "runs_at_origin", ds, False) else b"GET"
    if request.method != expected_method or request.body and expected_method == b"GET":
        return RejectedRequest(
            405,
            f"this delivery service takes {expected_method.decode()}, a GET without a body",
            b"Allow: %b\r\n" % expected_method,
        )
    call_id = headers.get(b"x-call-id", b"")
    if not CALL_ID.fullmatch(call_id):
        return RejectedRequest(400, "X-Call-Id: 16 hex digits are wanted")
    if call_id in open_ids:
        return RejectedRequest(409, "X-Call-Id: this one is open already")
    if call_id in spent_ids:
        return RejectedRequest(409, "X-Call-Id: a request with this one was sent before")
    patience = _parse_number(headers, b"x-patience-ms", 3_600_000)
    if not patience:
        return RejectedRequest(400, "X-Patience-Ms: milliseconds above 0 are wanted")
    group = _parse_number(headers, b"x-set", 255, -1)
    if group is None or group != int(group):
        return RejectedRequest(400, "X-Set: a whole number from 0 to 255 is wanted")
    size = _parse_number(headers, b"x-heap-kb", 1e9, 0.0)
    if size is None:
        return RejectedRequest(400, "X-Heap-Kb: a number of KB is wanted")
    viewer_timeout = _setting_of(settings, "viewer_timeout", ds, 3_600_000 * MS)
    if size * 1000 * MS > viewer_timeout * settings.get("client_kb_per_s", 0) > 0:
        return RejectedRequest(400, "X-Heap-Kb: more than can be sent while a client waits")
    # Rejected, not ignored: without its token the request would be executed each time that its client repeats it.
    token = headers.get(b"x-dedupe-key", b"")
    if token and not TOKEN.fullmatch(token):
        return RejectedRequest(400, "X-Dedupe-Key: up to 64 letters, digits and _.- are wanted")
    if_none_match = headers.get(b"if-none-match")
    if_none_match = if_none_match and ETAG.fullmatch(if_none_match)
    routing_request = Request(
        id=call_id.decode(),
        object=int(object_key, 16),
        part=int(part or 0),
        group=int(group),
        delivery_service=ds,
        size=int(size),
        write=request.method == b"PUT",
        repeat=False,
        ttl=min(int(patience * MS), viewer_timeout) - waited,
    )
    return OpenRequest(
        client,
        call_id,
        ds_name.decode(),
        object_key.decode(),
        int(part or 0),
        if_none_match[1].decode() if if_none_match else "",
        request.body,
        routing_request,
        token.decode(),
    )
