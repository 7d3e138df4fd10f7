"""How a router process follows the replicated log and proposes commands. No I/O: events and the time in, actions out.

It asks one voter after another until it finds the leader, then asks that one again and again, for entries that it has
not applied, a lease, and answers to its proposals. Nothing on a request's path waits for any of it.
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
RETRY_INTERVAL = 400 * MILLISECOND  # without an answer: the next voter is asked
PROPOSALS_MAX = 200  # of one process under way


class RandomChoice(Protocol):
    """The source of random choices."""

    def pick(self, what: str, names: list[str], count: int) -> list[str]:
        """Return `count` of the names."""


class ApplyCommands(NamedTuple):
    """Action: give committed entries, as (index, command), to this process's state machine, in order."""

    entries: list[tuple[int, object]]


class ReplaceState(NamedTuple):
    """Action: the machine's state stands for all entries up to an index."""

    index: int  # type: ignore[assignment]  # tuple.index isn't called
    state: object


class ProposalCompleted(NamedTuple):
    """Action: a proposal ended.

    :ivar token: what `LogFollower.propose` was given
    :ivar result: the machine's answer, or "" where nobody answered in time
    :ivar index: the entry's index, 0 without an answer
    """

    token: object
    result: str
    index: int  # type: ignore[assignment]  # tuple.index isn't called


FollowerAction = SendMessage | ApplyCommands | ReplaceState | ProposalCompleted


@dataclass(slots=True)
class Proposal:
    """A command that waits for an answer; times in ns."""

    command: Command
    token: object
    deadline: int
    sent_at: int


class LogFollower:
    """One process's side. Times in ns on a monotonic clock.

    :ivar voters: names of the voters
    :ivar incarnation: of this process
    :ivar lease: ns for which an answer of the leader holds, counted from its request
    :ivar applied_index: the last entry given to the machine
    :ivar commit_index: the latest that a voter told of
    :ivar lease_expiry: when the lease ends
    :ivar report: what the next request tells the leader
    :ivar voter: whom the requests go to, or ""
    :ivar leader: the leader as far as is known, or ""
    """

    def __init__(
        self, voters: list[str], incarnation: int, chance: RandomChoice, now: int, lease: int
    ) -> None:
        self.voters = list(voters)
        self.incarnation = incarnation
        self.chance = chance
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
        """Return whether the leader may count without this process. To be asked before each act that rests on it."""
        return now >= self.lease_expiry

    def next_deadline(self) -> int:
        """Return when the next request is due."""
        return self.request_deadline

    def propose(self, command: Command, token: object, now: int, patience: int) -> list[FollowerAction]:
        """Propose to the leader, and again to the next one, until `patience` (ns) is over."""
        if len(self.proposals) >= PROPOSALS_MAX:
            return [ProposalCompleted(token, "", 0)]
        self.proposal_number += 1
        self.proposals[self.proposal_number] = Proposal(command, token, now + patience, 0)
        return self._send_proposals(now)

    def on_timer(self, now: int) -> list[FollowerAction]:
        """End proposals that are out of time; ask a voter where that is due."""
        expired = [one for one in self.proposals.values() if now >= one.deadline]
        actions: list[FollowerAction] = [ProposalCompleted(one.token, "", 0) for one in expired]
        self.proposals = {number: one for number, one in self.proposals.items() if now < one.deadline}
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
        """Take a voter's answer; one to an earlier request changes nothing."""
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
        """Extend the lease, or turn to the leader that the voter names, or to another voter."""
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
        fresh = [entry for entry in message.entries if entry[0] > self.applied_index]
        if message.after_index > self.applied_index or not fresh:
            return []
        self.applied_index = fresh[-1][0]
        if self.applied_index < self.commit_index:
            self.request_deadline = now  # the voter has more
        return [ApplyCommands(fresh)]

    def _on_propose_response(self, message: ProposeResponse, now: int) -> list[FollowerAction]:
        proposal = self.proposals.get(message.number)
        if proposal is None:
            return []
        if not message.index:
            # Not at once: while there is no leader each voter would point to another.
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
        self.report = []  # sent once: the leader hears all fronts' reports
        request = FollowRequest(self.applied_index, self.incarnation, self.request_number, report)
        return [SendMessage(self.voter, request)]

    def _choose_other_voter(self) -> None:
        others = [voter for voter in self.voters if voter != self.voter] or self.voters
        self.voter = self.chance.pick("keeper", sorted(others), 1)[0]

    def _send_proposals(self, now: int) -> list[FollowerAction]:
        receiver = self.leader or self.voter
        actions: list[FollowerAction] = []
        for number, proposal in self.proposals.items():
            if receiver and now - proposal.sent_at >= RETRY_INTERVAL:
                proposal.sent_at = now
                actions.append(SendMessage(receiver, ProposeRequest(number, proposal.command)))
        return actions
