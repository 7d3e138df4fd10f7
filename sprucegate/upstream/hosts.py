"""A list of servers as it is handed over, and how a server's name becomes its id. Decides nothing."""

import re
from typing import NamedTuple
from zlib import crc32


class EndpointList(NamedTuple):
    """A list, whole or what changed of it, with each entry's name and address."""

    whole: bool
    entries: list
    names: dict  # id -> (name, address)


def endpoint_id(name):
    """A cache's id from its name: the same at all fronts, and the number in it where it has one."""
    if match := re.fullmatch(r"[a-z]+-([0-9a-f]{1,15})", name):
        return int(match[1], 16)
    return crc32(name.encode()) << 32 | crc32(name[::-1].encode())
