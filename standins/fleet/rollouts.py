"""Simulate rollouts: voters, fronts, caches and maintenance agents with clocks, network and faults run by a seed.

    python -m standins.fleet.rollouts --seeds 200 --size 3 --fronts 6 --caches 12

A simulated cache has a true state (down, up and cold, warm) that no decision reads. Checkers read only the trace.
"""

import math
import random
import sys

import msgspec

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.fleet.consensus.durability_check import base_name
from sprucegate.fleet.consensus.follow_messages import FollowRequest, ProposeRequest, StateResponse
from sprucegate.fleet.consensus.log_follower import ApplyCommands, LogFollower, ReplaceState
from sprucegate.fleet.consensus.log_server import LogServer
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.rollout.budgets import ManagedServer
from sprucegate.fleet.rollout.follower import FrontReporter
from sprucegate.fleet.rollout.leader import RolloutLeader, front_lease
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.rollout import RolloutStateMachine
from standins.fleet import keepers
from standins.fleet.keepers import MS, S, World
from standins.fleet.schedules import run_seeds

WARM_UP_TIME = 2 * S  # time from the start of a cache until it is warm
PROPOSAL_TIMEOUT = 4 * S
RATES = {
    "bad-errors": (0.022, 0.001, 0.02, 0.2),
    "bad-slow": (0.002, 0.001, 0.3, 0.2),
}  # errors, sheds, late, misses
LIMITS = [[["fleet", "", "cache", 3, 500], ["location", "", "cache", 2, 500]], [100, 1000]]


class RolloutVoter(keepers.SimulatedVoter):
    def install_state(self, index, state):
        machine = RolloutStateMachine()
        if state:
            machine.restore(msgspec.msgpack.decode(state))
        self.log_server = LogServer(self.raft_node, machine)
        self.rollout_leader = None

    def encoded_state(self):
        # Encoded, as in a message: a state shared by two state machines would be changed by both.
        return msgspec.msgpack.encode(self.log_server.machine.snapshot())

    def apply_entries(self, entries):
        machine = self.log_server.machine
        sends, granted = self.log_server.on_committed(entries)
        for permit in granted:
            self.world.note(self.name, "grants", permit.id, permit.index, permit.box, permit.release)
        self.state = machine
        self.execute(sends)

    def on_leadership_changed(self, on):
        self.rollout_leader = (
            RolloutLeader(self.log_server.machine, self.clock(), self.world.gate) if on else None
        )
        if on:
            generation = self.generation
            self.world.later(1, self, self._run_leader_timer, generation, self.rollout_leader)
        else:
            self.execute(self.log_server.on_leadership_lost())

    def _run_leader_timer(self, generation, rollout_leader):
        if generation != self.generation or self.rollout_leader is not rollout_leader:
            return []
        emitted, now = [], self.clock()
        for command in rollout_leader.due(self.log_server.contacts, now):
            emitted += self.raft_node.propose(command, now)[1]
        self.world.later(100 * MS, self, self._run_leader_timer, generation, rollout_leader)
        return emitted

    def receive(self, sender, to, message):
        if isinstance(message, FollowRequest | ProposeRequest):
            if not self.durability.may_vote:
                return []
            emitted = self.log_server.on_message(sender, message, self.clock())
            return [
                a._replace(message=a.message._replace(state=msgspec.msgpack.encode(a.message.state)))
                if isinstance(a, SendMessage) and isinstance(a.message, StateResponse)
                else a
                for a in emitted
            ]
        return super().receive(sender, to, message)


class Process:
    """A front or a maintenance agent: follows the log and proposes; may be killed, paused and cut off."""

    def __init__(self, world, name):
        self.world, self.name, self.up, self.paused, self.deferred, self.generation = (
            world,
            name,
            False,
            False,
            [],
            0,
        )

    def start(self):
        self.generation, self.up, self.paused, self.deferred = self.generation + 1, True, False, []
        life = self.generation if isinstance(self, Front) else 0
        self.machine = RolloutStateMachine()
        self.follower = LogFollower(
            self.world.keepers,
            life,
            RandomSource(self.name, self.world.seed + self.generation),
            self.clock(),
            front_lease(),
        )
        self.reporter = FrontReporter(self.name, life)
        self.on_started()
        self.world.later(1, self, self._due, self.generation)

    def clock(self):
        return self.world.clock(self.name)

    def on_started(self):
        pass

    def crash(self, _=None):
        self.up, self.generation = False, self.generation + 1

    def event(self, action, *given):
        if self.up and self.paused:
            self.deferred.append((action, given))
        elif self.up:
            self.execute(action(*given) or [])

    def receive(self, sender, to, message):
        return self.follower.on_message(base_name(sender), message, self.clock())

    def execute(self, actions):
        for action in actions:
            if isinstance(action, SendMessage):
                self.world.send(self.name, action.to, action.message)
            elif isinstance(action, ApplyCommands):
                for index, command in action.entries:
                    self.machine.apply(index, command)
            elif isinstance(action, ReplaceState):
                self.machine = RolloutStateMachine()
                self.machine.restore(msgspec.msgpack.decode(action.state))

    def _due(self, generation):
        if generation != self.generation:
            return []
        self.world.later(50 * MS, self, self._due, generation)
        emitted = self.follower.on_timer(self.clock())
        for command in self.turn(self.clock()):
            emitted += self.follower.propose(command, None, self.clock(), PROPOSAL_TIMEOUT)
        return emitted


class Front(Process):
    def on_started(self):
        self.drained, self.report_due = {}, 0

    def turn(self, now):
        fresh = self.machine.drained()
        for box in {**fresh, **self.drained}:
            if (box in fresh) != (box in self.drained):
                self.world.note(self.name, "drains" if box in fresh else "sends", box)
        self.drained = fresh
        if not self.follower.is_fenced(now):
            self.world.note(self.name, "lease", self.world.when(self.name, self.follower.lease_expiry))
        if now >= self.report_due:
            self.report_due = now + 500 * MS  # the interval of a real front
            down = [name for name, cache in self.world.caches.items() if cache.state == "down"]
            rows = [
                [name, *cache.served(self.name), cache.starts] for name, cache in self.world.caches.items()
            ]
            self.follower.report = [rows, down, {}]
        return self.reporter.list_changes(
            self.machine, self.world.managed_servers, LIMITS, now
        ) + self.reporter.due(self.machine, self.drained, self._is_warm, now)

    def _is_warm(self, box, start):
        cache = self.world.caches.get(box)
        return cache is not None and cache.warm() and str(cache.started) == start


class Agent(Process):
    """Restart its servers under permits.

    `misbehaviour`: "slow", "lying" (reports a server as started while it is down) or "" for a well-behaved one.
    """

    def __init__(self, world, name, boxes, misbehaviour=""):
        super().__init__(world, name)
        self.boxes, self.misbehaviour, self.busy_until = boxes, misbehaviour, {}

    def on_started(self):
        self.busy_until, self.renewed = {}, {}

    def turn(self, now):
        found, world = [], self.world
        for permit in [p for p in self.machine.permits.open_by_box.values() if p.box in self.boxes]:
            cache, id = world.caches[permit.box], permit.id
            if now - self.renewed.get(id, -10 * S) > 5 * S and permit.step in (
                PermitStep.GRANTED,
                PermitStep.OUT,
                PermitStep.COLD,
            ):
                self.renewed[id] = now
                found.append(["renew", id, self.name])
            if now < self.busy_until.get(id, 0):
                continue
            if permit.step is PermitStep.DRAINED:
                self.busy_until[id] = now + 500 * MS
                found.append(["out", id, self.name])
            elif permit.step is PermitStep.OUT:
                self.busy_until[id] = now + 500 * MS
                if cache.out_for != id:
                    cache.stop(id)
                    self.busy_until[id] = now + (3 * S if self.misbehaviour == "slow" else S)
                    if self.misbehaviour == "lying" and cache.false_reports < 2:
                        cache.false_reports += 1
                        found.append(["started", id, "never"])
                elif cache.state == "down":
                    cache.start_again(permit.version)
                    found.append(["started", id, str(cache.started)])
                else:
                    found.append(["started", id, str(cache.started)])
            elif permit.step is PermitStep.COLD and cache.state == "down":
                cache.start_again(permit.version)
                found.append(["started", id, str(cache.started)])
                self.busy_until[id] = now + 500 * MS
            elif permit.step is PermitStep.COLD and str(cache.started) != permit.start:
                found.append(["started", id, str(cache.started)])
                self.busy_until[id] = now + 500 * MS
        return found


class Cache:
    """The true state of a server, which no decision reads."""

    def __init__(self, world, name):
        self.world, self.name, self.state, self.started, self.out_for = world, name, "up", -WARM_UP_TIME, ""
        self.version, self.starts, self.false_reports, self.gets = "1", 1, 0, {}
        self.rng = random.Random(f"{world.seed}/{name}")

    def warm(self):
        return self.state == "up" and self.world.now - self.started >= WARM_UP_TIME

    def stop(self, id):
        self.state, self.out_for = "down", id
        self.world.note(self.name, "down", id)

    def start_again(self, version):
        self.state, self.started, self.starts = "up", self.world.now, self.starts + 1
        self.version = version or self.version
        self.world.note(self.name, "up", self.out_for, self.version)
        self.world.at(self.started + WARM_UP_TIME, self._on_warm, self.started)
        if self.version == "bad-dies":
            self.world.at(self.started + 3 * S, self._crash)

    def _crash(self):
        if self.version == "bad-dies" and self.state == "up":
            self.state, self.out_for = "down", ""
            self.world.note(self.name, "fails")
            self.world.at(self.world.now + S, self.start_again, "")

    def _on_warm(self, start):
        if self.started == start and self.state == "up":
            self.world.note(self.name, "warm")

    def fails(self):
        if self.state == "up" and not self.out_for:
            self.state = "down"
            self.world.note(self.name, "fails")

    def recovers(self):
        if self.state == "down" and not self.out_for:
            self.start_again("")

    def served(self, front):
        """Return the counts of GETs, errors, sheds, late answers and misses so far for one front.

        Each front sends 20 GETs a second; RATES has the chances of a bad version.
        """
        seen = self.gets.setdefault(front, [self.world.now, 0, 0, 0, 0, 0])
        fresh = int((self.world.now - seen[0]) / S * 20)
        if self.state == "up" and fresh:
            # Noise common to all servers, a sine with a period of 44 s, besides the random noise of each.
            day = 1 + self.world.noise * math.sin(self.world.now / (7 * S))
            seen[1] += fresh
            for at, rate in enumerate(RATES.get(self.version, (0.002, 0.001, 0.02, 0.2)), 2):
                seen[at] += binomial_sample(self.rng, fresh, rate * day)
        if fresh or self.state != "up":
            seen[0] = self.world.now
        return seen[1:]


def binomial_sample(rng, count, rate):
    """Return a sample of the binomial distribution, drawn by the gaps between hits.

    A draw for each GET took 70% of the run time with 200 fronts and 200 servers.
    """
    if rate <= 0:
        return 0
    found, at, each = 0, 0, math.log1p(-min(rate, 0.999999))
    while True:
        at += 1 + int(math.log(1 - rng.random()) / each)
        if at > count:
            return found
        found += 1


class Fleet(World):
    process_class = RolloutVoter

    def __init__(
        self, size, fronts, caches, seed, loss=0.0, misbehaviours=(), noise=0.0, gate=None, clock_drift=0.0
    ):
        super().__init__(size, seed, loss, clock_drift=clock_drift)
        self.gate, self.noise = gate, noise
        self.keepers = list(self.boxes)
        self.caches = {f"c{at}": Cache(self, f"c{at}") for at in range(caches)}
        self.managed_servers = {
            name: ManagedServer(name, "cache", "abc"[at % 3], "std", "g", 1)
            for at, name in enumerate(self.caches)
        }
        self.fronts = {f"n{at}": Front(self, f"n{at}") for at in range(fronts)}
        names = list(self.caches)
        self.agents = {
            f"a{at}": Agent(self, f"a{at}", set(names[at::3]), (*misbehaviours, "", "", "")[at])
            for at in range(3)
        }
        self.boxes.update(self.fronts)
        self.boxes.update(self.agents)
        for box in self.boxes.values():
            box.start()

    def wake(self, box):
        if isinstance(box, RolloutVoter):
            super().wake(box)

    def leaders(self):
        return [
            b
            for n in self.keepers
            if (b := self.boxes[n]).up and not b.paused and b.raft_node.role.name == "LEADER"
        ]

    def operator(self, front, *command):
        """Send an operator's command through a front, under a new request id."""
        box, id = self.fronts[front], f"op-{next(self.numbers)}"
        self.note(front, "wants", id, list(command))
        box.event(lambda: box.follower.propose(["once", id, list(command)], id, box.clock(), 10 * S))

    def machine(self):
        """Return the state machine of the voter that has applied the most entries."""
        return max(
            (self.boxes[n].log_server.machine for n in self.keepers if self.boxes[n].up),
            key=lambda m: m.index,
        )


def plan(caches, version="2", name="v2"):
    names = list(caches)
    return [name, "std", version, "1", [names[:1], names[1:4], names[4:]], 3 * S]


def play_schedule(seed, size=3, fronts=6, caches=12, loss=0.0, span=40 * S, ends=True, clock_drift=0.0):
    """Play a release and manual drains with two to eight faults, then time to settle if `ends`."""
    chance = random.Random(seed * 17 + size)
    misbehaviours = chance.choice([(), ("slow",), ("lying", "slow")])
    world = Fleet(size, fronts, caches, seed, loss, misbehaviours, clock_drift=clock_drift)
    names = list(world.fronts)
    world.at(2 * S, world.operator, chance.choice(names), "release", plan(world.caches), "op")
    for _ in range(chance.randrange(1, 5)):
        when, box = int((2 + chance.random() * 20) * S), chance.choice(list(world.caches))
        world.at(when, world.operator, chance.choice(names), "ask", f"hand-{when}", box, "op", "by hand")
    if chance.random() < 0.5:
        when = int((3 + chance.random() * 15) * S)
        world.at(when, world.operator, chance.choice(names), "halt", "v2", "op", "to look")
        world.at(
            when + 3 * S, world.operator, chance.choice(names), chance.choice(["resume", "back"]), "v2", "op"
        )
    for _ in range(chance.randrange(2, 9)):
        _schedule_fault(world, chance, span)
    world.run(span)
    if ends:
        settle(world)
    return world


def _schedule_fault(world, chance, span):
    when, duration = S + int(chance.random() * span * 0.8), int(chance.random() * 6 * S)
    everyone = list(world.boxes)
    name = chance.choice(everyone)
    what = chance.choice(
        ("kill", "kill-leader", "pause", "pause-leader", "split", "one-way", "fails", "full")
    )
    if what == "kill":
        world.at(when, lambda: world.boxes[name].crash(chance) if world.boxes[name].up else None)
        world.at(when + duration, world.restart, name)
    elif what == "kill-leader":

        def kill():
            for box in world.leaders()[:1]:
                box.crash(chance)
                world.at(world.now + duration, world.restart, box.name)

        world.at(when, kill)
    elif what == "pause":
        world.at(when, world.pause, name, True)
        world.at(when + duration, world.pause, name, False)
    elif what == "pause-leader":

        def pause():
            for box in world.leaders()[:1]:
                world.pause(box.name, True)
                world.at(world.now + duration, world.pause, box.name, False)

        world.at(when, pause)
    elif what in ("split", "one-way"):
        side = set(chance.sample(everyone, chance.randrange(1, len(everyone))))
        cut = {(a, b) for a in side for b in everyone if b not in side}
        world.at(when, world.cut.update, cut | ({(b, a) for a, b in cut} if what == "split" else set()))
        world.at(when + duration, world.cut.clear)
    elif what == "fails":
        cache = chance.choice(list(world.caches.values()))
        world.at(when, cache.fails)
        world.at(when + duration, cache.recovers)
    elif what == "full":
        voter = world.boxes[chance.choice(world.keepers)]
        world.at(when, setattr, voter, "full", True)
        world.at(when + duration, setattr, voter, "full", False)
        world.at(when + duration + 1, lambda: voter.up and voter.crash(chance))
        world.at(when + duration + 2, world.restart, voter.name)


def settle(world, timeout=240 * S):
    world.cut.clear()
    world.loss = 0.0
    for name, box in world.boxes.items():
        if isinstance(box, RolloutVoter):
            box.full = False
        world.pause(name, False)
        if isinstance(box, RolloutVoter) and box.up and box.raft_node.storage_failed:
            box.crash(world.chance)
        world.restart(name)
    for cache in world.caches.values():
        cache.recovers()
    # A halted release continues only by an operator's command.
    until = world.now + timeout
    while world.now < until:
        world.run(world.now + 5 * S)
        machine = world.machine()
        halted = [n for n, r in machine.releases.releases.items() if r.phase.name == "HALTED"]
        if halted:
            world.operator(next(iter(world.fronts)), "back", halted[0], "op")
        elif not machine.permits.open_by_box and all(r.over() for r in machine.releases.releases.values()):
            break
    machine = world.machine()
    for permit in machine.permits.open_by_box.values():
        world.note("", "open", permit.id, permit.step.name, permit.box)
    for name, release in machine.releases.releases.items():
        world.note("", "release", name, release.phase.name)
    for name in world.keepers:
        if world.boxes[name].up:
            world.note(
                name,
                "dump-machine",
                world.boxes[name].log_server.machine.index,
                repr(world.boxes[name].log_server.machine.snapshot()[2:]),
            )


# Checkers; each reads only the trace.


def servers_out(trace, place_of):
    """Yield (time, server, {server: permit} of all that are down or cold under a permit) at each stop of a server."""
    out = {}
    for at, name, what, *more in trace:
        if what == "down":
            out[name] = more[0]
            yield at, name, dict(out)
        elif what == "warm":
            out.pop(name, None)


def over_budget(trace, count=3, each=2, places="abc"):
    """By the true state, at most `count` servers are out under permits in the fleet, and `each` in a location."""

    def place(box):
        return places[int(box[1:]) % len(places)]

    found = []
    for at, name, out in servers_out(trace, place):
        there = [box for box in out if place(box) == place(name)]
        if len(out) > count or len(there) > each:
            found.append(f"{at} {name} goes down while {sorted(out)} are out")
    return found


def last_gone(trace, caches, places="abc"):
    """In each location at least one server of the kind is not out under a permit."""
    found = []
    for at, name, out in servers_out(trace, None):
        there = [
            f"c{n}" for n in range(caches) if places[n % len(places)] == places[int(name[1:]) % len(places)]
        ]
        if all(box in out for box in there):
            found.append(f"{at} {name} is the last server of its location to go down")
    return found


def sent_to_drained(trace):
    """A server goes down only when no front with a valid lease would still send to it."""
    drains, until, found, gone = {}, {}, [], set()
    for at, name, what, *more in trace:
        if what == "lease":
            until[name] = more[0]
            drains.setdefault(name, set())
        elif what == "drains":
            drains.setdefault(name, set()).add(more[0])
        elif what == "sends":
            drains.setdefault(name, set()).discard(more[0])
        elif what == "down":
            found += [
                f"{at} {name} goes down while {front} still sends to it"
                for front in drains
                if until.get(front, 0) > at and name not in drains[front] and front not in gone
            ]
    return found


def granted_halted(trace):
    """No permit of a release is granted between the entry of a halt and the next resume or rollback."""
    halted, found, seen, given, begun = {}, [], set(), set(), set()
    for at, _, what, *more in trace:
        if what == "applies" and more[2] and more[0] not in seen:
            index, command = more[0], more[2]
            seen.add(index)
            if command[0] == "once":
                if command[1] in given:
                    continue  # a repeated request, perhaps after a later command, has no second effect
                given.add(command[1])
                command = command[2]
            if command[0] == "release" and command[1][0] not in begun:
                # A halt before the start was refused: its operator got the answer that there is no such release.
                begun.add(command[1][0])
                halted.pop(command[1][0], None)
            elif command[0] in ("halt", "resume", "back"):
                halted.setdefault(command[1], []).append((index, command[0]))
        elif what == "grants" and more[3] in halted:
            before = [action for index, action in halted[more[3]] if index <= more[1]]
            if before and before[-1] == "halt":
                found.append(f"{at} {more[0]} is granted under {more[1]} after a halt")
    return found


def without_end(trace):
    """At the end no permit is open and no release is in progress."""
    return [
        f"{more}"
        for _, _, what, *more in trace
        if what == "open" or what == "release" and more[1] not in ("DONE", "RETURNED")
    ]


def machines_apart(trace):
    """Voters that have applied up to the same index have the same state."""
    state_at, found = {}, []
    for at, name, what, *more in trace:
        if what == "dump-machine" and state_at.setdefault(more[0], more[1]) != more[1]:
            found.append(f"{at} {name} differs at {more[0]}")
    return found


ALL = (
    keepers.two_leaders,
    keepers.votes_twice,
    over_budget,
    sent_to_drained,
    granted_halted,
    without_end,
    machines_apart,
)


def find_violations(trace, caches=12):
    return [(check.__name__, text) for check in ALL for text in check(trace)] + [
        ("last_gone", text) for text in last_gone(trace, caches)
    ]


if __name__ == "__main__":
    sys.exit(
        run_seeds(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: find_violations(
                play_schedule(
                    seed, wanted.size, wanted.fronts, wanted.caches, wanted.loss, clock_drift=wanted.apart
                ).trace,
                wanted.caches,
            ),
            size=3,
            fronts=6,
            caches=12,
            apart=0.0,
        )
    )
