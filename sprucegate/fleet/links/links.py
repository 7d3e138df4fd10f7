"""TCP connections between processes of the fleet: one to each peer that messages go to, bounded in number.

A peer of another fleet or another format, or whose bytes can't be decoded, loses its connection, with one log event.
No GET waits for anything here. An error ends its connection; replicated records that were queued on it are repaired by
digests.
"""

import asyncio
import socket
import time

import msgspec

from sprucegate.fleet.links import codec
from sprucegate.fleet.links.send_queue import SendQueue
from sprucegate.upstream.sockets import set_no_delay

OUTBOUND_CONNECTIONS_MAX = 12
INBOUND_CONNECTIONS_MAX = 64
VOTER_CONNECTIONS_MAX = 1024  # inbound connections of a voter, which every front follows
GREETING_TIMEOUT_S = 2.0  # for connecting and for the peer's greeting
IDLE_TIMEOUT_S = 30.0  # without a byte in either direction
READ_BYTES = 256 << 10
TURN_S = 0.003  # on messages of one read, before the event loop gets a turn for GETs
SLOW_PEER_BYTES = 256 << 10  # of transfers in the send queue
REJECTIONS_MAX = 32  # connections beyond the bound that are sent a greeting before they are closed
REJECTION_S = 1.0  # until such a connection is closed


class PeerConnection:
    """One connection to another process of the fleet, with the queue of what is to be sent on it."""

    def __init__(self, links, sock, address=""):
        self.links = links
        self.sock = sock
        self.address = address
        self.name = ""
        self.queue = SendQueue()
        self.has_data = asyncio.Event()
        self.used_at = time.monotonic()
        self.bytes_out = 0
        self.task = None
        self.write_task = None

    def put(self, message, carries_records):
        """Queue a message; `carries_records`: it has a bound of its own, apart from control messages."""
        self.queue.put(message, carries_records)
        self.used_at = time.monotonic()
        self.has_data.set()

    async def write_queued(self):
        """Write what is queued until the connection ends."""
        loop = asyncio.get_running_loop()
        while True:
            await self.has_data.wait()
            self.has_data.clear()
            while self.queue:
                data = self.queue.take()
                await loop.sock_sendall(self.sock, data)
                self.bytes_out += len(data)
                self.links.bytes_out += len(data)


class PeerLinks:
    """All connections of this process to others, outbound and inbound.

    :ivar outbound: connections by address
    :ivar inbound: connections that were accepted
    :ivar by_name: open connections by the name that the peer's greeting gave
    :ivar refused: count of connections that were closed for bytes that can't be decoded
    :ivar sent: count of messages by kind
    """

    def __init__(
        self,
        listen,
        log,
        greeting,
        on_message,
        on_question,
        inbound_max=INBOUND_CONNECTIONS_MAX,
        on_reset=None,
        on_other_format=None,
    ):
        """`greeting()` returns this process's own; `on_message(name, message)` takes messages.

        `on_question(question)` is awaited for the answer's bytes. `on_reset(name)`: a peer ended its connection;
        `on_other_format(name)`: a peer speaks another format.
        """
        self.on_reset = on_reset or (lambda name: None)
        self.on_other_format = on_other_format or (lambda name: None)
        self.rejections = 0
        self.port_checks = set()
        self.listen = listen
        self.log = log
        self.greeting = greeting
        self.on_message = on_message
        self.on_question = on_question
        self.loop = asyncio.get_running_loop()
        self.listener = None
        self.task = None
        self.outbound = {}
        self.inbound = set()
        self.by_name = {}
        self.inbound_max = inbound_max
        self.bytes_out = 0
        self.bytes_in = 0
        self.refused = 0
        self.reading_from = None  # the connection whose message is being handled
        self.sent = {}

    def start(self):
        """Listen; return None, or why it fails."""
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
        for task in [
            self.task,
            *self.port_checks,
            *[c.task for c in [*self.outbound.values(), *self.inbound]],
        ]:
            if task is not None:
                task.cancel()
        if self.listener is not None:
            self.listener.close()

    def send(self, name, address, message, carries_records):
        """Send to the peer of that name over an open connection, or over a new one to its address."""
        # A reply goes back on the connection of the request, as two processes may bear that name.
        requester = (
            self.reading_from if self.reading_from is not None and self.reading_from.name == name else None
        )
        connection = requester or self.by_name.get(name) or self.outbound.get(address)
        if connection is None:
            if not address or not self._make_room():
                return
            connection = self.outbound[address] = PeerConnection(self, None, address)
            connection.task = self.loop.create_task(self._connect(connection))
        kind = codec.STATUS_NAMES[type(message)]
        self.sent[kind] = self.sent.get(kind, 0) + 1
        connection.put(message, carries_records)

    def slow_peers(self):
        """Return the names of peers for which more of transfers is queued than SLOW_PEER_BYTES, as a dict's keys."""
        return {
            name: None for name, one in self.by_name.items() if one.queue.transfer_bytes > SLOW_PEER_BYTES
        }

    def close_all(self):
        """Close all connections after this process took another name: peers would go on under the former one."""
        for connection in [*self.outbound.values(), *self.inbound]:
            connection.task.cancel()

    def close_idle(self):
        """Close connections that were idle for long, as those to former neighbours are."""
        now = time.monotonic()
        for connection in [
            c for c in [*self.outbound.values(), *self.inbound] if now - c.used_at > IDLE_TIMEOUT_S
        ]:
            connection.task.cancel()

    def _make_room(self):
        """Tell whether one more outbound connection is allowed; close the longest unused one if that takes it."""
        if len(self.outbound) < OUTBOUND_CONNECTIONS_MAX:
            return True
        idle = min([c for c in self.outbound.values() if not c.queue], key=lambda c: c.used_at, default=None)
        if idle is None:
            return False
        self._forget(idle)
        idle.task.cancel()
        return True

    async def _connect(self, connection):
        host, _, port = connection.address.rpartition(":")
        try:
            connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.sock.setblocking(False)
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                await self.loop.sock_connect(connection.sock, (host, int(port)))
                await self.loop.sock_sendall(connection.sock, codec.encode_greeting(self.greeting()))
        except (OSError, TimeoutError, ValueError):
            return self._close(connection)  # down or cut off: the failure detector finds that by itself
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
            if len(self.inbound) >= self.inbound_max:
                self._reject(sock)
                continue
            sock.setblocking(False)
            connection = PeerConnection(self, sock)
            self.inbound.add(connection)
            connection.task = self.loop.create_task(self._serve(connection, is_inbound=True))

    def _reject(self, sock):
        """Close a connection beyond the bound, after a greeting: closed at once it would look like an ended process."""
        if self.rejections >= REJECTIONS_MAX:
            return sock.close()
        self.rejections += 1
        try:
            sock.setblocking(False)
            sock.send(codec.encode_greeting(self.greeting()))
            # Not closed yet: with unread bytes of the peer that would reset the connection.
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.loop.call_later(REJECTION_S, self._end_rejection, sock)

    def _end_rejection(self, sock):
        self.rejections -= 1
        sock.close()

    def check_port(self, address, on_refused):
        """Connect and close. Call `on_refused()` if the port refuses or closes without a byte: the process ended.

        A time-out shows nothing: the process may stand still, or be cut off.
        """
        task = self.loop.create_task(self._check_port(address, on_refused))
        self.port_checks.add(task)
        task.add_done_callback(self.port_checks.discard)

    async def _check_port(self, address, on_refused):
        host, _, port = address.rpartition(":")
        sock = None
        has_ended = False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                await self.loop.sock_connect(sock, (host, int(port)))
                greeting = msgspec.structs.replace(self.greeting(), role="look")
                await self.loop.sock_sendall(sock, codec.encode_greeting(greeting))
                has_ended = not await self.loop.sock_recv(sock, READ_BYTES)
        except (ConnectionRefusedError, ConnectionResetError):
            has_ended = True
        except (OSError, TimeoutError, ValueError):
            pass
        finally:
            if sock is not None:
                sock.close()
        if has_ended:
            on_refused()

    async def _serve(self, connection, is_inbound=False):
        """Read one connection to its end."""
        sock = connection.sock
        reader = codec.Reader()
        try:
            set_no_delay(sock)
            is_greeted = False
            while True:
                async with asyncio.timeout(None if is_greeted else GREETING_TIMEOUT_S):
                    data = await self.loop.sock_recv(sock, READ_BYTES)
                if not data:
                    return self._report_reset(connection)
                connection.used_at = time.monotonic()
                self.bytes_in += len(data)
                turn_begun = time.monotonic()
                for payload in reader.feed(data):
                    if time.monotonic() - turn_begun > TURN_S:
                        await asyncio.sleep(0)
                        turn_begun = time.monotonic()
                    if not is_greeted:
                        is_greeted = True
                        if not await self._on_greeting(
                            connection, codec.decode_greeting(payload), is_inbound
                        ):
                            continue
                        connection.write_task = self.loop.create_task(self._write(connection))
                    elif connection.name:
                        message = codec.decode_message(payload)
                        self.reading_from = connection
                        try:
                            self.on_message(connection.name, message)
                        finally:
                            self.reading_from = None
                    else:
                        return await self.loop.sock_sendall(
                            sock, await self.on_question(codec.decode_question(payload))
                        )
        except codec.FrameError as fault:
            self.refused += 1
            self.log(
                "fleet_peer_refused",
                peer=connection.name or connection.address or "unknown",
                error=str(fault),
            )
        except OSError as fault:  # also a TimeoutError; messages that arrived before it stay handled
            if isinstance(fault, ConnectionError):
                self._report_reset(connection)
        finally:
            self._close(connection)

    def _report_reset(self, connection):
        if connection.name:
            self.on_reset(connection.name)

    async def _on_greeting(self, connection, theirs, is_inbound):
        """Tell whether the peer is a front of this fleet; otherwise a question from the command line follows."""
        own = self.greeting()
        if theirs.format != own.format:
            self.on_other_format(theirs.name)
            raise codec.FrameError(f"format {theirs.format}, not {own.format}")
        if theirs.fleet != own.fleet:
            raise codec.FrameError(f"fleet {theirs.fleet[:60]!r}, not {own.fleet!r}")
        if is_inbound:
            await self.loop.sock_sendall(connection.sock, codec.encode_greeting(own))
        if theirs.role != "front":
            return False
        connection.name = theirs.name
        # Messages of a process that bears this one's name are handled, but none are sent to it by name.
        if theirs.name != own.name:
            self.by_name[theirs.name] = connection
        return True

    async def _write(self, connection):
        try:
            await connection.write_queued()
        except OSError:
            connection.task.cancel()

    def _forget(self, connection):
        self.inbound.discard(connection)
        if self.outbound.get(connection.address) is connection:
            del self.outbound[connection.address]
        if self.by_name.get(connection.name) is connection:
            del self.by_name[connection.name]

    def _close(self, connection):
        self._forget(connection)
        if connection.write_task is not None:
            connection.write_task.cancel()
        if connection.sock is not None:
            connection.sock.close()
