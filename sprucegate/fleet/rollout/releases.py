"""Releases: a version installed on servers in waves, each checked by a gate before the next; halt, resume, rollback.

A state machine without I/O and without a clock. It asks for maintenance permits like any operator, one request for each
box, and has no other rights.
"""

from enum import IntEnum
from typing import NamedTuple

from sprucegate.fleet.rollout.permit import PermitStep

HISTORY_MAX = 500  # events of releases that are kept


class ReleasePhase(IntEnum):
    """Phases of a release; stored by number."""

    RUNNING = 0
    HALTED = 1
    BACK = 2  # being rolled back: all boxes at once, as far as the budgets allow
    DONE = 3
    RETURNED = 4  # rolled back


# The name of a phase in reasons and in operators' answers.
PHASE_WORDS = {
    ReleasePhase.RUNNING: "running",
    ReleasePhase.HALTED: "halted",
    ReleasePhase.BACK: "back",
    ReleasePhase.DONE: "done",
    ReleasePhase.RETURNED: "returned",
}


class ReleasePlan(NamedTuple):
    """`waves`: names of boxes, the canary first. `bake`: ns for which a whole wave is observed before it may pass."""

    name: str
    kind: str
    version: str
    former: str
    waves: tuple
    bake: int


class Release:
    """One release: its plan, its present wave and what is done.

    :ivar done: boxes that have the new version; `to_roll_back`: in a rollback, the boxes that still have it.
    :ivar run: raised by each resume and rollback, so that permits are requested under new ids.
    :ivar gate_passed: whether the gate of the present wave has passed.
    """

    def __init__(
        self,
        plan,
        by,
        phase=ReleasePhase.RUNNING,
        wave=0,
        why="",
        done=(),
        run=0,
        gate_passed=False,
        to_roll_back=(),
    ):
        self.plan = plan
        self.by = by
        self.phase = ReleasePhase(phase)
        self.wave = wave
        self.why = why
        self.done = list(done)
        self.run = run
        self.gate_passed = gate_passed
        self.to_roll_back = list(to_roll_back)

    def to_record(self):
        """Return the release in its stored form."""
        plan = [*self.plan[:4], [list(wave) for wave in self.plan.waves], self.plan.bake]
        return [
            plan,
            self.by,
            int(self.phase),
            self.wave,
            self.why,
            self.done,
            self.run,
            self.gate_passed,
            self.to_roll_back,
        ]

    @classmethod
    def from_record(cls, record):
        """Return the release of a stored form."""
        plan, *rest = record
        return cls(ReleasePlan(*plan[:4], tuple(map(tuple, plan[4])), plan[5]), *rest)

    def over(self):
        """Whether the release is done or rolled back."""
        return self.phase in (ReleasePhase.DONE, ReleasePhase.RETURNED)

    def permit_id(self, box):
        """Return the id of a box's permit in this run, the same for whichever leader asks for it."""
        return f"{self.plan.name}/{self.run}/{box}"

    def target_version(self):
        """Return the version to install now: the former one in a rollback."""
        return self.plan.former if self.phase is ReleasePhase.BACK else self.plan.version


class ReleaseTable:
    """State machine of releases: the same commands give the same state in every process.

    :ivar troubles: {what: why} of incidents; releases wait while there is one.
    :ivar history: [index of the log entry, release, event, who or why] of the latest events.
    """

    def __init__(self, permits):
        self.permits = permits
        self.releases = {}
        self.troubles = {}
        self.history = []
        self.index = 0

    def snapshot(self):
        """Return the state in its stored form."""
        return [[one.to_record() for one in self.releases.values()], self.troubles, self.history]

    def restore(self, state):
        """Replace the state by a stored one."""
        self.releases = {one.plan.name: one for one in map(Release.from_record, state[0])}
        self.troubles = dict(state[1])
        self.history = [list(one) for one in state[2]]

    def _record(self, name, event, text=""):
        self.history.append([self.index, name, event, text])
        del self.history[:-HISTORY_MAX]

    def start(self, plan, by):
        """Start a release; return the answer for the log."""
        known = self.releases.get(plan.name)
        if known is not None:
            return "started already" if known.plan == plan else "another release bears that name"
        other = next((r for r in self.releases.values() if not r.over() and r.plan.kind == plan.kind), None)
        if other is not None:
            return f"{other.plan.name} of the same kind is not over"
        boxes = [box for wave in plan.waves for box in wave]
        if not boxes or len(set(boxes)) < len(boxes):
            return "a box stands in two waves, or none is named"
        if missing := [box for box in boxes if box not in self.permits.boxes]:
            return f"no such box: {missing[0]}"
        of_kind = [box.name for box in self.permits.boxes.values() if box.kind == plan.kind]
        if set(of_kind) <= set(plan.waves[0]):
            return "no such plan: a gate holds the first wave against boxes beside it, and there is none"
        while len(self.releases) >= 100 and (
            over := next((n for n, r in self.releases.items() if r.over()), None)
        ):
            del self.releases[over]
        self.releases[plan.name] = Release(plan, by)
        self._record(plan.name, "started", by)
        return "started"

    def halt(self, name, by, why):
        """Halt a release: no more permits are granted for it, and boxes that are out return under theirs.

        A second halt changes nothing and is answered like the first.
        """
        release = self.releases.get(name)
        if release is None or release.over():
            return "no such release is under way"
        if release.phase is not ReleasePhase.HALTED:
            release.phase, release.why = ReleasePhase.HALTED, f"{by}: {why}"
            self._withdraw_permits(release)
            self._record(name, "halted", release.why)
        return "halted"

    def resume(self, name, by):
        """Resume a halted release; return the answer for the log."""
        release = self.releases.get(name)
        if release is None or release.phase is not ReleasePhase.HALTED:
            return "is not halted"
        release.phase = ReleasePhase.BACK if release.to_roll_back else ReleasePhase.RUNNING
        release.why = ""
        release.gate_passed = False
        self._record(name, "resumed", by)
        release.run += 1  # gives new ids to the permits that the halt withdrew, as an id can't be used again
        return "resumed"

    def roll_back(self, name, by):
        """Reinstall the former version everywhere, in reverse order; a running, halted or done release can be."""
        release = self.releases.get(name)
        if release is None or release.phase is ReleasePhase.RETURNED:
            return "no such release"
        if release.phase is ReleasePhase.BACK:
            return "goes back"
        self._withdraw_permits(release)
        # A box that is out for this release may have the new version already: it is rolled back once it has returned.
        out = [
            p.box
            for p in self.permits.open_by_box.values()
            if p.release == name and p.version == release.plan.version
        ]
        done = set(release.done)
        release.to_roll_back = [*reversed(release.done), *[box for box in out if box not in done]]
        release.phase, release.why = ReleasePhase.BACK, f"{by} turned it back"
        self._record(name, "goes back", by)
        release.run += 1
        return "goes back"

    def gate_result(self, name, run, wave, passed, why):
        """Take the leader's gate result for a wave; one for another wave or run is late and has no effect."""
        release = self.releases.get(name)
        if (
            release is None
            or release.phase is not ReleasePhase.RUNNING
            or (release.run, release.wave) != (run, wave)
        ):
            return
        if passed:
            release.gate_passed = True
            self._record(name, f"wave {wave + 1} passed", why)
        else:
            self.halt(name, "gate", why)

    def allows(self, permit):
        """Whether the permit's release lets it be granted: it is not halted, and no trouble is known.

        Rollbacks go on in spite of troubles.
        """
        release = self.releases.get(permit.release)
        return (
            release is None
            or release.phase is ReleasePhase.BACK
            or release.phase is ReleasePhase.RUNNING
            and not self.troubles
        )

    def set_trouble(self, what, why):
        """Note a trouble, or its end where `why` is empty: while there is one, releases wait."""
        if why:
            self.troubles[what] = why
        else:
            self.troubles.pop(what, None)

    def advance(self):
        """Advance all releases after a command, in a deterministic order."""
        ended, self.permits.just_ended = self.permits.just_ended, []
        for release in self.releases.values():
            self._count_returned(
                release, [p for p in ended if p.release == release.plan.name and p.step is PermitStep.BACK]
            )
            if release.phase is ReleasePhase.RUNNING:
                wave = release.plan.waves[release.wave]
                done = set(release.done)
                for box in wave:
                    if box not in done:
                        self._request_permit(release, box)
                # A wave ends without the boxes that are no longer in `permits.boxes`, such as those given up.
                if release.gate_passed and all(box in done or box not in self.permits.boxes for box in wave):
                    release.wave, release.gate_passed = release.wave + 1, False
                    if release.wave == len(release.plan.waves):
                        release.wave, release.phase = release.wave - 1, ReleasePhase.DONE
                        self._record(release.plan.name, "done")
                    else:
                        for box in release.plan.waves[release.wave]:
                            self._request_permit(release, box)
            elif release.phase is ReleasePhase.BACK:
                for box in release.to_roll_back:
                    self._request_permit(release, box)
                if not release.to_roll_back:
                    release.phase = ReleasePhase.RETURNED
                    self._record(release.plan.name, "returned")

    def _request_permit(self, release, box):
        if box in self.permits.boxes and box not in self.permits.open_by_box:
            self.permits.ask(
                release.permit_id(box),
                box,
                release.by,
                "release",
                release.plan.name,
                release.target_version(),
            )

    def _count_returned(self, release, permits):
        for permit in permits:
            if permit.version == release.plan.version and permit.box not in release.done:
                release.done.append(permit.box)
            elif permit.version == release.plan.former:
                release.done = [box for box in release.done if box != permit.box]
                release.to_roll_back = [box for box in release.to_roll_back if box != permit.box]
        release.to_roll_back = [box for box in release.to_roll_back if box in self.permits.boxes]

    def _withdraw_permits(self, release):
        for permit in list(self.permits.open_by_box.values()):
            if permit.release == release.plan.name:
                self.permits.withdraw(permit.id)
