"""Weighted rendezvous hashing: the order of a group's servers for a key.

For a key each server has the score weight / log(u), where u is a hash of server and key in (0, 1); the lowest
score comes first (Thaler and Ravishankar 1998, with the weights of Schindelhauer and Schomaker 2005). All
routers compute the same order. Adding or removing a server moves only the keys that it receives or had.

Callers need only the first few of thousands of servers. The hashes of all servers are therefore computed
together, as 64-bit lanes of one large integer, and only servers that may be among the first are scored. The
result is the same as that of scoring and sorting all of them.
"""

from array import array
from collections import Counter
from functools import lru_cache
from heapq import nlargest
from math import exp, log
from typing import Any, NamedTuple, Protocol
from zlib import crc32

from sprucegate.routing.hashing import LOW_32_BITS, MURMUR_FACTOR_1, MURMUR_FACTOR_2, hash32

LABEL_BYTES = 8
LANE_BYTES = 8  # a 32-bit hash, and room above it for a product
HASH_RANGE = 2**32
SMALL_GROUP = 32  # up to this size it is faster to score and sort all servers
ZEROS = bytes(LABEL_BYTES)


class Member(Protocol):
    """Interface of a server in a group; `label` is `label_of(id)` and `lane` is `lane_of(label)`."""

    id: int
    label: bytes
    lane: bytes


def label_of(node_id: int) -> bytes:
    """The bytes that are hashed for a server's id."""
    return node_id.to_bytes(LABEL_BYTES, "big")


def score(weight: float, hashed: int) -> float:
    """Score of a server by its weight and its 32-bit hash with the key; never positive."""
    return weight / log((hashed + 0.5) / HASH_RANGE)


class _Lanes(NamedTuple):
    """Integers that hold one value in each lane."""

    ones: int
    low_words: int  # the low 32 bits of each lane set
    indices: int  # the position of each lane


@lru_cache(8)
def _lanes(count: int) -> _Lanes:
    ones = int.from_bytes(b"\1\0\0\0\0\0\0\0" * count, "little")
    return _Lanes(ones, ones * LOW_32_BITS, int.from_bytes(array("Q", range(count)).tobytes(), "little"))


def lane_of(label: bytes) -> bytes:
    """The lane of a server; stored with the server, as groups change more often than servers."""
    return crc32(label).to_bytes(LANE_BYTES, "little")


class Rendezvous:
    """One group of servers, in an order that the caller maintains.

    :ivar nodes: its servers.
    :ivar weights: their weights.
    :ivar lanes: their lanes, concatenated.
    :ivar weight_counts: number of servers by weight.
    """

    def __init__(self) -> None:
        self.nodes: list[Any] = []
        self.weights: list[float] = []
        self.lanes = bytearray()
        self.weight_counts: Counter[float] = Counter()

    def insert(self, position: int, node: Member, weight: float) -> None:
        """Insert a server at a position."""
        self.nodes.insert(position, node)
        self.weights.insert(position, weight)
        self.lanes[LANE_BYTES * position : LANE_BYTES * position] = node.lane
        self.weight_counts[weight] += 1

    def remove(self, position: int) -> None:
        """Remove the server at a position."""
        weight = self.weights.pop(position)
        del self.nodes[position], self.lanes[LANE_BYTES * position : LANE_BYTES * (position + 1)]
        self.weight_counts[weight] -= 1
        if not self.weight_counts[weight]:
            del self.weight_counts[weight]

    def weight(self) -> float:
        """Total weight; from counts, as a sum over thousands of servers is slow and a running sum drifts."""
        return sum([weight * count for weight, count in self.weight_counts.items()])

    def best(self, key: bytes, limit: int) -> list[Any]:
        """The first `limit` servers for a key, or all where there are fewer."""
        seed = hash32(key)
        if len(self.nodes) <= SMALL_GROUP or 2 * limit >= len(self.nodes):
            scored = [
                (score(weight, hash32(node.label, seed)), node.id, node)
                for node, weight in zip(self.nodes, self.weights, strict=True)
            ]
        else:
            scored = self._scored(seed, limit)
        return [node for _, _, node in sorted(scored)[:limit]]

    def _scored(self, seed: int, limit: int) -> list[tuple[float, int, Any]]:
        """(score, id, node) of all servers that may be among the first `limit`."""
        hashed = self._hashes(seed)
        first = nlargest(limit, hashed)
        if len(self.weight_counts) > 1:
            # A heavier server may precede these with a lower hash, but not with one below this bound.
            worst = max(score(self.weights[h & LOW_32_BITS], h >> 32) for h in first)
            least = max(0, int(exp(max(self.weight_counts) / worst) * HASH_RANGE) - 2) << 32
            first = [h for h in hashed if h >= least]
        pairs = [(h & LOW_32_BITS, h >> 32) for h in first]
        return [
            (score(self.weights[position], h), self.nodes[position].id, self.nodes[position])
            for position, h in pairs
        ]

    def _hashes(self, seed: int) -> "array[int]":
        """For each server `hash32(label, seed)` in the high 32 bits and its position in the low ones."""
        count = len(self.nodes)
        ones, low_words, indices = _lanes(count)
        # As CRC is affine, crc32(label, seed) is crc32(label) xor a term that depends on `seed` alone.
        hashes = int.from_bytes(self.lanes, "little") ^ ones * (crc32(ZEROS, seed) ^ crc32(ZEROS))
        hashes = (hashes ^ (hashes >> 16) & low_words) * MURMUR_FACTOR_1 & low_words
        hashes = (hashes ^ (hashes >> 13) & low_words) * MURMUR_FACTOR_2 & low_words
        hashes ^= (hashes >> 16) & low_words
        packed = array("Q")
        packed.frombytes((hashes << 32 | indices).to_bytes(LANE_BYTES * count, "little"))
        return packed


class Ranking:
    """The first servers for one key, valid while the group has this version."""

    __slots__ = ("version", "nodes")

    def __init__(self, version: int, nodes: list[Any]) -> None:
        self.version = version
        self.nodes = nodes
