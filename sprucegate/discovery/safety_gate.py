"""The gate before the view: a list that takes away too much of a location at once is held until it is confirmed.

No I/O. Drains go through at once whatever is held: a drain kept late breaks a promise, a removal kept late costs tries.
"""

from collections import Counter
from typing import NamedTuple

from sprucegate.routing.events import EndpointState


class Held(NamedTuple):
    number: int  # by which it is confirmed
    servers: list
    until: int  # ns: then it is applied all the same
    location: int
    share: float  # of that location that it takes away


class Passed(NamedTuple):
    """What is applied now: `servers` whole, or only its drains where `held` has the rest."""

    servers: list
    whole: bool
    held: Held | None


class Gate:
    def __init__(self, share, hold):
        """`share`: of a location that may go at once; `hold`: ns for which a larger loss is held."""
        self.share, self.hold, self.held, self.number = share, hold, None, 0

    def offered(self, current, servers, now, held=False):
        """A whole list, against `current`, what this source's list was (Server by id); `held`: by another front."""
        self.number += 1
        before = Counter(s.entry.location for s in current.values())
        stays = {s.entry.id for s in servers}
        lost = Counter(s.entry.location for at, s in current.items() if at not in stays)
        worst = max(((lost[place] / count, place) for place, count in before.items()), default=(0, -1))
        if worst[0] <= self.share and not (held and worst[0]):
            self.held = None  # a newer list stands for one that was held
            return Passed(servers, True, None)
        drains = [s for s in servers if s.entry.state is EndpointState.DRAINING and s.entry.id in current]
        self.held = Held(self.number, servers, now + self.hold, worst[1], worst[0])
        return Passed(drains, False, self.held)

    def confirmed(self, number):
        """The held list, where it is that one; None else."""
        if self.held is None or self.held.number != number:
            return None
        held, self.held = self.held, None
        return Passed(held.servers, True, None)

    def due(self, now):
        if self.held is None or now < self.held.until:
            return None
        return self.confirmed(self.held.number)
