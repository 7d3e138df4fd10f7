"""The encoding of quota messages: a kind number and the fields in order, as MessagePack arrays."""

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
    """Return the message; raises FrameError for one that no front of this fleet may send."""
    try:
        kind, fields = _decode_envelope(data)
        if kind not in DECODERS:
            problem = f"quota message of unknown kind {kind}"
            raise FrameError(problem)
        message = DECODERS[kind](fields)
    except msgspec.MsgspecError as error:
        problem = f"malformed quota message: {error}"
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
            problem = f"grant of more slots than source {row.source:x} has: the operators' files differ"
            raise FrameError(problem)
        counts += [row.spare, *slots]
        tenants += [one.tenant for one in row.tenants]
    _check_values(counts, tenants, settings)


def _check_values(counts: list[int], tenants: list[int], settings: QuotaSettings) -> None:
    valid_counts = all(0 <= count <= COUNT_MAX for count in counts)
    valid_tenants = all(0 <= tenant < len(settings.tenants) for tenant in tenants)
    if not valid_counts or not valid_tenants:
        problem = "quota message with impossible tenants or counts: the operators' files differ"
        raise FrameError(problem)
