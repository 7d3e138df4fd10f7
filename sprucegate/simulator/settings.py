"""The simulator's settings as a plain map under the names used here, times in nanoseconds. Unknown ones are skipped."""

from collections.abc import Callable, Mapping
from typing import Any

from sprucegate.simulator.codec import truth


def _ns(text):
    return int(float(text) * 1000)


def _words(table):
    return lambda text: table.get(text, text)


def _listed(read):
    return lambda text: [read(item) for item in text.split(",")] if text else []


DELIVERY_SERVICES_MAX = 10_000
EFFECTS = {"pure": "idempotent", "token": "tokened", "side_effect": "non-idempotent"}
SOURCES = {"silent": "none"}
LOAD_BY = {"piggyback": "answers", "pull": "probe", "silent": "none"}
DISCOVERY = {"automatic": "push", "subscribe": "ask"}

NAMES = {
    "allowed.attemptsCap": ("max_forwards", int),
    "allowed.cancel": ("cancel", truth),
    "allowed.connectTimeout": ("connect_timeout", _ns),
    "allowed.keepalive": ("keepalive", _ns),
    "allowed.maxRetryAfter": ("max_retry_after", _ns),
    "allowed.maxStreams": ("max_streams", int),
    "allowed.openCap": ("max_open", int),
    "allowed.peerMessages": ("peer_messages", truth),
    "allowed.probing": ("probing", truth),
    "allowed.retryAfter": ("retry_after", truth),
    "allowed.secondCopies": ("second_copies", truth),
    "callers.marksRetry": ("repeats_marked", truth),
    "discovery": ("discovery", _words(DISCOVERY)),
    "guarantees.answerSlack": ("answer_slack", _ns),
    "guarantees.askEvery": ("ask_every", _ns),
    "guarantees.coldFrom": ("cold_share", float),
    "guarantees.drainGrace": ("drain_grace", _ns),
    "guarantees.fallMultiple": ("fall_multiple", float),
    "guarantees.overloadFor": ("fall_time", _ns),
    "guarantees.warmUp": ("warm_time", _ns),
    "loadInfo.fields": ("load_fields", _listed(str)),
    "loadInfo.how": ("load_by", _words(LOAD_BY)),
    "myZone": ("my_location", int),
    "ordinal": ("my_number", int),
    "penalties.origin": ("origin_price", float),
    "penalties.waste": ("waste_price", float),
    "penalties.probe": ("probe_price", float),
    "penalties.peer": ("peer_price", float),
    "siblings": ("fronts", int),
    "specifics.agedWorth": ("stale_share", _listed(float)),
    "specifics.classFresh": ("fresh_time", _listed(_ns)),
    "specifics.clientKbPerS": ("client_kb_per_s", float),
    "specifics.feedKbPerS": ("link_in_kb_per_s", _listed(float)),
    "specifics.goesThrough": ("runs_at_origin", _listed(truth)),
    "specifics.hubByZone": ("hub_of_location", _listed(int)),
    "specifics.linkPrice": ("link_price", float),
    "specifics.mergesFills": ("joins", truth),
    "specifics.neighbours": ("siblings", _words(SOURCES)),
    "specifics.obeyAfter": ("purge_grace", _ns),
    "specifics.originFallMultiple": ("origin_fall_multiple", float),
    "specifics.parentFallMultiple": ("parent_fall_multiple", float),
    "specifics.parentFloor": ("parent_cold_share", float),
    "specifics.parentRamp": ("parent_warm_time", _ns),
    "specifics.purgeDone": ("purge_done", _ns),
    "specifics.rootFall": ("origin_fall_time", _ns),
    "specifics.says": ("tells", _words(SOURCES)),
    "specifics.shieldKind": ("parent_kind", int),
    "specifics.storeKind": ("origin_kind", int),
    "specifics.straight": ("direct", truth),
    "specifics.usableAfter": ("grace_time", _listed(_ns)),
    "specifics.zoneBalancers": ("fronts_by_location", _listed(int)),
    "tick": ("tick", _ns),
    "weightKind": ("weights", _words(SOURCES)),
}
# One list a name, an item for each delivery service, in the wire's order; what an item leaves out is None.
BY_DELIVERY_SERVICE = {
    "aim": ("latency_objective", _ns),
    "aimStretch": ("objective_stretch", float),
    "deadline": ("viewer_timeout", _ns),
    "effect": ("effect", _words(EFFECTS)),
    "lateShare": ("late_share", float),
    "streamed": ("streamed", truth),
    "worth": ("revenue", float),
}


def settings_from(fields: Mapping[str, str], fault: Callable[[str], Exception]) -> dict[str, Any]:
    """The map for one router: `fields` has the protocol's paths and texts, `fault(text)` makes what is raised."""

    def value(path, read):
        try:
            return read(fields[path])
        except ValueError:
            raise fault(f"has a setting that cannot be read: {path}={fields[path][:60]!r}") from None

    settings = {name: value(path, read) for path, (name, read) in NAMES.items() if path in fields}
    count = value("categories.count", int) if "categories.count" in fields else 0
    if not 0 <= count <= DELIVERY_SERVICES_MAX:
        raise fault(f"counts {count} delivery services")
    for key, (name, read) in BY_DELIVERY_SERVICE.items():
        paths = [f"categories.{at}.{key}" for at in range(count)]
        settings[name] = [value(path, read) if path in fields else None for path in paths]
    return settings
