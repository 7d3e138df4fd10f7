"""End-to-end tests: the program as a process on loopback, with stand-ins for caches, origin and event bus."""

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


def delayed_reply(go):
    """Return a reply function of a cache that waits for `go`."""

    def reply(call_id, fields, body):
        go.wait(5)
        return served(call_id, fields)

    return reply


LIVE = b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n"


def front_with_servers(path, reply, origin=served, **more):
    """Start a front with one cache and an origin; return it and both stand-ins."""
    cache_server, origin_server = cache(reply), cache(origin)
    front = Front(
        path, host("s-0b", cache_server.address, "std"), host("s-1f", origin_server.address, "origin"), **more
    )
    return front, cache_server, origin_server


def test_requests_on_one_connection_are_answered_and_etags_are_passed_on(tmp_path):
    def reply(call_id, fields, body):
        same = b"%b still_good etag=t1,made=5 0\r\n\r\n" % call_id
        return same if "have" in fields else served(call_id, fields)

    front, cache_server, _ = front_with_servers(tmp_path, reply)
    with front:
        sock = front.connect()
        assert front.ask(LIVE, sock)[0] == 200
        status, headers, body = front.ask(get_text(), sock)
        assert (status, headers["ETag"], body) == (200, '"t1"', b"xxxxx")
        word, call_id, fields, _ = cache_server.heard.get(timeout=5)
        assert (word, call_id, fields["profile"], fields["thing"], fields["nth"], fields["src"]) == (
            b"serve",
            b"9b1f03aa5c7e2d41",
            "media",
            "7f3a9c21e0b4d655",
            "3",
            "s-1f",
        )
        assert front.ask(get_text(extra='If-None-Match: "t1"\r\n'), sock)[::2] == (304, b"")
        assert cache_server.heard.get(timeout=5)[2]["have"] == "t1"
        status, headers, _ = front.ask(get_text(extra="Connection: close\r\n"), sock)
        assert (status, headers["Connection"], sock.recv(9)) == (200, "close", b"")


def test_a_put_is_sent_to_the_origin_with_its_body(tmp_path):
    front, _, origin_server = front_with_servers(tmp_path, served)
    with front:
        assert front.ask(get_text(ds="order", method="PUT", body=b"b" * 48_000))[0] == 200
        assert origin_server.heard.get(timeout=5)[3] == b"b" * 48_000


TOKENED = {
    **REAL["settings"],
    "categories": [
        REAL["settings"]["categories"][0],
        {**REAL["settings"]["categories"][1], "effect": "token"},
    ],
}


def test_an_idempotency_token_is_passed_on_unchanged(tmp_path):
    """Without it the request would be executed as often as its client repeats it."""
    front, _, origin_server = front_with_servers(tmp_path, served, settings=TOKENED)
    with front:
        token = "X-Dedupe-Key: 874c0800e55d6e52e37d72f7382e0326\r\n"
        assert front.ask(get_text(ds="order", method="PUT", body=b"b", extra=token))[0] == 200
        assert origin_server.heard.get(timeout=5)[2]["replay"] == "874c0800e55d6e52e37d72f7382e0326"
        assert front.ask(get_text("d" * 16, ds="order", method="PUT", body=b"b"))[0] == 200
        assert "replay" not in origin_server.heard.get(timeout=5)[2]
        for odd in ("a,src=s-0b", "a b", "x" * 65):
            text = get_text("e" * 16, ds="order", method="PUT", body=b"b", extra=f"X-Dedupe-Key: {odd}\r\n")
            assert front.ask(text)[0] == 400
        assert origin_server.heard.empty()


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
def test_a_request_that_may_have_run_fails_with_502_and_others_are_shed_with_503(tmp_path, word, ds, status):
    def reply(call_id, fields, body):
        return b"%b %b - 0\r\n\r\n" % (call_id, word)

    front, _, _ = front_with_servers(tmp_path, reply, reply)
    with front:
        assert front.ask(get_text(ds=ds, method="PUT" if ds == "order" else "GET"))[0] == status


def test_a_lost_connection_may_have_run_the_request_and_a_refused_one_did_not(tmp_path):
    front, _, origin_server = front_with_servers(tmp_path, served, lambda *_: b"")
    with front:
        assert front.ask(get_text(ds="order", method="PUT"))[0] == 502
        origin_server.stop()
        front.until("cache_connection_lost")
        assert front.ask(get_text("9b1f03aa5c7e2d42", ds="order", method="PUT"))[0] == 503


def test_an_attempt_at_an_unresponsive_cache_times_out_and_is_cancelled_there(tmp_path):
    front, cache_server, _ = front_with_servers(tmp_path, lambda *_: None, lambda *_: None)
    with front:
        status, _, _ = front.ask(get_text(patience=300))
        assert status in (502, 503)
        assert [cache_server.heard.get(timeout=5)[0] for _ in range(2)] == [b"serve", b"end"]


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_response_affects_only_its_own_request_which_is_retried(tmp_path, malformed):
    affected, shown = "a" * 16, threading.Event()

    def reply(call_id, fields, body):
        if call_id == affected.encode() and not shown.is_set():
            shown.set()
            return malformed.replace(b"%b", call_id)
        return served(call_id, fields)

    cache_servers = [cache(reply), cache(reply)]
    front = Front(
        tmp_path,
        host("s-0b", cache_servers[0].address, "std"),
        host("s-0c", cache_servers[1].address, "std"),
        host("s-1f", cache(served).address, "origin"),
    )
    with front:
        answer = {}
        ask = lambda: answer.update(affected=front.ask(get_text(affected, patience=3000))[::2])  # noqa: E731
        thread = threading.Thread(target=ask)
        thread.start()
        assert shown.wait(5)
        assert [front.ask(get_text(c * 16))[::2] for c in "bcd"] == [(200, b"xxxxx")] * 3
        thread.join(10)
        assert answer == {"affected": (200, b"xxxxx")}


def test_duplicate_and_unsolicited_responses_are_ignored(tmp_path):
    def reply(call_id, fields, body):
        extra = b"%b served - 3\r\nbad\r\n"
        return extra % (b"f" * 16) + served(call_id, fields, call_id) + extra % call_id

    front, _, _ = front_with_servers(tmp_path, reply)
    with front:
        answers = [front.ask(get_text(c * 16).replace(b"7f3a", 4 * c.encode()))[::2] for c in "abc"]
        assert answers == [(200, c.encode() * 16) for c in "abc"]


def test_responses_out_of_order_reach_their_clients(tmp_path):
    both, second, waiting = threading.Barrier(2, timeout=5), threading.Event(), []

    def reply(call_id, fields, body):
        waiting.append(call_id)
        if len(waiting) == 1:
            assert second.wait(5)  # on a second connection: neither request waits for the other
        second.set()
        return served(call_id, fields, call_id)

    front, _, _ = front_with_servers(tmp_path, reply)
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


def test_the_attempt_of_a_client_that_disconnects_is_cancelled(tmp_path):
    front, cache_server, _ = front_with_servers(tmp_path, lambda *_: None)
    with front:
        sock = front.connect()
        sock.sendall(get_text())
        assert cache_server.heard.get(timeout=5)[0] == b"serve"
        sock.close()
        assert cache_server.heard.get(timeout=5)[0] == b"end"


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
def test_an_invalid_request_is_rejected_and_reaches_no_cache(tmp_path, text, status):
    front, cache_server, _ = front_with_servers(tmp_path, served)
    with front:
        assert front.ask(text)[0] == status
        assert front.ask(get_text("c" * 16))[0] == 200
        assert cache_server.heard.get(timeout=5)[1] == b"c" * 16


def test_a_duplicate_of_an_open_call_id_is_rejected_and_the_first_request_goes_on(tmp_path):
    go = threading.Event()
    front, cache_server, _ = front_with_servers(tmp_path, delayed_reply(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text())
        cache_server.heard.get(timeout=5)
        assert front.ask(get_text().replace(b"7f3a", b"aaaa"))[0] == 409
        go.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 200") and cache_server.heard.empty()
        assert front.ask(get_text())[0] == 200  # after its end the id may be used again


@pytest.mark.parametrize("sent", [b"", get_text()[:20]])
def test_a_connection_without_a_complete_request_is_closed_after_its_timeout(tmp_path, sent):
    front, _, _ = front_with_servers(tmp_path, served)
    with front:
        unused, idle, sock = front.connect(), front.connect(), front.connect()
        assert front.ask(get_text(), idle)[0] == 200
        sock.sendall(sent)
        sock.settimeout(3)
        begun = time.monotonic()
        assert sock.recv(9) == b"" and time.monotonic() - begun < 3
        assert front.ask(get_text("c" * 16), idle)[0] == 200  # one that has sent a request stays open
        unused.close()


def test_connections_without_a_request_are_evicted_first(tmp_path):
    front, _, _ = front_with_servers(tmp_path, served, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        sock = front.connect()
        assert front.ask(get_text(), sock)[0] == 200
        crowd = [front.connect() for _ in range(40)]
        assert crowd[0].recv(9) == b""
        assert front.ask(get_text("c" * 16), sock)[0] == 200
        assert front.ask(get_text("d" * 16), crowd[-1])[0] == 200


def test_a_malformed_event_is_requested_again_and_then_skipped(tmp_path):
    front, cache_server, origin_server = front_with_servers(tmp_path, served)
    with front:
        drain = {
            "offset": 3,
            "topology": {
                "seq": 2,
                "whole": False,
                "hosts": [host("s-0b", cache_server.address, "std", "draining")],
            },
        }
        for _ in range(2):
            assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
            front.tells.put({"offset": 2, "ban": {"url": "not hex", "ts": 0}})
            if not _:
                front.until("bus_lost")
                front.tells.put(None)
        for _ in range(4):  # the abandoned stream may consume some
            front.tells.put(drain)
        assert front.until("bus_gap")["last"] == 1 and front.until("told")["offset"] == 3
        assert front.ask(get_text())[0] == 200
        assert origin_server.heard.get(timeout=5)[0] == b"serve" and cache_server.heard.empty()


def test_shutdown_is_not_delayed_by_a_client_deadline_after_sigkill(tmp_path):
    front, cache_server, _ = front_with_servers(tmp_path, lambda *_: None, lambda *_: None)
    front.configure(
        settings={
            **REAL["settings"],
            "categories": [{**REAL["settings"]["categories"][0], "deadline": 30_000_000}],
        }
    )
    with front:
        sock, silent = front.connect(), front.connect()
        sock.sendall(get_text(patience=30_000))
        cache_server.heard.get(timeout=5)
        begun = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        assert sock.recv(4096).startswith(b"HTTP/1.1 503")
        assert front.process.wait(10) == 0 and time.monotonic() - begun < 3.7
        silent.close()


def test_drains_and_purges_from_the_bus_are_applied_and_a_broken_stream_is_resumed(tmp_path):
    front, cache_server, origin_server = front_with_servers(tmp_path, served)
    with front:
        assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
        front.tells.put({"offset": 2, "ban": {"url": "7f3a9c21e0b4d655", "ts": 0}})
        front.until("told")
        front.tells.put(None)
        assert b"Last-Event-ID: 2\r\n" in front.bus.heard.get(timeout=5)
        front.tells.put({"offset": 2, "ban": {"tag": 1, "ts": 0}})  # sent again: not applied a second time
        front.tells.put(
            {
                "offset": 3,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", cache_server.address, "std", "draining")],
                },
            }
        )
        assert front.until("told")["offset"] == 3
        assert front.ask(get_text())[0] == 200
        assert origin_server.heard.get(timeout=5)[0] == b"serve" and cache_server.heard.empty()


def test_after_sigterm_open_and_new_requests_are_answered_before_the_exit(tmp_path):
    go = threading.Event()
    front, cache_server, _ = front_with_servers(tmp_path, delayed_reply(go))
    with front:
        sock, idle = front.connect(), front.connect()
        sock.sendall(get_text())
        cache_server.heard.get(timeout=5)
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        threading.Timer(0.1, go.set).start()
        assert front.ask(get_text("d" * 16))[0] == 200
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert front.process.wait(10) == 0 and idle.recv(9) == b""


def test_sighup_resumes_at_the_new_bus_and_an_invalid_file_changes_nothing(tmp_path):
    front, cache_server, origin_server = front_with_servers(tmp_path, served)
    with front:
        front.bus.heard.get(timeout=5)
        sock, tells = front.connect(), queue.Queue()
        moved = bus(tells)
        front.tells.put({"offset": 2, "ban": {"tag": 1, "ts": 0}})
        front.until("told")
        for _ in range(2):  # two in quick succession
            front.configure(bus=moved.address)
            front.process.send_signal(signal.SIGHUP)
            assert front.until("reloaded")["needs_restart"] == []
        assert b"Last-Event-ID: 2\r\n" in moved.heard.get(timeout=5)
        front.configure(bus="nowhere")
        front.process.send_signal(signal.SIGHUP)
        assert "bus" in front.until("reload_failed")["error"]
        for offset in (2, 3, 3, 3, 3, 3):  # 2 was applied before; abandoned streams consume some
            tells.put(
                {
                    "offset": offset,
                    "topology": {
                        "seq": 2,
                        "whole": False,
                        "hosts": [host("s-0b", cache_server.address, "std", "draining")],
                    },
                }
            )
        assert front.until("told")["offset"] == 3
        assert front.ask(get_text(), sock)[0] == 200
        assert origin_server.heard.get(timeout=5)[0] == b"serve" and cache_server.heard.empty()


def test_sighup_during_the_start_does_not_end_the_process():
    code = "import os, signal, sprucegate.__main__; os.kill(os.getpid(), signal.SIGHUP)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20).returncode == 0


def test_an_invalid_configuration_is_reported_in_one_line_and_prevents_the_start(tmp_path):
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


def test_a_request_in_many_pieces_is_served_and_an_unfinished_one_times_out(tmp_path):
    front, _, _ = front_with_servers(tmp_path, served)
    with front:
        sock = front.connect()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        text = get_text()
        for at in range(len(text) - 1):
            sock.sendall(text[at : at + 1])
        assert front.ask(text[-1:], sock)[0] == 200
        sock.sendall(text[:20])
        assert sock.recv(9) == b""  # closed after its time-out


def test_the_fronts_own_cache_answers_until_the_object_is_purged(tmp_path):
    made = int(time.time() * 1000)
    reply = b"%%b served etag=t1,made=%d 2\r\nab\r\n" % made
    front, cache_server, _ = front_with_servers(tmp_path, lambda call_id, *_: reply % call_id)
    with front:
        answers = [
            front.ask(get_text(c * 16, extra='If-None-Match: "t1"\r\n' if c == "d" else ""))[::2]
            for c in "abcd"
        ]
        assert answers == [(200, b"ab")] * 3 + [(304, b"")]
        front.tells.put({"offset": 2, "ban": {"tag": 17, "ts": made + 1}})
        front.until("told")
        assert front.ask(get_text("e" * 16))[::2] == (200, b"ab")
        assert [cache_server.heard.get(timeout=5)[1] for _ in range(3)] == [b"a" * 16, b"b" * 16, b"e" * 16]


@pytest.mark.parametrize("owner, stage", [(driver.Router, "start_request"), (driver, "admit")])
def test_a_request_gets_one_response_when_a_processing_stage_raises(owner, stage, monkeypatch):
    known = {"offset": 1, "batch": []}
    wanted = configuration.parse({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})
    logged = []

    def raises(*_):
        raise KeyError("broken")

    async def run():
        made = driver.Driver(wanted, BufferPool(4), lambda event, **_: logged.append(event))
        near, far = socket.socketpair()
        near.setblocking(False)
        monkeypatch.setattr(owner, stage, raises)
        client = ClientConnection(near, 0)
        client.on_request(0)
        made.receive_request(client, *RequestReader().feed(get_text()), made.clock())
        far.settimeout(5)
        near.close()
        return b"".join(iter(lambda: far.recv(4096), b"")), len(made.open_requests)

    answer, still_open = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 500 ") and answer.count(b"HTTP/1.1") == 1
    assert logged == ["fault"] and still_open == 0


def test_causes_of_retries_sheds_and_closed_connections_are_counted(tmp_path):
    """The very first attempt is refused by any cache; a request without time left is shed before any attempt."""
    reply = refuses_first()
    cache_servers = [cache(reply) for _ in range(3)]
    hosts = [
        host(f"s-{at + 11:x}", cache_server.address, "std") for at, cache_server in enumerate(cache_servers)
    ]
    origin_server = cache(served)
    with Front(tmp_path, *hosts, host("s-1f", origin_server.address, "origin")) as front:
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


def test_a_front_with_thousands_of_caches_stays_within_its_descriptor_limit(tmp_path):
    cache_server = cache(served)
    hosts = [host(f"s-{at + 256:x}", cache_server.address, "std") for at in range(3200)]
    origin_server = cache(served)
    limits = {**REAL["limits"], "sockets": 128}
    with Front(tmp_path, *hosts, host("s-1f", origin_server.address, "origin"), limits=limits) as front:
        for at in range(200):  # a different object each time, so that different caches are used
            text = get_text(f"{at:016x}", extra="Connection: close\r\n").replace(b"7f3a9c21", b"%08x" % at)
            assert front.ask(text)[0] == 200
            assert len(os.listdir(f"/proc/{front.process.pid}/fd")) <= 128


def test_state_of_ended_requests_is_not_kept_until_their_deadlines():
    """With deadlines of an hour neither the driver nor the router keeps state of a thousand answered requests."""
    hosts = [host("s-0b", "127.0.0.1:9", "std"), host("s-1f", "127.0.0.1:9", "origin")]
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]}
    wanted = configuration.parse({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})

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
                await asyncio.sleep(0.02)  # lets connections be refused
        await asyncio.sleep(0.3)
        far.close()
        near.close()
        return len(made.attempt_timeouts), len(made.router.deadlines.timers), len(made.open_requests)

    timeouts, timers, still_open = asyncio.run(run())
    assert timeouts <= 200 and timers <= 200 and still_open == 0
