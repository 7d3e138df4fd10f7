"""A release: versions to boxes in waves, each held against its gate before the next; halt, resume, and the way back.

No I/O, no clock. It asks for permits like anybody else, one request a box, and has no other right.
"""

from enum import IntEnum
from typing import NamedTuple

from sprucegate.fleet.rollout.permits import PermitStep

HISTORY_MOST = 500  # events of releases that are told of


class ReleasePhase(IntEnum):
    """Phases of a release; stored by number."""

    RUNNING = 0
    HALTED = 1
    BACK = 2  # the released go back, in waves under the same budgets
    DONE = 3
    RETURNED = 4


# A phase's word in reasons and in operators' answers.
PHASE_WORDS = {
    ReleasePhase.RUNNING: "running",
    ReleasePhase.HALTED: "halted",
    ReleasePhase.BACK: "back",
    ReleasePhase.DONE: "done",
    ReleasePhase.RETURNED: "returned",
}


class ReleasePlan(NamedTuple):
    """`waves`: boxes by name, the canary first. `bake`: ns for which a whole wave is watched before its gate passes."""

    name: str
    kind: str
    version: str
    former: str
    waves: tuple
    bake: int


class Release:
    """One release: its plan, its present stage and what is done."""

    def __init__(
        self, plan, by, phase=ReleasePhase.RUNNING, wave=0, why="", done=(), turn=0, passed=False, ahead=()
    ):
        self.plan, self.by, self.phase, self.wave, self.why = plan, by, ReleasePhase(phase), wave, why
        self.done, self.turn, self.passed = (
            list(done),
            turn,
            passed,
        )  # boxes at the new version; turn: of direction
        self.ahead = list(ahead)  # on the way back: boxes still to go

    def told(self):
        """Return the release in its stored form."""
        plan = [*self.plan[:4], [list(wave) for wave in self.plan.waves], self.plan.bake]
        return [
            plan,
            self.by,
            int(self.phase),
            self.wave,
            self.why,
            self.done,
            self.turn,
            self.passed,
            self.ahead,
        ]

    @classmethod
    def of(cls, told):
        """Return the release of a stored form."""
        plan, *rest = told
        return cls(ReleasePlan(*plan[:4], tuple(map(tuple, plan[4])), plan[5]), *rest)

    def over(self):
        """Whether nothing more happens to it."""
        return self.phase in (ReleasePhase.DONE, ReleasePhase.RETURNED)

    def request(self, box):
        """One id a box and direction, so that the same request given by two leaders is one."""
        return f"{self.plan.name}/{self.turn}/{box}"

    def version(self):
        """Return the version that servers are brought to now: the former one while it is taken back."""
        return self.plan.former if self.phase is ReleasePhase.BACK else self.plan.version


class ReleaseTable:
    """State machine of releases: the same commands give the same state in every process."""

    def __init__(self, permits):
        self.permits, self.releases = permits, {}
        self.troubles = {}  # what -> why: while there is one, releases wait by themselves
        self.history, self.index = [], 0  # (entry, release, what, by or why)

    def told(self):
        """Return the state in its stored form."""
        return [[one.told() for one in self.releases.values()], self.troubles, self.history]

    def loaded(self, told):
        """Take a state in its stored form."""
        self.releases = {one.plan.name: one for one in map(Release.of, told[0])}
        self.troubles, self.history = dict(told[1]), [list(one) for one in told[2]]

    def _note(self, name, what, text=""):
        self.history.append([self.index, name, what, text])
        del self.history[:-HISTORY_MOST]

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
        self._note(plan.name, "started", by)
        return "started"

    def halt(self, name, by, why):
        """No new permit from here on; who is out comes back by its own permit. Halting what is halted is no error."""
        release = self.releases.get(name)
        if release is None or release.over():
            return "no such release is under way"
        if release.phase is not ReleasePhase.HALTED:
            release.phase, release.why = ReleasePhase.HALTED, f"{by}: {why}"
            self._withdraw(release)
            self._note(name, "halted", release.why)
        return "halted"

    def resume(self, name, by):
        """Resume a halted release; return the answer for the log."""
        release = self.releases.get(name)
        if release is None or release.phase is not ReleasePhase.HALTED:
            return "is not halted"
        release.phase, release.why, release.passed = (
            (ReleasePhase.BACK if release.ahead else ReleasePhase.RUNNING),
            "",
            False,
        )
        self._note(name, "resumed", by)
        release.turn += 1  # what was withdrawn is asked for anew, under other ids
        return "resumed"

    def back(self, name, by):
        """All that were released, the last one first. From a halt, from a run, and after the end."""
        release = self.releases.get(name)
        if release is None or release.phase is ReleasePhase.RETURNED:
            return "no such release"
        if release.phase is ReleasePhase.BACK:
            return "goes back"
        self._withdraw(release)
        # What is out for it has the new version, or may have; it goes back once it is back from this one.
        out = [
            p.box
            for p in self.permits.of_box.values()
            if p.release == name and p.version == release.plan.version
        ]
        release.ahead = [*reversed(release.done), *[box for box in out if box not in release.done]]
        release.phase, release.why = ReleasePhase.BACK, f"{by} turned it back"
        self._note(name, "goes back", by)
        release.turn += 1
        return "goes back"

    def gate(self, name, turn, wave, passed, why):
        """The leader's look at that wave; a word about another wave or direction comes too late."""
        release = self.releases.get(name)
        if (
            release is None
            or release.phase is not ReleasePhase.RUNNING
            or (release.turn, release.wave) != (turn, wave)
        ):
            return
        if passed:
            release.passed = True
            self._note(name, f"wave {wave + 1} passed", why)
        else:
            self.halt(name, "gate", why)

    def may(self, permit):
        """A halt holds back what was asked for and not granted, a trouble too, but for the way back."""
        release = self.releases.get(permit.release)
        return (
            release is None
            or release.phase is ReleasePhase.BACK
            or release.phase is ReleasePhase.RUNNING
            and not self.troubles
        )

    def trouble(self, what, why):
        """Note a trouble, or with an empty `why` its end: while there is one, releases wait."""
        if why:
            self.troubles[what] = why
        else:
            self.troubles.pop(what, None)

    def moves(self):
        """After each command: what follows of it. Deterministic, in the order of the releases."""
        over, self.permits.over = self.permits.over, []
        for release in self.releases.values():
            self._taken(
                release, [p for p in over if p.release == release.plan.name and p.step is PermitStep.BACK]
            )
            if release.phase is ReleasePhase.RUNNING:
                wave = release.plan.waves[release.wave]
                for box in wave:
                    if box not in release.done:
                        self._ask(release, box)
                # One that was given up is waited for no more, and counts as nothing.
                if release.passed and all(
                    box in release.done or box not in self.permits.boxes for box in wave
                ):
                    release.wave, release.passed = release.wave + 1, False
                    if release.wave == len(release.plan.waves):
                        release.wave, release.phase = release.wave - 1, ReleasePhase.DONE
                        self._note(release.plan.name, "done")
                    else:
                        for box in release.plan.waves[release.wave]:
                            self._ask(release, box)
            elif release.phase is ReleasePhase.BACK:
                for box in release.ahead:
                    self._ask(release, box)
                if not release.ahead:
                    release.phase = ReleasePhase.RETURNED
                    self._note(release.plan.name, "returned")

    def _ask(self, release, box):
        if box in self.permits.boxes and box not in self.permits.of_box:
            self.permits.ask(
                release.request(box), box, release.by, "release", release.plan.name, release.version()
            )

    def _taken(self, release, back):
        for permit in back:
            if permit.version == release.plan.version and permit.box not in release.done:
                release.done.append(permit.box)
            elif permit.version == release.plan.former:
                release.done = [box for box in release.done if box != permit.box]
                release.ahead = [box for box in release.ahead if box != permit.box]
        release.ahead = [box for box in release.ahead if box in self.permits.boxes]

    def _withdraw(self, release):
        for permit in list(self.permits.of_box.values()):
            if permit.release == release.plan.name:
                self.permits.withdraw(permit.id)
