"""The merged view of all sources: who serves, who drains, who has gone, and what of it others are to know.

No I/O, no clock: the caller passes the time (ns). A server is known by its endpoint id; a new id at an old address is
another server.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import Any, NamedTuple

from sprucegate.routing.events import Endpoint, EndpointState

DRAINS_MAX = 20_000  # drains remembered, also of servers that no source lists any more
MISSING_MAX = 20_000  # servers remembered that were listed and have gone
RAMP_STEPS = 10  # each is a change of weight, which moves objects
CHANGE_PIECE_SIZE = 200  # servers worked out without a pause


class Standing(Enum):
    """How a server stands in the view. HELD: known, and not yet to be used."""

    SERVING = auto()
    DRAINING = auto()
    HELD = auto()
    GONE = auto()


# How a standing is written into the snapshot on disk; `servers show` prints these words.
STANDING_WORDS = {
    Standing.SERVING: "serving",
    Standing.DRAINING: "draining",
    Standing.HELD: "held",
    Standing.GONE: "gone",
}


class Server(NamedTuple):
    """What one source says of a server. `held`: it is not to be used yet."""

    entry: Endpoint
    name: str
    address: str
    held: bool = False


class Row(NamedTuple):
    """A server in the view.

    :ivar standing: how it stands; `why`: for which reason; `since`: time (ns) since when.
    :ivar source: the source whose entry holds.
    """

    server: Server
    standing: Standing
    why: str
    since: int
    source: str


class Drain(NamedTuple):
    """A drain that a source began at `since` (ns), of the server's start `started`: a later start is another server."""

    source: str
    since: int
    started: int


class Change(NamedTuple):
    """A new generation of the view: servers with the state and weight that hold now, drains and removals first."""

    generation: int
    servers: list[Server]


class News(NamedTuple):
    """What a source of this front said, for other fronts."""

    source: str
    server: int
    started: int
    state: EndpointState


class Ramp(NamedTuple):
    """A server's way back to its whole weight: it has `step` of RAMP_STEPS."""

    begun: int
    step: int


class View:
    """The sources' lists and drains, and the rows that result.

    `order`: sources by precedence; `ramp`: ns in which a server that comes back gets its whole weight.

    :ivar lists: {source: {endpoint id: Server}}; `rows`: {endpoint id: Row}; `drains`: {endpoint id: its drains}.
    :ivar missing: endpoint ids that were listed and have gone, oldest first.
    :ivar news: a list that takes what others are to know, or None.
    """

    def __init__(self, order: tuple[str, ...], ramp: int = 0, now: int = 0) -> None:
        self.order = tuple(order)
        self.ramp = ramp
        self.generation = 0
        self.lists: dict[str, dict[int, Server]] = {source: {} for source in order}
        self.rows: dict[int, Row] = {}
        self.drains: OrderedDict[int, tuple[Drain, ...]] = OrderedDict()
        self.ramps: dict[int, Ramp] = {}
        self.begun = now
        self.missing: OrderedDict[int, None] = OrderedDict()
        self.news: list[News] | None = None

    # Events.

    def told(self, source: str, servers: list[Server], whole: bool, now: int) -> Change | None:
        """Take a list of one source, whole or what changed of it; return None where the view stays."""
        pieces = self.changes(source, servers, whole, now)
        changed = [server for piece in pieces if piece for server in piece.servers]
        changed.sort(key=lambda server: server.entry.state is EndpointState.SERVING)
        return Change(self.generation, changed) if changed else None

    def changes(
        self, source: str, servers: list[Server], whole: bool, now: int, piece: int = CHANGE_PIECE_SIZE
    ) -> Iterator[Change | None]:
        """Take a list in pieces of one generation, removals and drains first; yield None for one without a change.

        Between two pieces the caller may do other work, and take other sources' lists: each server is worked out from
        all lists as they then are. A long list in one go would stop the front for a noticeable time.
        """
        listed = self.lists[source]
        generation = None
        removed: list[int] = []
        if whole:
            names = {server.entry.id for server in servers}
            yield None
            removed = [one for one in listed if one not in names]
            yield None
            servers = sorted(servers, key=lambda s: s.entry.state is not EndpointState.DRAINING)
            yield None
        for begin in range(0, max(1, len(removed) + len(servers)), piece):
            touched = removed[begin : begin + piece]
            for one in touched:
                self._add_news(source, listed.pop(one), EndpointState.GONE)
            first = max(0, begin - len(removed))
            end = max(0, begin + piece - len(removed))
            for server in servers[first:end]:
                touched.append(server.entry.id)
                self._take_entry(source, server, now)
            changed = self._work_out(touched, now)
            if changed and generation is None:
                self.generation += 1
                generation = self.generation
            yield Change(generation, changed) if changed and generation is not None else None

    def _take_entry(self, source: str, server: Server, now: int) -> None:
        listed = self.lists[source]
        if server.entry.state is EndpointState.GONE:
            self._add_news(source, listed.pop(server.entry.id, server), EndpointState.GONE)
            return
        self._add_news(source, server, server.entry.state)
        listed[server.entry.id] = server
        self._update_drains(source, server, now)

    def word(self, at: int, started: int, source: str, draining: bool, now: int) -> Change | None:
        """Another front reports a drain of a server, or its end; `source` says whose word it is, and of what source.

        It is kept and lifted like any source's drain, and lifts no other. A report of an earlier start than that of a
        listed server is of another server.
        """
        if any(at in listed and listed[at].entry.started > started for listed in self.lists.values()):
            return None
        drains = [drain for drain in self.drains.get(at, ()) if drain.source != source]
        if draining:
            drains.append(Drain(source, now, started))
        self._set_drains(at, drains)
        return self._change([at], now)

    def due(self, now: int) -> Change | None:
        """Take the ramps' next steps."""
        touched = [one for one, ramp in self.ramps.items() if now >= self._next_step(ramp)]
        return self._change(touched, now)

    def next_due(self) -> int | None:
        """Return the time of the next step of a ramp, or None."""
        return min((self._next_step(ramp) for ramp in self.ramps.values()), default=None)

    def _next_step(self, ramp: Ramp) -> int:
        return ramp.begun + self.ramp * ramp.step // RAMP_STEPS

    def _change(self, touched: list[int], now: int) -> Change | None:
        changed = self._work_out(touched, now)
        if not changed:
            return None
        self.generation += 1
        return Change(self.generation, changed)

    def _add_news(self, source: str, server: Server, state: EndpointState) -> None:
        if self.news is not None:
            self.news.append(News(source, server.entry.id, server.entry.started, state))

    # Drains.

    def _update_drains(self, source: str, server: Server, now: int) -> None:
        """Keep, begin or lift drains: each is lifted by the source that began it, or by a later start."""
        started = server.entry.started
        drains = [drain for drain in self.drains.get(server.entry.id, ()) if started <= drain.started]
        own = next((drain for drain in drains if drain.source == source), None)
        if server.entry.state is EndpointState.DRAINING:
            if own is None:
                drains.append(Drain(source, now, started))
        elif own is not None:
            drains.remove(own)
        self._set_drains(server.entry.id, drains)

    def _set_drains(self, at: int, drains: list[Drain]) -> None:
        if drains:
            self.drains[at] = tuple(drains)
            self.drains.move_to_end(at)
        else:
            self.drains.pop(at, None)
        while len(self.drains) > DRAINS_MAX:
            # One that no source lists goes first: forgetting one that is listed would let it serve.
            lists = self.lists.values()
            oldest = next((one for one in self.drains if not any(one in listed for listed in lists)), None)
            if oldest is None:
                break
            del self.drains[oldest]

    # Rows.

    def _row(self, at: int, now: int) -> Row | None:
        source = next((source for source in self.order if at in self.lists[source]), None)
        if source is None:
            return None
        server = self.lists[source][at]
        drains = self.drains.get(at)
        if drains:
            first = drains[0]
            return Row(server, Standing.DRAINING, f"drained by {first.source}", first.since, source)
        if server.held:
            return Row(server, Standing.HELD, f"held by {source}", now, source)
        return Row(server, Standing.SERVING, f"listed by {source}", now, source)

    def _work_out(self, touched: list[int], now: int) -> list[Server]:
        """Work out the rows of these endpoint ids; return what changed for the router, drains and removals first."""
        first: list[Server] = []
        later: list[Server] = []
        for at in dict.fromkeys(touched):
            old = self.rows.get(at)
            before = self._routed(at, old)
            self._replace_row(at, old, self._row(at, now), now)
            after = self._routed(at, self.rows.get(at))
            if after == before:
                continue
            if after is not None:
                (first if after.entry.state is EndpointState.DRAINING else later).append(after)
            elif old is not None:
                first.append(_with(old.server, EndpointState.GONE, old.server.entry.weight))
        return first + later

    def _replace_row(self, at: int, old: Row | None, new: Row | None, now: int) -> None:
        if new is not None:
            if old is not None and old.standing is new.standing and old.why == new.why:
                new = new._replace(since=old.since)
            self.rows[at] = new
            self._update_ramp(at, old, new, now)
            return
        self.rows.pop(at, None)
        self.ramps.pop(at, None)
        if old is not None:
            self.missing[at] = None
            while len(self.missing) > MISSING_MAX:
                self.missing.popitem(last=False)

    def _update_ramp(self, at: int, old: Row | None, new: Row, now: int) -> None:
        """A server that drained or was gone gets its weight in steps; those of the first list have theirs at once."""
        returns = old.standing is not Standing.SERVING if old is not None else at in self.missing
        if new.standing is not Standing.SERVING:
            self.ramps.pop(at, None)
        elif returns and self.ramp:
            self.ramps[at] = Ramp(now, 1)
            self.missing.pop(at, None)
        elif at in self.ramps:
            begun = self.ramps[at].begun
            step = 1 + (now - begun) * RAMP_STEPS // self.ramp
            if step >= RAMP_STEPS:
                del self.ramps[at]
            else:
                self.ramps[at] = Ramp(begun, step)

    def _routed(self, at: int, row: Row | None) -> Server | None:
        """Return what the router and the connections know of a row; None where they don't know it."""
        if row is None or row.standing is Standing.HELD:
            return None
        state = EndpointState.DRAINING if row.standing is Standing.DRAINING else EndpointState.SERVING
        share = self.ramps[at].step / RAMP_STEPS if at in self.ramps else 1.0
        return _with(row.server, state, row.server.entry.weight * share)

    # Stored data.

    def kept(self, unix_of: Callable[[int], int]) -> dict[str, Any]:
        """Return generation, order and drains as plain data for a snapshot; `unix_of` turns times into Unix time."""
        drains = [
            [at, [[drain.source, unix_of(drain.since), drain.started] for drain in several]]
            for at, several in self.drains.items()
        ]
        return {"generation": self.generation, "order": list(self.order), "drains": drains}

    def restored(self, kept: dict[str, Any], since_unix: Callable[[int], int]) -> None:
        """Take over what `kept` gave; raises KeyError, TypeError or ValueError for other data."""
        self.generation = kept["generation"]
        for at, drains in kept["drains"]:
            self.drains[at] = tuple(
                Drain(source, since_unix(since), started) for source, since, started in drains
            )


def _with(server: Server, state: EndpointState, weight: float) -> Server:
    return server._replace(entry=server.entry._replace(state=state, weight=weight))
