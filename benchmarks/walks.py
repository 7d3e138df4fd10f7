"""Walks: two routers in a generated world, every decision of which goes into one digest.

This module alone calls the rules for `python -m benchmarks same`, so only it follows their names. All that happens is
drawn from one seed: GETs, ends of attempts, lists, purges, restarts, and what the two routers tell each other.
"""

import heapq
import random
from itertools import count
from typing import NamedTuple

from benchmarks.canonical import Digest
from benchmarks.vocabulary import VOCABULARY
from sprucegate.routing.actions import AwaitSlot, CancelAttempt, SendAttempt, SubscribeToEndpoints
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState, Request
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings

MS, S = 1_000_000, 1_000_000_000
BEGIN = 1000 * S
SETTINGS = {
    "my_location": 1,
    "parent_kind": 2,
    "origin_kind": 3,
    "siblings": "location",
    "latency_objective": [400 * MS] * 3,
    "objective_stretch": [2.0] * 3,
    "revenue": [2.0, 1.0, 3.0],
    "runs_at_origin": [False, False, True],
    "effect": ["idempotent", "idempotent", "non-idempotent"],
    "fresh_time": [0, 8 * S, 0],
    "max_forwards": 6,
    "purge_done": 6 * S,
    "tick": 2 * MS,
    "tells": "all",
    "cold_share": 0.2,
    "warm_time": 15 * S,
    "fall_time": S,
    "fall_multiple": 4.0,
    "cancel": True,
    "parent_cold_share": 0.06,
    "parent_warm_time": 19 * S,
    "parent_fall_multiple": 2.0,
    "retry_after": True,
    "max_retry_after": S,
    "client_kb_per_s": 1000.0,
}
FIRST_CACHE, PARENTS, ORIGIN = 100, range(200, 204), 300
HERE, ELSEWHERE = 1, 2  # locations

# What a node does for a while.
WELL, SLOW, FAILING, AWAY = range(4)

FATES_WELL = {
    AttemptOutcome.RETURNED: 80,
    AttemptOutcome.ERROR: 6,
    AttemptOutcome.TIMED_OUT: 1,
    AttemptOutcome.RESET: 4,
    AttemptOutcome.FULL: 2,
    AttemptOutcome.UNREACHABLE: 1,
    AttemptOutcome.NOT_SENT: 2,
    AttemptOutcome.MISS: 6,
}
FATES_FAILING = {AttemptOutcome.RETURNED: 1, AttemptOutcome.ERROR: 6, AttemptOutcome.RESET: 3}
FOUND_RETURNED = {
    CacheStatus.UNKNOWN: 1,
    CacheStatus.HIT: 8,
    CacheStatus.FILLED: 4,
    CacheStatus.FILLED_BY_ORIGIN: 1,
    CacheStatus.COLLAPSED: 1,
    CacheStatus.STALE_HIT: 1,
}
FOUND_FAILED = {
    CacheStatus.UNKNOWN: 4,
    CacheStatus.FILL_SOURCE_REFUSED: 2,
    CacheStatus.FILL_SOURCE_BROKEN: 2,
    CacheStatus.FILL_SOURCE_MISS: 1,
    CacheStatus.FILL_SLOTS_EXHAUSTED: 1,
    CacheStatus.ORIGIN_FAILED: 1,
}


class Variant(NamedTuple):
    """One form of the world. `settings` go over the usual ones, `shared` are sources whose slots are shared out."""

    settings: dict = {}
    caches: int = 40
    weights: tuple = (1.0,)
    shared: tuple = ()
    parents_away: int = 0
    parent_restarts: float = 0.1
    group_purges: float = 0.1
    sizes: tuple = (0, 50, 400)
    patience: tuple = (100 * MS, 300 * MS, 3 * S)
    cold_start: bool = False  # all caches and parents have just started
    gap: int = 10 * MS  # between two GETs, on average
    far_every: int = 10  # one cache of so many stands in another location


VARIANTS = {
    "usual": Variant(),
    "tells nothing": Variant(
        {"tells": "none", "link_in_kb_per_s": [0.0, 8_000.0], "fronts_by_location": [0, 4]}
    ),
    "direct": Variant({"direct": True, "siblings": "any"}, caches=2),
    "weights": Variant(weights=(0.25, 1.0, 3.0)),
    "no sizes": Variant({"client_kb_per_s": 0, "my_number": 7}, weights=(1.0, 2.0), sizes=(0,)),
    "few caches": Variant({"siblings": "any", "joins": True}, caches=6),
    "asks discovery": Variant({"discovery": "ask", "siblings": "none", "cancel": False}),
    "no promises": Variant({"effect": ["tokened", "idempotent", "unheard-of"], "retry_after": False}),
    "grace": Variant({"grace_time": [0, 20 * S, 0], "fresh_time": [5 * S, 8 * S, 0]}),
    "cold parents": Variant(parent_restarts=0.5),
    "parents away": Variant(parents_away=2),
    "shared sources": Variant(shared=(200, 201, ORIGIN)),
    "group purges": Variant(group_purges=0.5),
    "patient clients": Variant(patience=(30 * S,)),
    "few GETs": Variant({"purge_done": S}, gap=80 * MS),
    "two locations": Variant(far_every=2),
    "cold start": Variant(cold_start=True),
}


class Walk:
    """Two routers in one world, fed by a seed."""

    def __init__(self, variant, seed):
        self.variant = VARIANTS[variant]
        self.chance = random.Random(f"{variant}/{seed}")
        self.digest = Digest(VOCABULARY)
        self.now = BEGIN
        self.events, self.order = [], count()
        self.caches = range(FIRST_CACHE, FIRST_CACHE + self.variant.caches)
        self.manners = dict.fromkeys(PARENTS[: self.variant.parents_away], AWAY)
        self.copies = {}  # (router, object, part) -> (made, since)
        started = BEGIN - S if self.variant.cold_start else 0
        self.entries = {node: self._entry(node, started=started) for node in (*self.caches, *PARENTS)}
        self.entries[ORIGIN] = self._entry(ORIGIN)
        settings = {**SETTINGS, **self.variant.settings}
        self.routers = [self._router(settings, seed, at) for at in range(2)]

    def _router(self, settings, seed, number):
        router = Router(
            RoutingSettings.from_mapping({"my_number": number, **settings}), seed + 1000 * number, self.now
        )
        router.slot_limited_sources = self.variant.shared
        router.update_endpoints(list(self.entries.values()), True, self.now)
        return router

    def _entry(self, node, state=EndpointState.SERVING, started=0):
        kind = 3 if node == ORIGIN else 2 if node in PARENTS else 0
        location = 0 if kind else ELSEWHERE if node % self.variant.far_every == 0 else HERE
        weight = self.variant.weights[node % len(self.variant.weights)]
        return Endpoint(node, location, kind, node % 3, state, weight, started)

    def run(self, steps):
        """The digest of all decisions over so many GETs."""
        for number in range(steps):
            until = self.now + int(self.chance.expovariate(1 / self.variant.gap))
            self._play(until)
            for router in self.routers:
                self._router_due(router)
            self._get_arrives(self.routers[number % 2], number)
            if self.chance.random() < 0.03:
                self._news()
            if number % 100 == 50:
                self._gossip()
            if number % 500 == 250:
                self._warm_first()
        return self.digest.text()

    # Time.

    def _later(self, wait, action, *given):
        heapq.heappush(self.events, (self.now + wait, next(self.order), action, given))

    def _play(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, action, given = heapq.heappop(self.events)
            self.now = max(self.now, at)
            action(*given)
        self.now = max(self.now, until)

    def _router_due(self, router):
        self.digest.add(router.next_deadline())
        for get, actions in router.on_timer(self.now):
            self._decided(router, get, actions)

    # GETs.

    def _get_arrives(self, router, number):
        asked = self._asked(number)
        if self._own_copy(router, asked):
            return
        get = router.start_request(asked, self.now)
        if self.chance.random() < 0.01:  # more are open than the front may have
            return self._decided(router, get, get.give_up(self.now))
        self._decided(router, get, get.route(self.now))
        if self.chance.random() < 0.04:
            self._later(int(self.chance.expovariate(1 / (100 * MS))), self._client_leaves, router, get)

    def _asked(self, number):
        ds = self.chance.choices((0, 1, 2), (6, 3, 1))[0]
        return Request(
            f"{number:x}",
            int(self.chance.paretovariate(0.5)) % 5000,
            self.chance.choice((0, 0, 0, 1, 2)),
            number % 32,
            ds,
            self.chance.choice(self.variant.sizes),
            ds == 2,
            self.chance.random() < 0.05,
            self.chance.choice(self.variant.patience),
        )

    def _own_copy(self, router, asked):
        """Whether a copy of the front's own answers."""
        copy = self.copies.get((self.routers.index(router), asked.object, asked.part))
        if copy is None or asked.write:
            return False
        made, since = copy
        owns = router.may_serve_stored_response(asked, made, since, self.chance.randrange(20 * MS), self.now)
        self.digest.add(owns)
        return owns

    def _client_leaves(self, router, get):
        if not get.is_settled():
            self._decided(router, get, get.client_disconnected(self.now))

    # Decisions and what comes of them.

    def _decided(self, router, get, actions):
        self.digest.add(self.routers.index(router), self.now - BEGIN, list(actions))
        for action in actions:
            match action:
                case SendAttempt():
                    self._attempt(router, get, action)
                case AwaitSlot():
                    wait = int(self.chance.expovariate(1 / (40 * MS)))
                    self._later(wait, self._slot, router, get, action.fill_source)
                case CancelAttempt():
                    end = (AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN, 0, 0)
                    self._later(0, self._attempt_ends, router, get, action.number, self.now, end)
                case SubscribeToEndpoints():
                    self._later(50 * MS, self._discovery_answers, router)
        if get is not None:
            self.digest.add(get.is_settled(), get.deadline - BEGIN)

    def _slot(self, router, get, source):
        if get.finished:
            return
        if self.chance.random() < 0.1:  # there is none in time
            return self._decided(router, get, get.give_up(self.now))
        get.slot_source = source
        actions = get.route(self.now)
        get.slot_source = None
        self._decided(router, get, actions)

    def _attempt(self, router, get, forward):
        outcome, found = self._fate(forward)
        if self.variant.settings.get("tells") == "none":
            found = CacheStatus.UNKNOWN
        slow = SLOW in (self.manners.get(forward.cache), self.manners.get(forward.fill_source))
        took = int(self.chance.expovariate(1 / (80 * MS)) * (6 if slow else 1))
        if took > forward.timeout or outcome is AttemptOutcome.TIMED_OUT:
            outcome, found, took = AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, forward.timeout
        waited = self.chance.randrange(took // 4 + 1) if self.chance.random() < 0.2 else 0
        end = (outcome, found, took, waited)
        if outcome in (AttemptOutcome.RETURNED, AttemptOutcome.RESET) and self.chance.random() < 0.3:
            self._later(took * 3 // 4, self._answer_begins, get, forward.number)
        self._later(took, self._attempt_ends, router, get, forward.number, self.now, end)

    def _fate(self, forward):
        manner, source = self.manners.get(forward.cache), self.manners.get(forward.fill_source)
        if manner == AWAY:
            return AttemptOutcome.UNREACHABLE, CacheStatus.UNKNOWN
        if source == AWAY and self.chance.random() < 0.8:
            return AttemptOutcome.MISS, CacheStatus.FILL_SOURCE_BROKEN
        if source == FAILING and forward.fill_source != forward.cache and self.chance.random() < 0.8:
            return AttemptOutcome.ERROR, CacheStatus.FILL_SOURCE_REFUSED
        if forward.only_if_cached and self.chance.random() < 0.4:
            return AttemptOutcome.MISS, CacheStatus.UNKNOWN
        outcome = self._drawn(FATES_FAILING if manner == FAILING else FATES_WELL)
        if outcome is AttemptOutcome.RETURNED:
            return outcome, self._drawn(FOUND_RETURNED)
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.FULL, AttemptOutcome.MISS):
            return outcome, self._drawn(FOUND_FAILED)
        return outcome, CacheStatus.UNKNOWN

    def _drawn(self, weights):
        return self.chance.choices(list(weights), list(weights.values()))[0]

    def _answer_begins(self, get, number):
        if get.attempts[number].is_open and not get.finished:
            self.digest.add(get.response_started(number, self.now))

    def _attempt_ends(self, router, get, number, sent_at, end):
        if not get.attempts[number].is_open:
            return
        outcome, found, spent, waited = end
        load = self._load() if self.chance.random() < 0.3 else {}
        spent = self.now - sent_at if outcome is AttemptOutcome.CANCELLED else spent
        actions = get.attempt_ended(number, outcome, found, spent, waited, load, get.finished, self.now)
        self._decided(router, get, actions)
        if outcome is AttemptOutcome.RETURNED:
            self._keep_copy(router, get.request)

    def _load(self):
        load = {"inflight": self.chance.randrange(9)}
        if self.chance.random() < 0.5:
            load["link_use"] = self.chance.uniform(0.5, 4.0)
        return load

    def _keep_copy(self, router, asked):
        made = self.now - self.chance.randrange(4 * S)
        keeps = router.should_store_response(asked, made, self.now, self.now)
        self.digest.add(keeps)
        if keeps:
            self.copies[self.routers.index(router), asked.object, asked.part] = made, self.now

    # News.

    def _news(self):
        actions = (
            self._drains,
            self._restarts,
            self._lists_all,
            self._purges,
            self._manner_changes,
            self._clock_moves,
            self._reminder,
        )
        self.chance.choices(actions, (4, 6, 1, 4, 5, 1, 1))[0]()

    def _any_node(self):
        if self.chance.random() < self.variant.parent_restarts:
            return self.chance.choice(PARENTS)
        return self.chance.choice(self.caches)

    def _listed(self, node, state, started=0):
        self.entries[node] = self._entry(node, state, started)
        for router in self.routers:
            router.update_endpoints([self.entries[node]], False, self.now)

    def _drains(self):
        self._listed(
            self._any_node(),
            self.chance.choice((EndpointState.DRAINING, EndpointState.DRAINING, EndpointState.GONE)),
        )

    def _restarts(self):
        self._listed(self._any_node(), EndpointState.SERVING, self.now - self.chance.randrange(5 * S))

    def _lists_all(self):
        """A whole list that lacks one node."""
        lacking = self.chance.choice(self.caches)
        entries = [entry for node, entry in self.entries.items() if node != lacking]
        for router in self.routers:
            router.update_endpoints(entries, True, self.now)

    def _purges(self):
        thing, group, age = self.chance.randrange(50), -1, self.chance.randrange(S)
        if self.chance.random() < self.variant.group_purges:
            thing, group = -1, self.chance.randrange(32)
        for router in self.routers:
            router.invalidate(thing, group, age, self.now)

    def _manner_changes(self):
        node = self._any_node()
        if node in PARENTS[: self.variant.parents_away]:
            return
        self.manners[node] = self.chance.choices((WELL, SLOW, FAILING, AWAY), (5, 2, 2, 2))[0]

    def _clock_moves(self):
        for router in self.routers:
            router.platform_clock_offset = self.chance.randrange(5 * MS)

    def _reminder(self):
        self.routers[0].deadlines.add(self.now + self.chance.randrange(S), None)

    def _discovery_answers(self, router):
        if self.chance.random() < 0.6:
            return router.endpoint_list_failed(self.now)
        router.update_endpoints(list(self.entries.values()), True, self.now)

    # What fronts tell each other, and what a start connects to.

    def _gossip(self):
        one, other = self.chance.sample(self.routers, 2)
        told = one.gossip_to_send(self.chance.choice((10, 80)), self.now)
        self.digest.add(told)
        other.receive_gossip(told, self.chance.randrange(200 * MS), self.now)

    def _warm_first(self):
        for router in self.routers:
            for most in (5, 20, 36, 100):
                self.digest.add(router.endpoints_to_connect(most))
