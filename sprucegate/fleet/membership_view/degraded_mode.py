"""Which actions are allowed towards a front in each health state, and to this front in each of its own states.

Fronts may have different views at the same time and each acts by its own, so a row lists the states in which the action
is the safer choice. No other module of the fleet derives actions from health states.
"""

from enum import Enum, auto

from sprucegate.fleet.membership_view.health_state import FleetState, HealthState

LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING, LEAVING, GONE, OTHER_BUILD = HealthState


class PeerAction(Enum):
    """An action of this front towards another front.

    AWAIT_DRAIN_CONFIRMATION, GRANT_SLOTS, COUNT_GRANTED_SLOTS and RESERVE_MINIMUM document what the consensus log and
    the quotas do by their own leases; no code queries them here.
    """

    SEND_UPDATES = auto()  # send it invalidations, drains and removals at once
    USE_GOSSIP = auto()  # use its gossip on caches and ejections
    LIST_FOR_MAINTENANCE = auto()  # list it among the fronts that a maintenance permit may take out
    AWAIT_DRAIN_CONFIRMATION = auto()  # wait until it confirms a drain
    GRANT_SLOTS = auto()  # grant it further slots
    COUNT_GRANTED_SLOTS = auto()  # count the slots granted to it as in use until their lease ends
    RESERVE_MINIMUM = auto()  # reserve its minimum of slots
    LEASE_HOLDER = auto()  # accept it as lease holder of a source's slots


# The safe choice is: to send (superfluous invalidations are harmless); not to use gossip, list, or grant; to wait (only
# the consensus log removes a front, after its lease); to count granted slots and minimums; and to keep the lease
# holder (each change leaves slots idle for the length of a lease). A leaving front needs no updates but holds its
# slots until it ends.
ALLOWED_BY_HEALTH = {
    PeerAction.SEND_UPDATES: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.USE_GOSSIP: {LIVE, CUT_OFF},
    PeerAction.LIST_FOR_MAINTENANCE: {LIVE, SUSPECT, ONE_WAY, CUT_OFF, FLAPPING},
    PeerAction.AWAIT_DRAIN_CONFIRMATION: set(HealthState),
    PeerAction.GRANT_SLOTS: {LIVE, CUT_OFF},
    PeerAction.COUNT_GRANTED_SLOTS: set(HealthState),
    PeerAction.RESERVE_MINIMUM: set(HealthState),
    PeerAction.LEASE_HOLDER: {LIVE, SUSPECT},
}


class OwnAction(Enum):
    """An action of this front by its own state; SEND_UPDATES is listed for completeness, no code queries it."""

    SEND_UPDATES = auto()  # send on the invalidations and drains that it receives
    USE_GOSSIP = auto()  # use other fronts' gossip
    REPORT_SERVERS = auto()  # state for all fronts which endpoints there are, when it is its turn
    GRANT_SLOTS = auto()  # grant slots as lease holder
    BORROW = auto()  # use leased slots beyond its minimum
    USE_MINIMUM = auto()  # use its minimum of slots


# After a stall a lease may have expired unnoticed; a returning front knows too little to state the endpoints for all; a
# front that is alone has nobody to borrow from and uses its minimum.
ALLOWED_BY_FLEET = {
    OwnAction.SEND_UPDATES: set(FleetState),
    OwnAction.USE_GOSSIP: {FleetState.WHOLE, FleetState.PARTIAL, FleetState.RETURNING},
    OwnAction.REPORT_SERVERS: {FleetState.WHOLE, FleetState.PARTIAL, FleetState.ALONE},
    OwnAction.GRANT_SLOTS: {FleetState.WHOLE, FleetState.PARTIAL},
    OwnAction.BORROW: {FleetState.WHOLE, FleetState.PARTIAL},
    OwnAction.USE_MINIMUM: {FleetState.WHOLE, FleetState.PARTIAL, FleetState.ALONE},
}


def allows(action: PeerAction, health: HealthState) -> bool:
    """Tell whether the action is allowed towards a front in that health state."""
    return health in ALLOWED_BY_HEALTH[action]


def allows_own(action: OwnAction, state: FleetState) -> bool:
    """Tell whether this front may perform the action in that state."""
    return state in ALLOWED_BY_FLEET[action]
