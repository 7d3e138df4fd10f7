"""Chance without a random generator: a hash over the instance, a text and a counter from the seed."""

from sprucegate.routing.hashing import hash32


class RandomSource:
    def __init__(self, instance, seed):
        self.instance, self.seed, self.draws = instance, seed % 2**32, 0

    def __call__(self, text):
        """A number from 0 to 1, another one at each call."""
        self.draws += 1
        return hash32(f"{self.instance}/{text}/{self.draws}".encode(), self.seed) / 2**32

    def pick(self, text, several, count=1):
        """`count` of `several`, which stand in an order that is the same in any process."""
        left, picked = list(several), []
        while left and len(picked) < count:
            picked.append(left.pop(int(self(text) * len(left)) % len(left)))
        return picked
