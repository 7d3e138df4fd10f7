"""How much of an attempt was sent, as transports record it."""

from enum import IntEnum


class Progress(IntEnum):
    """How much of an attempt was sent: it tells 'never executed' from 'may have been executed'.

    :cvar NOT_SENT: nothing
    :cvar PARTIAL: a part
    :cvar COMPLETE: all of it
    """

    NOT_SENT = 0
    PARTIAL = 1
    COMPLETE = 2
