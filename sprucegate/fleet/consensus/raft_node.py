"""One of three or five keepers of an agreed log: Raft, without I/O and without a clock.

Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections and replication (chapter 3), leadership moved on
(3.10), one-server changes of members with learners first (4.2), never before an entry of the leader's own term is
committed (his correction of 2015), snapshots (5), reads that are current by a round of heartbeats (6.4), pre-vote
(9.6), check-quorum (6.2). (event, now) in, actions out; times in ns on a clock that never goes back. `chance` gives
numbers from 0 to 1.

Nothing is said before what it promises is on disk: a Send that rests on a Write is held until `synced`.
"""

from collections import deque
from enum import Enum, auto
from typing import NamedTuple

MS, S = 1_000_000, 1_000_000_000
BATCH = 64  # entries in one message
OPEN_MOST = 256  # entries proposed and not yet committed
READS_MOST = 1024
DATA, CONFIG, NOTHING = "data", "config", "nothing"


class Entry(NamedTuple):
    index: int
    term: int
    kind: str
    data: object


class Config(NamedTuple):
    """Who votes, and who only gets the log; as tuples in one order."""

    voters: tuple
    learners: tuple


class Vote(NamedTuple):
    """`pre`: would you? Nothing changes by it. `moved`: the leader asked this one to stand."""

    term: int
    last: int
    last_term: int
    pre: bool
    moved: bool


class VoteAnswer(NamedTuple):
    term: int
    pre: bool
    granted: bool


class Append(NamedTuple):
    term: int
    before: int
    before_term: int
    entries: list
    committed: int
    round: int


class AppendAnswer(NamedTuple):
    """`match`: up to where the follower has what the leader sent, on its disk; or from where it lacks it (not `ok`)."""

    term: int
    ok: bool
    match: int
    round: int


class Whole(NamedTuple):
    """The leader's snapshot, for one whose next entry is no longer in the log."""

    term: int
    index: int
    index_term: int
    config: Config
    state: object
    round: int


class Stand(NamedTuple):
    """The leader steps back: stand for election now."""

    term: int


class Send(NamedTuple):
    to: str
    message: tuple


class Write(NamedTuple):
    """To be kept and synced in order, then `synced(number)`: term and vote, a cut of the log from an index on, entries.

    With a snapshot the log before is gone, and `entries` is all that follows it.
    """

    number: int
    term: int
    vote: str
    cut: int
    entries: list
    snapshot: object  # (index, term, Config, state) or None


class Apply(NamedTuple):
    """Committed, in order, each once in this process."""

    entries: list


class Install(NamedTuple):
    """A leader's snapshot stands for all up to its index."""

    index: int
    state: object


class Leads(NamedTuple):
    """This keeper leads from here on, or does no more."""

    on: bool
    term: int


class Current(NamedTuple):
    """What is applied up to `index` is as new as the read asked for; index -1: it can't be told here."""

    token: object
    index: int


class Role(Enum):
    FOLLOWER = auto()
    ASKING = auto()  # pre-vote
    CANDIDATE = auto()
    LEADER = auto()


class Pace(NamedTuple):
    election: int = 300 * MS  # without a leader, up to twice that by chance
    beat: int = 60 * MS


class Keeper:
    def __init__(self, name, config, chance, now, pace=None):
        """`config`: the first one, alike at all keepers that begin a fleet; who joins later begins with no voters."""
        self.name, self.chance, self.pace = name, chance, pace or Pace()
        self.term, self.vote, self.leader, self.role = 0, "", "", Role.FOLLOWER
        self.base, self.base_term, self.base_config, self.base_state = 0, 0, config, None
        self.log = []  # entries from base + 1 on
        self.committed = self.applied = self.synced_to = 0
        self.number, self.done_number, self.held = (
            0,
            0,
            deque(),
        )  # writes; what waits for them: (number, Send)
        self.ends = deque()  # (number, last index) of writes that are under way
        self.next, self.match, self.heard_at, self.votes = {}, {}, {}, {}
        self.rounds, self.acked, self.reads, self.moving, self.moving_until = 0, {}, deque(), "", 0
        self.leader_at, self.due_at, self.failed = -S, 0, False
        self._wait(now)

    # Asked.

    def config(self):
        """The latest in the log, committed or not."""
        return next((e.data for e in reversed(self.log) if e.kind == CONFIG), self.base_config)

    def last(self):
        return self.base + len(self.log)

    def term_of(self, index):
        """0 where it is not known any more, or not yet."""
        if index == self.base:
            return self.base_term
        return self.log[index - self.base - 1].term if self.base < index <= self.last() else 0

    def next_due(self):
        return self.due_at

    def in_touch(self, now):
        """Whether it leads, and a majority answered within an election time."""
        heard = [n for n, at in self.heard_at.items() if now - at <= self.pace.election]
        return self.role is Role.LEADER and self._quorum(heard)

    # What happens.

    def loaded(self, term, vote, snapshot, entries):
        self.term, self.vote, self.log = term, vote, list(entries)
        if snapshot is not None:
            self.base, self.base_term, self.base_config, self.base_state = snapshot
            self.committed = self.applied = self.base
        self.synced_to = self.last()

    def alone(self):
        """An operator's word that the others are gone for good: this one is all. What only they had is lost."""
        self.term, self.vote = self.term + 1, ""
        entry = Entry(self.last() + 1, self.term, CONFIG, Config((self.name,), ()))
        self.log.append(entry)
        return [self._write(entries=[entry])]

    def due(self, now):
        if now < self.due_at or self.failed:
            self.due_at = max(self.due_at, now + self.pace.beat) if self.failed else self.due_at
            return []
        if self.role is Role.LEADER:
            if not self.in_touch(now):
                return self._follows(self.term, "", now)  # cut off: another may lead on the other side
            if now >= self.moving_until:
                self.moving = ""  # whoever was to take over did not
            self.due_at = now + self.pace.beat
            return self._all(now)
        if self.name not in self.config().voters:
            self._wait(now)
            return []
        return self._asks(now, pre=True, moved=False)

    def heard(self, sender, message, now):
        if self.failed:
            return []
        if isinstance(message, Vote):
            return self._vote(sender, message, now)
        if isinstance(message, VoteAnswer):
            return self._voted(sender, message, now)
        done = []
        if message.term > self.term:
            done = self._follows(message.term, "", now)
        if isinstance(message, AppendAnswer):
            return done + self._appended(sender, message, now)
        if message.term < self.term:
            return [*done, Send(sender, AppendAnswer(self.term, False, self.last(), 0))]
        if isinstance(message, Stand):
            return done + (
                self._asks(now, pre=False, moved=True) if self.name in self.config().voters else []
            )
        if self.role is not Role.FOLLOWER or self.leader != sender:
            done += self._follows(self.term, sender, now)
        self.leader_at = now
        self._wait(now)
        return done + (
            self._append(sender, message) if isinstance(message, Append) else self._whole(sender, message)
        )

    def propose(self, data, now):
        """(index, actions); index 0 where this one does not lead or has too much open."""
        if self.role is not Role.LEADER or self.moving or self.last() - self.committed >= OPEN_MOST:
            return 0, []
        return self._takes(DATA, data, now)

    def change(self, voters, learners, now):
        """(index, actions) of a change of members; 0 where it may not be made now.

        One voter more or fewer at a time, a new one from among the learners; not before the last change and an entry of
        this term are committed, or two majorities that don't meet could each decide.
        """
        old, new = self.config(), Config(tuple(voters), tuple(learners))
        pending = any(e.kind == CONFIG for e in self.log[max(0, self.committed - self.base) :])
        moved = set(old.voters) ^ set(new.voters)
        if (
            self.role is not Role.LEADER
            or self.moving
            or pending
            or self.term_of(self.committed) != self.term
            or len(moved) > 1
            or not new.voters
            or not moved & set(new.voters) <= set(old.learners)
        ):
            return 0, []
        return self._takes(CONFIG, new, now)

    def read(self, token, now):
        """Current is told once a majority has answered a round begun after this: one that stood still finds out."""
        if (
            self.role is not Role.LEADER
            or self.term_of(self.committed) != self.term
            or len(self.reads) >= READS_MOST
        ):
            return [Current(token, -1)]
        done = self._all(now)
        self.reads.append((self.rounds, self.committed, token))
        return done + self._reads_done()

    def moves(self, to, now):
        """Leadership goes on to that voter, once it has the whole log."""
        if self.role is not Role.LEADER or to not in self.config().voters or to == self.name:
            return []
        self.moving, self.moving_until = to, now + self.pace.election
        return self._move_on()

    def compacted(self, index, state):
        """The state at `index`, which is applied, stands for the log up to there."""
        if not self.base < index <= self.applied:
            return []
        config = next(
            (e.data for e in reversed(self.log[: index - self.base]) if e.kind == CONFIG), self.base_config
        )
        term, rest = self.term_of(index), self.log[index - self.base :]
        self.base, self.base_term, self.base_config, self.base_state, self.log = (
            index,
            term,
            config,
            state,
            rest,
        )
        return [self._write(snapshot=(index, term, config, state), entries=rest, cut=index + 1)]

    def synced(self, number, now):
        """All writes up to that one last."""
        self.done_number = max(self.done_number, number)
        while self.ends and self.ends[0][0] <= number:
            self.synced_to = self.ends.popleft()[1]
        done = []
        while self.held and self.held[0][0] <= number:
            done.append(self.held.popleft()[1])
        return done + self._commits(now)

    def not_kept(self, now):
        """The disk fails: nothing more is promised, and somebody else leads. It takes a new start."""
        self.failed, self.held = True, deque()
        return self._follows(self.term, "", now) if self.role is Role.LEADER else []

    # Writing before telling.

    def _write(self, cut=0, entries=(), snapshot=None):
        self.number += 1
        self.ends.append((self.number, self.last()))
        return Write(self.number, self.term, self.vote, cut, list(entries), snapshot)

    def _after_writes(self, send):
        """The send now, where nothing is being written; else it waits for all that is."""
        if self.number == self.done_number:
            return [send]
        self.held.append((self.number, send))
        return []

    # Elections.

    def _wait(self, now):
        self.due_at = now + self.pace.election + int(self.pace.election * self.chance("election"))

    def _follows(self, term, leader, now):
        done = [Leads(False, self.term)] if self.role is Role.LEADER else []
        done += [Current(token, -1) for _, _, token in self.reads]
        self.reads.clear()
        self.role, self.leader, self.moving = Role.FOLLOWER, leader, ""
        if term > self.term:
            self.term, self.vote = term, ""
            done.append(self._write())
        self._wait(now)
        return done

    def _asks(self, now, pre, moved):
        done = []
        self.leader = ""
        if pre:
            self.role, term = Role.ASKING, self.term + 1
        else:
            self.role, self.term, self.vote = Role.CANDIDATE, self.term + 1, self.name
            term, done = self.term, [self._write()]
        self.votes = {self.name: True}
        self._wait(now)
        message = Vote(term, self.last(), self.term_of(self.last()), pre, moved)
        for name in self.config().voters:
            if name != self.name:
                done += [Send(name, message)] if pre else self._after_writes(Send(name, message))
        return done + self._counted(now)

    def _vote(self, sender, asked, now):
        up_to_date = (asked.last_term, asked.last) >= (self.term_of(self.last()), self.last())
        # One who hears a leader doesn't help to depose it, unless that leader wants it.
        content = self.role is Role.LEADER or now - self.leader_at < self.pace.election
        if asked.pre:
            granted = up_to_date and not content and asked.term > self.term
            return [Send(sender, VoteAnswer(asked.term if granted else self.term, True, granted))]
        if content and not asked.moved:
            return []
        done = self._follows(asked.term, "", now) if asked.term > self.term else []
        granted = (
            asked.term == self.term
            and up_to_date
            and self.vote in ("", sender)
            and self.role is Role.FOLLOWER
        )
        if granted and not self.vote:
            self.vote = sender
            done.append(self._write())
            self._wait(now)
        return done + self._after_writes(Send(sender, VoteAnswer(self.term, False, granted)))

    def _voted(self, sender, answer, now):
        if answer.term > self.term and not (answer.pre and answer.granted):
            return self._follows(answer.term, "", now)
        wanted = Role.ASKING if answer.pre else Role.CANDIDATE
        if self.role is not wanted or not answer.pre and answer.term != self.term:
            return []
        self.votes[sender] = answer.granted
        return self._counted(now)

    def _counted(self, now):
        if not self._quorum([n for n, granted in self.votes.items() if granted]):
            return []
        if self.role is Role.ASKING:
            return self._asks(now, pre=False, moved=False)
        if self.number != self.done_number:
            return []  # its own vote is not on disk yet: `synced` counts again
        self.role, self.leader, self.rounds = Role.LEADER, self.name, 0
        self.next = dict.fromkeys(self._others(), self.last() + 1)
        self.match, self.acked = dict.fromkeys(self.next, 0), dict.fromkeys(self.next, 0)
        self.heard_at = dict.fromkeys(self.next, now)
        self.due_at = now + self.pace.beat
        return [Leads(True, self.term), *self._takes(NOTHING, None, now)[1]]

    def _quorum(self, names):
        voters = self.config().voters
        return 2 * len({*names, self.name} & set(voters)) > len(voters)

    def _others(self):
        config = self.config()
        return [name for name in (*config.voters, *config.learners) if name != self.name]

    # The leader.

    def _takes(self, kind, data, now):
        entry = Entry(self.last() + 1, self.term, kind, data)
        self.log.append(entry)
        done = [self._write(entries=[entry])]
        for name in self._others():
            self.next.setdefault(name, self.base + 1)
            self.match.setdefault(name, 0)
            self.acked.setdefault(name, 0)
            self.heard_at.setdefault(name, now)
        for name in self._others():
            done += self._feeds(name)
        return entry.index, done

    def _all(self, now):
        self.rounds += 1
        return [action for name in self._others() for action in self._feeds(name)]

    def _feeds(self, name):
        """What that one lacks, as far as is known. It may go before this disk has it: a leader counts itself later."""
        begin = self.next[name]
        if begin <= self.base:
            if self.base_state is None and self.base == 0:
                begin = 1
            else:
                return [
                    Send(
                        name,
                        Whole(
                            self.term,
                            self.base,
                            self.base_term,
                            self.base_config,
                            self.base_state,
                            self.rounds,
                        ),
                    )
                ]
        entries = self.log[begin - self.base - 1 : begin - self.base - 1 + BATCH]
        return [
            Send(
                name,
                Append(self.term, begin - 1, self.term_of(begin - 1), entries, self.committed, self.rounds),
            )
        ]

    def _appended(self, sender, answer, now):
        if self.role is not Role.LEADER or answer.term != self.term or sender not in self.match:
            return []
        self.heard_at[sender] = now
        self.acked[sender] = max(self.acked[sender], answer.round)
        done = self._reads_done()
        if not answer.ok:
            self.next[sender] = max(self.match[sender] + 1, min(self.next[sender] - 1, answer.match + 1))
            return done + self._feeds(sender)
        fresh = answer.match > self.match[sender]
        self.match[sender] = max(self.match[sender], answer.match)
        self.next[sender] = max(self.next[sender], self.match[sender] + 1)
        done += self._commits(now) if fresh else []
        if fresh and self.role is Role.LEADER and self.next[sender] <= self.last():
            done += self._feeds(sender)
        return done + self._move_on()

    def _commits(self, now):
        """By what a majority has on disk, and only entries of this leader's own term: older ones go with them."""
        if self.role is Role.CANDIDATE:
            return self._counted(now)
        if self.role is not Role.LEADER:
            return self._applies()
        voters = self.config().voters
        matches = sorted(
            [self.synced_to if name == self.name else self.match.get(name, 0) for name in voters]
        )
        index = matches[(len(voters) - 1) // 2]
        if index > self.committed and self.term_of(index) == self.term:
            self.committed = index
            done = self._applies()
            if self.name not in self.config().voters:
                return [*done, *self._follows(self.term, "", now)]  # its own removal is decided
            return done + self._all(now)  # so that followers act on it now and not at the next beat
        return self._applies()

    def _applies(self):
        upto = min(self.committed, self.last())
        if upto <= self.applied:
            return []
        entries = self.log[self.applied - self.base : upto - self.base]
        self.applied = upto
        return [Apply(entries)]

    def _reads_done(self):
        done = []
        while self.reads and self._quorum(
            [n for n, acked in self.acked.items() if acked >= self.reads[0][0]]
        ):
            _, index, token = self.reads.popleft()
            done.append(Current(token, index))
        return done

    def _move_on(self):
        if self.moving and self.match.get(self.moving, 0) == self.last():
            return [Send(self.moving, Stand(self.term))]
        return []

    # The follower.

    def _append(self, sender, message):
        before, done = message.before, []
        if before < self.base:
            # What the snapshot has is committed, so it is the same there.
            skip = self.base - before
            message = message._replace(
                before=self.base, before_term=self.base_term, entries=message.entries[skip:]
            )
            before = self.base
        if before > self.last() or self.term_of(before) != message.before_term:
            hint = min(self.last(), before - 1)
            while hint > self.committed and self.term_of(hint) > message.before_term:
                hint -= 1
            return [Send(sender, AppendAnswer(self.term, False, hint, message.round))]
        fresh = next((at for at, e in enumerate(message.entries) if self.term_of(e.index) != e.term), None)
        upto = before + len(message.entries)
        if fresh is not None:
            entries = message.entries[fresh:]
            cut = entries[0].index if entries[0].index <= self.last() else 0
            self.log[entries[0].index - self.base - 1 :] = entries
            self.synced_to = min(self.synced_to, entries[0].index - 1)
            self.ends = deque((number, min(last, entries[0].index - 1)) for number, last in self.ends)
            done.append(self._write(cut=cut, entries=entries))
        self.committed = max(self.committed, min(message.committed, upto))
        done += self._applies()
        return done + self._after_writes(Send(sender, AppendAnswer(self.term, True, upto, message.round)))

    def _whole(self, sender, message):
        done = []
        if message.index > self.committed:
            keeps = self.term_of(message.index) == message.index_term
            self.log = self.log[message.index - self.base :] if keeps else []
            self.base, self.base_term = message.index, message.index_term
            self.base_config, self.base_state = message.config, message.state
            self.committed = self.applied = message.index
            done = [
                self._write(
                    cut=message.index + 1,
                    entries=self.log,
                    snapshot=(message.index, message.index_term, message.config, message.state),
                ),
                Install(message.index, message.state),
            ]
        return done + self._after_writes(
            Send(sender, AppendAnswer(self.term, True, max(message.index, self.base), message.round))
        )
