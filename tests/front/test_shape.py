"""One build, the old shape of a deployment and the new: accepted, refused, and served."""

import copy
import subprocess
import sys

import pytest
from helpers import NOW, REAL, Front, asked, cache, get_text, host, router, served

from sprucegate.front import configuration
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.units import MILLISECOND as MS

# Settings as the platform sends them for each shape, times in microseconds; names are those of the wire.
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


def wanted(settings):
    known = {"offset": 1, "batch": []}
    return configuration.wanted(
        {**REAL, "settings": settings, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known}
    )


@pytest.mark.parametrize(
    "shape, tells, load_by",
    [({}, None, None), (OLD, "all", "answers"), (SILENT, "none", "none"), (HITS_ONLY, "hit", "answers")],
)
def test_each_shape_is_taken_as_the_platform_sends_it(shape, tells, load_by):
    settings = wanted(merged(shape)).settings
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
def test_what_contradicts_itself_is_refused_by_its_key(key, value):
    settings = merged(SILENT)
    *path, last = key.split(".")
    at = settings
    for name in path:
        at = at.setdefault(name, {})
    at[last] = value
    with pytest.raises(configuration.FrontConfigurationError, match=rf"^settings\.{key}: "):
        wanted(settings)


@pytest.mark.parametrize("name", ["connectTimeout", "keepalive"])
def test_a_time_that_only_the_deployment_knows_is_not_made_up(name):
    settings = merged({})
    del settings["allowed"][name]
    with pytest.raises(configuration.FrontConfigurationError, match=f"settings.allowed.{name}: is missing"):
        wanted(settings)


def test_bounds_of_clients_and_of_the_end_follow_from_the_viewer_timeouts():
    def times(*timeouts):
        return configuration.times_from({"viewer_timeout": list(timeouts)})

    short, long = times(800 * MS, None, 1500 * MS), times(6000 * MS)
    assert (short.request_timeout, short.write_timeout, short.drain_timeout) == (
        2100 * MS,
        1500 * MS,
        1800 * MS,
    )
    # The kill comes no later for viewer timeouts over three seconds; answers may still be read so long.
    assert (long.request_timeout, long.write_timeout, long.drain_timeout) == (2100 * MS, 6000 * MS, 3300 * MS)
    assert times() == configuration.times_from({}) == times(3000 * MS)


def test_a_mixed_configuration_is_one_line_and_exit_2(tmp_path):
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
    """What a front forwards while some answers are slow and none says what it was; told links are small."""
    made = router(
        client_kb_per_s=1000.0, link_in_kb_per_s=[0.0, 2000.0], fronts_by_location=[0, 4], **settings
    )
    said = []
    for at in range(80):
        now = NOW + at * 50 * MS
        get = made.start_request(asked(f"r-{at}", obj=at % 9, size=300), now)
        said += get.route(now)
        if get.open_attempts() and at % 3:
            get.attempt_ended(
                0, AttemptOutcome.RETURNED, CacheStatus.UNKNOWN, (300 + 200 * (at % 5)) * MS, 0, {}, True, now
            )
    return said


def test_the_old_configuration_decides_as_with_the_new_settings_at_their_defaults():
    """Links told beside answers that tell all are judged by samples, as before; only silence changes that."""
    old = decisions(tells=None)
    assert old == decisions(tells="all", weights="nominal", load_by="answers", load_fields=["inflight"])
    assert old != decisions(tells="none")


@pytest.mark.parametrize("shape, advice", [(OLD, True), (SILENT, False)])
def test_a_front_serves_in_either_shape(tmp_path, shape, advice):
    """No load reports, no word on hits; a shed reply says when to come back only where that is allowed."""

    def reply(call_id, fields, body):
        if fields["thing"] == "7f3a9c21e0b4d656":
            return b"%b not_here - 0\r\n\r\n" % call_id
        return (
            served(call_id, fields) if shape is OLD else b"%b served etag=t1,made=5 5\r\nxxxxx\r\n" % call_id
        )

    box, root = cache(reply), cache(reply)
    with Front(
        tmp_path,
        host("s-0b", box.address, "std"),
        host("s-1f", root.address, "origin"),
        settings=merged(shape),
    ) as front:
        for at in range(3):
            status, _, body = front.ask(get_text(f"9b1f03aa5c7e2d4{at}"))
            assert (status, body) == (200, b"xxxxx")
        status, headers, _ = front.ask(get_text("9b1f03aa5c7e2d4f").replace(b"4d655", b"4d656"))
        assert status == 503 and ("X-Come-Back-Ms" in headers) is advice
