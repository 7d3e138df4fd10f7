"""One maintenance permit: its steps, and the form in which it is stored."""

from enum import IntEnum


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


# The name of a step in answers to commands, in reasons and in operators' answers.
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
OPEN_STEPS = (PermitStep.ASKED, PermitStep.GRANTED, PermitStep.DRAINED, PermitStep.OUT, PermitStep.COLD)
# Steps in which the server counts against the budgets.
COUNTED_STEPS = (PermitStep.GRANTED, PermitStep.DRAINED, PermitStep.OUT, PermitStep.COLD)


class MaintenancePermit:
    """Permission to take one server out of service, from the request to its return.

    :ivar version: the version to install; "" keeps the present one.
    :ivar index: index of the log entry that granted it; the permit with the higher index is the newer one.
    :ivar drained: fronts that reported the server as drained; `warm`: fronts that reported its `start` as warm.
    :ivar renewed: how often the holder has renewed the permit's lease; `overdue`: the lease has expired.
    """

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
        self.id = id
        self.box = box
        self.by = by
        self.why = why
        self.release = release
        self.step = PermitStep(step)
        self.version = version
        self.index = index
        self.drained = list(drained)
        self.warm = list(warm)
        self.start = start
        self.holder = holder
        self.renewed = renewed
        self.overdue = overdue

    # No front is in `drained` or `warm` twice, but some may have left. The lengths are compared first, as this is asked
    # of each open permit at each entry of the log.

    def is_drained_by_all(self, fronts):
        """Whether all of these fronts reported the server as drained."""
        return len(self.drained) >= len(fronts) and fronts <= set(self.drained)

    def is_warm_for_majority(self, fronts):
        """Whether more than half of these fronts reported the present start as warm."""
        return 2 * len(self.warm) > len(fronts) and 2 * len(fronts & set(self.warm)) > len(fronts)

    def to_record(self):
        """Return the values in the order in which they are stored."""
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
