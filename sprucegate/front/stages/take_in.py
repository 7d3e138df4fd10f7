"""Take in: client connections, and requests as they become whole."""

import asyncio
import socket

from sprucegate.front.memory.connections import Client
from sprucegate.front.protocol import http


class TakeIn:
    def __init__(self, driver, pool, most):
        self.driver, self.pool, self.most = driver, pool, most
        self.clients, self.loop = {}, asyncio.get_running_loop()

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
        client.since = self.driver.clock()
        for request in client.reader.feed(data):
            if client.get is not None or client.closing:
                # One at a time is agreed; one sent ahead is left unread by the close that follows.
                client.closing = True
                return
            self.driver.request(client, request)
        if client.reader.fault and not client.closing:
            client.closing = True
            if client.get is None:
                self.driver.relay.write(client, http.refusal(client.reader.fault, close=True), last=True)

    def sweep(self, now, patience):
        """A request never finished, or a connection never closed by its client, goes in bounded time."""
        for client in list(self.clients):
            waits = client.closing or client.reader.begun
            if waits and client.get is None and now - client.since > patience:
                self.close(client)
