"""Codec of the simulator's protocol: lines to plain values and back.

Malformed input raises MalformedLineError with the number of its line. Times on the wire are whole microseconds.
"""

from collections.abc import Mapping
from typing import TypeVar

from sprucegate.errors import ProtocolError
from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState
from sprucegate.units import MICROSECOND

Choice = TypeVar("Choice")


class MalformedLineError(ProtocolError, ValueError):
    """A line that lacks a field it needs, or holds a value that cannot be read."""


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
CACHE_STATUSES = (  # by the number of the field 'note'
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
# Fields whose text may hold anything up to the end of the line.
TEXT = ("what",)


class Line:
    """One line, split once; fields are read by the type that the caller needs.

    The methods that read a field raise MalformedLineError if it is lacking without a default, or cannot be read.

    :ivar number: its number in the input.
    :ivar name: its first word.
    :ivar fields: its fields as texts.
    """

    __slots__ = ("number", "name", "fields")

    def __init__(self, text: str, number: int) -> None:
        self.number = number
        name_of_line, *parts = text.split("\t")
        self.name = name_of_line
        fields = {}
        for position, part in enumerate(parts):
            name, mark, value = part.partition("=")
            if not mark:
                raise MalformedLineError(
                    f"line {number}: '{name_of_line}' has a part without '=': {part[:60]!r}"
                )
            if name in TEXT:
                fields[name] = "\t".join([value, *parts[position + 1 :]])
                break
            fields[name] = value
        self.fields = fields

    def fault(self, text: str) -> MalformedLineError:
        """The error to raise for this line."""
        return MalformedLineError(f"line {self.number}: '{self.name}' {text}")

    def need(self, name: str) -> str:
        """The text of a field that must be there."""
        try:
            return self.fields[name]
        except KeyError:
            raise self.fault(f"lacks '{name}'") from None

    def _read(self, name, default, reader, what):
        text = self.fields.get(name)
        if text is None:
            if default is None:
                raise self.fault(f"lacks '{name}'")
            return default
        try:
            return reader(text)
        except ValueError:
            raise self.fault(f"has no {what} in '{name}': {text[:60]!r}") from None

    def integer(self, name: str, default: int | None = None) -> int:
        """A whole number."""
        return self._read(name, default, int, "whole number")

    def number_of(self, name: str, default: float | None = None) -> float:
        """A number."""
        return self._read(name, default, float, "number")

    def hexadecimal(self, name: str, default: int | None = None) -> int:
        """A whole number written in hexadecimal."""
        return self._read(name, default, lambda text: int(text, 16), "hex number")

    def time(self, name: str, default: int | None = None) -> int:
        """A time, in nanoseconds."""
        return self._read(name, default, lambda text: int(text) * MICROSECOND, "time")

    def flag(self, name: str) -> bool:
        """A truth value, false if it is lacking."""
        return self._read(name, False, truth, "1 or 0")

    def payload(self, name: str) -> bytes:
        """Bytes written in hexadecimal, "-" for none."""
        text = self.need(name)
        try:
            return b"" if text == "-" else bytes.fromhex(text)
        except ValueError:
            raise self.fault(f"has no bytes in '{name}': {text[:60]!r}") from None

    def choice(self, name: str, table: Mapping[str, Choice]) -> Choice:
        """The value that the table has for the field's text."""
        text = self.need(name)
        if text not in table:
            raise self.fault(f"has an unknown '{name}': {text[:60]!r}")
        return table[text]

    def cache_status(self) -> CacheStatus:
        """How the cache handled the request; a number not known here says nothing."""
        note = self.integer("note", 0)
        return CACHE_STATUSES[note] if 0 <= note < len(CACHE_STATUSES) else CacheStatus.UNKNOWN

    def load(self) -> dict[str, float]:
        """The load report under the names used here; unknown ones are skipped."""
        report = {}
        for pair in filter(None, self.fields.get("report", "").split(",")):
            name, _, value = pair.partition(":")
            if name in LOAD_FIELDS:
                try:
                    report[LOAD_FIELDS[name]] = float(value)
                except ValueError:
                    raise self.fault(f"has no number in its report: {pair[:60]!r}") from None
        return report

    def endpoint(self) -> Endpoint:
        """An entry of the endpoint list."""
        return Endpoint(
            id=self.integer("cache"),
            location=self.integer("campus", 0),
            kind=self.integer("machine", 0),
            cell=self.integer("group", 0),
            state=self.choice("readiness", STATES),
            weight=self.number_of("nominal", 1.0),
            started=self.time("upSince", 0),
        )


def truth(text: str) -> bool:
    """A truth value by its text; ValueError for any other text."""
    if text not in ("1", "0", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def attempt_line(instance: int, request_id: str | None, attempt: SendAttempt) -> str:
    """The line that sends an attempt; a source equal to the cache stands for no fill."""
    switches = (
        attempt.collapse + 2 * attempt.only_if_cached + 4 * attempt.bypass_parent + 8 * attempt.revalidate
    )
    line = (
        f"deliver_via\ti={instance}\ttxn={request_id}\tcache={attempt.cache}\tcap={attempt.timeout // MICROSECOND}"
        f"\tsupplier={attempt.fill_source}\tkeep={attempt.rank}"
    )
    if attempt.max_age:
        line += f"\tcopyAge={max(1, attempt.max_age // MICROSECOND)}"
    return f"{line}\tswitches={switches}" if switches else line
