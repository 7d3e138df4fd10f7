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
        client.outgoing.append(data)
        client.closing = client.closing or last
        if client.writer is None:
            client.writer = self.loop.create_task(self._write(client))

    async def _write(self, client):
        try:
            while client.outgoing:
                await self.loop.sock_sendall(client.sock, client.outgoing[0])
                client.outgoing.popleft()
            if client.closing:
                # The client's own close ends the connection; the sweep does where it never comes.
                client.sock.shutdown(socket.SHUT_WR)
        except OSError:
            client.task.cancel()
        finally:
            client.writer = None
            client.since = self.driver.clock()
