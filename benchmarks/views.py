"""How true views are and how soon: schedules under the deterministic driver, real fronts killed, stopped and cut."""

import os
import signal
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.membership_view.tracker import ViewTracker
from standins.fleet import viewing
from standins.fleet.rig import Rig
from standins.fleet.schedules import play_schedule
from standins.fleet.simulated import Fleet

MS, S = 1_000_000, 1_000_000_000


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    schedules: tuple  # (fronts, seconds, how many schedules)
    real_fronts: int
    rounds: int  # of one real front killed and one stopped
    split_every: int  # rounds to a split of the real fronts
    idle_fronts: int
    idle_seconds: int


FULL = Size(
    ((3, 12, 2000), (5, 12, 1750), (8, 12, 1000), (20, 8, 225), (50, 4, 25)),
    real_fronts=8,
    rounds=24,
    split_every=4,
    idle_fronts=200,
    idle_seconds=2,
)
QUICK = Size(
    ((3, 12, 80), (5, 12, 70), (8, 12, 40)),
    real_fronts=8,
    rounds=4,
    split_every=4,
    idle_fronts=50,
    idle_seconds=2,
)
SMOKE = Size(((3, 12, 2),), real_fronts=4, rounds=1, split_every=1, idle_fronts=3, idle_seconds=1)


def one(given):
    """(cries, times to detect) of one schedule; large fleets are played for a while and not to their end."""
    seed, size, loss, span = given
    trace = play_schedule(seed, size, loss, span=span * S, settle=25 * S).trace
    return viewing.find_violations(trace), viewing.detection_times(trace)


def quantile(times, share):
    return round(sorted(times)[min(len(times) - 1, int(share * len(times)))] / MS, 1) if times else None


def real(size, rounds, split_every):
    """ms until the last of the others has a killed one as gone, a stopped one as no more live, a split as a part."""
    killed, silent, split, wrong = [], [], [], 0
    with tempfile.TemporaryDirectory() as folder, Rig(Path(folder), size) as rig:
        rig.start_all()
        for turn in range(rounds):
            names = rig.names
            _live(rig)
            victim = names[turn % size]
            others = [name for name in names if name != victim]
            since, begun = _marks(rig), time.time() * 1000
            rig.fronts[victim].kill()
            killed.append(
                max(
                    rig.fronts[n].until("fleet_member", since[n], member=victim, standing="gone")["at"]
                    for n in others
                )
                - begun
            )
            rig.fronts[victim].start()
            rig.fronts[victim].until("ready", since[victim])
            _live(rig)
            victim = names[(turn + size // 2) % size]
            others = [name for name in names if name != victim]
            since, begun = _marks(rig), time.time() * 1000
            rig.fronts[victim].signal(signal.SIGSTOP)
            silent.append(
                max(
                    rig.fronts[n].until("fleet_member", since[n], member=victim, standing="suspect")["at"]
                    for n in others
                )
                - begun
            )
            rig.fronts[victim].signal(signal.SIGCONT)
            _live(rig)
            wrong += sum(
                line["member"] != victim and line["standing"] == "gone"
                for n in others
                for line in rig.fronts[n].seen("fleet_member", since[n])
            )
            if turn % split_every == split_every - 1:
                since, begun = _marks(rig), time.time() * 1000
                rig.split(names[: size // 2], names[size // 2 :])
                seen = [rig.fronts[n].until("fleet_view", since[n], state="part")["at"] for n in names]
                split.append(max(seen) - begun)
                rig.inject_fault("heal")
                _live(rig)
    return killed, silent, split, wrong


def _marks(rig):
    return {name: len(front.lines) for name, front in rig.fronts.items()}


def _live(rig):
    def so():
        said = [front.ask("status") for front in rig.fronts.values()]
        return all(
            one
            and one["view"]["state"] == "whole"
            and len(one["view"]["fronts"]) == len(said) - 1
            and all(row["standing"] in ("live", "flapping") for row in one["view"]["fronts"])
            for one in said
        )

    rig.wait(so, 60)


def flaps():
    """How many of twenty losses in a row, two seconds apart, a front was kept out after."""
    views, out = ViewTracker(0), 0
    for life in range(1, 21):
        for word, at in ((MemberState.ALIVE, 0), (MemberState.DEAD, S)):
            now = life * 2 * S + at
            views.on_member_changed(Member("b", "at-b", life << 32, 0, int(word), "b"), now)
            views.on_timer(now)
        out += views.known["b"].damped
    return out


def idle(size, seconds):
    """Share of a core that one of so many fronts takes for members, replica and views, when nothing happens."""
    fleet = Fleet(size, 1)
    fleet.start()
    fleet.run(10 * S)
    begun = time.process_time()
    fleet.run((10 + seconds) * S)
    return (time.process_time() - begun) / seconds / size


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    jobs = [
        (seed, fronts, (0.0, 0.1, 0.3)[seed % 3], span)
        for fronts, span, many in size.schedules
        for seed in range(many)
    ]
    cries, times = {}, {"killed": [], "silent": []}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for job, (broken, detected) in zip(jobs, pool.map(one, jobs, chunksize=4), strict=True):
            for name, text in broken:
                cries.setdefault(name, []).append((job, text))
            if not job[2]:
                for kind in times:
                    times[kind] += detected[kind]
    for name, told in cries.items():
        print(f"{name}: {len(told)}, first {told[0]}", flush=True)
    print(
        f"simulated, {len(jobs)} schedules; without loss ms p50, p99: killed {quantile(times['killed'], 0.5)}, "
        f"{quantile(times['killed'], 0.99)}; silent {quantile(times['silent'], 0.5)}, "
        f"{quantile(times['silent'], 0.99)}",
        flush=True,
    )
    killed, silent, split, wrong = real(size.real_fronts, size.rounds, size.split_every)
    print(
        f"real, {size.real_fronts} fronts, ms to the last of the others, median and most: "
        f"killed {statistics.median(killed):.0f}, {max(killed):.0f}; "
        f"silent {statistics.median(silent):.0f}, {max(silent):.0f}; "
        f"split {statistics.median(split):.0f}, {max(split):.0f}",
        flush=True,
    )
    return {
        "schedules": len(jobs),
        "wrong_standing": len(cries.get("live_though_away", ())) + len(cries.get("stays_in_part", ())),
        "healthy_called_gone": len(cries.get("gone_though_there", ())) + wrong,
        "detect_killed_ms_p99": max(killed),
        "detect_silent_ms_p99": max(silent),
        "split_seen_ms_p99": max(split),
        "flaps_kept_out": flaps(),
        "idle_core_share_200": round(idle(size.idle_fronts, size.idle_seconds), 4),
    }
