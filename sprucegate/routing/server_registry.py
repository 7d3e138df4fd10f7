"""Server registry: the endpoint list, grouped by role and ordered by rendezvous hashing."""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from itertools import count, islice

from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.routing.rendezvous import Ranking, Rendezvous
from sprucegate.routing.server import Server
from sprucegate.routing.settings import RoutingSettings

RANKED_FIRST = 8  # servers ranked at first; most requests need no more
RANKING_GROWTH = 4  # if more servers are needed, this many times as many are ranked
CONNECTIONS_AT_START_RATIO = 0.75  # the rest is left for connections that requests open


class ServerRegistry:
    """All servers of the endpoint list, and by role the group of those that may receive requests or fills.

    :ivar servers: by index, in the order of their first listing; `index_of` maps ids to indices.
    :ivar groups: by role, the usable servers in the order of their indices.
    :ivar largest_weight: by role, the largest total weight that the group has had.
    :ivar versions: by role, the number of changes of the group; a ranking of an older version is stale.
    :ivar platform_clock_offset: lower bound of how far the platform's clock, which start times are listed
        in, is ahead of the router's (ns).
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.servers: dict[int, Server] = {}
        self.index_of: dict[int, int] = {}
        self.indices = count()
        self.groups: defaultdict[str, Rendezvous] = defaultdict(Rendezvous)
        self.largest_weight: defaultdict[str, float] = defaultdict(float)
        self.versions: Counter[str] = Counter()
        self.platform_clock_offset = 0

    def update(self, entries: Sequence[Endpoint], complete: bool, now: int) -> list[Server]:
        """Apply the endpoint list, or changed entries if not `complete`; returns the servers removed."""
        listed = dict.fromkeys([entry.id for entry in entries])
        for entry in entries:
            self._update_entry(entry)
        # An update regroups only the servers it names: regrouping thousands for a few changes is slow.
        if complete:
            changed = list(self.servers.values())
        else:
            changed = [self.servers[self.index_of[identifier]] for identifier in listed]
        gone = []
        for server in changed:
            is_gone = complete and server.id not in listed or server.entry.state is EndpointState.GONE
            self._regroup(server, is_gone)
            if is_gone:
                del self.servers[server.index], self.index_of[server.id]
                gone.append(server)
        for role in dict.fromkeys([server.role for server in changed]):
            self.versions[role] += 1
            self.largest_weight[role] = max(self.largest_weight[role], self.groups[role].weight())
        return gone

    def _update_entry(self, entry: Endpoint) -> None:
        if entry.id not in self.index_of:
            index = self.index_of[entry.id] = next(self.indices)
            self.servers[index] = Server(index, entry, self._role_of(entry.kind))
        server = self.servers[self.index_of[entry.id]]
        if entry.started > server.started:
            server.on_restart(entry.started)
        server.entry = entry

    def _role_of(self, kind: int) -> str:
        if kind == self.settings.origin_kind:
            return "origin"
        return "parent" if kind == self.settings.parent_kind else "cache"

    def _regroup(self, server: Server, is_gone: bool) -> None:
        group = self.groups[server.role]
        position = bisect_left(group.nodes, server.index, key=lambda member: member.index)
        if position < len(group.nodes) and group.nodes[position] is server:
            group.remove(position)
        if not is_gone and server.entry.state is EndpointState.SERVING and self._is_near(server):
            group.insert(position, server, server.entry.weight)

    def _is_near(self, server: Server) -> bool:
        return server.role != "cache" or server.entry.location == self.settings.my_location

    def group(self, role: str) -> list[Server]:
        """Servers of a role that may receive requests or fills, in the order of their indices."""
        members: list[Server] = self.groups[role].nodes
        return members

    def in_group(self, server: Server) -> bool:
        """Whether it may receive requests or fills: listed, serving and, for a cache, at this location."""
        return (
            self._is_near(server)
            and server.entry.state is EndpointState.SERVING
            and self.servers.get(server.index) is server
        )

    def ranking(self, rankings: dict[str, Ranking], role: str, key: bytes) -> Ranking:
        """The first servers of a role for a key, cached in `rankings` by role."""
        cached = rankings.get(role)
        version = self.versions[role]
        if cached is None or cached.version != version:
            cached = rankings[role] = Ranking(version, self.groups[role].best(key, RANKED_FIRST))
        return cached

    def ranked(self, rankings: dict[str, Ranking], role: str, key: bytes) -> Iterator[Server]:
        """All servers of a role in rendezvous order for a key, the same at all routers; ranked on demand."""
        group = self.group(role)
        cached = self.ranking(rankings, role, key)
        position = 0
        while True:
            yield from islice(cached.nodes, position, None)
            position = len(cached.nodes)
            if position >= len(group):
                return
            cached.nodes = self.groups[role].best(key, RANKING_GROWTH * position)

    def age(self, server: Server, now: int) -> int:
        """Lower bound of the time since the server started (ns)."""
        if server.restart_observed_at is not None:
            return now - server.restart_observed_at
        return now + self.platform_clock_offset - server.started

    def endpoints_to_connect(self, limit: int) -> list[int]:
        """Ids of servers to connect to at startup, with at most `limit` connections.

        All servers if the limit allows. Otherwise the origin and the parents, which all fills go through, and
        the caches at this location if all of them fit: a connection to one cache of thousands would be closed
        as idle before its first request.
        """
        if len(self.servers) <= limit:
            return [server.id for server in self.servers.values()]
        limit = int(CONNECTIONS_AT_START_RATIO * limit)
        chosen = [*self.group("origin"), *self.group("parent")]
        caches = self.group("cache")
        if len(chosen) + len(caches) <= limit:
            chosen += caches
        return [server.id for server in chosen[:limit]]
