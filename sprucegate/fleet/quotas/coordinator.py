"""The quotas of one front as one state machine: its fair queue, borrower and lease holder, and whom it follows."""

from collections.abc import Hashable
from zlib import crc32

from sprucegate.fleet.quotas.actions import Action, LeaseHolderChanged, Send
from sprucegate.fleet.quotas.borrower import Borrower
from sprucegate.fleet.quotas.fair_queue import FairQueue
from sprucegate.fleet.quotas.lease_holder import LeaseHolder
from sprucegate.fleet.quotas.messages import (
    NO_LEASE_HOLDER,
    LeaseGrant,
    LeaseHolderId,
    LeaseHolderNotice,
    LeaseHolderQuery,
    Message,
    QuotaRequest,
)
from sprucegate.fleet.quotas.settings import QuotaSettings
from sprucegate.units import MILLISECOND, SECOND

NEVER = 1 << 62
QUEUE_CHECK_INTERVAL = 50 * MILLISECOND  # while requests wait for leases
UNANSWERED_REQUESTS_MAX = 3  # in a row, after which the lease holder is avoided
AVOIDED_DURATION = 3 * SECOND
QUERY_INTERVAL = SECOND  # between two queries of a lease holder to fronts that don't follow it


class QuotaCoordinator:
    """Each method takes an event and the time, and returns the actions to perform.

    :ivar candidates: fronts that may be lease holders according to this front's membership view, itself included.
    :ivar avoided: {lease holder that didn't answer: until when it is not chosen}.
    """

    def __init__(self, name: str, incarnation: int, settings: QuotaSettings, now: int) -> None:
        self.name = name
        self.settings = settings
        self.borrower = Borrower(name, incarnation, settings, now)
        self.lease_holder = LeaseHolder(incarnation, settings, now)
        self.queue = FairQueue(settings, self.borrower.available_slots)
        self.candidates: list[LeaseHolderId] = []
        self.avoided: dict[LeaseHolderId, int] = {}
        self.checked_at = now
        self.queried_at = now

    def on_view_changed(
        self, candidates: list[LeaseHolderId], may_borrow: bool, may_use_floors: bool, now: int
    ) -> list[Action]:
        """Take a new membership view: who may be lease holder, and whether this front may use grants and its floors."""
        self.candidates = sorted(LeaseHolderId(*one) for one in candidates)
        self.borrower.may_borrow = may_borrow
        self.borrower.may_use_floors = may_use_floors
        return self._choose_lease_holder(now)

    def on_identity_changed(self, name: str, incarnation: int, now: int) -> list[Action]:
        """This front has a new incarnation or name: grants to the former one are no longer valid.

        Fills that were started go on, but are not counted under the new name.
        """
        former = self.borrower
        self.name = name
        self.borrower = Borrower(name, incarnation, self.settings, now)
        self.lease_holder = LeaseHolder(incarnation, self.settings, now)
        self.borrower.slow_start = former.slow_start
        self.borrower.may_borrow = former.may_borrow
        self.borrower.may_use_floors = former.may_use_floors
        self.borrower.epoch = former.epoch + 1
        self.queue.available_slots = self.borrower.available_slots
        return self._choose_lease_holder(now)

    def set_slow_start(self, ratios: dict[int, float]) -> None:
        """Set {source: share of its slots that it has now, after a cold start}."""
        self.lease_holder.slow_start = ratios
        self.borrower.slow_start = ratios

    def request_arrived(
        self, token: Hashable, source: int, tenant: int, deadline: int, now: int
    ) -> list[Action]:
        """A request needs a fill at a source, see `FairQueue.request_arrived`."""
        actions = self.queue.request_arrived(token, source, tenant, deadline, now)
        if token in self.queue.waiting:
            self.borrower.demand_changed(now)
        return actions

    def request_cancelled(self, token: Hashable) -> None:
        """The client of a waiting request has left."""
        self.queue.request_cancelled(token)

    def fill_detached(self, token: Hashable, now: int) -> None:
        """Nobody waits for a fill here any more, but it may go on at the source."""
        self.queue.fill_detached(token, now)

    def slot_unused(self, token: Hashable, now: int) -> list[Action]:
        """A started request needed no fill."""
        return self.queue.slot_unused(token, now)

    def fill_ended(self, token: Hashable, duration: int, on_time: bool, now: int) -> list[Action]:
        """A fill ended after `duration` ns; its slot may be used again at once."""
        actions = self.queue.fill_ended(token, duration, on_time, now)
        self.borrower.demand_changed(now)
        return actions

    def on_message(self, sender: str, message: Message, now: int) -> list[Action]:
        """Handle a message of another front, or of this one to itself."""
        match message:
            case QuotaRequest():
                return self._on_request(sender, message, now)
            case LeaseHolderQuery():
                return self._on_query(sender, message, now)
            case LeaseHolderNotice(name, incarnation, followers):
                return self._on_other_lease_holder(sender, LeaseHolderId(name, incarnation), followers, now)
            case LeaseGrant():
                return self.queue.on_timer(now) if self.borrower.on_grant(sender, message, now) else []

    def _on_request(self, sender: str, message: QuotaRequest, now: int) -> list[Action]:
        followed = self.borrower.lease_holder
        if followed not in (self._own_id(), NO_LEASE_HOLDER) and sender != self.name:
            return [Send(sender, LeaseHolderNotice(*followed, 0))]
        if self._own_id() not in self.candidates:
            return []
        return [*self.lease_holder.on_request(sender, message, now)]

    def _on_query(self, sender: str, message: LeaseHolderQuery, now: int) -> list[Action]:
        followed = self.borrower.lease_holder
        if followed == NO_LEASE_HOLDER:
            return []
        followers = self.lease_holder.follower_count(now) if followed == self._own_id() else 0
        notice = Send(sender, LeaseHolderNotice(*followed, followers))
        sender_id = LeaseHolderId(sender, message.incarnation)
        return [notice, *self._on_other_lease_holder(sender, sender_id, message.followers, now)]

    def _on_other_lease_holder(
        self, sender: str, other: LeaseHolderId, followers: int, now: int
    ) -> list[Action]:
        """The sender follows `other`. Of two concurrent lease holders the one with fewer followers gives way.

        The one with fewer, as the floors of fronts that change their lease holder can't be lent for a while.
        """
        followed = self.borrower.lease_holder
        if other == followed or other not in self._available():
            return []
        # If the sender is this front's lease holder, it follows `other` itself now, and so does this front.
        if sender != followed.name:
            if followed != self._own_id():
                return []
            own_followers = self.lease_holder.follower_count(now)
            if not followers and sender != other.name:  # a third front doesn't know its followers: ask it
                return [Send(other.name, LeaseHolderQuery(followed.incarnation, own_followers))]
            if (-followers, _hash_order(other)) > (-own_followers, _hash_order(followed)):
                return []
        return self._follow(other, now)

    def _follow(self, lease_holder: LeaseHolderId, now: int) -> list[Action]:
        self.borrower.follow(lease_holder, now)
        return [LeaseHolderChanged(lease_holder.name)]

    def _own_id(self) -> LeaseHolderId:
        return LeaseHolderId(self.name, self.borrower.incarnation)

    def _available(self) -> list[LeaseHolderId]:
        return [one for one in self.candidates if one not in self.avoided]

    def next_deadline(self) -> int:
        """Return when `on_timer` is to be called next."""
        times = [NEVER, *self.avoided.values()]
        queue_deadline = self.queue.next_deadline()
        if queue_deadline is not None:
            times += [queue_deadline, self.checked_at + QUEUE_CHECK_INTERVAL]
        if self.borrower.lease_holder != NO_LEASE_HOLDER:
            times.append(self.borrower.next_deadline())
        return min(times)

    def on_timer(self, now: int) -> list[Action]:
        """Avoid a lease holder that doesn't answer, choose one, serve the queue, and send the next request."""
        self.checked_at = now
        followed = self.borrower.lease_holder
        if self.borrower.unanswered >= UNANSWERED_REQUESTS_MAX and followed.name != self.name:
            # It is suspended or disconnected, and the membership view doesn't show it yet.
            self.avoided[followed] = now + AVOIDED_DURATION
        self.avoided = {one: until for one, until in self.avoided.items() if now < until}
        actions = self._choose_lease_holder(now)
        actions += self.queue.on_timer(now)
        actions += self.borrower.on_timer(self.queue.demand, self.queue.take_fill_counts, now)
        return actions

    def _choose_lease_holder(self, now: int) -> list[Action]:
        """Keep the lease holder while it is available, else take the first by hash: the same one where views agree.

        The first by hash is not chosen again when it returns: each change leaves slots idle until the former lease
        holder's grants have expired.
        """
        available = self._available()
        followed = self.borrower.lease_holder
        if followed in available:
            if followed == self._own_id() and now - self.queried_at >= QUERY_INTERVAL:
                self.queried_at = now
                return self._query_other_fronts(available, now)
            return []
        chosen = min(available, key=_hash_order, default=NO_LEASE_HOLDER)
        return [] if chosen == followed else self._follow(chosen, now)

    def _query_other_fronts(self, available: list[LeaseHolderId], now: int) -> list[Action]:
        """Ask the first front by hash that doesn't follow this lease holder whom it follows."""
        own = self._own_id()
        others = [one for one in available if one != own and not self.lease_holder.is_followed_by(one, now)]
        if not others:
            return []
        query = LeaseHolderQuery(own.incarnation, self.lease_holder.follower_count(now))
        return [Send(min(others, key=_hash_order).name, query)]


def _hash_order(lease_holder: LeaseHolderId) -> tuple[int, LeaseHolderId]:
    return crc32(lease_holder.name.encode()), lease_holder
