"""Take in: client connections, and requests as they become whole."""

import asyncio
import socket
from collections import deque

from sprucegate.front.memory.connections import Client
from sprucegate.front.protocol import http

TURN = 3        # requests begun in one turn of the loop
S = 1_000_000_000
UNFINISHED = 22 * S // 10   # for a first request, or one begun, to be whole; for a refused client to leave
IDLE = 12 * S               # between two requests; usual clients close after four seconds


class TakeIn:
    def __init__(self, driver, pool, most):
        self.driver, self.pool, self.most = driver, pool, most
        self.clients, self.loop = {}, asyncio.get_running_loop()     # the one that asked last stands last
        self.silent = {}                     # those that have not yet sent a whole request, the oldest first
        self.whole, self.begins = deque(), False

    async def accept(self, listener):
        while True:
            try:
                sock, _ = await self.loop.sock_accept(listener)
            except OSError as fault:
                # Out of descriptors, or a client that left at once: the next one may do better.
                self.driver.log("accept_failed", error=str(fault))
                await asyncio.sleep(0.01)
                continue
            if len(self.clients) >= self.most and not self._make_room():
                self.driver.book.count("clients_over_bound")
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(sock, self.driver.clock())
            self.clients[client] = self.silent[client] = None
            self.loop.add_reader(sock, self._readable, client)

    def _make_room(self):
        """One that never asked goes first, against floods of them; then the one idle longest."""
        oldest = next(iter(self.silent), None) or next((c for c in self.clients if c.idle()), None)
        if oldest is not None:
            self.close(oldest)
        return oldest is not None

    def _readable(self, client):
        buffer = self.pool.take()
        if buffer is None:
            return self.close(client)
        try:
            if not (size := client.sock.recv_into(buffer)):
                self.close(client)
            elif not client.closing:
                self._fed(client, buffer[:size])
        except BlockingIOError:
            pass
        except OSError:
            self.close(client)
        finally:
            self.pool.give_back(buffer)

    def close(self, client):
        if client not in self.clients:
            return
        del self.clients[client]
        self.silent.pop(client, None)
        client.closing = True
        self.loop.remove_reader(client.sock)
        if client.writer is None:
            client.sock.close()
        else:
            # Closed under a pending write, its number could be another connection's by then.
            client.writer.add_done_callback(lambda _: client.sock.close())
            client.writer.cancel()
        if client.get is not None:
            self.driver.guarded(client.get, self.driver.left, client.get)

    def _fed(self, client, data):
        now, begun = self.driver.clock(), client.reader.begun
        requests = client.reader.feed(data)
        if client.reader.begun and not begun and client.asked:
            client.since = now               # not moved by later bytes: one that dribbles is bounded too
        for request in requests:
            if client.busy or client.closing:
                # One at a time is agreed; one sent ahead is left unread by the close that follows.
                client.closing = True
                return
            client.busy = client.asked = True
            client.since = now
            self.silent.pop(client, None)
            self.clients[client] = self.clients.pop(client)
            self.whole.append((client, request, now))
        if self.whole and not self.begins:
            self.begins = True
            self.loop.call_soon(self._begin)
        if client.reader.fault and not client.closing:
            client.closing = True
            if not client.busy:
                self.driver.relay.write(client, http.refusal(client.reader.fault, close=True), last=True)

    def _begin(self):
        """A few at a time, so that what caches have answered is read in between.

        Against a jam in the front itself: answers that wait behind new requests look like slow caches, which
        the module then spares by sheds that the clients repeat.
        """
        for _ in range(min(TURN, len(self.whole))):
            client, request, at = self.whole.popleft()
            if client in self.clients:
                self.driver.request(client, request, at)
        self.begins = bool(self.whole)
        if self.begins:
            self.loop.call_soon(self._begin)

    def sweep(self, now):
        """A request never finished, a connection never used or never closed by its client: all go in time."""
        for client in list(self.clients):
            waits = client.closing or client.reader.begun or not client.asked
            if not client.busy and now - client.since > (UNFINISHED if waits else IDLE):
                self.driver.book.count("clients_timed_out" if waits else "clients_idle")
                self.close(client)
