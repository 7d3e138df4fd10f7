"""Three keepers' starts, one folder put back: all interleavings to a depth. Who knows better and can be asked is heard.

    python -m standins.fleet.explore_fitness --depth 8

A step is a kill, a start, the folder of `a` put back as it was at first, a cut between two or its end, or a turn of one
that asks all others, answered at once by those it reaches; six such turns make one step, as fewer decide nothing.
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
    """The promise that broke, and the steps to there."""


class Instance:
    def __init__(self):
        self.steps, self.beings, self.cut, self.backs, self.kills = (), 0, frozenset(), 1, 3
        # On disk: name, starts, what is known of others; a name that voted is not green.
        self.disks = {name: [name, 0, {}, True] for name in NAMES}
        self.up, self.first = {}, None
        self.put_back = self.voted = False
        for name in NAMES:
            self.start(name)
        for name in NAMES:
            self.asks(name)
        self.first = pickle.dumps(self.disks["a"])

    def start(self, name):
        disk = self.disks[name]
        disk[1] += 1
        self.beings += 1
        self.up[name] = DurabilityCheck(
            disk[0], disk[1], self.beings, [n for n in NAMES if n != name], disk[2], 0, never_voted=disk[3]
        )

    def reaches(self, one, other):
        return one in self.up and other in self.up and frozenset((one, other)) not in self.cut

    def asks(self, name):
        now = self.up[name].deadline
        for _ in range(ANNOUNCEMENTS_MIN + 1):
            if name in self.up:
                now = max(now, self.up[name].deadline)
                self.does(name, self.up[name].on_timer(now))

    def does(self, name, actions):
        for action in actions:
            match action:
                case SendMessage(to, message) if self.reaches(name, base_name(to)):
                    self.does(
                        base_name(to), self.up[base_name(to)].on_message(self.disks[name][0], message, 0)
                    )
                case PersistStarts():
                    self.disks[name][2] = dict(action.known_starts)
                    self.does(name, self.up[name].on_persisted(action.number, 0))
                case StorageRolledBack(other, _):
                    self.disks[name] = [other, 0, {}, True]
                    self.start(name)
                    return
                case VotingAllowed():
                    self.disks[name][3] = False
                    self.holds(name)

    def holds(self, name):
        own = self.up[name]
        for other in NAMES:
            if other != name and self.reaches(name, other):
                known = self.up[other].known_starts.get(own.name, (0, 0))
                if known[0] >= own.start_count and known != (own.start_count, own.incarnation):
                    raise Broken(
                        f"{own.name} is fit in its start {own.start_count}; {other} knows {known}", self.steps
                    )

    def possible(self):
        found = [("asks", n) for n in self.up]
        found += [("kill", n) for n in self.up] if self.kills else []
        found += [("start", n) for n in NAMES if n not in self.up]
        found += [("cut", pair) for pair in PAIRS]
        return found + ([("back", "a")] if self.backs and "a" not in self.up else [])

    def step(self, what, given):
        self.steps += ((what, given),)
        if what == "asks":
            self.asks(given)
        elif what == "kill":
            self.kills -= 1
            del self.up[given]
        elif what == "start":
            self.start(given)
        elif what == "cut":
            self.cut ^= {frozenset(given)}
        else:
            self.backs, self.disks["a"] = 0, pickle.loads(self.first)

    def state(self):
        return repr(
            (
                sorted(map(sorted, self.cut)),
                self.backs,
                self.kills,
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


def explored(depth):
    """How many states were reached; raises Broken at the first that breaks."""
    return exploring.explored(Instance(), depth)


if __name__ == "__main__":
    sys.exit(exploring.main(sys.argv[1:], "explore_fitness", __doc__, lambda wanted: Instance(), 7))
