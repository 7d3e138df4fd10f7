"""What an operator may set of HTTP/2 towards servers: times in nanoseconds, sizes in bytes, with their bounds."""

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
    """The `http2` node: bounds of connections to servers that speak HTTP/2."""

    connections: number(1, 64) = 4  # to one server that take streams; while one retires, one more
    streams: number(1, 10_000) = 100  # open on one connection; the peer's limit holds besides
    open_above: Share = 0.5  # how full the least full is when another is opened
    waiting: number(0, 10_000) = 200  # GETs that wait for a place at one server
    wait: time(MS, 10 * S) = 300 * MS  # how long one does
    connect: time(MS, 30 * S) = (
        400 * MS
    )  # until the peer's SETTINGS are there, and again until ours are acknowledged
    idle: time(100 * MS, 3600 * S) = 14 * S
    age: time(S, 30 * 86_400 * S) = 600 * S  # after which a connection is replaced
    age_spread: Share = 0.2  # the share of it by which some retire earlier
    ids: number(10, 1 << 29) = 1 << 29  # streams begun on one connection before it is replaced
    ping_after: time(10 * MS, 60 * S) = 500 * MS  # nothing read while forwards wait
    ping_wait: time(10 * MS, 60 * S) = 500 * MS  # for its answer
    stalled: time(10 * MS, 60 * S) = 300 * MS  # an answer begun without a byte
    reconnect_first: time(MS, 60 * S) = 50 * MS
    reconnect_most: time(MS, 600 * S) = 5 * S
    held: size(262_144, 1 << 30) = 4 << 20  # of answers not yet whole on one connection

    def contradiction(self):
        """(key, what is wrong) of two values that can't both hold, or None."""
        if self.reconnect_first > self.reconnect_most:
            return "reconnect-first", "is longer than reconnect-most"
        if self.idle <= self.ping_after:
            return "idle", "must be longer than ping-after, or no idle connection is ever asked for life"
        if self.age <= self.idle:
            return "age", "must be longer than idle"
        return None
