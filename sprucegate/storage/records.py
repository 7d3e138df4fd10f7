"""Checksummed records: length, checksum of length and payload, payload. A torn or changed record ends the reading.

The header is two unsigned 32-bit integers, big-endian: length of the payload in bytes, CRC-32 of the length's four
bytes followed by the payload. The same format frames messages between fronts.
"""

import struct
from typing import NamedTuple
from zlib import crc32

HEAD = struct.Struct(">II")
RECORD_BYTES_MAX = 64 << 20


class ScanResult(NamedTuple):
    """What `scan` found.

    :ivar records: payloads of the whole records, from the start on.
    :ivar valid_bytes: length up to the end of the last whole record; what follows is to be cut off before appending.
    :ivar fault: why the reading ended before the end of the data, or "".
    """

    records: list[bytes]
    valid_bytes: int
    fault: str


def record(payload: bytes) -> bytes:
    """Return one record: the header and the payload."""
    length = len(payload)
    return HEAD.pack(length, _checksum(length, payload)) + payload


def scan(data: bytes | bytearray | memoryview) -> ScanResult:
    """Return the whole records from the start of `data` on; never raises.

    Nothing after a torn or changed record is looked for, as its length, and so the start of the next, isn't known.
    """
    found: list[bytes] = []
    start = 0
    while start < len(data):
        if len(data) - start < HEAD.size:
            return ScanResult(found, start, "a torn head")
        length, checksum = HEAD.unpack_from(data, start)
        if length > RECORD_BYTES_MAX:
            return ScanResult(found, start, "a length past its bound")
        payload = bytes(data[start + HEAD.size : start + HEAD.size + length])
        if len(payload) < length:
            return ScanResult(found, start, "a torn record")
        if _checksum(length, payload) != checksum:
            return ScanResult(found, start, "a checksum that does not fit")
        found.append(payload)
        start += HEAD.size + length
    return ScanResult(found, start, "")


def _checksum(length: int, payload: bytes) -> int:
    return crc32(payload, crc32(length.to_bytes(4, "big")))
