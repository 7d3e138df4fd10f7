"""Messages by which a process follows the log and proposes commands. Their fields go on the wire in this order."""

from typing import NamedTuple

Command = list[object]  # its name first; None in the log stands for an entry without a command


class FollowRequest(NamedTuple):
    """A follower asks a voter for what it has not applied.

    :ivar applied_index: what the follower has applied
    :ivar incarnation: the follower's, 0 for an agent, which nobody waits for
    :ivar number: counts the follower's requests
    :ivar report: what a front tells the leader (see rollout/leader), empty in most requests
    """

    applied_index: int
    incarnation: int
    number: int
    report: list[object]


class EntriesResponse(NamedTuple):
    """The answer to a FollowRequest: committed entries.

    :ivar number: the request's
    :ivar after_index: the entries follow this index
    :ivar entries: (index, command), in order
    :ivar commit_index: what the voter has applied
    :ivar is_leader: the voter leads, and the answer counts for a lease
    :ivar leader: the leader as far as the voter knows, or ""
    """

    number: int
    after_index: int
    entries: list[tuple[int, object]]
    commit_index: int
    is_leader: bool
    leader: str


class StateResponse(NamedTuple):
    """The answer to a FollowRequest of a follower that is too far behind: the state machine's whole state.

    :ivar number: the request's
    :ivar index: the last entry in the state
    :ivar state: the machine's state
    :ivar is_leader: as in EntriesResponse
    :ivar leader: as in EntriesResponse
    """

    number: int
    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object
    is_leader: bool
    leader: str


class ProposeRequest(NamedTuple):
    """A follower proposes a command; repeated until it is answered."""

    number: int
    command: Command


class ProposeResponse(NamedTuple):
    """The answer to a ProposeRequest, once the command is applied at the leader.

    :ivar number: the request's
    :ivar index: the entry's index; 0: not taken here, ask `leader`
    :ivar result: the machine's answer
    :ivar leader: the leader as far as the voter knows, or ""
    """

    number: int
    index: int  # type: ignore[assignment]  # tuple.index isn't called
    result: str
    leader: str
