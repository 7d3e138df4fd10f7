"""The front's own response cache: stored responses and the queue on its outgoing link.

Whether a stored response may be used is decided by the router (`may_serve_stored_response`, `should_store_response`).
"""

from collections import OrderedDict
from typing import NamedTuple

from sprucegate.units import SECOND


class CachedResponse(NamedTuple):
    """A stored response; times are nanoseconds on this front's clock.

    :ivar body: its content
    :ivar tag: its entity tag, without quotes; "" where it has none
    :ivar made: when the origin generated it, at the earliest
    :ivar since: when it was stored here
    """

    body: bytes
    tag: str
    made: int
    since: int


class ResponseCache:
    """Stored responses by key, within an upper bound of bytes; the least recently used is evicted first.

    :ivar most_bytes: upper bound of all bodies together
    :ivar link_bytes_per_s: rate at which responses from this cache are sent
    :ivar stored_bytes: bytes of all bodies
    :ivar link_free_at: when the responses sent so far have left over the link (ns)
    """

    def __init__(self, most_bytes, link_bytes_per_s):
        self.most_bytes = most_bytes
        self.link_bytes_per_s = link_bytes_per_s
        self.stored_bytes = 0
        self.responses = OrderedDict()
        self.link_free_at = 0

    def find(self, key):
        """Return the response stored under this key, or None."""
        return self.responses.get(key)

    def put(self, key, response):
        """Store a response in place of an earlier one, and evict others down to the upper bound."""
        self.drop(key)
        self.responses[key] = response
        self.stored_bytes += len(response.body)
        while self.stored_bytes > self.most_bytes:
            least_recently_used = next(iter(self.responses))
            self.drop(least_recently_used)

    def drop(self, key):
        """Remove the response under this key, if there is one."""
        response = self.responses.pop(key, None)
        if response is not None:
            self.stored_bytes -= len(response.body)

    def wait(self, now):
        """Return how long (ns) a response sent now waits for earlier ones on the link."""
        return max(0, self.link_free_at - now)

    def sent(self, key, size, now):
        """Record that `size` bytes of the response under this key are sent: it was used, and the link is busy."""
        self.responses.move_to_end(key)
        self.link_free_at = max(self.link_free_at, now) + int(size / self.link_bytes_per_s * SECOND)
