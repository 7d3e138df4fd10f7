"""What the quotas ask their caller to do. A `token` is the caller's own name for one waiting request."""

from collections.abc import Hashable
from typing import NamedTuple

from sprucegate.fleet.quotas.messages import Message


class Send(NamedTuple):
    """Send a message to the front of that name, which may be this one."""

    to: str
    message: Message


class StartFill(NamedTuple):
    """Start the request's fill: it has a slot of the source until `fill_ended` or `slot_unused` is called."""

    token: Hashable
    source: int


class AbandonWait(NamedTuple):
    """Answer the request now: it can't be filled before its deadline."""

    token: Hashable
    source: int


class LeaseHolderChanged(NamedTuple):
    """This front follows another lease holder; "": none, so that it uses its floors."""

    name: str


Action = Send | StartFill | AbandonWait | LeaseHolderChanged
