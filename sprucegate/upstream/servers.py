"""Upstream servers by id: each attempt goes to the transport of the protocol that its server speaks.

Every transport has the same methods: `create_state`, `open_connections`, `connected_since`, `warm`, `forward`,
`withdraw`, `cancel`, `address_changed`, `drain`, `sweep`, `due`, `next_due`, `oldest_idle`, `stop`. It reports the end
of an attempt to the driver's `ended`: the outcome, the cache status, the time that the server waited for the source of
a fill (ns) and the server's load report. The outcome also tells whether the attempt may have been executed.
"""

from sprucegate.routing.events import AttemptOutcome, CacheStatus, EndpointState
from sprucegate.upstream.lines.transport import LineTransport
from sprucegate.upstream.place import UpstreamServer


class UpstreamServers:
    """The servers of the endpoint list, and the transports by which they are reached."""

    def __init__(self, driver, pool, settings, max_connections, server_config=None):
        """`max_connections` bounds the connections to all servers together.

        `server_config` is the `servers` node of the operator's file; without it all servers speak the line protocol.
        """
        self.driver = driver
        self.max_connections = max_connections
        self.connections = 0
        self.by_id = {}  # id -> UpstreamServer
        self.age_units = {}  # unit in which a server is told the oldest acceptable age (ns), by id; else exactly
        self.server_config = server_config
        self.transports = {"lines": LineTransport(self, driver, pool, settings)}
        if server_config is not None and server_config.speaks("http2"):
            # Imported here, so that a front without HTTP/2 loads none of its libraries.
            from sprucegate.upstream.http2.transport import Http2Transport

            self.transports["http2"] = Http2Transport(self, driver, pool, settings, server_config.http2)

    def apply_endpoints(self, endpoint_list):
        """Apply an endpoint list."""
        for entry in endpoint_list.entries:
            name, address = endpoint_list.names[entry.id]
            host, _, port = address.rpartition(":")
            server = self.by_id.get(entry.id)
            gone = entry.state is EndpointState.GONE
            if server is None:
                if not gone:
                    protocol = (
                        self.server_config.transport(name, address, entry.kind)
                        if self.server_config
                        else "lines"
                    )
                    self._add(entry.id, name, (host, int(port)), self.transports[protocol])
            elif gone:
                self.remove(server)
            else:
                server.gone = False  # it may have been removed and listed again
                if address and (host, int(port)) != server.address:
                    server.address = host, int(port)
                    server.transport.address_changed(server)
        if endpoint_list.whole:
            for server in [
                server for server_id, server in self.by_id.items() if server_id not in endpoint_list.names
            ]:
                self.remove(server)

    def _add(self, server_id, name, address, transport):
        self.by_id[server_id] = UpstreamServer(server_id, name, address, transport)
        if transport.age_unit:
            self.age_units[server_id] = transport.age_unit

    def remove(self, server):
        """Remove a server that is no longer listed."""
        # Attempts that were sent there may still be answered.
        server.gone = True
        server.transport.drain(server)
        self.drop_if_unused(server)

    def drop_if_unused(self, server):
        """Drop the record of a removed server once its last connection is closed."""
        if (
            server.gone
            and not server.transport.open_connections(server)
            and self.by_id.get(server.id) is server
        ):
            del self.by_id[server.id]
            self.age_units.pop(server.id, None)

    def warm_up(self, server_ids, now):
        """Connect to these servers ahead of the first request."""
        for server_id in server_ids:
            if server_id in self.by_id:
                self.warm(self.by_id[server_id], now)

    def warm(self, server, now):
        """Connect to a server ahead of its first attempt."""
        server.transport.warm(server, now)

    def forward(self, attempt, action):
        """Send an attempt as the SendAttempt `action` says.

        Its end is reported from a later turn of the event loop, never from within this call.
        """
        server = self.by_id.get(action.cache)
        if server is None:  # the attempt says nothing about the cache
            self.driver.loop.call_soon(
                self.driver.on_attempt_ended, attempt, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
            )
            return
        source = self.by_id.get(action.fill_source) if action.fill_source != action.cache else None
        attempt.transport = server.transport
        server.transport.forward(server, attempt, action, source and source.name)

    def withdraw(self, attempt):
        """Withdraw an attempt of which no byte was sent; return whether that was possible."""
        return attempt.transport is not None and attempt.transport.withdraw(attempt)

    def cancel(self, attempt, timed_out=False):
        """Cancel an attempt at once; return the outcome if it provably never ran, else None."""
        return (
            attempt.transport.cancel(attempt, timed_out)
            if attempt.transport is not None
            else AttemptOutcome.NOT_SENT
        )

    def make_room(self):
        """Return whether another connection may be opened; at the bound, close the one idle for longest."""
        if self.connections < self.max_connections:
            return True
        idle = [
            found for transport in self.transports.values() if (found := transport.oldest_idle()) is not None
        ]
        if idle:
            min(idle, key=lambda entry: entry[0])[1]()
        return bool(idle)

    def sweep(self, now):
        """Let each transport close connections that were idle for too long."""
        for transport in self.transports.values():
            transport.sweep(now)

    def due(self, now):
        """Let each transport do what is due by `now` (monotonic ns)."""
        for transport in self.transports.values():
            transport.due(now)

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns), or None."""
        dues = [transport.next_due() for transport in self.transports.values()]
        return min([due for due in dues if due is not None], default=None)

    def stop(self):
        """Close all connections."""
        for transport in self.transports.values():
            transport.stop()
