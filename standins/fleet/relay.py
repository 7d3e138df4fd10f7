"""Relays between fronts, one port before each: `python -m standins.fleet.relay NAME=HOST:PORT ...`.

Who dials is read from its greeting, so that each pair of fronts and each direction has troubles of its own. A line of
JSON on standard input sets them, {"do": "cut", "from": [..], "to": [..], "kind": 6}: `cut` (with `kind` that message
alone), `heal`, `loss`, `delay` (seconds), `twice`, `swap` (with `share`), and `tear`, which breaks off in the middle of
the next frame. It prints its addresses in the order given and ends with its input. A seed makes the chances.
"""

import argparse
import asyncio
import json
import random
import sys

import msgspec
import uvloop

from sprucegate.storage.records import HEADER


class Troubles:
    def __init__(self, seed):
        self.chance, self.cuts, self.shares, self.tears = random.Random(seed), set(), {}, set()

    def set(self, said):
        pairs = [(a, b) for a in said.get("from", ()) for b in said.get("to", ()) if a != b]
        match said["do"]:
            case "cut":
                self.cuts |= {(a, b, said.get("kind")) for a, b in pairs}
            case "heal":
                self.cuts, self.shares, self.tears = set(), {}, set()
            case "tear":
                self.tears |= set(pairs)
            case what:
                self.shares.update({(a, b, what): said["share"] for a, b in pairs})

    def share(self, pair, what):
        return self.shares.get((*pair, what), 0)

    def drops(self, pair, kind):
        cut = (*pair, None) in self.cuts or (*pair, kind) in self.cuts
        return cut or self.chance.random() < self.share(pair, "loss")


async def _frame(reader):
    head = await reader.readexactly(HEADER.size)
    return head + await reader.readexactly(HEADER.unpack(head)[0])


async def _pump(troubles, pair, reader, writer):
    held = None
    while True:
        frame = await _frame(reader)
        try:
            said = msgspec.msgpack.decode(frame[HEADER.size :])
            kind = said[0] if isinstance(said, list) and len(said) == 2 else None
        except msgspec.MsgspecError:
            kind = None
        if troubles.drops(pair, kind):
            continue
        if delay := troubles.share(pair, "delay"):
            await asyncio.sleep(delay)
        if pair in troubles.tears:
            troubles.tears.discard(pair)
            writer.write(frame[: len(frame) // 2])
            return
        if held is None and troubles.chance.random() < troubles.share(pair, "swap"):
            held = frame
            continue
        writer.write(frame)
        if held is not None:
            writer.write(held)
            held = None
        if troubles.chance.random() < troubles.share(pair, "twice"):
            writer.write(frame)
        await writer.drain()


async def _between(troubles, target, address, reader, writer):
    tasks, there = [], None
    try:
        greeting = await _frame(reader)
        dialler = msgspec.msgpack.decode(greeting[HEADER.size :])[3]
        if (dialler, target, None) in troubles.cuts or (target, dialler, None) in troubles.cuts:
            await asyncio.sleep(3)  # as a network that lets nothing through: nothing is refused either
            return
        host, _, port = address.rpartition(":")
        back, there = await asyncio.open_connection(host, int(port))
        there.write(greeting)
        writer.write(await _frame(back))
        tasks = [
            asyncio.ensure_future(_pump(troubles, (dialler, target), reader, there)),
            asyncio.ensure_future(_pump(troubles, (target, dialler), back, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, msgspec.MsgspecError, IndexError):
        pass  # the end of either side, or of this process, ends the pair
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for one in (writer, there):
            if one is not None:
                one.close()


async def main(targets, seed):
    troubles = Troubles(seed)
    for name, address in targets:
        server = await asyncio.start_server(
            lambda r, w, name=name, address=address: _between(troubles, name, address, r, w),
            "127.0.0.1",
            0,
            limit=16 << 20,
        )
        print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    loop, lines = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        troubles.set(json.loads(line))
        print("set", flush=True)


if __name__ == "__main__":
    flags = argparse.ArgumentParser(prog="python -m standins.fleet.relay", description=__doc__.split("\n")[0])
    flags.add_argument("targets", nargs="+")
    flags.add_argument("--seed", type=int, default=0)
    given = flags.parse_args()
    uvloop.run(main([one.split("=", 1) for one in given.targets], given.seed))
