"""Outlier detection: comparison groups of servers, and which caches are excluded from selection.

Each server has two health records, one as a cache and one as a fill source. The rules of ejection are in
`health_record`.
"""

from collections import OrderedDict, defaultdict
from collections.abc import ItemsView

from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry

RECENT_SERVERS_MAX = 256  # of each role; further servers are compared as if they had no recent result


class OutlierDetector:
    """Maintains the comparison groups of recently used servers, and excludes unhealthy caches.

    :ivar suspects: unreachable or ejected caches and those on probation, by index.
    :ivar recent: by role, servers with a recent result by index, the latest last.
    """

    def __init__(self, registry: ServerRegistry) -> None:
        self.registry = registry
        self.suspects: dict[int, Server] = {}
        self.recent: defaultdict[str, OrderedDict[int, Server]] = defaultdict(OrderedDict)

    def remove(self, server: Server) -> None:
        """Remove a server that left the endpoint list."""
        self.suspects.pop(server.index, None)
        self.recent[server.role].pop(server.index, None)

    def health_changed(self, server: Server) -> None:
        """Update the groups after a health record of the server has changed."""
        recent = self.recent[server.role]
        recent[server.index] = server
        recent.move_to_end(server.index)
        if len(recent) > RECENT_SERVERS_MAX:
            recent.popitem(last=False)
        health = server.cache_health
        if server.role == "cache" and (
            server.unreachable_until or health.on_probation or health.ejected_until
        ):
            self.suspects[server.index] = server

    def comparison_group(self, role: str) -> tuple[list[Server], int]:
        """Usable servers of a role that have a recent result, and the number of those that have none."""
        active = [server for server in self.recent[role].values() if self.registry.in_group(server)]
        return active, len(self.registry.group(role)) - len(active)

    def evaluate_cache(self, cache: Server, attributable: bool, now: int) -> None:
        """Eject the server as a cache if its last result shows it to be an outlier."""
        if cache.cache_health.needs_evaluation(now):
            peers, idle = self.comparison_group("cache")
            cache.cache_health.evaluate([peer.cache_health for peer in peers], attributable, now, idle)
            self.health_changed(cache)

    def evaluate_source(self, source: Server, attributable: bool, now: int) -> None:
        """Eject the server as a fill source if its last result shows it to be an outlier."""
        if source.source_health.needs_evaluation(now):
            peers, idle = self.comparison_group(source.role)
            source.source_health.evaluate([peer.source_health for peer in peers], attributable, now, idle)

    def possible_outliers(self) -> ItemsView[int, Server]:
        """Index and server of all servers that may be slow or ejected."""
        servers = dict(self.suspects)
        for recent in self.recent.values():
            servers.update(recent)
        return servers.items()

    def excluded(self, now: int) -> set[int]:
        """Indices of caches that receive no requests now: unreachable, ejected, or busy on probation.

        At most half of the reachable caches are excluded by ejection or probation. A cache on probation
        receives one request at a time.
        """
        if not self.suspects:
            return set()
        unreachable: set[int] = set()
        ejected: list[Server] = []
        for index, server in list(self.suspects.items()):
            health = server.cache_health
            if not (server.unreachable_until or health.on_probation or health.ejected_until > now):
                del self.suspects[index]
            elif not self.registry.in_group(server):
                continue
            elif server.unreachable_until and (server.unreachable_until > now or server.in_flight):
                unreachable.add(index)
            elif health.ejected_until > now or health.on_probation and server.in_flight:
                ejected.append(server)
        ejected.sort(key=lambda server: (-server.cache_health.ejected_until, server.id))
        ejected_max = (len(self.registry.group("cache")) - len(unreachable)) // 2
        return unreachable.union([server.index for server in ejected[:ejected_max]])
