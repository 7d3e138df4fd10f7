"""How facts spread, are repaired, caught up with and let go. No I/O, no clock: (event, now) in, actions out.

Own facts are told to others once they are on disk; what is said to have been seen is what is on disk. Three ways lead
to the same state: a new fact goes to all neighbours at once; who hears another digest from a neighbour twice says what
it has seen and gets what it lacks; of two that have seen the same and differ, ranges of keys are compared.
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
FAN_OUT = 4  # neighbours that a front chooses; as many choose it, on average
HELD_EVERY = 250 * MS  # a digest to each neighbour
HAVE_AGAIN = 500 * MS  # between two lists of what was seen to one peer: they cost bytes by the fleet's size
SEEN_EVERY = 5 * S  # what was seen to one front at random, so that all can tell what may be let go
NEIGHBOURS_FOR = 30 * S  # then others are chosen: a split of the choice must not last
CALLER_FOR = 2 * S
CHUNK = 200  # facts in one message
FACT_BYTES, SPAN_BYTES = 90, 40  # of one on the way, about: what is sent is held to a rate by it
ASKED = 3  # peers from which a front that returns gets what it lacks
SLOW_FOR = 10 * MS  # until a peer that takes nothing is looked at again
TWINS = 50  # facts in one repair: each with another content under its dot costs 0.1 ms
BLOCK = 4096  # counters that one of them is asked for in one piece
ASK_EVERY = 50 * MS  # how it stands is looked at, while a front catches up
MEET = 100 * MS  # from the first peer that is met until some are asked
STUCK = 500 * MS  # without progress: others are asked
LET_GO_EVERY = 2 * S
RANGES_AGAIN = 500 * MS
KEYS_MOST = 1500  # facts whose keys are compared in one go: one turn of the loop on either side
INVALIDATION, SERVER_STATE, HELD_LIST = "purge", "word", "held"


class SpreadRecords(NamedTuple):
    """New facts that spread (`transfer` 0), or the piece `at` of what one peer lacks."""

    facts: list
    transfer: int
    at: int


class TransferEnd(NamedTuple):
    """The end of a transfer: once all its pieces are there, `claims` (lives, as of `VersionVector`) has been seen.

    Not before: what replaced one of them, and so is not among its facts, may stand in any piece.
    """

    transfer: int
    pieces: int
    claims: list


class DigestAnnouncement(NamedTuple):
    """Sent to each neighbour at a fixed interval: a digest of all that the sender holds and has seen."""

    digest: int


class SeenReport(NamedTuple):
    """What the sender has seen, on its disk; with `number` it asks for a share of the rest, `part` (which of how
    many)."""

    lives: list
    root: int
    part: tuple
    number: int


class EvidenceMessage(NamedTuple):
    """What one front has seen of caches and parents, told at `at` (Unix ns): worth less as it ages, never kept."""

    at: int
    believed: list
    resting: list


class CatchUpMark(NamedTuple):
    """What the answering front had seen when it was asked: who asked is as new as that once it has seen it all.

    `live`: it has itself caught up with others, or went on alone.
    """

    number: int
    lives: list
    live: bool


class RangeDigests(NamedTuple):
    """Digests of all ranges of keys, for two replicas that have seen the same and differ."""

    digests: list


class RangeKeys(NamedTuple):
    """The sender's facts of some ranges, by key, dot and digest."""

    ranges: list
    facts: list
    answer: bool


class RepairRecords(NamedTuple):
    """Facts that differ under one key between fronts that have seen the same."""

    facts: list


class SendMessage(NamedTuple):
    """Send a message to one process. `guard` says that it carries records, which are bounded apart."""

    to: str
    message: tuple
    guard: bool = False  # facts: bounded apart from what the protocol itself says


class PersistRecords(NamedTuple):
    """To be kept and synced; then `synced(number)` is called, or `not_kept` with the fault."""

    number: int
    record: tuple  # (facts, claims, keys let go)


class RecordInForce(NamedTuple):
    """A fact that others told and that holds from here on."""

    fact: ReplicatedRecord


class RecordDiscarded(NamedTuple):
    """A fact that is held no more: of no use any longer, or lifted and let go elsewhere."""

    fact: ReplicatedRecord


class CaughtUp(NamedTuple):
    """As new as the peers asked were ("caught-up"), or "alone"; what it took."""

    how: str
    asked: list


class LogEvent(NamedTuple):
    """An event for the log."""

    event: str
    said: dict


class VersionConflict(NamedTuple):
    """A dot of this front's own life has another content elsewhere: it has to be another life."""

    by: str


class TransferPlan:
    """What one peer is to get, and what it may then take as seen."""

    def __init__(self, number, spans, claims):
        self.number, self.spans, self.claims, self.pieces = number, spans, claims, 0


class IncomingTransfer:
    """What comes from one peer: the pieces that are there, and its end where that came first."""

    def __init__(self, number):
        self.number, self.pieces, self.done = number, set(), None


class CatchUpPhase(Enum):
    """Whether this replica looks for peers, asks them for what it lacks, is as new as they were, or goes on alone."""

    IDLE = auto()
    ASKING = auto()
    TOGETHER = auto()
    ALONE = auto()


_packed = msgspec.msgpack.Encoder().encode


class Replica:
    """One process's replica of the fleet's records. (event, now) in, actions out; times in monotonic ns."""

    def __init__(
        self,
        name,
        life,
        chance,
        now,
        rate=8 << 20,
        purge_life=60 * S,
        word_life=86_400 * S,
        alone_after=5 * S,
        most=RECORDS_MAX,
    ):
        """`rate`: bytes a second for all that catch up from here; lives: ns after which a purge, and the word of a
        server that is gone, may be let go."""
        self.name, self.life, self.chance = name, life, chance
        self.rate, self.alone_after = rate, alone_after
        self.lives = {INVALIDATION: purge_life, SERVER_STATE: word_life}
        self.facts, self.counter, self.phase = RecordStore(most), 0, CatchUpPhase.IDLE
        self.ageing, self.order, self.transfers = (
            [],
            count(),
            count(1),
        )  # (when, order, key) of what may be let go
        self.unsaved, self.writing, self.number = ([], [], []), None, 0
        self.on_disk, self.kept = (
            VersionVector(),
            True,
        )  # seen, as far as it is synced; whether the disk takes it
        self.capturing = False  # a snapshot is under way after the disk failed
        self.waiting = []  # own facts, until they are on disk
        self.peers, self.gone = {}, {}  # names there -> what they were last known to have seen; not there
        self.epoch, self.neighbours, self.callers = 0, [], {}
        self.differs, self.have_at, self.ranges_at = {}, {}, {}
        self.plans, self.tokens, self.tokens_at = {}, 0, now
        self.slow = ()  # peers that have not taken what waits for them: told from outside
        self.coming, self.repaired_at = {}, -S  # peer -> Transfer; when a repair last brought something
        self.asked, self.marks, self.ask_number, self.ask_until, self.ask_at, self.moved = (
            {},
            {},
            0,
            0,
            0,
            now,
        )
        self.meet_at = 0  # until when peers are met before some are asked; 0: none was met
        self.unmet = False  # whether some of the file's fronts are not known yet: told from outside
        self.sharing = {}  # asked ones whose share is not there yet
        self.waiting_too = {}  # peers that answered -> whether they still catch up as well
        self.cached, self.changes, self.full, self.bytes_out = (-1, 0), 0, False, 0
        self.timers = {"held": now, "seen": now + SEEN_EVERY, "let_go": now + LET_GO_EVERY, "choose": now}

    # Asked.

    def digest(self):
        """Of all that is held and was seen: equal where two fronts have nothing to tell each other."""
        if self.cached[0] != self.changes:
            seen = xxhash.xxh64_intdigest(_packed(self.facts.seen.as_ranges()))
            self.cached = self.changes, self.facts.root() ^ seen
        return self.cached[1]

    def next_due(self):
        """Return when `due` is to be called next (monotonic ns)."""
        due = min(self.timers.values())
        if self.plans:
            wait = (
                SLOW_FOR
                if all(name in self.slow for name in self.plans)
                else CHUNK * FACT_BYTES * S // self.rate
            )
            due = min(due, self.tokens_at + wait)
        return min(due, self.ask_at) if self.phase is CatchUpPhase.ASKING else due

    def to(self, now):
        """Whom new facts go to: those chosen and those that chose this front."""
        self.callers = {name: at for name, at in self.callers.items() if now - at < CALLER_FOR}
        return list(dict.fromkeys([*self.neighbours, *[n for n in self.callers if n in self.peers]]))

    # What happens.

    def loaded(self, facts, lives, now):
        """What the disk had, before anything else happens."""
        self.facts.seen = VersionVector(lives)
        for fact in facts:
            self.facts.seen.add(fact.dot)
            mine = self.facts.held.get(fact.key)
            if mine is None or (mine.value, mine.dot) < (fact.value, fact.dot):
                if mine is not None:
                    self.facts.let_go(fact.key)
                self.facts.put(fact)
        for fact in self.facts.held.values():
            self._ages(fact, now)
        self.on_disk, self.changes = self.facts.seen.copy(), self.changes + 1

    def told(self, key, value, now):
        """A fact of this front's own. Nothing is made of what is known already."""
        if key[0] == SERVER_STATE:
            state = value[0]
            mine = self.facts.held.get(key)
            if mine is not None and mine.value[2] == state or mine is None and state == SourceState.LIFTED:
                return self._orphans(key, now) if state == SourceState.LIFTED else []
            value = self.life, self.counter + 1, state
        elif (mine := self.facts.held.get(key)) is not None and mine.value >= value:
            return []
        done = self._own(key, value, now)
        if key[0] == SERVER_STATE and value[2] == SourceState.LIFTED:
            done += self._orphans(key, now)
        return done + self._saved() + self._unkept(now)

    def heard(self, sender, message, now):
        """Take a message of another replica."""
        match message:
            case SpreadRecords():
                return _together(self._tell(sender, message, now))
            case TransferEnd():
                return self._done(sender, message, now)
            case DigestAnnouncement():
                self.callers[sender] = now
                return self.compared(sender, message.digest, now)
            case SeenReport():
                return self._have(sender, message, now)
            case CatchUpMark():
                if message.number == self.ask_number and self.phase is CatchUpPhase.ASKING:
                    self.marks[sender], self.moved = VersionVector(message.lives), now
                    self.waiting_too[sender] = not message.live
                return self._caught_up(now)
            case RangeDigests():
                return self._ranges(sender, message)
            case RangeKeys():
                return self._keys(sender, message, now)
            case RepairRecords():
                done = [a for fact in message.facts for a in self._joined(sender, fact, now, repair=True)]
                return _together(done + self._saved())
        return []

    def stands(self, name, there, now):
        """A member came, or went: what it had seen counts no more for what may be let go once it is fenced."""
        if there and name not in self.peers and name != self.name:
            self.peers[name] = self.gone.pop(name, None) or VersionVector()
            self._choose(now)
            if self.phase is CatchUpPhase.ALONE:
                return self.asks(now)
        elif not there and name in self.peers:
            self.gone[name] = self.peers.pop(name)
            while len(self.gone) > 1000:
                del self.gone[next(iter(self.gone))]
            for table in (self.plans, self.coming, self.differs, self.have_at, self.ranges_at, self.callers):
                table.pop(name, None)
            if name in self.neighbours:
                self._choose(now)
        return []

    def fenced(self, now):
        """The others went on without this front: what they let go is learnt before anything is told."""
        return [
            SendMessage(peer, self._have_message())
            for peer in self.chance.pick("fenced", sorted(self.peers), ASKED)
        ]

    def renewed(self, name, life):
        """This front is another life from here on; what waited for the disk goes out as it is."""
        self.name, self.life, self.counter = name, life, 0

    def synced(self, number, now):
        """The write of that number is on disk; what waited for it goes out."""
        if self.writing is None or self.writing[0] != number:
            return []
        self.on_disk, released = self.writing[1], self.writing[2]
        self.writing, self.kept = None, True
        done = self._spread(released, "", now)
        return done + self._saved() + self._caught_up(now)

    def not_kept(self, number, fault, now):
        """The disk fails. A guard fact makes others more careful, so it goes on; what was seen is not said any more."""
        released, self.writing, was, self.kept = (
            self.writing[2] if self.writing else [],
            None,
            self.kept,
            False,
        )
        self.waiting = released + self.waiting
        note = [LogEvent("fleet_not_kept", {"error": fault})] if was else []
        return note + self._unkept(now) + self._caught_up(now)

    def _unkept(self, now):
        """Own facts that come while the disk fails: no write follows that would let them go out."""
        if self.kept:
            return []
        released, self.waiting = self.waiting, []
        return self._spread(released, "", now)

    def due(self, now):
        """Run what is due by `now` (monotonic ns)."""
        done = []
        for what in [what for what, at in self.timers.items() if at <= now]:
            done += getattr(self, "_due_" + what)(now)
        return (
            done
            + self._unkept(now)
            + self._feed(now)
            + (self._asking(now) if self.phase is CatchUpPhase.ASKING else [])
        )

    # Own facts and the disk.

    def _own(self, key, value, now):
        self.counter += 1
        fact = ReplicatedRecord(key, value, (self.name, self.life, self.counter))
        joined, _ = self.facts.join(fact)
        if joined is JoinResult.FULL:
            self.counter -= 1
            return self._no_room(fact)
        if joined is JoinResult.NEW:
            self._keep(fact, now)
            self.waiting.append(fact)
        return []

    def _orphans(self, key, now):
        """This front heard its source lift it: so falls the word of one who heard the same and is there no more."""
        for owner in sorted(self.gone):
            theirs = self.facts.held.get((*key[:4], owner))
            if theirs is not None and theirs.value[2] != SourceState.LIFTED:
                self._own(theirs.key, (*theirs.value[:2], int(SourceState.LIFTED)), now)
        return self._saved()

    def _keep(self, fact, now):
        self.changes += 1
        self.unsaved[0].append(fact)
        self._ages(fact, now)
        for plan in self.plans.values():
            # Or its end could claim a counter whose fact this one replaces, and the peer had neither.
            plan.spans.append((*fact.dot[:2], fact.dot[2], fact.dot[2] + 1))

    def _saved(self):
        """One write at a time: what comes meanwhile goes out with the next one."""
        if self.writing is not None or not any(self.unsaved):
            return []
        if not self.kept:
            # Kept as a mere list of what a later snapshot has anyway, it would grow for as long as the disk is full.
            if not self.capturing:
                self.unsaved = [], [], []
            return []
        self.number += 1
        record, self.unsaved = self.unsaved, ([], [], [])
        self.writing, self.waiting = (self.number, self.facts.seen.copy(), self.waiting), []
        return [PersistRecords(self.number, record)]

    def captured(self):
        """(facts, what was seen) for a snapshot; where the disk failed, what comes from here on follows it."""
        self.capturing = not self.kept
        if self.capturing:
            self.unsaved = [], [], []
        return list(self.facts.held.values()), self.facts.seen.as_ranges()

    def disk_is_back(self, lives, now):
        """That snapshot is on disk."""
        self.kept, self.capturing, self.on_disk = True, False, VersionVector(lives)
        return self._saved() + self._caught_up(now)

    def _no_room(self, fact):
        first, self.full = not self.full, True
        return (
            [LogEvent("fleet_full", {"facts": len(self.facts.held), "key": list(fact.key)})] if first else []
        )

    # Spread.

    def _spread(self, facts, sender, now):
        if not facts:
            return []
        message = SpreadRecords(facts, 0, 0)
        return [SendMessage(peer, message, True) for peer in self.to(now) if peer != sender]

    def _tell(self, sender, message, now):
        done = [a for fact in message.facts for a in self._joined(sender, fact, now)]
        if message.transfer:
            coming = self._coming(sender, message.transfer, now)
            coming.pieces.add(message.at)
            return done + self._whole(sender, coming) + self._saved()  # who else lacks it asks as well
        # What a full table has no room for is obeyed and not passed on: it would go round for ever.
        new = [a.fact for a in done if isinstance(a, RecordInForce) and a.fact.key in self.facts.held]
        return done + self._spread(new, sender, now) + self._saved()

    def _done(self, sender, message, now):
        coming = self._coming(sender, message.transfer, now)
        coming.done = message
        self.sharing.pop(sender, None)
        return self._whole(sender, coming) + self._saved() + self._caught_up(now)

    def _coming(self, sender, number, now):
        self.moved = self.repaired_at = now
        if sender not in self.coming or self.coming[sender].number != number:
            self.coming[sender] = IncomingTransfer(number)
        return self.coming[sender]

    def _whole(self, sender, coming):
        if coming.done is None or len(coming.pieces) < coming.done.pieces:
            return []
        for owner, life, ends in coming.done.claims:
            for first, past in zip(ends[::2], ends[1::2], strict=True):
                self.facts.seen.add_range(owner, life, first, past)
                self.unsaved[1].append((owner, life, first, past))
        self.changes += 1
        del self.coming[sender]
        return []

    def _joined(self, sender, fact, now, repair=False):
        mine = self.facts.held.get(fact.key)
        joined, _ = self.facts.join(fact)
        if joined is JoinResult.NEW:
            self._keep(fact, now)
            return [RecordInForce(fact)]
        if joined is JoinResult.FULL:
            return [*self._no_room(fact), RecordInForce(fact)]
        if joined is JoinResult.OLD:
            if mine is None or fact.dot != mine.dot:
                self.unsaved[1].append((*fact.dot[:2], fact.dot[2], fact.dot[2] + 1))
                self.changes += 1
            if not repair or mine is None or mine.value >= fact.value:
                return []
        return self._twice(sender, fact, now)

    def _twice(self, sender, fact, now):
        """One dot, two contents. Neither may be lost, others have seen the dot: both go on under dots of this front."""
        done = [LogEvent("fleet_dot_twice", {"dot": list(fact.dot), "key": list(fact.key), "by": sender})]
        mine, there = self.facts.held.get(fact.key), self.facts.at.get(fact.dot[:2], {}).get(fact.dot[2])
        if there is not None and (there != fact.key or mine.value > fact.value):
            if fact.dot[0] not in (self.name, sender) and fact.dot[0] in self.peers:
                done.append(SendMessage(fact.dot[0], RepairRecords([self.facts.held[there], fact]), True))
            self._out_under_own(self.facts.held[there], now)
        if mine is None or mine.value < fact.value:
            done += [*self._own(fact.key, fact.value, now), RecordInForce(fact)]
        if fact.dot[:2] == (self.name, self.life):
            done.append(VersionConflict(sender))
        return done + self._saved()

    def _out_under_own(self, fact, now):
        """The same fact under a dot of this front's own, which no one has seen yet."""
        self.counter += 1
        fresh = ReplicatedRecord(fact.key, fact.value, (self.name, self.life, self.counter))
        self.facts.let_go(fact.key)
        self.facts.join(fresh)
        self._keep(fresh, now)
        self.waiting.append(fresh)

    # Repair.

    def _have_message(self, part=(0, 1), number=0):
        # To ask for the rest, what is here: by what is on disk all that is being written would be sent once more.
        seen = self.facts.seen if number else self.on_disk
        return SeenReport(seen.as_ranges(), self.facts.root(), part, number)

    def _due_held(self, now):
        self.timers["held"] = now + HELD_EVERY
        return [SendMessage(peer, DigestAnnouncement(self.digest())) for peer in self.to(now)]

    def compared(self, sender, theirs, now):
        """A peer's digest, from a neighbour or with a probe."""
        if theirs == self.digest() or sender not in self.peers:
            self.differs.pop(sender, None)
            return []
        # What is just spreading differs as well: only what differs twice is asked after, and from one peer at a time.
        first = sender not in self.differs
        self.differs[sender] = now
        if first or self.phase is CatchUpPhase.ASKING or now - self.repaired_at < HELD_EVERY:
            return []
        if now - self.have_at.get(sender, -S) < HAVE_AGAIN:
            return []
        self.have_at[sender] = self.repaired_at = now
        return [SendMessage(sender, self._have_message())]

    def _due_seen(self, now):
        self.timers["seen"] = now + SEEN_EVERY
        return [
            SendMessage(peer, self._have_message()) for peer in self.chance.pick("seen", sorted(self.peers))
        ]

    def _have(self, sender, message, now):
        theirs = VersionVector(message.lives)
        if sender in self.peers and not message.number:
            self.peers[sender] = theirs
        live = self.phase in (CatchUpPhase.TOGETHER, CatchUpPhase.ALONE)
        done = (
            [SendMessage(sender, CatchUpMark(message.number, self.on_disk.as_ranges(), live))]
            if message.number
            else []
        )
        lacks = _share(theirs.missing(self.on_disk), message.part)
        if lacks:
            # A share makes no claims: what replaced one of its facts may come with another peer's share.
            claims = VersionVector()
            for span in lacks if message.part[1] <= 1 else ():
                claims.add_range(*span)
            self.plans[sender] = TransferPlan(next(self.transfers), lacks, claims.as_ranges())
            return done + self._feed(now)
        self.plans.pop(sender, None)
        if message.number:
            return [*done, SendMessage(sender, TransferEnd(next(self.transfers), 0, []), True)]
        if not self.facts.seen.covers(theirs):
            # While it catches up, or a transfer comes, one more list would have all of it sent twice.
            under_way = self.phase is CatchUpPhase.ASKING or now - self.repaired_at < HAVE_AGAIN
            if not under_way and now - self.have_at.get(sender, -S) >= HAVE_AGAIN:
                self.have_at[sender] = now
                done.append(SendMessage(sender, self._have_message()))
        elif message.root != self.facts.root() and now - self.ranges_at.get(sender, -S) >= RANGES_AGAIN:
            self.ranges_at[sender] = now
            done.append(SendMessage(sender, RangeDigests(list(self.facts.ranges))))
        return done

    def _feed(self, now):
        """Facts for those that lack some, in turn, held to the rate."""
        if not self.plans:
            self.tokens_at = now
            return []
        burst = CHUNK * FACT_BYTES * 2
        self.tokens = min(burst, self.tokens + (now - self.tokens_at) * self.rate // S)
        self.tokens_at, done = now, []
        while self.tokens > 0:
            # What a slow peer has not taken yet would be dropped at the bound of its queue, and sent all over again.
            peer = next((name for name in self.plans if name not in self.slow), None)
            if peer is None:
                break
            plan, facts = self.plans.pop(peer), []
            looked = 0
            while plan.spans and len(facts) < CHUNK and looked < CHUNK:
                owner, life, first, past = plan.spans.pop()
                found, upto = self.facts.between(owner, life, first, past, CHUNK - len(facts))
                facts += found
                looked += 1
                if upto < past:
                    plan.spans.append((owner, life, upto, past))
            cost = len(facts) * FACT_BYTES
            if facts:
                done.append(SendMessage(peer, SpreadRecords(facts, plan.number, plan.pieces), True))
                plan.pieces += 1
            if plan.spans:
                self.plans[peer] = plan  # at the end: the next one's turn
            else:
                done.append(SendMessage(peer, TransferEnd(plan.number, plan.pieces, plan.claims), True))
                cost += len(plan.claims) * SPAN_BYTES
            self.tokens -= cost
            self.bytes_out += cost
        return done

    def _ranges(self, sender, message):
        if len(message.digests) != BUCKETS:
            return []
        chosen, size, own = [], 0, self.facts
        for at in [at for at in range(BUCKETS) if message.digests[at] != own.ranges[at]]:
            size += len(own.in_range[at])
            if size <= KEYS_MOST or not chosen:
                chosen.append(at)
        return [SendMessage(sender, self._keys_of(chosen, True))] if chosen else []

    def _keys_of(self, ranges, answer):
        facts = [(f.key, f.dot, hashed) for f, hashed in self.facts.keys_in(set(ranges))]
        return RangeKeys(ranges, facts, answer)

    def _keys(self, sender, message, now):
        """What differs goes there; a word that the other has seen and let go is let go here as well."""
        chosen, theirs = (
            {at for at in message.ranges if 0 <= at < BUCKETS},
            {k: h for k, _, h in message.facts},
        )
        differ, done, seen = [], [], self.peers.get(sender) or VersionVector()
        for fact, hashed in self.facts.keys_in(chosen):
            if fact.key not in theirs:
                if fact.key[0] == SERVER_STATE and seen.contains(fact.dot):
                    done += [
                        *self._forget(fact.key),
                        RecordInForce(fact._replace(value=(*fact.value[:2], int(SourceState.LIFTED)))),
                    ]
            elif theirs[fact.key] != hashed:
                differ.append(fact)
        # In pieces: each fact takes a new dot over there, and thousands in one turn would hold up its GETs.
        done += [
            SendMessage(sender, RepairRecords(differ[at : at + TWINS]), True)
            for at in range(0, len(differ), TWINS)
        ]
        if message.answer:
            done.append(SendMessage(sender, self._keys_of(sorted(chosen), False)))
        return done + self._saved()

    # Letting go.

    def _due_let_go(self, now):
        """What has outlived its use, once all that are there have seen it; who is fenced learns it by its dot."""
        self.timers["let_go"], done = now + LET_GO_EVERY, []
        while self.ageing and self.ageing[0][0] <= now:
            key = heapq.heappop(self.ageing)[2]
            fact = self.facts.held.get(key)
            if fact is None or self._life(fact) is None:
                continue  # a newer one of this key has a time of its own
            if self.on_disk.contains(fact.dot) and all(
                seen.contains(fact.dot) for seen in self.peers.values()
            ):
                done += self._forget(key)
            else:
                heapq.heappush(self.ageing, (now + SEEN_EVERY, next(self.order), key))
        return done + self._saved()

    def _life(self, fact):
        """How long it is of use (ns); None where that has no end: a drain that stands, a removal that is held."""
        if fact.key[0] == INVALIDATION or fact.key[0] == SERVER_STATE and fact.value[2] == SourceState.LIFTED:
            return self.lives[INVALIDATION]
        return (
            self.lives[SERVER_STATE]
            if fact.key[0] == SERVER_STATE and fact.value[2] == SourceState.GONE
            else None
        )

    def _ages(self, fact, now):
        if (life := self._life(fact)) is not None:
            heapq.heappush(self.ageing, (now + life, next(self.order), fact.key))

    def _forget(self, key):
        fact = self.facts.held[key]
        self.facts.let_go(key)
        self.unsaved[2].append(key)
        self.changes += 1
        self.full = False
        return [RecordDiscarded(fact)]

    # Neighbours.

    def _due_choose(self, now):
        self.epoch += 1
        return self._choose(now)

    def _choose(self, now):
        """By hash, so that fronts choose apart; others after a while."""
        self.timers["choose"] = now + NEIGHBOURS_FOR
        ranked = sorted(
            self.peers,
            key=lambda name: (crc32(f"{self.name}/{name}/{self.epoch}".encode()) * 2654435761 % 2**32, name),
        )
        self.neighbours = ranked[:FAN_OUT]
        return []

    # Catching up.

    def asks(self, now):
        """This front returns: it is live once it has seen what those that it asks had seen when they were asked."""
        self.phase, self.ask_until, self.moved = CatchUpPhase.ASKING, now + self.alone_after, now
        # Not at once: all that return together would ask the first that any of them hears of.
        self.asked, self.marks, self.meet_at = {}, {}, now + MEET
        return []

    def _ask(self, now):
        self.ask_number += 1
        # Against many that return at once and ask each other: those known to wait as well come last.
        names = sorted(self.peers, key=lambda name: (self.waiting_too.get(name, False), self.chance(name)))[
            :ASKED
        ]
        self.asked, self.marks, self.moved = dict.fromkeys(names), {}, now
        self.sharing = dict.fromkeys(names)
        return [
            SendMessage(name, self._have_message((at, len(names)), self.ask_number))
            for at, name in enumerate(names)
        ]

    def _asking(self, now):
        # A time of its own: by those that have passed while it waits for more, it would be due without end.
        self.ask_at = now + ASK_EVERY
        if done := self._caught_up(now):
            return done
        if now >= self.ask_until and not (self.marks and now - self.moved < self.alone_after):
            self.phase = CatchUpPhase.ALONE
            return [CaughtUp("alone", [])]
        if not self.asked:
            return self._ask(now) if self.peers and now >= self.meet_at else []
        # On a busy machine a transfer that has begun only stands still: asked for anew, all on the way comes twice.
        patience = min(6 * STUCK, self.alone_after // 2) if self.coming else STUCK
        if now - self.moved < patience and (self.sharing or not self.marks):
            return []
        uncovered = [
            name
            for name, mark in self.marks.items()
            if name in self.peers and not self.facts.seen.covers(mark)
        ]
        if not uncovered and any(not self.on_disk.covers(mark) for mark in self.marks.values()) and self.kept:
            return []  # it is all here, and being written
        if uncovered:
            # Shares overlap where peers had seen different things: the rest from each that still has some.
            self.moved, self.sharing = now, dict.fromkeys(uncovered[:1])
            return [SendMessage(uncovered[0], self._have_message((0, 1), self.ask_number))]
        return self._ask(now)

    def _caught_up(self, now):
        """Live once it covers every mark of those asked that are still there, and one at least; on disk as well."""
        if self.phase is not CatchUpPhase.ASKING or not self.marks:
            return []
        there = [name for name in self.asked if name in self.peers]
        if now >= self.ask_until:
            there = [name for name in there if name in self.marks]  # one that is heard but doesn't hear
        if not there or any(name not in self.marks for name in there):
            return []
        if (
            now < self.ask_until + self.alone_after
            and all(self.waiting_too[n] for n in there)
            and (
                any(not self.waiting_too.get(name, False) for name in self.peers)
                or self.unmet
                and now < self.ask_until
            )
        ):
            return []  # none of them can tell more than this one, and others may
        seen = self.on_disk if self.kept else self.facts.seen
        if not all(seen.covers(self.marks[name]) for name in there):
            return []
        self.phase = CatchUpPhase.TOGETHER
        return [CaughtUp("caught-up", there)]


def _together(actions):
    """Of many twins in one message one note and one repair to each owner: a copied disk has thousands."""
    notes = [a for a in actions if isinstance(a, LogEvent) and a.event == "fleet_dot_twice"]
    if len(notes) < 2:
        return actions
    repairs, rest = {}, []
    for action in actions:
        if isinstance(action, SendMessage) and isinstance(action.message, RepairRecords):
            repairs.setdefault(action.to, []).extend(action.message.facts)
        elif action not in notes:
            rest.append(action)
    note = notes[0]._replace(said={**notes[0].said, "count": len(notes)})
    return [
        note,
        *rest,
        *[SendMessage(to, RepairRecords(facts[:CHUNK]), True) for to, facts in repairs.items()],
    ]


def _share(spans, part):
    """The part of the spans, cut in blocks, that one of several peers is asked for."""
    which, of = part
    if of <= 1:
        return spans
    found = []
    for owner, life, first, past in spans:
        start = crc32(owner.encode()) + life
        while first < past:
            upto = min(past, (first // BLOCK + 1) * BLOCK)
            if (start + first // BLOCK) % of == which:
                found.append((owner, life, first, upto))
            first = upto
    return found
