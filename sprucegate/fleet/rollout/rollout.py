"""Permits and releases as one state machine driven by the replicated log: the same commands give the same state.

A command is a list that begins with its name. Times and counts in it were taken by the leader that proposed it. An
unknown command, of a newer build, changes nothing, and the answer says so.
"""

from sprucegate.fleet.rollout.budgets import CapacityLimits, DisruptionBudget, ManagedServer
from sprucegate.fleet.rollout.disruption import WaitReason
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.permits import PermitTable
from sprucegate.fleet.rollout.releases import PHASE_WORDS, ReleasePlan, ReleaseTable

STATE_FORMAT = 1
REQUESTS_KEPT_MAX = 1000  # requests of operators whose answers are kept


class RolloutStateMachine:
    """The state machine of the replicated log: permits and releases, changed by commands alone."""

    def __init__(self):
        self.index = 0
        self.permits = PermitTable()
        self.answers = {}  # by the id of an operator's request
        self.releases = ReleaseTable(self.permits)
        permits, releases = self.permits, self.releases
        self.commands = {
            "ask": permits.ask,
            "withdraw": permits.withdraw,
            "drained": permits.report_drained,
            "out": permits.mark_out,
            "renew": permits.renew,
            "late": permits.mark_overdue,
            "started": permits.mark_started,
            "warm": permits.report_warm,
            "give-up": permits.give_up,
            "stands": permits.set_failed,
            "front": permits.set_front,
            "left": permits.front_left,
            "boxes": lambda boxes: permits.set_boxes([ManagedServer(*box) for box in boxes]),
            "limits": self._set_limits,
            "release": lambda plan, by: releases.start(
                ReleasePlan(*plan[:4], tuple(map(tuple, plan[4])), plan[5]), by
            ),
            "halt": releases.halt,
            "resume": releases.resume,
            "back": releases.roll_back,
            "gate": releases.gate_result,
            "trouble": releases.set_trouble,
        }

    def snapshot(self):
        """Return the state in its stored form."""
        return [STATE_FORMAT, self.index, self.permits.snapshot(), self.releases.snapshot(), self.answers]

    def restore(self, state):
        """Replace the state by a stored one; return False for another format."""
        if state[0] != STATE_FORMAT:
            return False
        self.index = state[1]
        self.permits.restore(state[2])
        self.releases.restore(state[3])
        self.answers = dict(state[4])
        return True

    def apply(self, index, command):
        """Apply a command; return (the answer to the proposer, permits that were granted by it)."""
        self.index = self.releases.index = index
        if not command:
            return "", []  # the entry that a new leader appends
        if command[0] == "once":
            # The answer was lost and the request was sent again, perhaps to another leader. It is not applied twice:
            # a repeated halt must not undo a later resume.
            _, id, inner = command
            if id in self.answers:
                return self.answers[id], []
            answer, granted = self.apply(index, inner)
            self.answers[id] = answer
            while len(self.answers) > REQUESTS_KEPT_MAX:
                del self.answers[next(iter(self.answers))]
            return answer, granted
        handler = self.commands.get(command[0])
        if handler is None:
            return f"{command[0]} is not known here", []
        answer = handler(*command[1:]) or "done"
        self.permits.advance_all()
        self.releases.advance()
        return answer, self.permits.grant_available(index, self.releases.allows)

    def _set_limits(self, budgets, capacity):
        self.permits.budgets = [DisruptionBudget(*one) for one in budgets]
        self.permits.capacity = CapacityLimits(*capacity)

    def drained(self):
        """Return {box: index of its permit} of boxes that get nothing new and are not named as sources."""
        return {
            p.box: p.index
            for p in self.permits.open_by_box.values()
            if PermitStep.GRANTED <= p.step <= PermitStep.OUT
        }

    def waits(self):
        """Return {id: WaitReason} of all requests that wait."""
        found = self.permits.blocked(self.releases.allows)
        for permit in self.permits.open_by_box.values():
            if permit.step is PermitStep.ASKED and not self.releases.allows(permit):
                release = self.releases.releases[permit.release]
                trouble = next(iter(self.releases.troubles), PHASE_WORDS[release.phase])
                found[permit.id] = WaitReason("trouble", trouble, 0, 0)
        return found
