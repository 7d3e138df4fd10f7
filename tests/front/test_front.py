"""The program itself, started and spoken to over loopback, between stand-ins for caches and bus."""

import asyncio
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter

import pytest
from helpers import REAL, Front, bus, cache, get_text, host, refuses_first, served

from sprucegate.front import configuration, driver
from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.client_connections import ClientConnection
from sprucegate.front.protocol.http import RequestReader


def held_back(go):
    """A cache's reply that waits for `go`."""

    def reply(call_id, fields, body):
        go.wait(5)
        return served(call_id, fields)

    return reply


LIVE = b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n"


def serve(path, reply, origin=served, **more):
    """A front with one cache and an origin, and both stand-ins."""
    box, root = cache(reply), cache(origin)
    front = Front(path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"), **more)
    return front, box, root


def test_gets_are_answered_on_one_connection_and_a_tag_passes_through(tmp_path):
    def reply(call_id, fields, body):
        same = b"%b still_good etag=t1,made=5 0\r\n\r\n" % call_id
        return same if "have" in fields else served(call_id, fields)

    front, box, _ = serve(tmp_path, reply)
    with front:
        sock = front.connect()
        assert front.ask(LIVE, sock)[0] == 200
        status, headers, body = front.ask(get_text(), sock)
        assert (status, headers["ETag"], body) == (200, '"t1"', b"xxxxx")
        word, call_id, fields, _ = box.heard.get(timeout=5)
        assert (word, call_id, fields["profile"], fields["thing"], fields["nth"], fields["src"]) == (
            b"serve",
            b"9b1f03aa5c7e2d41",
            "media",
            "7f3a9c21e0b4d655",
            "3",
            "s-1f",
        )
        assert front.ask(get_text(extra='If-None-Match: "t1"\r\n'), sock)[::2] == (304, b"")
        assert box.heard.get(timeout=5)[2]["have"] == "t1"
        status, headers, _ = front.ask(get_text(extra="Connection: close\r\n"), sock)
        assert (status, headers["Connection"], sock.recv(9)) == (200, "close", b"")


def test_a_write_goes_to_the_origin_with_its_body(tmp_path):
    front, _, root = serve(tmp_path, served)
    with front:
        assert front.ask(get_text(ds="order", method="PUT", body=b"b" * 48_000))[0] == 200
        assert root.heard.get(timeout=5)[3] == b"b" * 48_000


TOKENED = {
    **REAL["settings"],
    "categories": [
        REAL["settings"]["categories"][0],
        {**REAL["settings"]["categories"][1], "effect": "token"},
    ],
}


def test_the_token_of_a_tokened_get_passes_unchanged(tmp_path):
    """Dropped on the way, it would run as often as its client repeats it."""
    front, _, root = serve(tmp_path, served, settings=TOKENED)
    with front:
        token = "X-Dedupe-Key: 874c0800e55d6e52e37d72f7382e0326\r\n"
        assert front.ask(get_text(ds="order", method="PUT", body=b"b", extra=token))[0] == 200
        assert root.heard.get(timeout=5)[2]["replay"] == "874c0800e55d6e52e37d72f7382e0326"
        assert front.ask(get_text("d" * 16, ds="order", method="PUT", body=b"b"))[0] == 200
        assert "replay" not in root.heard.get(timeout=5)[2]
        for odd in ("a,src=s-0b", "a b", "x" * 65):
            text = get_text("e" * 16, ds="order", method="PUT", body=b"b", extra=f"X-Dedupe-Key: {odd}\r\n")
            assert front.ask(text)[0] == 400
        assert root.heard.empty()


@pytest.mark.parametrize(
    "word, ds, status",
    [
        (b"not_here", "media", 503),
        (b"overload", "media", 503),
        (b"crashed", "media", 503),
        (b"nobody", "order", 503),
        (b"crashed", "order", 502),
        (b"odd", "order", 502),
    ],
)
def test_what_may_have_run_is_errored_and_all_else_shed(tmp_path, word, ds, status):
    def reply(call_id, fields, body):
        return b"%b %b - 0\r\n\r\n" % (call_id, word)

    front, _, _ = serve(tmp_path, reply, reply)
    with front:
        assert front.ask(get_text(ds=ds, method="PUT" if ds == "order" else "GET"))[0] == status


def test_a_lost_connection_and_a_refused_one_tell_what_may_have_run(tmp_path):
    front, _, root = serve(tmp_path, served, lambda *_: b"")
    with front:
        assert front.ask(get_text(ds="order", method="PUT"))[0] == 502
        root.stop()
        front.until("cache_connection_lost")
        assert front.ask(get_text("9b1f03aa5c7e2d42", ds="order", method="PUT"))[0] == 503


def test_a_silent_cache_is_given_up_in_time_and_by_name(tmp_path):
    front, box, _ = serve(tmp_path, lambda *_: None, lambda *_: None)
    with front:
        status, _, _ = front.ask(get_text(patience=300))
        assert status in (502, 503)
        assert [box.heard.get(timeout=5)[0] for _ in range(2)] == [b"serve", b"end"]


@pytest.mark.parametrize(
    "spoilt",
    [
        b"%b served - 5\r\nab",
        b"%b served etag=t1",
        b"\xff\x00 noise\r\n",
        b"%b served - 3000000000\r\nabc",
        b"%b served - many\r\n",
        b"%b served - 2\r\nabcd\r\n",
        b"%b served - -2\r\nab\r\n",
        b"%b",
        b"",
        b"%b still_good etag=t9,made=5 0\r\n\r\n",
        b"%b served etag=t1,report=inflight:nan 2\r\nab\r\n",
    ],
)
def test_a_spoilt_answer_harms_its_own_get_alone_and_that_one_is_forwarded_again(tmp_path, spoilt):
    ill, shown = "a" * 16, threading.Event()

    def reply(call_id, fields, body):
        if call_id == ill.encode() and not shown.is_set():
            shown.set()
            return spoilt.replace(b"%b", call_id)
        return served(call_id, fields)

    boxes = [cache(reply), cache(reply)]
    front = Front(
        tmp_path,
        host("s-0b", boxes[0].address, "std"),
        host("s-0c", boxes[1].address, "std"),
        host("s-1f", cache(served).address, "origin"),
    )
    with front:
        answer = {}
        ask = lambda: answer.update(ill=front.ask(get_text(ill, patience=3000))[::2])  # noqa: E731
        thread = threading.Thread(target=ask)
        thread.start()
        assert shown.wait(5)
        assert [front.ask(get_text(c * 16))[::2] for c in "bcd"] == [(200, b"xxxxx")] * 3
        thread.join(10)
        assert answer == {"ill": (200, b"xxxxx")}


def test_what_a_cache_sends_twice_or_unasked_is_no_ones_answer(tmp_path):
    def reply(call_id, fields, body):
        extra = b"%b served - 3\r\nbad\r\n"
        return extra % (b"f" * 16) + served(call_id, fields, call_id) + extra % call_id

    front, _, _ = serve(tmp_path, reply)
    with front:
        answers = [front.ask(get_text(c * 16).replace(b"7f3a", 4 * c.encode()))[::2] for c in "abc"]
        assert answers == [(200, c.encode() * 16) for c in "abc"]


def test_answers_out_of_order_find_their_clients(tmp_path):
    both, second, waiting = threading.Barrier(2, timeout=5), threading.Event(), []

    def reply(call_id, fields, body):
        waiting.append(call_id)
        if len(waiting) == 1:
            assert second.wait(5)  # on a connection of its own: neither waits for the other
        second.set()
        return served(call_id, fields, call_id)

    front, _, _ = serve(tmp_path, reply)
    with front:
        answers = {}

        def ask(call_id):
            both.wait()
            answers[call_id] = front.ask(get_text(call_id))[2].decode()

        threads = [threading.Thread(target=ask, args=(c * 16,)) for c in "ab"]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        assert answers == {c * 16: c * 16 for c in "ab"}


def test_a_client_that_leaves_has_its_forward_cancelled(tmp_path):
    front, box, _ = serve(tmp_path, lambda *_: None)
    with front:
        sock = front.connect()
        sock.sendall(get_text())
        assert box.heard.get(timeout=5)[0] == b"serve"
        sock.close()
        assert box.heard.get(timeout=5)[0] == b"end"


@pytest.mark.parametrize(
    "text, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (get_text(call_id="x"), 400),
        (get_text(ds="other"), 404),
        (get_text(method="DELETE"), 405),
        (b"PUT / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 9000, 431),
        (get_text(ds="order"), 405),
        (get_text(method="PUT", body=b"x"), 405),
        (get_text(body=b"x"), 405),
        (get_text(extra="Transfer-Encoding: chunked\r\n", body=b"0\r\n\r\n" + get_text("d" * 16)), 400),
        (get_text().replace(b"Content-Length: 0", b"Content-Length: -1"), 400),
        (get_text().replace(b"Content-Length: 0", b"Content-Length: " + b"9" * 30), 400),
        (get_text().replace(b"Heap-Kb: 4.5", b"Heap-Kb: 1e8"), 400),
        (get_text().replace(b"1500", b"inf"), 400),
        (get_text().replace(b"Set: 17", b"Set: 1.5"), 400),
        (get_text().replace(b"X-Call-Id", b"X-None"), 400),
    ],
)
def test_bad_input_is_refused_and_reaches_no_cache(tmp_path, text, status):
    front, box, _ = serve(tmp_path, served)
    with front:
        assert front.ask(text)[0] == status
        assert front.ask(get_text("c" * 16))[0] == 200
        assert box.heard.get(timeout=5)[1] == b"c" * 16


def test_an_id_that_is_open_is_refused_and_its_get_goes_on(tmp_path):
    go = threading.Event()
    front, box, _ = serve(tmp_path, held_back(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text())
        box.heard.get(timeout=5)
        assert front.ask(get_text().replace(b"7f3a", b"aaaa"))[0] == 409
        go.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 200") and box.heard.empty()
        assert front.ask(get_text())[0] == 200  # once it has ended it may come again


@pytest.mark.parametrize("sent", [b"", get_text()[:20]])
def test_a_client_that_never_asks_is_closed_in_time(tmp_path, sent):
    front, _, _ = serve(tmp_path, served)
    with front:
        asks, idle, sock = front.connect(), front.connect(), front.connect()
        assert front.ask(get_text(), idle)[0] == 200
        sock.sendall(sent)
        sock.settimeout(3)
        begun = time.monotonic()
        assert sock.recv(9) == b"" and time.monotonic() - begun < 3
        assert front.ask(get_text("c" * 16), idle)[0] == 200  # one that asked may stay
        asks.close()


def test_those_who_never_asked_make_room_before_one_who_did(tmp_path):
    front, _, _ = serve(tmp_path, served, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        sock = front.connect()
        assert front.ask(get_text(), sock)[0] == 200
        crowd = [front.connect() for _ in range(40)]
        assert crowd[0].recv(9) == b""
        assert front.ask(get_text("c" * 16), sock)[0] == 200
        assert front.ask(get_text("d" * 16), crowd[-1])[0] == 200


def test_an_event_that_cant_be_read_is_asked_for_again_then_passed_over(tmp_path):
    front, box, root = serve(tmp_path, served)
    with front:
        drain = {
            "offset": 3,
            "topology": {"seq": 2, "whole": False, "hosts": [host("s-0b", box.address, "std", "draining")]},
        }
        for _ in range(2):
            assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
            front.tells.put({"offset": 2, "ban": {"url": "not hex", "ts": 0}})
            if not _:
                front.until("bus_lost")
                front.tells.put(None)
        for _ in range(4):  # the stream that was left may eat some
            front.tells.put(drain)
        assert front.until("bus_gap")["last"] == 1 and front.until("told")["offset"] == 3
        assert front.ask(get_text())[0] == 200
        assert root.heard.get(timeout=5)[0] == b"serve" and box.heard.empty()


def test_sigterm_is_not_held_up_by_a_patience_past_the_kill(tmp_path):
    front, box, _ = serve(tmp_path, lambda *_: None, lambda *_: None)
    front.configure(
        settings={
            **REAL["settings"],
            "categories": [{**REAL["settings"]["categories"][0], "deadline": 30_000_000}],
        }
    )
    with front:
        sock, silent = front.connect(), front.connect()
        sock.sendall(get_text(patience=30_000))
        box.heard.get(timeout=5)
        begun = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        assert sock.recv(4096).startswith(b"HTTP/1.1 503")
        assert front.process.wait(10) == 0 and time.monotonic() - begun < 3.7
        silent.close()


def test_drains_and_purges_from_the_bus_hold_and_a_break_is_taken_up_again(tmp_path):
    front, box, root = serve(tmp_path, served)
    with front:
        assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
        front.tells.put({"offset": 2, "ban": {"url": "7f3a9c21e0b4d655", "ts": 0}})
        front.until("told")
        front.tells.put(None)
        assert b"Last-Event-ID: 2\r\n" in front.bus.heard.get(timeout=5)
        front.tells.put({"offset": 2, "ban": {"tag": 1, "ts": 0}})  # sent again: not applied twice
        front.tells.put(
            {
                "offset": 3,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", box.address, "std", "draining")],
                },
            }
        )
        assert front.until("told")["offset"] == 3
        assert front.ask(get_text())[0] == 200
        assert root.heard.get(timeout=5)[0] == b"serve" and box.heard.empty()


def test_sigterm_answers_what_is_open_and_what_still_comes_then_ends(tmp_path):
    go = threading.Event()
    front, box, _ = serve(tmp_path, held_back(go))
    with front:
        sock, idle = front.connect(), front.connect()
        sock.sendall(get_text())
        box.heard.get(timeout=5)
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        threading.Timer(0.1, go.set).start()
        assert front.ask(get_text("d" * 16))[0] == 200
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert front.process.wait(10) == 0 and idle.recv(9) == b""


def test_sighup_asks_the_new_bus_from_the_last_event_and_a_faulty_file_changes_nothing(tmp_path):
    front, box, root = serve(tmp_path, served)
    with front:
        front.bus.heard.get(timeout=5)
        sock, tells = front.connect(), queue.Queue()
        moved = bus(tells)
        front.tells.put({"offset": 2, "ban": {"tag": 1, "ts": 0}})
        front.until("told")
        for _ in range(2):  # one on the heels of another
            front.configure(bus=moved.address)
            front.process.send_signal(signal.SIGHUP)
            assert front.until("reloaded")["needs_restart"] == []
        assert b"Last-Event-ID: 2\r\n" in moved.heard.get(timeout=5)
        front.configure(bus="nowhere")
        front.process.send_signal(signal.SIGHUP)
        assert "bus" in front.until("reload_failed")["error"]
        for offset in (2, 3, 3, 3, 3, 3):  # 2 was told before; streams left open eat some
            tells.put(
                {
                    "offset": offset,
                    "topology": {
                        "seq": 2,
                        "whole": False,
                        "hosts": [host("s-0b", box.address, "std", "draining")],
                    },
                }
            )
        assert front.until("told")["offset"] == 3
        assert front.ask(get_text(), sock)[0] == 200
        assert root.heard.get(timeout=5)[0] == b"serve" and box.heard.empty()


def test_sighup_during_the_start_ends_nothing():
    code = "import os, signal, sprucegate.__main__; os.kill(os.getpid(), signal.SIGHUP)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20).returncode == 0


def test_a_faulty_configuration_is_one_line_and_no_start(tmp_path):
    file = tmp_path / "config.json"
    known = {"offset": 0, "batch": []}
    file.write_text(json.dumps({**REAL, "listen": "127.0.0.1:1", "known": known}))
    for path, named in ((str(file), "bus: is missing"), (str(tmp_path / "none"), "BALANCER_CONFIG")):
        done = subprocess.run(
            [sys.executable, "-m", "sprucegate"],
            capture_output=True,
            text=True,
            timeout=20,
            env={**os.environ, "BALANCER_CONFIG": path},
        )
        assert done.returncode == 2 and named in done.stderr and done.stderr.count("\n") == 1


def test_a_request_in_many_pieces_and_one_left_unfinished(tmp_path):
    front, _, _ = serve(tmp_path, served)
    with front:
        sock = front.connect()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        text = get_text()
        for at in range(len(text) - 1):
            sock.sendall(text[at : at + 1])
        assert front.ask(text[-1:], sock)[0] == 200
        sock.sendall(text[:20])
        assert sock.recv(9) == b""  # closed in bounded time


def test_an_own_copy_answers_until_it_is_purged(tmp_path):
    made = int(time.time() * 1000)
    reply = b"%%b served etag=t1,made=%d 2\r\nab\r\n" % made
    front, box, _ = serve(tmp_path, lambda call_id, *_: reply % call_id)
    with front:
        answers = [
            front.ask(get_text(c * 16, extra='If-None-Match: "t1"\r\n' if c == "d" else ""))[::2]
            for c in "abcd"
        ]
        assert answers == [(200, b"ab")] * 3 + [(304, b"")]
        front.tells.put({"offset": 2, "ban": {"tag": 17, "ts": made + 1}})
        front.until("told")
        assert front.ask(get_text("e" * 16))[::2] == (200, b"ab")
        assert [box.heard.get(timeout=5)[1] for _ in range(3)] == [b"a" * 16, b"b" * 16, b"e" * 16]


@pytest.mark.parametrize("owner, stage", [(driver.Router, "start_request"), (driver, "admit")])
def test_a_stage_that_breaks_still_gives_its_get_one_answer(owner, stage, monkeypatch):
    known = {"offset": 1, "batch": []}
    wanted = configuration.wanted({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})
    logged = []

    def breaks(*_):
        raise KeyError("broken")

    async def run():
        made = driver.Driver(wanted, BufferPool(4), lambda event, **_: logged.append(event))
        near, far = socket.socketpair()
        near.setblocking(False)
        monkeypatch.setattr(owner, stage, breaks)
        client = ClientConnection(near, 0)
        client.on_request(0)
        made.receive_request(client, *RequestReader().feed(get_text()), made.clock())
        far.settimeout(5)
        near.close()
        return b"".join(iter(lambda: far.recv(4096), b"")), len(made.open_requests)

    answer, still_open = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 500 ") and answer.count(b"HTTP/1.1") == 1
    assert logged == ["fault"] and still_open == 0


def test_why_a_get_was_sent_again_or_shed_and_a_client_closed_is_counted(tmp_path):
    """The first attempt of all is refused, wherever it goes; a GET with no time left is shed with nothing sent."""
    reply = refuses_first()
    boxes = [cache(reply) for _ in range(3)]
    hosts = [host(f"s-{at + 11:x}", box.address, "std") for at, box in enumerate(boxes)]
    root = cache(served)
    with Front(tmp_path, *hosts, host("s-1f", root.address, "origin")) as front:
        assert front.ask(get_text("a" * 16, extra="Connection: close\r\n"))[0] == 200
        assert front.ask(get_text("b" * 16, patience=1))[0] == 503
        counted = Counter()
        for _ in range(3):
            counted.update({k: v for k, v in front.until("second").items() if isinstance(v, int)})
    assert counted["retries_after_full"] == counted["forwards_full"] == 1
    assert (
        counted["gets_shed_unsent"] == counted["gets_shed"] == 1 and not counted["gets_shed_after_attempts"]
    )
    assert counted["clients_closed peer"] == 2


def test_a_front_with_thousands_of_caches_starts_within_its_descriptors(tmp_path):
    box = cache(served)
    hosts = [host(f"s-{at + 256:x}", box.address, "std") for at in range(3200)]
    root = cache(served)
    limits = {**REAL["limits"], "sockets": 128}
    with Front(tmp_path, *hosts, host("s-1f", root.address, "origin"), limits=limits) as front:
        for at in range(200):  # another object each, so other caches
            text = get_text(f"{at:016x}", extra="Connection: close\r\n").replace(b"7f3a9c21", b"%08x" % at)
            assert front.ask(text)[0] == 200
            assert len(os.listdir(f"/proc/{front.process.pid}/fd")) <= 128


def test_what_ended_is_not_kept_until_the_time_that_it_might_have_taken():
    """Deadlines of an hour: neither the driver nor the module keeps a thousand GETs that have long been answered."""
    hosts = [host("s-0b", "127.0.0.1:9", "std"), host("s-1f", "127.0.0.1:9", "origin")]
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]}
    wanted = configuration.wanted({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})

    async def run():
        made = driver.Driver(wanted, BufferPool(4), lambda event, **_: None)
        made.on_discovery_event(wanted.known[0][1])
        near, far = socket.socketpair()
        near.setblocking(False)
        for at in range(1000):
            client = ClientConnection(near, 0)
            client.on_request(0)
            made.receive_request(
                client, *RequestReader().feed(get_text(f"{at:016x}", patience=3_000_000)), made.clock()
            )
            if at % 50 == 0:
                await asyncio.sleep(0.02)  # connections that are refused
        await asyncio.sleep(0.3)
        far.close()
        near.close()
        return len(made.attempt_timeouts), len(made.router.deadlines.waiting), len(made.open_requests)

    limits, waiting, still_open = asyncio.run(run())
    assert limits <= 200 and waiting <= 200 and still_open == 0
