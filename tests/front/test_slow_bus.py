"""A front whose event bus is slow, mute or gone: it hears it late, and keeps to purges that it can't have heard."""

import time

import pytest
from helpers import COMMENT_S, REAL, Front, SlowBus, cache, get_text, host, served

from sprucegate.routing.event_stream_progress import CATCH_UP_TIME_NS

TOLD_S = 7.0  # whatever the event bus has to tell counts as told by then, whether it arrived or not
NEVER_S = 60.0
PURGED, KEPT = "7f3a9c21e0b4d655", "7f3a9c21e0b4d656"
SETTINGS = {**REAL["settings"], "specifics": {**REAL["settings"]["specifics"], "purgeDone": 6_000_000}}


def unix_ms():
    return time.time_ns() // 1_000_000


class CopyingCache:
    """A cache that gives each object's copy again until it drops it; the body of a copy is when it was made."""

    def __init__(self):
        self.copies = {KEPT: unix_ms() - 3_600_000}
        self.server = cache(self._reply)

    def _reply(self, call_id, fields, body):
        made = self.copies.setdefault(fields["thing"], unix_ms())
        return b"%b served etag=t%d,made=%d,remark=cached %d\r\n%d\r\n" % (
            call_id,
            made,
            made,
            len(str(made)),
            made,
        )

    def requests(self, name):
        """How many GETs of this object it was asked since the last call."""
        found = [fields["thing"] for word, _, fields, _ in self._taken() if word == b"serve"]
        return found.count(name)

    def _taken(self):
        while not self.server.heard.empty():
            entry = self.server.heard.get()
            if len(entry) == 4:
                yield entry


class Scene:
    """A front between a SlowBus, a CopyingCache and an origin."""

    def __init__(self, path):
        self.bus, self.cache, self.count = SlowBus(), CopyingCache(), 0
        origin = cache(served)
        hosts = host("s-0b", self.cache.server.address, "std"), host("s-1f", origin.address, "origin")
        self.drain = {"seq": 2, "whole": False, "hosts": [{**hosts[0], "health": "draining"}]}
        self.front = Front(path, *hosts, settings=SETTINGS, bus=self.bus.address)
        time.sleep(1.5 * CATCH_UP_TIME_NS / 1e9)

    def get(self, name):
        """The body of an object's answer, as a number."""
        self.count += 1
        status, _, body = self.front.ask(
            get_text(f"{self.count:016x}").replace(PURGED.encode(), name.encode())
        )
        assert status == 200
        return int(body)

    def is_own(self, name):
        """Whether a GET is answered from the front's own copy: its cache is not asked."""
        self.cache.requests(name)
        self.get(name)
        return self.cache.requests(name) == 0

    def keep_own_copies(self):
        for name in (PURGED, KEPT):
            for _ in range(3):
                self.get(name)
            assert self.is_own(name)

    def purge(self):
        """The object is purged now, and its cache drops it at once."""
        purged_at = unix_ms()
        self.cache.copies.pop(PURGED)
        self.bus.tell(ban={"url": PURGED, "ts": purged_at})
        return purged_at


@pytest.mark.parametrize(
    "answer_after, body_after, pause",
    [(2.5, 0, COMMENT_S), (5, 0, COMMENT_S), (0, 2.5, COMMENT_S), (0, 0, 2.5), (2, 2, 2)],
)
def test_a_bus_that_answers_late_is_heard_before_its_events_count_as_told(
    tmp_path, answer_after, body_after, pause
):
    """Guards against a front that gives up each answer before its first byte and asks again, for ever deaf."""
    scene = Scene(tmp_path)
    with scene.front as front:
        scene.bus.answer_after, scene.bus.body_after, scene.bus.pause = answer_after, body_after, pause
        scene.bus.end_streams()
        time.sleep(0.5)
        scene.keep_own_copies()
        begun = time.monotonic()
        purged_at = scene.purge()
        assert front.until("told")["what"] == "InvalidationEvent"
        assert time.monotonic() - begun < TOLD_S
        assert scene.get(PURGED) >= purged_at and scene.is_own(KEPT)
        scene.bus.tell(topology=scene.drain)
        begun = time.monotonic()
        assert front.until("told")["what"] == "EndpointList"
        assert time.monotonic() - begun < TOLD_S


def answers_nothing(bus):
    bus.answer_after = NEVER_S
    bus.end_streams()


def answers_without_a_body(bus):
    bus.body_after = NEVER_S
    bus.end_streams()


def refuses_connections(bus):
    bus.stop()
    bus.end_streams()


def garbles_the_event(bus):
    bus.tell(ban={"url": "not hex", "ts": 0})
    bus.tell = lambda **event: None


@pytest.mark.parametrize(
    "trouble", [answers_nothing, answers_without_a_body, refuses_connections, garbles_the_event]
)
def test_own_copies_that_a_missed_purge_may_concern_are_not_served_once_it_counts_as_told(tmp_path, trouble):
    """Guards against own copies from before a purge that the bus could not tell; others are served on."""
    scene = Scene(tmp_path)
    with scene.front:
        scene.keep_own_copies()
        trouble(scene.bus)
        purged_at = scene.purge()
        time.sleep(TOLD_S / 2)
        assert scene.is_own(KEPT)  # what is not told yet takes no copy away
        time.sleep(TOLD_S / 2 + 0.5)
        assert scene.get(PURGED) >= purged_at
        for _ in range(3):
            scene.get(KEPT)
        assert scene.is_own(KEPT)  # its cache would have dropped a purged copy before this one was requested


def test_own_copies_are_served_again_once_the_bus_has_told_what_was_missed(tmp_path):
    """Guards against a limit that outlasts its cause."""
    scene = Scene(tmp_path)
    with scene.front as front:
        scene.keep_own_copies()
        answers_nothing(scene.bus)
        time.sleep(TOLD_S + 0.5)
        assert not scene.is_own(KEPT)
        purged_at = scene.purge()
        scene.bus.answer_after = 0.0
        assert front.until("told")["offset"] == 2
        time.sleep(2.5 * CATCH_UP_TIME_NS / 1e9)
        assert scene.is_own(KEPT) and scene.get(PURGED) >= purged_at
        front.log.queue.clear()
        assert front.until("second")["bus_lag_ms"] < 3_000
