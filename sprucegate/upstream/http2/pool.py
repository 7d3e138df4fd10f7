"""The pool's decisions for one server: which connection takes a stream, and when one is opened, checked or closed.

No I/O, no clock and no random source: the caller passes events and the time (ns), and performs the returned actions in
their order. An attempt is any hashable handle.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

from sprucegate.routing.events import AttemptOutcome

LOCAL_RETRY_NS = 10_000_000  # until the next connect after one that failed for a lack of local resources


class ConnectionPhase(IntEnum):
    """The phases of a connection, in their order."""

    OPENING = 0  # connecting, or connected without the peer's SETTINGS
    UP = 1
    RETIRING = 2  # to be replaced: takes streams until its successor is up, so that there is no gap
    DRAINING = 3  # takes no new streams; closed once its open ones have ended


@dataclass(slots=True)
class SendOnConnection:
    """Send this attempt on a new stream of that connection."""

    attempt: object
    connection: int


@dataclass(slots=True)
class OpenConnection:
    """Connect to the server; `connection` is the number of the new connection."""

    connection: int


@dataclass(slots=True)
class RefuseRequest:
    """End an attempt that was not sent.

    The outcome is FULL if no stream was available, UNREACHABLE if the server could not be connected to, and NOT_SENT if
    the cause is on this side or a connection was lost.
    """

    attempt: object
    outcome: AttemptOutcome


@dataclass(slots=True)
class SendPing:
    """Send a PING on that connection."""

    connection: int


@dataclass(slots=True)
class CloseConnection:
    """Close that connection now; `why` is for the log. Its open streams end by the evidence table."""

    connection: int
    why: str


class Connection:
    """What the pool knows of one connection.

    :ivar number: its number, by which actions refer to it
    :ivar phase: its ConnectionPhase
    :ivar limit: the peer's limit on concurrent streams
    :ivar open: number of open streams
    :ivar begun: number of streams ever opened
    :ivar answered: number of streams that ended with a response
    :ivar last_used: when a stream last began or ended (ns)
    :ivar quiet_since: time of the last received byte, or of the first stream after a time without any (ns)
    :ivar pinged_at: when the PING was sent that awaits an answer, or None
    :ivar retire_at: when it is to be replaced, None before it is up
    :ivar ack_due: until when the peer has to acknowledge our SETTINGS; None once it has
    :ivar blocked: the peer does not read what was sent
    """

    __slots__ = (
        "number",
        "phase",
        "limit",
        "open",
        "begun",
        "answered",
        "last_used",
        "quiet_since",
        "pinged_at",
        "retire_at",
        "ack_due",
        "blocked",
    )

    def __init__(self, number, now):
        self.number = number
        self.phase = ConnectionPhase.OPENING
        self.limit = 0
        self.open = 0
        self.begun = 0
        self.answered = 0
        self.last_used = now
        self.quiet_since = now
        self.pinged_at = None
        self.retire_at = None
        self.ack_due = None
        self.blocked = False


class ConnectionPool:
    """The connections to one server: which takes a stream, when one is opened, replaced or closed. No I/O.

    :ivar label: seeds the pseudo-random numbers
    :ivar connections: those that are not closed, by number
    :ivar waiting: attempts that wait for a stream: when each is refused, the oldest first
    :ivar last_number: number of the newest connection
    :ivar draws: number of pseudo-random numbers drawn
    :ivar failures: failed connections in a row
    :ivar retry_at: no connection is opened before this time (ns)
    :ivar removed: the server was removed from the endpoint list
    :ivar reachable: the last connection that ended does not show an unreachable server
    :ivar lacks_resources: `retry_at` is set for a lack of resources on this side
    """

    def __init__(self, limits, server, instance):
        self.limits = limits
        self.label = f"{instance}/{server}"
        self.connections = {}
        self.waiting = OrderedDict()
        self.last_number = 0
        self.draws = 0
        self.failures = 0
        self.retry_at = 0
        self.removed = False
        self.reachable = True
        self.lacks_resources = False

    # Events.

    def warm(self, now):
        """Connect ahead of the first attempt, if there is no connection."""
        return self._open(now) if not self.connections and now >= self.retry_at else []

    def request_stream(self, attempt, now):
        """An attempt needs a stream."""
        if self.removed:
            return [RefuseRequest(attempt, AttemptOutcome.NOT_SENT)]
        serving = any(c.phase is not ConnectionPhase.DRAINING for c in self.connections.values())
        if not serving and now < self.retry_at and not self.lacks_resources:
            # Refused at once: the server is known to be unavailable, so there is nothing to wait for.
            return [RefuseRequest(attempt, self._refusal_outcome())]
        if not self.waiting and (connection := self._least_full()) is not None:
            return [self._assign(connection, attempt, now), *self._grow(now)]
        if len(self.waiting) >= self.limits.waiting:
            return [RefuseRequest(attempt, AttemptOutcome.FULL)]
        self.waiting[attempt] = now + self.limits.wait
        return self._grow(now)

    def withdraw(self, attempt):
        """Return whether the attempt was still waiting for a stream; it was then never sent."""
        return self.waiting.pop(attempt, None) is not None

    def settings_received(self, number, limit, now):
        """A connection is up: the peer's first SETTINGS arrived, with its limit on concurrent streams."""
        connection = self.connections[number]
        spread = self.limits.age_spread * self._pseudo_random()
        connection.phase = ConnectionPhase.UP
        connection.limit = limit
        connection.quiet_since = now
        self.reachable = True
        self.lacks_resources = False
        connection.retire_at = now + int(self.limits.age * (1 - spread))
        connection.ack_due = now + self.limits.connect
        actions = []
        for old in [c for c in self.connections.values() if c.phase is ConnectionPhase.RETIRING]:
            actions += self._drain(old, now)
        return [*actions, *self._assign_waiting(now)]

    def settings_acknowledged(self, number):
        """The peer acknowledged our SETTINGS."""
        self.connections[number].ack_due = None

    def stream_limit_changed(self, number, limit, now):
        """The peer changed its limit on concurrent streams; streams above a lower one stay open."""
        self.connections[number].limit = limit
        return self._assign_waiting(now)

    def set_blocked(self, number, blocked, now):
        """The peer stopped or resumed reading; while it does not read, no streams are assigned, to bound memory."""
        self.connections[number].blocked = blocked
        return [] if blocked else self._assign_waiting(now)

    def stream_ended(self, number, answered, now):
        """A stream has ended; `answered` if it ended with a response of any status."""
        connection = self.connections[number]
        connection.open -= 1
        connection.last_used = now
        if answered:
            connection.answered += 1
            self.failures = 0
        if connection.phase is ConnectionPhase.DRAINING and not connection.open:
            if not connection.answered and not self.removed:
                self._back_off(now)
            return [self._close(connection, "drained"), *self._grow(now)]
        return self._assign_waiting(now)

    def bytes_received(self, number, now):
        """Bytes were received on a connection."""
        connection = self.connections[number]
        connection.quiet_since = now
        connection.pinged_at = None

    def goaway(self, number, graceful, now):
        """A GOAWAY arrived, the first or a further one: no new streams there.

        `graceful` is False if its error code is not NO_ERROR.
        """
        connection = self.connections[number]
        if connection.phase is ConnectionPhase.DRAINING:
            return []  # its successor is up or connecting already
        if not graceful or not connection.answered and not connection.open:
            # Also for a connection that served nothing: a server that sends each one away must not be connected to
            # without pause.
            self._back_off(now)
        was_used = connection.open or self.waiting
        actions = self._drain(connection, now)
        # The successor connects while this one still answers, so that the next request need not wait for it.
        return actions + (self._grow(now, wanted=True) if was_used else [])

    def connection_lost(self, number, reached, now):
        """A connection has ended, or could not be established; `reached` if the server proved to be reachable."""
        connection = self.connections.pop(number)
        # A connection that was up and broke shows a reachable server; a failed connect does not.
        self.reachable = reached or connection.phase is not ConnectionPhase.OPENING
        if not connection.answered:
            self._back_off(now)
        return self._after_loss(now)

    def connect_lacked_resources(self, number, now):
        """A connect failed for a lack of resources on this side: attempts that wait for it keep waiting."""
        del self.connections[number]
        self.lacks_resources = True
        self.retry_at = now + LOCAL_RETRY_NS
        return []

    def remove(self, now):
        """The server was removed from the endpoint list: open streams may still be answered."""
        self.removed = True
        actions = [RefuseRequest(attempt, AttemptOutcome.NOT_SENT) for attempt in self.waiting]
        self.waiting.clear()
        for connection in list(self.connections.values()):
            actions += self._drain(connection, now)
        return actions

    def address_changed(self, now):
        """The server moved: at its former address may be another process, so no stream is opened there any more."""
        self.failures = 0
        self.retry_at = now
        actions = []
        for connection in list(self.connections.values()):
            if connection.phase is ConnectionPhase.OPENING:
                actions.append(self._close(connection, "address changed"))
            else:
                actions += self._drain(connection, now)
        return [*actions, *(self._grow(now) if self.waiting else [])]

    def restore(self):
        """The server is in the endpoint list, perhaps after it was removed."""
        self.removed = False

    def due(self, now):
        """Return the actions that are due by `now` (monotonic ns)."""
        actions = []
        limits = self.limits
        while self.waiting and next(iter(self.waiting.values())) <= now:
            actions.append(RefuseRequest(self.waiting.popitem(last=False)[0], AttemptOutcome.FULL))
        for connection in list(self.connections.values()):
            if connection.phase is ConnectionPhase.OPENING:
                continue  # the transport has a timeout for it
            if connection.phase is ConnectionPhase.UP and connection.retire_at <= now:
                connection.phase = ConnectionPhase.RETIRING
            if connection.ack_due is not None and connection.ack_due <= now:
                # RFC 9113 section 6.5.3
                actions += self._close_broken(connection, "settings not acknowledged", now)
            elif connection.pinged_at is not None and connection.pinged_at + limits.ping_wait <= now:
                actions += self._close_broken(connection, "silent", now)
            elif (
                connection.pinged_at is None
                and connection.open
                and connection.quiet_since + limits.ping_after <= now
            ):
                connection.pinged_at = now
                actions.append(SendPing(connection.number))
            elif not connection.open and connection.last_used + limits.idle <= now:
                actions.append(self._close(connection, "idle"))
        return actions + self._grow(now)

    def next_due(self):
        """Return when `due` is to be called next, or None; never later than the first action that becomes due."""
        limits = self.limits
        times = [next(iter(self.waiting.values()))] if self.waiting else []
        if self.waiting and self.lacks_resources and not self._is_opening():
            times.append(self.retry_at)
        for connection in self.connections.values():
            if connection.phase is ConnectionPhase.OPENING:
                continue
            times.append(
                connection.last_used + limits.idle
                if not connection.open
                else connection.quiet_since + limits.ping_after
                if connection.pinged_at is None
                else connection.pinged_at + limits.ping_wait
            )
            if connection.ack_due is not None:
                times.append(connection.ack_due)
            if connection.phase is ConnectionPhase.UP:
                times.append(connection.retire_at)
            elif connection.phase is ConnectionPhase.RETIRING and not self._is_opening():
                times.append(self.retry_at)
        return min(times, default=None)

    # Decisions.

    def _pseudo_random(self):
        """Return the next number of [0, 1), the same sequence in each process for the same front and server."""
        self.draws += 1
        return crc32(f"{self.label}/{self.draws}".encode()) / 2**32

    def _usable_limit(self, connection):
        """Return the limit on streams of a connection that takes another one, else a false value."""
        limit = min(connection.limit, self.limits.streams)
        return (
            connection.phase in (ConnectionPhase.UP, ConnectionPhase.RETIRING)
            and not connection.blocked
            and connection.open < limit
            and limit
        )

    def _least_full(self):
        """Return the least full connection that takes another stream, or None.

        Streams are spread because the loss of a connection should affect few requests.
        """
        found = [
            (connection.open / limit, connection.number, connection)
            for connection in self.connections.values()
            if (limit := self._usable_limit(connection))
        ]
        return min(found)[2] if found else None

    def _is_opening(self):
        return any(c.phase is ConnectionPhase.OPENING for c in self.connections.values())

    def _assign(self, connection, attempt, now):
        if not connection.open:
            connection.quiet_since = now
        connection.open += 1
        connection.begun += 1
        connection.last_used = now
        if connection.begun >= self.limits.ids and connection.phase is ConnectionPhase.UP:
            connection.phase = ConnectionPhase.RETIRING  # stream ids are running out (RFC 9113 section 5.1.1)
        return SendOnConnection(attempt, connection.number)

    def _assign_waiting(self, now):
        actions = []
        while self.waiting and (connection := self._least_full()) is not None:
            actions.append(self._assign(connection, self.waiting.popitem(last=False)[0], now))
        return actions + self._grow(now)

    def _grow(self, now, wanted=False):
        """Open another connection if those that take streams are full enough; one at a time."""
        serving = [c for c in self.connections.values() if c.phase is not ConnectionPhase.DRAINING]
        if self.removed or self._is_opening() or now < self.retry_at:
            return []
        if len(self.connections) >= 2 * self.limits.connections:
            return []  # a server that sends each connection away must not be connected to without end
        retiring = any(c.phase is ConnectionPhase.RETIRING for c in serving)
        if len(serving) >= self.limits.connections + retiring:
            return []
        if not wanted and not self.waiting and not retiring:
            shares = [c.open / limit for c in serving if (limit := min(c.limit, self.limits.streams))]
            if not shares or min(shares) < self.limits.open_above:
                return []
        return self._open(now)

    def _open(self, now):
        self.last_number += 1
        self.connections[self.last_number] = Connection(self.last_number, now)
        return [OpenConnection(self.last_number)]

    def _close(self, connection, why):
        del self.connections[connection.number]
        return CloseConnection(connection.number, why)

    def _drain(self, connection, now):
        if connection.phase is ConnectionPhase.OPENING:
            return [self._close(connection, "server removed")] if self.removed else []
        connection.phase = ConnectionPhase.DRAINING
        return [] if connection.open else [self._close(connection, "drained")]

    def _close_broken(self, connection, why, now):
        self._back_off(now)
        return [self._close(connection, why), *self._after_loss(now)]

    def _back_off(self, now):
        """Delay the next connect, exponentially and with jitter.

        All fronts lose a server at the same time, and must not reconnect at the same time.
        """
        delay_max = min(self.limits.reconnect_most, self.limits.reconnect_first << min(self.failures, 40))
        self.failures += 1
        self.lacks_resources = False
        self.retry_at = now + int(delay_max * (0.5 + 0.5 * self._pseudo_random()))

    def _refusal_outcome(self):
        return AttemptOutcome.NOT_SENT if self.reachable else AttemptOutcome.UNREACHABLE

    def _after_loss(self, now):
        """Open a successor for waiting attempts; refuse them if no connection is left or opening."""
        actions = self._grow(now) if self.waiting else []
        if not any(c.phase is not ConnectionPhase.DRAINING for c in self.connections.values()):
            actions += [RefuseRequest(attempt, self._refusal_outcome()) for attempt in self.waiting]
            self.waiting.clear()
        return actions
