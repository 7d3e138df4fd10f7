"""Maintenance permits: which servers are out of service and why, and which may go out next.

A state machine without I/O and without a clock: commands in, answers out. Every voter applies the same commands in the
same order, and a grant follows from the resulting state, not from a message of the leader. So a leader that was
suspended can grant nothing, and a grant stands even if the leader dies before it has told anyone.

    asked -> granted -> drained -> out -> cold -> back          (or withdrawn before out, or given up by an operator)

A waiting request holds nothing, so requests can't deadlock. A later request overtakes an earlier one only where no
budget applies to both. A server counts against the budgets until it is back or given up, whatever became of the
process that asked for the permit.

A box is a server that permits are given for (a cache, a parent or a front), as commands and answers call it.
"""

from sprucegate.fleet.rollout.budgets import CapacityLimits, DisruptionBudget, ManagedServer
from sprucegate.fleet.rollout.disruption import DisruptionCounts, WaitingRequests
from sprucegate.fleet.rollout.permit import (
    COUNTED_STEPS,
    OPEN_STEPS,
    STEP_WORDS,
    MaintenancePermit,
    PermitStep,
)

ENDED_MAX = 1000  # ended permits, and names of fronts that left, that are kept
OPEN_PERMITS_MAX = 2000  # asked for or granted and not ended; a further request is refused


class PermitTable:
    """State machine of maintenance permits: the same commands give the same state in every process.

    :ivar boxes: {name: ManagedServer}; `budgets`: list of DisruptionBudget. Both are replaced and never changed.
    :ivar failed: {name: reason} of servers that are out without a permit.
    :ivar fronts: {name: incarnation} of the live fronts according to the log.
    :ivar departed: {name: incarnation that left last} of fronts.
    :ivar permits: by id, in the order of asking; `open_by_box`: {box: its open permit}.
    :ivar ended: ids of ended permits that are kept; `just_ended`: permits that the present command has ended.
    :ivar left_without_permit: how many fronts left without a permit.
    """

    def __init__(self):
        self.budgets = []
        self.capacity = CapacityLimits(0, 1000)
        self.boxes = {}
        self.failed = {}
        self.fronts = {}
        self.permits = {}
        self.open_by_box = {}
        self.ended = []
        self.just_ended = []
        self.left_without_permit = 0
        self.departed = {}
        self._disruption = None

    def snapshot(self):
        """Return the state in its stored form."""
        return [
            [list(b) for b in self.budgets],
            list(self.capacity),
            [list(b) for b in self.boxes.values()],
            self.failed,
            self.fronts,
            [p.to_record() for p in self.permits.values()],
            self.ended,
            self.left_without_permit,
            self.departed,
        ]

    def restore(self, state):
        """Replace the state by a stored one."""
        budgets, capacity, boxes, failed, fronts, permits, ended, self.left_without_permit, departed = state
        self.budgets = [DisruptionBudget(*b) for b in budgets]
        self.capacity = CapacityLimits(*capacity)
        self.boxes = {b[0]: ManagedServer(*b) for b in boxes}
        self.failed = dict(failed)
        self.fronts = dict(fronts)
        self.ended = list(ended)
        self.departed = dict(departed)
        self.permits = {p[0]: MaintenancePermit(*p) for p in permits}
        self.open_by_box = {p.box: p for p in self.permits.values() if p.step in OPEN_STEPS}

    # Queries.

    def out(self):
        """Return {box: reason} of all that count against the budgets: by a permit, or because they failed."""
        reasons = dict(self.failed)
        reasons.update(
            {b.name: "lost" for b in self.boxes.values() if b.role == "front" and b.name not in self.fronts}
        )
        reasons.update(
            {p.box: STEP_WORDS[p.step] for p in self.open_by_box.values() if p.step in COUNTED_STEPS}
        )
        return {name: why for name, why in reasons.items() if name in self.boxes}

    def blocked_by(self, permit, out=None):
        """Return why the server may not go out now, as (rule, of, out, at most), or None where it may.

        `of`: what the rule applies to; `out` and `at most`: how many are out, and may be. The rules:
        "gone": the server is no longer listed; `out` and `at most` are 0.
        "last": no other server of its role, kind and location is in service; both are the number of the others.
        "warm": caches in service lack the spare capacity for what this one and those out can't take while cold; both
        are the number of those out.
        Otherwise scope and role of a budget, which limits the count or the weight; `of` is the scope's value.
        `blocked` adds "behind": an earlier request, whose id is `of`, waits for a budget or for "warm".
        "last" and "gone" concern this server alone; any other rule also makes later requests wait behind this one.
        """
        return self._counts(self.out() if out is None else out).reason_to_stay(permit.box)

    def _counts(self, out):
        """Return the DisruptionCounts with these servers out; made anew where servers or budgets have changed."""
        counts = self._disruption
        if counts is None or counts.boxes is not self.boxes or counts.budgets is not self.budgets:
            counts = self._disruption = DisruptionCounts(self.boxes, self.budgets, self.capacity)
        counts.capacity = self.capacity
        counts.set_out(out.keys())
        return counts

    def _waiting(self, is_allowed):
        """Return the requests that wait and are allowed, in the order of asking."""
        return [p for p in self.open_by_box.values() if p.step is PermitStep.ASKED and is_allowed(p)]

    def blocked(self, is_allowed=lambda permit: True):
        """Return {id: WaitReason} of all requests that have to wait, also behind an earlier request of the same scope.

        A request that is not allowed at all (its release is halted) makes no other one wait.
        """
        asked = self._waiting(is_allowed)
        if not asked:
            return {}
        waiting = WaitingRequests(self._counts(self.out()))
        return {
            permit.id: reason for permit in asked if (reason := waiting.reason_to_wait(permit)) is not None
        }

    # Commands.

    def ask(self, id, box, by, why, release="", version=""):
        """Ask for a permit. Returns the answer for the log; the same request again has no second effect."""
        if id in self.permits:
            return STEP_WORDS[self.permits[id].step]
        if box not in self.boxes:
            return "no such box"
        if (other := self.open_by_box.get(box)) is not None:
            return f"asked for already, as {other.id}"
        if len(self.open_by_box) >= OPEN_PERMITS_MAX:
            return "too many requests"
        permit = self.permits[id] = self.open_by_box[box] = MaintenancePermit(
            id, box, by, why, release, version
        )
        return STEP_WORDS[permit.step]

    def grant_available(self, index, is_allowed=lambda permit: True):
        """Grant what the budgets allow, in the order of asking, and return it; `is_allowed` holds releases back."""
        granted = []
        asked = self._waiting(is_allowed)
        if not asked:
            return granted
        counts = self._counts(self.out())
        waiting = WaitingRequests(counts)
        for permit in asked:
            if waiting.reason_to_wait(permit) is None:
                permit.step, permit.index = PermitStep.GRANTED, index
                counts.mark_out(self.boxes[permit.box])
                granted.append(permit)
        return granted

    def report_drained(self, id, front, incarnation):
        """A front sends the server nothing new and no longer names it as a source. All live fronts have to say so."""
        permit = self.permits.get(id)
        if permit is None or permit.step is not PermitStep.GRANTED or self.fronts.get(front) != incarnation:
            return
        if front not in permit.drained:
            permit.drained.append(front)
        self._advance(permit)

    def _advance(self, permit):
        if permit.step is not PermitStep.GRANTED and permit.step is not PermitStep.COLD:
            return
        box = self.boxes.get(permit.box)
        is_front = box is not None and box.role == "front"
        # Only clients send to a front, so the front itself reports that it takes no more, and that it serves again.
        reporters = self.fronts.keys() & {permit.box} if is_front else self.fronts.keys()
        if permit.step is PermitStep.GRANTED:
            if (reporters or is_front) and permit.is_drained_by_all(reporters):
                permit.step = PermitStep.DRAINED
        # A majority, not all: a front that sees few GETs would take an hour to warm up its part of a cold cache.
        elif reporters and permit.is_warm_for_majority(reporters):
            self._end(permit, PermitStep.BACK)

    def advance_all(self):
        """Advance permits without a report of their own, as when a front that was waited for is fenced.

        Without a live front nothing but a front's own permit advances: without reports nothing is known to be drained.
        """
        for permit in list(self.open_by_box.values()):
            self._advance(permit)

    def mark_out(self, id, holder):
        """The holder of the permit is about to stop the server, which has to be drained first."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.DRAINED, PermitStep.OUT):
            return "not drained" if permit is not None else "no such permit"
        if (
            permit.step is PermitStep.DRAINED
            and self._has_failed(permit.box)
            and (why := self.blocked_by(permit, self._out_by_permit(permit)))
        ):
            # The server may have recovered without this log knowing it yet. The permit stays drained, and is checked
            # again at the next "out".
            return f"held back: {why[0]}"
        permit.step, permit.holder = PermitStep.OUT, holder
        return "out"

    def renew(self, id, holder):
        """Renew a permit's lease on behalf of its holder; return the answer for the log."""
        permit = self.permits.get(id)
        if permit is not None and permit.step in COUNTED_STEPS:
            permit.holder, permit.renewed, permit.overdue = holder, permit.renewed + 1, False

    def mark_overdue(self, id, renewed):
        """The permit's lease has expired, unless it was renewed since the leader looked.

        This is only shown to operators: the server still counts against the budgets.
        """
        permit = self.permits.get(id)
        if permit is not None and permit.step in COUNTED_STEPS and permit.renewed == renewed:
            permit.overdue = True

    def mark_started(self, id, start):
        """The holder reports that the server runs again, as `start`; reports on other starts count no more."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.OUT, PermitStep.COLD):
            return "not out" if permit is not None else "no such permit"
        if permit.start != start:
            permit.step, permit.start, permit.warm = PermitStep.COLD, start, []
        return "cold"

    def report_warm(self, id, start, front, incarnation):
        """A front sees this start answer at its full share of the load. The holder can't report that in its place."""
        permit = self.permits.get(id)
        if (
            permit is None
            or permit.step is not PermitStep.COLD
            or permit.start != start
            or not start
            or self.fronts.get(front) != incarnation
        ):
            return
        if front not in permit.warm:
            permit.warm.append(front)
        self._advance(permit)

    def withdraw(self, id):
        """Withdraw a permit whose server is not out yet; return the answer for the log."""
        permit = self.permits.get(id)
        if permit is None or permit.step not in (PermitStep.ASKED, PermitStep.GRANTED, PermitStep.DRAINED):
            return "can't be withdrawn" if permit is not None else "no such permit"
        self._end(permit, PermitStep.WITHDRAWN)
        return "withdrawn"

    def give_up(self, box):
        """An operator says that the server won't come back: it no longer counts, neither as out nor as in service."""
        permit = self.open_by_box.get(box)
        if box not in self.boxes:
            return "no such box"
        self.boxes = {name: one for name, one in self.boxes.items() if name != box}
        self.failed.pop(box, None)
        if permit is not None:
            self._end(permit, PermitStep.GIVEN_UP)
        return "given up"

    def set_boxes(self, boxes):
        """Replace the servers by those of a front's view. One that is out stays until it is back or given up."""
        listed = {box.name: box for box in boxes}
        out = {*self.failed, *[p.box for p in self.open_by_box.values() if p.step in COUNTED_STEPS]}
        kept = {name: box for name, box in self.boxes.items() if name in out and name not in listed}
        self.boxes = listed | kept
        self.failed = {name: why for name, why in self.failed.items() if name in self.boxes}

    def set_failed(self, box, why):
        """The server has failed without a permit, or has recovered (`why` is "")."""
        if why and box in self.boxes:
            self.failed[box] = why
        elif self.failed.pop(box, None) is not None:
            self._on_recovered(box)

    def set_front(self, name, incarnation, on):
        """A front that follows the log (`on`), or one whose lease expired: nobody waits for its reports any more."""
        # An incarnation that has left still follows the log until it ends.
        if on and self.departed.get(name) != incarnation:
            lost = name not in self.fronts
            self.fronts[name] = incarnation
            self.departed.pop(name, None)
            if lost:
                self._on_recovered(name)
        elif not on and self.fronts.get(name) == incarnation:
            del self.fronts[name]

    def _has_failed(self, name):
        """Whether a server is out without a permit, so that a permit for it was granted at no cost to the budgets."""
        box = self.boxes.get(name)
        return name in self.failed or box is not None and box.role == "front" and name not in self.fronts

    def _out_by_permit(self, excluded):
        """Return {box: step} of servers out by a permit, or with one granted while they were in service."""
        return {
            p.box: STEP_WORDS[p.step]
            for p in self.open_by_box.values()
            if p is not excluded
            and (
                p.step in (PermitStep.OUT, PermitStep.COLD)
                or p.step in COUNTED_STEPS
                and not self._has_failed(p.box)
            )
        }

    def _on_recovered(self, name):
        """A failed server is in service again, and its permit may have been granted at no cost to the budgets.

        Where the budgets have no room for it now the permit waits again like any other; one that is out stays out.
        """
        permit = self.open_by_box.get(name)
        if permit is None or permit.step not in (PermitStep.GRANTED, PermitStep.DRAINED):
            return
        others = {box: why for box, why in self.out().items() if box != name}
        if self.blocked_by(permit, others) is not None:
            permit.step, permit.index, permit.drained = PermitStep.ASKED, 0, []

    def front_left(self, name, incarnation):
        """A front ends by SIGTERM, so nobody has to wait for its lease; one without a permit is counted."""
        if self.fronts.get(name) == incarnation:
            permit = self.open_by_box.get(name)
            self.left_without_permit += permit is None or permit.step not in (
                PermitStep.DRAINED,
                PermitStep.OUT,
            )
            del self.fronts[name]
            self.departed[name] = incarnation
            while len(self.departed) > ENDED_MAX:
                del self.departed[next(iter(self.departed))]

    def _end(self, permit, step):
        permit.step = step
        self.just_ended.append(permit)
        self.open_by_box.pop(permit.box, None)
        self.ended.append(permit.id)
        while len(self.ended) > ENDED_MAX:
            del self.permits[self.ended.pop(0)]
