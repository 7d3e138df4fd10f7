"""Lines of the wire to plain values and back. Malformed input is named, never guessed at."""

from sprucegate.routing.interface import Found, Listed, Outcome, State


class Malformed(ValueError):
    """A line that lacks a field it needs, or holds a value that cannot be read."""


OUTCOMES = {
    "Ok": Outcome.RETURNED,
    "Failed": Outcome.ERROR,
    "QueueFull": Outcome.FULL,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.UNREACHABLE,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.NOT_SENT,
    "Miss": Outcome.MISS,
}
NOTES = (
    Found.UNTOLD,
    Found.HIT,
    Found.FILLED,
    Found.FILLED_BY_ORIGIN,
    Found.JOINED,
    Found.STALE_HIT,
    Found.SOURCE_REFUSED,
    Found.SOURCE_BROKEN,
    Found.SOURCE_LACKS,
    Found.NO_FILL_PLACE,
    Found.ORIGIN_FAILED,
)
STATES = {"SERVING": State.SERVING, "DRAINING": State.DRAINING, "DELETED": State.GONE}
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
                raise Malformed(f"line {number}: '{head}' has a part without '=': {part[:60]!r}")
            if name in TEXT:
                fields[name] = "\t".join([value, *parts[at + 1 :]])
                break
            fields[name] = value
        self.fields = fields

    def fault(self, text):
        return Malformed(f"line {self.number}: '{self.name}' {text}")

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
        return NOTES[note] if 0 <= note < len(NOTES) else Found.UNTOLD

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
        return Listed(
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
    switches = forward.join + 2 * forward.held_only + 4 * forward.pass_parent + 8 * forward.renew
    line = (
        f"deliver_via\ti={instance}\ttxn={get_id}\tcache={forward.cache}\tcap={forward.timeout // 1000}"
        f"\tsupplier={forward.source}\tkeep={forward.rank}"
    )
    if forward.oldest:
        line += f"\tcopyAge={max(1, forward.oldest // 1000)}"
    return f"{line}\tswitches={switches}" if switches else line
