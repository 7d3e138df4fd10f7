"""Quotas of whole fleets under a time, clocks, a network and troubles by seed; checkers that read the trace alone.

    python -m standins.fleet.sharing --seeds 200 --size 5 --loss 0.1

A source counts its fills by itself: one that a front no longer waits for, or whose front has ended, goes on there.
"""

import heapq
import random
import sys
from collections import defaultdict
from itertools import count

from sprucegate.fleet.quotas.actions import AbandonWait, Send, StartFill
from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.fair_queue import INITIAL_FILL_TIME
from sprucegate.fleet.quotas.settings import LEASE_DURATION, QuotaSettings, Tenant
from standins.fleet.schedules import reported

MS, S = 1_000_000, 1_000_000_000
LONGEST = 800 * MS
SETTLED = 7 * S  # after the start: views are there, and nothing of former lives can be lent any more


class Front:
    """One process, with a clock of its own."""

    def __init__(self, world, name):
        self.world, self.name, self.generation = world, name, 0
        self.up, self.paused, self.lying, self.quotas, self.armed = False, False, [], None, None
        self.lives = {}  # by generation
        self.rate, self.offset = 1 + world.chance.uniform(-4e-4, 4e-4), world.chance.randrange(1000 * S)

    def clock(self):
        return int(self.world.now * self.rate) + self.offset

    def start(self):
        self.generation, self.up, self.paused, self.lying, self.armed = (
            self.generation + 1,
            True,
            False,
            [],
            None,
        )
        self.life = self.lives[self.generation] = self.generation << 32 | self.world.chance.getrandbits(32)
        self.quotas = QuotaCoordinator(self.name, self.life, self.world.settings, self.clock())
        self.world.note(self.name, "start")
        self.looks()

    def crash(self):
        self.up, self.generation = False, self.generation + 1
        self.world.note(self.name, "crash")

    def event(self, action, *given):
        if not self.up:
            return
        if self.paused:
            self.lying.append((action, given))
        else:
            self.done(action(*given))

    def looks(self):
        """Its view: who is there and heard both ways, as it was told a while ago."""
        lenders, alone = self.world.seen(self)
        self.event(lambda: self.quotas.on_view_changed(lenders, not alone, True, self.clock()))

    def done(self, actions):
        world = self.world
        todo = list(actions)
        while todo:
            match todo.pop(0):
                case Send(to, message):
                    world.send(self, to, message)
                case StartFill(token, source):
                    token, tenant, takes = token
                    world.note(self.name, "fills", source, tenant, token)
                    world.later(takes, None, world.note, "", "filled", source, tenant, token, self.name)
                    # Some clients leave, and some ends are never told: what is known here is less than what is so.
                    if world.chance.random() < world.leaving:
                        world.at(
                            world.now + int(takes * world.chance.random()),
                            self.event,
                            self._lingers,
                            (token, tenant, takes),
                        )
                    else:
                        world.at(
                            world.now + takes + int(world.chance.random() * 2 * MS),
                            self.event,
                            self._ended,
                            (token, tenant, takes),
                            self.generation,
                        )
                case AbandonWait(token, _):
                    world.note(self.name, "gives-up", token[0], token[1])
        due = self.quotas.next_deadline()
        if self.armed != due:
            self.armed = due
            world.at(
                world.now + max(1000, int((due - self.clock()) / self.rate)), self._due, due, self.generation
            )

    def _due(self, due, generation):
        if self.armed == due and generation == self.generation:
            self.armed = None
            self.event(lambda: self.quotas.on_timer(self.clock()))

    def _ended(self, token, generation):
        return (
            self.quotas.fill_ended(token, token[2], True, self.clock())
            if generation == self.generation
            else []
        )

    def _lingers(self, token):
        self.quotas.fill_detached(token, self.clock())
        return []


class World:
    def __init__(self, size, seed, places=None, tenants=((1, 0), (1, 0), (2, 0)), loss=0.0):
        self.seed, self.chance, self.now, self.trace, self.loss = seed, random.Random(seed), 0, [], loss
        self.events, self.order, self.cut, self.numbers, self.leaving = [], count(), set(), count(1), 0.0
        names = tuple(f"n{at}" for at in range(size))
        self.settings = QuotaSettings(
            tuple(Tenant(*one) for one in tenants), names, places or {21: 5, 31: 2}, LONGEST, 60
        )
        self.since, self.demand = {}, {}
        self.fronts = {name: Front(self, name) for name in names}
        self.note("", "places", dict(self.settings.slots), dict(enumerate(w for w, _ in tenants)))

    def note(self, name, what, *more):
        self.trace.append((self.now, name, what, *more))

    def at(self, when, action, *given):
        heapq.heappush(self.events, (max(self.now, int(when)), next(self.order), action, given))

    def later(self, wait, _, action, *given):
        self.at(self.now + wait, action, *given)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            when, _, action, given = heapq.heappop(self.events)
            self.now = max(self.now, when)
            action(*given)
        self.now = max(self.now, until)

    def send(self, front, to, message):
        if to not in self.fronts or (front.name, to) in self.cut:
            return
        for _ in range(1 + (self.chance.random() < self.loss / 3)):
            if front.name == to or self.chance.random() >= self.loss:
                slow = 900 if self.chance.random() < self.loss / 3 else 3
                wait = int((0.2 + slow * self.chance.random()) * MS) if front.name != to else 1000
                self.at(self.now + wait, self._comes, front.name, self.fronts[to], message)

    def _comes(self, sender, other, message):
        # By call: one that stood still takes it at the time when it wakes.
        other.event(lambda: other.quotas.on_message(sender, message, other.clock()))

    # Views: each front hears of each change a while later, some soon and some late, as membership finds them.

    def seen(self, front):
        there = [(front.name, front.life)]
        for name, other in self.fronts.items():
            if other is not front and (known := self.since.get((front.name, name), (0, 0))[1]):
                there.append((name, other.lives[known]))  # perhaps a life that is over by now
        return there, len(there) == 1

    def tells(self):
        """What is so now reaches each view by and by."""
        for front in self.fronts.values():
            for other in self.fronts.values():
                pair = front.name, other.name
                both = {pair, pair[::-1]} & self.cut
                so = other.generation if other.up and not both else 0
                if front is not other and self.since.get(pair, (0, -1))[0] != so:
                    wait = int((0.02 if not so and not both else self.chance.uniform(0.5, 3)) * S)
                    self.since[pair] = so, self.since.get(pair, (0, 0))[1]
                    self.at(self.now + wait, self._told, pair, so)

    def _told(self, pair, so):
        if self.since[pair][0] == so:
            self.since[pair] = so, so
            if self.fronts[pair[0]].up:
                self.fronts[pair[0]].looks()

    # What a schedule does.

    def get(self, name, source, tenant, patience, takes):
        front, number = self.fronts[name], next(self.numbers)
        if front.up:
            self.note(name, "asks", source, tenant, number, self.now + patience)
            front.event(
                lambda: front.quotas.request_arrived(
                    (number, tenant, takes), source, tenant, front.clock() + patience, front.clock()
                )
            )

    def kill(self, name):
        if self.fronts[name].up:
            self.fronts[name].crash()
            self.tells()

    def restart(self, name):
        if not self.fronts[name].up:
            self.fronts[name].start()
            self.tells()

    def pause(self, name, on):
        front = self.fronts[name]
        if on and front.up:
            front.paused = True
            self.note(name, "pauses")
        elif not on and front.paused:
            front.paused = False
            if front.up:
                self.note(name, "wakes")
            lying, front.lying = front.lying, []
            for action, given in lying:
                front.event(action, *given)

    def cuts(self, pairs):
        self.cut = self.cut | set(pairs) if pairs else set()
        self.note("", "cut", sorted(self.cut))
        self.tells()

    def steward(self):
        """Whom most fronts go by."""
        said = [f.quotas.borrower.lease_holder.name for f in self.fronts.values() if f.up]
        return max(sorted(set(said)), key=said.count) if said else ""


def load(world, span, per_s, tenants, patience=3 * S, begin=0, source=21):
    """GETs of those tenants at each front, spread evenly; fills take what a stand-in of three paces would."""
    chance = random.Random(world.seed * 13 + sum(tenants))
    for name in world.fronts:
        for tenant in tenants:
            at = begin + int(chance.random() * S / per_s)
            while at < begin + span:
                takes = int(chance.choice((20, 60, 200)) * MS * chance.uniform(0.5, 1.5))
                world.at(at, world.get, name, source, tenant, patience, takes)
                at += int(S / per_s * chance.uniform(0.5, 1.5))


def played(seed, size=5, loss=0.0, span=14 * S, quiet=False):
    """Tenants in demand beyond the places, troubles for a while, then all well."""
    world = World(size, seed, loss=loss)
    chance = random.Random(seed * 31 + size)
    world.leaving = 0.0 if quiet else 0.1
    names = list(world.fronts)
    for front in world.fronts.values():
        front.start()
    world.tells()
    load(world, span + 6 * S, 30, [0, 1, 2])
    load(world, span + 6 * S, 3, [1], source=31)
    for _ in range(0 if quiet else chance.randrange(2, 9)):
        when, lasts, name = (
            3 * S + int(chance.random() * span),
            int(chance.random() * 4 * S),
            chance.choice(names),
        )
        what = chance.choice(
            ("kill", "kill-steward", "pause", "pause-steward", "split", "one-way", "restart-all")
        )
        if what in ("kill", "kill-steward"):

            def kill(name=name, what=what, lasts=lasts):
                name = world.steward() if what == "kill-steward" else name
                if name:
                    world.kill(name)
                    world.at(world.now + lasts, world.restart, name)

            world.at(when, kill)
        elif what in ("pause", "pause-steward"):

            def pause(name=name, what=what, lasts=lasts):
                name = world.steward() if what == "pause-steward" else name
                if name:
                    world.pause(name, True)
                    world.at(world.now + lasts, world.pause, name, False)

            world.at(when, pause)
        elif what in ("split", "one-way"):
            side = chance.sample(names, chance.randrange(1, len(names)))
            cut = {(a, b) for a in side for b in names if b not in side}
            world.at(when, world.cuts, cut | ({(b, a) for a, b in cut} if what == "split" else set()))
            world.at(when + lasts, world.cuts, ())
        else:
            for one in names:
                world.at(when, world.kill, one)
                world.at(when + lasts // 4 + int(chance.random() * 50 * MS), world.restart, one)
    world.run(span + 3 * S)
    world.cuts(())
    world.loss = 0.0
    for name in names:
        world.pause(name, False)
        world.restart(name)
    world.run(span + 16 * S)
    world.note("", "end")
    return world


# Checkers: of a trace alone.


def places_over(trace):
    """At no instant does a source fill more than it has places, counted at the source."""
    places, open_now, found = {}, defaultdict(int), []
    for at, name, what, *more in trace:
        if what == "places":
            places = more[0]
        elif what == "fills":
            open_now[more[0]] += 1
            if open_now[more[0]] > places[more[0]]:
                found.append(f"{at} {name} fills at {more[0]}, where {places[more[0]]} were under way")
        elif what == "filled":
            open_now[more[0]] -= 1
    return found


def late_sheds(trace):
    """Whoever can't be filled is answered while there would have been time for a usual fill, or well before its end."""
    due, found = {}, []
    still = set()
    for at, name, what, *more in trace:
        if what == "asks":
            due[more[2]] = more[3], name
        elif what == "pauses":
            still.add(name)  # it may wake after the time of what waits there
        elif what == "gives-up" and name not in still and at > due[more[0]][0] - INITIAL_FILL_TIME // 8:
            found.append(f"{at} {name} answers {more[0]} as its time {due[more[0]][0]} ends")
    return found


def starved(trace):
    """In a fleet without trouble a backlogged tenant has its part of place time over any second, less one fill."""
    places, weights, found, span = {}, {}, [], S
    fills, waits, begun, of = defaultdict(list), defaultdict(list), {}, {}
    if any(what in ("crash", "pauses") or what == "cut" and more[0] for _, _, what, *more in trace):
        return []
    for at, _name, what, *more in trace:
        if what == "places":
            places, weights = more
        elif what == "asks":
            begun[more[2]], of[more[2]] = at, tuple(more[:2])
        elif what == "fills":
            waits[more[0], more[1]].append((begun.pop(more[2], at), at))
            fills[more[0], more[1]].append([at, None, more[2]])
        elif what == "gives-up":
            waits[of.pop(more[0])].append((begun.pop(more[0]), at))
        elif what == "filled":
            next(one for one in fills[more[0], more[1]] if one[2] == more[2])[1] = at
    end = trace[-1][0]
    for source in places:
        for begin in range(SETTLED, end - 12 * S, span):
            got = {
                t: sum(max(0, min(b or end, begin + span) - max(a, begin)) for a, b, _ in fills[source, t])
                for t in weights
            }
            hungry = [t for t in weights if _covered(waits[source, t], begin, begin + span)]
            fair = places[source] * span
            for tenant in hungry:
                part = fair * weights[tenant] // sum(weights[t] for t in weights if got[t] or t in hungry)
                if got[tenant] < 0.9 * part - LONGEST:
                    found.append(f"{begin} tenant {tenant} has {got[tenant]} of {part} at {source}")
    return found


def _covered(waits, begin, end):
    """Whether some GET waited at each tenth of that span."""
    return all(any(a <= at < b for a, b in waits) for at in range(begin, end, (end - begin) // 10))


def idle(trace):
    """In a fleet without trouble no place is idle for longer than two leases while anyone waits."""
    if any(what in ("crash", "pauses") or what == "cut" and more[0] for _, _, what, *more in trace):
        return []
    places, open_now, waiting, since, found = {}, defaultdict(int), defaultdict(set), {}, []
    for at, _name, what, *more in trace:
        if what == "places":
            places = more[0]
            continue
        if what == "asks":
            waiting[more[0]].add(more[2])
        elif what in ("fills", "gives-up"):
            for source in waiting:
                waiting[source].discard(more[2] if what == "fills" else more[0])
        if what in ("fills", "filled"):
            open_now[more[0]] += 1 if what == "fills" else -1
        for source in places:
            if waiting[source] and open_now[source] < places[source]:
                if at - since.setdefault(source, max(at, SETTLED)) > 2 * LEASE_DURATION:
                    found.append(f"{at} a place of {source} is idle since {since[source]}")
                    since[source] = at
            else:
                since.pop(source, None)
    return found


def used(trace):
    """Share of place time in use from when the fleet has settled to when its load ends, by source."""
    places, open_now, since, sums = {}, defaultdict(int), {}, defaultdict(int)
    end = next(at for at, _, what, *_ in reversed(trace) if what == "asks")
    for at, _, what, *more in trace:
        if what == "places":
            places = more[0]
        elif what in ("fills", "filled"):
            begin = max(SETTLED, since.get(more[0], 0))
            sums[more[0]] += open_now[more[0]] * max(0, min(at, end) - begin)
            open_now[more[0]] += 1 if what == "fills" else -1
            since[more[0]] = at
    return {source: sums[source] / (end - SETTLED) / count for source, count in places.items()}


def unanswered(trace):
    """Each GET is filled or given up, but for those whose front ended."""
    open_now, found = {}, []
    for _, name, what, *more in trace:
        if what == "asks":
            open_now[more[2]] = name, more[3]
        elif what == "fills":
            open_now.pop(more[2], None)
        elif what == "gives-up":
            open_now.pop(more[0], None)
        elif what == "crash":
            open_now = {number: one for number, one in open_now.items() if one[0] != name}
        elif what == "end":
            found = [f"{number} at {one[0]} has no answer" for number, one in open_now.items()]
    return found


ALL = (places_over, late_sheds, starved, idle, unanswered)


def broken(trace):
    return [(check.__name__, text) for check in ALL for text in check(trace)]


if __name__ == "__main__":
    sys.exit(
        reported(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: broken(
                played(seed, wanted.size, wanted.loss, quiet=bool(wanted.quiet)).trace
            ),
            quiet=0,
        )
    )
