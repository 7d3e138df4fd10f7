"""HTTP/2 over real sockets against the stand-in: what the front is told of each forward, against what really ran."""

import asyncio
import socket
import threading

import uvloop

from sprucegate.routing.events import AttemptOutcome, EndpointState
from sprucegate.upstream.http2.limits import MS, Limits
from standins.driver import Recorder
from standins.http2 import REFUSED_STREAM, Running, goaway


def on(*scripts, limits=None, most=341):
    """Runs `body(recorder, *stand-ins)` on a loop; places are numbered from 1."""

    def wrap(body):
        def test():
            boxes = [Running(**script) for script in scripts]

            async def run():
                recorder = Recorder(
                    {n: box.address for n, box in enumerate(boxes, 1)}, limits=limits or Limits(), most=most
                )
                await body(recorder, *boxes)
                recorder.servers.stop()
                await asyncio.sleep(0)

            try:
                uvloop.run(run())
            finally:
                for box in boxes:
                    box.stop()

        test.__name__ = body.__name__
        return test

    return wrap


def after(count, action):
    """A script: requests are held until `count` are there; then `action(peer, requests)`."""
    there = []

    def came(peer, request):
        there.append(request)
        if len(there) == count:
            action(peer, there)

    return came


def run_all(peer, requests):
    for request in requests:
        if peer.run(request):
            peer.answer(request.stream)


async def ends(recorder, outs):
    return [await recorder.end(out) for out in outs]


ONE = Limits(connections=1, streams=300, waiting=300)


@on({"limit": 300}, {"limit": 300}, limits=ONE)
async def test_a_goaway_mid_burst_with_half_of_200_streams_above_it(recorder, box, other):
    def half(peer, requests):
        peer.goaway(requests[99].stream)
        run_all(peer, requests[:100])

    box.server.came = after(200, half)
    outs = [recorder.send(1, f"{n:016x}") for n in range(200)]
    assert await ends(recorder, outs) == [AttemptOutcome.RETURNED] * 100 + [AttemptOutcome.NOT_SENT] * 100
    assert [ran for ran, _ in box.server.ran] == [f"{n:016x}" for n in range(100)]
    again = [recorder.send(2, f"{n:016x}", number=1) for n in range(100, 200)]
    assert set(await ends(recorder, again)) == {AttemptOutcome.RETURNED} and len(other.server.ran) == 100


@on({}, limits=ONE)
async def test_two_goaways_the_second_lower_and_a_successor_meanwhile(recorder, box):
    def leave(peer, requests):
        peer.goaway(2**31 - 1)
        peer.loop.call_later(0.1, lambda: (peer.goaway(requests[3].stream), run_all(peer, requests[:4])))

    box.server.came = after(8, leave)
    outs = [recorder.send(1, f"{n:016x}") for n in range(8)]
    while not any(event == "cache_goaway" for event, _ in recorder.logged):
        await asyncio.sleep(0.005)
    box.server.came = lambda peer, request: run_all(peer, [request])
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED and box.server.made == 2
    assert not any(out.ended for out in outs)  # the old ones still wait for theirs
    assert await ends(recorder, outs) == [AttemptOutcome.RETURNED] * 4 + [AttemptOutcome.NOT_SENT] * 4


@on({}, limits=ONE)
async def test_a_goaway_with_last_stream_0_proves_that_none_ran(recorder, box):
    box.server.came = after(5, lambda peer, requests: (peer.goaway(0), peer.loop.call_soon(peer.end)))
    outs = [recorder.send(1, f"{n:016x}") for n in range(5)]
    assert await ends(recorder, outs) == [AttemptOutcome.NOT_SENT] * 5 and box.server.ran == []


@on({"window": 1000, "opens": False}, {"window": 1000}, limits=ONE)
async def test_a_goaway_while_a_body_is_half_sent(recorder, box, other):
    box.server.heads = lambda peer, request: peer.loop.call_later(0.05, peer.goaway, 0)
    assert await recorder.end(recorder.send(1, "a" * 16, b"b" * 48_000)) is AttemptOutcome.NOT_SENT
    # At or below the last stream the body goes on, as the peer opens its window, and is answered.
    other.server.heads = lambda peer, request: peer.goaway(request.stream)
    other.server.came = lambda peer, request: run_all(peer, [request])
    assert await recorder.end(recorder.send(2, "b" * 16, b"b" * 48_000)) is AttemptOutcome.RETURNED
    assert other.server.ran == [("b" * 16, 0)]


@on({"limit": 100}, limits=Limits(connections=1, waiting=100))
async def test_the_limit_falls_from_100_to_3_with_60_open(recorder, box):
    opened, most = [], []

    def fall(peer, requests):
        peer.settings(limit=3)
        peer.loop.call_later(0.02, run_all, peer, list(requests))
        box.server.came = count

    def count(peer, request):
        opened.append(request)
        most.append(len(peer.open))
        peer.loop.call_later(0.01, run_all, peer, [request])

    box.server.came = after(60, fall)
    outs = [recorder.send(1, f"{n:016x}") for n in range(60)]
    while not opened and not all(out.ended for out in outs):
        await asyncio.sleep(0.002)
    more = [recorder.send(1, f"{n:016x}") for n in range(60, 80)]
    assert set(await ends(recorder, outs + more)) == {AttemptOutcome.RETURNED}
    assert len(most) == 20 and max(most) <= 3


@on({"limit": 0}, limits=Limits(connections=1, wait=2000 * MS))
async def test_a_limit_of_0_for_a_while_and_back(recorder, box):
    outs = [recorder.send(1, f"{n:016x}") for n in range(5)]
    await asyncio.sleep(0.2)
    assert not any(out.ended for out in outs) and box.server.ran == []

    def back():
        for peer in box.server.peers:
            peer.settings(limit=10)
        return True

    await asyncio.to_thread(box.do, back)
    assert await ends(recorder, outs) == [AttemptOutcome.RETURNED] * 5


@on({"limit": 0}, limits=Limits(connections=1, wait=100 * MS))
async def test_a_limit_that_stays_0_refuses_in_time_what_never_left(recorder, box):
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.FULL and box.server.ran == []


@on({"window": 10, "opens": False}, limits=ONE)
async def test_a_reset_between_headers_and_the_first_data_may_have_run(recorder, box):
    box.server.heads = lambda peer, request: peer.abort()
    assert await recorder.end(recorder.send(1, "a" * 16, b"order")) is AttemptOutcome.RESET


@on({}, limits=ONE)
async def test_a_server_that_restarts_under_a_new_id_at_its_address_gets_a_connection_of_its_own(
    recorder, box
):
    held = []
    box.server.came = lambda peer, request: held.append((peer, request))
    out = recorder.send(1, "a" * 16)
    while not held:
        await asyncio.sleep(0.005)
    recorder.list({9: box.address})  # the whole list: 1 has gone, 9 stands at its address
    box.server.came = lambda peer, request: run_all(peer, [request])
    assert await recorder.end(recorder.send(9, "b" * 16)) is AttemptOutcome.RETURNED and box.server.made == 2
    peer, request = held[0]
    await asyncio.to_thread(box.do, lambda: run_all(peer, [request]) or True)
    assert await recorder.end(out) is AttemptOutcome.RETURNED  # what was open there is still answered
    while 1 in recorder.servers.places:
        await asyncio.sleep(0.005)
    assert len(box.server.peers) <= 1 or recorder.servers.connections == 1


@on({}, limits=ONE)
async def test_ends_of_one_connection_are_told_with_one_time(recorder, box):
    box.server.came = after(50, lambda peer, requests: peer.abort())
    outs = [recorder.send(1, f"{n:016x}") for n in range(50)]
    assert set(await ends(recorder, outs)) == {AttemptOutcome.RESET}
    assert len({recorder.ends[out][2] for out in outs}) == 1


@on({}, limits=ONE)
async def test_a_cancel_resets_its_stream_and_frees_it(recorder, box):
    held = []
    box.server.came = lambda peer, request: held.append((peer, request))
    out = recorder.send(1, "a" * 16)
    while not held:
        await asyncio.sleep(0.005)
    assert recorder.servers.cancel(out) is None  # it may have run
    while box.server.cancelled != ["a" * 16]:
        await asyncio.sleep(0.005)
    pool = recorder.servers.places[1].held.pool
    assert [at.open for at in pool.connections.values()] == [0]
    peer, request = held[0]
    await asyncio.to_thread(box.do, lambda: peer.answer(request.stream) or True)  # late: nobody's
    box.server.came = lambda peer, request: run_all(peer, [request])
    assert await recorder.end(recorder.send(1, "b" * 16)) is AttemptOutcome.RETURNED and box.server.made == 1


@on({"limit": 0}, limits=ONE)
async def test_a_cancel_of_one_that_waited_proves_that_it_never_ran(recorder, box):
    assert recorder.servers.cancel(recorder.send(1, "a" * 16), timed_out=True) is AttemptOutcome.NOT_SENT


@on({}, limits=ONE)
async def test_refused_streams_never_ran_and_other_resets_may_have(recorder, box):
    box.server.came = lambda peer, request: peer.reset(request.stream, REFUSED_STREAM)
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.NOT_SENT
    for code in (2, 8, 0xB, 0xD):
        box.server.came = lambda peer, request, code=code: peer.reset(request.stream, code)
        assert await recorder.end(recorder.send(1, f"{code:016x}")) is AttemptOutcome.RESET


@on({}, limits=Limits(connections=1, stalled=60 * MS))
async def test_silence_after_half_an_answer_costs_its_stream_alone(recorder, box):
    def came(peer, request):
        peer.run(request)
        if request.id == "a" * 16:
            peer.answer(request.stream, 200, (), b"half", end=False, length=False)
        else:
            peer.loop.call_later(0.2, peer.answer, request.stream)

    box.server.came = came
    half, whole = recorder.send(1, "a" * 16), recorder.send(1, "b" * 16)
    assert await recorder.end(half) is AttemptOutcome.RESET and not whole.ended
    assert await recorder.end(whole) is AttemptOutcome.RETURNED and box.server.made == 1


@on({}, limits=Limits(connections=1, ping_after=50 * MS, ping_wait=50 * MS))
async def test_a_peer_that_answers_no_ping_is_left_and_a_slow_one_that_does_is_not(recorder, box):
    box.server.came = lambda peer, request: peer.loop.call_later(0.4, run_all, peer, [request])
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED
    box.server.came = lambda peer, request: peer.loop.remove_reader(peer.sock)
    assert await recorder.end(recorder.send(1, "b" * 16), 2) is AttemptOutcome.RESET


def test_a_server_that_speaks_no_http2_or_nothing_is_not_reached_and_nothing_ran():
    def talk(sock, said):
        near, _ = sock.accept()
        near.recv(100)
        near.sendall(said)
        near.recv(10_000)
        near.recv(10_000)

    async def run(said):
        with socket.create_server(("127.0.0.1", 0)) as sock:
            thread = threading.Thread(target=talk, args=(sock, said), daemon=True)
            thread.start()
            recorder = Recorder({1: f"127.0.0.1:{sock.getsockname()[1]}"}, limits=Limits(connect=100 * MS))
            outcome = await recorder.end(recorder.send(1, "a" * 16))
            recorder.servers.stop()
            await asyncio.sleep(0)
            return outcome

    for said in (b"HTTP/1.1 400 Bad Request\r\n\r\n", b""):
        assert uvloop.run(run(said)).never_executed


@on({"window": 0, "opens": False}, limits=ONE)
async def test_a_peer_that_does_not_read_costs_no_memory_beyond_its_bound(recorder, box):
    first = recorder.send(1, "a" * 16)
    await recorder.end(first)
    await asyncio.to_thread(box.do, lambda: [p.loop.remove_reader(p.sock) for p in box.server.peers] and True)
    outs = [recorder.send(1, f"{n:016x}", b"b" * 48_000, 400_000_000) for n in range(250)]
    await asyncio.sleep(0.1)
    (connection,) = recorder.servers.places[1].held.connections.values()
    assert len(connection.session.outgoing) < 300_000
    for out in outs:
        recorder.servers.cancel(out, timed_out=True)
    assert not connection.session.uploads


@on({}, {}, {}, limits=ONE, most=2)
async def test_connections_are_bounded_over_all_servers_and_an_idle_one_makes_room(recorder, *boxes):
    for place in (1, 2, 3, 1):
        assert await recorder.end(recorder.send(place, f"{place:016x}")) is AttemptOutcome.RETURNED
        assert recorder.servers.connections <= 2


@on({}, limits=ONE)
async def test_a_server_listed_as_gone_and_listed_again_serves(recorder, box):
    assert await recorder.end(recorder.send(1, "a" * 16)) is AttemptOutcome.RETURNED
    recorder.list({1: box.address}, whole=False, state=EndpointState.GONE)
    while 1 in recorder.servers.places:
        await asyncio.sleep(0.005)
    assert await recorder.end(recorder.send(1, "b" * 16)) is AttemptOutcome.NOT_SENT
    recorder.list({1: box.address}, whole=False)
    assert await recorder.end(recorder.send(1, "c" * 16)) is AttemptOutcome.RETURNED


def test_a_raw_goaway_is_what_the_rfc_says():
    assert goaway(5, 11) == b"\0\0\x08\x07\0\0\0\0\0" + b"\0\0\0\x05" + b"\0\0\0\x0b"


@on({})
async def test_servers_that_have_gone_are_kept_in_no_table(recorder, box):
    """Listed and gone without a connection, so that no timer of theirs comes by; and after one."""
    transport = recorder.servers.transports["http2"]
    for number in range(10, 60):
        recorder.list({number: box.address}, whole=False)
        recorder.list({number: box.address}, whole=False, state=EndpointState.GONE)
    assert set(transport.active) <= {1}
    recorder.list({60: box.address}, whole=False)
    assert (
        await recorder.end(recorder.send(60, "a" * 16)) is AttemptOutcome.RETURNED and 60 in transport.active
    )
    recorder.list({60: box.address}, whole=False, state=EndpointState.GONE)
    for _ in range(50):
        await asyncio.sleep(0.01)
    assert set(transport.active) <= {1}
