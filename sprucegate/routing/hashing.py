"""A 32-bit hash that is the same in every process, for rendezvous hashing and reproducible random numbers."""

from zlib import crc32

LOW_32_BITS = 0xFFFFFFFF
MURMUR_FACTOR_1 = 0x85EBCA6B
MURMUR_FACTOR_2 = 0xC2B2AE35


def hash32(data: bytes, seed: int = 0) -> int:
    """A seeded hash of bytes between 0 and 2**32 - 1.

    CRC-32 is affine, so that the hashes of two inputs would differ by the same constant for every seed. The
    finalizer of MurmurHash3 (Appleby 2011) removes that.
    """
    value = crc32(data, seed)
    value = (value ^ (value >> 16)) * MURMUR_FACTOR_1 & LOW_32_BITS
    value = (value ^ (value >> 13)) * MURMUR_FACTOR_2 & LOW_32_BITS
    return value ^ (value >> 16)


class HashRandom:
    """Pseudo-random numbers that are reproducible for the same seed, router and sequence of labels.

    :ivar draw_count: how many numbers were drawn.
    """

    def __init__(self, router_number: int, seed: int) -> None:
        self.router_number = router_number
        self.seed = seed
        self.draw_count = 0

    def next_float(self, label: str) -> float:
        """The next pseudo-random number in [0, 1)."""
        self.draw_count += 1
        return hash32(f"{self.router_number}/{label}/{self.draw_count}".encode(), self.seed % 2**32) / 2**32
