"""The endpoint list that discovery passes to a front, and the id of a server by its name."""

import re
from typing import NamedTuple
from zlib import crc32


class EndpointList(NamedTuple):
    """An endpoint list.

    :ivar whole: it is complete; otherwise it holds only entries that changed
    :ivar entries: `routing.events.Endpoint` of each server
    :ivar names: name and address by id
    """

    whole: bool
    entries: list
    names: dict


def endpoint_id(name):
    """Return the id of a server, the same at all fronts: the hexadecimal number in its name, or a hash of the name."""
    if match := re.fullmatch(r"[a-z]+-([0-9a-f]{1,15})", name):
        return int(match[1], 16)
    return crc32(name.encode()) << 32 | crc32(name[::-1].encode())
