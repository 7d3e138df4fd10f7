"""Subscription to the event bus: reads the stream and, after an end, resumes after the last event seen."""

import asyncio
import socket

from sprucegate.front.buffer_pool import BUFFER_BYTES
from sprucegate.front.protocol import bus
from sprucegate.units import MILLISECOND
from sprucegate.upstream.sockets import set_no_delay

# The bus sends a comment each second; a missed event counts after 4 s.
READ_TIMEOUT_S = 1.7
RECONNECT_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.0)


class Subscription:
    """Reads the event bus, from the last event seen on, for as long as the front runs.

    :ivar last: offset of the last event seen
    :ivar retried_after: value of `last` when the bus was last asked again for the event after it; -1 if never
    :ivar received_bytes: bytes that the latest stream has brought
    :ivar opened_at: when that stream was begun (monotonic ns)
    """

    def __init__(self, driver, config):
        self.driver = driver
        self.config = config
        self.last = config.offset
        self.loop = asyncio.get_running_loop()
        self.task = None
        # A buffer of its own: connections could have taken all of the pool's, and the list would not be read.
        self.buffer = memoryview(bytearray(BUFFER_BYTES))
        self.retried_after = -1
        self.received_bytes = 0
        self.opened_at = driver.clock()

    def start(self):
        """Subscribe from the event after the last one seen; an open stream is abandoned."""
        if self.task is not None:
            self.task.cancel()
        self.task = self.loop.create_task(self.run())

    async def run(self):
        """Read, and reconnect after each end of the stream with a growing delay."""
        failures = 0
        while True:
            last_before = self.last
            try:
                error = await self._read()
            except Exception as fault:  # the subscription must go on, or no event would be applied any more
                self.driver.log_exception(fault)
                error = "unexpected exception"
            self.driver.log(
                "bus_lost",
                error=error,
                last=self.last,
                received_bytes=self.received_bytes,
                open_ms=(self.driver.clock() - self.opened_at) // MILLISECOND,
            )
            self.driver.on_discovery_lost()
            failures = failures + 1 if last_before == self.last else 0
            await asyncio.sleep(RECONNECT_DELAYS_S[min(failures, len(RECONNECT_DELAYS_S) - 1)])

    async def _read(self):
        """Read one stream to its end; return why it ended."""
        sock = None
        self.received_bytes, self.opened_at = 0, self.driver.clock()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self.loop.sock_connect(sock, self.config.bus)
                host = "{}:{}".format(*self.config.bus)
                await self.loop.sock_sendall(
                    sock,
                    (
                        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
                        f"Last-Event-ID: {self.last}\r\n\r\n"
                    ).encode(),
                )
            stream = bus.StreamReader()
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    size = await self.loop.sock_recv_into(sock, self.buffer)
                if not size:
                    return "the event bus closed the stream"
                self.received_bytes += size
                for _, data in stream.feed(bytes(self.buffer[:size])):
                    self._on_event(data)
        except TimeoutError:
            return "silent"
        except (OSError, bus.MalformedEventError) as fault:
            return str(fault)
        finally:
            if sock is not None:
                sock.close()

    def on_reload(self, address, known):
        """Subscribe at the bus's new address at once: the old one sends no more events."""
        self.config = self.config._replace(bus=address)
        for offset, event in known:
            if offset == self.last + 1:  # past a gap, the missing events would never be requested
                try:
                    self._apply(offset, event)
                except bus.MalformedEventError:
                    break  # the event is requested from the bus
        self.start()

    def _on_event(self, data):
        try:
            offset, event = bus.read(data, self.config.locations, self.config.kinds)
        except bus.MalformedEventError as fault:
            return self._retry_or_skip(fault)
        if offset > self.last + 1:
            self._retry_or_skip(bus.MalformedEventError(f"event {offset} follows {self.last}"))
        self._apply(offset, event)

    def _retry_or_skip(self, fault):
        """Raise an error, so that the event is requested once more.

        If it occurs again the bus itself is at fault: it is logged, and must not hold up the events after it.
        """
        if self.retried_after != self.last:
            self.retried_after = self.last
            raise fault
        self.driver.log("bus_gap", error=str(fault), last=self.last)

    def _apply(self, offset, event):
        if offset <= self.last:
            return  # sent again after a reconnect
        try:
            self.driver.on_discovery_event(event)
        except Exception as fault:  # perhaps applied in part: it is requested and applied once more
            self.driver.log_exception(fault)
            self._retry_or_skip(bus.MalformedEventError(f"event {offset} could not be applied"))
        self.last = offset
        self.driver.log("told", offset=offset, what=type(event).__name__)
