"""The merged view of all sources: which servers serve, drain or are removed, and reports of it for other fronts.

No I/O, no clock: the caller passes the time (ns). A server is identified by its endpoint id: a new id at a known
address is another server.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import Any, NamedTuple

from sprucegate.routing.events import Endpoint, EndpointState

DRAINS_MAX = 20_000  # servers whose drains are kept, also those that no source lists any more
REMOVED_MAX = 20_000  # removed servers that are remembered, as their weight is ramped if they return
RAMP_STEPS = 10  # few, as each step changes a weight, which moves objects between servers
CHANGE_BATCH_SIZE = 200  # servers processed without a pause


class Standing(Enum):
    """State of a server in the view. HELD: listed, but not to be used yet."""

    SERVING = auto()
    DRAINING = auto()
    HELD = auto()
    GONE = auto()


# The words that the snapshot on disk holds and `servers show` prints.
STANDING_WORDS = {
    Standing.SERVING: "serving",
    Standing.DRAINING: "draining",
    Standing.HELD: "held",
    Standing.GONE: "gone",
}


class Server(NamedTuple):
    """A server as one source lists it. `held`: it is not to be used yet."""

    entry: Endpoint
    name: str
    address: str
    held: bool = False


class Row(NamedTuple):
    """A server in the view.

    :ivar standing: its state; `why`: the reason for it; `since`: when it began (ns).
    :ivar source: the source whose entry is used.
    """

    server: Server
    standing: Standing
    why: str
    since: int
    source: str


class Drain(NamedTuple):
    """A drain that a source began at `since` (ns). It holds for the server's start `started`, not for a later one."""

    source: str
    since: int
    started: int


class Change(NamedTuple):
    """A new generation of the view: the changed servers with their new state and weight, drains and removals first."""

    generation: int
    servers: list[Server]


class SourceReport(NamedTuple):
    """What a source of this front reported of a server, to be passed on to other fronts."""

    source: str
    server: int
    started: int
    state: EndpointState


class Ramp(NamedTuple):
    """The ramp of a returned server, begun at `started_at` (ns): it has `step` / RAMP_STEPS of its weight."""

    started_at: int
    step: int


class View:
    """The sources' lists and drains, and the rows that result.

    `order`: sources by precedence; `ramp`: ns in which the weight of a returned server rises to its full value.

    :ivar lists: {source: {endpoint id: Server}}; `rows`: {endpoint id: Row}; `drains`: {endpoint id: its drains}.
    :ivar recently_removed: endpoint ids that are listed no more, oldest first.
    :ivar pending_reports: reports for other fronts that are still to be sent, or None where there are no other fronts.
    """

    def __init__(self, order: tuple[str, ...], ramp: int = 0, now: int = 0) -> None:
        self.order = tuple(order)
        self.ramp = ramp
        self.generation = 0
        self.lists: dict[str, dict[int, Server]] = {source: {} for source in order}
        self.rows: dict[int, Row] = {}
        self.drains: OrderedDict[int, tuple[Drain, ...]] = OrderedDict()
        self.ramps: dict[int, Ramp] = {}
        self.started_at = now
        self.recently_removed: OrderedDict[int, None] = OrderedDict()
        self.pending_reports: list[SourceReport] | None = None

    # Events.

    def update(self, source: str, servers: list[Server], whole: bool, now: int) -> Change | None:
        """Merge a list of one source, whole or its changes only; return None if the view does not change."""
        batches = self.changes(source, servers, whole, now)
        changed = [server for change in batches if change for server in change.servers]
        changed.sort(key=lambda server: server.entry.state is EndpointState.SERVING)
        return Change(self.generation, changed) if changed else None

    def changes(
        self, source: str, servers: list[Server], whole: bool, now: int, batch_size: int = CHANGE_BATCH_SIZE
    ) -> Iterator[Change | None]:
        """Merge a list in batches, as one generation, removals and drains first; yield None for one without a change.

        Between two batches the caller may do other work, and merge other sources' lists: each row is computed from all
        lists at that time. A long list merged without a pause would block the front for a noticeable time.
        """
        listed = self.lists[source]
        generation = None
        removed: list[int] = []
        if whole:
            listed_ids = {server.entry.id for server in servers}
            yield None
            removed = [endpoint_id for endpoint_id in listed if endpoint_id not in listed_ids]
            yield None
            servers = sorted(servers, key=lambda s: s.entry.state is not EndpointState.DRAINING)
            yield None
        for begin in range(0, max(1, len(removed) + len(servers)), batch_size):
            touched = removed[begin : begin + batch_size]
            for endpoint_id in touched:
                self._report(source, listed.pop(endpoint_id), EndpointState.GONE)
            first = max(0, begin - len(removed))
            end = max(0, begin + batch_size - len(removed))
            for server in servers[first:end]:
                touched.append(server.entry.id)
                self._merge_entry(source, server, now)
            changed = self._update_rows(touched, now)
            if changed and generation is None:
                self.generation += 1
                generation = self.generation
            yield Change(generation, changed) if changed and generation is not None else None

    def _merge_entry(self, source: str, server: Server, now: int) -> None:
        listed = self.lists[source]
        if server.entry.state is EndpointState.GONE:
            self._report(source, listed.pop(server.entry.id, server), EndpointState.GONE)
            return
        self._report(source, server, server.entry.state)
        listed[server.entry.id] = server
        self._update_drains(source, server, now)

    def apply_drain_report(
        self, endpoint_id: int, started: int, source: str, draining: bool, now: int
    ) -> Change | None:
        """Take another front's report that a server drains or no longer does; `source` names the front and its source.

        The drain is kept and lifted like that of any source, and lifts no other one. A report on an earlier start than
        the listed one is on another server and is ignored.
        """
        if any(
            endpoint_id in listed and listed[endpoint_id].entry.started > started
            for listed in self.lists.values()
        ):
            return None
        drains = [drain for drain in self.drains.get(endpoint_id, ()) if drain.source != source]
        if draining:
            drains.append(Drain(source, now, started))
        self._set_drains(endpoint_id, drains)
        return self._change([endpoint_id], now)

    def advance_ramps(self, now: int) -> Change | None:
        """Raise the weights of returned servers by the steps that are due."""
        touched = [endpoint_id for endpoint_id, ramp in self.ramps.items() if now >= self._next_step(ramp)]
        return self._change(touched, now)

    def next_ramp_step_at(self) -> int | None:
        """Return when the next step of any ramp is due (ns), or None."""
        return min((self._next_step(ramp) for ramp in self.ramps.values()), default=None)

    def _next_step(self, ramp: Ramp) -> int:
        return ramp.started_at + self.ramp * ramp.step // RAMP_STEPS

    def _change(self, touched: list[int], now: int) -> Change | None:
        changed = self._update_rows(touched, now)
        if not changed:
            return None
        self.generation += 1
        return Change(self.generation, changed)

    def _report(self, source: str, server: Server, state: EndpointState) -> None:
        if self.pending_reports is not None:
            self.pending_reports.append(SourceReport(source, server.entry.id, server.entry.started, state))

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

    def _set_drains(self, endpoint_id: int, drains: list[Drain]) -> None:
        if drains:
            self.drains[endpoint_id] = tuple(drains)
            self.drains.move_to_end(endpoint_id)
        else:
            self.drains.pop(endpoint_id, None)
        while len(self.drains) > DRAINS_MAX:
            # Only drains of unlisted servers are forgotten: a listed server would serve again without its drain.
            lists = self.lists.values()
            oldest = next(
                (candidate for candidate in self.drains if not any(candidate in listed for listed in lists)),
                None,
            )
            if oldest is None:
                break
            del self.drains[oldest]

    # Rows.

    def _compute_row(self, endpoint_id: int, now: int) -> Row | None:
        source = next((source for source in self.order if endpoint_id in self.lists[source]), None)
        if source is None:
            return None
        server = self.lists[source][endpoint_id]
        drains = self.drains.get(endpoint_id)
        if drains:
            first = drains[0]
            return Row(server, Standing.DRAINING, f"drained by {first.source}", first.since, source)
        if server.held:
            return Row(server, Standing.HELD, f"held by {source}", now, source)
        return Row(server, Standing.SERVING, f"listed by {source}", now, source)

    def _update_rows(self, touched: list[int], now: int) -> list[Server]:
        """Recompute the rows of these endpoint ids; return what changed for the router, drains and removals first."""
        first: list[Server] = []
        later: list[Server] = []
        for endpoint_id in dict.fromkeys(touched):
            old = self.rows.get(endpoint_id)
            before = self._routed(endpoint_id, old)
            self._replace_row(endpoint_id, old, self._compute_row(endpoint_id, now), now)
            after = self._routed(endpoint_id, self.rows.get(endpoint_id))
            if after == before:
                continue
            if after is not None:
                (first if after.entry.state is EndpointState.DRAINING else later).append(after)
            elif old is not None:
                first.append(_with_state(old.server, EndpointState.GONE, old.server.entry.weight))
        return first + later

    def _replace_row(self, endpoint_id: int, old: Row | None, new: Row | None, now: int) -> None:
        if new is not None:
            if old is not None and old.standing is new.standing and old.why == new.why:
                new = new._replace(since=old.since)
            self.rows[endpoint_id] = new
            self._update_ramp(endpoint_id, old, new, now)
            return
        self.rows.pop(endpoint_id, None)
        self.ramps.pop(endpoint_id, None)
        if old is not None:
            self.recently_removed[endpoint_id] = None
            while len(self.recently_removed) > REMOVED_MAX:
                self.recently_removed.popitem(last=False)

    def _update_ramp(self, endpoint_id: int, old: Row | None, new: Row, now: int) -> None:
        """Ramp the weight of a server that drained or was removed; a new one has its full weight at once."""
        returns = (
            old.standing is not Standing.SERVING if old is not None else endpoint_id in self.recently_removed
        )
        if new.standing is not Standing.SERVING:
            self.ramps.pop(endpoint_id, None)
        elif returns and self.ramp:
            self.ramps[endpoint_id] = Ramp(now, 1)
            self.recently_removed.pop(endpoint_id, None)
        elif endpoint_id in self.ramps:
            started_at = self.ramps[endpoint_id].started_at
            step = 1 + (now - started_at) * RAMP_STEPS // self.ramp
            if step >= RAMP_STEPS:
                del self.ramps[endpoint_id]
            else:
                self.ramps[endpoint_id] = Ramp(started_at, step)

    def _routed(self, endpoint_id: int, row: Row | None) -> Server | None:
        """Return a row as the router and the connection pools get it, or None if it is kept from them."""
        if row is None or row.standing is Standing.HELD:
            return None
        state = EndpointState.DRAINING if row.standing is Standing.DRAINING else EndpointState.SERVING
        share = self.ramps[endpoint_id].step / RAMP_STEPS if endpoint_id in self.ramps else 1.0
        return _with_state(row.server, state, row.server.entry.weight * share)

    # Stored data.

    def dump(self, unix_of: Callable[[int], int]) -> dict[str, Any]:
        """Return generation, order and drains as plain data for a snapshot; `unix_of` converts times to Unix time."""
        drains = [
            [endpoint_id, [[drain.source, unix_of(drain.since), drain.started] for drain in server_drains]]
            for endpoint_id, server_drains in self.drains.items()
        ]
        return {"generation": self.generation, "order": list(self.order), "drains": drains}

    def restore(self, stored: dict[str, Any], since_unix: Callable[[int], int]) -> None:
        """Restore what `dump` returned; raises KeyError, TypeError or ValueError for other data."""
        self.generation = stored["generation"]
        for endpoint_id, drains in stored["drains"]:
            self.drains[endpoint_id] = tuple(
                Drain(source, since_unix(since), started) for source, since, started in drains
            )


def _with_state(server: Server, state: EndpointState, weight: float) -> Server:
    return server._replace(entry=server.entry._replace(state=state, weight=weight))
