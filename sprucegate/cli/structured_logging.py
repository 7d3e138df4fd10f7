"""Structured logging with structlog, in the format and through the non-blocking writer of `front.log`.

structlog takes 4.5 MB of memory, so the platform's front, which has a memory limit, does not use it.
"""

import orjson
import structlog

from sprucegate import clock
from sprucegate.front.log import LineWriter


class _LineSink:
    """The logger that structlog wraps; it never blocks and buffers at most one line."""

    def __init__(self, writer):
        self.writer = writer

    def msg(self, line):
        self.writer.write(line)


def structured(name, fd=1):
    """Return a logger that the front calls as `log(event, **fields)`.

    `log.bind(key=value)` returns a logger with additional fields.
    """
    writer = LineWriter(fd)

    def render(_logger, _method, event):
        record = {"at": clock.unix() // 1_000_000, "front": name, "event": event.pop("event"), **event}
        if writer.dropped:
            record["lines_dropped"] = writer.dropped
        return orjson.dumps(record, default=str) + b"\n"

    return Structured(
        structlog.wrap_logger(
            _LineSink(writer),
            processors=[structlog.contextvars.merge_contextvars, render],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        ).bind()
    )


class Structured:
    """Adapts a structlog logger to the interface of `front.log.Log`."""

    def __init__(self, logger):
        self.logger = logger

    def __call__(self, event, **fields):
        """Write one line."""
        self.logger.msg(event, **fields)

    def bind(self, **fields):
        """Return a logger that adds these fields to each line."""
        return Structured(self.logger.bind(**fields))
