"""One build with the settings of old and new kinds of deployments: accepted, rejected and served."""

import copy
import subprocess
import sys

import pytest
from helpers import NOW, REAL, Front, cache, get_text, host, make_request, make_router, served

from sprucegate.front import configuration
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.units import MILLISECOND as MS

# Settings as the platform sends them for each kind of deployment; times are in microseconds, names as on the wire.
OLD = {
    "loadInfo": {"how": "piggyback", "fields": ["outstanding", "utilization", "x0", "x1"]},
    "weightKind": "nominal",
    "allowed": {**REAL["settings"]["allowed"], "retryAfter": True, "maxRetryAfter": 1_000_000},
    "specifics": {
        "says": "all",
        "neighbours": "location",
        "mergesFills": False,
        "feedKbPerS": [47508.0],
        "zoneBalancers": [2],
    },
}
SILENT = {
    "loadInfo": {"how": "silent", "fields": []},
    "weightKind": "rough",
    "allowed": {**REAL["settings"]["allowed"], "retryAfter": False, "maxRetryAfter": 1_000_000},
    "specifics": {
        "says": "silent",
        "neighbours": "any",
        "mergesFills": True,
        "feedKbPerS": [103427.0],
        "zoneBalancers": [4],
        "parentFallMultiple": 2.0,
    },
}
HITS_ONLY = {
    "loadInfo": {"how": "piggyback", "fields": ["outstanding", "x1", "x0"]},
    "weightKind": "rough",
    "specifics": {
        "says": "hit",
        "neighbours": "any",
        "feedKbPerS": [0.0],
        "zoneBalancers": [9],
        "obeyAfter": 500_000,
    },
}


def merged(shape):
    settings = copy.deepcopy(REAL["settings"])
    for key, value in shape.items():
        settings[key] = {**settings.get(key, {}), **value} if isinstance(value, dict) else value
    return settings


def configured(settings):
    known = {"offset": 1, "batch": []}
    return configuration.parse(
        {**REAL, "settings": settings, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known}
    )


@pytest.mark.parametrize(
    "shape, tells, load_by",
    [({}, None, None), (OLD, "all", "answers"), (SILENT, "none", "none"), (HITS_ONLY, "hit", "answers")],
)
def test_the_settings_of_each_deployment_are_accepted(shape, tells, load_by):
    settings = configured(merged(shape)).settings
    assert (settings.get("tells"), settings.get("load_by")) == (tells, load_by)


@pytest.mark.parametrize(
    "key, value",
    [
        ("loadInfo.fields", ["outstanding"]),
        ("loadInfo.how", "sometimes"),
        ("specifics.says", "little"),
        ("specifics.neighbours", "far"),
        ("weightKind", "heavy"),
        ("specifics.feedKbPerS", [1.0, 2.0]),
        ("specifics.feedKbPerS", [-1.0]),
        ("specifics.zoneBalancers", [1, 2, 3]),
        ("specifics.clientKbPerS", -5),
        ("specifics.clientKbPerS", "nan"),
        ("guarantees.coldFrom", 1.5),
        ("guarantees.fallMultiple", -2),
        ("myZone", 7),
    ],
)
def test_contradicting_settings_are_rejected_with_their_key(key, value):
    settings = merged(SILENT)
    *path, last = key.split(".")
    at = settings
    for name in path:
        at = at.setdefault(name, {})
    at[last] = value
    with pytest.raises(configuration.FrontConfigurationError, match=rf"^settings\.{key}: "):
        configured(settings)


@pytest.mark.parametrize("name", ["connectTimeout", "keepalive"])
def test_times_of_the_deployment_have_no_default(name):
    settings = merged({})
    del settings["allowed"][name]
    with pytest.raises(configuration.FrontConfigurationError, match=f"settings.allowed.{name}: is missing"):
        configured(settings)


def test_connection_and_shutdown_times_follow_from_the_viewer_timeouts():
    def times(*timeouts):
        return configuration.times_from({"viewer_timeout": list(timeouts)})

    short, long = times(800 * MS, None, 1500 * MS), times(6000 * MS)
    assert (short.request_timeout, short.write_timeout, short.drain_timeout) == (
        2100 * MS,
        1500 * MS,
        1800 * MS,
    )
    # Viewer timeouts above three seconds don't delay SIGKILL; clients may still read responses for that long.
    assert (long.request_timeout, long.write_timeout, long.drain_timeout) == (2100 * MS, 6000 * MS, 3300 * MS)
    assert times() == configuration.times_from({}) == times(3000 * MS)


def test_a_contradicting_configuration_is_reported_in_one_line_with_status_2(tmp_path):
    settings = merged({**SILENT, "loadInfo": {"how": "silent", "fields": ["outstanding"]}})
    front = Front.__new__(Front)
    front.file, front.config = (
        tmp_path / "config.json",
        {
            **REAL,
            "settings": settings,
            "listen": "127.0.0.1:1",
            "bus": "127.0.0.1:2",
            "known": {"offset": 1, "batch": []},
        },
    )
    front.configure()
    done = subprocess.run(
        [sys.executable, "-m", "sprucegate"],
        capture_output=True,
        text=True,
        timeout=20,
        env={"BALANCER_CONFIG": str(front.file)},
    )
    assert done.returncode == 2 and "settings.loadInfo.fields" in done.stderr and done.stderr.count("\n") == 1


def decisions(**settings):
    """Return the decisions of a router: some answers are slow, none has a cache status, and link rates are low."""
    made = make_router(
        client_kb_per_s=1000.0, link_in_kb_per_s=[0.0, 2000.0], fronts_by_location=[0, 4], **settings
    )
    actions = []
    for at in range(80):
        now = NOW + at * 50 * MS
        get = made.start_request(make_request(f"r-{at}", obj=at % 9, size=300), now)
        actions += get.route(now)
        if get.open_attempts() and at % 3:
            get.attempt_ended(
                0, AttemptOutcome.RETURNED, CacheStatus.UNKNOWN, (300 + 200 * (at % 5)) * MS, 0, {}, True, now
            )
    return actions


def test_old_settings_give_the_decisions_of_the_new_ones_at_their_defaults():
    """Where answers have a cache status, link rates come from samples, as before; else from the settings."""
    old = decisions(tells=None)
    assert old == decisions(tells="all", weights="nominal", load_by="answers", load_fields=["inflight"])
    assert old != decisions(tells="none")


@pytest.mark.parametrize("shape, advice", [(OLD, True), (SILENT, False)])
def test_a_front_serves_in_each_kind_of_deployment(tmp_path, shape, advice):
    """Without load reports and cache status too; a 503 has a retry time only where the settings allow it."""

    def reply(call_id, fields, body):
        if fields["thing"] == "7f3a9c21e0b4d656":
            return b"%b not_here - 0\r\n\r\n" % call_id
        return (
            served(call_id, fields) if shape is OLD else b"%b served etag=t1,made=5 5\r\nxxxxx\r\n" % call_id
        )

    cache_server, origin_server = cache(reply), cache(reply)
    with Front(
        tmp_path,
        host("s-0b", cache_server.address, "std"),
        host("s-1f", origin_server.address, "origin"),
        settings=merged(shape),
    ) as front:
        for at in range(3):
            status, _, body = front.ask(get_text(f"9b1f03aa5c7e2d4{at}"))
            assert (status, body) == (200, b"xxxxx")
        status, headers, _ = front.ask(get_text("9b1f03aa5c7e2d4f").replace(b"4d655", b"4d656"))
        assert status == 503 and ("X-Come-Back-Ms" in headers) is advice
