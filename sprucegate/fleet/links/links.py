"""Connections among fronts: one to each peer that something is said to, few at a time, bounded by the fan-out.

A peer of another fleet, another format, or with bytes that can't be read loses its connection, with one log event.
Nothing here is waited for by a GET. Errors stay at the connection: what was queued on it is repaired by digests.
"""

import asyncio
import socket
import time

import msgspec

from sprucegate.fleet.links import codec
from sprucegate.fleet.links.send_queue import SendQueue
from sprucegate.upstream.sockets import set_no_delay

OUTBOUND_CONNECTIONS_MAX, INBOUND_CONNECTIONS_MAX = (
    12,
    64,
)  # connections: those of this front's own choice, and those that chose it
VOTER_CONNECTIONS_MAX = 1024  # and those of a keeper, whom every front follows
GREET = 2.0  # seconds for the greeting
IDLE = 30.0  # seconds without a byte either way, after which one is closed
READ = 256 << 10
TURN = 0.003  # seconds of work on what one read brought, after which GETs come in between
SLOW = 256 << 10  # bytes
SHORT_MOST = 32  # connections beyond what is taken that are greeted before they are closed
SHORT = 1.0  # seconds until such a one is closed


class PeerConnection:
    """One connection to another process of the fleet, with the queue of what is to be sent on it."""

    def __init__(self, links, sock, address=""):
        self.links, self.sock, self.address = links, sock, address
        self.name, self.out, self.wake, self.used, self.bytes = (
            "",
            SendQueue(),
            asyncio.Event(),
            time.monotonic(),
            0,
        )
        self.task, self.writer = None, None

    def put(self, message, guard):
        """Queue a message; `guard` says that it carries replicated records, which are bounded apart."""
        self.out.put(message, guard)
        self.used = time.monotonic()
        self.wake.set()

    async def writes(self):
        """Send what is queued until the connection ends."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.out:
                data = self.out.take()
                await loop.sock_sendall(self.sock, data)
                self.bytes += len(data)
                self.links.bytes_out += len(data)


class PeerLinks:
    """All connections of this process to others: those that it dialled and those that it accepted."""

    def __init__(
        self, listen, log, greeting, heard, asked, taken_most=INBOUND_CONNECTIONS_MAX, reset=None, other=None
    ):
        """`greeting()` gives this front's; `heard(name, message)` and the awaited `asked(question)` take what comes.

        `reset(name)`: a peer ended its link; `other(name)`: a peer speaks another format.
        """
        self.reset, self.other = reset or (lambda name: None), other or (lambda name: None)
        self.short, self.looking = 0, set()
        self.listen, self.log, self.greeting, self.heard, self.asked = listen, log, greeting, heard, asked
        self.loop, self.listener, self.task = asyncio.get_running_loop(), None, None
        self.dialled, self.taken, self.by_name, self.taken_most = {}, set(), {}, taken_most
        self.bytes_out, self.bytes_in, self.refused, self.reading = 0, 0, 0, None
        self.sent = {}  # messages by kind

    def start(self):
        """None, or why it can't listen."""
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind(self.listen)
        except OSError as fault:
            self.listener.close()
            return str(fault)
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.task = self.loop.create_task(self._accept())
        return None

    def stop(self):
        """End all connections, their tasks and the listener."""
        for task in [self.task, *self.looking, *[c.task for c in [*self.dialled.values(), *self.taken]]]:
            if task is not None:
                task.cancel()
        if self.listener is not None:
            self.listener.close()

    def send(self, name, address, message, guard):
        """To the peer of that name, over a connection that is there, or one dialled at its address."""
        # An answer goes back where the question came from: two processes may bear that name.
        answered = self.reading if self.reading is not None and self.reading.name == name else None
        connection = answered or self.by_name.get(name) or self.dialled.get(address)
        if connection is None:
            if not address or not self._room():
                return
            connection = self.dialled[address] = PeerConnection(self, None, address)
            connection.task = self.loop.create_task(self._dial(connection))
        kind = codec.STATUS_WORDS[type(message)]
        self.sent[kind] = self.sent.get(kind, 0) + 1
        connection.put(message, guard)

    def slow(self):
        """Peers for which more of a transfer waits than is sent in one go."""
        return {name: None for name, one in self.by_name.items() if one.out.transfer_bytes > SLOW}

    def greet_again(self):
        """This front has another name: on what is open the others would take it for the twin that keeps the old one."""
        for connection in [*self.dialled.values(), *self.taken]:
            connection.task.cancel()

    def sweep(self):
        """Those that were idle for long are closed, so that neighbours of the past cost nothing."""
        now = time.monotonic()
        for connection in [c for c in [*self.dialled.values(), *self.taken] if now - c.used > IDLE]:
            connection.task.cancel()

    def _room(self):
        if len(self.dialled) < OUTBOUND_CONNECTIONS_MAX:
            return True
        idle = min([c for c in self.dialled.values() if not c.out], key=lambda c: c.used, default=None)
        if idle is None:
            return False
        self._forget(idle)
        idle.task.cancel()
        return True

    async def _dial(self, connection):
        host, _, port = connection.address.rpartition(":")
        try:
            connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.sock.setblocking(False)
            async with asyncio.timeout(GREET):
                await self.loop.sock_connect(connection.sock, (host, int(port)))
                await self.loop.sock_sendall(connection.sock, codec.greeting(self.greeting()))
        except (OSError, TimeoutError, ValueError):
            return self._close(connection)  # it is down or cut off: membership finds that by itself
        except asyncio.CancelledError:
            self._close(connection)
            raise
        await self._serve(connection)

    async def _accept(self):
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as fault:
                self.log("fleet_accept_failed", error=str(fault))
                await asyncio.sleep(0.1)
                continue
            if len(self.taken) >= self.taken_most:
                self._turned_away(sock)
                continue
            sock.setblocking(False)
            connection = PeerConnection(self, sock)
            self.taken.add(connection)
            connection.task = self.loop.create_task(self._serve(connection, taken=True))

    def _turned_away(self, sock):
        """No room: greeted all the same where it may be, or it would look like the port of a process that ended."""
        if self.short >= SHORT_MOST:
            return sock.close()
        self.short += 1
        try:
            sock.setblocking(False)
            sock.send(codec.greeting(self.greeting()))
            sock.shutdown(
                socket.SHUT_WR
            )  # not closed at once: what it sent lies unread, and would reset this
        except OSError:
            pass
        self.loop.call_later(SHORT, self._short_over, sock)

    def _short_over(self, sock):
        self.short -= 1
        sock.close()

    def look(self, address, refused):
        """Dials and hangs up. `refused()` where its port refuses, or closes without a word: a process that ended.

        Where nothing comes in time nothing is known: it may stand still, or be cut off.
        """
        task = self.loop.create_task(self._looks(address, refused))
        self.looking.add(task)
        task.add_done_callback(self.looking.discard)

    async def _looks(self, address, refused):
        host, _, port = address.rpartition(":")
        sock, ended = None, False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            async with asyncio.timeout(GREET):
                await self.loop.sock_connect(sock, (host, int(port)))
                greeting = msgspec.structs.replace(self.greeting(), role="look")
                await self.loop.sock_sendall(sock, codec.greeting(greeting))
                ended = not await self.loop.sock_recv(sock, READ)
        except (ConnectionRefusedError, ConnectionResetError):
            ended = True
        except (OSError, TimeoutError, ValueError):
            pass
        finally:
            if sock is not None:
                sock.close()
        if ended:
            refused()

    async def _serve(self, connection, taken=False):
        """Reads one connection to its end."""
        sock, reader = connection.sock, codec.Reader()
        try:
            set_no_delay(sock)
            greeted = False
            while True:
                async with asyncio.timeout(None if greeted else GREET):
                    data = await self.loop.sock_recv(sock, READ)
                if not data:
                    return self._reset(connection)
                connection.used = time.monotonic()
                self.bytes_in += len(data)
                begun = time.monotonic()
                for payload in reader.feed(data):
                    if time.monotonic() - begun > TURN:
                        await asyncio.sleep(0)
                        begun = time.monotonic()
                    if not greeted:
                        greeted = True
                        if not await self._greeted(connection, codec.greeted(payload), taken):
                            continue
                        connection.writer = self.loop.create_task(self._writes(connection))
                    elif connection.name:
                        message = codec.message(payload)
                        self.reading = connection
                        try:
                            self.heard(connection.name, message)
                        finally:
                            self.reading = None
                    else:
                        return await self.loop.sock_sendall(sock, await self.asked(codec.asked(payload)))
        except codec.FrameError as fault:
            self.refused += 1
            self.log(
                "fleet_peer_refused",
                peer=connection.name or connection.address or "unknown",
                error=str(fault),
            )
        except OSError as fault:  # a TimeoutError is one; what it brought stands
            if isinstance(fault, ConnectionError):
                self._reset(connection)
        finally:
            self._close(connection)

    def _reset(self, connection):
        if connection.name:
            self.reset(connection.name)

    async def _greeted(self, connection, said, taken):
        """Whether it is a front of this fleet; an operator's question comes next otherwise."""
        own = self.greeting()
        if said.format != own.format:
            self.other(said.name)
            raise codec.FrameError(f"format {said.format}, not {own.format}")
        if said.fleet != own.fleet:
            raise codec.FrameError(f"fleet {said.fleet[:60]!r}, not {own.fleet!r}")
        if taken:
            await self.loop.sock_sendall(connection.sock, codec.greeting(own))
        if said.role != "front":
            return False
        connection.name = said.name
        if said.name != own.name:  # a twin of this front is heard, but never taken for it
            self.by_name[said.name] = connection
        return True

    async def _writes(self, connection):
        try:
            await connection.writes()
        except OSError:
            connection.task.cancel()

    def _forget(self, connection):
        self.taken.discard(connection)
        if self.dialled.get(connection.address) is connection:
            del self.dialled[connection.address]
        if self.by_name.get(connection.name) is connection:
            del self.by_name[connection.name]

    def _close(self, connection):
        self._forget(connection)
        if connection.writer is not None:
            connection.writer.cancel()
        if connection.sock is not None:
            connection.sock.close()
