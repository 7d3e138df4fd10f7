"""Computes the view of the fleet from failure detector, connections and consensus log: events in, actions out."""

from collections.abc import Mapping
from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import MEMBERS_MAX, Member
from sprucegate.fleet.membership_view import degraded_mode
from sprucegate.fleet.membership_view.degraded_mode import OwnAction, PeerAction
from sprucegate.fleet.membership_view.health_state import FleetState, HealthState
from sprucegate.fleet.membership_view.peer_health import HealthReport, PeerHealth
from sprucegate.units import SECOND

HOLD_DOWN_NS = 1 * SECOND  # a front has to be LIVE for this long before it counts as LIVE
STALL_RECOVERY_NS = 1 * SECOND  # after a stall, to read what arrived meanwhile
FORGET_NS = 600 * SECOND  # after which a front that is gone or left is forgotten
NO_DEADLINE_NS = 1 << 62


class ViewRow(NamedTuple):
    """The health of another front in a view.

    :ivar health: the health state
    :ivar source: what it is based on, see `peer_health.HealthReport`
    :ivar since: when it began, in ns
    :ivar incarnation: of the front's process
    """

    health: HealthState
    source: str
    since: int
    incarnation: int


class MembershipView(NamedTuple):
    """A view of the fleet at one time.

    :ivar number: count of this front's views so far
    :ivar agreed: index of the consensus log's entry that it is based on; 0 if this front follows no log
    :ivar state: this front's state
    :ivar share: part of the fleet's fronts that are reachable, this one included, up to 1
    :ivar rows: the other fronts by name
    """

    number: int
    agreed: int
    state: FleetState
    share: float
    rows: dict[str, ViewRow]

    def allows(self, action: PeerAction, name: str) -> bool:
        """Tell whether the action is allowed towards that front."""
        row = self.rows.get(name)
        return row is not None and degraded_mode.allows(action, row.health)

    def names(self, action: PeerAction) -> list[str]:
        """Return the sorted names of the fronts towards which the action is allowed."""
        return sorted(name for name, row in self.rows.items() if degraded_mode.allows(action, row.health))

    def allows_own(self, action: OwnAction) -> bool:
        """Tell whether this front may perform the action."""
        return degraded_mode.allows_own(action, self.state)


class ViewChanged(NamedTuple):
    """There is a new view; `changed` names the fronts whose health or incarnation changed."""

    view: MembershipView
    changed: tuple[str, ...]


class ViewTracker:
    """Computes views. A worse health of a front counts at once, LIVE only after HOLD_DOWN_NS. `now` in ns.

    :ivar known: the evidence on each front
    :ivar view: the current view
    :ivar deadline: when `on_timer` is to be called; events set it to now
    """

    def __init__(self, now: int) -> None:
        self.known: dict[str, PeerHealth] = {}
        self.view = MembershipView(0, 0, FleetState.RETURNING, 1.0, {})
        self.deadline = now
        self._rows: dict[str, ViewRow] = {}
        self._live_since: dict[str, int] = {}
        self._log_fronts: dict[str, int] | None = None
        self._log_index = 0
        self._fenced = True
        self._stalled_until = 0
        self._returning = True

    def on_member_changed(self, member: Member, now: int) -> None:
        """Take a changed record of the failure detector."""
        if member.name not in self.known and len(self.known) >= MEMBERS_MAX:
            return
        self.known.setdefault(member.name, PeerHealth()).on_member_changed(member, now)
        self.deadline = now

    def on_frame(self, name: str, now: int) -> None:
        """Note that a frame arrived from that front itself."""
        peer = self.known.get(name)
        if peer is None:
            return
        peer.last_frame_at = now
        if peer.indirect_probes or peer.member_health is not HealthState.LIVE:
            peer.indirect_probes = 0
            self.deadline = now

    def on_probe_answered(self, name: str, direct: bool, now: int) -> None:
        """Note an answered probe: by the front itself (`direct`) or only through a helper."""
        peer = self.known.get(name)
        if peer is None:
            return
        peer.indirect_probes = 0 if direct else peer.indirect_probes + 1
        if peer.indirect_probes:
            self.deadline = now

    def on_other_version(self, name: str, now: int) -> None:
        """Note that a front speaks another version of the protocol."""
        peer = self.known.get(name)
        if peer is not None:
            peer.other_version = True
            self.deadline = now

    def on_stall(self, now: int) -> None:
        """Note that this process stalled."""
        self._stalled_until = now + STALL_RECOVERY_NS
        self.deadline = now

    def on_caught_up(self, now: int) -> None:
        """Note that this front has caught up with the replicated records."""
        self._returning = False
        self.deadline = now

    def on_log_applied(self, index: int, fronts: Mapping[str, int], fenced: bool, now: int) -> None:
        """Take the consensus log's fronts (incarnations by name); `fenced`: the leader may act without this front."""
        if fronts == self._log_fronts and fenced == self._fenced:
            return
        if fronts != self._log_fronts:
            self._log_index = index
        self._log_fronts = dict(fronts)
        self._fenced = fenced
        self.deadline = now

    def next_deadline(self) -> int:
        """Return when `on_timer` is to be called, in ns."""
        return self.deadline

    def on_timer(self, now: int) -> list[ViewChanged]:
        """Compute a new view if anything changed."""
        if now < self.deadline:
            return []
        self.deadline = NO_DEADLINE_NS
        log_fronts = self._log_fronts if self._log_fronts and not self._fenced else None
        changed = [name for name, peer in self.known.items() if self._update(name, peer, log_fronts, now)]
        self._forget_old(now)
        share = self._share()
        state = self._state(share, now)
        if now < self._stalled_until:
            self.deadline = min(self.deadline, self._stalled_until)
        index = self._log_index if log_fronts is not None else 0
        before = self.view
        if not changed and (before.state, before.share, before.agreed) == (state, share, index):
            return []
        self.view = MembershipView(before.number + 1, index, state, share, dict(self._rows))
        return [ViewChanged(self.view, tuple(changed))]

    def _update(self, name: str, peer: PeerHealth, log_fronts: Mapping[str, int] | None, now: int) -> bool:
        """Recompute a front's row; tell whether it changed."""
        in_log = None if log_fronts is None else log_fronts.get(name) == peer.incarnation
        report = self._hold_down(name, peer, peer.health(in_log, now), now)
        change_at = peer.next_change_at(in_log, now)
        if change_at is not None:
            self.deadline = min(self.deadline, change_at)
        row = self._rows.get(name)
        if row is not None and (row.health, row.incarnation) == (report.health, peer.incarnation):
            return False
        self._rows[name] = ViewRow(report.health, report.source, now, peer.incarnation)
        return True

    def _hold_down(self, name: str, peer: PeerHealth, report: HealthReport, now: int) -> HealthReport:
        """Return the previous health, or SUSPECT for a new process, until the front has been LIVE for HOLD_DOWN_NS."""
        row = self._rows.get(name)
        if report.health is not HealthState.LIVE:
            self._live_since.pop(name, None)
            return report
        if row is not None and row.health is HealthState.LIVE:
            return report
        since = self._live_since.setdefault(name, now)
        if now - since >= HOLD_DOWN_NS and now >= self._stalled_until:
            del self._live_since[name]
            return report
        self.deadline = min(self.deadline, max(since + HOLD_DOWN_NS, self._stalled_until))
        if row is None or row.incarnation != peer.incarnation:
            return HealthReport(HealthState.SUSPECT, report.source)
        return HealthReport(row.health, row.source)

    def _forget_old(self, now: int) -> None:
        for name, row in list(self._rows.items()):
            if row.health not in (HealthState.GONE, HealthState.LEAVING):
                continue
            if now - row.since < FORGET_NS:
                self.deadline = min(self.deadline, row.since + FORGET_NS)
            else:
                self.known.pop(name, None)
                del self._rows[name]
                self._live_since.pop(name, None)

    def _share(self) -> float:
        reachable = 1 + sum(
            degraded_mode.allows(PeerAction.SEND_UPDATES, row.health) for row in self._rows.values()
        )
        total = 1 + sum(self._is_part_of_fleet(name, row) for name, row in self._rows.items())
        return reachable / max(reachable, total)

    def _state(self, share: float, now: int) -> FleetState:
        if now < self._stalled_until:
            return FleetState.STALLED
        if self._returning:
            return FleetState.RETURNING
        if share == 1.0:
            return FleetState.WHOLE
        reachable = any(
            degraded_mode.allows(PeerAction.SEND_UPDATES, row.health) for row in self._rows.values()
        )
        return FleetState.PARTIAL if reachable else FleetState.ALONE

    def _is_part_of_fleet(self, name: str, row: ViewRow) -> bool:
        """Tell whether a front counts: not if it left, nor if it is dead and the consensus log has removed it."""
        if row.health is HealthState.LEAVING:
            return False
        removed = self._log_fronts is not None and not self._fenced and name not in self._log_fronts
        return not (row.health is HealthState.GONE and removed)
