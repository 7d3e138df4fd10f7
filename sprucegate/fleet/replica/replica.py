"""One process's replica of the fleet's records: spread, repair, catch-up and removal. No I/O, no clock.

Events and the time go in, actions come out. Own records are sent to others once they are durable here, and only
durable versions are reported as seen. Three mechanisms lead to the same state on all replicas. A new record is pushed
to all neighbours at once. A replica that twice gets a digest from a peer that differs from its own reports what it has
seen, and is sent what it lacks. Two replicas that have seen the same versions and still differ compare digests of
ranges of keys.
"""

import heapq
from enum import Enum, auto
from itertools import count
from typing import NamedTuple
from zlib import crc32

import msgspec
import xxhash

from sprucegate.fleet.replica.facts import (
    BUCKETS,
    RECORDS_MAX,
    JoinResult,
    RecordStore,
    ReplicatedRecord,
    SourceState,
)
from sprucegate.fleet.replica.version_vector import VersionVector

MS, S = 1_000_000, 1_000_000_000
FAN_OUT = 4  # neighbours that a replica chooses; as many choose it, on average
DIGEST_PERIOD = 250 * MS  # between digests to each neighbour; also from one repair to the next request
SEEN_REPORT_INTERVAL_MIN = 500 * MS  # to one peer: a report's size grows with that of the fleet
SEEN_REPORT_PERIOD = 5 * S  # to one random peer, so that each replica learns which records may be removed
NEIGHBOURS_PERIOD = 30 * S  # then others are chosen: a choice that happens to split the fleet must not last
INCOMING_NEIGHBOUR_TIMEOUT = 2 * S  # without a digest from it: the peer no longer counts as a neighbour
RECORDS_PER_MESSAGE = 200  # at most, in a piece of a transfer, a push from the send queue or a merged repair
RECORD_BYTES, INTERVAL_BYTES = 90, 40  # approximate size on the wire, by which transfers are rate-limited
CATCH_UP_PEERS = 3  # asked by a returning replica for what it lacks
SLOW_PEER_PERIOD = 10 * MS  # until a peer that reads nothing is looked at again
RECORDS_PER_REPAIR = 50  # each record with other content under its version costs the receiver 0.1 ms
SHARE_BLOCK = 4096  # counters of one owner that are requested from one peer in one piece
CATCH_UP_PERIOD = 50 * MS  # between two checks of the progress of catching up
CATCH_UP_DELAY = 100 * MS  # from the first peer met until some are asked
CATCH_UP_STALL = 500 * MS  # without progress: other peers are asked
EXPIRY_PERIOD = 2 * S  # between two searches for expired records
# With the oldest beyond these, what it had seen is forgotten, and the states that it owns are no longer lifted for it.
FORMER_PEERS_MAX = 1000
RANGE_DIGESTS_INTERVAL_MIN = 500 * MS  # to one peer, between two messages with the digests of all ranges
COMPARED_KEYS_MAX = 1500  # records compared by key in one message: one turn of the event loop on either side
INVALIDATION, SERVER_STATE, HELD_LIST = "purge", "word", "held"


class SpreadRecords(NamedTuple):
    """New records pushed to neighbours (`transfer` 0), or one piece of a transfer of what one peer lacks."""

    records: list
    transfer: int
    piece: int


class TransferEnd(NamedTuple):
    """The end of a transfer: once all pieces are there, the versions in `claims` count as seen (see `VersionVector`).

    Not earlier: a record that replaced one of them, which therefore isn't sent itself, may be in any piece.
    """

    transfer: int
    pieces: int
    claims: list


class DigestAnnouncement(NamedTuple):
    """Sent to each neighbour at a fixed interval: a digest of all that the sender holds and has seen."""

    digest: int


class SeenReport(NamedTuple):
    """The versions that the sender has seen, as far as they are durable there.

    With a `number` it requests the rest, or one `share` of it (which of how many), and lists all that it has seen.
    """

    seen: list
    root: int
    share: tuple
    number: int


class EvidenceMessage(NamedTuple):
    """What one front has observed of caches and parents, sent at `sent_at` (Unix ns).

    It loses weight as it ages, and is never stored.
    """

    sent_at: int
    beliefs: list
    ejections: list


class CatchUpMark(NamedTuple):
    """What the answering replica had seen when it was asked: the asker is as new as that once it has seen all of it.

    `has_caught_up`: the answering replica has itself caught up, or went on alone.
    """

    number: int
    seen: list
    has_caught_up: bool


class RangeDigests(NamedTuple):
    """Digests of all ranges of keys, for two replicas that have seen the same and differ."""

    digests: list


class RangeKeys(NamedTuple):
    """The sender's records of some ranges, each by key, version and digest.

    `reply_requested`: the receiver is to send those of its own.
    """

    ranges: list
    records: list
    reply_requested: bool


class RepairRecords(NamedTuple):
    """Records that differ under one key between replicas that have seen the same."""

    records: list


class SendMessage(NamedTuple):
    """Send a message to one process.

    :ivar carries_records: queued under a bound of its own, apart from the protocol's control messages
    """

    to: str
    message: tuple
    carries_records: bool = False


class PersistRecords(NamedTuple):
    """Write and sync the record; then call `on_written(number)`, or `on_write_failed` with the fault."""

    number: int
    record: tuple  # (records, versions seen, keys removed)


class RecordInForce(NamedTuple):
    """A record from another process that holds from here on."""

    record: ReplicatedRecord


class RecordDiscarded(NamedTuple):
    """A record that is no longer held: it expired, or a peer had removed it."""

    record: ReplicatedRecord


class CaughtUp(NamedTuple):
    """Catching up is over: `how` is "caught-up" if as new as the peers `asked` were, or "alone"."""

    how: str
    asked: list


class LogEvent(NamedTuple):
    """An event for the log."""

    event: str
    fields: dict


class VersionConflict(NamedTuple):
    """`peer` has other content under a version of this process's incarnation: it has to take a new incarnation."""

    peer: str


class OutgoingTransfer:
    """What is still to be sent to one peer, and the versions that it may count as seen after that."""

    def __init__(self, number, intervals, claims):
        self.number = number
        self.intervals = intervals
        self.claims = claims
        self.pieces = 0


class IncomingTransfer:
    """The pieces that have arrived from one peer, and the transfer's end if that arrived before them."""

    def __init__(self, number):
        self.number = number
        self.pieces = set()
        self.end = None


class CatchUpPhase(Enum):
    """Not begun; asking peers for what is missing; as new as they were; or going on alone."""

    IDLE = auto()
    ASKING = auto()
    TOGETHER = auto()
    ALONE = auto()


_pack = msgspec.msgpack.Encoder().encode


class Replica:
    """One process's replica of the fleet's records. (event, now) in, actions out; times in monotonic ns.

    :ivar store: the record store
    :ivar on_disk: versions seen, as far as they are durable
    :ivar is_disk_writable: whether the disk accepts writes
    :ivar slow_peers: peers with unsent data in their queue; set by the caller
    :ivar seeds_unmet: whether some configured members aren't known yet; set by the caller
    """

    def __init__(
        self,
        name,
        incarnation,
        chance,
        now,
        rate=8 << 20,
        purge_life=60 * S,
        word_life=86_400 * S,
        alone_after=5 * S,
        max_records=RECORDS_MAX,
    ):
        """`rate`: bytes a second for all transfers from here.

        `purge_life` and `word_life`: ns after which an invalidation, and the state of a server that is gone, may be
        removed.
        """
        self.name = name
        self.incarnation = incarnation
        self.chance = chance
        self.rate = rate
        self.alone_after = alone_after
        self.retention = {INVALIDATION: purge_life, SERVER_STATE: word_life}
        self.store = RecordStore(max_records)
        self.counter = 0
        self.phase = CatchUpPhase.IDLE
        self.expiry_queue = []  # heap of (time, order, key)
        self.expiry_order = count()
        self.transfer_numbers = count(1)
        self.unsaved = ([], [], [])
        self.writing = None
        self.write_number = 0
        self.on_disk = VersionVector()
        self.is_disk_writable = True
        self.recovery_snapshot_begun = False  # a snapshot is under way after the disk failed
        self.unpushed = []  # own records that aren't durable yet
        self.peers = {}  # reachable peers -> what they were last known to have seen
        self.former_peers = {}  # the same of peers that aren't reachable
        self.epoch = 0
        self.neighbours = []
        self.incoming_neighbours = {}  # peers that chose this replica -> when their last digest arrived
        self.digest_differed_at = {}
        self.seen_report_sent_at = {}
        self.range_digests_sent_at = {}
        self.outgoing_transfers = {}
        self.tokens = 0
        self.tokens_at = now
        self.slow_peers = ()
        self.incoming_transfers = {}
        self.repaired_at = -S  # when a transfer last arrived or was requested
        self.asked_peers = {}
        self.marks = {}
        self.request_number = 0
        self.catch_up_deadline = 0
        self.catch_up_check_at = 0
        self.progress_at = now
        self.ask_not_before = 0  # until then peers are met before some are asked; 0: none was met
        self.seeds_unmet = False
        self.pending_shares = {}  # asked peers whose share hasn't arrived completely
        self.is_catching_up = {}  # peers that answered -> whether they still catch up as well
        self.cached_digest = (-1, 0)
        self.change_count = 0
        self.full_logged = False
        self.bytes_out = 0
        self.timers = {
            "digest": now,
            "seen_report": now + SEEN_REPORT_PERIOD,
            "expiry": now + EXPIRY_PERIOD,
            "neighbours": now,
        }

    # Queries.

    def digest(self):
        """Return a digest of all that is held and was seen: equal where two replicas have nothing to exchange."""
        if self.cached_digest[0] != self.change_count:
            seen = xxhash.xxh64_intdigest(_pack(self.store.seen.as_ranges()))
            self.cached_digest = self.change_count, self.store.root() ^ seen
        return self.cached_digest[1]

    def next_deadline(self):
        """Return when `on_timer` is to be called next (monotonic ns)."""
        deadline = min(self.timers.values())
        if self.outgoing_transfers:
            wait = (
                SLOW_PEER_PERIOD
                if all(name in self.slow_peers for name in self.outgoing_transfers)
                else RECORDS_PER_MESSAGE * RECORD_BYTES * S // self.rate
            )
            deadline = min(deadline, self.tokens_at + wait)
        return min(deadline, self.catch_up_check_at) if self.phase is CatchUpPhase.ASKING else deadline

    def push_targets(self, now):
        """Return the peers that new records are pushed to: chosen neighbours and those that chose this replica."""
        self.incoming_neighbours = {
            name: at for name, at in self.incoming_neighbours.items() if now - at < INCOMING_NEIGHBOUR_TIMEOUT
        }
        return list(
            dict.fromkeys([*self.neighbours, *[n for n in self.incoming_neighbours if n in self.peers]])
        )

    # Events.

    def load(self, records, seen, now):
        """Take what the disk had, before any other event."""
        self.store.seen = VersionVector(seen)
        for record in records:
            self.store.seen.add(record.version)
            current = self.store.held.get(record.key)
            if current is None or (current.value, current.version) < (record.value, record.version):
                if current is not None:
                    self.store.remove(record.key)
                self.store.put(record)
        for record in self.store.held.values():
            self._schedule_expiry(record, now)
        self.on_disk = self.store.seen.copy()
        self.change_count += 1

    def on_own_record(self, key, value, now):
        """Take a record from a source of this process's own; one that changes nothing is ignored."""
        if key[0] == SERVER_STATE:
            state = value[0]
            current = self.store.held.get(key)
            if (
                current is not None
                and current.value[2] == state
                or current is None
                and state == SourceState.LIFTED
            ):
                return self._lift_for_former_peers(key, now) if state == SourceState.LIFTED else []
            value = self.incarnation, self.counter + 1, state
        elif (current := self.store.held.get(key)) is not None and current.value >= value:
            return []
        actions = self._put_own(key, value, now)
        if key[0] == SERVER_STATE and value[2] == SourceState.LIFTED:
            actions += self._lift_for_former_peers(key, now)
        return actions + self._start_write() + self._push_unwritable(now)

    def on_message(self, sender, message, now):
        """Take a message of another replica."""
        match message:
            case SpreadRecords():
                return _merge_conflicts(self._on_spread_records(sender, message, now))
            case TransferEnd():
                return self._on_transfer_end(sender, message, now)
            case DigestAnnouncement():
                self.incoming_neighbours[sender] = now
                return self.on_digest(sender, message.digest, now)
            case SeenReport():
                return self._on_seen_report(sender, message, now)
            case CatchUpMark():
                if message.number == self.request_number and self.phase is CatchUpPhase.ASKING:
                    self.marks[sender] = VersionVector(message.seen)
                    self.progress_at = now
                    self.is_catching_up[sender] = not message.has_caught_up
                return self._end_catch_up_if_complete(now)
            case RangeDigests():
                return self._on_range_digests(sender, message)
            case RangeKeys():
                return self._on_range_keys(sender, message, now)
            case RepairRecords():
                actions = [
                    a for record in message.records for a in self._join(sender, record, now, repair=True)
                ]
                return _merge_conflicts(actions + self._start_write())
        return []

    def on_peer_changed(self, name, reachable, now):
        """A peer became reachable or unreachable. Records are removed without waiting for unreachable peers."""
        if reachable and name not in self.peers and name != self.name:
            self.peers[name] = self.former_peers.pop(name, None) or VersionVector()
            self._choose_neighbours(now)
            if self.phase is CatchUpPhase.ALONE:
                return self.begin_catch_up(now)
        elif not reachable and name in self.peers:
            self.former_peers[name] = self.peers.pop(name)
            while len(self.former_peers) > FORMER_PEERS_MAX:
                del self.former_peers[next(iter(self.former_peers))]
            for table in (
                self.outgoing_transfers,
                self.incoming_transfers,
                self.digest_differed_at,
                self.seen_report_sent_at,
                self.range_digests_sent_at,
                self.incoming_neighbours,
            ):
                table.pop(name, None)
            if name in self.neighbours:
                self._choose_neighbours(now)
        return []

    def on_declared_dead(self, now):
        """The others went on without this process: it learns what they removed before it sends anything."""
        return [
            SendMessage(peer, self._seen_report())
            for peer in self.chance.pick("fenced", sorted(self.peers), CATCH_UP_PEERS)
        ]

    def renew(self, name, incarnation):
        """Go on as a new incarnation; records that wait for the disk keep their versions."""
        self.name = name
        self.incarnation = incarnation
        self.counter = 0

    def on_written(self, number, now):
        """The write of that number is durable: push what waited for it."""
        if self.writing is None or self.writing[0] != number:
            return []
        self.on_disk = self.writing[1]
        released = self.writing[2]
        self.writing = None
        self.is_disk_writable = True
        actions = self._push(released, "", now)
        return actions + self._start_write() + self._end_catch_up_if_complete(now)

    def on_write_failed(self, number, fault, now):
        """A write failed. Its own records are still pushed, but not reported as seen.

        Losing such a record here does no harm: a purge or a drain only makes peers use a copy or a server less.
        """
        released = self.writing[2] if self.writing else []
        self.writing = None
        was_writable = self.is_disk_writable
        self.is_disk_writable = False
        self.unpushed = released + self.unpushed
        events = [LogEvent("fleet_not_kept", {"error": fault})] if was_writable else []
        return events + self._push_unwritable(now) + self._end_catch_up_if_complete(now)

    def _push_unwritable(self, now):
        """Push own records while the disk fails, as no write will follow that would release them."""
        if self.is_disk_writable:
            return []
        released = self.unpushed
        self.unpushed = []
        return self._push(released, "", now)

    def on_timer(self, now):
        """Run what is due by `now` (monotonic ns)."""
        actions = []
        for timer in [timer for timer, at in self.timers.items() if at <= now]:
            actions += getattr(self, "_on_timer_" + timer)(now)
        return (
            actions
            + self._push_unwritable(now)
            + self._send_transfers(now)
            + (self._check_catch_up(now) if self.phase is CatchUpPhase.ASKING else [])
        )

    # Own records and the disk.

    def _put_own(self, key, value, now):
        self.counter += 1
        record = ReplicatedRecord(key, value, (self.name, self.incarnation, self.counter))
        result, _ = self.store.join(record)
        if result is JoinResult.FULL:
            self.counter -= 1
            return self._report_full(record)
        if result is JoinResult.NEW:
            self._note_change(record, now)
            self.unpushed.append(record)
        return []

    def _lift_for_former_peers(self, key, now):
        """A source of this process lifted a state: lift it also where its owner, which had the same source, is gone."""
        for owner in sorted(self.former_peers):
            theirs = self.store.held.get((*key[:4], owner))
            if theirs is not None and theirs.value[2] != SourceState.LIFTED:
                self._put_own(theirs.key, (*theirs.value[:2], int(SourceState.LIFTED)), now)
        return self._start_write()

    def _note_change(self, record, now):
        """Queue a record that was just stored for the next write, its expiry, and the transfers under way."""
        self.change_count += 1
        self.unsaved[0].append(record)
        self._schedule_expiry(record, now)
        for transfer in self.outgoing_transfers.values():
            # The transfer's claims may include a version whose record this one replaces. Without this record the peer
            # would count that version as seen, but hold neither of the two.
            transfer.intervals.append((*record.version[:2], record.version[2], record.version[2] + 1))

    def _start_write(self):
        """Begin a write if none is under way; what arrives meanwhile is written with the next one."""
        if self.writing is not None or not any(self.unsaved):
            return []
        if not self.is_disk_writable:
            # A later snapshot contains these anyway; as a list they would grow for as long as the disk is full.
            if not self.recovery_snapshot_begun:
                self.unsaved = [], [], []
            return []
        self.write_number += 1
        record = self.unsaved
        self.unsaved = ([], [], [])
        self.writing = (self.write_number, self.store.seen.copy(), self.unpushed)
        self.unpushed = []
        return [PersistRecords(self.write_number, record)]

    def begin_snapshot(self):
        """Return (records, versions seen) for a snapshot; after a disk failure, later changes are written after it."""
        self.recovery_snapshot_begun = not self.is_disk_writable
        if self.recovery_snapshot_begun:
            self.unsaved = [], [], []
        return list(self.store.held.values()), self.store.seen.as_ranges()

    def on_disk_recovered(self, seen, now):
        """The snapshot of a disk that failed before is durable; `seen`: the versions in it."""
        self.is_disk_writable = True
        self.recovery_snapshot_begun = False
        self.on_disk = VersionVector(seen)
        return self._start_write() + self._end_catch_up_if_complete(now)

    def _report_full(self, record):
        is_first = not self.full_logged
        self.full_logged = True
        return (
            [LogEvent("fleet_full", {"facts": len(self.store.held), "key": list(record.key)})]
            if is_first
            else []
        )

    # Spread.

    def _push(self, records, sender, now):
        if not records:
            return []
        message = SpreadRecords(records, 0, 0)
        return [SendMessage(peer, message, True) for peer in self.push_targets(now) if peer != sender]

    def _on_spread_records(self, sender, message, now):
        actions = [a for record in message.records for a in self._join(sender, record, now)]
        if message.transfer:
            transfer = self._incoming_transfer(sender, message.transfer, now)
            transfer.pieces.add(message.piece)
            # Not pushed on: other peers that lack these records request them as well.
            return actions + self._complete_transfer(sender, transfer) + self._start_write()
        # Records for which a full store has no room are applied but not pushed on: they would circulate for ever.
        new = [a.record for a in actions if isinstance(a, RecordInForce) and a.record.key in self.store.held]
        return actions + self._push(new, sender, now) + self._start_write()

    def _on_transfer_end(self, sender, message, now):
        transfer = self._incoming_transfer(sender, message.transfer, now)
        transfer.end = message
        self.pending_shares.pop(sender, None)
        return (
            self._complete_transfer(sender, transfer)
            + self._start_write()
            + self._end_catch_up_if_complete(now)
        )

    def _incoming_transfer(self, sender, number, now):
        self.progress_at = self.repaired_at = now
        if sender not in self.incoming_transfers or self.incoming_transfers[sender].number != number:
            self.incoming_transfers[sender] = IncomingTransfer(number)
        return self.incoming_transfers[sender]

    def _complete_transfer(self, sender, transfer):
        """Count the claimed versions as seen once all pieces and the end have arrived."""
        if transfer.end is None or len(transfer.pieces) < transfer.end.pieces:
            return []
        for owner, incarnation, bounds in transfer.end.claims:
            for first, end in zip(bounds[::2], bounds[1::2], strict=True):
                self.store.seen.add_range(owner, incarnation, first, end)
                self.unsaved[1].append((owner, incarnation, first, end))
        self.change_count += 1
        del self.incoming_transfers[sender]
        return []

    def _join(self, sender, record, now, repair=False):
        current = self.store.held.get(record.key)
        result, _ = self.store.join(record)
        if result is JoinResult.NEW:
            self._note_change(record, now)
            return [RecordInForce(record)]
        if result is JoinResult.FULL:
            return [*self._report_full(record), RecordInForce(record)]
        if result is JoinResult.OLD:
            if current is None or record.version != current.version:
                self.unsaved[1].append((*record.version[:2], record.version[2], record.version[2] + 1))
                self.change_count += 1
            if not repair or current is None or current.value >= record.value:
                return []
        return self._resolve_conflict(sender, record, now)

    def _resolve_conflict(self, sender, record, now):
        """Two contents under one version: write both again under versions of this process.

        Neither may be lost, and others that have seen the version would not take the other content under it.
        """
        actions = [
            LogEvent("fleet_dot_twice", {"dot": list(record.version), "key": list(record.key), "by": sender})
        ]
        current = self.store.held.get(record.key)
        held_key = self.store.key_by_counter.get(record.version[:2], {}).get(record.version[2])
        if held_key is not None and (held_key != record.key or current.value > record.value):
            if record.version[0] not in (self.name, sender) and record.version[0] in self.peers:
                actions.append(
                    SendMessage(record.version[0], RepairRecords([self.store.held[held_key], record]), True)
                )
            self._rewrite_as_own(self.store.held[held_key], now)
        if current is None or current.value < record.value:
            actions += [*self._put_own(record.key, record.value, now), RecordInForce(record)]
        if record.version[:2] == (self.name, self.incarnation):
            actions.append(VersionConflict(sender))
        return actions + self._start_write()

    def _rewrite_as_own(self, record, now):
        """Put the same content under a version of this process, which nobody has seen yet."""
        self.counter += 1
        rewritten = ReplicatedRecord(record.key, record.value, (self.name, self.incarnation, self.counter))
        self.store.remove(record.key)
        self.store.join(rewritten)
        self._note_change(rewritten, now)
        self.unpushed.append(rewritten)

    # Repair.

    def _seen_report(self, share=(0, 1), number=0):
        # A request lists what is in memory: by what is durable, all that is being written would be sent once more.
        seen = self.store.seen if number else self.on_disk
        return SeenReport(seen.as_ranges(), self.store.root(), share, number)

    def _on_timer_digest(self, now):
        self.timers["digest"] = now + DIGEST_PERIOD
        return [SendMessage(peer, DigestAnnouncement(self.digest())) for peer in self.push_targets(now)]

    def on_digest(self, sender, theirs, now):
        """Take a peer's digest, announced by a neighbour or sent with a probe."""
        if theirs == self.digest() or sender not in self.peers:
            self.digest_differed_at.pop(sender, None)
            return []
        # Records that are just spreading differ as well: only a second difference starts a repair, with one peer at a
        # time.
        is_first = sender not in self.digest_differed_at
        self.digest_differed_at[sender] = now
        if is_first or self.phase is CatchUpPhase.ASKING or now - self.repaired_at < DIGEST_PERIOD:
            return []
        if now - self.seen_report_sent_at.get(sender, -S) < SEEN_REPORT_INTERVAL_MIN:
            return []
        self.seen_report_sent_at[sender] = self.repaired_at = now
        return [SendMessage(sender, self._seen_report())]

    def _on_timer_seen_report(self, now):
        self.timers["seen_report"] = now + SEEN_REPORT_PERIOD
        return [
            SendMessage(peer, self._seen_report()) for peer in self.chance.pick("seen", sorted(self.peers))
        ]

    def _on_seen_report(self, sender, message, now):
        theirs = VersionVector(message.seen)
        if sender in self.peers and not message.number:
            self.peers[sender] = theirs
        has_caught_up = self.phase in (CatchUpPhase.TOGETHER, CatchUpPhase.ALONE)
        actions = (
            [SendMessage(sender, CatchUpMark(message.number, self.on_disk.as_ranges(), has_caught_up))]
            if message.number
            else []
        )
        missing = _share_of(theirs.missing(self.on_disk), message.share)
        if missing:
            # A share claims no versions: what replaced one of its records may arrive with another peer's share.
            claims = VersionVector()
            for interval in missing if message.share[1] <= 1 else ():
                claims.add_range(*interval)
            self.outgoing_transfers[sender] = OutgoingTransfer(
                next(self.transfer_numbers), missing, claims.as_ranges()
            )
            return actions + self._send_transfers(now)
        self.outgoing_transfers.pop(sender, None)
        if message.number:
            return [*actions, SendMessage(sender, TransferEnd(next(self.transfer_numbers), 0, []), True)]
        if not self.store.seen.covers(theirs):
            # While catching up, or while a transfer arrives, a further report would have all of it sent twice.
            is_under_way = (
                self.phase is CatchUpPhase.ASKING or now - self.repaired_at < SEEN_REPORT_INTERVAL_MIN
            )
            if (
                not is_under_way
                and now - self.seen_report_sent_at.get(sender, -S) >= SEEN_REPORT_INTERVAL_MIN
            ):
                self.seen_report_sent_at[sender] = now
                actions.append(SendMessage(sender, self._seen_report()))
        elif (
            message.root != self.store.root()
            and now - self.range_digests_sent_at.get(sender, -S) >= RANGE_DIGESTS_INTERVAL_MIN
        ):
            self.range_digests_sent_at[sender] = now
            actions.append(SendMessage(sender, RangeDigests(list(self.store.range_digests))))
        return actions

    def _send_transfers(self, now):
        """Send the next pieces of all transfers in turn, limited by a token bucket of `rate` bytes a second."""
        if not self.outgoing_transfers:
            self.tokens_at = now
            return []
        burst = RECORDS_PER_MESSAGE * RECORD_BYTES * 2
        self.tokens = min(burst, self.tokens + (now - self.tokens_at) * self.rate // S)
        self.tokens_at = now
        actions = []
        while self.tokens > 0:
            # More for a slow peer would be dropped at the bound of its send queue, and then be requested again.
            peer = next((name for name in self.outgoing_transfers if name not in self.slow_peers), None)
            if peer is None:
                break
            transfer = self.outgoing_transfers.pop(peer)
            records = []
            searched = 0
            while (
                transfer.intervals and len(records) < RECORDS_PER_MESSAGE and searched < RECORDS_PER_MESSAGE
            ):
                owner, incarnation, first, end = transfer.intervals.pop()
                found, complete_to = self.store.in_interval(
                    owner, incarnation, first, end, RECORDS_PER_MESSAGE - len(records)
                )
                records += found
                searched += 1
                if complete_to < end:
                    transfer.intervals.append((owner, incarnation, complete_to, end))
            cost = len(records) * RECORD_BYTES
            if records:
                actions.append(
                    SendMessage(peer, SpreadRecords(records, transfer.number, transfer.pieces), True)
                )
                transfer.pieces += 1
            if transfer.intervals:
                self.outgoing_transfers[peer] = transfer  # moved to the end: round robin
            else:
                actions.append(
                    SendMessage(peer, TransferEnd(transfer.number, transfer.pieces, transfer.claims), True)
                )
                cost += len(transfer.claims) * INTERVAL_BYTES
            self.tokens -= cost
            self.bytes_out += cost
        return actions

    def _on_range_digests(self, sender, message):
        if len(message.digests) != BUCKETS:
            return []
        chosen = []
        size = 0
        own = self.store
        for at in [at for at in range(BUCKETS) if message.digests[at] != own.range_digests[at]]:
            size += len(own.digests_by_key[at])
            if size <= COMPARED_KEYS_MAX or not chosen:
                chosen.append(at)
        return [SendMessage(sender, self._range_keys(chosen, True))] if chosen else []

    def _range_keys(self, ranges, reply_requested):
        records = [(r.key, r.version, hashed) for r, hashed in self.store.in_ranges(set(ranges))]
        return RangeKeys(ranges, records, reply_requested)

    def _on_range_keys(self, sender, message, now):
        """Send what differs; remove a server's state that the peer has seen and removed."""
        chosen = {at for at in message.ranges if 0 <= at < BUCKETS}
        theirs = {key: hashed for key, _, hashed in message.records}
        different = []
        actions = []
        seen = self.peers.get(sender) or VersionVector()
        for record, hashed in self.store.in_ranges(chosen):
            if record.key not in theirs:
                if record.key[0] == SERVER_STATE and seen.contains(record.version):
                    actions += [
                        *self._remove(record.key),
                        RecordInForce(record._replace(value=(*record.value[:2], int(SourceState.LIFTED)))),
                    ]
            elif theirs[record.key] != hashed:
                different.append(record)
        # In pieces: the peer writes each record under a new version, and thousands in one turn would delay its GETs.
        actions += [
            SendMessage(sender, RepairRecords(different[at : at + RECORDS_PER_REPAIR]), True)
            for at in range(0, len(different), RECORDS_PER_REPAIR)
        ]
        if message.reply_requested:
            actions.append(SendMessage(sender, self._range_keys(sorted(chosen), False)))
        return actions + self._start_write()

    # Removal.

    def _on_timer_expiry(self, now):
        """Remove expired records that all reachable peers have seen.

        An unreachable peer removes a server's state later, as others have seen but not kept it (`_on_range_keys`).
        """
        self.timers["expiry"] = now + EXPIRY_PERIOD
        actions = []
        while self.expiry_queue and self.expiry_queue[0][0] <= now:
            key = heapq.heappop(self.expiry_queue)[2]
            record = self.store.held.get(key)
            if record is None or self._retention_of(record) is None:
                continue  # a newer record of this key has an entry of its own
            if self.on_disk.contains(record.version) and all(
                seen.contains(record.version) for seen in self.peers.values()
            ):
                actions += self._remove(key)
            else:
                heapq.heappush(self.expiry_queue, (now + SEEN_REPORT_PERIOD, next(self.expiry_order), key))
        return actions + self._start_write()

    def _retention_of(self, record):
        """Return how long the record is kept (ns), or None: a drain in force and a held list don't expire."""
        if (
            record.key[0] == INVALIDATION
            or record.key[0] == SERVER_STATE
            and record.value[2] == SourceState.LIFTED
        ):
            return self.retention[INVALIDATION]
        return (
            self.retention[SERVER_STATE]
            if record.key[0] == SERVER_STATE and record.value[2] == SourceState.GONE
            else None
        )

    def _schedule_expiry(self, record, now):
        if (retention := self._retention_of(record)) is not None:
            heapq.heappush(self.expiry_queue, (now + retention, next(self.expiry_order), record.key))

    def _remove(self, key):
        record = self.store.held[key]
        self.store.remove(key)
        self.unsaved[2].append(key)
        self.change_count += 1
        self.full_logged = False
        return [RecordDiscarded(record)]

    # Neighbours.

    def _on_timer_neighbours(self, now):
        self.epoch += 1
        return self._choose_neighbours(now)

    def _choose_neighbours(self, now):
        """Choose by a hash of both names and the epoch, so that replicas choose differently, and anew each period."""
        self.timers["neighbours"] = now + NEIGHBOURS_PERIOD
        ranked = sorted(
            self.peers,
            key=lambda name: (crc32(f"{self.name}/{name}/{self.epoch}".encode()) * 2654435761 % 2**32, name),
        )
        self.neighbours = ranked[:FAN_OUT]
        return []

    # Catching up.

    def begin_catch_up(self, now):
        """Begin to catch up: it ends once this replica has seen what those asked had seen when they were asked."""
        self.phase = CatchUpPhase.ASKING
        self.catch_up_deadline = now + self.alone_after
        self.progress_at = now
        # Not at once: replicas that return together would all ask the first peer that any of them meets.
        self.asked_peers = {}
        self.marks = {}
        self.ask_not_before = now + CATCH_UP_DELAY
        return []

    def _ask_peers(self, now):
        self.request_number += 1
        # Replicas that return together must not wait for each other: peers known to catch up themselves come last.
        names = sorted(
            self.peers, key=lambda name: (self.is_catching_up.get(name, False), self.chance(name))
        )[:CATCH_UP_PEERS]
        self.asked_peers = dict.fromkeys(names)
        self.marks = {}
        self.progress_at = now
        self.pending_shares = dict.fromkeys(names)
        return [
            SendMessage(name, self._seen_report((at, len(names)), self.request_number))
            for at, name in enumerate(names)
        ]

    def _check_catch_up(self, now):
        # Not `catch_up_deadline`: catching up may go on after it, and a deadline in the past would be due all the time.
        self.catch_up_check_at = now + CATCH_UP_PERIOD
        if actions := self._end_catch_up_if_complete(now):
            return actions
        if now >= self.catch_up_deadline and not (self.marks and now - self.progress_at < self.alone_after):
            self.phase = CatchUpPhase.ALONE
            return [CaughtUp("alone", [])]
        if not self.asked_peers:
            return self._ask_peers(now) if self.peers and now >= self.ask_not_before else []
        # On a busy machine a transfer that has begun may only pause: a new request would have all of it sent twice.
        timeout = (
            min(6 * CATCH_UP_STALL, self.alone_after // 2) if self.incoming_transfers else CATCH_UP_STALL
        )
        if now - self.progress_at < timeout and (self.pending_shares or not self.marks):
            return []
        uncovered = [
            name
            for name, mark in self.marks.items()
            if name in self.peers and not self.store.seen.covers(mark)
        ]
        if (
            not uncovered
            and any(not self.on_disk.covers(mark) for mark in self.marks.values())
            and self.is_disk_writable
        ):
            return []  # all of it has arrived and is being written
        if uncovered:
            # Shares overlap where peers had seen different versions: request the rest from one that still has some.
            self.progress_at = now
            self.pending_shares = dict.fromkeys(uncovered[:1])
            return [SendMessage(uncovered[0], self._seen_report((0, 1), self.request_number))]
        return self._ask_peers(now)

    def _end_catch_up_if_complete(self, now):
        """End catching up once the marks of all reachable peers asked, at least one, are covered and durable."""
        if self.phase is not CatchUpPhase.ASKING or not self.marks:
            return []
        reachable = [name for name in self.asked_peers if name in self.peers]
        if now >= self.catch_up_deadline:
            reachable = [
                name for name in reachable if name in self.marks
            ]  # others may be cut off in one direction
        if not reachable or any(name not in self.marks for name in reachable):
            return []
        if (
            now < self.catch_up_deadline + self.alone_after
            and all(self.is_catching_up[n] for n in reachable)
            and (
                any(not self.is_catching_up.get(name, False) for name in self.peers)
                or self.seeds_unmet
                and now < self.catch_up_deadline
            )
        ):
            return []  # all of them still catch up themselves, and other peers may know more
        seen = self.on_disk if self.is_disk_writable else self.store.seen
        if not all(seen.covers(self.marks[name]) for name in reachable):
            return []
        self.phase = CatchUpPhase.TOGETHER
        return [CaughtUp("caught-up", reachable)]


def _merge_conflicts(actions):
    """Merge the conflicts of one message into one log event and one repair to each owner.

    A disk that was copied has thousands of them.
    """
    events = [a for a in actions if isinstance(a, LogEvent) and a.event == "fleet_dot_twice"]
    if len(events) < 2:
        return actions
    repairs = {}
    rest = []
    for action in actions:
        if isinstance(action, SendMessage) and isinstance(action.message, RepairRecords):
            repairs.setdefault(action.to, []).extend(action.message.records)
        elif action not in events:
            rest.append(action)
    event = events[0]._replace(fields={**events[0].fields, "count": len(events)})
    return [
        event,
        *rest,
        *[
            SendMessage(to, RepairRecords(records[:RECORDS_PER_MESSAGE]), True)
            for to, records in repairs.items()
        ],
    ]


def _share_of(intervals, share):
    """Return the share of the intervals, cut into blocks, that is requested from one of several peers."""
    number, count_of_shares = share
    if count_of_shares <= 1:
        return intervals
    found = []
    for owner, incarnation, first, end in intervals:
        start = crc32(owner.encode()) + incarnation
        while first < end:
            block_end = min(end, (first // SHARE_BLOCK + 1) * SHARE_BLOCK)
            if (start + first // SHARE_BLOCK) % count_of_shares == number:
                found.append((owner, incarnation, first, block_end))
            first = block_end
    return found
