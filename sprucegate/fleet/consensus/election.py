"""Leader election: pre-vote, vote and majority (Ongaro's thesis, sections 3.4, 3.6, 6.2, 9.6)."""

from sprucegate.fleet.consensus.actions import LeadershipChanged, RaftAction, SendMessage
from sprucegate.fleet.consensus.log_entry import NO_OP
from sprucegate.fleet.consensus.messages import RequestVote, RequestVoteResponse
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.fleet.consensus.replication import Replication


class Election(Replication):
    """How a node becomes a candidate, votes and becomes the leader."""

    def _start_pre_vote(self, now: int) -> list[RaftAction]:
        """Ask whether an election could be won. No term changes, so a partitioned node doesn't disrupt the cluster."""
        self.leader = ""
        self.role = Role.PRE_CANDIDATE
        self.votes = {self.name: True}
        self._reset_election_timer(now)
        term = self.current_term + 1
        message = RequestVote(term, self.log.last_index(), self.log.last_term(), True, False)
        actions: list[RaftAction] = [SendMessage(name, message) for name in self._other_voters()]
        return actions + self._count_votes(now)

    def _start_election(self, now: int, leadership_transfer: bool) -> list[RaftAction]:
        """Become a candidate in the next term; vote requests are held until this node's own vote is on disk."""
        self.leader = ""
        self.role = Role.CANDIDATE
        self.current_term += 1
        self.voted_for = self.name
        actions: list[RaftAction] = [self._persist()]
        self.votes = {self.name: True}
        self._reset_election_timer(now)
        message = RequestVote(
            self.current_term, self.log.last_index(), self.log.last_term(), False, leadership_transfer
        )
        for name in self._other_voters():
            actions += self._send_once_persisted(SendMessage(name, message))
        return actions + self._count_votes(now)

    def _on_request_vote(self, sender: str, request: RequestVote, now: int) -> list[RaftAction]:
        """Vote for one candidate per term, whose log is at least as up to date as this node's.

        A node that has a live leader ignores candidates, unless that leader itself transfers leadership (6.2).
        """
        own = (self.log.last_term(), self.log.last_index())
        up_to_date = (request.last_log_term, request.last_log_index) >= own
        has_leader = self.role is Role.LEADER or now - self.leader_contact < self.timing.election_timeout
        if request.pre_vote:
            granted = up_to_date and not has_leader and request.term > self.current_term
            term = request.term if granted else self.current_term
            return [SendMessage(sender, RequestVoteResponse(term, True, granted))]
        if has_leader and not request.leadership_transfer:
            return []
        actions: list[RaftAction] = []
        if request.term > self.current_term:
            actions = self._become_follower(request.term, "", now)
        granted = (
            request.term == self.current_term
            and up_to_date
            and self.voted_for in ("", sender)
            and self.role is Role.FOLLOWER
        )
        if granted and not self.voted_for:
            self.voted_for = sender
            actions.append(self._persist())
            self._reset_election_timer(now)
        response = RequestVoteResponse(self.current_term, False, granted)
        return actions + self._send_once_persisted(SendMessage(sender, response))

    def _on_request_vote_response(
        self, sender: str, response: RequestVoteResponse, now: int
    ) -> list[RaftAction]:
        pre_vote_granted = response.pre_vote and response.vote_granted
        if response.term > self.current_term and not pre_vote_granted:
            return self._become_follower(response.term, "", now)
        if response.pre_vote:
            counts = self.role is Role.PRE_CANDIDATE
        else:
            counts = self.role is Role.CANDIDATE and response.term == self.current_term
        if not counts:
            return []
        self.votes[sender] = response.vote_granted
        return self._count_votes(now)

    def _count_votes(self, now: int) -> list[RaftAction]:
        """Proceed once a majority voted for this node; its own vote counts once it is on disk."""
        if not self._is_quorum([name for name, granted in self.votes.items() if granted]):
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._start_election(now, leadership_transfer=False)
        if self.write_number != self.persisted_number:
            return []
        return self._become_leader(now)

    def _become_leader(self, now: int) -> list[RaftAction]:
        """Become the leader. An entry without a command lets entries of earlier terms commit (3.6.2)."""
        self.role = Role.LEADER
        self.leader = self.name
        self.round = 0
        self.next_index = dict.fromkeys(self._other_members(), self.log.last_index() + 1)
        self.match_index = dict.fromkeys(self.next_index, 0)
        self.acknowledged_round = dict.fromkeys(self.next_index, 0)
        self.last_contact = dict.fromkeys(self.next_index, now)
        self.timer_deadline = now + self.timing.heartbeat_interval
        return [LeadershipChanged(True, self.current_term), *self._append_entry(NO_OP, None, now)[1]]

    def _other_voters(self) -> list[str]:
        return [name for name in self.configuration().voters if name != self.name]
