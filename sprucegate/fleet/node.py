"""The decisions of one process in the fleet: failure detector, replica and membership view. No I/O, no clock.

Events and the time go in, actions come out. It is driven by the fleet service, by the deterministic simulator of the
tests, and by the explorer of small instances. The actions are those of the three modules; a `Send` or `SendMessage`
goes to a peer by name, or to an address.
"""

from sprucegate.fleet.failure_detector import actions as membership_actions
from sprucegate.fleet.failure_detector import messages
from sprucegate.fleet.failure_detector.detector import FailureDetector
from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.membership_view.degraded_mode import PeerAction, allows
from sprucegate.fleet.membership_view.health_state import HEALTH_STATE_OF_MEMBER
from sprucegate.fleet.membership_view.tracker import ViewTracker
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.replica import replica
from sprucegate.fleet.replica.replica import CatchUpPhase, CaughtUp, Replica

DETECTOR_MESSAGES = (
    messages.Ping,
    messages.Ack,
    messages.PingRequest,
    messages.Nack,
    messages.FullState,
    messages.ConnectionRefused,
)


class FleetNode:
    """Joins the failure detector, the replica and the membership view of one process."""

    def __init__(self, name, address, incarnation, seeds, seed, now, timing=None, **replica_options):
        """`incarnation`: start << 32 | random bits, with the start durable before anything is sent.

        `replica_options`: see Replica.
        """
        chance = RandomSource(name, seed ^ incarnation)
        own = Member(name, address, incarnation, 0, int(MemberState.ALIVE), name)
        self.members = FailureDetector(own, seeds, chance, now, timing)
        self.replica = Replica(name, incarnation, chance, now, **replica_options)
        self.views = ViewTracker(now)

    def load(self, records, seen, now):
        """Take what the disk had, before any other event."""
        self.replica.load(records, seen, now)

    def start(self, now):
        """Begin to look for peers, and to catch up once one is met."""
        self.replica.phase = CatchUpPhase.ASKING
        self.replica.catch_up_deadline = now + self.replica.alone_after
        self.replica.progress_at = now
        self.replica.seeds_unmet = bool(self.members.unmet_seeds())
        return self.on_timer(now)

    def on_own_record(self, key, value, now):
        """Take a record from a source of this process's own."""
        return self._note_caught_up(self.replica.on_own_record(key, value, now), now)

    def on_message(self, sender, message, now):
        """Take a message of another process."""
        self.views.on_frame(sender, now)
        if isinstance(message, DETECTOR_MESSAGES):
            actions = self._apply_member_changes(self.members.on_message(sender, message, now), now)
            # Digests of neighbours alone could miss a difference, as they may form a closed group: probes reach all.
            digest = message.digest if isinstance(message, messages.Ping | messages.Ack) else 0
            return self._note_caught_up(
                actions + (self.replica.on_digest(sender, digest, now) if digest else []), now
            )
        return self._note_caught_up(self.replica.on_message(sender, message, now), now)

    def on_connection_reset(self, name, now):
        """A connection to that process ended."""
        return self.members.on_connection_reset(name, now)

    def on_connection_refused(self, name, incarnation, now):
        """That process's port refused a connection."""
        return self._apply_member_changes(self.members.on_connection_refused(name, incarnation, now), now)

    def on_timer(self, now):
        """Run what is due by `now` (monotonic ns)."""
        actions = []
        if self.members.next_deadline() <= now:
            self.members.set_digest(self.replica.digest())
            actions = self._apply_member_changes(self.members.on_timer(now), now)
        if self.replica.next_deadline() <= now:
            self.replica.seeds_unmet = self.replica.phase is CatchUpPhase.ASKING and bool(
                self.members.unmet_seeds()
            )
            actions += self.replica.on_timer(now)
        return self._note_caught_up(actions, now) + self.views.on_timer(now)

    def next_deadline(self):
        """Return when `on_timer` is to be called next (monotonic ns)."""
        return min(self.members.next_deadline(), self.replica.next_deadline(), self.views.next_deadline())

    def renew(self, start, alias):
        """Go on as a new incarnation, and under `alias` where another process bears the name."""
        self.members.renew(start, alias)
        self.replica.renew(self.members.own.name, self.members.own.incarnation)

    def on_written(self, number, now):
        """The write of that number is durable."""
        return self._note_caught_up(self.replica.on_written(number, now), now)

    def on_write_failed(self, number, fault, now):
        """The write of that number failed."""
        return self._note_caught_up(self.replica.on_write_failed(number, fault, now), now)

    def leave(self, now):
        """Tell the others that this process leaves."""
        return self.members.leave()

    def _note_caught_up(self, actions, now):
        if any(isinstance(action, CaughtUp) for action in actions):
            self.views.on_caught_up(now)
        return actions

    def _apply_member_changes(self, actions, now):
        """Pass what the failure detector found on to the view and the replica at once."""
        applied = []
        for action in actions:
            if isinstance(action, membership_actions.ProbeAnswered):
                self.views.on_probe_answered(action.name, action.direct, now)
                continue
            if isinstance(action, membership_actions.ProcessStalled):
                self.views.on_stall(now)
                continue
            applied.append(action)
            if isinstance(action, membership_actions.MemberChanged):
                self.views.on_member_changed(action.member, now)
                reachable = allows(PeerAction.SEND_UPDATES, HEALTH_STATE_OF_MEMBER[action.member.state])
                before = action.before
                if before is not None and before.incarnation != action.member.incarnation:
                    # A new incarnation may have lost its disk: what the earlier one had seen no longer counts.
                    applied += self.replica.on_peer_changed(before.name, False, now)
                    self.replica.former_peers.pop(before.name, None)
                if reachable != (action.member.name in self.replica.peers):
                    applied += self.replica.on_peer_changed(action.member.name, reachable, now)
                    is_first = self.replica.phase is CatchUpPhase.ASKING and not self.replica.ask_not_before
                    applied += self.replica.begin_catch_up(now) if reachable and is_first else []
            elif isinstance(action, membership_actions.DeclaredDead):
                applied += self.replica.on_declared_dead(now)
        return applied


def outgoing(action):
    """Return (name, address, message, carries_records) of a message to send; None for any other action."""
    if isinstance(action, membership_actions.Send):
        return action.to, action.address, action.message, False
    if isinstance(action, replica.SendMessage):
        return action.to, "", action.message, action.carries_records
    return None
