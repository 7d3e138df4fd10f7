"""A steward lends places of floors that fronts left to it, by tenants' weights and demand. No I/O, no clock.

What is lent at any time is within the floors that are surely this steward's until the last fill by it has ended; what a
former steward of the same floors may still have lent is taken off. Among tenants place time is shared: a place goes to
the one that has had least by its weight (start-time fairness over all fronts); one that was idle begins at the present.
What nobody wants is lent to fronts as spare, so that a GET which comes alone waits for nobody.
"""

from sprucegate.fleet.quotas.settings import DRIFT, LEASE, MS, Lent, Send, later
from sprucegate.fleet.quotas.slots import Learned

FRESH = 20 * MS  # a table of who gets what is made anew after this, or with other demand
FORGOTTEN = 60_000_000_000
FRONTS_MOST = 1000
ON_MOST = 8  # fronts that one question gives something to besides the one that asked


class Front:
    """What is known of one borrower, one life of it."""

    def __init__(self, life, turn):
        self.life, self.turn, self.number = life, turn, 0
        self.waived, self.old_until, self.held_until, self.old, self.using, self.want = 0, 0, 0, {}, {}, {}
        self.grants, self.at = [], 0  # (grant, {source: places}, end); when it was heard last

    def busy(self, source, longest, now):
        """What it may use now: by its last word, and by all leases that it may have started fills on since."""
        said = self.using.get(source, 0) if now < self.at + later(LEASE + longest) else 0
        return max(
            [said, *[lent.get(source, 0) for _, lent, end in self.grants if now < end + later(longest)]]
        )


class Steward:
    def __init__(self, life, terms, now):
        self.life, self.terms = life, terms
        self.fronts, self.ghosts = {}, []  # name -> Front; former lives, until their fills have ended
        self.had, self.had_at = (
            {},
            {},
        )  # (source, tenant[, front]) -> place time by weight; when it was charged
        self.tables, self.learned, self.factor = {}, {}, {}
        self.grant = int(now)  # rises over restarts of what this name says as well

    def heard(self, sender, need, now):
        """The answer to a front's question: all that it holds from here on."""
        front = self._front(sender, need, now) if need.steward == self.life else None
        if front is None:
            return []
        # Of sources that are listed here alone: a peer that names others could fill any table by them.
        need = need._replace(rows=[row for row in need.rows if row[0] in self.terms.places])
        self._charges(sender, front, need, now)
        before = dict(front.using)
        front.number, front.at = need.number, now
        if need.echo:
            # Sent after this steward's clock showed `echo`: its floors are this one's so long at the least.
            front.waived = max(front.waived, need.echo + self.terms.waive - self.terms.waive // DRIFT)
        front.old_until = now + later(need.old) if need.old else 0
        # From the echo on, which was before it was sent: shorter than it may be.
        front.held_until = need.echo + need.held - need.held // DRIFT if need.echo else 0
        front.old = {row[0]: row[2] for row in need.rows}
        front.using = {row[0]: row[1] for row in need.rows}
        front.want = {row[0]: {t: (using, waiting) for t, using, waiting in row[5]} for row in need.rows}
        ended = now - later(self.terms.longest)
        front.grants = [one for one in front.grants if one[0] >= need.grant and one[2] > ended]
        for source, _, _, ended, late, _ in need.rows:
            self.learned.setdefault(source, Learned(now)).told(ended, late, now)
        done = [self._grant(sender, front, now)]
        if any(front.using.get(source, 0) < count for source, count in before.items()):
            done += self._lends_on(sender, now)
        return done

    def _lends_on(self, sender, now):
        """What one gave back goes on at once to those that wait, in answer to what they asked last.

        Else a place would be idle until the next question of whoever is to have it: a tenth of the place time.
        """
        done = []
        for name, front in self.fronts.items():
            if (
                name == sender
                or now - front.at > LEASE // 2
                or not any(waiting for rows in front.want.values() for _, waiting in rows.values())
            ):
                continue
            had = front.grants[-1][1] if front.grants else {}
            if any(
                sum(tenants.values()) + spare > had.get(source, 0)
                for source in front.want
                for tenants, spare in [self._lends(name, front, source, now)]
            ):
                done.append(self._grant(name, front, now))
                if len(done) >= ON_MOST:
                    break
        return done

    def _grant(self, sender, front, now):
        rows, total = [], {}
        for source in self.terms.places:
            tenants, spare = self._lends(sender, front, source, now)
            if tenants or spare:
                rows.append([source, spare, sorted([t, n] for t, n in tenants.items())])
                total[source] = spare + sum(tenants.values())
        self.grant += 1
        front.grants.append((self.grant, total, now + later(LEASE)))
        return Send(sender, Lent(front.turn, front.number, now, self.grant, rows))

    def hears(self, name, life, now):
        """Whether that front goes by this one."""
        front = self.fronts.get(name)
        return front is not None and front.life == life and now - front.at < 2 * LEASE

    def size(self, now):
        return sum(now - front.at < 2 * LEASE for front in self.fronts.values())

    def capacity(self, source, now):
        """Places that this steward may lend at this instant, lent ones included."""
        horizon = now + later(LEASE) + later(self.terms.longest)
        pooled = [(name, one) for name, one in self.fronts.items() if one.waived >= horizon]
        floors = {name: self.terms.floor(name, source) for name, _ in pooled}
        surely = sum(self._surely(one, source, floors[name], now) for name, one in pooled)
        part = self.learned[source].part if source in self.learned else 1.0
        return int(min(surely, sum(floors.values())) * min(part, self.factor.get(source, 1.0)))

    @staticmethod
    def _surely(front, source, floor, now):
        """What this steward may lend on the ground of one front's floor.

        While a former steward may lend that floor, it is what the former lent to this very front: nobody else can have
        it. Once the former has counted that as free again, it is no more than the floor: what was lent beyond it, of
        other fronts' floors, the former may have lent anew (seen in a schedule: one fill over what there are).
        """
        if now >= front.old_until:
            return floor
        lent = front.old.get(source, 0)
        return lent if now < front.held_until else min(lent, floor)

    def _front(self, sender, need, now):
        front = self.fronts.get(sender)
        if front is not None and (need.life, need.turn, need.number) <= (
            front.life,
            front.turn,
            front.number,
        ):
            return None  # late, or twice
        if front is None or front.life != need.life:
            # Names come and go with twins and machines: without this a thousand names would be all there ever are.
            if max(len(self.fronts), len(self.ghosts)) >= FRONTS_MOST:
                self._forgets(now)
            if front is None and len(self.fronts) >= FRONTS_MOST or len(self.ghosts) >= FRONTS_MOST:
                return None
            if front is not None:
                self.ghosts.append(front)  # its fills may go on at the source
            front = self.fronts[sender] = Front(need.life, need.turn)
        elif front.turn != need.turn:
            # It went by another since: what it was lent here it has dropped, what it uses it says.
            front.turn, front.grants, front.waived, front.old = need.turn, [], 0, {}
        return front

    def _forgets(self, now):
        """Fronts of which nothing can be lent, waived or under way any more, and what was kept of sources that went."""
        over = now - max(FORGOTTEN, 2 * later(self.terms.waive))
        self.fronts = {name: one for name, one in self.fronts.items() if one.at > over}
        for table in (self.tables, self.learned):
            for source in [one for one in table if one not in self.terms.places]:
                del table[source]

    def _busy(self, source, now, but=None):
        longest = self.terms.longest
        self.ghosts = [
            one
            for one in self.ghosts
            if now < max([one.at + LEASE, *[end for *_, end in one.grants]]) + 2 * later(longest)
        ]
        return sum(
            one.busy(source, longest, now) for one in [*self.fronts.values(), *self.ghosts] if one is not but
        )

    def _lends(self, sender, front, source, now):
        """({tenant: places}, spare) for one front, never more than is free or its own."""
        free = self.capacity(source, now) - self._busy(source, now, but=front)
        if free <= 0:
            return {}, 0
        tenants, spare = self._table(source, now).get(sender, ({}, 0))
        tenants = dict(tenants)
        while sum(tenants.values()) > free:
            most = max(tenants, key=lambda t: (self._had(source, t), t))
            tenants[most] -= 1
            if not tenants[most]:
                del tenants[most]
        return tenants, min(spare, free - sum(tenants.values()))

    # Who is to have what.

    def _had(self, source, tenant):
        return self.had.get((source, tenant), 0)

    def _charges(self, sender, front, need, now):
        """Place time since its last word, to each tenant by its weight and to each front."""
        span = min(now - front.at, LEASE) if front.at else 0
        for source, *_, tenants in need.rows:
            for tenant, using, _ in tenants:
                for key, weight in (
                    ((source, tenant), self.terms.tenants[tenant][0]),
                    ((source, tenant, sender), 1),
                ):
                    if now - self.had_at.get(key, -FORGOTTEN) > LEASE:
                        # It was idle: it begins at the present, that is where the least of those that were not stands.
                        present = [
                            self.had[k]
                            for k, at in self.had_at.items()
                            if len(k) == len(key) and k[: len(k) - 1] == key[:-1] and now - at <= LEASE
                        ]
                        self.had[key] = max(self.had.get(key, 0), min(present, default=0))
                    self.had[key] = self.had.get(key, 0) + using * span // weight
                    self.had_at[key] = now
        if len(self.had_at) > FRONTS_MOST:
            for key in [k for k, at in self.had_at.items() if now - at > FORGOTTEN]:
                del self.had[key], self.had_at[key]

    def _table(self, source, now):
        """{front: ({tenant: places}, spare)}: whole places, the next one always to who had least by its weight."""
        made = self.tables.get(source)
        wants = {
            name: one.want.get(source, {}) for name, one in self.fronts.items() if now - one.at < 2 * LEASE
        }
        capacity = self.capacity(source, now)
        if made is not None and now - made[0] < FRESH and made[1:3] == (capacity, wants):
            return made[3]
        table = self._shared(source, capacity, wants, made[3] if made is not None else {})
        self.tables[source] = now, capacity, wants, table
        return table

    def _shared(self, source, capacity, wants, was):
        """`was`: the table before. Who holds a place keeps it until another is a lease's time behind: each move leaves
        it idle for a while, and by the hair's breadth of who had least all would move at each question."""
        want, held = {}, {}
        for tenants, _ in was.values():
            for tenant, count in tenants.items():
                held[tenant] = held.get(tenant, 0) + count
        for rows in wants.values():
            for tenant, (using, waiting) in rows.items():
                want[tenant] = want.get(tenant, 0) + using + waiting
        given, left = dict.fromkeys(want, 0), capacity
        for tenant in sorted(want):  # what the file keeps for a tenant goes first
            given[tenant] = min(want[tenant], self.terms.tenants[tenant][1], left)
            left -= given[tenant]
        while left and (open_now := [t for t in sorted(want) if given[t] < want[t]]):
            # A place of the next lease counts as had: else one that had a little less would get all of them.
            tenant = min(
                open_now,
                key=lambda t: (
                    self._had(source, t)
                    + (given[t] - (given[t] < held.get(t, 0))) * LEASE // self.terms.tenants[t][0],
                    t,
                ),
            )
            given[tenant] += 1
            left -= 1
        table = {name: ({}, 0) for name in sorted(wants)}
        for tenant, count in given.items():
            self._spread(source, tenant, count, wants, table, was)
        names = sorted(wants)
        for at in range(left if names else 0):
            name = names[(at + source) % len(names)]
            table[name] = table[name][0], table[name][1] + 1
        return table

    def _spread(self, source, tenant, count, wants, table, was):
        """A tenant's places among fronts: where its fills are under way, then where it had least."""
        rows = {name: one[tenant] for name, one in sorted(wants.items()) if tenant in one}
        given, held = dict.fromkeys(rows, 0), {n: was.get(n, ({}, 0))[0].get(tenant, 0) for n in rows}
        for _ in range(count):
            name = min(
                [n for n in rows if given[n] < sum(rows[n])],
                key=lambda n: (
                    given[n] >= rows[n][0],
                    self.had.get((source, tenant, n), 0) + (given[n] - (given[n] < held[n])) * LEASE,
                    n,
                ),
            )
            given[name] += 1
        for name, places in given.items():
            if places:
                table[name][0][tenant] = places
