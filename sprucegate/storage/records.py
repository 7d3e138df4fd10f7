"""Checksummed records: length, checksum of length and payload, payload. A torn or changed one ends the reading."""

import struct
from typing import NamedTuple
from zlib import crc32

HEAD = struct.Struct(">II")
RECORD_MOST = 64 << 20


class Scanned(NamedTuple):
    records: list
    good: int  # bytes up to the end of the last whole record
    fault: str  # why the reading ended before the end, or ""


def record(payload):
    length = len(payload)
    return HEAD.pack(length, crc32(payload, crc32(length.to_bytes(4, "big")))) + payload


def scan(data):
    """The whole records from the start on. What follows a torn one is not looked for: its place is not known."""
    found, at = [], 0
    while at < len(data):
        if len(data) - at < HEAD.size:
            return Scanned(found, at, "a torn head")
        length, checksum = HEAD.unpack_from(data, at)
        if length > RECORD_MOST:
            return Scanned(found, at, "a length past its bound")
        payload = bytes(data[at + HEAD.size : at + HEAD.size + length])
        if len(payload) < length:
            return Scanned(found, at, "a torn record")
        if crc32(payload, crc32(length.to_bytes(4, "big"))) != checksum:
            return Scanned(found, at, "a checksum that does not fit")
        found.append(payload)
        at += HEAD.size + length
    return Scanned(found, at, "")
