"""Memory budget: how a process divides its memory limit, and which requests it takes while buffers are full.

The limit is that of the process as a whole. What is left above its own size is divided once, at the start,
among what grows with use; each part then keeps within its share by itself. A share is in bytes of memory, not
of content: many small items take more memory than their contents.
"""

from typing import NamedTuple

from sprucegate.routing.digest import OBJECTS_MAX
from sprucegate.routing.response_cache import RESPONSE_CACHE_BYTES

CLIENT_CONNECTION_BYTES = 2304  # socket, state, parser and the event loop's handles
SERVER_CONNECTION_BYTES = 3072
SERVER_BYTES = 5120  # of a listed server: its entries at front and router, and what is learned of it
OBJECT_RECORD_BYTES = 2304  # with its beliefs and rankings
COPIES_BYTES = 768 << 10  # of the largest answer, while it goes from one buffer to the next
OPEN_REQUEST_BYTES = 4096  # besides its body: its state at front and router, its attempts and their timers
OBJECTS_MIN = 64
BUFFER_BYTES_MIN = 512 << 10  # room for the largest object and the largest write, each being copied once
# Shares of what is left. The rest is for later changes of the list, and for gaps in the allocator's heap.
RESPONSE_CACHE_SHARE = 0.4
BUFFER_SHARE = 0.3
OBJECT_SHARE = 0.15
# Of the limit: above the first the response cache is halved, below the second it grows to its share again.
PRESSURE_SHARE = 0.95
RELIEF_SHARE = 0.85


class MemoryUse(NamedTuple):
    """What a process uses before it serves.

    :ivar resident: its memory in bytes.
    :ivar client_connections: most connections of clients at a time.
    :ivar server_connections: most connections to servers at a time.
    :ivar servers: servers of the list that it starts with.
    """

    resident: int
    client_connections: int
    server_connections: int
    servers: int = 0


class MemoryBudget:
    """The shares of one process. Sizes are bytes.

    :ivar limit: the limit of the process.
    :ivar objects_max: object records of the digest.
    :ivar buffer_bytes: open requests, partly read requests and answers, responses not written yet.
    :ivar response_cache_bytes: the response cache, at present.
    """

    def __init__(self, limit: int, use: MemoryUse) -> None:
        self.limit = limit
        spare = limit - use.resident - COPIES_BYTES
        spare -= use.client_connections * CLIENT_CONNECTION_BYTES
        spare -= use.server_connections * SERVER_CONNECTION_BYTES
        spare -= use.servers * SERVER_BYTES
        spare = max(0, spare)
        self.objects_max = max(
            OBJECTS_MIN, min(OBJECTS_MAX, int(spare * OBJECT_SHARE) // OBJECT_RECORD_BYTES)
        )
        self.buffer_bytes = max(BUFFER_BYTES_MIN, int(spare * BUFFER_SHARE))
        self._response_cache_share = min(RESPONSE_CACHE_BYTES, int(spare * RESPONSE_CACHE_SHARE))
        self.response_cache_bytes = self._response_cache_share

    def adapt(self, resident: int) -> bool:
        """Adapt the response cache's share to the memory in use; return whether it is under pressure.

        The shares rest on the usual sizes of things; the memory that is in use shows whether they held. Only
        the cache gives way: without it requests are still served.
        """
        if resident > self.limit * PRESSURE_SHARE:
            self.response_cache_bytes //= 2
            return True
        if resident < self.limit * RELIEF_SHARE:
            grown = self.response_cache_bytes + self._response_cache_share // 16
            self.response_cache_bytes = min(self._response_cache_share, grown)
        return False

    @staticmethod
    def request_bytes(body_bytes: int) -> int:
        """Memory that an open request with such a body takes."""
        return OPEN_REQUEST_BYTES + body_bytes

    def admits(self, committed: int, request_bytes: int) -> bool:
        """Whether a request of that size may be begun while `committed` bytes are in use for what was begun.

        If not it is rejected before any attempt, which is harmless.
        """
        return committed + request_bytes <= self.buffer_bytes
