"""Simulate the quotas of whole fleets with clocks, a network and faults run by a seed; checkers of the trace.

    python -m standins.fleet.sharing --seeds 200 --size 5 --loss 0.1

A source counts its own fills: a fill continues there if its front no longer waits for it or has ended.
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
from standins.fleet.schedules import run_seeds

MS, S = 1_000_000, 1_000_000_000
LONGEST = 800 * MS
SETTLED = 7 * S  # after the start: views are complete, and no floor lent by an earlier incarnation is left


class Front:
    """One front's process, with a drifting clock of its own."""

    def __init__(self, world, name):
        self.world, self.name, self.generation = world, name, 0
        self.up, self.paused, self.deferred, self.quotas, self.armed_deadline = False, False, [], None, None
        self.incarnations = {}  # by generation
        self.rate, self.offset = 1 + world.chance.uniform(-4e-4, 4e-4), world.chance.randrange(1000 * S)

    def clock(self):
        return int(self.world.now * self.rate) + self.offset

    def start(self):
        self.generation, self.up, self.paused, self.deferred, self.armed_deadline = (
            self.generation + 1,
            True,
            False,
            [],
            None,
        )
        self.incarnation = self.incarnations[self.generation] = (
            self.generation << 32 | self.world.chance.getrandbits(32)
        )
        self.quotas = QuotaCoordinator(self.name, self.incarnation, self.world.settings, self.clock())
        self.world.note(self.name, "start")
        self.apply_view()

    def crash(self):
        self.up, self.generation = False, self.generation + 1
        self.world.note(self.name, "crash")

    def event(self, action, *given):
        if not self.up:
            return
        if self.paused:
            self.deferred.append((action, given))
        else:
            self.execute(action(*given))

    def apply_view(self):
        """Apply the front's present view: the others that it knows, after a delay, as running and connected."""
        lenders, alone = self.world.known_members(self)
        self.event(lambda: self.quotas.on_view_changed(lenders, not alone, True, self.clock()))

    def execute(self, actions):
        world = self.world
        pending = list(actions)
        while pending:
            match pending.pop(0):
                case Send(to, message):
                    world.send(self, to, message)
                case StartFill(token, source):
                    token, tenant, fill_time = token
                    world.note(self.name, "fills", source, tenant, token)
                    world.after(fill_time, None, world.note, "", "filled", source, tenant, token, self.name)
                    # Some clients leave and the end of their fill is not reported: a front knows less than the source.
                    if world.chance.random() < world.leave_probability:
                        world.at(
                            world.now + int(fill_time * world.chance.random()),
                            self.event,
                            self._detach,
                            (token, tenant, fill_time),
                        )
                    else:
                        world.at(
                            world.now + fill_time + int(world.chance.random() * 2 * MS),
                            self.event,
                            self._on_fill_ended,
                            (token, tenant, fill_time),
                            self.generation,
                        )
                case AbandonWait(token, _):
                    world.note(self.name, "gives-up", token[0], token[1])
        due = self.quotas.next_deadline()
        if self.armed_deadline != due:
            self.armed_deadline = due
            world.at(
                world.now + max(1000, int((due - self.clock()) / self.rate)), self._due, due, self.generation
            )

    def _due(self, due, generation):
        if self.armed_deadline == due and generation == self.generation:
            self.armed_deadline = None
            self.event(lambda: self.quotas.on_timer(self.clock()))

    def _on_fill_ended(self, token, generation):
        return (
            self.quotas.fill_ended(token, token[2], True, self.clock())
            if generation == self.generation
            else []
        )

    def _detach(self, token):
        self.quotas.fill_detached(token, self.clock())
        return []


class World:
    def __init__(self, size, seed, places=None, tenants=((1, 0), (1, 0), (2, 0)), loss=0.0):
        self.seed, self.chance, self.now, self.trace, self.loss = seed, random.Random(seed), 0, [], loss
        self.events, self.sequence, self.cut, self.numbers, self.leave_probability = (
            [],
            count(),
            set(),
            count(1),
            0.0,
        )
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
        heapq.heappush(self.events, (max(self.now, int(when)), next(self.sequence), action, given))

    def after(self, wait, _, action, *given):
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
                self.at(self.now + wait, self._deliver, front.name, self.fronts[to], message)

    def _deliver(self, sender, other, message):
        # As a call with late binding: a paused process handles the message with its clock at the resume.
        other.event(lambda: other.quotas.on_message(sender, message, other.clock()))

    # Views: each front learns of a change after a random delay, as with the failure detector.

    def known_members(self, front):
        members = [(front.name, front.incarnation)]
        for name, other in self.fronts.items():
            if other is not front and (known := self.since.get((front.name, name), (0, 0))[1]):
                # The known incarnation may have ended by now.
                members.append((name, other.incarnations[known]))
        return members, len(members) == 1

    def schedule_view_updates(self):
        """Schedule the present state for each view, after a delay."""
        for front in self.fronts.values():
            for other in self.fronts.values():
                pair = front.name, other.name
                cut_pairs = {pair, pair[::-1]} & self.cut
                present = other.generation if other.up and not cut_pairs else 0
                if front is not other and self.since.get(pair, (0, -1))[0] != present:
                    wait = int((0.02 if not present and not cut_pairs else self.chance.uniform(0.5, 3)) * S)
                    self.since[pair] = present, self.since.get(pair, (0, 0))[1]
                    self.at(self.now + wait, self._on_view_update, pair, present)

    def _on_view_update(self, pair, present):
        if self.since[pair][0] == present:
            self.since[pair] = present, present
            if self.fronts[pair[0]].up:
                self.fronts[pair[0]].apply_view()

    # Steps of a schedule.

    def get(self, name, source, tenant, time_limit, fill_time):
        front, number = self.fronts[name], next(self.numbers)
        if front.up:
            self.note(name, "asks", source, tenant, number, self.now + time_limit)
            front.event(
                lambda: front.quotas.request_arrived(
                    (number, tenant, fill_time), source, tenant, front.clock() + time_limit, front.clock()
                )
            )

    def kill(self, name):
        if self.fronts[name].up:
            self.fronts[name].crash()
            self.schedule_view_updates()

    def restart(self, name):
        if not self.fronts[name].up:
            self.fronts[name].start()
            self.schedule_view_updates()

    def pause(self, name, on):
        front = self.fronts[name]
        if on and front.up:
            front.paused = True
            self.note(name, "pauses")
        elif not on and front.paused:
            front.paused = False
            if front.up:
                self.note(name, "wakes")
            deferred, front.deferred = front.deferred, []
            for action, given in deferred:
                front.event(action, *given)

    def partition(self, pairs):
        self.cut = self.cut | set(pairs) if pairs else set()
        self.note("", "cut", sorted(self.cut))
        self.schedule_view_updates()

    def current_lease_holder(self):
        """Return the lease holder that most fronts know; "" if no front is up."""
        said = [f.quotas.borrower.lease_holder.name for f in self.fronts.values() if f.up]
        return max(sorted(set(said)), key=said.count) if said else ""


def load(world, span, per_s, tenants, time_limit=3 * S, begin=0, source=21):
    """Schedule GETs of those tenants at each front, spread evenly; the fill time is around 20, 60 or 200 ms."""
    chance = random.Random(world.seed * 13 + sum(tenants))
    for name in world.fronts:
        for tenant in tenants:
            at = begin + int(chance.random() * S / per_s)
            while at < begin + span:
                fill_time = int(chance.choice((20, 60, 200)) * MS * chance.uniform(0.5, 1.5))
                world.at(at, world.get, name, source, tenant, time_limit, fill_time)
                at += int(S / per_s * chance.uniform(0.5, 1.5))


def play_schedule(seed, size=5, loss=0.0, span=14 * S, quiet=False):
    """Play tenants with more demand than places, a period with faults, then one without, and return the world."""
    world = World(size, seed, loss=loss)
    chance = random.Random(seed * 31 + size)
    world.leave_probability = 0.0 if quiet else 0.1
    names = list(world.fronts)
    for front in world.fronts.values():
        front.start()
    world.schedule_view_updates()
    load(world, span + 6 * S, 30, [0, 1, 2])
    load(world, span + 6 * S, 3, [1], source=31)
    for _ in range(0 if quiet else chance.randrange(2, 9)):
        when, duration, name = (
            3 * S + int(chance.random() * span),
            int(chance.random() * 4 * S),
            chance.choice(names),
        )
        what = chance.choice(
            ("kill", "kill-steward", "pause", "pause-steward", "split", "one-way", "restart-all")
        )
        if what in ("kill", "kill-steward"):

            def kill(name=name, what=what, duration=duration):
                name = world.current_lease_holder() if what == "kill-steward" else name
                if name:
                    world.kill(name)
                    world.at(world.now + duration, world.restart, name)

            world.at(when, kill)
        elif what in ("pause", "pause-steward"):

            def pause(name=name, what=what, duration=duration):
                name = world.current_lease_holder() if what == "pause-steward" else name
                if name:
                    world.pause(name, True)
                    world.at(world.now + duration, world.pause, name, False)

            world.at(when, pause)
        elif what in ("split", "one-way"):
            side = chance.sample(names, chance.randrange(1, len(names)))
            cut = {(a, b) for a in side for b in names if b not in side}
            world.at(when, world.partition, cut | ({(b, a) for a, b in cut} if what == "split" else set()))
            world.at(when + duration, world.partition, ())
        else:
            for one in names:
                world.at(when, world.kill, one)
                world.at(when + duration // 4 + int(chance.random() * 50 * MS), world.restart, one)
    world.run(span + 3 * S)
    world.partition(())
    world.loss = 0.0
    for name in names:
        world.pause(name, False)
        world.restart(name)
    world.run(span + 16 * S)
    world.note("", "end")
    return world


# Checkers; each reads only the trace.


def places_over(trace):
    """A source never has more concurrent fills than places, counted at the source."""
    places, open_now, found = {}, defaultdict(int), []
    for at, name, what, *more in trace:
        if what == "places":
            places = more[0]
        elif what == "fills":
            open_now[more[0]] += 1
            if open_now[more[0]] > places[more[0]]:
                found.append(
                    f"{at} {name} fills at {more[0]}, where all {places[more[0]]} places were in use"
                )
        elif what == "filled":
            open_now[more[0]] -= 1
    return found


def late_sheds(trace):
    """A GET that can't be filled is answered at least an eighth of the initial fill time before its deadline."""
    due, found = {}, []
    paused = set()
    for at, name, what, *more in trace:
        if what == "asks":
            due[more[2]] = more[3], name
        elif what == "pauses":
            paused.add(name)  # it may resume after the deadline of a GET that waits there
        elif what == "gives-up" and name not in paused and at > due[more[0]][0] - INITIAL_FILL_TIME // 8:
            found.append(f"{at} {name} answers {more[0]} close to {due[more[0]][0]}, its deadline")
    return found


def starved(trace):
    """Without faults a backlogged tenant gets 90% of its share of place time in any second, less one longest fill."""
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
            backlogged = [t for t in weights if _covered(waits[source, t], begin, begin + span)]
            fair = places[source] * span
            for tenant in backlogged:
                part = fair * weights[tenant] // sum(weights[t] for t in weights if got[t] or t in backlogged)
                if got[tenant] < 0.9 * part - LONGEST:
                    found.append(
                        f"{begin} tenant {tenant} got {got[tenant]} of {part} ns of place time at {source}"
                    )
    return found


def _covered(waits, begin, end):
    """Return whether a GET waited at the beginning of each tenth of the span."""
    return all(any(a <= at < b for a, b in waits) for at in range(begin, end, (end - begin) // 10))


def idle(trace):
    """Without faults no place is idle for longer than two leases while a GET waits."""
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
                    found.append(
                        f"{at} a place of {source} is idle, with GETs waiting, since {since[source]}"
                    )
                    since[source] = at
            else:
                since.pop(source, None)
    return found


def place_time_used(trace):
    """Return the used share of place time by source, from SETTLED to the last GET."""
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
    """Each GET is filled or answered without a fill, unless its front ended."""
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


def find_violations(trace):
    return [(check.__name__, text) for check in ALL for text in check(trace)]


if __name__ == "__main__":
    sys.exit(
        run_seeds(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: find_violations(
                play_schedule(seed, wanted.size, wanted.loss, quiet=bool(wanted.quiet)).trace
            ),
            quiet=0,
        )
    )
