"""Writes the one response of each request to its client."""

import asyncio

from sprucegate.front.client_connections import ConnectionState
from sprucegate.front.protocol import http
from sprucegate.upstream.buffered_bytes import Holder
from sprucegate.upstream.sockets import PendingWrite, send


class ResponseWriter:
    """Writes responses, at once as far as the socket accepts them.

    :ivar stopping: the front is stopping: each response is the last one on its connection
    """

    def __init__(self, driver):
        self.driver = driver
        self.loop = asyncio.get_running_loop()
        self.stopping = False

    def respond(self, request, status, body=b"", headers=b""):
        """Write the response of a request; a second one for the same request is ignored."""
        if request.answered:
            return
        named = (
            status != http.NOT_MODIFIED
            or bool(request.if_none_match)
            and headers == http.etag_header(request.if_none_match)
        )
        self.driver.invariants.check_response(request, status, named, self.driver.clock())
        request.answered = True
        client = request.client
        client.open_request = None
        self.write(client, status, body, headers)

    def reject(self, client, rejection):
        """Write the plain-text response to an invalid request; nothing more is read on this connection."""
        client.close_after_response = True
        self.driver.counters.count(f"bad_requests {rejection.status}")
        headers = b"Content-Type: text/plain\r\n" + rejection.headers
        self.write(client, rejection.status, rejection.text.encode() + b"\n", headers)

    def write(self, client, status, body=b"", headers=b""):
        """Write a response; what the socket doesn't accept at once is written as it becomes writable."""
        if client.state is ConnectionState.CLOSED:
            return
        client.close_after_response = client.close_after_response or self.stopping
        data = http.encode_response(status, body, headers, client.close_after_response)
        client.on_response_started(self.driver.clock())
        try:
            sent = send(client.sock, data)
        except OSError:
            return  # the connection reader sees the error too and closes the connection
        if sent < len(data):
            client.writer = PendingWrite(
                self.loop, client.sock, memoryview(data)[sent:], lambda whole: self._on_written(client, whole)
            )
            client.unwritten = len(data)
            self.driver.buffers.change(Holder.UNWRITTEN_RESPONSE, 0, len(data))
        else:
            client.on_response_written(self.driver.clock())

    def _on_written(self, client, whole):
        client.writer = None
        unwritten, client.unwritten = client.unwritten, 0
        self.driver.buffers.change(Holder.UNWRITTEN_RESPONSE, unwritten, 0)
        if whole:  # otherwise the connection reader sees the error and closes the connection
            client.on_response_written(self.driver.clock())
