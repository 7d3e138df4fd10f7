"""The failure detector of one front: SWIM with Lifeguard's extensions. No I/O, no clock.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
DSN 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
DSN-W 2018: local health multiplier, suspicion timeout by accusers, buddy system. Times are ns on any monotonic clock.

An incarnation is `start << 32 | random bits`: the count of starts is kept on disk, the bits are drawn at each start, so
that no two processes share an incarnation even if a disk was copied or restored.
"""

from collections.abc import Callable
from typing import Any

from sprucegate.fleet.failure_detector.actions import (
    DeclaredDead,
    MemberChanged,
    NameConflict,
    ProcessStalled,
    Send,
)
from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.failure_detector.member_list import MemberList
from sprucegate.fleet.failure_detector.messages import (
    Ack,
    ConnectionRefused,
    FullState,
    Nack,
    Ping,
    PingRequest,
)
from sprucegate.fleet.failure_detector.prober import Prober
from sprucegate.fleet.failure_detector.process_end import ProcessEnds
from sprucegate.fleet.failure_detector.suspicion import Suspicions
from sprucegate.fleet.failure_detector.timers import TimerKind, TimerQueue
from sprucegate.fleet.failure_detector.timing import DetectorTiming
from sprucegate.fleet.random_source import RandomSource
from sprucegate.units import SECOND

JOIN_PERIOD_NS = 30 * SECOND  # after the start, in which configured addresses are tried more often
JOIN_RECONNECT_FACTOR = 4  # by which the reconnect period is shorter while joining
START_BITS = 32  # an incarnation's lower bits, which are random
RANDOM_BITS_MASK = (1 << START_BITS) - 1

Actions = list[Any]


class FailureDetector:
    """Detects failed members by probes and disseminates membership updates: messages and time in, actions out.

    :param own: this front's record, of a new incarnation
    :param seeds: configured addresses of members
    :param random_source: this front's source of random choices
    :param now: ns
    """

    def __init__(
        self,
        own: Member,
        seeds: list[str],
        random_source: RandomSource,
        now: int,
        timing: DetectorTiming | None = None,
    ) -> None:
        self._timing = timing or DetectorTiming()
        self._random_source = random_source
        self._seeds = [address for address in seeds if address != own.address]
        self._members = MemberList(own, self._timing)
        self._timers = TimerQueue()
        self._prober = Prober(self._members, self._timers, self._timing, random_source)
        self._process_ends = ProcessEnds(self._members, self._timers, self._timing, random_source)
        self._suspicions = Suspicions(self._members, self._timers, self._timing)
        self._started_at = now
        self._met_another = False
        self._renewals = 0
        self._renewal_pending = False
        self._timer_handlers: dict[TimerKind, Callable[[Any, int], Actions]] = {
            TimerKind.PROBE: self._on_probe_timer,
            TimerKind.ASK_HELPERS: self._prober.on_ask_helpers,
            TimerKind.SEND_NACK: self._prober.on_send_nack,
            TimerKind.FORGET_RELAY: self._prober.on_forget_relay,
            TimerKind.SUSPICION: self._on_suspicion_timer,
            TimerKind.SYNC: self._on_sync_timer,
            TimerKind.RECONNECT: self._on_reconnect_timer,
            TimerKind.REPEAT_REFUSAL: self._process_ends.on_repeat,
        }
        self._message_handlers: dict[type, Callable[[str, Any, int], Actions]] = {
            Ping: self._on_ping,
            PingRequest: self._on_ping_request,
            Ack: self._on_ack,
            Nack: self._on_nack,
            FullState: self._on_full_state,
            ConnectionRefused: self._on_connection_refused,
        }
        self._timers.set(now, TimerKind.PROBE)
        self._timers.set(now + self._timing.sync_period, TimerKind.SYNC)
        self._timers.set(now, TimerKind.RECONNECT)

    @property
    def own(self) -> Member:
        """This front's own record."""
        return self._members.own

    @property
    def known(self) -> dict[str, Member]:
        """The records of all known members by name, this front's own included."""
        return self._members.known

    @property
    def local_health(self) -> int:
        """Lifeguard's local health multiplier: 0 is healthy."""
        return self._prober.local_health

    def reachable(self) -> list[Member]:
        """Return the other members that are alive or suspected, by name."""
        return self._members.reachable()

    def unmet_seeds(self) -> list[str]:
        """Return the configured addresses at which no member is known."""
        addresses = {m.address for m in self.known.values()}
        return [address for address in self._seeds if address not in addresses]

    def set_digest(self, digest: int) -> None:
        """Set the digest of this front's replicated records, which is sent with probes."""
        self._prober.digest = digest

    def next_deadline(self) -> int | None:
        """Return when `on_timer` is to be called, in ns."""
        return self._timers.next_deadline()

    def on_timer(self, now: int) -> Actions:
        """Handle the timers that have expired by `now`."""
        actions: Actions = []
        deadline = self._timers.next_deadline()
        if deadline is not None and now - deadline > self._timing.probe_period:
            actions.append(ProcessStalled(now - deadline))
            self._on_stall(now - deadline, now)
        while (timer := self._timers.pop_expired(now)) is not None:
            actions += self._timer_handlers[timer.kind](timer.subject, now)
        return actions

    def on_message(self, sender: str, message: object, now: int) -> Actions:
        """Handle a message; `sender` is the name given in the connection's greeting."""
        if sender in self.known and sender != self.own.name:
            self._met_another = True
        handler = self._message_handlers.get(type(message))
        return handler(sender, message, now) if handler is not None else []

    def on_connection_reset(self, name: str, now: int) -> Actions:
        """A member closed a connection: its process may have ended, or it no longer needed the connection."""
        return list(self._process_ends.check_port(name, now))

    def on_connection_refused(self, name: str, incarnation: int, now: int) -> Actions:
        """That member's port refused a connection of this front."""
        return self._on_refusal(name, incarnation, self.own.name, now)

    def leave(self) -> list[Send]:
        """Announce that this front leaves the fleet on purpose."""
        self._members.change_own(state=int(MemberState.LEFT))
        message = FullState([self.own], False)
        receivers = self._random_source.pick("leave", self.reachable(), self._timing.updates_per_message)
        return [Send(m.name, "", message) for m in receivers]

    def renew(self, start: int, alias: str) -> None:
        """Become a new incarnation, whose start count is on disk; with `alias`, under that name."""
        self._renewal_pending = False
        self._renewals += 1
        if alias:
            self._members.rename_own(alias)
        incarnation = start << START_BITS | self.own.incarnation & RANDOM_BITS_MASK
        self._members.change_own(incarnation=incarnation, refutation=0)

    # Messages.

    def _on_ping(self, sender: str, message: Ping, now: int) -> Actions:
        actions = self._apply_all(message.updates, now)
        if message.to != self.own.name:
            return actions  # meant for a member that had this address before
        answer = Ack(message.number, self._prober.digest, self._members.updates_for(sender))
        return [*actions, Send(sender, "", answer)]

    def _on_ping_request(self, sender: str, message: PingRequest, now: int) -> Actions:
        actions = self._apply_all(message.updates, now)
        return actions + self._prober.on_ping_request(sender, message, now)

    def _on_ack(self, sender: str, message: Ack, now: int) -> Actions:
        actions = self._apply_all(message.updates, now)
        return actions + self._prober.on_ack(sender, message)

    def _on_nack(self, _sender: str, message: Nack, _now: int) -> Actions:
        self._prober.on_nack(message)
        return []

    def _on_full_state(self, sender: str, message: FullState, now: int) -> Actions:
        actions = self._apply_all(message.members, now)
        if message.reply_requested:
            actions.append(Send(sender, "", FullState(self._members.all(), False)))
        return actions

    def _on_connection_refused(self, sender: str, message: ConnectionRefused, now: int) -> Actions:
        return self._on_refusal(message.name, message.incarnation, sender, now)

    def _on_refusal(self, name: str, incarnation: int, witness: str, now: int) -> Actions:
        actions: Actions = list(self._process_ends.on_refused(name, incarnation, witness, now))
        member = self._process_ends.take_confirmed(name, incarnation)
        if member is not None:
            actions += self._report(member, MemberState.DEAD, now)
        return actions

    # Timers.

    def _on_stall(self, duration: int, now: int) -> None:
        """This process didn't run and may have unread answers: abandon the probe, postpone the end of suspicions."""
        self._prober.abandon(now)
        self._suspicions.postpone(duration)

    def _on_probe_timer(self, _subject: None, now: int) -> Actions:
        silent = self._prober.end_period()
        actions = self._report(silent, MemberState.SUSPECT, now) if silent is not None else []
        return actions + self._prober.begin_period(now)

    def _on_suspicion_timer(self, name: str, now: int) -> Actions:
        member = self._suspicions.timed_out(name, now)
        return self._report(member, MemberState.DEAD, now) if member is not None else []

    def _on_sync_timer(self, _subject: None, now: int) -> Actions:
        self._timers.set(now + self._timing.sync_period, TimerKind.SYNC)
        partners = self._random_source.pick("sync", self.reachable())
        return [Send(m.name, "", FullState(self._members.all(), True)) for m in partners]

    def _on_reconnect_timer(self, _subject: None, now: int) -> Actions:
        """Try dead members and configured addresses again, as a partition may last longer than a suspicion.

        While joining, all of them are tried: fronts that start together may have met only one another.
        """
        unmet = self.unmet_seeds()
        joining = not self._met_another or (unmet and now - self._started_at < JOIN_PERIOD_NS)
        period = self._timing.reconnect_period // (JOIN_RECONNECT_FACTOR if joining else 1)
        self._timers.set(now + period, TimerKind.RECONNECT)
        dead = [m.address for m in self.known.values() if m.state == MemberState.DEAD]
        addresses = sorted(dead + unmet)
        picked = self._random_source.pick("reach", addresses, len(addresses) if joining else 1)
        return [Send("", address, FullState(self._members.all(), True)) for address in picked]

    # Updates.

    def _report(self, member: Member, state: MemberState, now: int) -> Actions:
        """Apply a state that this front itself found of a member."""
        return self._apply(member._replace(state=int(state), reported_by=self.own.name), now)

    def _apply_all(self, updates: list[Member], now: int) -> Actions:
        return [action for update in updates for action in self._apply(update, now)]

    def _apply(self, update: Member, now: int) -> Actions:
        """Apply an update if it overrides the known record."""
        if update.name == self.own.name:
            return self._apply_own(update)
        before = self.known.get(update.name)
        if before is None:
            if not self._make_room():
                return []
        elif self._suspicions.is_accusation(update, before):
            self._suspicions.add_accuser(update, now)
            return []
        elif not update.overrides(before):
            return []
        self._members.put(update)
        self._suspicions.end(update.name)
        return [MemberChanged(update, before), *self._after_change(update, before, now)]

    def _after_change(self, update: Member, before: Member | None, now: int) -> Actions:
        if update.state == MemberState.ALIVE and self._process_ends.has_ended(update):
            # Messages sent before the process ended may arrive later: its port is checked before it counts as alive.
            return list(self._process_ends.check_port(update.name, now))
        if update.state == MemberState.DEAD and before is not None and before.is_reachable:
            # Each member that learns of it notifies others at once: piggybacking alone takes seconds to reach all.
            self._process_ends.forget_refusals(update.name)
            receivers = self._random_source.pick("gone", self.reachable(), self._timing.helpers)
            return [Send(m.name, "", FullState([update], False)) for m in receivers]
        if update.state == MemberState.SUSPECT:
            self._suspicions.begin(update, now)
        return []

    def _apply_own(self, update: Member) -> Actions:
        """Refute updates on this front, or detect that another process has its name."""
        if update.incarnation == self.own.incarnation:
            return self._refute(update)
        if update.incarnation < self.own.incarnation:
            # From an earlier process of this front, or another of its name that hasn't learned of this one.
            self._members.announce_own()
            return []
        if self._renewal_pending:
            return []
        self._renewal_pending = True
        return [self._name_conflict(update)]

    def _refute(self, update: Member) -> Actions:
        if (
            update.state == MemberState.ALIVE
            or self.own.state == MemberState.LEFT
            or update.refutation < self.own.refutation
        ):
            return []
        self._prober.worsen_health()
        self._members.change_own(refutation=update.refutation + 1)
        return [DeclaredDead()] if update.state >= MemberState.DEAD else []

    def _name_conflict(self, update: Member) -> NameConflict:
        """If both processes are alive, one takes an alias: else both would raise their incarnations for ever."""
        own_bits = self.own.incarnation & RANDOM_BITS_MASK
        other_bits = update.incarnation & RANDOM_BITS_MASK
        alias = f"{self.own.name}~{own_bits:08x}" if self._renewals and own_bits > other_bits else ""
        return NameConflict(self.own.incarnation, update.incarnation, update.incarnation >> START_BITS, alias)

    def _make_room(self) -> bool:
        """Tell whether a new member can be added; one that left or is dead is removed for it if needed."""
        if not self._members.is_full():
            return True
        removed = self._members.remove_unreachable()
        if removed is not None:
            self._process_ends.forget(removed)
        return removed is not None
