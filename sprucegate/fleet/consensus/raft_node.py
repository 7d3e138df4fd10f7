"""One voter or learner of the replicated log: the Raft algorithm, without I/O and without a clock.

Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections and replication (chapter 3), leadership transfer
(3.10), membership changes of one server at a time with learners first (4.2), never before an entry of the leader's own
term is committed (his correction of 2015), snapshots (5), linearizable reads by a round of heartbeats (6.4), pre-vote
(9.6), check-quorum (6.2). Each event, with the time, returns a list of `actions`. Times are ns on a monotonic clock;
`random_source` returns numbers from 0 up to 1.

A message that depends on a PersistState is held until `on_persisted` confirms the write.
"""

from sprucegate.fleet.consensus.actions import RaftAction, ReadIndexReady, SendMessage
from sprucegate.fleet.consensus.election import Election
from sprucegate.fleet.consensus.log_entry import (
    CONFIG,
    DATA,
    ClusterConfiguration,
    LogEntry,
    Snapshot,
)
from sprucegate.fleet.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from sprucegate.fleet.consensus.raft_state import PendingRead, Role

UNCOMMITTED_MAX = 256  # entries proposed and not yet committed
PENDING_READS_MAX = 1024


class RaftNode(Election):
    """A member of the cluster: its events and requests.

    `configuration` is the initial one: the same for all voters that form a new cluster, and empty for a member that
    joins later.
    """

    # Stored state.

    def load(self, term: int, voted_for: str, snapshot: Snapshot | None, entries: list[LogEntry]) -> None:
        """Load the stored state; called before anything else."""
        self.current_term = term
        self.voted_for = voted_for
        self.log.load(snapshot, entries)
        if snapshot is not None:
            self.commit_index = self.log.base_index
            self.last_applied = self.log.base_index
        self.persisted_index = self.log.last_index()

    def force_single_voter(self) -> list[RaftAction]:
        """Make this node the only voter, after an operator declared the others gone for good.

        Committed entries that only the others have are lost.
        """
        self.current_term += 1
        self.voted_for = ""
        configuration = ClusterConfiguration((self.name,), ())
        entry = LogEntry(self.log.last_index() + 1, self.current_term, CONFIG, configuration)
        self.log.append(entry)
        return [self._persist(entries=[entry])]

    # Time and messages.

    def next_deadline(self) -> int:
        """Return when `on_timer` is to be called next."""
        return self.timer_deadline

    def in_contact_with_quorum(self, now: int) -> bool:
        """Return whether this node leads and a majority responded within an election timeout."""
        timeout = self.timing.election_timeout
        recent = [name for name, at in self.last_contact.items() if now - at <= timeout]
        return self.role is Role.LEADER and self._is_quorum(recent)

    def on_timer(self, now: int) -> list[RaftAction]:
        """Start a heartbeat round or an election if one is due."""
        if self.storage_failed:
            self.timer_deadline = max(self.timer_deadline, now + self.timing.heartbeat_interval)
            return []
        if now < self.timer_deadline:
            return []
        if self.role is Role.LEADER:
            return self._on_heartbeat_timer(now)
        if not self.is_voter():
            self._reset_election_timer(now)
            return []
        return self._start_pre_vote(now)

    def _on_heartbeat_timer(self, now: int) -> list[RaftAction]:
        """Send a heartbeat round. A partitioned leader steps down, as the other side may elect another (6.2)."""
        if not self.in_contact_with_quorum(now):
            return self._become_follower(self.current_term, "", now)
        if now >= self.transfer_deadline:
            self.transfer_target = ""
        self.timer_deadline = now + self.timing.heartbeat_interval
        return self._start_round()

    def on_message(self, sender: str, message: RaftMessage, now: int) -> list[RaftAction]:
        """Handle a message of another node. It may be duplicated, delayed or out of order."""
        if self.storage_failed:
            return []
        if isinstance(message, RequestVote):
            return self._on_request_vote(sender, message, now)
        if isinstance(message, RequestVoteResponse):
            return self._on_request_vote_response(sender, message, now)
        actions: list[RaftAction] = []
        if message.term > self.current_term:
            actions = self._become_follower(message.term, "", now)
        if isinstance(message, AppendEntriesResponse):
            return actions + self._on_append_entries_response(sender, message, now)
        return actions + self._on_leader_message(sender, message, now)

    def _on_leader_message(
        self, sender: str, message: AppendEntries | InstallSnapshot | TimeoutNow, now: int
    ) -> list[RaftAction]:
        if message.term < self.current_term:
            response = AppendEntriesResponse(self.current_term, False, self.log.last_index(), 0)
            return [SendMessage(sender, response)]
        if isinstance(message, TimeoutNow):
            return self._start_election(now, leadership_transfer=True) if self.is_voter() else []
        actions: list[RaftAction] = []
        if self.role is not Role.FOLLOWER or self.leader != sender:
            actions = self._become_follower(self.current_term, sender, now)
        self.leader_contact = now
        self._reset_election_timer(now)
        if isinstance(message, AppendEntries):
            return actions + self._on_append_entries(sender, message)
        return actions + self._on_install_snapshot(sender, message)

    def on_persisted(self, number: int, now: int) -> list[RaftAction]:
        """Handle that all writes up to `number` are on disk: send held messages, and count this node's own copy."""
        self.persisted_number = max(self.persisted_number, number)
        while self.write_ends and self.write_ends[0][0] <= number:
            self.persisted_index = self.write_ends.popleft()[1]
        actions: list[RaftAction] = []
        while self.held_messages and self.held_messages[0][0] <= number:
            actions.append(self.held_messages.popleft()[1])
        if self.role is Role.CANDIDATE:
            return actions + self._count_votes(now)
        return actions + self._advance_commit(now)

    def on_persist_failed(self, now: int) -> list[RaftAction]:
        """Handle a failed write: step down, and vote for or acknowledge nothing until the next start."""
        self.storage_failed = True
        self.held_messages.clear()
        if self.role is Role.LEADER:
            return self._become_follower(self.current_term, "", now)
        return []

    # Requests.

    def propose(self, data: object, now: int) -> tuple[int, list[RaftAction]]:
        """Append a command. Returns its index and the actions.

        The index is 0 if this node doesn't lead, is transferring leadership, or has too many uncommitted entries.
        """
        uncommitted = self.log.last_index() - self.commit_index
        if self.role is not Role.LEADER or self.transfer_target or uncommitted >= UNCOMMITTED_MAX:
            return 0, []
        return self._append_entry(DATA, data, now)

    def change_membership(
        self, voters: tuple[str, ...], learners: tuple[str, ...], now: int
    ) -> tuple[int, list[RaftAction]]:
        """Append a new configuration. Returns its index and the actions; index 0: the change isn't allowed now.

        It adds or removes one voter at a time, and only learners become voters (4.2). The last change and an entry of
        this term must be committed first: two disjoint majorities could otherwise decide.
        """
        new = ClusterConfiguration(tuple(voters), tuple(learners))
        ready = self.role is Role.LEADER and not self.transfer_target and not self._is_change_pending()
        if not ready or self.log.term_of(self.commit_index) != self.current_term:
            return 0, []
        if not self._is_single_step(new):
            return 0, []
        return self._append_entry(CONFIG, new, now)

    def _is_change_pending(self) -> bool:
        uncommitted = self.log.after(max(self.commit_index, self.log.base_index))
        return any(entry.kind == CONFIG for entry in uncommitted)

    def _is_single_step(self, new: ClusterConfiguration) -> bool:
        old = self.configuration()
        changed = set(old.voters) ^ set(new.voters)
        added = changed & set(new.voters)
        return bool(new.voters) and len(changed) <= 1 and added <= set(old.learners)

    def read_index(self, token: object, now: int) -> list[RaftAction]:
        """Ask for a linearizable read (6.4).

        ReadIndexReady follows once a majority has answered a heartbeat round that started after this call, so a leader
        that was suspended and replaced doesn't serve stale reads.
        """
        can_read = self.role is Role.LEADER and self.log.term_of(self.commit_index) == self.current_term
        if not can_read or len(self.pending_reads) >= PENDING_READS_MAX:
            return [ReadIndexReady(token, -1)]
        actions = self._start_round()
        self.pending_reads.append(PendingRead(self.round, self.commit_index, token))
        return actions + self._finish_reads()

    def transfer_leadership(self, to: str, now: int) -> list[RaftAction]:
        """Transfer leadership to voter `to`, once it has the whole log (3.10)."""
        is_candidate = to in self.configuration().voters and to != self.name
        if self.role is not Role.LEADER or not is_candidate:
            return []
        self.transfer_target = to
        self.transfer_deadline = now + self.timing.election_timeout
        return self._continue_transfer()

    def compact_log(self, index: int, state: object) -> list[RaftAction]:
        """Replace the log up to `index`, which is applied, by a snapshot with `state` (chapter 5)."""
        if not self.log.base_index < index <= self.last_applied:
            return []
        snapshot = self.log.snapshot_at(index, state)
        self.log.rebase(snapshot)
        write = self._persist(truncate_from=index + 1, entries=self.log.entries, snapshot=snapshot)
        return [write]
