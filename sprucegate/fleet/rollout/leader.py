"""What the leader sees to, and puts into the log as commands: leases that end, gates, troubles, boxes that fail.

No I/O, no clock: (what was heard, now) in, commands out. What it proposes twice, or a former leader did, changes
nothing: each command names the very renewal, wave or life that it was made upon.

A front's report: [[box, gets, errors, sheds, late, misses, starts], ...] counted since the front began, [box, ...] that
it can't reach, and {what: why} of troubles that it sees.
"""

from sprucegate.fleet.rollout import gates
from sprucegate.fleet.rollout.gates import AnalysisSample, GateVerdict
from sprucegate.fleet.rollout.permits import TAKES, PermitStep
from sprucegate.fleet.rollout.releases import ReleasePhase

MS, S = 1_000_000, 1_000_000_000
FRONT_LEASE = 6 * S  # from the last question of a front to its being counted out
MARGIN = 1500 * MS  # a front's own lease ends so much earlier: an election, clocks that drift, a slow answer
PERMIT_LEASE = 30 * S
LIVE_MOST = 300 * S  # from the stop of a released box to its being back
REPORT_LATE = 3 * S  # after which a front's report tells nothing of what is in reach now
AGAIN = S  # until what was proposed and did not come is proposed anew


def front_lease():
    """Return how long (ns) a front may count on an answer of the leader, from its question on."""
    return FRONT_LEASE - MARGIN


class RolloutLeader:
    """Made when a keeper begins to lead."""

    def __init__(self, machine, now, gate=None):
        self.machine, self.since, self.gate = machine, now, gate or gates.GateLimits()
        self.under_way = {}  # command as text -> when proposed
        self.renewed_at, self.away, self.waves, self.looked = {}, {}, {}, {}
        self.told, self.totals, self.starts = (
            {},
            {},
            {},
        )  # last reports; counts by box; starts by box and front

    def due(self, heard, now):
        """Commands to propose. `heard`: front -> Heard."""
        self.under_way = {c: at for c, at in self.under_way.items() if now - at < AGAIN}
        wanted = (
            self._fronts(heard, now)
            + self._permits(now)
            + self._failed(heard, now)
            + self._troubles(heard, now)
            + self._gates(heard, now)
        )
        fresh = [c for c in wanted if repr(c) not in self.under_way]
        self.under_way.update((repr(c), now) for c in fresh)
        return fresh

    def _fronts(self, heard, now):
        known, found = self.machine.permits.fronts, []
        for name, (life, at, _, _) in sorted(heard.items()):
            left = self.machine.permits.gone.get(name) == life
            if now - at < FRONT_LEASE and known.get(name) != life and not left:
                found.append(["front", name, life, True])
        for name, life in sorted(known.items()):
            last = heard[name].at if name in heard and heard[name].incarnation == life else 0
            # Counted from the election at the earliest: whom the former leader heard is not known here.
            if now - max(last, self.since) >= FRONT_LEASE:
                found.append(["front", name, life, False])
                # It serves on by what it last knew; a release must not go on past its back.
                found += self._halts(f"front {name} has lost the keepers")
        return found

    def _halts(self, why, release=None):
        return [
            ["halt", name, "fleet", why]
            for name, one in self.machine.releases.releases.items()
            if one.phase is ReleasePhase.RUNNING and release in (None, name)
        ]

    def _permits(self, now):
        found, open_now = [], self.machine.permits.of_box.values()
        self.away = {id: at for id, at in self.away.items() if id in self.renewed_at}
        self.renewed_at = {p.id: self.renewed_at.get(p.id) for p in open_now if p.step in TAKES}
        for permit in [p for p in open_now if p.step in TAKES]:
            seen = self.renewed_at[permit.id]
            if seen is None or seen[0] != (permit.renewed, permit.step):
                seen = self.renewed_at[permit.id] = (permit.renewed, permit.step), now
            since = (
                self.away.setdefault(permit.id, now)
                if permit.step in (PermitStep.OUT, PermitStep.COLD)
                else now
            )
            if now - since >= LIVE_MOST:
                found += self._halts(f"{permit.box} does not come back", permit.release)
            if not permit.overdue and now - seen[1] >= PERMIT_LEASE:
                found.append(["late", permit.id, permit.renewed])
                found += self._halts(f"whoever replaces {permit.box} is lost", permit.release)
        return found

    def _said(self, heard):
        """Reports of the fronts that count."""
        fronts = self.machine.permits.fronts
        return {
            name: one.report
            for name, one in heard.items()
            if fronts.get(name) == one.incarnation and one.report
        }

    def _says_now(self, heard, now):
        """Reports made since this keeper leads, and not long ago: older ones are of what was then."""
        since = max(self.since, now - REPORT_LATE)
        return self._said({name: one for name, one in heard.items() if one.reported_at >= since})

    def _most(self, count):
        """Whether so many are most of the fronts that count, heard or not."""
        return 2 * count > len(self.machine.permits.fronts)

    def _failed(self, heard, now):
        """What most fronts can't reach is out by itself, unless a permit says so already; back by most as well."""
        permits, reports, found = self.machine.permits, self._says_now(heard, now), []
        missed = {}
        for _, down, _ in reports.values():
            for box in down:
                missed[box] = missed.get(box, 0) + 1
        for box in permits.boxes:
            lost, well = self._most(missed.get(box, 0)), self._most(len(reports) - missed.get(box, 0))
            permit = permits.of_box.get(box)
            taken = permit is not None and permit.step in TAKES
            if lost and not taken and box not in permits.down:
                found.append(["stands", box, "unreachable"])
            elif well and permits.down.get(box) == "unreachable":
                found.append(["stands", box, ""])
        return found

    def _troubles(self, heard, now):
        reports, told, found = self._says_now(heard, now), {}, []
        for _, _, troubles in reports.values():
            for what in troubles:
                told[what] = told.get(what, 0) + 1
        known = self.machine.releases.troubles
        for what in sorted({*told, *known}):
            on = (
                self._most(told.get(what, 0))
                if what not in known
                else (not self._most(len(reports) - told.get(what, 0)))
            )
            if on != (what in known):
                found.append(["trouble", what, f"{told.get(what, 0)} of {len(reports)} fronts" if on else ""])
        return found

    # Gates.

    def _takes(self, heard):
        """What reports add to the counts of each box: worked out as they come, once each, never by the whole table."""
        boxes = self.machine.permits.boxes
        if len(self.totals) > len(boxes) or len(self.told) > len(heard):
            self.totals = {box: total for box, total in self.totals.items() if box in boxes}
            self.starts = {box: seen for box, seen in self.starts.items() if box in boxes}
            self.told = {name: one for name, one in self.told.items() if name in heard}
        for name, report in self._said(heard).items():
            life, before, rows = self.told.get(name, (None, None, {}))
            if report is before:
                continue
            rows = rows if life == heard[name].incarnation else {}
            for box, *row in report[0]:
                if box not in boxes:
                    continue  # not one that the log knows: it would be counted for ever
                old, rows[box] = rows.get(box), row
                if old is None:
                    continue  # the first word of a front, or to a new leader, is where it begins
                total = self.totals.setdefault(box, [0] * 6)
                for at in range(5):
                    total[at] += max(0, row[at] - old[at])
                # Starts are the box's own: each front tells of all of them.
                seen = self.starts.setdefault(box, {})
                seen[name] = seen.get(name, 0) + max(0, row[5] - old[5])
                # The most of any front; it never falls, so it need not be looked for among all of them each time:
                # with 200 fronts and boxes that was most of what a leader did.
                total[5] = max(total[5], seen[name])
            self.told[name] = heard[name].incarnation, report, rows

    def _gates(self, heard, now):
        found = []
        self._takes(heard)
        for name, release in self.machine.releases.releases.items():
            if release.phase is not ReleasePhase.RUNNING or release.passed:
                self.waves.pop(name, None)
                continue
            at, wave = (release.turn, release.wave), release.plan.waves[release.wave]
            if self.waves.get(name, (None,))[0] != at:
                # A new leader begins a wave's watch anew: later than need be, never on what it has not seen.
                self.waves[name] = at, {box: list(total) for box, total in self.totals.items()}, {}, None
            _, base, begun, whole = self.waves[name]
            for box in release.done:
                # From when it is back: what was served before by the former version is not its own.
                begun.setdefault(box, self._of(box))
            if whole is None and not any(
                b not in release.done and b in self.machine.permits.boxes for b in wave
            ):
                whole = now
                self.waves[name] = at, base, begun, whole
            # Looks are counted by what the gate's risk is divided by.
            if now - self.looked.get(name, 0) < max(S, release.plan.bake // gates.LOOKS):
                continue
            self.looked[name] = now
            released = self._sum(release.done, begun)
            others = [
                b.name
                for b in self.machine.permits.boxes.values()
                if b.kind == release.plan.kind
                and b.name not in release.done
                and b.name not in self.machine.permits.of_box
            ]
            rest = self._sum(others, base)
            starts = max([self._of(b)[5] - begun[b][5] + 1 for b in release.done], default=0)
            baked = whole is not None and now - whole >= release.plan.bake
            if not others and baked:
                # The last wave has nobody beside it: held against those that were released first.
                older = [b for w in release.plan.waves[: release.wave] for b in w if b in release.done]
                released, rest = (
                    self._sum([b for b in wave if b in release.done], begun),
                    self._sum(older, begun),
                )
            said, by, figures = gates.verdict(released, rest, starts, baked, self.gate)
            if said is not GateVerdict.FEW:
                text = f"{by}: {figures[0]:.3g} beside {figures[1]:.3g}" if by else ""
                found.append(["gate", name, *at, said is GateVerdict.PASS, text])
        return found

    def _of(self, box):
        return list(self.totals.get(box, [0] * 6))

    def _sum(self, boxes, since):
        total = [0] * 5
        for box in boxes:
            begun = since.get(box, [0] * 6)
            total = [t + now - then for t, now, then in zip(total, self._of(box), begun, strict=False)]
        return AnalysisSample(total[0], (*total[1:], 0))
