"""Actions of the failure detector: what it reports, and what its caller is to do."""

from typing import Any, NamedTuple

from sprucegate.fleet.failure_detector.member import Member


class Send(NamedTuple):
    """Send `message` to a member by name, or to an address while the name isn't known (`to` is empty then)."""

    to: str
    address: str
    message: tuple[Any, ...]


class CheckPort(NamedTuple):
    """Connect to the member's port and close at once; call `on_connection_refused` only if it refuses."""

    name: str
    address: str
    incarnation: int


class ProbeAnswered(NamedTuple):
    """A probe sent by this front was answered, by the member itself (`direct`) or only through a helper."""

    name: str
    direct: bool


class ProcessStalled(NamedTuple):
    """This process didn't run for `duration` ns beyond its earliest timer."""

    duration: int


class MemberChanged(NamedTuple):
    """The record of a member changed; `before` is None for a new one."""

    member: Member
    before: Member | None


class NameConflict(NamedTuple):
    """Another process uses this front's name: store a start count above `start_above` on disk, then call `renew`.

    :ivar own: this process's incarnation
    :ivar other: the other process's incarnation
    :ivar start_above: the count of starts of the other process
    :ivar alias: the name to use from now on, or "" to keep the present one; not empty if both processes are alive
    """

    own: int
    other: int
    start_above: int
    alias: str


class DeclaredDead(NamedTuple):
    """Other members had declared this front dead: it must not reintroduce records that they removed meanwhile."""
