"""The shares of one front as one: its queue, what it borrows, what it lends. No I/O: (event, now) in, actions out."""

from zlib import crc32

from sprucegate.fleet.quotas.borrower import NOBODY, Borrower
from sprucegate.fleet.quotas.fair_queue import Queue
from sprucegate.fleet.quotas.lease_holder import Steward
from sprucegate.fleet.quotas.settings import AVOID, MERGE, MS, SILENT, Asks, Goes, Lent, Moved, Need, Send

LATER = 1 << 62
LOOK = 50 * MS  # between two looks at a queue that waits for leases


class Shares:
    def __init__(self, name, life, terms, now):
        self.name, self.terms = name, terms
        self.borrower, self.steward = Borrower(name, life, terms, now), Steward(life, terms, now)
        self.queue = Queue(terms, self.borrower.room)
        self.lenders, self.avoided, self.looked_at, self.merged_at = [], {}, now, now

    # What happens. Each call gives what is to be done.

    def viewed(self, lenders, borrows, floors, now):
        """`lenders`: (name, life) of fronts that may be stewards by this front's view, itself among them."""
        self.lenders, self.borrower.borrows, self.borrower.floors = sorted(lenders), borrows, floors
        return self._chooses(now)

    def arrives(self, token, source, tenant, due, now):
        done = self.queue.arrives(token, source, tenant, due, now)
        if token in self.queue.waits:
            self.borrower.wants(now)
        return done

    def left(self, token):
        self.queue.left(token)

    def lingers(self, token, now):
        self.queue.lingers(token, now)

    def unused(self, token, now):
        return self.queue.unused(token, now)

    def ended(self, token, took, good, now):
        done = self.queue.ended(token, took, good, now)
        self.borrower.wants(now)  # its place may be lent on at once
        return done

    def heard(self, sender, message, now):
        if isinstance(message, Need):
            if self.borrower.steward not in (self._own(), NOBODY) and sender != self.name:
                return [Send(sender, Goes(*self.borrower.steward, 0))]
            return self.steward.heard(sender, message, now) if self._own() in self.lenders else []
        if isinstance(message, Asks):
            if self.borrower.steward == NOBODY:
                return []
            size = self.steward.size(now) if self.borrower.steward == self._own() else 0
            said = [Send(sender, Goes(*self.borrower.steward, size))]
            return said + self._told(sender, (sender, message.life), message.size, now)
        if isinstance(message, Goes):
            return self._told(sender, (message.name, message.life), message.size, now)
        if isinstance(message, Lent) and self.borrower.heard(sender, message, now):
            return self.queue.due(now)
        return []

    def _told(self, sender, steward, size, now):
        """Whom another front goes by. Of two that lend side by side the one with fewer fronts gives way: what they
        leave behind is what is not lent for a while."""
        own = self.borrower.steward
        if steward == own or steward not in self._able():
            return []
        if sender != own[0]:  # else the one asked goes by another itself, and so does this front
            if own != self._own():
                return []
            if not size and sender != steward[0]:  # by hearsay: that one is asked itself
                return [Send(steward[0], Asks(own[1], self.steward.size(now)))]
            if (-size, _order(steward)) > (-self.steward.size(now), _order(own)):
                return []
        self.borrower.moves(steward, now)
        return [Moved(steward[0])]

    def _own(self):
        return self.name, self.borrower.life

    def _able(self):
        return [one for one in self.lenders if one not in self.avoided]

    def renamed(self, name, life, now):
        """Another process of this front's name, or another life of it: nothing that was lent holds for it."""
        factor, borrows, floors = self.borrower.factor, self.borrower.borrows, self.borrower.floors
        turn = self.borrower.turn
        self.name = name
        # What was started goes on; what was lent by a former name is counted by nobody under this one.
        self.borrower, self.steward = Borrower(name, life, self.terms, now), Steward(life, self.terms, now)
        self.borrower.factor, self.borrower.borrows, self.borrower.floors = factor, borrows, floors
        self.borrower.turn, self.queue.room = turn + 1, self.borrower.room
        return self._chooses(now)

    def factors(self, factor):
        """{source: part of its places that it bears now, as it has just started}."""
        self.steward.factor = self.borrower.factor = factor

    # What is due.

    def next_due(self):
        waits = self.queue.next_due()
        look = self.looked_at + LOOK if waits is not None else LATER
        ask = self.borrower.next_due() if self.borrower.steward != NOBODY else LATER
        return min(ask, look, LATER if waits is None else waits, *self.avoided.values(), LATER)

    def due(self, now):
        self.looked_at = now
        done = []
        if self.borrower.unanswered >= SILENT and self.borrower.steward[0] != self.name:
            # It stands still, or is cut off from here, and nobody has said so yet.
            self.avoided[self.borrower.steward] = now + AVOID
        self.avoided = {one: until for one, until in self.avoided.items() if now < until}
        done += self._chooses(now)
        done += self.queue.due(now)
        return done + self.borrower.due(self.queue.demand, self.queue.told, now)

    def _chooses(self, now):
        """The steward: the one that there is, else by hash among those that may be, one at all whose views agree.

        One that returns does not become it again: each change leaves places idle until what the former lent is over.
        """
        able = self._able()
        if self.borrower.steward in able:
            if self.borrower.steward == self._own() and now - self.merged_at >= MERGE:
                self.merged_at = now
                others = [one for one in able if one != self._own() and not self.steward.hears(*one, now)]
                return (
                    [Send(min(others, key=_order)[0], Asks(self.borrower.life, self.steward.size(now)))]
                    if others
                    else []
                )
            return []
        steward = min(able, key=_order, default=NOBODY)
        if steward == self.borrower.steward:
            return []
        self.borrower.moves(steward, now)
        return [Moved(steward[0])]


def _order(one):
    return crc32(one[0].encode()), one
