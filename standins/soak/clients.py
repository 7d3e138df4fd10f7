"""Clients of the fronts, well-behaved and misbehaving, and a record of how each request ended.

A record has the front's number, the request's id and kind, when its last byte was written, and how it ended:
`answered`, `closed` without an answer, `timeout`, `left`, `crossed` the close of an idle connection, `unsent` if the
connection ended before the request's last byte, `refused` if no connection was made.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

RETRY_WINDOW_S = 0.05  # a request on a reused connection that closes within this time is sent once more
LATE_S = 0.5  # how long a client waits past its time-out, to see whether an answer comes at all


@dataclass
class RequestRecord:
    front: int
    id: str
    order: bool
    thing: str
    group: int
    patience: float
    sent: float = 0.0
    ended: float = 0.0
    how: str = ""
    status: int = 0
    body: bytes = b""
    left: float | None = None
    fresh: bool = True  # the first request on its connection


@dataclass
class Target:
    """A front's address, and until when clients may use it."""

    number: int
    address: tuple
    # New connections are allowed until then; far in the future while the front is in service.
    open_until: float = 0.0
    used_until: float = 0.0  # requests on open connections are allowed until then
    rows: list = field(default_factory=list)


def request_bytes(row, close=False):
    path = f"/svc/{'order' if row.order else 'media'}/{row.thing}/slice-1"
    body = b"o" * 300 if row.order else b""
    return (
        f"{'PUT' if row.order else 'GET'} {path} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {row.id}\r\n"
        f"X-Patience-Ms: {int(row.patience * 1000)}\r\nX-Set: {row.group}\r\nX-Heap-Kb: 4.5\r\n"
        f"{'Connection: close' + chr(13) + chr(10) if close else ''}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Client:
    """A client that sends one request after another, to one front at a time."""

    def __init__(self, number, targets, seed):
        self.targets, self.chance = targets, random.Random(f"{seed} client {number}")
        self.number, self.count, self.misbehaviour = number, 0, ""
        self.reader = self.writer = self.target = None

    def row(self):
        self.count += 1
        chance = self.chance
        thing = int(chance.paretovariate(0.6)) % 4000 + 1
        # An object belongs to one group, so a purge of another group doesn't apply to its copies.
        return RequestRecord(
            self.target.number,
            f"{self.number:06x}{self.count:010x}",
            chance.random() < 0.1,
            f"{thing:x}",
            thing % 8,
            chance.choice((0.05, 0.3, 1.5, 1.5, 3.0)),
        )

    async def run(self, until):
        while time.monotonic() < until:
            now = time.monotonic()
            if self.writer is None or now > self.target.used_until or self.chance.random() < 0.05:
                self.close_connection()
                open_now = [target for target in self.targets if now < target.open_until]
                if not open_now:
                    await asyncio.sleep(0.1)
                    continue
                self.target = self.chance.choice(open_now)
            await self.perform(self.row())
            await asyncio.sleep(self.chance.expovariate(1 / 0.15))
        self.close_connection()

    def close_connection(self):
        if self.writer is not None:
            self.writer.transport.abort() if self.chance.random() < 0.3 else self.writer.close()
        self.reader = self.writer = None

    async def perform(self, row):
        """Send a request and record its end; repeat it once if it crossed the close of an idle connection."""
        self.target.rows.append(row)
        row.fresh = self.writer is None
        if row.fresh and not await self._connect(row):
            return
        await self._exchange(row)
        if row.how == "crossed":
            self.close_connection()
            repeated = self.row()
            repeated.order, repeated.thing, repeated.group = row.order, row.thing, row.group
            if time.monotonic() < self.target.open_until:
                await self.perform(repeated)
        elif row.how != "answered":
            self.close_connection()

    async def _connect(self, row):
        try:
            async with asyncio.timeout(3):
                self.reader, self.writer = await asyncio.open_connection(*self.target.address)
        except OSError:
            row.how, row.ended = "refused", time.monotonic()
            return False
        return True

    async def _exchange(self, row):
        will_leave = self.misbehaviour == "leave" or self.chance.random() < 0.04
        try:
            text = request_bytes(row)
            if self.misbehaviour == "dribble":
                for at in range(0, len(text), 60):
                    self.writer.write(text[at : at + 60])
                    await asyncio.sleep(0.02)
            else:
                self.writer.write(text)
            row.sent = time.monotonic()
            wait = row.patience + LATE_S + 0.6
            if will_leave:
                wait = self.chance.random() * min(0.4, row.patience)
            async with asyncio.timeout(wait):
                await self._read_response(row)
            row.how = "answered"
        except TimeoutError:
            row.how = "left" if will_leave else "timeout"
            row.left = time.monotonic()
        except (OSError, RuntimeError, asyncio.IncompleteReadError, ValueError) as fault:
            # uvloop raises RuntimeError for a write to a connection that has already ended.
            crossed = not row.fresh and time.monotonic() - row.sent < RETRY_WINDOW_S
            crossed = crossed and not getattr(fault, "partial", b"")
            row.how = "unsent" if not row.sent else "crossed" if crossed else "closed"
        row.ended = time.monotonic()

    async def _read_response(self, row):
        head = await self.reader.readuntil(b"\r\n\r\n")
        row.status = int(head[9:12])
        lines = head.lower().split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
        row.body = await self.reader.readexactly(length)
        if b"connection: close" in lines:
            self.close_connection()


async def run_misbehaving_client(target, how, seconds, chance):
    """Run a misbehaving client; its own requests are not judged, only the effect on other clients."""
    end = time.monotonic() + seconds
    writers = []
    try:
        while time.monotonic() < end:
            reader, writer = await asyncio.open_connection(*target.address)
            writers.append(writer)
            if how == "flood":
                writer.write(b"GET / HTTP/1.1\r\n" + b"X-A: " + b"a" * 20_000 + b"\r\n\r\n")
            elif how == "pipeline":
                row = RequestRecord(target.number, f"ff{chance.randrange(1 << 56):014x}", False, "1", 1, 1.0)
                writer.write(request_bytes(row) * 5)
            elif how == "burst":
                writer.write(chance.randbytes(200))
            if how != "rest" and len(writers) > 20:
                writers.pop(0).transport.abort()
            await asyncio.sleep(0.005 if how == "rest" else 0.02)
            if len(writers) > 200:
                break
        await asyncio.sleep(max(0, end - time.monotonic()))
    except OSError:
        pass
    finally:
        for writer in writers:
            writer.transport.abort()
