"""Subscribe: the event bus, read to its end and taken up again after the last event seen."""

import asyncio
import socket

from sprucegate.front.buffer_pool import BUFFER_BYTES
from sprucegate.front.protocol import bus
from sprucegate.upstream.sockets import set_no_delay

SILENCE = 1.7  # seconds without a byte: a comment comes each second, what is missed counts after 4
WAITS = (0.1, 0.2, 0.4, 0.8, 1.0)


class Subscription:
    """Reads the event bus, from the last event seen on, for as long as the front runs."""

    def __init__(self, driver, wanted):
        self.driver, self.wanted, self.last = driver, wanted, wanted.offset
        self.loop, self.task = asyncio.get_running_loop(), None
        # Its own: lent one by one to whoever reads, none could be left for the list.
        self.buffer = memoryview(bytearray(BUFFER_BYTES))
        self.doubted = -1  # the last event before a fault for which the bus was asked again

    def start(self):
        """Asks for what comes after the last event seen; a stream that was open before is left."""
        if self.task is not None:
            self.task.cancel()
        self.task = self.loop.create_task(self.run())

    async def run(self):
        """Read, and connect again after each end with a growing backoff."""
        failures = 0
        while True:
            seen = self.last
            try:
                error = await self._read()
            except Exception as fault:  # or nothing would be told any more
                self.driver.fault(fault)
                error = "a fault of the program"
            self.driver.log("bus_lost", error=error, last=self.last)
            self.driver.list_failed()
            failures = failures + 1 if seen == self.last else 0
            await asyncio.sleep(WAITS[min(failures, len(WAITS) - 1)])

    async def _read(self):
        """Reads one stream to its end; the reason of the end."""
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(SILENCE):
                await self.loop.sock_connect(sock, self.wanted.bus)
                host = "{}:{}".format(*self.wanted.bus)
                await self.loop.sock_sendall(
                    sock,
                    (
                        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
                        f"Last-Event-ID: {self.last}\r\n\r\n"
                    ).encode(),
                )
            stream = bus.StreamReader()
            while True:
                async with asyncio.timeout(SILENCE):
                    size = await self.loop.sock_recv_into(sock, self.buffer)
                if not size:
                    return "the stream ended"
                for _, data in stream.feed(bytes(self.buffer[:size])):
                    self._event(data)
        except TimeoutError:
            return "silent"
        except (OSError, bus.MalformedEventError) as fault:
            return str(fault)
        finally:
            if sock is not None:
                sock.close()

    def reloaded(self, address, known):
        """The bus has moved: its new address is asked at once, since the old one tells nothing any more."""
        self.wanted = self.wanted._replace(bus=address)
        for offset, news in known:
            if offset == self.last + 1:  # past a gap, what lies between would never be asked for
                try:
                    self._apply(offset, news)
                except bus.MalformedEventError:
                    break  # the bus is asked for it
        self.start()

    def _event(self, data):
        try:
            offset, news = bus.read(data, self.wanted.locations, self.wanted.kinds)
        except bus.MalformedEventError as fault:
            return self._doubt(fault)
        if offset > self.last + 1:
            self._doubt(bus.MalformedEventError(f"event {offset} follows {self.last}"))
        self._apply(offset, news)

    def _doubt(self, fault):
        """Asked for again once. The same fault then is the bus's own, and must not keep back what follows."""
        if self.doubted != self.last:
            self.doubted = self.last
            raise fault
        self.driver.log("bus_gap", error=str(fault), last=self.last)

    def _apply(self, offset, news):
        if offset <= self.last:
            return  # sent again after a break
        try:
            self.driver.told(news)
        except Exception as fault:  # half applied: asked for again, and applied whole if it can be
            self.driver.fault(fault)
            self._doubt(bus.MalformedEventError(f"event {offset} could not be applied"))
        self.last = offset
        self.driver.log("told", offset=offset, what=type(news).__name__)
