"""Traces of the stand-ins' schedules, each as a digest in canonical form.

This module alone calls the stand-ins for `python -m benchmarks same`, so only it follows their names; their words
stand in `benchmarks/vocabulary.py`.
"""

import ast

from benchmarks.canonical import Digest
from benchmarks.vocabulary import VOCABULARY
from standins.fleet import keepers, rollouts, schedules, sharing, simulated, viewing

S = 1_000_000_000
MACHINE_DUMP = "dump-machine"  # its last value is the text of a literal


def digest_of(trace, *more):
    """The digest of a trace's entries and of what was worked out from it."""
    digest = Digest(VOCABULARY)
    for entry in trace:
        digest.add_entry(_parsed(entry))
    digest.add(*more)
    return digest.text()


def _parsed(entry):
    if entry[2] != MACHINE_DUMP:
        return entry
    *head, text = entry
    return (*head, ast.literal_eval(text))


def _schedules(seed):
    return digest_of(schedules.play_schedule(seed, 5, 0.1).trace)


def _viewing(seed):
    trace = schedules.play_schedule(seed, 4).trace
    return digest_of(trace, viewing.detection_times(trace), len(viewing.find_violations(trace)))


def _late_starts(seed):
    """Fronts that start while those they look for first are not there yet."""
    fleet = simulated.Fleet(6, seed, 0.1, alone_after=2 * S)
    for at, name in ((0, "n3"), (1, "n4"), (3, "n0"), (8, "n5"), (14, "n1"), (40, "n2")):
        fleet.at(at * S + 1, fleet.start, name)
    for at in range(2, 42, 4):
        fleet.at(at * S, fleet.purge, "n3", at, at)
        fleet.at(at * S, fleet.drain, "n4", at)
    fleet.run(45 * S)
    fleet.dump()
    return digest_of(fleet.trace)


def _keepers(seed):
    return digest_of(keepers.play_schedule(seed, 3, 0.1, spare=2).trace)


def _keepers_put_back(seed):
    return digest_of(keepers.play_schedule(seed, 3, 0.1, back=1, clock_drift=0.01).trace)


def _rollouts(seed):
    return digest_of(rollouts.play_schedule(seed, 3, 4, 9, loss=0.1, span=20 * S).trace)


def _rollouts_bound(seed):
    """With so many caches that the fleet's own limit binds, and not only those of locations."""
    return digest_of(rollouts.play_schedule(seed, 3, 4, 15, loss=0.1, span=20 * S).trace)


def _sharing(seed):
    trace = sharing.play_schedule(seed, 3, 0.1, span=8 * S, quiet=False).trace
    return digest_of(trace, sharing.place_time_used(trace))


SCHEDULES = {
    "schedules": _schedules,
    "viewing": _viewing,
    "late starts": _late_starts,
    "keepers": _keepers,
    "keepers put back": _keepers_put_back,
    "rollouts": _rollouts,
    "rollouts bound": _rollouts_bound,
    "sharing": _sharing,
}
