"""What happens in one soak, drawn from a seed: moments at which two or three troubles overlap within a second.

The same seed, fronts and length give the same schedule. A schedule is plain data, so that one that fails can be kept,
shrunk and played again.
"""

import random
from typing import NamedTuple

QUIET = 4.0  # seconds before the first trouble, and after the last one
BETWEEN = (2.0, 5.0)  # seconds between two moments

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
BUS_MODES = ("down", "silent", "pieces", "late")
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


class Trouble(NamedTuple):
    """`at` and `seconds` from the soak's beginning; `what` says of which kind `where` and `how` are."""

    at: float
    what: str
    where: int  # number of a front, or of a server
    how: str
    seconds: float


def _front(chance, at, fronts):
    what = chance.choice(("term", "kill", "stop", "hup", "wall", "call"))
    how = {
        "wall": lambda: str(chance.choice((-3600, -3, 3, 3600))),
        "call": lambda: ":".join(chance.choice(CALLS)),
        "hup": lambda: str(chance.randrange(1, 6)),
    }.get(what, lambda: "")()
    return Trouble(at, what, chance.randrange(fronts), how, round(chance.uniform(0.2, 1.5), 3))


def _server(chance, at, servers):
    what = chance.choice(("server", "server", "drain", "restart", "purge"))
    how = chance.choice(SERVER_MODES) if what == "server" else ""
    return Trouble(at, what, chance.randrange(servers), how, round(chance.uniform(0.3, 3.0), 3))


def _bus(chance, at):
    return Trouble(at, "bus", 0, chance.choice(BUS_MODES), round(chance.uniform(0.5, 4.0), 3))


def _clients(chance, at, fronts):
    return Trouble(
        at,
        "clients",
        chance.randrange(fronts),
        chance.choice(CLIENT_MODES),
        round(chance.uniform(0.3, 2.0), 3),
    )


def drawn(seed, seconds, fronts, servers):
    chance, found, at = random.Random(f"soak {seed}"), [], QUIET
    while at < seconds - QUIET:
        for _ in range(chance.choice((2, 2, 3))):
            when = round(at + chance.random(), 3)
            found.append(
                chance.choice(
                    (
                        lambda when=when: _front(chance, when, fronts),
                        lambda when=when: _front(chance, when, fronts),
                        lambda when=when: _server(chance, when, servers),
                        lambda when=when: _server(chance, when, servers),
                        lambda when=when: _bus(chance, when),
                        lambda when=when: _clients(chance, when, fronts),
                    )
                )()
            )
        at += chance.uniform(*BETWEEN)
    return sorted(found)


def shrunk(troubles, fails):
    """The troubles that a failure needs: halves, then single ones are left out as long as it still `fails`."""
    size = len(troubles) // 2
    while size:
        at = 0
        while at < len(troubles):
            fewer = troubles[:at] + troubles[at + size :]
            if fewer and fails(fewer):
                troubles = fewer
            else:
                at += size
        size //= 2
    return troubles
