"""Log lines on standard output, one JSON object per line. A line that would block is dropped and counted."""

import os

import orjson

from sprucegate import clock
from sprucegate.units import MILLISECOND


class LineWriter:
    """Writes whole lines to a descriptor without blocking; buffers at most the unwritten rest of one line.

    :ivar dropped: lines dropped since the last one that was written
    :ivar unwritten: the rest of a line that was written only in part
    """

    def __init__(self, fd):
        self.fd = fd
        self.dropped = 0
        self.unwritten = b""
        os.set_blocking(fd, False)

    def write(self, line):
        """Write one line, or drop it if the descriptor is not writable."""
        try:
            # The rest of a partly written line goes first, so that lines stay whole.
            if self.unwritten:
                self.unwritten = self.unwritten[os.write(self.fd, self.unwritten) :]
            if self.unwritten:
                raise BlockingIOError
            self.unwritten = line[os.write(self.fd, line) :]
            self.dropped = 0
        except OSError:
            self.dropped += 1


class Log:
    """The log of the front with this name: `log(event, **fields)` writes a line with its time (Unix, ms)."""

    def __init__(self, name, fd=1):
        self.name = name
        self.writer = LineWriter(fd)

    def __call__(self, event, **fields):
        """Write one event; it contains the number of lines dropped before it, if any."""
        if self.writer.dropped:
            fields["lines_dropped"] = self.writer.dropped
        line = {"at": clock.unix() // MILLISECOND, "front": self.name, "event": event, **fields}
        self.writer.write(orjson.dumps(line, default=str) + b"\n")
