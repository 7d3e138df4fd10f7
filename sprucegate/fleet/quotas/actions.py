"""Actions that the quotas ask their caller to perform. A `token` is the caller's identifier of one request."""

from collections.abc import Hashable
from typing import NamedTuple

from sprucegate.fleet.quotas.messages import Message


class Send(NamedTuple):
    """Send a message to a front, which may be this one."""

    to: str
    message: Message


class StartFill(NamedTuple):
    """Start the request's fill: it holds a slot of the source until `fill_ended` or `slot_unused` is called."""

    token: Hashable
    source: int


class AbandonWait(NamedTuple):
    """Answer the request now: it can't be filled before its deadline."""

    token: Hashable
    source: int


class LeaseHolderChanged(NamedTuple):
    """This front follows another lease holder, or none (""): then it uses its floors."""

    name: str


Action = Send | StartFill | AbandonWait | LeaseHolderChanged
