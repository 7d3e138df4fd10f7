"""The record of an upstream server, and of a response that a transport hands on."""

from typing import NamedTuple


class UpstreamServer:
    """A cache, parent or origin. Known by its id, since a new one may take the address of one that is gone.

    :ivar transport: the transport by which it is reached
    :ivar held: state that this transport keeps for it
    :ivar gone: it was removed from the list
    """

    __slots__ = ("id", "name", "address", "transport", "held", "gone")

    def __init__(self, number, name, address, transport):
        self.id = number
        self.name = name
        self.address = address
        self.transport = transport
        self.held = transport.kept(self)
        self.gone = False


class ServerResponse(NamedTuple):
    """A response of a server, the same for all protocols.

    :ivar still_good: the client's stored response is still valid (304): no body
    :ivar tag: the entity tag, without quotes; "" where there is none
    :ivar made: Unix time at which the origin generated it (ns); 0 where unknown
    :ivar body: its content
    :ivar age: its greatest age when it was requested (ns), of a protocol that gives ages; None otherwise
    """

    still_good: bool
    tag: str
    made: int
    body: bytes
    age: int | None = None
