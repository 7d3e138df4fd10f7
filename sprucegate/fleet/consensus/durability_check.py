"""Detects that a voter lost persistent state, and gives such a voter a new identity. No I/O, no clock.

A voter whose folder was lost, or restored from an older copy, could vote twice in a term and forget entries that it
acknowledged. It can't detect this alone, but its peers can: each start is counted on disk and announced to the other
voters, which persist it, before the voter sends anything else. A voter that announces a start that isn't later than the
one known of it has lost state: it rejoins under another name, as a new member without votes or entries, and the leader
admits it.

A voter whose folder has voted before needs as many confirmations as form a majority with itself. It must also have
announced its start `ANNOUNCEMENTS_MIN` times to all peers, so that a peer that knows a later start had time to say so.
Known starts are passed on to all peers, as the peer that knows one may be gone later. A voter whose folder never voted
needs confirmations of most of its peers, and its own confirmations count only for other such voters.

Not covered: a voter with a restored folder may vote while no peer that knows its later start can be reached; it stops
at the first message of such a peer. Two folders that are restored at the same time are not told apart.
"""

from typing import NamedTuple

from sprucegate.fleet.consensus.actions import SendMessage
from sprucegate.units import MILLISECOND, SECOND

ANNOUNCEMENT_INTERVAL = 100 * MILLISECOND
ANNOUNCEMENTS_MIN = (
    6  # before less than all peers suffice; a count, not a time, as the process may be suspended
)
GOSSIP_INTERVAL = SECOND  # between announcements to peers that may lack a known start
KNOWN_STARTS_MAX = 1000
# Separates a voter's configured name from the suffix of a later identity. Fronts with duplicate names use "~" instead.
NAME_SEPARATOR = "^"
NEVER = 1 << 62

Starts = dict[str, tuple[int, int]]  # voter -> (start count, incarnation)


class StartAnnouncement(NamedTuple):
    """Announces a voter's start, for its peers to persist, with all starts that it knows.

    :ivar start_count: how often the folder was opened
    :ivar incarnation: random number of this start
    :ivar known_starts: the starts known to the sender, including its own
    """

    start_count: int
    incarnation: int
    known_starts: Starts


class StartConfirmation(NamedTuple):
    """Response to a StartAnnouncement, sent once the start is on the sender's disk.

    :ivar start_count: as announced
    :ivar incarnation: as announced
    :ivar accepted: whether the start is persisted; False if the sender knows another start that is as late or later
    :ivar never_voted: whether the sender itself never took part in an election
    :ivar known_starts: the starts known to the sender, including its own
    """

    start_count: int
    incarnation: int
    accepted: bool
    never_voted: bool
    known_starts: Starts


class VotingAllowed(NamedTuple):
    """Action: this voter may vote from now on.

    :ivar confirmed_by: the peers that confirmed its start
    """

    confirmed_by: list[str]


class StorageRolledBack(NamedTuple):
    """Action: the folder lost state; set it aside and rejoin under another name.

    :ivar name: the new name
    :ivar by: the peer that knew a later start
    """

    name: str
    by: str


class PersistStarts(NamedTuple):
    """Action: write the known starts and sync, then call `DurabilityCheck.on_persisted(number)`."""

    number: int
    known_starts: Starts


CheckAction = SendMessage | VotingAllowed | StorageRolledBack | PersistStarts


def base_name(name: str) -> str:
    """Return a voter's name as in the operator's file, without the suffix of a later identity."""
    return name.partition(NAME_SEPARATOR)[0]


class DurabilityCheck:
    """Checks one voter's own start with its peers, and confirms theirs. Times in ns on a monotonic clock.

    :ivar name: the voter's name
    :ivar start_count: how often its folder was opened
    :ivar incarnation: random number of this start
    :ivar peers: the other voters in the operator's file
    :ivar known_starts: the latest start known of each other voter
    :ivar trusted: an operator vouches that the folder lost nothing
    :ivar never_voted: by its folder, this voter never took part in an election
    :ivar may_vote: whether this voter may vote: the result of the check
    :ivar confirmed_by: peers that confirmed this start
    :ivar deadline: when the next announcement is due
    :ivar uninformed_peers: peers that may lack a known start
    """

    def __init__(  # noqa: PLR0913  identity, peers and the operator's override are independent inputs
        self,
        name: str,
        start_count: int,
        incarnation: int,
        peers: list[str],
        known_starts: Starts,
        now: int,
        trusted: bool = False,
        never_voted: bool = False,
    ) -> None:
        self.name = name
        self.start_count = start_count
        self.incarnation = incarnation
        self.peers = list(peers)
        self.known_starts = dict(known_starts)
        self.trusted = trusted
        self.never_voted = never_voted
        self.may_vote = trusted or not peers
        self.confirmed_by: list[str] = []
        self.announcements = 0
        self.deadline = now
        self.write_number = 0
        self.held_confirmations: list[tuple[int, SendMessage]] = []
        self.uninformed_peers: list[str] = [] if trusted else list(peers)

    def confirmations_needed(self) -> int:
        """Return how many peers must confirm: most of them for a new folder, else enough for a majority with itself."""
        if self.never_voted:
            return len(self.peers) // 2 + 1
        return (len(self.peers) + 1) // 2

    def next_deadline(self, is_member: bool = True) -> int:
        """Return when `on_timer` is to be called next; `is_member`: whether this name is among the voters."""
        if not self.may_vote or not is_member or self.uninformed_peers:
            return self.deadline
        return NEVER

    def on_timer(self, now: int, is_member: bool = True) -> list[CheckAction]:
        """Announce the start until voting is allowed, then while this name is no member or peers may lack a start."""
        if now < self.next_deadline(is_member):
            return []
        if not self.may_vote:
            if (
                self.announcements >= ANNOUNCEMENTS_MIN
                and len(self.confirmed_by) >= self.confirmations_needed()
            ):
                return self._allow_voting()
            self.announcements += 1
        settled = self.may_vote and is_member
        self.deadline = now + (GOSSIP_INTERVAL if settled else ANNOUNCEMENT_INTERVAL)
        announcement = StartAnnouncement(self.start_count, self.incarnation, self._all_starts())
        receivers = [name for name in self.peers if not settled or name in self.uninformed_peers]
        return [SendMessage(name, announcement) for name in receivers]

    def on_message(
        self, sender: str, message: StartAnnouncement | StartConfirmation, now: int
    ) -> list[CheckAction]:
        """Handle a peer's message. If it knows another start of this voter that is as late or later, state was lost."""
        if not self.trusted and self._is_later_self(message.known_starts.get(self.name)):
            return self._roll_back(sender)
        learned = self._learn(message.known_starts)
        if isinstance(message, StartAnnouncement):
            return self._on_announcement(sender, message, learned)
        return self._on_confirmation(base_name(sender), message, learned)

    def on_persisted(self, number: int, now: int) -> list[CheckAction]:
        """Send the confirmations that waited for writes up to `number`, which are on disk now."""
        ready: list[CheckAction] = [send for at, send in self.held_confirmations if at <= number]
        self.held_confirmations = [(at, send) for at, send in self.held_confirmations if at > number]
        return ready

    def _on_confirmation(self, sender: str, message: StartConfirmation, learned: bool) -> list[CheckAction]:
        actions = self._persist_starts() if learned else []
        own = (self.start_count, self.incarnation)
        if (message.start_count, message.incarnation) != own or sender not in self.peers:
            return actions
        if not message.accepted:
            return actions if self.trusted else self._roll_back(sender)
        if sender in self.uninformed_peers and self._knows_all(message.known_starts):
            self.uninformed_peers.remove(sender)
        if sender not in self.confirmed_by and (self.never_voted or not message.never_voted):
            self.confirmed_by.append(sender)
        if not self.may_vote and len(self.confirmed_by) == len(self.peers):
            return actions + self._allow_voting()
        return actions

    def _on_announcement(self, sender: str, message: StartAnnouncement, learned: bool) -> list[CheckAction]:
        known = self.known_starts.get(sender, (0, 0))
        announced = (message.start_count, message.incarnation)
        if announced == known:
            # Repeated while its confirmation waits for the disk: a write each time would postpone the confirmation
            # for ever, as each write makes this voter announce again in turn.
            actions = self._persist_starts() if learned else []
            if any(send.to == sender for _, send in self.held_confirmations):
                return actions
            return [*actions, self._confirmation(sender, announced, accepted=True)]
        if message.start_count <= known[0]:
            actions = self._persist_starts() if learned else []
            return [*actions, self._confirmation(sender, announced, accepted=False)]
        if len(self.known_starts) >= KNOWN_STARTS_MAX and sender not in self.known_starts:
            return []  # can't be persisted, so it isn't confirmed
        self.known_starts[sender] = announced
        actions = self._persist_starts()
        self.held_confirmations = [(at, send) for at, send in self.held_confirmations if send.to != sender]
        self.held_confirmations.append(
            (self.write_number, self._confirmation(sender, announced, accepted=True))
        )
        return actions

    def _confirmation(self, sender: str, announced: tuple[int, int], accepted: bool) -> SendMessage:
        never_voted = self.never_voted and not self.may_vote
        return SendMessage(sender, StartConfirmation(*announced, accepted, never_voted, self._all_starts()))

    def _all_starts(self) -> Starts:
        return {**self.known_starts, self.name: (self.start_count, self.incarnation)}

    def _knows_all(self, starts: Starts) -> bool:
        return all(starts.get(name, (0, 0))[0] >= count for name, (count, _) in self._all_starts().items())

    def _is_later_self(self, known: tuple[int, int] | None) -> bool:
        """Return whether `known` is another start of this voter that is as late as the present one, or later."""
        if known is None or known[0] < self.start_count:
            return False
        return tuple(known) != (self.start_count, self.incarnation)

    def _allow_voting(self) -> list[CheckAction]:
        self.may_vote = True
        return [VotingAllowed(list(self.confirmed_by))]

    def _roll_back(self, sender: str) -> list[CheckAction]:
        name = f"{base_name(self.name)}{NAME_SEPARATOR}{self.incarnation:x}"
        return [StorageRolledBack(name, base_name(sender))]

    def _learn(self, starts: Starts) -> bool:
        """Merge starts that are later than those known here. Returns whether there were any."""
        later = {
            name: tuple(start)
            for name, start in starts.items()
            if name != self.name and start[0] > self.known_starts.get(name, (0, 0))[0]
        }
        for name in sorted(later):
            if name in self.known_starts or len(self.known_starts) < KNOWN_STARTS_MAX:
                self.known_starts[name] = (later[name][0], later[name][1])
        return bool(later)

    def _persist_starts(self) -> list[CheckAction]:
        self.uninformed_peers = [] if self.trusted else list(self.peers)
        self.deadline = 0  # pass them on at once
        self.write_number += 1
        return [PersistStarts(self.write_number, dict(self.known_starts))]
