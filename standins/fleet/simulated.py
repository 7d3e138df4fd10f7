"""Whole fleets in one process: the decision modules of the fronts under a time, a network and disks that a seed makes.

Everything that happens is written to `trace`, as tuples (time, front, what, ...); the checkers read nothing else.
"""

import heapq
import random
from itertools import count

from sprucegate.fleet.failure_detector.actions import CheckPort, MemberChanged, NameConflict
from sprucegate.fleet.membership_view.tracker import ViewChanged
from sprucegate.fleet.node import FleetNode, outgoing
from sprucegate.fleet.replica.facts import SourceState
from sprucegate.fleet.replica.replica import (
    CatchUpMark,
    CaughtUp,
    LogEvent,
    PersistRecords,
    RecordDiscarded,
    RecordInForce,
    SeenReport,
    SpreadRecords,
    TransferEnd,
    VersionConflict,
)
from sprucegate.fleet.replica_storage import RECORDS_PER_PIECE, ReplicaStorage, encode_records
from standins.disk import Crashed, FaultyDisk

MS, S = 1_000_000, 1_000_000_000
LOG_MOST = 20_000  # bytes after which a snapshot is made: small, so that schedules have some
TURNS_MOST = 5000  # of one front in a second
LINKS = 12  # other fronts that a link ties a front to, at most


class Spins(Exception):
    """A front that is due again at once, for ever: in service it would take a core."""


class Network:
    """Delays, losses, copies, order and cuts, all by one random stream."""

    def __init__(self, chance, loss=0.0, twice=0.0, slow=0.0):
        self.chance, self.loss, self.twice, self.slow = chance, loss, twice, slow
        self.cut, self.bytes, self.frames = (
            set(),
            0,
            0,
        )  # directed pairs that are cut; (a, b, kind) one kind alone

    def fates(self, sender, to, message):
        """When each copy of a message comes, ns from now; none where it is lost."""
        self.frames += 1
        kind = type(message)
        if (sender, to) in self.cut or (sender, to, kind) in self.cut or self.chance.random() < self.loss:
            return []
        copies = 2 if self.chance.random() < self.twice else 1
        return [
            int((1 + 4 * self.chance.random() + (300 if self.chance.random() < self.slow else 0)) * MS)
            for _ in range(copies)
        ]


class Front:
    """One process: its disk outlives it."""

    def __init__(self, fleet, name, seeds):
        self.fleet, self.name, self.seeds, self.address = fleet, name, seeds, f"at-{name}"
        self.disk, self.peer, self.generation = FaultyDisk(), None, 0
        self.up, self.paused, self.lying = False, False, []

    def start(self):
        fleet, now = self.fleet, self.fleet.now
        self.generation, self.up, self.paused, self.lying = self.generation + 1, True, False, []
        self.keeping = ReplicaStorage(self.disk, "/f")
        try:
            life = self.keeping.count_start() << 32 | fleet.chance.randrange(1 << 32)
            kept = self.keeping.load(now)
        except Crashed:
            return self.crash()
        except OSError:
            self.up = False  # without a start on disk it may not tell anything: it tries again
            return fleet.at(now + S, self._again)
        fleet.note(self.name, "life", life)
        self.peer = FleetNode(self.name, self.address, life, self.seeds, fleet.seed, now, **fleet.wanted)
        self.peer.load(kept.records.values(), kept.seen, now)
        fleet.note(self.name, "loaded", self.peer.replica.store.seen.as_ranges(), self.holds())
        self.done(self.peer.start(now))

    def _again(self):
        if not self.up:
            self.start()

    def holds(self):
        return {fact.key: fact.value for fact in self.peer.replica.store.held.values()}

    def crash(self):
        self.up, self.peer, self.lying = False, None, []
        self.disk = self.disk.after_crash()
        self.generation += 1
        self.fleet.note(self.name, "crash")
        self.fleet.resets(self)

    def told(self, key, value):
        before = self.peer.replica.counter
        actions = self.peer.on_own_record(key, value, self.fleet.now)
        fact = self.peer.replica.store.held.get(key)
        if fact is not None:
            self.fleet.note(self.name, "told", key, fact.value, self.peer.replica.counter > before)
        self.done(actions)

    def event(self, action, *given):
        """One event of this process; a crash at a disk call ends it there."""
        if self.up:
            self.done(action(*given))

    def done(self, actions):
        try:
            for action in actions:
                self._do(action)
        except Crashed:
            self.crash()
        if self.up:
            self.fleet.wake(self)

    def _do(self, action):
        fleet = self.fleet
        if (sent := outgoing(action)) is not None:
            name, address, message, _ = sent
            to = name if name in fleet.fronts else fleet.by_address.get(address or self._address(name))
            if isinstance(message, CatchUpMark) or isinstance(message, SeenReport) and not message.number:
                fleet.note(self.name, "says-seen", message.seen)
            if isinstance(message, SpreadRecords | TransferEnd):
                fleet.bytes += sum(
                    20 + len(str(f)) for f in (message.records if isinstance(message, SpreadRecords) else [])
                )
            if to is not None:
                fleet.send(self, to, message)
        match action:
            case PersistRecords():
                number, generation = action.number, self.generation
                fault = self.keeping.write(action.record)
                if fault is None:
                    fleet.note(self.name, "kept", [(f.key, f.value) for f in action.record[0]])
                    fleet.later(
                        int((0.5 + 3 * fleet.chance.random()) * MS), self, self._synced, number, generation
                    )
                else:
                    fleet.note(self.name, "not-kept", fault)
                    fleet.later(MS, self, self._not_kept, number, fault, generation)
            case RecordInForce():
                fleet.note(self.name, "acts", action.record.key, action.record.value)
            case RecordDiscarded():
                fleet.note(self.name, "let-go", action.record.key, action.record.value)
            case CaughtUp():
                fleet.note(
                    self.name,
                    "live",
                    action.how,
                    self.peer.replica.store.seen.as_ranges(),
                    {n: self.peer.replica.marks[n].as_ranges() for n in action.asked},
                    self.holds(),
                )
            case LogEvent():
                fleet.note(self.name, "note", action.event)
            case CheckPort(name, _, life):
                fleet.later(2 * MS, self, self._looked, name, life)
            case ViewChanged(view):
                fleet.note(
                    self.name,
                    "view",
                    view.number,
                    view.state.value,
                    view.share,
                    {name: row.health.name for name, row in view.rows.items()},
                )
            case MemberChanged():
                fleet.note(self.name, "stands", action.member.name, int(action.member.state))
            case NameConflict() | VersionConflict():
                alias = getattr(action, "alias", "")
                self._renew(getattr(action, "start_above", 0), alias, self.generation)

    def _renew(self, least, alias, generation):
        if generation != self.generation or not self.up:
            return
        try:
            start = self.keeping.count_start(least)
        except OSError:
            return self.fleet.later(S, self, self._renew, least, alias, generation)
        self.peer.renew(start, alias)
        self.fleet.note(self.name, "life", self.peer.members.own.incarnation)

    def _looked(self, name, life):
        """What a dial shows: nothing where it is cut off, and an open port where it stands still."""
        cut = self.fleet.network.cut
        there = self.fleet.fronts[name.partition("~")[0]].up
        if self.up and not there and not {(self.name, name), (name, self.name)} & cut:
            self.done(self.peer.on_connection_refused(name, life, self.fleet.now))

    def _address(self, name):
        member = self.peer.members.known.get(name)
        return member.address if member else None

    def _synced(self, number, generation):
        if generation != self.generation or not self.up:
            return
        self.done(self.peer.on_written(number, self.fleet.now))
        if self.up and self.keeping.needs_snapshot(LOG_MOST):
            self.snapshot()

    def _not_kept(self, number, fault, generation):
        if generation == self.generation and self.up:
            self.done(self.peer.on_write_failed(number, fault, self.fleet.now))
            self.fleet.later(S, self, self.snapshot)

    def snapshot(self):
        if not self.up:
            return
        try:
            if self.peer.replica.writing is not None:
                return
            fault = self.keeping.begin_snapshot()
            held, lives = self.peer.replica.begin_snapshot()
            if fault is None:
                pieces = [
                    encode_records(held[at : at + RECORDS_PER_PIECE])
                    for at in range(0, len(held), RECORDS_PER_PIECE)
                ]
                fault = self.keeping.finish_snapshot(lives, pieces, self.fleet.now)
            if fault is None and not self.peer.replica.is_disk_writable:
                self.fleet.note(self.name, "kept", [(f.key, f.value) for f in held])
                self.done(self.peer.replica.on_disk_recovered(lives, self.fleet.now))
        except Crashed:
            return self.crash()
        if fault is not None and not self.peer.replica.is_disk_writable:
            self.fleet.later(S, self, self.snapshot)


class Fleet:
    def __init__(self, size, seed, loss=0.0, twice=0.0, slow=0.0, **wanted):
        self.seed, self.chance, self.now, self.trace = seed, random.Random(seed), 0, []
        self.network, self.events, self.order = Network(self.chance, loss, twice, slow), [], count()
        self.wanted, self.bytes, self.armed, self.turns = wanted, 0, {}, {}
        names = [f"n{at}" for at in range(size)]
        self.by_address = {f"at-{name}": name for name in names}
        self.fronts = {name: Front(self, name, [f"at-{n}" for n in names[:3]]) for name in names}

    # What a schedule does.

    def start(self, *names):
        for name in names or self.fronts:
            self.fronts[name].start()

    def kill(self, name):
        if self.fronts[name].up:
            self.fronts[name].crash()

    def resets(self, ended):
        """Whoever had a link to that process finds it reset."""
        others = [
            f
            for f in self.fronts.values()
            if f is not ended and f.up and not {(f.name, ended.name), (ended.name, f.name)} & self.network.cut
        ]
        for other in self.chance.sample(others, min(LINKS, len(others))):
            self.later(MS, other, other.event, other.peer.on_connection_reset, ended.name, self.now + MS)

    def pause(self, name, on):
        front = self.fronts[name]
        front.paused = on and front.up
        self.note(name, "paused" if front.paused else "woken")
        if not on and front.up:
            lying, front.lying = front.lying, []
            for action, given in lying:
                if front.up:  # one of them may be the end of it
                    action(*given)
            if front.up:
                self.wake(front)

    def split(self, one, other, both=True):
        for a in one:
            for b in other:
                self.network.cut.add((a, b))
                if both:
                    self.network.cut.add((b, a))
        self.note("", "cut", sorted(c for c in self.network.cut if len(c) == 2))

    def heal(self):
        self.network.cut.clear()
        self.note("", "cut", [])

    def told(self, name, key, value):
        if self.fronts[name].up and not self.fronts[name].paused:
            self.fronts[name].told(key, value)

    def purged(self, name, number, at):
        self.told(name, ("purge", "object", number), (at,))

    def drained(self, name, server, state=SourceState.DRAINING, start=0, source="bus"):
        self.told(name, ("word", server, start, source, name), (int(state),))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, front, generation, action, given = heapq.heappop(self.events)
            self.now = max(self.now, at)
            if front is None:
                action(*given)
            elif front.up and (generation is None or generation == front.generation):
                if front.paused:
                    front.lying.append((action, given))
                    del front.lying[:-5000]
                else:
                    action(*given)
        self.now = max(self.now, until)

    def at(self, when, action, *given):
        """A step of the schedule."""
        heapq.heappush(self.events, (when, next(self.order), None, None, action, given))

    def dump(self):
        for name, front in self.fronts.items():
            if front.up:
                self.note(name, "dump", front.holds(), front.peer.replica.store.root())

    # What fronts do.

    def note(self, front, what, *more):
        self.trace.append((self.now, front, what, *more))

    def later(self, wait, front, action, *given):
        heapq.heappush(
            self.events, (self.now + wait, next(self.order), front, front.generation, action, given)
        )

    def send(self, front, to, message):
        for wait in self.network.fates(front.name, to, message):
            other = self.fronts[to]
            heapq.heappush(
                self.events,
                (
                    self.now + wait,
                    next(self.order),
                    other,
                    None,
                    self._comes,
                    (front.name, front.peer.members.own.name, other, message),
                ),
            )

    def _comes(self, sender, name, other, message):
        if other.up and other.peer is not None:
            other.event(other.peer.on_message, name, message, self.now)

    def wake(self, front):
        due = front.peer.next_deadline()
        if self.armed.get(front.name, (None, None)) != (front.generation, due):
            self.armed[front.name] = front.generation, due
            heapq.heappush(
                self.events,
                (max(due, self.now + 1), next(self.order), front, front.generation, self._due, (front, due)),
            )

    def _due(self, front, due):
        if self.armed.get(front.name) == (front.generation, due):
            self.armed.pop(front.name)
            second, times = self.turns.get(front.name, (0, 0))
            self.turns[front.name] = self.now // S, 1 + (times if second == self.now // S else 0)
            if times > TURNS_MOST:
                raise Spins(f"{front.name} is due without end at {self.now}")
            front.event(front.peer.on_timer, self.now)
