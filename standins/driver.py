"""A driver without rules, round the real `Servers`: it sends where it is told and writes down each end.

For tests and measurements of transports alone. It runs in the loop that it is made in.
"""

import asyncio
import time
from types import SimpleNamespace

from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.counters import Counters
from sprucegate.front.open_requests import OpenAttempt, OpenRequest
from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import Endpoint, EndpointState, Request
from sprucegate.upstream.buffered_bytes import BufferedBytes
from sprucegate.upstream.hosts import EndpointList
from sprucegate.upstream.sending import Sending
from sprucegate.upstream.servers import UpstreamServers


class Recorder:
    def __init__(self, addresses, speaks="http2", limits=None, most=341, **settings):
        self.loop, self.config, self.counters = (
            asyncio.get_running_loop(),
            SimpleNamespace(name="n0"),
            Counters(),
        )
        self.sending = Sending(self.counters.count)
        self.buffers = BufferedBytes(1 << 30)
        self.ends, self.answers, self.logged, self.waiting = {}, {}, [], {}
        wanted = SimpleNamespace(
            http2=limits, speaks=lambda name: name == speaks, transport=lambda *_: speaks
        )
        self.servers = UpstreamServers(
            self, BufferPool(256), settings, most, wanted if speaks != "lines" else None
        )
        self.list(addresses)

    def list(self, addresses, whole=True, state=EndpointState.SERVING):
        entries = [Endpoint(at, 0, 0, 0, state, 1.0, 0) for at in addresses]
        self.servers.apply_endpoints(
            EndpointList(whole, entries, {at: (f"s-{at:02x}", a) for at, a in addresses.items()})
        )

    def send(self, place, call_id, body=b"", timeout=5_000_000_000, number=0, write=False):
        asked = Request(call_id, 1, 0, 0, 0, 1, write or bool(body), False, timeout)
        get = OpenRequest(None, call_id.encode(), "media", "7f3a", 0, "", body, asked)
        now = self.clock()
        out = OpenAttempt(get, number, place, place, now, now + timeout)
        self.waiting[out] = self.loop.create_future()
        self.servers.forward(
            out, SendAttempt(number, place, place, 0, 0, timeout, False, False, False, False)
        )
        return out

    async def end(self, out, patience=10):
        """The outcome of one forward."""
        async with asyncio.timeout(patience):
            return await self.waiting[out]

    # What `Servers` calls.

    def clock(self):
        return time.time_ns()

    def log(self, event, **fields):
        self.logged.append((event, fields))

    def log_exception(self, fault):
        self.logged.append(("fault", {"error": f"{type(fault).__name__}: {fault}"}))

    def bring_timer_forward(self, due):
        self.loop.call_later(max(0, due - self.clock()) / 1e9, lambda: self.servers.due(self.clock()))

    def stored_response_only(self, out, action):
        return False

    def on_response(self, out, said):
        self.answers[out] = said

    def on_attempt_ended(self, out, outcome, found, waited, load, at=None):
        if not out.ended:
            out.ended = True
            self.ends[out] = outcome, found, at
            self.waiting[out].set_result(outcome)
