"""Permits and releases as one machine that a log drives: the same commands, the same state, at any keeper or front.

A command is a list, its name first; times and counts in it are the leader's, who made it. What nobody knows here (a
newer build's command) changes nothing and is said so.
"""

from sprucegate.fleet.rollout.permits import DisruptionBudget, ManagedServer, PermitStep, PermitTable, Warmth
from sprucegate.fleet.rollout.releases import PHASE_WORDS, ReleasePlan, ReleaseTable

FORMAT = 1
ONCE_MOST = 1000  # requests of operators whose words are kept


class RolloutStateMachine:
    """The state machine of the replicated log: permits and releases, changed by commands alone."""

    def __init__(self):
        self.index, self.permits, self.once = 0, PermitTable(), {}
        self.releases = ReleaseTable(self.permits)
        permits, releases = self.permits, self.releases
        self.commands = {
            "ask": permits.ask,
            "withdraw": permits.withdraw,
            "drained": permits.said_drained,
            "out": permits.went,
            "renew": permits.renew,
            "late": permits.late,
            "started": permits.started,
            "warm": permits.said_warm,
            "give-up": permits.give_up,
            "stands": permits.stands,
            "front": permits.front,
            "left": permits.left,
            "boxes": lambda boxes: permits.listed([ManagedServer(*box) for box in boxes]),
            "limits": self._limits,
            "release": lambda plan, by: releases.start(
                ReleasePlan(*plan[:4], tuple(map(tuple, plan[4])), plan[5]), by
            ),
            "halt": releases.halt,
            "resume": releases.resume,
            "back": releases.back,
            "gate": releases.gate,
            "trouble": releases.trouble,
        }

    def dump_state(self):
        """Return the state in its stored form."""
        return [FORMAT, self.index, self.permits.told(), self.releases.told(), self.once]

    def load_state(self, told):
        """Returns whether it could be read."""
        if told[0] != FORMAT:
            return False
        self.index = told[1]
        self.permits.loaded(told[2])
        self.releases.loaded(told[3])
        self.once = dict(told[4])
        return True

    def apply(self, index, command):
        """(the word for whoever asked, permits that are granted by it)."""
        self.index = self.releases.index = index
        if not command:
            return "", []  # an entry of the log's own
        if command[0] == "once":
            # Given again as its answer was lost, perhaps to another leader: a halt must not undo a later resume.
            _, id, wanted = command
            if id in self.once:
                return self.once[id], []
            word, granted = self.apply(index, wanted)
            self.once[id] = word
            while len(self.once) > ONCE_MOST:
                del self.once[next(iter(self.once))]
            return word, granted
        action = self.commands.get(command[0])
        if action is None:
            return f"{command[0]} is not known here", []
        word = action(*command[1:]) or "done"
        self.permits.settled()
        self.releases.moves()
        return word, self.permits.grants(index, self.releases.may)

    def _limits(self, budgets, warmth):
        self.permits.budgets, self.permits.warmth = (
            [DisruptionBudget(*one) for one in budgets],
            Warmth(*warmth),
        )

    def drained(self):
        """{box: index of its permit}: nothing new goes there, and it is named no more as source."""
        return {
            p.box: p.index
            for p in self.permits.of_box.values()
            if PermitStep.GRANTED <= p.step <= PermitStep.OUT
        }

    def waits(self):
        """{id: why} of all that ask."""
        found = self.permits.waits(self.releases.may)
        for permit in self.permits.of_box.values():
            if permit.step is PermitStep.ASKED and not self.releases.may(permit):
                release = self.releases.releases[permit.release]
                found[permit.id] = (
                    "trouble",
                    next(iter(self.releases.troubles), PHASE_WORDS[release.phase]),
                    0,
                    0,
                )
        return found
