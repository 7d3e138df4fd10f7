"""Explore all interleavings of three voters' starts, with one folder restored from a copy, to a depth.

Checks that a voter may not vote under a name while a peer that it can reach knows an equal or later start of that name.

    python -m standins.fleet.explore_fitness --depth 8

A step is a kill, a start, a restore of the folder of `a` to its first copy, the start or end of a partition between two
voters, or ANNOUNCEMENTS_MIN + 1 announcements of one voter to all others, answered at once by those it reaches; fewer
in a step would decide nothing.
"""

import pickle
import sys

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.fleet.consensus.durability_check import (
    ANNOUNCEMENTS_MIN,
    DurabilityCheck,
    PersistStarts,
    StorageRolledBack,
    VotingAllowed,
    base_name,
)
from standins.fleet import exploring

NAMES = ("a", "b", "c")
PAIRS = (("a", "b"), ("a", "c"), ("b", "c"))


class Broken(Exception):
    """The violated invariant, and the steps that led to it."""


class Instance:
    def __init__(self):
        self.steps, self.incarnations, self.cut, self.restores_left, self.kills_left = (
            (),
            0,
            frozenset(),
            1,
            3,
        )
        # On disk: name, count of starts, known starts of others, whether this name has never voted.
        self.disks = {name: [name, 0, {}, True] for name in NAMES}
        self.up, self.first_copy = {}, None
        self.put_back = self.voted = False
        for name in NAMES:
            self.start(name)
        for name in NAMES:
            self.announce(name)
        self.first_copy = pickle.dumps(self.disks["a"])

    def start(self, name):
        disk = self.disks[name]
        disk[1] += 1
        self.incarnations += 1
        self.up[name] = DurabilityCheck(
            disk[0],
            disk[1],
            self.incarnations,
            [n for n in NAMES if n != name],
            disk[2],
            0,
            never_voted=disk[3],
        )

    def reaches(self, one, other):
        return one in self.up and other in self.up and frozenset((one, other)) not in self.cut

    def announce(self, name):
        now = self.up[name].deadline
        for _ in range(ANNOUNCEMENTS_MIN + 1):
            if name in self.up:
                now = max(now, self.up[name].deadline)
                self.execute(name, self.up[name].on_timer(now))

    def execute(self, name, actions):
        for action in actions:
            match action:
                case SendMessage(to, message) if self.reaches(name, base_name(to)):
                    self.execute(
                        base_name(to), self.up[base_name(to)].on_message(self.disks[name][0], message, 0)
                    )
                case PersistStarts():
                    self.disks[name][2] = dict(action.known_starts)
                    self.execute(name, self.up[name].on_persisted(action.number, 0))
                case StorageRolledBack(other, _):
                    self.disks[name] = [other, 0, {}, True]
                    self.start(name)
                    return
                case VotingAllowed():
                    self.disks[name][3] = False
                    self.check_may_vote(name)

    def check_may_vote(self, name):
        own = self.up[name]
        for other in NAMES:
            if other != name and self.reaches(name, other):
                known = self.up[other].known_starts.get(own.name, (0, 0))
                if known[0] >= own.start_count and known != (own.start_count, own.incarnation):
                    raise Broken(
                        f"{own.name} may vote in its start {own.start_count}; {other} knows {known}",
                        self.steps,
                    )

    def possible(self):
        found = [("asks", n) for n in self.up]
        found += [("kill", n) for n in self.up] if self.kills_left else []
        found += [("start", n) for n in NAMES if n not in self.up]
        found += [("cut", pair) for pair in PAIRS]
        return found + ([("back", "a")] if self.restores_left and "a" not in self.up else [])

    def step(self, what, argument):
        self.steps += ((what, argument),)
        if what == "asks":
            self.announce(argument)
        elif what == "kill":
            self.kills_left -= 1
            del self.up[argument]
        elif what == "start":
            self.start(argument)
        elif what == "cut":
            self.cut ^= {frozenset(argument)}
        else:
            self.restores_left, self.disks["a"] = 0, pickle.loads(self.first_copy)

    def state(self):
        return repr(
            (
                sorted(map(sorted, self.cut)),
                self.restores_left,
                self.kills_left,
                sorted(self.disks.items()),
                [
                    (
                        n,
                        k.start_count,
                        k.incarnation,
                        k.may_vote,
                        sorted(k.confirmed_by),
                        k.announcements,
                        sorted(k.known_starts.items()),
                        sorted(k.uninformed_peers),
                    )
                    for n, k in sorted(self.up.items())
                ],
            )
        )


def explore_to_depth(depth):
    """Return the number of distinct states; raises Broken at the first violation."""
    return exploring.explore_to_depth(Instance(), depth)


if __name__ == "__main__":
    sys.exit(exploring.main(sys.argv[1:], "explore_fitness", __doc__, lambda wanted: Instance(), 7))
