"""What fronts gain by telling each other: the real rules round a small model of caches, in virtual time by a seed.

A cache drains, its objects go to others, it comes back empty, and a front is started anew. With the exchange on beliefs
go to four neighbours a second; with guard facts alone news of the list reach all when the first front hears them; off,
each front hears by itself, up to 4 s late. It is a model: its times are set, not measured.
"""

import heapq
import random
from collections import Counter
from itertools import count

from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState, Request
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MILLISECOND as MS
from sprucegate.units import SECOND as S

CACHES, PARENTS, ORIGIN = tuple(range(11, 19)), (21, 22), 31
SETTINGS = {
    "my_location": 0,
    "parent_kind": 2,
    "origin_kind": 3,
    "siblings": "any",
    "latency_objective": [150 * MS],
    "revenue": [1.0],
    "effect": ["idempotent"],
    "runs_at_origin": [False],
    "fresh_time": [0],
    "max_forwards": 3,
    "tells": "all",
    "cold_share": 0.2,
    "warm_time": 5 * S,
    "fall_time": S,
    "fall_multiple": 4.0,
    "parent_warm_time": 0,
}
TIMES = {"hit": 15 * MS, "sibling": 25 * MS, "parent": 60 * MS, "origin": 300 * MS}
OBJECTS, RATE = 2000, 600  # and GETs a second over all fronts, unless told otherwise


class World:
    def __init__(self, mode, seed, fronts, share, rate=RATE):
        self.mode, self.chance, self.fronts, self.share = mode, random.Random(seed), fronts, share
        self.rate = rate
        self.now, self.events, self.order, self.ids = 0, [], count(), count()
        self.holds = {at: set() for at in (*CACHES, *PARENTS)}
        self.started, self.drained = dict.fromkeys(CACHES, 0), set()
        self.routers = [self.fresh(at) for at in range(fronts)]
        self.counts, self.counting = Counter(), False

    def fresh(self, at):
        made = Router(RoutingSettings.from_mapping({**SETTINGS, "my_number": at}), 7, self.now)
        made.update_endpoints([self.entry(c) for c in (*CACHES, *PARENTS, ORIGIN)], True, self.now)
        return made

    def entry(self, at):
        kind = 3 if at == ORIGIN else 2 if at in PARENTS else 0
        state = EndpointState.DRAINING if at in self.drained else EndpointState.SERVING
        return Endpoint(at, 0, kind, 0, state, 1.0, self.started.get(at, 0))

    def at(self, when, action, *given):
        heapq.heappush(self.events, (when, next(self.order), action, given))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, given = heapq.heappop(self.events)
            action(*given)

    def news(self, cache):
        """The list changes: each front hears late by itself, or all by the first that hears."""
        late = [int(self.chance.random() * 4 * S) for _ in self.routers]
        for at, wait in enumerate(late):
            self.at(
                self.now + (wait if self.mode == "off" else min(late) + 20 * MS),
                self.hears,
                at,
                self.entry(cache),
            )

    def hears(self, at, entry):
        self.routers[at].update_endpoints([entry], False, self.now)

    def ask(self):
        self.at(self.now + int(self.chance.expovariate(self.rate) * S), self.ask)
        front = 0 if self.chance.random() < self.share else 1 + self.chance.randrange(self.fronts - 1)
        obj = int(OBJECTS * self.chance.random() ** 3)
        asked = Request(f"g{next(self.ids)}", obj, 0, 0, 0, 20, False, False, S)
        router = self.routers[front]
        get = router.start_request(asked, self.now)
        self.counts["gets"] += self.counting
        self.done(router, get, get.route(self.now), self.now)

    def done(self, router, get, actions, begun):
        for one in actions:
            if isinstance(one, SendAttempt):
                what, spent = self.serve(one, get.request.object)
                self.at(self.now + spent, self.ends, router, get, one, what, spent, begun)

    def serve(self, sent, obj):
        self.counts["to_drained"] += self.counting and sent.cache in self.drained
        held = self.holds.get(sent.cache, ())
        if obj in held:
            return "hit", TIMES["hit"]
        if sent.fill_source != sent.cache and obj in self.holds.get(sent.fill_source, ()):
            what = "parent" if sent.fill_source in PARENTS else "sibling"
            return what, TIMES[what]
        if sent.only_if_cached or sent.fill_source == sent.cache:
            return "lacking", 5 * MS
        return "origin", TIMES["origin"]

    def ends(self, router, get, sent, what, spent, begun):
        found = {
            "hit": CacheStatus.HIT,
            "sibling": CacheStatus.FILLED,
            "parent": CacheStatus.FILLED,
            "origin": CacheStatus.FILLED_BY_ORIGIN,
            "lacking": CacheStatus.FILL_SOURCE_MISS,
        }[what]
        outcome = AttemptOutcome.MISS if what == "lacking" else AttemptOutcome.RETURNED
        self.counts[what] += self.counting
        if outcome is AttemptOutcome.RETURNED:
            for at in (sent.cache, sent.fill_source):
                if at in CACHES or at in PARENTS:
                    self.holds[at].add(get.request.object)
            self.counts["in_time"] += self.counting and self.now - begun <= SETTINGS["latency_objective"][0]
        waited = spent - TIMES["hit"] if what not in ("hit", "lacking") else 0
        self.done(
            router,
            get,
            get.attempt_ended(sent.number, outcome, found, spent, waited, {}, False, self.now),
            begun,
        )

    def exchange(self):
        self.at(self.now + S, self.exchange)
        for at, router in enumerate(self.routers):
            said = router.gossip_to_send(728, self.now)
            for other in range(1, 5):
                self.routers[(at + other) % self.fronts].receive_gossip(said, 5 * MS, self.now)


def played(mode, seed, fronts=10, share=0.1, rate=RATE):
    """Counts of the 20 s after a cache has come back empty and front 0, which sees `share` of the GETs, is new."""
    world = World(mode, seed, fronts, share, rate)
    world.at(0, world.ask)
    if mode == "on":
        world.at(S, world.exchange)
    world.run(10 * S)
    world.drained.add(11)
    world.news(11)
    world.counting = True
    world.run(20 * S)
    drained = world.counts["to_drained"]
    world.counts.clear()
    world.drained.discard(11)
    world.holds[11], world.started[11] = set(), world.now
    world.news(11)
    world.routers[0] = world.fresh(0)
    world.run(40 * S)
    return {
        **{what: world.counts[what] for what in ("gets", "hit", "sibling", "parent", "origin", "in_time")},
        "to_drained": drained,
    }
