"""The transport of the line protocol: connections to the servers that speak it, and the attempts on them.

Each attempt records how much of it was sent, which tells "never executed" from "may have been executed" at its end.
"""

import asyncio
import socket
from collections import OrderedDict, deque

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.routing.router import CONNECTIONS_PER_CACHE, STALL_TIMEOUT_NS
from sprucegate.upstream.buffered_bytes import Holder
from sprucegate.upstream.lines import codec
from sprucegate.upstream.lines.connection import LineConnection
from sprucegate.upstream.progress import Progress
from sprucegate.upstream.sockets import (
    RETRY_DELAY_S,
    has_pending_input,
    is_local,
    receive_into,
    send,
    set_no_delay,
)

PENDING_READS_MAX = 8  # reads of pending input on idle connections before one of them is used


class LineTransport:
    """Sends attempts over the line protocol, within the bounds on connections and on attempts per connection."""

    age_unit = 0  # milliseconds, which the platform's tick allows for

    def __init__(self, servers, driver, pool, settings):
        self.servers = servers
        self.driver = driver
        self.pool = pool  # of read buffers
        self.connect_timeout = settings.get("connect_timeout", 400_000_000)
        self.attempts_max = settings.get("max_streams", 100)  # on one connection
        # A request that crosses the server's close of an idle connection may have been executed: the front closes
        # idle connections before the server's keep-alive time ends.
        keepalive = settings.get("keepalive", 15_000_000_000)
        self.idle_timeout = max(keepalive // 2, keepalive - self.connect_timeout)
        self.loop = asyncio.get_running_loop()
        self.stall_checks = deque()  # (when due, connection): connections with a partly received answer
        self.idle_connections = OrderedDict()  # established ones without attempts, the longest idle first

    def create_state(self, server):
        """Return the transport's state for one server: a list of its connections."""
        return []

    def open_connections(self, server):
        """Return the number of connections to a server."""
        return len(server.transport_state)

    def connected_since(self, server, since):
        """Return whether a connection that is still up was established at or after `since`."""
        return any(c.up and c.up_since >= since for c in server.transport_state)

    def address_changed(self, server):
        """Retire the connections to the former address, where another process may be by now."""
        for connection in list(server.transport_state):
            self._retire(connection)

    def drain(self, server):
        """Retire the connections to a server that was removed; one listed again later gets new ones."""
        for connection in list(server.transport_state):
            self._retire(connection)

    def _retire(self, connection):
        """End a connection once the attempts are answered that were sent on it; the others are routed again."""
        connection.retired = True
        self.idle_connections.pop(connection, None)
        for attempt in list(connection.attempts.values()):
            if self.withdraw(attempt):
                self._report_not_sent(attempt)
        if not connection.attempts:
            self.close(connection)

    def warm(self, server, now):
        """Connect to a server ahead of its first attempt."""
        if not server.transport_state:
            self._connect(server, now)

    def forward(self, server, attempt, action, source):
        """Send an attempt; its end is reported to the driver."""
        get = attempt.request
        connection = self._choose_connection(server, get, attempt.decided_at)
        if connection is None:  # no capacity on this side: it says nothing about the cache
            self._report_not_sent(attempt)
            return
        # A later attempt of this request must not use the same connection: a late answer, or a duplicate of one,
        # would have the same id.
        get.used_connections.append(connection)
        self.idle_connections.pop(connection, None)
        attempt.connection = connection
        connection.last_used = attempt.decided_at
        attempt.send_arguments = action, source
        connection.attempts[get.id] = attempt
        self._enqueue(connection, None, attempt)

    def withdraw(self, attempt):
        """Withdraw an attempt of which no byte was sent; return whether that was possible."""
        connection = attempt.connection
        if (
            attempt.progress is not Progress.NOT_SENT
            or connection is None
            or connection.attempts.get(attempt.request.id) is not attempt
        ):
            return False
        del connection.attempts[attempt.request.id]
        attempt.request.used_connections.remove(
            connection
        )  # nothing was sent, so no late answer can arrive here
        for index, (_, queued) in enumerate(connection.queue):
            if queued is attempt:
                del connection.queue[index]
                break
        self._update_idle(connection)
        return True

    def cancel(self, attempt, timed_out=False):
        """Cancel an attempt at once; return NOT_SENT if no byte was sent, else None, as it may have run."""
        self.withdraw(attempt)
        if (
            attempt.progress is Progress.NOT_SENT
        ):  # also if it was withdrawn before and its end is being reported
            return AttemptOutcome.NOT_SENT
        connection = attempt.connection
        if connection is None or connection.attempts.get(attempt.request.id) is not attempt:
            return None
        del connection.attempts[attempt.request.id]
        self._update_idle(connection)
        # A connection without an answer since this attempt was decided may be out of step after a corrupt answer,
        # and would then serve nothing more if it were kept. After a time-out it is closed at once, since the other
        # attempts on it have waited in vain too; after a client's disconnect they may still be answered.
        silent = connection.last_answer < attempt.decided_at
        if not connection.closed and not silent:
            self._enqueue(connection, codec.encode_cancel(attempt.request.id), None)
        if not connection.attempts and (silent or connection.retired) or silent and timed_out:
            self.loop.call_soon(self.close, connection)
        return None

    def _least_busy(self, server, get, now):
        best = None
        for connection in list(server.transport_state):
            if not connection.attempts and connection.up and now - connection.last_used > self.idle_timeout:
                self.close(connection)
            elif (
                connection.retired
                or connection in get.used_connections
                or len(connection.attempts) >= self.attempts_max
            ):
                continue
            elif best is None or self._load_rank(connection) < self._load_rank(best):
                best = connection
        return best

    @staticmethod
    def _load_rank(connection):
        """Return the order of preference for the next attempt, the lowest first.

        It compares open attempts, whether part of an answer was received, whether it is still connecting, last use.
        """
        return (
            len(connection.attempts),
            connection.reader.has_partial_answer(),
            not connection.up,
            -connection.last_used,
        )

    def _choose_connection(self, server, get, now):
        """Return the least busy connection, or a new one while the bounds allow it.

        New ones are preferred to busy ones: the loss of a connection should affect few requests.
        """
        best = self._least_busy(server, get, now)
        # Pending input on an idle connection is read first: if its cache has just closed it, nobody could tell whether
        # a request sent into it was executed. Unread bytes hide the close behind them, so several reads may be needed;
        # bytes that can't be parsed end the connection as well.
        for _ in range(PENDING_READS_MAX):
            if best is None or not best.up or best.attempts or not has_pending_input(best.sock):
                break
            self._on_readable(best)
            best = self._least_busy(server, get, now)
        servers = self.servers
        # One connection per server is kept in reserve, up to half of the bound over all servers.
        reserved = min(len(servers.by_id), servers.max_connections // 2)
        full = (
            len(server.transport_state) >= CONNECTIONS_PER_CACHE
            or servers.connections >= servers.max_connections - reserved
        )
        # A partly received answer that nobody waits for may never be completed: its connection would then be closed
        # as stalled, with all attempts on it.
        if best is not None and (not best.attempts and not best.reader.has_partial_answer() or full):
            return best
        if not self.servers.make_room():
            return best
        return self._connect(server, now)

    def _update_idle(self, connection):
        if connection.up and not connection.attempts and not connection.retired:
            self.idle_connections[connection] = None

    def oldest_idle(self):
        """Return the connection idle for longest as (time of its last use, function that closes it), or None."""
        oldest = next(iter(self.idle_connections), None)
        return oldest and (oldest.last_used, lambda: self.close(oldest))

    def _connect(self, server, now):
        connection = LineConnection(server, now)
        server.transport_state.append(connection)
        self.servers.connections += 1
        connection.connect_task = self.loop.create_task(self._establish(connection))
        return connection

    def _enqueue(self, connection, line, attempt):
        connection.queue.append((line, attempt))
        if connection.up and not connection.writer_registered and connection.retry_timer is None:
            self._flush(connection)

    def _flush(self, connection):
        """Send what is queued, as far as the socket takes it."""
        connection.retry_timer = None
        try:
            while self._next_line(connection):
                sent = send(connection.sock, connection.unsent)
                connection.unsent = connection.unsent[sent:]
                if (attempt := connection.sending) is not None:
                    if sent:
                        if attempt.progress is Progress.NOT_SENT:
                            self.driver.sending.began(attempt, self.driver.clock())
                        attempt.progress = Progress.PARTIAL if connection.unsent else Progress.COMPLETE
                        if not connection.unsent:
                            connection.sending = (
                                None  # an idle connection must not keep the last request's body
                            )
                    elif attempt.progress is Progress.NOT_SENT:
                        # Encoded again once the socket takes it: the time left for it decreases until then, and it
                        # can still be withdrawn.
                        connection.unsent = b""
                        connection.queue.appendleft((None, attempt))
                        return self._flush_later(connection, sent)
                if connection.unsent:
                    return self._flush_later(connection, sent)
        except OSError:
            self.loop.call_soon(self.close, connection)
        self._set_writer(connection, False)

    def _next_line(self, connection):
        """Return whether there is something to send.

        A queued attempt is encoded only now, as the time left for it decreases while it waits.
        """
        while not connection.unsent and connection.queue:
            line, attempt = connection.queue.popleft()
            if (
                attempt is not None
                and (time_left := self.driver.sending.time_left(attempt, self.driver.clock())) is None
            ):
                self._drop_unsent(connection, attempt)
                continue
            connection.unsent = memoryview(line if attempt is None else self._encode(attempt, time_left))
            connection.sending = attempt
        return bool(connection.unsent)

    @staticmethod
    def _encode(attempt, time_left):
        get = attempt.request
        action, source = attempt.send_arguments
        return codec.encode_request(
            get.id,
            get.ds,
            get.object_key,
            get.part,
            action,
            source,
            get.if_none_match,
            get.body,
            get.token,
            time_left,
        )

    def _drop_unsent(self, connection, attempt):
        """End an attempt that must not be sent any more and of which no byte was sent."""
        if connection.attempts.get(attempt.request.id) is attempt:
            del connection.attempts[attempt.request.id]
        self._update_idle(connection)
        self._report_not_sent(attempt)

    def _report_not_sent(self, attempt):
        """Report the end of an attempt of which no byte was sent, from a later turn of the event loop."""
        self.loop.call_soon(
            self.driver.on_attempt_ended, attempt, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
        )

    def _flush_later(self, connection, sent):
        if sent or not connection.writer_registered:
            self._set_writer(connection, True)
        else:
            # The socket is reported writable and takes nothing: waiting for writability would spin at full CPU.
            self._set_writer(connection, False)
            connection.retry_timer = self.loop.call_later(RETRY_DELAY_S, self._flush, connection)

    def _set_writer(self, connection, on):
        if connection.writer_registered is not on:
            connection.writer_registered = on
            if on:
                self.loop.add_writer(connection.sock, self._flush, connection)
            else:
                self.loop.remove_writer(connection.sock)

    async def _establish(self, connection):
        try:
            sock = connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            set_no_delay(sock)
            async with asyncio.timeout(self.connect_timeout / 1e9):
                await self.loop.sock_connect(sock, connection.server.address)
        except (
            OSError,
            UnicodeError,
        ) as fault:  # TimeoutError is an OSError; UnicodeError: not a valid host name
            # A reset during connect, or a failure while other connections are up, shows that the cache is reachable
            # and not cold. A lack of descriptors, ports or memory on this side says nothing about it.
            connection.reachable = (
                isinstance(fault, ConnectionResetError)
                or is_local(fault)
                or any(other.up for other in connection.server.transport_state)
            )
            self.close(connection)
        if connection.closed:
            return
        connection.up = True
        connection.up_since = self.driver.clock()
        self.loop.add_reader(sock, self._on_readable, connection)
        self._update_idle(connection)
        if connection.queue:
            self._flush(connection)

    def _pause(self, connection):
        """Leave an answer that begins in the kernel's buffer until there is room for it."""
        self.driver.counters.count("answers_put_off")
        connection.paused = True
        self.loop.remove_reader(connection.sock)
        self.driver.buffers.when_not_full(connection, lambda: self._resume(connection))

    def _resume(self, connection):
        connection.paused = False
        self.loop.add_reader(connection.sock, self._on_readable, connection)

    @staticmethod
    def _count_buffered(connection, buffers, size):
        former, connection.buffered = connection.buffered, size
        buffers.change(Holder.PARTIAL_ANSWER, former, size)

    def _on_readable(self, connection):
        if connection.paused:
            return None
        if self.driver.buffers.is_full() and not connection.reader.has_partial_answer():
            return self._pause(connection)
        buffer = self.pool.take()
        if buffer is None:
            return self.close(connection)
        try:
            size = receive_into(connection.sock, buffer)
            if size is None:
                return
            connection.last_read = self.driver.clock()
            answers = connection.reader.feed(buffer[:size])
            self._count_buffered(connection, self.driver.buffers, connection.reader.memory_size())
            for answer in answers:
                self._on_answer(connection, answer)
            if fault := connection.reader.fault:
                self.driver.log("cache_unreadable", cache=connection.server.name, error=fault)
            if fault or not size:
                self.close(connection)
            elif connection.reader.has_partial_answer() and not connection.stall_check_armed:
                self._arm_stall_check(connection)
        except OSError:
            self.close(connection)
        except Exception as fault:  # an unexpected error costs this connection alone
            self.driver.log_exception(fault)
            self.close(connection)
        finally:
            self.pool.give_back(buffer)

    def close(self, connection):
        """Close a connection and report the end of each attempt on it, by how much of it was sent."""
        if connection.closed:
            return
        was_up = connection.up
        sock = connection.sock
        connection.closed = True
        connection.up = False
        self.idle_connections.pop(connection, None)
        connection.server.transport_state.remove(connection)
        self.servers.connections -= 1
        if was_up:
            self.loop.remove_reader(sock)
            self._set_writer(connection, False)
        if connection.retry_timer is not None:
            connection.retry_timer.cancel()
        pending = connection.connect_task
        if pending is not None and not pending.done() and pending is not asyncio.current_task():
            pending.add_done_callback(lambda _: sock.close())
            pending.cancel()
        elif sock is not None:
            sock.close()
        if connection.attempts or not was_up:
            self.driver.log(
                "cache_connection_lost" if was_up else "cache_unreachable",
                cache=connection.server.name,
                forwards=len(connection.attempts),
            )
        attempts = list(connection.attempts.values())
        connection.attempts = {}
        connection.queue.clear()
        connection.unsent = b""
        self.driver.buffers.stop_waiting(connection)
        self._count_buffered(connection, self.driver.buffers, 0)
        self.servers.drop_if_unused(connection.server)
        now = self.driver.clock()  # the same time of end for all of them, however long the reports take
        for attempt in attempts:
            # A connection that was established and broke shows a reachable cache; a failed connect does not.
            never_executed = (
                AttemptOutcome.NOT_SENT if was_up or connection.reachable else AttemptOutcome.UNREACHABLE
            )
            outcome = AttemptOutcome.RESET if attempt.progress is Progress.COMPLETE else never_executed
            self.driver.on_attempt_ended(attempt, outcome, CacheStatus.UNKNOWN, 0, {}, now)

    def _on_answer(self, connection, answer):
        connection.last_used = connection.last_answer = connection.last_read
        attempt = connection.attempts.get(answer.id)
        if attempt is None:
            return  # a late answer: the attempt has already ended
        try:
            outcome, cache_status, fill_wait, load = codec.interpret(answer, attempt.request.if_none_match)
        except codec.MalformedAnswerError as fault:
            connection.reader.fault = connection.reader.fault or str(fault)
            return
        del connection.attempts[answer.id]
        self._update_idle(connection)
        if outcome is AttemptOutcome.RETURNED:
            self.driver.on_response(attempt, codec.to_response(answer))
        self.driver.on_attempt_ended(attempt, outcome, cache_status, fill_wait, load)
        if connection.retired and not connection.attempts:
            self.close(connection)

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns), or None."""
        return self.stall_checks[0][0] if self.stall_checks else None

    def due(self, now):
        """Close connections with a partly received answer that had no byte for the stall time."""
        while self.stall_checks and self.stall_checks[0][0] <= now:
            connection = self.stall_checks.popleft()[1]
            connection.stall_check_armed = False
            if connection.closed or not connection.reader.has_partial_answer():
                continue
            if connection.last_read + STALL_TIMEOUT_NS > now:
                self._arm_stall_check(connection)
                continue
            self.driver.log("cache_stalled", cache=connection.server.name, forwards=len(connection.attempts))
            self.close(connection)

    def _arm_stall_check(self, connection):
        # One check per stall time and not per read: large answers arrive in many reads.
        connection.stall_check_armed = True
        due = self.driver.clock() + STALL_TIMEOUT_NS
        self.stall_checks.append((due, connection))
        self.driver.bring_timer_forward(due)

    def sweep(self, now):
        """Close connections that were idle for too long."""
        while (
            oldest := next(iter(self.idle_connections), None)
        ) is not None and now - oldest.last_used > self.idle_timeout:
            self.close(oldest)

    def stop(self):
        """Do nothing: the line protocol has no closing message, and all attempts have ended by now."""
