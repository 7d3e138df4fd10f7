"""Gossip: routers exchange ejections, slow servers and beliefs.

An entry from another router is used only where this router has no observation of its own, and only for half
of its remaining time, as the other router saw other requests. Entries carry the age of their evidence;
otherwise they would circulate among the routers for ever.
"""

import heapq
from collections.abc import Sequence

from sprucegate.routing.digest import BELIEF_LIFETIME_MAX_NS, RECHECK_MARGIN_NS, Belief, Digest
from sprucegate.routing.events import BeliefGossip, EjectionGossip
from sprucegate.routing.health_record import (
    EJECTION_TIME_MAX_NS,
    SAMPLE_AGE_MAX_NS,
    SAMPLES_MIN,
    HealthRecord,
)
from sprucegate.routing.outlier_detection import OutlierDetector
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry

TRUST_RATIO = 0.5  # share of the remaining time for which an entry is used
SLOWNESS_SENT_MIN = 1.5
SLOWNESS_UNIT = 1000  # slowness is sent in thousandths


class Gossip:
    """Selects the entries to send to other routers and applies those received."""

    def __init__(self, registry: ServerRegistry, digest: Digest, outliers: OutlierDetector) -> None:
        self.registry = registry
        self.digest = digest
        self.outliers = outliers
        self.beliefs_sent_at = LONG_AGO

    def to_send(self, limit: int, now: int) -> list[EjectionGossip | BeliefGossip]:
        """At most `limit` entries: ejected and slow servers, then beliefs that are new since the last call.

        Beliefs about the most requested objects come first.
        """
        entries: list[EjectionGossip | BeliefGossip] = []
        for _, server in sorted(self.outliers.possible_outliers()):
            for health in (server.cache_health, server.source_health):
                slowness = health.slowness(now)
                if health.ejected_until > now or slowness > SLOWNESS_SENT_MIN:
                    entries.append(_ejection(server, health, slowness, now))
        entries += self._new_beliefs(max(0, limit - len(entries)), now)
        return entries[:limit]

    def _new_beliefs(self, limit: int, now: int) -> list[BeliefGossip]:
        since = self.beliefs_sent_at
        self.beliefs_sent_at = now
        servers = self.registry.servers
        records = self.digest.records
        new = [
            (-sum(records[position].counts[:2]), key, index, belief)
            for key, position in self.digest.position_of.items()
            for index, belief in records[position].beliefs.items()
            if belief.since > since and belief.expires_at - now > 2 * RECHECK_MARGIN_NS and index in servers
        ]
        return [
            BeliefGossip(
                key[0],
                key[1],
                servers[index].id,
                belief.server_started,
                belief.expires_at - now,
                now - belief.since,
            )
            for _, key, index, belief in heapq.nsmallest(limit, new)
        ]

    def receive(self, entries: Sequence[EjectionGossip | BeliefGossip], age: int, now: int) -> None:
        """Apply another router's entries, sent `age` ns ago, except those about another start of a server."""
        for entry in entries:
            server = self.registry.servers.get(self.registry.index_of.get(entry.cache, -1))
            if server is None or server.started != entry.started:
                continue
            time_left = int(TRUST_RATIO * (entry.remaining - age))
            if isinstance(entry, EjectionGossip):
                self._receive_ejection(entry, server, time_left, now - age - entry.age, now)
            elif time_left > 0 and self.digest.may_add(entry):
                beliefs = self.digest.record_of(entry, now).beliefs
                expires_at = now + min(time_left, BELIEF_LIFETIME_MAX_NS)
                beliefs.setdefault(server.index, Belief(expires_at, now - entry.age - age, server.started))

    def _receive_ejection(
        self, entry: EjectionGossip, server: Server, time_left: int, sampled_at: int, now: int
    ) -> None:
        health = server.source_health if entry.as_source else server.cache_health
        if entry.slowness and not any(now - at < SAMPLE_AGE_MAX_NS for at, _, _ in health.slowness_samples):
            health.slowness_samples.extend([(sampled_at, entry.slowness / SLOWNESS_UNIT, 1)] * SAMPLES_MIN)
        if time_left > 0 and not any(now - at < SAMPLE_AGE_MAX_NS for at, _ in health.results):
            health.ejected_until = max(health.ejected_until, now + min(time_left, EJECTION_TIME_MAX_NS))
            health.on_probation = True
        self.outliers.health_changed(server)


def _ejection(server: Server, health: HealthRecord, slowness: float, now: int) -> EjectionGossip:
    return EjectionGossip(
        server.id,
        server.started,
        health is server.source_health,
        max(0, health.ejected_until - now),
        int(SLOWNESS_UNIT * slowness),
        now - health.slowness_samples[-1][0] if slowness else 0,
    )
