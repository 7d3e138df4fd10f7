"""Checksummed records: a header and a payload. Reading ends at a torn or corrupt record.

The header is two unsigned 32-bit integers, big-endian: length of the payload in bytes, CRC-32 of the length's four
bytes followed by the payload. Messages between fronts are framed in the same format.
"""

import struct
from typing import NamedTuple
from zlib import crc32

HEADER = struct.Struct(">II")
RECORD_BYTES_MAX = 64 << 20


class ScanResult(NamedTuple):
    """Result of `scan`.

    :ivar records: payloads of the complete records, from the start on.
    :ivar valid_bytes: offset of the end of the last complete record; what follows must be truncated before appending.
    :ivar fault: why reading stopped before the end of the data, or "".
    """

    records: list[bytes]
    valid_bytes: int
    fault: str


def record(payload: bytes) -> bytes:
    """Return the payload with its header."""
    length = len(payload)
    return HEADER.pack(length, _checksum(length, payload)) + payload


def scan(data: bytes | bytearray | memoryview) -> ScanResult:
    """Return the complete records from the start of `data` on; never raises.

    Scanning ends at a torn or corrupt record: its length, and so the start of the next record, is unknown.
    """
    found: list[bytes] = []
    start = 0
    while start < len(data):
        if len(data) - start < HEADER.size:
            return ScanResult(found, start, "a torn header")
        length, checksum = HEADER.unpack_from(data, start)
        if length > RECORD_BYTES_MAX:
            return ScanResult(found, start, "a length above the limit")
        payload = bytes(data[start + HEADER.size : start + HEADER.size + length])
        if len(payload) < length:
            return ScanResult(found, start, "a torn record")
        if _checksum(length, payload) != checksum:
            return ScanResult(found, start, "a checksum mismatch")
        found.append(payload)
        start += HEADER.size + length
    return ScanResult(found, start, "")


def _checksum(length: int, payload: bytes) -> int:
    return crc32(payload, crc32(length.to_bytes(4, "big")))
