"""One entry of the replicated log, and the configuration of the cluster that some entries carry."""

from typing import NamedTuple

# What an entry holds. The words stand in stored logs and in messages.
DATA = "data"  # a command for the state machine
CONFIG = "config"  # a ClusterConfiguration
NOTHING = "nothing"  # a new leader's first entry


class LogEntry(NamedTuple):
    """An entry of the log.

    :ivar index: its position, counted from 1
    :ivar term: the term of the leader that made it
    :ivar kind: DATA, CONFIG or NOTHING
    :ivar data: the command, a ClusterConfiguration, or None
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    term: int
    kind: str
    data: object


class ClusterConfiguration(NamedTuple):
    """The members of the cluster.

    :ivar voters: names of those that vote
    :ivar learners: names of those that receive the log and don't vote
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...]


class Snapshot(NamedTuple):
    """The state machine's state, in place of the log up to an index.

    :ivar index: index of the last entry that it stands for
    :ivar term: that entry's term
    :ivar configuration: the latest one up to that entry
    :ivar state: the machine's state; the node doesn't look into it
    """

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    term: int
    configuration: ClusterConfiguration
    state: object
