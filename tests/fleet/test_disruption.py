"""What the counts of disruption budgets decide, held against the walk over all servers that they replace."""

import random
import sys

import pytest
from reference_permits import ReferenceStateMachine

from sprucegate.fleet.rollout.budgets import SCOPES
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.rollout import RolloutStateMachine

LOCATIONS, KINDS, GROUPS = ("a", "b", "c"), ("std", "big"), ("g", "h")
FRONTS = ("n0", "n1", "n2", "n3")
STEPS = 120  # commands of one random history


class RandomHistory:
    """Draws commands as operators, agents, fronts and leaders give them, also such that make no sense now."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.count = 0
        self.incarnations = dict.fromkeys(FRONTS, 1)
        self.boxes = [self._box(f"c{at}") for at in range(self.random.choice((6, 12, 30)))]

    def _box(self, name):
        pick = self.random.choice
        return [name, "cache", pick(LOCATIONS), pick(KINDS), pick(GROUPS), pick((0, 1, 1, 3))]

    def _listed(self):
        caches = [box for box in self.boxes if self.random.random() < 0.95]
        return caches + [[name, "front", "", "front", "", 1] for name in self.incarnations]

    def beginning(self):
        """Commands by which every history begins."""
        yield ["boxes", self._listed()]
        yield self._limits()
        for name in FRONTS:
            yield ["front", name, 1, True]

    def _limits(self):
        budgets = []
        for _ in range(self.random.randrange(6)):
            scope = self.random.choice(SCOPES)
            of = self.random.choice({"location": LOCATIONS, "kind": KINDS, "group": GROUPS}.get(scope, ("",)))
            role = self.random.choice(("cache", "cache", "front", ""))
            count, share = self.random.choice((1, 2, 5, 100)), self.random.choice((200, 500, 1000))
            budgets.append([scope, self.random.choice(("", of)), role, count, share])
        if budgets and self.random.random() < 0.2:
            budgets.append(budgets[0])
        return ["limits", budgets, [self.random.choice((0, 200, 900)), self.random.choice((200, 1000, 5000))]]

    def next(self, machine):
        """A command, drawn with a look at the state that it meets."""
        self.count += 1
        pick = self.random.choice
        box, front = pick([*[box[0] for box in self.boxes], *FRONTS]), pick(FRONTS)
        permits = machine.permits.permits
        # Mostly one that has been granted, or few would ever come back.
        begun = [id for id, one in permits.items() if PermitStep.GRANTED <= one.step <= PermitStep.COLD]
        permit = (
            pick(begun[:2] or list(permits) or ["none"])
            if self.random.random() < 0.8
            else pick([*permits, ""])
        )
        start = permits[permit].start if permit in permits else ""
        names = [one[0] for one in self.boxes]
        self.random.shuffle(names)
        waves = [names[: len(names) // 3], names[len(names) // 3 : -1]]
        return pick(
            (
                *[["ask", f"r{self.count}", box, "op", ""]] * 6,
                *[["drained", permit, one, self.incarnations[one]] for one in FRONTS],
                *[["warm", permit, start, one, self.incarnations[one]] for one in FRONTS],
                *[["out", permit, "agent"], ["started", permit, f"start{self.count}"]] * 2,
                ["renew", permit, "agent"],
                ["late", permit, 0],
                ["withdraw", permit],
                ["give-up", box],
                *[["stands", box, pick(("unreachable", ""))]] * 2,
                *[["front", front, self.incarnations[front], pick((True, False))]] * 2,
                ["left", front, self.incarnations[front]],
                ["boxes", self._listed()],
                self._limits(),
                ["release", [f"v{self.count}", pick(KINDS), "2", "1", waves, 0], "op"],
                *[
                    [word, name, "op", *(["to look"] if word == "halt" else [])]
                    for name in list(machine.releases.releases)[-1:]
                    for word in ("halt", "resume", "back")
                ],
                *[
                    ["gate", name, release.run, release.wave, pick((True, True, False)), "why"]
                    for name, release in machine.releases.releases.items()
                ],
                ["trouble", "late", pick(("3 of 4 fronts", ""))],
            )
        )


def state_of(machine):
    return machine.snapshot(), machine.waits(), machine.permits.out()


@pytest.mark.parametrize("seed", range(150))
def test_counts_grant_the_same_in_the_same_order_for_the_same_reasons(seed):
    """Guards against a grant, an order or a reason that the counts of budgets change (review, case 2)."""
    history, machine, reference = RandomHistory(seed), RolloutStateMachine(), ReferenceStateMachine()
    commands = [*history.beginning()]
    for index in range(1, STEPS):
        command = commands.pop(0) if commands else history.next(reference)
        answer, granted = machine.apply(index, command)
        wanted_answer, wanted = reference.apply(index, command)
        assert (answer, [one.id for one in granted]) == (wanted_answer, [one.id for one in wanted]), command
        assert state_of(machine) == state_of(reference), command
        for permit in reference.permits.open_by_box.values():
            assert machine.permits.blocked_by(permit) == reference.permits.blocked_by(permit)
        if history.random.random() < 0.05:
            stored = machine.snapshot()
            machine, reference = RolloutStateMachine(), ReferenceStateMachine()
            assert machine.restore(stored) and reference.restore(stored)


def test_the_random_histories_reach_every_rule_and_step():
    rules, steps = set(), set()
    for seed in range(40):
        history, machine = RandomHistory(seed), RolloutStateMachine()
        commands = [*history.beginning()]
        for index in range(1, STEPS):
            machine.apply(index, commands.pop(0) if commands else history.next(machine))
            rules |= {reason[0].split()[0] for reason in machine.waits().values()}
            steps |= {permit.step for permit in machine.permits.permits.values()}
    assert rules >= {"gone", "last", "warm", "behind", "trouble", *SCOPES}
    assert steps == set(PermitStep)


BUDGETS = [
    ["fleet", "", "cache", 10_000, 500],
    ["location", "", "cache", 2, 500],
    ["kind", "", "cache", 10_000, 500],
    ["group", "", "cache", 10_000, 500],
    ["fleet", "", "", 10_000, 500],
    ["location", "", "", 2, 500],
]


def calls_to_start_a_release(machine, servers):
    """How many functions are called to apply the entry that starts a release of 98% of the servers."""
    boxes = [[f"c{at}", "cache", f"location{at // 4}", "std", f"g{at % 2}", 1] for at in range(servers)]
    wave = [box[0] for at in range(4) for box in boxes[at::4]][: servers * 98 // 100]
    machine.apply(1, ["boxes", boxes])
    machine.apply(2, ["limits", BUDGETS, [200, 1000]])
    machine.apply(3, ["front", "n0", 1, True])
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        _, granted = machine.apply(4, ["release", ["v2", "std", "2", "1", [wave], 0], "op"])
    finally:
        sys.setprofile(None)
    assert len(granted) == servers // 2
    return calls


def test_the_work_to_start_a_release_is_linear_in_the_servers():
    """Guards against a front that stands still at the start of a release, while GETs get no answer (review, case 2)."""
    calls = {
        servers: calls_to_start_a_release(RolloutStateMachine(), servers) for servers in (100, 400, 1600)
    }
    assert calls[400] < 5 * calls[100] and calls[1600] < 5 * calls[400]
    assert calls[1600] < 1600 * len(BUDGETS) * 20
