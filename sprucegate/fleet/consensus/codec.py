"""Words of the agreed log to and from bytes: their kinds are numbered here, and they go inside a Routed."""

import msgspec

from sprucegate.errors import ProtocolError
from sprucegate.fleet.consensus import durability_check, log_follower, raft_node
from sprucegate.fleet.consensus.storage import entry_of
from sprucegate.fleet.rollout import commands

_Row = tuple[int, int, str, object]
_Starts = dict[str, tuple[int, int]]
KINDS = (
    None,
    raft_node.Vote,
    raft_node.VoteAnswer,
    raft_node.Append,
    raft_node.AppendAnswer,
    raft_node.Whole,
    raft_node.Stand,
    log_follower.Follow,
    log_follower.Entries,
    log_follower.State,
    log_follower.Propose,
    log_follower.Proposed,
    durability_check.Begins,
    durability_check.Begun,
)
NUMBERS = {kind: number for number, kind in enumerate(KINDS) if kind}
SHAPES = {
    raft_node.Vote: tuple[int, int, int, bool, bool],
    raft_node.VoteAnswer: tuple[int, bool, bool],
    raft_node.Append: tuple[int, int, int, list[_Row], int, int],
    raft_node.AppendAnswer: tuple[int, bool, int, int],
    raft_node.Whole: tuple[int, int, int, tuple[list[str], list[str]], bytes, int],
    raft_node.Stand: tuple[int],
    log_follower.Follow: tuple[int, int, int, list],
    log_follower.Entries: tuple[int, int, list[tuple[int, object]], int, bool, str],
    log_follower.State: tuple[int, int, object, bool, str],
    log_follower.Propose: tuple[int, list],
    log_follower.Proposed: tuple[int, int, str, str],
    durability_check.Begins: tuple[int, int, _Starts],
    durability_check.Begun: tuple[int, int, bool, bool, _Starts],
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
    if kind is raft_node.Append:
        rows = [entry_of(row) for row in made.entries]
        if [row.index for row in rows] != list(range(made.before + 1, made.before + 1 + len(rows))):
            raise ConsensusMessageError("entries with a hole")
        return made._replace(entries=rows)
    if kind is raft_node.Whole:
        return made._replace(config=raft_node.Config(*map(tuple, made.config)))
    if kind is log_follower.Propose and (fault := commands.fault(made.command)):
        raise ConsensusMessageError(fault)
    if kind is log_follower.Follow:
        return made._replace(report=commands.report(made.report))
    return made
