"""Moments in which two events cross, each made to happen by order: docs/design-crossings.md has the table."""

import asyncio
import json
import os
import queue
import resource
import select
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from crossing import (
    KINDS,
    LIVE,
    NEVER_CANCELS,
    SLOW_TO_CONNECT,
    Uphill,
    answer_of,
    goes_on,
    held,
    key,
    not_started,
    second,
    stopped,
    two,
    until_open,
    uphill,
)
from helpers import REAL, Front, StandIn, bus, cache, get_text, host, served
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans

from sprucegate.front.client_connections import ClientConnection, ConnectionState
from sprucegate.front.protocol.http import RequestReader
from sprucegate.routing.events import AttemptOutcome
from standins.driver import Recorder
from standins.processes import Process

# Shutdown.


def test_twenty_fronts_restarted_at_once_with_discovery_down_are_ready_in_time(tmp_path):
    """From exec to `ready`, on the cores that all other tests use as well; nine in ten within ten seconds."""
    started = []
    for at in range(20):
        folder = tmp_path / str(at)
        folder.mkdir()
        front = not_started(folder)
        begun = time.monotonic()
        started.append(
            (
                begun,
                subprocess.Popen(
                    [sys.executable, "-m", "sprucegate"],
                    stdout=subprocess.PIPE,
                    text=True,
                    env={**os.environ, "BALANCER_CONFIG": str(front.file)},
                ),
            )
        )
    took = []
    for begun, process in started:
        assert any('"ready"' in line for line in process.stdout)
        took.append(time.monotonic() - begun)
        process.kill()
        process.wait()
        process.stdout.close()
    assert sorted(took)[17] < 10, took


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_before_the_loop_stands_ends_the_front_as_asked(tmp_path, number):
    """It waits for its configuration, a pipe that nobody has opened, when the signal comes."""
    os.mkfifo(tmp_path / "config.json")
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucegate"],
        stdout=subprocess.DEVNULL,
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json")},
    )
    # Opened by both: its reading end stands, so the front is past its imports.
    with open(tmp_path / "config.json", "wb"):
        process.send_signal(number)
        assert process.wait(10) == 0


def test_the_end_asked_for_twice_and_during_a_reload_is_one_end(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        stopped(front)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
            front.process.send_signal(number)
        goes_on(front)
        assert front.process.wait(10) == 0


def test_connections_in_the_queue_when_the_listener_closes_are_served(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        stopped(front)
        begun, late = time.monotonic(), [front.connect() for _ in range(40)]
        for at, sock in enumerate(late):
            sock.sendall(get_text(key(at)))
        while time.monotonic() < begun + 0.8:
            pass  # its time to take new ones is over while it stands still
        goes_on(front)
        assert [answer_of(sock)[:12] for sock in late] == [b"HTTP/1.1 200"] * 40
        assert front.process.wait(10) == 0


def test_a_request_in_the_kernel_when_resting_clients_are_ended_is_served(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        sock = front.connect()
        assert front.ask(get_text(), sock)[0] == 200
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        stopped(front)
        begun = time.monotonic()
        sock.sendall(get_text(key(1)))
        while time.monotonic() < begun + 0.8:
            pass
        goes_on(front)
        said = answer_of(sock)
        assert said.startswith(b"HTTP/1.1 200") and b"Connection: close" in said


def test_clients_that_rest_are_told_of_the_end_while_others_still_wait_for_a_hanging_cache(tmp_path):
    go = threading.Event()
    front, box, _ = two(tmp_path, held(go))
    with front:
        rests, waits = front.connect(), front.connect()
        assert front.ask(LIVE, rests)[0] == 200
        waits.sendall(get_text(patience=3000))
        box.heard.get(timeout=5)
        front.process.send_signal(signal.SIGTERM)
        rests.settimeout(2)
        assert rests.recv(9) == b""  # an end and no reset, while the GET is open
        # What it sends after that is read and let go: nobody could be told what became of it.
        rests.sendall(get_text(key(2)))
        go.set()
        assert answer_of(waits).startswith(b"HTTP/1.1 200")
        assert rests.recv(9) == b"" and front.process.wait(10) == 0
        assert b"serve" not in [words[0] for words in box.heard.queue]


def test_a_client_that_goes_on_sending_is_told_with_its_next_answer(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        sock = front.connect()
        assert front.ask(get_text(), sock)[1].get("Connection") is None
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        status, headers, _ = front.ask(get_text(key(1)), sock)
        assert (status, headers["Connection"], sock.recv(9)) == (200, "close", b"")
        assert front.ask(LIVE)[0] == 503  # and nobody is sent here any more
        assert front.process.wait(10) == 0


@pytest.mark.parametrize("cut", [40, -2])
def test_half_a_request_at_the_end_is_served_once_it_is_whole(tmp_path, cut):
    front, _, root = two(tmp_path)
    with front:
        sock, rests, text = (
            front.connect(),
            front.connect(),
            get_text(ds="order", method="PUT", body=b"b" * 9),
        )
        sock.sendall(text[:cut])
        assert front.ask(LIVE, rests)[0] == 200
        front.process.send_signal(signal.SIGTERM)
        assert rests.recv(9) == b""  # those that rest are ended, the half one is not
        sock.sendall(text[cut:])
        assert answer_of(sock).startswith(b"HTTP/1.1 200")
        assert root.heard.get(timeout=5)[3] == b"b" * 9 and front.process.wait(10) == 0


def test_clients_that_never_leave_do_not_hold_up_the_end(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        stay = [front.connect() for _ in range(5)]
        assert [front.ask(LIVE, sock)[0] for sock in stay] == [200] * 5
        begun = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        assert front.process.wait(10) == 0 and time.monotonic() - begun < 2


def test_the_end_keeps_before_the_kill_that_short_viewer_timeouts_allow(tmp_path):
    front, box, _ = two(tmp_path, lambda *_: None, lambda *_: None)
    front.configure(
        settings={
            **REAL["settings"],
            "categories": [{**one, "deadline": 1_000_000} for one in REAL["settings"]["categories"]],
        }
    )
    front.process.kill()
    front.process.wait()
    front.restart()
    with front:
        begun = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        while time.monotonic() < begun + 0.5:
            pass  # the last moment at which clients send
        sock = front.connect()
        sock.sendall(get_text(patience=1000))
        assert answer_of(sock).startswith(b"HTTP/1.1 503")
        assert front.process.wait(10) == 0 and time.monotonic() - begun < 1.7  # SIGKILL may come then


# A client's connection.


class Connection(RuleBasedStateMachine):
    """Whatever order they come in: one answer a request, nothing read after the last, one end and no way back."""

    def __init__(self):
        super().__init__()
        self.near, self.far = socket.socketpair()
        self.client, self.owed, self.now = ClientConnection(self.near, 0), 0, 0

    def teardown(self):
        self.near.close()
        self.far.close()

    def legal(self, done, *states):
        """The call is made; it is refused, and changes nothing, unless the connection is in one of these states."""
        self.now += 1
        before = self.client.state, self.client.since
        try:
            done(self.now)
        except ValueError:
            assert before[0] not in states and (self.client.state, self.client.since) == before
            return False
        assert before[0] in states
        return True

    @rule(last=booleans())
    def taken(self, last):
        if self.client.state is ConnectionState.IDLE and self.legal(
            self.client.on_request, ConnectionState.IDLE
        ):
            self.owed, self.client.close_after_response = self.owed + 1, last

    @rule()
    def front_ends(self):
        if self.client.state is ConnectionState.REQUEST_IN_PROGRESS:
            self.client.close_after_response = True

    @rule()
    def answered(self):
        if self.client.state is ConnectionState.REQUEST_IN_PROGRESS:
            assert self.legal(self.client.on_response_started, ConnectionState.REQUEST_IN_PROGRESS)
            self.owed -= 1

    @rule()
    def answered_again(self):
        if self.client.state in (
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
            ConnectionState.WRITING_RESPONSE,
        ):
            assert not self.legal(self.client.on_response_started)

    @rule()
    def sent_ahead(self):
        if self.client.state in (ConnectionState.REQUEST_IN_PROGRESS, ConnectionState.WRITING_RESPONSE):
            assert not self.legal(self.client.on_request)
            self.client.close_after_response = True

    @rule()
    def flushed(self):
        last = self.client.close_after_response
        if self.client.state is ConnectionState.WRITING_RESPONSE:
            assert self.legal(self.client.on_response_written, ConnectionState.WRITING_RESPONSE)
            assert self.client.state is (ConnectionState.HALF_CLOSED if last else ConnectionState.IDLE)

    @rule()
    def shut(self):
        self.legal(self.client.shut_down, ConnectionState.IDLE, ConnectionState.WRITING_RESPONSE)

    @rule()
    def closed(self):
        if self.legal(
            self.client.on_closed, *[p for p in ConnectionState if p is not ConnectionState.CLOSED]
        ):
            self.owed = 0  # whoever has gone is owed nothing

    @invariant()
    def holds(self):
        assert self.owed == (self.client.state is ConnectionState.REQUEST_IN_PROGRESS)
        assert (
            not self.client.accepts_requests()
            or not self.client.close_after_response
            and self.client.state not in (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED)
        )
        assert not self.client.is_idle() or self.owed == 0
        self.far.setblocking(False)
        try:
            ended = self.far.recv(1) == b""
        except BlockingIOError:
            ended = False
        assert ended is (self.client.state is ConnectionState.HALF_CLOSED or self.was_shut)
        self.was_shut |= self.client.state is ConnectionState.HALF_CLOSED

    was_shut = False


TestConnection = Connection.TestCase
TestConnection.settings = settings(max_examples=200, stateful_step_count=20, deadline=None)


def test_a_request_sent_ahead_does_not_destroy_the_answer_under_way(tmp_path):
    go = threading.Event()
    front, box, _ = two(tmp_path, held(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text() + get_text(key(1)) + b"x" * 50_000)
        box.heard.get(timeout=5)
        go.set()
        said = answer_of(sock)
        assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"xxxxx") and said.count(b"HTTP/1.1") == 1
        assert box.heard.empty()


def test_room_is_not_made_by_ending_one_whose_request_is_just_arriving(tmp_path):
    front, _, _ = two(tmp_path, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        first = []
        for at in range(32):
            first.append(front.connect())
            assert front.ask(get_text(key(at)), first[-1])[0] == 200
        assert [front.ask(get_text(key(50 + at)), sock)[0] for at, sock in enumerate(first)] == [
            200
        ] * 32  # all stay
        stopped(front)
        new = front.connect()  # first in the queue of events: room is made before any request is read
        for at, sock in enumerate(first):
            sock.sendall(get_text(key(100 + at)))
        new.sendall(get_text(key(99)))
        goes_on(front)
        assert [front.ask(b"", sock)[0] for sock in [*first, new]] == [200] * 33


def test_a_new_client_waits_where_all_are_busy_and_is_served_after_them(tmp_path):
    go = threading.Event()
    front, _, _ = two(tmp_path, served, held(go), limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        busy = [front.connect() for _ in range(32)]
        for at, sock in enumerate(busy):
            sock.sendall(get_text(key(at), ds="order", method="PUT", patience=8000))
        until_open(front, 32)
        new = front.connect()
        new.sendall(get_text(key(99)))
        second(front, lambda said: said.get("accepts_put_off"))
        go.set()
        assert [front.ask(b"", sock)[0] for sock in [new, *busy]] == [200] * 33


def test_idle_clients_at_the_real_limit_of_descriptors_while_discovery_is_down(tmp_path):
    """The watch, connections to caches and a new client with a GET still get theirs, and the core rests."""
    front, box, root = two(tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024})
    front.process.kill()
    front.process.wait()
    front.bus.stop()  # discovery is down from before the start
    front.command = ["/bin/sh", "-c", f"ulimit -n 80; exec {sys.executable} -m sprucegate"]
    front.restart()
    with front:
        limits = resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE)
        assert limits[0] == 80
        crowd = [front.connect() for _ in range(200)]
        front.until("bus_lost")
        assert front.ask(get_text())[0] == 200
        before = cpu(front)
        for _ in range(2):
            assert "accept_failed" not in front.until("second")
        assert cpu(front) - before < 0.5  # of about a second
        tells = queue.Queue()
        back = bus(tells)
        front.configure(bus=back.address)
        front.process.send_signal(signal.SIGHUP)
        assert b"Last-Event-ID: 1\r\n" in back.heard.get(timeout=5)
        tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", box.address, "std", "draining")],
                },
            }
        )
        assert front.until("told")["offset"] == 2
        box.heard.queue.clear()
        assert front.ask(get_text(key(7)))[0] == 200 and box.heard.empty()
        assert len(os.listdir(f"/proc/{front.process.pid}/fd")) <= 80
        assert len(crowd) == 200


def cpu(front):
    fields = open(f"/proc/{front.process.pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Connections to caches, lists and purges that cross a forward.


@pytest.mark.parametrize("settings", [SLOW_TO_CONNECT, NEVER_CANCELS])
@pytest.mark.parametrize("leaves", ["closes", "resets"])
def test_a_client_that_left_while_its_get_waited_for_a_connection_is_not_served(tmp_path, settings, leaves):
    front, hill, _ = uphill(tmp_path, settings)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        if leaves == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        second(front, lambda said: said.get("gets_left"))
        sent = hill.lets()
        for _ in range(2):  # in which a connection that is up is written to
            front.until("second")
        front.process.kill()
        assert sent.read() == b""


@pytest.mark.parametrize("speaks", KINDS)
def test_of_many_clients_that_left_before_their_turn_none_is_sent_on(tmp_path, speaks):
    """All have come and gone while the front stood still: it reads the requests first, the ends after them."""
    boxes = [Process("lines" if speaks == "lines" else "http2", ran=tmp_path / f"ran{at}") for at in range(2)]
    front = Front(
        tmp_path,
        host("s-0b", boxes[0].address, "std"),
        host("s-1f", boxes[1].address, "origin"),
        kdl=KINDS[speaks],
    )
    try:
        with front:
            assert front.ask(get_text(key(999)))[0] == 200
            stopped(front)
            for at in range(150):
                sock = front.connect()
                sock.sendall(get_text(key(at)))
                if at % 3 == 1:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()
            goes_on(front)
            assert front.ask(get_text(key(1000)))[0] == 200
    finally:
        for box in boxes:
            box.stop()
    ran = {int(line.split()[0], 16) for at in range(2) for line in open(tmp_path / f"ran{at}")}
    assert ran == {999, 1000}


async def answered(made, sock, out):
    """A server's side of one forward: it comes on this connection, and is served there; the outcome."""
    call_id = out.get.id
    assert call_id in await made.loop.sock_recv(sock, 4096)
    await made.loop.sock_sendall(sock, served(call_id, {}))
    return await made.end(out)


async def one_at_rest():
    """A connection that has had one answer: the loop, the server's listener, the driver, and both ends."""
    loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    made = Recorder({1: f"127.0.0.1:{listener.getsockname()[1]}"}, speaks="lines")
    first = made.send(1, "a" * 16)
    sock, _ = await loop.sock_accept(listener)
    assert await answered(made, sock, first) is AttemptOutcome.RETURNED
    (held,) = made.servers.places[1].held
    return loop, listener, made, sock, held


def test_a_resting_connection_that_its_cache_has_just_ended_is_not_used():
    """The end stands in the kernel, and the loop has not had a turn since: the forward goes on a new connection."""

    async def run():
        loop, listener, made, sock, held = await one_at_rest()
        sock.close()
        assert select.select([held.sock], [], [], 5)[0]
        second = made.send(1, "b" * 16)
        sock, _ = await loop.sock_accept(listener)
        return await answered(made, sock, second)

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


@pytest.mark.parametrize(
    "late",
    [b"half a li", served(b"f" * 16, {}), served(b"f" * 16, {}, b"x" * 9000)[:8000], b"\xff no line\r\n"],
)
@pytest.mark.parametrize("ends", [True, False])
def test_a_resting_connection_on_which_something_unasked_stands_harms_no_forward(late, ends):
    """Late bytes, half of them, or with an end behind: the next forward goes where it is answered."""

    async def run():
        loop, listener, made, old, held = await one_at_rest()
        old.settimeout(5)
        old.sendall(late)  # the loop has no turn meanwhile: it all stands in the kernel
        if ends:
            old.close()
        assert select.select([held.sock], [], [], 5)[0]
        second = made.send(1, "b" * 16)
        whole = late.endswith(b"\r\n") and late.startswith(b"f")
        if whole and not ends:  # read and let go, the connection is as good as any
            sock = old
            sock.setblocking(False)
        else:
            sock, _ = await loop.sock_accept(listener)
        return await answered(made, sock, second)

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


def test_a_forward_waits_for_no_connection_that_comes_up_while_another_rests():
    async def run():
        loop, hill, listener = asyncio.get_running_loop(), Uphill(), socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        made = Recorder(
            {1: f"127.0.0.1:{listener.getsockname()[1]}"}, speaks="lines", connect_timeout=9_000_000_000
        )
        first = made.send(1, "a" * 16)
        sock, _ = await loop.sock_accept(listener)
        assert b"a" * 16 in await loop.sock_recv(sock, 4096)
        (held,) = made.servers.places[1].held
        await loop.sock_sendall(sock, served(b"f" * 16, {}))  # it lives: a time-out there does not end it
        while held.answered < first.at:
            await asyncio.sleep(0)
        made.list({1: hill.address})  # the cache has moved, and its new address hangs
        assert made.servers.withdraw(made.send(1, "c" * 16))  # whose connection goes on coming up, for nobody
        made.servers.cancel(first)
        second = made.send(1, "b" * 16)
        return await answered(made, sock, second)

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


def test_a_time_out_in_the_turn_in_which_news_took_a_forward_back_proves_that_it_never_ran():
    async def run():
        hill = Uphill()
        made = Recorder({1: hill.address}, speaks="lines")
        out = made.send(1, "a" * 16)
        assert made.servers.withdraw(out)
        return made.servers.cancel(out, timed_out=True)

    assert asyncio.run(run()) is AttemptOutcome.NOT_SENT


def test_a_drain_told_while_a_forward_waits_for_its_connection_sends_it_elsewhere(tmp_path):
    front, hill, root = uphill(tmp_path, SLOW_TO_CONNECT)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", hill.address, "std", "draining")],
                },
            }
        )
        assert front.ask(b"", sock)[0] == 200  # by the origin, at once
        assert root.heard.get(timeout=5)[1] == b"9b1f03aa5c7e2d41"
        sent = hill.lets()
        front.process.kill()
        assert sent.read() == b""  # and nothing was sent to who drains once it came up


def test_a_source_that_drains_while_its_forward_waits_is_not_named(tmp_path):
    """The drain is of the parent that was to fill the miss."""
    hill, parent, root = Uphill(), cache(served), cache(served)
    front = Front(
        tmp_path,
        host("s-0b", hill.address, "std"),
        host("s-2a", parent.address, "parent"),
        host("s-1f", root.address, "origin"),
        settings=SLOW_TO_CONNECT,
    )
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-2a", parent.address, "parent", "draining")],
                },
            }
        )
        front.until("told")
        words = hill.lets().readline()
        assert b"serve" in words and b"src=s-1f" in words


def test_a_purge_told_while_a_forward_waits_for_its_connection_is_in_it(tmp_path):
    front, hill, _ = uphill(tmp_path, SLOW_TO_CONNECT)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        front.tells.put({"offset": 2, "ban": {"url": "7f3a9c21e0b4d655", "ts": int(time.time() * 1000)}})
        front.until("told")
        words = hill.lets().readline()
        assert b"serve" in words and b"maxage=" in words


def test_a_time_out_of_what_never_left_proves_that_it_never_ran(tmp_path):
    hill, box = Uphill(), cache(served)
    front = Front(
        tmp_path,
        host("s-0b", box.address, "std"),
        host("s-1f", hill.address, "origin"),
        settings=SLOW_TO_CONNECT,
    )
    with front:
        sock = front.connect()
        sock.sendall(get_text(ds="order", method="PUT", patience=600))
        assert front.ask(b"", sock)[0] == 503  # a non-idempotent one: 502 would be "may have run"


@pytest.mark.parametrize(
    "spoilt",
    [
        {"dial": "nonsense"},
        {"dial": "127.0.0.1:0"},
        {"share": 0},
        {"share": -1.0},
        {"share": "NaN"},
        {"health": "odd"},
    ],
)
def test_a_list_with_one_bad_entry_is_asked_for_again_and_not_believed_by_half(tmp_path, spoilt):
    front, box, root = two(tmp_path)
    with front:
        front.bus.heard.get(timeout=5)
        drain, bad = (
            host("s-0b", box.address, "std", "draining"),
            {**host("s-0c", box.address, "std"), **spoilt},
        )
        front.tells.put({"offset": 2, "topology": {"seq": 2, "whole": False, "hosts": [drain, bad]}})
        front.until("bus_lost")
        front.tells.put(None)  # the stream that was left ends
        assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
        assert front.ask(get_text())[0] == 200
        assert (
            box.heard.get(timeout=5)[0] == b"serve" and root.heard.empty()
        )  # the drain beside it did not hold
        good = {"offset": 2, "topology": {"seq": 2, "whole": False, "hosts": [drain]}}
        for _ in range(3):  # the stream that was left may eat one
            front.tells.put(good)
        front.until("told")
        assert front.ask(get_text(key(1)).replace(b"7f3a", b"aaaa"))[0] == 200
        assert root.heard.get(timeout=5)[0] == b"serve"


def stream(*scripts):
    """A bus whose connections each go by a script of bytes, and of events that it waits for; then they end."""
    left = list(scripts)

    def talk(self, sock):
        head = b""
        while b"\r\n\r\n" not in head:
            head += sock.recv(4096)
        self.heard.put(head)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
        for step in left.pop(0) if left else [threading.Event()]:
            if isinstance(step, bytes):
                sock.sendall(step)
            else:
                step.wait(10)

    return StandIn(talk)


def event(offset, *hosts):
    said = {"offset": offset, "topology": {"seq": offset, "whole": False, "hosts": hosts}}
    return f"id: {offset}\ndata: {json.dumps(said)}\n\n".encode()


def watching(path, script):
    """A front that watches a bus with that script, and its cache, which the events drain."""
    box, root = cache(served), cache(served)
    front = Front(path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"))
    front.bus.stop()
    feed = stream(*script(host("s-0b", box.address, "std", "draining"), host("s-0b", box.address, "std")))
    front.configure(bus=feed.address)
    front.process.send_signal(signal.SIGHUP)
    return front, feed


def lost(front, why):
    """Waits for the line of the log on a stream that was lost for this reason; the first bus ended before."""
    for _ in range(10):
        if why in front.until("bus_lost")["error"]:
            return
    raise AssertionError(f"no stream was lost as {why}")


def asked_from(feed):
    return feed.heard.get(timeout=10).split(b"Last-Event-ID: ")[1].split(b"\r\n")[0]


def test_a_watch_that_falls_silent_while_open_is_taken_up_again(tmp_path):
    front, feed = watching(tmp_path, lambda drain, up: [[event(2, drain), threading.Event()], [event(3, up)]])
    with front:
        assert asked_from(feed) == b"1" and front.until("told")["offset"] == 2
        lost(front, "silent")
        assert asked_from(feed) == b"2" and front.until("told")["offset"] == 3


@pytest.mark.parametrize("cut", [12, -1, -2])
def test_half_an_event_at_the_end_of_a_stream_is_not_believed_and_asked_for_again(tmp_path, cut):
    front, feed = watching(tmp_path, lambda drain, up: [[event(2, drain)[:cut]], [event(2, drain)]])
    with front:
        assert asked_from(feed) == b"1" and asked_from(feed) == b"1" and front.until("told")["offset"] == 2


def test_events_out_of_order_are_asked_for_again_and_doubled_ones_applied_once(tmp_path):
    front, feed = watching(
        tmp_path,
        lambda drain, up: [
            [event(3, up), event(2, drain), threading.Event()],
            [event(2, drain), event(2, drain), event(3, up), event(3, up), event(4, drain)],
        ],
    )
    with front:
        assert asked_from(feed) == b"1"
        lost(front, "follows")
        assert asked_from(feed) == b"1"
        assert [front.until("told")["offset"] for _ in range(3)] == [2, 3, 4]


def test_a_time_out_and_the_answer_in_one_turn_are_one_answer(tmp_path):
    go = threading.Event()
    front, box, _ = two(tmp_path, held(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=700))
        box.heard.get(timeout=5)
        stopped(front)
        begun = time.monotonic()
        go.set()
        while time.monotonic() < begun + 0.8:
            pass  # its time is up, and the answer stands in the kernel
        goes_on(front)
        status, _, _ = front.ask(b"", sock)
        assert status in (200, 503)
        assert front.ask(get_text(key(5)), sock)[0] == 200  # and nothing else came on that connection


def test_a_client_that_reads_nothing_loses_its_connection_alone_and_in_time(tmp_path):
    """It goes on asking: what it is sent must not pile up in the front."""
    short = {
        **REAL["settings"],
        "categories": [{**one, "deadline": 1_000_000} for one in REAL["settings"]["categories"]],
    }
    front, box, _ = two(tmp_path, lambda call_id, *_: served(call_id, {}, b"x" * 240_000), settings=short)
    with front:
        deaf = socket.socket()
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        deaf.connect(front.address)
        deaf.settimeout(10)
        deaf.settimeout(10)
        for at in range(60):  # 14 MB, of which the system itself holds a part
            deaf.sendall(get_text(key(at)).replace(b"7f3a", b"%04x" % at))
        second(front, lambda said: said.get("clients_not_reading") or not said["clients"])
        assert len([words for words in box.heard.queue if words[0] == b"serve"]) < 30
        assert front.ask(get_text(key(9999)))[0] == 200


def test_configurations_of_two_fronts_in_one_process_leave_nothing_for_each_other():
    twice = get_text(extra="X-Tenant: a\r\nX-Tenant: b\r\n")
    shares, plain = RequestReader(frozenset((b"x-tenant",))), RequestReader()
    assert len(shares.feed(twice)) == 1 and shares.rejection is None
    assert plain.feed(twice) == [] and plain.rejection.status == 400
