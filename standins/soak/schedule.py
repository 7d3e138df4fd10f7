"""Fault schedule of a soak, generated from a seed: at each moment two or three faults begin within a second.

The same seed, number of fronts and length give the same schedule. A schedule is plain data, so that a failing one can
be saved, shrunk and replayed.
"""

import random
from typing import NamedTuple

QUIET_S = 4.0  # before the first fault, and after the last one
INTERVAL_S = (2.0, 5.0)  # between two moments, at least and at most

SERVER_MODES = (
    "hang",
    "slow",
    "error",
    "overload",
    "missing",
    "half",
    "trickle",
    "reset",
    "garbage",
    "twice",
    "refuse",
    "deaf",
    "idle_close",
)
BUS_MODES = ("down", "silent", "pieces", "late", "late_answer")
# Longer than the time after which an event counts as told whether it arrived or not.
BUS_SECONDS = (0.5, 12.0)
CALLS = (
    ("accept", "EMFILE"),
    ("accept", "ENFILE"),
    ("accept", "ECONNABORTED"),
    ("accept", "EINTR"),
    ("recv_into", "EINTR"),
    ("recv_into", "ENOBUFS"),
    ("recv_into", "SHORT"),
    ("send", "ENOBUFS"),
    ("send", "EAGAIN"),
    ("send", "SHORT"),
    ("send", "EINTR"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENETUNREACH"),
    ("connect", "ETIMEDOUT"),
    ("connect", "EHOSTUNREACH"),
    ("socket", "EMFILE"),
    ("socket", "ENOBUFS"),
    ("setsockopt", "ENOBUFS"),
    ("fsync", "EIO"),
    ("write", "ENOSPC"),
    ("write", "SHORT"),
    ("replace", "EIO"),
    ("open", "ENOSPC"),
)
CLIENT_MODES = ("leave", "flood", "pipeline", "dribble", "rest", "burst")
# Manners of `standins.misbehaving_clients`, each with its number of clients.
CROWDS = {
    "idle": 400,
    "half_body": 400,
    "half_body_again": 300,
    "slow_body": 300,
    "many_fields": 400,
    "endless_trailers": 3,
    "tiny_chunks": 2,
    "pipelined": 3,
    "liveness": 2,
    "new_objects": 2,
    "new_services": 2,
}
CROWD_SECONDS = (1.0, 4.0)
SIGNALS = ("HUP", "TERM", "INT")
SERIES_MAX = 6  # signals of a series after its first SIGTERM, and their distance at most
SERIES_GAP_S = 0.4


class Fault(NamedTuple):
    """A fault of kind `what` that begins `at` seconds into the soak; `what` decides what `where` and `how` mean."""

    at: float
    what: str
    where: int  # number of a front, or of a server
    how: str
    seconds: float


def _front_fault(chance, at, fronts):
    what = chance.choice(("term", "series", "kill", "stop", "hup", "wall", "call"))
    how = {
        "series": lambda: " ".join(
            f"{chance.choice(SIGNALS)}:{chance.uniform(0, SERIES_GAP_S):.3f}"
            for _ in range(chance.randrange(1, SERIES_MAX))
        ),
        "wall": lambda: str(chance.choice((-3600, -3, 3, 3600))),
        "call": lambda: ":".join(chance.choice(CALLS)),
        "hup": lambda: str(chance.randrange(1, 6)),
    }.get(what, lambda: "")()
    return Fault(at, what, chance.randrange(fronts), how, round(chance.uniform(0.2, 1.5), 3))


def _server_fault(chance, at, servers):
    what = chance.choice(("server", "server", "drain", "restart", "purge"))
    how = chance.choice(SERVER_MODES) if what == "server" else ""
    return Fault(at, what, chance.randrange(servers), how, round(chance.uniform(0.3, 3.0), 3))


def _bus_fault(chance, at):
    return Fault(at, "bus", 0, chance.choice(BUS_MODES), round(chance.uniform(*BUS_SECONDS), 3))


def _client_fault(chance, at, fronts):
    return Fault(
        at,
        "clients",
        chance.randrange(fronts),
        chance.choice(CLIENT_MODES),
        round(chance.uniform(0.3, 2.0), 3),
    )


def _crowd(chance, at, fronts):
    manner = chance.choice(list(CROWDS))
    return Fault(at, "crowd", chance.randrange(fronts), manner, round(chance.uniform(*CROWD_SECONDS), 3))


def generate_schedule(seed, seconds, fronts, servers):
    """Every second seed has a crowd of misbehaving clients at each moment, besides the other faults."""
    chance, found, at = random.Random(f"soak {seed}"), [], QUIET_S
    while at < seconds - QUIET_S:
        for _ in range(chance.choice((2, 2, 3))):
            when = round(at + chance.random(), 3)
            found.append(
                chance.choice(
                    (
                        lambda when=when: _front_fault(chance, when, fronts),
                        lambda when=when: _front_fault(chance, when, fronts),
                        lambda when=when: _server_fault(chance, when, servers),
                        lambda when=when: _server_fault(chance, when, servers),
                        lambda when=when: _bus_fault(chance, when),
                        lambda when=when: _client_fault(chance, when, fronts),
                    )
                )()
            )
        if seed % 2:
            found.append(_crowd(chance, round(at + chance.random(), 3), fronts))
        at += chance.uniform(*INTERVAL_S)
    return sorted(found)


def shrink_schedule(faults, fails):
    """Return a smaller schedule that still `fails`: leaves out halves, quarters and so on down to one fault."""
    size = len(faults) // 2
    while size:
        at = 0
        while at < len(faults):
            fewer = faults[:at] + faults[at + size :]
            if fewer and fails(fewer):
                faults = fewer
            else:
                at += size
        size //= 2
    return faults
