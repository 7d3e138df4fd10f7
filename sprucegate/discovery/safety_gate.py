"""The safety gate: a list that takes away too much of a location at once is held until it is confirmed. No I/O.

Drains pass at once whatever is held: a drain applied late breaks a promise, a removal applied late costs attempts.
"""

from collections import Counter
from typing import NamedTuple

from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import EndpointState


class HeldList(NamedTuple):
    """A list that waits for its confirmation.

    :ivar number: by which an operator confirms it.
    :ivar until: time (ns) at which it is applied without a confirmation.
    :ivar location: the location that loses the largest share; `share`: of its servers.
    """

    number: int
    servers: list[Server]
    until: int
    location: int
    share: float


class GateDecision(NamedTuple):
    """What is to be applied now: a list whole, or only the drains of one that is held."""

    servers: list[Server]
    whole: bool
    held: HeldList | None


class SafetyGate:
    """Holds at most one list, the newest. `share`: of a location that may go at once; `hold`: ns of holding."""

    def __init__(self, share: float, hold: int) -> None:
        self.share = share
        self.hold = hold
        self.held: HeldList | None = None
        self.number = 0

    def offer(
        self, current: dict[int, Server], servers: list[Server], now: int, held: bool = False
    ) -> GateDecision:
        """Decide on a whole list, against `current`, this source's list so far by endpoint id.

        `held`: another front holds the same list, so that any removal of it is held here as well.
        """
        self.number += 1
        share, location = _largest_loss(current, servers)
        if share <= self.share and not (held and share):
            self.held = None  # a newer list replaces one that was held
            return GateDecision(servers, True, None)
        drains = [s for s in servers if s.entry.state is EndpointState.DRAINING and s.entry.id in current]
        self.held = HeldList(self.number, servers, now + self.hold, location, share)
        return GateDecision(drains, False, self.held)

    def confirm(self, number: int) -> GateDecision | None:
        """Release the held list, where it has this number; else return None."""
        if self.held is None or self.held.number != number:
            return None
        servers = self.held.servers
        self.held = None
        return GateDecision(servers, True, None)

    def on_timer(self, now: int) -> GateDecision | None:
        """Release the held list once its time is over."""
        if self.held is None or now < self.held.until:
            return None
        return self.confirm(self.held.number)


def _largest_loss(current: dict[int, Server], servers: list[Server]) -> tuple[float, int]:
    """Return (share of a location's servers that `servers` lacks, location), the largest; (0, -1) without servers."""
    before = Counter(server.entry.location for server in current.values())
    remaining = {server.entry.id for server in servers}
    lost = Counter(server.entry.location for one, server in current.items() if one not in remaining)
    losses = ((lost[location] / count, location) for location, count in before.items())
    return max(losses, default=(0, -1))
