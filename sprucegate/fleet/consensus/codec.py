"""Words of the agreed log to and from bytes: their kinds are numbered here, and they go inside a Routed."""

import msgspec

from sprucegate.errors import ProtocolError
from sprucegate.fleet.consensus import durability_check, log_entry, log_follower, messages
from sprucegate.fleet.consensus.storage import entry_of
from sprucegate.fleet.rollout import commands

_Row = tuple[int, int, str, object]
_Starts = dict[str, tuple[int, int]]
KINDS = (
    None,
    messages.RequestVote,
    messages.RequestVoteResponse,
    messages.AppendEntries,
    messages.AppendEntriesResponse,
    messages.InstallSnapshot,
    messages.TimeoutNow,
    log_follower.Follow,
    log_follower.Entries,
    log_follower.State,
    log_follower.Propose,
    log_follower.Proposed,
    durability_check.StartAnnouncement,
    durability_check.StartConfirmation,
)
NUMBERS = {kind: number for number, kind in enumerate(KINDS) if kind}
SHAPES = {
    messages.RequestVote: tuple[int, int, int, bool, bool],
    messages.RequestVoteResponse: tuple[int, bool, bool],
    messages.AppendEntries: tuple[int, int, int, list[_Row], int, int],
    messages.AppendEntriesResponse: tuple[int, bool, int, int],
    messages.InstallSnapshot: tuple[int, int, int, tuple[list[str], list[str]], bytes, int],
    messages.TimeoutNow: tuple[int],
    log_follower.Follow: tuple[int, int, int, list],
    log_follower.Entries: tuple[int, int, list[tuple[int, object]], int, bool, str],
    log_follower.State: tuple[int, int, object, bool, str],
    log_follower.Propose: tuple[int, list],
    log_follower.Proposed: tuple[int, int, str, str],
    durability_check.StartAnnouncement: tuple[int, int, _Starts],
    durability_check.StartConfirmation: tuple[int, int, bool, bool, _Starts],
}
_encode = msgspec.msgpack.Encoder().encode
_decoders = {kind: msgspec.msgpack.Decoder(shape).decode for kind, shape in SHAPES.items()}


class ConsensusMessageError(ProtocolError):
    """No word of ours; the text says why."""


def packed(message):
    """(number, bytes)."""
    return NUMBERS[type(message)], _encode(tuple(message))


def unpacked(number, data):
    if not 0 < number < len(KINDS):
        raise ConsensusMessageError(f"a word of kind {number}, which is not known here")
    kind = KINDS[number]
    try:
        made = kind(*_decoders[kind](data))
    except msgspec.MsgspecError as fault:
        raise ConsensusMessageError(f"a word that can't be read: {fault}") from None
    if kind is messages.AppendEntries:
        rows = [entry_of(row) for row in made.entries]
        if [row.index for row in rows] != list(
            range(made.prev_log_index + 1, made.prev_log_index + 1 + len(rows))
        ):
            raise ConsensusMessageError("entries with a hole")
        return made._replace(entries=rows)
    if kind is messages.InstallSnapshot:
        return made._replace(configuration=log_entry.ClusterConfiguration(*map(tuple, made.configuration)))
    if kind is log_follower.Propose and (fault := commands.fault(made.command)):
        raise ConsensusMessageError(fault)
    if kind is log_follower.Follow:
        return made._replace(report=commands.report(made.report))
    return made
