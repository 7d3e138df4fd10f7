"""Whether a server may go out now, by counts kept for each scope instead of a walk over all servers.

A pass over all waiting permits costs time linear in the servers, plus the waiting permits times the budgets.
"""

from typing import NamedTuple

THOUSANDTHS = 1000


class WaitReason(NamedTuple):
    """Why a server may not go out now. Stored and shown as a plain tuple.

    `rule`: "gone", "last", "warm", "behind", or scope and role of a budget; `of`: what the rule applies to;
    `out` and `at_most`: how many are out, and may be. `PermitTable.blocked_by` describes the rules.
    """

    rule: str
    of: str
    out: int
    at_most: int

    def holds_back_later_requests(self):
        """Whether later requests of the same scopes wait behind this one; "last" and "gone" concern it alone."""
        return self.rule not in ("last", "gone")


class ScopeCount:
    """Servers that one budget, or one group of the same role, location and kind, counts.

    :ivar servers: how many there are; `weight`: their weight.
    :ivar out: how many of them are out; `out_weight`: the weight of those.
    """

    __slots__ = ("servers", "weight", "out", "out_weight")

    def __init__(self):
        self.servers = 0
        self.weight = 0
        self.out = 0
        self.out_weight = 0


class BudgetCount(NamedTuple):
    """A budget for one value of its scope.

    `rule`, `value`: as in WaitReason; `count_max`, `share_max`: how many servers and how much of the weight
    (thousandths) may be out.
    """

    rule: str
    value: str
    count_max: int
    share_max: int
    count: ScopeCount


class ServerClass(NamedTuple):
    """What is the same for all servers of one role, location, kind and group.

    `group`: count of the servers of the same role, location and kind; `budgets`: those that count these servers, in
    order; `counts`: all of these counts, each once. These are the scopes of the servers: a later request waits behind
    an earlier one that waits and has a scope in common with it.
    """

    group: ScopeCount
    budgets: list[BudgetCount]
    counts: list[ScopeCount]


class DisruptionCounts:
    """Counts of all servers, and of those out, for each budget and each group.

    Valid for as long as neither the servers nor the budgets change.

    :ivar boxes: {name: ManagedServer}; `out`: names of those that count as out.
    """

    def __init__(self, boxes, budgets, capacity):
        self.boxes = boxes
        self.budgets = budgets
        self.capacity = capacity
        self.out = set()
        self._classes = {}  # (role, location, kind, group) -> ServerClass
        self._groups = {}  # (role, location, kind) -> ScopeCount
        by_budget = {
            budget: {} for budget in budgets
        }  # {value of its scope: BudgetCount}; equal budgets share it
        self._by_value = [(budget, by_budget[budget]) for budget in budgets]
        for box in boxes.values():
            server_class = self._classes.get(box[1:5])
            if server_class is None:
                server_class = self._classes[box[1:5]] = self._make_class(box)
            for count in server_class.counts:
                count.servers += 1
                count.weight += box.weight

    def _make_class(self, box):
        group = self._groups.get(box[1:4])
        if group is None:
            group = self._groups[box[1:4]] = ScopeCount()
        budgets = []
        for budget, by_value in self._by_value:
            if not budget.applies_to(box):
                continue
            value = budget.scope_value(box)
            found = by_value.get(value)
            if found is None:
                found = by_value[value] = BudgetCount(
                    budget.rule_name(), value, budget.count, budget.share, ScopeCount()
                )
            budgets.append(found)
        counts = dict.fromkeys([group, *[found.count for found in budgets]])
        return ServerClass(group, budgets, list(counts))

    def class_of(self, box):
        """Return the ServerClass of a listed server."""
        return self._classes[box[1:5]]

    def set_out(self, names):
        """Count exactly these servers as out; names that are not listed are ignored."""
        names = names & self.boxes.keys()
        for name in self.out - names:
            self._add_out(self.boxes[name], -1)
        for name in names - self.out:
            self._add_out(self.boxes[name], 1)
        self.out = names

    def mark_out(self, box):
        """Count a server as out as well."""
        if box.name not in self.out:
            self.out.add(box.name)
            self._add_out(box, 1)

    def _add_out(self, box, servers):
        for count in self._classes[box[1:5]].counts:
            count.out += servers
            count.out_weight += servers * box.weight

    def reason_to_stay(self, name):
        """Return the WaitReason for which a server may not go out now, or None where it may."""
        box = self.boxes.get(name)
        if box is None:
            return WaitReason("gone", name, 0, 0)
        if name in self.out:
            return None  # it has failed, so it counts as out already
        server_class = self._classes[box[1:5]]
        return self._group_reason(box, server_class.group) or self._budget_reason(box, server_class.budgets)

    def _group_reason(self, box, group):
        others = group.servers - 1
        if others == group.out:
            return WaitReason("last", f"{box.kind} in {box.location}", others, others)
        if box.role != "cache":
            return None
        away = group.out + 1
        # Load that cold caches can't take goes to the caches in service, and to the parents what exceeds their spare
        # capacity.
        displaced = away * (THOUSANDTHS - self.capacity.cold_share)
        if displaced > (group.servers - away) * self.capacity.spare:
            return WaitReason("warm", f"{box.kind} in {box.location}", group.out, group.out)
        return None

    @staticmethod
    def _budget_reason(box, budgets):
        for rule, value, count_max, share_max, count in budgets:
            out_weight = count.out_weight + box.weight
            if count.out >= count_max or out_weight * THOUSANDTHS > share_max * count.weight:
                return WaitReason(rule, value, count.out, count_max)
        return None


class WaitingRequests:
    """Checks waiting requests in the order of asking: each may also have to wait behind an earlier one.

    One pass is enough to grant all that may be granted. A grant raises the counts of its own scopes alone, and no
    earlier request waits for one of these, or this one would have to wait behind it. So earlier requests go on waiting.
    """

    def __init__(self, counts):
        self.counts = counts
        self._waiting = 0
        self._first_waiting = {}  # scope -> (place among those that wait, id) of the first request that has it

    def reason_to_wait(self, permit):
        """Return the WaitReason of the next request, or None where its server may go out."""
        reason = self.counts.reason_to_stay(permit.box)
        if reason is not None and not reason.holds_back_later_requests():
            return reason
        scopes = self.counts.class_of(self.counts.boxes[permit.box]).counts
        if reason is None:
            ahead = [self._first_waiting[scope] for scope in scopes if scope in self._first_waiting]
            if not ahead:
                return None
            reason = WaitReason("behind", min(ahead)[1], 0, 0)
        self._waiting += 1
        for scope in scopes:
            self._first_waiting.setdefault(scope, (self._waiting, permit.id))
        return reason
