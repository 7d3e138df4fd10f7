"""The state of each client connection. It is one `ConnectionState`, and only `ClientConnection.to` changes it."""

import contextlib
import socket
from enum import Enum, auto

from sprucegate.errors import SprucegateError
from sprucegate.front.protocol.http import RequestReader
from sprucegate.upstream.sockets import peer_has_closed


class ConnectionState(Enum):
    """States of a client connection.

    :cvar IDLE: no response is owed; part of a request may have been read
    :cvar REQUEST_IN_PROGRESS: a whole request was read, and one response to it is owed
    :cvar WRITING_RESPONSE: the response is known and not all of it is written
    :cvar HALF_CLOSED: our side is shut down; what arrives is read and discarded until the client closes, or until
        the lingering time is over
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
    """A fault of the program: a state change that would skip a response or read on after the connection's end."""

    def __init__(self, state, new_state):
        super().__init__(f"a client's connection can't go from {state.name} to {new_state.name}")


class ClientConnection:
    """One connection to a client.

    :ivar reader: reads requests from its bytes
    :ivar last: the next response is the last one on this connection, and nothing more is read
    :ivar since: when it entered its state, or when a request began to arrive (ns)
    :ivar asked: whether a whole request was ever read
    :ivar get: the open request whose response is owed, or None
    :ivar writer: the pending write of a response, or None
    """

    __slots__ = ("sock", "reader", "state", "last", "since", "asked", "get", "writer")

    def __init__(self, sock, now, repeatable=frozenset()):
        self.sock = sock
        self.reader = RequestReader(repeatable)
        self.state = ConnectionState.IDLE
        self.last = False
        self.since = now
        self.asked = False
        self.get = None
        self.writer = None

    def to(self, state, now):
        """Enter a state; raises IllegalTransitionError where the transition is not one of TRANSITIONS."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.state, state)
        self.state = state
        self.since = now

    def on_request(self, now):
        """Record that a whole request was read."""
        self.to(ConnectionState.REQUEST_IN_PROGRESS, now)
        self.asked = True

    def on_response_started(self, now):
        """Record that the response is known, though perhaps not yet written."""
        self.to(ConnectionState.WRITING_RESPONSE, now)

    def on_response_written(self, now):
        """Record that all of the response is written, so that the next request may be read.

        Not earlier: responses to a client that never reads would pile up.
        """
        if self.last:
            self.shut_down(now)
        else:
            self.to(ConnectionState.IDLE, now)

    def shut_down(self, now):
        """Shut down our side only: a full close over unread bytes sends a reset, which destroys a response in flight.

        RFC 9112 section 9.6.
        """
        self.to(ConnectionState.HALF_CLOSED, now)
        with contextlib.suppress(OSError):  # closed already: the reader sees that too
            self.sock.shutdown(socket.SHUT_WR)

    def on_closed(self, now):
        """Record that the socket is closed."""
        self.to(ConnectionState.CLOSED, now)

    def peer_has_closed(self):
        """Return whether the client has closed, even where the event loop has not reported that yet."""
        return peer_has_closed(self.sock)

    def accepts_requests(self):
        """Return whether bytes that arrive may still become a request."""
        return self.state not in (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED) and not self.last

    def is_idle(self):
        """Return whether no request is in progress or partly read.

        It may then be closed, after a look at what has just arrived.
        """
        return self.state is ConnectionState.IDLE and not self.reader.begun
