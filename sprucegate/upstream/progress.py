"""How far a forward had come, as transports tell it: what proves that it never ran."""

from enum import IntEnum


class Progress(IntEnum):
    """How far a forward had come: it tells 'never ran' from 'may have run'."""

    NOT_SENT = 0
    PARTLY = 1
    WHOLE = 2
