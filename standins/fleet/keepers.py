"""Simulate the voters of the replicated log with clocks, network and disks run by a seed; checkers of the trace.

python -m standins.fleet.keepers --seeds 200 --size 3
"""

import heapq
import random
import sys
from itertools import count

from sprucegate.fleet.consensus.actions import (
    ApplyEntries,
    LeadershipChanged,
    PersistState,
    ReadIndexReady,
    RestoreSnapshot,
    SendMessage,
)
from sprucegate.fleet.consensus.durability_check import (
    DurabilityCheck,
    PersistStarts,
    StartAnnouncement,
    StartConfirmation,
    StorageRolledBack,
    VotingAllowed,
    base_name,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration
from sprucegate.fleet.consensus.member_replacement import next_membership
from sprucegate.fleet.consensus.messages import RequestVoteResponse
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.random_source import RandomSource
from standins.fleet.schedules import run_seeds

MS, S = 1_000_000, 1_000_000_000
COMPACT = 30  # applied entries between snapshots: small, so that short schedules include some


class SimulatedVoter:
    """One voter's process and its disk: `disk` holds the synced records, `pending` those being written."""

    def __init__(self, world, name, config):
        self.world, self.name, self.config = world, name, config
        self.disk, self.pending, self.up, self.paused, self.generation = [], [], False, False, 0
        self.raft_node, self.state, self.deferred, self.full = None, [], [], False
        # Also on disk: its voter name, its count of starts, and the starts that it knows of others.
        self.known_as, self.starts, self.known, self.announced_at = name, 0, {}, {}

    def clock(self):
        return self.world.clock(self.name)

    def copy_folder(self):
        """Return a copy of the folder."""
        return self.known_as, self.starts, dict(self.known), list(self.disk)

    def restore_folder(self, copy):
        self.known_as, self.starts, self.known, self.disk = copy[0], copy[1], dict(copy[2]), list(copy[3])

    def start(self):
        self.generation, self.up, self.paused, self.pending, self.deferred = (
            self.generation + 1,
            True,
            False,
            [],
            [],
        )
        self.starts += 1
        others, incarnation = (
            [n for n in self.world.names if n != self.name],
            self.world.chance.getrandbits(32),
        )
        term, vote, snapshot, entries = 0, "", None, []
        for record in self.disk:
            term, vote = record.term, record.voted_for
            if record.snapshot is not None:
                snapshot, entries = record.snapshot, []
            elif record.truncate_from:
                entries = [e for e in entries if e.index < record.truncate_from]
            entries += record.entries
        self.durability = DurabilityCheck(
            self.known_as, self.starts, incarnation, others, self.known, self.clock(), never_voted=term == 0
        )
        chance = RandomSource(self.name, self.world.seed + self.generation)
        config = self.config if self.known_as == self.name else ClusterConfiguration((), ())
        self.raft_node = RaftNode(self.known_as, config, chance, self.clock())
        self.raft_node.load(term, vote, snapshot, entries)
        self.install_state(0, snapshot[3] if snapshot is not None else [])
        self.world.note(self.name, "start", self.known_as, self.starts, incarnation, term == 0)
        self.execute([])

    def crash(self, chance):
        """End the process; a random prefix of the pending writes, none of them acknowledged, reaches the disk."""
        self.disk += self.pending[: chance.randrange(len(self.pending) + 1)]
        self.up, self.pending, self.raft_node = False, [], None
        self.generation += 1
        self.world.note(self.name, "crash")

    def event(self, action, *given):
        if not self.up:
            return
        if self.paused:
            self.deferred.append((action, given))
            return
        self.execute(action(*given))

    def execute(self, actions):
        world = self.world
        for action in actions:
            match action:
                case StorageRolledBack():
                    world.note(self.name, "put-back", action.name)
                    self.crash(world.chance)
                    self.known_as, self.starts, self.known, self.disk = action.name, 0, {}, []
                    return self.start()
                case VotingAllowed():
                    world.note(self.name, "fit", self.known_as)
                case PersistStarts():
                    world.later(MS, self, self._on_starts_synced, self.generation, action)
                case SendMessage():
                    if (
                        isinstance(action.message, RequestVoteResponse)
                        and action.message.vote_granted
                        and not action.message.pre_vote
                    ):
                        world.note(self.raft_node.name, "votes", action.message.term, action.to)
                    world.send(self.raft_node.name, action.to, action.message)
                case PersistState():
                    self.pending.append(action)
                    if self.full:
                        world.later(MS, self, self._on_write_failed, self.generation)
                    else:
                        world.later(
                            int((0.2 + 3 * world.chance.random()) * MS),
                            self,
                            self._synced,
                            self.generation,
                            action.number,
                        )
                case ApplyEntries():
                    for entry in action.entries:
                        world.note(self.name, "applies", entry.index, entry.term, entry.data)
                    self.apply_entries(action.entries)
                case RestoreSnapshot():
                    self.install_state(action.index, action.state)
                    world.note(self.name, "installs", action.index)
                case LeadershipChanged():
                    name = self.raft_node.name
                    world.note(name, "leads" if action.is_leader else "leads-no-more", action.term)
                    self.on_leadership_changed(action.is_leader)
                    if action.is_leader:
                        world.note(name, "votes", action.term, name)
                case ReadIndexReady():
                    world.note(self.name, "current", action.token, action.index)
        raft_node = self.raft_node
        if raft_node.last_applied - raft_node.log.base_index >= COMPACT:
            return self.execute(raft_node.compact_log(raft_node.last_applied, self.encoded_state()))
        world.wake(self)

    # The replicated state machine: here a list of all applied entries.

    def apply_entries(self, entries):
        self.state += [entry.data for entry in entries]

    def install_state(self, index, state):
        self.state = list(state)

    def encoded_state(self):
        return list(self.state)

    def on_leadership_changed(self, on):
        pass

    def receive(self, sender, to, message):
        if isinstance(message, StartAnnouncement | StartConfirmation):
            if isinstance(message, StartAnnouncement):
                self.announced_at[sender] = self.clock()
            return self.durability.on_message(sender, message, self.clock())
        if not self.durability.may_vote or to != self.raft_node.name:
            return []  # addressed to the name it had before its storage was rolled back
        return self.raft_node.on_message(sender, message, self.clock())

    def _synced(self, generation, number):
        if generation != self.generation or not self.up:
            return []
        while self.pending and self.pending[0].number <= number:
            self.disk.append(self.pending.pop(0))
        return self.raft_node.on_persisted(number, self.clock())

    def _on_starts_synced(self, generation, action):
        if generation != self.generation or not self.up or self.full:
            return []
        self.known = action.known_starts
        self.world.note(self.name, "knows", action.known_starts)
        return self.durability.on_persisted(action.number, self.clock())

    def due(self):
        """Run the timers: the durability check, Raft, and as leader the replacement of voters that rejoin renamed."""
        now, raft_node = self.clock(), self.raft_node
        emitted = self.durability.on_timer(now, raft_node.name in raft_node.configuration().voters)
        if not self.durability.may_vote:
            return emitted
        if raft_node.next_deadline() <= now:
            emitted += raft_node.on_timer(now)
            names = {base_name(name) for name in raft_node.configuration().voters}
            if (step := next_membership(raft_node, self.announced_at, names, now)) is not None:
                index, actions = raft_node.change_membership(*step, now)
                if index:
                    self.world.note(raft_node.name, "changes", index, step)
                emitted += actions
        return emitted

    def earliest_deadline(self):
        due = self.durability.next_deadline(self.raft_node.name in self.raft_node.configuration().voters)
        return min(self.raft_node.next_deadline(), due) if self.durability.may_vote else due

    def _on_write_failed(self, generation):
        return (
            self.raft_node.on_persist_failed(self.clock())
            if generation == self.generation and self.up
            else []
        )


class World:
    process_class = SimulatedVoter

    def __init__(self, size, seed, loss=0.0, spare=0, clock_drift=0.0):
        # `clock_drift`: largest relative drift of a process's clock from true time.
        self.clock_drift, self.clocks, self.clock_random = clock_drift, {}, random.Random(seed + 1)
        self.seed, self.chance, self.now, self.trace, self.loss = seed, random.Random(seed), 0, [], loss
        self.events, self.sequence, self.cut, self.armed_timers = [], count(), set(), {}
        names = self.names = [f"k{at}" for at in range(size + spare)]
        first = ClusterConfiguration(tuple(names[:size]), ())
        self.boxes = {
            name: self.process_class(self, name, first if at < size else ClusterConfiguration((), ()))
            for at, name in enumerate(names)
        }
        self.numbers = count(1)

    def clock(self, name):
        """Return the reading of a process's clock; with `clock_drift` each clock has its own rate and offset."""
        if not self.clock_drift:
            return self.now
        rate, offset = self.clocks.setdefault(
            name,
            (
                1 + self.clock_drift * (2 * self.clock_random.random() - 1),
                self.clock_random.randrange(1000 * S),
            ),
        )
        return int(self.now * rate) + offset

    def when(self, name, due):
        """Return the approximate true time at which that clock shows `due`."""
        return (
            self.now + int((due - self.clock(name)) / self.clocks[name][0]) + 1 if self.clock_drift else due
        )

    def note(self, name, what, *more):
        self.trace.append((self.now, name, what, *more))

    def later(self, wait, box, action, *given):
        heapq.heappush(self.events, (self.now + wait, next(self.sequence), box.event, (action, *given)))

    def at(self, when, action, *given):
        heapq.heappush(self.events, (when, next(self.sequence), action, given))

    def send(self, sender, to, message):
        if (base_name(sender), base_name(to)) in self.cut or base_name(to) not in self.boxes:
            return
        for _ in range(2 if self.chance.random() < self.loss / 3 else 1):
            if self.chance.random() >= self.loss:
                wait = 1 + 4 * self.chance.random() + (200 if self.chance.random() < self.loss / 3 else 0)
                heapq.heappush(
                    self.events,
                    (self.now + int(wait * MS), next(self.sequence), self._deliver, (sender, to, message)),
                )

    def _deliver(self, sender, to, message):
        box = self.boxes[base_name(to)]
        if box.up:
            # As a call with late binding: a paused process handles the message with its clock at the resume.
            box.event(box.receive, sender, to, message)

    def wake(self, box):
        due = box.earliest_deadline()
        if self.armed_timers.get(box.name) != (box.generation, due):
            self.armed_timers[box.name] = box.generation, due
            at = max(self.when(box.name, due), self.now + 1)
            heapq.heappush(self.events, (at, next(self.sequence), self._due, (box, box.generation, due)))

    def _due(self, box, generation, due):
        if box.up and self.armed_timers.get(box.name) == (generation, due):
            self.armed_timers.pop(box.name)
            box.event(box.due)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, action, given = heapq.heappop(self.events)
            self.now = max(self.now, at)
            action(*given)
        self.now = max(self.now, until)

    # Steps of a schedule.

    def leaders(self):
        return [
            box
            for box in self.boxes.values()
            if box.up and not box.paused and box.raft_node.role.name == "LEADER"
        ]

    def propose(self):
        for box in self.leaders():
            number = next(self.numbers)
            index, actions = box.raft_node.propose(number, box.clock())
            if index:
                self.note(box.name, "proposes", index, box.raft_node.current_term, number)
            box.execute(actions)

    def read(self):
        for box in self.leaders():
            token = next(self.numbers)
            self.note(box.name, "asks", token)
            box.execute(box.raft_node.read_index(token, box.clock()))

    def pause(self, name, on):
        box = self.boxes[name]
        if on and box.up:
            box.paused = True
            self.note(name, "pauses")
        elif not on and box.paused:
            box.paused = False
            if box.up:
                self.note(name, "wakes")
            deferred, box.deferred = box.deferred, []
            for action, given in deferred:
                box.event(action, *given)

    def partition(self, pairs):
        """Cut off those (from, to) pairs in addition to the present ones; an empty argument heals all."""
        self.cut = self.cut | set(pairs) if pairs else set()
        self.note("", "cut", sorted(self.cut))

    def set_disk_full(self, name, on):
        self.boxes[name].full = on
        self.note(name, "full" if on else "room")

    def restart(self, name):
        if not self.boxes[name].up:
            self.boxes[name].start()

    def step_membership(self):
        """Propose the next step of a membership change: add a spare as learner, promote it, remove a voter."""
        for box in self.leaders():
            config = box.raft_node.configuration()
            spare = [n for n in self.boxes if n not in config.voters]
            learners = [n for n in config.learners if n not in config.voters]
            if learners and len(config.voters) <= 3:
                step = (*config.voters, learners[0]), ()
            elif len(config.voters) > 3:
                gone = self.chance.choice([n for n in config.voters])
                step = tuple(n for n in config.voters if n != gone), ()
            elif spare:
                step = config.voters, (self.chance.choice(spare),)
            else:
                continue
            index, actions = box.raft_node.change_membership(*step, box.clock())
            if index:
                self.note(box.name, "changes", index, step)
            box.execute(actions)


def play_schedule(seed, size=3, loss=0.0, span=12 * S, spare=0, back=0, clock_drift=0.0):
    """Play a schedule of faults, then time to settle, and return the world.

    With `back` one voter's folder is restored from a copy, while another voter is down for a part of that time.
    """
    world = World(size, seed, loss, spare, clock_drift)
    chance = random.Random(seed * 31 + size)
    names, may_restore = list(world.boxes), True
    for box in world.boxes.values():
        box.start()
    for at in range(0, span, 40 * MS):
        world.at(at + int(chance.random() * 40 * MS), world.propose)
        if chance.random() < 0.3:
            world.at(at, world.read)
    if back:
        may_restore, when, duration = False, S + int(chance.random() * span), int(chance.random() * 3 * S)
        one, other = chance.sample(names, 2)
        _schedule_restore(world, one, when, duration)
        down = when + int(chance.random() * duration)
        world.at(down, lambda: world.boxes[other].crash(chance) if world.boxes[other].up else None)
        world.at(down + int(chance.random() * 2 * S), world.restart, other)
    for _ in range(chance.randrange(2, 9)):
        when, duration, name = (
            S + int(chance.random() * span),
            int(chance.random() * 3 * S),
            chance.choice(names),
        )
        what = chance.choice(
            ("kill", "kill-leader", "pause", "split", "one-way", "move", "change", "full", "put-back")
        )
        if what == "put-back" and may_restore:
            may_restore = False  # two restored folders at a time are outside the guarantee
            _schedule_restore(world, name, when, duration)
        if what == "kill":
            world.at(when, lambda n=name: world.boxes[n].crash(chance) if world.boxes[n].up else None)
            world.at(when + duration, world.restart, name)
        elif what == "kill-leader":

            def kill(duration=duration):
                for box in world.leaders()[:1]:
                    box.crash(chance)
                    world.at(world.now + duration, world.restart, box.name)

            world.at(when, kill)
        elif what == "pause":
            world.at(when, world.pause, name, True)
            world.at(when + duration, world.pause, name, False)
        elif what in ("split", "one-way"):
            side = chance.sample(names, chance.randrange(1, len(names)))
            cut = {(a, b) for a in side for b in names if b not in side}
            world.at(when, world.partition, cut | ({(b, a) for a, b in cut} if what == "split" else set()))
            world.at(when + duration, world.partition, ())
        elif what == "move":
            world.at(
                when,
                lambda n=name: [
                    b.execute(b.raft_node.transfer_leadership(n, b.clock())) for b in world.leaders()
                ],
            )
        elif what == "change" and spare:
            for step in range(6):
                world.at(when + step * 400 * MS, world.step_membership)
        elif what == "full":
            world.at(when, world.set_disk_full, name, True)
            world.at(when + duration, world.set_disk_full, name, False)
            world.at(when + duration + 1, lambda n=name: world.boxes[n].up and world.boxes[n].crash(chance))
            world.at(when + duration + 2, world.restart, name)
    world.run(span + 4 * S)
    world.partition(())
    world.loss = 0.0
    for name, box in world.boxes.items():
        world.set_disk_full(name, False)
        world.pause(name, False)
        if box.up and box.raft_node.storage_failed:
            box.crash(chance)
        world.restart(name)
    world.run(world.now + 4 * S)
    world.propose()
    world.run(world.now + 2 * S)
    # From the leader's configuration: a voter removed while it was away doesn't know of its removal.
    voters = {name for box in world.leaders() for name in box.raft_node.configuration().voters}
    world.note("", "voters", sorted(voters))
    for box in world.boxes.values():
        if (name := box.known_as) in voters:
            world.note(name, "dump", box.raft_node.last_applied, list(box.state))
    return world


def _schedule_restore(world, name, when, duration):
    """Copy a voter's folder, and later crash the voter and restore its folder from the copy or empty it."""
    box, copies = world.boxes[name], []
    world.at(when, lambda: copies.append(box.copy_folder()))

    def back():
        if box.up:
            box.crash(world.chance)
        box.restore_folder(copies[0] if world.chance.random() < 0.7 else (box.name, 0, {}, []))
        world.note(name, "folder-put-back")

    # One start in between, so that the others know of a start that is not in the copy.
    world.at(when + duration // 2, lambda: box.crash(world.chance) if box.up else None)
    world.at(when + duration // 2 + 1, world.restart, name)
    world.at(when + duration + S // 2, back)
    world.at(when + duration + S // 2 + 1, world.restart, name)


# Checkers; each reads only the trace.


def two_leaders(trace):
    """A term has at most one leader."""
    leader_of_term, found = {}, []
    for at, name, what, *more in trace:
        if what == "leads" and leader_of_term.setdefault(more[0], name) != name:
            found.append(f"{at} {name} leads term {more[0]}, which {leader_of_term[more[0]]} already led")
    return found


def votes_twice(trace):
    """A voter grants one vote a term, across crashes and restarts."""
    given, found = {}, []
    for at, name, what, *more in trace:
        if what == "votes" and given.setdefault((name, more[0]), more[1]) != more[1]:
            found.append(
                f"{at} {name} votes for {more[1]} in term {more[0]}, after a vote for {given[name, more[0]]}"
            )
    return found


def applied_apart(trace):
    """All voters apply the same entry at an index, at any time: a committed entry is never lost or replaced."""
    applied, found = {}, []
    for at, name, what, *more in trace:
        if what == "applies" and applied.setdefault(more[0], tuple(more[1:])) != tuple(more[1:]):
            found.append(
                f"{at} {name} applies {more[1:]} at index {more[0]}, where {applied[more[0]]} was applied before"
            )
    return found


def lost(trace):
    """At the end every voter's state has all entries that any voter ever applied, in the order of the log."""
    applied = {more[0]: more[2] for _, _, what, *more in trace if what == "applies"}
    wanted = [applied[index] for index in sorted(applied)]
    if not any(what == "dump" for _, _, what, *_ in trace):
        return ["no leader at the end"]
    return [
        f"{name} ends with {len(more[1])} of {len(wanted)} entries"
        for _, name, what, *more in trace
        if what == "dump" and more[1] != wanted
    ]


def stale_reads(trace):
    """A linearizable read sees all that any voter had applied before the read was requested."""
    top, asked, found = 0, {}, []
    for at, name, what, *more in trace:
        if what == "applies":
            top = max(top, more[0])
        elif what == "asks":
            asked[more[0]] = top
        elif what == "current" and 0 <= more[1] < asked[more[0]]:
            found.append(
                f"{at} {name} reads at index {more[1]}, but {asked[more[0]]} was applied before the request"
            )
    return found


class Connectivity:
    """Which processes can exchange messages, and since when, at the present point of a trace."""

    def __init__(self):
        self.since, self.cut, self.healed, self.full = {}, set(), {}, {}

    def observe(self, at, name, what, more):
        if what in ("start", "wakes"):
            self.since[name] = at
        elif what in ("crash", "pauses"):
            self.since.pop(name, None)
        elif what == "cut":
            self.healed.update(dict.fromkeys(self.cut - {tuple(one) for one in more[0]}, at))
            self.cut = {tuple(one) for one in more[0]}
        elif what in ("full", "room"):
            self.full[name] = at if what == "room" else 1 << 62

    def connected_since(self, one, other):
        """Return since when both have been up, with free disk and connected both ways; None if they are not now."""
        ways = {(one, other), (other, one)}
        if self.cut & ways or one not in self.since or other not in self.since:
            return None
        return max(
            self.since[one],
            self.since[other],
            *(self.healed.get(way, 0) for way in ways),
            self.full.get(one, 0),
            self.full.get(other, 0),
        )


def fit_though_known(trace):
    """A voter may not vote under a name if another, reachable since its start, knows an equal or later start of it."""
    connectivity, known, began, found = Connectivity(), {}, {}, []
    for at, name, what, *more in trace:
        connectivity.observe(at, name, what, more)
        if what == "start":
            began[name] = at, more
        elif what == "knows":
            for other, one in more[0].items():
                known.setdefault((name, other), []).append((at, tuple(one)))
        elif what == "fit":
            start_time, (own, start, incarnation, _) = began[name]
            for other in began:
                since = connectivity.connected_since(name, other) if other != name else None
                late = [
                    one
                    for when, one in known.get((other, own), ())
                    if when <= start_time and one[0] >= start and one != (start, incarnation)
                ]
                if late and since is not None and since <= start_time:
                    found.append(f"{at} {own} may vote in its start {start}, but {other} knows {late[-1]}")
    return found


def majority_waits(trace):
    """A voter with earlier votes that can reach half of the others may vote, or rejoins renamed, within 2 s."""
    connectivity, began, found, restored = Connectivity(), {}, [], set()
    names = sorted({name for _, name, what, *_ in trace if what == "start"})
    for at, name, what, *more in trace:
        for one, (since, size) in list(began.items()):
            heard = [
                connectivity.connected_since(one, other)
                for other in names
                if other != one and other not in restored
            ]
            from_then = sorted(max(since, first) for first in heard if first is not None)
            if len(from_then) >= size // 2 and at - from_then[size // 2 - 1] > 2 * S:
                found.append(
                    f"{at} {one} may not vote yet, but reaches half of the others since {from_then[size // 2 - 1]}"
                )
                del began[one]
        connectivity.observe(at, name, what, more)
        if what == "folder-put-back":
            restored.add(name)
        elif what in ("fit", "crash", "put-back"):
            began.pop(name, None)
        elif what == "start" and not more[3]:
            began[name] = at, len(names)
    return found


ALL = (two_leaders, votes_twice, applied_apart, lost, stale_reads, fit_though_known, majority_waits)


def votes_put_back(trace):
    """Return whether a voter with a restored folder could vote under its old name, as no voter that knew a later start
    was reachable."""
    back = set()
    for _, name, what, *_ in trace:
        if what == "folder-put-back":
            back.add(name)
        elif what == "put-back":
            back.discard(name)
        elif what == "fit" and name in back:
            return True
    return False


def find_violations(trace):
    """Return (checker, text) for each violation.

    If a voter with a restored folder could vote, Raft's own guarantees don't hold and are not checked.
    """
    checks = (fit_though_known, majority_waits) if votes_put_back(trace) else ALL
    return [(check.__name__, text) for check in checks for text in check(trace)]


if __name__ == "__main__":
    sys.exit(
        run_seeds(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: find_violations(
                play_schedule(
                    seed,
                    wanted.size,
                    wanted.loss,
                    spare=wanted.spare,
                    back=wanted.back,
                    clock_drift=wanted.apart,
                ).trace
            ),
            size=3,
            spare=0,
            back=0,
            apart=0.0,
        )
    )
