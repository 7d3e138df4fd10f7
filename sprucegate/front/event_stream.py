"""One connection to the event bus: the subscription's request, and the events and comments of its response."""

import asyncio
import socket

from sprucegate.front.buffer_pool import BUFFER_BYTES
from sprucegate.front.protocol import bus
from sprucegate.routing.event_stream_progress import EventStreamProgress
from sprucegate.units import MILLISECOND
from sprucegate.upstream.sockets import set_no_delay


class EventStream:
    """A stream of the event bus, from the event after `last` on.

    :ivar progress: EventStreamProgress by the bytes of the response's body
    :ivar opened_at: when it was begun (monotonic ns)
    :ivar received_bytes: bytes received so far
    :ivar task: the task that reads it
    """

    def __init__(self, address, last, clock):
        self.address = address
        self.last = last
        self.clock = clock
        self.opened_at = clock()
        self.progress = EventStreamProgress(self.opened_at)
        self.received_bytes = 0
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
        self.progress.on_heard(self.clock())
        on_heard(self, events)

    def has_caught_up(self):
        """Return whether all events issued before what was heard last have been read."""
        return not self._has_more and self.progress.has_caught_up()

    def describe(self):
        """Return the fields that a log line tells of this stream."""
        return {
            "received_bytes": self.received_bytes,
            "open_ms": (self.clock() - self.opened_at) // MILLISECOND,
        }
