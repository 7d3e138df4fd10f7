"""What fronts say to each other as bytes: checksummed records with msgpack inside. Opens no socket.

A record is [kind, fields ...]; `KINDS` has the numbers, which are of this format. A peer that sends what can't be
read loses its connection: `Unreadable` says why.
"""

from typing import NamedTuple

import msgspec

from sprucegate.errors import ProtocolError
from sprucegate.fleet.failure_detector import messages as membership
from sprucegate.fleet.failure_detector.member import Member
from sprucegate.fleet.replica import replica
from sprucegate.fleet.replica.facts import ReplicatedRecord, SourceState
from sprucegate.routing.events import BeliefGossip, EjectionGossip
from sprucegate.storage import records


class ConsensusFrame(NamedTuple):
    """A word of the agreed log, as `links/agreed` packs it: by members' names."""

    sender: str
    to: str
    number: int
    data: bytes


class ComponentMessage(NamedTuple):
    """For a part of the fleet by its name: what it says is packed by itself, and known to nobody else."""

    part: str
    data: bytes


VERSION = 1
FRAME_MOST = 8 << 20  # bytes: what a fleet has seen, with the gaps of a transfer under way
GREETING_MOST = 1024
# The number of each kind of message on the wire; numbers are never used anew.
KINDS = {
    1: membership.Ping,
    2: membership.Ack,
    3: membership.PingRequest,
    4: membership.Nack,
    5: membership.FullState,
    6: replica.SpreadRecords,
    7: replica.TransferEnd,
    8: replica.DigestAnnouncement,
    9: replica.SeenReport,
    10: replica.CatchUpMark,
    11: replica.RangeDigests,
    12: replica.RangeKeys,
    13: replica.RepairRecords,
    14: replica.EvidenceMessage,
    15: ConsensusFrame,
    16: membership.ConnectionRefused,
    17: ComponentMessage,
}
NUMBERS = {kind: number for number, kind in KINDS.items()}
# The word of each kind in the count of messages that `status` answers.
STATUS_WORDS = {
    membership.Ping: "ping",
    membership.Ack: "ack",
    membership.PingRequest: "pingfor",
    membership.Nack: "nack",
    membership.FullState: "all",
    replica.SpreadRecords: "tell",
    replica.TransferEnd: "done",
    replica.DigestAnnouncement: "held",
    replica.SeenReport: "have",
    replica.CatchUpMark: "mark",
    replica.RangeDigests: "ranges",
    replica.RangeKeys: "keys",
    replica.RepairRecords: "repair",
    replica.EvidenceMessage: "evidence",
    ConsensusFrame: "routed",
    membership.ConnectionRefused: "refused",
    ComponentMessage: "word",
}


class FrameError(ProtocolError):
    """The connection's bytes are no frames of ours; the text says why."""


class Greeting(msgspec.Struct, array_like=True, frozen=True):
    """The first record in both directions. `role` is "front", "operator" for a question from the command line, or
    "look" for nothing but an answer."""

    format: int
    fleet: str
    role: str
    name: str
    address: str
    life: int


class Question(msgspec.Struct, array_like=True, frozen=True):
    """What the command line asks of a front."""

    what: str
    given: list[str]


_Key, _Dot = tuple, tuple[str, int, int]
_Lives = list[tuple[str, int, list[int]]]
SHAPES = {
    membership.Ping: tuple[int, str, int, list[Member]],
    membership.Ack: tuple[int, int, list[Member]],
    membership.PingRequest: tuple[int, str, list[Member]],
    membership.Nack: tuple[int],
    membership.FullState: tuple[list[Member], bool],
    replica.SpreadRecords: tuple[list[ReplicatedRecord], int, int],
    replica.TransferEnd: tuple[int, int, _Lives],
    replica.DigestAnnouncement: tuple[int],
    replica.SeenReport: tuple[_Lives, int, tuple[int, int], int],
    replica.CatchUpMark: tuple[int, _Lives, bool],
    replica.RangeDigests: tuple[list[int]],
    replica.RangeKeys: tuple[list[int], list[tuple[_Key, _Dot, int]], bool],
    replica.RepairRecords: tuple[list[ReplicatedRecord]],
    replica.EvidenceMessage: tuple[int, list[BeliefGossip], list[EjectionGossip]],
    ConsensusFrame: tuple[str, str, int, bytes],
    membership.ConnectionRefused: tuple[str, int],
    ComponentMessage: tuple[str, bytes],
}
_encode = msgspec.msgpack.Encoder().encode
_number = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_decoders = {kind: msgspec.msgpack.Decoder(shape).decode for kind, shape in SHAPES.items()}
_greeting = msgspec.msgpack.Decoder(Greeting).decode
_question = msgspec.msgpack.Decoder(Question).decode
KEYS = {
    replica.INVALIDATION: (str, int),
    replica.SERVER_STATE: (int, int, str, str),
    replica.HELD_LIST: (str,),
}
VALUES = {replica.INVALIDATION: 1, replica.SERVER_STATE: 3, replica.HELD_LIST: 1}


def frame(message):
    """Return a message as the bytes of one checksummed record."""
    return records.record(_encode((NUMBERS[type(message)], tuple(message))))


def greeting(said):
    """Return a Greeting as the bytes of one record."""
    return records.record(_encode(said))


def question(said):
    """Return a Question as the bytes of one record."""
    return records.record(_encode(said))


def message(payload):
    """The message of one record, checked."""
    try:
        number, raw = _number(payload)
        if number not in KINDS:
            raise FrameError(f"a message of kind {number}, which format {VERSION} lacks")
        made = KINDS[number](*_decoders[KINDS[number]](raw))
    except msgspec.MsgspecError as fault:
        raise FrameError(f"a message that can't be read: {fault}") from None
    if isinstance(made, replica.SpreadRecords | replica.RepairRecords):
        for fact in made.facts:
            _checked(fact)
    if isinstance(made, replica.TransferEnd | replica.SeenReport | replica.CatchUpMark):
        for _, _, ends in made.claims if isinstance(made, replica.TransferEnd) else made.lives:
            if len(ends) % 2 or any(a >= b for a, b in zip(ends, ends[1:], strict=False)):
                raise FrameError("counters that are no intervals")
    return made


def greeted(payload):
    """Return the Greeting of one record's payload; raises FrameError."""
    try:
        return _greeting(payload)
    except msgspec.MsgspecError as fault:
        raise FrameError(f"no greeting: {fault}") from None


def asked(payload):
    """Return the Question of one record's payload; raises FrameError."""
    try:
        return _question(payload)
    except msgspec.MsgspecError as fault:
        raise FrameError(f"no question: {fault}") from None


def _checked(fact):
    kind = fact.key[0] if fact.key else None
    shape = KEYS.get(kind)
    if (
        shape is None
        or len(fact.key) != 1 + len(shape)
        or len(fact.dot) != 3
        or not all(type(part) is wanted for part, wanted in zip(fact.key[1:], shape, strict=True))
        or len(fact.value) != VALUES[kind]
        or not all(type(part) is int for part in fact.value)
        or [type(part) for part in fact.dot] != [str, int, int]
        or fact.dot[2] < 1
        or kind == replica.SERVER_STATE
        and fact.value[2] not in list(SourceState)
    ):
        raise FrameError(f"a fact of no known kind: {str(fact.key)[:80]}")


class Reader:
    """Bytes as they come to the payloads of whole records."""

    def __init__(self):
        self.held, self.most = bytearray(), GREETING_MOST

    def feed(self, data):
        """Return the payloads of the records that are whole with these bytes; raises FrameError."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= records.HEAD.size:
            length, _ = records.HEAD.unpack_from(self.held, at)
            if length > self.most:
                raise FrameError(f"a record of {length} bytes, more than {self.most}")
            if len(self.held) - at < records.HEAD.size + length:
                break
            scanned = records.scan(memoryview(self.held)[at : at + records.HEAD.size + length])
            if scanned.fault:
                raise FrameError(scanned.fault)
            found += scanned.records
            at += records.HEAD.size + length
            self.most = FRAME_MOST  # the greeting is short, whatever comes after it need not be
        del self.held[:at]
        return found
