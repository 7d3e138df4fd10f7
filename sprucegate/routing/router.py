"""The rules: every decision of one front, every table it keeps and every tuned value.

A front makes one Router and brings it news; take gives a Get, whose calls return what is to be done.
"""

import heapq
from bisect import bisect_left
from collections import Counter, OrderedDict, defaultdict, deque
from itertools import chain, count, islice
from math import ceil, sqrt
from statistics import median, median_low

from sprucegate.routing.actions import (
    AwaitSlot,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SubscribeToEndpoints,
)
from sprucegate.routing.events import AttemptOutcome, BeliefGossip, CacheStatus, EjectionGossip, EndpointState
from sprucegate.routing.hashing import hash32
from sprucegate.routing.rendezvous import Ranking, Rendezvous, label_of, lane_of

MS, S, NEVER = 1_000_000, 1_000_000_000, -1 << 62

SPAN = 2 * S  # GETs of an object are counted over spans of this length
KEEP_COUNT = 0.5  # GETs a span below which a cache is taken to lose an object
CAP = 8 * S  # longest life of a belief after the last hit or fill
MARGIN = 1 * S  # a belief this near its end is rechecked by the next GET
TRIP = 2 * MS  # round trip inside a location, at most
TABLE = 4096  # objects remembered
HOT_SHARE = 0.25  # of one cache's part of the work: an object above it is spread
CROWDED = 1.3  # slowness from which a sample tells of the link, not of its own noise
TOLD_CROWD = 0.6  # slowness for each GET told to be at a cache for each transfer that its link fits
AHEAD = 0.75  # of the time left that an answer may be expected to take: others will come to share
FITS_RANK = 0.25  # which sample tells what a link fits: the lower ones keep its queue short
SHARE_ROOM = 0.3  # of an even part of a told link: other fronts' parts are uneven, and waits add
THROTTLE, THROTTLE_SPAN = 1.3, 3 * S  # share of fills let through, over the share that came in time
WELL = 0.7  # share in time from which a source is not passed by
FLOOR = 0.15  # of the fills go on whatever comes of them: late ones still leave copies for others
LEAN = 4  # samples that the share of all sources weighs against a source's own
PROBING = 0.08  # of what looks hopeless is tried all the same, or nothing would show that it passed
COLD_MOST = 1.4  # times its part of what warm ones return: more would come late
COLD_SAFETY = 0.7  # of a cold node's budget: the rest is for what this front can't see
COLD_SUM = 0.9  # of it in any one window, with what was saved up: the rest is noise over all fronts
SAMPLES, SAMPLE_AGE = 16, 10 * S  # outcomes that a judgement rests on
REFRESH = 20 * MS  # figures over hundreds of samples are worked out again after this, not for each GET
LATEST = 6  # ends that tell of failing: a hanging place answers late, and a front asks it little
SLOW, UNLIKE = 3.0, 1.5  # times slower than its peers: set aside; what it is slow at is its own fault
DOWN = 1 * S  # a place out of reach is left alone so long, then tried by one GET
REST = 2 * S  # first rest of a node set aside; doubles while trials fail, up to eight times that
RETRY_SHARE = 0.2  # of the last forwards may be further ones
OWN_BYTES = 64 << 20  # of copies that the front itself keeps
OWN_AGE = 30 * S  # their longest life, and how much longer than old copies purges are remembered
OWN_WAIT = 5 * MS * 100 * MS  # queue on the own link times sending: past it a cache answers sooner
CONNECTIONS = 4  # to one cache: each more is read on its own, and costs the CPU where GETs are many
STALLED = 150 * MS  # an answer begun and then silent so long won't be finished
WIDEST = 3  # caches over which a hot object is spread, at most
FIRST = 8  # of a ranking, worked out at first; most GETs need no more
PASSED_BY = 128  # crowded caches that a GET passes by at most, looking for one that is in time
PARENTS = 32  # parents that a fill is weighed among
COMPACTED = 128  # entries of a heap from which those that are over are let go
WARMED = 0.75  # of the connections that there may be: made at the start where servers are more
RECENT = 256  # nodes whose last ends are held against each other
HEARD = 0.5  # of what is left of another front's belief or rest: it saw another part of the GETs
ANSWER_MARGIN = 20 * MS  # kept before the end of a viewer's time

SOURCE_FAULTS = (CacheStatus.FILL_SOURCE_REFUSED, CacheStatus.FILL_SOURCE_BROKEN, CacheStatus.ORIGIN_FAILED)
HITS, FILLS = (CacheStatus.HIT, CacheStatus.STALE_HIT), (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)


class Standing:
    """A place judged by its last ends, (time, good), and speeds, (time, slowness, how many shared it)."""

    def __init__(self):
        self.ends, self.speeds = deque(maxlen=LATEST), deque(maxlen=SAMPLES)
        self.rest, self.until, self.trial, self.fitted = 0, 0, False, (NEVER, -NEVER)

    def note(self, now, good, slowness, sharing=0):
        if good and self.until <= now:
            self.trial, self.rest = False, self.rest * 3 // 4  # one good end clears no half-failing place
        # A connection that ends takes many forwards with it: one bad end, or each would set a cache aside.
        if good or not self.ends or self.ends[-1][1] or now - self.ends[-1][0] >= TRIP:
            self.ends.append((now, good))
        self.speeds.extend([(now, slowness, sharing)] if slowness else [])

    def slowness(self, now):
        seen = [s for at, s, _ in self.speeds if now - at < SAMPLE_AGE]
        return median(seen) if len(seen) >= 3 else 0

    def crowding(self, sharing, now):
        """Slowness to expect. A crowded link is divided evenly: sharing over slowness is what it fits."""
        if now - self.fitted[0] >= REFRESH:
            fits = sorted(
                [
                    n / s
                    for at, s, n in self.speeds
                    if s > (CROWDED if n > 2 else SLOW) and now - at < SAMPLE_AGE
                ]
            )
            self.fitted = now, fits[int(FITS_RANK * (len(fits) - 1))] if len(fits) >= 3 else -NEVER
        return max(1.0, sharing / self.fitted[1])

    def failures(self, now):
        fresh = [good for at, good in self.ends if now - at < SAMPLE_AGE]
        return fresh.count(False) / len(fresh) if len(fresh) >= 3 else 0

    def due(self, now):
        """Whether its last end may change a verdict: a good one at a good pace brings none nearer."""
        return not (
            self.until > now or self.ends and self.ends[-1][1] and self.speeds and self.speeds[-1][1] <= SLOW
        )

    def judge(self, others, alone, now, quiet=0):
        """Outlier ejection: far slower than peers, or half failed; all, where it may be another's fault.

        `quiet`: how many more peers there are, of which nothing was seen of late.
        """
        if not self.due(now):
            return
        slow, share = self.slowness(now), self.failures(now)
        rivals = [r for o in others if o is not self and (r := o.slowness(now))]
        failures = [] if alone else [o.failures(now) for o in others if o is not self]
        usual = 0 if alone or quiet > len(failures) else median(failures + [0] * quiet or [1])
        failing = share > 0.5 if alone else share == 1 and usual < 0.5
        if failing or rivals and slow > SLOW * max(1.0, median(rivals)):
            self.rest = min(8 * REST, max(REST, 2 * self.rest))
            self.until, self.trial = now + self.rest, True
            self.ends, self.speeds = deque(maxlen=LATEST), deque(maxlen=SAMPLES)


class Node:
    def __init__(self, index, entry, role):
        self.index, self.id, self.entry, self.role = index, entry.id, entry, role
        self.label, self.down = label_of(entry.id), 0
        self.lane = lane_of(self.label)
        self.out = self.filling = 0  # forwards out there, and those of them that await a fill
        self.renewed(entry.started)

    def renewed(self, started, began=None):
        self.as_cache, self.as_source = Standing(), Standing()
        self.load, self.load_at, self.started, self.began = {}, NEVER, started, began
        # `began`: since when it is another one than listed, on the router's clock.
        self.credit, self.credit_at = None, NEVER  # work that a cold start still allows this front

    def heard(self, reached, now, platform_now):
        # Against restarts that the list tells late: back in reach is cold and empty, or only out of sockets.
        if reached and self.down:
            self.renewed(platform_now, now)
        self.down = 0 if reached else now + DOWN

    def crowding(self, now):
        # Against many fronts that each have one GET there: the GETs that the cache told of all.
        here = self.load.get("inflight", 0) if now - self.load_at < 2 * S else 0
        crowd = self.as_cache.crowding(self.out - self.filling + 1, now)
        return max(TOLD_CROWD * here / self.entry.weight, crowd)

    def busy(self, now):
        return max(self.out, self.load.get("inflight", 0) if now - self.load_at < S else 0)


class Memory:
    def __init__(self, span):
        self.span, self.counts, self.failed_at, self.returned = span, [0, 0, 0], NEVER, False
        self.holders, self.ranks = {}, {}  # node index -> (expiry, since, the holder's start); by role
        self.spents = None  # its object's last sending times: the least tells a part's size

    def roll(self, span):
        if (steps := span - self.span) > 0:
            self.counts, self.span = ([0] * min(3, steps) + self.counts)[:3], span

    def life(self):
        """The thesis's line, under a fixed cap. A fall within the noise of counting (Poisson) is no trend."""
        _, newer, older = self.counts
        falling = older - newer > sqrt(older + newer)
        return int(max(0, min(CAP, (newer - KEEP_COUNT) * SPAN / (older - newer) - TRIP))) if falling else CAP


class Sent:
    def __init__(self, cache, source, crowd, believed=False):
        self.cache, self.source, self.crowd, self.filling = cache, source, crowd, 0
        self.believed = believed  # to hold the object, when it was sent
        self.open, self.outcome, self.fill = True, None, None


class Get:
    def __init__(self, router, asked, now):
        self.router, self.request, self.limit = router, asked, now + router.latency_objective(asked)
        self.deadline, self.forwards = now + asked.ttl - ANSWER_MARGIN, []
        self.finished = self.streaming = self.missed = self.hopeless = False
        self.lost = set()  # indices of nodes that did not serve or fill it
        self.slot_source = None  # the source at which it has a place, where places are shared out

    def open(self):
        return [n for n, f in enumerate(self.forwards) if f.open]

    def is_settled(self):
        return self.finished and not self.open()

    def route(self, now):
        if self.finished or self.streaming:
            return []
        return [forward] if (forward := self.router.plan(self, now)) else self.give_up(now)

    def risky(self):
        return next((f for f in self.forwards if f.open or not f.outcome.never_executed), None)

    def give_up(self, now):
        self.finished, router, ds = True, self.router, self.request.delivery_service
        router.memory(self.request, now).failed_at = now
        harmless = (
            router.settings.of_service("effect", ds, "idempotent") == "idempotent" or self.risky() is None
        )
        later = router.settings.max_retry_after if router.settings.retry_after else 0
        return [RejectRequest(later) if harmless else FailRequest(), *self.cancel_open()]

    def cancel_open(self):
        return [CancelAttempt(n) for n in self.open() if self.router.settings.cancel]

    def attempt_ended(self, number, outcome, found, spent, waited, load, finished, now):
        sent = self.forwards[number]
        sent.open, sent.outcome = False, outcome
        self.router.learn(self, sent, outcome, found, spent, waited, load, now)
        if finished or outcome is AttemptOutcome.RETURNED:
            return self.client_disconnected(now)
        return [] if self.open() else self.route(now)

    def response_started(self, number, now):
        self.streaming = True  # from here on nothing is owed or may be sent
        return []

    def client_disconnected(self, now):
        self.finished, over = True, self.finished
        return [] if over else self.cancel_open()


class Router:
    def __init__(self, settings, seed, now):
        self.settings, self.seed, self.draws, self.now = settings, seed, 0, now
        self.nodes, self.index_of, self.indices = {}, {}, count()
        self.hashing = defaultdict(Rendezvous)  # role -> its group in the order of indices
        self.widest = Counter()  # most weight that a role's group has had
        self.versions = Counter()  # role -> changes of its group so far
        self.troubled = {}  # index -> cache out of reach, set aside or on trial, or once so
        self.recent = defaultdict(OrderedDict)  # role -> index -> node, the one noted last standing last
        self.paces = OrderedDict()  # object -> its last sending times
        self.table, self.slot_of, self.purges = [], OrderedDict(), {}  # purges by ("object" or "group", id)
        self.purge_order = []  # (time, key), the oldest first
        self.told_at = NEVER  # other fronts of this one's beliefs
        self.platform_clock_offset = 0  # how far the clock of listed starts is ahead, at the least
        self.compacts_at = COMPACTED  # entries of `waiting` at which those of GETs that are done are let go
        self.waiting, self.order = [], count()  # (due, order, Get or None for a list to ask for)
        self.carried, self.further = deque(maxlen=256), deque(maxlen=100)  # (time, work) returned; if so
        self.spents = defaultdict(lambda: deque(maxlen=64))  # by delivery service, the last sending times
        self.link, self.filling, self.link_use = Standing(), 0, (0, NEVER)
        self.misses = deque(maxlen=64)  # of the last answers to unbelieved GETs, which were no hits
        self.fills = deque(maxlen=256)  # [source, time, when late, came in time] of the last fills
        self.tally, self.rated, self.found = (NEVER, Counter(), Counter()), (NEVER, 0), deque(maxlen=64)
        self.top = max([r for r in self.settings.revenue if r], default=1)
        self.slot_limited_sources = ()  # sources whose places another module shares out
        self.asks = [SubscribeToEndpoints()] if self.settings.discovery == "ask" else []

    def chance(self, text):
        self.draws += 1
        return hash32(f"{self.settings.my_number}/{text}/{self.draws}".encode(), self.seed % 2**32) / 2**32

    def mean_work(self, ds):
        seen = self.spents.get(ds)
        return sum(seen) // len(seen) if seen else self.settings.of_service("latency_objective", ds, 400 * MS)

    def work(self, asked):
        """Sending time: by the told size, else the object's quickest, else its delivery service's middle."""
        if asked.size and (rate := self.settings.client_kb_per_s):
            return int(asked.size / rate * S)
        own = self.memory(asked, self.now).spents
        return (
            min(own)
            if own
            else int(
                median(self.spents.get(asked.delivery_service) or [self.mean_work(asked.delivery_service)])
            )
        )

    def latency_objective(self, asked):
        extra = int(
            self.settings.of_service("objective_stretch", asked.delivery_service, 0) * self.work(asked)
        )
        return self.settings.of_service("latency_objective", asked.delivery_service, -NEVER) + extra

    def in_time(self, sources, now):
        """Share of each source's last fills that came in time; few of them lean on those of all sources."""
        if now - self.tally[0] >= REFRESH:
            ended = [
                (by.index, bool(good))
                for by, at, late, good in self.fills
                if now - at < THROTTLE_SPAN and (good is not None or late <= now)
            ]
            self.tally = now, Counter(at for at, _ in ended), Counter(at for at, good in ended if good)
        _, all_of, good_of = self.tally
        shared = (good_of.total() + 1) / (all_of.total() + 1)
        return [(good_of[n.index] + LEAN * shared) / (all_of[n.index] + LEAN) for n in sources]

    def update_endpoints(self, entries, whole, now):
        seen = dict.fromkeys([entry.id for entry in entries])
        roles = {self.settings.parent_kind: "parent", self.settings.origin_kind: "origin"}
        for entry in entries:
            if entry.id not in self.index_of:
                at = self.index_of[entry.id] = next(self.indices)
                self.nodes[at] = Node(at, entry, roles.get(entry.kind, "cache"))
            node = self.nodes[self.index_of[entry.id]]
            if entry.started > node.started:
                node.renewed(entry.started)
            node.entry = entry
        here = self.settings.my_location
        nodes = list(self.nodes.values()) if whole else [self.nodes[self.index_of[at]] for at in seen]
        for node in nodes:
            # By index, and only those that the list names: of 20,000 few change, and grouping all takes long.
            group = self.hashing[node.role]
            gone = whole and node.id not in seen or node.entry.state is EndpointState.GONE
            near = node.role != "cache" or node.entry.location == here
            at = bisect_left(group.nodes, node.index, key=lambda n: n.index)
            if at < len(group.nodes) and group.nodes[at] is node:
                group.remove(at)
            if not gone and node.entry.state is EndpointState.SERVING and near:
                group.insert(at, node, node.entry.weight)
            if gone:
                del self.nodes[node.index], self.index_of[node.id]  # its index is never given again
                self.troubled.pop(node.index, None)
                self.recent[node.role].pop(node.index, None)
        for role in dict.fromkeys([node.role for node in nodes]):
            self.versions[role] += 1  # rankings of before are void
            self.widest[role] = max(self.widest[role], self.hashing[role].weight())

    def endpoint_list_failed(self, now):
        if self.settings.discovery == "ask":
            self.remind(now + S, None)  # later, so that a busy discovery can recover

    def remind(self, when, get):
        if len(self.waiting) >= self.compacts_at:
            # What is done need not stand there until its time: GETs may be patient for an hour.
            self.waiting = [one for one in self.waiting if one[2] is None or not one[2].finished]
            heapq.heapify(self.waiting)
            self.compacts_at = max(COMPACTED, 2 * len(self.waiting))
        heapq.heappush(self.waiting, (when, next(self.order), get))

    def invalidate(self, obj, group, age, now):
        # Beliefs and own copies from before a purge are void too, and may outlive the old copies at caches.
        for _ in range(4):  # 100,000 told at once are old at once: all in one call took 1 s
            if not self.purge_order or now - self.purge_order[0][0] <= self.settings.purge_done + OWN_AGE:
                break
            at, key = heapq.heappop(self.purge_order)
            if self.purges.get(key) == at:
                del self.purges[key]
        key = ("object", obj) if obj >= 0 else ("group", group)
        self.purges[key] = max(now - age, self.purges.get(key, NEVER))
        heapq.heappush(self.purge_order, (self.purges[key], key))

    def purge_time(self, asked):
        return max(self.purges.get(k, NEVER) for k in (("object", asked.object), ("group", asked.group)))

    def oldest(self, asked, stale, now):
        """Oldest copy that will do; 0 is the fresh time. A tick is given away against rounding."""
        fresh = self.settings.of_service("fresh_time", asked.delivery_service, 0)
        limit = (
            fresh + self.settings.of_service("grace_time", asked.delivery_service, 0)
            if stale and fresh
            else 0
        )
        if (purge := self.purge_time(asked)) > NEVER:
            young = max(1000, now - purge - self.settings.tick)
            limit = min(young, limit or fresh or young)
        return limit

    def may_answer_from_own_copy(self, asked, made, since, wait, now):
        """May an own copy answer? As young as a cache's; the link's queue short, more so for large ones."""
        limit = (
            self.oldest(asked, False, now)
            or self.settings.of_service("fresh_time", asked.delivery_service, 0)
            or 1 << 62
        )
        return now - since < OWN_AGE and now - made < limit and wait * self.work(asked) <= OWN_WAIT

    def should_store_own_copy(self, asked, made, now):
        often = sum(self.memory(asked, now).counts) > 1 and not self.settings.of_service(
            "runs_at_origin", asked.delivery_service, False
        )
        return often and self.may_answer_from_own_copy(
            asked, made, now, 0, now
        )  # one-off objects would push out the rest

    def memory(self, asked, now):
        key = (asked.object, asked.part)
        slot = self.slot_of.pop(key, None)
        if slot is None:
            slot = self.slot_of.popitem(last=False)[1] if len(self.table) >= TABLE else len(self.table)
            self.table[slot : slot + 1] = [Memory(now // SPAN)]
            # Parts of one object are alike in size, and each alone is asked for too seldom to tell it.
            # An empty one is shared as well: the next part is asked for before the first has come back.
            spents = self.paces.pop(asked.object, None)
            spents = deque(maxlen=8) if spents is None else spents
            self.table[slot].spents = self.paces[asked.object] = spents
            if len(self.paces) > TABLE:
                self.paces.popitem(last=False)
        self.slot_of[key] = slot
        self.table[slot].roll(now // SPAN)
        return self.table[slot]

    def ranked(self, memory, role, key):
        """A role's nodes in the order for a key, alike at all fronts; worked out as far as asked for."""
        group = self.group(role)
        kept, at = self.ranking(memory, role, key), 0
        while True:
            yield from islice(kept.nodes, at, None)
            at = len(kept.nodes)
            if at >= len(group):
                return
            kept.nodes = self.hashing[role].best(key, 4 * at)

    def endpoints_to_connect(self, most):
        """Ids of servers to connect to at the start, where there may be `most` connections.

        All of them where they are so few. Else, with room left for what GETs need, those that all GETs go
        through, and the near caches where they fit: one of thousands would go idle before its first GET.
        """
        if len(self.nodes) <= most:
            return [node.id for node in self.nodes.values()]
        most = int(WARMED * most)
        nodes, caches = [*self.group("origin"), *self.group("parent")], self.group("cache")
        if len(nodes) + len(caches) <= most:
            nodes += caches
        return [node.id for node in nodes[:most]]

    def ranking(self, memory, role, key):
        kept, version = memory.ranks.get(role), self.versions[role]
        if kept is None or kept.version != version:
            kept = memory.ranks[role] = Ranking(version, self.hashing[role].best(key, FIRST))
        return kept

    def group(self, role):
        """Nodes of a role that GETs or fills may go to, in the order of their indices."""
        return self.hashing[role].nodes

    def in_group(self, node):
        """Whether GETs or fills may go to it: listed, serving, and near where that counts."""
        near = node.role != "cache" or node.entry.location == self.settings.my_location
        return near and node.entry.state is EndpointState.SERVING and self.nodes.get(node.index) is node

    def noted(self, node):
        """Its last end, or another front's word of it, is new."""
        recent = self.recent[node.role]
        recent[node.index] = node
        recent.move_to_end(node.index)
        if len(recent) > RECENT:
            recent.popitem(last=False)
        if node.role == "cache" and (node.down or node.as_cache.trial or node.as_cache.until):
            self.troubled[node.index] = node

    def peers(self, role):
        """Those of a role's group of which something was seen of late, and how many more there are."""
        seen = [n for n in self.recent[role].values() if self.in_group(n)]
        return seen, len(self.group(role)) - len(seen)

    def believe(self, memory, node, now):
        memory.holders[node.index] = (now + memory.life(), now, node.started)

    def holders(self, asked, memory, now):
        """Beliefs in force: {node: expiry}, the longest first. A restart or a purge voids what was before."""
        purge = self.purge_time(asked)
        kept = [
            (-end, at)
            for at, (end, of, start) in memory.holders.items()
            if end > now
            and of > purge
            and (n := self.nodes.get(at))
            and start == n.started
            and n.entry.state is EndpointState.SERVING
        ]
        memory.holders = {at: memory.holders[at] for _, at in kept}
        return {self.nodes[at]: -expiry for expiry, at in sorted(kept)}

    def seen_of_late(self):
        """(index, node) of all that may be known to be slow, or set aside."""
        found = dict(self.troubled)
        for recent in self.recent.values():
            found.update(recent)
        return found.items()

    def gossip_to_send(self, most, now):
        """What other fronts can use: who is set aside, then beliefs renewed since then, most asked first."""
        # With the age of what it rests on: told on as new, a pace would go round among fronts for good.
        said = [
            EjectionGossip(
                n.id,
                n.started,
                by is n.as_source,
                max(0, by.until - now),
                int(1000 * slow),
                now - by.speeds[-1][0] if slow else 0,
            )
            for _, n in sorted(self.seen_of_late())
            for by in (n.as_cache, n.as_source)
            for slow in [by.slowness(now)]
            if by.until > now or slow > UNLIKE
        ]
        since, self.told_at = self.told_at, now
        fresh = [
            (-sum(m.counts[:2]), key, at, held)
            for key, slot in self.slot_of.items()
            for m in [self.table[slot]]
            for at, held in m.holders.items()
            if held[1] > since and held[0] - now > 2 * MARGIN and at in self.nodes
        ]
        for _, (obj, part), at, (end, of, start) in heapq.nsmallest(max(0, most - len(said)), fresh):
            said.append(BeliefGossip(obj, part, self.nodes[at].id, start, end - now, now - of))
        return said[:most]

    def receive_gossip(self, said, age, now):
        """Another front's words, `age` ns old: nothing beside what was seen here, else part of the rest."""
        for one in said:
            node = self.nodes.get(self.index_of.get(one.cache))
            left = int(HEARD * (one.remaining - age))
            if node is None or node.started != one.started:
                continue
            if isinstance(one, EjectionGossip):
                by = node.as_source if one.as_source else node.as_cache
                if one.slowness and not any(now - at < SAMPLE_AGE for at, *_ in by.speeds):
                    by.speeds.extend(
                        [(now - age - one.age, one.slowness / 1000, 1)] * 3
                    )  # as few as tell a pace
                if left > 0 and not any(now - at < SAMPLE_AGE for at, _ in by.ends):
                    by.until, by.trial = max(by.until, now + min(left, 8 * REST)), True
                self.noted(node)
            elif left > 0 and ((one.object, one.part) in self.slot_of or len(self.table) < TABLE):
                # One that a full table lacks is not what this front is asked for.
                holders = self.memory(one, now).holders
                holders.setdefault(node.index, (now + min(left, CAP), now - one.age - age, node.started))

    def start_request(self, asked, now):
        self.now, memory = now, self.memory(asked, now)
        # Repeats stretch beliefs. Unmarked ones are told by how soon they follow a GET given up here.
        memory.counts[0] += not asked.repeat and now - memory.failed_at > 2 * S
        self.spents[asked.delivery_service].extend([self.work(asked)] if asked.size else [])
        memory.failed_at, get = NEVER, Get(self, asked, now)
        self.remind(get.deadline, get)
        return get

    def next_deadline(self):
        while self.waiting and self.waiting[0][2] is not None and self.waiting[0][2].finished:
            heapq.heappop(self.waiting)
        return 0 if self.asks else self.waiting[0][0] if self.waiting else None

    def on_timer(self, now):
        said, self.asks = [(None, self.asks)], []
        while self.waiting and self.waiting[0][0] <= now:
            get = heapq.heappop(self.waiting)[2]
            if get is None or not get.finished and not get.streaming:
                said.append((get, get.give_up(now) if get else [SubscribeToEndpoints()]))
        return said

    def receive_peer_message(self, peer, payload, now):
        """Routers exchange nothing over the simulator's protocol."""

    def receive_load_report(self, cache, outcome, elapsed, load, now):
        """No health checks are sent, so no report is expected."""

    def rate(self, now):
        if now - self.rated[0] >= REFRESH and self.carried:
            self.rated = now, sum([w for _, w in self.carried]) / max(S, now - self.carried[0][0])
        return self.rated[1]

    def age(self, node, now):
        """Nanoseconds since it started, at most the true ones."""
        return now - node.began if node.began is not None else now + self.platform_clock_offset - node.started

    def cold_room(self, node, ds, now):
        # Capacity is never told: what warm ones return is the guide, with the stated floor and slowest rise.
        role, kind = node.role, "parent_" if node.role == "parent" else ""
        warm, age = getattr(self.settings, f"{kind}warm_time"), self.age(node, now)
        if role == "origin" or not node.started or age >= warm:
            return True
        floor, window = getattr(self.settings, f"{kind}cold_share"), self.settings.fall_time
        # Its part of all that ever stood: one that is left did not carry alone what is still in the rate.
        rate = self.rate(now) * node.entry.weight / (self.widest[role] or 1)
        fills = 8 + sum(f not in HITS for f in self.found)
        rate *= fills / (8 + len(self.found)) if role == "parent" else 1
        share = floor + (1 - floor) * max(0, age) / warm
        whole = getattr(self.settings, f"{kind}fall_multiple") * share * rate * window
        budget = min(COLD_MOST * share * rate * window, COLD_SAFETY * whole)
        need, spare = max(1, self.mean_work(ds)), max(0, COLD_SUM * whole - budget)
        if not self.carried:  # against a start among cold nodes alone: it would earn nothing, ever
            budget = spare = need * window / warm
        if node.credit is None:
            # Against many fronts that each see few GETs: all their firsts together would push it over.
            node.credit, node.credit_at = self.chance(node.label.hex()) * need, now
        node.credit += budget * (now - node.credit_at) / window
        # Kept for good, what each saved up in a quiet time would come from all of them at once.
        # By whole GETs: capped alike, all fronts would hold one ready at any time.
        node.credit -= need * max(0, ceil((node.credit - need - spare) / need))
        node.credit_at = now
        return node.credit >= need

    def avoided(self, now):
        """Indices of caches that get nothing now: out of reach, or set aside.

        Never more than half are set aside, whatever the samples say; a trial is one GET at a time.
        """
        down, aside = set(), []
        for index, node in list(self.troubled.items()):
            by = node.as_cache
            if not (node.down or by.trial or by.until > now):
                del self.troubled[index]
            elif not self.in_group(node):
                continue
            elif node.down and (node.down > now or node.out):
                down.add(index)
            elif by.until > now or by.trial and node.out:
                aside.append(node)
        aside.sort(key=lambda n: (-n.as_cache.until, n.id))
        most = (len(self.group("cache")) - len(down)) // 2
        return down.union([n.index for n in aside[:most]])

    def width(self, asked, memory, caches, now):
        """Over how many of so many `caches` an object is spread."""
        # One of the few GETs that a front among many sees makes no object hot: noise (Poisson) goes off.
        asks = (seen := sum(memory.counts[:2])) - 2 * sqrt(seen)
        share = asks * self.work(asked) / (2 * SPAN) * caches
        hot = HOT_SHARE * self.rate(now)
        return 1 + (share > hot > 0) + (share > 2 * hot > 0)

    def pick(self, get, memory, now):
        asked = get.request
        key = asked.object.to_bytes(8, "big") + asked.part.to_bytes(4, "big")
        avoided = self.avoided(now) if self.troubled else set()
        order = self.takers(memory, key, avoided | get.lost, asked.delivery_service, now)
        first = self.ranking(memory, "cache", key).nodes[:WIDEST]
        if avoided or get.lost or any([n.started for n in first]):
            first = list(islice(order, WIDEST))
        if not first and get.lost:
            order = self.takers(memory, key, avoided, asked.delivery_service, now)
            first = list(islice(order, WIDEST))
        if not first:
            return None, False
        usable = len(self.group("cache")) - len(avoided)
        wide = first[: self.width(asked, memory, usable, now)]
        best = (
            wide[0]
            if len(wide) == 1
            else min(wide, key=lambda n: (n.crowding(now), n.busy(now) / n.entry.weight))
        )
        most = max(1.0, AHEAD * (get.limit - now) / max(1, self.work(asked)))
        if best.crowding(now) <= most:
            return best, True
        fit = next((n for n in chain(first, islice(order, PASSED_BY)) if n.crowding(now) <= most), None)
        return fit or best, fit is not None

    def takers(self, memory, key, avoided, ds, now):
        """Caches that may take a GET now, in the key's order; cold ones only as far as their budget goes."""
        for node in self.ranked(memory, "cache", key):
            if node.index not in avoided and (not node.started or self.cold_room(node, ds, now)):
                yield node

    def sibling(self, get, memory, cache, now):
        allowed = self.settings.siblings
        for node, expiry in self.holders(get.request, memory, now).items():
            near = allowed == "location" and node.entry.location == cache.entry.location
            if (
                node is not cache
                and node.index not in get.lost
                and (near or allowed == "any")
                and max(node.as_source.until, node.as_cache.until) <= now
                and self.cold_room(node, get.request.delivery_service, now)
            ):
                return node, expiry - now <= MARGIN
        return None, False

    def upper(self, get, now):
        """A parent that does well by hash, or the origin; and if it may fetch: the origin's share in time."""
        parents = self.ranked(self.memory(get.request, now), "parent", get.request.object.to_bytes(8, "big"))
        parents = (
            n
            for n in parents
            if max(n.as_source.until, n.down) <= now
            and n.index not in get.lost
            and self.cold_room(n, get.request.delivery_service, now)
        )
        order = [*islice(parents, PARENTS), *self.group("origin")]
        shares = self.in_time(order, now) or [0]
        at = next((at for at, share in enumerate(shares) if share >= WELL), shares.index(max(shares)))
        # Where the origin does worst the parents are not at fault: another one would lack the object too.
        node = order[at if shares[at] >= WELL or shares[-1] > min(shares) else 0] if order else None
        if node and self.chance(get.request.id) < max(FLOOR, THROTTLE * shares[-1]):
            return node, True
        # The origin holds everything: asking it for what it holds would be the fetch that is to be spared.
        return next((n for n in [node, *order] if n and n.role != "origin"), None), False

    def may_forward(self, get, now):
        asked, sent = get.request, len(get.forwards)
        if get.hopeless or now >= get.deadline or sent >= self.settings.max_forwards:
            return False
        # What is not idempotent, by a word unknown here as well, is never sent again once it may have run.
        if (
            get.risky() is not None
            and self.settings.of_service("effect", asked.delivery_service, "idempotent") != "idempotent"
            or sent > 1 + int(2 * self.settings.of_service("revenue", asked.delivery_service, 0) / self.top)
        ):
            return False
        # A plain miss, or what never left, asks nothing of anybody; all else sent again may feed a jam.
        return not sent or get.missed or sum(self.further) <= RETRY_SHARE * max(10, len(self.further))

    def plan(self, get, now):
        if not self.may_forward(get, now):
            return None
        asked, memory, only_if_cached = get.request, self.memory(get.request, now), False
        write = self.settings.of_service("runs_at_origin", asked.delivery_service, False)
        cache, in_time = self.pick(get, memory, now)
        if write:
            source = next(iter(self.group("origin")), None) or self.upper(get, now)[0]
            cache = source if self.settings.direct else cache
        elif cache is None:
            cache = self.upper(get, now)[0] if self.settings.direct else None
            source = next(iter(self.group("origin")), None)
            if self.late_fill(get, now):
                return None  # past the caches it is as long on the link as a fill
        elif not in_time and self.chance(asked.id) >= PROBING:
            return None  # it would only crowd out what can still be in time
        else:
            source, only_if_cached = self.sibling(get, memory, cache, now)
            if source is None:
                source, may_fetch = self.upper(get, now)
                if source is None or cache.index not in memory.holders and self.late_fill(get, now):
                    source, may_fetch = cache, False
                # Hits go on: a look at cache and parent costs next to nothing, and a miss is then given up.
                only_if_cached = get.hopeless = not may_fetch
        if cache is None:
            return None
        fills = source is not None and source.role != "cache" and cache.index not in memory.holders
        if (
            fills
            and source.id in self.slot_limited_sources
            and not (write or only_if_cached)
            and get.slot_source != source.id
        ):
            return AwaitSlot(source.id)  # before anything is counted: it may go another way by then
        return self.send(get, memory, cache, source or cache, only_if_cached, now)

    def send(self, get, memory, cache, source, only_if_cached, now):
        asked, number, write = (
            get.request,
            len(get.forwards),
            self.settings.of_service("runs_at_origin", get.request.delivery_service, False),
        )
        for node in [cache, source][: 1 + (source is not cache)]:
            node.credit = (
                None if node.credit is None else node.credit - self.mean_work(asked.delivery_service)
            )
        cache.out += 1
        sent = Sent(cache, source, cache.out - cache.filling, cache.index in memory.holders)
        if source.role != "cache" and cache is not source and not sent.believed:
            sent.filling = self.filling = self.filling + 1
            cache.filling += 1
            sent.fill = [source, now, now + self.latency_objective(asked), None]
            self.fills.extend([] if only_if_cached else [sent.fill])
        get.forwards.append(sent)
        # What follows one that never left is the first to ask anything of anybody.
        self.further.append(number > 0 and get.forwards[number - 1].outcome is not AttemptOutcome.NOT_SENT)
        return SendAttempt(
            number,
            cache.id,
            source.id,
            rank=0 if write else 1 if sum(memory.counts) <= 1 else 2,
            max_age=self.oldest(asked, number > 0 or get.hopeless, now),
            timeout=max(MS, get.deadline - now),
            collapse=bool(self.settings.joins),
            only_if_cached=only_if_cached,
            bypass_parent=False,
            revalidate=bool(self.settings.of_service("fresh_time", asked.delivery_service, 0))
            and not get.hopeless,
        )

    def link_pace(self, now):
        """Slowness that one more fill of this front has to expect of the link in."""
        here, rate = self.settings.my_location, self.settings.client_kb_per_s
        told = self.settings.link_in_kb_per_s
        if self.settings.tells == "none" and rate and here < len(told) and told[here]:
            # Without the wait told a fill's pace doesn't show; the fronts' parts of a told link do.
            fills = 1 + self.filling * (1 + sum(self.misses)) / (2 + len(self.misses))
            fronts = sum(self.settings.fronts_by_location[here : here + 1]) or 1
            return max(1.0, fills * fronts * rate / told[here] / SHARE_ROOM)
        # Own fills are few of the link's: half a told load counts where higher, as told at fill pace.
        load = self.link_use[0] / 2 if now - self.link_use[1] < S else 0
        return max(load, self.link.crowding(self.filling + 1, now))

    def late_fill(self, get, now):
        """Would it be late by the link in? Some go all the same, or no sample would show that it passed."""
        late = self.work(get.request) * self.link_pace(now) > get.limit - now
        return late and self.chance(get.request.id) >= PROBING

    def resolved(self, sent, found, slow):
        """What an answer without a word on hits shows by its time; what stays open is neither."""
        if found is not CacheStatus.UNKNOWN or self.settings.tells != "none" or sent.cache.role != "cache":
            return found
        if sent.source is sent.cache:
            return CacheStatus.HIT
        # Against jams: fill waits read as crowded caches had hits shed, the link in was not seen at all.
        if slow <= CROWDED * max(1.0, sent.cache.as_cache.slowness(self.now)):
            return CacheStatus.HIT
        return CacheStatus.UNKNOWN if sent.believed else CacheStatus.FILLED

    def learn(self, get, sent, outcome, found, spent, waited, load, now):
        self.now, asked, cache, source = now, get.request, sent.cache, sent.source
        memory, write = (
            self.memory(asked, now),
            self.settings.of_service("runs_at_origin", asked.delivery_service, False),
        )
        good, get.missed = (
            outcome is AttemptOutcome.RETURNED,
            outcome in (AttemptOutcome.MISS, AttemptOutcome.NOT_SENT),
        )
        cache.out, memory.returned = max(0, cache.out - 1), good or memory.returned
        # Bad clients make objects up: an error with no source told of, on one never returned, blames nobody.
        bare = outcome is AttemptOutcome.ERROR and found is CacheStatus.UNKNOWN
        if outcome not in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            cache.heard(outcome is not AttemptOutcome.UNREACHABLE, now, now + self.platform_clock_offset)
        if found in FILLS or outcome.never_executed and found is CacheStatus.FILL_SOURCE_BROKEN:
            source.heard(found in FILLS, now, now + self.platform_clock_offset)
        cache.load, cache.load_at = (load, now) if load else (cache.load, cache.load_at)
        if cache.role == "cache" and "link_use" in load:
            self.link_use = load["link_use"], now
        if good and not write:
            found = self.resolved(sent, found, (spent - waited) / max(20 * MS, self.work(asked)))
        if sent.fill:
            self.filling, cache.filling = self.filling - 1, max(0, cache.filling - 1)
            self.misses.extend([found not in HITS] if good else [])
            sent.fill[3] = good and now <= sent.fill[2]
            gone = outcome is AttemptOutcome.CANCELLED and now < sent.fill[2]
            if found in HITS or bare or gone or outcome in (AttemptOutcome.RESET, AttemptOutcome.NOT_SENT):
                sent.fill[2:] = -NEVER, None  # tells of no fill: as one, it would hide how the sources do
            elif found in (CacheStatus.FILLED_BY_ORIGIN, CacheStatus.ORIGIN_FAILED) and self.group("origin"):
                # What was late for the origin's wait speaks against the origin, not against the parent.
                sent.fill[0] = self.group("origin")[-1]
                sent.fill[3] = good and now - spent + waited + self.work(asked) <= sent.fill[2]
        if good and not write and (asked.size or memory.spents):
            slow = (spent - waited) / max(20 * MS, self.work(asked))
            cache.as_cache.note(now, good, slow if found in (*HITS, CacheStatus.UNKNOWN) else 0, sent.crowd)
            if sent.fill and found in (CacheStatus.FILLED, CacheStatus.COLLAPSED):
                # An ageing parent's slow fills are not laid to the link, which they would close.
                speeds = [s for n in self.peers("parent")[0] if (s := n.as_source.slowness(now))] or [9]
                if source.as_source.slowness(now) <= UNLIKE * median_low(speeds):
                    self.link.note(now, good, slow, sent.filling)
        if good:
            self.found.extend([found] if found is not CacheStatus.UNKNOWN else [])  # silence is no answer
            self.carried.append((now, self.work(asked)))
            if not asked.size and not write:
                memory.spents.append(spent - waited)
                self.spents[asked.delivery_service].append(spent - waited)
            if not write and cache.role == "cache":
                self.believe(memory, cache, now)
            if found in FILLS:
                source.as_source.note(now, True, (spent - waited) / max(20 * MS, self.work(asked)))
                if source.role == "cache":
                    self.believe(memory, source, now)
        elif outcome is AttemptOutcome.MISS or found in SOURCE_FAULTS:
            memory.holders.pop(cache.index, None)  # either way the cache itself had no copy
            get.lost.add(source.index)
            if outcome is AttemptOutcome.MISS:
                memory.holders.pop(source.index, None)
            elif found is CacheStatus.ORIGIN_FAILED:
                # Another way to the same origin asks more of it: only an ageing copy is worth a look.
                get.hopeless = not self.settings.of_service("grace_time", asked.delivery_service, 0)
            else:
                source.as_source.note(now, False, 0)
        elif outcome is not AttemptOutcome.CANCELLED:
            get.lost.add(cache.index)
            if outcome not in (AttemptOutcome.FULL, AttemptOutcome.NOT_SENT) and (
                memory.returned or not bare
            ):
                cache.as_cache.note(now, False, 0)
        self.noted(cache)
        if source is not cache:
            self.noted(source)
        # A time-out may be the source's fault: it tells of the cache where all end so and its peers' don't.
        if cache.as_cache.due(now):
            peers, quiet = self.peers("cache")
            alone = outcome is not AttemptOutcome.TIMED_OUT
            cache.as_cache.judge([n.as_cache for n in peers], alone, now, quiet)
            self.noted(cache)
        if source is not cache and source.role != "origin" and source.as_source.due(now):
            # Parents fail alike where the origin or the load is at fault; one out of reach is down alone.
            peers, quiet = self.peers(source.role)
            alone = outcome.never_executed and found is CacheStatus.FILL_SOURCE_BROKEN
            source.as_source.judge([n.as_source for n in peers], alone, now, quiet)
