"""What disruption budgets count: the servers under management, the budgets, and the load that caches can take."""

from operator import attrgetter
from typing import NamedTuple

# Scopes of a budget, by the words of the operator's file and of stored budgets.
FLEET, LOCATION, KIND, GROUP = "fleet", "location", "kind", "group"
SCOPES = (FLEET, LOCATION, KIND, GROUP)


class ManagedServer(NamedTuple):
    """A cache, a parent or a front. `weight`: its relative share of the load of its kind in its location."""

    name: str
    role: str  # "cache" or "front"
    location: str
    kind: str
    group: str
    weight: int


# A server's value for each scope of a budget.
_SCOPE_VALUES = {
    FLEET: lambda box: "",
    LOCATION: attrgetter("location"),
    KIND: attrgetter("kind"),
    GROUP: attrgetter("group"),
}


class DisruptionBudget(NamedTuple):
    """How many servers may be out at once, and how much of the weight (thousandths).

    It holds for each value of the scope separately (for instance each location), or only for the value `of`.
    `role`: of caches or of fronts; "" for both together.
    """

    scope: str
    of: str
    role: str
    count: int
    share: int

    def applies_to(self, box):
        """Whether the budget counts this server."""
        return self.role in ("", box.role) and (not self.of or self.of == self.scope_value(box))

    def rule_name(self):
        """Return the budget's name in reasons: its scope and its role."""
        return f"{self.scope} {self.role}".strip()

    def scope_value(self, box):
        """Return the server's value of the budget's scope, for instance its location."""
        return _SCOPE_VALUES[self.scope](box)


class CapacityLimits(NamedTuple):
    """Load that caches can take, in thousandths of their usual load.

    `cold_share`: what a cold cache takes, by the settings; `spare`: how much a cache in service may take in
    addition to its own load.
    """

    cold_share: int
    spare: int
