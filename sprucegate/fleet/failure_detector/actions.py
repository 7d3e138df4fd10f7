"""What the failure detector reports or wants to be done."""

from typing import Any, NamedTuple

from sprucegate.fleet.failure_detector.member import Member


class Send(NamedTuple):
    """Send `message` to a member by name, or to an address while the name isn't known (`to` is empty then)."""

    to: str
    address: str
    message: tuple[Any, ...]


class CheckPort(NamedTuple):
    """Connect to the member's port and close at once; `connection_refused` is to be called only if it refuses."""

    name: str
    address: str
    incarnation: int


class ProbeAnswered(NamedTuple):
    """A probe of this front was answered, by the member itself (`direct`) or only through a helper."""

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
    """Another process bears this front's name: keep a start above `start_above` on disk, then call `renew`.

    :ivar own: this process's incarnation
    :ivar other: the other process's incarnation
    :ivar start_above: the count of starts of the other process
    :ivar alias: the name to go on under, or "" to keep the name; not empty if both processes are alive
    """

    own: int
    other: int
    start_above: int
    alias: str


class DeclaredDead(NamedTuple):
    """The others had counted this front as dead: records that they removed meanwhile mustn't return by it."""
