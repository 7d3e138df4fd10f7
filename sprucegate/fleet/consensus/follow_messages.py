"""Messages for following the log and proposing commands. Their fields are encoded in this order."""

from typing import NamedTuple

Command = list[object]  # name, then arguments; entries without a command have None instead


class FollowRequest(NamedTuple):
    """A follower asks a voter for entries that it has not applied.

    :ivar applied_index: the last entry that the follower applied
    :ivar incarnation: of the follower; 0 for an agent, which the leader doesn't wait for
    :ivar number: counts the follower's requests
    :ivar report: a front's report to the leader (see rollout/leader); empty in most requests
    """

    applied_index: int
    incarnation: int
    number: int
    report: list[object]


class EntriesResponse(NamedTuple):
    """Response to a FollowRequest: committed entries.

    :ivar number: number of the request
    :ivar after_index: the entries follow this index
    :ivar entries: (index, command), in order
    :ivar commit_index: the last entry that the voter applied
    :ivar is_leader: whether the voter leads, so that the response extends the lease
    :ivar leader: the leader that the voter knows, or ""
    """

    number: int
    after_index: int
    entries: list[tuple[int, object]]
    commit_index: int
    is_leader: bool
    leader: str


class StateResponse(NamedTuple):
    """Response to a FollowRequest of a follower that is too far behind: the state machine's whole state.

    :ivar number: number of the request
    :ivar index: the last entry that the state includes
    :ivar state: the state machine's state
    :ivar is_leader: as in EntriesResponse
    :ivar leader: as in EntriesResponse
    """

    number: int
    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object
    is_leader: bool
    leader: str


class ProposeRequest(NamedTuple):
    """A follower proposes a command. Repeated until it is answered."""

    number: int
    command: Command


class ProposeResponse(NamedTuple):
    """Response to a ProposeRequest, sent once the leader applied the command.

    :ivar number: number of the request
    :ivar index: the entry's index; 0: not accepted here, ask `leader`
    :ivar result: the state machine's result
    :ivar leader: the leader that the voter knows, or ""
    """

    number: int
    index: int  # type: ignore[assignment]  # tuple.index isn't called
    result: str
    leader: str
