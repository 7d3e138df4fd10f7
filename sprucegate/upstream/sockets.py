"""Calls on a connected socket, with each error told as what it is: the other side's end, or a moment's lack here.

Linux documents errors of this machine's own for send(2), recv(2) and connect(2), for want of memory, buffers, ports or
descriptors, and interruption by a signal. They pass, and say nothing of the connection or of the other side: the call
is made again. Every other error is the connection's end. Nothing is decided here.
"""

import errno
import socket
from struct import Struct
from struct import error as StructError

# Nothing was sent or received, and the connection stands.
TRANSIENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
# A connection could not be begun for a reason on this side: nothing is known of the server.
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
# tcp_info of linux/tcp.h up to and with tcpi_last_data_recv, the milliseconds since bytes last came.
LAST_DATA_RECEIVED = Struct("=52xI")
WAITED_MOST = 60_000  # milliseconds: a socket that says more says nothing
RETRY = 0.01  # seconds until a call that failed for a moment is made again


def is_local(fault):
    """Whether an error of socket, setsockopt or connect tells of this side alone."""
    return isinstance(fault, OSError) and fault.errno in LOCAL and not isinstance(fault, TimeoutError)


def send(sock, data):
    """How many bytes were taken, 0 where none can be now; OSError where the connection has ended."""
    try:
        return sock.send(data)
    except OSError as fault:
        if fault.errno in TRANSIENT:
            return 0
        raise


def receive_into(sock, buffer):
    """How many bytes came, 0 at the other side's end, None where nothing can be read now; OSError at a reset."""
    try:
        return sock.recv_into(buffer)
    except OSError as fault:
        if fault.errno in TRANSIENT:
            return None
        raise


def waited(sock):
    """Nanoseconds since bytes last came to a socket: how long what was just read stood in the kernel.

    0 where the system does not tell.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        (milliseconds,) = LAST_DATA_RECEIVED.unpack(told)
    except (OSError, StructError):
        return 0
    return milliseconds * 1_000_000 if milliseconds <= WAITED_MOST else 0


def set_no_delay(sock):
    """Small writes go at once; a socket that does not take the option serves all the same."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass


def stands(sock):
    """Whether bytes, an end or a reset stand there unread."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except OSError as fault:
        return fault.errno not in TRANSIENT
    return True


def ended(sock):
    """Whether the other side has ended or reset a connection, though the loop has not come to that yet.

    Bytes that stand before the end hide it.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError as fault:
        return fault.errno not in TRANSIENT


class PendingWrite:
    """What a socket has not taken yet, written as it takes more; `done(whole)` is called once, at its end."""

    def __init__(self, loop, sock, data, done):
        self.loop, self.sock, self.rest, self.done = loop, sock, memoryview(data), done
        self.retry = None
        loop.add_writer(sock, self._writable)

    def _writable(self):
        try:
            sent = send(self.sock, self.rest)
        except OSError:
            self.cancel()
            return self.done(False)
        self.rest = self.rest[sent:]
        if not self.rest:
            self.cancel()
            self.done(True)
        elif not sent:
            # Writable, and yet it takes nothing: asked again at once it would take all of a core.
            self.loop.remove_writer(self.sock)
            self.retry = self.loop.call_later(RETRY, self._again)

    def _again(self):
        self.retry = None
        self.loop.add_writer(self.sock, self._writable)

    def cancel(self):
        """Nothing more is written; the socket may be closed then."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self.loop.remove_writer(self.sock)
