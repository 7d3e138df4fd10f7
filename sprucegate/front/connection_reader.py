"""Accepts client connections and reads complete requests from them."""

import asyncio
from collections import deque
from itertools import count

from sprucegate.front.buffer_pool import BUFFER_BYTES
from sprucegate.front.client_connections import ClientConnection, ConnectionState
from sprucegate.front.client_table import ClientTable
from sprucegate.front.limited_log import LimitedLog
from sprucegate.units import MILLISECOND
from sprucegate.upstream.buffered_bytes import Holder
from sprucegate.upstream.sockets import has_pending_input, receive_into, set_no_delay, time_since_last_data

REQUESTS_PER_ITERATION = 3  # requests dispatched in one iteration of the event loop
READS_PER_ITERATION = (
    4  # of one connection, until a request is whole: one that has arrived whole is read whole
)
CONNECTIONS_PER_PASS = 16  # connections accepted, or examined for eviction, in one pass
ACCEPT_PAUSE_S = (
    0.02  # pause of accepting at the connection limit; new connections wait in the kernel's queue
)
FREE_CANDIDATES = 8  # connections looked at to free memory
LISTEN_BACKLOG = 1024  # connections that wait to be accepted, at most
ACCEPTS_PER_CALL = 64  # while the front stops
CLOSES_LOGGED_PER_SECOND = 5
# Closes that are not worth a line each: by the client, at the end of the front, after a response.
CLOSES_NOT_LOGGED = frozenset({"peer", "stopping", "told_to_go"})


class ConnectionReader:
    """Accepts clients' connections, reads requests from them, and closes those that are idle or over their limits.

    :ivar max_connections: upper bound of connections at a time
    :ivar timeouts: ConnectionTimes of the configuration, in nanoseconds
    :ivar repeatable: headers that may occur twice in a request
    :ivar clients: the ClientTable of open connections
    :ivar pending_requests: complete requests that are not dispatched yet
    :ivar dispatch_scheduled: whether `_dispatch` is scheduled in the event loop
    :ivar resume_timer: resumes accepting after a pause, or None
    :ivar accept_queue_empty: whether the last accept found no waiting connection
    :ivar accepts_left: connections that are still accepted while the front stops
    :ivar numbers: numbers of the next connections
    :ivar close_log: log of the connections that the front closed
    """

    def __init__(self, driver, pool, max_connections, timeouts, repeatable=frozenset()):
        self.driver = driver
        self.pool = pool
        self.max_connections = max_connections
        self.timeouts = timeouts
        self.repeatable = repeatable
        self.loop = asyncio.get_running_loop()
        self.clients = ClientTable()
        self.pending_requests = deque()
        self.dispatch_scheduled = False
        self.listener = None
        self.resume_timer = None
        self.accept_queue_empty = False
        self.accepts_left = LISTEN_BACKLOG
        self.numbers = count(1)
        self.close_log = LimitedLog(
            driver.log,
            CLOSES_LOGGED_PER_SECOND,
            lambda: driver.counters.count("client_closed_left_out"),
        )
        self.buffers = driver.buffers
        self.buffers.free_one = self._free_one

    # Connections.

    def listen(self, listener):
        """Accept connections from a reader callback: a cancelled `sock_accept` would lose one it had just accepted."""
        self.listener = listener
        self.loop.add_reader(listener, self._on_acceptable)

    def _on_acceptable(self):
        for accepted in range(CONNECTIONS_PER_PASS):
            if len(self.clients) >= self.max_connections:
                if accepted:
                    return  # whether another one is waiting is known only in the next iteration
                if not self._evict_one():
                    # In the queue it may still be served; closed at once it would get no response at all.
                    self.driver.counters.count("accepts_put_off")
                    self._pause_accepting()
                    return
            if not self._accept():
                return

    def _accept(self):
        """Accept one connection; return whether another one may be waiting."""
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            self.accept_queue_empty = True
            return False
        except (ConnectionAbortedError, InterruptedError):
            return True  # this one was aborted; others may be waiting
        except OSError as fault:
            # Out of descriptors: the listener stays readable, so retrying at once would use a whole core.
            self.driver.log("accept_failed", error=str(fault))
            self.accept_queue_empty = False
            self._pause_accepting()
            return False
        sock.setblocking(False)
        set_no_delay(sock)
        client = ClientConnection(
            sock, self.driver.clock(), self.repeatable, next(self.numbers), self.clients
        )
        self.loop.add_reader(sock, self._on_readable, client)
        return True

    def _pause_accepting(self):
        if self.resume_timer is None:
            self.loop.remove_reader(self.listener)
            self.resume_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self):
        self.resume_timer = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._on_acceptable)

    def stop_listening(self):
        """Accept the connections that wait in the listener's queue, then close it, which resets any left in it.

        Return False while some may be left: the caller calls again. The bound on connections holds meanwhile, and so
        many are accepted at most as the queue holds: the ones behind them came after the first call.
        """
        if self.listener is None:
            return True
        if not self._accept_waiting() and self.accepts_left:
            return False
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        return True

    def _accept_waiting(self):
        """Accept a few of the waiting connections; return whether none is left."""
        for _ in range(min(ACCEPTS_PER_CALL, self.accepts_left)):
            if len(self.clients) >= self.max_connections and not self._evict_one():
                return False
            self.accepts_left -= 1
            if not self._accept():
                return self.accept_queue_empty
        return False

    def _evict_one(self):
        """Close a connection to make room for a new one; return whether there is room.

        It is read from before, unless it is half-closed: a request whose rest is in the kernel's buffer counts as sent.
        """
        for _ in range(CONNECTIONS_PER_PASS):
            client = self.clients.next_to_close()
            if client is None:
                return False
            if client.state is ConnectionState.HALF_CLOSED:
                return self.close(client, "told_to_go")
            self._on_readable(client)
            if client.state is ConnectionState.CLOSED:
                return True
            if client.is_idle():
                client.shut_down(self.driver.clock())
                return self.close(client, "made_room")
            if client.state is ConnectionState.IDLE:
                return self.close(client, "half_request")
        return False

    def read_and_check_idle(self, client):
        """Read what has just arrived; return whether the connection is still idle."""
        if client.is_idle():
            self._on_readable(client)
        return client.is_idle()

    def close_if_idle(self, client):
        """Shut down an idle connection; a request that has just arrived is served first."""
        if self.read_and_check_idle(client):
            client.shut_down(self.driver.clock())

    def _on_readable(self, client):
        for _ in range(READS_PER_ITERATION):
            size = self._read_once(client)
            if size < BUFFER_BYTES or not client.reader.request_started:
                return

    def _read_once(self, client):
        """Read once from a connection; return how many bytes of requests were read."""
        buffer = self.pool.take()
        if buffer is None:
            self.close(client, "no_buffer")
            return 0
        try:
            size = receive_into(client.sock, buffer)
            if size == 0:
                self.close(client, "peer")
            elif size and client.accepts_requests():
                self._on_data(client, buffer[:size])
                return size
        except OSError:
            self.close(client, "peer")
        except Exception as fault:  # any other failure ends this connection alone
            self.driver.log_exception(fault)
            self.close(client, "fault")
        finally:
            self.pool.give_back(buffer)
        return 0

    def _free_one(self):
        """Close a connection to free its buffered bytes; return whether one could be closed.

        One with unread input is passed over where there is another: its request may be whole by now.
        """
        clients = self.clients.next_to_free(FREE_CANDIDATES)
        if not clients:
            return False
        without_input = (client for client in clients if not has_pending_input(client.sock))
        return self.close(next(without_input, clients[0]), "memory")

    def _count_buffered(self, client):
        """Report the bytes that a connection's request takes; the connection itself may be closed for them."""
        former = client.buffered
        client.buffered = client.undispatched + client.reader.memory_size()
        self.buffers.change(Holder.PARTIAL_REQUEST, former, client.buffered)

    def close(self, client, why):
        """Close a connection; `why` is counted: "peer" where the client ended it. Returns True, for `_evict_one`."""
        if client.state is ConnectionState.CLOSED:
            return True
        self.driver.counters.count(f"clients_closed {why}")
        if why not in CLOSES_NOT_LOGGED:
            self._log_close(client, why)
        self.driver.invariants.check_close(client, why)
        self.loop.remove_reader(client.sock)
        if client.writer is not None:
            # Before the socket is closed: the kernel may then give its descriptor to another connection.
            client.writer.cancel()
        client.on_closed(self.driver.clock())
        client.sock.close()
        self._uncount_buffered(client)
        if client.open_request is not None:
            self.driver.guarded(client.open_request, self.driver.client_left, client.open_request)
        return True

    def _uncount_buffered(self, client):
        request, response = client.buffered, client.unwritten
        client.buffered = client.undispatched = client.unwritten = 0
        self.buffers.change(Holder.PARTIAL_REQUEST, request, 0)
        self.buffers.change(Holder.UNWRITTEN_RESPONSE, response, 0)

    def _log_close(self, client, why):
        now = self.driver.clock()
        request = client.open_request
        self.close_log(
            "client_closed",
            connection=client.number,
            why=why,
            state=client.state.name.lower(),
            state_ms=(now - client.since) // MILLISECOND,
            age_ms=(now - client.accepted_at) // MILLISECOND,
            half_request=client.reader.request_started,
            id=request.id.decode("latin-1") if request is not None else "",
        )

    # Requests.

    def _on_data(self, client, data):
        now = self.driver.clock()
        was_started = client.reader.request_started
        requests = client.reader.feed(data)
        arrived = now - time_since_last_data(client.sock) if requests else now
        if (
            client.reader.request_started
            and not was_started
            and client.has_sent_request
            and client.state is ConnectionState.IDLE
        ):
            client.since = now  # later bytes don't move it, so that the time-out also ends a slow sender
        client.update_table()
        for request in requests:
            if client.state is not ConnectionState.IDLE:
                # Pipelining isn't supported: pipelined requests are not read, and the current response is the last.
                client.close_after_response = True
                break
            client.on_request(now)
            client.close_after_response = not request.keep_alive or client.reader.pipelined
            client.undispatched = len(request.body)
            self.pending_requests.append((client, request, arrived))
        self._count_buffered(client)
        if self.pending_requests and not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            self.loop.call_soon(self._dispatch)
        if client.reader.rejection:
            client.close_after_response = True
            if client.state is ConnectionState.IDLE:
                self.driver.response_writer.reject(client, client.reader.rejection)

    def _dispatch(self):
        """Dispatch a few requests, so that responses of caches are read in between.

        Otherwise, when the front itself is congested, responses that wait behind new requests look like slow caches.
        The router then sheds requests to relieve them, and clients repeat those.
        """
        for _ in range(min(REQUESTS_PER_ITERATION, len(self.pending_requests))):
            client, request, at = self.pending_requests.popleft()
            if client.state is ConnectionState.REQUEST_IN_PROGRESS:
                client.undispatched = 0
                self._count_buffered(client)
                self.driver.receive_request(client, request, at)
        self.dispatch_scheduled = bool(self.pending_requests)
        if self.dispatch_scheduled:
            self.loop.call_soon(self._dispatch)

    def sweep(self, now):
        """Close connections over their time-outs: an unfinished request, an unused one, one the client never closes."""
        for client in self.clients:
            waited = now - client.since
            if client.state is ConnectionState.HALF_CLOSED:
                if waited > self.timeouts.linger_timeout:
                    self.close(client, "lingered")
            elif client.state is ConnectionState.WRITING_RESPONSE:
                if waited > self.timeouts.write_timeout:
                    self.driver.counters.count("clients_not_reading")
                    self.close(client, "not_reading")
            elif client.state is ConnectionState.IDLE:
                awaits_request = client.reader.request_started or not client.has_sent_request
                if waited > (self.timeouts.request_timeout if awaits_request else self.timeouts.idle_timeout):
                    self.driver.counters.count("clients_timed_out" if awaits_request else "clients_idle")
                    if client.reader.request_started:
                        client.shut_down(now)
                    else:
                        self.close_if_idle(client)

    def drain(self, now):
        """Shut down idle connections while the front stops; return whether any connection is still in use.

        A connection without a request yet, or with a partial one, keeps the time that sending a request takes. A
        half-closed one keeps the time within which a client that reads would have closed.
        """
        in_use = False
        for client in self.clients:
            fresh = not client.has_sent_request and now - client.since <= self.timeouts.first_request_wait
            if client.is_idle() and not fresh:
                self.close_if_idle(client)
            in_use |= client.state is not ConnectionState.CLOSED and not (
                client.state is ConnectionState.HALF_CLOSED
                and now - client.since > self.timeouts.first_request_wait
            )
        return in_use
