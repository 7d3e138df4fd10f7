"""Explore all interleavings of a small instance of the replica to a depth: `python -m standins.fleet.explore`.

There are two or three fronts. One records two purges of a key, a drain and its lifting, another a purge of the same
key. A step is: the next record is made, a write reaches the disk, a message arrives or is lost, a front asks another
for what it lacks, or a front is killed and restarts from its disk; losses and kills are limited. In each state that is
reached:

a. a front holds each record that it has marked as seen, or a greater value of its key;
b. what a front reports as seen is on its disk.

From each state at the final depth, once all messages are delivered:

c. all fronts hold the same records, which include all that was on any disk.
"""

import argparse
import json
import pickle
import sys
import time

from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.replica.facts import SourceState
from sprucegate.fleet.replica.replica import PersistRecords, Replica, SeenReport, SendMessage

KEY, WORD = ("purge", "object", 1), ("word", 16, 0, "bus", "a")
RECORDS = {
    "a": [(KEY, (1,)), (KEY, (3,)), (WORD, (int(SourceState.DRAINING),)), (WORD, (int(SourceState.LIFTED),))],
    "b": [(KEY, (2,))],
    "c": [],
}
S = 1_000_000_000


class Broken(Exception):
    """An invariant is violated: which of a to c, at which front, in which state, after which steps."""


class Instance:
    def __init__(self, names, losses, crashes):
        self.names, self.losses, self.crashes, self.steps, self.made_records = names, losses, crashes, (), []
        self.records = {name: list(RECORDS[name]) for name in names}
        self.disks, self.in_flight, self.incarnations = {name: [] for name in names}, [], 0
        self.fronts, self.writes = {}, {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.incarnations += 1
        replica = self.fronts[name] = Replica(name, self.incarnations, RandomSource(name, 1), 0, rate=1 << 40)
        replica.neighbours, replica.timers = [], {}
        facts, incarnations = {}, []
        for taken, spans, _ in self.disks[name]:
            for fact in taken:
                facts[fact.key] = fact
                incarnations.append((*fact.version[:2], [fact.version[2], fact.version[2] + 1]))
            incarnations += [(owner, life, [first, past]) for owner, life, first, past in spans]
        replica.load(list(facts.values()), incarnations, 0)
        self.writes[name] = []
        for other in self.names:
            if other != name:
                replica.on_peer_changed(other, True, 0)
        replica.neighbours = [n for n in self.names if n != name]

    def execute(self, name, actions):
        for action in actions:
            if (
                isinstance(action, SendMessage)
                and isinstance(action.message, SeenReport)
                and self.has_report_in_flight(name, action.to)
            ):
                continue  # a second identical report leads to no new state
            if isinstance(action, SendMessage):
                self.in_flight.append((name, action.to, action.message))
            elif isinstance(action, PersistRecords):
                self.writes[name].append(action)

    def has_report_in_flight(self, name, to):
        return any((a, b) == (name, to) and isinstance(m, SeenReport) for a, b, m in self.in_flight)

    def possible(self):
        found = [("tell", name) for name in self.names if self.records[name]]
        found += [("sync", name) for name in self.names if self.writes[name]]
        found += [("come", at) for at in range(len(self.in_flight))]
        found += [("lose", at) for at in range(len(self.in_flight))] if self.losses else []
        found += [("kill", name) for name in self.names] if self.crashes else []
        return found + [
            ("ask", name, other)
            for name in self.names
            for other in self.names
            if name != other and not self.has_report_in_flight(name, other)
        ]

    def step(self, what, argument, *more):
        self.steps += ((what, argument, *more),)
        if what == "tell":
            key, value = self.records[argument].pop(0)
            self.execute(argument, self.fronts[argument].on_own_record(key, value, 0))
            fact = self.fronts[argument].store.held.get(key)
            if fact is not None and fact.version[0] == argument:
                self.made_records.append(fact)
        elif what == "sync":
            action = self.writes[argument].pop(0)
            self.disks[argument].append(action.record)
            self.execute(argument, self.fronts[argument].on_written(action.number, 0))
        elif what in ("come", "lose"):
            sender, to, message = self.in_flight.pop(argument)
            if what == "lose":
                self.losses -= 1
            else:
                self.fronts[to].seen_report_sent_at.clear()
                self.execute(to, self.fronts[to].on_message(sender, message, S))
        elif what == "kill":
            self.crashes -= 1
            self.start(argument)
        else:
            self.in_flight.append((argument, more[0], self.fronts[argument]._seen_report()))

    def holds(self, name):
        return self.fronts[name].store.held

    def check(self):
        for name, front in self.fronts.items():
            for fact in self.made_records:
                held = front.store.held.get(fact.key)
                if front.store.seen.contains(fact.version) and (held is None or held.value < fact.value):
                    raise Broken("a", name, fact, self.steps)
            disk = {}
            for taken, spans, _ in self.disks[name]:
                for fact in taken:
                    disk.setdefault(fact.version[:2], set()).add(fact.version[2])
                for owner, life, first, past in spans:
                    disk.setdefault((owner, life), set()).update(range(first, past))
            for owner, life, ends in front.on_disk.as_ranges():
                for first, past in zip(ends[::2], ends[1::2], strict=True):
                    if not set(range(first, past)) <= disk.get((owner, life), set()):
                        raise Broken("b", name, (owner, life, first, past), self.steps)

    def settle(self):
        """Deliver all messages and writes, and let each front ask each other, until nothing new arrives."""
        for _ in range(6):
            for name in self.names:
                for other in self.names:
                    if name != other:
                        self.in_flight.append((name, other, self.fronts[name]._seen_report()))
            for _ in range(400):
                if busy := [name for name in self.names if self.writes[name]]:
                    self.step("sync", busy[0])
                elif self.in_flight:
                    self.step("come", 0)
                else:
                    break
        expected = {}
        for records in self.disks.values():
            for taken, _, _ in records:
                for fact in taken:
                    expected[fact.key] = max(expected.get(fact.key, fact.value), fact.value)
        for name in self.names:
            held = {key: fact.value for key, fact in self.holds(name).items()}
            if held != expected:
                raise Broken("c", name, (held, expected), self.steps)

    def state(self):
        """Return a key of the state that does not depend on the order of the steps that led to it."""
        return (
            tuple(
                (
                    name,
                    tuple(sorted(f.store.held.items(), key=repr)),
                    tuple((o, life, tuple(ends)) for o, life, ends in f.store.seen.as_ranges()),
                    tuple((o, life, tuple(ends)) for o, life, ends in f.on_disk.as_ranges()),
                    len(self.writes[name]),
                    len(self.records[name]),
                    len(f.unpushed),
                    len(f.unsaved[0]),
                )
                for name, f in self.fronts.items()
            ),
            tuple(sorted(map(repr, self.in_flight))),
            self.losses,
            self.crashes,
        )


def explore_to_depth(depth, names=("a", "b"), losses=1, crashes=1, seconds=None):
    """Return (count of states, count of final states settled); raises Broken at the first violation."""
    started_at, seen, frontier, settled = (
        time.monotonic(),
        set(),
        [pickle.dumps(Instance(names, losses, crashes))],
        0,
    )
    for _ in range(depth):
        next_frontier = []
        for packed in frontier:
            for step in pickle.loads(packed).possible():
                if seconds is not None and time.monotonic() - started_at > seconds:
                    return len(seen), settled
                successor = pickle.loads(packed)
                successor.step(*step)
                if (state := repr(successor.state())) in seen:
                    continue
                seen.add(state)
                successor.check()  # `seen` keeps the whole text: a digest takes less memory but may collide
                next_frontier.append(pickle.dumps(successor))
        frontier = next_frontier
    for packed in frontier:
        pickle.loads(packed).settle()
        settled += 1
    return len(seen), settled


def main(arguments):
    flags = argparse.ArgumentParser(
        prog="python -m standins.fleet.explore", description=__doc__.split("\n")[0]
    )
    flags.add_argument("--depth", type=int, default=6)
    flags.add_argument("--fronts", type=int, default=2)
    flags.add_argument("--losses", type=int, default=1)
    flags.add_argument("--crashes", type=int, default=1)
    options = flags.parse_args(arguments)
    started_at = time.monotonic()
    states, settled = explore_to_depth(
        options.depth, ("a", "b", "c")[: options.fronts], options.losses, options.crashes
    )
    print(
        json.dumps(
            {
                "states": states,
                "settled": settled,
                "depth": options.depth,
                "seconds": round(time.monotonic() - started_at, 1),
            }
        )
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
