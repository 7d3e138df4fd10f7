"""Lines as a transport: forwards to servers that speak them, and what comes back, with how far each came."""

import asyncio
import socket
from collections import OrderedDict, deque

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.routing.router import CONNECTIONS_PER_CACHE, STALL_TIMEOUT_NS
from sprucegate.upstream.lines import codec
from sprucegate.upstream.lines.connection import LineConnection
from sprucegate.upstream.progress import Progress
from sprucegate.upstream.sockets import RETRY, is_local, receive_into, send, set_no_delay, stands

LOOKS = 8  # reads of what stands on resting connections before one is taken


class LineTransport:
    """Speaks the line protocol with servers: connections, the attempts on them, and their bounds."""

    def __init__(self, servers, driver, pool, settings):
        self.servers, self.driver, self.pool = servers, driver, pool
        self.connect_timeout = settings.get("connect_timeout", 400_000_000)
        self.streams = settings.get("max_streams", 100)
        # A request that crosses the close of an idle connection may have run: better an own close before.
        keepalive = settings.get("keepalive", 15_000_000_000)
        self.idle_most = max(keepalive // 2, keepalive - self.connect_timeout)
        self.loop = asyncio.get_running_loop()
        self.stalls = deque()  # (due, connection): answers begun that may not go on
        self.resting = OrderedDict()  # connections that are up with nothing open, the longest so first

    def kept(self, place):
        """Return what the transport keeps for one server: its connections."""
        return []  # its connections

    def open_connections(self, place):
        """Return how many connections to a server there are."""
        return len(place.held)

    def came_up(self, place, since):
        """Whether a connection that is there was made since then."""
        return any(c.up and c.made >= since for c in place.held)

    def moved(self, place):
        """Connections made to the old address serve on; new ones go to the new one."""

    def leave(self, place):
        """The server has gone: close what is idle there."""
        for connection in list(place.held):
            if not connection.open:
                self.close(connection)

    def warm(self, place, now):
        """Connect ahead of the first attempt."""
        if not place.held:
            self._connect(place, now)

    def forward(self, place, out, said, source):
        """Send an attempt; its end is told to the driver."""
        get = out.request
        connection = self._connection(place, get, out.decided_at)
        if connection is None:  # no room here: nothing is known of the cache
            self.loop.call_soon(
                self.driver.on_attempt_ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
            )
            return
        # Never again on this one: a late answer, or a second copy of one, would bear the same id.
        get.used_connections.append(connection)
        self.resting.pop(connection, None)
        out.connection, connection.used, out.send_arguments = connection, out.decided_at, (said, source)
        connection.open[get.id] = out
        self._queue(connection, None, out)

    def withdraw(self, out):
        """Takes a forward back of which no byte has left; whether it could."""
        connection = out.connection
        if (
            out.progress is not Progress.NOT_SENT
            or connection is None
            or connection.open.get(out.request.id) is not out
        ):
            return False
        del connection.open[out.request.id]
        out.request.used_connections.remove(connection)  # no answer can come here for what never went
        for at, (_, queued) in enumerate(connection.queue):
            if queued is out:
                del connection.queue[at]
                break
        self._rests(connection)
        return True

    def cancel(self, out, timed_out=False):
        """The front's side ends at once: NOT_SENT where no byte had left, else nothing is proved."""
        self.withdraw(out)
        if out.progress is Progress.NOT_SENT:  # also where news took it back, and its end is on the way
            return AttemptOutcome.NOT_SENT
        connection = out.connection
        if connection is None or connection.open.get(out.request.id) is not out:
            return None
        del connection.open[out.request.id]
        self._rests(connection)
        # Left open after a spoilt answer it would serve nothing more, and look just like this. The others on
        # it have waited in vain too where the time is up; where a client left, they may still be answered.
        silent = connection.answered < out.decided_at
        if not connection.closed and not silent:
            self._queue(connection, codec.cancel(out.request.id), None)
        if not connection.open and (silent or connection.place.gone) or silent and timed_out:
            self.loop.call_soon(self.close, connection)
        return None

    def _least_busy(self, place, get, now):
        best = None
        for connection in list(place.held):
            if not connection.open and connection.up and now - connection.used > self.idle_most:
                self.close(connection)
            elif connection in get.used_connections or len(connection.open) >= self.streams:
                continue
            elif best is None or self._waits(connection) < self._waits(best):
                best = connection
        return best

    @staticmethod
    def _waits(connection):
        """Its rank for the next forward: behind how many, on half of an answer to nobody, on its coming up."""
        return len(connection.open), connection.reader.partial(), not connection.up, -connection.used

    def _connection(self, place, get, now):
        """The least busy one, or a new one while there is room: what spoils one should spoil few GETs."""
        best = self._least_busy(place, get, now)
        # Against a request into one that its cache has just closed: nobody could tell whether it ran. What stands
        # unread before an end hides it, and what can't be read ends the connection just as well.
        for _ in range(LOOKS):
            if best is None or not best.up or best.open or not stands(best.sock):
                break
            self._readable(best)
            best = self._least_busy(place, get, now)
        ours = self.servers
        # One for each place is kept free, as far as there are so many.
        kept_free = min(len(ours.places), ours.most // 2)
        full = len(place.held) >= CONNECTIONS_PER_CACHE or ours.connections >= ours.most - kept_free
        # Half of an answer that nobody waits for may never go on, and would take its connection with it.
        if best is not None and (not best.open and not best.reader.partial() or full):
            return best
        if not self.servers.room():
            return best
        return self._connect(place, now)

    def _rests(self, connection):
        if connection.up and not connection.open:
            self.resting[connection] = None

    def idle(self):
        """The connection unused longest, as (since, its close), or None."""
        oldest = next(iter(self.resting), None)
        return oldest and (oldest.used, lambda: self.close(oldest))

    def _connect(self, place, now):
        connection = LineConnection(place, now)
        place.held.append(connection)
        self.servers.connections += 1
        connection.task = self.loop.create_task(self._connect_to(connection))
        return connection

    def _queue(self, connection, line, out):
        connection.queue.append((line, out))
        if connection.up and not connection.writing and connection.retry is None:
            self._send(connection)

    def _send(self, connection):
        """Sends what waits, as far as the socket takes it."""
        connection.retry = None
        try:
            while self._begun(connection):
                sent = send(connection.sock, connection.rest)
                connection.rest = connection.rest[sent:]
                if (out := connection.sending) is not None:
                    if sent:
                        if out.progress is Progress.NOT_SENT:
                            self.driver.sending.began(out, self.driver.clock())
                        out.progress = Progress.PARTLY if connection.rest else Progress.WHOLE
                    elif out.progress is Progress.NOT_SENT:
                        # Made anew when it can go: its wait ages, and it may be withdrawn until then.
                        connection.rest = b""
                        connection.queue.appendleft((None, out))
                        return self._send_later(connection, sent)
                if connection.rest:
                    return self._send_later(connection, sent)
        except OSError:
            self.loop.call_soon(self.close, connection)
        self._writes(connection, False)

    def _begun(self, connection):
        """Whether a line is under way, the next one in the queue being begun: it is made now, as its wait ages."""
        while not connection.rest and connection.queue:
            line, out = connection.queue.popleft()
            if out is not None and (left := self.driver.sending.left(out, self.driver.clock())) is None:
                self._refused(connection, out)
                continue
            connection.rest = memoryview(line if out is None else self._line(out, left))
            connection.sending = out
        return bool(connection.rest)

    @staticmethod
    def _line(out, left):
        get, (said, source) = out.request, out.send_arguments
        return codec.serve(
            get.id,
            get.ds,
            get.object_key,
            get.part,
            said,
            source,
            get.if_none_match,
            get.body,
            get.token,
            left,
        )

    def _refused(self, connection, out):
        """A forward that must not be sent any more, of which nothing has left."""
        if connection.open.get(out.request.id) is out:
            del connection.open[out.request.id]
        self._rests(connection)
        self.loop.call_soon(
            self.driver.on_attempt_ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
        )

    def _send_later(self, connection, sent):
        if sent or not connection.writing:
            self._writes(connection, True)
        else:
            # Writable, and yet it takes nothing: asked again at once it would take all of a core.
            self._writes(connection, False)
            connection.retry = self.loop.call_later(RETRY, self._send, connection)

    def _writes(self, connection, on):
        if connection.writing is not on:
            connection.writing = on
            if on:
                self.loop.add_writer(connection.sock, self._send, connection)
            else:
                self.loop.remove_writer(connection.sock)

    async def _connect_to(self, connection):
        try:
            sock = connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(self.connect_timeout / 1e9):
                await self.loop.sock_connect(sock, connection.place.address)
        except (OSError, UnicodeError) as fault:  # a TimeoutError is one; or the name can't be one
            # Reset when new, or refused beside others that are up: the cache is in reach, and not cold.
            # For want of a descriptor, a port or memory here nothing is known of it.
            connection.in_reach = (
                isinstance(fault, ConnectionResetError)
                or is_local(fault)
                or any(other.up for other in connection.place.held)
            )
            self.close(connection)
        if connection.closed:
            return
        connection.up, connection.made = True, self.driver.clock()
        self.loop.add_reader(sock, self._readable, connection)
        self._rests(connection)
        if connection.queue:
            self._send(connection)

    def _readable(self, connection):
        buffer = self.pool.take()
        if buffer is None:
            return self.close(connection)
        try:
            size = receive_into(connection.sock, buffer)
            if size is None:
                return
            connection.heard = self.driver.clock()
            for answer in connection.reader.feed(buffer[:size]):
                self._answered(connection, answer)
            if fault := connection.reader.fault:
                self.driver.log("cache_unreadable", cache=connection.place.name, error=fault)
            if fault or not size:
                self.close(connection)
            elif connection.reader.partial() and not connection.watched:
                self._watch(connection)
        except OSError:
            self.close(connection)
        except Exception as fault:  # this connection's own, whatever it is
            self.driver.log_exception(fault)
            self.close(connection)
        finally:
            self.pool.give_back(buffer)

    def close(self, connection):
        """Ends a connection; each forward on it is told, by how far it had come."""
        if connection.closed:
            return
        was_up, sock = connection.up, connection.sock
        connection.closed, connection.up = True, False
        self.resting.pop(connection, None)
        connection.place.held.remove(connection)
        self.servers.connections -= 1
        if was_up:
            self.loop.remove_reader(sock)
            self._writes(connection, False)
        if connection.retry is not None:
            connection.retry.cancel()
        pending = connection.task
        if pending is not None and not pending.done() and pending is not asyncio.current_task():
            pending.add_done_callback(lambda _: sock.close())
            pending.cancel()
        elif sock is not None:
            sock.close()
        if connection.open or not was_up:
            self.driver.log(
                "cache_connection_lost" if was_up else "cache_unreachable",
                cache=connection.place.name,
                forwards=len(connection.open),
            )
        forwards, connection.open = list(connection.open.values()), {}
        connection.queue.clear()
        connection.rest = b""
        self.servers.forget(connection.place)
        now = self.driver.clock()  # one end for all of them, however long telling it takes
        for out in forwards:
            # What was up and broke shows a cache in reach, unlike one that can't be connected to.
            never_executed = (
                AttemptOutcome.NOT_SENT if was_up or connection.in_reach else AttemptOutcome.UNREACHABLE
            )
            outcome = AttemptOutcome.RESET if out.progress is Progress.WHOLE else never_executed
            self.driver.on_attempt_ended(out, outcome, CacheStatus.UNKNOWN, 0, {}, now)

    def _answered(self, connection, answer):
        connection.used = connection.answered = connection.heard
        out = connection.open.get(answer.id)
        if out is None:
            return  # late: its forward has ended already
        try:
            outcome, found, waited, load = codec.meaning(answer, out.request.if_none_match)
        except codec.MalformedAnswerError as fault:
            connection.reader.fault = connection.reader.fault or str(fault)
            return
        del connection.open[answer.id]
        self._rests(connection)
        if outcome is AttemptOutcome.RETURNED:
            self.driver.on_response(out, codec.returned(answer))
        self.driver.on_attempt_ended(out, outcome, found, waited, load)
        if connection.place.gone and not connection.open:
            self.close(connection)

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns), or None."""
        return self.stalls[0][0] if self.stalls else None

    def due(self, now):
        """Ends connections whose answer was begun and has had no byte since."""
        while self.stalls and self.stalls[0][0] <= now:
            connection = self.stalls.popleft()[1]
            connection.watched = False
            if connection.closed or not connection.reader.partial():
                continue
            if connection.heard + STALL_TIMEOUT_NS > now:
                self._watch(connection)
                continue
            self.driver.log("cache_stalled", cache=connection.place.name, forwards=len(connection.open))
            self.close(connection)

    def _watch(self, connection):
        # Looked at once in so long, not at each read: large answers come in many.
        connection.watched, due = True, self.driver.clock() + STALL_TIMEOUT_NS
        self.stalls.append((due, connection))
        self.driver.bring_timer_forward(due)

    def sweep(self, now):
        """Close connections that were idle for too long."""
        while (oldest := next(iter(self.resting), None)) is not None and now - oldest.used > self.idle_most:
            self.close(oldest)

    def stop(self):
        """Nothing is said at the end: what was open here has had its answer."""
