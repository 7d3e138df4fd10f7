"""Relay: the one answer of each GET, written to its client."""

import asyncio

from sprucegate.front.memory.connections import Phase
from sprucegate.front.protocol import http


class Relay:
    def __init__(self, driver):
        self.driver, self.loop = driver, asyncio.get_running_loop()
        self.ending = False                  # the front stops: each answer is its connection's last

    def answer(self, get, status, body=b"", headers=b""):
        """At most one a GET, whatever is asked of this."""
        if get.answered:
            return
        get.answered, client = True, get.client
        client.get = None
        self.write(client, status, body, headers)

    def refuse(self, client, said):
        """The plain answer to what is no valid request; nothing more is read after it."""
        client.last = True
        self.write(client, said.status, said.text.encode() + b"\n", b"Content-Type: text/plain\r\n" + said.headers)

    def write(self, client, status, body=b"", headers=b""):
        """At once where the socket takes all of it; the rest by sock_sendall in a task."""
        if client.phase is Phase.CLOSED:
            return
        client.last = client.last or self.ending
        data = http.answer(status, body, headers, client.last)
        client.answered(self.driver.clock())
        try:
            sent = client.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return                           # the reader sees its end too
        if sent < len(data):
            client.writer = self.loop.create_task(self._write(client, memoryview(data)[sent:]))
        else:
            client.flushed(self.driver.clock())

    async def _write(self, client, rest):
        try:
            await self.loop.sock_sendall(client.sock, rest)
            client.flushed(self.driver.clock())
        except OSError:
            pass                             # the reader sees its end too
        finally:
            client.writer = None
