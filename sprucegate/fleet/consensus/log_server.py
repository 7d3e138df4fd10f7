"""A voter's service to followers of the log: committed entries, leases, and results of proposals. No I/O."""

from typing import NamedTuple, Protocol

from sprucegate.fleet.consensus.actions import RaftAction, SendMessage
from sprucegate.fleet.consensus.follow_messages import (
    EntriesResponse,
    FollowRequest,
    ProposeRequest,
    ProposeResponse,
    StateResponse,
)
from sprucegate.fleet.consensus.log_entry import DATA, LogEntry
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role

ENTRIES_PER_RESPONSE = 200
RECENT_ENTRIES_MAX = 5 * ENTRIES_PER_RESPONSE
PENDING_PROPOSALS_MAX = 1000
FOLLOWERS_MAX = 2000  # fronts whose last contact a voter keeps


class StateMachine(Protocol):
    """The state machine that the replicated log drives."""

    index: int

    def apply(self, index: int, command: object) -> tuple[str, list[object]]:
        """Apply an entry. Returns the result for its proposer, and the permits that the entry granted."""

    def snapshot(self) -> object:
        """Return the whole state."""

    def restore(self, state: object) -> bool:
        """Replace the state. Returns whether it could be read."""


class FrontContact(NamedTuple):
    """A front's last request. Times in ns on the voter's clock.

    :ivar incarnation: of the front
    :ivar at: when the request arrived
    :ivar report: the last report of this incarnation
    :ivar reported_at: when that report arrived; few requests carry one
    """

    incarnation: int
    at: int
    report: list[object]
    reported_at: int


class PendingProposal(NamedTuple):
    """A proposal whose entry isn't applied yet.

    :ivar proposer: name of the process that waits for the result
    :ivar number: number of its request
    :ivar term: the term in which the entry was appended
    """

    proposer: str
    number: int
    term: int


class LogServer:
    """Answers the followers of the log and applies committed entries at one voter.

    :ivar node: the voter's Raft node
    :ivar machine: its state machine
    :ivar recent_entries: [index, command] of the latest applied entries
    :ivar pending_proposals: proposals that wait for a result, by the entry's index
    :ivar contacts: the last contact of each front, least recent first
    """

    def __init__(self, node: RaftNode, machine: StateMachine) -> None:
        self.node = node
        self.machine = machine
        self.recent_entries: list[tuple[int, object]] = []
        self.pending_proposals: dict[int, list[PendingProposal]] = {}
        self.contacts: dict[str, FrontContact] = {}

    def on_snapshot_restored(self, index: int, state: object) -> None:
        """Replace the state machine's state by a leader's snapshot up to `index`."""
        self.machine.restore(state)
        self.machine.index = index
        self.recent_entries = []

    def on_committed(self, entries: list[LogEntry]) -> tuple[list[RaftAction], list[object]]:
        """Apply committed entries. Returns the responses to proposers, and the permits that were granted."""
        actions: list[RaftAction] = []
        granted: list[object] = []
        for entry in entries:
            command = entry.data if entry.kind == DATA else None
            result, permits = self.machine.apply(entry.index, command)
            granted += permits
            self.recent_entries.append((entry.index, command))
            for proposal in self.pending_proposals.pop(entry.index, ()):
                actions.append(self._propose_response(proposal, entry, result))
        del self.recent_entries[:-RECENT_ENTRIES_MAX]
        return actions, granted

    @staticmethod
    def _propose_response(proposal: PendingProposal, entry: LogEntry, result: str) -> SendMessage:
        """Return the response to a proposer, without a result where another leader's entry took the index."""
        if proposal.term == entry.term:
            return SendMessage(proposal.proposer, ProposeResponse(proposal.number, entry.index, result, ""))
        return SendMessage(proposal.proposer, ProposeResponse(proposal.number, 0, "", ""))

    def on_message(self, sender: str, message: FollowRequest | ProposeRequest, now: int) -> list[RaftAction]:
        """Answer a follower's request, or append the command that it proposes."""
        if isinstance(message, FollowRequest):
            self._note_contact(sender, message, now)
            return [SendMessage(sender, self._follow_response(message, now))]
        index, actions = self.node.propose(message.command, now)
        if not index:
            return [SendMessage(sender, ProposeResponse(message.number, 0, "", self._leader()))]
        while len(self.pending_proposals) > PENDING_PROPOSALS_MAX:
            del self.pending_proposals[next(iter(self.pending_proposals))]
        self.pending_proposals[index] = [PendingProposal(sender, message.number, self.node.current_term)]
        return actions

    def on_leadership_lost(self) -> list[RaftAction]:
        """Answer all pending proposals without a result: whether a new leader commits them isn't known here."""
        pending = self.pending_proposals
        self.pending_proposals = {}
        return [
            SendMessage(proposal.proposer, ProposeResponse(proposal.number, 0, "", self._leader()))
            for proposals in pending.values()
            for proposal in proposals
        ]

    def _note_contact(self, sender: str, request: FollowRequest, now: int) -> None:
        if not request.incarnation:
            return  # an agent: the leader waits for fronts only
        last = self.contacts.pop(sender, None)
        while len(self.contacts) >= FOLLOWERS_MAX:
            del self.contacts[next(iter(self.contacts))]
        if request.report or last is None or last.incarnation != request.incarnation:
            self.contacts[sender] = FrontContact(request.incarnation, now, request.report, now)
        else:
            self.contacts[sender] = last._replace(at=now)

    def _leader(self) -> str:
        return self.node.name if self.node.role is Role.LEADER else self.node.leader

    def _follow_response(self, request: FollowRequest, now: int) -> EntriesResponse | StateResponse:
        machine = self.machine
        # A leader that was suspended may have been replaced: it grants no lease until a majority has answered it.
        is_leader = self.node.in_contact_with_quorum(now)
        first = self.recent_entries[0][0] if self.recent_entries else machine.index + 1
        if request.applied_index + 1 < first and request.applied_index < machine.index:
            state = machine.snapshot()
            return StateResponse(request.number, machine.index, state, is_leader, self._leader())
        offset = request.applied_index + 1 - first
        entries = self.recent_entries[offset : offset + ENTRIES_PER_RESPONSE]
        return EntriesResponse(
            request.number, request.applied_index, entries, machine.index, is_leader, self._leader()
        )
