"""Fault schedules by seed for the simulated fleet: a period with faults, then a period without to settle.

python -m standins.fleet.schedules --seeds 100 --size 5 --loss 0.1
"""

import argparse
import json
import random
import sys
import time

from sprucegate.fleet.failure_detector.messages import Ack, FullState, Ping
from sprucegate.fleet.replica.facts import SourceState
from sprucegate.fleet.replica.replica import (
    DigestAnnouncement,
    RangeDigests,
    RangeKeys,
    SeenReport,
    SpreadRecords,
    TransferEnd,
)
from standins.fleet import checkers
from standins.fleet.simulated import MS, Fleet, S

FAULTS = ("kill", "pause", "split", "one-way", "kind", "disk-full", "crash-at", "put-back", "lift-gone")
KINDS = (
    SpreadRecords,
    TransferEnd,
    SeenReport,
    DigestAnnouncement,
    Ping,
    Ack,
    FullState,
    RangeKeys,
    RangeDigests,
)


def play_schedule(seed, size, loss=0.0, span=12 * S, settle=25 * S, facts=30, quiet=False, make=Fleet):
    """Play one schedule and return the fleet with the final state in its trace; `quiet`: only message loss."""
    chance = random.Random(seed * 7919 + size)
    # In a quarter of the schedules facts expire while there are faults.
    life = 3 * S if seed % 4 == 0 else 600 * S
    fleet = make(
        size, seed, loss, twice=loss / 3, slow=loss / 3, alone_after=2 * S, purge_life=life, word_life=life
    )
    fleet.start()
    names = list(fleet.fronts)
    fleet.run(2 * S)
    servers = [0x10 + n for n in range(4)]
    for n in range(facts):
        when, name = 2 * S + int(chance.random() * span), chance.choice(names)
        what = chance.random()
        if what < 0.5:
            fleet.at(when, fleet.purge, name, chance.randrange(facts // 2), n)
        else:
            server, source = chance.choice(servers), chance.choice(("bus", "file"))
            fleet.at(
                when,
                fleet.drain,
                name,
                server,
                SourceState.DRAINING if what < 0.9 else SourceState.GONE,
                0,
                source,
            )
            if chance.random() < 0.7:
                fleet.at(
                    when + int(chance.random() * 4 * S),
                    fleet.drain,
                    name,
                    server,
                    SourceState.LIFTED,
                    0,
                    source,
                )
    for _ in range(0 if quiet else chance.randrange(1, 6)):
        _schedule_fault(fleet, chance, names, 2 * S + int(chance.random() * span), span)
    fleet.run(2 * S + span + 6 * S)
    fleet.heal()
    fleet.network.loss = 0.0
    for name, front in fleet.fronts.items():
        if front.paused:
            fleet.pause(name, False)
        front.disk.faults, front.disk.crash_at = {}, None
        if not front.up:
            fleet.start(name)
    fleet.run(fleet.now + settle)
    fleet.dump()
    return fleet


def _schedule_fault(fleet, chance, names, when, span):
    what, name, duration = chance.choice(FAULTS), chance.choice(names), int(chance.random() * span / 2)
    front = fleet.fronts[name]

    def restart():
        if not front.up:
            fleet.start(name)

    if what == "kill":
        fleet.at(when, fleet.kill, name)
        fleet.at(when + duration, restart)
    elif what == "pause":
        fleet.at(when, fleet.pause, name, True)
        fleet.at(when + min(duration, 6 * S), fleet.pause, name, False)
    elif what in ("split", "one-way"):
        side = chance.sample(names, chance.randrange(1, len(names)))
        fleet.at(when, fleet.split, side, [n for n in names if n not in side], what == "split")
        fleet.at(when + duration, fleet.heal)
    elif what == "kind":
        kind = chance.choice(KINDS)
        for other in names:
            fleet.at(when, fleet.network.cut.add, (name, other, kind))
        fleet.at(when + duration, fleet.heal)
    elif what == "disk-full":

        def fill_disk():
            calls = front.disk.calls
            front.disk.faults = {n: OSError(28, "no space left") for n in range(calls, calls + 40)}

        fleet.at(when, fill_disk)
    elif what == "crash-at":

        def crash():
            front.disk.crash_at = front.disk.calls + chance.randrange(1, 12)

        fleet.at(when, crash)
        fleet.at(when + duration, restart)
    elif what == "put-back":

        def back():
            if front.up:
                kept = front.disk.after_crash()
                fleet.at(fleet.now + duration, restore_disk, kept)

        def restore_disk(kept):
            if front.up:
                fleet.kill(name)
            fleet.note(name, "folder-put-back")
            front.disk = kept
            restart()

        fleet.at(when, back)
    elif what == "lift-gone":
        # The front that got a drain is down for long; meanwhile another gets the lifting from the same source.
        other = chance.choice(names)
        fleet.at(when, fleet.drain, name, 0x20, SourceState.DRAINING)
        fleet.at(when, fleet.drain, other, 0x20, SourceState.DRAINING)
        fleet.at(when + 200 * MS, fleet.kill, name)
        fleet.at(when + 8 * S, fleet.drain, other, 0x20, SourceState.LIFTED)
        fleet.at(when + 8 * S + duration, restart)


def run_seeds(arguments, text, find_violations, **more):
    """Run `find_violations(seed, flags)` for the seeds of the command line; return whether any found one."""
    flags = argparse.ArgumentParser(description=text.split("\n")[0])
    for name, default in {"seeds": 50, "first": 0, "size": 5, "loss": 0.0, **more}.items():
        flags.add_argument("--" + name, type=type(default), default=default)
    wanted, started_at, bad = flags.parse_args(arguments), time.monotonic(), 0
    for seed in range(wanted.first, wanted.first + wanted.seeds):
        found = find_violations(seed, wanted)
        bad += bool(found)
        if found:
            print(json.dumps({"seed": seed, "broken": len(found), "first": found[0]}))
    print(
        json.dumps(
            {"schedules": wanted.seeds, "broken": bad, "seconds": round(time.monotonic() - started_at, 1)}
        )
    )
    return bool(bad)


if __name__ == "__main__":
    sys.exit(
        run_seeds(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: checkers.find_violations(
                play_schedule(seed, wanted.size, wanted.loss).trace
            ),
        )
    )
