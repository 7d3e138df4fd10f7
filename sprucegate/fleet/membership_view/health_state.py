"""Health states of other fronts and the state of this front in its fleet."""

from enum import Enum, IntEnum

from sprucegate.fleet.failure_detector.member import MemberState


class HealthState(IntEnum):
    """Health of another front, from all that is known of it.

    :cvar LIVE: it answers
    :cvar SUSPECT: it is suspected, or has not been alive for long enough since
    :cvar ONE_WAY: its frames arrive though it is suspected or dead: it probably receives nothing
    :cvar CUT_OFF: only other fronts reach it, or it isn't among the fronts of the consensus log
    :cvar FLAPPING: it was lost too often recently
    :cvar LEAVING: it announced that it leaves
    :cvar GONE: it is dead
    :cvar OTHER_BUILD: it speaks another version of the protocol
    """

    LIVE = 0
    SUSPECT = 1
    ONE_WAY = 2
    CUT_OFF = 3
    FLAPPING = 4
    LEAVING = 5
    GONE = 6
    OTHER_BUILD = 7


# The words in log lines; answers to the command line have "-" in place of "_".
HEALTH_STATE_LOG_WORDS = {
    HealthState.LIVE: "live",
    HealthState.SUSPECT: "suspect",
    HealthState.ONE_WAY: "one_way",
    HealthState.CUT_OFF: "cut_off",
    HealthState.FLAPPING: "flapping",
    HealthState.LEAVING: "leaving",
    HealthState.GONE: "gone",
    HealthState.OTHER_BUILD: "other_build",
}
HEALTH_STATE_WORDS = {state: word.replace("_", "-") for state, word in HEALTH_STATE_LOG_WORDS.items()}

HEALTH_STATE_OF_MEMBER = {
    MemberState.ALIVE: HealthState.LIVE,
    MemberState.SUSPECT: HealthState.SUSPECT,
    MemberState.DEAD: HealthState.GONE,
    MemberState.LEFT: HealthState.LEAVING,
}


class FleetState(Enum):
    """The state of this front in its fleet; the values are the words in log lines and answers.

    :cvar WHOLE: all fronts are reachable
    :cvar PARTIAL: some are
    :cvar ALONE: none of the others is
    :cvar STALLED: this process stalled and may not have read all that arrived meanwhile
    :cvar RETURNING: this front has not yet caught up with the replicated records
    """

    WHOLE = "whole"
    PARTIAL = "part"
    ALONE = "alone"
    STALLED = "stood still"
    RETURNING = "returning"
