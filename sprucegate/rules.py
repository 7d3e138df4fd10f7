"""The rules: every decision of one front, every table it keeps and every tuned value.

Called: Router(settings, seed, now) once a front; listed, list_failed, purged, told and probed bring news;
take gives a Get, whose route, ended, answering and left return what is to be done; due(now), called at
next_due(), returns the rest. Settings are a plain map (sprucegate/wire/settings.py has the names). The
types that cross are in sprucegate/interface.py. Nothing here reads a clock or draws from `random`.
"""

import heapq
from collections import OrderedDict, deque
from math import log, sqrt
from statistics import median
from zlib import crc32

from sprucegate.interface import Cancel, Errored, Forward, Found, Outcome, Shed, State, Subscribe

MS = 1_000_000
S = 1000 * MS
NEVER = 1 << 62

SPAN = 2 * S          # GETs of an object are counted over spans of this length
KEEP_COUNT = 0.5      # GETs a span below which a cache is taken to lose an object
CAP = 8 * S           # longest life of a belief after the last hit or fill
MARGIN = 1 * S        # a belief this near its end is rechecked by the next GET
TABLE = 4096          # objects remembered
HOT_SHARE = 0.25      # of one cache's part of the work: an object above it is spread
CROWDED = 1.3         # slowness from which a sample tells of the cache's link, not of its own noise
THROTTLE = 1.4        # fills tried per fill in time, above which they are shed unsent
THROTTLE_SPAN = 4 * S
PROBING = 0.08        # of what looks hopeless is tried all the same, or nothing would show that it has passed
COLD_SAFETY = 0.5     # of the stated budget: the rest is for what this front can't see
SAMPLES = 16          # outcomes that a judgement rests on
SAMPLE_AGE = 10 * S
SLOW = 3.0            # times slower than the peers' median: set aside
REST = 2 * S          # first rest of a cache set aside; doubles while trials fail
REST_MOST = 16 * S
SILENCE = 1 * S       # forwards out this long with nothing heard since
RETRY_SHARE = 0.2     # of the last forwards may be further ones
ANSWER_MARGIN = 12 * MS

SOURCE_FAULTS = (Found.SOURCE_REFUSED, Found.SOURCE_BROKEN, Found.ORIGIN_FAILED)


def mixed(text, start=0):
    """A hash all fronts share. CRC is linear: unmixed, two caches' ranks would differ by a constant."""
    h = crc32(text, start)
    h = (h ^ (h >> 16)) * 0x85EBCA6B & 0xFFFFFFFF
    h = (h ^ (h >> 13)) * 0xC2B2AE35 & 0xFFFFFFFF
    return h ^ (h >> 16)


class Node:
    """A cache, parent or origin as this front sees it, under a small index."""

    def __init__(self, index, entry):
        self.index, self.id, self.entry = index, entry.id, entry
        self.label = entry.id.to_bytes(8, "big")
        self.out = {}                        # forwards out: (get, number) -> send time
        self.sent = deque(maxlen=256)        # (time, work) of what may reach it
        self.as_cache = Standing()
        self.as_source = Standing()
        self.heard = 0
        self.load, self.load_at = {}, 0

    def place_in(self, entry, now):
        """A restarted process is empty and owes nothing for what its predecessor did."""
        if entry.started > self.entry.started:
            self.as_cache, self.as_source, self.load = Standing(), Standing(), {}
        self.entry = entry

    def busy(self, now):
        reported = self.load.get("inflight", 0) if now - self.load_at < S else 0
        return max(len(self.out), reported)


class Standing:
    """One role, cache or source, judged by its last few samples: (time, good, slowness, busy then)."""

    def __init__(self):
        self.samples = deque(maxlen=SAMPLES)
        self.rest, self.until, self.trial = 0, 0, False

    def fresh(self, now):
        return [s for s in self.samples if now - s[0] < SAMPLE_AGE]

    def slowness(self, now):
        good = [s[2] for s in self.fresh(now) if s[2]]
        return median(good) if len(good) >= 3 else None

    def room(self, now):
        """Transfers at full pace, from samples of a crowded link that all on it share; None: never crowded."""
        seen = [s[3] / s[2] for s in self.fresh(now) if s[2] > CROWDED and s[3] > 2]
        return max(1.0, median(seen)) if len(seen) >= 3 else None

    def crowding(self, busy, now):
        room = self.room(now)
        return max(1.0, busy / room) if room else 1.0

    def failing(self, now):
        fresh = self.fresh(now)
        return len(fresh) >= 3 and sum(not s[1] for s in fresh) * 2 >= len(fresh)

    def set_aside(self, now):
        self.rest = min(REST_MOST, max(REST, 2 * self.rest))
        self.until, self.trial = now + self.rest, True
        self.samples.clear()

    def resting(self, now):
        return self.until > now

    def note(self, now, good, slowness, busy=0):
        if self.trial and not self.resting(now) and good:
            self.trial, self.rest = False, 0
        self.samples.append((now, good, slowness, busy))


class Memory:
    """One object: GETs in the running span and the two before, and who is believed to hold it."""

    __slots__ = ("span", "counts", "holders", "failed_at", "spents")

    def __init__(self, span):
        self.span, self.counts, self.holders, self.failed_at = span, [0, 0, 0], {}, -NEVER
        self.spents = deque(maxlen=4)        # its last sending times: the least tells its size

    def roll(self, span):
        steps = span - self.span
        if steps > 0:
            self.counts = ([0] * min(3, steps) + self.counts)[:3]
            self.span = span

    def life(self, now, trip):
        """How long a belief that starts now is to hold: the thesis's line, under a fixed cap.

        A fall within the noise of counting (Poisson: root of the sum) is no trend, and the cap stands.
        """
        _, newer, older = self.counts
        if older - newer <= sqrt(older + newer):
            return CAP
        left = (newer - KEEP_COUNT) * SPAN / (older - newer) - trip
        return int(max(0, min(CAP, left)))


class Get:
    """One GET from its taking to its last outcome."""

    def __init__(self, router, asked, now):
        self.router, self.asked, self.at = router, asked, now
        self.due = now + asked.ttl - ANSWER_MARGIN
        self.forwards, self.open = [], 0
        self.done = self.streaming = False
        self.risky = None                    # first forward that may have run: (node, send time)
        self.lost_sources = set()            # node indices that did not fill it
        self.lost_caches = set()

    @property
    def settled(self):
        return self.done and not self.open

    def route(self, now):
        """The next forward, or the final answer."""
        if self.done or self.streaming:
            return []
        forward = self.router.plan(self, now)
        return [forward] if forward else self.give_up(now)

    def give_up(self, now):
        """Answer at once: shed where a repeat is harmless, errored otherwise."""
        self.done = True
        router, ds = self.router, self.asked.ds
        router.failed(self.asked, now)
        effect = router.of_ds("effect", ds, "idempotent")
        harmless = effect == "idempotent" or self.risky is None and not self.open
        if effect == "tokened" and router.of_ds("token_group", ds, "all") == "all":
            harmless = True
        answer = Shed(router.advice()) if harmless else Errored()
        return [answer, *self.cancel_open()]

    def cancel_open(self):
        if not self.router.settings.get("cancel", False):
            return []
        return [Cancel(f[0]) for f in self.forwards if f[3]]

    def ended(self, number, outcome, found, spent, waited, load, finished, now):
        if not 0 <= number < len(self.forwards) or not self.forwards[number][3]:
            return []
        forward = self.forwards[number]
        forward[3] = False
        self.open -= 1
        self.router.learn(self, forward, outcome, found, spent, waited, load, now)
        if finished or outcome is Outcome.RETURNED:
            if self.done:
                return []
            self.done = True
            return self.cancel_open()
        if not outcome.never_ran and self.risky is None:
            self.risky = (forward[1], forward[4])
        if self.done or self.open:
            return []
        return self.route(now)

    def answering(self, number, now):
        self.streaming = True
        return []

    def left(self, now):
        if self.done:
            return []
        self.done = True
        return self.cancel_open()


class Router:
    """One front."""

    def __init__(self, settings, seed, now):
        self.settings, self.seed, self.draws, self.now = settings, seed, 0, now
        self.nodes, self.index_of = [], {}
        self.table, self.slot_of = [], OrderedDict()
        self.purges = {}                     # ("object", id) or ("group", number) -> time of the purge
        self.waits = []                      # (due, order, Get)
        self.order = 0
        self.demand = deque(maxlen=256)      # (time, work) of the last GETs
        self.carried = deque(maxlen=256)     # (time, work) of the last that caches returned
        self.spents = {}                     # by ds, the last few sending times
        self.waits_seen = deque(maxlen=12)   # (time, wait) of the last fills
        self.link = Standing()               # the location's link in, as a place of its own
        self.filling = 0
        self.fills = deque(maxlen=256)       # (time, in time) of fills tried, or shed unsent
        self.found = deque([Found.FILLED] * 8, maxlen=64)
        self.further = deque(maxlen=100)     # of the last forwards, which were further ones
        self.asks = [Subscribe()] if settings.get("discovery") == "ask" else []

    # --- settings and small figures

    def of_ds(self, name, ds, default):
        values = self.settings.get(name) or ()
        return values[ds] if 0 <= ds < len(values) and values[ds] is not None else default

    def chance(self, text):
        self.draws += 1
        word = f"{self.settings.get('my_number', 0)}/{text}/{self.draws}".encode()
        return mixed(word, self.seed & 0xFFFFFFFF) / 2**32

    def advice(self):
        return self.settings.get("max_retry_after", 0) if self.settings.get("retry_after") else 0

    def work(self, asked):
        """Sending time: told by the size, else the delivery service's mean so far, else its objective."""
        rate = self.settings.get("client_kb_per_s", 0)
        if asked.size and rate:
            return int(asked.size / rate * S)
        own = self.memory(asked, self.now).spents
        if own:
            return min(own)
        seen = self.spents.get(asked.ds)
        return int(median(seen)) if seen else self.mean_work(asked.ds)

    def mean_work(self, ds):
        seen = self.spents.get(ds)
        return sum(seen) // len(seen) if seen else self.of_ds("latency_objective", ds, 400 * MS)

    def objective(self, asked):
        stretch = self.of_ds("objective_stretch", asked.ds, 0)
        return self.of_ds("latency_objective", asked.ds, NEVER) + int(stretch * self.work(asked))

    def expected(self, asked, node, holds, now):
        """Time to the answer if sent there now: the link is shared by all it holds, a miss waits first."""
        slow = node.as_cache.crowding(node.busy(now) + 1, now)
        wait = 0
        if not holds:
            slow = max(slow, self.link.crowding(self.filling + 1, now))
            waits = [w for t, w in self.waits_seen if now - t < 3 * S]
            wait = median(waits) if len(waits) >= 4 else 0
        return slow * self.work(asked) + wait

    def throttled(self, asked, now):
        """Adaptive throttling: fills are shed unsent once far more are tried than come in time.

        Guards parents and origin against a storm, and cache places against waiting on a stalled source,
        whatever slowed it. A share goes on, so that the end of the trouble is seen.
        """
        recent = [good for t, good in self.fills if now - t < THROTTLE_SPAN]
        excess = 1 - THROTTLE * (sum(recent) + 2) / (len(recent) + 1)
        if self.chance(asked.id) >= min(excess, 1 - PROBING):
            return False
        self.fills.append((now, False))
        return True

    # --- the list

    def listed(self, entries, whole, now):
        seen = set()
        for entry in entries:
            seen.add(entry.id)
            at = self.index_of.get(entry.id)
            if at is None:
                self.index_of[entry.id] = len(self.nodes)
                self.nodes.append(Node(len(self.nodes), entry))
            else:
                self.nodes[at].place_in(entry, now)
        if whole:
            for node in self.nodes:
                if node.id not in seen:
                    node.entry = node.entry._replace(state=State.GONE)

    def list_failed(self, now):
        """A lost subscription is asked for anew, a little later so that a busy discovery can recover."""
        if self.settings.get("discovery") == "ask":
            self.order += 1
            heapq.heappush(self.waits, (now + S, self.order, None))

    def role(self, node):
        kind = node.entry.kind
        if kind == self.settings.get("origin_kind", -1):
            return "origin"
        return "parent" if kind == self.settings.get("parent_kind", -1) else "cache"

    def serving(self, role, here=True):
        mine = self.settings.get("my_location", 0)
        return [n for n in self.nodes if n.entry.state is State.SERVING and self.role(n) == role
                and (not here or n.entry.location == mine)]

    # --- purges and beliefs

    def purged(self, obj, group, age, now):
        for key in [k for k, t in self.purges.items() if now - t > self.purge_life()]:
            del self.purges[key]
        key = ("object", obj) if obj >= 0 else ("group", group)
        self.purges[key] = max(now - age, self.purges.get(key, -NEVER))

    def purge_life(self):
        # Beliefs from before a purge are void too, and may outlive the copies by the cap.
        return self.settings.get("purge_done", 0) + CAP

    def purge_time(self, asked):
        return max(self.purges.get(("object", asked.object), -NEVER),
                   self.purges.get(("group", asked.group), -NEVER))

    def oldest(self, asked, stale, now):
        """Oldest copy that will do. 0 is the fresh time; a tick is given away against rounding."""
        fresh = self.of_ds("fresh_time", asked.ds, 0)
        limit = fresh + self.of_ds("grace_time", asked.ds, 0) if stale and fresh else 0
        purge = self.purge_time(asked)
        if purge > -NEVER:
            young = max(1000, now - purge - self.settings.get("tick", MS))
            limit = min(young, limit or fresh or young)
        return limit

    def memory(self, asked, now):
        key = (asked.object, asked.part)
        slot = self.slot_of.get(key)
        if slot is None:
            if len(self.table) < TABLE:
                slot = len(self.table)
                self.table.append(None)
            else:
                slot = self.slot_of.popitem(last=False)[1]
            self.slot_of[key] = slot
            self.table[slot] = Memory(now // SPAN)
        else:
            self.slot_of.move_to_end(key)
        memory = self.table[slot]
        memory.roll(now // SPAN)
        return memory

    def believe(self, memory, node, now):
        life = memory.life(now, 2 * MS)
        memory.holders[node.index] = (now + life, now, node.entry.started)

    def holders(self, asked, memory, now):
        """Beliefs in force: (expiry, node), the longest first. A restart or a purge voids what was before."""
        purge, kept = self.purge_time(asked), []
        for at in list(memory.holders):
            expiry, since, started = memory.holders[at]
            node = self.nodes[at]
            if (expiry <= now or since <= purge or started != node.entry.started
                    or node.entry.state is not State.SERVING):
                del memory.holders[at]
            else:
                kept.append((expiry, node))
        kept.sort(key=lambda pair: (-pair[0], pair[1].index))
        return kept

    def failed(self, asked, now):
        """The client is likely to ask again: that repeat is no new demand (see take)."""
        self.memory(asked, now).failed_at = now

    # --- taking

    def take(self, asked, now):
        self.now = now
        memory = self.memory(asked, now)
        # Repeats swell counts and stretch beliefs. Where clients don't mark them, a GET soon after this
        # front gave the same object up is taken for one.
        if not asked.repeat and now - memory.failed_at > 2 * S:
            memory.counts[0] += 1
        memory.failed_at = -NEVER
        work = self.work(asked)
        self.demand.append((now, work))
        if asked.size:
            self.spents.setdefault(asked.ds, deque(maxlen=64)).append(work)
        get = Get(self, asked, now)
        self.order += 1
        heapq.heappush(self.waits, (get.due, self.order, get))
        return get

    def next_due(self):
        while self.waits and self.waits[0][2] is not None and self.waits[0][2].done:
            heapq.heappop(self.waits)
        if self.asks:
            return 0
        return self.waits[0][0] if self.waits else None

    def due(self, now):
        """What time alone decides: GETs whose answer is owed now, and what is asked of the host."""
        said = [(None, self.asks)] if self.asks else []
        self.asks = []
        while self.waits and self.waits[0][0] <= now:
            get = heapq.heappop(self.waits)[2]
            if get is None:
                said.append((None, [Subscribe()]))
            elif not get.done and not get.streaming:
                said.append((get, get.give_up(now)))
        return said

    def told(self, peer, payload, now):
        pass

    def probed(self, cache, outcome, spent, load, now):
        at = self.index_of.get(cache)
        if at is not None and load:
            self.nodes[at].load, self.nodes[at].load_at = load, now

    # --- cold starts

    def cold_room(self, node, ds, now):
        """May one more forward or fill go there? Budget of a cold node, of which this front takes its part.

        Its capacity is never told: what a node of its role carries for this front is the guide, and the
        floor with the slowest rise is assumed. One forward a window is always let through as a start.
        """
        parent = self.role(node) == "parent"
        if self.role(node) == "origin" or not node.entry.started:
            return True
        get = self.settings.get
        warm = get("parent_warm_time" if parent else "warm_time", 0)
        age = now - node.entry.started
        if age >= warm:
            return True
        floor = get("parent_cold_share" if parent else "cold_share", 0.1)
        share = floor + (1 - floor) * max(0, age) / warm
        window = get("fall_time", S)
        spent = sum(w for t, w in node.sent if t > now - window)
        if not spent:
            return True
        multiple = get("parent_fall_multiple" if parent else "fall_multiple", 2)
        if len(self.carried) < 2:
            return False
        # What was asked for is no guide: under overload repeats swell it past any capacity.
        rate = sum(w for _, w in self.carried) / max(S, now - self.carried[0][0])
        if parent:
            rate *= sum(f is not Found.HIT for f in self.found) / len(self.found)
        peers = self.serving("parent", here=False) if parent else self.serving("cache")
        rate *= node.entry.weight / sum(n.entry.weight for n in peers)
        return spent + self.mean_work(ds) <= COLD_SAFETY * multiple * share * rate * window

    # --- the pick

    def ranked(self, nodes, key, weight=lambda n: n.entry.weight):
        """Weighted rendezvous hashing over real ids."""
        def score(node):
            return -weight(node) / log((mixed(node.label, key) + 0.5) / 2**32)
        return sorted(nodes, key=lambda n: (-score(n), n.id))

    def usable(self, nodes, standing, now):
        """Outlier ejection with a limit: never more than half aside, whatever the samples say."""
        aside = [n for n in nodes if standing(n).resting(now)
                 or standing(n).trial and n.out]
        aside.sort(key=lambda n: -standing(n).until)
        most = len(nodes) // 2
        barred = {n.index for n in aside[:most]}
        return [n for n in nodes if n.index not in barred]

    def judge(self, node, standing, peers, now):
        mine = standing(node)
        if mine.resting(now):
            return
        slow = mine.slowness(now)
        others = [s for s in (standing(p).slowness(now) for p in peers if p is not node) if s is not None]
        outlier = slow is not None and len(others) >= 2 and slow > SLOW * max(1.0, median(others))
        if outlier or mine.failing(now):
            mine.set_aside(now)

    def width(self, asked, memory, caches):
        """Two or three caches for an object that alone asks for much of what one cache does."""
        span = self.demand[-1][0] - self.demand[0][0]
        if span <= 0 or len(caches) < 2:
            return 1
        rate = sum(w for _, w in self.demand) / span / len(caches)
        mine = sum(memory.counts[:2]) * self.work(asked) / (2 * SPAN)
        return 1 if mine < HOT_SHARE * rate else 2 if mine < 2 * HOT_SHARE * rate else 3

    def pick(self, get, memory, now):
        asked = get.asked
        caches = self.usable(self.serving("cache"), lambda n: n.as_cache, now)
        left = [n for n in caches if n.index not in get.lost_caches] or caches
        left = [n for n in left if self.cold_room(n, asked.ds, now)]
        if not left:
            return None, False
        order = self.ranked(left, mixed(asked.object.to_bytes(8, "big") + asked.part.to_bytes(4, "big")))
        held = {node.index for _, node in self.holders(asked, memory, now)}
        times = {n: self.expected(asked, n, n.index in held, now) for n in order}
        wide = order[:self.width(asked, memory, order)]
        best = min(wide, key=lambda n: (times[n], n.busy(now) / n.entry.weight))
        limit = self.objective(asked) - (now - get.at)
        chosen = next((n for n in [best, *order] if times[n] <= limit), None)
        if chosen is None:
            # Late everywhere: it would only crowd out what can still be in time.
            return best, self.chance(asked.id) >= PROBING
        return chosen, not held and self.throttled(asked, now)

    def source(self, get, memory, cache, now):
        """Where a miss is filled: a believed sibling, else a parent by hash, the origin with none up."""
        asked = get.asked
        siblings = self.settings.get("siblings", "none")
        if siblings != "none":
            for expiry, node in self.holders(asked, memory, now):
                if (node is not cache and node.index not in get.lost_sources
                        and (siblings == "any" or node.entry.location == cache.entry.location)
                        and not node.as_source.resting(now) and not node.as_cache.resting(now)
                        and self.cold_room(node, asked.ds, now)):
                    return node, expiry - now <= MARGIN
        return self.upper(get, now), False

    def upper(self, get, now):
        asked = get.asked
        hubs = self.settings.get("hub_of_location") or ()
        mine = self.settings.get("my_location", 0)
        hub = hubs[mine] if mine < len(hubs) else -1
        parents = self.usable(self.serving("parent", here=False), lambda n: n.as_source, now)
        parents = [n for n in parents if n.index not in get.lost_sources
                   and self.cold_room(n, asked.ds, now)]
        near = [n for n in parents if n.entry.location == hub] or parents
        if near:
            return self.ranked(near, mixed(asked.object.to_bytes(8, "big")))[0]
        origins = self.serving("origin", here=False)
        return origins[0] if origins else None

    def may_forward(self, get, now):
        """Effects, the stated most and the retry budget. Further forwards go by revenue."""
        asked, sent = get.asked, len(get.forwards)
        if get.open or now >= get.due or sent >= self.settings.get("max_forwards", 1 << 30):
            return False
        if not sent:
            return True
        effect = self.of_ds("effect", asked.ds, "idempotent")
        if get.risky is not None and effect != "idempotent":
            if effect != "tokened":
                return False
            if now - get.risky[1] >= self.of_ds("token_window", asked.ds, 0) - 50 * MS:
                return False
        revenues = [r for r in self.settings.get("revenue", ()) if r] or [1]
        most = 1 + int(2 * (self.of_ds("revenue", asked.ds, 0) or 0) / max(revenues))
        if sent > most:
            return False
        # A plain miss asks nothing of anybody; all else that is sent again may feed a jam.
        return get.missed or sum(self.further) <= RETRY_SHARE * max(10, len(self.further))

    def plan(self, get, now):
        if not self.may_forward(get, now):
            return None
        asked = get.asked
        memory = self.memory(asked, now)
        write = self.of_ds("runs_at_origin", asked.ds, False)
        held_only = False
        if write:
            source = next(iter(self.serving("origin", here=False)), None) or self.upper(get, now)
            cache = source if self.settings.get("direct") else self.pick(get, memory, now)[0]
        else:
            cache, hopeless = self.pick(get, memory, now)
            if hopeless:
                return None
            if cache is not None:
                source, held_only = self.source(get, memory, cache, now)
            elif self.settings.get("direct"):
                source = next(iter(self.serving("origin", here=False)), None)
                cache = self.upper(get, now)
        if cache is None:
            return None
        if get.risky is not None and not self.in_group(asked.ds, get.risky[0], cache):
            return None
        return self.send(get, memory, cache, source or cache, held_only, now)

    def in_group(self, ds, first, node):
        if self.of_ds("effect", ds, "idempotent") != "tokened":
            return True
        group = self.of_ds("token_group", ds, "all")
        same = first.entry.location == node.entry.location
        return group == "all" or same and (group == "location" or first.entry.cell == node.entry.cell)

    def send(self, get, memory, cache, source, held_only, now):
        asked = get.asked
        work = self.mean_work(asked.ds)
        cache.sent.append((now, work))
        if source is not cache:
            source.sent.append((now, work))
        number = len(get.forwards)
        fills = all(node is not cache for _, node in self.holders(asked, memory, now))
        self.filling += fills
        get.forwards.append([number, cache, source, True, now, cache.busy(now) + 1, self.filling * fills])
        get.open += 1
        get.missed = False
        cache.out[(asked.id, number)] = now
        self.further.append(number > 0)
        seen = sum(memory.counts)
        return Forward(
            number=number, cache=cache.id, source=source.id,
            rank=0 if self.of_ds("runs_at_origin", asked.ds, False) else 1 if seen <= 1 else 2,
            oldest=self.oldest(asked, number > 0, now),
            timeout=max(MS, get.due - now),
            join=bool(self.settings.get("joins", False)), held_only=held_only, pass_parent=False,
            renew=bool(self.of_ds("fresh_time", asked.ds, 0)))

    # --- what outcomes teach

    def learn(self, get, forward, outcome, found, spent, waited, load, now):
        number, cache, source, _, _, crowd, filling = forward
        self.filling -= filling > 0
        asked = get.asked
        cache.out.pop((asked.id, number), None)
        if load:
            cache.load, cache.load_at = load, now
        get.missed = outcome is Outcome.MISS
        memory = self.memory(asked, now)
        good = outcome is Outcome.RETURNED
        peers = self.serving("cache")
        known = asked.size or memory.spents
        write = self.of_ds("runs_at_origin", asked.ds, False)
        if known and not write and (good or outcome is Outcome.TIMED_OUT):
            slow = (spent - waited) / max(20 * MS, self.work(asked))
            if not filling or found in (Found.HIT, Found.STALE_HIT):
                cache.as_cache.note(now, good, slow, crowd)
            else:
                self.link.note(now, good, slow, filling)
        if filling and found not in (Found.HIT, Found.STALE_HIT, Found.SOURCE_LACKS):
            self.fills.append((now, good and spent <= self.objective(asked)))
        if good and not asked.size:
            memory.spents.append(spent - waited)
            self.spents.setdefault(asked.ds, deque(maxlen=64)).append(spent - waited)
        if good:
            self.found.append(found)
            self.carried.append((now, self.work(asked)))
            if not write and self.role(cache) == "cache":
                self.believe(memory, cache, now)
            if found in (Found.FILLED, Found.FILLED_BY_ORIGIN) and source is not cache:
                self.waits_seen.append((now, waited))
                source.as_source.note(now, True, waited / (50 * MS))
                if self.role(source) == "cache":
                    self.believe(memory, source, now)
        elif outcome is Outcome.MISS or found is Found.SOURCE_LACKS:
            memory.holders.pop(source.index, None)
            memory.holders.pop(cache.index, None)
            get.lost_sources.add(source.index)
        elif found in SOURCE_FAULTS:
            memory.holders.pop(cache.index, None)
            get.lost_sources.add(source.index)
            if found is not Found.ORIGIN_FAILED:
                source.as_source.note(now, False, 0)
        elif outcome is not Outcome.CANCELLED and outcome is not Outcome.NOT_SENT:
            get.lost_caches.add(cache.index)
            if outcome in (Outcome.ERROR, Outcome.RESET, Outcome.UNREACHABLE):
                cache.as_cache.note(now, False, 0)
        if outcome is not Outcome.TIMED_OUT:
            cache.heard = now
        self.judge(cache, lambda n: n.as_cache, peers, now)
        if source is not cache and self.role(source) != "origin":
            group = self.serving("parent", False) if self.role(source) == "parent" else peers
            self.judge(source, lambda n: n.as_source, group, now)
