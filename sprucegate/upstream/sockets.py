"""Socket calls that tell transient errors of this host from the end of a connection.

For send(2), recv(2) and connect(2), Linux documents errors that come from this host alone: a lack of memory, buffers,
ports or descriptors, and interruption by a signal. They are transient and say nothing about the connection or the
peer, so the call is repeated. Every other error ends the connection.
"""

import errno
import socket
from enum import Enum, auto
from struct import Struct
from struct import error as StructError

# Nothing was sent or received; the connection is unaffected.
TRANSIENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
# A connect failed for a reason on this host: it says nothing about the server.
LOCAL = TRANSIENT | {
    errno.EMFILE,
    errno.ENFILE,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
}
# struct tcp_info of linux/tcp.h up to tcpi_last_data_recv: milliseconds since data was last received.
LAST_DATA_RECEIVED = Struct("=52xI")
LAST_DATA_AGE_MAX_MS = 60_000  # a greater value is taken for unknown
DISCARD_BYTES = 65_536  # read at once by `discard_input`
RETRY_DELAY_S = 0.01  # until a call that failed with a transient error is repeated


def is_local(fault):
    """Return whether an error of socket, setsockopt or connect has its cause on this host alone."""
    return isinstance(fault, OSError) and fault.errno in LOCAL and not isinstance(fault, TimeoutError)


def send(sock, data):
    """Return the number of bytes sent, 0 if none can be sent now; raise OSError if the connection has ended."""
    try:
        return sock.send(data)
    except OSError as fault:
        if fault.errno in TRANSIENT:
            return 0
        raise


def receive_into(sock, buffer):
    """Return the number of bytes read, 0 at the peer's end of stream, None if nothing can be read now.

    OSError is raised for a reset.
    """
    try:
        return sock.recv_into(buffer)
    except OSError as fault:
        if fault.errno in TRANSIENT:
            return None
        raise


def time_since_last_data(sock):
    """Return the time since a socket last received data (ns): how long the data just read waited in the kernel.

    0 if the system does not report it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        (milliseconds,) = LAST_DATA_RECEIVED.unpack(info)
    except (OSError, StructError):
        return 0
    return milliseconds * 1_000_000 if milliseconds <= LAST_DATA_AGE_MAX_MS else 0


def set_no_delay(sock):
    """Disable Nagle's algorithm; a socket that rejects the option is still usable."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass


def has_pending_input(sock):
    """Return whether bytes, an end of stream or a reset wait to be read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except OSError as fault:
        return fault.errno not in TRANSIENT
    return True


def peer_has_closed(sock):
    """Return whether the peer has closed or reset a connection, even if the event loop has not reported it yet.

    Unread bytes before the end of the stream hide it; `discard_input` looks behind them.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError as fault:
        return fault.errno not in TRANSIENT


class InputState(Enum):
    """What is left of a connection's input after `discard_input`.

    :cvar EMPTY: nothing now; the peer has not closed
    :cvar ENDED: the peer has closed or reset the connection
    :cvar MORE: more than was to be discarded
    """

    EMPTY = auto()
    ENDED = auto()
    MORE = auto()


def discard_input(sock, most):
    """Read and discard about `most` bytes at most; return what is left, as an InputState."""
    while most > 0:
        try:
            data = sock.recv(DISCARD_BYTES)
        except OSError as fault:
            return InputState.EMPTY if fault.errno in TRANSIENT else InputState.ENDED
        if not data:
            return InputState.ENDED
        most -= len(data)
    return InputState.MORE


class PendingWrite:
    """Data that a socket did not take at once, sent as it takes more.

    `done(complete)` is called once: when all was sent, or when the connection has ended.
    """

    def __init__(self, loop, sock, data, done):
        self.loop = loop
        self.sock = sock
        self.unsent = memoryview(data)
        self.done = done
        self.retry_timer = None
        loop.add_writer(sock, self._on_writable)

    def _on_writable(self):
        try:
            sent = send(self.sock, self.unsent)
        except OSError:
            self.cancel()
            return self.done(False)
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.cancel()
            self.done(True)
        elif not sent:
            # The socket is reported writable and takes nothing: waiting for writability would spin at full CPU.
            self.loop.remove_writer(self.sock)
            self.retry_timer = self.loop.call_later(RETRY_DELAY_S, self._resume)

    def _resume(self):
        self.retry_timer = None
        self.loop.add_writer(self.sock, self._on_writable)

    def cancel(self):
        """Stop writing; the socket may be closed after this."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self.loop.remove_writer(self.sock)
