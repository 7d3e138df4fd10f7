"""An order that ran is sent again after a 504 of the origin's gateway. See claim.txt."""

import asyncio
import copy
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
import rig as lib
from standins.http2 import Server

ORDERS = 4  # one after another: a stall of about four seconds
SERVICE_S = 0.02  # of an order, when the catalogue is well
GATEWAY_TIMEOUT_S = 0.25  # after which the gateway before the catalogue answers 504 by itself


class Gateway:
    """A gateway that speaks HTTP/2, before the catalogue in which orders run.

    An order runs in the catalogue as soon as it came whole. While the catalogue stalls its word that it did so does not
    come in time, and the gateway answers 504 (RFC 9110 section 15.6.5).
    """

    def __init__(self, record, name):
        self.record, self.name, self.stalls, self.ran = record, name, False, []
        self.server = Server(name=name)
        self.server.came = self.came
        self.server.listen()
        self.address = self.server.address
        self.accepting = asyncio.ensure_future(self.server.accept())

    def came(self, peer, request):
        what = request.fields[b":method"].decode(), request.fields[b":path"].decode(), request.id
        control = request.fields.get(b"cache-control", b"").decode()
        self.record("box", self.name, "<-", *what, "cache-control:", control, "body:", len(request.body))
        if not peer.run(request):
            return
        if request.write:
            self.ran.append(request.id)
            self.record("box", self.name, "ran order", request.id, "time", self.ran.count(request.id))
        stalls = self.stalls and request.write
        delay = GATEWAY_TIMEOUT_S if stalls else SERVICE_S
        peer.loop.call_later(delay, self.answer, peer, request, 504 if stalls else 200)

    def answer(self, peer, request, status):
        if not peer.closed and request.stream in peer.open:
            self.record("box", self.name, "->", request.id, status)
            peer.answer(request.stream, status, (), b"done" if status == 200 else b"")


async def case(rig):
    cache = await lib.Box(rig.record, "s-0b").start()
    origin = Gateway(rig.record, "s-1f")
    bus = await lib.Bus(rig.record, "bus").start()
    settings = copy.deepcopy(lib.SETTINGS)
    settings["categories"].append(
        {"name": "order", "aim": 800_000, "effect": "side_effect", "worth": 3.0, "deadline": 3_000_000}
    )
    settings["specifics"] |= {
        "classFresh": [0, 0],
        "usableAfter": [0, 0],
        "goesThrough": [False, True],
        "straight": True,
    }
    hosts = [lib.host(cache), lib.host(origin, "origin")]
    front = lib.Front(
        rig, "n0", "servers {\n    speak http2 kind=origin\n}\n", **lib.config(bus, hosts, settings)
    )
    await front.ready()

    async def order(number):
        return await front.get(0x5000 + number, ds="order", patience=3000, method="PUT", body=b"two valves")

    status, _ = await order(0)
    if status != 200 or len(origin.ran) != 1:
        raise lib.NotRun("an order is not served while the catalogue is well")
    origin.stalls = rig.trouble
    statuses = []
    for number in range(1, ORDERS + 1):
        statuses.append((await order(number))[0])
    await asyncio.sleep(0.5)
    runs = Counter(origin.ran)
    twice = {call: count for call, count in runs.items() if count > 1}
    rig.record("answers to clients:", Counter(statuses))
    rig.record("orders that ran:", len(runs), "of them more than once:", len(twice), twice)
    return lib.BROKEN if twice else lib.HELD


lib.run(Path(__file__).parent, case)
