"""Lines of the wire to plain values and back. Malformed input is named, never guessed at."""

from sprucegate.errors import ProtocolError
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Endpoint, EndpointState


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
NOTES = (
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
LOADS = {
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
    """One line, split once; fields are read by the type the caller needs."""

    __slots__ = ("number", "name", "fields")

    def __init__(self, text, number):
        self.number = number
        head, *parts = text.split("\t")
        self.name = head
        fields = {}
        for at, part in enumerate(parts):
            name, mark, value = part.partition("=")
            if not mark:
                raise MalformedLineError(f"line {number}: '{head}' has a part without '=': {part[:60]!r}")
            if name in TEXT:
                fields[name] = "\t".join([value, *parts[at + 1 :]])
                break
            fields[name] = value
        self.fields = fields

    def fault(self, text):
        return MalformedLineError(f"line {self.number}: '{self.name}' {text}")

    def need(self, name):
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

    def integer(self, name, default=None):
        return self._read(name, default, int, "whole number")

    def number_of(self, name, default=None):
        return self._read(name, default, float, "number")

    def hexadecimal(self, name, default=None):
        return self._read(name, default, lambda text: int(text, 16), "hex number")

    def time(self, name, default=None):
        return self._read(name, default, lambda text: int(text) * 1000, "time")

    def flag(self, name):
        return self._read(name, False, truth, "1 or 0")

    def payload(self, name):
        text = self.need(name)
        try:
            return b"" if text == "-" else bytes.fromhex(text)
        except ValueError:
            raise self.fault(f"has no bytes in '{name}': {text[:60]!r}") from None

    def choice(self, name, table):
        text = self.need(name)
        if text not in table:
            raise self.fault(f"has an unknown '{name}': {text[:60]!r}")
        return table[text]

    def found(self):
        note = self.integer("note", 0)
        return NOTES[note] if 0 <= note < len(NOTES) else CacheStatus.UNKNOWN

    def load(self):
        """The load report in our names; values under names that are not known are skipped."""
        report = {}
        for pair in filter(None, self.fields.get("report", "").split(",")):
            name, _, value = pair.partition(":")
            if name in LOADS:
                try:
                    report[LOADS[name]] = float(value)
                except ValueError:
                    raise self.fault(f"has no number in its report: {pair[:60]!r}") from None
        return report

    def listed(self):
        return Endpoint(
            id=self.integer("cache"),
            location=self.integer("campus", 0),
            kind=self.integer("machine", 0),
            cell=self.integer("group", 0),
            state=self.choice("readiness", STATES),
            weight=self.number_of("nominal", 1.0),
            started=self.time("upSince", 0),
        )


def truth(text):
    if text not in ("1", "0", "true", "false"):
        raise ValueError(text)
    return text in ("1", "true")


def forward_line(instance, get_id, forward):
    """`deliver_via` says all that `deliver` does; a source equal to the cache is its 'no fill'."""
    switches = (
        forward.collapse + 2 * forward.only_if_cached + 4 * forward.bypass_parent + 8 * forward.revalidate
    )
    line = (
        f"deliver_via\ti={instance}\ttxn={get_id}\tcache={forward.cache}\tcap={forward.timeout // 1000}"
        f"\tsupplier={forward.fill_source}\tkeep={forward.rank}"
    )
    if forward.max_age:
        line += f"\tcopyAge={max(1, forward.max_age // 1000)}"
    return f"{line}\tswitches={switches}" if switches else line
