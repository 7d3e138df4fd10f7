"""Entries and snapshots of the replicated log, and the cluster configuration that some entries carry."""

from typing import NamedTuple

# Kinds of entries. The values are part of stored logs and of messages.
DATA = "data"  # a command for the state machine
CONFIG = "config"  # a ClusterConfiguration
NO_OP = "nothing"  # without a command; a new leader appends one first


class LogEntry(NamedTuple):
    """An entry of the log.

    :ivar index: its position, counted from 1
    :ivar term: the term of the leader that appended it
    :ivar kind: DATA, CONFIG or NO_OP
    :ivar data: the command, a ClusterConfiguration, or None
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    term: int
    kind: str
    data: object


class ClusterConfiguration(NamedTuple):
    """The members of the cluster.

    :ivar voters: names of the voting members
    :ivar learners: names of the members that receive the log and don't vote
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]


class Snapshot(NamedTuple):
    """The state machine's state, which replaces the log up to an index.

    :ivar index: index of the last entry that the state includes
    :ivar term: that entry's term
    :ivar configuration: the latest configuration up to that entry
    :ivar state: the state machine's state; opaque to the Raft node
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    term: int
    configuration: ClusterConfiguration
    state: object
