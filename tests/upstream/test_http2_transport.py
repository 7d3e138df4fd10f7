"""HTTP/2 over real sockets against the stand-in: the reported outcome of each attempt, against what was executed."""

import asyncio
import socket
import threading

import uvloop

from sprucegate.routing.events import AttemptOutcome, EndpointState
from sprucegate.upstream.buffered_bytes import Holder
from sprucegate.upstream.http2.limits import MS, Limits
from standins.driver import Recorder
from standins.http2 import REFUSED_STREAM, Running, goaway


def with_servers(*scripts, limits=None, most=341):
    """Run `body(recorder, *stand-ins)` on an event loop; the ids of the servers begin at 1."""

    def wrap(body):
        def test():
            stand_ins = [Running(**script) for script in scripts]

            async def run():
                recorder = Recorder(
                    {n: stand_in.address for n, stand_in in enumerate(stand_ins, 1)},
                    limits=limits or Limits(),
                    most=most,
                )
                await body(recorder, *stand_ins)
                recorder.servers.stop()
                await asyncio.sleep(0)

            try:
                uvloop.run(run())
            finally:
                for stand_in in stand_ins:
                    stand_in.stop()

        test.__name__ = body.__name__
        return test

    return wrap


def after_requests(count, action):
    """Return a handler that collects requests until it has `count`, and then calls `action(peer, requests)`."""
    received = []

    def on_request(peer, request):
        received.append(request)
        if len(received) == count:
            action(peer, received)

    return on_request


def run_all(peer, requests):
    for request in requests:
        if peer.run(request):
            peer.answer(request.stream)


async def outcomes(recorder, attempts):
    return [await recorder.end(attempt) for attempt in attempts]


ONE_CONNECTION = Limits(connections=1, streams=300, waiting=300)


@with_servers({"limit": 300}, {"limit": 300}, limits=ONE_CONNECTION)
async def test_a_goaway_with_half_of_200_open_streams_above_its_last_one(recorder, stand_in, other):
    def send_goaway(peer, requests):
        peer.goaway(requests[99].stream)
        run_all(peer, requests[:100])

    stand_in.server.came = after_requests(200, send_goaway)
    attempts = [recorder.send(1, f"{n:016x}") for n in range(200)]
    assert (
        await outcomes(recorder, attempts)
        == [AttemptOutcome.RETURNED] * 100 + [AttemptOutcome.NOT_SENT] * 100
    )
    assert [ran for ran, _ in stand_in.server.ran] == [f"{n:016x}" for n in range(100)]
    again = [recorder.send(2, f"{n:016x}", number=1) for n in range(100, 200)]
    assert set(await outcomes(recorder, again)) == {AttemptOutcome.RETURNED} and len(other.server.ran) == 100


@with_servers({}, limits=ONE_CONNECTION)
async def test_two_goaways_with_a_lower_last_stream_in_the_second_and_a_successor_in_between(
    recorder, stand_in
):
    def send_goaways(peer, requests):
        peer.goaway(2**31 - 1)
        peer.loop.call_later(0.1, lambda: (peer.goaway(requests[3].stream), run_all(peer, requests[:4])))

    stand_in.server.came = after_requests(8, send_goaways)
    attempts = [recorder.send(1, f"{n:016x}") for n in range(8)]
    while not any(event == "cache_goaway" for event, _ in recorder.logged):
        await asyncio.sleep(0.005)
    stand_in.server.came = lambda peer, request: run_all(peer, [request])
    assert (
        await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED
        and stand_in.server.made == 2
    )
    assert not any(attempt.ended for attempt in attempts)  # the attempts on the old connection still wait
    assert await outcomes(recorder, attempts) == [AttemptOutcome.RETURNED] * 4 + [AttemptOutcome.NOT_SENT] * 4


@with_servers({}, limits=ONE_CONNECTION)
async def test_a_goaway_with_last_stream_0_proves_that_none_ran(recorder, stand_in):
    stand_in.server.came = after_requests(
        5, lambda peer, requests: (peer.goaway(0), peer.loop.call_soon(peer.end))
    )
    attempts = [recorder.send(1, f"{n:016x}") for n in range(5)]
    assert await outcomes(recorder, attempts) == [AttemptOutcome.NOT_SENT] * 5 and stand_in.server.ran == []


@with_servers({"window": 1000, "opens": False}, {"window": 1000}, limits=ONE_CONNECTION)
async def test_a_goaway_while_a_request_body_is_partly_sent(recorder, stand_in, other):
    stand_in.server.heads = lambda peer, request: peer.loop.call_later(0.05, peer.goaway, 0)
    assert await recorder.end(recorder.send(1, "a" * 16, b"b" * 48_000)) is AttemptOutcome.NOT_SENT
    # A request up to the last stream is sent to its end, as the peer opens the window, and is answered.
    other.server.heads = lambda peer, request: peer.goaway(request.stream)
    other.server.came = lambda peer, request: run_all(peer, [request])
    assert await recorder.end(recorder.send(2, "b" * 16, b"b" * 48_000)) is AttemptOutcome.RETURNED
    assert other.server.ran == [("b" * 16, 0)]


@with_servers({"limit": 100}, limits=Limits(connections=1, waiting=100))
async def test_the_stream_limit_falls_from_100_to_3_with_60_open_streams(recorder, stand_in):
    lowered, open_counts = [], []

    def lower_limit(peer, requests):
        peer.settings(limit=3)
        peer.loop.call_later(0.02, run_all, peer, list(requests))
        stand_in.server.came = count

    def count(peer, request):
        lowered.append(request)
        open_counts.append(len(peer.open))
        peer.loop.call_later(0.01, run_all, peer, [request])

    stand_in.server.came = after_requests(60, lower_limit)
    attempts = [recorder.send(1, f"{n:016x}") for n in range(60)]
    while not lowered and not all(attempt.ended for attempt in attempts):
        await asyncio.sleep(0.002)
    more = [recorder.send(1, f"{n:016x}") for n in range(60, 80)]
    assert set(await outcomes(recorder, attempts + more)) == {AttemptOutcome.RETURNED}
    assert len(open_counts) == 20 and max(open_counts) <= 3


@with_servers({"limit": 0}, limits=Limits(connections=1, wait=2000 * MS))
async def test_requests_wait_while_the_stream_limit_is_0(recorder, stand_in):
    attempts = [recorder.send(1, f"{n:016x}") for n in range(5)]
    await asyncio.sleep(0.2)
    assert not any(attempt.ended for attempt in attempts) and stand_in.server.ran == []

    def raise_limit():
        for peer in stand_in.server.peers:
            peer.settings(limit=10)
        return True

    await asyncio.to_thread(stand_in.do, raise_limit)
    assert await outcomes(recorder, attempts) == [AttemptOutcome.RETURNED] * 5


@with_servers({"limit": 0}, limits=Limits(connections=1, wait=100 * MS))
async def test_a_stream_limit_that_stays_0_refuses_requests_in_time(recorder, stand_in):
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.FULL and stand_in.server.ran == []


@with_servers({"window": 10, "opens": False}, limits=ONE_CONNECTION)
async def test_a_reset_between_headers_and_the_first_data_may_have_run(recorder, stand_in):
    stand_in.server.heads = lambda peer, request: peer.abort()
    assert await recorder.end(recorder.send(1, "a" * 16, b"order")) is AttemptOutcome.RESET


@with_servers({}, limits=ONE_CONNECTION)
async def test_a_server_restarted_under_a_new_id_at_the_same_address_gets_its_own_connection(
    recorder, stand_in
):
    pending = []
    stand_in.server.came = lambda peer, request: pending.append((peer, request))
    attempt = recorder.send(1, "a" * 16)
    while not pending:
        await asyncio.sleep(0.005)
    recorder.list({9: stand_in.address})  # a complete list: 1 is removed, 9 has its address
    stand_in.server.came = lambda peer, request: run_all(peer, [request])
    assert (
        await recorder.end(recorder.send(9, "b" * 16)) is AttemptOutcome.RETURNED
        and stand_in.server.made == 2
    )
    peer, request = pending[0]
    await asyncio.to_thread(stand_in.do, lambda: run_all(peer, [request]) or True)
    # The open attempt to the removed server is still answered.
    assert await recorder.end(attempt) is AttemptOutcome.RETURNED
    while 1 in recorder.servers.by_id:
        await asyncio.sleep(0.005)
    assert len(stand_in.server.peers) <= 1 or recorder.servers.connections == 1


@with_servers({}, limits=ONE_CONNECTION)
async def test_attempts_that_end_with_their_connection_are_reported_with_one_time(recorder, stand_in):
    stand_in.server.came = after_requests(50, lambda peer, requests: peer.abort())
    attempts = [recorder.send(1, f"{n:016x}") for n in range(50)]
    assert set(await outcomes(recorder, attempts)) == {AttemptOutcome.RESET}
    assert len({recorder.ends[attempt][2] for attempt in attempts}) == 1


@with_servers({}, limits=ONE_CONNECTION)
async def test_a_cancel_resets_the_stream_and_frees_its_place(recorder, stand_in):
    pending = []
    stand_in.server.came = lambda peer, request: pending.append((peer, request))
    attempt = recorder.send(1, "a" * 16)
    while not pending:
        await asyncio.sleep(0.005)
    assert recorder.servers.cancel(attempt) is None  # it may have run
    while stand_in.server.cancelled != ["a" * 16]:
        await asyncio.sleep(0.005)
    pool = recorder.servers.by_id[1].transport_state.pool
    assert [at.open for at in pool.connections.values()] == [0]
    peer, request = pending[0]
    # A late response, which is ignored.
    await asyncio.to_thread(stand_in.do, lambda: peer.answer(request.stream) or True)
    stand_in.server.came = lambda peer, request: run_all(peer, [request])
    assert (
        await recorder.end(recorder.send(1, "b" * 16)) is AttemptOutcome.RETURNED
        and stand_in.server.made == 1
    )


@with_servers({"limit": 0}, limits=ONE_CONNECTION)
async def test_a_cancelled_attempt_that_waited_for_a_stream_never_ran(recorder, stand_in):
    assert recorder.servers.cancel(recorder.send(1, "a" * 16), timed_out=True) is AttemptOutcome.NOT_SENT


@with_servers({}, limits=ONE_CONNECTION)
async def test_refused_streams_never_ran_and_other_resets_may_have(recorder, stand_in):
    stand_in.server.came = lambda peer, request: peer.reset(request.stream, REFUSED_STREAM)
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.NOT_SENT
    for code in (2, 8, 0xB, 0xD):
        stand_in.server.came = lambda peer, request, code=code: peer.reset(request.stream, code)
        assert await recorder.end(recorder.send(1, f"{code:016x}")) is AttemptOutcome.RESET


@with_servers({}, limits=Limits(connections=1, stalled=60 * MS))
async def test_a_stalled_response_ends_only_its_own_stream(recorder, stand_in):
    def on_request(peer, request):
        peer.run(request)
        if request.id == "a" * 16:
            peer.answer(request.stream, 200, (), b"half", end=False, length=False)
        else:
            peer.loop.call_later(0.2, peer.answer, request.stream)

    stand_in.server.came = on_request
    stalled, delayed = recorder.send(1, "a" * 16), recorder.send(1, "b" * 16)
    assert await recorder.end(stalled) is AttemptOutcome.RESET and not delayed.ended
    assert await recorder.end(delayed) is AttemptOutcome.RETURNED and stand_in.server.made == 1


@with_servers({}, limits=Limits(connections=1))
async def test_a_partly_read_response_is_counted_until_its_connection_ends(recorder, stand_in):
    """Guards against responses of many servers at once, each connection within its own bound only (issue 59)."""

    def on_request(peer, request):
        peer.run(request)
        peer.answer(request.stream, 200, (), b"x" * 1000, end=False, length=False)

    stand_in.server.came = on_request
    recorder.send(1, "a" * 16)
    while not recorder.buffers.total:
        await asyncio.sleep(0.01)
    assert recorder.buffers.by_holder[Holder.PARTIAL_ANSWER] == 1000
    (connection,) = recorder.servers.by_id[1].transport_state.connections.values()
    recorder.servers.transports["http2"].close(connection, "test")
    assert recorder.buffers.total == 0


@with_servers({}, limits=Limits(connections=1, ping_after=50 * MS, ping_wait=50 * MS))
async def test_a_connection_is_closed_without_an_answer_to_a_ping_and_kept_for_a_slow_server(
    recorder, stand_in
):
    stand_in.server.came = lambda peer, request: peer.loop.call_later(0.4, run_all, peer, [request])
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED
    stand_in.server.came = lambda peer, request: peer.loop.remove_reader(peer.sock)
    assert await recorder.end(recorder.send(1, "b" * 16), 2) is AttemptOutcome.RESET


def test_a_server_that_speaks_another_protocol_or_nothing_never_executed_the_attempt():
    def serve(sock, response):
        near, _ = sock.accept()
        near.recv(100)
        near.sendall(response)
        near.recv(10_000)
        near.recv(10_000)

    async def run(response):
        with socket.create_server(("127.0.0.1", 0)) as sock:
            thread = threading.Thread(target=serve, args=(sock, response), daemon=True)
            thread.start()
            recorder = Recorder({1: f"127.0.0.1:{sock.getsockname()[1]}"}, limits=Limits(connect=100 * MS))
            outcome = await recorder.end(recorder.send(1, "a" * 16))
            recorder.servers.stop()
            await asyncio.sleep(0)
            return outcome

    for response in (b"HTTP/1.1 400 Bad Request\r\n\r\n", b""):
        assert uvloop.run(run(response)).never_executed


@with_servers({"window": 0, "opens": False}, limits=ONE_CONNECTION)
async def test_memory_for_a_peer_that_does_not_read_is_bounded(recorder, stand_in):
    first = recorder.send(1, "a" * 16)
    await recorder.end(first)
    await asyncio.to_thread(
        stand_in.do, lambda: [p.loop.remove_reader(p.sock) for p in stand_in.server.peers] and True
    )
    attempts = [recorder.send(1, f"{n:016x}", b"b" * 48_000, 400_000_000) for n in range(250)]
    await asyncio.sleep(0.1)
    (connection,) = recorder.servers.by_id[1].transport_state.connections.values()
    assert len(connection.session.outgoing) < 300_000
    for attempt in attempts:
        recorder.servers.cancel(attempt, timed_out=True)
    assert not connection.session.uploads


@with_servers({}, {}, {}, limits=ONE_CONNECTION, most=2)
async def test_connections_to_all_servers_are_bounded_and_an_idle_one_is_closed_for_another(
    recorder, *stand_ins
):
    for server_id in (1, 2, 3, 1):
        assert await recorder.end(recorder.send(server_id, f"{server_id:016x}")) is AttemptOutcome.RETURNED
        assert recorder.servers.connections <= 2


@with_servers({}, limits=ONE_CONNECTION)
async def test_a_server_that_is_removed_and_listed_again_is_used(recorder, stand_in):
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED
    recorder.list({1: stand_in.address}, whole=False, state=EndpointState.GONE)
    while 1 in recorder.servers.by_id:
        await asyncio.sleep(0.005)
    assert await recorder.end(recorder.send(1, "b" * 16)) is AttemptOutcome.NOT_SENT
    recorder.list({1: stand_in.address}, whole=False)
    assert await recorder.end(recorder.send(1, "c" * 16)) is AttemptOutcome.RETURNED


def test_the_raw_goaway_frame_of_the_stand_in():
    assert goaway(5, 11) == b"\0\0\x08\x07\0\0\0\0\0" + b"\0\0\0\x05" + b"\0\0\0\x0b"


@with_servers({})
async def test_removed_servers_are_dropped_from_the_transports_table(recorder, stand_in):
    """Also servers that are removed before they had a connection, whose timer never runs."""
    transport = recorder.servers.transports["http2"]
    for number in range(10, 60):
        recorder.list({number: stand_in.address}, whole=False)
        recorder.list({number: stand_in.address}, whole=False, state=EndpointState.GONE)
    assert set(transport.active) <= {1}
    recorder.list({60: stand_in.address}, whole=False)
    assert (
        await recorder.end(recorder.send(60, "a" * 16)) is AttemptOutcome.RETURNED and 60 in transport.active
    )
    recorder.list({60: stand_in.address}, whole=False, state=EndpointState.GONE)
    for _ in range(50):
        await asyncio.sleep(0.01)
    assert set(transport.active) <= {1}
