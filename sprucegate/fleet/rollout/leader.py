"""What the leader sees to, and puts into the log as commands: leases that end, gates, troubles, boxes that fail.

No I/O, no clock: (what was heard, now) in, commands out. What it proposes twice, or a former leader did, changes
nothing: each command names the very renewal, wave or life that it was made upon.

A front's report: [[box, gets, errors, sheds, late, misses, starts], ...] counted since the front began, [box, ...] that
it can't reach, and {what: why} of troubles that it sees.
"""

from sprucegate.fleet.rollout import gates
from sprucegate.fleet.rollout.gates import Seen, Verdict
from sprucegate.fleet.rollout.permits import TAKES
from sprucegate.fleet.rollout.releases import Phase

MS, S = 1_000_000, 1_000_000_000
FRONT_LEASE = 6 * S     # from the last question of a front to its being counted out
MARGIN = 1500 * MS      # a front's own lease ends so much earlier: an election, clocks that drift, a slow answer
PERMIT_LEASE = 30 * S
AGAIN = S               # until what was proposed and did not come is proposed anew


def front_lease():
    return FRONT_LEASE - MARGIN


class Leading:
    """Made when a keeper begins to lead."""

    def __init__(self, machine, now, gate=None):
        self.machine, self.since, self.gate = machine, now, gate or gates.Limits()
        self.under_way = {}                  # command as text -> when proposed
        self.renewed_at, self.waves, self.looked = {}, {}, {}

    def due(self, heard, now):
        """Commands to propose. `heard`: front -> (life, when, report)."""
        self.under_way = {c: at for c, at in self.under_way.items() if now - at < AGAIN}
        wanted = (self._fronts(heard, now) + self._permits(now) + self._failed(heard) + self._troubles(heard)
                  + self._gates(heard, now))
        fresh = [c for c in wanted if repr(c) not in self.under_way]
        self.under_way.update((repr(c), now) for c in fresh)
        return fresh

    def _fronts(self, heard, now):
        known, found = self.machine.permits.fronts, []
        for name, (life, at, _) in sorted(heard.items()):
            if now - at < FRONT_LEASE and known.get(name) != life:
                found.append(["front", name, life, True])
        for name, life in sorted(known.items()):
            last = heard[name][1] if name in heard and heard[name][0] == life else 0
            # Counted from the election at the earliest: whom the former leader heard is not known here.
            if now - max(last, self.since) >= FRONT_LEASE:
                found.append(["front", name, life, False])
                # It serves on by what it last knew; a release must not go on past its back.
                found += self._halts(f"front {name} has lost the keepers")
        return found

    def _halts(self, why, release=None):
        return [["halt", name, "fleet", why] for name, one in self.machine.releases.releases.items()
                if one.phase is Phase.RUNNING and release in (None, name)]

    def _permits(self, now):
        found, open_now = [], self.machine.permits.of_box.values()
        self.renewed_at = {p.id: self.renewed_at.get(p.id) for p in open_now if p.step in TAKES}
        for permit in [p for p in open_now if p.step in TAKES]:
            seen = self.renewed_at[permit.id]
            if seen is None or seen[0] != (permit.renewed, permit.step):
                seen = self.renewed_at[permit.id] = (permit.renewed, permit.step), now
            if not permit.overdue and now - seen[1] >= PERMIT_LEASE:
                found.append(["late", permit.id, permit.renewed])
                found += self._halts(f"whoever replaces {permit.box} is lost", permit.release)
        return found

    def _said(self, heard):
        """Reports of the fronts that count."""
        fronts = self.machine.permits.fronts
        return {name: report for name, (life, _, report) in heard.items() if fronts.get(name) == life and report}

    def _failed(self, heard):
        """What most fronts can't reach is out by itself, unless a permit says so already."""
        permits, reports, found = self.machine.permits, self._said(heard), []
        missed = {}
        for _, down, _ in reports.values():
            for box in down:
                missed[box] = missed.get(box, 0) + 1
        for box in permits.boxes:
            lost = 2 * missed.get(box, 0) > len(reports) > 0
            permit = permits.of_box.get(box)
            taken = permit is not None and permit.step in TAKES
            if lost and not taken and box not in permits.down:
                found.append(["stands", box, "unreachable"])
            elif reports and not lost and permits.down.get(box) == "unreachable":
                found.append(["stands", box, ""])
        return found

    def _troubles(self, heard):
        reports, told, found = self._said(heard), {}, []
        for _, _, troubles in reports.values():
            for what in troubles:
                told[what] = told.get(what, 0) + 1
        known = self.machine.releases.troubles
        for what in sorted({*told, *known}):
            on = 2 * told.get(what, 0) > len(reports)
            if on != (what in known) and reports:
                found.append(["trouble", what, f"{told.get(what, 0)} of {len(reports)} fronts" if on else ""])
        return found

    # Gates.

    def _gates(self, heard, now):
        found = []
        for name, release in self.machine.releases.releases.items():
            if release.phase is not Phase.RUNNING or release.passed:
                self.waves.pop(name, None)
                continue
            counts = self._counts(heard)
            at = release.turn, release.wave
            if self.waves.get(name, (None,))[0] != at:
                # A new leader begins a wave's watch anew: later than need be, never on what it has not seen.
                self.waves[name] = at, dict(counts), {}, None
            _, base, begun, whole = self.waves[name]
            wave = [b for w in release.plan.waves[:release.wave + 1] for b in w if b in release.done]
            for box in release.done:
                # From when it is back: what was served before by the former version is not its own.
                begun.setdefault(box, self._of_box(counts, box))
            missing = [b for b in release.plan.waves[release.wave]
                       if b not in release.done and b in self.machine.permits.boxes]
            if whole is None and not missing:
                whole = now
                self.waves[name] = at, base, begun, whole
            others = [b.name for b in self.machine.permits.boxes.values() if b.kind == release.plan.kind
                      and b.name not in release.done and b.name not in self.machine.permits.of_box]
            released = self._sum([self._less(self._of_box(counts, b), begun[b]) for b in wave])
            rest = self._sum([self._less(self._of_box(counts, b), self._of_box(base, b)) for b in others])
            starts = max([self._of_box(counts, b)[-1] - begun[b][-1] + 1 for b in wave], default=0)
            baked = whole is not None and now - whole >= release.plan.bake
            if not others and baked and released.gets:
                # The last wave has nobody beside it: held against those that were released first.
                older = [b for w in release.plan.waves[:release.wave] for b in w if b in release.done]
                rest = self._sum([self._less(self._of_box(counts, b), begun[b]) for b in older])
            # Looks are counted by what the gate's risk is divided by.
            if now - self.looked.get(name, 0) < max(S, release.plan.bake // gates.LOOKS):
                continue
            self.looked[name] = now
            said, by, figures = gates.verdict(released, rest, starts, baked, self.gate)
            if said is not Verdict.FEW:
                text = f"{by}: {figures[0]:.3g} beside {figures[1]:.3g}" if by else ""
                found.append(["gate", name, *at, said is Verdict.PASS, text])
        return found

    def _counts(self, heard):
        """{(front, life, box): counts}; those of a front that began anew stand beside its former ones."""
        return {(name, heard[name][0], row[0]): tuple(row[1:]) for name, report in self._said(heard).items()
                for row in report[0]}

    @staticmethod
    def _of_box(counts, box):
        rows = [row for (_, _, of), row in sorted(counts.items()) if of == box]
        # Starts are the box's own: each front tells of all of them.
        if not rows:
            return 0, 0, 0, 0, 0, 0
        return *(sum(column) for column in zip(*[row[:-1] for row in rows], strict=True)), max(row[-1] for row in rows)

    @staticmethod
    def _less(now, before):
        return [max(0, a - b) for a, b in zip(now[:-1], before[:-1], strict=True)]

    @staticmethod
    def _sum(rows):
        total = [sum(column) for column in zip(*rows, strict=True)] if rows else [0] * 5
        return Seen(total[0], (*total[1:], 0))
