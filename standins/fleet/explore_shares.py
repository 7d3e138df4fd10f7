"""Three fronts, two tenants, two places, one kill, one cut: all interleavings to a depth, from a fleet at work.

    python -m standins.fleet.explore_shares --depth 6

A step is: a GET at a front; a kill; a cut; a front's new view; a while in which all go on, or all but one that stands
still, or in which no message comes. A while is half a lease, two leases, or as long as a floor may be lent. A fill ends
at its source as late as the terms allow. Raises Broken where a source fills more than it has places.
"""

import sys

from sprucegate.fleet.quotas.actions import Send, StartFill
from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.settings import LEASE_DURATION, QuotaSettings, Tenant
from standins.fleet import exploring

NAMES, SOURCE, PLACES = ("a", "b", "c"), 21, 2
MS = 1_000_000
LONGEST = 2400 * MS  # longer than a lease: what was started by one that is over goes on
TERMS = QuotaSettings((Tenant(1, 0), Tenant(1, 0)), NAMES, {SOURCE: PLACES}, LONGEST)
TURN = LEASE_DURATION // 4
WHILES = (LEASE_DURATION // 2, 2 * LEASE_DURATION, TERMS.floor_waiver)


class Broken(Exception):
    """How many fills, and the steps to there."""


class Instance:
    """`kills`, `cuts`, `gets`: how many may come."""

    def __init__(self, gets=4):
        self.now, self.steps, self.sequences = 0, (), 0
        self.kills, self.cuts, self.gets = 1, 1, gets
        self.flying, self.fills, self.dead, self.cut = [], [], set(), frozenset()
        self.fronts = {name: QuotaCoordinator(name, 1, TERMS, 0) for name in NAMES}
        for name in NAMES:
            self.sees(name)
        self.goes_on(2 * TERMS.floor_waiver)  # what former lives may have lent is over by then

    def goes_on(self, span, still="", silent=False):
        """Time passes; `still`: stands still for it, and wakes to what lies there; `silent`: nothing comes."""
        end, lying = self.now + span, []
        while self.now < end:
            self.now = min(end, self.now + TURN)
            over = [one for one in self.fills if one[0] <= self.now]
            self.fills = [one for one in self.fills if one[0] > self.now]
            for _, name, token in over:
                if name not in self.dead and name != still:
                    self.done(name, self.fronts[name].fill_ended(token, LONGEST, True, self.now))
                elif name == still:
                    lying.append(("ended", token))
            for name in NAMES:
                if name not in self.dead and name != still:
                    self.done(name, self.fronts[name].on_timer(self.now))
            while self.flying:
                sender, to, message = self.flying.pop(0)
                if to == still:
                    lying.append((sender, message))
                elif to not in self.dead and not silent:
                    self.done(to, self.fronts[to].on_message(sender, message, self.now))
        for what, given in lying:
            front = self.fronts[still]
            self.done(
                still,
                front.fill_ended(given, LONGEST, True, self.now)
                if what == "ended"
                else front.on_message(what, given, self.now),
            )

    def sees(self, name):
        there = [n for n in NAMES if n not in self.dead and (n == name or frozenset((n, name)) != self.cut)]
        self.done(
            name, self.fronts[name].on_view_changed([(n, 1) for n in there], len(there) > 1, True, self.now)
        )

    def done(self, name, actions):
        for action in actions:
            match action:
                case Send(to, message):
                    if to not in self.dead and frozenset((name, to)) != self.cut:
                        self.flying.append((name, to, message))
                case StartFill(token, _):
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
                self.sequences += 1
                self.done(
                    given[0],
                    self.fronts[given[0]].request_arrived(
                        self.sequences, SOURCE, given[1], self.now + 60 * LEASE_DURATION, self.now
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
                vars(one.borrower).copy() | {"settings": 0},
                one.candidates,
                one.avoided,
                one.lease_holder.allocator.slot_time,
                [
                    (
                        n,
                        f.epoch,
                        f.sequence,
                        f.waived_until,
                        f.former_floors_until,
                        f.former_counted_until,
                        f.former_lease,
                        f.using,
                        f.demand,
                        f.grants,
                    )
                    for n, f in sorted(one.lease_holder.fronts.items())
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
