"""The pool's decisions for one server: which connection takes a stream, and when one is opened, tried or left.

No I/O, no clock, no chance of its own: the caller brings what happened and the time (ns) and does what is returned.
A forward is any hashable handle. What is returned is done in its order.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

from sprucegate.routing.events import AttemptOutcome

LACKING = 10_000_000  # nanoseconds until a connection is tried again that this side could not begin


class ConnectionPhase(IntEnum):
    """How far a connection is; ordered."""

    OPENING = 0  # dialled, or up without the peer's SETTINGS
    UP = 1
    RETIRING = 2  # old: takes streams until its successor is up, against a hole at each change
    DRAINING = 3  # takes none; goes once what is open on it has ended


@dataclass(slots=True)
class SendOnConnection:
    """Send this attempt on a stream of that connection."""

    forward: object
    connection: int


@dataclass(slots=True)
class OpenConnection:
    """Connect to the server; the connection bears that number."""

    connection: int


@dataclass(slots=True)
class RefuseRequest:
    """The forward never left the front: FULL where no stream was to be had, UNREACHABLE where the server could
    not be connected to, NOT_SENT where the cause lies here or a connection was lost."""

    forward: object
    outcome: AttemptOutcome


@dataclass(slots=True)
class SendPing:
    """Send a PING on that connection."""

    connection: int


@dataclass(slots=True)
class CloseConnection:
    """To be closed now; `why` is for the log. What is open on it ends by its evidence."""

    connection: int
    why: str


class Connection:
    """What the pool knows of one connection."""

    __slots__ = (
        "number",
        "phase",
        "limit",
        "open",
        "given",
        "served",
        "used",
        "quiet",
        "pinged",
        "retires",
        "settled",
        "blocked",
    )

    def __init__(self, number, now):
        self.number, self.phase, self.limit = number, ConnectionPhase.OPENING, 0
        self.open = self.given = self.served = 0
        self.used = self.quiet = now  # a stream's begin or end; the last byte, or begin after rest
        self.pinged, self.retires, self.settled, self.blocked = None, None, None, False


class ConnectionPool:
    """The connections to one server: which takes a stream, when one is opened, retired or closed. No I/O."""

    def __init__(self, limits, server, instance):
        self.limits, self.label = limits, f"{instance}/{server}"
        self.connections, self.waiting, self.number, self.draws = {}, OrderedDict(), 0, 0
        self.failures, self.again, self.left_for_good, self.in_reach = 0, 0, False, True
        self.lacking = False  # whether `again` is for want of something on this side

    # What happens.

    def warm(self, now):
        """Connect ahead of the first attempt, where no connection is there."""
        return self._open(now) if not self.connections and now >= self.again else []

    def ask(self, forward, now):
        """A forward wants a stream."""
        if self.left_for_good:
            return [RefuseRequest(forward, AttemptOutcome.NOT_SENT)]
        serving = any(c.phase is not ConnectionPhase.DRAINING for c in self.connections.values())
        if not serving and now < self.again and not self.lacking:
            # At once: a server that is known not to be had is not waited for.
            return [RefuseRequest(forward, self._away())]
        if not self.waiting and (best := self._best()) is not None:
            return [self._give(best, forward, now), *self._grow(now)]
        if len(self.waiting) >= self.limits.waiting:
            return [RefuseRequest(forward, AttemptOutcome.FULL)]
        self.waiting[forward] = now + self.limits.wait
        return self._grow(now)

    def withdraw(self, forward):
        """Whether it still waited here: then it never left the front."""
        return self.waiting.pop(forward, None) is not None

    def opened(self, number, limit, now):
        """The peer's SETTINGS are there."""
        at, spread = self.connections[number], self.limits.age_spread * self._chance()
        at.phase, at.limit, at.quiet = ConnectionPhase.UP, limit, now
        self.in_reach, self.lacking = True, False
        at.retires, at.settled = now + int(self.limits.age * (1 - spread)), now + self.limits.connect
        said = []
        for old in [c for c in self.connections.values() if c.phase is ConnectionPhase.RETIRING]:
            said += self._drain(old, now)
        return [*said, *self._fill(now)]

    def acknowledged(self, number):
        """The peer has taken our SETTINGS over."""
        self.connections[number].settled = None

    def limited(self, number, limit, now):
        """The peer's limit is another one; below what is open it only keeps new streams away."""
        self.connections[number].limit = limit
        return self._fill(now)

    def blocked(self, number, blocked, now):
        """The peer does not read what was sent: nothing more goes there, or memory would pay for it."""
        self.connections[number].blocked = blocked
        return [] if blocked else self._fill(now)

    def freed(self, number, well, now):
        """A stream has ended; `well` where an answer came, whatever it says."""
        at = self.connections[number]
        at.open, at.used = at.open - 1, now
        if well:
            at.served, self.failures = at.served + 1, 0
        if at.phase is ConnectionPhase.DRAINING and not at.open:
            if not at.served and not self.left_for_good:
                self._failed(now)
            return [self._close(at, "drained"), *self._grow(now)]
        return self._fill(now)

    def heard(self, number, now):
        """Bytes came on that connection."""
        at = self.connections[number]
        at.quiet, at.pinged = now, None

    def goaway(self, number, calm, now):
        """GOAWAY, the first or a further one: no new streams there. `calm` is False where the peer complains."""
        at = self.connections[number]
        if at.phase is ConnectionPhase.DRAINING:
            return []  # its successor is there, or on its way, already
        if not calm or not at.served and not at.open:
            self._failed(now)  # or one that lets nobody in would be dialled without end
        was_used = at.open or self.waiting
        said = self._drain(at, now)
        # The successor comes up while this one still answers: the next GET must not wait for a handshake.
        return said + (self._grow(now, wanted=True) if was_used else [])

    def lost(self, number, reached, now):
        """The connection has ended, or never came up; `reached` where the server showed that it is there."""
        at = self.connections.pop(number)
        # One that was up and broke shows a server in reach, unlike one that can't be connected to.
        self.in_reach = reached or at.phase is not ConnectionPhase.OPENING
        if not at.served:
            self._failed(now)
        return self._after_loss(now)

    def lacked(self, number, now):
        """A connection could not be begun for want of something on this side: what waits for it waits on."""
        del self.connections[number]
        self.lacking, self.again = True, now + LACKING
        return []

    def leave(self, now):
        """The server has gone from the list: what is open there may yet be answered."""
        self.left_for_good, said = (
            True,
            [RefuseRequest(forward, AttemptOutcome.NOT_SENT) for forward in self.waiting],
        )
        self.waiting.clear()
        for at in list(self.connections.values()):
            said += self._drain(at, now)
        return said

    def back(self):
        """Listed again after it had gone."""
        self.left_for_good = False

    def due(self, now):
        """Return what is due by `now` (monotonic ns)."""
        said, limits = [], self.limits
        while self.waiting and next(iter(self.waiting.values())) <= now:
            said.append(RefuseRequest(self.waiting.popitem(last=False)[0], AttemptOutcome.FULL))
        for at in list(self.connections.values()):
            if at.phase is ConnectionPhase.OPENING:
                continue  # the transport bounds its time
            if at.phase is ConnectionPhase.UP and at.retires <= now:
                at.phase = ConnectionPhase.RETIRING
            if at.settled is not None and at.settled <= now:
                said += self._broken(at, "settings not acknowledged", now)  # RFC 9113 section 6.5.3
            elif at.pinged is not None and at.pinged + limits.ping_wait <= now:
                said += self._broken(at, "silent", now)
            elif at.pinged is None and at.open and at.quiet + limits.ping_after <= now:
                at.pinged = now
                said.append(SendPing(at.number))
            elif not at.open and at.used + limits.idle <= now:
                said.append(self._close(at, "idle"))
        return said + self._grow(now)

    def next_due(self):
        """When `due` wants to be called, or None. Never later than the first of its reasons."""
        limits = self.limits
        times = [next(iter(self.waiting.values()))] if self.waiting else []
        if self.waiting and self.lacking and not self._opening():
            times.append(self.again)
        for at in self.connections.values():
            if at.phase is ConnectionPhase.OPENING:
                continue
            times.append(
                at.used + limits.idle
                if not at.open
                else at.quiet + limits.ping_after
                if at.pinged is None
                else at.pinged + limits.ping_wait
            )
            if at.settled is not None:
                times.append(at.settled)
            if at.phase is ConnectionPhase.UP:
                times.append(at.retires)
            elif at.phase is ConnectionPhase.RETIRING and not self._opening():
                times.append(self.again)
        return min(times, default=None)

    # How it is decided.

    def _chance(self):
        self.draws += 1
        return crc32(f"{self.label}/{self.draws}".encode()) / 2**32

    def _room(self, at):
        most = min(at.limit, self.limits.streams)
        return (
            at.phase in (ConnectionPhase.UP, ConnectionPhase.RETIRING)
            and not at.blocked
            and at.open < most
            and most
        )

    def _best(self):
        """The least full one that takes another stream: what ends one connection should end few GETs."""
        found = [
            (at.open / most, at.number, at) for at in self.connections.values() if (most := self._room(at))
        ]
        return min(found)[2] if found else None

    def _opening(self):
        return any(at.phase is ConnectionPhase.OPENING for at in self.connections.values())

    def _give(self, at, forward, now):
        if not at.open:
            at.quiet = now
        at.open, at.given, at.used = at.open + 1, at.given + 1, now
        if at.given >= self.limits.ids and at.phase is ConnectionPhase.UP:
            at.phase = ConnectionPhase.RETIRING  # numbers of streams run out (RFC 9113 section 5.1.1)
        return SendOnConnection(forward, at.number)

    def _fill(self, now):
        said = []
        while self.waiting and (best := self._best()) is not None:
            said.append(self._give(best, self.waiting.popitem(last=False)[0], now))
        return said + self._grow(now)

    def _grow(self, now, wanted=False):
        """Another connection, one at a time, where those that are there are full enough."""
        serving = [at for at in self.connections.values() if at.phase is not ConnectionPhase.DRAINING]
        if self.left_for_good or self._opening() or now < self.again:
            return []
        if len(self.connections) >= 2 * self.limits.connections:
            return []  # a peer that sends each one away must not be dialled without end
        retiring = any(at.phase is ConnectionPhase.RETIRING for at in serving)
        if len(serving) >= self.limits.connections + retiring:
            return []
        if not wanted and not self.waiting and not retiring:
            shares = [at.open / most for at in serving if (most := min(at.limit, self.limits.streams))]
            if not shares or min(shares) < self.limits.open_above:
                return []
        return self._open(now)

    def _open(self, now):
        self.number += 1
        self.connections[self.number] = Connection(self.number, now)
        return [OpenConnection(self.number)]

    def _close(self, at, why):
        del self.connections[at.number]
        return CloseConnection(at.number, why)

    def _drain(self, at, now):
        if at.phase is ConnectionPhase.OPENING:
            return [self._close(at, "no longer wanted")] if self.left_for_good else []
        at.phase = ConnectionPhase.DRAINING
        return [] if at.open else [self._close(at, "drained")]

    def _broken(self, at, why, now):
        self._failed(now)
        return [self._close(at, why), *self._after_loss(now)]

    def _failed(self, now):
        """Growing waits, spread out: all fronts lose a server at once, and must not come back at once."""
        most = min(self.limits.reconnect_most, self.limits.reconnect_first << min(self.failures, 40))
        self.failures += 1
        self.lacking = False
        self.again = now + int(most * (0.5 + 0.5 * self._chance()))

    def _away(self):
        return AttemptOutcome.NOT_SENT if self.in_reach else AttemptOutcome.UNREACHABLE

    def _after_loss(self, now):
        said = self._grow(now) if self.waiting else []
        if not any(at.phase is not ConnectionPhase.DRAINING for at in self.connections.values()):
            said += [RefuseRequest(forward, self._away()) for forward in self.waiting]
            self.waiting.clear()
        return said
