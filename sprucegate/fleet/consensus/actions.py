"""Actions that a Raft node returns to its driver, to be performed in their order."""

from typing import NamedTuple

from sprucegate.fleet.consensus.log_entry import LogEntry, Snapshot


class SendMessage(NamedTuple):
    """Send a message to a node by name. It may be lost, duplicated or delayed.

    :ivar to: the receiver's name
    :ivar message: one of `messages`, `follow_messages` or `durability_check`
    """

    to: str
    message: tuple[object, ...]


class PersistState(NamedTuple):
    """Write to disk and sync, in the order of the numbers, then call `RaftNode.on_persisted(number)`.

    :ivar number: counts the writes of one node from 1
    :ivar term: the current term
    :ivar voted_for: the candidate that got this node's vote in that term, or ""
    :ivar truncate_from: drop stored entries from this index on; 0: none
    :ivar entries: entries to be appended; with a snapshot, all entries that follow it
    :ivar snapshot: replaces the log up to its index; or None
    """

    number: int
    term: int
    voted_for: str
    truncate_from: int
    entries: list[LogEntry]
    snapshot: Snapshot | None


class ApplyEntries(NamedTuple):
    """Apply committed entries to the state machine: in order, and each once while the process runs."""

    entries: list[LogEntry]


class RestoreSnapshot(NamedTuple):
    """Replace the state machine's state by a leader's snapshot.

    :ivar index: the last entry that the state includes
    :ivar state: the state machine's state
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object


class LeadershipChanged(NamedTuple):
    """This node became the leader, or stopped leading.

    :ivar is_leader: whether it leads from now on
    :ivar term: its current term
    """

    is_leader: bool
    term: int


class ReadIndexReady(NamedTuple):
    """A linearizable read may proceed, or failed (thesis, section 6.4).

    :ivar token: the token given to `RaftNode.read_index`
    :ivar index: the read must see the state applied up to this index; -1: this node can't serve the read
    """

    token: object
    index: int  # type: ignore[assignment]  # tuple.index isn't called


RaftAction = SendMessage | PersistState | ApplyEntries | RestoreSnapshot | LeadershipChanged | ReadIndexReady
