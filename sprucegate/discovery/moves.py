"""Which objects a change of a list moves to another first server, found by sampling with the router's own hash."""

from collections import Counter, defaultdict
from typing import NamedTuple

from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings

SAMPLE_SIZE = 2000  # sampled objects in each group of one location and kind
SAMPLE_SIZE_MIN = 100
OBJECTS_TIMES_SERVERS_MAX = 1_000_000  # bounds the run time: fewer objects are sampled in a large group

Group = tuple[int, int]  # location and kind


class GroupMoves(NamedTuple):
    """The moved objects of one group.

    :ivar objects: count of sampled objects; `moved`: how many of them have another first server.
    :ivar least: the least that could have moved: the sum of the servers' net gains.
    :ivar gained: {endpoint id: count of objects that moved to it}.
    """

    objects: int
    moved: int
    least: int
    gained: dict[int, int]


def _groups(servers: list[Server]) -> dict[Group, list[Endpoint]]:
    groups = defaultdict(list)
    for server in servers:
        if server.entry.state is EndpointState.SERVING and not server.held:
            groups[server.entry.location, server.entry.kind].append(server.entry)
    return groups


def _first_servers(entries: list[Endpoint], count: int) -> list[int]:
    """Return the endpoint id of the first server of each of `count` sampled objects."""
    router = Router(RoutingSettings(my_location=entries[0].location), 0, 0)
    router.update_endpoints(entries, True, 0)
    hashing = router.registry.groups["cache"]
    objects = (number.to_bytes(8, "big") + bytes(4) for number in range(count))
    return [hashing.best(name, 1)[0].id for name in objects]


def moves(before: list[Server], after: list[Server], objects: int = SAMPLE_SIZE) -> dict[Group, GroupMoves]:
    """Return the moves of each group that is in both lists; a new or removed group has nothing to compare."""
    old_groups = _groups(before)
    new_groups = _groups(after)
    found = {}
    for group in sorted(old_groups.keys() & new_groups.keys()):
        old = old_groups[group]
        new = new_groups[group]
        count = max(SAMPLE_SIZE_MIN, min(objects, OBJECTS_TIMES_SERVERS_MAX // max(len(old), len(new))))
        found[group] = _compare(_first_servers(old, count), _first_servers(new, count))
    return found


def _compare(before: list[int], after: list[int]) -> GroupMoves:
    gained = Counter(new for old, new in zip(before, after, strict=True) if old != new)
    counts_before = Counter(before)
    counts_after = Counter(after)
    least = sum(max(0, count - counts_before[server]) for server, count in counts_after.items())
    return GroupMoves(len(after), gained.total(), least, dict(gained))
