"""Suspicions: how long a suspected member has to refute (SWIM, section 4.2; Lifeguard, section IV-B)."""

from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.failure_detector.member_list import MemberList
from sprucegate.fleet.failure_detector.timers import TimerKind, TimerQueue
from sprucegate.fleet.failure_detector.timing import DetectorTiming


class SuspicionTime(NamedTuple):
    """When a suspicion began and when it times out, in ns."""

    began_at: int
    times_out_at: int


class Suspicions:
    """The suspected members, the accusers of each, and the timeouts."""

    def __init__(self, members: MemberList, timers: TimerQueue, timing: DetectorTiming) -> None:
        self._members = members
        self._timers = timers
        self._timing = timing
        self._accusers: dict[str, set[str]] = {}
        self._times: dict[str, SuspicionTime] = {}

    def begin(self, update: Member, now: int) -> None:
        """Begin the suspicion of a member."""
        self._accusers[update.name] = {update.reported_by}
        times_out_at = now + self._timing.suspicion_timeout(self._members.size(), 1)
        self._times[update.name] = SuspicionTime(now, times_out_at)
        self._timers.set(times_out_at, TimerKind.SUSPICION, update.name)

    def end(self, name: str) -> None:
        """End the suspicion of a member, if there is one."""
        self._accusers.pop(name, None)
        self._times.pop(name, None)

    def is_accusation(self, update: Member, known: Member) -> bool:
        """Tell whether the update accuses a member that is suspected already, of the same incarnation."""
        return (
            update.state == MemberState.SUSPECT
            and known.state == MemberState.SUSPECT
            and (update.incarnation, update.refutation) == (known.incarnation, known.refutation)
        )

    def add_accuser(self, update: Member, now: int) -> None:
        """Add an accuser, unless counted already: it shortens the timeout and is disseminated."""
        accusers = self._accusers[update.name]
        if update.reported_by in accusers or len(accusers) > self._timing.accusers_max:
            return
        accusers.add(update.reported_by)
        self._members.put(update)
        began_at = self._times[update.name].began_at
        times_out_at = began_at + self._timing.suspicion_timeout(self._members.size(), len(accusers))
        self._times[update.name] = SuspicionTime(began_at, times_out_at)
        self._timers.set(max(now, times_out_at), TimerKind.SUSPICION, update.name)

    def postpone(self, duration: int) -> None:
        """Prolong all suspicions by `duration` ns."""
        self._timers.clear((TimerKind.SUSPICION,))
        for name, (began_at, times_out_at) in self._times.items():
            self._times[name] = SuspicionTime(began_at + duration, times_out_at + duration)
            self._timers.set(times_out_at + duration, TimerKind.SUSPICION, name)

    def timed_out(self, name: str, now: int) -> Member | None:
        """Return the member whose suspicion has timed out; if it was prolonged, set its timer again."""
        times, member = self._times.get(name), self._members.known.get(name)
        if times is None or member is None:
            return None
        if times.times_out_at > now:
            self._timers.set(times.times_out_at, TimerKind.SUSPICION, name)
            return None
        return member
