"""The operator's settings of HTTP/2 connections to servers, with their bounds: times in nanoseconds, sizes in bytes."""

from typing import Annotated

from msgspec import Meta, Struct

MS, S = 1_000_000, 1_000_000_000


def time(least, most):
    """Return the schema of a time with its unit, in nanoseconds."""
    return Annotated[int, Meta(ge=least, le=most, extra={"unit": "time"})]


def number(least, most):
    """Return the schema of a whole number."""
    return Annotated[int, Meta(ge=least, le=most)]


def size(least, most):
    """Return the schema of a size with its unit, in bytes."""
    return Annotated[int, Meta(ge=least, le=most, extra={"unit": "size"})]


Share = Annotated[float, Meta(ge=0, le=1)]


class Limits(Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The `http2` node of the operator's file: bounds of the connections to servers that speak HTTP/2."""

    connections: number(1, 64) = 4  # to one server that accept streams; one more while one is being replaced
    streams: number(1, 10_000) = 100  # open on one connection; the peer's own limit applies as well
    open_above: Share = 0.5  # another is opened when even the least full one uses this share of its streams
    waiting: number(0, 10_000) = 200  # attempts that wait for a stream to one server
    wait: time(MS, 10 * S) = 300 * MS  # how long an attempt waits for a stream
    connect: time(MS, 30 * S) = 400 * MS  # until the peer's SETTINGS arrive, and again until it acks ours
    idle: time(100 * MS, 3600 * S) = 14 * S
    age: time(S, 30 * 86_400 * S) = 600 * S  # after which a connection is replaced
    age_spread: Share = 0.2  # connections are replaced earlier by up to this share of `age`
    ids: number(10, 1 << 29) = 1 << 29  # streams opened on one connection before it is replaced
    ping_after: time(10 * MS, 60 * S) = 500 * MS  # nothing received while streams are open
    ping_wait: time(10 * MS, 60 * S) = 500 * MS  # until the answer to a PING
    stalled: time(10 * MS, 60 * S) = 300 * MS  # time without data on a partly received response
    reconnect_first: time(MS, 60 * S) = 50 * MS  # back-off after the first failure; it doubles with each
    reconnect_most: time(MS, 600 * S) = 5 * S  # maximum of that back-off
    held: size(262_144, 1 << 30) = 4 << 20  # bytes of partly received responses on one connection

    def contradiction(self):
        """Return (key, what is wrong) if two values contradict each other, else None."""
        if self.reconnect_first > self.reconnect_most:
            return "reconnect-first", "is longer than reconnect-most"
        if self.idle <= self.ping_after:
            return (
                "idle",
                "must be longer than ping-after, or connections are closed as idle before a PING can check them",
            )
        if self.age <= self.idle:
            return "age", "must be longer than idle"
        return None
