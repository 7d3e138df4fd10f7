"""All interleavings of a small instance of the replica, to a stated depth: `python -m standins.fleet.explore`.

Two or three fronts; one tells two purges of a key, a drain and its lifting, another a purge of the same key. A step is:
the next of these is told, a write gets to disk, a message comes, or (so often as allowed) is lost, a front asks another
what it lacks, a front is killed and comes back with what its disk had. In each state that is reached:

a. what a front has seen of what was told it holds, or something greater under that key (so nothing is claimed unheard);
b. what it says to have seen, its disk has;
c. from there, with all messages let through, all fronts come to hold the same, and what was on any disk.
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
TELLS = {
    "a": [(KEY, (1,)), (KEY, (3,)), (WORD, (int(SourceState.DRAINING),)), (WORD, (int(SourceState.LIFTED),))],
    "b": [(KEY, (2,))],
    "c": [],
}
S = 1_000_000_000


class Broken(Exception):
    """Which of the three, in which state, after which steps."""


class Instance:
    def __init__(self, names, losses, crashes):
        self.names, self.losses, self.crashes, self.steps, self.told = names, losses, crashes, (), []
        self.tells = {name: list(TELLS[name]) for name in names}
        self.disks, self.flying, self.lives = {name: [] for name in names}, [], 0
        self.fronts, self.writes = {}, {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.lives += 1
        made = self.fronts[name] = Replica(name, self.lives, RandomSource(name, 1), 0, rate=1 << 40)
        made.neighbours, made.timers = [], {}
        facts, lives = {}, []
        for taken, spans, _ in self.disks[name]:
            for fact in taken:
                facts[fact.key] = fact
                lives.append((*fact.version[:2], [fact.version[2], fact.version[2] + 1]))
            lives += [(owner, life, [first, past]) for owner, life, first, past in spans]
        made.load(list(facts.values()), lives, 0)
        self.writes[name] = []
        for other in self.names:
            if other != name:
                made.on_peer_changed(other, True, 0)
        made.neighbours = [n for n in self.names if n != name]

    def done(self, name, actions):
        for action in actions:
            if (
                isinstance(action, SendMessage)
                and isinstance(action.message, SeenReport)
                and self.asked(name, action.to)
            ):
                continue  # the same once more leads nowhere new
            if isinstance(action, SendMessage):
                self.flying.append((name, action.to, action.message))
            elif isinstance(action, PersistRecords):
                self.writes[name].append(action)

    def asked(self, name, to):
        return any((a, b) == (name, to) and isinstance(m, SeenReport) for a, b, m in self.flying)

    def possible(self):
        found = [("tell", name) for name in self.names if self.tells[name]]
        found += [("sync", name) for name in self.names if self.writes[name]]
        found += [("come", at) for at in range(len(self.flying))]
        found += [("lose", at) for at in range(len(self.flying))] if self.losses else []
        found += [("kill", name) for name in self.names] if self.crashes else []
        return found + [
            ("ask", name, other)
            for name in self.names
            for other in self.names
            if name != other and not self.asked(name, other)
        ]

    def step(self, what, given, *more):
        self.steps += ((what, given, *more),)
        if what == "tell":
            key, value = self.tells[given].pop(0)
            self.done(given, self.fronts[given].on_own_record(key, value, 0))
            fact = self.fronts[given].store.held.get(key)
            if fact is not None and fact.version[0] == given:
                self.told.append(fact)
        elif what == "sync":
            action = self.writes[given].pop(0)
            self.disks[given].append(action.record)
            self.done(given, self.fronts[given].on_written(action.number, 0))
        elif what in ("come", "lose"):
            sender, to, message = self.flying.pop(given)
            if what == "lose":
                self.losses -= 1
            else:
                self.fronts[to].seen_report_sent_at.clear()
                self.done(to, self.fronts[to].on_message(sender, message, S))
        elif what == "kill":
            self.crashes -= 1
            self.start(given)
        else:
            self.flying.append((given, more[0], self.fronts[given]._seen_report()))

    def holds(self, name):
        return self.fronts[name].store.held

    def check(self):
        for name, front in self.fronts.items():
            for fact in self.told:
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
        """Everything is let through, each asks each until nothing new comes."""
        for _ in range(6):
            for name in self.names:
                for other in self.names:
                    if name != other:
                        self.flying.append((name, other, self.fronts[name]._seen_report()))
            for _ in range(400):
                if busy := [name for name in self.names if self.writes[name]]:
                    self.step("sync", busy[0])
                elif self.flying:
                    self.step("come", 0)
                else:
                    break
        wanted = {}
        for records in self.disks.values():
            for taken, _, _ in records:
                for fact in taken:
                    wanted[fact.key] = max(wanted.get(fact.key, fact.value), fact.value)
        for name in self.names:
            held = {key: fact.value for key, fact in self.holds(name).items()}
            if held != wanted:
                raise Broken("c", name, (held, wanted), self.steps)

    def state(self):
        """What tells two states apart: the order in which they were reached does not."""
        return (
            tuple(
                (
                    name,
                    tuple(sorted(f.store.held.items(), key=repr)),
                    tuple((o, life, tuple(ends)) for o, life, ends in f.store.seen.as_ranges()),
                    tuple((o, life, tuple(ends)) for o, life, ends in f.on_disk.as_ranges()),
                    len(self.writes[name]),
                    len(self.tells[name]),
                    len(f.unpushed),
                    len(f.unsaved[0]),
                )
                for name, f in self.fronts.items()
            ),
            tuple(sorted(map(repr, self.flying))),
            self.losses,
            self.crashes,
        )


def explored(depth, names=("a", "b"), losses=1, crashes=1, seconds=None):
    """(states, leaves settled): raises Broken at the first that breaks."""
    begun, seen, edge, settled = time.monotonic(), set(), [pickle.dumps(Instance(names, losses, crashes))], 0
    for _ in range(depth):
        fresh = []
        for packed in edge:
            for step in pickle.loads(packed).possible():
                if seconds is not None and time.monotonic() - begun > seconds:
                    return len(seen), settled
                one = pickle.loads(packed)
                one.step(*step)
                if (state := repr(one.state())) in seen:
                    continue
                seen.add(state)
                one.check()  # a digest would do for less memory; the whole text can't collide
                fresh.append(pickle.dumps(one))
        edge = fresh
    for packed in edge:
        pickle.loads(packed).settle()
        settled += 1
    return len(seen), settled


def main(given):
    flags = argparse.ArgumentParser(
        prog="python -m standins.fleet.explore", description=__doc__.split("\n")[0]
    )
    flags.add_argument("--depth", type=int, default=6)
    flags.add_argument("--fronts", type=int, default=2)
    flags.add_argument("--losses", type=int, default=1)
    flags.add_argument("--crashes", type=int, default=1)
    wanted = flags.parse_args(given)
    begun = time.monotonic()
    states, settled = explored(wanted.depth, ("a", "b", "c")[: wanted.fronts], wanted.losses, wanted.crashes)
    print(
        json.dumps(
            {
                "states": states,
                "settled": settled,
                "depth": wanted.depth,
                "seconds": round(time.monotonic() - begun, 1),
            }
        )
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
