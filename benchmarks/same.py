"""Whether two revisions decide alike: digests of every action and of every trace, over fixed seeds.

`python -m benchmarks same --against REV` is for changes that are to change no behaviour: each digest of this tree
has to equal that of the revision. A walk is a Router in a generated world (GETs, ends of attempts, lists, purges,
restarts); a trace is that of a fleet's deterministic schedule. Both revisions have to have the calls made here.
"""

import hashlib
import heapq
import json
import os
import random
import subprocess
import sys
import tempfile
from itertools import count
from pathlib import Path

MS, S = 1_000_000, 1_000_000_000
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
CACHES, PARENTS, ORIGIN = range(100, 140), range(200, 204), 300


class Walk:
    """One Router, fed by a seed; every action that it asks for goes into the digest."""

    def __init__(self, seed):
        from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState, Request
        from sprucegate.routing.router import Router
        from sprucegate.routing.settings import RoutingSettings

        self.asked, self.listed_as, self.outcomes, self.found, self.state = (
            Request,
            Endpoint,
            AttemptOutcome,
            CacheStatus,
            EndpointState,
        )
        self.chance, self.now, self.digest = random.Random(seed), 1000 * S, hashlib.sha256()
        self.router, self.ends, self.order = (
            Router(RoutingSettings.from_mapping(SETTINGS), seed, self.now),
            [],
            count(),
        )
        self.router.update_endpoints([self.entry(at) for at in (*CACHES, *PARENTS, ORIGIN)], True, self.now)

    def entry(self, at, state="SERVING", started=0):
        kind = 3 if at == ORIGIN else 2 if at in PARENTS else 0
        return self.listed_as(at, 0 if kind else 1, kind, 0, self.state[state], 1.0, started)

    def said(self, get, actions):
        for action in actions:
            self.digest.update(repr(action).encode())
            if type(action).__name__ == "Forward":
                took = int(self.chance.expovariate(1 / (80 * MS)))
                heapq.heappush(self.ends, (self.now + took, next(self.order), get, action, took))

    def asks(self, number):
        ds = self.chance.choices((0, 1, 2), (6, 3, 1))[0]
        asked = self.asked(
            f"{number:x}",
            int(self.chance.paretovariate(0.5)) % 5000,
            0,
            number % 32,
            ds,
            self.chance.choice((0, 50, 400)),
            ds == 2,
            False,
            self.chance.choice((300 * MS, 3 * S)),
        )
        get = self.router.start_request(asked, self.now)
        self.said(get, get.route(self.now))

    def ends_due(self):
        while self.ends and self.ends[0][0] <= self.now:
            _, _, get, action, took = heapq.heappop(self.ends)
            if not get.forwards[action.number].open:
                continue
            outcome = self.chance.choices(list(self.outcomes), (80, 3, 2, 2, 1, 3, 2, 1, 6))[0]
            found = (
                self.chance.choice(list(self.found))
                if outcome.name in ("RETURNED", "ERROR")
                else self.found.UNKNOWN
            )
            load = {"inflight": self.chance.randrange(9)} if self.chance.random() < 0.3 else {}
            self.said(get, get.ended(action.number, outcome, found, took, 0, load, False, self.now))

    def news(self):
        at = self.chance.choice((*CACHES, *PARENTS))
        kind = self.chance.random()
        if kind < 0.4:
            self.router.update_endpoints([self.entry(at, "DRAINING")], False, self.now)
        elif kind < 0.8:
            self.router.update_endpoints(
                [self.entry(at, started=self.now - self.chance.randrange(5 * S))], False, self.now
            )
        else:
            self.router.invalidate(self.chance.randrange(50), -1, self.chance.randrange(S), self.now)

    def run(self, steps):
        for number in range(steps):
            self.now += int(self.chance.expovariate(1 / (10 * MS)))
            self.ends_due()
            for get, actions in self.router.on_timer(self.now):
                self.said(get, actions)
            self.asks(number)
            if self.chance.random() < 0.02:
                self.news()
        return self.digest.hexdigest()


def digests(quick):
    """{what was run: digest} of the tree that is imported here."""
    from standins.fleet import rollouts, schedules, sharing

    found = {f"walk {seed}": Walk(seed).run(3000 if quick else 20_000) for seed in range(2 if quick else 8)}
    for name, played in (
        ("schedules", lambda seed: schedules.played(seed, 5, 0.1)),
        ("rollouts", lambda seed: rollouts.played(seed, 3, 4, 9, loss=0.1, span=20 * S)),
        ("sharing", lambda seed: sharing.played(seed, 3, 0.1, span=8 * S, quiet=False)),
    ):
        for seed in range(2 if quick else 10):
            trace = repr(played(seed).trace).encode()
            found[f"{name} {seed}"] = hashlib.sha256(trace).hexdigest()
    return found


def _in(folder, quick):
    done = subprocess.run(
        [sys.executable, __file__, *(["--quick"] if quick else [])],
        cwd=folder,
        check=True,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(folder), "PYTHONHASHSEED": "0"},
    )
    return json.loads(done.stdout)


def measure(quick, against):
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", against, "sprucegate", "standins"], check=True, stdout=subprocess.PIPE
        ).stdout
        subprocess.run(["tar", "-x", "-C", folder], input=archive, check=True)
        before, after = _in(folder, quick), _in(Path.cwd(), quick)
    apart = sorted(name for name in before if before[name] != after[name])
    for name in apart:
        print(f"{name}: {before[name][:12]} {after[name][:12]}", flush=True)
    return {"against": against, "digests": len(before), "apart": len(apart)}


if __name__ == "__main__":
    print(json.dumps(digests("--quick" in sys.argv)))
