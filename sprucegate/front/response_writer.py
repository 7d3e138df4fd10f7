"""Writes the one response of each request to its client."""

import asyncio

from sprucegate.front.client_connections import ConnectionState
from sprucegate.front.protocol import http
from sprucegate.upstream.sockets import PendingWrite, send


class ResponseWriter:
    """Writes responses, at once as far as the socket takes them.

    :ivar ending: the front is stopping: each response is the last one on its connection
    """

    def __init__(self, driver):
        self.driver = driver
        self.loop = asyncio.get_running_loop()
        self.ending = False

    def answer(self, get, status, body=b"", headers=b""):
        """Write the response of a request; a second one for the same request is ignored."""
        if get.answered:
            return
        named = status != http.NOT_MODIFIED or bool(get.have) and headers == http.tagged(get.have)
        self.driver.invariants.answered(get, status, named, self.driver.clock())
        get.answered = True
        client = get.client
        client.get = None
        self.write(client, status, body, headers)

    def refuse(self, client, refusal):
        """Write the plain response to an invalid request; nothing more is read after it."""
        client.last = True
        headers = b"Content-Type: text/plain\r\n" + refusal.headers
        self.write(client, refusal.status, refusal.text.encode() + b"\n", headers)

    def write(self, client, status, body=b"", headers=b""):
        """Write a response; what the socket doesn't take at once follows as it takes more."""
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
