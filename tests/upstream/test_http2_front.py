"""The program itself between HTTP/2 stand-ins: what its clients get, and what ran."""

import signal
import threading
import time

import pytest
from helpers import Front, cache, get_text, host, served

from benchmarks.http2_closes import soak
from standins.http2 import REFUSED_STREAM, Running

KDL = "servers {\n speak http2 kind=std\n speak http2 kind=origin\n}\n"


@pytest.fixture
def boxes():
    made = [Running(name="s-0b"), Running(name="s-1f")]
    yield made
    for box in made:
        box.stop()


def start(path, boxes, kdl=KDL):
    box, root = boxes
    return Front(path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"), kdl=kdl)


def order(front, call_id="a" * 16, **more):
    return front.ask(get_text(call_id, ds="order", method="PUT", **more))[0]


def until(true):
    end = time.monotonic() + 10
    while not true():
        assert time.monotonic() < end
        time.sleep(0.005)


def holding(box):
    """The box holds what comes; returns the list of (peer, request)."""
    held = []
    box.server.came = lambda peer, request: held.append((peer, request))
    return held


def answer(box, held):
    box.do(lambda: [peer.run(request) and peer.answer(request.stream) for peer, request in held] or True)


def test_a_get_with_its_tag_and_an_order_with_its_body(tmp_path, boxes):
    seen = []

    def came(peer, request):
        seen.append(request)
        peer.run(request)
        peer.answer(
            request.stream,
            304 if b"if-none-match" in request.fields else 200,
            ((b"etag", b'"t1"'), (b"cache-status", b"s; hit")),
            b"" if len(seen) > 1 else b"xxxxx",
        )

    boxes[0].server.came = came
    with start(tmp_path, boxes) as front:
        status, headers, body = front.ask(get_text())
        assert (status, headers["ETag"], body) == (200, '"t1"', b"xxxxx")
        assert front.ask(get_text(extra='If-None-Match: "t1"\r\n'))[::2] == (304, b"")
        assert seen[0].fields[b"spruce-fill"].startswith(b'source="s-1f", rank=1')
        assert seen[0].fields[b":path"] == b"/svc/media/7f3a9c21e0b4d655/slice-3"
        assert 1000 < int(seen[0].fields[b"spruce-wait"]) <= 1500
        assert order(front, body=b"b" * 48_000) == 200
        assert boxes[1].server.ran == [("a" * 16, 0)] and boxes[0].server.made == 1


def test_a_server_that_speaks_lines_stands_beside_one_that_speaks_http2(tmp_path, boxes):
    box = cache(served)
    with Front(
        tmp_path,
        host("s-0b", box.address, "std"),
        host("s-1f", boxes[1].address, "origin"),
        kdl=KDL.replace("kind=std", "kind=parent"),
    ) as front:
        assert front.ask(get_text())[0] == order(front) == 200
        assert box.heard.get(timeout=5)[0] == b"serve" and boxes[1].server.ran == [("a" * 16, 0)]


def test_an_order_that_may_have_run_is_errored_and_never_sent_again(tmp_path, boxes):
    def came(peer, request):
        peer.run(request)
        peer.abort()

    boxes[1].server.came = came
    with start(tmp_path, boxes) as front:
        assert order(front) == 502
        boxes[1].server.heads = lambda peer, request: peer.abort()  # between HEADERS and the first DATA
        # 503 while the pool keeps away from a server that has just broken off: those never left.
        ids = iter(f"{n:016x}" for n in range(100))
        until(lambda: order(front, next(ids), body=b"b" * 40_000) == 502)
    assert boxes[1].server.ran == [("a" * 16, 0)]


@pytest.mark.parametrize("how", ["goaway", "refused", "503"])
def test_an_order_that_never_ran_is_sent_again_and_runs_once(tmp_path, boxes, how):
    def came(peer, request):
        if request.attempt:
            peer.run(request)
            peer.answer(request.stream)
        elif how == "goaway":
            peer.goaway(0)
        elif how == "refused":
            peer.reset(request.stream, REFUSED_STREAM)
        else:
            peer.answer(request.stream, 503, ((b"spruce-ran", b"?0"),), b"")

    boxes[1].server.came = came
    with start(tmp_path, boxes) as front:
        assert order(front) == 200
    assert boxes[1].server.ran == [("a" * 16, 1)]


def test_a_503_that_says_nothing_of_running_is_no_proof(tmp_path, boxes):
    boxes[1].server.came = lambda peer, request: peer.answer(request.stream, 503, (), b"")
    with start(tmp_path, boxes) as front:
        assert order(front) == 502


def test_a_window_that_never_opens_costs_its_order_alone(tmp_path, boxes):
    boxes[1].stop()
    boxes[1] = Running(window=1, opens=False)
    with start(tmp_path, boxes) as front:
        assert order(front, body=b"b" * 48_000, patience=400) == 502
        assert front.ask(get_text())[0] == 200
        assert boxes[1].server.ran == [] and boxes[1].server.made <= 2


def test_sigterm_answers_what_is_open_on_streams_and_says_goodbye(tmp_path, boxes):
    held = holding(boxes[0])
    with start(tmp_path, boxes) as front:
        sock = front.connect()
        sock.sendall(get_text())
        until(lambda: held)
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        answer(boxes[0], held)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200") and front.process.wait(10) == 0
        until(lambda: not boxes[0].server.peers)


def test_a_drain_with_streams_open_lets_them_end_and_sends_nothing_new(tmp_path, boxes):
    held = holding(boxes[0])
    with start(tmp_path, boxes) as front:
        sock = front.connect()
        sock.sendall(get_text())
        until(lambda: held)
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", boxes[0].address, "std", "draining")],
                },
            }
        )
        front.until("told")
        assert front.ask(get_text("b" * 16))[0] == 200  # by the origin
        answer(boxes[0], held)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert boxes[0].server.ran == [("9b1f03aa5c7e2d41", 0)]
        front.tells.put(
            {
                "offset": 3,
                "topology": {
                    "seq": 3,
                    "whole": False,
                    "hosts": [host("s-0b", boxes[0].address, "std", "removed")],
                },
            }
        )
        until(lambda: not boxes[0].server.peers)


def test_a_client_that_leaves_has_its_stream_reset(tmp_path, boxes):
    held = holding(boxes[0])
    with start(tmp_path, boxes) as front:
        sock = front.connect()
        sock.sendall(get_text())
        until(lambda: held)
        sock.close()
        until(lambda: boxes[0].server.cancelled == ["9b1f03aa5c7e2d41"])


def test_a_bad_server_costs_its_own_connection_and_others_go_on(tmp_path, boxes):
    from standins.http2 import frame

    boxes[0].server.came = lambda peer, request: peer.raw(frame(6, 0, 0, b"8 bytes.") * 2000)
    with start(tmp_path, boxes) as front:
        answers = {}
        threads = [
            threading.Thread(target=lambda n=n: answers.update({n: front.ask(get_text(f"{n:016x}"))[0]}))
            for n in range(5)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        assert "flood" in front.until("cache_unreadable")["error"]
        assert set(answers.values()) <= {200, 503} and len(answers) == 5
        assert order(front) == 200


def test_a_soak_with_closes_at_random_points():
    said = soak(1500, 40, clients=32)
    assert said["closes"] >= 15 and said["orders"] >= 20 and said["never_executed"] > 0
    assert (said["orders_duplicated"], said["gets_lost"], said["false_never_ran"], said["faults"]) == (
        0,
        0,
        0,
        0,
    )
    assert said["returned"] + said["shed"] + said["errored"] == said["gets"] == 1500
