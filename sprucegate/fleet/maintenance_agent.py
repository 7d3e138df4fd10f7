"""A front's side of the agreed log: what it drains, what it tells of boxes and says that it sees. Nothing waits."""

from typing import NamedTuple

from sprucegate.fleet.membership_view.degraded_mode import PeerAction, allows
from sprucegate.fleet.membership_view.health_state import HEALTH_STATE_OF_MEMBER
from sprucegate.fleet.rollout.gates import GateLimits
from sprucegate.fleet.rollout.permits import ManagedServer, PermitStep
from sprucegate.routing.events import AttemptOutcome, CacheStatus

SOURCE = "permit"  # whose word a drain by permit is, in the view
MISSED = 3  # forwards in a row that did not reach a box, until it is told of
HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT, CacheStatus.COLLAPSED)
FORGOTTEN = 5000  # boxes that are counted


class ConsensusSettings(NamedTuple):
    """What the operator's file says: `addresses` of the keepers, this one's folder, limits by the settings' floor."""

    addresses: dict
    state: str
    limits: object
    gate: GateLimits = GateLimits()


class MaintenanceAgent:
    """A front's side of maintenance: applies drains by permit and reports what it sees of servers."""

    def __init__(self, driver, merged, members, views=None):
        """`members()`: {name: member} of the fronts; `views`: what hears of the fronts that the log counts."""
        self.driver, self.merged, self.members, self.views = driver, merged, members, views
        self.placed, self.wanted, self.counts, self.missed = {}, {}, {}, {}
        self.name, self.aside = driver.config.name, False  # whether its own permit keeps clients away
        self.seen, self.reported = (
            (-1, {}),
            {},
        )  # rows by the view's generation; what was told of each box last
        self.cold, self.starts = {}, {}  # box -> (start, since, GETs until then); -> (started, how often)
        self.places = {value: name for name, value in driver.config.locations.items()}
        self.kinds = {value: name for name, value in driver.config.kinds.items()}

    def floor(self):
        """Return the part of its full rate that a cold cache bears, by the settings."""
        return self.driver.router.settings.cold_share

    def _rows(self):
        """Caches and parents of the view by name; the origin never goes out by a permit."""
        view, origin = self.merged.view, self.driver.router.settings.origin_kind
        if (
            self.seen[0] != view.generation
        ):  # of 20,000 rows few change: all anew each time would hold up GETs
            self.seen = (
                view.generation,
                {
                    row.server.name: row
                    for row in view.rows.values()
                    if row.standing.name != "GONE" and row.server.entry.kind != origin
                },
            )
        return self.seen[1]

    def changed(self):
        """Differs where `boxes` may give something else."""
        return self.merged.view.generation, [(name, m.state) for name, m in sorted(self.members().items())]

    def boxes(self):
        """Return the servers that maintenance may take out, by name."""
        found = {
            name: ManagedServer(
                name,
                "cache",
                self.places.get(row.server.entry.location, ""),
                self.kinds.get(row.server.entry.kind, ""),
                str(row.server.entry.cell),
                self._weight(row.server.entry.id),
            )
            for name, row in self._rows().items()
        }
        for name, member in self.members().items():
            if allows(PeerAction.LISTED, HEALTH_STATE_OF_MEMBER[member.state]):
                found[name] = ManagedServer(name, "front", "", "front", "", 1)
        return found

    def _weight(self, at):
        """As its list has it, in thousandths: in the view one that comes back has less of it for a while."""
        view = self.merged.view
        listed = next((view.lists[source][at] for source in view.order if at in view.lists[source]), None)
        return max(1, int(1000 * listed.entry.weight)) if listed is not None else 1

    def follows(self, machine, fenced, now):
        """Note the state machine as of `now`, and whether this front is fenced from the log."""
        if self.views is not None:
            self.views.on_log_applied(machine.index, machine.permits.fronts, fenced, now)

    # Drains.

    def holds(self, machine):
        """What the log drains is drained in the view; what it drains no more is lifted there, as its own word alone."""
        self.wanted, now = machine.drained(), self.driver.clock()
        rows = self._rows()
        if (self.name in self.wanted) != self.aside:
            # What sends clients here asks /status/live; those that come all the same are served.
            self.aside = self.name in self.wanted
            self.driver.drained = self.aside
        for box in [b for b in self.placed if b not in self.wanted]:
            at, started = self.placed.pop(box)
            self.merged.word(at, started, SOURCE, False, now)
        for box in self.wanted:
            row = rows.get(box)
            if row is None:
                continue
            which = row.server.entry.id, row.server.entry.started
            if self.placed.get(box) != which:
                # Of the start that is listed: one that comes back while its permit says out is not used either.
                self.placed[box] = which
                self.merged.word(*which, SOURCE, True, now)
        for permit in machine.permits.of_box.values():
            if permit.step is PermitStep.COLD and self.cold.get(permit.box, ("",))[0] != permit.start:
                self.cold[permit.box] = permit.start, now, self.counts.get(permit.box, [0])[0]
                place = self._place(permit.box, rows)
                if place is not None:
                    self.missed.pop(permit.box, None)
                    place.transport.leave(place)  # what was open to the former start says nothing of this one
                    self.driver.servers.warm(place, now)
        open_now = machine.permits.of_box
        self.cold = {box: one for box, one in self.cold.items() if box in open_now}

    def _place(self, box, rows):
        row = rows.get(box)
        return self.driver.servers.places.get(row.server.entry.id) if row is not None else None

    @property
    def drained(self):
        """Boxes that get nothing new from here and are named no more as source: all of the change is handed over."""
        if getattr(self.merged, "queue", None):
            return {}
        rows = self._rows()
        return {
            box: index
            for box, index in self.wanted.items()
            if box not in rows or rows[box].standing.name == "DRAINING"
        }

    # What it sees.

    def forwarded(self, cache, outcome, found, took, objective):
        """One forward's end at a box, for the gates of releases."""
        place = self.driver.servers.places.get(cache)
        if place is None or outcome is AttemptOutcome.CANCELLED:
            return
        if outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT):
            self.missed[place.name] = self.missed.get(place.name, 0) + 1
            return
        self.missed.pop(place.name, None)
        row = self.counts.setdefault(place.name, [0, 0, 0, 0, 0])
        row[0] += 1
        row[1] += outcome in (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT)
        row[2] += outcome is AttemptOutcome.FULL
        row[3] += outcome is AttemptOutcome.RETURNED and took > objective
        row[4] += outcome is AttemptOutcome.RETURNED and found not in HITS
        while len(self.counts) > FORGOTTEN:
            del self.counts[next(iter(self.counts))]

    def report(self):
        """Return this front's rows on servers for the leader, those that changed since the last call."""
        rows = self._rows()
        for name, row in rows.items():
            started, times = self.starts.get(name, (row.server.entry.started, 1))
            self.starts[name] = row.server.entry.started, times + (row.server.entry.started != started)
        if len(self.starts) > FORGOTTEN + len(rows):
            self.starts = {name: one for name, one in self.starts.items() if name in rows}
            self.reported = {name: one for name, one in self.reported.items() if name in rows}
        down = [name for name, times in self.missed.items() if times >= MISSED and name in rows]
        told = []
        for name in rows:
            row = [name, *self.counts.get(name, (0, 0, 0, 0, 0)), self.starts[name][1]]
            if self.reported.get(name) != row:  # counts go on: one that is lost is made up for by the next
                self.reported[name] = row
                told.append(row)
        return [told, down, self._troubles()]

    def _troubles(self):
        """The origin is in trouble where the rules' own brake holds it back."""
        nodes = self.driver.router.group("origin")
        now = self.driver.clock()
        return (
            {"origin": "rests"} if nodes and all(now < node.as_cache.ejected_until for node in nodes) else {}
        )

    def warm(self, box, start):
        """Whether that start answers here and has had its time: cold credit is earned by then at every front."""
        seen, rows, now = self.cold.get(box), self._rows(), self.driver.clock()
        if box in self.members() or box not in rows:
            return box == self.name and self.driver.ready
        if seen is None or seen[0] != start or self.missed.get(box):
            return False
        place, router = self._place(box, rows), self.driver.router
        if place is None or rows[box].standing.name != "SERVING":
            return False
        if rows[box].server.entry.kind == router.settings.parent_kind:
            need = router.settings.parent_warm_time
        else:
            need = router.settings.warm_time
        answered = self.counts.get(box, [0])[0] > seen[2]
        if not answered and not place.transport.came_up(place, seen[1]):
            # No GET came that way: a connection says as much, once it is made. One that is being made, or was made to
            # the start before, made a front call a box warm that had never come back.
            self.driver.servers.warm(place, now)
            return False
        return now - seen[1] >= need
