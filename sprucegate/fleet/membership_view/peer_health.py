"""The health of one front, from the failure detector, connections and the consensus log. Times in ns.

The three may contradict each other; `PeerHealth.health` decides.
"""

from math import log2
from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.membership_view.health_state import HEALTH_STATE_OF_MEMBER, HealthState
from sprucegate.units import MILLISECOND, SECOND

FRAME_RECENT_NS = 1500 * MILLISECOND
FRAME_TRANSIT_NS = 100 * MILLISECOND  # an earlier frame may have been sent before the suspicion
INDIRECT_PROBES_MIN = 2  # consecutive ones, for CUT_OFF
JOIN_NS = 2 * SECOND  # for which a new front may be missing in the consensus log

# Route flap damping (RFC 2439): each loss adds 1 to a penalty that halves every half-life.
PENALTY_HALF_LIFE_NS = 30 * SECOND
PENALTY_SUPPRESS = 2.5
PENALTY_REUSE = 1.0
PENALTY_MAX = 6.0

NEVER_NS = -1 << 62
BY_CONNECTIONS = "links"
BY_CONSENSUS = "keepers"


class HealthReport(NamedTuple):
    """A health state and who it is based on: a front's name, BY_CONNECTIONS or BY_CONSENSUS."""

    health: HealthState
    source: str


class PeerHealth:
    """Evidence on the health of one front.

    :ivar member_health: the failure detector's result
    :ivar incarnation: of the front's process, 0 if unknown
    :ivar last_frame_at: when the last frame from it arrived
    :ivar indirect_probes: consecutive probes that were answered only through helpers
    :ivar other_version: whether it speaks another version of the protocol
    :ivar damped: whether it is suppressed for flapping
    """

    def __init__(self) -> None:
        self.member_health = HealthState.LIVE
        self.incarnation = 0
        self.last_frame_at = NEVER_NS
        self.indirect_probes = 0
        self.other_version = False
        self.damped = False
        self._source = ""
        self._member_health_at = 0
        self._met_at = 0
        self._penalty = 0.0
        self._penalty_at = 0

    def on_member_changed(self, member: Member, now: int) -> None:
        """Take a changed record of the failure detector."""
        health = HEALTH_STATE_OF_MEMBER[MemberState(member.state)]
        restarted = member.incarnation != self.incarnation
        if not self.incarnation:
            self._met_at = now
        elif self._is_unannounced_loss(health, restarted):
            self._add_penalty(now)
        if restarted:
            self.indirect_probes = 0
            self.other_version = False
            self.last_frame_at = NEVER_NS
        if restarted or health is not self.member_health:
            self._member_health_at = now
        self.member_health = health
        self._source = member.reported_by
        self.incarnation = member.incarnation

    def damped_until(self) -> int:
        """Return when flapping ends: 78 s at most after the last loss."""
        half_lives = log2(max(1.0, self._penalty / PENALTY_REUSE))
        return self._penalty_at + int(PENALTY_HALF_LIFE_NS * half_lives)

    def health(self, in_log: bool | None, now: int) -> HealthReport:
        """Return the health; `in_log`: whether the consensus log lists the front, None if the log is unknown."""
        if self.damped and now >= self.damped_until():
            self.damped = False
        if self.other_version:
            return HealthReport(HealthState.OTHER_BUILD, BY_CONNECTIONS)
        if self.member_health is not HealthState.LIVE:
            return self._health_of_unreachable(now)
        if self.damped:
            return HealthReport(HealthState.FLAPPING, self._source)
        if self.indirect_probes >= INDIRECT_PROBES_MIN:
            return HealthReport(HealthState.CUT_OFF, BY_CONNECTIONS)
        if in_log is False and now - max(self._met_at, self._member_health_at) >= JOIN_NS:
            return HealthReport(HealthState.CUT_OFF, BY_CONSENSUS)
        return HealthReport(HealthState.LIVE, self._source)

    def next_change_at(self, in_log: bool | None, now: int) -> int | None:
        """Return when the health changes by the passage of time alone, or None."""
        times = [self.damped_until()] if self.damped else []
        if self.member_health in (HealthState.SUSPECT, HealthState.GONE) and self._frame_after_suspicion():
            times.append(self.last_frame_at + FRAME_RECENT_NS)
        if in_log is False and self.member_health is HealthState.LIVE:
            times.append(max(self._met_at, self._member_health_at) + JOIN_NS)
        return min([at for at in times if at > now], default=None)

    def _health_of_unreachable(self, now: int) -> HealthReport:
        if self.member_health is not HealthState.LEAVING:
            recent = now - self.last_frame_at < FRAME_RECENT_NS
            if self._frame_after_suspicion() and recent:
                return HealthReport(HealthState.ONE_WAY, BY_CONNECTIONS)
        return HealthReport(self.member_health, self._source)

    def _frame_after_suspicion(self) -> bool:
        return self.last_frame_at > self._member_health_at + FRAME_TRANSIT_NS

    def _is_unannounced_loss(self, health: HealthState, restarted: bool) -> bool:
        if restarted and self.member_health not in (HealthState.LEAVING, HealthState.GONE):
            return True
        return health is HealthState.GONE and self.member_health is not HealthState.GONE

    def _add_penalty(self, now: int) -> None:
        remaining = self._penalty * 0.5 ** ((now - self._penalty_at) / PENALTY_HALF_LIFE_NS)
        self._penalty = min(PENALTY_MAX, remaining + 1)
        self._penalty_at = now
        self.damped = self.damped or self._penalty >= PENALTY_SUPPRESS
