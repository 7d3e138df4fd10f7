"""Whether a keeper may vote by what its folder says, and how one that may not comes back. No I/O, no clock.

A folder that was put back from an older copy, or lost, would have a keeper vote a second time in a term, and forget
what it had promised. It can't tell by itself; others can: each start is counted on disk and told to most of the other
keepers, which keep it, before anything else is said. Whoever tells a start that is not past the one they know is not
what it was: it comes back under another name, as a member that has promised nothing, and the leader takes it in.

With three keepers both others have to be asked: where one is gone for good and another restarts, the rest waits until
an operator says that its folder is whole. Two folders put back at one time are not told apart.
"""

from typing import NamedTuple

from sprucegate.fleet.agreement.keeper import Role, Send

MS, S = 1_000_000, 1_000_000_000
AGAIN = 200 * MS
HERE = 2 * S            # since a newcomer was last heard
KNOWN_MOST = 1000
BETWEEN = "^"           # before what makes a name another one; a twin among fronts has ~ there


class Begins(NamedTuple):
    """This keeper's start, for the others to keep."""

    start: int
    being: int


class Begun(NamedTuple):
    """`ok`: it is kept, on disk; else a start as late is known already."""

    start: int
    being: int
    ok: bool


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
    def __init__(self, name, start, being, others, known, now, trusted=False):
        """`others`: who else votes, by the operator's file; `trusted`: an operator's word that it is whole."""
        self.name, self.start, self.being, self.others, self.known = name, start, being, list(others), dict(known)
        self.by, self.fit, self.at, self.number, self.held = [], trusted or not others, now, 0, []

    def needed(self):
        return len(self.others) // 2 + 1

    def next_due(self):
        return self.at

    def due(self, now, member=True):
        """Asks until it is fit; goes on to say that it is there while it is no `member`, so that it is taken in."""
        if self.fit and member or now < self.at:
            return []
        self.at = now + AGAIN
        return [Send(name, Begins(self.start, self.being)) for name in self.others if self.fit or name not in self.by]

    def heard(self, sender, message, now):
        if isinstance(message, Begins):
            return self._begins(sender, message)
        if self.fit or (message.start, message.being) != (self.start, self.being):
            return []
        sender = base(sender)
        if sender not in self.others:
            return []
        if not message.ok:
            name = f"{base(self.name)}{BETWEEN}{self.being:x}"
            return [PutBack(name, sender)]
        if sender not in self.by:
            self.by.append(sender)
        if len(self.by) < self.needed():
            return []
        self.fit = True
        return [Fit(self.by)]

    def kept(self, number, now):
        """The starts told of up to that one are on disk: those that told them may know."""
        done = [send for at, send in self.held if at <= number]
        self.held = [(at, send) for at, send in self.held if at > number]
        return done

    def _begins(self, sender, told):
        start, being = self.known.get(sender, (0, 0))
        if (told.start, told.being) != (start, being) and told.start <= start:
            return [Send(sender, Begun(told.start, told.being, False))]
        answer = Send(sender, Begun(told.start, told.being, True))
        if (told.start, told.being) == (start, being) and not any(s.to == sender for _, s in self.held):
            return [answer]
        if len(self.known) >= KNOWN_MOST and sender not in self.known:
            return []                        # it can't be kept, so nothing is said
        self.known[sender] = told.start, told.being
        self.number += 1
        self.held = [(at, send) for at, send in self.held if send.to != sender] + [(self.number, answer)]
        return [Keep(self.number, dict(self.known))]


def takes_in(keeper, newcomers, names, now):
    """(voters, learners) of the next step by which a newcomer takes the place of its former self, or None.

    `newcomers`: name -> when it was last heard; `names`: who is to vote, by the file. One step at a time: it learns, it
    votes, its former self goes; so does one that the file names no more.
    """
    config = keeper.config()
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
        if keeper.match.get(name, 0) >= keeper.committed:
            return (*config.voters, name), tuple(n for n in config.learners if n != name)
    return None
