"""Weighted rendezvous hashing: the order in which a group's caches are asked for an object.

Each node gets for a key the score weight / log(u), u being a hash of node and key in (0, 1); the least
score comes first (Thaler and Ravishankar 1998, with the weights of Schindelhauer and Schomaker 2005). All
fronts come to the same order. A node that comes or goes moves only the keys that it has or had.

Of thousands of nodes the first few are wanted. So the hashes of all nodes are worked out together, as
lanes of one large whole number, 64 bits a node, and only those that may be among the first are scored. The
result is that of scoring and sorting all of them. No I/O, no clock.
"""

from array import array
from collections import Counter
from functools import lru_cache
from heapq import nlargest
from math import exp, log
from typing import NamedTuple
from zlib import crc32

from sprucegate.routing.hashing import LOW_32_BITS, hash32

LABEL = 8  # bytes of a node's id
LANE = 8  # bytes of a lane: a hash of 32 bits, and room above it for a product
SPAN = 2**32  # of a hash
FEW = 32  # nodes that are scored and sorted one by one, which is quicker then
ZEROS = bytes(LABEL)


def label_of(node_id):
    return node_id.to_bytes(LABEL, "big")


def score(weight, hashed):
    return weight / log((hashed + 0.5) / SPAN)


class _Lanes(NamedTuple):
    """Whole numbers with one value in each of so many lanes."""

    ones: int
    words: int  # the low 32 bits of each lane set
    places: int  # the lane's own number


@lru_cache(8)
def _lanes(count):
    ones = int.from_bytes(b"\1\0\0\0\0\0\0\0" * count, "little")
    return _Lanes(ones, ones * LOW_32_BITS, int.from_bytes(array("Q", range(count)).tobytes(), "little"))


def lane_of(label):
    """What a node's lane begins with; kept with the node, as groups change more often than nodes come."""
    return crc32(label).to_bytes(LANE, "little")


class Rendezvous:
    """One group of nodes, each with `id`, `label` and `lane`, in an order that the caller keeps."""

    def __init__(self):
        self.nodes, self.weights, self.lanes = [], [], bytearray()
        self.counted = Counter()  # weight -> nodes of it

    def insert(self, at, node, weight):
        self.nodes.insert(at, node)
        self.weights.insert(at, weight)
        self.lanes[LANE * at : LANE * at] = node.lane
        self.counted[weight] += 1

    def remove(self, at):
        weight = self.weights.pop(at)
        del self.nodes[at], self.lanes[LANE * at : LANE * (at + 1)]
        self.counted[weight] -= 1
        if not self.counted[weight]:
            del self.counted[weight]

    def weight(self):
        """Of all nodes together; by counts, as sums of thousands drift and take long."""
        return sum([weight * count for weight, count in self.counted.items()])

    def best(self, key, most):
        """The first `most` nodes for a key (bytes), or all where there are fewer."""
        start = hash32(key)
        if len(self.nodes) <= FEW or 2 * most >= len(self.nodes):
            scored = [
                (score(weight, hash32(node.label, start)), node.id, node)
                for node, weight in zip(self.nodes, self.weights, strict=True)
            ]
        else:
            scored = self._scored(start, most)
        return [node for _, _, node in sorted(scored)[:most]]

    def _scored(self, start, most):
        """(score, id, node) of all that may be among the first `most`."""
        hashed = self._hashes(start)
        first = nlargest(most, hashed)
        if len(self.counted) > 1:
            # A heavier one may come before these by a lower hash, though not by one under this.
            worst = max(score(self.weights[h & LOW_32_BITS], h >> 32) for h in first)
            least = max(0, int(exp(max(self.counted) / worst) * SPAN) - 2) << 32
            first = [h for h in hashed if h >= least]
        pairs = [(h & LOW_32_BITS, h >> 32) for h in first]
        return [(score(self.weights[at], h), self.nodes[at].id, self.nodes[at]) for at, h in pairs]

    def _hashes(self, start):
        """Of each node, its hash above its place in the group: `hash32(label, start)` of all at once."""
        count = len(self.nodes)
        ones, words, places = _lanes(count)
        # crc32(label, start) is crc32(label) xor a term of `start` alone, as CRC is affine.
        h = int.from_bytes(self.lanes, "little") ^ ones * (crc32(ZEROS, start) ^ crc32(ZEROS))
        h = (h ^ (h >> 16) & words) * 0x85EBCA6B & words
        h = (h ^ (h >> 13) & words) * 0xC2B2AE35 & words
        h ^= (h >> 16) & words
        found = array("Q")
        found.frombytes((h << 32 | places).to_bytes(LANE * count, "little"))
        return found


class Ranking:
    """The first nodes for one key, as long as a group is of one version."""

    __slots__ = ("version", "nodes")

    def __init__(self, version, nodes):
        self.version, self.nodes = version, nodes
