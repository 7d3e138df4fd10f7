"""Which actions are allowed towards a front in each health state, and to this front in each of its own states.

Fronts may have different views at the same time and each acts by its own, so a row lists the states in which the action
is the safer choice. No other module of the fleet derives actions from health states.
"""

from enum import Enum, auto

from sprucegate.fleet.membership_view.health_state import FleetState, HealthState

LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING, LEAVING, GONE, OTHER_BUILD = HealthState


class PeerAction(Enum):
    """An action of this front towards another front.

    AWAITED, LEND, HOLDS and COUNTED document what the consensus log and the quotas do by their own leases; no code
    queries them here.
    """

    TELL = auto()  # send it invalidations, drains and removals at once
    BELIEVE = auto()  # use its gossip on caches and ejections
    LISTED = auto()  # list it among the fronts that a maintenance permit may take out
    AWAITED = auto()  # wait until it confirms a drain
    LEND = auto()  # grant it further slots
    HOLDS = auto()  # count the slots granted to it as in use until their lease ends
    COUNTED = auto()  # reserve its minimum of slots
    LEASE_HOLDER = auto()  # accept it as lease holder of a source's slots


# The safe choice is: to send (superfluous invalidations are harmless); not to use gossip, list, or grant; to wait (only
# the consensus log removes a front, after its lease); to count granted slots and minimums; and to keep the lease
# holder (each change leaves slots idle for the length of a lease). A leaving front needs no updates but holds its
# slots until it ends.
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
    """An action of this front that depends on its own state; TELL is listed for completeness, no code queries it."""

    TELL = auto()  # send on the invalidations and drains that it receives
    BELIEVE = auto()  # use other fronts' gossip
    SPEAK = auto()  # state for all fronts which endpoints there are, when it is its turn
    LEND = auto()  # grant slots as lease holder
    BORROW = auto()  # use leased slots beyond its minimum
    FLOOR = auto()  # use its minimum of slots


# After a stall a lease may have expired unnoticed; a returning front knows too little to state the endpoints for all; a
# front that is alone has nobody to borrow from and uses its minimum.
ALLOWED_BY_FLEET = {
    OwnAction.TELL: set(FleetState),
    OwnAction.BELIEVE: {FleetState.WHOLE, FleetState.PART, FleetState.RETURNING},
    OwnAction.SPEAK: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
    OwnAction.LEND: {FleetState.WHOLE, FleetState.PART},
    OwnAction.BORROW: {FleetState.WHOLE, FleetState.PART},
    OwnAction.FLOOR: {FleetState.WHOLE, FleetState.PART, FleetState.ALONE},
}


def allows(action: PeerAction, health: HealthState) -> bool:
    """Tell whether the action is allowed towards a front in that health state."""
    return health in ALLOWED_BY_HEALTH[action]


def allows_own(action: OwnAction, state: FleetState) -> bool:
    """Tell whether this front may perform the action in that state."""
    return state in ALLOWED_BY_FLEET[action]
