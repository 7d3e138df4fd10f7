"""The merged view of all sources: who serves, who drains, who has gone, and what of it is to be told.

No I/O, no clock: the caller passes the time (ns). A server is known by its id; a new id at an old address is another.
"""

from collections import OrderedDict
from enum import Enum, auto
from typing import NamedTuple

from sprucegate.routing.events import Endpoint, EndpointState

DRAINS_MOST = 20_000  # drains remembered, also of servers that no source lists any more
STEPS = 10  # of a ramp: each is a change of weight, which moves objects


class Standing(Enum):
    SERVING = auto()
    DRAINING = auto()
    HELD = auto()  # known, not yet to be used
    GONE = auto()


class Server(NamedTuple):
    """What one source says of a server. `entry` has id, location, kind, cell, state, weight and start."""

    entry: Endpoint
    name: str
    address: str
    held: bool = False


class Row(NamedTuple):
    """A server in the view: what it is, how it stands, why, since when (ns), and whose word it is."""

    server: Server
    standing: Standing
    why: str
    since: int
    source: str


class Drain(NamedTuple):
    source: str
    since: int
    started: int  # of the server that drains: a later start is another one


class Change(NamedTuple):
    """A new generation of the view, as entries that router and transports take. Drains and removals come first."""

    generation: int
    servers: list  # Server, with the state and the weight that hold now


class View:
    def __init__(self, order, ramp=0, now=0):
        """`order`: sources by precedence; `ramp`: ns in which one that comes back gets its whole weight."""
        self.order, self.ramp, self.generation = tuple(order), ramp, 0
        self.lists = {source: {} for source in order}
        self.rows, self.drains, self.ramps = {}, OrderedDict(), {}
        self.begun, self.missing = now, OrderedDict()  # ids that were here and went, for the ramp
        self.news = None  # a list, where others are to know: (source, id, start, State)

    # What happens.

    def told(self, source, servers, whole, now):
        """A list of one source, whole or what changed of it. None where nothing of the view changes."""
        made = [one for piece in self.changes(source, servers, whole, now) if piece for one in piece.servers]
        made.sort(key=lambda one: one.entry.state is EndpointState.SERVING)
        return Change(self.generation, made) if made else None

    def changes(self, source, servers, whole, now, piece=200):
        """The same in pieces that bear one generation, removals and drains first; None for one without a change.

        Between two pieces the caller may do other work, and tell other sources' news: each server is worked out from
        all lists as they then are. 20,000 entries in one go would stop the front for a fifth of a second.
        """
        listed, generation = self.lists[source], None
        if whole:
            names = {server.entry.id for server in servers}
            yield None
            removed = [at for at in listed if at not in names]
            yield None
            servers = sorted(servers, key=lambda s: s.entry.state is not EndpointState.DRAINING)
            yield None
        else:
            removed = []
        for begin in range(0, max(1, len(removed) + len(servers)), piece):
            touched = removed[begin : begin + piece]
            for at in touched:
                self._tells(source, listed.pop(at), EndpointState.GONE)
            from_here = max(0, begin - len(removed))
            for server in servers[from_here : max(0, begin + piece - len(removed))]:
                at = server.entry.id
                touched.append(at)
                if server.entry.state is EndpointState.GONE:
                    self._tells(source, listed.pop(at, server), EndpointState.GONE)
                    continue
                self._tells(source, server, server.entry.state)
                listed[at] = server
                self._drained(source, server, now)
            made = self._worked_out(touched, now)
            if made and generation is None:
                self.generation = generation = self.generation + 1
            yield Change(generation, made) if made else None

    def _drained(self, source, server, now):
        """Keeps, begins or lifts drains: each is lifted by the source that began it, or by another server."""
        at, started = server.entry.id, server.entry.started
        drains = [d for d in self.drains.get(at, ()) if started <= d.started]
        own = next((d for d in drains if d.source == source), None)
        if server.entry.state is EndpointState.DRAINING:
            if own is None:
                drains.append(Drain(source, now, started))
        elif own is not None:
            drains.remove(own)
        if drains:
            self.drains[at] = tuple(drains)
            self.drains.move_to_end(at)
        else:
            self.drains.pop(at, None)
        self._bounded()

    def _bounded(self):
        while len(self.drains) > DRAINS_MOST:
            # One that no source lists goes first: forgetting one that is listed would let it serve.
            oldest = next((d for d in self.drains if not any(d in one for one in self.lists.values())), None)
            if oldest is None:
                break
            del self.drains[oldest]

    def _tells(self, source, server, state):
        if self.news is not None:
            self.news.append((source, server.entry.id, server.entry.started, state))

    def word(self, at, started, source, draining, now):
        """Another front's word, `source` says whose and of what source: held and lifted as any source's drain.

        It never lifts another's, and one of an earlier start than a server's that is listed is of another server.
        """
        if any(at in one and one[at].entry.started > started for one in self.lists.values()):
            return None
        drains = tuple(d for d in self.drains.get(at, ()) if d.source != source)
        if draining:
            drains += (Drain(source, now, started),)
        if drains:
            self.drains[at] = drains
            self.drains.move_to_end(at)
        else:
            self.drains.pop(at, None)
        self._bounded()
        made = self._worked_out([at], now)
        self.generation += bool(made)
        return Change(self.generation, made) if made else None

    def due(self, now):
        """The ramps' next steps."""
        made = self._worked_out(
            [at for at, (begun, step) in self.ramps.items() if now >= begun + self.ramp * step // STEPS], now
        )
        self.generation += bool(made)
        return Change(self.generation, made) if made else None

    def next_due(self):
        return min((begun + self.ramp * step // STEPS for begun, step in self.ramps.values()), default=None)

    # How it is decided.

    def _row(self, at, now):
        source = next((source for source in self.order if at in self.lists[source]), None)
        if source is None:
            return None
        server = self.lists[source][at]
        if drains := self.drains.get(at):
            first = drains[0]
            why = f"drained by {first.source}"
            return Row(server, Standing.DRAINING, why, first.since, source)
        if server.held:
            return Row(server, Standing.HELD, f"held by {source}", now, source)
        return Row(server, Standing.SERVING, f"listed by {source}", now, source)

    def _worked_out(self, touched, now):
        first, later = [], []
        for at in dict.fromkeys(touched):
            old, new = self.rows.get(at), self._row(at, now)
            was, told = self._told(at, old), None
            if new is None:
                self.rows.pop(at, None)
                self.ramps.pop(at, None)
                if old is not None:
                    self.missing[at] = None
                    while len(self.missing) > DRAINS_MOST:
                        self.missing.popitem(last=False)
            else:
                if old is not None and old.standing is new.standing and old.why == new.why:
                    new = new._replace(since=old.since)
                self.rows[at] = new
                self._ramped(at, old, new, now)
                told = self._told(at, new)
            if told == was:
                continue
            if told is None:
                first.append(_with(old.server, EndpointState.GONE, old.server.entry.weight))
            else:
                (first if told.entry.state is EndpointState.DRAINING else later).append(told)
        return first + later

    def _ramped(self, at, old, new, now):
        """One that drained or was gone gets its weight in steps; those of the first list have theirs at once."""
        back = old.standing is not Standing.SERVING if old is not None else at in self.missing
        if new.standing is not Standing.SERVING:
            self.ramps.pop(at, None)
        elif back and self.ramp:
            self.ramps[at] = now, 1
            self.missing.pop(at, None)
        elif at in self.ramps:
            begun, _ = self.ramps[at]
            step = 1 + (now - begun) * STEPS // self.ramp
            if step >= STEPS:
                del self.ramps[at]
            else:
                self.ramps[at] = begun, step

    def _told(self, at, row):
        """What router and transports know of a row; None where they don't know it."""
        if row is None or row.standing is Standing.HELD:
            return None
        state = EndpointState.DRAINING if row.standing is Standing.DRAINING else EndpointState.SERVING
        share = self.ramps[at][1] / STEPS if at in self.ramps else 1.0
        return _with(row.server, state, row.server.entry.weight * share)

    # What lasts.

    def kept(self, unix_of):
        """Each source's list and the drains, as plain data for a snapshot; `unix_of` makes times that last."""
        return {
            "generation": self.generation,
            "order": list(self.order),
            "drains": [
                [at, [[one.source, unix_of(one.since), one.started] for one in drains]]
                for at, drains in self.drains.items()
            ],
        }

    def restored(self, kept, since_unix):
        self.generation = kept["generation"]
        for at, drains in kept["drains"]:
            self.drains[at] = tuple(
                Drain(source, since_unix(since), started) for source, since, started in drains
            )


def _with(server, state, weight):
    return server._replace(entry=server.entry._replace(state=state, weight=weight))
