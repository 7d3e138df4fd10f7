"""Detects ended processes by reset connections and a port that refuses new ones, well before a probe times out.

A refusal seen by one front alone doesn't make a member dead: this front and another one have to be refused.
"""

from typing import NamedTuple

from sprucegate.fleet.failure_detector.actions import CheckPort, Send
from sprucegate.fleet.failure_detector.member import MEMBERS_MAX, Member, MemberState
from sprucegate.fleet.failure_detector.member_list import MemberList
from sprucegate.fleet.failure_detector.messages import ConnectionRefused
from sprucegate.fleet.failure_detector.timers import TimerKind, TimerQueue
from sprucegate.fleet.failure_detector.timing import DetectorTiming
from sprucegate.fleet.random_source import RandomSource
from sprucegate.units import SECOND

NEVER_NS = -30 * SECOND  # the time of the last check for a port that was never checked
WITNESSES_NEEDED = 2  # this front and another
WITNESSES_KEPT = 3  # besides the latest


class Refusals(NamedTuple):
    """The witnesses: which members were refused by one incarnation of a member."""

    incarnation: int
    witnesses: tuple[str, ...]


class RefusalRepeat(NamedTuple):
    """A refusal that is sent again unless confirmed; `times`: how often it was sent before."""

    name: str
    incarnation: int
    times: int


NO_REFUSALS = Refusals(0, ())


class ProcessEnds:
    """Checks members' ports and collects the refusals that this front and others report."""

    def __init__(
        self, members: MemberList, timers: TimerQueue, timing: DetectorTiming, random_source: RandomSource
    ) -> None:
        self._members = members
        self._timers = timers
        self._timing = timing
        self._random_source = random_source
        self._refusals: dict[str, Refusals] = {}
        self._checked_at: dict[str, int] = {}
        self._ended: dict[str, int] = {}

    def check_port(self, name: str, now: int) -> list[Send | CheckPort]:
        """Return the check of a reachable member's port, at most one per `port_check_interval`."""
        member = self._members.known.get(name)
        if (
            member is None
            or name == self._members.own.name
            or not member.is_reachable
            or now - self._checked_at.get(name, NEVER_NS) < self._timing.port_check_interval
        ):
            return []
        if len(self._checked_at) >= MEMBERS_MAX:
            del self._checked_at[next(iter(self._checked_at))]
        self._checked_at[name] = now
        return [CheckPort(name, member.address, member.incarnation)]

    def on_refused(self, name: str, incarnation: int, witness: str, now: int) -> list[Send | CheckPort]:
        """Record a refusal seen by `witness`, and have others check too, or this front if it is another's refusal."""
        if self._reachable(name, incarnation) is None or name == self._members.own.name:
            return []
        own = self._members.own.name
        before = self._witnesses(name, incarnation)
        if witness in before:
            return [] if own in before else self.check_port(name, now)
        self._refusals[name] = Refusals(incarnation, (*before[-WITNESSES_KEPT:], witness))
        if witness == own:
            repeat = RefusalRepeat(name, incarnation, 1)
            self._timers.set(now + self._timing.port_check_interval, TimerKind.REPEAT_REFUSAL, repeat)
            others = [m for m in self._others(name) if m.state == MemberState.ALIVE]
            return self._notify(others, name, incarnation)
        return [] if own in before else self.check_port(name, now)

    def take_confirmed(self, name: str, incarnation: int) -> Member | None:
        """Return the member if this front and another were refused, and remember that its process ended."""
        member = self._reachable(name, incarnation)
        witnesses = self._witnesses(name, incarnation)
        if member is None or self._members.own.name not in witnesses or len(witnesses) < WITNESSES_NEEDED:
            return None
        self._ended[name] = incarnation
        return member

    def on_repeat(self, repeat: RefusalRepeat, now: int) -> list[Send | CheckPort]:
        """Send an unconfirmed refusal again: it may be lost, or others' connections may be reset a little later."""
        name, incarnation, times = repeat
        if (
            self._reachable(name, incarnation) is None
            or times > self._timing.refusal_repeats_max
            or self._refusals.get(name, NO_REFUSALS).incarnation != incarnation
        ):
            return []
        following = RefusalRepeat(name, incarnation, times + 1)
        self._timers.set(now + self._timing.port_check_interval, TimerKind.REPEAT_REFUSAL, following)
        return self._notify(self._others(name), name, incarnation)

    def has_ended(self, member: Member) -> bool:
        """Tell whether the end of that incarnation was confirmed before."""
        return self._ended.get(member.name) == member.incarnation

    def forget_refusals(self, name: str) -> None:
        """Forget the refusals by that member."""
        self._refusals.pop(name, None)

    def forget(self, name: str) -> None:
        """Forget everything about a member that is no longer known."""
        for table in (self._refusals, self._ended, self._checked_at):
            table.pop(name, None)

    def _reachable(self, name: str, incarnation: int) -> Member | None:
        member = self._members.known.get(name)
        if member is None or member.incarnation != incarnation or not member.is_reachable:
            return None
        return member

    def _witnesses(self, name: str, incarnation: int) -> tuple[str, ...]:
        refusals = self._refusals.get(name, NO_REFUSALS)
        return refusals.witnesses if refusals.incarnation == incarnation else ()

    def _others(self, name: str) -> list[Member]:
        return [m for m in self._members.reachable() if m.name != name]

    def _notify(self, others: list[Member], name: str, incarnation: int) -> list[Send | CheckPort]:
        return [
            Send(m.name, "", ConnectionRefused(name, incarnation))
            for m in self._random_source.pick("refused", others, self._timing.helpers)
        ]
