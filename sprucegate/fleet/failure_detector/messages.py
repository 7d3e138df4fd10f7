"""Messages between failure detectors. The order of the fields is that of the wire format (see `links.codec`)."""

from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import Member


class Ping(NamedTuple):
    """A probe: the receiver answers with Ack if its name is `to`.

    :ivar number: of the probe, given by the sender
    :ivar to: name of the member that is probed; another one may have its address now
    :ivar digest: of the sender's replicated records, for the receiver to compare; 0 if unknown
    :ivar updates: records of members, piggybacked
    """

    number: int
    to: str
    digest: int
    updates: list[Member]


class Ack(NamedTuple):
    """The answer to a Ping, or to a PingRequest when the target has answered the helper.

    :ivar number: of the Ping or PingRequest
    :ivar digest: of the target's replicated records
    :ivar updates: records of members, piggybacked
    """

    number: int
    digest: int
    updates: list[Member]


class PingRequest(NamedTuple):
    """SWIM's ping-req: asks the receiver to probe `target` and to relay its answer."""

    number: int
    target: str
    updates: list[Member]


class Nack(NamedTuple):
    """Lifeguard: the helper received PingRequest `number`, and its target hasn't answered yet."""

    number: int


class FullState(NamedTuple):
    """All members that the sender knows (anti-entropy), or a single record sent outside of probes.

    :ivar members: the records
    :ivar reply_requested: whether the receiver is to answer with its own FullState
    """

    members: list[Member]
    reply_requested: bool


class ConnectionRefused(NamedTuple):
    """The sender's connections to `name` were reset and its port refuses: that process has probably ended."""

    name: str
    incarnation: int
