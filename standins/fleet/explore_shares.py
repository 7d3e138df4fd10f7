"""Three fronts, two tenants, two places, one kill, one cut: all interleavings to a depth, from a fleet at work.

    python -m standins.fleet.explore_shares --depth 6

A step is: a GET at a front; a kill; a cut; a front's new view; a while in which all go on, or all but one that stands
still, or in which no message comes. A while is half a lease, two leases, or as long as a floor may be lent. A fill ends
at its source as late as the terms allow. Raises Broken where a source fills more than it has places.
"""

import sys

from sprucegate.fleet.quotas.coordinator import Shares
from sprucegate.fleet.quotas.settings import LEASE, Send, Start, Terms
from standins.fleet import exploring

NAMES, SOURCE, PLACES = ("a", "b", "c"), 21, 2
MS = 1_000_000
LONGEST = 2400 * MS  # longer than a lease: what was started by one that is over goes on
TERMS = Terms(((1, 0), (1, 0)), NAMES, {SOURCE: PLACES}, LONGEST)
TURN = LEASE // 4
WHILES = (LEASE // 2, 2 * LEASE, TERMS.waive)


class Broken(Exception):
    """How many fills, and the steps to there."""


class Instance:
    """`kills`, `cuts`, `gets`: how many may come."""

    def __init__(self, gets=4):
        self.now, self.steps, self.numbers = 0, (), 0
        self.kills, self.cuts, self.gets = 1, 1, gets
        self.flying, self.fills, self.dead, self.cut = [], [], set(), frozenset()
        self.fronts = {name: Shares(name, 1, TERMS, 0) for name in NAMES}
        for name in NAMES:
            self.sees(name)
        self.goes_on(2 * TERMS.waive)  # what former lives may have lent is over by then

    def goes_on(self, span, still="", silent=False):
        """Time passes; `still`: stands still for it, and wakes to what lies there; `silent`: nothing comes."""
        end, lying = self.now + span, []
        while self.now < end:
            self.now = min(end, self.now + TURN)
            over = [one for one in self.fills if one[0] <= self.now]
            self.fills = [one for one in self.fills if one[0] > self.now]
            for _, name, token in over:
                if name not in self.dead and name != still:
                    self.done(name, self.fronts[name].ended(token, LONGEST, True, self.now))
                elif name == still:
                    lying.append(("ended", token))
            for name in NAMES:
                if name not in self.dead and name != still:
                    self.done(name, self.fronts[name].due(self.now))
            while self.flying:
                sender, to, message = self.flying.pop(0)
                if to == still:
                    lying.append((sender, message))
                elif to not in self.dead and not silent:
                    self.done(to, self.fronts[to].heard(sender, message, self.now))
        for what, given in lying:
            front = self.fronts[still]
            self.done(
                still,
                front.ended(given, LONGEST, True, self.now)
                if what == "ended"
                else front.heard(what, given, self.now),
            )

    def sees(self, name):
        there = [n for n in NAMES if n not in self.dead and (n == name or frozenset((n, name)) != self.cut)]
        self.done(name, self.fronts[name].viewed([(n, 1) for n in there], len(there) > 1, True, self.now))

    def done(self, name, actions):
        for action in actions:
            match action:
                case Send(to, message):
                    if to not in self.dead and frozenset((name, to)) != self.cut:
                        self.flying.append((name, to, message))
                case Start(token, _):
                    self.fills.append((self.now + LONGEST, name, token))
                    if len(self.fills) > PLACES:
                        raise Broken(len(self.fills), self.steps)

    def possible(self):
        up = [name for name in NAMES if name not in self.dead]
        found = [("goes-on", (span, still, False)) for span in WHILES for still in ("", *up)]
        found += [("goes-on", (span, "", True)) for span in WHILES[:2]]
        found += [("get", (n, self.gets % 2)) for n in up] if self.gets else []
        found += [("kill", n) for n in up] if self.kills else []
        found += [("cut", pair) for pair in (("a", "b"), ("a", "c"), ("b", "c"))] if self.cuts else []
        return found + [("see", n) for n in up] if self.dead or self.cut else found

    def step(self, what, given):
        self.steps += ((what, given),)
        if what == "goes-on":
            self.goes_on(*given)
        elif what == "get":
            # Two at once, so that places are taken.
            for _ in range(2):
                self.numbers += 1
                self.done(
                    given[0],
                    self.fronts[given[0]].arrives(
                        self.numbers, SOURCE, given[1], self.now + 60 * LEASE, self.now
                    ),
                )
            self.gets -= 1
        elif what == "kill":
            self.kills -= 1
            self.dead |= {given}  # its fills go on
        elif what == "cut":
            self.cuts, self.cut = 0, frozenset(given)
        else:
            self.sees(given)

    def state(self):
        fronts = [
            (
                vars(one.borrower).copy() | {"terms": 0},
                one.lenders,
                one.avoided,
                one.steward.had,
                [
                    (
                        n,
                        f.turn,
                        f.number,
                        f.waived,
                        f.old_until,
                        f.held_until,
                        f.old,
                        f.using,
                        f.want,
                        f.grants,
                    )
                    for n, f in sorted(one.steward.fronts.items())
                ],
                [
                    (t, len(q))
                    for source in one.queue.sources.values()
                    for t, q in sorted(source.waiting.items())
                ],
            )
            for one in self.fronts.values()
        ]
        return repr(
            (
                self.now,
                self.flying,
                self.fills,
                sorted(self.dead),
                sorted(self.cut),
                self.kills,
                self.cuts,
                self.gets,
                fronts,
            )
        )


def explored(depth):
    """How many states were reached; raises Broken at the first that breaks."""
    return exploring.explored(Instance(), depth)


if __name__ == "__main__":
    sys.exit(exploring.main(sys.argv[1:], "explore_shares", __doc__, lambda wanted: Instance(), 3))
