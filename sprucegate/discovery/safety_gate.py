"""The safety gate: a list that removes too many servers of a location at once is held until confirmed. No I/O.

The drains of a held list are applied at once: a late drain breaks the guarantee that a drained server gets no new
requests, while a late removal only costs failed attempts.
"""

from collections import Counter
from typing import NamedTuple

from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import EndpointState


class HeldList(NamedTuple):
    """A list that awaits confirmation.

    :ivar number: the number by which an operator confirms it.
    :ivar until: time (ns) at which it is applied without a confirmation.
    :ivar location: the location that loses the largest share of its servers; `share`: that share.
    """

    number: int
    servers: list[Server]
    until: int
    location: int
    share: float


class GateDecision(NamedTuple):
    """What is to be applied now: a whole list, or only the drains of a held one."""

    servers: list[Server]
    whole: bool
    held: HeldList | None


class SafetyGate:
    """Holds at most one list, the newest. `share`: part of a location that may go at once; `hold`: hold time (ns)."""

    def __init__(self, share: float, hold: int) -> None:
        self.share = share
        self.hold = hold
        self.held: HeldList | None = None
        self.number = 0

    def offer(
        self, current: dict[int, Server], servers: list[Server], now: int, held: bool = False
    ) -> GateDecision:
        """Decide on a whole list by comparison with `current`, the source's present list by endpoint id.

        `held`: another front holds the same list, so a list with any removal is held here as well.
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
        """Release the held list if it has this number, else return None."""
        if self.held is None or self.held.number != number:
            return None
        servers = self.held.servers
        self.held = None
        return GateDecision(servers, True, None)

    def on_timer(self, now: int) -> GateDecision | None:
        """Release the held list once its hold time is over."""
        if self.held is None or now < self.held.until:
            return None
        return self.confirm(self.held.number)


def _largest_loss(current: dict[int, Server], servers: list[Server]) -> tuple[float, int]:
    """Return the largest (share of a location's servers that `servers` lacks, location); (0, -1) without servers."""
    before = Counter(server.entry.location for server in current.values())
    remaining = {server.entry.id for server in servers}
    lost = Counter(
        server.entry.location for endpoint_id, server in current.items() if endpoint_id not in remaining
    )
    losses = ((lost[location] / count, location) for location, count in before.items())
    return max(losses, default=(0, -1))
