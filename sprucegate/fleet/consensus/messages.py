"""Messages between Raft nodes, named as in Ongaro's thesis. Their fields are encoded in this order."""

from typing import NamedTuple

from sprucegate.fleet.consensus.log_entry import ClusterConfiguration, LogEntry


class RequestVote(NamedTuple):
    """A candidate asks for a vote (thesis, section 3.4), or for a pre-vote (9.6).

    :ivar term: the term of the election
    :ivar last_log_index: index of the candidate's last entry
    :ivar last_log_term: that entry's term
    :ivar pre_vote: whether this is a pre-vote, which doesn't change the receiver's state
    :ivar leadership_transfer: whether the leader itself asked the candidate to start the election (3.10)
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteResponse(NamedTuple):
    """Response to a RequestVote.

    :ivar term: the requested term if a pre-vote is granted, else the sender's current term
    :ivar pre_vote: whether this answers a pre-vote
    :ivar vote_granted: whether the vote or pre-vote is granted
    """

    term: int
    pre_vote: bool
    vote_granted: bool


class AppendEntries(NamedTuple):
    """A leader's entries, or its heartbeat (3.5).

    :ivar term: the leader's term
    :ivar prev_log_index: index of the entry before `entries`
    :ivar prev_log_term: that entry's term
    :ivar entries: entries to be appended; none in a heartbeat
    :ivar leader_commit: the leader's commit index
    :ivar round: number of the heartbeat round, echoed in the response
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    round: int


class AppendEntriesResponse(NamedTuple):
    """Response to AppendEntries or InstallSnapshot, sent once the entries are on disk.

    :ivar term: the follower's term
    :ivar success: whether the follower's log matches the leader's at `prev_log_index`
    :ivar match_index: last index known to match; without success, the index after which to retry
    :ivar round: the round of the request
    """

    term: int
    success: bool
    match_index: int
    round: int


class InstallSnapshot(NamedTuple):
    """A leader's snapshot, for a follower whose next entry was compacted away (chapter 5).

    :ivar term: the leader's term
    :ivar last_included_index: index of the last entry that the snapshot includes
    :ivar last_included_term: that entry's term
    :ivar configuration: the cluster configuration up to that entry
    :ivar state: the state machine's state
    :ivar round: number of the heartbeat round
    """

    term: int
    last_included_index: int
    last_included_term: int
    configuration: ClusterConfiguration
    state: object
    round: int


class TimeoutNow(NamedTuple):
    """The leader transfers leadership: the receiver starts an election at once (3.10)."""

    term: int


RaftMessage = (
    RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow
)
