"""Codec of the simulator's line protocol.

Malformed input raises MalformedLineError with its line number. Times on the wire are whole microseconds.
"""

from collections.abc import Mapping
from typing import TypeVar

from sprucegate.errors import ProtocolError
from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState
from sprucegate.units import MICROSECOND

Choice = TypeVar("Choice")


class MalformedLineError(ProtocolError, ValueError):
    """A line without a required field or with a value that can't be parsed."""


OUTCOMES = {
    "Ok": AttemptOutcome.RETURNED,
    "Failed": AttemptOutcome.ERROR,
    "QueueFull": AttemptOutcome.FULL,
    "TimedOut": AttemptOutcome.TIMED_OUT,
    "ConnectError": AttemptOutcome.UNREACHABLE,
    "ResetByPeer": AttemptOutcome.RESET,
    "Canceled": AttemptOutcome.CANCELLED,
    "Ignored": AttemptOutcome.NOT_SENT,
    "Miss": AttemptOutcome.MISS,
}
CACHE_STATUSES = (  # indexed by the value of the field 'note'
    CacheStatus.UNKNOWN,
    CacheStatus.HIT,
    CacheStatus.FILLED,
    CacheStatus.FILLED_BY_ORIGIN,
    CacheStatus.COLLAPSED,
    CacheStatus.STALE_HIT,
    CacheStatus.FILL_SOURCE_REFUSED,
    CacheStatus.FILL_SOURCE_BROKEN,
    CacheStatus.FILL_SOURCE_MISS,
    CacheStatus.FILL_SLOTS_EXHAUSTED,
    CacheStatus.ORIGIN_FAILED,
)
STATES = {"SERVING": EndpointState.SERVING, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
LOAD_FIELDS = {
    "outstanding": "inflight",
    "backlog": "queued",
    "utilization": "busy",
    "recent_ms": "latency_ms",
    "throughput": "per_second",
    "errors_per_s": "errors_per_second",
    "x0": "hit_share",
    "x1": "link_use",
}
# Fields whose value is the rest of the line and may contain tabs.
FREE_TEXT_FIELDS = ("what",)


class Line:
    """One line of input, split into fields that are parsed on access.

    The methods that read a field raise MalformedLineError if its value is malformed, or if it is missing and has
    no default.

    :ivar number: line number in the input.
    :ivar name: message type, which is the first word.
    :ivar fields: field values as text, by name.
    """

    __slots__ = ("number", "name", "fields")

    def __init__(self, text: str, number: int) -> None:
        self.number = number
        line_name, *parts = text.split("\t")
        self.name = line_name
        fields = {}
        for position, part in enumerate(parts):
            name, separator, value = part.partition("=")
            if not separator:
                raise MalformedLineError(
                    f"line {number}: '{line_name}' has a field without '=': {part[:60]!r}"
                )
            if name in FREE_TEXT_FIELDS:
                fields[name] = "\t".join([value, *parts[position + 1 :]])
                break
            fields[name] = value
        self.fields = fields

    def error(self, text: str) -> MalformedLineError:
        """The error to raise for this line."""
        return MalformedLineError(f"line {self.number}: '{self.name}' {text}")

    def required(self, name: str) -> str:
        """The text of a required field."""
        try:
            return self.fields[name]
        except KeyError:
            raise self.error(f"has no field '{name}'") from None

    def _read(self, name, default, parse, expected):
        text = self.fields.get(name)
        if text is None:
            if default is None:
                raise self.error(f"has no field '{name}'")
            return default
        try:
            return parse(text)
        except ValueError:
            raise self.error(f"needs {expected} in '{name}', not {text[:60]!r}") from None

    def integer(self, name: str, default: int | None = None) -> int:
        """An integer."""
        return self._read(name, default, int, "an integer")

    def decimal(self, name: str, default: float | None = None) -> float:
        """A number."""
        return self._read(name, default, float, "a number")

    def hexadecimal(self, name: str, default: int | None = None) -> int:
        """An integer in hexadecimal notation."""
        return self._read(name, default, lambda text: int(text, 16), "a hexadecimal integer")

    def time(self, name: str, default: int | None = None) -> int:
        """A time, converted to nanoseconds."""
        return self._read(name, default, lambda text: int(text) * MICROSECOND, "a time in microseconds")

    def flag(self, name: str) -> bool:
        """A boolean, False if the field is missing."""
        return self._read(name, False, parse_bool, "a flag (0, 1, true or false)")

    def payload(self, name: str) -> bytes:
        """Bytes in hexadecimal notation, "-" for none."""
        text = self.required(name)
        try:
            return b"" if text == "-" else bytes.fromhex(text)
        except ValueError:
            raise self.error(f"needs hexadecimal bytes in '{name}', not {text[:60]!r}") from None

    def choice(self, name: str, table: Mapping[str, Choice]) -> Choice:
        """The value of the table for the field's text."""
        text = self.required(name)
        if text not in table:
            raise self.error(f"has an unknown value in '{name}': {text[:60]!r}")
        return table[text]

    def cache_status(self) -> CacheStatus:
        """How the cache handled the request; UNKNOWN for an undefined code."""
        code = self.integer("note", 0)
        return CACHE_STATUSES[code] if 0 <= code < len(CACHE_STATUSES) else CacheStatus.UNKNOWN

    def load(self) -> dict[str, float]:
        """The load report with its fields renamed as in LOAD_FIELDS; unknown fields are skipped."""
        report = {}
        for pair in filter(None, self.fields.get("report", "").split(",")):
            name, _, value = pair.partition(":")
            if name in LOAD_FIELDS:
                try:
                    report[LOAD_FIELDS[name]] = float(value)
                except ValueError:
                    raise self.error(f"needs a number in its load report, not {pair[:60]!r}") from None
        return report

    def endpoint(self) -> Endpoint:
        """The endpoint list entry."""
        return Endpoint(
            id=self.integer("cache"),
            location=self.integer("campus", 0),
            kind=self.integer("machine", 0),
            cell=self.integer("group", 0),
            state=self.choice("readiness", STATES),
            weight=self.decimal("nominal", 1.0),
            started=self.time("upSince", 0),
        )


def parse_bool(text: str) -> bool:
    """Parse a boolean; raises ValueError for other text."""
    if text not in ("1", "0", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def attempt_line(instance: int, request_id: str | None, attempt: SendAttempt) -> str:
    """Encode a SendAttempt; a fill source equal to the cache forbids a fill."""
    flags = attempt.collapse + 2 * attempt.only_if_cached + 4 * attempt.bypass_parent + 8 * attempt.revalidate
    line = (
        f"deliver_via\ti={instance}\ttxn={request_id}\tcache={attempt.cache}\tcap={attempt.timeout // MICROSECOND}"
        f"\tsupplier={attempt.fill_source}\tkeep={attempt.rank}"
    )
    if attempt.max_age:
        line += f"\tcopyAge={max(1, attempt.max_age // MICROSECOND)}"
    return f"{line}\tswitches={flags}" if flags else line
