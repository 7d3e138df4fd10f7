"""What is kept of each connection to a client. How far it has come is one phase, and only `to` changes it."""

import socket
from enum import Enum, auto

from sprucegate.front.protocol.http import RequestReader
from sprucegate.upstream.sockets import ended


class Phase(Enum):
    RESTING = auto()  # nothing is owed; part of a request may have come
    TAKEN = auto()  # a whole request was read: one answer is owed
    FLUSHING = auto()  # the answer is given, and not all of it written
    SHUT = (
        auto()
    )  # our side has ended; what comes is read and discarded until the client ends, within a bound
    CLOSED = auto()


LEGAL = {
    Phase.RESTING: (Phase.TAKEN, Phase.FLUSHING, Phase.SHUT, Phase.CLOSED),
    Phase.TAKEN: (Phase.FLUSHING, Phase.CLOSED),
    Phase.FLUSHING: (Phase.RESTING, Phase.SHUT, Phase.CLOSED),
    Phase.SHUT: (Phase.CLOSED,),
    Phase.CLOSED: (),
}


class Client:
    """`since` (ns): when it came into its phase, or began a request. `last`: its next answer ends it, nothing is read
    after that."""

    __slots__ = ("sock", "reader", "phase", "last", "since", "asked", "get", "writer")

    def __init__(self, sock, now, repeatable=frozenset()):
        self.sock, self.reader = sock, RequestReader(repeatable)
        self.phase, self.last, self.since, self.asked = Phase.RESTING, False, now, False
        self.get, self.writer = None, None

    def to(self, phase, now):
        """Any order of events that would skip an answer, or read on after the end, is a fault and not a state."""
        if phase not in LEGAL[self.phase]:
            raise ValueError(f"a client's connection can't go from {self.phase.name} to {phase.name}")
        self.phase, self.since = phase, now

    def take(self, now):
        self.to(Phase.TAKEN, now)
        self.asked = True

    def answered(self, now):
        """Its one answer is given, though perhaps not yet written."""
        self.to(Phase.FLUSHING, now)

    def flushed(self, now):
        """All of the answer is written, so the next request may come. Of who never reads answers would pile up."""
        if self.last:
            self.shut(now)
        else:
            self.to(Phase.RESTING, now)

    def shut(self, now):
        """Half a close: a whole one over unread bytes sends a reset, which destroys an answer on its way."""
        self.to(Phase.SHUT, now)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # gone already: the reader sees that too

    def closed(self, now):
        self.to(Phase.CLOSED, now)

    def left(self):
        """Whether its client has gone, though the loop has not come to that yet."""
        return ended(self.sock)

    def reads(self):
        """Whether what comes may still become a request."""
        return self.phase not in (Phase.SHUT, Phase.CLOSED) and not self.last

    def rests(self):
        """Nothing is owed, under way or begun: it may be ended, after a look at what has just come."""
        return self.phase is Phase.RESTING and not self.reader.begun
