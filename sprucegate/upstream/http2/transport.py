"""HTTP/2 as a transport: sockets and timers round pool and session; it does what the pool says and decides nothing.

Prior knowledge over TCP (RFC 9113 section 3.3). TLS with ALPN would stand between socket and session, in `_readable`
and `_flush`.
"""

import asyncio
import errno
import socket

from sprucegate.routing.events import AttemptOutcome, CacheStatus
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
    Acknowledged,
    Answered,
    GoneAway,
    Http2Session,
    Limited,
    Ponged,
    Ready,
    Reset,
    Spoilt,
)
from sprucegate.upstream.progress import Progress
from sprucegate.upstream.sockets import is_local, receive_into, send, set_no_delay


class Held:
    """What is kept of a place: its pool, its connections by the pool's number, and what it is called."""

    __slots__ = ("pool", "connections", "authority")

    def __init__(self, pool, authority):
        self.pool, self.connections, self.authority = pool, {}, authority


class H2Connection:
    """One connection: its socket, its session and the streams on it."""

    __slots__ = (
        "place",
        "number",
        "sock",
        "session",
        "task",
        "up",
        "closed",
        "writing",
        "flushes",
        "watched",
        "in_reach",
        "blocked",
        "made",
        "lacking",
    )

    def __init__(self, place, number, session):
        self.place, self.number, self.session, self.sock, self.task = place, number, session, None, None
        self.up = self.closed = self.writing = self.flushes = self.watched = self.in_reach = self.blocked = (
            False
        )
        self.lacking = False  # it could not be begun for want of something on this side
        self.made = 0  # when it came up


class Waiting:
    """A forward as it goes through the pool: what is sent once it has a connection."""

    __slots__ = ("out", "said", "source", "connection", "stream")

    def __init__(self, out, said, source):
        self.out, self.said, self.source, self.connection, self.stream = out, said, source, None, None


class Http2Transport:
    """Speaks HTTP/2 with servers: sockets and timers round the pool and the session."""

    def __init__(self, servers, driver, pool, settings, limits):
        self.servers, self.driver, self.buffers, self.limits = servers, driver, pool, limits
        self.loop, self.instance = asyncio.get_running_loop(), getattr(driver.config, "name", "")
        self.timer, self.armed = None, None
        self.active = {}  # id -> place with connections, or whose pool has something due
        self.log = driver.log

    # The calls of a transport.

    def kept(self, place):
        """Return what the transport keeps for one server."""
        authority = "{}:{}".format(*place.address).encode()
        return Held(ConnectionPool(self.limits, place.id, self.instance), authority)

    def open_connections(self, place):
        """Return how many connections to a server there are."""
        return len(place.held.connections)

    def came_up(self, place, since):
        """Whether a connection that is there was made since then."""
        return any(c.up and c.made >= since for c in place.held.connections.values())

    def moved(self, place):
        """Another address under the same id: connections to the old one serve on, new ones go to the new one."""
        place.held.authority = "{}:{}".format(*place.address).encode()

    def warm(self, place, now):
        """Connect ahead of the first attempt."""
        place.held.pool.back()
        self._do(place, place.held.pool.warm(now))

    def leave(self, place):
        """The server has gone: close what is idle there."""
        self._do(place, place.held.pool.leave(self.driver.clock()))

    def forward(self, place, out, said, source):
        """Send an attempt; its end is told to the driver."""
        place.held.pool.back()
        out.connection = waiting = Waiting(out, said, source)
        self._do(place, place.held.pool.ask(waiting, out.decided_at))

    def withdraw(self, out):
        """Takes a forward back that still waits for a stream; whether it could."""
        waiting = out.connection
        if waiting is None or waiting.connection is not None:
            return False
        place = self.servers.places.get(waiting.said.cache)
        return place is not None and place.held.pool.withdraw(waiting)

    def cancel(self, out, timed_out=False):
        """RST_STREAM CANCEL, which frees the stream. NOT_SENT where it still waited, else nothing is proved."""
        waiting = out.connection
        connection, stream = waiting.connection, waiting.stream
        if connection is None:  # it waits, or its refusal is on the way to the driver
            self.withdraw(out)
            return AttemptOutcome.NOT_SENT
        if not connection.closed and stream.id in connection.session.streams:
            connection.session.cancel(stream)
            self._want_flush(connection)
            self._do(
                connection.place,
                connection.place.held.pool.freed(connection.number, False, self.driver.clock()),
            )
        return None

    def sweep(self, now):
        """Nothing: the pool's own times end what is idle or old."""

    def due(self, now):
        """Nothing: this transport keeps a timer of its own."""

    def next_due(self):
        """Return None: HTTP/2's timers are its own."""
        return None

    def idle(self):
        """The connection unused longest, as (since, its close), or None."""
        found = [
            (at.used, place, number)
            for place in self._places()
            for number, at in place.held.pool.connections.items()
            if not at.open and number in place.held.connections and place.held.connections[number].up
        ]
        if not found:
            return None
        used, place, number = min(found, key=lambda one: one[0])
        return used, lambda: self.close(place.held.connections[number], "room for another")

    def stop(self):
        """The front ends: what is still open is given up, and each peer told so."""
        for place in self._places():
            for connection in list(place.held.connections.values()):
                self.close(connection, "stopping")
        if self.timer is not None:
            self.timer.cancel()

    # What the pool says.

    def _places(self):
        return list(self.active.values())

    def _do(self, place, said):
        self.active[place.id] = place
        for one in said:
            match one:
                case SendOnConnection():
                    self._send(place, one)
                case OpenConnection():
                    self._open(place, one.connection)
                case RefuseRequest():
                    self.loop.call_soon(
                        self.driver.on_attempt_ended, one.forward.out, one.outcome, CacheStatus.UNKNOWN, 0, {}
                    )
                case SendPing():
                    connection = place.held.connections[one.connection]
                    connection.session.ping()
                    self._want_flush(connection)
                case CloseConnection():
                    if (connection := place.held.connections.get(one.connection)) is not None:
                        # Later, as the caller may stand in the middle of this connection's events.
                        self.loop.call_soon(self.close, connection, one.why)
        self._arm(place)

    def _send(self, place, one):
        waiting, connection = one.forward, place.held.connections[one.connection]
        out = waiting.out
        if out.ended:  # given up in the same turn
            return self._do(place, place.held.pool.freed(one.connection, False, self.driver.clock()))
        left = self.driver.sending.left(out, self.driver.clock())
        if left is None:
            self.loop.call_soon(
                self.driver.on_attempt_ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
            )
            return self._do(place, place.held.pool.freed(one.connection, False, self.driver.clock()))
        fields = mapping.request(place.held.authority, out.request, waiting.said, waiting.source, left)
        stream = connection.session.request(
            waiting, fields, out.request.body, mapping.only_if_cached(waiting.said)
        )
        if stream is None:
            self.loop.call_soon(
                self.driver.on_attempt_ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
            )
            return self._do(place, place.held.pool.freed(one.connection, False, self.driver.clock()))
        waiting.connection, waiting.stream, out.progress = connection, stream, Progress.PARTLY
        self.driver.sending.began(out, self.driver.clock())
        self._want_flush(connection)

    def _open(self, place, number):
        session = Http2Session(self.limits.held, self.driver.clock())
        connection = place.held.connections[number] = H2Connection(place, number, session)
        if not self.servers.room():
            connection.lacking = True  # nothing is known of the server
            self.loop.call_soon(self._ended, connection, "no room for another connection")
            self.servers.connections += 1
            return
        self.servers.connections += 1
        connection.task = self.loop.create_task(self._connect_to(connection))

    # Sockets.

    async def _connect_to(self, connection):
        why = None
        try:
            sock = connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(self.limits.connect / 1e9):
                await self.loop.sock_connect(sock, connection.place.address)
            sock.getpeername()  # uvloop takes a connect that should be tried again for one under way
        except (OSError, UnicodeError) as fault:  # a TimeoutError is one; or the name can't be one
            connection.in_reach = isinstance(fault, ConnectionResetError)
            connection.lacking = is_local(fault) or self._never_begun(connection, fault)
            why = f"{type(fault).__name__}: {fault}"
        if connection.closed:
            return
        if why is not None:
            return self._ended(connection, why)
        connection.up, connection.made = True, self.driver.clock()
        self.loop.add_reader(sock, self._readable, connection)
        self._flush(connection)
        self.loop.call_later(self.limits.connect / 1e9, self._unready, connection)

    @staticmethod
    def _never_begun(connection, fault):
        """Whether a connection that is none was never begun; twice in a row, the server resets them at once."""
        unconnected = isinstance(fault, OSError) and fault.errno == errno.ENOTCONN
        return unconnected and not connection.place.held.pool.lacking

    def _unready(self, connection):
        if not connection.closed and not connection.session.ready:
            self._ended(connection, "no SETTINGS in time")

    def _readable(self, connection):
        buffer = self.buffers.take()
        if buffer is None:
            return self._ended(connection, "no buffer")
        try:
            size = receive_into(connection.sock, buffer)
            if size:
                self._fed(connection, buffer[:size])
            elif size == 0:
                self._ended(connection, "ended by the server")
        except OSError as fault:
            self._ended(connection, f"{type(fault).__name__}")
        except Exception as fault:  # this connection's own, whatever it is
            self.driver.log_exception(fault)
            self._ended(connection, "a fault of the program")
        finally:
            self.buffers.give_back(buffer)

    def _fed(self, connection, data):
        now, pool, session = self.driver.clock(), connection.place.held.pool, connection.session
        if connection.number in pool.connections:
            pool.heard(connection.number, now)
        for event in session.feed(data, now):
            self._happened(connection, pool, event, now)
        if session.outgoing:
            self._want_flush(connection)
        if session.fault:
            self.driver.log("cache_unreadable", cache=connection.place.name, error=session.fault.text)
            session.close(session.fault.code)
            self._ended(connection, session.fault.text)
        elif session.answers and not connection.watched:
            self._watch(connection)

    def _happened(self, connection, pool, event, now):
        number, known = connection.number, connection.number in pool.connections
        match event:
            case Answered():
                self._free(connection, True, now)
                self._answered(event)
            case Ready():
                self._do(connection.place, pool.opened(number, event.limit, now) if known else [])
            case Limited():
                self._do(connection.place, pool.limited(number, event.limit, now) if known else [])
            case Acknowledged():
                if known:
                    pool.acknowledged(number)
            case Ponged():
                pass  # that anything was read is what counts
            case Reset():
                self._free(connection, False, now)
                row = evidence.of_reset(event.code)
                self._tell(event.stream.out.out, row, now)
            case Spoilt():
                self.log("cache_unreadable", cache=connection.place.name, error=event.why)
                self._free(connection, False, now)
                self._tell(event.stream.out.out, evidence.OTHER_RESET, now)
            case GoneAway():
                self.log(
                    "cache_goaway",
                    cache=connection.place.name,
                    code=event.code,
                    last=event.last,
                    never_executed=len(event.above),
                    open=len(connection.session.streams),
                )
                # First, or what these free would be filled again on a connection that takes nothing more.
                self._do(connection.place, pool.goaway(number, event.code == 0, now) if known else [])
                for _ in event.above:
                    self._free(connection, False, now)
                for stream in event.above:
                    self._tell(stream.out.out, evidence.ABOVE_LAST, now)

    def _free(self, connection, well, now):
        pool = connection.place.held.pool
        if connection.number in pool.connections:
            self._do(connection.place, pool.freed(connection.number, well, now))

    def _answered(self, event):
        out = event.stream.out.out
        if out.ended:
            return
        said = mapping.meaning(
            event.status, event.fields, event.body, event.stream.cached_only, out.request.if_none_match
        )
        if said.row is not None:
            self.driver.counters.count(f"evidence {said.row.name}")
        if said.returned is not None:
            self.driver.on_response(out, said.returned)
        self.driver.on_attempt_ended(out, said.outcome, said.found, said.waited, said.load)

    def _tell(self, out, row, now):
        if not out.ended:
            self.driver.counters.count(f"evidence {row.name}")
            self.driver.on_attempt_ended(out, row.outcome, CacheStatus.UNKNOWN, 0, {}, now)

    def _want_flush(self, connection):
        """Once a turn of the loop: requests that begin together go out together."""
        if not connection.flushes and not connection.closed:
            connection.flushes = True
            self.loop.call_soon(self._flush, connection)

    def _flush(self, connection):
        connection.flushes = False
        if connection.closed or not connection.up:
            return
        session = connection.session
        try:
            while session.outgoing and (sent := send(connection.sock, session.outgoing)):
                session.sent(sent)
        except OSError as fault:
            return self._ended(connection, type(fault).__name__)
        if bool(session.outgoing) is not connection.writing:
            connection.writing = not connection.writing
            if connection.writing:
                self.loop.add_writer(connection.sock, self._flush, connection)
            else:
                self.loop.remove_writer(connection.sock)
        if (
            session.stuck() is not connection.blocked
            and connection.number in connection.place.held.pool.connections
        ):
            connection.blocked = not connection.blocked
            self._do(
                connection.place,
                connection.place.held.pool.blocked(
                    connection.number, connection.blocked, self.driver.clock()
                ),
            )

    def close(self, connection, why):
        """Close a connection; `why` goes to the log."""
        if not connection.closed:
            connection.session.close()
            self._ended(connection, why)

    def _ended(self, connection, why):
        """Ends a connection: closed first, so that nothing more goes out, then each stream by its evidence."""
        if connection.closed:
            return
        place, sock, session = connection.place, connection.sock, connection.session
        connection.closed, now = True, self.driver.clock()
        if connection.up:
            self.loop.remove_reader(sock)
            if connection.writing:
                self.loop.remove_writer(sock)
            if session.outgoing and not session.streams:
                try:
                    sock.send(session.outgoing)  # our GOAWAY, where the socket takes it at once
                except OSError:
                    pass
        if (
            connection.task is not None
            and not connection.task.done()
            and (connection.task is not asyncio.current_task())
        ):
            connection.task.add_done_callback(lambda _: sock.close())
            connection.task.cancel()
        elif sock is not None:
            sock.close()
        place.held.connections.pop(connection.number, None)
        self.servers.connections -= 1
        streams = list(session.streams.values())
        if streams or not session.ready and why != "stopping":
            self.log(
                "cache_connection_lost" if session.ready else "cache_unreachable",
                cache=place.name,
                forwards=len(streams),
                why=why,
            )
        if connection.number in place.held.pool.connections:
            pool, reached = place.held.pool, connection.up or connection.in_reach
            self._do(
                place,
                pool.lacked(connection.number, now)
                if connection.lacking
                else pool.lost(connection.number, reached, now),
            )
        self._arm(place)  # the pool may have let it go before, and not be asked again
        self.servers.forget(place)
        for stream in streams:
            self._tell(stream.out.out, evidence.of_end(session.written(stream), stream.id, session.last), now)

    # Time.

    def _watch(self, connection):
        connection.watched = True
        self.loop.call_later(self.limits.stalled / 1e9, self._look, connection)

    def _look(self, connection):
        """Answers begun that may not go on: looked at once in so long, not at each read."""
        connection.watched = False
        if connection.closed:
            return
        now = self.driver.clock()
        late = connection.session.stalled(self.limits.stalled, now)
        for stream in late:
            self.log("cache_stalled", cache=connection.place.name, forwards=1)
            connection.session.cancel(stream)
            self._free(connection, False, now)
        self._want_flush(connection)
        for stream in late:
            self._tell(stream.out.out, evidence.OTHER_RESET, now)
        if not connection.closed and connection.session.answers and not connection.watched:
            self._watch(connection)

    def _arm(self, place):
        due = place.held.pool.next_due()
        if due is None and not place.held.connections:
            self.active.pop(place.id, None)
        elif due is not None and (self.armed is None or due < self.armed):
            self._arm_at(due, self.driver.clock())

    def _arm_at(self, due, now):
        if self.timer is not None:
            self.timer.cancel()
        self.armed = due
        self.timer = self.loop.call_later(max(0, due - now) / 1e9, self._due)

    def _due(self):
        self.armed = self.timer = None
        now = self.driver.clock()
        for place in self._places():
            if (due := place.held.pool.next_due()) is not None and due <= now:
                self._do(place, place.held.pool.due(now))
            else:
                self._arm(place)
