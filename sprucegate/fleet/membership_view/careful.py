"""The one table: what is done with a front in each standing, and what this front does in each of its own states.

While fronts disagree each acts by its own view; a row is chosen so that the more careful of two readings holds. Nothing
else in `fleet/` works out from a standing what to do.
"""

from enum import Enum, auto

from sprucegate.fleet.membership_view.standing import HealthState

LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING, LEAVING, GONE, OTHER_BUILD = HealthState


class FleetState(Enum):
    """How this front stands in its fleet."""

    WHOLE = "whole"
    PART = "part"
    ALONE = "alone"
    STOOD_STILL = "stood still"
    RETURNING = "returning"


class PeerAction(Enum):
    TELL = auto()  # purges, drains and removals go to it at once
    BELIEVE = auto()  # its evidence (beliefs, rests) is taken
    LISTED = auto()  # it is one of the fronts that a permit may take out
    AWAITED = auto()  # its word on a drain is waited for
    LEND = auto()  # places are lent to it anew
    HOLDS = auto()  # what it was lent counts as in use until it is over
    COUNTED = auto()  # it has a floor of places
    LENDS = auto()  # it may be steward of a source's places


# More careful is: to tell (a purge too many does nothing), not to believe, to list, to await (the log alone counts one
# out, after its lease), not to lend, to count what was lent, to count a floor, and for a steward to stay: each change
# leaves places idle for a lease. One that goes needs nothing any more, but what it holds it holds to its end.
IN_STANDING = {
    PeerAction.TELL: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.BELIEVE: {LIVE, CUT_OFF},
    PeerAction.LISTED: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.AWAITED: set(HealthState),
    PeerAction.LEND: {LIVE, CUT_OFF},
    PeerAction.HOLDS: set(HealthState),
    PeerAction.COUNTED: set(HealthState),
    PeerAction.LENDS: {LIVE, SUSPECT},
}


class OwnAction(Enum):
    TELL = auto()  # what it hears of purges and drains goes out
    BELIEVE = auto()  # evidence of others is taken
    SPEAK = auto()  # it says for all which boxes there are, where that is its turn
    LEND = auto()  # it lends places as steward
    BORROW = auto()  # it goes by leases beyond its floor
    FLOOR = auto()  # it goes by its floor


# One that stood still goes by nothing that may be over until it has looked again; one that returns knows too little
# to speak for all; one that is alone has nobody to ask, and its floor.
IN_STATE = {
    OwnAction.TELL: set(FleetState),
    OwnAction.BELIEVE: {FleetState.WHOLE, FleetState.PART, FleetState.RETURNING},
    OwnAction.SPEAK: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
    OwnAction.LEND: {FleetState.WHOLE, FleetState.PART},
    OwnAction.BORROW: {FleetState.WHOLE, FleetState.PART},
    OwnAction.FLOOR: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
}


def allows(action, standing):
    return standing in IN_STANDING[action]


def allows_own(action, state):
    return state in IN_STATE[action]
