"""Deadlines, waits and responses don't depend on the wall clock, which may be stepped at any time."""

import threading
import time

import pytest
from crossing import held, key, two
from helpers import get_text, served

HOUR = 3600
STEPS = (-HOUR, -3, 3, HOUR)


def send_in_thread(front, at, found, patience=1500):
    """Send one request in its own thread, which appends (status, seconds) to `found`."""

    def run():
        sock, begun = front.connect(), time.monotonic()
        sock.settimeout(patience / 1000 + 4)
        try:
            found.append((front.ask(get_text(key(at), patience=patience), sock)[0], time.monotonic() - begun))
        except OSError:
            found.append((0, time.monotonic() - begun))

    thread = threading.Thread(target=run)
    thread.start()
    return thread


def test_gets_end_in_their_time_whatever_the_wall_clock_does(tmp_path):
    for step in STEPS:
        front, cache_server, origin_server = two(tmp_path, lambda *_: None, lambda *_: None)
        found = []
        with front:
            threads = [send_in_thread(front, at, found) for at in range(4)]
            time.sleep(0.3)
            front.faults.step_wall(step)
            for thread in threads:
                thread.join()
        assert len(found) == 4 and all(status in (502, 503) and took < 1.7 for status, took in found), (
            step,
            found,
        )


def test_requests_open_at_a_clock_step_and_later_ones_are_served(tmp_path):
    for step in STEPS:
        go, found, later = threading.Event(), [], []
        front, cache_server, origin_server = two(tmp_path, held(go))
        with front:
            threads = [send_in_thread(front, at, found, 3000) for at in range(8)]
            time.sleep(0.3)
            front.faults.step_wall(step)
            time.sleep(0.6)  # time for a sweep and a timer with the stepped clock
            go.set()
            for thread in threads:
                thread.join()
            for at in range(100, 104):
                send_in_thread(front, at, later).join()
        assert [status for status, _ in found + later] == [200] * 12, (step, found, later)


def test_a_clock_step_does_not_change_the_time_of_a_shutdown(tmp_path):
    for step in (-HOUR, HOUR):
        front, cache_server, origin_server = two(tmp_path, lambda *_: None, lambda *_: None)
        found = []
        with front:
            thread = send_in_thread(front, 1, found, 2500)
            time.sleep(0.3)
            begun = time.monotonic()
            front.process.terminate()
            time.sleep(0.2)
            front.faults.step_wall(step)
            thread.join()
            assert front.process.wait(10) == 0
        assert found[0][0] in (502, 503) and 2.0 < time.monotonic() - begun < 3.7, (step, found)


def reply_made_at(seconds):
    def reply(call_id, fields, body):
        made = int((time.time() + seconds) * 1000)
        return served(call_id, fields).replace(b"made=5", b"made=%d" % made)

    return reply


def request_heard(cache_server):
    while (heard := cache_server.heard.get(timeout=5))[0] != b"serve":
        pass
    return heard[2]


@pytest.mark.parametrize("step", [-HOUR, 0, HOUR])
@pytest.mark.parametrize("before", [-HOUR, -3, 0, 3, HOUR])
def test_a_copy_older_than_a_purge_is_not_accepted_whatever_the_wall_clock(tmp_path, before, step):
    """`maxage` is a duration: a copy made before the purge is older than that on any clock."""
    front, cache_server, origin_server = two(tmp_path, reply_made_at(0), reply_made_at(0))
    with front:
        front.process.kill()
        front.process.wait()
        front.tells.put(None)  # ends the stream of the killed front
        front.faults.step_wall(before)  # in effect at the start; stepped again while the front runs
        front.restart()
        assert front.ask(get_text(key(1)))[0] == 200
        request_heard(cache_server)
        front.faults.step_wall(before + step)
        time.sleep(0.2)
        purged = time.time()
        front.tells.put({"offset": 2, "ban": {"url": "7f3a9c21e0b4d655", "ts": int(purged * 1000)}})
        front.until("told")
        assert front.ask(get_text(key(2)))[0] == 200
        fields = request_heard(cache_server)
        assert 0 < int(fields["maxage"]) <= (time.time() - purged) * 1000 + 5, fields
