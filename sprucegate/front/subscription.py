"""Subscription to the event bus: reads the stream and, after an end, resumes after the last event seen.

A stream that is silent for too long may have ended unnoticed, or the bus may be slow. So another one is begun beside
it, and whichever is heard first is read on: a bus is heard however late its answers begin.
"""

import asyncio

from sprucegate.front.event_stream import EventStream
from sprucegate.front.protocol import bus
from sprucegate.units import SECOND

RECONNECT_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.0)


class Subscription:
    """Reads the event bus, from the last event seen on, for as long as the front runs.

    :ivar last: offset of the last event seen
    :ivar stream: the EventStream that is read; None between two of them
    :ivar silent_stream: an earlier one that fell silent and may still go on; None without one
    :ivar retried_after: value of `last` when the bus was last asked again for the event after it; -1 if never
    """

    def __init__(self, driver, config):
        self.driver = driver
        self.config = config
        self.last = config.offset
        self.loop = asyncio.get_running_loop()
        self.task = None
        self.stream = None
        self.silent_stream = None
        self.retried_after = -1

    def start(self):
        """Subscribe from the event after the last one seen; open streams are abandoned."""
        if self.task is not None:
            self.task.cancel()
        self._close(self.stream)
        self._close(self.silent_stream)
        self.stream = self.silent_stream = None
        self.task = self.loop.create_task(self.run())

    async def run(self):
        """Read, and reconnect after each end of the stream with a growing delay."""
        failures = 0
        while True:
            last_before = self.last
            if self.stream is None:
                self.stream = self._open()
            lost, error = await self._wait_until_lost()
            self.driver.log("bus_lost", error=error, last=self.last, **lost.describe())
            self.driver.on_discovery_lost()
            failures = failures + 1 if last_before == self.last else 0
            await asyncio.sleep(RECONNECT_DELAYS_S[min(failures, len(RECONNECT_DELAYS_S) - 1)])

    def _open(self):
        stream = EventStream(self.config.bus, self.last, self.driver.clock)
        stream.task = self.loop.create_task(self._read(stream))
        return stream

    async def _read(self, stream):
        """Read one stream to its end; return why it ended."""
        try:
            return await stream.read(self._on_heard)
        except Exception as fault:  # the subscription must go on, or no event would be applied any more
            self.driver.log_exception(fault)
            return "unexpected exception"

    async def _wait_until_lost(self):
        """Wait until the stream that is read has ended or is silent; return it and the reason."""
        while True:
            stream = self.stream
            time_left = stream.progress.silent_at() - self.driver.clock()
            await asyncio.wait([stream.task], timeout=max(0, time_left) / SECOND)
            if self.stream is not stream:
                continue  # an earlier one was heard meanwhile
            if stream.task.done():
                self.stream = None
                return stream, stream.task.result()
            if self.driver.clock() >= stream.progress.silent_at():
                self._set_aside(stream)
                return stream, "silent"

    def _set_aside(self, stream):
        """Keep one silent stream open: the earlier one, as it will be answered first, but not without end."""
        self.stream = None
        earlier = self.silent_stream
        if earlier is None or earlier.task.done() or not earlier.progress.may_go_on(self.driver.clock()):
            self._close(earlier)
            self.silent_stream = stream
        else:
            self._close(stream)

    @staticmethod
    def _close(stream):
        if stream is not None:
            stream.task.cancel()

    def _on_heard(self, stream, events):
        """Apply events of the stream that was heard first; others are closed."""
        if stream is self.silent_stream:
            self._close(self.stream)
            self.stream = stream
        else:
            self._close(self.silent_stream)
        self.silent_stream = None
        for _, data in events:
            self._on_event(data)
        if stream.has_caught_up():
            self.driver.on_events_received(stream.progress.heard_at)

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
            self._retry_or_skip(fault)
            return
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
        self.driver.on_event_skipped()

    def _apply(self, offset, event):
        if offset <= self.last:
            return  # sent again after a reconnect
        try:
            self.driver.on_discovery_event(event)
        except Exception as fault:  # perhaps applied in part: it is requested and applied once more
            self.driver.log_exception(fault)
            self._retry_or_skip(bus.MalformedEventError(f"event {offset} could not be applied"))
        self.last = offset
        if self.stream is not None and isinstance(event, bus.InvalidationEvent):
            now = self.driver.clock()
            self.stream.progress.on_purge(self.driver.platform_time.age(event.at, now), now)
        self.driver.log("told", offset=offset, what=type(event).__name__)
