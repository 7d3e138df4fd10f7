"""A front process between HTTP/2 stand-ins: what its clients get, and what the servers executed."""

import signal
import threading
import time

import pytest
from helpers import Front, cache, get_text, host, served

from benchmarks.http2_closes import soak
from standins.http2 import REFUSED_STREAM, Running

KDL = "servers {\n speak http2 kind=std\n speak http2 kind=origin\n}\n"


@pytest.fixture
def stand_ins():
    made = [Running(name="s-0b"), Running(name="s-1f")]
    yield made
    for stand_in in made:
        stand_in.stop()


def start_front(path, stand_ins, kdl=KDL):
    stand_in, origin = stand_ins
    return Front(path, host("s-0b", stand_in.address, "std"), host("s-1f", origin.address, "origin"), kdl=kdl)


def send_order(front, call_id="a" * 16, **more):
    return front.ask(get_text(call_id, ds="order", method="PUT", **more))[0]


def wait_until(condition):
    end = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def hold_requests(stand_in):
    """Leave the stand-in's requests unanswered; return the list of (peer, request) that they are added to."""
    pending = []
    stand_in.server.came = lambda peer, request: pending.append((peer, request))
    return pending


def answer_pending(stand_in, pending):
    stand_in.do(
        lambda: [peer.run(request) and peer.answer(request.stream) for peer, request in pending] or True
    )


def test_a_get_with_an_entity_tag_and_a_put_with_a_body(tmp_path, stand_ins):
    seen = []

    def on_request(peer, request):
        seen.append(request)
        peer.run(request)
        peer.answer(
            request.stream,
            304 if b"if-none-match" in request.fields else 200,
            ((b"etag", b'"t1"'), (b"cache-status", b"s; hit")),
            b"" if len(seen) > 1 else b"xxxxx",
        )

    stand_ins[0].server.came = on_request
    with start_front(tmp_path, stand_ins) as front:
        status, headers, body = front.ask(get_text())
        assert (status, headers["ETag"], body) == (200, '"t1"', b"xxxxx")
        assert front.ask(get_text(extra='If-None-Match: "t1"\r\n'))[::2] == (304, b"")
        assert seen[0].fields[b"spruce-fill"].startswith(b'source="s-1f", rank=1')
        assert seen[0].fields[b":path"] == b"/svc/media/7f3a9c21e0b4d655/slice-3"
        assert 1000 < int(seen[0].fields[b"spruce-wait"]) <= 1500
        assert send_order(front, body=b"b" * 48_000) == 200
        assert stand_ins[1].server.ran == [("a" * 16, 0)] and stand_ins[0].server.made == 1


def test_one_front_uses_the_line_protocol_and_http2_side_by_side(tmp_path, stand_ins):
    stand_in = cache(served)
    with Front(
        tmp_path,
        host("s-0b", stand_in.address, "std"),
        host("s-1f", stand_ins[1].address, "origin"),
        kdl=KDL.replace("kind=std", "kind=parent"),
    ) as front:
        assert front.ask(get_text())[0] == send_order(front) == 200
        assert stand_in.heard.get(timeout=5)[0] == b"serve" and stand_ins[1].server.ran == [("a" * 16, 0)]


def test_a_put_that_may_have_run_is_answered_with_an_error_and_never_repeated(tmp_path, stand_ins):
    def on_request(peer, request):
        peer.run(request)
        peer.abort()

    stand_ins[1].server.came = on_request
    with start_front(tmp_path, stand_ins) as front:
        assert send_order(front) == 502
        stand_ins[1].server.heads = lambda peer, request: peer.abort()  # between HEADERS and the first DATA
        # 503 while the pool backs off after the lost connection: those requests were not sent.
        ids = iter(f"{n:016x}" for n in range(100))
        wait_until(lambda: send_order(front, next(ids), body=b"b" * 40_000) == 502)
    assert stand_ins[1].server.ran == [("a" * 16, 0)]


@pytest.mark.parametrize("how", ["goaway", "refused", "503"])
def test_a_put_that_never_ran_is_repeated_and_runs_once(tmp_path, stand_ins, how):
    def on_request(peer, request):
        if request.attempt:
            peer.run(request)
            peer.answer(request.stream)
        elif how == "goaway":
            peer.goaway(0)
        elif how == "refused":
            peer.reset(request.stream, REFUSED_STREAM)
        else:
            peer.answer(request.stream, 503, ((b"spruce-ran", b"?0"),), b"")

    stand_ins[1].server.came = on_request
    with start_front(tmp_path, stand_ins) as front:
        assert send_order(front) == 200
    assert stand_ins[1].server.ran == [("a" * 16, 1)]


def test_a_503_without_spruce_ran_does_not_prove_that_the_request_never_ran(tmp_path, stand_ins):
    stand_ins[1].server.came = lambda peer, request: peer.answer(request.stream, 503, (), b"")
    with start_front(tmp_path, stand_ins) as front:
        assert send_order(front) == 502


def test_an_order_that_ran_and_is_answered_504_by_a_gateway_is_not_repeated(tmp_path, stand_ins):
    """Guards against an order that runs up to four times, and a client that is told that none did (review, case 1)."""

    def run_and_time_out(peer, request):
        peer.run(request)
        peer.answer(request.stream, 504, (), b"")

    stand_ins[1].server.came = run_and_time_out
    with start_front(tmp_path, stand_ins) as front:
        assert send_order(front, body=b"two valves") == 502
    assert stand_ins[1].server.ran == [("a" * 16, 0)]


def test_a_get_without_a_cache_is_answered_by_an_origin_that_honours_only_if_cached(tmp_path, stand_ins):
    """Guards against GETs that a gateway before the origin answers 504, as they ask for a stored response alone."""
    origin = stand_ins[1]
    origin.server.stores = False
    with Front(tmp_path, host("s-1f", origin.address, "origin"), kdl=KDL) as front:
        assert front.ask(get_text())[0] == 200
    assert origin.server.ran == [("9b1f03aa5c7e2d41", 0)]


def test_a_stream_window_that_never_opens_fails_only_its_own_put(tmp_path, stand_ins):
    stand_ins[1].stop()
    stand_ins[1] = Running(window=1, opens=False)
    with start_front(tmp_path, stand_ins) as front:
        assert send_order(front, body=b"b" * 48_000, patience=400) == 502
        assert front.ask(get_text())[0] == 200
        assert stand_ins[1].server.ran == [] and stand_ins[1].server.made <= 2


def test_sigterm_lets_open_streams_be_answered_and_closes_the_connections(tmp_path, stand_ins):
    pending = hold_requests(stand_ins[0])
    with start_front(tmp_path, stand_ins) as front:
        sock = front.connect()
        sock.sendall(get_text())
        wait_until(lambda: pending)
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        answer_pending(stand_ins[0], pending)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200") and front.process.wait(10) == 0
        wait_until(lambda: not stand_ins[0].server.peers)


def test_a_draining_server_finishes_its_open_streams_and_gets_no_new_ones(tmp_path, stand_ins):
    pending = hold_requests(stand_ins[0])
    with start_front(tmp_path, stand_ins) as front:
        sock = front.connect()
        sock.sendall(get_text())
        wait_until(lambda: pending)
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", stand_ins[0].address, "std", "draining")],
                },
            }
        )
        front.until("told")
        assert front.ask(get_text("b" * 16))[0] == 200  # by the origin
        answer_pending(stand_ins[0], pending)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert stand_ins[0].server.ran == [("9b1f03aa5c7e2d41", 0)]
        front.tells.put(
            {
                "offset": 3,
                "topology": {
                    "seq": 3,
                    "whole": False,
                    "hosts": [host("s-0b", stand_ins[0].address, "std", "removed")],
                },
            }
        )
        wait_until(lambda: not stand_ins[0].server.peers)


def test_a_clients_disconnect_resets_its_stream(tmp_path, stand_ins):
    pending = hold_requests(stand_ins[0])
    with start_front(tmp_path, stand_ins) as front:
        sock = front.connect()
        sock.sendall(get_text())
        wait_until(lambda: pending)
        sock.close()
        wait_until(lambda: stand_ins[0].server.cancelled == ["9b1f03aa5c7e2d41"])


def test_a_flood_of_frames_ends_only_the_connection_to_its_server(tmp_path, stand_ins):
    from standins.http2 import frame

    stand_ins[0].server.came = lambda peer, request: peer.raw(frame(6, 0, 0, b"8 bytes.") * 2000)
    with start_front(tmp_path, stand_ins) as front:
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
        assert send_order(front) == 200


def test_a_soak_with_connections_closed_at_random_points():
    result = soak(1500, 40, clients=32)
    assert result["closes"] >= 15 and result["orders"] >= 20 and result["never_executed"] > 0
    assert result["gateway_timeouts"] >= 5
    assert (
        result["orders_duplicated"],
        result["gets_lost"],
        result["false_never_ran"],
        result["faults"],
    ) == (
        0,
        0,
        0,
        0,
    )
    assert result["returned"] + result["shed"] + result["errored"] == result["gets"] == 1500
