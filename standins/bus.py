"""An event bus with a port for each front: one can be told what another is not. `python -m standins.bus --count 3`.

A line of JSON on standard input is an event: {"to": [0, 2], "event": {...}}; its offset is counted for each port. It
prints its addresses, one a line, and ends with its input.
"""

import argparse
import asyncio
import json
import sys

import uvloop


class Port:
    def __init__(self):
        self.events, self.offset, self.fresh = [], 1, asyncio.Event()

    def tell(self, event):
        self.offset += 1
        self.events.append((self.offset, event))
        self.fresh.set()
        self.fresh = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return writer.close()  # it ended before it asked
        last = int(head.lower().split(b"last-event-id:")[1].split(b"\r\n")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
        try:
            while True:
                for offset, event in [e for e in self.events if e[0] > last]:
                    said = json.dumps({"offset": offset, **event})
                    writer.write(f"id: {offset}\ndata: {said}\n\n".encode())
                    last = offset
                fresh = self.fresh
                try:
                    async with asyncio.timeout(0.5):
                        await fresh.wait()
                except TimeoutError:
                    writer.write(b":\n\n")
                await writer.drain()
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass  # its front was killed; uvloop says so by a RuntimeError
        finally:
            writer.close()


async def main(count, first):
    ports = [Port() for _ in range(count)]
    servers = [
        await asyncio.start_server(port.serve, "127.0.0.1", first + at if first else 0)
        for at, port in enumerate(ports)
    ]
    for server in servers:
        print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    loop, lines = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        said = json.loads(line)
        for at in said["to"]:
            ports[at].tell(said["event"])


if __name__ == "__main__":
    flags = argparse.ArgumentParser(prog="python -m standins.bus", description=__doc__.split("\n")[0])
    flags.add_argument("--count", type=int, default=1)
    flags.add_argument("--port", type=int, default=0, help="the first one's; free ones without it")
    given = flags.parse_args()
    uvloop.run(main(given.count, given.port))
