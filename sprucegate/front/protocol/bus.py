"""The event bus: server-sent events to list entries and purges. Opens no socket, decides nothing."""

import re
from math import isfinite
from typing import NamedTuple

import httptools
import orjson

from sprucegate.errors import ProtocolError
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.upstream.hosts import EndpointList, endpoint_id

MS = 1_000_000
EVENT_MOST = 4 << 20  # bytes of one event; the whole list is the largest
STATES = {"up": EndpointState.SERVING, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


class MalformedEventError(ProtocolError, ValueError):
    """An event that lacks what it needs."""


class InvalidationEvent(NamedTuple):
    """Copies of one object (or of one group, where `object` is -1) from before `at` are void."""

    object: int
    group: int
    at: int  # Unix time, nanoseconds


class EventReader:
    """Events of one stream as (id, data) pairs, fed as the bytes come; any bytes show that it lives."""

    def __init__(self):
        self.held, self.id, self.data = b"", "", []

    def feed(self, chunk):
        """Return the events that are whole with these bytes; raises MalformedEventError."""
        self.held += chunk
        if len(self.held) + sum(map(len, self.data)) > EVENT_MOST:
            raise MalformedEventError("an event longer than its bound")
        *lines, self.held = re.split(rb"\r\n|\n|\r(?!\Z)", self.held)
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
    """The stream's HTTP answer, whole or in chunks, down to its events."""

    def __init__(self):
        self.parser, self.events, self.found = httptools.HttpResponseParser(self), EventReader(), []

    def on_body(self, body):
        """Take a piece of the response's body, for httptools."""
        self.found += self.events.feed(body)

    def feed(self, chunk):
        """Return the events that are whole with these bytes; raises MalformedEventError."""
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserError as fault:
            raise MalformedEventError(f"no readable answer: {fault}") from None
        if self.parser.get_status_code() not in (0, 200):
            raise MalformedEventError(f"answered {self.parser.get_status_code()}")
        found, self.found = self.found, []
        return found


def read(data, locations, kinds):
    """One event as (offset, Hosts or Purge or None); what is not known is passed over with None."""
    try:
        event = orjson.loads(data) if isinstance(data, bytes) else data
        offset = int(event["offset"])
        if "topology" in event:
            said = event["topology"]
            hosts = [(_listed(entry, locations, kinds), entry) for entry in said["hosts"]]
            for listed, entry in hosts:
                _checked(listed, entry.get("dial", ""))
            names = {listed.id: (entry["host"], entry.get("dial", "")) for listed, entry in hosts}
            return offset, EndpointList(bool(said.get("whole")), [listed for listed, _ in hosts], names)
        if "ban" in event:
            said = event["ban"]
            obj = int(said["url"], 16) if "url" in said else -1
            return offset, InvalidationEvent(
                obj, int(said.get("tag", -1)) if obj < 0 else -1, int(said["ts"]) * MS
            )
        return offset, None
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, OverflowError) as fault:
        raise MalformedEventError(f"event that can't be read ({type(fault).__name__}: {fault})") from None


def _listed(entry, locations, kinds):
    return Endpoint(
        id=endpoint_id(entry["host"]),
        location=locations.get(entry.get("site"), -1),
        kind=kinds.get(entry.get("class"), -1),
        cell=int(entry.get("block", 0)),
        state=STATES[entry["health"]],
        weight=float(entry.get("share", 1.0)),
        started=int(entry.get("born_ms", 0)) * MS,
    )


def _checked(listed, address):
    """Against a list that is believed by half: what can't be used is found before anything of it is applied."""
    if not (isfinite(listed.weight) and listed.weight > 0):
        raise ValueError(f"share {listed.weight}")
    host, _, port = address.rpartition(":")
    if address or listed.state is not EndpointState.GONE:  # where one was that has gone is no longer wanted
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"dial {address[:60]!r}")
