"""Words of the agreed log to and from bytes: their kinds are numbered here, and they go inside a Routed."""

import msgspec

from sprucegate.fleet.agreement import fitness, following, keeper
from sprucegate.fleet.ledger import entry_of
from sprucegate.fleet.rollout import commands

_Row = tuple[int, int, str, object]
_Starts = dict[str, tuple[int, int]]
KINDS = (
    None,
    keeper.Vote,
    keeper.VoteAnswer,
    keeper.Append,
    keeper.AppendAnswer,
    keeper.Whole,
    keeper.Stand,
    following.Follow,
    following.Entries,
    following.State,
    following.Propose,
    following.Proposed,
    fitness.Begins,
    fitness.Begun,
)
NUMBERS = {kind: number for number, kind in enumerate(KINDS) if kind}
SHAPES = {
    keeper.Vote: tuple[int, int, int, bool, bool],
    keeper.VoteAnswer: tuple[int, bool, bool],
    keeper.Append: tuple[int, int, int, list[_Row], int, int],
    keeper.AppendAnswer: tuple[int, bool, int, int],
    keeper.Whole: tuple[int, int, int, tuple[list[str], list[str]], bytes, int],
    keeper.Stand: tuple[int],
    following.Follow: tuple[int, int, int, list],
    following.Entries: tuple[int, int, list[tuple[int, object]], int, bool, str],
    following.State: tuple[int, int, object, bool, str],
    following.Propose: tuple[int, list],
    following.Proposed: tuple[int, int, str, str],
    fitness.Begins: tuple[int, int, _Starts],
    fitness.Begun: tuple[int, int, bool, bool, _Starts],
}
_encode = msgspec.msgpack.Encoder().encode
_decoders = {kind: msgspec.msgpack.Decoder(shape).decode for kind, shape in SHAPES.items()}


class Unreadable(Exception):
    """No word of ours; the text says why."""


def packed(message):
    """(number, bytes)."""
    return NUMBERS[type(message)], _encode(tuple(message))


def unpacked(number, data):
    if not 0 < number < len(KINDS):
        raise Unreadable(f"a word of kind {number}, which is not known here")
    kind = KINDS[number]
    try:
        made = kind(*_decoders[kind](data))
    except msgspec.MsgspecError as fault:
        raise Unreadable(f"a word that can't be read: {fault}") from None
    if kind is keeper.Append:
        rows = [entry_of(row) for row in made.entries]
        if [row.index for row in rows] != list(range(made.before + 1, made.before + 1 + len(rows))):
            raise Unreadable("entries with a hole")
        return made._replace(entries=rows)
    if kind is keeper.Whole:
        return made._replace(config=keeper.Config(*map(tuple, made.config)))
    if kind is following.Propose and (fault := commands.fault(made.command)):
        raise Unreadable(fault)
    if kind is following.Follow:
        return made._replace(report=commands.report(made.report))
    return made
