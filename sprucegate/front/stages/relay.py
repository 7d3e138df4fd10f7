"""Relay: the one answer of each GET, written to its client."""

import asyncio
import socket

from sprucegate.front.protocol import http


class Relay:
    def __init__(self, driver):
        self.driver, self.loop = driver, asyncio.get_running_loop()

    def answer(self, get, status, body=b"", headers=b""):
        """At most one a GET, whatever is asked of this."""
        if get.answered:
            return
        get.answered, client = True, get.client
        client.get = None
        self.write(client, http.answer(status, body, headers, client.closing), last=client.closing)

    def write(self, client, data, last=False):
        """At once where the socket takes all of it; the rest by sock_sendall in a task."""
        client.closing, client.busy, client.since = client.closing or last, False, self.driver.clock()
        if client.writer is not None:
            client.outgoing.append(data)
            return
        try:
            sent = client.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return                       # the reader sees its end too
        if sent < len(data):
            client.outgoing.append(memoryview(data)[sent:])
            client.writer = self.loop.create_task(self._write(client))
        elif client.closing:
            self._finish(client)

    def _finish(self, client):
        # The client's own close ends the connection; the sweep does where it never comes.
        try:
            client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    async def _write(self, client):
        try:
            while client.outgoing:
                await self.loop.sock_sendall(client.sock, client.outgoing[0])
                client.outgoing.popleft()
            if client.closing:
                self._finish(client)
        except OSError:
            client.outgoing.clear()
        finally:
            client.writer = None
