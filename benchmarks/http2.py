"""HTTP/2 towards servers: the soak, and both transports side by side at 1, 2 and 4 connections and 1,000 open GETs.

The load is open: a GET is due by the clock, and its latency counts from then, so that a slow transport does not slow
its load. Every server waits the same time, so that what is above it is the transport's and its server's own.
"""

import asyncio
import gc
import time
import tracemalloc
from typing import NamedTuple

import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.http2_closes import soak
from sprucegate.routing.events import AttemptOutcome
from sprucegate.upstream.http2.limits import Limits, S
from sprucegate.upstream.http2.session import Http2Session
from sprucegate.upstream.lines import transport as lines_transport
from sprucegate.upstream.lines.connection import LineConnection
from standins.driver import Recorder
from standins.processes import Process

OPEN = 1000


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    gets: int  # of the soak
    close_every: int  # mean number of GETs on a connection of the soak
    service: float  # seconds that a server takes for a GET, of the runs side by side
    seconds: float  # of each run side by side
    most_seconds: float  # of each run at the most GETs a second


FULL = Size(gets=50_000, close_every=90, service=2.0, seconds=20, most_seconds=8)
QUICK = Size(gets=4000, close_every=90, service=2.0, seconds=4, most_seconds=2)
SMOKE = Size(gets=200, close_every=20, service=0.1, seconds=0.3, most_seconds=0.2)


async def _load(address, speaks, connections, rate, seconds):
    gc.collect()
    gc.freeze()  # as the front does
    gc.set_threshold(20_000, 20, 100)
    limits = Limits(
        connections=connections, streams=2000, waiting=2000, open_above=0.0, wait=5 * S, stalled=10 * S
    )
    lines_transport.CONNECTIONS_PER_CACHE = connections
    recorder = Recorder({1: address}, speaks, limits, max_streams=2000, connect_timeout=2 * S)
    loop, latencies, worst = asyncio.get_running_loop(), HdrHistogram(1, 60_000_000, 3), 0
    for n in range(200):  # connections come up, tables fill
        await recorder.end(recorder.send(1, f"{n:016x}", timeout=20 * S)) if n < connections * 2 else None
    recorder.servers.sweep(recorder.clock())
    begun, cpu, ends, count = loop.time(), time.process_time(), [], int(rate * seconds)
    most = 0
    for n in range(count):
        due = begun + n / rate
        if (wait := due - loop.time()) > 0:
            await asyncio.sleep(wait)
        out = recorder.send(1, f"{1000 + n:016x}", timeout=30 * S)
        recorder.waiting[out].add_done_callback(lambda _, due=due: ends.append(loop.time() - due))
        most = max(most, n + 1 - len(ends))
    await asyncio.gather(*[future for out, future in recorder.waiting.items() if not future.done()])
    cpu = time.process_time() - cpu
    await asyncio.sleep(0)
    bad = sum(recorder.ends[out][0] is not AttemptOutcome.RETURNED for out in recorder.ends)
    for one in ends:
        latencies.record_value(int(one * 1e6))
    place = recorder.servers.by_id[1]
    used = len(place.transport_state) if speaks == "lines" else len(place.transport_state.connections)
    recorder.servers.stop()
    worst = latencies.get_value_at_percentile(99) / 1000
    return {
        "cpu_us": cpu / count * 1e6,
        "p50_ms": latencies.get_value_at_percentile(50) / 1000,
        "p99_ms": worst,
        "open": most,
        "connections": used,
        "not_returned": bad,
    }


def side_by_side(connections, rate, service, seconds):
    made = {}
    for speaks in ("lines", "http2"):
        flags = {"service": service, "steady": 1, **({"limit": 2000} if speaks == "http2" else {})}
        process = Process(speaks, **flags)
        try:
            made[speaks] = uvloop.run(_load(process.address, speaks, connections, rate, seconds))
        finally:
            process.stop()
    return made


async def _most(address, speaks, seconds):
    """GETs a second with 100 always open on one connection: where the transport's own cost sets the limit."""
    lines_transport.CONNECTIONS_PER_CACHE = 1
    recorder = Recorder(
        {1: address}, speaks, Limits(connections=1, streams=200, stalled=10 * S), max_streams=200
    )
    end, done = time.monotonic() + seconds, 0

    async def one(number):
        nonlocal done
        while time.monotonic() < end:
            out = recorder.send(1, f"{number:08x}{done:08x}")
            await recorder.end(out)
            recorder.waiting.pop(out), recorder.ends.pop(out), recorder.answers.pop(out, None)
            done += 1

    cpu = time.process_time()
    await asyncio.gather(*[one(n) for n in range(100)])
    cpu = time.process_time() - cpu
    recorder.servers.stop()
    return {"per_second": done / seconds, "cpu_us": cpu / done * 1e6}


def memory_a_connection():
    """KB of one idle connection, without its socket."""
    made = {}
    for name, make in (
        ("lines", lambda: LineConnection(None, 0)),
        ("http2", lambda: Http2Session(4 << 20, 0)),
    ):
        make()
        gc.collect()
        tracemalloc.start()
        held = [make() for _ in range(200)]
        made[name] = tracemalloc.get_traced_memory()[0] / len(held) / 1000
        tracemalloc.stop()
    return made


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    print("soak ...", flush=True)
    said = soak(size.gets, size.close_every)
    print(said, flush=True)
    figures = dict(said)
    rate, service = 500, size.service
    for connections in (1, 2, 4):
        both = side_by_side(connections, rate, service, size.seconds)
        for speaks, one in both.items():
            print(f"{speaks} over {connections}:", {k: round(v, 2) for k, v in one.items()}, flush=True)
            figures.update({f"{speaks}_{connections}_{k}": round(v, 3) for k, v in one.items()})
    over = {speaks: one["p99_ms"] - service * 1000 for speaks, one in both.items()}
    figures |= {
        "p99_ratio": round(both["http2"]["p99_ms"] / both["lines"]["p99_ms"], 3),
        "p99_over_service_ratio": round(over["http2"] / over["lines"], 2),
        "cpu_ratio": round(both["http2"]["cpu_us"] / both["lines"]["cpu_us"], 2),
        "connections": both["http2"]["connections"],
        "open_gets": both["http2"]["open"],
    }
    for speaks in ("lines", "http2"):
        process = Process(speaks, **({"limit": 2000} if speaks == "http2" else {}))
        most = uvloop.run(_most(process.address, speaks, size.most_seconds))
        process.stop()
        print(f"{speaks} at most:", {k: round(v) for k, v in most.items()}, flush=True)
        figures.update(
            {
                f"{speaks}_most_per_second": round(most["per_second"]),
                f"{speaks}_most_cpu_us": round(most["cpu_us"]),
            }
        )
    figures.update({f"{name}_kb_a_connection": round(kb, 1) for name, kb in memory_a_connection().items()})
    return figures
