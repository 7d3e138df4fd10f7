"""Take in: client connections, and requests as they become whole."""

import asyncio
from collections import deque

from sprucegate.front.client_connections import ClientConnection, ConnectionState
from sprucegate.upstream.sockets import receive_into, set_no_delay, time_since_last_data

TURN = 3  # requests begun in one turn of the loop
LOOKS = 16  # connections looked at for one that may give way to a new one
PAUSE = 0.02  # seconds for which the listener rests where nobody can be taken: the rest wait in its queue


class ConnectionReader:
    """Accepts clients' connections, reads requests from them, and closes those that are idle or over their bounds."""

    def __init__(self, driver, pool, most, times, repeatable=frozenset()):
        """`most` connections at a time; `times` are the bounds of the configuration, in nanoseconds."""
        self.driver, self.pool, self.most, self.times, self.repeatable = driver, pool, most, times, repeatable
        self.clients, self.loop = {}, asyncio.get_running_loop()  # the one that asked last stands last
        self.silent = {}  # those that have not yet sent a whole request, the oldest first
        self.whole, self.begins, self.listener, self.paused = deque(), False, None, None
        self.emptied = False  # whether the last look at the queue found nobody there

    # Connections.

    def listen(self, listener):
        """Takes connections by a reader: of a cancelled accept the one it had just taken would be lost."""
        self.listener = listener
        self.loop.add_reader(listener, self._acceptable)

    def _acceptable(self):
        for at in range(LOOKS):
            if len(self.clients) >= self.most:
                if at:
                    return  # whether another one stands there, only the next turn tells
                if not self._make_room():
                    # Left in the queue, it may still be served; closed at once it would have no answer at all.
                    self.driver.book.count("accepts_put_off")
                    return self._pause()
            if not self._accept():
                return

    def _accept(self):
        """Whether another one may stand behind the one just taken."""
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            self.emptied = True
            return False
        except (ConnectionAbortedError, InterruptedError):
            return True  # that one has left; others may stand behind it
        except OSError as fault:
            # Out of descriptors: the listener stays readable, and asked at once again it would take all of a core.
            self.driver.log("accept_failed", error=str(fault))
            self.emptied = False
            self._pause()
            return False
        sock.setblocking(False)
        set_no_delay(sock)
        client = ClientConnection(sock, self.driver.clock(), self.repeatable)
        self.clients[client] = self.silent[client] = None
        self.loop.add_reader(sock, self._readable, client)
        return True

    def _pause(self):
        if self.paused is None:
            self.loop.remove_reader(self.listener)
            self.paused = self.loop.call_later(PAUSE, self._go_on)

    def _go_on(self):
        self.paused = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self._acceptable)

    def stop_listening(self):
        """Takes whoever stands in the queue first: closed with the listener, they would be reset.

        False where one could not be taken now, for want of a descriptor or of memory: the listener stays then.
        """
        if self.listener is None:
            return True
        while self._accept():
            pass
        if not self.emptied:
            return False
        if self.paused is not None:
            self.paused.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        return True

    def _make_room(self):
        """Ends one for a new one: who was told to go, then who never asked, then the one idle longest.

        Each only after a look at what has just come: a request in the kernel's buffer counts as sent.
        """
        if (
            gone := next((c for c in self.clients if c.state is ConnectionState.HALF_CLOSED), None)
        ) is not None:
            return self.close(gone, "told_to_go")
        for those in (self.silent, self.clients):
            for client in [c for c in those if c.is_idle()][:LOOKS]:
                if self.look(client):
                    client.shut_down(self.driver.clock())
                    return self.close(client, "made_room")
        # Half a request, the oldest one: no answer is owed.
        half = next((c for c in self.silent if c.state is ConnectionState.IDLE), None)
        return half is not None and self.close(half, "half_request")

    def look(self, client):
        """Whether it still rests once what has just come was read."""
        if client.is_idle():
            self._readable(client)
        return client.is_idle()

    def end(self, client):
        """Ends a connection that rests; a request that came meanwhile is served first."""
        if self.look(client):
            self.silent.pop(client, None)
            client.shut_down(self.driver.clock())

    def _readable(self, client):
        buffer = self.pool.take()
        if buffer is None:
            return self.close(client, "no_buffer")
        try:
            size = receive_into(client.sock, buffer)
            if size == 0:
                self.close(client, "peer")
            elif size and client.accepts_requests():
                self._fed(client, buffer[:size])
        except OSError:
            self.close(client, "peer")
        except Exception as fault:  # this connection's own, whatever it is
            self.driver.fault(fault)
            self.close(client, "fault")
        finally:
            self.pool.give_back(buffer)

    def close(self, client, why):
        """True, for who made room by it. `why` is counted: "peer" where the client ended it."""
        if client.state is ConnectionState.CLOSED:
            return True
        self.driver.book.count(f"clients_closed {why}")
        self.driver.invariants.closed(client, why)
        client.on_closed(self.driver.clock())
        for those in (self.clients, self.silent):
            those.pop(client, None)
        self.loop.remove_reader(client.sock)
        if client.writer is not None:
            # Closed under a pending write, its number could be another connection's by then.
            client.writer.cancel()
        client.sock.close()
        if client.get is not None:
            self.driver.guarded(client.get, self.driver.left, client.get)
        return True

    # Requests.

    def _fed(self, client, data):
        now, begun = self.driver.clock(), client.reader.begun
        requests = client.reader.feed(data)
        came = now - time_since_last_data(client.sock) if requests else now
        if client.reader.begun and not begun and client.asked and client.state is ConnectionState.IDLE:
            client.since = now  # not moved by later bytes: one that dribbles is bounded too
        for request in requests:
            if client.state is not ConnectionState.IDLE:
                # One at a time is agreed; what was sent ahead goes unread, and the answer under way is the last.
                client.last = True
                break
            client.on_request(now)
            client.last = not request.keep_alive
            self.silent.pop(client, None)
            self.clients[client] = self.clients.pop(client)
            self.whole.append((client, request, came))
        if self.whole and not self.begins:
            self.begins = True
            self.loop.call_soon(self._begin)
        if client.reader.fault:
            client.last = True
            if client.state is ConnectionState.IDLE:
                self.driver.relay.refuse(client, client.reader.fault)

    def _begin(self):
        """A few at a time, so that what caches have answered is read in between.

        Against a jam in the front itself: answers that wait behind new requests look like slow caches, which
        the module then spares by sheds that the clients repeat.
        """
        for _ in range(min(TURN, len(self.whole))):
            client, request, at = self.whole.popleft()
            if client.state is ConnectionState.REQUEST_IN_PROGRESS:
                self.driver.request(client, request, at)
        self.begins = bool(self.whole)
        if self.begins:
            self.loop.call_soon(self._begin)

    def sweep(self, now):
        """A request never finished, a connection never used or never closed by its client: all go in time."""
        for client in list(self.clients):
            waited = now - client.since
            if client.state is ConnectionState.HALF_CLOSED:
                if waited > self.times.lingering:
                    self.close(client, "lingered")
            elif client.state is ConnectionState.WRITING_RESPONSE:
                if waited > self.times.sending:
                    self.driver.book.count("clients_not_reading")
                    self.close(client, "not_reading")
            elif client.state is ConnectionState.IDLE:
                waits = client.reader.begun or not client.asked
                if waited > (self.times.unfinished if waits else self.times.idle):
                    self.driver.book.count("clients_timed_out" if waits else "clients_idle")
                    if client.reader.begun:
                        self.silent.pop(client, None)
                        client.shut_down(now)
                    else:
                        self.end(client)

    def finish(self, now):
        """One look at all, at the front's end: those that rest are ended. Whether anything still goes on.

        Who never asked, or has begun a request, keeps what time a request takes; who was told to go, the time in
        which a client that reads would have gone.
        """
        goes_on = False
        for client in list(self.clients):
            fresh = not client.asked and now - client.since <= self.times.fresh
            if client.is_idle() and not fresh:
                self.end(client)
            goes_on |= client.state is not ConnectionState.CLOSED and not (
                client.state is ConnectionState.HALF_CLOSED and now - client.since > self.times.fresh
            )
        return goes_on
