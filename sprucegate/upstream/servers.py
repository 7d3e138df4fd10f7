"""Servers: each forward to the transport that its place speaks, and the places themselves.

Every transport has the same calls: `kept` (what it keeps of a place), `open_connections`, `came_up`, `warm`, `forward`,
`withdraw`, `cancel`, `moved`, `leave`, `sweep`, `due`, `next_due`, `idle`, `stop`. An end goes to the driver's `ended`
with the outcome, where it was found, the time waited for a source (ns) and the load told; how far the forward had
come is in the outcome.
"""

from sprucegate.routing.events import AttemptOutcome, CacheStatus, EndpointState
from sprucegate.upstream.lines.transport import LineTransport
from sprucegate.upstream.place import UpstreamServer


class UpstreamServers:
    """The servers of the endpoint list, and the transport that each of them speaks."""

    def __init__(self, driver, pool, settings, most, wanted=None):
        """`wanted` is what the operator's file says of servers; without it all of them speak lines."""
        self.driver, self.most, self.connections, self.places = driver, most, 0, {}
        self.wanted, self.transports = wanted, {"lines": LineTransport(self, driver, pool, settings)}
        if wanted is not None and wanted.speaks("http2"):
            # Here and not above: a front without it loads none of its libraries.
            from sprucegate.upstream.http2.transport import Http2Transport

            self.transports["http2"] = Http2Transport(self, driver, pool, settings, wanted.http2)

    def listed(self, hosts):
        """Follow an endpoint list."""
        for entry in hosts.entries:
            name, address = hosts.names[entry.id]
            host, _, port = address.rpartition(":")
            place = self.places.get(entry.id)
            gone = entry.state is EndpointState.GONE
            if place is None:
                if not gone:
                    speaks = self.wanted.transport(name, address, entry.kind) if self.wanted else "lines"
                    self.places[entry.id] = UpstreamServer(
                        entry.id, name, (host, int(port)), self.transports[speaks]
                    )
            elif gone:
                self.remove(place)
            else:
                place.gone = False  # listed again after it had gone
                if address and (host, int(port)) != place.address:
                    place.address = host, int(port)
                    place.transport.moved(place)
        if hosts.whole:
            for place in [place for at, place in self.places.items() if at not in hosts.names]:
                self.remove(place)

    def remove(self, place):
        """Drop a server that has gone."""
        # What is still open there may yet be answered: only idle connections go at once.
        place.gone = True
        place.transport.leave(place)
        self.forget(place)

    def forget(self, place):
        """Lets a place go that is gone and has no connection left."""
        if place.gone and not place.transport.open_connections(place) and self.places.get(place.id) is place:
            del self.places[place.id]

    def warm_up(self, chosen, now):
        """Connections before the first GET, to the servers of these ids."""
        for at in chosen:
            if at in self.places:
                self.warm(self.places[at], now)

    def warm(self, place, now):
        """Connect to a server ahead of its first attempt."""
        place.transport.warm(place, now)

    def forward(self, out, said):
        """Sends it or has its end told soon; never told from within this call."""
        place = self.places.get(said.cache)
        if place is None:  # nothing is known of the cache
            self.driver.loop.call_soon(
                self.driver.on_attempt_ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
            )
            return
        source = self.places.get(said.fill_source) if said.fill_source != said.cache else None
        out.transport = place.transport
        place.transport.forward(place, out, said, source and source.name)

    def withdraw(self, out):
        """Takes a forward back of which nothing has left this front; whether it could."""
        return out.transport is not None and out.transport.withdraw(out)

    def cancel(self, out, timed_out=False):
        """The front's side ends at once; the outcome where the forward provably never ran, else None."""
        return out.transport.cancel(out, timed_out) if out.transport is not None else AttemptOutcome.NOT_SENT

    def room(self):
        """Whether another connection may be opened; one idle anywhere makes way, the longest first."""
        if self.connections < self.most:
            return True
        idle = [found for each in self.transports.values() if (found := each.idle()) is not None]
        if idle:
            min(idle, key=lambda one: one[0])[1]()
        return bool(idle)

    def sweep(self, now):
        """Let the transports close what was idle for too long."""
        for each in self.transports.values():
            each.sweep(now)

    def due(self, now):
        """Let the transports do what is due by `now` (monotonic ns)."""
        for each in self.transports.values():
            each.due(now)

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns), or None."""
        dues = [each.next_due() for each in self.transports.values()]
        return min([due for due in dues if due is not None], default=None)

    def stop(self):
        """Close all connections."""
        for each in self.transports.values():
            each.stop()
