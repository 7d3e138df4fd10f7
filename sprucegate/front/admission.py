"""Admit: a request as the module's `Asked`, or a plain refusal. Nothing of a refused one goes further."""

import re

from sprucegate.front.open_requests import OpenRequest
from sprucegate.front.protocol.http import RejectedRequest
from sprucegate.routing.events import Request

MS = 1_000_000
TARGET = re.compile(rb"/svc/([^/?]+)/([0-9a-f]{1,16})(?:/slice-([0-9]{1,9}))?")
CALL_ID = re.compile(rb"[0-9a-f]{16}")
TAG = re.compile(rb'(?:W/)?"([0-9A-Za-z_.-]{1,64})"')
TOKEN = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
LIVE = b"/status/live"


def _number(headers, name, most, default=None):
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= most else None  # neither NaN nor infinity is


def _of(settings, name, ds, default):
    values = settings.get(name) or ()
    return values[ds] if ds < len(values) and values[ds] is not None else default


def admit(client, request, ds_names, settings, open_ids, waited):
    """An OpenGet, or a Refusal that names what is wrong.

    Against figures that would be believed for long: a GET is kept as long as its patience lasts, and its size
    goes into what is taken for usual.
    """
    headers, found = request.headers, TARGET.fullmatch(request.target)
    if not found:
        return RejectedRequest(404, "no such path")
    ds_name, thing, part = found.groups()
    ds = ds_names.get(ds_name.decode("latin-1"))
    if ds is None:
        return RejectedRequest(404, "no such delivery service")
    wanted = b"PUT" if _of(settings, "runs_at_origin", ds, False) else b"GET"
    if request.method != wanted or request.body and wanted == b"GET":
        return RejectedRequest(
            405,
            f"this delivery service takes {wanted.decode()}, a GET without a body",
            b"Allow: %b\r\n" % wanted,
        )
    call_id = headers.get(b"x-call-id", b"")
    if not CALL_ID.fullmatch(call_id):
        return RejectedRequest(400, "X-Call-Id: 16 hex digits are wanted")
    if call_id in open_ids:
        return RejectedRequest(409, "X-Call-Id: this one is open already")
    patience = _number(headers, b"x-patience-ms", 3_600_000)
    if not patience:
        return RejectedRequest(400, "X-Patience-Ms: milliseconds above 0 are wanted")
    group = _number(headers, b"x-set", 255, -1)
    if group is None or group != int(group):
        return RejectedRequest(400, "X-Set: a whole number from 0 to 255 is wanted")
    size = _number(headers, b"x-heap-kb", 1e9, 0.0)
    if size is None:
        return RejectedRequest(400, "X-Heap-Kb: a number of KB is wanted")
    longest = _of(settings, "viewer_timeout", ds, 3_600_000 * MS)
    if size * 1000 * MS > longest * settings.get("client_kb_per_s", 0) > 0:
        return RejectedRequest(400, "X-Heap-Kb: more than can be sent while a client waits")
    # Dropped on the way, a tokened GET would run as often as its client repeats it.
    token = headers.get(b"x-dedupe-key", b"")
    if token and not TOKEN.fullmatch(token):
        return RejectedRequest(400, "X-Dedupe-Key: up to 64 letters, digits and _.- are wanted")
    have = headers.get(b"if-none-match")
    have = have and TAG.fullmatch(have)
    asked = Request(
        id=call_id.decode(),
        object=int(thing, 16),
        part=int(part or 0),
        group=int(group),
        delivery_service=ds,
        size=int(size),
        write=request.method == b"PUT",
        repeat=False,
        ttl=min(int(patience * MS), longest) - waited,
    )
    return OpenRequest(
        client,
        call_id,
        ds_name.decode(),
        thing.decode(),
        int(part or 0),
        have[1].decode() if have else "",
        request.body,
        asked,
        token.decode(),
    )
