"""Encodes and decodes messages of the replicated log. A ConsensusFrame carries the bytes and the kind's number.

A kind's number and the order of a message's fields are fixed. The number of a retired kind is never reused.
"""

from typing import NamedTuple

import msgspec

from sprucegate.errors import ProtocolError
from sprucegate.fleet.consensus import durability_check, follow_messages, messages
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration
from sprucegate.fleet.consensus.storage import entry_of
from sprucegate.fleet.rollout import commands

_Row = tuple[int, int, str, object]
_Starts = dict[str, tuple[int, int]]


class MessageKind(NamedTuple):
    """A message's class, and the types of its fields on the wire."""

    message: type
    fields: object


KIND_BY_NUMBER = {
    1: MessageKind(messages.RequestVote, tuple[int, int, int, bool, bool]),
    2: MessageKind(messages.RequestVoteResponse, tuple[int, bool, bool]),
    3: MessageKind(messages.AppendEntries, tuple[int, int, int, list[_Row], int, int]),
    4: MessageKind(messages.AppendEntriesResponse, tuple[int, bool, int, int]),
    5: MessageKind(messages.InstallSnapshot, tuple[int, int, int, tuple[list[str], list[str]], bytes, int]),
    6: MessageKind(messages.TimeoutNow, tuple[int]),
    7: MessageKind(follow_messages.FollowRequest, tuple[int, int, int, list]),
    8: MessageKind(
        follow_messages.EntriesResponse, tuple[int, int, list[tuple[int, object]], int, bool, str]
    ),
    9: MessageKind(follow_messages.StateResponse, tuple[int, int, object, bool, str]),
    10: MessageKind(follow_messages.ProposeRequest, tuple[int, list]),
    11: MessageKind(follow_messages.ProposeResponse, tuple[int, int, str, str]),
    12: MessageKind(durability_check.StartAnnouncement, tuple[int, int, _Starts]),
    13: MessageKind(durability_check.StartConfirmation, tuple[int, int, bool, bool, _Starts]),
}
_NUMBER_BY_CLASS = {kind.message: number for number, kind in KIND_BY_NUMBER.items()}
_encode = msgspec.msgpack.Encoder().encode
_decoders = {number: msgspec.msgpack.Decoder(kind.fields).decode for number, kind in KIND_BY_NUMBER.items()}


class ConsensusMessageError(ProtocolError):
    """The bytes are not a valid message of the log; the text says why."""


def encode(message):
    """Return (the kind's number, the encoded message)."""
    return _NUMBER_BY_CLASS[type(message)], _encode(tuple(message))


def decode(number, data):
    """Return the message. Raises ConsensusMessageError if its kind is unknown or its content is invalid."""
    if number not in KIND_BY_NUMBER:
        text = f"consensus message of unknown kind {number}"
        raise ConsensusMessageError(text)
    kind = KIND_BY_NUMBER[number].message
    try:
        message = kind(*_decoders[number](data))
    except msgspec.MsgspecError as fault:
        text = f"consensus message can't be decoded: {fault}"
        raise ConsensusMessageError(text) from None
    check = _CHECKS.get(kind)
    return message if check is None else check(message)


def _check_append_entries(message):
    entries = [entry_of(row) for row in message.entries]
    first = message.prev_log_index + 1
    if [entry.index for entry in entries] != list(range(first, first + len(entries))):
        text = f"entries after index {message.prev_log_index} are not consecutive"
        raise ConsensusMessageError(text)
    return message._replace(entries=entries)


def _check_install_snapshot(message):
    return message._replace(configuration=ClusterConfiguration(*map(tuple, message.configuration)))


def _check_propose_request(message):
    if fault := commands.validation_error(message.command):
        raise ConsensusMessageError(fault)
    return message


def _check_follow_request(message):
    return message._replace(report=commands.parse_report(message.report))


_CHECKS = {
    messages.AppendEntries: _check_append_entries,
    messages.InstallSnapshot: _check_install_snapshot,
    follow_messages.ProposeRequest: _check_propose_request,
    follow_messages.FollowRequest: _check_follow_request,
}
