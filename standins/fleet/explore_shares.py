"""Explore all interleavings of the quotas of three fronts with two tenants and two places to a depth.

    python -m standins.fleet.explore_shares --depth 6

It starts from a settled fleet. A step is: GETs at a front; one kill; one partition; a front's new view; a period in
which all fronts run, or all but one that is paused, or in which no message arrives. A period is half a lease, two
leases, or as long as a floor may be lent. A fill takes the longest time that the settings allow. Raises Broken if a
source has more concurrent fills than places.
"""

import sys

from sprucegate.fleet.quotas.actions import Send, StartFill
from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.settings import LEASE_DURATION, QuotaSettings, Tenant
from standins.fleet import exploring

NAMES, SOURCE, PLACES = ("a", "b", "c"), 21, 2
MS = 1_000_000
LONGEST = 2400 * MS  # longer than a lease: a fill continues after the lease that it began under has ended
SETTINGS = QuotaSettings((Tenant(1, 0), Tenant(1, 0)), NAMES, {SOURCE: PLACES}, LONGEST)
TIMER_INTERVAL = LEASE_DURATION // 4
PERIODS = (LEASE_DURATION // 2, 2 * LEASE_DURATION, SETTINGS.floor_waiver)


class Broken(Exception):
    """The count of concurrent fills, and the steps that led to it."""


class Instance:
    """`kills`, `cuts` and `gets` are the numbers of such steps that are left."""

    def __init__(self, gets=4):
        self.now, self.steps, self.sequences = 0, (), 0
        self.kills, self.cuts, self.gets = 1, 1, gets
        self.in_flight, self.fills, self.dead, self.cut = [], [], set(), frozenset()
        self.fronts = {name: QuotaCoordinator(name, 1, SETTINGS, 0) for name in NAMES}
        for name in NAMES:
            self.update_view(name)
        self.run_for(2 * SETTINGS.floor_waiver)  # any floor lent by an earlier incarnation has ended by then

    def run_for(self, span, paused="", silent=False):
        """Run all fronts for `span`.

        `paused`: a front that is paused and gets its messages at the end; `silent`: no message arrives.
        """
        end, deferred = self.now + span, []
        while self.now < end:
            self.now = min(end, self.now + TIMER_INTERVAL)
            ended = [one for one in self.fills if one[0] <= self.now]
            self.fills = [one for one in self.fills if one[0] > self.now]
            for _, name, token in ended:
                if name not in self.dead and name != paused:
                    self.execute(name, self.fronts[name].fill_ended(token, LONGEST, True, self.now))
                elif name == paused:
                    deferred.append(("ended", token))
            for name in NAMES:
                if name not in self.dead and name != paused:
                    self.execute(name, self.fronts[name].on_timer(self.now))
            while self.in_flight:
                sender, to, message = self.in_flight.pop(0)
                if to == paused:
                    deferred.append((sender, message))
                elif to not in self.dead and not silent:
                    self.execute(to, self.fronts[to].on_message(sender, message, self.now))
        for what, given in deferred:
            front = self.fronts[paused]
            self.execute(
                paused,
                front.fill_ended(given, LONGEST, True, self.now)
                if what == "ended"
                else front.on_message(what, given, self.now),
            )

    def update_view(self, name):
        members = [n for n in NAMES if n not in self.dead and (n == name or frozenset((n, name)) != self.cut)]
        self.execute(
            name,
            self.fronts[name].on_view_changed([(n, 1) for n in members], len(members) > 1, True, self.now),
        )

    def execute(self, name, actions):
        for action in actions:
            match action:
                case Send(to, message):
                    if to not in self.dead and frozenset((name, to)) != self.cut:
                        self.in_flight.append((name, to, message))
                case StartFill(token, _):
                    self.fills.append((self.now + LONGEST, name, token))
                    if len(self.fills) > PLACES:
                        raise Broken(len(self.fills), self.steps)

    def possible(self):
        up = [name for name in NAMES if name not in self.dead]
        found = [("goes-on", (span, paused, False)) for span in PERIODS for paused in ("", *up)]
        found += [("goes-on", (span, "", True)) for span in PERIODS[:2]]
        found += [("get", (n, self.gets % 2)) for n in up] if self.gets else []
        found += [("kill", n) for n in up] if self.kills else []
        found += [("cut", pair) for pair in (("a", "b"), ("a", "c"), ("b", "c"))] if self.cuts else []
        return found + [("see", n) for n in up] if self.dead or self.cut else found

    def step(self, what, given):
        self.steps += ((what, given),)
        if what == "goes-on":
            self.run_for(*given)
        elif what == "get":
            # Two at a time, so that places are in use.
            for _ in range(2):
                self.sequences += 1
                self.execute(
                    given[0],
                    self.fronts[given[0]].request_arrived(
                        self.sequences, SOURCE, given[1], self.now + 60 * LEASE_DURATION, self.now
                    ),
                )
            self.gets -= 1
        elif what == "kill":
            self.kills -= 1
            self.dead |= {given}  # its fills continue
        elif what == "cut":
            self.cuts, self.cut = 0, frozenset(given)
        else:
            self.update_view(given)

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
                self.in_flight,
                self.fills,
                sorted(self.dead),
                sorted(self.cut),
                self.kills,
                self.cuts,
                self.gets,
                fronts,
            )
        )


def explore_to_depth(depth):
    """Return the number of distinct states; raises Broken at the first violation."""
    return exploring.explore_to_depth(Instance(), depth)


if __name__ == "__main__":
    sys.exit(exploring.main(sys.argv[1:], "explore_shares", __doc__, lambda wanted: Instance(), 3))
