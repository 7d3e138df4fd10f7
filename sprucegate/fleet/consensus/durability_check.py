"""Whether a keeper may vote by what its folder says, and how one that may not comes back. No I/O, no clock.

A folder that was put back from an older copy, or lost, would have a keeper vote a second time in a term, and forget
what it had promised. It can't tell by itself; others can: each start is counted on disk and told to the other keepers,
which keep it, before anything else is said. Whoever tells a start that is not past the one they know is not what it
was: it comes back under another name, as a member that has promised nothing, and the leader takes it in.

A majority is a majority: one whose folder has voted before needs the word of so many others as make a majority with
itself, and has asked all of them `ASKS` times, so that whoever knows better could have said so. What one keeper knows
of starts it tells on to all, and whoever asks is told: one that knows can be gone later. A folder that never voted is
no whole one: it needs most of the others, as all do when a fleet begins, and its own word counts for such alone.

No longer promised: that a folder put back votes for nothing while none that knows of its later start can be asked.
One that finds out later stops at once, by the first word of such a one. Two folders put back at one time are not told
apart.
"""

from typing import NamedTuple

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.fleet.consensus.raft_state import Role

MS, S = 1_000_000, 1_000_000_000
AGAIN = 100 * MS
ASKS = 6  # turns in which all are asked before some are enough; no time, as one may stand still
ON = S  # between two words to those that don't know of all starts yet
HERE = 2 * S  # since a newcomer was last heard
KNOWN_MOST = 1000
BETWEEN = "^"  # before what makes a name another one; a twin among fronts has ~ there
NEVER = 1 << 62


class Begins(NamedTuple):
    """This keeper's start, for the others to keep, and all that it knows of theirs."""

    start: int
    being: int
    known: dict


class Begun(NamedTuple):
    """`ok`: it is kept, on disk; else a start as late is known already. `green`: by one that never voted.

    `known`: all starts that this one knows, its own among them.
    """

    start: int
    being: int
    ok: bool
    green: bool
    known: dict


class Fit(NamedTuple):
    by: list


class PutBack(NamedTuple):
    """The folder is not what it was: another name from here on."""

    name: str
    by: str


class Keep(NamedTuple):
    """The starts of others, to be synced; then `kept(number)`."""

    number: int
    known: dict


def base(name):
    return name.partition(BETWEEN)[0]


class Fitness:
    def __init__(self, name, start, being, others, known, now, trusted=False, green=False):
        """`others`: who else votes, by the operator's file; `trusted`: an operator's word that it is whole; `green`: by
        its folder it never took part in a vote."""
        self.name, self.start, self.being, self.others, self.known = (
            name,
            start,
            being,
            list(others),
            dict(known),
        )
        self.trusted, self.green, self.fit = trusted, green, trusted or not others
        self.by, self.asked, self.at, self.number, self.held = [], 0, now, 0, []
        self.lack = [] if trusted else list(others)  # who may not know of all starts that this one knows

    def needed(self):
        """How many others have to say so: most of them where this one was never there, else a majority with itself."""
        return len(self.others) // 2 + 1 if self.green else (len(self.others) + 1) // 2

    def next_due(self, member=True):
        return self.at if not self.fit or not member or self.lack else NEVER

    def due(self, now, member=True):
        """Asks until it is fit; goes on where it is no `member`, to be taken in, or where others lack a start."""
        if now < self.next_due(member):
            return []
        if not self.fit:
            if self.asked >= ASKS and len(self.by) >= self.needed():
                return self._is_fit()
            self.asked += 1
        self.at = now + (ON if self.fit and member else AGAIN)
        told = Begins(self.start, self.being, self._all())
        return [
            SendMessage(name, told) for name in self.others if not self.fit or not member or name in self.lack
        ]

    def heard(self, sender, message, now):
        if not self.trusted and self._past(message.known.get(self.name)):
            return self._put_back(sender)
        news = self._learns(message.known)
        if isinstance(message, Begins):
            return self._begins(sender, message, news)
        done = self._keeps() if news else []
        sender = base(sender)
        if (message.start, message.being) != (self.start, self.being) or sender not in self.others:
            return done
        if not message.ok:
            return done if self.trusted else self._put_back(sender)
        if sender in self.lack and all(
            message.known.get(n, (0, 0))[0] >= at for n, (at, _) in self._all().items()
        ):
            self.lack.remove(sender)
        if sender not in self.by and (self.green or not message.green):
            self.by.append(sender)
        if not self.fit and len(self.by) == len(self.others):
            return done + self._is_fit()
        return done

    def kept(self, number, now):
        """The starts told of up to that one are on disk: those that told them may know."""
        done = [send for at, send in self.held if at <= number]
        self.held = [(at, send) for at, send in self.held if at > number]
        return done

    def _all(self):
        return {**self.known, self.name: (self.start, self.being)}

    def _past(self, known):
        """Whether that start of this one's name is another, and not before its own."""
        return known is not None and known[0] >= self.start and tuple(known) != (self.start, self.being)

    def _is_fit(self):
        self.fit = True
        return [Fit(list(self.by))]

    def _put_back(self, sender):
        return [PutBack(f"{base(self.name)}{BETWEEN}{self.being:x}", base(sender))]

    def _learns(self, told):
        """Later starts than those known here; whether there were any."""
        news = {
            name: tuple(one)
            for name, one in told.items()
            if name != self.name and one[0] > self.known.get(name, (0, 0))[0]
        }
        for name in sorted(news):
            if name in self.known or len(self.known) < KNOWN_MOST:
                self.known[name] = news[name]
        return bool(news)

    def _keeps(self):
        self.lack = [] if self.trusted else list(self.others)
        self.at = 0  # told on at once
        self.number += 1
        return [Keep(self.number, dict(self.known))]

    def _begins(self, sender, told, news):
        start, being = self.known.get(sender, (0, 0))
        own = told.start, told.being
        if own != (start, being) and told.start <= start:
            return [
                *(self._keeps() if news else []),
                SendMessage(sender, Begun(*own, False, self.green and not self.fit, self._all())),
            ]
        if own == (start, being):
            # Asked again while its answer waits for the disk: one more write each time would put it off for ever,
            # as each write makes this one ask the others again in turn.
            done = self._keeps() if news else []
            return done + ([] if any(s.to == sender for _, s in self.held) else [self._answer(sender, own)])
        if len(self.known) >= KNOWN_MOST and sender not in self.known:
            return []  # it can't be kept, so nothing is said
        self.known[sender] = own
        keeps = self._keeps()
        self.held = [(at, send) for at, send in self.held if send.to != sender]
        self.held.append((self.number, self._answer(sender, own)))
        return keeps

    def _answer(self, sender, own):
        return SendMessage(sender, Begun(*own, True, self.green and not self.fit, self._all()))


def takes_in(keeper, newcomers, names, now):
    """(voters, learners) of the next step by which a newcomer takes the place of its former self, or None.

    `newcomers`: name -> when it was last heard; `names`: who is to vote, by the file. One step at a time: it learns, it
    votes, its former self goes; so does one that the file names no more.
    """
    config = keeper.configuration()
    if keeper.role is not Role.LEADER:
        return None
    if dropped := [v for v in config.voters if base(v) not in names and v != keeper.name]:
        return tuple(v for v in config.voters if v != dropped[0]), config.learners
    for name in config.voters:
        older = [v for v in config.voters if v != name and base(v) == base(name) and len(v) < len(name)]
        if older:
            return tuple(v for v in config.voters if v != older[0]), config.learners
        # Put back twice: two names of later selves; the one that is not heard goes.
        twin = [v for v in config.voters if v != name and base(v) == base(name)]
        if twin and now - newcomers.get(name, -HERE) > HERE:
            return tuple(v for v in config.voters if v != name), config.learners
    for name, at in sorted(newcomers.items()):
        if now - at > HERE or name in config.voters or base(name) not in names:
            continue
        if name not in config.learners:
            return config.voters, (*[n for n in config.learners if base(n) != base(name)], name)
        if keeper.match_index.get(name, 0) >= keeper.commit_index:
            return (*config.voters, name), tuple(n for n in config.learners if n != name)
    return None
