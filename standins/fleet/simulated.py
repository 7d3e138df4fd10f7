"""Simulate whole fleets in one process: the fronts' decision modules with a clock, a network and disks run by a seed.

Each event is appended to `trace` as a tuple (time, front, what, ...); the checkers read nothing else.
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
SNAPSHOT_LOG_BYTES = 20_000  # small, so that schedules of a few seconds include snapshots
TIMER_RUNS_MAX = 5000  # timer runs of one front in one second of simulated time
LINKS_MAX = 12  # other fronts to which one front has a link


class EndlessTimer(Exception):
    """A front's timer is due again at once without end; in service that would use a whole core."""


class Network:
    """The network: delays, losses, duplicates, reordering and partitions, all by one random stream."""

    def __init__(self, chance, loss=0.0, twice=0.0, slow=0.0):
        self.chance, self.loss, self.twice, self.slow = chance, loss, twice, slow
        # `cut`: directed pairs (a, b) that are cut off, or (a, b, kind) for one kind of message.
        self.cut, self.bytes, self.frames = (
            set(),
            0,
            0,
        )

    def delays(self, sender, to, message):
        """Return the delay of each copy of a message in ns; no entry if it is lost."""
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
    """One front's process; its disk survives the crash of the process."""

    def __init__(self, fleet, name, seeds):
        self.fleet, self.name, self.seeds, self.address = fleet, name, seeds, f"at-{name}"
        self.disk, self.peer, self.generation = FaultyDisk(), None, 0
        self.up, self.paused, self.deferred = False, False, []

    def start(self):
        fleet, now = self.fleet, self.fleet.now
        self.generation, self.up, self.paused, self.deferred = self.generation + 1, True, False, []
        self.storage = ReplicaStorage(self.disk, "/f")
        try:
            life = self.storage.count_start() << 32 | fleet.chance.randrange(1 << 32)
            loaded = self.storage.load(now)
        except Crashed:
            return self.crash()
        except OSError:
            self.up = False  # it must not send anything before its start count is on disk; retries
            return fleet.at(now + S, self._retry_start)
        fleet.note(self.name, "life", life)
        self.peer = FleetNode(
            self.name, self.address, life, self.seeds, fleet.seed, now, **fleet.node_options
        )
        self.peer.load(loaded.records.values(), loaded.seen, now)
        fleet.note(self.name, "loaded", self.peer.replica.store.seen.as_ranges(), self.holds())
        self.execute(self.peer.start(now))

    def _retry_start(self):
        if not self.up:
            self.start()

    def holds(self):
        return {fact.key: fact.value for fact in self.peer.replica.store.held.values()}

    def crash(self):
        self.up, self.peer, self.deferred = False, None, []
        self.disk = self.disk.after_crash()
        self.generation += 1
        self.fleet.note(self.name, "crash")
        self.fleet.reset_links(self)

    def record_fact(self, key, value):
        before = self.peer.replica.counter
        actions = self.peer.on_own_record(key, value, self.fleet.now)
        fact = self.peer.replica.store.held.get(key)
        if fact is not None:
            self.fleet.note(self.name, "told", key, fact.value, self.peer.replica.counter > before)
        self.execute(actions)

    def event(self, action, *given):
        """Run one event of this process; a simulated crash at a disk call ends the event there."""
        if self.up:
            self.execute(action(*given))

    def execute(self, actions):
        try:
            for action in actions:
                self._execute(action)
        except Crashed:
            self.crash()
        if self.up:
            self.fleet.wake(self)

    def _execute(self, action):
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
                fault = self.storage.write(action.record)
                if fault is None:
                    fleet.note(self.name, "kept", [(f.key, f.value) for f in action.record[0]])
                    fleet.later(
                        int((0.5 + 3 * fleet.chance.random()) * MS), self, self._on_synced, number, generation
                    )
                else:
                    fleet.note(self.name, "not-kept", fault)
                    fleet.later(MS, self, self._on_write_failed, number, fault, generation)
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
                fleet.later(2 * MS, self, self._on_port_checked, name, life)
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
            start = self.storage.count_start(least)
        except OSError:
            return self.fleet.later(S, self, self._renew, least, alias, generation)
        self.peer.renew(start, alias)
        self.fleet.note(self.name, "life", self.peer.members.own.incarnation)

    def _on_port_checked(self, name, life):
        """Simulate a check of a member's port: a connection is refused only if its process is down.

        A paused process still has its port open; a partition gives no answer at all.
        """
        cut = self.fleet.network.cut
        there = self.fleet.fronts[name.partition("~")[0]].up
        if self.up and not there and not {(self.name, name), (name, self.name)} & cut:
            self.execute(self.peer.on_connection_refused(name, life, self.fleet.now))

    def _address(self, name):
        member = self.peer.members.known.get(name)
        return member.address if member else None

    def _on_synced(self, number, generation):
        if generation != self.generation or not self.up:
            return
        self.execute(self.peer.on_written(number, self.fleet.now))
        if self.up and self.storage.needs_snapshot(SNAPSHOT_LOG_BYTES):
            self.snapshot()

    def _on_write_failed(self, number, fault, generation):
        if generation == self.generation and self.up:
            self.execute(self.peer.on_write_failed(number, fault, self.fleet.now))
            self.fleet.later(S, self, self.snapshot)

    def snapshot(self):
        if not self.up:
            return
        try:
            if self.peer.replica.writing is not None:
                return
            fault = self.storage.begin_snapshot()
            held, lives = self.peer.replica.begin_snapshot()
            if fault is None:
                pieces = [
                    encode_records(held[at : at + RECORDS_PER_PIECE])
                    for at in range(0, len(held), RECORDS_PER_PIECE)
                ]
                fault = self.storage.finish_snapshot(lives, pieces, self.fleet.now)
            if fault is None and not self.peer.replica.is_disk_writable:
                self.fleet.note(self.name, "kept", [(f.key, f.value) for f in held])
                self.execute(self.peer.replica.on_disk_recovered(lives, self.fleet.now))
        except Crashed:
            return self.crash()
        if fault is not None and not self.peer.replica.is_disk_writable:
            self.fleet.later(S, self, self.snapshot)


class Fleet:
    def __init__(self, size, seed, loss=0.0, twice=0.0, slow=0.0, **node_options):
        self.seed, self.chance, self.now, self.trace = seed, random.Random(seed), 0, []
        self.network, self.events, self.sequence = Network(self.chance, loss, twice, slow), [], count()
        self.node_options, self.bytes, self.armed_timers, self.timer_runs = node_options, 0, {}, {}
        names = [f"n{at}" for at in range(size)]
        self.by_address = {f"at-{name}": name for name in names}
        self.fronts = {name: Front(self, name, [f"at-{n}" for n in names[:3]]) for name in names}

    # Steps of a schedule.

    def start(self, *names):
        for name in names or self.fronts:
            self.fronts[name].start()

    def kill(self, name):
        if self.fronts[name].up:
            self.fronts[name].crash()

    def reset_links(self, ended):
        """Reset the links of up to LINKS_MAX other fronts to a process that has ended."""
        others = [
            f
            for f in self.fronts.values()
            if f is not ended and f.up and not {(f.name, ended.name), (ended.name, f.name)} & self.network.cut
        ]
        for other in self.chance.sample(others, min(LINKS_MAX, len(others))):
            self.later(MS, other, other.event, other.peer.on_connection_reset, ended.name, self.now + MS)

    def pause(self, name, on):
        front = self.fronts[name]
        front.paused = on and front.up
        self.note(name, "paused" if front.paused else "woken")
        if not on and front.up:
            deferred, front.deferred = front.deferred, []
            for action, given in deferred:
                if front.up:  # one of them may crash it
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

    def record_fact(self, name, key, value):
        if self.fronts[name].up and not self.fronts[name].paused:
            self.fronts[name].record_fact(key, value)

    def purge(self, name, number, at):
        self.record_fact(name, ("purge", "object", number), (at,))

    def drain(self, name, server, state=SourceState.DRAINING, start=0, source="bus"):
        self.record_fact(name, ("word", server, start, source, name), (int(state),))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, front, generation, action, given = heapq.heappop(self.events)
            self.now = max(self.now, at)
            if front is None:
                action(*given)
            elif front.up and (generation is None or generation == front.generation):
                if front.paused:
                    front.deferred.append((action, given))
                    del front.deferred[:-5000]
                else:
                    action(*given)
        self.now = max(self.now, until)

    def at(self, when, action, *given):
        """Schedule a step at time `when`."""
        heapq.heappush(self.events, (when, next(self.sequence), None, None, action, given))

    def dump(self):
        for name, front in self.fronts.items():
            if front.up:
                self.note(name, "dump", front.holds(), front.peer.replica.store.root())

    # Called by fronts.

    def note(self, front, what, *more):
        self.trace.append((self.now, front, what, *more))

    def later(self, wait, front, action, *given):
        heapq.heappush(
            self.events, (self.now + wait, next(self.sequence), front, front.generation, action, given)
        )

    def send(self, front, to, message):
        for wait in self.network.delays(front.name, to, message):
            other = self.fronts[to]
            heapq.heappush(
                self.events,
                (
                    self.now + wait,
                    next(self.sequence),
                    other,
                    None,
                    self._deliver,
                    (front.name, front.peer.members.own.name, other, message),
                ),
            )

    def _deliver(self, sender, name, other, message):
        if other.up and other.peer is not None:
            other.event(other.peer.on_message, name, message, self.now)

    def wake(self, front):
        due = front.peer.next_deadline()
        if self.armed_timers.get(front.name, (None, None)) != (front.generation, due):
            self.armed_timers[front.name] = front.generation, due
            heapq.heappush(
                self.events,
                (
                    max(due, self.now + 1),
                    next(self.sequence),
                    front,
                    front.generation,
                    self._due,
                    (front, due),
                ),
            )

    def _due(self, front, due):
        if self.armed_timers.get(front.name) == (front.generation, due):
            self.armed_timers.pop(front.name)
            second, times = self.timer_runs.get(front.name, (0, 0))
            self.timer_runs[front.name] = self.now // S, 1 + (times if second == self.now // S else 0)
            if times > TIMER_RUNS_MAX:
                raise EndlessTimer(f"{front.name} has a timer that is due without end at {self.now}")
            front.event(front.peer.on_timer, self.now)
