"""Messages between Raft nodes, by the names of Ongaro's thesis. Their fields go on the wire in this order."""

from typing import NamedTuple

from sprucegate.fleet.consensus.log_entry import ClusterConfiguration, LogEntry


class RequestVote(NamedTuple):
    """A candidate asks for a vote (thesis, section 3.4), or asks in advance whether it would get one (9.6).

    :ivar term: the term to be elected for
    :ivar last_log_index: index of the candidate's last entry
    :ivar last_log_term: that entry's term
    :ivar pre_vote: only the question in advance; the receiver's state doesn't change
    :ivar leadership_transfer: the leader itself asked the candidate to stand (3.10)
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteResponse(NamedTuple):
    """The answer to a RequestVote.

    :ivar term: the term asked for where a pre-vote is granted, else the sender's own
    :ivar pre_vote: answers a question in advance
    :ivar vote_granted: whether the vote is given
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
    :ivar round: number of the heartbeat round, given back in the response
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    round: int


class AppendEntriesResponse(NamedTuple):
    """The answer to AppendEntries or InstallSnapshot, sent once the entries are on disk.

    :ivar term: the follower's term
    :ivar success: whether the follower's log agrees with the leader's at the entry before
    :ivar match_index: last index known to agree; without success, the index to go on after
    :ivar round: the round of the message that is answered
    """

    term: int
    success: bool
    match_index: int
    round: int


class InstallSnapshot(NamedTuple):
    """A leader's snapshot, for a follower whose next entry is no longer in the log (chapter 5).

    :ivar term: the leader's term
    :ivar last_included_index: index of the last entry that the snapshot stands for
    :ivar last_included_term: that entry's term
    :ivar configuration: the members up to that entry
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
    """The leader hands leadership over: the receiver begins an election at once (3.10)."""

    term: int


RaftMessage = (
    RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow
)
