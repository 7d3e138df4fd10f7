"""Faults inside the program's own process: a wall clock that is stepped, system calls that fail or take a part.

`python -m standins.faults FILE [ARGUMENT ...]` runs `python -m sprucegate ARGUMENT ...` with the standard library's
clock and socket calls led through FILE, a small shared mapping that another process writes by `Faults`. The program
itself is not changed and knows nothing of it.
"""

import mmap
import os
import runpy
import socket
import struct
import sys
import time

CALLS = (
    "socket",
    "connect",
    "accept",
    "recv_into",
    "recv",
    "send",
    "setsockopt",
    "getsockopt",
    "shutdown",
    "fsync",
    "write",
    "open",
    "replace",
)
SHORT = -1  # in place of an errno: the call takes or gives one byte
OFFSET = struct.Struct("<q")  # nanoseconds that the wall clock is ahead
RULE = struct.Struct("<iii")  # calls to let pass first; errno, or SHORT; how many calls then fail
SIZE = OFFSET.size + RULE.size * len(CALLS)


class Faults:
    """The other end of FILE: what a test or a soak wants the process to meet."""

    def __init__(self, path):
        self.path = str(path)
        with open(self.path, "wb") as file:
            file.write(bytes(SIZE))
        with open(self.path, "r+b") as file:
            self.shared = mmap.mmap(file.fileno(), SIZE)

    def step_wall(self, seconds):
        """The wall clock stands `seconds` from the machine's from now on."""
        OFFSET.pack_into(self.shared, 0, int(seconds * 1e9))

    def fail(self, call, error, times=1, after=0):
        """The next `times` calls fail by that errno (or are SHORT), once `after` more have passed."""
        RULE.pack_into(self.shared, _place(call), after, error, times)

    def pending(self, call):
        """How many failures of that call have not happened yet."""
        return RULE.unpack_from(self.shared, _place(call))[2]


def _place(call):
    return OFFSET.size + RULE.size * CALLS.index(call)


class _Injected:
    def __init__(self, path):
        with open(path, "r+b") as file:
            self.shared = mmap.mmap(file.fileno(), SIZE)

    def offset(self):
        return OFFSET.unpack_from(self.shared, 0)[0]

    def due(self, call):
        """True where this call is to be short; raises where it is to fail."""
        at = _place(call)
        after, error, times = RULE.unpack_from(self.shared, at)
        if times <= 0:
            return False
        if after > 0:
            RULE.pack_into(self.shared, at, after - 1, error, times)
            return False
        RULE.pack_into(self.shared, at, 0, error, times - 1)
        if error == SHORT:
            return True
        raise OSError(error, os.strerror(error))


def install(path):
    """Leads this process's clock and calls through `path`; before the program is imported."""
    injected = _Injected(path)
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + injected.offset() / 1e9
    time.time_ns = lambda: real_time_ns() + injected.offset()

    class FaultySocket(socket.socket):
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None:
                injected.due("socket")
            super().__init__(family, type, proto, fileno)

        def connect(self, address):
            try:
                injected.due("connect")
            except InterruptedError:  # it goes on behind the caller's back, as connect(2) says
                try:
                    super().connect(address)
                except BlockingIOError:
                    pass
                raise
            return super().connect(address)

        def accept(self):
            injected.due("accept")  # whoever stands in the queue stays there
            return super().accept()

        def recv_into(self, buffer, *given):
            if injected.due("recv_into"):
                return super().recv_into(memoryview(buffer)[:1], *given)
            return super().recv_into(buffer, *given)

        def recv(self, size, *given):
            return super().recv(1 if injected.due("recv") else size, *given)

        def send(self, data, *given):
            return super().send(memoryview(data)[:1] if injected.due("send") else data, *given)

        def setsockopt(self, *given):
            injected.due("setsockopt")
            return super().setsockopt(*given)

        def getsockopt(self, *given):
            injected.due("getsockopt")
            return super().getsockopt(*given)

        def shutdown(self, how):
            injected.due("shutdown")
            return super().shutdown(how)

    socket.socket = FaultySocket
    for name in ("fsync", "replace"):
        setattr(os, name, _before(injected, name, getattr(os, name)))
    real_write, real_open = os.write, os.open

    def write(handle, data):
        if handle < 3:  # the log is no part of what lasts
            return real_write(handle, data)
        return real_write(handle, memoryview(data)[:1] if injected.due("write") else data)

    def open_(*given, **named):
        injected.due("open")
        return real_open(*given, **named)

    os.write, os.open = write, open_


def _before(injected, name, call):
    def led(*given, **named):
        injected.due(name)
        return call(*given, **named)

    return led


def main():
    install(sys.argv[1])
    sys.argv = ["sprucegate", *sys.argv[2:]]
    runpy.run_module("sprucegate", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
