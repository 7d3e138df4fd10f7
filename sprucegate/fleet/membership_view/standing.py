"""How one front stands, by all that is known of it. No I/O, no clock.

Members, links and the agreed log each say something of a front, and can contradict each other; `reads` is the one place
that makes one standing of it. Times in ns.
"""

from enum import IntEnum
from math import log2
from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import MemberState

MS, S = 1_000_000, 1_000_000_000
HEARD = 1500 * MS  # a frame that came so lately: it is heard
AFTER = 100 * MS  # behind an accusation, from which on a frame speaks against it: one may have been under way
INDIRECT = 2  # probes in a row that only helpers saw answered
JOINING = 2 * S  # in which one that just came need not stand in the log yet
# Damping as of routes that flap (RFC 2439): each loss adds one, half of it is forgotten in HALF.
HALF, FLAPS, CALM, LOSSES_MOST = 30 * S, 2.5, 1.0, 6.0


class HealthState(IntEnum):
    LIVE = 0
    SUSPECT = 1  # accused, or seen for less than what makes bold
    ONE_WAY = 2  # it is heard, and hears not: accused or gone by its answers, and frames of it still come
    CUT_OFF = 3  # others reach it and this front does not, or it follows no keeper
    FLAPPING = 4  # it came and went too often; its own traffic goes on
    LEAVING = 5  # it said that it goes
    GONE = 6
    OTHER_BUILD = 7  # it speaks another format


HEALTH_STATE_OF_MEMBER = {
    MemberState.ALIVE: HealthState.LIVE,
    MemberState.SUSPECT: HealthState.SUSPECT,
    MemberState.DEAD: HealthState.GONE,
    MemberState.LEFT: HealthState.LEAVING,
}


class ViewRow(NamedTuple):
    """`by`: whose word it rests on, a front's name, `keepers` or `links`."""

    standing: HealthState
    by: str
    since: int
    life: int


class PeerHealth:
    """What is known of one front."""

    def __init__(self):
        self.word, self.by, self.life, self.word_at, self.met_at = HealthState.LIVE, "", 0, 0, 0
        self.heard_at, self.indirect, self.format = -1 << 62, 0, False
        self.losses, self.losses_at, self.damped = 0.0, 0, False

    def told(self, member, now):
        """The members' word changed."""
        word = HEALTH_STATE_OF_MEMBER[MemberState(member.state)]
        fresh = member.incarnation != self.life
        if not self.life:
            self.met_at = now
        elif (
            fresh
            and self.word not in (HealthState.LEAVING, HealthState.GONE)
            or word is HealthState.GONE
            and (self.word is not HealthState.GONE)
        ):
            self.lost(now)  # a restart that was not announced, or a loss: not a planned one
        if fresh:
            self.indirect, self.format, self.heard_at = 0, False, -1 << 62
        if fresh or word is not self.word:
            self.word_at = now
        self.word, self.by, self.life = word, member.reported_by, member.incarnation

    def lost(self, now):
        self.losses = min(LOSSES_MOST, self._left(now) + 1)
        self.losses_at = now
        self.damped = self.damped or self.losses >= FLAPS

    def _left(self, now):
        return self.losses * 0.5 ** ((now - self.losses_at) / HALF)

    def calm_at(self):
        """When it flaps no more: half of its losses forgotten again and again, 78 s at most after the last."""
        return self.losses_at + int(HALF * log2(max(1.0, self.losses / CALM)))

    def reads(self, agreed, now):
        """(standing, by). `agreed`: whether the log counts it; None where no log is, or none can be asked now."""
        if self.damped and now >= self.calm_at():
            self.damped = False
        if self.format:
            return HealthState.OTHER_BUILD, "links"
        if self.word is HealthState.LEAVING:
            return self.word, self.by
        if self.word in (HealthState.SUSPECT, HealthState.GONE):
            # Frames that left before the accusation say nothing against it.
            heard = self.heard_at > self.word_at + AFTER and now - self.heard_at < HEARD
            return (HealthState.ONE_WAY, "links") if heard else (self.word, self.by)
        if self.damped:
            return HealthState.FLAPPING, self.by
        if self.indirect >= INDIRECT:
            return HealthState.CUT_OFF, "links"
        if agreed is False and now - self.met_at >= JOINING and now - self.word_at >= JOINING:
            return HealthState.CUT_OFF, "keepers"
        return HealthState.LIVE, self.by

    def changes_at(self, agreed, now):
        """When time alone makes another standing of it; None: never."""
        times = [self.calm_at()] if self.damped else []
        if self.word in (HealthState.SUSPECT, HealthState.GONE) and self.heard_at > self.word_at + AFTER:
            times.append(self.heard_at + HEARD)
        if agreed is False and self.word is HealthState.LIVE:
            times.append(max(self.met_at, self.word_at) + JOINING)
        return min([at for at in times if at > now], default=None)
