"""Which fronts there are and how each stands: SWIM with Lifeguard's local health. No I/O, no clock.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
DSN 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
DSN-W 2018: local health multiplier, suspicion by accusers, the suspect is told first. Times in ns on any clock that
never goes back.

A member's life is `start << 32 | being`: the start is counted on disk and rises, the being is drawn at each start, so
that no two processes share a life even where a disk was copied or put back. A turn counts refutations in one life.
"""

import heapq
from enum import IntEnum
from itertools import count
from typing import NamedTuple

from sprucegate.fleet.failure_detector.pace import Pace

MEMBERS_MOST = 1000
HURRY = 30_000_000_000  # ns after the start


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Member(NamedTuple):
    """How a front stands, and by whose word."""

    name: str
    address: str
    life: int
    turn: int
    standing: int
    by: str

    def over(self, other):
        """Whether this word stands against an older one: later life, later turn, then the worse standing."""
        return (self.life, self.turn, self.standing) > (other.life, other.turn, other.standing)


class Ping(NamedTuple):
    """`held` is a digest of what the sender has, for whoever compares."""

    number: int
    to: str
    held: int
    news: list


class Ack(NamedTuple):
    number: int
    held: int
    news: list


class PingFor(NamedTuple):
    """Please probe that one and pass its answer on."""

    number: int
    target: str
    news: list


class Nack(NamedTuple):
    """The helper is there, the target has not answered it yet."""

    number: int


class All(NamedTuple):
    """All members that the sender knows."""

    members: list
    answer: bool


class Refused(NamedTuple):
    """That life's links were reset and its port refuses: its process has ended, as far as this front can tell."""

    name: str
    life: int


class Look(NamedTuple):
    """Dial that front and hang up; `refused` is to be called where its port refuses, nothing where nothing comes."""

    name: str
    address: str
    life: int


class Answered(NamedTuple):
    """This front's probe was answered: by the member itself, or only to a helper."""

    name: str
    direct: bool


class Slept(NamedTuple):
    """This process stood still."""

    lost: int


class Send(NamedTuple):
    """To a member by name, or to an address where the name is not known yet."""

    to: str
    address: str
    message: tuple


class Stands(NamedTuple):
    """A member stands otherwise than before; `before` is None for a new one."""

    member: Member
    before: Member | None


class Doubled(NamedTuple):
    """Another process bears this front's name. A start above `least` is to be kept on disk, then `renewed` called.

    With `alias` it goes on under that name: the two are alive together, and this one gives way.
    """

    own: int
    other: int
    least: int
    alias: str


class Fenced(NamedTuple):
    """The others had counted this front as gone: what they let go meanwhile must not come back by it."""


class Probe(NamedTuple):
    target: str
    number: int
    life: int


class Members:
    def __init__(self, own, seeds, chance, now, pace=None):
        self.own, self.chance, self.pace = own, chance, pace or Pace()
        self.seeds = [address for address in seeds if address != own.address]
        self.known = {own.name: own}
        self.health = 0  # Lifeguard's local health: 0 is well
        self.numbers, self.order, self.timers = count(1), count(), []
        self.probe, self.nacks, self.round = None, 0, []
        self.helping = {}  # number of a probe for another -> (who asked, its number, until)
        self.accusers, self.suspected = {}, {}  # name -> who accuse; -> (since, when it is gone)
        self.news = {}  # name -> how often its word was borne
        self.held, self.renewals, self.doubtful = 0, 0, False
        self.refusals, self.looked = {}, {}  # name -> (life, by whom); -> when it was dialled last
        self.ended = {}  # name -> the life whose end was confirmed
        self.met = False  # whether any other front has ever been heard
        self.begun = now
        for what, wait in (("probe", 0), ("sync", self.pace.sync), ("reach", 0)):
            self._arm(now + wait, what, None)

    # Asked.

    def alive(self):
        """Others that are not known to be gone, by name."""
        return [
            m
            for _, m in sorted(self.known.items())
            if m.standing <= MemberState.SUSPECT and m.name != self.own.name
        ]

    def size(self):
        return 1 + sum(
            [m.standing <= MemberState.SUSPECT for m in self.known.values() if m.name != self.own.name]
        )

    def next_due(self):
        return self.timers[0][0] if self.timers else None

    def unmet(self):
        """Addresses of the file at which no member is known."""
        addresses = {m.address for m in self.known.values()}
        return [address for address in self.seeds if address not in addresses]

    # What happens.

    def due(self, now):
        done = []
        if self.timers and now - self.timers[0][0] > self.pace.period:
            done.append(Slept(now - self.timers[0][0]))
            self._slept(now)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, given = heapq.heappop(self.timers)
            done += getattr(self, "_" + what)(given, now)
        return done

    def _slept(self, now):
        """This process stood still: its answers may lie unread. No probe counts, suspects get the time back."""
        lost = now - self.timers[0][0]
        self.probe, self.health = None, min(self.pace.health_most, self.health + 1)
        self.suspected = {name: (since + lost, end + lost) for name, (since, end) in self.suspected.items()}
        self.timers = [t for t in self.timers if t[2] not in ("probe", "helpers", "gone")]
        heapq.heapify(self.timers)
        self._arm(now + self.pace.period, "probe", None)
        for name, (_, end) in self.suspected.items():
            self._arm(end, "gone", name)

    def heard(self, sender, message, now):
        """`sender` is the name that the link's greeting gave."""
        self.met = self.met or sender in self.known and sender != self.own.name
        match message:
            case Ping():
                done = self._news(message.news, now)
                if message.to != self.own.name:
                    return done  # meant for whoever had this address before
                return [*done, Send(sender, "", Ack(message.number, self.held, self._bear(sender)))]
            case PingFor():
                done = self._news(message.news, now)
                if (target := self.known.get(message.target)) is None or len(self.helping) > 100:
                    return done
                number = next(self.numbers)
                self.helping[number] = sender, message.number, now + 4 * self.pace.answer
                self._arm(now + self.pace.answer * 4 // 5, "nack", number)
                self._arm(now + 4 * self.pace.answer, "helped", number)
                return [
                    *done,
                    Send(target.name, "", Ping(number, target.name, self.held, self._bear(target.name))),
                ]
            case Ack():
                done = self._news(message.news, now)
                if asked := self.helping.pop(message.number, None):
                    return [*done, Send(asked[0], "", Ack(asked[1], message.held, []))]
                if self.probe is not None and self.probe.number == message.number:
                    done.append(Answered(self.probe.target, sender == self.probe.target))
                    self.probe, self.health = None, max(0, self.health - 1)
                return done
            case Nack():
                self.nacks += self.probe is not None and self.probe.number == message.number
                return []
            case All():
                done = self._news(message.members, now)
                return [*done, Send(sender, "", All(self._all(), False))] if message.answer else done
            case Refused():
                return self._refused(message.name, message.life, sender, now)
        return []

    def reset(self, name, now):
        """A link to that member ended from its side: a process that ends, or one that had no use for it."""
        member = self.known.get(name)
        if (
            member is None
            or name == self.own.name
            or member.standing > MemberState.SUSPECT
            or now - self.looked.get(name, -HURRY) < self.pace.look
        ):
            return []
        if len(self.looked) >= MEMBERS_MOST:
            del self.looked[next(iter(self.looked))]
        self.looked[name] = now
        return [Look(name, member.address, member.life)]

    def refused(self, name, life, now):
        """Its port refuses this front. The word of one alone ends nobody: others are asked to look as well."""
        return self._refused(name, life, self.own.name, now)

    def leaves(self, now):
        """This front goes for good, or until it is started again: told to all it can bear it to."""
        self._own(standing=int(MemberState.LEFT))
        word = All([self.own], False)
        return [Send(m.name, "", word) for m in self.chance.pick("leave", self.alive(), self.pace.news)]

    def renewed(self, start, alias):
        """The new start is on disk: from here on this front is that life."""
        self.doubtful, self.renewals = False, self.renewals + 1
        if alias:
            self.known.pop(self.own.name, None)
            self.own = self.own._replace(name=alias)
        self._own(life=start << 32 | self.own.life & 0xFFFFFFFF, turn=0)

    def _refused(self, name, life, by, now):
        """Ended, once this front and another found so: well before a silent one, which may only be slow."""
        member = self.known.get(name)
        if (
            member is None
            or member.life != life
            or member.standing > MemberState.SUSPECT
            or name == self.own.name
        ):
            return []
        was, whose = self.refusals.get(name, (0, ()))
        whose = whose if was == life else ()
        if by in whose:
            return [] if self.own.name in whose else self.reset(name, now)
        self.refusals[name] = life, (*whose[-3:], by)
        done = []
        if by == self.own.name:
            self._arm(now + self.pace.look, "retell", (name, life, 1))
            others = [m for m in self.alive() if m.name != name and m.standing == MemberState.ALIVE]
            done = [
                Send(m.name, "", Refused(name, life))
                for m in self.chance.pick("refused", others, self.pace.helpers)
            ]
        elif self.own.name not in whose:
            done = self.reset(name, now)
        whose = self.refusals[name][1]
        if self.own.name in whose and len(whose) > 1:
            self.ended[name] = life
            done += self._told(member._replace(standing=int(MemberState.GONE), by=self.own.name), now)
        return done

    def _retell(self, given, now):
        """Nobody confirmed it yet: the word may be lost, or the others' links to it last a little longer."""
        name, life, times = given
        member = self.known.get(name)
        if (
            member is None
            or member.life != life
            or member.standing > MemberState.SUSPECT
            or times > self.pace.retells
            or self.refusals.get(name, (0,))[0] != life
        ):
            return []
        self._arm(now + self.pace.look, "retell", (name, life, times + 1))
        others = [m for m in self.alive() if m.name != name]
        return [
            Send(m.name, "", Refused(name, life))
            for m in self.chance.pick("refused", others, self.pace.helpers)
        ]

    # What is due.

    def _probe(self, _, now):
        """A period's end: one that has not answered by now is suspected; the next one is asked."""
        done = []
        if (was := self.probe) is not None:
            target = self.known.get(was.target)
            asked = min(self.pace.helpers, max(0, len(self.alive()) - 1))
            # Helpers that say nothing at all speak against this front's own hearing.
            missed = asked - self.nacks if asked else 1
            self.health = min(self.pace.health_most, self.health + (1 if missed > 0 else 0))
            if target is not None and target.life == was.life and target.standing <= MemberState.SUSPECT:
                done += self._told(target._replace(standing=int(MemberState.SUSPECT), by=self.own.name), now)
        self.probe, self.nacks = None, 0
        self.round = [n for n in self.round if (m := self.known.get(n)) and m.standing <= MemberState.SUSPECT]
        if not self.round:
            names = [m.name for m in self.alive()]
            self.round = self.chance.pick("round", names, len(names))
        if self.round:
            target, number = self.known[self.round.pop()], next(self.numbers)
            self.probe = Probe(target.name, number, target.life)
            self._arm(now + self.pace.answer * (1 + self.health), "helpers", number)
            done.append(Send(target.name, "", Ping(number, target.name, self.held, self._bear(target.name))))
        self._arm(now + self.pace.period * (1 + self.health), "probe", None)
        return done

    def _helpers(self, number, now):
        if self.probe is None or self.probe.number != number:
            return []
        others = [m for m in self.alive() if m.name != self.probe.target and m.standing == MemberState.ALIVE]
        return [
            Send(m.name, "", PingFor(number, self.probe.target, self._bear(m.name)))
            for m in self.chance.pick("helpers", others, self.pace.helpers)
        ]

    def _nack(self, number, now):
        asked = self.helping.get(number)
        return [Send(asked[0], "", Nack(asked[1]))] if asked else []

    def _helped(self, number, now):
        self.helping.pop(number, None)
        return []

    def _gone(self, name, now):
        if (times := self.suspected.get(name)) is None or (member := self.known.get(name)) is None:
            return []
        if times[1] > now:
            self._arm(times[1], "gone", name)
            return []
        return self._told(member._replace(standing=int(MemberState.GONE), by=self.own.name), now)

    def _sync(self, _, now):
        self._arm(now + self.pace.sync, "sync", None)
        return [Send(m.name, "", All(self._all(), True)) for m in self.chance.pick("sync", self.alive())]

    def _reach(self, _, now):
        """Against splits that outlast a suspicion: one that is gone, or a first address, is tried ever again."""
        unmet = self.unmet()
        # Against fronts that start together and meet but each other: those of the file are tried at once, for a while.
        hurried = not self.met or unmet and now - self.begun < HURRY
        self._arm(now + self.pace.reach // (4 if hurried else 1), "reach", None)
        lost = sorted([m.address for m in self.known.values() if m.standing == MemberState.GONE] + unmet)
        tries = len(lost) if hurried else 1
        return [
            Send("", address, All(self._all(), True)) for address in self.chance.pick("reach", lost, tries)
        ]

    # How a word is taken.

    def _news(self, members, now):
        return [action for member in members for action in self._told(member, now)]

    def _told(self, word, now):
        if word.name == self.own.name:
            return self._of_own(word)
        mine = self.known.get(word.name)
        if (
            mine is not None
            and word.standing == MemberState.SUSPECT
            and (word.life, word.turn) == (mine.life, mine.turn)
        ):
            if mine.standing == MemberState.SUSPECT:
                return self._accused(word, now)
        if mine is not None and not word.over(mine):
            return []
        if mine is None and len(self.known) >= MEMBERS_MOST and not self._room():
            return []
        self.known[word.name] = word
        self.news[word.name] = 0
        self.accusers.pop(word.name, None)
        self.suspected.pop(word.name, None)
        if word.standing == MemberState.ALIVE and self.ended.get(word.name) == word.life:
            # Its port refused: what it said before its end may come after it, and it must not live again by that.
            return [Stands(word, mine), *self.reset(word.name, now)]
        if word.standing == MemberState.GONE and mine is not None and mine.standing <= MemberState.SUSPECT:
            # Told on at once, by each that hears it first: borne on probes it took seconds to reach all.
            self.refusals.pop(word.name, None)
            done = [
                Send(m.name, "", All([word], False))
                for m in self.chance.pick("gone", self.alive(), self.pace.helpers)
            ]
            return [Stands(word, mine), *done]
        if word.standing == MemberState.SUSPECT:
            self.accusers[word.name] = {word.by: None}
            end = now + self.pace.suspicion(self.size(), 1)
            self.suspected[word.name] = now, end
            self._arm(end, "gone", word.name)
        return [Stands(word, mine)]

    def _accused(self, word, now):
        """One more accuser shortens a suspect's time; whose word it is counts once."""
        accusers = self.accusers[word.name]
        if word.by in accusers or len(accusers) > self.pace.accusers:
            return []
        accusers[word.by] = None
        self.known[word.name], self.news[word.name] = word, 0  # borne on, so that others count it as well
        since, _ = self.suspected[word.name]
        end = since + self.pace.suspicion(self.size(), len(accusers))
        self.suspected[word.name] = since, end
        self._arm(max(now, end), "gone", word.name)
        return []

    def _of_own(self, word):
        if word.life == self.own.life:
            if (
                word.standing == MemberState.ALIVE
                or self.own.standing == MemberState.LEFT
                or word.turn < self.own.turn
            ):
                return []
            self.health = min(self.pace.health_most, self.health + 1)
            self._own(turn=word.turn + 1)
            return [Fenced()] if word.standing >= MemberState.GONE else []
        if word.life < self.own.life:
            # A former life of this front, or a twin that has yet to hear of this one.
            self.news[self.own.name] = 0
            return []
        if self.doubtful:
            return []
        self.doubtful = True
        being, others = self.own.life & 0xFFFFFFFF, word.life & 0xFFFFFFFF
        # Whoever answers a renewal by a later life of its own is alive now: the two would outbid each other for good.
        alias = f"{self.own.name}~{being:08x}" if self.renewals and being > others else ""
        return [Doubled(self.own.life, word.life, word.life >> 32, alias)]

    def _own(self, **changed):
        self.own = self.own._replace(**changed, by=self.own.name)
        self.known[self.own.name], self.news[self.own.name] = self.own, 0

    def _room(self):
        """One that left or is gone makes way; a member that is there never does."""
        gone = [m for m in self.known.values() if m.standing >= MemberState.GONE]
        if gone:
            name = min(gone, key=lambda m: (-m.standing, m.life)).name
            del self.known[name]
            for table in (self.refusals, self.ended, self.looked):
                table.pop(name, None)
        return bool(gone)

    # What is borne.

    def _all(self):
        return [m for _, m in sorted(self.known.items())]

    def _bear(self, to):
        """Words for one message: what the receiver is accused of first, then those borne least."""
        most = self.pace.times(self.size())  # once a message: at 200 members it was most of what a front did
        for name in [n for n, times in self.news.items() if times >= most]:
            del self.news[name]
        suspect = self.known.get(to)
        borne = [suspect] if suspect is not None and suspect.standing != MemberState.ALIVE else []
        # Its own as well: a twin of that member learns by it that there is a later life.
        names = sorted([n for n in self.news if n in self.known], key=lambda n: (self.news[n], n))
        for name in names[: self.pace.news - len(borne)]:
            self.news[name] += 1
            borne.append(self.known[name])
        return borne

    def _arm(self, when, what, given):
        heapq.heappush(self.timers, (int(when), next(self.order), what, given))
