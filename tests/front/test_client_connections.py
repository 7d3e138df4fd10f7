"""What a client's connection holds, and when it is freed."""

import asyncio
import gc
import socket
import weakref
from contextlib import contextmanager

from helpers import get_text

from sprucegate.front.client_connections import ClientConnection
from sprucegate.upstream.sockets import PendingWrite


@contextmanager
def without_garbage_collector():
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_a_closed_connection_frees_what_it_has_read_without_the_garbage_collector():
    """Guards against memory that grows with the number of connections closed (issue 59)."""
    near, far = socket.socketpair()
    with near, far, without_garbage_collector():
        client = ClientConnection(near, 0)
        client.reader.feed(get_text(method="PUT", body=b"x" * 48_000)[:-1])
        reader = weakref.ref(client.reader)
        client.on_closed(1)
        del client
        assert reader() is None


class UnreadResponse:
    """A client's connection whose response is not read."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.client = ClientConnection(sock, 0)
        self.client.writer = PendingWrite(
            asyncio.get_running_loop(), sock, b"x" * 240_000, lambda whole: self.client.shut_down(1)
        )


def test_a_closed_connection_frees_the_response_that_was_not_read():
    """Guards against responses of clients that leave amid them, kept until the garbage collector runs (issue 59)."""

    async def run():
        near, far = socket.socketpair()
        with near, far, without_garbage_collector():
            unread = UnreadResponse(near)
            writer = weakref.ref(unread.client.writer)
            unread.client.writer.cancel()
            unread.client.on_closed(1)
            del unread
            return writer() is None

    assert asyncio.run(run())
