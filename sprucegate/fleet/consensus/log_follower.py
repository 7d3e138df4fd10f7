"""How a router process follows the replicated log and proposes commands. No I/O: events and the time in, actions out.

A follower asks one voter after another until it finds the leader, then polls the leader for entries that it has not
applied and for a lease, and sends its proposals to it. Client requests never wait for any of this.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.fleet.consensus.follow_messages import (
    Command,
    EntriesResponse,
    FollowRequest,
    ProposeRequest,
    ProposeResponse,
    StateResponse,
)
from sprucegate.units import MILLISECOND

REQUEST_INTERVAL = 100 * MILLISECOND
RETRY_INTERVAL = 400 * MILLISECOND  # without a response; then another voter is asked
PROPOSALS_MAX = 200  # pending ones of one process


class RandomChoice(Protocol):
    """The source of random choices."""

    def pick(self, what: str, names: list[str], count: int) -> list[str]:
        """Return `count` of the names."""


class ApplyCommands(NamedTuple):
    """Action: apply committed entries, as (index, command), to this process's state machine, in order."""

    entries: list[tuple[int, object]]


class ReplaceState(NamedTuple):
    """Action: replace the state machine's state; `state` includes all entries up to `index`."""

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object


class ProposalCompleted(NamedTuple):
    """Action: a proposal was applied or timed out.

    :ivar token: the token given to `LogFollower.propose`
    :ivar result: the state machine's result, or "" after a time-out
    :ivar index: the entry's index, 0 after a time-out
    """

    token: object
    result: str
    index: int  # type: ignore[assignment]  # tuple.index isn't called


FollowerAction = SendMessage | ApplyCommands | ReplaceState | ProposalCompleted


@dataclass(slots=True)
class Proposal:
    """A proposed command without a result yet. Times in ns."""

    command: Command
    token: object
    deadline: int
    sent_at: int


class LogFollower:
    """Follows the log in one process. Times in ns on a monotonic clock.

    :ivar voters: names of the voters
    :ivar incarnation: of this process
    :ivar lease: ns for which the leader's response extends the lease, counted from when the request was sent
    :ivar applied_index: the last entry given to the state machine
    :ivar commit_index: the highest that a voter reported
    :ivar lease_expiry: when the lease ends
    :ivar report: sent to the leader with the next request, and then cleared
    :ivar voter: the voter that requests are sent to, or ""
    :ivar leader: the last known leader, or ""
    """

    def __init__(
        self, voters: list[str], incarnation: int, random_choice: RandomChoice, now: int, lease: int
    ) -> None:
        self.voters = list(voters)
        self.incarnation = incarnation
        self.random_choice = random_choice
        self.lease = lease
        self.applied_index = 0
        self.commit_index = 0
        self.request_number = 0
        self.request_deadline = now
        self.requested_at = now
        self.answered = True
        self.voter = ""
        self.leader = ""
        self.lease_expiry = now
        self.report: list[object] = []
        self.proposals: dict[int, Proposal] = {}
        self.proposal_number = 0

    def is_fenced(self, now: int) -> bool:
        """Return whether the lease is over, so that the leader may no longer wait for this process.

        To be checked before each action that relies on the lease.
        """
        return now >= self.lease_expiry

    def next_deadline(self) -> int:
        """Return when the next request is due."""
        return self.request_deadline

    def propose(self, command: Command, token: object, now: int, timeout: int) -> list[FollowerAction]:
        """Propose a command to the leader, and to its successors, until `timeout` (ns) is over."""
        if len(self.proposals) >= PROPOSALS_MAX:
            return [ProposalCompleted(token, "", 0)]
        self.proposal_number += 1
        self.proposals[self.proposal_number] = Proposal(command, token, now + timeout, 0)
        return self._send_proposals(now)

    def on_timer(self, now: int) -> list[FollowerAction]:
        """Time out expired proposals, and send what is due: a request to a voter, and proposals."""
        expired = [proposal for proposal in self.proposals.values() if now >= proposal.deadline]
        actions: list[FollowerAction] = [ProposalCompleted(proposal.token, "", 0) for proposal in expired]
        self.proposals = {
            number: proposal for number, proposal in self.proposals.items() if now < proposal.deadline
        }
        if now >= self.request_deadline:
            self.request_deadline = now + REQUEST_INTERVAL
            if self.answered or now - self.requested_at >= RETRY_INTERVAL:
                if not self.answered or not self.voter:
                    self._choose_other_voter()
                actions += self._request(now)
        return actions + self._send_proposals(now)

    def on_message(
        self, sender: str, message: EntriesResponse | StateResponse | ProposeResponse, now: int
    ) -> list[FollowerAction]:
        """Handle a voter's response. Responses to an earlier request are ignored."""
        if isinstance(message, ProposeResponse):
            return self._on_propose_response(message, now)
        if message.number != self.request_number or sender != self.voter or self.answered:
            return []
        self.answered = True
        self._note_leader(sender, message, now)
        if isinstance(message, StateResponse):
            return self._on_state(message)
        return self._on_entries(message, now)

    def _note_leader(self, sender: str, message: EntriesResponse | StateResponse, now: int) -> None:
        """Extend the lease if the sender leads; else switch to the leader that it names, or to another voter."""
        if message.is_leader:
            self.leader = sender
            self.lease_expiry = max(self.lease_expiry, self.requested_at + self.lease)
        elif message.leader and message.leader != sender and message.leader in self.voters:
            self.voter = message.leader
            self.leader = message.leader
            self.request_deadline = now
        else:
            self._choose_other_voter()

    def _on_state(self, message: StateResponse) -> list[FollowerAction]:
        if message.index <= self.applied_index:
            return []
        self.applied_index = message.index
        return [ReplaceState(message.index, message.state)]

    def _on_entries(self, message: EntriesResponse, now: int) -> list[FollowerAction]:
        self.commit_index = max(self.commit_index, message.commit_index)
        new_entries = [entry for entry in message.entries if entry[0] > self.applied_index]
        if message.after_index > self.applied_index or not new_entries:
            return []
        self.applied_index = new_entries[-1][0]
        if self.applied_index < self.commit_index:
            self.request_deadline = now  # the voter has more entries
        return [ApplyCommands(new_entries)]

    def _on_propose_response(self, message: ProposeResponse, now: int) -> list[FollowerAction]:
        proposal = self.proposals.get(message.number)
        if proposal is None:
            return []
        if not message.index:
            # Retried after REQUEST_INTERVAL, not at once: without a leader the voters refer to each other in a loop.
            self.leader = message.leader if message.leader in self.voters else ""
            proposal.sent_at = now - RETRY_INTERVAL + REQUEST_INTERVAL
            return []
        del self.proposals[message.number]
        return [ProposalCompleted(proposal.token, message.result, message.index)]

    def _request(self, now: int) -> list[FollowerAction]:
        self.request_number += 1
        self.requested_at = now
        self.answered = False
        report = self.report
        self.report = []  # not repeated: the leader goes by the reports of all fronts
        request = FollowRequest(self.applied_index, self.incarnation, self.request_number, report)
        return [SendMessage(self.voter, request)]

    def _choose_other_voter(self) -> None:
        others = [voter for voter in self.voters if voter != self.voter] or self.voters
        self.voter = self.random_choice.pick("keeper", sorted(others), 1)[0]

    def _send_proposals(self, now: int) -> list[FollowerAction]:
        receiver = self.leader or self.voter
        actions: list[FollowerAction] = []
        for number, proposal in self.proposals.items():
            if receiver and now - proposal.sent_at >= RETRY_INTERVAL:
                proposal.sent_at = now
                actions.append(SendMessage(receiver, ProposeRequest(number, proposal.command)))
        return actions
