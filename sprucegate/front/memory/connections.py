"""What is kept of each connection to a client."""

from collections import deque

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
