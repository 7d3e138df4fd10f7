"""Slow GETs in one front: whose fill starts next, who waits, who is answered at once. No I/O, no clock.

Start-time fair queueing with several served at a time, SFQ(D): Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996;
Jin, Chase, Kaur, "Interposed Proportional Sharing", SIGMETRICS 2004. A GET is charged the source's mean fill when it
starts, by its tenant's weight, and settled by what its fill took when it ends. Deficit round robin (Shreedhar and
Varghese, 1995) was not taken: it charges when a turn is over, and a turn of one long fill is long.

(event, now) in, actions out; times in ns. Places are asked for at each decision: `room(source, now)` gives
({tenant: places lent to it}, places in all).
"""

import heapq
from collections import deque
from itertools import count

from sprucegate.fleet.quotas.settings import COMMON, MS, GiveUp, Start

SAMPLES = 64  # last fills of a source that its mean is taken of
USUAL = 100 * MS  # charged before any was seen
LEAN = 4  # samples that it counts for
DEBT = 8  # fills of the mean: what a tenant owes, or is owed, by settling at the most
SOURCES_MOST = 1000


class Waiting:
    __slots__ = ("token", "tenant", "source", "due", "open")

    def __init__(self, token, tenant, source, due):
        self.token, self.tenant, self.source, self.due, self.open = token, tenant, source, due, True


class Filling:
    __slots__ = ("tenant", "source", "since", "charged")

    def __init__(self, tenant, source, since, charged):
        self.tenant, self.source, self.since, self.charged = tenant, source, since, charged


class Source:
    def __init__(self):
        self.using, self.waiting, self.tags = {}, {}, {}  # by tenant: open fills; GETs; finish tags
        self.virtual, self.times = 0, deque(maxlen=SAMPLES)
        self.ended = self.late = 0  # fills since they were last told to the steward

    def mean(self):
        # Few samples lean on the usual: by a first one of 10 ms all that waited were answered 10 ms before their end.
        return (sum(self.times) + LEAN * USUAL) // (len(self.times) + LEAN)

    def backlogged(self):
        return [tenant for tenant, queue in self.waiting.items() if queue]


class Queue:
    def __init__(self, terms, room):
        self.terms, self.room = terms, room
        self.sources, self.waits, self.filling = {}, {}, {}  # by source; by token
        self.ends, self.order = [], count()  # (latest start, order, Waiting)
        self.lingering = []  # (until, order, token) of fills that may go on at the source

    # Asked.

    def next_due(self):
        while self.ends and not self.ends[0][2].open:
            heapq.heappop(self.ends)
        times = [heap[0][0] for heap in (self.ends, self.lingering) if heap]
        return min(times, default=None)

    def demand(self, source):
        """([tenant, using, waiting] of each that has any, open fills)."""
        one = self.sources.get(source)
        if one is None:
            return [], 0
        tenants = sorted(one.using.keys() | one.waiting.keys())
        rows = [[t, one.using.get(t, 0), len(one.waiting.get(t, ()))] for t in tenants]
        return [row for row in rows if row[1] or row[2]], sum(one.using.values())

    # What happens.

    def arrives(self, token, source, tenant, due, now):
        """A GET that needs a fill there; `due`: when its client has to have it."""
        one = self._source(source)
        if one is None:
            return [GiveUp(token, source)]
        waiting = Waiting(token, tenant, source, due)
        queue = one.waiting.setdefault(tenant, deque())
        lent, places = self.room(source, now)
        ahead = len(queue)
        if self._idle(one, places) and not one.backlogged():
            return self._starts(one, waiting, now)
        # In its own tenant's queue, at what that tenant may have at once: what can't be in time is answered now.
        part = self._part(one, tenant, lent, places)
        wait = (ahead + 1) * one.mean() // part if part else 0
        if ahead >= self.terms.waiting or now + wait + one.mean() > due:
            return [GiveUp(token, source)]
        queue.append(waiting)
        self.waits[token] = waiting
        if len(self.ends) > 1000 + 2 * len(
            self.waits
        ):  # those that have started stand there until their time
            self.ends = [end for end in self.ends if end[2].open]
            heapq.heapify(self.ends)
        heapq.heappush(self.ends, (due - one.mean(), next(self.order), waiting))
        return self._dispatch(source, one, now)

    def left(self, token):
        """Its client went while it waited."""
        if (waiting := self.waits.pop(token, None)) is not None:
            waiting.open = False
            self._drop(waiting)

    def unused(self, token, now):
        """It went another way after all: its place is free, and nothing is charged."""
        return self.ended(token, 0, None, now)

    def lingers(self, token, now):
        """Nobody waits for it here any more, and it may go on at the source: its place is taken until it can't."""
        if (was := self.filling.get(token)) is not None:
            heapq.heappush(
                self.lingering, (max(now, was.since + self.terms.longest), next(self.order), token)
            )

    def ended(self, token, took, good, now):
        """Its fill took that long (0: there was none); `good`: it came in time, None: nothing is known by it."""
        if (was := self.filling.pop(token, None)) is None:
            return []
        one, weight = self.sources[was.source], self.terms.tenants[was.tenant][0]
        one.using[was.tenant] -= 1
        if good is not None:
            one.times.append(took)
            one.ended += 1
            one.late += not good
        most = DEBT * one.mean()
        one.tags[was.tenant] += max(-most, min(most, took - was.charged)) / weight
        if not one.using[was.tenant]:
            del one.using[was.tenant]
        return self._dispatch(was.source, one, now)

    def due(self, now):
        """Whoever can't be in time any more is answered; whoever may start by now does."""
        done = []
        while self.lingering and self.lingering[0][0] <= now:
            token = heapq.heappop(self.lingering)[2]
            if token in self.filling:
                done += self.ended(token, now - self.filling[token].since, None, now)
        while self.ends and (self.ends[0][0] <= now or not self.ends[0][2].open):
            waiting = heapq.heappop(self.ends)[2]
            if waiting.open:
                waiting.open = False
                del self.waits[waiting.token]
                self._drop(waiting)
                done.append(GiveUp(waiting.token, waiting.source))
        for source, one in self.sources.items():
            if one.backlogged():
                done += self._dispatch(source, one, now)
        return done

    def told(self, source):
        """(fills that ended, of these late) since the last call."""
        one = self.sources.get(source)
        if one is None:
            return 0, 0
        said, one.ended, one.late = (one.ended, one.late), 0, 0
        return said

    # How.

    def _source(self, source):
        if source not in self.sources and len(self.sources) >= SOURCES_MOST:
            idle = next(
                (at for at, one in self.sources.items() if not one.using and not one.backlogged()), None
            )
            if idle is None:
                return None
            del self.sources[idle]
        return self.sources.setdefault(source, Source())

    @staticmethod
    def _idle(one, places):
        return sum(one.using.values()) < places

    def _part(self, one, tenant, lent, places):
        """Places that a tenant may have at once while all that wait now go on waiting."""
        weights = {t: self.terms.tenants[t][0] for t in {*one.backlogged(), *one.using, tenant}}
        return max(lent.get(tenant, 0), places * weights[tenant] / sum(weights.values()))

    def _drop(self, waiting):
        queue = self.sources[waiting.source].waiting[waiting.tenant]
        queue.remove(waiting)
        if not queue:
            del self.sources[waiting.source].waiting[waiting.tenant]

    def _dispatch(self, source, one, now):
        """Each free place to the tenant that has had least of what it may have by its weight."""
        done = []
        while backlogged := one.backlogged():
            lent, places = self.room(source, now)
            if not self._idle(one, places):
                break
            # What the steward lent to a tenant goes before what it lent to nobody: that was weighed over all fronts.
            own = [t for t in backlogged if one.using.get(t, 0) < lent.get(t, 0)]
            tenant = min(own or backlogged, key=lambda t: (self._tag(one, t), t))
            waiting = one.waiting[tenant][0]
            self._drop(waiting)
            waiting.open = False
            del self.waits[waiting.token]
            done += self._starts(one, waiting, now)
        return done

    @staticmethod
    def _tag(one, tenant):
        """A start tag: one that was idle begins at the present, so that it has saved nothing up."""
        return max(one.virtual, one.tags.get(tenant, 0))

    def _starts(self, one, waiting, now):
        tenant, charge = waiting.tenant, one.mean()
        one.virtual = self._tag(one, tenant)
        one.tags[tenant] = one.virtual + charge / self.terms.tenants[tenant][0]
        one.using[tenant] = one.using.get(tenant, 0) + 1
        self.filling[waiting.token] = Filling(tenant, waiting.source, now, charge)
        return [Start(waiting.token, waiting.source)]


def tenant_of(said, listed):
    """(index, whether it was a listed one) of what a client's header says: never a key of any table but by the list."""
    if said is None or not 0 < len(said) <= 200:
        return COMMON, False
    at = listed.get(bytes(said).strip())
    return (COMMON, False) if at is None else (at, True)
