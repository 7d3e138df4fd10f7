"""A front among fronts: membership and replica as one. No I/O: (event, now) in, actions out.

Three things drive it: the service in a front, the deterministic driver of the tests, and what explores small instances.
Actions are those of the two modules; `Send` of either goes to a peer by name, or to an address.
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

MEMBERSHIP_MESSAGES = (
    messages.Ping,
    messages.Ack,
    messages.PingRequest,
    messages.Nack,
    messages.FullState,
    messages.ConnectionRefused,
)


class FleetNode:
    """The decisions of one process in the fleet joined: failure detector, replica and membership view."""

    def __init__(self, name, address, life, seeds, seed, now, timing=None, **replicas):
        """`life`: start << 32 | being, its start kept on disk before anything is told; `replicas`: see Replica."""
        chance = RandomSource(name, seed ^ life)
        own = Member(name, address, life, 0, int(MemberState.ALIVE), name)
        self.members = FailureDetector(own, seeds, chance, now, timing)
        self.replica, self.views = Replica(name, life, chance, now, **replicas), ViewTracker(now)

    def loaded(self, facts, lives, now):
        """Take what the disk had, before anything else happens."""
        self.replica.loaded(facts, lives, now)

    def starts(self, now):
        """From here on others are looked for, and asked once one is there."""
        self.replica.phase, self.replica.ask_until = CatchUpPhase.ASKING, now + self.replica.alone_after
        self.replica.moved = now
        self.replica.unmet = bool(self.members.unmet_seeds())
        return self.due(now)

    def told(self, key, value, now):
        """Take a record of this front's own."""
        return self._lives(self.replica.told(key, value, now), now)

    def heard(self, sender, message, now):
        """Take a message of another process."""
        self.views.on_frame(sender, now)
        if isinstance(message, MEMBERSHIP_MESSAGES):
            done = self._followed(self.members.on_message(sender, message, now), now)
            # Neighbours alone could be a closed circle: a probe comes from anywhere.
            held = message.digest if isinstance(message, messages.Ping | messages.Ack) else 0
            return self._lives(done + (self.replica.compared(sender, held, now) if held else []), now)
        return self._lives(self.replica.heard(sender, message, now), now)

    def reset(self, name, now):
        """A connection to that process ended."""
        return self.members.on_connection_reset(name, now)

    def refused(self, name, life, now):
        """That process's port refused a connection."""
        return self._followed(self.members.on_connection_refused(name, life, now), now)

    def due(self, now):
        """Run what is due by `now` (monotonic ns)."""
        done = []
        if self.members.next_deadline() <= now:
            self.members.set_digest(self.replica.digest())
            done = self._followed(self.members.on_timer(now), now)
        if self.replica.next_due() <= now:
            self.replica.unmet = self.replica.phase is CatchUpPhase.ASKING and bool(
                self.members.unmet_seeds()
            )
            done += self.replica.due(now)
        return self._lives(done, now) + self.views.on_timer(now)

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns)."""
        return min(self.members.next_deadline(), self.replica.next_due(), self.views.next_deadline())

    def renewed(self, start, alias):
        """Go on as another incarnation, and under `alias` where another process bears the name."""
        self.members.renew(start, alias)
        self.replica.renewed(self.members.own.name, self.members.own.incarnation)

    def synced(self, number, now):
        """A write is on disk."""
        return self._lives(self.replica.synced(number, now), now)

    def not_kept(self, number, fault, now):
        """A write failed."""
        return self._lives(self.replica.not_kept(number, fault, now), now)

    def leaves(self, now):
        """Tell the others that this process leaves."""
        return self.members.leave()

    def _lives(self, actions, now):
        if any(isinstance(action, CaughtUp) for action in actions):
            self.views.on_caught_up(now)
        return actions

    def _followed(self, actions, now):
        """What membership finds goes to the replica at once."""
        done = []
        for action in actions:
            if isinstance(action, membership_actions.ProbeAnswered):
                self.views.on_probe_answered(action.name, action.direct, now)
                continue
            if isinstance(action, membership_actions.ProcessStalled):
                self.views.on_stall(now)
                continue
            done.append(action)
            if isinstance(action, membership_actions.MemberChanged):
                self.views.on_member_changed(action.member, now)
                there, before = (
                    allows(PeerAction.TELL, HEALTH_STATE_OF_MEMBER[action.member.state]),
                    action.before,
                )
                if before is not None and before.incarnation != action.member.incarnation:
                    # Another life may have lost its disk: what the former one had seen counts no more.
                    done += self.replica.stands(before.name, False, now)
                    self.replica.gone.pop(before.name, None)
                if there != (action.member.name in self.replica.peers):
                    done += self.replica.stands(action.member.name, there, now)
                    first = self.replica.phase is CatchUpPhase.ASKING and not self.replica.meet_at
                    done += self.replica.asks(now) if there and first else []
            elif isinstance(action, membership_actions.DeclaredDead):
                done += self.replica.fenced(now)
        return done


def outgoing(action):
    """(name, address, message, whether it is facts) of a Send of either module; None of any other action."""
    if isinstance(action, membership_actions.Send):
        return action.to, action.address, action.message, False
    if isinstance(action, replica.SendMessage):
        return action.to, "", action.message, action.guard
    return None
