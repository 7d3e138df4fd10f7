"""Messages between processes of the fleet as bytes: checksummed records of storage/records with msgpack inside.

A record's payload is [kind, [field, ...]]; `KINDS` has the numbers of the kinds. A peer whose bytes can't be decoded
loses its connection; the FrameError says why. No I/O.
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
    """A message of the replicated log, as consensus/codec encodes it; `sender` and `to` are names of members."""

    sender: str
    to: str
    number: int
    data: bytes


class ComponentMessage(NamedTuple):
    """A message for the fleet component of that name, which alone encodes and decodes `data`."""

    component: str
    data: bytes


VERSION = 1
FRAME_BYTES_MAX = (
    8 << 20
)  # enough for all versions that a fleet has seen, with the gaps of a transfer under way
GREETING_BYTES_MAX = 1024
# The number of each kind of message on the wire; numbers are never reused.
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
# The name of each kind in the counts of messages sent that `fleet status` returns.
STATUS_NAMES = {
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
    """The connection's bytes can't be decoded, or come from another fleet or format; the text says why."""


class Greeting(msgspec.Struct, array_like=True, frozen=True):
    """The first record in both directions.

    `role` is "front", "operator" for a question from the command line, or "look" for a check whether the port answers.
    """

    format: int
    fleet: str
    role: str
    name: str
    address: str
    incarnation: int


class Question(msgspec.Struct, array_like=True, frozen=True):
    """What the command line asks of a process, with its arguments."""

    what: str
    args: list[str]


_Key, _Version = tuple, tuple[str, int, int]
_Seen = list[tuple[str, int, list[int]]]  # as VersionVector.as_ranges returns it
FIELD_TYPES = {
    membership.Ping: tuple[int, str, int, list[Member]],
    membership.Ack: tuple[int, int, list[Member]],
    membership.PingRequest: tuple[int, str, list[Member]],
    membership.Nack: tuple[int],
    membership.FullState: tuple[list[Member], bool],
    replica.SpreadRecords: tuple[list[ReplicatedRecord], int, int],
    replica.TransferEnd: tuple[int, int, _Seen],
    replica.DigestAnnouncement: tuple[int],
    replica.SeenReport: tuple[_Seen, int, tuple[int, int], int],
    replica.CatchUpMark: tuple[int, _Seen, bool],
    replica.RangeDigests: tuple[list[int]],
    replica.RangeKeys: tuple[list[int], list[tuple[_Key, _Version, int]], bool],
    replica.RepairRecords: tuple[list[ReplicatedRecord]],
    replica.EvidenceMessage: tuple[int, list[BeliefGossip], list[EjectionGossip]],
    ConsensusFrame: tuple[str, str, int, bytes],
    membership.ConnectionRefused: tuple[str, int],
    ComponentMessage: tuple[str, bytes],
}
_pack = msgspec.msgpack.Encoder().encode
_unpack_kind = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_unpackers = {kind: msgspec.msgpack.Decoder(types).decode for kind, types in FIELD_TYPES.items()}
_unpack_greeting = msgspec.msgpack.Decoder(Greeting).decode
_unpack_question = msgspec.msgpack.Decoder(Question).decode
# Of each kind of record: the types of its key after the kind, and the length of its value.
KEY_TYPES = {
    replica.INVALIDATION: (str, int),
    replica.SERVER_STATE: (int, int, str, str),
    replica.HELD_LIST: (str,),
}
VALUE_LENGTHS = {replica.INVALIDATION: 1, replica.SERVER_STATE: 3, replica.HELD_LIST: 1}


def encode_message(message):
    """Return a message as the bytes of one checksummed record."""
    return records.record(_pack((NUMBERS[type(message)], tuple(message))))


def encode_greeting(greeting):
    """Return a Greeting as the bytes of one record."""
    return records.record(_pack(greeting))


def encode_question(question):
    """Return a Question as the bytes of one record."""
    return records.record(_pack(question))


def decode_message(payload):
    """Return the message of one record's payload, with its records and versions checked; raises FrameError."""
    try:
        number, raw = _unpack_kind(payload)
        if number not in KINDS:
            raise FrameError(f"a message of kind {number}, which format {VERSION} doesn't define")
        decoded = KINDS[number](*_unpackers[KINDS[number]](raw))
    except msgspec.MsgspecError as fault:
        raise FrameError(f"a message that can't be decoded: {fault}") from None
    if isinstance(decoded, replica.SpreadRecords | replica.RepairRecords):
        for record in decoded.records:
            _check_record(record)
    if isinstance(decoded, replica.TransferEnd | replica.SeenReport | replica.CatchUpMark):
        for _, _, bounds in decoded.claims if isinstance(decoded, replica.TransferEnd) else decoded.seen:
            if len(bounds) % 2 or any(a >= b for a, b in zip(bounds, bounds[1:], strict=False)):
                raise FrameError("versions whose intervals are not in ascending order")
    return decoded


def decode_greeting(payload):
    """Return the Greeting of one record's payload; raises FrameError."""
    try:
        return _unpack_greeting(payload)
    except msgspec.MsgspecError as fault:
        raise FrameError(f"no greeting: {fault}") from None


def decode_question(payload):
    """Return the Question of one record's payload; raises FrameError."""
    try:
        return _unpack_question(payload)
    except msgspec.MsgspecError as fault:
        raise FrameError(f"no question: {fault}") from None


def _check_record(record):
    kind = record.key[0] if record.key else None
    key_types = KEY_TYPES.get(kind)
    if (
        key_types is None
        or len(record.key) != 1 + len(key_types)
        or len(record.version) != 3
        or not all(type(part) is wanted for part, wanted in zip(record.key[1:], key_types, strict=True))
        or len(record.value) != VALUE_LENGTHS[kind]
        or not all(type(part) is int for part in record.value)
        or [type(part) for part in record.version] != [str, int, int]
        or record.version[2] < 1
        or kind == replica.SERVER_STATE
        and record.value[2] not in list(SourceState)
    ):
        raise FrameError(f"a record of no known kind: {str(record.key)[:80]}")


class Reader:
    """Splits a connection's bytes into the payloads of whole records.

    :ivar held: bytes of a record that isn't whole yet
    :ivar max_bytes: the longest payload that is accepted
    """

    def __init__(self):
        self.held = bytearray()
        self.max_bytes = GREETING_BYTES_MAX

    def feed(self, data):
        """Return the payloads of the records that are whole with these bytes; raises FrameError."""
        self.held += data
        found = []
        at = 0
        while len(self.held) - at >= records.HEADER.size:
            length, _ = records.HEADER.unpack_from(self.held, at)
            if length > self.max_bytes:
                raise FrameError(f"a record of {length} bytes, more than {self.max_bytes}")
            if len(self.held) - at < records.HEADER.size + length:
                break
            scanned = records.scan(memoryview(self.held)[at : at + records.HEADER.size + length])
            if scanned.fault:
                raise FrameError(scanned.fault)
            found += scanned.records
            at += records.HEADER.size + length
            self.max_bytes = FRAME_BYTES_MAX  # the smaller bound is only for the greeting, the first record
        del self.held[:at]
        return found
