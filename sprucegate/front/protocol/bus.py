"""Decoder of the event bus: server-sent events to endpoint lists and invalidations. It has no I/O and no decisions."""

import re
from math import isfinite
from typing import NamedTuple

import httptools
import orjson

from sprucegate.errors import ProtocolError
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.upstream.hosts import EndpointList, endpoint_id

MS = 1_000_000
EVENT_BYTES_MAX = 4 << 20  # the complete endpoint list is the largest event
STATES = {"up": EndpointState.SERVING, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


class MalformedEventError(ProtocolError, ValueError):
    """An event or a response that can't be decoded."""


class InvalidationEvent(NamedTuple):
    """Copies of one object (or of one group, where `object` is -1) from before `at` are invalid."""

    object: int
    group: int
    at: int  # Unix time, nanoseconds


class EventReader:
    """Parses server-sent events incrementally into (id, data) pairs.

    :ivar unparsed: bytes of an incomplete line
    :ivar id: the last event id
    :ivar data: data lines of an incomplete event
    """

    def __init__(self):
        self.unparsed = b""
        self.id = ""
        self.data = []

    def feed(self, chunk):
        """Return the events that these bytes complete; raises MalformedEventError."""
        self.unparsed += chunk
        if len(self.unparsed) + sum(map(len, self.data)) > EVENT_BYTES_MAX:
            raise MalformedEventError("event exceeds the size limit")
        *lines, self.unparsed = re.split(rb"\r\n|\n|\r(?!\Z)", self.unparsed)
        events = []
        for line in lines:
            if not line:
                if self.data:
                    events.append((self.id, b"\n".join(self.data)))
                self.data = []
                continue
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                self.id = value.decode("latin-1")
            elif name == b"data":
                self.data.append(value)
        return events


class StreamReader:
    """Parses the HTTP response that carries the event stream, chunked or not, into its events.

    :ivar body_bytes: bytes of the response's body so far
    """

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.events = EventReader()
        self.complete = []
        self.body_bytes = 0

    def on_body(self, body):
        """Handle a part of the response's body; a callback of httptools."""
        self.body_bytes += len(body)
        self.complete += self.events.feed(body)

    def feed(self, chunk):
        """Return the events that these bytes complete; raises MalformedEventError."""
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserError as fault:
            raise MalformedEventError(f"invalid HTTP response: {fault}") from None
        if self.parser.get_status_code() not in (0, 200):
            raise MalformedEventError(f"HTTP response with status {self.parser.get_status_code()}")
        complete, self.complete = self.complete, []
        return complete


def read(data, locations, kinds):
    """Decode one event to (offset, EndpointList or InvalidationEvent or None); None for an unknown type of event."""
    try:
        event = orjson.loads(data) if isinstance(data, bytes) else data
        offset = int(event["offset"])
        if "topology" in event:
            content = event["topology"]
            hosts = [(_endpoint(entry, locations, kinds), entry) for entry in content["hosts"]]
            for endpoint, entry in hosts:
                _validate(endpoint, entry.get("dial", ""))
            names = {endpoint.id: (entry["host"], entry.get("dial", "")) for endpoint, entry in hosts}
            return offset, EndpointList(
                bool(content.get("whole")), [endpoint for endpoint, _ in hosts], names
            )
        if "ban" in event:
            content = event["ban"]
            obj = int(content["url"], 16) if "url" in content else -1
            return offset, InvalidationEvent(
                obj, int(content.get("tag", -1)) if obj < 0 else -1, int(content["ts"]) * MS
            )
        return offset, None
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, OverflowError) as fault:
        raise MalformedEventError(f"invalid event ({type(fault).__name__}: {fault})") from None


def _endpoint(entry, locations, kinds):
    return Endpoint(
        id=endpoint_id(entry["host"]),
        location=locations.get(entry.get("site"), -1),
        kind=kinds.get(entry.get("class"), -1),
        cell=int(entry.get("block", 0)),
        state=STATES[entry["health"]],
        weight=float(entry.get("share", 1.0)),
        started=int(entry.get("born_ms", 0)) * MS,
    )


def _validate(endpoint, address):
    """Raise ValueError for an entry that can't be used, before any entry is applied: a list is applied whole or not."""
    if not (isfinite(endpoint.weight) and endpoint.weight > 0):
        raise ValueError(f"share {endpoint.weight}")
    host, _, port = address.rpartition(":")
    if address or endpoint.state is not EndpointState.GONE:  # a removed server needs no address
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"dial {address[:60]!r}")
