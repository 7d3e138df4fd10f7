"""Stand-in caches, parents, an origin and a bus for each front, in one process that records what reaches it.

`python -m standins.soak.servers --caches 6 --parents 2 --fronts 24 --records FILE` prints the addresses of caches,
parents, origin, then of the buses, and reads commands from stdin as lines of JSON. A record is a line of JSON with the
monotonic time: `came` (a whole request), `told` (an event sent to a front), `event` (a new event of all buses).
"""

import argparse
import asyncio
import json
import random
import sys
import time

import uvloop

from standins.ports import free_port


def body_of(thing, nth, made):
    """Return the body of a part, which names the object, the part and the time when this copy was made."""
    return b"%s %s %d." % (thing.encode(), nth.encode(), made) * (1 + hash_of(thing) % 40)


def hash_of(thing):
    return int(thing, 16) % 9973


LATE_ANSWER_S = 2.5  # from a front's question until the first byte of the answer, in mode late_answer


class Records:
    def __init__(self, path):
        self.file = open(path, "w")  # noqa: SIM115: open as long as the process

    def __call__(self, what, **fields):
        self.file.write(json.dumps({"at": time.monotonic(), "what": what, **fields}) + "\n")


class Server:
    """One cache, parent or origin."""

    def __init__(self, world, number, name, kind):
        self.world, self.number, self.name, self.kind = world, number, name, kind
        self.mode, self.until, self.listener, self.peers, self.address = "", 0.0, None, set(), None
        self.restart_lock = asyncio.Lock()
        self.deaf_until = 0.0  # requests read before this time may have waited in the kernel's buffer

    async def listen(self):
        # A port that no other process is given, so that it can be bound again after a restart.
        host, port = self.address or ("127.0.0.1", free_port())
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: FrontConnection(self), host, port
        )
        self.address = self.listener.sockets[0].getsockname()

    def current_mode(self):
        """Return the fault mode, "" once it is over."""
        return self.mode if time.monotonic() < self.until else ""

    async def apply_fault(self, mode, seconds):
        self.mode, self.until = mode, time.monotonic() + seconds
        if mode in ("refuse", "dies"):
            async with (
                self.restart_lock
            ):  # overlapping faults of this kind at one server run one after the other
                self.listener.close()
                for peer in list(self.peers):
                    peer.transport.abort()
                await asyncio.sleep(seconds)
                self.mode = ""
                await self.listen()
        elif mode == "deaf":
            paused = list(self.peers)
            self.deaf_until = self.until + 0.5
            for peer in paused:
                peer.transport.pause_reading()
            await asyncio.sleep(seconds)
            for peer in paused:
                if not peer.transport.is_closing():
                    peer.transport.resume_reading()


class FrontConnection(asyncio.Protocol):
    """One connection of a front."""

    def __init__(self, server):
        self.server, self.buffer, self.open = server, b"", set()

    def connection_made(self, transport):
        self.transport = transport
        self.server.peers.add(self)

    def connection_lost(self, fault):
        self.server.peers.discard(self)

    def data_received(self, data):
        self.buffer += data
        while (at := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:at].split(b" ")
            if words[0] != b"serve":
                self.open.discard(words[1])
                self.buffer = self.buffer[at + 2 :]
                continue
            size = int(words[3])
            if len(self.buffer) < at + 4 + size:
                return
            self.buffer = self.buffer[at + 4 + size :]
            fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
            self.open.add(words[1])
            mode = self.server.current_mode()
            self.server.world.records(
                "came",
                server=self.server.name,
                id=words[1].decode(),
                fields=fields,
                mode=mode,
                deaf=time.monotonic() < self.server.deaf_until,
            )
            asyncio.ensure_future(self._respond(words[1], fields, mode))

    async def _respond(self, call, fields, mode):
        chance = self.server.world.chance
        if mode in ("hang", "deaf"):
            return
        if mode == "reset":
            return self.transport.abort()
        await asyncio.sleep(chance.uniform(0.3, 1.2) if mode == "slow" else chance.uniform(0.002, 0.02))
        if call not in self.open or self.transport.is_closing():
            return
        self.open.discard(call)
        words = {"error": b"crashed", "overload": b"overload", "missing": b"not_here"}
        if mode in words:
            return self.transport.write(b"%b %b - 0\r\n\r\n" % (call, words[mode]))
        if mode == "garbage":
            malformed = (b"\xff\xfe\r\n", b"a b c\r\n", b"%b served x 99999999\r\n" % call)
            return self.transport.write(chance.choice(malformed))
        # As old as `maxage` allows: a purge takes effect only by the `maxage` that the front asks for.
        age = int(fields.get("maxage", 4000)) * chance.random()
        made = int(time.time() * 1000 - age)
        body = b"" if fields["profile"] == "order" else body_of(fields["thing"], fields["nth"], made)
        answer = b"%b served etag=t%d,made=%d,remark=%b %d\r\n%b\r\n" % (
            call,
            made,
            made,
            b"fetched" if "src" in fields else b"cached",
            len(body),
            body,
        )
        await self._send_response(answer, mode, chance)

    async def _send_response(self, answer, mode, chance):
        if mode == "half":
            return self.transport.write(answer[: len(answer) // 2])
        if mode == "trickle":
            while answer and not self.transport.is_closing():
                size = chance.randrange(1, 120)
                self.transport.write(answer[:size])
                answer = answer[size:]
                await asyncio.sleep(0.005)
            return
        self.transport.write(answer)
        if mode == "twice":
            await asyncio.sleep(0.01)
            self.transport.write(answer)
        if mode == "idle_close" and not self.open:
            self.transport.close()


class Bus:
    """The event bus of one front; all buses have the same events."""

    def __init__(self, world, front):
        self.world, self.front, self.writers = world, front, set()

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = int(head.lower().split(b"last-event-id:")[1].split(b"\r\n")[0])
            if self.world.bus_mode() == "down":
                return writer.transport.abort()
            if self.world.bus_mode() == "late_answer":
                await asyncio.sleep(LATE_ANSWER_S)
            self.writers.add(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while not writer.is_closing():
                last = await self._send_events(writer, last)
                await asyncio.sleep(0.1)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError, IndexError):
            pass  # either side or this process has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    def end_streams(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _send_events(self, writer, last):
        mode, world = self.world.bus_mode(), self.world
        if mode == "silent":
            return last
        if mode == "down":
            writer.transport.abort()
            return last
        if mode == "late":
            await asyncio.sleep(1.0)
        for offset, event in [one for one in world.events if one[0] > last]:
            frame = f"id: {offset}\ndata: {json.dumps(event)}\n\n".encode()
            if mode == "pieces":
                for at in range(0, len(frame), 40):
                    writer.write(frame[at : at + 40])
                    await asyncio.sleep(0.005)
            else:
                writer.write(frame)
            await writer.drain()
            world.records("told", front=self.front, offset=offset)
            last = offset
        if time.monotonic() % 1.0 < 0.15:
            writer.write(b":\n\n")
        return last


class World:
    def __init__(self, given):
        self.records, self.chance = Records(given.records), random.Random(given.seed)
        kinds = ["std"] * given.caches + ["parent"] * given.parents + ["origin"]
        self.servers = [Server(self, at, f"s-{at + 1:x}", kind) for at, kind in enumerate(kinds)]
        self.buses = [Bus(self, at) for at in range(given.fronts)]
        self.events, self.offset, self.mode, self.until, self.born = [], 1, "", 0.0, {}

    def bus_mode(self):
        return self.mode if time.monotonic() < self.until else ""

    def host(self, server, health="up"):
        host, port = server.address
        return {
            "host": server.name,
            "dial": f"{host}:{port}",
            "site": "here",
            "class": server.kind,
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": self.born.get(server.name, 0),
        }

    def tell(self, **event):
        self.offset += 1
        if "topology" in event:
            event["topology"] |= {"seq": self.offset, "whole": False}
        self.events.append((self.offset, {"offset": self.offset, **event}))
        self.records("event", offset=self.offset, event=event)

    async def execute_command(self, command):
        match command["do"]:
            case "server":
                await self.servers[command["where"]].apply_fault(command["how"], command["seconds"])
            case "bus":
                self.mode, self.until = command["how"], time.monotonic() + command["seconds"]
                if self.mode == "late_answer":
                    for bus in self.buses:
                        bus.end_streams()
            case "drain":
                server = self.servers[command["where"]]
                self.tell(topology={"hosts": [self.host(server, "draining")]})
                await asyncio.sleep(command["seconds"])
                self.tell(topology={"hosts": [self.host(server)]})
            case "restart":
                server = self.servers[command["where"]]
                await server.apply_fault("dies", command["seconds"])
                self.born[server.name] = int(time.time() * 1000)
                self.tell(topology={"hosts": [self.host(server)]})
            case "purge":
                self.tell(ban={"tag": command["where"], "ts": int(time.time() * 1000)})


async def main(given):
    world = World(given)
    for one in [*world.servers, *world.buses]:
        await one.listen()
        print("{}:{}".format(*one.address), flush=True)
    loop, lines = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    tasks = set()
    while line := await lines.readline():
        task = asyncio.ensure_future(world.execute_command(json.loads(line)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    world.records.file.close()


if __name__ == "__main__":
    flags = argparse.ArgumentParser(
        prog="python -m standins.soak.servers", description=__doc__.split("\n")[0]
    )
    for name, default in (("caches", 6), ("parents", 2), ("fronts", 3), ("seed", 0)):
        flags.add_argument("--" + name, type=int, default=default)
    flags.add_argument("--records", required=True)
    uvloop.run(main(flags.parse_args()))
