"""Many clients of a front that misbehave in one way, as a process of their own.

`python -m standins.misbehaving_clients --address 127.0.0.1:8080 --manner half_body --count 700 --seconds 5` opens COUNT
connections at once and opens each anew after its end; the last line counts connections and requests. A manner says what
a client sends on a connection; none of them is owed a response but `large_unread`, and all addresses are loopback.
"""

import argparse
import asyncio
import json
import random
import socket
import time
from collections import Counter

import uvloop

RECONNECT_S = 0.01
BODY = b"x" * 48_000  # the largest body that the protocol allows
LARGE_BYTES = 240_000  # the largest object that the protocol allows; stand-in servers are given this size
HEAD_BYTES = 8100  # just below the front's limit
FIELDS_AT_ONCE = 4000
PIECE_BYTES, PIECE_INTERVAL_S = 1000, 0.04


def request_bytes(call_id, service="media", method="GET", body=b"", thing="7f3a9c21e0b4d655", fields=""):
    """Return one request, as the platform's protocol has it."""
    return (
        f"{method} /svc/{service}/{thing}/slice-3 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {call_id}\r\n"
        f"X-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 4.5\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def chunked_head(call_id):
    return request_bytes(call_id, "order", "PUT").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def short_fields(first, count):
    """Return header fields of a few bytes, each with a name of its own."""
    return b"".join(b"%x:\r\n" % at for at in range(first, first + count))


class Client:
    """One connection after another, each used in the same manner."""

    def __init__(self, number, address, manner, until, counts):
        self.address, self.until, self.counts = address, until, counts
        self.chance, self.loop = random.Random(f"{manner} {number}"), asyncio.get_running_loop()
        self.use = getattr(self, manner)
        self.names = number << 32

    async def run(self):
        while time.monotonic() < self.until:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await self.loop.sock_connect(sock, self.address)
                self.counts["connections"] += 1
                await self.use(sock)
            except OSError as fault:
                self.counts[type(fault).__name__] += 1
            finally:
                sock.close()
            await asyncio.sleep(RECONNECT_S)

    def id(self):
        return f"{self.chance.getrandbits(64):016x}"

    def new_name(self):
        self.names += 1
        return f"{self.names:016x}"

    async def send(self, sock, data):
        self.counts["sends"] += 1
        await self.loop.sock_sendall(sock, data)
        await asyncio.sleep(0)  # a send that never waits would keep the other clients from theirs

    async def until_closed(self, sock):
        while await self.loop.sock_recv(sock, 65_536):
            pass

    # Connections that hold a request back.

    async def idle(self, sock):
        await self.until_closed(sock)

    async def half_body(self, sock):
        await self.send(sock, request_bytes(self.id(), "order", "PUT", BODY)[:-1000])
        await self.until_closed(sock)

    async def slow_body(self, sock):
        text = request_bytes(self.id(), "order", "PUT", BODY)
        for at in range(0, len(text), PIECE_BYTES):
            await self.send(sock, text[at : at + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)
        await self.until_closed(sock)

    async def many_fields(self, sock):
        head = b"GET /svc/media/7f3a9c21e0b4d655/slice-3 HTTP/1.1\r\n" + short_fields(0, 2000)
        await self.send(sock, head[:HEAD_BYTES])
        await self.until_closed(sock)

    async def half_body_again(self, sock):
        """After a request that was answered, so that the connection is no new one."""
        await self.send(sock, b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.loop.sock_recv(sock, 65_536)
        await self.half_body(sock)

    async def whole_body(self, sock):
        """A write that is never answered; stand-in servers answer nothing to names that begin with dead."""
        thing = f"dead{self.chance.getrandbits(40):012x}"
        await self.send(sock, request_bytes(self.id(), "order", "PUT", BODY, thing))
        await self.until_closed(sock)

    # Connections that send without end.

    async def endless_trailers(self, sock):
        await self.send(sock, chunked_head(self.id()) + b"1\r\nx\r\n0\r\n")
        for first in range(0, 1 << 40, FIELDS_AT_ONCE):
            await self.send(sock, short_fields(first, FIELDS_AT_ONCE))

    async def endless_extension(self, sock):
        await self.send(sock, chunked_head(self.id()) + b"1;")
        while True:
            await self.send(sock, b"a" * 16_000)

    async def tiny_chunks(self, sock):
        await self.send(sock, chunked_head(self.id()))
        while True:
            await self.send(sock, b"1\r\nx\r\n" * 3000)

    async def pipelined(self, sock):
        while True:
            await self.send(sock, b"".join(request_bytes(self.id()) for _ in range(40)))

    async def empty_lines(self, sock):
        while True:
            await self.send(sock, b"\r\n" * 8000)

    # Requests at full speed, one after another.

    async def _ask(self, sock, text):
        await self.send(sock, text)
        if not await self.loop.sock_recv(sock, 65_536):
            raise ConnectionResetError
        self.counts["answers"] += 1

    async def liveness(self, sock):
        while time.monotonic() < self.until:
            await self._ask(sock, b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n")

    async def new_objects(self, sock):
        while time.monotonic() < self.until:
            thing = self.new_name()
            for _ in range(2):  # what is asked for a second time may be kept
                await self._ask(sock, request_bytes(self.id(), thing=thing))

    async def new_services(self, sock):
        while time.monotonic() < self.until:
            await self._ask(sock, request_bytes(self.id(), self.new_name()))

    async def new_tenants(self, sock):
        while time.monotonic() < self.until:
            await self._ask(sock, request_bytes(self.id(), fields=f"X-Tenant: {self.new_name()}\r\n"))

    async def unsound_objects(self, sock):
        """Of a form that the front passes on; stand-in caches answer `crashed` to names that begin with bad."""
        while time.monotonic() < self.until:
            await self._ask(sock, request_bytes(self.id(), thing=f"bad{self.chance.getrandbits(48):013x}"))

    async def large_objects(self, sock):
        """One large response after another, read at full speed."""
        while time.monotonic() < self.until:
            await self.send(sock, request_bytes(self.id(), thing=self.new_name()))
            received = 0
            while received < LARGE_BYTES:
                data = await self.loop.sock_recv(sock, 65_536)
                if not data:
                    raise ConnectionResetError
                received += len(data)
                if data.startswith(b"HTTP/1.1 503"):
                    break
            self.counts["answers"] += 1

    # Responses that are not read.

    async def large_unread(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        await self.send(sock, request_bytes(self.id(), thing=self.new_name()))
        await asyncio.sleep(3)


async def run(address, manner, count, seconds):
    """Run the clients; return what was counted."""
    counts = Counter()
    until = time.monotonic() + seconds
    tasks = [asyncio.ensure_future(Client(at, address, manner, until, counts).run()) for at in range(count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return counts


def main():
    flags = argparse.ArgumentParser(prog="python -m standins.misbehaving_clients")
    flags.add_argument("--address", required=True)
    flags.add_argument("--manner", required=True)
    flags.add_argument("--count", type=int, default=1)
    flags.add_argument("--seconds", type=float, default=5.0)
    given = flags.parse_args()
    host, _, port = given.address.rpartition(":")
    counts = uvloop.run(run((host, int(port)), given.manner, given.count, given.seconds))
    print(json.dumps(counts), flush=True)


if __name__ == "__main__":
    main()
