"""The state machine of a client connection: its `ConnectionState`, which only `ClientConnection.enter` changes."""

import contextlib
import socket
from enum import Enum, auto

from sprucegate.errors import SprucegateError
from sprucegate.front.protocol.http import RequestReader
from sprucegate.upstream.sockets import InputState, discard_input, has_pending_input, peer_has_closed

DISCARDED_BYTES_MAX = 262_144  # behind a request whose response is due, in search of a close


class ConnectionState(Enum):
    """States of a client connection.

    :cvar IDLE: no response is outstanding; part of a request may have been read
    :cvar REQUEST_IN_PROGRESS: a complete request was read, and one response to it is outstanding
    :cvar WRITING_RESPONSE: the response is known but not completely written
    :cvar HALF_CLOSED: our side is shut down; what arrives is read and discarded until the client closes, or until
        the linger timeout expires
    :cvar CLOSED: the socket is closed
    """

    IDLE = auto()
    REQUEST_IN_PROGRESS = auto()
    WRITING_RESPONSE = auto()
    HALF_CLOSED = auto()
    CLOSED = auto()


TRANSITIONS = {
    ConnectionState.IDLE: (
        ConnectionState.REQUEST_IN_PROGRESS,
        ConnectionState.WRITING_RESPONSE,
        ConnectionState.HALF_CLOSED,
        ConnectionState.CLOSED,
    ),
    ConnectionState.REQUEST_IN_PROGRESS: (ConnectionState.WRITING_RESPONSE, ConnectionState.CLOSED),
    ConnectionState.WRITING_RESPONSE: (
        ConnectionState.IDLE,
        ConnectionState.HALF_CLOSED,
        ConnectionState.CLOSED,
    ),
    ConnectionState.HALF_CLOSED: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}


class IllegalTransitionError(SprucegateError, ValueError):
    """A bug: a transition that would skip a response, or read on after the connection was closed."""

    def __init__(self, state, new_state):
        super().__init__(f"illegal transition of a client connection from {state.name} to {new_state.name}")


class ClientConnection:
    """One connection to a client.

    :ivar table: the ClientTable that it is in, or None
    :ivar number: its number, by which the log refers to it
    :ivar accepted_at: when it was accepted (ns)
    :ivar reader: parses requests from the bytes received
    :ivar close_after_response: the next response is the last one on this connection, and nothing more is read
    :ivar since: when it entered its state, or when a request began to arrive (ns)
    :ivar has_sent_request: whether a complete request was ever read
    :ivar buffered: bytes of a request that is not whole or not dispatched, as counted by BufferedBytes
    :ivar undispatched: bytes of a request that was read whole and is not dispatched yet
    :ivar unwritten: bytes of a response that is not written whole, as counted by BufferedBytes
    :ivar open_request: the request whose response is outstanding, or None
    :ivar writer: the pending write of a response, or None
    """

    __slots__ = (
        "sock",
        "table",
        "number",
        "accepted_at",
        "reader",
        "state",
        "close_after_response",
        "since",
        "has_sent_request",
        "buffered",
        "undispatched",
        "unwritten",
        "open_request",
        "writer",
    )

    def __init__(self, sock, now, repeatable=frozenset(), number=0, table=None):
        self.sock = sock
        self.table = table
        self.number = number
        self.accepted_at = now
        self.reader = RequestReader(repeatable)
        self.state = ConnectionState.IDLE
        self.close_after_response = False
        self.since = now
        self.has_sent_request = False
        self.buffered = 0
        self.undispatched = 0
        self.unwritten = 0
        self.open_request = None
        self.writer = None
        self.update_table()

    def enter(self, state, now):
        """Enter a state; raises IllegalTransitionError unless TRANSITIONS allows it."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.state, state)
        self.state = state
        self.since = now
        self.update_table()

    def update_table(self):
        """Tell the table that the state, or what was read, has changed."""
        if self.table is not None:
            self.table.update(self)

    def on_request(self, now):
        """Record that a complete request was read."""
        self.has_sent_request = True
        self.enter(ConnectionState.REQUEST_IN_PROGRESS, now)

    def on_response_started(self, now):
        """Record that the response is known, even if not yet written."""
        self.enter(ConnectionState.WRITING_RESPONSE, now)

    def on_response_written(self, now):
        """Record that the response is completely written, so that the next request may be read.

        Not earlier: responses to a client that never reads would accumulate.
        """
        if self.close_after_response:
            self.shut_down(now)
        else:
            self.enter(ConnectionState.IDLE, now)

    def shut_down(self, now):
        """Shut down only our side: closing with unread bytes sends a reset, which can destroy a response in flight.

        RFC 9112 section 9.6.
        """
        self.enter(ConnectionState.HALF_CLOSED, now)
        with contextlib.suppress(OSError):  # already closed: the connection reader sees that too
            self.sock.shutdown(socket.SHUT_WR)

    def on_closed(self, now):
        """Record that the socket is closed, and free what was read from it and what waits to be written."""
        self.enter(ConnectionState.CLOSED, now)
        self.reader.release()
        self.writer = None

    def peer_has_closed(self):
        """Return whether the client has closed, even if the event loop has not reported it yet."""
        return peer_has_closed(self.sock)

    def look_for_close(self):
        """Read what follows a request whose response is due, up to its end; return the InputState.

        Pipelined requests are not served, so the bytes are discarded and the response is the last one. A close may
        stand behind them, and behind many it has not even arrived.
        """
        if not has_pending_input(self.sock):
            return InputState.EMPTY
        self.close_after_response = True
        return discard_input(self.sock, DISCARDED_BYTES_MAX)

    def may_have_left(self):
        """Return whether the client has closed, or sends so much that nobody can tell."""
        return self.look_for_close() is not InputState.EMPTY

    def accepts_requests(self):
        """Return whether bytes that arrive may still become a request."""
        return (
            self.state not in (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED)
            and not self.close_after_response
        )

    def is_idle(self):
        """Return whether no request is in progress or partly read.

        The connection may then be closed, once what has just arrived was read.
        """
        return self.state is ConnectionState.IDLE and not self.reader.request_started
