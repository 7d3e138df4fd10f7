"""How fronts follow the log and ask for entries, and what a keeper answers them. No I/O: (event, now) in, actions out.

A front asks one keeper after another until it has the leader, then asks it again and again: what it has not applied,
a lease, and the answers to what it proposed. Nothing on a GET's path waits for any of it.
"""

from typing import NamedTuple

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.fleet.consensus.log_entry import DATA
from sprucegate.fleet.consensus.raft_state import Role

MS, S = 1_000_000, 1_000_000_000
EVERY = 100 * MS  # between two questions of a follower
AGAIN = 400 * MS  # without an answer: the next keeper is asked
ENTRIES_MOST = 200  # in one answer
ASKED_MOST = 200  # proposals of one front under way
HINTS_MOST = 1000
FOLLOWERS_MOST = 2000  # fronts that a keeper remembers


class Follow(NamedTuple):
    """What the front has applied, its life, and its report for the leader (see rollout/leader)."""

    index: int
    life: int
    number: int
    report: list


class Entries(NamedTuple):
    """To a Follow: committed entries after `before`, as [index, command]; `leads`: it counts for a lease."""

    number: int
    before: int
    entries: list
    committed: int
    leads: bool
    leader: str


class State(NamedTuple):
    """To a Follow of one too far behind: the machine's whole state at an index."""

    number: int
    index: int
    state: object
    leads: bool
    leader: str


class Propose(NamedTuple):
    number: int
    command: list


class Proposed(NamedTuple):
    """The word for a proposal, once it is applied at the leader; `index` 0: not here, ask `leader`."""

    number: int
    index: int
    word: str
    leader: str


class Applied(NamedTuple):
    """For the follower's machine, in order."""

    entries: list


class Replaced(NamedTuple):
    """The machine's state stands for all up to an index."""

    index: int
    state: object


class Word(NamedTuple):
    """The end of a proposal: the word, or "" where nobody could be asked in time."""

    token: object
    word: str
    index: int


class Follower:
    """One front's side. `lease`: ns for which an answer of the leader holds, counted from its question."""

    def __init__(self, keepers, life, chance, now, lease):
        self.keepers, self.life, self.chance, self.lease = list(keepers), life, chance, lease
        self.index, self.committed, self.number, self.at = 0, 0, 0, now
        self.asked_at, self.answered, self.keeper, self.leader = now, True, "", ""
        self.until, self.report = now, []  # the lease; what is told the leader
        self.proposals, self.sent = {}, 0  # number -> [command, token, until, sent at]

    def fenced(self, now):
        """Whether the leader may count without this front. Asked before each action that rests on the lease."""
        return now >= self.until

    def next_due(self):
        return self.at

    def propose(self, command, token, now, patience):
        """Given to the leader, and again to the next one, until `patience` (ns) is over."""
        if len(self.proposals) >= ASKED_MOST:
            return [Word(token, "", 0)]
        self.sent += 1
        self.proposals[self.sent] = [command, token, now + patience, 0]
        return self._offer(now)

    def due(self, now):
        done = [Word(p[1], "", 0) for p in self.proposals.values() if now >= p[2]]
        self.proposals = {n: p for n, p in self.proposals.items() if now < p[2]}
        if now >= self.at:
            self.at = now + EVERY
            if self.answered or now - self.asked_at >= AGAIN:
                if not self.answered or not self.keeper:
                    self._other()
                done += self._ask(now)
        return done + self._offer(now)

    def heard(self, sender, message, now):
        if isinstance(message, Proposed):
            return self._proposed(message, now)
        if message.number != self.number or sender != self.keeper or self.answered:
            return []
        self.answered = True
        if message.leads:
            self.leader, self.until = sender, max(self.until, self.asked_at + self.lease)
        elif message.leader and message.leader != sender and message.leader in self.keepers:
            self.keeper = self.leader = message.leader
            self.at = now
        else:
            self._other()
        if isinstance(message, State):
            if message.index <= self.index:
                return []
            self.index = message.index
            return [Replaced(message.index, message.state)]
        self.committed = max(self.committed, message.committed)
        fresh = [e for e in message.entries if e[0] > self.index]
        if message.before > self.index or not fresh:
            return []
        self.index = fresh[-1][0]
        if self.index < self.committed:
            self.at = now  # more is there
        return [Applied(fresh)]

    def _ask(self, now):
        self.number += 1
        self.asked_at, self.answered = now, False
        report, self.report = (
            self.report,
            [],
        )  # once each: two hundred fronts' reports are what a leader hears
        return [SendMessage(self.keeper, Follow(self.index, self.life, self.number, report))]

    def _other(self):
        others = [k for k in self.keepers if k != self.keeper] or self.keepers
        self.keeper = self.chance.pick("keeper", sorted(others), 1)[0]

    def _offer(self, now):
        to = self.leader or self.keeper
        done = []
        for number, one in self.proposals.items():
            if to and now - one[3] >= AGAIN:
                one[3] = now
                done.append(SendMessage(to, Propose(number, one[0])))
        return done

    def _proposed(self, message, now):
        one = self.proposals.get(message.number)
        if one is None:
            return []
        if not message.index:
            # Not at once: while there is no leader each would point to another.
            self.leader = message.leader if message.leader in self.keepers else ""
            one[3] = now - AGAIN + EVERY
            return []
        del self.proposals[message.number]
        return [Word(one[1], message.word, message.index)]


class Heard(NamedTuple):
    """The last question of a front, and its last report; times in ns on the keeper's clock."""

    life: int
    at: int
    report: list
    reported: int  # when the report came: not each question has one


class Serving:
    """A keeper's side: its machine, answers to followers, and words for those that proposed."""

    def __init__(self, keeper, machine):
        self.keeper, self.machine = keeper, machine
        self.recent, self.asked = (
            [],
            {},
        )  # [index, command] applied since the machine's oldest known; index -> whom
        self.heard_from = {}  # front -> Heard, for whoever leads

    def installed(self, index, state):
        self.machine.loaded(state)
        self.machine.index, self.recent = index, []

    def applied(self, entries, now):
        """Committed entries go into the machine; who proposed them gets its word. (sends, permits granted)."""
        sends, granted = [], []
        for entry in entries:
            command = entry.data if entry.kind == DATA else None
            word, fresh = self.machine.apply(entry.index, command)
            granted += fresh
            self.recent.append([entry.index, command])
            for name, number, term in self.asked.pop(entry.index, ()):
                # Another leader may have put another entry there: then nothing is known of this one here.
                said = (
                    Proposed(number, entry.index, word, "")
                    if term == entry.term
                    else Proposed(number, 0, "", "")
                )
                sends.append(SendMessage(name, said))
        del self.recent[: -5 * ENTRIES_MOST]
        return sends, granted

    def heard(self, sender, message, now):
        if isinstance(message, Follow):
            if message.life:  # a front; an agent of boxes has none
                last = self.heard_from.pop(sender, None)
                while len(self.heard_from) >= FOLLOWERS_MOST:
                    del self.heard_from[next(iter(self.heard_from))]  # whoever was heard longest ago
                if message.report or last is None or last.life != message.life:
                    self.heard_from[sender] = Heard(message.life, now, message.report, now)
                else:
                    self.heard_from[sender] = last._replace(at=now)  # the last report of that life stands
            return [SendMessage(sender, self._followed(message, now))]
        index, done = self.keeper.propose(message.command, now)
        if not index:
            return [SendMessage(sender, Proposed(message.number, 0, "", self._leader()))]
        while len(self.asked) > HINTS_MOST:
            del self.asked[next(iter(self.asked))]
        self.asked[index] = [(sender, message.number, self.keeper.current_term)]
        return done

    def lost(self):
        """This keeper leads no more: what it took may be committed by another, or not."""
        asked, self.asked = self.asked, {}
        return [
            SendMessage(name, Proposed(number, 0, "", self._leader()))
            for whom in asked.values()
            for name, number, _ in whom
        ]

    def leads(self, now):
        """By a majority heard within an election time: one that stood still does not say so any more."""
        return self.keeper.in_contact_with_quorum(now)

    def _leader(self):
        return self.keeper.name if self.keeper.role is Role.LEADER else self.keeper.leader

    def _followed(self, asked, now):
        machine, leads = self.machine, self.leads(now)
        first = self.recent[0][0] if self.recent else machine.index + 1
        if asked.index + 1 < first and asked.index < machine.index:
            return State(asked.number, machine.index, machine.told(), leads, self._leader())
        begin = asked.index + 1 - first
        return Entries(
            asked.number,
            asked.index,
            self.recent[begin : begin + ENTRIES_MOST],
            machine.index,
            leads,
            self._leader(),
        )
