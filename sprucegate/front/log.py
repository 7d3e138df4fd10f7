"""Log lines on standard output, one JSON object each. A line that would block is dropped and counted."""

import os

import orjson

from sprucegate import clock
from sprucegate.units import MILLISECOND


class Writer:
    """Writes whole lines to a descriptor without blocking, and holds back at most the rest of one.

    :ivar dropped: lines dropped since the last one that was written
    :ivar rest: bytes of a line of which the descriptor took only a part
    """

    def __init__(self, fd):
        self.fd = fd
        self.dropped = 0
        self.rest = b""
        os.set_blocking(fd, False)

    def write(self, line):
        """Write one line, or drop it where the descriptor takes nothing."""
        try:
            # The end of a line cut before goes first, so that each line stays one.
            if self.rest:
                self.rest = self.rest[os.write(self.fd, self.rest) :]
            if self.rest:
                raise BlockingIOError
            self.rest = line[os.write(self.fd, line) :]
            self.dropped = 0
        except OSError:
            self.dropped += 1


class Log:
    """The log of the front with this name: `log(event, **fields)` writes a line with its time (Unix, ms)."""

    def __init__(self, name, fd=1):
        self.name = name
        self.writer = Writer(fd)

    def __call__(self, event, **fields):
        """Write one event; where lines were dropped before it, it bears their number."""
        if self.writer.dropped:
            fields["lines_dropped"] = self.writer.dropped
        line = {"at": clock.unix() // MILLISECOND, "front": self.name, "event": event, **fields}
        self.writer.write(orjson.dumps(line, default=str) + b"\n")
