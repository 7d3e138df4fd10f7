"""What a Raft node asks its driver to do, in the order of the list that it returns."""

from typing import NamedTuple

from sprucegate.fleet.consensus.log_entry import LogEntry, Snapshot


class SendMessage(NamedTuple):
    """Send a message to a node by name; it may be lost, doubled or late.

    :ivar to: the receiver's name
    :ivar message: one of `messages`, or of another protocol of this package
    """

    to: str
    message: tuple[object, ...]


class PersistState(NamedTuple):
    """Write to disk and sync, in the order of the numbers; then call `RaftNode.on_persisted(number)`.

    :ivar number: counts the writes of one node from 1
    :ivar term: the current term
    :ivar voted_for: whom this node voted for in that term, "" for nobody
    :ivar truncate_from: stored entries from this index on are void; 0: none
    :ivar entries: entries to be appended; with a snapshot, all that follow it
    :ivar snapshot: stands for the log before it, or None
    """

    number: int
    term: int
    voted_for: str
    truncate_from: int
    entries: list[LogEntry]
    snapshot: Snapshot | None


class ApplyEntries(NamedTuple):
    """Give committed entries to the state machine: in order, each once in the life of a process."""

    entries: list[LogEntry]


class RestoreSnapshot(NamedTuple):
    """Replace the state machine's state by a leader's snapshot.

    :ivar index: the last entry that it stands for
    :ivar state: the machine's state
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object


class LeadershipChanged(NamedTuple):
    """This node was elected, or leads no longer.

    :ivar is_leader: whether it leads from here on
    :ivar term: its current term
    """

    is_leader: bool
    term: int


class ReadIndexReady(NamedTuple):
    """The end of a linearizable read (6.4).

    :ivar token: what `RaftNode.read_index` was given
    :ivar index: the state applied up to here is as new as the read requires; -1: this node can't tell
    """

    token: object
    index: int  # type: ignore[assignment]  # tuple.index isn't called


RaftAction = SendMessage | PersistState | ApplyEntries | RestoreSnapshot | LeadershipChanged | ReadIndexReady
