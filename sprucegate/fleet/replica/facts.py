"""The store of replicated records: by key, each of one version, joined by the greater value. No I/O, no clock.

A value is a tuple made so that the one that must hold is the greater; of equal values the greater version stands. So
the join has the same result in any order, however often a record arrives. Keys and values by kind:

    ("purge", "object" | "group", id)            (Unix time of the invalidation, ns,)  the later one holds
    ("word", server, start, source, owner)       (incarnation, counter, state)         the owner's newer state holds
    ("held", digest)                             (state,)                              a confirmed list stays confirmed

A "word" record is what one front heard from one of its own sources of one start of a server: DRAINING, GONE or LIFTED.
Only its owner makes a new one, ordered by the owner's incarnation and counter. Where the owner is gone, another front
that itself hears the source lift the state may write LIFTED with the incarnation and counter of the record that it
knows: a newer record of the owner still overrides that.
"""

from bisect import bisect_left, insort
from enum import Enum, IntEnum, auto
from typing import NamedTuple

import msgspec
import xxhash

from sprucegate.fleet.replica.version_vector import VersionVector

BUCKETS = 256  # ranges of keys that are compared by digest
RECORDS_MAX = 250_000  # a snapshot of this many stays below SNAPSHOT_BYTES_MAX (storage/snapshots.py)


class SourceState(IntEnum):
    """What one source says of a server: draining, gone, or the earlier state lifted. Stored by number."""

    DRAINING = 0
    GONE = 1
    LIFTED = 2


class ReplicatedRecord(NamedTuple):
    """One replicated record.

    :ivar key: its kind, then what it is about.
    :ivar value: what holds; the larger of two values stands.
    :ivar version: its version: owner, incarnation and counter.
    """

    key: tuple
    value: tuple
    version: tuple


class JoinResult(Enum):
    """What became of a record that was offered to the store."""

    NEW = auto()  # it holds from here on
    OLD = auto()  # seen before, or overridden by the record held
    # Other content under a version that was seen: two processes of one identity, or a restored disk.
    OTHER = auto()
    FULL = auto()  # no room; what is held stays


_pack = msgspec.msgpack.Encoder().encode


def key_range(key):
    """Return the range of keys that a key belongs to, 0 to BUCKETS - 1."""
    return xxhash.xxh64_intdigest(_pack(key)) % BUCKETS


def digest(record):
    """Return a record's digest, 64 bits."""
    return xxhash.xxh64_intdigest(_pack(record))


class RecordStore:
    """Records, the versions seen, and digests of ranges of keys, kept in step.

    :ivar held: records by key
    :ivar seen: versions seen, also of records that were replaced or removed
    :ivar count_by_kind: how many records are held, by kind
    :ivar range_digests: XOR of the digests of the records in each range of keys
    """

    def __init__(self, max_records=RECORDS_MAX):
        self.max_records = max_records
        self.held = {}
        self.seen = VersionVector()
        self.count_by_kind = {}
        self.counters = {}  # (owner, incarnation) -> counters of the records held, sorted
        self.key_by_counter = {}  # (owner, incarnation) -> {counter: key}
        self.range_digests = [0] * BUCKETS
        # Per range, key -> digest: records are not hashed again to be compared.
        self.digests_by_key = [{} for _ in range(BUCKETS)]

    def root(self):
        """Return one digest over the digests of all ranges."""
        return xxhash.xxh64_intdigest(b"".join(one.to_bytes(8, "big") for one in self.range_digests))

    def join(self, record):
        """Offer a record; return the JoinResult and the record held before under its key, or None."""
        current = self.held.get(record.key)
        if self.seen.contains(record.version):
            held_key = self.key_by_counter.get(record.version[:2], {}).get(record.version[2])
            if held_key is None or held_key == record.key and current.value == record.value:
                return JoinResult.OLD, current  # removed, replaced, or a duplicate
            return JoinResult.OTHER, current
        if current is None and len(self.held) >= self.max_records:
            return JoinResult.FULL, None  # nor counted as seen: it may arrive again once there is room
        self.seen.add(record.version)
        if current is not None and (current.value, current.version) >= (record.value, record.version):
            return JoinResult.OLD, current
        if current is not None:
            self._take_out(current)
        self.put(record)
        return JoinResult.NEW, current

    def remove(self, key):
        """Remove a record. Its version stays seen, so it never returns under that version."""
        self._take_out(self.held[key])

    def in_interval(self, owner, incarnation, first, end, limit):
        """Return at most `limit` records with counters in [first, end), and the counter up to which these are all."""
        counters = self.counters.get((owner, incarnation), [])
        keys = self.key_by_counter.get((owner, incarnation), {})
        begin = bisect_left(counters, first)
        taken = counters[begin : begin + limit]
        complete_to = end if len(taken) < limit or taken[-1] >= end else taken[-1] + 1
        return [self.held[keys[n]] for n in taken if n < end], min(end, complete_to)

    def in_ranges(self, chosen):
        """Return the records of these ranges of keys, each with its digest."""
        return [
            (self.held[key], hashed)
            for at in sorted(chosen)
            for key, hashed in self.digests_by_key[at].items()
        ]

    def put(self, record):
        """Hold a record; one held before under its key must have been removed."""
        self.held[record.key] = record
        self.count_by_kind[record.key[0]] = self.count_by_kind.get(record.key[0], 0) + 1
        owner = record.version[:2]
        counters = self.counters.setdefault(owner, [])
        if not counters or counters[-1] < record.version[2]:
            counters.append(record.version[2])
        else:
            insort(counters, record.version[2])
        self.key_by_counter.setdefault(owner, {})[record.version[2]] = record.key
        at = key_range(record.key)
        self.digests_by_key[at][record.key] = hashed = digest(record)
        self.range_digests[at] ^= hashed

    def _take_out(self, record):
        del self.held[record.key]
        self.count_by_kind[record.key[0]] -= 1
        owner, counters = record.version[:2], self.counters[record.version[:2]]
        del counters[bisect_left(counters, record.version[2])]
        del self.key_by_counter[owner][record.version[2]]
        if not counters:
            del self.counters[owner], self.key_by_counter[owner]
        at = key_range(record.key)
        self.range_digests[at] ^= self.digests_by_key[at].pop(record.key)
