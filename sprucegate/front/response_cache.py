"""The front's own copies: their bytes, and the queue on its link. Whether one may answer is the module's."""

from collections import OrderedDict
from typing import NamedTuple


class CachedResponse(NamedTuple):
    body: bytes
    tag: str
    made: int  # when the origin gave it out, at the earliest, on this front's clock (ns)
    since: int  # when it came here, on that clock


class ResponseCache:
    def __init__(self, most, link):
        self.most, self.link, self.held, self.kept = most, link, 0, OrderedDict()
        self.free_at = 0

    def find(self, key):
        return self.kept.get(key)

    def put(self, key, copy):
        self.drop(key)
        self.kept[key] = copy
        self.held += len(copy.body)
        while self.held > self.most:
            self.drop(next(iter(self.kept)))  # used longest ago

    def drop(self, key):
        if (copy := self.kept.pop(key, None)) is not None:
            self.held -= len(copy.body)

    def wait(self, now):
        """How long an answer given now would wait for those before it on the link."""
        return max(0, self.free_at - now)

    def sent(self, key, size, now):
        self.kept.move_to_end(key)
        self.free_at = max(self.free_at, now) + int(size / self.link * 1e9)
