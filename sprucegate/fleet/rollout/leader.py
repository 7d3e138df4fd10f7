"""The duties of the leader: it proposes what follows from expired leases, gates, troubles and servers that failed.

No I/O, no clock: the fronts' contacts and the time in, commands out. A command that is proposed twice, or by a former
leader as well, has no second effect: each names the renewal, wave or incarnation that it is based on.

A front's report: [[box, gets, errors, sheds, late, misses, starts], ...] counted since the front started, [box, ...]
that it can't reach, and {what: why} of troubles that it sees.
"""

from sprucegate.fleet.rollout import gates
from sprucegate.fleet.rollout.gates import AnalysisSample, GateVerdict
from sprucegate.fleet.rollout.permit import COUNTED_STEPS, PermitStep
from sprucegate.fleet.rollout.releases import ReleasePhase

MS, S = 1_000_000, 1_000_000_000
FRONT_LEASE = 6 * S  # from a front's last request until it no longer counts
FRONT_LEASE_MARGIN = 1500 * MS  # a front's own lease ends earlier: an election, clock drift, a slow answer
PERMIT_LEASE = 30 * S  # without a renewal or a step: the permit is marked overdue, and its release halted
RETURN_TIMEOUT = 300 * S  # from when this leader first saw a box out until its release is halted
REPORT_AGE_MAX = 3 * S  # an older report says nothing of what can be reached now
RETRY_INTERVAL = S  # after which a command that has not been committed is proposed again


def front_lease():
    """Return how long (ns) a front may count on an answer of the leader, from its request on."""
    return FRONT_LEASE - FRONT_LEASE_MARGIN


class RolloutLeader:
    """The duties of one term; created when a voter becomes the leader.

    :ivar elected_at: when it was created.
    :ivar pending: {command as text: when it was proposed}.
    :ivar renewals: {permit: ((renewals, step), when that was first seen)}.
    :ivar out_since: {permit: when its box was first seen out}.
    :ivar waves: {release: (its run and wave, counts when the wave began, counts when each box returned, when all had
        returned or None)}; `evaluated_at`: {release: when its gate was last evaluated}.
    :ivar reports: {front: (incarnation, latest report, its rows by box)}.
    :ivar totals: counts by box; `starts`: starts by box and front.
    """

    def __init__(self, machine, now, gate=None):
        self.machine = machine
        self.elected_at = now
        self.gate = gate or gates.GateLimits()
        self.pending = {}
        self.renewals = {}
        self.out_since = {}
        self.waves = {}
        self.evaluated_at = {}
        self.reports = {}
        self.totals = {}
        self.starts = {}

    def due(self, contacts, now):
        """Return commands to propose. `contacts`: front -> FrontContact."""
        self.pending = {c: at for c, at in self.pending.items() if now - at < RETRY_INTERVAL}
        wanted = (
            self._front_commands(contacts, now)
            + self._permit_commands(now)
            + self._failure_commands(contacts, now)
            + self._trouble_commands(contacts, now)
            + self._gate_commands(contacts, now)
        )
        fresh = [c for c in wanted if repr(c) not in self.pending]
        self.pending.update((repr(c), now) for c in fresh)
        return fresh

    def _front_commands(self, contacts, now):
        known, found = self.machine.permits.fronts, []
        for name, (incarnation, at, _, _) in sorted(contacts.items()):
            left = self.machine.permits.departed.get(name) == incarnation
            if now - at < FRONT_LEASE and known.get(name) != incarnation and not left:
                found.append(["front", name, incarnation, True])
        for name, incarnation in sorted(known.items()):
            last = contacts[name].at if name in contacts and contacts[name].incarnation == incarnation else 0
            # From the election at the earliest, as the former leader may have answered it until then.
            if now - max(last, self.elected_at) >= FRONT_LEASE:
                found.append(["front", name, incarnation, False])
                # It goes on serving by its last known state, and a release must not go on without it.
                found += self._halt_commands(f"front {name} has lost the keepers")
        return found

    def _halt_commands(self, why, release=None):
        return [
            ["halt", name, "fleet", why]
            for name, one in self.machine.releases.releases.items()
            if one.phase is ReleasePhase.RUNNING and release in (None, name)
        ]

    def _permit_commands(self, now):
        found, permits = [], self.machine.permits.open_by_box.values()
        self.out_since = {id: at for id, at in self.out_since.items() if id in self.renewals}
        self.renewals = {p.id: self.renewals.get(p.id) for p in permits if p.step in COUNTED_STEPS}
        for permit in [p for p in permits if p.step in COUNTED_STEPS]:
            seen = self.renewals[permit.id]
            if seen is None or seen[0] != (permit.renewed, permit.step):
                seen = self.renewals[permit.id] = (permit.renewed, permit.step), now
            since = (
                self.out_since.setdefault(permit.id, now)
                if permit.step in (PermitStep.OUT, PermitStep.COLD)
                else now
            )
            if now - since >= RETURN_TIMEOUT:
                found += self._halt_commands(f"{permit.box} does not come back", permit.release)
            if not permit.overdue and now - seen[1] >= PERMIT_LEASE:
                found.append(["late", permit.id, permit.renewed])
                found += self._halt_commands(f"whoever replaces {permit.box} is lost", permit.release)
        return found

    def _live_reports(self, contacts):
        """Return the reports of live fronts."""
        fronts = self.machine.permits.fronts
        return {
            name: one.report
            for name, one in contacts.items()
            if fronts.get(name) == one.incarnation and one.report
        }

    def _recent_reports(self, contacts, now):
        """Return reports received in this term and within REPORT_AGE_MAX; older ones may no longer be true."""
        since = max(self.elected_at, now - REPORT_AGE_MAX)
        return self._live_reports({name: one for name, one in contacts.items() if one.reported_at >= since})

    def _is_majority(self, count):
        """Whether `count` is a majority of the live fronts, with those that have not reported."""
        return 2 * count > len(self.machine.permits.fronts)

    def _failure_commands(self, contacts, now):
        """A box that a majority can't reach has failed, unless a permit explains it; a majority also brings it back."""
        permits, reports, found = self.machine.permits, self._recent_reports(contacts, now), []
        missed = {}
        for _, unreachable, _ in reports.values():
            for box in unreachable:
                missed[box] = missed.get(box, 0) + 1
        for box in permits.boxes:
            lost = self._is_majority(missed.get(box, 0))
            reached = self._is_majority(len(reports) - missed.get(box, 0))
            permit = permits.open_by_box.get(box)
            counted = permit is not None and permit.step in COUNTED_STEPS
            if lost and not counted and box not in permits.failed:
                found.append(["stands", box, "unreachable"])
            elif reached and permits.failed.get(box) == "unreachable":
                found.append(["stands", box, ""])
        return found

    def _trouble_commands(self, contacts, now):
        reports, reported, found = self._recent_reports(contacts, now), {}, []
        for _, _, troubles in reports.values():
            for what in troubles:
                reported[what] = reported.get(what, 0) + 1
        known = self.machine.releases.troubles
        for what in sorted({*reported, *known}):
            on = (
                self._is_majority(reported.get(what, 0))
                if what not in known
                else (not self._is_majority(len(reports) - reported.get(what, 0)))
            )
            if on != (what in known):
                found.append(
                    ["trouble", what, f"{reported.get(what, 0)} of {len(reports)} fronts" if on else ""]
                )
        return found

    # Gates.

    def _add_reports(self, contacts):
        """Add what new reports count to the totals of each box; the whole table is never added up again."""
        boxes = self.machine.permits.boxes
        if len(self.totals) > len(boxes) or len(self.reports) > len(contacts):
            self.totals = {box: total for box, total in self.totals.items() if box in boxes}
            self.starts = {box: seen for box, seen in self.starts.items() if box in boxes}
            self.reports = {name: one for name, one in self.reports.items() if name in contacts}
        for name, report in self._live_reports(contacts).items():
            incarnation, before, rows = self.reports.get(name, (None, None, {}))
            if report is before:
                continue
            rows = rows if incarnation == contacts[name].incarnation else {}
            for box, *row in report[0]:
                if box not in boxes:
                    continue  # unknown to the log, so its counts would never be removed
                old, rows[box] = rows.get(box), row
                if old is None:
                    continue  # the first counts of a front, or since the election, are the base of later ones
                total = self.totals.setdefault(box, [0] * 6)
                for at in range(5):
                    total[at] += max(0, row[at] - old[at])
                # Starts are not added up over fronts, as each front counts all starts of a box.
                seen = self.starts.setdefault(box, {})
                seen[name] = seen.get(name, 0) + max(0, row[5] - old[5])
                # The maximum over the fronts never falls, so it is updated: a search over all fronts at each report
                # takes most of the leader's time with 200 fronts and boxes.
                total[5] = max(total[5], seen[name])
            self.reports[name] = contacts[name].incarnation, report, rows

    def _gate_commands(self, contacts, now):
        found = []
        self._add_reports(contacts)
        for name, release in self.machine.releases.releases.items():
            if release.phase is not ReleasePhase.RUNNING or release.gate_passed:
                self.waves.pop(name, None)
                continue
            at, wave = (release.run, release.wave), release.plan.waves[release.wave]
            if self.waves.get(name, (None,))[0] != at:
                # A new leader observes the wave from the beginning: later than necessary, but on its own data alone.
                self.waves[name] = at, {box: list(total) for box, total in self.totals.items()}, {}, None
            _, base, returned, whole_since = self.waves[name]
            done = set(release.done)
            for box in done - returned.keys():
                # From its return on: what it served before was served by the former version.
                returned[box] = self._totals_of(box)
            if whole_since is None and not any(
                b not in done and b in self.machine.permits.boxes for b in wave
            ):
                whole_since = now
                self.waves[name] = at, base, returned, whole_since
            # EVALUATIONS_MAX evaluations in the time that a wave bakes; more while the gate is inconclusive.
            if now - self.evaluated_at.get(name, 0) < max(S, release.plan.bake // gates.EVALUATIONS_MAX):
                continue
            self.evaluated_at[name] = now
            released = self._sample(release.done, returned)
            others = [
                b.name
                for b in self.machine.permits.boxes.values()
                if b.kind == release.plan.kind
                and b.name not in done
                and b.name not in self.machine.permits.open_by_box
            ]
            control = self._sample(others, base)
            starts = max([self._totals_of(b)[5] - returned[b][5] + 1 for b in release.done], default=0)
            baked = whole_since is not None and now - whole_since >= release.plan.bake
            if not others and baked:
                # No box with the former version is left beside the last wave: compare with the earlier waves.
                older = [b for w in release.plan.waves[: release.wave] for b in w if b in done]
                released, control = (
                    self._sample([b for b in wave if b in done], returned),
                    self._sample(older, returned),
                )
            verdict, metric, figures = gates.evaluate(released, control, starts, baked, self.gate)
            if verdict is not GateVerdict.INCONCLUSIVE:
                text = f"{metric}: {figures[0]:.3g} beside {figures[1]:.3g}" if metric else ""
                found.append(["gate", name, *at, verdict is GateVerdict.PASS, text])
        return found

    def _totals_of(self, box):
        return list(self.totals.get(box, [0] * 6))

    def _sample(self, boxes, since):
        """Return the sum of the boxes' counts beyond those of `since`."""
        total = [0] * 5
        for box in boxes:
            begun = since.get(box, [0] * 6)
            total = [t + now - then for t, now, then in zip(total, self._totals_of(box), begun, strict=False)]
        return AnalysisSample(total[0], (*total[1:], 0))
