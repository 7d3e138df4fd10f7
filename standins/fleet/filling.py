"""Stand-in caches of several speeds and the sources that fill them: `python -m standins.fleet.filling`.

Each cache has its own listener, but all share one process, so that the count of a source's concurrent fills is exact.
A fill that begins while all places of its source are in use fails and is recorded as `over`; a fill continues if no
request waits for it any more. The duration of a fill follows from its object, and the object's first byte names the
tenant. `--ran FILE` gets a line for each fill: `at-ns source object took-ns`, or `over` in place of the duration.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import time
from zlib import crc32

import uvloop

MS = 1_000_000


class FillCounter:
    def __init__(self, places, ran):
        self.places, self.fills_running = places, dict.fromkeys(places, 0)
        self.file = os.open(ran, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def begin_fill(self, source, thing, took):
        """Start a fill if the source has a free place; return whether it did."""
        if self.fills_running[source] >= self.places[source]:
            os.write(self.file, b"%d %b %b over\n" % (time.time_ns(), source.encode(), thing.encode()))
            return False
        self.fills_running[source] += 1
        os.write(self.file, b"%d %b %b %d\n" % (time.time_ns(), source.encode(), thing.encode(), took))
        asyncio.get_running_loop().call_later(took / 1e9, self._end_fill, source)
        return True

    def _end_fill(self, source):
        self.fills_running[source] -= 1


class Cache:
    def __init__(self, world, pace, names):
        self.world, self.pace, self.names, self.held = world, pace, names, {}

    async def serve(self, reader, writer):
        tasks = set()
        try:
            while words := (await reader.readline()).split():
                if words[0] != b"serve":
                    continue
                await reader.readexactly(int(words[3]) + 2)
                fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
                task = asyncio.ensure_future(self._respond(words[1], fields, writer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _respond(self, call, fields, writer):
        key, source = (fields["thing"], fields["nth"]), fields.get("src", "")
        remark, head = "cached", b"served"
        if key in self.held:
            await asyncio.sleep(0.002 * self.pace)
        elif "h" in fields.get("flags", "").split("+") or source not in self.world.places:
            head, remark = b"not_here", "up_empty"
        else:
            took = int((20 + crc32(key[0].encode()) % 180) * MS * self.pace)
            if self.world.begin_fill(source, key[0], took):
                await asyncio.sleep(took / 1e9)
                self.held[key], remark = True, "fetched"
            else:
                head, remark = b"crashed", "up_refused"
        body = b"x" * 5 if head == b"served" else b""
        try:
            writer.write(
                b"%b %b etag=t1,made=%d,remark=%b %d\r\n%b\r\n"
                % (call, head, int(time.time() * 1000), remark.encode(), len(body), body)
            )
        except (OSError, RuntimeError):
            pass  # the front has closed the connection


async def main(paces, places, ran, first=0):
    world, ports = FillCounter(places, ran), iter(range(first, first + 100) if first else [0] * 100)
    for at, pace in enumerate(paces):
        server = await asyncio.start_server(
            Cache(world, pace, at).serve, "127.0.0.1", next(ports), backlog=512
        )
        print(f"listening 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    for _ in places:  # fronts know the addresses of sources, but only caches send requests to them
        server = await asyncio.start_server(Cache(world, 1, 0).serve, "127.0.0.1", next(ports))
        print(f"listening 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


class Box:
    """One cache or source with the interface of the rig's boxes; all share one process, which the first `stop` ends."""

    def __init__(self, process, address):
        self.process, self.address = process, address

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.process.stdout.close()


def start_boxes(paces, places, ran):
    """Start the process and return the boxes of the caches, one for each pace, then those of the sources in order."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "standins.fleet.filling",
            "--ran",
            str(ran),
            "--paces",
            *map(str, paces),
            "--places",
            *[f"{n}={c}" for n, c in places.items()],
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    return [Box(process, process.stdout.readline().split()[1]) for _ in range(len(paces) + len(places))]


def read_fills(ran):
    """Return ([(at, source, object, took)], count of fills beyond the limit) from the file of `--ran`."""
    rows, over = [], 0
    with open(ran) as file:
        for line in file:
            if not line.endswith("\n"):
                break  # still being written; the next call reads it
            at, source, thing, took = line.split()
            if took == "over":
                over += 1
            else:
                rows.append((int(at), source, int(thing, 16), int(took)))
    return rows, over


if __name__ == "__main__":
    flags = argparse.ArgumentParser(
        prog="python -m standins.fleet.filling", description=__doc__.split("\n")[0]
    )
    flags.add_argument("--paces", nargs="+", type=float, required=True)
    flags.add_argument("--places", nargs="+", required=True)
    flags.add_argument("--ran", required=True)
    flags.add_argument("--first", type=int, default=0, help="the first port; else any")
    given = flags.parse_args()
    uvloop.run(
        main(
            given.paces,
            {n: int(c) for n, c in (one.split("=") for one in given.places)},
            given.ran,
            given.first,
        )
    )
