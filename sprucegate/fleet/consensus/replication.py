"""Log replication: the leader's and the follower's side (Ongaro's thesis, sections 3.5, 3.6, 6.4; chapter 5)."""

from collections import deque

from sprucegate.fleet.consensus.actions import RaftAction, ReadIndexReady, RestoreSnapshot, SendMessage
from sprucegate.fleet.consensus.log_entry import LogEntry, Snapshot
from sprucegate.fleet.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    TimeoutNow,
)
from sprucegate.fleet.consensus.raft_state import RaftState, Role

ENTRIES_PER_MESSAGE = 64


class Replication(RaftState):
    """How a leader replicates and commits entries, and how a follower appends them."""

    # The leader.

    def _append_entry(self, kind: str, data: object, now: int) -> tuple[int, list[RaftAction]]:
        """Append an entry as the leader and replicate it. Returns its index and the actions."""
        entry = LogEntry(self.log.last_index() + 1, self.current_term, kind, data)
        self.log.append(entry)
        actions: list[RaftAction] = [self._persist(entries=[entry])]
        for name in self._other_members():
            self.next_index.setdefault(name, self.log.base_index + 1)
            self.match_index.setdefault(name, 0)
            self.acknowledged_round.setdefault(name, 0)
            self.last_contact.setdefault(name, now)
        for name in self._other_members():
            actions.append(self._replicate_to(name))
        return entry.index, actions

    def _start_round(self) -> list[RaftAction]:
        """Start a heartbeat round: send each member the entries that it lacks."""
        self.round += 1
        return [self._replicate_to(name) for name in self._other_members()]

    def _replicate_to(self, name: str) -> SendMessage:
        """Return the message with the entries or the snapshot that the member lacks.

        It may be sent before the entries are on the leader's disk: the leader counts its own copy only once they are.
        """
        log = self.log
        first = self.next_index[name]
        if first <= log.base_index:
            return SendMessage(
                name,
                InstallSnapshot(
                    self.current_term,
                    log.base_index,
                    log.base_term,
                    log.base_configuration,
                    log.base_state,
                    self.round,
                ),
            )
        previous = first - 1
        entries = log.after(previous, ENTRIES_PER_MESSAGE)
        message = AppendEntries(
            self.current_term, previous, log.term_of(previous), entries, self.commit_index, self.round
        )
        return SendMessage(name, message)

    def _on_append_entries_response(
        self, sender: str, response: AppendEntriesResponse, now: int
    ) -> list[RaftAction]:
        is_current = self.role is Role.LEADER and response.term == self.current_term
        if not is_current or sender not in self.match_index:
            return []
        self.last_contact[sender] = now
        self.acknowledged_round[sender] = max(self.acknowledged_round[sender], response.round)
        actions = self._finish_reads()
        matched = self.match_index[sender]
        if not response.success:
            earlier = min(self.next_index[sender] - 1, response.match_index + 1)
            self.next_index[sender] = max(matched + 1, earlier)
            return [*actions, self._replicate_to(sender)]
        advanced = response.match_index > matched
        self.match_index[sender] = max(matched, response.match_index)
        self.next_index[sender] = max(self.next_index[sender], self.match_index[sender] + 1)
        if advanced:
            actions += self._advance_commit(now)
            if self.role is Role.LEADER and self.next_index[sender] <= self.log.last_index():
                actions.append(self._replicate_to(sender))
        return actions + self._continue_transfer()

    def _advance_commit(self, now: int) -> list[RaftAction]:
        """Commit entries that a majority has on disk, up to one of the leader's own term (3.6.2)."""
        if self.role is not Role.LEADER:
            return self._apply_committed()
        index = self._majority_match()
        if index <= self.commit_index or self.log.term_of(index) != self.current_term:
            return self._apply_committed()
        self.commit_index = index
        actions = self._apply_committed()
        if not self.is_voter():
            return [
                *actions,
                *self._become_follower(self.current_term, "", now),
            ]  # its own removal is committed
        return actions + self._start_round()  # followers learn of the commit before the next heartbeat

    def _majority_match(self) -> int:
        """Return the highest index that a majority of the voters has on disk."""
        voters = self.configuration().voters
        matches = [
            self.persisted_index if name == self.name else self.match_index.get(name, 0) for name in voters
        ]
        matches.sort()
        return matches[(len(voters) - 1) // 2]

    def _finish_reads(self) -> list[RaftAction]:
        actions: list[RaftAction] = []
        while self.pending_reads:
            read = self.pending_reads[0]
            if not self._is_quorum(
                [name for name, answered in self.acknowledged_round.items() if answered >= read.round]
            ):
                break
            self.pending_reads.popleft()
            actions.append(ReadIndexReady(read.token, read.index))
        return actions

    def _continue_transfer(self) -> list[RaftAction]:
        """Tell the successor to start an election, once it has the whole log (3.10)."""
        if self.transfer_target and self.match_index.get(self.transfer_target, 0) == self.log.last_index():
            return [SendMessage(self.transfer_target, TimeoutNow(self.current_term))]
        return []

    # The follower.

    def _on_append_entries(self, sender: str, message: AppendEntries) -> list[RaftAction]:
        message = self._without_compacted(message)
        previous = message.prev_log_index
        if previous > self.log.last_index() or self.log.term_of(previous) != message.prev_log_term:
            hint = self._conflict_hint(message)
            return [SendMessage(sender, AppendEntriesResponse(self.current_term, False, hint, message.round))]
        last = previous + len(message.entries)
        actions = self._append_new(message.entries)
        self.commit_index = max(self.commit_index, min(message.leader_commit, last))
        actions += self._apply_committed()
        response = AppendEntriesResponse(self.current_term, True, last, message.round)
        return actions + self._send_once_persisted(SendMessage(sender, response))

    def _without_compacted(self, message: AppendEntries) -> AppendEntries:
        """Drop entries that the snapshot includes: they are committed, so they match."""
        skipped = self.log.base_index - message.prev_log_index
        if skipped <= 0:
            return message
        return message._replace(
            prev_log_index=self.log.base_index,
            prev_log_term=self.log.base_term,
            entries=message.entries[skipped:],
        )

    def _conflict_hint(self, message: AppendEntries) -> int:
        """Return the index after which the leader should retry.

        Skips uncommitted entries of later terms than the leader's previous entry, as they can't match.
        """
        hint = min(self.log.last_index(), message.prev_log_index - 1)
        while hint > self.commit_index and self.log.term_of(hint) > message.prev_log_term:
            hint -= 1
        return hint

    def _append_new(self, entries: list[LogEntry]) -> list[RaftAction]:
        """Append the entries from the first that differs on; matching ones are kept."""
        for at, entry in enumerate(entries):
            if self.log.term_of(entry.index) != entry.term:
                return [self._replace_from(entries[at:])]
        return []

    def _replace_from(self, entries: list[LogEntry]) -> RaftAction:
        first = entries[0].index
        truncate_from = first if first <= self.log.last_index() else 0
        self.log.replace_from(entries)
        self.persisted_index = min(self.persisted_index, first - 1)
        self.write_ends = deque((number, min(last, first - 1)) for number, last in self.write_ends)
        return self._persist(truncate_from=truncate_from, entries=entries)

    def _on_install_snapshot(self, sender: str, message: InstallSnapshot) -> list[RaftAction]:
        actions: list[RaftAction] = []
        index = message.last_included_index
        if index > self.commit_index:
            snapshot = Snapshot(index, message.last_included_term, message.configuration, message.state)
            self.log.rebase(snapshot)
            self.commit_index = index
            self.last_applied = index
            actions = [
                self._persist(truncate_from=index + 1, entries=self.log.entries, snapshot=snapshot),
                RestoreSnapshot(index, message.state),
            ]
        matched = max(index, self.log.base_index)
        response = AppendEntriesResponse(self.current_term, True, matched, message.round)
        return actions + self._send_once_persisted(SendMessage(sender, response))
