"""Pseudo-random numbers that are reproducible from a seed, by a hash in place of a random generator."""

from collections.abc import Iterable
from typing import TypeVar

from sprucegate.routing.hashing import hash32

Item = TypeVar("Item")
RANGE = 2**32


class RandomSource:
    """Random numbers from a hash of the instance's name, a purpose and the count of draws.

    :param instance: name of the front, so that fronts draw different numbers from one seed
    :param seed: any integer; its lower 32 bits count
    """

    def __init__(self, instance: str, seed: int) -> None:
        self.instance = instance
        self.seed = seed % RANGE
        self.draws = 0

    def __call__(self, purpose: str) -> float:
        """Return a number from 0 up to 1, another one at each call."""
        self.draws += 1
        return hash32(f"{self.instance}/{purpose}/{self.draws}".encode(), self.seed) / RANGE

    def pick(self, purpose: str, items: Iterable[Item], count: int = 1) -> list[Item]:
        """Return up to `count` different items in random order; `items` must have the same order in any process."""
        remaining = list(items)
        picked: list[Item] = []
        while remaining and len(picked) < count:
            picked.append(remaining.pop(int(self(purpose) * len(remaining)) % len(remaining)))
        return picked
