"""Ports of the loopback for programs that are told theirs, each given once while the process that asked lives."""

import fcntl
import itertools
import os
import socket
import tempfile

FIRST, PAST = (
    10_000,
    32_000,
)  # below those that the system gives out by itself: it might give one before it is bound

_order = itertools.cycle(range(FIRST, PAST))
for _ in range(os.getpid() * 97 % (PAST - FIRST)):
    next(_order)  # processes side by side begin apart
_locks = None


def free_port():
    """A look alone was not enough: of two test processes that looked at one instant one front found its port taken.

    So each port is a byte of one file, locked for this process; the system lets go of it with the process.
    """
    global _locks
    if _locks is None:
        path = os.path.join(tempfile.gettempdir(), f"sprucegate-ports-{os.getuid()}")
        _locks = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    for _ in range(PAST - FIRST):
        port = next(_order)
        try:
            fcntl.lockf(_locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise OSError("no free port on the loopback")
