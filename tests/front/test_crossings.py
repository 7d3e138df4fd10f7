"""Races of two events, each forced into one order; docs/design-crossings.md has the table of them."""

import asyncio
import json
import os
import queue
import resource
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
    fill_queue,
    goes_on,
    held,
    is_readable,
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


def test_twenty_fronts_restarted_together_without_discovery_are_ready_in_time(tmp_path):
    """From exec to `ready`, on cores shared with all other tests: nine in ten within ten seconds."""
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
def test_a_signal_before_the_event_loop_runs_ends_the_front_with_status_0(tmp_path, number):
    """The signal arrives while the front waits for its configuration, a pipe without a writer."""
    os.mkfifo(tmp_path / "config.json")
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucegate"],
        stdout=subprocess.DEVNULL,
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json")},
    )
    # The open returns once the front has opened the pipe too, so the front has finished its imports.
    with open(tmp_path / "config.json", "wb"):
        process.send_signal(number)
        assert process.wait(10) == 0


def test_repeated_sigterm_and_sighup_cause_one_clean_exit(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        stopped(front)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
            front.process.send_signal(number)
        goes_on(front)
        assert front.process.wait(10) == 0


def test_connections_in_the_accept_queue_when_the_listener_closes_are_served(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        stopped(front)
        begun, late = time.monotonic(), [front.connect() for _ in range(40)]
        for at, sock in enumerate(late):
            sock.sendall(get_text(key(at)))
        while time.monotonic() < begun + 0.8:
            pass  # its time for accepting connections ends while it is stopped
        goes_on(front)
        assert [answer_of(sock)[:12] for sock in late] == [b"HTTP/1.1 200"] * 40
        assert front.process.wait(10) == 0


def test_a_request_in_the_kernel_buffer_when_idle_connections_are_closed_is_served(tmp_path):
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
        response = answer_of(sock)
        assert response.startswith(b"HTTP/1.1 200") and b"Connection: close" in response


def test_idle_connections_are_shut_down_while_other_clients_wait_for_a_hanging_cache(tmp_path):
    go = threading.Event()
    front, cache_server, _ = two(tmp_path, held(go))
    with front:
        idle, waits = front.connect(), front.connect()
        assert front.ask(LIVE, idle)[0] == 200
        waits.sendall(get_text(patience=3000))
        cache_server.heard.get(timeout=5)
        front.process.send_signal(signal.SIGTERM)
        idle.settimeout(2)
        assert idle.recv(9) == b""  # end of stream and no reset, while the other request is open
        # What it sends after that is discarded: no response could be sent for it.
        idle.sendall(get_text(key(2)))
        go.set()
        assert answer_of(waits).startswith(b"HTTP/1.1 200")
        assert idle.recv(9) == b"" and front.process.wait(10) == 0
        assert b"serve" not in [words[0] for words in cache_server.heard.queue]


def test_a_client_that_goes_on_sending_gets_connection_close_with_its_next_response(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        sock = front.connect()
        assert front.ask(get_text(), sock)[1].get("Connection") is None
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        status, headers, _ = front.ask(get_text(key(1)), sock)
        assert (status, headers["Connection"], sock.recv(9)) == (200, "close", b"")
        assert front.ask(LIVE)[0] == 503  # so the load balancer sends no more clients here
        assert front.process.wait(10) == 0


@pytest.mark.parametrize("cut", [40, -2])
def test_a_partial_request_at_sigterm_is_served_once_it_is_complete(tmp_path, cut):
    front, _, origin_server = two(tmp_path)
    with front:
        sock, idle, text = (
            front.connect(),
            front.connect(),
            get_text(ds="order", method="PUT", body=b"b" * 9),
        )
        sock.sendall(text[:cut])
        assert front.ask(LIVE, idle)[0] == 200
        front.process.send_signal(signal.SIGTERM)
        assert idle.recv(9) == b""  # idle connections are shut down, the one with a partial request is not
        sock.sendall(text[cut:])
        assert answer_of(sock).startswith(b"HTTP/1.1 200")
        assert origin_server.heard.get(timeout=5)[3] == b"b" * 9 and front.process.wait(10) == 0


def test_clients_that_never_close_do_not_delay_the_exit(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        staying = [front.connect() for _ in range(5)]
        assert [front.ask(LIVE, sock)[0] for sock in staying] == [200] * 5
        begun = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        assert front.process.wait(10) == 0 and time.monotonic() - begun < 2


def test_shutdown_ends_before_the_sigkill_that_short_viewer_timeouts_allow(tmp_path):
    front, cache_server, _ = two(tmp_path, lambda *_: None, lambda *_: None)
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


# Client connections.


class Connection(RuleBasedStateMachine):
    """For any order of events: one response per request, nothing read after the last one, one close and no way back."""

    def __init__(self):
        super().__init__()
        self.near, self.far = socket.socketpair()
        self.client, self.outstanding, self.now = ClientConnection(self.near, 0), 0, 0

    def teardown(self):
        self.near.close()
        self.far.close()

    def transition(self, method, *states):
        """Make a transition; it must raise and change nothing unless the connection is in one of `states`."""
        self.now += 1
        before = self.client.state, self.client.since
        try:
            method(self.now)
        except ValueError:
            assert before[0] not in states and (self.client.state, self.client.since) == before
            return False
        assert before[0] in states
        return True

    @rule(last=booleans())
    def request_read(self, last):
        if self.client.state is ConnectionState.IDLE and self.transition(
            self.client.on_request, ConnectionState.IDLE
        ):
            self.outstanding, self.client.close_after_response = self.outstanding + 1, last

    @rule()
    def front_stops(self):
        if self.client.state is ConnectionState.REQUEST_IN_PROGRESS:
            self.client.close_after_response = True

    @rule()
    def response_started(self):
        if self.client.state is ConnectionState.REQUEST_IN_PROGRESS:
            assert self.transition(self.client.on_response_started, ConnectionState.REQUEST_IN_PROGRESS)
            self.outstanding -= 1

    @rule()
    def response_started_again(self):
        if self.client.state in (
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
            ConnectionState.WRITING_RESPONSE,
        ):
            assert not self.transition(self.client.on_response_started)

    @rule()
    def request_pipelined(self):
        if self.client.state in (ConnectionState.REQUEST_IN_PROGRESS, ConnectionState.WRITING_RESPONSE):
            assert not self.transition(self.client.on_request)
            self.client.close_after_response = True

    @rule()
    def response_written(self):
        last = self.client.close_after_response
        if self.client.state is ConnectionState.WRITING_RESPONSE:
            assert self.transition(self.client.on_response_written, ConnectionState.WRITING_RESPONSE)
            assert self.client.state is (ConnectionState.HALF_CLOSED if last else ConnectionState.IDLE)

    @rule()
    def our_side_shut_down(self):
        self.transition(self.client.shut_down, ConnectionState.IDLE, ConnectionState.WRITING_RESPONSE)

    @rule()
    def socket_closed(self):
        if self.transition(
            self.client.on_closed, *[p for p in ConnectionState if p is not ConnectionState.CLOSED]
        ):
            self.outstanding = 0  # no response is outstanding for a client that has gone

    @invariant()
    def state_is_consistent(self):
        assert self.outstanding == (self.client.state is ConnectionState.REQUEST_IN_PROGRESS)
        assert (
            not self.client.accepts_requests()
            or not self.client.close_after_response
            and self.client.state not in (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED)
        )
        assert not self.client.is_idle() or self.outstanding == 0
        self.far.setblocking(False)
        try:
            ended = self.far.recv(1) == b""
        except BlockingIOError:
            ended = False
        assert ended is (self.client.state is ConnectionState.HALF_CLOSED or self.was_shut_down)
        self.was_shut_down |= self.client.state is ConnectionState.HALF_CLOSED

    was_shut_down = False


TestConnection = Connection.TestCase
TestConnection.settings = settings(max_examples=200, stateful_step_count=20, deadline=None)


def test_a_pipelined_request_does_not_destroy_the_current_response(tmp_path):
    go = threading.Event()
    front, cache_server, _ = two(tmp_path, held(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text() + get_text(key(1)) + b"x" * 50_000)
        cache_server.heard.get(timeout=5)
        go.set()
        response = answer_of(sock)
        assert (
            response.startswith(b"HTTP/1.1 200")
            and response.endswith(b"xxxxx")
            and response.count(b"HTTP/1.1") == 1
        )
        assert cache_server.heard.empty()


def test_a_connection_whose_request_is_just_arriving_is_not_evicted(tmp_path):
    front, _, _ = two(tmp_path, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        first = []
        for at in range(32):
            first.append(front.connect())
            assert front.ask(get_text(key(at)), first[-1])[0] == 200
        assert [front.ask(get_text(key(50 + at)), sock)[0] for at, sock in enumerate(first)] == [
            200
        ] * 32  # none is evicted
        stopped(front)
        new = front.connect()  # first in the queue of events: eviction runs before any request is read
        for at, sock in enumerate(first):
            sock.sendall(get_text(key(100 + at)))
        new.sendall(get_text(key(99)))
        goes_on(front)
        assert [front.ask(b"", sock)[0] for sock in [*first, new]] == [200] * 33


def test_a_connection_whose_request_is_just_becoming_whole_is_not_evicted(tmp_path):
    """Guards against a request that was sent whole and whose connection is closed for a new one (issue 59)."""
    front, _, _ = two(tmp_path, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        first = [front.connect() for _ in range(32)]
        for at, sock in enumerate(first):
            sock.sendall(get_text(key(at))[:30])
        second(front, lambda line: line["clients"] == 32)
        stopped(front)
        new = front.connect()  # first in the queue of events: eviction runs before any request is read
        for at, sock in enumerate(first):
            sock.sendall(get_text(key(at))[30:])
        new.sendall(get_text(key(99)))
        goes_on(front)
        assert [front.ask(b"", sock)[0] for sock in [*first, new]] == [200] * 33


def test_a_new_client_waits_while_all_connections_are_busy_and_is_then_served(tmp_path):
    go = threading.Event()
    front, _, _ = two(tmp_path, served, held(go), limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        busy = [front.connect() for _ in range(32)]
        for at, sock in enumerate(busy):
            sock.sendall(get_text(key(at), ds="order", method="PUT", patience=8000))
        until_open(front, 32)
        new = front.connect()
        new.sendall(get_text(key(99)))
        second(front, lambda line: line.get("accepts_put_off"))
        go.set()
        assert [front.ask(b"", sock)[0] for sock in [new, *busy]] == [200] * 33


def test_idle_clients_at_the_descriptor_limit_while_discovery_is_down(tmp_path):
    """The subscription, connections to caches and a new client still get descriptors, and little CPU time is used."""
    front, cache_server, origin_server = two(
        tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024}
    )
    front.process.kill()
    front.process.wait()
    front.bus.stop()  # discovery is down before the start
    front.command = ["/bin/sh", "-c", f"ulimit -n 80; exec {sys.executable} -m sprucegate"]
    front.restart()
    with front:
        limits = resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE)
        assert limits[0] == 80
        crowd = [front.connect() for _ in range(200)]
        front.until("bus_lost")
        assert front.ask(get_text())[0] == 200
        before = cpu_seconds(front)
        for _ in range(2):
            assert "accept_failed" not in front.until("second")
        assert cpu_seconds(front) - before < 0.5  # of about a second
        tells = queue.Queue()
        new_bus = bus(tells)
        front.configure(bus=new_bus.address)
        front.process.send_signal(signal.SIGHUP)
        assert b"Last-Event-ID: 1\r\n" in new_bus.heard.get(timeout=5)
        tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", cache_server.address, "std", "draining")],
                },
            }
        )
        assert front.until("told")["offset"] == 2
        cache_server.heard.queue.clear()
        assert front.ask(get_text(key(7)))[0] == 200 and cache_server.heard.empty()
        assert len(os.listdir(f"/proc/{front.process.pid}/fd")) <= 80
        assert len(crowd) == 200


def cpu_seconds(front):
    fields = open(f"/proc/{front.process.pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Races of an attempt with its connection, an endpoint list or a purge.


@pytest.mark.parametrize("settings", [SLOW_TO_CONNECT, NEVER_CANCELS])
@pytest.mark.parametrize("leaves", ["closes", "resets"])
def test_the_request_of_a_client_that_left_while_it_waited_for_a_connection_is_not_sent(
    tmp_path, settings, leaves
):
    front, slow_server, _ = uphill(tmp_path, settings)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        if leaves == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        second(front, lambda line: line.get("gets_left"))
        sent = slow_server.lets()
        for _ in range(2):  # time in which something would be sent on the established connection
            front.until("second")
        front.process.kill()
        assert sent.read() == b""


@pytest.mark.parametrize("speaks", KINDS)
def test_requests_of_clients_that_left_before_dispatch_are_not_sent(tmp_path, speaks):
    """All connect, send and leave while the front is stopped: it reads the requests first and then the closes."""
    cache_servers = [
        Process("lines" if speaks == "lines" else "http2", ran=tmp_path / f"ran{at}") for at in range(2)
    ]
    front = Front(
        tmp_path,
        host("s-0b", cache_servers[0].address, "std"),
        host("s-1f", cache_servers[1].address, "origin"),
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
        for cache_server in cache_servers:
            cache_server.stop()
    ran = {int(line.split()[0], 16) for at in range(2) for line in open(tmp_path / f"ran{at}")}
    assert ran == {999, 1000}


async def answer_attempt(made, sock, out):
    """Receive an attempt on this connection as its server, answer it there, and return its outcome."""
    call_id = out.request.id
    assert call_id in await made.loop.sock_recv(sock, 4096)
    await made.loop.sock_sendall(sock, served(call_id, {}))
    return await made.end(out)


async def idle_connection():
    """An idle connection after one answer: the loop, the server's listener, the recorder and both ends."""
    loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    made = Recorder({1: f"127.0.0.1:{listener.getsockname()[1]}"}, speaks="lines")
    first = made.send(1, "a" * 16)
    sock, _ = await loop.sock_accept(listener)
    assert await answer_attempt(made, sock, first) is AttemptOutcome.RETURNED
    (held,) = made.servers.by_id[1].transport_state
    return loop, listener, made, sock, held


def test_an_idle_connection_that_its_cache_has_just_closed_is_not_used():
    """The loop has not run since the close: the attempt is sent on a new connection nevertheless."""

    async def run():
        loop, listener, made, sock, held = await idle_connection()
        sock.close()
        assert is_readable(held.sock, 5)
        second = made.send(1, "b" * 16)
        sock, _ = await loop.sock_accept(listener)
        return await answer_attempt(made, sock, second)

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


@pytest.mark.parametrize(
    "late",
    [b"half a li", served(b"f" * 16, {}), served(b"f" * 16, {}, b"x" * 9000)[:8000], b"\xff no line\r\n"],
)
@pytest.mark.parametrize("ends", [True, False])
def test_unsolicited_bytes_on_an_idle_connection_do_not_affect_the_next_attempt(late, ends):
    """A late answer, a part of one, either with or without a close after it: the next attempt is answered."""

    async def run():
        loop, listener, made, old, held = await idle_connection()
        old.settimeout(5)
        old.sendall(late)  # the loop does not run meanwhile: all bytes are in the kernel buffer
        if ends:
            old.close()
        assert is_readable(held.sock, 5)
        second = made.send(1, "b" * 16)
        whole = late.endswith(b"\r\n") and late.startswith(b"f")
        if whole and not ends:  # once that is read and discarded, the connection is usable
            sock = old
            sock.setblocking(False)
        else:
            sock, _ = await loop.sock_accept(listener)
        return await answer_attempt(made, sock, second)

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


def test_an_attempt_prefers_an_idle_connection_to_one_that_is_being_established():
    async def run():
        loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0), backlog=0)
        listener.setblocking(False)
        made = Recorder(
            {1: f"127.0.0.1:{listener.getsockname()[1]}"}, speaks="lines", connect_timeout=9_000_000_000
        )
        first = made.send(1, "a" * 16)
        sock, _ = await loop.sock_accept(listener)
        fillers = fill_queue(listener)  # from now on no further connection comes up
        assert b"a" * 16 in await loop.sock_recv(sock, 4096)
        (held,) = made.servers.by_id[1].transport_state
        await loop.sock_sendall(
            sock, served(b"f" * 16, {})
        )  # bytes arrived, so a time-out of an attempt does not close it
        while held.last_answer < first.decided_at:
            await asyncio.sleep(0)
        assert made.servers.withdraw(
            made.send(1, "c" * 16)
        )  # its connection goes on being established without an attempt
        assert [connection.up for connection in made.servers.by_id[1].transport_state] == [True, False]
        made.servers.cancel(first)
        second = made.send(1, "b" * 16)
        outcome = await answer_attempt(made, sock, second)
        for filler in fillers:
            filler.close()
        return outcome

    assert asyncio.run(asyncio.wait_for(run(), 10)) is AttemptOutcome.RETURNED


def test_a_timeout_of_an_attempt_just_withdrawn_proves_that_it_was_never_executed():
    async def run():
        slow_server = Uphill()
        made = Recorder({1: slow_server.address}, speaks="lines")
        out = made.send(1, "a" * 16)
        assert made.servers.withdraw(out)
        return made.servers.cancel(out, timed_out=True)

    assert asyncio.run(run()) is AttemptOutcome.NOT_SENT


def test_a_drain_while_an_attempt_waits_for_its_connection_reroutes_the_request(tmp_path):
    front, slow_server, origin_server = uphill(tmp_path, SLOW_TO_CONNECT)
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
                    "hosts": [host("s-0b", slow_server.address, "std", "draining")],
                },
            }
        )
        assert front.ask(b"", sock)[0] == 200  # by the origin, without delay
        assert origin_server.heard.get(timeout=5)[1] == b"9b1f03aa5c7e2d41"
        sent = slow_server.lets()
        front.process.kill()
        assert (
            sent.read() == b""
        )  # nothing was sent to the draining cache once its connection was established


def test_a_fill_source_that_drains_while_its_attempt_waits_is_not_sent(tmp_path):
    """The draining server is the parent that was chosen as the fill source."""
    slow_server, parent, origin_server = Uphill(), cache(served), cache(served)
    front = Front(
        tmp_path,
        host("s-0b", slow_server.address, "std"),
        host("s-2a", parent.address, "parent"),
        host("s-1f", origin_server.address, "origin"),
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
        words = slow_server.lets().readline()
        assert b"serve" in words and b"src=s-1f" in words


def test_a_purge_while_an_attempt_waits_for_its_connection_limits_its_age(tmp_path):
    front, slow_server, _ = uphill(tmp_path, SLOW_TO_CONNECT)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=8000))
        until_open(front, 1)
        front.tells.put({"offset": 2, "ban": {"url": "7f3a9c21e0b4d655", "ts": int(time.time() * 1000)}})
        front.until("told")
        words = slow_server.lets().readline()
        assert b"serve" in words and b"maxage=" in words


def test_a_timeout_of_an_unsent_attempt_proves_that_it_was_never_executed(tmp_path):
    slow_server, cache_server = Uphill(), cache(served)
    front = Front(
        tmp_path,
        host("s-0b", cache_server.address, "std"),
        host("s-1f", slow_server.address, "origin"),
        settings=SLOW_TO_CONNECT,
    )
    with front:
        sock = front.connect()
        sock.sendall(get_text(ds="order", method="PUT", patience=600))
        assert (
            front.ask(b"", sock)[0] == 503
        )  # a non-idempotent request: 502 would mean that it may have been executed


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"dial": "nonsense"},
        {"dial": "127.0.0.1:0"},
        {"share": 0},
        {"share": -1.0},
        {"share": "NaN"},
        {"health": "odd"},
    ],
)
def test_a_list_with_one_invalid_entry_is_requested_again_and_not_applied_in_part(tmp_path, invalid_fields):
    front, cache_server, origin_server = two(tmp_path)
    with front:
        front.bus.heard.get(timeout=5)
        drain, bad = (
            host("s-0b", cache_server.address, "std", "draining"),
            {**host("s-0c", cache_server.address, "std"), **invalid_fields},
        )
        front.tells.put({"offset": 2, "topology": {"seq": 2, "whole": False, "hosts": [drain, bad]}})
        front.until("bus_lost")
        front.tells.put(None)  # ends the abandoned stream
        assert b"Last-Event-ID: 1\r\n" in front.bus.heard.get(timeout=5)
        assert front.ask(get_text())[0] == 200
        assert (
            cache_server.heard.get(timeout=5)[0] == b"serve" and origin_server.heard.empty()
        )  # the drain in the same list was not applied
        good = {"offset": 2, "topology": {"seq": 2, "whole": False, "hosts": [drain]}}
        for _ in range(3):  # the abandoned stream may consume one
            front.tells.put(good)
        front.until("told")
        assert front.ask(get_text(key(1)).replace(b"7f3a", b"aaaa"))[0] == 200
        assert origin_server.heard.get(timeout=5)[0] == b"serve"


def stream(*scripts):
    """A bus that runs one script per connection, bytes to send and threading events to wait for, and then closes it."""
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
    content = {"offset": offset, "topology": {"seq": offset, "whole": False, "hosts": hosts}}
    return f"id: {offset}\ndata: {json.dumps(content)}\n\n".encode()


def subscribed_front(path, script):
    """Start a front subscribed to a bus with that script; the events of the script drain its cache."""
    cache_server, origin_server = cache(served), cache(served)
    front = Front(
        path, host("s-0b", cache_server.address, "std"), host("s-1f", origin_server.address, "origin")
    )
    front.bus.stop()
    scripted_bus = stream(
        *script(
            host("s-0b", cache_server.address, "std", "draining"), host("s-0b", cache_server.address, "std")
        )
    )
    front.configure(bus=scripted_bus.address)
    front.process.send_signal(signal.SIGHUP)
    return front, scripted_bus


def wait_until_lost(front, why):
    """Wait for the log line of a stream lost for this reason; lines of the first bus may precede it."""
    for _ in range(10):
        if why in front.until("bus_lost")["error"]:
            return
    raise AssertionError(f"no stream was lost with the reason {why}")


def requested_after(scripted_bus):
    return scripted_bus.heard.get(timeout=10).split(b"Last-Event-ID: ")[1].split(b"\r\n")[0]


def test_a_subscription_without_data_is_resumed(tmp_path):
    front, scripted_bus = subscribed_front(
        tmp_path, lambda drain, up: [[event(2, drain), threading.Event()], [event(3, up)]]
    )
    with front:
        assert requested_after(scripted_bus) == b"1" and front.until("told")["offset"] == 2
        wait_until_lost(front, "silent")
        assert requested_after(scripted_bus) == b"2" and front.until("told")["offset"] == 3


@pytest.mark.parametrize("cut", [12, -1, -2])
def test_a_partial_event_at_the_end_of_a_stream_is_not_applied_and_requested_again(tmp_path, cut):
    front, scripted_bus = subscribed_front(
        tmp_path, lambda drain, up: [[event(2, drain)[:cut]], [event(2, drain)]]
    )
    with front:
        assert (
            requested_after(scripted_bus) == b"1"
            and requested_after(scripted_bus) == b"1"
            and front.until("told")["offset"] == 2
        )


def test_events_out_of_order_are_requested_again_and_duplicates_applied_once(tmp_path):
    front, scripted_bus = subscribed_front(
        tmp_path,
        lambda drain, up: [
            [event(3, up), event(2, drain), threading.Event()],
            [event(2, drain), event(2, drain), event(3, up), event(3, up), event(4, drain)],
        ],
    )
    with front:
        assert requested_after(scripted_bus) == b"1"
        wait_until_lost(front, "follows")
        assert requested_after(scripted_bus) == b"1"
        assert [front.until("told")["offset"] for _ in range(3)] == [2, 3, 4]


def test_a_timeout_and_the_answer_in_one_loop_iteration_give_one_response(tmp_path):
    go = threading.Event()
    front, cache_server, _ = two(tmp_path, held(go))
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=700))
        cache_server.heard.get(timeout=5)
        stopped(front)
        begun = time.monotonic()
        go.set()
        while time.monotonic() < begun + 0.8:
            pass  # the time-out expires while the answer is in the kernel buffer
        goes_on(front)
        status, _, _ = front.ask(b"", sock)
        assert status in (200, 503)
        assert front.ask(get_text(key(5)), sock)[0] == 200  # no second response arrived on that connection


def test_a_client_that_reads_nothing_is_closed_after_its_timeout_without_effect_on_others(tmp_path):
    """It goes on sending requests: their responses must not accumulate in the front."""
    short = {
        **REAL["settings"],
        "categories": [{**one, "deadline": 1_000_000} for one in REAL["settings"]["categories"]],
    }
    front, cache_server, _ = two(
        tmp_path, lambda call_id, *_: served(call_id, {}, b"x" * 240_000), settings=short
    )
    with front:
        not_reading = socket.socket()
        not_reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        not_reading.connect(front.address)
        not_reading.settimeout(10)
        not_reading.settimeout(10)
        for at in range(60):  # 14 MB, of which the kernel buffers a part
            not_reading.sendall(get_text(key(at)).replace(b"7f3a", b"%04x" % at))
        second(front, lambda line: line.get("clients_not_reading") or not line["clients"])
        assert len([words for words in cache_server.heard.queue if words[0] == b"serve"]) < 30
        assert front.ask(get_text(key(9999)))[0] == 200


def test_repeatable_headers_of_one_reader_do_not_affect_another():
    twice = get_text(extra="X-Tenant: a\r\nX-Tenant: b\r\n")
    shares, plain = RequestReader(frozenset((b"x-tenant",))), RequestReader()
    assert len(shares.feed(twice)) == 1 and shares.rejection is None
    assert plain.feed(twice) == [] and plain.rejection.status == 400
