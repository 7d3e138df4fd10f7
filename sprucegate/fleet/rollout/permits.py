"""Who is out, why, and who may go out next: what the agreed log makes of it. No I/O, no clock: commands in, words out.

Every keeper applies the same commands in the same order, and a grant is what they come to, not what a leader says. So
a leader that stood still can grant nothing, and whoever dies between granting and telling has granted all the same.

    asked -> granted -> drained -> out -> cold -> back          (or withdrawn before out, or given up by an operator)

A request waits without holding anything, so no two can wait for each other; it is passed by a later one only where no
budget binds both. A place is free again when the box is back or given up, whatever became of who asked for it.
"""

from enum import IntEnum
from typing import NamedTuple

ENDED_MOST = 1000  # permits that are over and still told of
OPEN_MOST = 2000  # requests at one time
FLEET, LOCATION, KIND, GROUP = "fleet", "location", "kind", "group"  # words of the file and of stored budgets
SCOPES = (FLEET, LOCATION, KIND, GROUP)


class PermitStep(IntEnum):
    """Steps of a maintenance permit, in order; stored by number."""

    ASKED = 0
    GRANTED = 1
    DRAINED = 2
    OUT = 3
    COLD = 4
    BACK = 5
    WITHDRAWN = 6
    GIVEN_UP = 7


# A step's word in answers to commands, in reasons and in operators' answers.
STEP_WORDS = {
    PermitStep.ASKED: "asked",
    PermitStep.GRANTED: "granted",
    PermitStep.DRAINED: "drained",
    PermitStep.OUT: "out",
    PermitStep.COLD: "cold",
    PermitStep.BACK: "back",
    PermitStep.WITHDRAWN: "withdrawn",
    PermitStep.GIVEN_UP: "given_up",
}
OPEN = (PermitStep.ASKED, PermitStep.GRANTED, PermitStep.DRAINED, PermitStep.OUT, PermitStep.COLD)
TAKES = (PermitStep.GRANTED, PermitStep.DRAINED, PermitStep.OUT, PermitStep.COLD)  # a place


class ManagedServer(NamedTuple):
    """A cache, a parent or a front. `weight`: its part of what its kind carries there."""

    name: str
    role: str  # "cache" or "front"
    location: str
    kind: str
    group: str
    weight: int


# Which of the places that a scope tells apart a box is in.
_SCOPE_VALUES = {
    FLEET: lambda box: "",
    LOCATION: lambda box: box.location,
    KIND: lambda box: box.kind,
    GROUP: lambda box: box.group,
}


class DisruptionBudget(NamedTuple):
    """So many may be out at once, and so much of the weight (thousandths), of each one of the scope, or of `of` alone.

    `role`: of caches or of fronts; "" of both together.
    """

    scope: str
    of: str
    role: str
    count: int
    share: int

    def binds(self, box):
        """Whether the budget counts this server."""
        return self.role in ("", box.role) and (not self.of or self.of == self.place(box))

    def place(self, box):
        """Return the server's value of the budget's scope, for instance its location."""
        return _SCOPE_VALUES[self.scope](box)


class Warmth(NamedTuple):
    """`floor`: of its part that a cold cache takes (the settings' cold share); `spare`: how much more than their part
    those that stay may be given; in thousandths."""

    floor: int
    spare: int


class MaintenancePermit:
    """Permission to take one server out of service, from the request to its return."""

    def __init__(
        self,
        id,
        box,
        by,
        why,
        release,
        version,
        step=PermitStep.ASKED,
        index=0,
        drained=(),
        warm=(),
        start="",
        holder="",
        renewed=0,
        overdue=False,
    ):
        self.id, self.box, self.by, self.why, self.release, self.step = (
            id,
            box,
            by,
            why,
            release,
            PermitStep(step),
        )
        self.version = version  # to be put there; "" as it is
        self.index = index  # of the entry that granted it: the later one is the newer
        self.drained, self.warm = list(drained), list(warm)  # fronts that said so
        self.start, self.holder, self.renewed, self.overdue = start, holder, renewed, overdue

    def told(self):
        """The values as they are stored, in this order."""
        return [
            self.id,
            self.box,
            self.by,
            self.why,
            self.release,
            self.version,
            int(self.step),
            self.index,
            self.drained,
            self.warm,
            self.start,
            self.holder,
            self.renewed,
            self.overdue,
        ]


class PermitTable:
    """State machine of maintenance permits: the same commands give the same state in every process."""

    def __init__(self):
        self.budgets, self.warmth = [], Warmth(0, 1000)
        self.boxes, self.down = {}, {}  # name -> Box; -> why it is out by itself
        self.fronts = {}  # live ones by the log: name -> life
        self.permits, self.of_box = {}, {}  # in the order of asking; box -> its open one
        self.ended, self.over = [], []  # ids that are told of still; permits that ended by this command
        self.without, self.gone = 0, {}  # fronts that went without a permit; by name the life that left last

    def told(self):
        """Return the state in its stored form."""
        return [
            [list(b) for b in self.budgets],
            list(self.warmth),
            [list(b) for b in self.boxes.values()],
            self.down,
            self.fronts,
            [p.told() for p in self.permits.values()],
            self.ended,
            self.without,
            self.gone,
        ]

    def loaded(self, told):
        """Take a state in its stored form."""
        budgets, warmth, boxes, down, fronts, permits, ended, self.without, gone = told
        self.budgets, self.warmth = [DisruptionBudget(*b) for b in budgets], Warmth(*warmth)
        self.boxes = {b[0]: ManagedServer(*b) for b in boxes}
        self.down, self.fronts, self.ended = dict(down), dict(fronts), list(ended)
        self.gone = dict(gone)
        self.permits = {p[0]: MaintenancePermit(*p) for p in permits}
        self.of_box = {p.box: p for p in self.permits.values() if p.step in OPEN}

    # What is so.

    def out(self):
        """{box: why} of all that take a place: by permit, or by themselves."""
        taken = dict(self.down)
        taken.update(
            {b.name: "lost" for b in self.boxes.values() if b.role == "front" and b.name not in self.fronts}
        )
        taken.update({p.box: STEP_WORDS[p.step] for p in self.of_box.values() if p.step in TAKES})
        return {name: why for name, why in taken.items() if name in self.boxes}

    def wait(self, permit, out=None):
        """Why it may not go out now: (what, of, out, most), or None. Of `what`, "last" and "gone" bind it alone."""
        box = self.boxes.get(permit.box)
        if box is None:
            return "gone", permit.box, 0, 0
        out = self.out() if out is None else out
        if box.name in out:
            return None  # it takes its place already, as it failed by itself
        same = [
            b
            for b in self.boxes.values()
            if (b.role, b.location, b.kind) == (box.role, box.location, box.kind)
        ]
        if not any(b.name != box.name and b.name not in out for b in same):
            return "last", f"{box.kind} in {box.location}", len(same) - 1, len(same) - 1
        away = sum(b.name in out for b in same) + 1
        # What cold ones don't take goes to those that stay, and what those lack to the parents.
        if box.role == "cache" and away * (1000 - self.warmth.floor) > (len(same) - away) * self.warmth.spare:
            return "warm", f"{box.kind} in {box.location}", away - 1, away - 1
        for budget in self.budgets:
            if budget.binds(box):
                place = budget.place(box)
                bound = [b for b in self.boxes.values() if budget.binds(b) and budget.place(b) == place]
                gone = [b for b in bound if b.name in out]
                weight = sum(b.weight for b in gone) + box.weight
                if len(gone) >= budget.count or weight * 1000 > budget.share * sum(b.weight for b in bound):
                    return f"{budget.scope} {budget.role}".strip(), place, len(gone), budget.count
        return None

    def waits(self, may=lambda permit: True):
        """{id: why} of all that ask, those that are behind an earlier one of the same place included; what may not go
        at all (a halted release) is in nobody's way."""
        found, taken = {}, []
        asked = [p for p in self.of_box.values() if p.step is PermitStep.ASKED and may(p)]
        out = self.out() if asked else {}
        for permit in asked:
            why, box = self.wait(permit, out), self.boxes.get(permit.box)
            ahead = next((id for id, place in taken if box is not None and place in self._places(box)), None)
            if why is None and ahead is not None:
                why = "behind", ahead, 0, 0
            if why is not None:
                found[permit.id] = why
                if why[0] not in ("last", "gone"):
                    taken += [(permit.id, place) for place in self._places(box)]
        return found

    def _places(self, box):
        return [(*budget, budget.place(box)) for budget in self.budgets if budget.binds(box)] + [
            ("warm", box.role, box.location, box.kind)
        ]

    # Commands.

    def ask(self, id, box, by, why, release="", version=""):
        """A word for whoever asked; the same request again has no second effect."""
        if id in self.permits:
            return STEP_WORDS[self.permits[id].step]
        if box not in self.boxes:
            return "no such box"
        if (other := self.of_box.get(box)) is not None:
            return f"asked for already, as {other.id}"
        if len(self.of_box) >= OPEN_MOST:
            return "too many requests"
        permit = self.permits[id] = self.of_box[box] = MaintenancePermit(id, box, by, why, release, version)
        return STEP_WORDS[permit.step]

    def grants(self, index, may=lambda permit: True):
        """Those that go out now, in the order of asking; `may` holds a release back."""
        granted = []
        while True:
            # Anew after each: what is granted takes a place that the next one may have wanted.
            waits = self.waits(may)
            free = next(
                (
                    p
                    for p in self.of_box.values()
                    if p.step is PermitStep.ASKED and p.id not in waits and may(p)
                ),
                None,
            )
            if free is None:
                return granted
            free.step, free.index = PermitStep.GRANTED, index
            granted.append(free)

    def said_drained(self, id, front, life):
        """That front sends it nothing new and names it no more as source. All live fronts have to."""
        permit = self.permits.get(id)
        if permit is None or permit.step is not PermitStep.GRANTED or self.fronts.get(front) != life:
            return
        if front not in permit.drained:
            permit.drained.append(front)
        self._settled(permit)

    def _settled(self, permit):
        box = self.boxes.get(permit.box)
        of_front = box is not None and box.role == "front"
        # Nobody sends to a front but clients: it says by itself that it takes none any more, or serves again.
        asked = [n for n in self.fronts if n == permit.box] if of_front else list(self.fronts)
        if (
            permit.step is PermitStep.GRANTED
            and (asked or of_front)
            and all(name in permit.drained for name in asked)
        ):
            permit.step = PermitStep.DRAINED
        # Not of all: one that sees few GETs would take an hour to earn its part of a cold one's warmth.
        if (
            permit.step is PermitStep.COLD
            and asked
            and 2 * sum(name in permit.warm for name in asked) > len(asked)
        ):
            self._end(permit, PermitStep.BACK)

    def settled(self):
        """What may have come true without a word of its own: one that was waited for is fenced. With no front at all
        nothing does: that nobody is there to say so is no proof."""
        for permit in list(self.of_box.values()):
            self._settled(permit)

    def went(self, id, holder):
        """Whoever holds the permit is about to stop it: only once it is drained."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.DRAINED, PermitStep.OUT):
            return "not drained" if permit is not None else "no such permit"
        if (
            permit.step is PermitStep.DRAINED
            and self._free(permit.box)
            and (why := self.wait(permit, self._charged(permit)))
        ):
            # It may be there again by now, and nobody here knows yet. The permit stands, and goes out in its turn.
            return f"held back: {why[0]}"
        permit.step, permit.holder = PermitStep.OUT, holder
        return "out"

    def renew(self, id, holder):
        """Renew a permit's lease on behalf of its holder; return the answer for the log."""
        permit = self.permits.get(id)
        if permit is not None and permit.step in TAKES:
            permit.holder, permit.renewed, permit.overdue = holder, permit.renewed + 1, False

    def late(self, id, renewed):
        """Its lease ended: told, and no place is free by it. Not where it was renewed since the leader looked."""
        permit = self.permits.get(id)
        if permit is not None and permit.step in TAKES and permit.renewed == renewed:
            permit.overdue = True

    def started(self, id, start):
        """It runs again, by the word of who replaced it; what it earns since another start counts no more."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.OUT, PermitStep.COLD):
            return "not out" if permit is not None else "no such permit"
        if permit.start != start:
            permit.step, permit.start, permit.warm = PermitStep.COLD, start, []
        return "cold"

    def said_warm(self, id, start, front, life):
        """That front sees this start answer and sends it its part: the word of who replaced it is not enough."""
        permit = self.permits.get(id)
        if (
            permit is None
            or permit.step is not PermitStep.COLD
            or permit.start != start
            or not start
            or self.fronts.get(front) != life
        ):
            return
        if front not in permit.warm:
            permit.warm.append(front)
        self._settled(permit)

    def withdraw(self, id):
        """Withdraw a permit whose server is not out yet; return the answer for the log."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.ASKED, PermitStep.GRANTED, PermitStep.DRAINED):
            return "can't be withdrawn" if permit is not None else "no such permit"
        self._end(permit, PermitStep.WITHDRAWN)
        return "withdrawn"

    def give_up(self, box):
        """An operator says that it won't come back: it counts neither as out nor as there."""
        permit = self.of_box.get(box)
        if box not in self.boxes:
            return "no such box"
        del self.boxes[box]
        self.down.pop(box, None)
        if permit is not None:
            self._end(permit, PermitStep.GIVEN_UP)
        return "given up"

    def listed(self, boxes):
        """All boxes that the leader's view has. One that is out stays until it is back or given up."""
        fresh = {box.name: box for box in boxes}
        out = {*self.down, *[p.box for p in self.of_box.values() if p.step in TAKES]}
        kept = {name: box for name, box in self.boxes.items() if name in out and name not in fresh}
        self.boxes = fresh | kept
        self.down = {name: why for name, why in self.down.items() if name in self.boxes}

    def stands(self, box, why):
        """It failed by itself, or does no more (why "")."""
        if why and box in self.boxes:
            self.down[box] = why
        elif self.down.pop(box, None) is not None:
            self._charge(box)

    def front(self, name, life, on):
        """A front that follows the log, or one whose lease ended (not `on`): it is waited for no more."""
        if on and self.gone.get(name) != life:  # one that has left still follows until it ends
            lost = name not in self.fronts
            self.fronts[name] = life
            self.gone.pop(name, None)
            if lost:
                self._charge(name)
        elif not on and self.fronts.get(name) == life:
            del self.fronts[name]

    def _free(self, name):
        """Whether a box is out by itself, so that a permit of it took no place when it was granted."""
        box = self.boxes.get(name)
        return name in self.down or box is not None and box.role == "front" and name not in self.fronts

    def _charged(self, but):
        """{box: why} of those that take a place by a permit: out, or granted as one that was there."""
        return {
            p.box: STEP_WORDS[p.step]
            for p in self.of_box.values()
            if p is not but
            and (p.step in (PermitStep.OUT, PermitStep.COLD) or p.step in TAKES and not self._free(p.box))
        }

    def _charge(self, name):
        """A box is there again whose permit may have been free, as it was out by itself.

        Where the budgets have no place for it now the permit waits like any other; one that is out stays so.
        """
        permit = self.of_box.get(name)
        if permit is None or permit.step not in (PermitStep.GRANTED, PermitStep.DRAINED):
            return
        others = {box: why for box, why in self.out().items() if box != name}
        if self.wait(permit, others) is not None:
            permit.step, permit.index, permit.drained = PermitStep.ASKED, 0, []

    def left(self, name, life):
        """A front that ends by SIGTERM: nobody has to wait for its lease. Without a permit it is obeyed and counted."""
        if self.fronts.get(name) == life:
            permit = self.of_box.get(name)
            self.without += permit is None or permit.step not in (PermitStep.DRAINED, PermitStep.OUT)
            del self.fronts[name]
            self.gone[name] = life
            while len(self.gone) > ENDED_MOST:
                del self.gone[next(iter(self.gone))]

    def _end(self, permit, step):
        permit.step = step
        self.over.append(permit)
        self.of_box.pop(permit.box, None)
        self.ended.append(permit.id)
        while len(self.ended) > ENDED_MOST:
            del self.permits[self.ended.pop(0)]
