"""An event bus that may be slow: each answer begins `delay` seconds after it was asked for, and is sound from then on.

A line of JSON on standard input is {"event": {...}}, or {"delay": SECONDS}, which also ends the open streams.
"""

import asyncio
import json
import sys
import time


class Bus:
    def __init__(self):
        self.events, self.delay, self.streams, self.fresh = [], 0.0, set(), asyncio.Event()

    async def serve(self, reader, writer):
        said = {"at": time.time_ns() // 1_000_000, "event": "asked"}
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = int(head.lower().split(b"last-event-id:")[1].split(b"\r\n")[0])
            print(json.dumps({**said, "last": last, "delay": self.delay}), flush=True)
            await asyncio.sleep(self.delay)
            self.streams.add(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while not writer.is_closing():
                for offset, event in [one for one in self.events if one[0] > last]:
                    writer.write(
                        f"id: {offset}\ndata: {json.dumps({'offset': offset, **event})}\n\n".encode()
                    )
                    last = offset
                fresh = self.fresh
                try:
                    await asyncio.wait_for(fresh.wait(), 0.9)
                except TimeoutError:
                    writer.write(b":\n\n")  # a comment each second
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()

    def tell(self, said):
        if "delay" in said:
            self.delay = said["delay"]
            for writer in list(self.streams):
                writer.close()
        else:
            self.events.append((len(self.events) + 2, said["event"]))
        self.fresh.set()
        self.fresh = asyncio.Event()


async def main():
    bus = Bus()
    server = await asyncio.start_server(bus.serve, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        bus.tell(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
