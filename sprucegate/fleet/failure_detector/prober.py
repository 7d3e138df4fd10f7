"""Probes of other members: directly, then through helpers (SWIM, section 3; Lifeguard's local health multiplier)."""

from itertools import count
from typing import NamedTuple

from sprucegate.fleet.failure_detector.actions import ProbeAnswered, Send
from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.failure_detector.member_list import MemberList
from sprucegate.fleet.failure_detector.messages import Ack, Nack, Ping, PingRequest
from sprucegate.fleet.failure_detector.timers import TimerKind, TimerQueue
from sprucegate.fleet.failure_detector.timing import DetectorTiming
from sprucegate.fleet.random_source import RandomSource

RELAYS_MAX = 100
RELAY_LIFETIME_ACK_TIMEOUTS = 4  # how long the answer to a relayed probe is passed on, in ack timeouts


class Probe(NamedTuple):
    """The current probe: its target, its number and the target's incarnation."""

    target: str
    number: int
    incarnation: int


class Relay(NamedTuple):
    """A probe made for another member: who requested it, and the number of the request."""

    requester: str
    number: int


class Prober:
    """Probes one member per period, each member once per round in random order, and probes on behalf of others.

    :ivar local_health: Lifeguard's local health multiplier; 0 is healthy, higher values lengthen periods and timeouts
    :ivar digest: of this front's replicated records, sent with each probe
    """

    def __init__(
        self, members: MemberList, timers: TimerQueue, timing: DetectorTiming, random_source: RandomSource
    ) -> None:
        self.local_health = 0
        self.digest = 0
        self._members = members
        self._timers = timers
        self._timing = timing
        self._random_source = random_source
        self._numbers = count(1)
        self._probe: Probe | None = None
        self._nacks = 0
        self._round: list[str] = []
        self._relays: dict[int, Relay] = {}

    def worsen_health(self) -> None:
        """Raise the local health multiplier after a sign that this process itself is slow."""
        self.local_health = min(self._timing.local_health_max, self.local_health + 1)

    def abandon(self, now: int) -> None:
        """Abandon the current probe without a result, as this process didn't run meanwhile."""
        self._probe = None
        self.worsen_health()
        self._timers.clear((TimerKind.PROBE, TimerKind.ASK_HELPERS))
        self._timers.set(now + self._timing.probe_period, TimerKind.PROBE)

    def end_period(self) -> Member | None:
        """End a probe period; return the target if it didn't answer and may be suspected."""
        if self._probe is None:
            return None
        target = self._members.known.get(self._probe.target)
        helpers = min(self._timing.helpers, max(0, len(self._members.reachable()) - 1))
        # Helpers that send neither Ack nor Nack indicate that this process itself fails to receive messages.
        missed = helpers - self._nacks if helpers else 1
        if missed > 0:
            self.worsen_health()
        if target is None or target.incarnation != self._probe.incarnation or not target.is_reachable:
            return None
        return target

    def begin_period(self, now: int) -> list[Send]:
        """Probe the next member of the round."""
        self._probe, self._nacks = None, 0
        actions = []
        if (target := self._next_target()) is not None:
            number = next(self._numbers)
            self._probe = Probe(target.name, number, target.incarnation)
            ack_timeout = self._timing.ack_timeout * (1 + self.local_health)
            self._timers.set(now + ack_timeout, TimerKind.ASK_HELPERS, number)
            actions = [self._ping(target.name, number)]
        self._timers.set(now + self._timing.probe_period * (1 + self.local_health), TimerKind.PROBE)
        return actions

    def on_ask_helpers(self, number: int, _now: int) -> list[Send]:
        """The target hasn't answered in time: ask helpers to probe it."""
        if self._probe is None or self._probe.number != number:
            return []
        target = self._probe.target
        others = [m for m in self._members.reachable() if m.name != target and m.state == MemberState.ALIVE]
        return [
            Send(m.name, "", PingRequest(number, target, self._members.updates_for(m.name)))
            for m in self._random_source.pick("helpers", others, self._timing.helpers)
        ]

    def on_ping_request(self, sender: str, message: PingRequest, now: int) -> list[Send]:
        """Probe a target for another member."""
        target = self._members.known.get(message.target)
        if target is None or len(self._relays) > RELAYS_MAX:
            return []
        number = next(self._numbers)
        self._relays[number] = Relay(sender, message.number)
        ack_timeout = self._timing.ack_timeout
        # At 4/5 of the timeout, so that the Nack arrives before the requester gives up.
        self._timers.set(now + ack_timeout * 4 // 5, TimerKind.SEND_NACK, number)
        self._timers.set(now + RELAY_LIFETIME_ACK_TIMEOUTS * ack_timeout, TimerKind.FORGET_RELAY, number)
        return [self._ping(target.name, number)]

    def on_ack(self, sender: str, message: Ack) -> list[Send | ProbeAnswered]:
        """Relay the answer to a requested probe, or end this front's own probe as answered."""
        if (relay := self._relays.pop(message.number, None)) is not None:
            return [Send(relay.requester, "", Ack(relay.number, message.digest, []))]
        if self._probe is None or self._probe.number != message.number:
            return []
        target = self._probe.target
        self._probe = None
        self.local_health = max(0, self.local_health - 1)
        return [ProbeAnswered(target, sender == target)]

    def on_nack(self, message: Nack) -> None:
        """Count a helper that answered the request."""
        if self._probe is not None and self._probe.number == message.number:
            self._nacks += 1

    def on_send_nack(self, number: int, _now: int) -> list[Send]:
        """The target of a relayed probe hasn't answered yet: send a Nack, which shows that this helper is up."""
        relay = self._relays.get(number)
        return [Send(relay.requester, "", Nack(relay.number))] if relay is not None else []

    def on_forget_relay(self, number: int, _now: int) -> list[Send]:
        """Stop relaying the answer to a requested probe."""
        self._relays.pop(number, None)
        return []

    def _next_target(self) -> Member | None:
        known = self._members.known
        self._round = [name for name in self._round if name in known and known[name].is_reachable]
        if not self._round:
            names = [m.name for m in self._members.reachable()]
            self._round = self._random_source.pick("round", names, len(names))
        return known[self._round.pop()] if self._round else None

    def _ping(self, target: str, number: int) -> Send:
        return Send(target, "", Ping(number, target, self.digest, self._members.updates_for(target)))
