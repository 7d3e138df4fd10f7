"""One connection to the event bus: the subscription's request, and the events and comments of its response."""

import asyncio
import socket

from sprucegate.front.buffer_pool import BUFFER_BYTES
from sprucegate.front.protocol import bus
from sprucegate.units import MILLISECOND, SECOND
from sprucegate.upstream.sockets import set_no_delay

# The bus may begin with a comment. The events that were missed follow it, and take this long at most.
CATCH_UP_TIME_NS = SECOND


class EventStream:
    """A stream of the event bus, from the event after `last` on.

    :ivar heard_at: when it last brought a part of an event or a comment, or else when it was begun (monotonic ns)
    :ivar opened_at: when it was begun (monotonic ns)
    :ivar received_bytes: bytes received so far
    :ivar catches_up_until: what comes after this follows all events that were missed; None before it was heard
    :ivar task: the task that reads it
    """

    def __init__(self, address, last, clock):
        self.address = address
        self.last = last
        self.clock = clock
        self.opened_at = self.heard_at = clock()
        self.received_bytes = 0
        self.catches_up_until = None
        self.task = None
        self._has_more = False
        self._reader = bus.StreamReader()
        # A buffer of its own: connections could have taken all of the pool's, and the list would not be read.
        self._buffer = memoryview(bytearray(BUFFER_BYTES))

    async def read(self, on_heard):
        """Read to the end of the stream and return why it ended; `on_heard(stream, events)` at each part of it."""
        loop = asyncio.get_running_loop()
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            await loop.sock_connect(sock, self.address)
            await loop.sock_sendall(sock, self._request())
            while size := await loop.sock_recv_into(sock, self._buffer):
                self._has_more = size == len(self._buffer)
                self._receive(bytes(self._buffer[:size]), on_heard)
        except (OSError, bus.MalformedEventError) as fault:
            return str(fault)
        finally:
            if sock is not None:
                sock.close()
        return "the event bus closed the stream"

    def _request(self):
        host = "{}:{}".format(*self.address)
        return (
            f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {self.last}\r\n\r\n"
        ).encode()

    def _receive(self, chunk, on_heard):
        body_bytes = self._reader.body_bytes
        self.received_bytes += len(chunk)
        events = self._reader.feed(chunk)
        if self._reader.body_bytes == body_bytes:
            return  # the head alone says nothing of events
        self.heard_at = self.clock()
        if self.catches_up_until is None:
            self.expect_missed_events()
        on_heard(self, events)

    def expect_missed_events(self):
        """Take it that the stream still brings events that were issued long before."""
        self.catches_up_until = self.clock() + CATCH_UP_TIME_NS

    def has_caught_up(self):
        """Return whether what was heard last followed all events issued before it."""
        return not self._has_more and self.heard_at >= self.catches_up_until

    def describe(self):
        """Return the fields that a log line tells of this stream."""
        return {
            "received_bytes": self.received_bytes,
            "open_ms": (self.clock() - self.opened_at) // MILLISECOND,
        }
