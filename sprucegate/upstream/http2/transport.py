"""The HTTP/2 transport: sockets and timers around the pool and the session; the decisions are the pool's.

Prior knowledge over TCP (RFC 9113 section 3.3). TLS with ALPN would go between socket and session, in `_on_readable`
and `_flush`.
"""

import asyncio
import errno
import socket

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.upstream.buffered_bytes import Holder
from sprucegate.upstream.http2 import evidence, mapping
from sprucegate.upstream.http2.pool import (
    CloseConnection,
    ConnectionPool,
    OpenConnection,
    RefuseRequest,
    SendOnConnection,
    SendPing,
)
from sprucegate.upstream.http2.session import (
    GoAwayReceived,
    Http2Session,
    PongReceived,
    ResetByPeer,
    ResponseComplete,
    SettingsAcked,
    SettingsReceived,
    StreamAborted,
    StreamLimitChanged,
)
from sprucegate.upstream.progress import Progress
from sprucegate.upstream.sockets import is_local, receive_into, send, set_no_delay


class ServerState:
    """The transport's state for one server: its pool, its connections by the pool's numbers, and its authority."""

    __slots__ = ("pool", "connections", "authority")

    def __init__(self, pool, authority):
        self.pool = pool
        self.connections = {}
        self.authority = authority


class Http2Connection:
    """One connection.

    :ivar server: its UpstreamServer
    :ivar number: its number in the pool
    :ivar sock: its socket, None before it was created
    :ivar session: the protocol state and the streams
    :ivar connect_task: the task that establishes it
    :ivar up: the TCP connection is established
    :ivar closed: it was closed
    :ivar writer_registered: whether the event loop calls back when the socket takes more
    :ivar flush_scheduled: whether `_flush` runs later in this turn of the event loop
    :ivar stall_check_armed: whether a stall check is scheduled
    :ivar reachable: the failed connect shows a reachable server
    :ivar blocked: the pool was told that the peer does not read
    :ivar up_since: when it was established (ns)
    :ivar lacks_resources: the connect failed for a lack of resources on this side
    :ivar buffered: bytes of responses that are not read whole, as counted by BufferedBytes
    """

    __slots__ = (
        "server",
        "number",
        "sock",
        "session",
        "connect_task",
        "up",
        "closed",
        "writer_registered",
        "flush_scheduled",
        "stall_check_armed",
        "reachable",
        "blocked",
        "up_since",
        "lacks_resources",
        "buffered",
    )

    def __init__(self, server, number, session):
        self.server = server
        self.number = number
        self.session = session
        self.sock = None
        self.connect_task = None
        self.up = False
        self.closed = False
        self.writer_registered = False
        self.flush_scheduled = False
        self.stall_check_armed = False
        self.reachable = False
        self.blocked = False
        self.lacks_resources = False
        self.up_since = 0
        self.buffered = 0


class PendingAttempt:
    """An attempt in the pool, with what is needed to send it once it has a stream.

    :ivar attempt: the driver's attempt
    :ivar action: the SendAttempt
    :ivar source: name of the server from which a miss is filled, or None
    :ivar stored_only: whether the server may answer from its stored responses alone
    :ivar connection: its connection, None while it waits for a stream
    :ivar stream: its stream, None while it waits for one
    """

    __slots__ = ("attempt", "action", "source", "stored_only", "connection", "stream")

    def __init__(self, attempt, action, source, stored_only):
        self.attempt = attempt
        self.action = action
        self.source = source
        self.stored_only = stored_only
        self.connection = None
        self.stream = None


class Http2Transport:
    """Sends attempts over HTTP/2.

    :ivar active: servers with connections, or whose pool has something due, by id
    :cvar age_unit: unit in which servers are told the oldest acceptable age (ns)
    """

    age_unit = mapping.AGE_UNIT_NS

    def __init__(self, servers, driver, pool, settings, limits):
        self.servers = servers
        self.driver = driver
        self.buffers = pool
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.instance = getattr(driver.config, "name", "")
        self.timer = None
        self.timer_due = None
        self.active = {}
        self.log = driver.log

    # The methods that every transport has.

    def create_state(self, server):
        """Return the transport's state for one server."""
        authority = "{}:{}".format(*server.address).encode()
        return ServerState(ConnectionPool(self.limits, server.id, self.instance), authority)

    def open_connections(self, server):
        """Return the number of connections to a server."""
        return len(server.transport_state.connections)

    def connected_since(self, server, since):
        """Return whether a connection that is still up was established at or after `since`."""
        return any(c.up and c.up_since >= since for c in server.transport_state.connections.values())

    def address_changed(self, server):
        """Use the new address from now on; streams that are open at the former one may still be answered."""
        server.transport_state.authority = "{}:{}".format(*server.address).encode()
        self._perform(server, server.transport_state.pool.address_changed(self.driver.clock()))

    def warm(self, server, now):
        """Connect to a server ahead of its first attempt."""
        server.transport_state.pool.restore()
        self._perform(server, server.transport_state.pool.warm(now))

    def drain(self, server):
        """Close the idle connections to a server that was removed, and the others once their streams have ended."""
        self._perform(server, server.transport_state.pool.remove(self.driver.clock()))

    def forward(self, server, attempt, action, source):
        """Send an attempt; its end is reported to the driver."""
        server.transport_state.pool.restore()
        stored_only = self.driver.stored_response_only(attempt, action)
        attempt.connection = pending = PendingAttempt(attempt, action, source, stored_only)
        self._perform(server, server.transport_state.pool.request_stream(pending, attempt.decided_at))

    def withdraw(self, attempt):
        """Withdraw an attempt that still waits for a stream; return whether that was possible."""
        pending = attempt.connection
        if pending is None or pending.connection is not None:
            return False
        server = self.servers.by_id.get(pending.action.cache)
        return server is not None and server.transport_state.pool.withdraw(pending)

    def cancel(self, attempt, timed_out=False):
        """Cancel an attempt: reset its stream with CANCEL.

        Return NOT_SENT if it still waited for a stream, else None, as it may have run.
        """
        pending = attempt.connection
        connection, stream = pending.connection, pending.stream
        if connection is None:  # it waits for a stream, or its refusal is being reported
            self.withdraw(attempt)
            return AttemptOutcome.NOT_SENT
        if not connection.closed and stream.id in connection.session.streams:
            connection.session.cancel(stream)
            self._schedule_flush(connection)
            self._perform(
                connection.server,
                connection.server.transport_state.pool.stream_ended(
                    connection.number, False, self.driver.clock()
                ),
            )
        return None

    def sweep(self, now):
        """Do nothing: the pool closes idle and old connections."""

    def due(self, now):
        """Do nothing: this transport has its own timer."""

    def next_due(self):
        """Return None: this transport has its own timer."""
        return None

    def oldest_idle(self):
        """Return the connection idle for longest as (time of its last use, function that closes it), or None."""
        found = [
            (connection.last_used, server, number)
            for server in self._active_servers()
            for number, connection in server.transport_state.pool.connections.items()
            if not connection.open
            and number in server.transport_state.connections
            and server.transport_state.connections[number].up
        ]
        if not found:
            return None
        last_used, server, number = min(found, key=lambda entry: entry[0])
        return last_used, lambda: self.close(
            server.transport_state.connections[number], "closed to make room for another connection"
        )

    def stop(self):
        """Close all connections, each with a GOAWAY; what is still open is given up."""
        for server in self._active_servers():
            for connection in list(server.transport_state.connections.values()):
                self.close(connection, "stopping")
        if self.timer is not None:
            self.timer.cancel()

    # The pool's actions.

    def _active_servers(self):
        return list(self.active.values())

    def _perform(self, server, actions):
        self.active[server.id] = server
        for action in actions:
            match action:
                case SendOnConnection():
                    self._send(server, action)
                case OpenConnection():
                    self._open(server, action.connection)
                case RefuseRequest():
                    self.loop.call_soon(
                        self.driver.on_attempt_ended,
                        action.attempt.attempt,
                        action.outcome,
                        CacheStatus.UNKNOWN,
                        0,
                        {},
                    )
                case SendPing():
                    connection = server.transport_state.connections[action.connection]
                    connection.session.ping()
                    self._schedule_flush(connection)
                case CloseConnection():
                    if (connection := server.transport_state.connections.get(action.connection)) is not None:
                        # Deferred, as the caller may be processing events of this connection.
                        self.loop.call_soon(self.close, connection, action.why)
        self._arm(server)

    def _send(self, server, action):
        pending, connection = action.attempt, server.transport_state.connections[action.connection]
        attempt = pending.attempt
        if attempt.ended:  # cancelled in the same turn of the event loop
            return self._free_stream(connection, False, self.driver.clock())
        time_left = self.driver.sending.time_left(attempt, self.driver.clock())
        if time_left is None:
            return self._report_not_sent(connection, attempt)
        fields = mapping.request_fields(
            server.transport_state.authority,
            attempt.request,
            pending.action,
            pending.source,
            pending.stored_only,
            time_left,
        )
        stream = connection.session.send_request(pending, fields, attempt.request.body, pending.stored_only)
        if stream is None:
            return self._report_not_sent(connection, attempt)
        pending.connection = connection
        pending.stream = stream
        attempt.progress = Progress.PARTIAL
        self.driver.sending.began(attempt, self.driver.clock())
        self._schedule_flush(connection)

    def _report_not_sent(self, connection, attempt):
        """Give the stream of an attempt back that was not sent, and report its end in a later turn of the loop."""
        self.loop.call_soon(
            self.driver.on_attempt_ended, attempt, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
        )
        self._free_stream(connection, False, self.driver.clock())

    def _open(self, server, number):
        held = min(self.limits.held, self.driver.buffers.bound)
        session = Http2Session(held, self.driver.clock())
        connection = server.transport_state.connections[number] = Http2Connection(server, number, session)
        if not self.servers.make_room():
            connection.lacks_resources = True  # it says nothing about the server
            self.loop.call_soon(self._ended, connection, "limit on connections reached")
            self.servers.connections += 1
            return
        self.servers.connections += 1
        connection.connect_task = self.loop.create_task(self._establish(connection))

    # Sockets.

    async def _establish(self, connection):
        why = None
        try:
            sock = connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(self.limits.connect / 1e9):
                await self.loop.sock_connect(sock, connection.server.address)
            sock.getpeername()  # uvloop takes a connect that should be repeated for one that is in progress
        except (
            OSError,
            UnicodeError,
        ) as fault:  # TimeoutError is an OSError; UnicodeError: not a valid host name
            connection.reachable = isinstance(fault, ConnectionResetError)
            connection.lacks_resources = is_local(fault) or self._never_started(connection, fault)
            why = f"{type(fault).__name__}: {fault}"
        if connection.closed:
            return
        if why is not None:
            return self._ended(connection, why)
        connection.up = True
        connection.up_since = self.driver.clock()
        self.loop.add_reader(sock, self._on_readable, connection)
        self._flush(connection)
        self.loop.call_later(self.limits.connect / 1e9, self._check_ready, connection)

    @staticmethod
    def _never_started(connection, fault):
        """Return whether a socket that is not connected means that the connect was never started.

        If it happens twice in a row, the server resets connections at once.
        """
        unconnected = isinstance(fault, OSError) and fault.errno == errno.ENOTCONN
        return unconnected and not connection.server.transport_state.pool.lacks_resources

    def _check_ready(self, connection):
        if not connection.closed and not connection.session.ready:
            self._ended(connection, "no SETTINGS received in time")

    def _on_readable(self, connection):
        buffer = self.buffers.take()
        if buffer is None:
            return self._ended(connection, "no read buffer available")
        try:
            size = receive_into(connection.sock, buffer)
            if size:
                self._on_bytes(connection, buffer[:size])
            elif size == 0:
                self._ended(connection, "closed by the server")
        except OSError as fault:
            self._ended(connection, f"{type(fault).__name__}")
        except Exception as fault:  # an unexpected error costs this connection alone
            self.driver.log_exception(fault)
            self._ended(connection, "internal error")
        finally:
            self.buffers.give_back(buffer)

    def _on_bytes(self, connection, data):
        now, pool, session = self.driver.clock(), connection.server.transport_state.pool, connection.session
        if connection.number in pool.connections:
            pool.bytes_received(connection.number, now)
        events = session.receive(data, now)
        self._count_buffered(connection, session.buffered)
        for event in events:
            self._on_event(connection, pool, event, now)
        if session.outgoing:
            self._schedule_flush(connection)
        if session.fault:
            self.driver.log("cache_unreadable", cache=connection.server.name, error=session.fault.text)
            session.close(session.fault.code)
            self._ended(connection, session.fault.text)
        elif session.partial_responses and not connection.stall_check_armed:
            self._arm_stall_check(connection)

    def _count_buffered(self, connection, size):
        former, connection.buffered = connection.buffered, size
        self.driver.buffers.change(Holder.PARTIAL_ANSWER, former, size)

    def _on_event(self, connection, pool, event, now):
        number, pooled = connection.number, connection.number in pool.connections
        match event:
            case ResponseComplete():
                self._free_stream(connection, True, now)
                self._on_response(event)
            case SettingsReceived():
                self._perform(
                    connection.server, pool.settings_received(number, event.limit, now) if pooled else []
                )
            case StreamLimitChanged():
                self._perform(
                    connection.server, pool.stream_limit_changed(number, event.limit, now) if pooled else []
                )
            case SettingsAcked():
                if pooled:
                    pool.settings_acknowledged(number)
            case PongReceived():
                pass  # received bytes of any kind end the wait for a PING's answer
            case ResetByPeer():
                self._free_stream(connection, False, now)
                row = evidence.of_reset(event.code)
                self._report(event.stream.request.attempt, row, now)
            case StreamAborted():
                self.log("cache_unreadable", cache=connection.server.name, error=event.why)
                self._free_stream(connection, False, now)
                self._report(event.stream.request.attempt, evidence.OTHER_RESET, now)
            case GoAwayReceived():
                self.log(
                    "cache_goaway",
                    cache=connection.server.name,
                    code=event.code,
                    last=event.last,
                    never_executed=len(event.above),
                    open=len(connection.session.streams),
                )
                # The pool is told first: otherwise it would assign the freed streams of this connection anew.
                self._perform(connection.server, pool.goaway(number, event.code == 0, now) if pooled else [])
                for _ in event.above:
                    self._free_stream(connection, False, now)
                for stream in event.above:
                    self._report(stream.request.attempt, evidence.ABOVE_GOAWAY, now)

    def _free_stream(self, connection, answered, now):
        pool = connection.server.transport_state.pool
        if connection.number in pool.connections:
            self._perform(connection.server, pool.stream_ended(connection.number, answered, now))

    def _on_response(self, event):
        attempt = event.stream.request.attempt
        if attempt.ended:
            return
        meaning = mapping.interpret(
            event.status, event.fields, event.body, event.stream.cached_only, attempt.request.if_none_match
        )
        if meaning.row is not None:
            self.driver.counters.count(f"evidence {meaning.row.name}")
        if meaning.response is not None:
            self.driver.on_response(attempt, meaning.response)
        self.driver.on_attempt_ended(
            attempt, meaning.outcome, meaning.cache_status, meaning.fill_wait, meaning.load
        )

    def _report(self, attempt, row, now):
        """Report the end of an attempt as a row of the evidence table says."""
        if not attempt.ended:
            self.driver.counters.count(f"evidence {row.name}")
            self.driver.on_attempt_ended(attempt, row.outcome, CacheStatus.UNKNOWN, 0, {}, now)

    def _schedule_flush(self, connection):
        """Flush once in this turn of the event loop, so that requests that begin together are sent together."""
        if not connection.flush_scheduled and not connection.closed:
            connection.flush_scheduled = True
            self.loop.call_soon(self._flush, connection)

    def _flush(self, connection):
        connection.flush_scheduled = False
        if connection.closed or not connection.up:
            return
        session = connection.session
        try:
            while session.outgoing and (sent := send(connection.sock, session.outgoing)):
                session.bytes_sent(sent)
        except OSError as fault:
            return self._ended(connection, type(fault).__name__)
        if bool(session.outgoing) is not connection.writer_registered:
            connection.writer_registered = not connection.writer_registered
            if connection.writer_registered:
                self.loop.add_writer(connection.sock, self._flush, connection)
            else:
                self.loop.remove_writer(connection.sock)
        if (
            session.is_write_blocked() is not connection.blocked
            and connection.number in connection.server.transport_state.pool.connections
        ):
            connection.blocked = not connection.blocked
            self._perform(
                connection.server,
                connection.server.transport_state.pool.set_blocked(
                    connection.number, connection.blocked, self.driver.clock()
                ),
            )

    def close(self, connection, why):
        """Close a connection with a GOAWAY; `why` goes to the log."""
        if not connection.closed:
            connection.session.close()
            self._ended(connection, why)

    def _ended(self, connection, why):
        """Close a connection and report the end of each stream on it.

        The socket is closed first: the evidence holds only if nothing more is sent.
        """
        if connection.closed:
            return
        server, sock, session = connection.server, connection.sock, connection.session
        connection.closed = True
        self._count_buffered(connection, 0)
        now = self.driver.clock()
        if connection.up:
            self.loop.remove_reader(sock)
            if connection.writer_registered:
                self.loop.remove_writer(sock)
            if session.outgoing and not session.streams:
                try:
                    sock.send(session.outgoing)  # our GOAWAY, if the socket takes it at once
                except OSError:
                    pass
        if (
            connection.connect_task is not None
            and not connection.connect_task.done()
            and (connection.connect_task is not asyncio.current_task())
        ):
            connection.connect_task.add_done_callback(lambda _: sock.close())
            connection.connect_task.cancel()
        elif sock is not None:
            sock.close()
        server.transport_state.connections.pop(connection.number, None)
        self.servers.connections -= 1
        streams = list(session.streams.values())
        if streams or not session.ready and why != "stopping":
            self.log(
                "cache_connection_lost" if session.ready else "cache_unreachable",
                cache=server.name,
                forwards=len(streams),
                why=why,
            )
        if connection.number in server.transport_state.pool.connections:
            pool, reached = server.transport_state.pool, connection.up or connection.reachable
            self._perform(
                server,
                pool.connect_lacked_resources(connection.number, now)
                if connection.lacks_resources
                else pool.connection_lost(connection.number, reached, now),
            )
        self._arm(server)  # also if the pool dropped the connection before and had nothing to do now
        self.servers.drop_if_unused(server)
        for stream in streams:
            self._report(
                stream.request.attempt,
                evidence.of_end(session.write_progress(stream), stream.id, session.goaway_last),
                now,
            )

    # Timers.

    def _arm_stall_check(self, connection):
        connection.stall_check_armed = True
        self.loop.call_later(self.limits.stalled / 1e9, self._check_stalled, connection)

    def _check_stalled(self, connection):
        """Reset streams whose response has stalled; checked once per stall time and not per read."""
        connection.stall_check_armed = False
        if connection.closed:
            return
        now = self.driver.clock()
        stalled = connection.session.stalled(self.limits.stalled, now)
        for stream in stalled:
            self.log("cache_stalled", cache=connection.server.name, forwards=1)
            connection.session.cancel(stream)
            self._free_stream(connection, False, now)
        self._schedule_flush(connection)
        for stream in stalled:
            self._report(stream.request.attempt, evidence.OTHER_RESET, now)
        if (
            not connection.closed
            and connection.session.partial_responses
            and not connection.stall_check_armed
        ):
            self._arm_stall_check(connection)

    def _arm(self, server):
        due = server.transport_state.pool.next_due()
        if due is None and not server.transport_state.connections:
            self.active.pop(server.id, None)
        elif due is not None and (self.timer_due is None or due < self.timer_due):
            self._arm_at(due, self.driver.clock())

    def _arm_at(self, due, now):
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due = due
        self.timer = self.loop.call_later(max(0, due - now) / 1e9, self._on_timer)

    def _on_timer(self):
        self.timer_due = self.timer = None
        now = self.driver.clock()
        for server in self._active_servers():
            if (due := server.transport_state.pool.next_due()) is not None and due <= now:
                self._perform(server, server.transport_state.pool.due(now))
            else:
                self._arm(server)
