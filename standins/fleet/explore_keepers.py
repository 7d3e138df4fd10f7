"""All interleavings of three keepers to a stated depth: `python -m standins.fleet.explore_keepers --depth 8`.

A step is: a keeper's time is up (so often as allowed), a message comes or, once, is lost, a write gets to disk, the
leader is given one of two entries, a keeper is killed once and comes back with its disk. In each state: one leader a
term, one vote a keeper and term, and what is applied at an index is one thing.
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
    """What broke, where, and after which steps."""


def half(_text):
    """Chance has no part in it: which timer ends first is a step."""
    return 0.5


class Instance:
    def __init__(self, timeouts=3, losses=1, crashes=1, entries=2):
        self.timeouts, self.losses, self.crashes, self.entries, self.steps = (
            timeouts,
            losses,
            crashes,
            entries,
            (),
        )
        self.disks, self.writes = {n: [] for n in NAMES}, {n: [] for n in NAMES}
        self.keepers = {n: RaftNode(n, ClusterConfiguration(NAMES, ()), half, 0) for n in NAMES}
        self.flying, self.leads, self.votes, self.applied, self.now = [], {}, {}, {}, S

    def contested(self):
        """Two of them stand for the same term, by the pre-votes of the third: where votes can go wrong."""
        for name in ("a", "b"):
            self.step("time", name)
        for name in ("a", "b"):
            for sender, to in ((name, "c"), ("c", name)):
                at = next(at for at, (s, t, _) in enumerate(self.flying) if (s, t) == (sender, to))
                self.step("come", at)
        self.flying = [
            one for one in self.flying if not isinstance(one[2], RequestVote) or not one[2].pre_vote
        ]
        return self

    def possible(self):
        found = [("come", at) for at in range(len(self.flying))]
        found += [("lose", at) for at in range(len(self.flying))] if self.losses else []
        found += [("sync", n) for n in NAMES if self.writes[n]]
        found += [("time", n) for n in NAMES] if self.timeouts else []
        found += [("kill", n) for n in NAMES] if self.crashes else []
        return found + [("give", n) for n in NAMES if self.entries and self.keepers[n].role.name == "LEADER"]

    def step(self, what, given):
        self.steps += ((what, given),)
        self.now += S  # long after any leader was heard: nobody is content for that reason alone
        if what in ("come", "lose"):
            sender, to, message = self.flying.pop(given)
            self.losses -= what == "lose"
            return (
                self.done(to, self.keepers[to].on_message(sender, message, self.now))
                if what == "come"
                else None
            )
        keeper = self.keepers[given]
        if what == "sync":
            write = self.writes[given].pop(0)
            self.disks[given].append(write)
            return self.done(given, keeper.on_persisted(write.number, self.now))
        if what == "time":
            self.timeouts -= 1
            keeper.last_contact = dict.fromkeys(
                keeper.last_contact, self.now
            )  # a leader stays one: to step down is safe
            return self.done(given, keeper.on_timer(max(self.now, keeper.timer_deadline)))
        if what == "give":
            self.entries -= 1
            return self.done(given, keeper.propose(self.entries, self.now)[1])
        self.crashes -= 1
        term, vote, entries = 0, "", []
        for record in self.disks[given]:
            term, vote = record.term, record.voted_for
            entries = [
                e for e in entries if not record.truncate_from or e.index < record.truncate_from
            ] + record.entries
        self.writes[given] = []
        self.keepers[given] = RaftNode(given, ClusterConfiguration(NAMES, ()), half, self.now)
        self.keepers[given].load(term, vote, None, entries)

    def done(self, name, actions):
        for action in actions:
            match action:
                case SendMessage(to, message):
                    if (
                        isinstance(message, RequestVoteResponse)
                        and message.vote_granted
                        and not message.pre_vote
                    ):
                        self.once(self.votes, (name, message.term), to, "votes")
                    if (name, to, message) not in self.flying:
                        self.flying.append((name, to, message))
                case PersistState():
                    self.writes[name].append(action)
                case LeadershipChanged(True, term):
                    self.once(self.leads, term, name, "leaders")
                    self.once(self.votes, (name, term), name, "votes")
                case ApplyEntries(entries):
                    for entry in entries:
                        self.once(self.applied, entry.index, entry, "applied")

    def once(self, table, key, value, what):
        if table.setdefault(key, value) != value:
            raise Broken(what, key, value, table[key], self.steps)

    def state(self):
        return repr(
            (
                sorted(map(repr, self.flying)),
                self.timeouts,
                self.losses,
                self.crashes,
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


def explored(depth, contested=False):
    """How many states were reached; raises Broken at the first that breaks."""
    return exploring.explored(Instance().contested() if contested else Instance(), depth)


if __name__ == "__main__":
    sys.exit(
        exploring.main(
            sys.argv[1:],
            "explore_keepers",
            __doc__,
            lambda wanted: Instance().contested() if wanted.contested else Instance(),
            7,
            contested="from where two stand for one term",
        )
    )
