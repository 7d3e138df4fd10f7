"""Relays that inject faults between fronts, a port for each: `python -m standins.fleet.relay NAME=HOST:PORT ...`.

The connecting front is read from its greeting, so faults are set for each pair of fronts and each direction. Lines of
JSON on standard input set them, {"do": "cut", "from": [..], "to": [..], "kind": 6}: `cut` (with `kind` only messages
of that kind), `heal`, `loss`, `delay`, `twice`, `swap` (with `share`, for `delay` in seconds), and `tear`, which closes
the connection in the middle of the next frame. The relay prints its addresses in the order of the arguments and ends
at the end of its input. `--seed` seeds the random choices.
"""

import argparse
import asyncio
import json
import random
import sys

import msgspec
import uvloop

from sprucegate.storage.records import HEADER


class Faults:
    def __init__(self, seed):
        self.chance, self.cuts, self.shares, self.tears = random.Random(seed), set(), {}, set()

    def set(self, command):
        pairs = [(a, b) for a in command.get("from", ()) for b in command.get("to", ()) if a != b]
        match command["do"]:
            case "cut":
                self.cuts |= {(a, b, command.get("kind")) for a, b in pairs}
            case "heal":
                self.cuts, self.shares, self.tears = set(), {}, set()
            case "tear":
                self.tears |= set(pairs)
            case what:
                self.shares.update({(a, b, what): command["share"] for a, b in pairs})

    def share(self, pair, what):
        return self.shares.get((*pair, what), 0)

    def drops(self, pair, kind):
        cut = (*pair, None) in self.cuts or (*pair, kind) in self.cuts
        return cut or self.chance.random() < self.share(pair, "loss")


async def _frame(reader):
    head = await reader.readexactly(HEADER.size)
    return head + await reader.readexactly(HEADER.unpack(head)[0])


async def _pump(faults, pair, reader, writer):
    held = None
    while True:
        frame = await _frame(reader)
        try:
            message = msgspec.msgpack.decode(frame[HEADER.size :])
            kind = message[0] if isinstance(message, list) and len(message) == 2 else None
        except msgspec.MsgspecError:
            kind = None
        if faults.drops(pair, kind):
            continue
        if delay := faults.share(pair, "delay"):
            await asyncio.sleep(delay)
        if pair in faults.tears:
            faults.tears.discard(pair)
            writer.write(frame[: len(frame) // 2])
            return
        if held is None and faults.chance.random() < faults.share(pair, "swap"):
            held = frame
            continue
        writer.write(frame)
        if held is not None:
            writer.write(held)
            held = None
        if faults.chance.random() < faults.share(pair, "twice"):
            writer.write(frame)
        await writer.drain()


async def _relay_connection(faults, target, address, reader, writer):
    tasks, target_writer = [], None
    try:
        greeting = await _frame(reader)
        connecting_front = msgspec.msgpack.decode(greeting[HEADER.size :])[3]
        if (connecting_front, target, None) in faults.cuts or (target, connecting_front, None) in faults.cuts:
            # Like a network that drops all packets: the connection is not refused either.
            await asyncio.sleep(3)
            return
        host, _, port = address.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        target_writer.write(greeting)
        writer.write(await _frame(target_reader))
        tasks = [
            asyncio.ensure_future(_pump(faults, (connecting_front, target), reader, target_writer)),
            asyncio.ensure_future(_pump(faults, (target, connecting_front), target_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, msgspec.MsgspecError, IndexError):
        pass  # either side or this process has ended: the relayed connection ends
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for one in (writer, target_writer):
            if one is not None:
                one.close()


async def main(targets, seed):
    faults = Faults(seed)
    for name, address in targets:
        server = await asyncio.start_server(
            lambda r, w, name=name, address=address: _relay_connection(faults, name, address, r, w),
            "127.0.0.1",
            0,
            limit=16 << 20,
        )
        print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    loop, lines = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        faults.set(json.loads(line))
        print("set", flush=True)


if __name__ == "__main__":
    flags = argparse.ArgumentParser(prog="python -m standins.fleet.relay", description=__doc__.split("\n")[0])
    flags.add_argument("targets", nargs="+")
    flags.add_argument("--seed", type=int, default=0)
    options = flags.parse_args()
    uvloop.run(main([one.split("=", 1) for one in options.targets], options.seed))
