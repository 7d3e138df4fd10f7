"""Guard facts: keyed, each under a dot, joined by the greater value. No I/O, no clock of its own.

Every value is a tuple made so that the one that must hold is the greater; of equal values the greater dot stands. So
the join is the same in any order, however often a fact comes. The kinds:

    ("purge", "object" | "group", id)            (Unix time of the purge, ns,)      the later floor holds
    ("word", server, start, source, owner)       (life, counter, state)             the owner's newer word holds
    ("held", digest)                             (state,)                           a confirmed removal stays confirmed

A word is what one front heard from one source of its own of one server's start: DRAINING, GONE or LIFTED. Its owner
alone makes a new one (its life and counter order them). Where the owner is gone, another front that itself hears the
source lift it may say LIFTED upon the very word that it knows (the same life and counter): a newer word of the owner
still stands against that.
"""

from bisect import bisect_left, insort
from enum import Enum, IntEnum, auto
from typing import NamedTuple

import msgspec
import xxhash

from sprucegate.fleet.replica.version_vector import VersionVector

BUCKETS = 256  # ranges of keys that are compared by digest
RECORDS_MAX = 250_000  # a snapshot of as many stays within its bound in bytes


class SourceState(IntEnum):
    """What one source says of a server: it drains, it is gone, or the former word is lifted. Stored by number."""

    DRAINING = 0
    GONE = 1
    LIFTED = 2


class ReplicatedRecord(NamedTuple):
    """One replicated record.

    :ivar key: its kind, then what it is about.
    :ivar value: what holds; the larger of two values stands.
    :ivar dot: its version: owner, incarnation and counter.
    """

    key: tuple
    value: tuple
    dot: tuple


class JoinResult(Enum):
    """What became of a record that was offered to the store."""

    NEW = auto()  # it holds from here on
    OLD = auto()  # seen before, or what is held stands against it
    OTHER = auto()  # another content under a dot that was seen: a twin of its owner, or a disk put back
    FULL = auto()  # no room; what is held stays


_packed = msgspec.msgpack.Encoder().encode


def key_range(key):
    """Return the range of keys that a key belongs to, 0 to BUCKETS - 1."""
    return xxhash.xxh64_intdigest(_packed(key)) % BUCKETS


def digest(fact):
    """Return a record's digest, 64 bits."""
    return xxhash.xxh64_intdigest(_packed(fact))


class RecordStore:
    """Facts, what was seen, and digests of ranges of keys, kept in step."""

    def __init__(self, most=RECORDS_MAX):
        self.most, self.held, self.seen = most, {}, VersionVector()
        self.kinds = {}  # how many are held, by kind
        self.counters, self.at = {}, {}  # (owner, life) -> counters, sorted; -> {counter: key}
        self.ranges = [0] * BUCKETS  # xor of the digests of the facts in each
        self.in_range = [
            {} for _ in range(BUCKETS)
        ]  # key -> digest: a packed fact is not hashed anew to be compared

    def root(self):
        """Return one digest over the digests of all ranges."""
        return xxhash.xxh64_intdigest(b"".join(one.to_bytes(8, "big") for one in self.ranges))

    def join(self, fact):
        """(Joined, the fact that held before under this key, or None)."""
        mine = self.held.get(fact.key)
        if self.seen.contains(fact.dot):
            there = self.at.get(fact.dot[:2], {}).get(fact.dot[2])
            if there is None or there == fact.key and mine.value == fact.value:
                return JoinResult.OLD, mine  # let go, replaced, or the same once more
            return JoinResult.OTHER, mine
        if mine is None and len(self.held) >= self.most:
            return JoinResult.FULL, None  # not seen either: it may come again once there is room
        self.seen.add(fact.dot)
        if mine is not None and (mine.value, mine.dot) >= (fact.value, fact.dot):
            return JoinResult.OLD, mine
        if mine is not None:
            self._out(mine)
        self.put(fact)
        return JoinResult.NEW, mine

    def let_go(self, key):
        """The fact is forgotten, its dot stays seen: it never comes back under it."""
        self._out(self.held[key])

    def between(self, owner, life, first, past, most):
        """At most `most` facts under the counters [first, past), and up to which counter these are all."""
        counters, at = self.counters.get((owner, life), []), self.at.get((owner, life), {})
        begin = bisect_left(counters, first)
        taken = counters[begin : begin + most]
        upto = past if len(taken) < most or taken[-1] >= past else taken[-1] + 1
        return [self.held[at[n]] for n in taken if n < past], min(past, upto)

    def keys_in(self, chosen):
        """(fact, digest) of those whose keys lie in those ranges."""
        return [
            (self.held[key], hashed) for at in sorted(chosen) for key, hashed in self.in_range[at].items()
        ]

    def put(self, fact):
        """Hold a record; one that its key had has been let go before."""
        self.held[fact.key] = fact
        self.kinds[fact.key[0]] = self.kinds.get(fact.key[0], 0) + 1
        owner = fact.dot[:2]
        counters = self.counters.setdefault(owner, [])
        if not counters or counters[-1] < fact.dot[2]:
            counters.append(fact.dot[2])
        else:
            insort(counters, fact.dot[2])
        self.at.setdefault(owner, {})[fact.dot[2]] = fact.key
        at = key_range(fact.key)
        self.in_range[at][fact.key] = hashed = digest(fact)
        self.ranges[at] ^= hashed

    def _out(self, fact):
        del self.held[fact.key]
        self.kinds[fact.key[0]] -= 1
        owner, counters = fact.dot[:2], self.counters[fact.dot[:2]]
        del counters[bisect_left(counters, fact.dot[2])]
        del self.at[owner][fact.dot[2]]
        if not counters:
            del self.counters[owner], self.at[owner]
        at = key_range(fact.key)
        self.ranges[at] ^= self.in_range[at].pop(fact.key)
