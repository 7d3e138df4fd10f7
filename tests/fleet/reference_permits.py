"""The rules of permits as they were written first: each is worked out anew by a walk over all servers.

Slow, and kept as the reference that the counts of `fleet/rollout/disruption.py` are held against.
"""

from sprucegate.fleet.rollout.budgets import ManagedServer
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.permits import PermitTable
from sprucegate.fleet.rollout.releases import ReleasePlan, ReleaseTable
from sprucegate.fleet.rollout.rollout import RolloutStateMachine


class ReferencePermitTable(PermitTable):
    """PermitTable whose `blocked_by`, `blocked`, `grant_available` and `_advance` are those of 2f80569."""

    def blocked_by(self, permit, out=None):
        box = self.boxes.get(permit.box)
        if box is None:
            return "gone", permit.box, 0, 0
        out = self.out() if out is None else out
        if box.name in out:
            return None  # it has failed, so it counts as out already
        same = [
            b
            for b in self.boxes.values()
            if (b.role, b.location, b.kind) == (box.role, box.location, box.kind)
        ]
        if not any(b.name != box.name and b.name not in out for b in same):
            return "last", f"{box.kind} in {box.location}", len(same) - 1, len(same) - 1
        away = sum(b.name in out for b in same) + 1
        # Load that cold caches can't take goes to the caches in service, and to the parents what exceeds their spare
        # capacity.
        if box.role == "cache" and (
            away * (1000 - self.capacity.cold_share) > (len(same) - away) * self.capacity.spare
        ):
            return "warm", f"{box.kind} in {box.location}", away - 1, away - 1
        for budget in self.budgets:
            if budget.applies_to(box):
                value = budget.scope_value(box)
                counted = [
                    b for b in self.boxes.values() if budget.applies_to(b) and budget.scope_value(b) == value
                ]
                absent = [b for b in counted if b.name in out]
                weight = sum(b.weight for b in absent) + box.weight
                if len(absent) >= budget.count or weight * 1000 > budget.share * sum(
                    b.weight for b in counted
                ):
                    return f"{budget.scope} {budget.role}".strip(), value, len(absent), budget.count
        return None

    def blocked(self, is_allowed=lambda permit: True):
        found, claimed = {}, []
        asked = [p for p in self.open_by_box.values() if p.step is PermitStep.ASKED and is_allowed(p)]
        out = self.out() if asked else {}
        for permit in asked:
            why, box = self.blocked_by(permit, out), self.boxes.get(permit.box)
            ahead = next(
                (id for id, scope in claimed if box is not None and scope in self._scopes(box)), None
            )
            if why is None and ahead is not None:
                why = "behind", ahead, 0, 0
            if why is not None:
                found[permit.id] = why
                if why[0] not in ("last", "gone"):
                    claimed += [(permit.id, scope) for scope in self._scopes(box)]
        return found

    def _scopes(self, box):
        return [(*budget, budget.scope_value(box)) for budget in self.budgets if budget.applies_to(box)] + [
            ("warm", box.role, box.location, box.kind)
        ]

    def grant_available(self, index, is_allowed=lambda permit: True):
        granted = []
        while True:
            # Evaluated again after each grant, which may use up the budget that the next request needs.
            blocked = self.blocked(is_allowed)
            permit = next(
                (
                    p
                    for p in self.open_by_box.values()
                    if p.step is PermitStep.ASKED and p.id not in blocked and is_allowed(p)
                ),
                None,
            )
            if permit is None:
                return granted
            permit.step, permit.index = PermitStep.GRANTED, index
            granted.append(permit)

    def _advance(self, permit):
        box = self.boxes.get(permit.box)
        is_front = box is not None and box.role == "front"
        # Only clients send to a front, so the front itself reports that it takes no more, and that it serves again.
        reporters = [n for n in self.fronts if n == permit.box] if is_front else list(self.fronts)
        if (
            permit.step is PermitStep.GRANTED
            and (reporters or is_front)
            and all(name in permit.drained for name in reporters)
        ):
            permit.step = PermitStep.DRAINED
        # A majority, not all: a front that sees few GETs would take an hour to warm up its part of a cold cache.
        if (
            permit.step is PermitStep.COLD
            and reporters
            and 2 * sum(name in permit.warm for name in reporters) > len(reporters)
        ):
            self._end(permit, PermitStep.BACK)


class ReferenceStateMachine(RolloutStateMachine):
    """RolloutStateMachine on the reference table."""

    def __init__(self):
        super().__init__()
        former = self.permits
        self.permits = ReferencePermitTable()
        self.releases = ReleaseTable(self.permits)
        for name, handler in self.commands.items():
            owner = getattr(handler, "__self__", None)
            if owner is former:
                self.commands[name] = getattr(self.permits, handler.__name__)
            elif isinstance(owner, ReleaseTable):
                self.commands[name] = getattr(self.releases, handler.__name__)
        self.commands["boxes"] = lambda boxes: self.permits.set_boxes([ManagedServer(*box) for box in boxes])
        self.commands["release"] = lambda plan, by: self.releases.start(
            ReleasePlan(*plan[:4], tuple(map(tuple, plan[4])), plan[5]), by
        )
