"""The records of an upstream server and of a response that a transport passes on."""

from typing import NamedTuple


class UpstreamServer:
    """A cache, parent or origin. Identified by its id, as a new server may take over the address of a removed one.

    :ivar transport: the transport by which it is reached
    :ivar transport_state: that transport's state for it
    :ivar gone: it was removed from the endpoint list
    """

    __slots__ = ("id", "name", "address", "transport", "transport_state", "gone")

    def __init__(self, number, name, address, transport):
        self.id = number
        self.name = name
        self.address = address
        self.transport = transport
        self.transport_state = transport.create_state(self)
        self.gone = False


class ServerResponse(NamedTuple):
    """A response of a server, the same for all protocols.

    :ivar not_modified: the client's stored response is still valid (304), and there is no body
    :ivar tag: the entity tag, without quotes; "" if there is none
    :ivar generated_at: Unix time at which the origin generated it (ns); 0 if unknown
    :ivar body: its content
    :ivar age: its greatest possible age (ns) when it was requested, if the protocol reports ages; else None
    """

    not_modified: bool
    tag: str
    generated_at: int
    body: bytes
    age: int | None = None
