"""The front's own response cache: stored responses and the queue on its outgoing link.

Whether a stored response may be used is decided by the router (`may_serve_stored_response`, `should_store_response`).
"""

from collections import OrderedDict
from typing import NamedTuple

from sprucegate.units import SECOND

ENTRY_OVERHEAD_BYTES = 704  # of memory that an entry takes besides its body


class CachedResponse(NamedTuple):
    """A stored response; times are nanoseconds on this front's clock.

    :ivar body: its content
    :ivar etag: its entity tag, without quotes; "" where it has none
    :ivar generated_at: the earliest time at which the origin generated it
    :ivar requested_at: when it was requested from its server
    """

    body: bytes
    etag: str
    generated_at: int
    requested_at: int


class ResponseCache:
    """Stored responses by key, within a capacity in bytes of memory; the least recently used is evicted first.

    :ivar capacity_bytes: upper bound of the memory of all entries
    :ivar link_bytes_per_s: rate at which responses from this cache are sent
    :ivar stored_bytes: memory of all entries
    :ivar link_free_at: when the link will have transmitted the responses sent so far (ns)
    """

    def __init__(self, capacity_bytes, link_bytes_per_s):
        self.capacity_bytes = capacity_bytes
        self.link_bytes_per_s = link_bytes_per_s
        self.stored_bytes = 0
        self.responses = OrderedDict()
        self.link_free_at = 0

    def find(self, key):
        """Return the response stored under this key, or None."""
        return self.responses.get(key)

    def put(self, key, response):
        """Store a response, replacing an earlier one, and evict others down to the capacity."""
        self.drop(key)
        self.responses[key] = response
        self.stored_bytes += self._size(response)
        self._evict()

    def resize(self, capacity_bytes):
        """Set the capacity, and evict responses above it."""
        self.capacity_bytes = capacity_bytes
        self._evict()

    def _evict(self):
        while self.stored_bytes > self.capacity_bytes:
            least_recently_used = next(iter(self.responses))
            self.drop(least_recently_used)

    @staticmethod
    def _size(response):
        return len(response.body) + ENTRY_OVERHEAD_BYTES

    def drop(self, key):
        """Remove the response under this key, if there is one."""
        response = self.responses.pop(key, None)
        if response is not None:
            self.stored_bytes -= self._size(response)

    def link_wait(self, now):
        """Return how long (ns) a response sent now waits for earlier ones on the link."""
        return max(0, self.link_free_at - now)

    def record_sent(self, key, size, now):
        """Record that `size` bytes of the response under this key are sent.

        It becomes the most recently used one, and the link is busy for that long.
        """
        self.responses.move_to_end(key)
        self.link_free_at = max(self.link_free_at, now) + int(size / self.link_bytes_per_s * SECOND)
