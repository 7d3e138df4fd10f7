"""One JSON line an event on standard output. A line that would block is dropped and counted."""

import os

import orjson

from sprucegate import clock


class Writer:
    """Whole lines to a descriptor, without blocking and without holding more than one."""

    def __init__(self, fd):
        self.fd, self.dropped, self.rest = fd, 0, b""
        os.set_blocking(fd, False)

    def write(self, line):
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
    def __init__(self, name, fd=1):
        self.name, self.writer = name, Writer(fd)

    def __call__(self, event, **fields):
        if self.writer.dropped:
            fields["lines_dropped"] = self.writer.dropped
        self.writer.write(
            orjson.dumps(
                {"at": clock.unix() // 1_000_000, "front": self.name, "event": event, **fields}, default=str
            )
            + b"\n"
        )
