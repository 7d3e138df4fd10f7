"""The real front between HTTP/2 stand-ins that close at random points: what it said of each forward against what ran.

The front runs in this process with real sockets on both sides, so that each of its verdicts can be written down; the
servers are processes of their own that write down what ran the moment it runs.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop

from sprucegate.assembly import run
from sprucegate.cli.operator_file import parse
from sprucegate.front import configuration
from sprucegate.routing.events import AttemptOutcome
from standins.processes import Process

KDL = """servers {
    speak http2 kind=std
    speak http2 kind=parent
    speak http2 kind=origin
    http2 {
        connections 2
    }
}
"""
# The origin holds no copies, and a gateway before it answers 504 to requests that ran.
ORIGIN_FLAGS = {"stores": 0, "gateway_timeouts": 0.2}
SETTINGS = {
    "allowed": {"cancel": True, "connectTimeout": 200_000, "keepalive": 15_000_000, "attemptsCap": 6},
    "categories": [
        {"name": "media", "aim": 400_000, "effect": "pure", "worth": 2.0, "deadline": 3_000_000},
        {"name": "order", "aim": 400_000, "effect": "side_effect", "worth": 3.0, "deadline": 3_000_000},
    ],
    "failureDomains": ["here"],
    "shapes": ["std", "parent", "origin"],
    "myZone": 0,
    "specifics": {
        "clientKbPerS": 1000.0,
        "shieldKind": 1,
        "storeKind": 2,
        "goesThrough": [False, True],
        "straight": True,
        "classFresh": [0, 0],
        "usableAfter": [0, 0],
        "neighbours": "location",
    },
}


class Verdicts:
    """A Driver's ends, as it is told them."""

    def __init__(self):
        self.said = {}  # (id, number) -> Outcome

    def watched(self, driver_class):
        verdicts = self.said

        class Watched(driver_class):
            def _on_attempt_ended(self, out, outcome, *rest):
                verdicts[out.request.id.decode(), out.number] = outcome
                return super()._on_attempt_ended(out, outcome, *rest)

        return Watched


async def _client(address, work, ends, chance):
    """One connection after another, one GET at a time; `ends` gets each GET's status, 0 where it got none."""
    loop, sock = asyncio.get_running_loop(), None
    while work:
        call_id, order = work.pop()
        thing = f"{chance.randrange(1, 400):x}"
        body = b"o" * 200 if order else b""
        text = (
            f"{'PUT' if order else 'GET'} /svc/{'order' if order else 'media'}/{thing}/slice-0 HTTP/1.1\r\n"
            f"Host: a\r\nX-Call-Id: {call_id}\r\nX-Patience-Ms: 3000\r\nX-Set: 1\r\nX-Heap-Kb: 1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        begun, status = time.monotonic(), 0
        try:
            async with asyncio.timeout(5):
                if sock is None:
                    sock = socket.socket()
                    sock.setblocking(False)
                    await loop.sock_connect(sock, address)
                await loop.sock_sendall(sock, text)
                held = b""
                while b"\r\n\r\n" not in held:
                    if not (data := await loop.sock_recv(sock, 65_536)):
                        raise ConnectionError
                    held += data
                head, _, got = held.partition(b"\r\n\r\n")
                length = next(
                    (
                        int(line[15:])
                        for line in head.lower().split(b"\r\n")
                        if line.startswith(b"content-length:")
                    ),
                    0,
                )
                while len(got) < length:
                    if not (data := await loop.sock_recv(sock, 65_536)):
                        raise ConnectionError
                    got += data
                status = int(head[9:12])
        except OSError:
            sock.close()
            sock = None
        ends[call_id] = status, time.monotonic() - begun
    if sock is not None:
        sock.close()


async def _bus(listener):
    loop = asyncio.get_running_loop()
    while True:
        sock, _ = await loop.sock_accept(listener)
        loop.create_task(_tell(loop, sock))


async def _tell(loop, sock):
    try:
        await loop.sock_recv(sock, 4096)
        await loop.sock_sendall(sock, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while True:
            await loop.sock_sendall(sock, b":\n\n")
            await asyncio.sleep(1)
    except OSError:
        sock.close()


async def _run(gets, clients, seed, servers, verdicts):
    loop = asyncio.get_running_loop()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    tells = loop.create_task(_bus(listener))
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    hosts = [
        {
            "host": name,
            "dial": process.address,
            "site": "here",
            "class": kind,
            "block": 0,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        }
        for name, kind, process in servers
    ]
    wanted = configuration.parse(
        {
            "name": "n0",
            "seed": f"{seed:x}",
            "listen": f"127.0.0.1:{address[1]}",
            "bus": f"127.0.0.1:{listener.getsockname()[1]}",
            "flow_bytes_per_s": 1e7,
            "link_bytes_per_s": 1e8,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}],
            },
        }
    )
    wanted = wanted._replace(servers=parse(KDL, "soak").servers.resolved(wanted.kinds))
    chance, ends, events, ready = random.Random(seed), {}, Counter(), asyncio.Event()

    def log(event, **fields):
        events[event] += 1
        if event == "ready":
            ready.set()
        if event == "fault":
            print(json.dumps({"event": event, **fields}), flush=True)

    original, run.Driver = run.Driver, verdicts.watched(run.Driver)
    try:
        front = loop.create_task(run.serve(wanted, log))
        await ready.wait()
        work = [(f"{seed & 0xffff:04x}{n:012x}", chance.random() < 0.03) for n in range(gets)]
        orders = {call_id for call_id, order in work if order}
        begun = time.monotonic()
        await asyncio.gather(*[_client(address, work, ends, chance) for _ in range(clients)])
        seconds = time.monotonic() - begun
        os.kill(os.getpid(), signal.SIGTERM)
        await front
    finally:
        run.Driver = original
    tells.cancel()
    listener.close()
    return orders, ends, events, seconds


def soak(gets, close_every, seed=7, clients=48):
    """Figures of one run; `close_every` is the mean number of GETs on a connection before it is closed."""
    verdicts = Verdicts()
    with tempfile.TemporaryDirectory() as folder:
        flags = {"queue": 0.004, "service": 0.004, "close_every": close_every, "limit": 60}
        kinds = [("s-01", "std"), ("s-02", "std"), ("s-03", "std"), ("s-21", "parent"), ("s-31", "origin")]
        servers = [
            (
                name,
                kind,
                Process(
                    "http2",
                    seed=seed + at,
                    ran=Path(folder, name),
                    name=name,
                    **flags,
                    **(ORIGIN_FLAGS if kind == "origin" else {}),
                ),
            )
            for at, (name, kind) in enumerate(kinds)
        ]
        try:
            orders, ends, events, seconds = uvloop.run(_run(gets, clients, seed, servers, verdicts))
        finally:
            counts = [process.stop() for _, _, process in servers]
        lines = [line.split() for name, _ in kinds for line in Path(folder, name).read_text().splitlines()]
    closes = sum(count["closes"] for count in counts)
    timeouts = sum(count.get("gateway_timeouts", 0) for count in counts)
    return {
        "gateway_timeouts": timeouts,
        **figures(orders, ends, verdicts.said, lines, closes, seconds, events),
    }


def _share(ends, ids):
    return round(sum(ends[i][0] == 200 for i in ids) / len(ids), 4) if ids else None


def figures(orders, ends, said, lines, closes, seconds, events):
    ran = Counter((call_id, int(attempt)) for call_id, attempt, _ in lines)
    ran_ids = Counter(call_id for call_id, _, _ in lines)
    never = {key for key, outcome in said.items() if outcome.never_executed}
    maybe = {
        key
        for key, outcome in said.items()
        if outcome in (AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT, AttemptOutcome.ERROR)
    }
    again = {call_id for call_id, _ in never}
    gets = again - orders
    return {
        "gets": len(ends),
        "orders": len(orders),
        "closes": closes,
        "seconds": round(seconds, 1),
        "orders_duplicated": sum(ran_ids[call_id] > 1 for call_id in orders),
        "gets_lost": sum(status == 0 for status, _ in ends.values()),
        "false_never_ran": sum(key in ran for key in never),
        "never_executed": len(never),
        "may_have_run": len(maybe),
        "may_have_run_but_had_not": sum(key not in ran for key in maybe),
        "recovered_share": _share(ends, gets),
        "recovered_share_without_later_reset": _share(ends, gets - {call_id for call_id, _ in maybe}),
        "orders_recovered_share": _share(ends, again & orders),
        "returned": sum(status in (200, 304) for status, _ in ends.values()),
        "shed": sum(status == 503 for status, _ in ends.values()),
        "errored": sum(status == 502 for status, _ in ends.values()),
        "faults": events["fault"],
    }
