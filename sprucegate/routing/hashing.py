"""A 32-bit hash that is the same in any process: in place of random numbers, and for rendezvous hashing."""

from zlib import crc32

LOW_32_BITS = 0xFFFFFFFF


def hash32(data: bytes, start: int = 0) -> int:
    """A hash of bytes between 0 and 2**32 - 1; `start` seeds it.

    CRC-32 is affine, so the hashes of two inputs would differ by a constant for every seed. The finalizer of
    MurmurHash3 (Appleby 2011) removes that.
    """
    value = crc32(data, start)
    value = (value ^ (value >> 16)) * 0x85EBCA6B & LOW_32_BITS
    value = (value ^ (value >> 13)) * 0xC2B2AE35 & LOW_32_BITS
    return value ^ (value >> 16)
