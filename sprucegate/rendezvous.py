"""Weighted rendezvous hashing: the order in which a group's caches are asked for an object.

Each node gets for a key the score weight / log(u), u being a hash of node and key in (0, 1); the least
score comes first (Thaler and Ravishankar 1998, with the weights of Schindelhauer and Schomaker 2005). All
fronts come to the same order. A node that comes or goes moves only the keys that it has or had.

Of thousands of nodes the first few are wanted. So the hashes of all nodes are worked out together, as
lanes of one large whole number, 64 bits a node, and only those that may be among the first are scored. The
result is that of scoring and sorting all of them. No I/O, no clock.
"""

from array import array
from functools import lru_cache
from heapq import nlargest
from math import exp, log
from typing import NamedTuple
from zlib import crc32

LABEL = 8               # bytes of a node's id
LANE = 8                # bytes of a lane: a hash of 32 bits, and room above it for a product
SPAN = 2**32            # of a hash
FEW = 32                # nodes that are scored and sorted one by one, which is quicker then
WORD = 0xFFFFFFFF
ZEROS = bytes(LABEL)


def mixed(text, start=0):
    """A hash of 32 bits. CRC is linear: unmixed, the ranks of two keys would differ by a constant."""
    h = crc32(text, start)
    h = (h ^ (h >> 16)) * 0x85EBCA6B & WORD
    h = (h ^ (h >> 13)) * 0xC2B2AE35 & WORD
    return h ^ (h >> 16)


def label_of(node_id):
    return node_id.to_bytes(LABEL, "big")


def score(weight, hashed):
    return weight / log((hashed + 0.5) / SPAN)


class _Lanes(NamedTuple):
    """Whole numbers with one value in each of so many lanes."""

    ones: int
    words: int              # the low 32 bits of each lane set
    places: int             # the lane's own number


@lru_cache(8)
def _lanes(count):
    ones = int.from_bytes(b"\1\0\0\0\0\0\0\0" * count, "little")
    return _Lanes(ones, ones * WORD, int.from_bytes(array("Q", range(count)).tobytes(), "little"))


class Rendezvous:
    """One group of nodes, each with `id`, `label` and `entry.weight`; made anew when the group changes."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.heaviest = max([node.entry.weight for node in nodes], default=0)
        self.alike = all(node.entry.weight == self.heaviest for node in nodes)
        self.lanes = None                    # made at the first use: many changes come between two uses

    def best(self, key, most):
        """The first `most` nodes for a key (bytes), or all where there are fewer."""
        start = mixed(key)
        if len(self.nodes) <= FEW or 2 * most >= len(self.nodes):
            scored = [(score(n.entry.weight, mixed(n.label, start)), n.id, n) for n in self.nodes]
        else:
            scored = self._scored(start, most)
        return [node for _, _, node in sorted(scored)[:most]]

    def _scored(self, start, most):
        """(score, id, node) of all that may be among the first `most`."""
        hashed = self._hashes(start)
        first = nlargest(most, hashed)
        if not self.alike:
            # A heavier one may come before these by a lower hash, though not by one under this.
            worst = max(score(self.nodes[h & WORD].entry.weight, h >> 32) for h in first)
            least = max(0, int(exp(self.heaviest / worst) * SPAN) - 2) << 32
            first = [h for h in hashed if h >= least]
        pairs = [(h >> 32, self.nodes[h & WORD]) for h in first]
        return [(score(node.entry.weight, hashed), node.id, node) for hashed, node in pairs]

    def _hashes(self, start):
        """Of each node, its hash above its place in the group: `mixed(label, start)` of all at once."""
        count = len(self.nodes)
        ones, words, places = _lanes(count)
        if self.lanes is None:
            # crc32(label, start) is crc32(label) xor a term of `start` alone, as CRC is affine.
            self.lanes = int.from_bytes(
                b"".join([crc32(n.label).to_bytes(LANE, "little") for n in self.nodes]), "little")
        h = self.lanes ^ ones * (crc32(ZEROS, start) ^ crc32(ZEROS))
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
