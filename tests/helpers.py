"""Small builders for the state that a test needs."""

from sprucegate.interface import Asked, Listed, State
from sprucegate.rules import MS, Router, S

NOW = 1000 * S
SETTINGS = {
    "my_location": 1, "parent_kind": 2, "origin_kind": 3, "siblings": "location", "hub_of_location": [0, 0],
    "latency_objective": [400 * MS] * 3, "objective_stretch": [2.0] * 3, "revenue": [2.0, 1.0, 3.0],
    "effect": ["idempotent", "idempotent", "non-idempotent"], "runs_at_origin": [False, False, True],
    "fresh_time": [0, 8 * S, 0], "max_forwards": 6, "purge_done": 6 * S, "tick": 2 * MS, "tells": "all",
    "cold_share": 0.2, "warm_time": 15 * S, "fall_time": S, "fall_multiple": 4.0, "cancel": True,
    "parent_cold_share": 0.06, "parent_warm_time": 19 * S, "parent_fall_multiple": 2.0,
    "retry_after": True, "max_retry_after": S, "token_window": [None, None, None],
}
CACHES, PARENTS, ORIGIN = (11, 12, 13, 14), (21, 22), 31


def entry(cache, state=State.SERVING, started=0):
    kind = 3 if cache == ORIGIN else 2 if cache in PARENTS else 0
    return Listed(cache, 0 if kind else 1, kind, 0, state, 1.0, started)


def router(states=(), **settings):
    """A front that has a list: four caches, two parents at its hub and the origin."""
    made = Router({**SETTINGS, **settings}, 7, NOW)
    special = {e.id: e for e in states}
    made.listed([special.get(c, entry(c)) for c in (*CACHES, *PARENTS, ORIGIN)], True, NOW)
    return made


def asked(key="r-1", obj=99, ds=0, ttl=3 * S, group=5, size=0):
    return Asked(key, obj, 0, group, ds, size, False, False, ttl)


def node(made, cache):
    return made.nodes[made.index_of[cache]]


def believed(made, ask, *caches, expiry=NOW + 5 * S, since=NOW - MS):
    memory = made.memory(ask, NOW)
    for cache in caches:
        memory.holders[made.index_of[cache]] = (expiry, since, node(made, cache).entry.started)
    return memory
