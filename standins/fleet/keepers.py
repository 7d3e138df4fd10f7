"""Keepers of the agreed log under a time, a network and disks by seed, and checkers that read their trace alone.

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
from standins.fleet.schedules import reported

MS, S = 1_000_000, 1_000_000_000
COMPACT = 30  # entries after which a keeper makes a snapshot: small, so that schedules have some


class Box:
    """One keeper's process and its disk: records that are synced, and those that are being written."""

    def __init__(self, world, name, config):
        self.world, self.name, self.config = world, name, config
        self.disk, self.pending, self.up, self.paused, self.generation = [], [], False, False, 0
        self.keeper, self.state, self.lying, self.full = None, [], [], False
        # Who it is, its starts and those of others that it keeps: on its disk as well.
        self.known_as, self.starts, self.known, self.newcomers = name, 0, {}, {}

    def clock(self):
        return self.world.clock(self.name)

    def copied(self):
        """The folder as it is now."""
        return self.known_as, self.starts, dict(self.known), list(self.disk)

    def put_back(self, copy):
        self.known_as, self.starts, self.known, self.disk = copy[0], copy[1], dict(copy[2]), list(copy[3])

    def start(self):
        self.generation, self.up, self.paused, self.pending, self.lying = (
            self.generation + 1,
            True,
            False,
            [],
            [],
        )
        self.starts += 1
        others, being = [n for n in self.world.names if n != self.name], self.world.chance.getrandbits(32)
        term, vote, snapshot, entries = 0, "", None, []
        for record in self.disk:
            term, vote = record.term, record.voted_for
            if record.snapshot is not None:
                snapshot, entries = record.snapshot, []
            elif record.truncate_from:
                entries = [e for e in entries if e.index < record.truncate_from]
            entries += record.entries
        self.fitness = DurabilityCheck(
            self.known_as, self.starts, being, others, self.known, self.clock(), never_voted=term == 0
        )
        chance = RandomSource(self.name, self.world.seed + self.generation)
        config = self.config if self.known_as == self.name else ClusterConfiguration((), ())
        self.keeper = RaftNode(self.known_as, config, chance, self.clock())
        self.keeper.load(term, vote, snapshot, entries)
        self.installs(0, snapshot[3] if snapshot is not None else [])
        self.world.note(self.name, "start", self.known_as, self.starts, being, term == 0)
        self.done([])

    def crash(self, chance):
        """What was being written may be there up to some record; nothing of it was promised."""
        self.disk += self.pending[: chance.randrange(len(self.pending) + 1)]
        self.up, self.pending, self.keeper = False, [], None
        self.generation += 1
        self.world.note(self.name, "crash")

    def event(self, action, *given):
        if not self.up:
            return
        if self.paused:
            self.lying.append((action, given))
            return
        self.done(action(*given))

    def done(self, actions):
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
                    world.later(MS, self, self._known, self.generation, action)
                case SendMessage():
                    if (
                        isinstance(action.message, RequestVoteResponse)
                        and action.message.vote_granted
                        and not action.message.pre_vote
                    ):
                        world.note(self.keeper.name, "votes", action.message.term, action.to)
                    world.send(self.keeper.name, action.to, action.message)
                case PersistState():
                    self.pending.append(action)
                    if self.full:
                        world.later(MS, self, self._not_kept, self.generation)
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
                    self.applies(action.entries)
                case RestoreSnapshot():
                    self.installs(action.index, action.state)
                    world.note(self.name, "installs", action.index)
                case LeadershipChanged():
                    name = self.keeper.name
                    world.note(name, "leads" if action.is_leader else "leads-no-more", action.term)
                    self.leads(action.is_leader)
                    if action.is_leader:
                        world.note(name, "votes", action.term, name)
                case ReadIndexReady():
                    world.note(self.name, "current", action.token, action.index)
        keeper = self.keeper
        if keeper.last_applied - keeper.log.base_index >= COMPACT:
            return self.done(keeper.compact_log(keeper.last_applied, self.whole()))
        world.wake(self)

    # The machine that the log drives: here a list of all that was applied.

    def applies(self, entries):
        self.state += [entry.data for entry in entries]

    def installs(self, index, state):
        self.state = list(state)

    def whole(self):
        return list(self.state)

    def leads(self, on):
        pass

    def comes(self, sender, to, message):
        if isinstance(message, StartAnnouncement | StartConfirmation):
            if isinstance(message, StartAnnouncement):
                self.newcomers[sender] = self.clock()
            return self.fitness.on_message(sender, message, self.clock())
        if not self.fitness.may_vote or to != self.keeper.name:
            return []  # what its former self was told is not its own
        return self.keeper.on_message(sender, message, self.clock())

    def _synced(self, generation, number):
        if generation != self.generation or not self.up:
            return []
        while self.pending and self.pending[0].number <= number:
            self.disk.append(self.pending.pop(0))
        return self.keeper.on_persisted(number, self.clock())

    def _known(self, generation, action):
        if generation != self.generation or not self.up or self.full:
            return []
        self.known = action.known_starts
        self.world.note(self.name, "knows", action.known_starts)
        return self.fitness.on_persisted(action.number, self.clock())

    def due(self):
        """What it says by itself: it asks whether it may vote; as a leader it takes in who came back as another."""
        now, keeper = self.clock(), self.keeper
        done = self.fitness.on_timer(now, keeper.name in keeper.configuration().voters)
        if not self.fitness.may_vote:
            return done
        if keeper.next_deadline() <= now:
            done += keeper.on_timer(now)
            names = {base_name(name) for name in keeper.configuration().voters}
            if (step := next_membership(keeper, self.newcomers, names, now)) is not None:
                index, actions = keeper.change_membership(*step, now)
                if index:
                    self.world.note(keeper.name, "changes", index, step)
                done += actions
        return done

    def next_due(self):
        due = self.fitness.next_deadline(self.keeper.name in self.keeper.configuration().voters)
        return min(self.keeper.next_deadline(), due) if self.fitness.may_vote else due

    def _not_kept(self, generation):
        return (
            self.keeper.on_persist_failed(self.clock()) if generation == self.generation and self.up else []
        )


class World:
    made = Box

    def __init__(self, size, seed, loss=0.0, spare=0, apart=0.0):
        # `apart`: so much faster or slower than the true time a process's clock may go.
        self.apart, self.clocks, self.drift = apart, {}, random.Random(seed + 1)
        self.seed, self.chance, self.now, self.trace, self.loss = seed, random.Random(seed), 0, [], loss
        self.events, self.order, self.cut, self.armed = [], count(), set(), {}
        names = self.names = [f"k{at}" for at in range(size + spare)]
        first = ClusterConfiguration(tuple(names[:size]), ())
        self.boxes = {
            name: self.made(self, name, first if at < size else ClusterConfiguration((), ()))
            for at, name in enumerate(names)
        }
        self.numbers = count(1)

    def clock(self, name):
        """What that process's clock shows: where they are `apart`, each has a rate and a beginning of its own."""
        if not self.apart:
            return self.now
        rate, offset = self.clocks.setdefault(
            name, (1 + self.apart * (2 * self.drift.random() - 1), self.drift.randrange(1000 * S))
        )
        return int(self.now * rate) + offset

    def when(self, name, due):
        """The time at which that clock shows `due`, about."""
        return self.now + int((due - self.clock(name)) / self.clocks[name][0]) + 1 if self.apart else due

    def note(self, name, what, *more):
        self.trace.append((self.now, name, what, *more))

    def later(self, wait, box, action, *given):
        heapq.heappush(self.events, (self.now + wait, next(self.order), box.event, (action, *given)))

    def at(self, when, action, *given):
        heapq.heappush(self.events, (when, next(self.order), action, given))

    def send(self, sender, to, message):
        if (base_name(sender), base_name(to)) in self.cut or base_name(to) not in self.boxes:
            return
        for _ in range(2 if self.chance.random() < self.loss / 3 else 1):
            if self.chance.random() >= self.loss:
                wait = 1 + 4 * self.chance.random() + (200 if self.chance.random() < self.loss / 3 else 0)
                heapq.heappush(
                    self.events,
                    (self.now + int(wait * MS), next(self.order), self._comes, (sender, to, message)),
                )

    def _comes(self, sender, to, message):
        box = self.boxes[base_name(to)]
        if box.up:
            # By call, so that one that stood still takes what came at the time when it wakes.
            box.event(box.comes, sender, to, message)

    def wake(self, box):
        due = box.next_due()
        if self.armed.get(box.name) != (box.generation, due):
            self.armed[box.name] = box.generation, due
            at = max(self.when(box.name, due), self.now + 1)
            heapq.heappush(self.events, (at, next(self.order), self._due, (box, box.generation, due)))

    def _due(self, box, generation, due):
        if box.up and self.armed.get(box.name) == (generation, due):
            self.armed.pop(box.name)
            box.event(box.due)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, action, given = heapq.heappop(self.events)
            self.now = max(self.now, at)
            action(*given)
        self.now = max(self.now, until)

    # What a schedule does.

    def leaders(self):
        return [
            box
            for box in self.boxes.values()
            if box.up and not box.paused and box.keeper.role.name == "LEADER"
        ]

    def propose(self):
        for box in self.leaders():
            number = next(self.numbers)
            index, actions = box.keeper.propose(number, box.clock())
            if index:
                self.note(box.name, "proposes", index, box.keeper.current_term, number)
            box.done(actions)

    def read(self):
        for box in self.leaders():
            token = next(self.numbers)
            self.note(box.name, "asks", token)
            box.done(box.keeper.read_index(token, box.clock()))

    def pause(self, name, on):
        box = self.boxes[name]
        if on and box.up:
            box.paused = True
            self.note(name, "pauses")
        elif not on and box.paused:
            box.paused = False
            if box.up:
                self.note(name, "wakes")
            lying, box.lying = box.lying, []
            for action, given in lying:
                box.event(action, *given)

    def cuts(self, pairs):
        """Those pairs, from and to, beside what is cut; none: all is healed."""
        self.cut = self.cut | set(pairs) if pairs else set()
        self.note("", "cut", sorted(self.cut))

    def fills(self, name, on):
        self.boxes[name].full = on
        self.note(name, "full" if on else "room")

    def restart(self, name):
        if not self.boxes[name].up:
            self.boxes[name].start()

    def change(self):
        """A spare joins as learner, then votes; one of the first goes: a step at a time, as far as may be."""
        for box in self.leaders():
            config = box.keeper.configuration()
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
            index, actions = box.keeper.change_membership(*step, box.clock())
            if index:
                self.note(box.name, "changes", index, step)
            box.done(actions)


def played(seed, size=3, loss=0.0, span=12 * S, spare=0, back=0, apart=0.0):
    """A world after faults for a while and time to settle; with `back` one folder is put back while another keeper
    is down for a part of it."""
    world = World(size, seed, loss, spare, apart)
    chance = random.Random(seed * 31 + size)
    names, putting = list(world.boxes), True
    for box in world.boxes.values():
        box.start()
    for at in range(0, span, 40 * MS):
        world.at(at + int(chance.random() * 40 * MS), world.propose)
        if chance.random() < 0.3:
            world.at(at, world.read)
    if back:
        putting, when, lasts = False, S + int(chance.random() * span), int(chance.random() * 3 * S)
        one, other = chance.sample(names, 2)
        _put_back(world, one, when, lasts)
        down = when + int(chance.random() * lasts)
        world.at(down, lambda: world.boxes[other].crash(chance) if world.boxes[other].up else None)
        world.at(down + int(chance.random() * 2 * S), world.restart, other)
    for _ in range(chance.randrange(2, 9)):
        when, lasts, name = (
            S + int(chance.random() * span),
            int(chance.random() * 3 * S),
            chance.choice(names),
        )
        what = chance.choice(
            ("kill", "kill-leader", "pause", "split", "one-way", "move", "change", "full", "put-back")
        )
        if what == "put-back" and putting:
            putting = False  # two folders at one time are not promised
            _put_back(world, name, when, lasts)
        if what == "kill":
            world.at(when, lambda n=name: world.boxes[n].crash(chance) if world.boxes[n].up else None)
            world.at(when + lasts, world.restart, name)
        elif what == "kill-leader":

            def kill(lasts=lasts):
                for box in world.leaders()[:1]:
                    box.crash(chance)
                    world.at(world.now + lasts, world.restart, box.name)

            world.at(when, kill)
        elif what == "pause":
            world.at(when, world.pause, name, True)
            world.at(when + lasts, world.pause, name, False)
        elif what in ("split", "one-way"):
            side = chance.sample(names, chance.randrange(1, len(names)))
            cut = {(a, b) for a in side for b in names if b not in side}
            world.at(when, world.cuts, cut | ({(b, a) for a, b in cut} if what == "split" else set()))
            world.at(when + lasts, world.cuts, ())
        elif what == "move":
            world.at(
                when,
                lambda n=name: [b.done(b.keeper.transfer_leadership(n, b.clock())) for b in world.leaders()],
            )
        elif what == "change" and spare:
            for step in range(6):
                world.at(when + step * 400 * MS, world.change)
        elif what == "full":
            world.at(when, world.fills, name, True)
            world.at(when + lasts, world.fills, name, False)
            world.at(when + lasts + 1, lambda n=name: world.boxes[n].up and world.boxes[n].crash(chance))
            world.at(when + lasts + 2, world.restart, name)
    world.run(span + 4 * S)
    world.cuts(())
    world.loss = 0.0
    for name, box in world.boxes.items():
        world.fills(name, False)
        world.pause(name, False)
        if box.up and box.keeper.storage_failed:
            box.crash(chance)
        world.restart(name)
    world.run(world.now + 4 * S)
    world.propose()
    world.run(world.now + 2 * S)
    # By the leader's word: one that was removed while it was away doesn't know of it.
    voters = {name for box in world.leaders() for name in box.keeper.configuration().voters}
    world.note("", "voters", sorted(voters))
    for box in world.boxes.values():
        if (name := box.known_as) in voters:
            world.note(name, "dump", box.keeper.last_applied, list(box.state))
    return world


def _put_back(world, name, when, lasts):
    """A copy is taken, things go on, the keeper dies and its folder is as it was, or empty."""
    box, copies = world.boxes[name], []
    world.at(when, lambda: copies.append(box.copied()))

    def back():
        if box.up:
            box.crash(world.chance)
        box.put_back(copies[0] if world.chance.random() < 0.7 else (box.name, 0, {}, []))
        world.note(name, "folder-put-back")

    # A start lies between: the others know of one that the copy does not.
    world.at(when + lasts // 2, lambda: box.crash(world.chance) if box.up else None)
    world.at(when + lasts // 2 + 1, world.restart, name)
    world.at(when + lasts + S // 2, back)
    world.at(when + lasts + S // 2 + 1, world.restart, name)


# Checkers: of a trace alone.


def two_leaders(trace):
    """At most one leader a term."""
    leads, found = {}, []
    for at, name, what, *more in trace:
        if what == "leads" and leads.setdefault(more[0], name) != name:
            found.append(f"{at} {name} leads term {more[0]}, as {leads[more[0]]} did")
    return found


def votes_twice(trace):
    """A keeper gives one vote a term, whatever happens to it between."""
    given, found = {}, []
    for at, name, what, *more in trace:
        if what == "votes" and given.setdefault((name, more[0]), more[1]) != more[1]:
            found.append(f"{at} {name} votes for {more[1]} in term {more[0]}, after {given[name, more[0]]}")
    return found


def applied_apart(trace):
    """Whatever is applied at an index is the same at all keepers and for ever: committed entries are not lost."""
    applied, found = {}, []
    for at, name, what, *more in trace:
        if what == "applies" and applied.setdefault(more[0], tuple(more[1:])) != tuple(more[1:]):
            found.append(f"{at} {name} applies {more[1:]} at {more[0]}, where {applied[more[0]]} was")
    return found


def lost(trace):
    """At the end every voter's state has all that was ever applied anywhere, in that order."""
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
    """A read sees all that was applied anywhere before it was asked for."""
    top, asked, found = 0, {}, []
    for at, name, what, *more in trace:
        if what == "applies":
            top = max(top, more[0])
        elif what == "asks":
            asked[more[0]] = top
        elif what == "current" and 0 <= more[1] < asked[more[0]]:
            found.append(f"{at} {name} reads at {more[1]}, {asked[more[0]]} was applied before it asked")
    return found


class Reach:
    """Who could talk with whom, and since when, as a trace goes on."""

    def __init__(self):
        self.since, self.cut, self.healed, self.full = {}, set(), {}, {}

    def takes(self, at, name, what, more):
        if what in ("start", "wakes"):
            self.since[name] = at
        elif what in ("crash", "pauses"):
            self.since.pop(name, None)
        elif what == "cut":
            self.healed.update(dict.fromkeys(self.cut - {tuple(one) for one in more[0]}, at))
            self.cut = {tuple(one) for one in more[0]}
        elif what in ("full", "room"):
            self.full[name] = at if what == "room" else 1 << 62

    def both(self, one, other):
        """Since when both were up, with room, and heard each other; None: not now."""
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
    """A keeper is not fit under a name of which another, that it could ask since it began, knows a start as late."""
    reach, known, began, found = Reach(), {}, {}, []
    for at, name, what, *more in trace:
        reach.takes(at, name, what, more)
        if what == "start":
            began[name] = at, more
        elif what == "knows":
            for other, one in more[0].items():
                known.setdefault((name, other), []).append((at, tuple(one)))
        elif what == "fit":
            begun, (own, start, being, _) = began[name]
            for other in began:
                since = reach.both(name, other) if other != name else None
                late = [
                    one
                    for when, one in known.get((other, own), ())
                    if when <= begun and one[0] >= start and one != (start, being)
                ]
                if late and since is not None and since <= begun:
                    found.append(f"{at} {own} is fit in its start {start}, of which {other} knows {late[-1]}")
    return found


def majority_waits(trace):
    """A keeper that voted before, and can talk with half of the others, is fit or another member within 2 s."""
    reach, began, found, spoiled = Reach(), {}, [], set()
    names = sorted({name for _, name, what, *_ in trace if what == "start"})
    for at, name, what, *more in trace:
        for one, (since, size) in list(began.items()):
            heard = [reach.both(one, other) for other in names if other != one and other not in spoiled]
            from_then = sorted(max(since, first) for first in heard if first is not None)
            if len(from_then) >= size // 2 and at - from_then[size // 2 - 1] > 2 * S:
                found.append(f"{at} {one} is not fit since {from_then[size // 2 - 1]}")
                del began[one]
        reach.takes(at, name, what, more)
        if what == "folder-put-back":
            spoiled.add(name)
        elif what in ("fit", "crash", "put-back"):
            began.pop(name, None)
        elif what == "start" and not more[3]:
            began[name] = at, len(names)
    return found


ALL = (two_leaders, votes_twice, applied_apart, lost, stale_reads, fit_though_known, majority_waits)


def votes_put_back(trace):
    """Whether a folder that was put back voted under its former name: none that knew better could be asked."""
    back = set()
    for _, name, what, *_ in trace:
        if what == "folder-put-back":
            back.add(name)
        elif what == "put-back":
            back.discard(name)
        elif what == "fit" and name in back:
            return True
    return False


def broken(trace):
    """What holds in any case; the rest of it only where no folder that was put back could vote."""
    checks = (fit_though_known, majority_waits) if votes_put_back(trace) else ALL
    return [(check.__name__, text) for check in checks for text in check(trace)]


if __name__ == "__main__":
    sys.exit(
        reported(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: broken(
                played(
                    seed, wanted.size, wanted.loss, spare=wanted.spare, back=wanted.back, apart=wanted.apart
                ).trace
            ),
            size=3,
            spare=0,
            back=0,
            apart=0.0,
        )
    )
