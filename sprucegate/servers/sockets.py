"""What a socket tells without being read. Nothing is decided here."""

import socket


def stands(sock):
    """Whether bytes, an end or a reset stand there unread."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def ended(sock):
    """Whether the other side has ended or reset a connection, though the loop has not come to that yet.

    Bytes that stand before the end hide it.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
