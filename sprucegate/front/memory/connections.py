"""What is kept of each connection: to clients, and to caches by the cache's id."""

from collections import deque

from sprucegate.front.protocol.caches import AnswerReader
from sprucegate.front.protocol.http import RequestReader


class Client:
    __slots__ = ("sock", "reader", "get", "outgoing", "writer", "closing", "busy", "since",
                 "asked")

    def __init__(self, sock, now):
        self.sock, self.reader = sock, RequestReader()
        self.get, self.outgoing, self.writer = None, deque(), None
        # Since when it has been as it is: connected, in a request, or idle after one.
        self.closing, self.busy, self.since, self.asked = False, False, now, False

    def idle(self):
        return not self.busy and not self.outgoing and self.writer is None and not self.reader.begun


class CacheConnection:
    """One connection to a place; `open` has the forwards on it that await an answer."""

    __slots__ = ("place", "sock", "reader", "task", "writer", "up", "closed", "queue", "open", "used",
                 "heard", "answered", "watched", "in_reach")

    def __init__(self, place, now):
        self.place, self.sock, self.reader = place, None, AnswerReader()
        self.task, self.writer, self.up, self.closed = None, None, False, False
        self.queue, self.open, self.used = deque(), {}, now
        self.watched = self.in_reach = False
        self.heard, self.answered = now, now     # its last byte, and its last whole answer


class Place:
    """A cache, parent or origin: by its id, since a new one may take the address of one that has gone."""

    __slots__ = ("id", "name", "address", "connections", "gone")

    def __init__(self, number, name, address):
        self.id, self.name, self.address = number, name, address
        self.connections, self.gone = [], False
