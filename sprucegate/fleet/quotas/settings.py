"""What the parts of the shares say to each other, and the tuned times: ns on any clock that never goes back."""

from typing import NamedTuple

MS, S = 1_000_000, 1_000_000_000

LEASE = 400 * MS  # a borrower's, counted from the question that it answers
MARGIN = 60 * MS  # by which a lender counts a promise as longer, and a borrower of one that it gave
DRIFT = 1000  # one in so many ns: what two clocks may go apart, both stalls of a machine included
SLACK = S  # between two questions of a front: its floor is lent on so long after the last
TELL = 50 * MS  # between two questions while there is demand; by size of the fleet, see `pace`
QUIET = 300 * MS  # and while there is none
SILENT = 3  # questions in a row without an answer: the steward is passed over
AVOID = 3 * S  # for so long
MERGE = S  # between two questions of one steward for another that it should give way to
COMMON = 0  # the tenant of all that are not listed


class Need(NamedTuple):
    """A front's question, and its word: until WAIVE after it was sent its floors are the steward's to lend.

    `steward`: the life that is meant, as another process of its name knows nothing of what was lent;
    `turn`: how often it changed its steward; `echo`: the stamp of the last answer heard in this turn, 0 without one;
    `grant`: the last one it goes by; `old`: ns for which its floors may still be lent by a former steward; `held`: ns
    for which that one surely still counts as in use here what it lent;
    `rows`: [source, using, lent by that former steward, ended, of these late, [[tenant, using, waiting], ...]].
    """

    life: int
    steward: int
    turn: int
    number: int
    echo: int
    grant: int
    old: int
    held: int
    rows: list


class Lent(NamedTuple):
    """In answer to the question `number`: all that the front holds from here on.

    `rows`: [source, spare, [[tenant, places], ...]].
    """

    turn: int
    number: int
    stamp: int
    grant: int
    rows: list


class Asks(NamedTuple):
    """By a front that goes by itself, as do `size` fronts: whom does that one go by?"""

    life: int
    size: int


class Goes(NamedTuple):
    """The steward that the sender goes by, and how many do where it is itself (else 0): so a front that returns joins
    the one that there is, and of two the one with fewer gives way."""

    name: str
    life: int
    size: int


class Send(NamedTuple):
    to: str
    message: tuple


class Start(NamedTuple):
    """That GET has a place at the source: from here to `ended`, or `unused`."""

    token: object
    source: int


class GiveUp(NamedTuple):
    """It can't be filled in its time: answered now."""

    token: object
    source: int


class Moved(NamedTuple):
    """This front goes by another steward; "": by none."""

    steward: str


class Terms(NamedTuple):
    """What the operator's file says. `tenants`: (weight, floor) by index, the common one first; `names`: all fronts
    that there may be, in one order at all; `places`: {source: count}; `longest`: of a fill (ns)."""

    tenants: tuple
    names: tuple
    places: dict
    longest: int
    waiting: int = 200

    def floor(self, name, source):
        """Whole places of one front when it is on its own: over all fronts of the file they are the places."""
        count, at = self.places.get(source, 0), self.names.index(name) if name in self.names else -1
        size = len(self.names)
        # Which fronts have one more differs by source: with few places not always the same ones go without.
        at = (at + source) % size if at >= 0 else -1
        return count * (at + 1) // size - count * at // size if at >= 0 else 0

    @property
    def waive(self):
        return LEASE + self.longest + SLACK + MARGIN


def pace(size):
    """Between two questions of a front with demand: a steward of two hundred hears no more than one of twenty-five."""
    return TELL * max(1, size) // 25 if size > 25 else TELL


def later(wait):
    """A promise that this process holds to: longer than whoever got it counts."""
    return wait + MARGIN + wait // DRIFT
