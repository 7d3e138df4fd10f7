"""State and rules that all parts of a Raft node share: quorums, and holding messages until writes are on disk."""

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import NamedTuple

from sprucegate.fleet.consensus.actions import (
    ApplyEntries,
    LeadershipChanged,
    PersistState,
    RaftAction,
    ReadIndexReady,
    SendMessage,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration, LogEntry, Snapshot
from sprucegate.fleet.consensus.raft_log import RaftLog
from sprucegate.units import MILLISECOND, SECOND


class Role(Enum):
    """A node's role in its current term."""

    FOLLOWER = auto()
    PRE_CANDIDATE = auto()
    CANDIDATE = auto()
    LEADER = auto()


class RaftTiming(NamedTuple):
    """Times of the protocol in ns.

    :ivar election_timeout: minimum; a follower without a leader starts an election after one to two times as long
    :ivar heartbeat_interval: time between two heartbeat rounds of a leader
    """

    election_timeout: int = 300 * MILLISECOND
    heartbeat_interval: int = 60 * MILLISECOND


class PendingRead(NamedTuple):
    """A linearizable read that waits for a majority to answer a heartbeat round.

    :ivar round: number of that round; a later round counts too
    :ivar index: the commit index when the read was requested
    :ivar token: identifies the read to its requester
    """

    round: int
    index: int  # type: ignore[assignment]  # tuple.index isn't called
    token: object


class RaftState:
    """A node's state, and operations that elections and replication share. Times are ns on a monotonic clock.

    :ivar random_source: returns a random number from 0 up to 1 for a purpose
    :ivar current_term: latest term seen; persistent
    :ivar voted_for: the candidate that got this node's vote in that term, or ""; persistent
    :ivar leader: the known leader, or ""
    :ivar log: entries and snapshot; persistent
    :ivar commit_index: the last entry known to be committed
    :ivar last_applied: the last entry given to the state machine
    :ivar persisted_index: the last entry on this node's disk
    :ivar write_number: number of the latest PersistState
    :ivar persisted_number: number of the last PersistState that is on disk
    :ivar held_messages: (number of the write to wait for, message), in order
    :ivar write_ends: (number, last index) of writes that are in progress
    :ivar next_index: leader: the next entry to be sent, by follower
    :ivar match_index: leader: the last entry known to be on the follower's disk, by follower
    :ivar last_contact: leader: when the last response arrived, by follower
    :ivar votes: candidate: whether the vote was granted, by voter
    :ivar round: leader: number of the latest heartbeat round
    :ivar acknowledged_round: leader: the latest round that was answered, by follower
    :ivar pending_reads: leader: waiting reads, in order
    :ivar transfer_target: leader: the voter that leadership is being transferred to, or ""
    :ivar transfer_deadline: leader: when the transfer is abandoned
    :ivar leader_contact: follower: when the leader was last heard from
    :ivar timer_deadline: when the election or the next heartbeat is due
    :ivar storage_failed: a write failed: this node votes for and acknowledges nothing more
    """

    def __init__(
        self,
        name: str,
        configuration: ClusterConfiguration,
        random_source: Callable[[str], float],
        now: int,
        timing: RaftTiming | None = None,
    ) -> None:
        self.name = name
        self.random_source = random_source
        self.timing = timing or RaftTiming()
        self.current_term = 0
        self.voted_for = ""
        self.leader = ""
        self.role = Role.FOLLOWER
        self.log = RaftLog(configuration)
        self.commit_index = 0
        self.last_applied = 0
        self.persisted_index = 0
        self.write_number = 0
        self.persisted_number = 0
        self.held_messages: deque[tuple[int, SendMessage]] = deque()
        self.write_ends: deque[tuple[int, int]] = deque()
        self.next_index: dict[str, int] = {}
        self.match_index: dict[str, int] = {}
        self.last_contact: dict[str, int] = {}
        self.votes: dict[str, bool] = {}
        self.round = 0
        self.acknowledged_round: dict[str, int] = {}
        self.pending_reads: deque[PendingRead] = deque()
        self.transfer_target = ""
        self.transfer_deadline = 0
        self.leader_contact = -SECOND
        self.timer_deadline = 0
        self.storage_failed = False
        self._reset_election_timer(now)

    def configuration(self) -> ClusterConfiguration:
        """Return the latest configuration in the log, committed or not."""
        return self.log.configuration()

    def is_voter(self) -> bool:
        """Return whether this node votes, by the latest configuration."""
        return self.name in self.configuration().voters

    def _is_quorum(self, names: Iterable[str]) -> bool:
        """Return whether these nodes, together with this one, are a majority of the voters."""
        voters = self.configuration().voters
        return 2 * len({*names, self.name} & set(voters)) > len(voters)

    def _other_members(self) -> list[str]:
        configuration = self.configuration()
        return [name for name in (*configuration.voters, *configuration.learners) if name != self.name]

    def _persist(
        self, truncate_from: int = 0, entries: Iterable[LogEntry] = (), snapshot: Snapshot | None = None
    ) -> PersistState:
        self.write_number += 1
        self.write_ends.append((self.write_number, self.log.last_index()))
        return PersistState(
            self.write_number, self.current_term, self.voted_for, truncate_from, list(entries), snapshot
        )

    def _send_once_persisted(self, send: SendMessage) -> list[RaftAction]:
        """Send now if no write is in progress; else hold the message until all present writes are on disk."""
        if self.write_number == self.persisted_number:
            return [send]
        self.held_messages.append((self.write_number, send))
        return []

    def _apply_committed(self) -> list[RaftAction]:
        last = min(self.commit_index, self.log.last_index())
        if last <= self.last_applied:
            return []
        entries = self.log.between(self.last_applied, last)
        self.last_applied = last
        return [ApplyEntries(entries)]

    def _reset_election_timer(self, now: int) -> None:
        timeout = self.timing.election_timeout
        self.timer_deadline = now + timeout + int(timeout * self.random_source("election"))

    def _become_follower(self, term: int, leader: str, now: int) -> list[RaftAction]:
        """Become a follower in `term`; `leader` is "" if unknown. Ends this node's leadership and pending reads."""
        actions: list[RaftAction] = []
        if self.role is Role.LEADER:
            actions.append(LeadershipChanged(False, self.current_term))
        actions += [ReadIndexReady(read.token, -1) for read in self.pending_reads]
        self.pending_reads.clear()
        self.role = Role.FOLLOWER
        self.leader = leader
        self.transfer_target = ""
        if term > self.current_term:
            self.current_term = term
            self.voted_for = ""
            actions.append(self._persist())
        self._reset_election_timer(now)
        return actions
