"""What a change of a list moves: the share of objects whose first server is another one, by the rules' own hash."""

from collections import Counter, defaultdict
from typing import NamedTuple

from sprucegate.routing.events import EndpointState
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings

OBJECTS = 2000  # looked at in each group of one location and kind
WORK = 1_000_000  # objects times servers in a group, at most: then fewer are looked at


class Moved(NamedTuple):
    objects: int
    moved: int
    least: int  # that had to move, by how many more each server has afterwards
    gained: dict  # server's id -> objects that it has now and had not


def _groups(servers):
    groups = defaultdict(list)
    for server in servers:
        if server.entry.state is EndpointState.SERVING and not server.held:
            groups[server.entry.location, server.entry.kind].append(server.entry)
    return groups


def _firsts(entries, count):
    location = entries[0].location
    router = Router(RoutingSettings(my_location=location), 0, 0)
    router.update_endpoints(entries, True, 0)
    return [
        router.registry.groups["cache"].best(at.to_bytes(8, "big") + bytes(4), 1)[0].id for at in range(count)
    ]


def moves(before, after, objects=OBJECTS):
    """Per (location, kind) that stands in both lists, a Moved; a group that is new or gone has nothing to compare."""
    old, new, found = _groups(before), _groups(after), {}
    for group in sorted(old.keys() & new.keys()):
        count = max(100, min(objects, WORK // max(len(old[group]), len(new[group]))))
        was, now = _firsts(old[group], count), _firsts(new[group], count)
        gained = Counter(b for a, b in zip(was, now, strict=True) if a != b)
        had, has = Counter(was), Counter(now)
        least = sum(max(0, has[at] - had[at]) for at in has)
        found[group] = Moved(count, gained.total(), least, dict(gained))
    return found
