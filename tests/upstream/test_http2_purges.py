"""Purges at caches that speak HTTP/2 and count ages in whole seconds: what a front gets from them, at which cost."""

import time

import pytest
from helpers import REAL, Front, SlowBus, get_text, host

from standins.http2 import Running

KDL = "servers {\n    speak http2 kind=std\n    speak http2 kind=origin\n}\n"
SECOND_MS = 1000
GRACE_S = 0.5
PURGE_DONE_S = 3.0
SLACK_S = 0.05


def unix_ms():
    return time.time_ns() // 1_000_000


class CountingCache(Running):
    """A cache that counts ages in whole seconds and fills what is too old; bodies say when they were made (Unix ms)."""

    def __init__(self):
        super().__init__(name="s-0b")
        self.copies, self.controls = {}, {}
        self.fills = 0
        self.server.came = self._answer

    def _answer(self, peer, request):
        now, name = unix_ms(), request.fields[b":path"].split(b"/")[3]
        directives = request.fields.get(b"cache-control", b"").split(b", ")
        self.controls[name] = directives
        made = self.copies.get(name)
        limits = [int(word[8:]) for word in directives if word.startswith(b"max-age=")]
        too_old = made is not None and limits and (now - made) // SECOND_MS > limits[0]
        is_hit = made is not None and not too_old
        if not is_hit:
            made = self.copies[name] = now
            self.fills += 1
        if peer.run(request):
            status = b"s-0b; hit" if is_hit else b"s-0b; fwd=uri-miss"
            age = b"%d" % ((now - made) // SECOND_MS)
            peer.answer(request.stream, 200, ((b"age", age), (b"cache-status", status)), b"%d" % made)


class Scene:
    def __init__(self, path, **specifics):
        self.cache, self.origin, self.bus = CountingCache(), Running(name="s-1f"), SlowBus()
        self.count = 0
        self.origin.server.came = self._origin_answers
        times = {"obeyAfter": int(GRACE_S * 1e6), "purgeDone": int(PURGE_DONE_S * 1e6)}
        settings = {
            **REAL["settings"],
            "specifics": {**REAL["settings"]["specifics"], **times, **specifics},
        }
        hosts = (
            host("s-0b", self.cache.address, "std"),
            host("s-1f", self.origin.address, "origin"),
        )
        self.front = Front(path, *hosts, kdl=KDL, settings=settings, bus=self.bus.address)
        self.from_origin = 0

    def _origin_answers(self, peer, request):
        self.from_origin += 1
        if peer.run(request):
            peer.answer(request.stream, 200, ((b"age", b"0"),), b"%d" % unix_ms())

    def get(self, name, patience=1500):
        """When the copy was made that answers, or None if the GET was shed; and how long it took (s)."""
        self.count += 1
        text = get_text(f"{self.count:016x}", patience=patience).replace(b"7f3a9c21e0b4d655", name)
        text = text.replace(b"slice-3", b"slice-%d" % self.count)  # another part each time: never an own copy
        begun = time.monotonic()
        status, _, body = self.front.ask(text)
        assert status in (200, 503)
        return int(body) if status == 200 else None, time.monotonic() - begun

    def purge(self, name):
        at = unix_ms()
        self.bus.tell(ban={"url": name.decode(), "ts": at})
        self.front.until("told")
        return at

    def close(self):
        self.cache.stop()
        self.origin.stop()


@pytest.fixture
def make_scene(tmp_path):
    made = []

    def make(**given):
        made.append(Scene(tmp_path, **given))
        return made[-1]

    yield make
    for scene in made:
        scene.front.__exit__()
        scene.close()


def name_of(number):
    return b"7f3a9c21e0b4d6%02x" % number


@pytest.mark.parametrize("direct", [True, False])
def test_no_get_after_the_grace_gets_a_copy_from_before_the_purge(make_scene, direct):
    """Guards against an age that the front rounds down once and the cache once more, below a second too."""
    scene = make_scene(straight=direct)
    found = []
    for number, (fill_before, ask_after) in enumerate(
        [(0.1, 0.55), (0.1, 0.75), (0.3, 0.65), (0.05, 0.9), (0.6, 1.1), (0.9, 1.5), (0.2, 1.75), (0.9, 2.05)]
    ):
        name = name_of(number)
        scene.get(name)
        time.sleep(fill_before)
        purged_at = scene.purge(name)
        time.sleep(max(0, ask_after - (unix_ms() - purged_at) / 1e3))
        made, took = scene.get(name)
        found.append((fill_before, ask_after, made is not None and made - purged_at, round(took, 3)))
        assert made is not None and made >= purged_at, found
        assert took < 1.0 - GRACE_S + SLACK_S, found


def test_what_is_within_the_grace_or_not_purged_does_not_wait(make_scene):
    """Guards against waits and fills without need."""
    scene = make_scene()
    scene.get(name_of(1)), scene.get(name_of(2))
    scene.purge(name_of(1))
    assert scene.get(name_of(1))[1] < GRACE_S / 2
    time.sleep(GRACE_S + 0.1)
    fills = scene.cache.fills
    assert scene.get(name_of(2))[1] < GRACE_S / 2 and scene.cache.fills == fills


def test_a_get_that_cannot_wait_is_answered_by_the_origin_or_shed_at_once(make_scene):
    scene = make_scene(straight=True)
    scene.get(name_of(1))
    purged_at = scene.purge(name_of(1))
    time.sleep(GRACE_S + 0.1)
    made, took = scene.get(name_of(1), patience=200)
    assert made >= purged_at and took < 0.2 and scene.from_origin == 1


def test_copies_from_after_a_purge_are_used_and_its_limit_ends_with_the_old_copies(make_scene):
    """Guards against fills that a purge no longer needs: an age in whole seconds excludes good copies too."""
    scene = make_scene()
    name = name_of(1)
    scene.get(name)
    time.sleep(0.2)
    purged_at = scene.purge(name)
    time.sleep(1.1)
    made = scene.get(name)[0]
    assert made >= purged_at
    fills = scene.cache.fills
    time.sleep(0.5)
    assert scene.get(name)[0] == made
    time.sleep(max(0, PURGE_DONE_S + 0.1 - (unix_ms() - purged_at) / 1e3))
    scene.get(name)
    assert scene.cache.controls[name] == [b""] and scene.cache.fills == fills
