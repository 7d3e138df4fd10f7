"""Records of the members of the fleet, as the failure detector exchanges them (SWIM, section 4)."""

from enum import IntEnum
from typing import NamedTuple

MEMBERS_MAX = 1000


class MemberState(IntEnum):
    """State of a member. The numbers are sent between fronts; a higher one overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# The words in log lines and in answers to the command line.
MEMBER_STATE_WORDS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}


class Member(NamedTuple):
    """The record of a member. The order of the fields is that of the wire format.

    :ivar name: name in the fleet, unique among members
    :ivar address: "HOST:PORT" of its fleet port
    :ivar incarnation: of its process: count of starts kept on disk << 32 | 32 random bits of that start
    :ivar refutation: how often it refuted a suspicion in this incarnation (SWIM's incarnation number)
    :ivar state: a MemberState, as a number
    :ivar reported_by: name of the member that reported this state
    """

    name: str
    address: str
    incarnation: int
    refutation: int
    state: int
    reported_by: str

    def overrides(self, other: "Member") -> bool:
        """Tell whether this record replaces `other`: by incarnation, then refutation, then the worse state."""
        return (self.incarnation, self.refutation, self.state) > (
            other.incarnation,
            other.refutation,
            other.state,
        )

    @property
    def is_reachable(self) -> bool:
        """Whether the member is alive or only suspected."""
        return self.state <= MemberState.SUSPECT
