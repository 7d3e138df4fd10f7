"""What is done with a front in each health state, and what this front does in each of its own states.

Fronts may have different views at one time and each acts by its own, so a row lists the states in which the action is
the safer choice. No other module of the fleet derives actions from health states.
"""

from enum import Enum, auto

from sprucegate.fleet.membership_view.health_state import FleetState, HealthState

LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING, LEAVING, GONE, OTHER_BUILD = HealthState


class PeerAction(Enum):
    """What this front may do with regard to another front.

    AWAITED, LEND, HOLDS and COUNTED state what the replicated log and the quotas do by their own leases; no code
    asks for them here.
    """

    TELL = auto()  # send it invalidations, drains and removals at once
    BELIEVE = auto()  # take its gossip on caches and ejections
    LISTED = auto()  # count it among the fronts that a maintenance permit may take out
    AWAITED = auto()  # wait until it confirms a drain
    LEND = auto()  # grant it slots anew
    HOLDS = auto()  # count the slots granted to it as in use until their lease ends
    COUNTED = auto()  # reserve its minimum of slots
    LEASE_HOLDER = auto()  # accept it as lease holder of a source's slots


# The safer choice is: to send (a superfluous invalidation is harmless); not to believe, list, or grant; to wait (the
# consensus log alone counts a front out, after its lease); to count granted slots and minimums; and to keep the lease
# holder (each change leaves slots idle for a lease). A leaving front needs nothing more but holds its slots to the end.
ALLOWED_BY_HEALTH = {
    PeerAction.TELL: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.BELIEVE: {LIVE, CUT_OFF},
    PeerAction.LISTED: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.AWAITED: set(HealthState),
    PeerAction.LEND: {LIVE, CUT_OFF},
    PeerAction.HOLDS: set(HealthState),
    PeerAction.COUNTED: set(HealthState),
    PeerAction.LEASE_HOLDER: {LIVE, SUSPECT},
}


class OwnAction(Enum):
    """What this front may do by its own state; TELL is stated for completeness, no code asks for it."""

    TELL = auto()  # send the invalidations and drains that it receives
    BELIEVE = auto()  # take other fronts' gossip
    SPEAK = auto()  # state for all fronts which endpoints there are, when it is its turn
    LEND = auto()  # grant slots as lease holder
    BORROW = auto()  # use leased slots beyond its minimum
    FLOOR = auto()  # use its minimum of slots


# After a stall a lease may be over unseen; a returning front knows too little to speak for all; a front that is alone
# can ask nobody and uses its minimum.
ALLOWED_BY_FLEET = {
    OwnAction.TELL: set(FleetState),
    OwnAction.BELIEVE: {FleetState.WHOLE, FleetState.PART, FleetState.RETURNING},
    OwnAction.SPEAK: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
    OwnAction.LEND: {FleetState.WHOLE, FleetState.PART},
    OwnAction.BORROW: {FleetState.WHOLE, FleetState.PART},
    OwnAction.FLOOR: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
}


def allows(action: PeerAction, health: HealthState) -> bool:
    """Tell whether the action is allowed with regard to a front of that health."""
    return health in ALLOWED_BY_HEALTH[action]


def allows_own(action: OwnAction, state: FleetState) -> bool:
    """Tell whether this front may do the action in that state."""
    return state in ALLOWED_BY_FLEET[action]
