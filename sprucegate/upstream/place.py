"""A server as the front reaches it, and what a transport hands on of an answer. Nothing is decided here."""

from typing import NamedTuple


class Place:
    """A cache, parent or origin: by its id, since a new one may take the address of one that has gone.

    `transport` speaks to it; `held` is whatever that transport keeps of it.
    """

    __slots__ = ("id", "name", "address", "transport", "held", "gone")

    def __init__(self, number, name, address, transport):
        self.id, self.name, self.address, self.transport = number, name, address, transport
        self.held, self.gone = transport.kept(self), False


class Returned(NamedTuple):
    """What a server returned, whatever it speaks."""

    still_good: bool  # the client's copy is the one: no bytes
    tag: str
    made: int  # Unix time at which the origin gave it out, nanoseconds; 0 where it is not told
    body: bytes
    age: int | None = (
        None  # when it was asked for, at the most (ns), where a protocol tells ages and no stamps
    )
