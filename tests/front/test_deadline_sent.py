"""The time limit sent to a server (`max`) is at most the time left for the client when the request is sent."""

import asyncio
import socket
import time

from crossing import SLOW_TO_CONNECT, goes_on, key, stopped, two, uphill
from helpers import get_text

from sprucegate.routing.events import AttemptOutcome
from standins.driver import Recorder

SLACK = 0.15


def test_a_forward_that_waited_for_its_connection_tells_what_is_left_by_then(tmp_path):
    front, slow_server, _ = uphill(tmp_path, SLOW_TO_CONNECT)
    with front:
        begun = time.monotonic()
        client = front.connect()
        client.sendall(get_text(key(1), patience=5000))
        time.sleep(1.5)  # the next SYN is sent 3 s after the first
        line = slow_server.lets().readline().split()
        left = 5 - (time.monotonic() - begun)
        sent = int(dict(p.split("=", 1) for p in line[2].decode().split(","))["max"]) / 1000
        assert 1 < left < 4.5 and sent <= left + SLACK, (sent, left)


def test_what_a_request_waited_before_it_could_be_read_is_off_its_time(tmp_path):
    """The front is stopped while requests arrive, on an idle connection and on one not accepted yet."""
    front, cache_server, origin_server = two(
        tmp_path, lambda call, fields, body: None, lambda call, fields, body: None
    )
    with front:
        idle = front.connect()
        # A connection that is being established while the front is stopped times out, and its server counts as
        # unreachable: both are accepted, and the front has run since, before it is stopped.
        end = time.monotonic() + 10
        while not (cache_server.connections and origin_server.connections):
            assert time.monotonic() < end, "the front connected to no server ahead of the first request"
            time.sleep(0.01)
        front.ask(b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n", idle)
        stopped(front)
        begun = time.monotonic()
        for at, sock in enumerate((idle, front.connect())):
            sock.sendall(get_text(key(at), patience=3000))
        time.sleep(0.8)
        goes_on(front)
        found = [cache_server.heard.get(timeout=5)[2] for _ in range(2)]
        left = 3 - (time.monotonic() - begun)
        assert all(int(fields["max"]) / 1000 <= left + SLACK for fields in found), (left, found)


def max_of(line):
    return int(dict(p.split("=", 1) for p in line.split()[2].decode().split(","))["max"]) / 1000


def run_behind_blocked_connection(act):
    """Run `act(made, sock, first, second)`: `second` is queued behind `first`, whose large body was sent in part."""

    async def run():
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setblocking(False)
        made = Recorder({1: f"127.0.0.1:{listener.getsockname()[1]}"}, speaks="lines", most=2)
        first = made.send(1, "a" * 16, body=b"b" * 8_000_000, timeout=8_000_000_000)
        sock, _ = await loop.sock_accept(listener)
        second = made.send(1, "b" * 16, timeout=1_500_000_000)
        return await act(made, sock, first, second)

    return asyncio.run(asyncio.wait_for(run(), 20))


async def receive_line(sock, call_id):
    """Return the line of a request; skips what precedes it."""
    loop, seen = asyncio.get_running_loop(), b""
    while b"serve " + call_id not in seen or not seen.endswith(b"\r\n"):
        seen = seen[-500:] + await loop.sock_recv(sock, 1 << 20)
    return seen[seen.index(b"serve " + call_id) :].split(b"\r\n")[0]


def test_an_attempt_queued_behind_a_slow_one_sends_the_time_left_by_then():
    async def act(made, sock, first, second):
        await asyncio.sleep(0.8)
        return max_of(await receive_line(sock, b"b" * 16))

    assert run_behind_blocked_connection(act) <= 0.7 + SLACK


def test_an_attempt_that_expires_in_the_queue_is_not_sent_and_ends_as_not_sent():
    async def act(made, sock, first, second):
        await asyncio.sleep(1.6)
        made.send(1, "c" * 16, timeout=8_000_000_000)
        await receive_line(sock, b"c" * 16)  # it would have arrived before this one
        return await made.end(second), made.counters.counts["sends_refused late"]

    assert run_behind_blocked_connection(act) == (AttemptOutcome.NOT_SENT, 1)


def test_an_attempt_withdrawn_from_the_queue_of_a_blocked_connection_is_not_sent():
    async def act(made, sock, first, second):
        assert made.servers.withdraw(second)
        made.send(1, "c" * 16, timeout=8_000_000_000)
        loop, seen = asyncio.get_running_loop(), b""
        while b"serve " + b"c" * 16 not in seen:
            seen += await loop.sock_recv(sock, 1 << 20)
        return b"serve " + b"b" * 16 in seen

    assert run_behind_blocked_connection(act) is False
