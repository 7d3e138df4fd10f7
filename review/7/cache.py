"""A cache that speaks lines and holds a copy of all that it was asked for, until it is told of a purge.

A line on standard input is the key of a purged object: its copy is dropped at once, and the next GET gets a new one. A
body says when the origin gave it out (Unix millisecond), as `made` does.
"""

import asyncio
import sys
import time


class Cache:
    def __init__(self):
        self.copies = {}

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                words = line.split()
                if words[0] != b"serve":
                    continue
                await reader.readexactly(int(words[3]) + 2)
                fields = dict(pair.split(b"=", 1) for pair in words[2].split(b","))
                made = self.copies.get(fields[b"thing"])
                word = b"cached" if made else b"fetched"
                made = self.copies[fields[b"thing"]] = made or b"%d" % (time.time_ns() // 1_000_000)
                answer = b"%b served etag=t%b,made=%b,remark=%b %d\r\n%b\r\n"
                writer.write(answer % (words[1], made, made, word, len(made), made))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main():
    cache = Cache()
    server = await asyncio.start_server(cache.serve, "127.0.0.1", 0)
    print("listening", "{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        cache.copies.pop(line.strip(), None)


if __name__ == "__main__":
    asyncio.run(main())
