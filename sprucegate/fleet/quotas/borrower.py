"""What a front may use of each source's places: by its steward's leases, else its floor. No I/O, no clock.

Leases as of Gray and Cheriton (SOSP 1989): the borrower counts one from the question that it answers, the lender from
its answer on and longer. A front's own floor is a lease the other way: with each question it is the steward's to lend
for a time, and the front counts that time as longer than the steward does. So at any instant what all fronts use is
within what their floors make together, however many stewards there are and whatever is cut off.

It is checked at each decision against the time of then: a process that stood still goes by nothing that is over.
"""

from sprucegate.fleet.quotas.settings import LEASE, QUIET, Need, S, Send, later, pace

NUMBERS = 64  # questions whose answers may still come
NOBODY = "", 0  # in place of a steward's name and life


class Borrower:
    def __init__(self, name, life, terms, now):
        self.name, self.life, self.terms = name, life, terms
        self.steward, self.turn, self.number, self.grant, self.echo = NOBODY, 0, 0, 0, 0
        self.sent, self.lent, self.until = {}, {}, now  # question -> when; source -> ({tenant: n}, spare)
        # A former life of this front may have left its floors to a steward just before it ended.
        self.waived_until, self.waived = now + later(terms.waive), True
        # What a former steward lent; until when it may lend the floors, and surely counts what it lent as in use.
        self.old, self.old_until, self.held_until = {}, self.waived_until, now
        self.borrows, self.floors = False, False  # by the view
        self.at, self.unanswered, self.factor = now, 0, {}

    def room(self, source, now):
        """({tenant: places}, places in all) at this instant."""
        if self.borrows and now < self.until:
            tenants, spare = self.lent.get(source, ({}, 0))
            return tenants, sum(tenants.values()) + spare
        if self.floors and now >= self.waived_until:
            return {}, int(self.terms.floor(self.name, source) * self.factor.get(source, 1.0))
        return {}, 0

    def moves(self, steward, now):
        """Another steward, or none: what the former lent is dropped, what it may still lend is told to the next."""
        if steward == self.steward:
            return
        valid = now < self.until + self.terms.longest
        if self.steward != NOBODY:
            self.old = (
                {source: sum(t.values()) + spare for source, (t, spare) in self.lent.items()} if valid else {}
            )
            self.old_until, self.held_until = self.waived_until, self.until + self.terms.longest
        self.steward, self.turn, self.echo, self.grant = steward, self.turn + 1, 0, 0
        self.lent, self.until, self.sent, self.unanswered, self.at = {}, now, {}, 0, now

    def next_due(self):
        return self.at

    def due(self, demand, ended, now):
        """Its question, where it is time. `demand(source)`, `ended(source)`: as the queue gives them."""
        if self.steward == NOBODY or now < self.at:
            return []
        rows, busy = [], False
        for source in sorted(self.terms.places):
            tenants, using = demand(source)
            busy = busy or bool(tenants)
            old = self.old.get(source, 0) if now < self.old_until else 0
            if tenants or old:
                rows.append([source, using, old, *ended(source), tenants])
        self.number += 1
        self.unanswered += 1
        self.sent[self.number] = now
        while len(self.sent) > NUMBERS:
            del self.sent[next(iter(self.sent))]
        self.at = now + (pace(len(self.terms.names)) if busy else QUIET)
        self.waived_until = max(self.waived_until, now + later(self.terms.waive))
        name, life = self.steward
        return [
            Send(
                name,
                Need(
                    self.life,
                    life,
                    self.turn,
                    self.number,
                    self.echo,
                    self.grant,
                    max(0, self.old_until - now),
                    max(0, self.held_until - now),
                    rows,
                ),
            )
        ]

    def wants(self, now):
        """There is demand that the last question did not tell."""
        self.at = min(
            self.at, max(now, self.sent.get(self.number, now - S) + pace(len(self.terms.names)) // 5)
        )

    def heard(self, sender, message, now):
        """A lease; whether it changed anything."""
        sent = self.sent.get(message.number)
        if (
            sender != self.steward[0]
            or message.turn != self.turn
            or sent is None
            or message.grant <= self.grant
        ):
            return False
        if not self.echo:
            self.at = now  # the first answer: by the next question its floors count as lent
        self.grant, self.echo, self.unanswered = message.grant, max(self.echo, message.stamp), 0
        self.until = sent + LEASE
        self.lent = {
            source: ({tenant: n for tenant, n in tenants}, spare) for source, spare, tenants in message.rows
        }
        return now < self.until
