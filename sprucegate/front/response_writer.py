"""Relay: the one answer of each GET, written to its client."""

import asyncio

from sprucegate.front.client_connections import ConnectionState
from sprucegate.front.protocol import http
from sprucegate.upstream.sockets import PendingWrite, send


class ResponseWriter:
    def __init__(self, driver):
        self.driver, self.loop = driver, asyncio.get_running_loop()
        self.ending = False  # the front stops: each answer is its connection's last

    def answer(self, get, status, body=b"", headers=b""):
        """At most one a GET, whatever is asked of this."""
        if get.answered:
            return
        named = status != 304 or bool(get.have) and headers == http.tagged(get.have)
        self.driver.invariants.answered(get, status, named, self.driver.clock())
        get.answered, client = True, get.client
        client.get = None
        self.write(client, status, body, headers)

    def refuse(self, client, said):
        """The plain answer to what is no valid request; nothing more is read after it."""
        client.last = True
        self.write(
            client, said.status, said.text.encode() + b"\n", b"Content-Type: text/plain\r\n" + said.headers
        )

    def write(self, client, status, body=b"", headers=b""):
        """At once where the socket takes all of it; the rest as it takes more."""
        if client.state is ConnectionState.CLOSED:
            return
        client.last = client.last or self.ending
        data = http.answer(status, body, headers, client.last)
        client.on_response_started(self.driver.clock())
        try:
            sent = send(client.sock, data)
        except OSError:
            return  # the reader sees its end too
        if sent < len(data):
            client.writer = PendingWrite(
                self.loop, client.sock, memoryview(data)[sent:], lambda whole: self._written(client, whole)
            )
        else:
            client.on_response_written(self.driver.clock())

    def _written(self, client, whole):
        client.writer = None
        if whole:  # else the reader sees its end too
            client.on_response_written(self.driver.clock())
