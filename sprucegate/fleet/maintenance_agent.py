"""A front's side of maintenance: applies the drains of the replicated log and reports what it sees of boxes.

No method waits. `fleet.rollout.permits` says what a box is.
"""

from typing import NamedTuple

from sprucegate.fleet.membership_view.degraded_mode import PeerAction, allows
from sprucegate.fleet.membership_view.health_state import HEALTH_STATE_OF_MEMBER
from sprucegate.fleet.rollout.budgets import ManagedServer
from sprucegate.fleet.rollout.gates import GateLimits
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.routing.events import AttemptOutcome, CacheStatus

DRAIN_SOURCE = "permit"  # the source in the endpoint view of a drain by permit
UNREACHABLE_AFTER = 3  # attempts in a row that did not reach a box, after which it is reported
CACHE_HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT, CacheStatus.COLLAPSED)
BOXES_COUNTED_MAX = 5000


class ConsensusSettings(NamedTuple):
    """Settings of the replicated log.

    :ivar addresses: of the voters, by name.
    :ivar state: folder of this process's voter; "" without one.
    :ivar limits: function of a cold cache's share that returns the arguments of the command `limits`.
    """

    addresses: dict
    state: str
    limits: object
    gate: GateLimits = GateLimits()


class MaintenanceAgent:
    """A front's side of maintenance: applies drains by permit and reports what it sees of servers.

    :ivar members: function that returns {name: member} of the fronts.
    :ivar views: tracker that is told which fronts the log counts as live, or None.
    :ivar applied_drains: {box: (id, start) of the drained server}; `log_drains`: {box: index of its permit}.
    :ivar counts: {box: [GETs, errors, sheds, late answers, misses]}.
    :ivar unreached: {box: attempts in a row that did not reach it}.
    :ivar own_drain: whether this front's own permit keeps clients away.
    :ivar rows_cache: (generation of the endpoint view, its rows by name).
    :ivar reported: {box: its row in the latest report that had one}.
    :ivar cold: {box: (start, since when it is cold, GETs before that)}; `starts`: {box: (start time, starts)}.
    """

    def __init__(self, driver, merged, members, views=None):
        self.driver = driver
        self.merged = merged
        self.members = members
        self.views = views
        self.applied_drains = {}
        self.log_drains = {}
        self.counts = {}
        self.unreached = {}
        self.name = driver.config.name
        self.own_drain = False
        self.rows_cache = (-1, {})
        self.reported = {}
        self.cold = {}
        self.starts = {}
        self.location_names = {value: name for name, value in driver.config.locations.items()}
        self.kind_names = {value: name for name, value in driver.config.kinds.items()}

    def cold_share(self):
        """Return the share of its full rate that a cold cache can take, by the settings."""
        return self.driver.router.settings.cold_share

    def _rows(self):
        """Return the view's caches and parents by name; an origin never goes out by a permit."""
        view, origin = self.merged.view, self.driver.router.settings.origin_kind
        # Rebuilt only when the view has changed: with 20,000 rows a rebuild at each call would delay GETs.
        if self.rows_cache[0] != view.generation:
            self.rows_cache = (
                view.generation,
                {
                    row.server.name: row
                    for row in view.rows.values()
                    if row.standing.name != "GONE" and row.server.entry.kind != origin
                },
            )
        return self.rows_cache[1]

    def boxes_key(self):
        """Return a key that changes whenever the result of `boxes` may change."""
        return self.merged.view.generation, [(name, m.state) for name, m in sorted(self.members().items())]

    def boxes(self):
        """Return the servers that maintenance may take out, by name."""
        found = {
            name: ManagedServer(
                name,
                "cache",
                self.location_names.get(row.server.entry.location, ""),
                self.kind_names.get(row.server.entry.kind, ""),
                str(row.server.entry.cell),
                self._weight(row.server.entry.id),
            )
            for name, row in self._rows().items()
        }
        for name, member in self.members().items():
            if allows(PeerAction.LIST_FOR_MAINTENANCE, HEALTH_STATE_OF_MEMBER[member.state]):
                found[name] = ManagedServer(name, "front", "", "front", "", 1)
        return found

    def _weight(self, at):
        """Return the weight in the server's list, in thousandths: the view's weight is lower after a return."""
        view = self.merged.view
        listed = next((view.lists[source][at] for source in view.order if at in view.lists[source]), None)
        return max(1, int(1000 * listed.entry.weight)) if listed is not None else 1

    def on_log_applied(self, machine, fenced, now):
        """Pass on the fronts that the log counts as live, and whether this front is fenced from the log."""
        if self.views is not None:
            self.views.on_log_applied(machine.index, machine.permits.fronts, fenced, now)

    # Drains.

    def apply_drains(self, machine):
        """Apply the log's drains to the view, and lift those that ended; drains by other sources are not touched."""
        self.log_drains, now = machine.drained(), self.driver.clock()
        rows = self._rows()
        if (self.name in self.log_drains) != self.own_drain:
            # A load balancer stops sending clients here by /status/live; those that come anyway are served.
            self.own_drain = self.name in self.log_drains
            self.driver.drained = self.own_drain
        for box in [b for b in self.applied_drains if b not in self.log_drains]:
            at, started = self.applied_drains.pop(box)
            self.merged.apply_drain_report(at, started, DRAIN_SOURCE, False, now)
        for box in self.log_drains:
            row = rows.get(box)
            if row is None:
                continue
            server = row.server.entry.id, row.server.entry.started
            if self.applied_drains.get(box) != server:
                # For each start that is listed: one that comes back while its permit is still out is not used either.
                self.applied_drains[box] = server
                self.merged.apply_drain_report(*server, DRAIN_SOURCE, True, now)
        for permit in machine.permits.open_by_box.values():
            if permit.step is PermitStep.COLD and self.cold.get(permit.box, ("",))[0] != permit.start:
                self.cold[permit.box] = permit.start, now, self.counts.get(permit.box, [0])[0]
                upstream = self._upstream(permit.box, rows)
                if upstream is not None:
                    self.unreached.pop(permit.box, None)
                    # Connections to the former start prove nothing of this one.
                    upstream.transport.drain(upstream)
                    self.driver.servers.warm(upstream, now)
        open_permits = machine.permits.open_by_box
        self.cold = {box: one for box, one in self.cold.items() if box in open_permits}

    def _upstream(self, box, rows):
        row = rows.get(box)
        return self.driver.servers.by_id.get(row.server.entry.id) if row is not None else None

    @property
    def drained_boxes(self):
        """Boxes that get nothing new from here and are not named as sources, once the whole change was handed over."""
        if getattr(self.merged, "queue", None):
            return {}
        rows = self._rows()
        return {
            box: index
            for box, index in self.log_drains.items()
            if box not in rows or rows[box].standing.name == "DRAINING"
        }

    # Reports.

    def attempt_ended(self, cache, outcome, cache_status, duration, objective):
        """Count an attempt that ended at a box, for the gates of releases."""
        upstream = self.driver.servers.by_id.get(cache)
        if upstream is None or outcome is AttemptOutcome.CANCELLED:
            return
        if outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT):
            self.unreached[upstream.name] = self.unreached.get(upstream.name, 0) + 1
            return
        self.unreached.pop(upstream.name, None)
        row = self.counts.setdefault(upstream.name, [0, 0, 0, 0, 0])
        row[0] += 1
        row[1] += outcome in (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT)
        row[2] += outcome is AttemptOutcome.FULL
        row[3] += outcome is AttemptOutcome.RETURNED and duration > objective
        row[4] += outcome is AttemptOutcome.RETURNED and cache_status not in CACHE_HITS
        while len(self.counts) > BOXES_COUNTED_MAX:
            del self.counts[next(iter(self.counts))]

    def report(self):
        """Return the report for the leader: changed rows, boxes that can't be reached, and troubles."""
        rows = self._rows()
        for name, row in rows.items():
            started, starts = self.starts.get(name, (row.server.entry.started, 1))
            self.starts[name] = row.server.entry.started, starts + (row.server.entry.started != started)
        if len(self.starts) > BOXES_COUNTED_MAX + len(rows):
            self.starts = {name: one for name, one in self.starts.items() if name in rows}
            self.reported = {name: one for name, one in self.reported.items() if name in rows}
        unreachable = [
            name for name, times in self.unreached.items() if times >= UNREACHABLE_AFTER and name in rows
        ]
        changed = []
        for name in rows:
            row = [name, *self.counts.get(name, (0, 0, 0, 0, 0)), self.starts[name][1]]
            # Counts are cumulative, so the next row makes up for a lost one.
            if self.reported.get(name) != row:
                self.reported[name] = row
                changed.append(row)
        return [changed, unreachable, self._troubles()]

    def _troubles(self):
        """Return the troubles that this front sees: "origin" while all origins are ejected."""
        nodes = self.driver.router.group("origin")
        now = self.driver.clock()
        return (
            {"origin": "rests"}
            if nodes and all(now < node.cache_health.ejected_until for node in nodes)
            else {}
        )

    def is_warm(self, box, start):
        """Whether that start answers this front and has had its warm-up time.

        By then its slow start is over at every front.
        """
        seen, rows, now = self.cold.get(box), self._rows(), self.driver.clock()
        if box in self.members() or box not in rows:
            return box == self.name and self.driver.ready
        if seen is None or seen[0] != start or self.unreached.get(box):
            return False
        upstream, router = self._upstream(box, rows), self.driver.router
        if upstream is None or rows[box].standing.name != "SERVING":
            return False
        if rows[box].server.entry.kind == router.settings.parent_kind:
            need = router.settings.parent_warm_time
        else:
            need = router.settings.warm_time
        answered = self.counts.get(box, [0])[0] > seen[2]
        if not answered and not upstream.transport.connected_since(upstream, seen[1]):
            # No GET was sent to it, but an established connection proves that it answers. A connection still being
            # made, or one made to the former start, does not: by such a one a front reported a box as warm that had
            # never come back.
            self.driver.servers.warm(upstream, now)
            return False
        return now - seen[1] >= need
