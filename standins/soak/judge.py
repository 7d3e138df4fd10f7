"""Whether a soak kept the rules, from the records of servers and clients alone.

Each finding is (rule, text). A front that was killed owes nothing from then to its return, and one that stood still
(SIGSTOP) no answer in that time; every other request that was sent whole is owed its one answer.
"""

from collections import defaultdict
from typing import NamedTuple

SLACK = 0.15  # for this machine, which runs all of it on a few cores
GONE = 0.1  # an attempt that begins so long after its client went
WAIT = 0.15  # by which `max` may be over what the client has left
LATE = 0.5  # an answer so long after its time counts as none
STILL_SENT = 0.6  # seconds after SIGTERM in which what comes on open connections is owed an answer
TOLD = 0.5  # seconds from an event's going out to a front until it has to act by it
ATTEMPTS = 6
NEVER_RAN = ("overload", "missing")


class Window(NamedTuple):
    """`what` ("kill", "stop" or "term") held at a front from `begin` to `end` (monotonic seconds).

    "stall": the clients' own process stood still then, and can't say when an answer came.
    """

    front: int
    what: str
    begin: float
    end: float


def judged(rows, records, windows):
    came, told, events = defaultdict(list), defaultdict(list), {}
    for one in records:
        if one["what"] == "came":
            came[one["id"]].append(one)
        elif one["what"] == "told":
            told[one["front"]].append((one["at"], one["offset"]))
        elif one["what"] == "event":
            events[one["offset"]] = {**one["event"], "made_at": one["at"]}
    found = []
    for row in rows:
        found += _answer(row, windows)
        known = _known(row, told[row.front], windows)
        found += _attempts(row, sorted(came.get(row.id, []), key=lambda one: one["at"]), known, events)
        found += _body(row, known, events)
    return found


def _known(row, told, windows):
    """{offset: when} of what a front was told, in the life of its process that a request met, in the order of offsets.

    What is told while a front's connection to its bus is being ended may not have come: told again, it counts then.
    """
    begun = max(
        (
            one.begin
            for one in windows
            if one.front == row.front and one.what in ("kill", "term") and one.end <= row.sent
        ),
        default=0.0,
    )
    found = {}
    for at, offset in told:
        if at >= begun:
            found[offset] = at
    return found


def _excused(row, windows):
    end = row.sent + row.patience + LATE + SLACK
    for one in windows:
        if one.front == row.front:
            if one.what in ("kill", "stop", "stall") and one.begin <= end and row.sent <= one.end:
                return True
            if one.what == "term" and one.begin + STILL_SENT <= row.sent <= one.end:
                return True
    return False


def _answer(row, windows):
    if row.how in ("left", "crossed", "refused", "unsent", "") or _excused(row, windows):
        return []
    if row.how != "answered":
        return [
            (
                "lost",
                f"{row.id} at front {row.front}: {row.how} after {row.ended - row.sent:.3f} s of "
                f"{row.patience} s",
            )
        ]
    if row.ended - row.sent > row.patience + LATE + SLACK:
        return [("late", f"{row.id} at front {row.front}: {row.ended - row.sent:.3f} s of {row.patience} s")]
    if row.status not in (200, 502, 503):
        return [("status", f"{row.id} at front {row.front}: {row.status}")]
    return []


def _attempts(row, came, told, events):
    found = []
    if len(came) > ATTEMPTS:
        found.append(("attempts", f"{row.id}: {len(came)}"))
    for one in came:
        where = f"{row.id} at {one['server']}"
        if one["deaf"]:
            continue
        left = row.sent + row.patience - one["at"]
        if int(one["fields"]["max"]) / 1000 > left + WAIT + SLACK:
            found.append(("max", f"{where}: {one['fields']['max']} ms, {left:.3f} s left"))
        if row.left is not None and one["at"] > row.left + GONE + SLACK:
            found.append(("after_client_left", f"{where}: {one['at'] - row.left:.3f} s"))
        if row.how == "answered" and one["at"] > row.ended + GONE + SLACK:
            found.append(("after_answer", f"{where}: {one['at'] - row.ended:.3f} s"))
        for name in (one["server"], one["fields"].get("src")):
            if name and _drains(name, one["at"], told, events):
                found.append(
                    (
                        "to_draining",
                        f"{where} from front {row.front}: {name}, sent {row.sent:.3f}, came "
                        f"{one['at']:.3f}",
                    )
                )
    if row.order:
        maybe = [one for one in came[:-1] if one["mode"] not in NEVER_RAN]
        if maybe:
            found.append(("ran_twice", f"{row.id}: {[one['mode'] for one in came]}"))
    return found


def _drains(name, at, told, events):
    """Whether a front was long told that a server drains, and not that it serves again."""
    state, since = "up", 0.0
    for offset in sorted(events):
        for host in events[offset].get("topology", {}).get("hosts", ()):
            if host["host"] == name and offset in told:
                if told[offset] > at:
                    # Written down after it was sent: that a server serves again may be known a moment before.
                    known = host["health"] == "up" and events[offset]["made_at"] <= at
                    return not known and state == "draining" and at > since + TOLD
                state, since = host["health"], told[offset]
            elif host["host"] == name:
                return False  # told of one that it has not heard of: nothing is known here
    return state == "draining" and at > since + TOLD


def _body(row, told, events):
    if row.how != "answered" or row.status != 200 or row.order:
        return []
    try:
        thing, nth, made = row.body.split(b".")[0].split(b" ")
        piece = b"%b %b %b." % (thing, nth, made)
        whole = row.body == piece * (len(row.body) // len(piece))
    except ValueError:
        return [("body", f"{row.id}: {row.body[:60]!r}")]
    if not whole or thing.decode() != row.thing:
        return [("body", f"{row.id}: asked {row.thing}, got {row.body[:60]!r}")]
    for offset, event in events.items():
        ban = event.get("ban")
        if (
            ban
            and ban["tag"] == row.group
            and offset in told
            and told[offset] + TOLD < row.sent
            and (int(made) < ban["ts"] - 50)
        ):
            return [
                ("purged", f"{row.id} at front {row.front}: made {ban['ts'] - int(made)} ms before the purge")
            ]
    return []
