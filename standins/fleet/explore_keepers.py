"""Explore all interleavings of three voters to a depth: `python -m standins.fleet.explore_keepers --depth 8`.

A step is: a voter's timer expires (a limited number of times), a message arrives or, once, is lost, a write reaches the
disk, one of two entries is proposed to a leader, or, once, a voter is killed and restarts from its disk. In each state
a term has at most one leader, a voter grants at most one vote a term, and one entry is applied at an index.
"""

import sys

from sprucegate.fleet.consensus.actions import ApplyEntries, LeadershipChanged, PersistState, SendMessage
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration
from sprucegate.fleet.consensus.messages import RequestVote, RequestVoteResponse
from sprucegate.fleet.consensus.raft_node import RaftNode
from standins.fleet import exploring

NAMES = ("a", "b", "c")
S = 1_000_000_000


class Broken(Exception):
    """The violated invariant, its key, both values, and the steps that led to it."""


def constant_random(_text):
    """Replace the random source: which timer expires first is a step of the exploration."""
    return 0.5


class Instance:
    def __init__(self, timeouts_left=3, losses_left=1, crashes_left=1, entries=2):
        self.timeouts_left, self.losses_left, self.crashes_left, self.entries, self.steps = (
            timeouts_left,
            losses_left,
            crashes_left,
            entries,
            (),
        )
        self.disks, self.writes = {n: [] for n in NAMES}, {n: [] for n in NAMES}
        self.keepers = {n: RaftNode(n, ClusterConfiguration(NAMES, ()), constant_random, 0) for n in NAMES}
        self.in_flight, self.leaders, self.votes, self.applied, self.now = [], {}, {}, {}, S

    def contested(self):
        """Make two voters stand for the same term, by the pre-votes of the third: a double vote is possible there."""
        for name in ("a", "b"):
            self.step("time", name)
        for name in ("a", "b"):
            for sender, to in ((name, "c"), ("c", name)):
                at = next(at for at, (s, t, _) in enumerate(self.in_flight) if (s, t) == (sender, to))
                self.step("come", at)
        self.in_flight = [
            one for one in self.in_flight if not isinstance(one[2], RequestVote) or not one[2].pre_vote
        ]
        return self

    def possible(self):
        found = [("come", at) for at in range(len(self.in_flight))]
        found += [("lose", at) for at in range(len(self.in_flight))] if self.losses_left else []
        found += [("sync", n) for n in NAMES if self.writes[n]]
        found += [("time", n) for n in NAMES] if self.timeouts_left else []
        found += [("kill", n) for n in NAMES] if self.crashes_left else []
        return found + [("give", n) for n in NAMES if self.entries and self.keepers[n].role.name == "LEADER"]

    def step(self, what, argument):
        self.steps += ((what, argument),)
        # Longer than any election time-out: no vote is refused for a recent contact with a leader.
        self.now += S
        if what in ("come", "lose"):
            sender, to, message = self.in_flight.pop(argument)
            self.losses_left -= what == "lose"
            return (
                self.execute(to, self.keepers[to].on_message(sender, message, self.now))
                if what == "come"
                else None
            )
        raft_node = self.keepers[argument]
        if what == "sync":
            write = self.writes[argument].pop(0)
            self.disks[argument].append(write)
            return self.execute(argument, raft_node.on_persisted(write.number, self.now))
        if what == "time":
            self.timeouts_left -= 1
            # Keeps a leader from stepping down, which is safe and need not be explored.
            raft_node.last_contact = dict.fromkeys(raft_node.last_contact, self.now)
            return self.execute(argument, raft_node.on_timer(max(self.now, raft_node.timer_deadline)))
        if what == "give":
            self.entries -= 1
            return self.execute(argument, raft_node.propose(self.entries, self.now)[1])
        self.crashes_left -= 1
        term, vote, entries = 0, "", []
        for record in self.disks[argument]:
            term, vote = record.term, record.voted_for
            entries = [
                e for e in entries if not record.truncate_from or e.index < record.truncate_from
            ] + record.entries
        self.writes[argument] = []
        self.keepers[argument] = RaftNode(
            argument, ClusterConfiguration(NAMES, ()), constant_random, self.now
        )
        self.keepers[argument].load(term, vote, None, entries)

    def execute(self, name, actions):
        for action in actions:
            match action:
                case SendMessage(to, message):
                    if (
                        isinstance(message, RequestVoteResponse)
                        and message.vote_granted
                        and not message.pre_vote
                    ):
                        self.check_unique(self.votes, (name, message.term), to, "votes")
                    if (name, to, message) not in self.in_flight:
                        self.in_flight.append((name, to, message))
                case PersistState():
                    self.writes[name].append(action)
                case LeadershipChanged(True, term):
                    self.check_unique(self.leaders, term, name, "leaders")
                    self.check_unique(self.votes, (name, term), name, "votes")
                case ApplyEntries(entries):
                    for entry in entries:
                        self.check_unique(self.applied, entry.index, entry, "applied")

    def check_unique(self, table, key, value, what):
        if table.setdefault(key, value) != value:
            raise Broken(what, key, value, table[key], self.steps)

    def state(self):
        return repr(
            (
                sorted(map(repr, self.in_flight)),
                self.timeouts_left,
                self.losses_left,
                self.crashes_left,
                self.entries,
                [
                    (
                        k.current_term,
                        k.voted_for,
                        k.role.name,
                        k.log.entries,
                        k.commit_index,
                        k.last_applied,
                        sorted(k.votes.items()),
                        sorted(k.match_index.items()),
                        sorted(k.next_index.items()),
                        len(self.writes[n]),
                        k.write_number,
                        k.persisted_number,
                        list(k.held_messages),
                        k.leader,
                    )
                    for n, k in self.keepers.items()
                ],
                [
                    [(r.term, r.voted_for, r.truncate_from, r.entries) for r in disk]
                    for disk in self.disks.values()
                ],
            )
        )


def explore_to_depth(depth, contested=False):
    """Return the number of distinct states; raises Broken at the first violation."""
    return exploring.explore_to_depth(Instance().contested() if contested else Instance(), depth)


if __name__ == "__main__":
    sys.exit(
        exploring.main(
            sys.argv[1:],
            "explore_keepers",
            __doc__,
            lambda wanted: Instance().contested() if wanted.contested else Instance(),
            7,
            contested="start where two voters stand for the same term",
        )
    )
