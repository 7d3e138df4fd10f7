"""Messages on quotas as bytes: a kind number and the fields in order, MessagePack arrays in a component's message."""

from collections.abc import Callable

import msgspec

from sprucegate.fleet.links.codec import FrameError
from sprucegate.fleet.quotas.messages import (
    LeaseGrant,
    LeaseHolderNotice,
    LeaseHolderQuery,
    Message,
    QuotaRequest,
)
from sprucegate.fleet.quotas.settings import QuotaSettings

COUNT_MAX = 1 << 20  # of slots, fills and waiting requests

# By kind number; 0 is not used.
KINDS = (None, QuotaRequest, LeaseGrant, LeaseHolderQuery, LeaseHolderNotice)
KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS) if kind is not None}
DECODERS: dict[int, Callable[[msgspec.Raw], Message]] = {
    number: msgspec.msgpack.Decoder(kind).decode for kind, number in KIND_NUMBERS.items()
}

_decode_envelope: Callable[[bytes], tuple[int, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, msgspec.Raw]
).decode
_encode = msgspec.msgpack.Encoder().encode


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encode((KIND_NUMBERS[type(message)], tuple(message)))


def decode(data: bytes, settings: QuotaSettings) -> Message:
    """Return the message; raises FrameError for what no front of this fleet sends."""
    try:
        kind, fields = _decode_envelope(data)
        if kind not in DECODERS:
            problem = f"a word on shares of kind {kind}, which is not known here"
            raise FrameError(problem)
        message = DECODERS[kind](fields)
    except msgspec.MsgspecError as fault:
        problem = f"a word on shares that can't be read: {fault}"
        raise FrameError(problem) from None
    if isinstance(message, QuotaRequest):
        _check_request(message, settings)
    elif isinstance(message, LeaseGrant):
        _check_grant(message, settings)
    return message


def _check_request(message: QuotaRequest, settings: QuotaSettings) -> None:
    counts = []
    tenants = []
    for row in message.sources:
        counts += [row.using, row.former_lease, row.ended, row.late]
        for tenant, using, waiting in row.tenants:
            tenants.append(tenant)
            counts += [tenant, using, waiting]
    _check_values(counts, tenants, settings)


def _check_grant(message: LeaseGrant, settings: QuotaSettings) -> None:
    counts = []
    tenants = []
    for row in message.sources:
        slots = [one.slots for one in row.tenants]
        if row.spare + sum(slots) > settings.slots.get(row.source, COUNT_MAX):
            problem = f"more places of {row.source:x} lent than there are: its file has other figures"
            raise FrameError(problem)
        counts += [row.spare, *slots]
        tenants += [one.tenant for one in row.tenants]
    _check_values(counts, tenants, settings)


def _check_values(counts: list[int], tenants: list[int], settings: QuotaSettings) -> None:
    possible_counts = all(0 <= count <= COUNT_MAX for count in counts)
    possible_tenants = all(0 <= tenant < len(settings.tenants) for tenant in tenants)
    if not possible_counts or not possible_tenants:
        problem = "a word on shares with tenants or counts that can't be: its file has other figures"
        raise FrameError(problem)
