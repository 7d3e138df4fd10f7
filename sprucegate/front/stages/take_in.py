"""Take in: client connections, and requests as they become whole."""

import asyncio
import socket
from collections import deque

from sprucegate.front.memory.connections import Client
from sprucegate.front.protocol import http

TURN = 3        # requests begun in one turn of the loop


class TakeIn:
    def __init__(self, driver, pool, most):
        self.driver, self.pool, self.most = driver, pool, most
        self.clients, self.loop = {}, asyncio.get_running_loop()
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
            self.clients[client] = None
            self.loop.add_reader(sock, self._readable, client)

    def _make_room(self):
        """The connection that has been idle longest goes: dicts keep the order of arrival."""
        oldest = next((client for client in self.clients if client.idle()), None)
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
        client.since = now = self.driver.clock()
        for request in client.reader.feed(data):
            if client.busy or client.closing:
                # One at a time is agreed; one sent ahead is left unread by the close that follows.
                client.closing = True
                return
            client.busy = True
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

    def sweep(self, now, patience):
        """A request never finished, or a connection never closed by its client, goes in bounded time."""
        for client in list(self.clients):
            waits = client.closing or client.reader.begun
            if waits and not client.busy and now - client.since > patience:
                self.close(client)
