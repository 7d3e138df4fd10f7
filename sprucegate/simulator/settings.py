"""Translates the simulator's settings to a mapping with this project's names, and times in nanoseconds.

Unknown settings are skipped.
"""

from collections.abc import Callable, Mapping
from typing import Any

from sprucegate.simulator.codec import parse_bool


def _microseconds_to_ns(text):
    return int(float(text) * 1000)


def _translated(table):
    return lambda text: table.get(text, text)


def _list_of(parse):
    return lambda text: [parse(item) for item in text.split(",")] if text else []


DELIVERY_SERVICES_MAX = 10_000
EFFECTS = {"pure": "idempotent", "token": "tokened", "side_effect": "non-idempotent"}
SILENT_MEANS_NONE = {"silent": "none"}
LOAD_BY = {"piggyback": "answers", "pull": "probe", "silent": "none"}
DISCOVERY = {"automatic": "push", "subscribe": "ask"}

SETTINGS_BY_PATH = {
    "allowed.attemptsCap": ("max_forwards", int),
    "allowed.cancel": ("cancel", parse_bool),
    "allowed.connectTimeout": ("connect_timeout", _microseconds_to_ns),
    "allowed.keepalive": ("keepalive", _microseconds_to_ns),
    "allowed.maxRetryAfter": ("max_retry_after", _microseconds_to_ns),
    "allowed.maxStreams": ("max_streams", int),
    "allowed.openCap": ("max_open", int),
    "allowed.peerMessages": ("peer_messages", parse_bool),
    "allowed.probing": ("probing", parse_bool),
    "allowed.retryAfter": ("retry_after", parse_bool),
    "allowed.secondCopies": ("second_copies", parse_bool),
    "callers.marksRetry": ("repeats_marked", parse_bool),
    "discovery": ("discovery", _translated(DISCOVERY)),
    "guarantees.answerSlack": ("answer_slack", _microseconds_to_ns),
    "guarantees.askEvery": ("ask_every", _microseconds_to_ns),
    "guarantees.coldFrom": ("cold_share", float),
    "guarantees.drainGrace": ("drain_grace", _microseconds_to_ns),
    "guarantees.fallMultiple": ("fall_multiple", float),
    "guarantees.overloadFor": ("fall_time", _microseconds_to_ns),
    "guarantees.warmUp": ("warm_time", _microseconds_to_ns),
    "loadInfo.fields": ("load_fields", _list_of(str)),
    "loadInfo.how": ("load_by", _translated(LOAD_BY)),
    "myZone": ("my_location", int),
    "ordinal": ("my_number", int),
    "penalties.origin": ("origin_price", float),
    "penalties.waste": ("waste_price", float),
    "penalties.probe": ("probe_price", float),
    "penalties.peer": ("peer_price", float),
    "siblings": ("fronts", int),
    "specifics.agedWorth": ("stale_share", _list_of(float)),
    "specifics.classFresh": ("fresh_time", _list_of(_microseconds_to_ns)),
    "specifics.clientKbPerS": ("client_kb_per_s", float),
    "specifics.feedKbPerS": ("link_in_kb_per_s", _list_of(float)),
    "specifics.goesThrough": ("runs_at_origin", _list_of(parse_bool)),
    "specifics.hubByZone": ("hub_of_location", _list_of(int)),
    "specifics.linkPrice": ("link_price", float),
    "specifics.mergesFills": ("joins", parse_bool),
    "specifics.neighbours": ("siblings", _translated(SILENT_MEANS_NONE)),
    "specifics.obeyAfter": ("purge_grace", _microseconds_to_ns),
    "specifics.originFallMultiple": ("origin_fall_multiple", float),
    "specifics.parentFallMultiple": ("parent_fall_multiple", float),
    "specifics.parentFloor": ("parent_cold_share", float),
    "specifics.parentRamp": ("parent_warm_time", _microseconds_to_ns),
    "specifics.purgeDone": ("purge_done", _microseconds_to_ns),
    "specifics.rootFall": ("origin_fall_time", _microseconds_to_ns),
    "specifics.says": ("tells", _translated(SILENT_MEANS_NONE)),
    "specifics.shieldKind": ("parent_kind", int),
    "specifics.storeKind": ("origin_kind", int),
    "specifics.straight": ("direct", parse_bool),
    "specifics.usableAfter": ("grace_time", _list_of(_microseconds_to_ns)),
    "specifics.zoneBalancers": ("fronts_by_location", _list_of(int)),
    "tick": ("tick", _microseconds_to_ns),
    "weightKind": ("weights", _translated(SILENT_MEANS_NONE)),
}
# Each becomes a list with one item per delivery service, in wire order; None where a service leaves it out.
BY_DELIVERY_SERVICE = {
    "aim": ("latency_objective", _microseconds_to_ns),
    "aimStretch": ("objective_stretch", float),
    "deadline": ("viewer_timeout", _microseconds_to_ns),
    "effect": ("effect", _translated(EFFECTS)),
    "lateShare": ("late_share", float),
    "streamed": ("streamed", parse_bool),
    "worth": ("revenue", float),
}


def settings_from(fields: Mapping[str, str], make_error: Callable[[str], Exception]) -> dict[str, Any]:
    """Build the settings of one router.

    :param fields: values as text, by their paths in the protocol.
    :param make_error: makes the exception that is raised for an invalid setting from its text.
    """

    def value(path, parse):
        try:
            return parse(fields[path])
        except ValueError:
            raise make_error(f"has an invalid setting: {path}={fields[path][:60]!r}") from None

    settings = {
        name: value(path, parse) for path, (name, parse) in SETTINGS_BY_PATH.items() if path in fields
    }
    count = value("categories.count", int) if "categories.count" in fields else 0
    if not 0 <= count <= DELIVERY_SERVICES_MAX:
        raise make_error(f"has an invalid count of {count} delivery services")
    for key, (name, parse) in BY_DELIVERY_SERVICE.items():
        paths = [f"categories.{index}.{key}" for index in range(count)]
        settings[name] = [value(path, parse) if path in fields else None for path in paths]
    return settings
