"""Check a soak against the rules, only from the records of servers and clients.

Each finding is (rule, text). A request need not be answered while its front is killed and not yet back, or stopped by
SIGSTOP; every other request that was sent whole must get exactly one answer, also on an open connection after SIGTERM.
"""

import math
from collections import defaultdict
from typing import NamedTuple

SLACK_S = 0.15  # for a machine that runs the whole soak on a few cores
CLIENT_LEFT_S = 0.1  # an attempt that begins later than this after its client left is a finding
MAX_EXCESS_S = 0.15  # by which an attempt's `max` may exceed the time that its client has left
LATE_S = 0.5  # an answer later than this after the client's time-out is a finding
EVENT_DELAY_S = 0.5  # from sending an event to a front until the front has to apply it
EVENT_DELIVERY_S = 7.0  # a front has to apply a purge that is as old, whether it was sent to it or not
ATTEMPTS_MAX = 6
NEVER_RAN = ("overload", "missing")


class Window(NamedTuple):
    """A fault `what` ("kill", "stop" or "term") of a front lasted from `begin` to `end` (monotonic seconds).

    "stall": the clients' own process was blocked, so the times of their answers are unknown.
    """

    front: int
    what: str
    begin: float
    end: float


def find_violations(rows, records, windows):
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
        found += _check_answer(row, windows)
        known = _known_events(row, told[row.front], windows)
        found += _check_attempts(row, sorted(came.get(row.id, []), key=lambda one: one["at"]), known, events)
        found += _check_body(row, known, events)
    return found


def _known_events(row, told, windows):
    """Return {offset: time} of the events sent to the process of the front that got the request, in order of offsets.

    An event sent while the front's bus connection was closing may not have arrived; sent again, it counts from then.
    """
    process_start = max(
        (
            one.begin
            for one in windows
            if one.front == row.front and one.what in ("kill", "term") and one.end <= row.sent
        ),
        default=0.0,
    )
    found = {}
    for at, offset in told:
        if at >= process_start:
            found[offset] = at
    return found


def _is_excused(row, windows):
    end = row.sent + row.patience + LATE_S + SLACK_S
    for one in windows:
        if one.front == row.front:
            if one.what in ("kill", "stop", "stall") and one.begin <= end and row.sent <= one.end:
                return True
    return False


def _check_answer(row, windows):
    if row.how in ("left", "crossed", "refused", "unsent", "") or _is_excused(row, windows):
        return []
    if row.how != "answered":
        return [
            (
                "lost",
                f"{row.id} at front {row.front}: {row.how} after {row.ended - row.sent:.3f} s of "
                f"{row.patience} s",
            )
        ]
    if row.ended - row.sent > row.patience + LATE_S + SLACK_S:
        return [("late", f"{row.id} at front {row.front}: {row.ended - row.sent:.3f} s of {row.patience} s")]
    if row.status not in (200, 502, 503):
        return [("status", f"{row.id} at front {row.front}: {row.status}")]
    return []


def _check_attempts(row, came, told, events):
    found = []
    if len(came) > ATTEMPTS_MAX:
        found.append(("attempts", f"{row.id}: {len(came)}"))
    for one in came:
        where = f"{row.id} at {one['server']}"
        if one["deaf"]:
            continue
        left = row.sent + row.patience - one["at"]
        if int(one["fields"]["max"]) / 1000 > left + MAX_EXCESS_S + SLACK_S:
            found.append(("max", f"{where}: {one['fields']['max']} ms, {left:.3f} s left"))
        if row.left is not None and one["at"] > row.left + CLIENT_LEFT_S + SLACK_S:
            found.append(("after_client_left", f"{where}: {one['at'] - row.left:.3f} s"))
        if row.how == "answered" and one["at"] > row.ended + CLIENT_LEFT_S + SLACK_S:
            found.append(("after_answer", f"{where}: {one['at'] - row.ended:.3f} s"))
        for name in (one["server"], one["fields"].get("src")):
            if name and _knows_draining(name, one["at"], told, events):
                found.append(
                    (
                        "to_draining",
                        f"{where} from front {row.front}: {name}, sent {row.sent:.3f}, came "
                        f"{one['at']:.3f}",
                    )
                )
    if row.order:
        may_have_run = [one for one in came[:-1] if one["mode"] not in NEVER_RAN]
        if may_have_run:
            found.append(("ran_twice", f"{row.id}: {[one['mode'] for one in came]}"))
    return found


def _knows_draining(name, at, told, events):
    """Return whether a front knew for long enough that a server drains, and not yet that it serves again."""
    state, since = "up", 0.0
    for offset in sorted(events):
        for host in events[offset].get("topology", {}).get("hosts", ()):
            if host["host"] == name and offset in told:
                if told[offset] > at:
                    # Recorded after it was sent, so the front may know slightly earlier that a server serves again.
                    known = host["health"] == "up" and events[offset]["made_at"] <= at
                    return not known and state == "draining" and at > since + EVENT_DELAY_S
                state, since = host["health"], told[offset]
            elif host["host"] == name:
                return False  # an event that this front has not been sent: its knowledge is unknown
    return state == "draining" and at > since + EVENT_DELAY_S


def _check_body(row, told, events):
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
            and min(told.get(offset, math.inf), event["made_at"] + EVENT_DELIVERY_S) + EVENT_DELAY_S
            < row.sent
            and (int(made) < ban["ts"] - 50)
        ):
            return [
                ("purged", f"{row.id} at front {row.front}: made {ban['ts'] - int(made)} ms before the purge")
            ]
    return []
