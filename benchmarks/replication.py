"""Replication among fronts: schedules of faults, spread and catch-up in real processes, and what it costs.

    python -m benchmarks replication [--quick]

What is printed on the way is for reading; the last line has the figures. Times are of this machine.
"""

import multiprocessing
import os
import pathlib
import random
import signal
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks import exchange
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.replica.facts import ReplicatedRecord
from sprucegate.fleet.replica.replica import Replica
from sprucegate.fleet.replica_storage import RECORDS_PER_PIECE, ReplicaStorage, encode_records
from sprucegate.storage.disk import Disk
from standins.fleet import checkers
from standins.fleet.rig import Rig
from standins.fleet.schedules import play_schedule
from standins.fleet.simulated import MS, Fleet, S


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    schedules: int
    simulated: tuple  # sizes of simulated fleets
    seeds: int  # of each simulated fleet and loss
    real: tuple  # sizes of fleets of real processes
    told: int  # purges and drains that each real fleet is told
    facts: int  # that a front catches up with
    returning: tuple  # (fronts, how many of them return at once)
    model_seeds: int
    model_rate: int  # GETs a second of the model


FULL = Size(
    2000,
    simulated=(5, 20, 50, 200),
    seeds=6,
    real=(5, 20, 50),
    told=60,
    facts=100_000,
    returning=(10, 7),
    model_seeds=10,
    model_rate=exchange.RATE,
)
QUICK = Size(
    200,
    simulated=(5, 20),
    seeds=2,
    real=(5, 20),
    told=20,
    facts=20_000,
    returning=(10, 7),
    model_seeds=2,
    model_rate=exchange.RATE,
)
SMOKE = Size(
    4,
    simulated=(3,),
    seeds=1,
    real=(3,),
    told=4,  # a purge, a drain, a purge, the end of the drain
    facts=500,
    returning=(4, 2),
    model_seeds=1,
    model_rate=20,
)


def _one(given):
    """One schedule: (broken promises, ms from telling to the last front acting, of each purge told in quiet)."""
    seed, size, loss = given
    return len(checkers.find_violations(play_schedule(seed, size, loss).trace))


def schedules(count, pool):
    """Fault schedules of 5 to 200 fronts: most of them small, as the large ones take longest."""
    sizes = [(5, 0.62), (9, 0.3), (20, 0.06), (50, 0.015), (200, 0.005)]
    wanted = [
        (seed, size, (0.0, 0.1, 0.3)[seed % 3]) for size, share in sizes for seed in range(int(count * share))
    ]
    broken = sum(pool.map(_one, sorted(wanted, key=lambda w: -w[1]), chunksize=1))
    return len(wanted), broken


def spread_simulated(given):
    """Simulated ms from one front's purge to each front's acting on it; how many never did within 10 s."""
    size, loss, seed = given
    fleet = Fleet(size, seed, loss, alone_after=2 * S)
    fleet.start()
    fleet.run(6 * S)
    times, missed = [], 0
    for number in range(5):
        begun = len(fleet.trace)
        at, name = fleet.now, fleet.chance.choice(list(fleet.fronts))
        fleet.purge(name, number, 1)
        acted = []
        while len(acted) < size - 1 and fleet.now < at + 10 * S:
            fleet.run(fleet.now + S // 5)
            acted = [
                t - at
                for t, _, what, *more in fleet.trace[begun:]
                if what == "acts" and more[0] == ("purge", "object", number)
            ]
        times += [t / MS for t in acted]
        missed += size - 1 - len(acted)
    frames = fleet.network.frames / (fleet.now / S) / size
    return times, missed, frames


def _quantiles(times):
    times = sorted(times)
    return [round(times[min(len(times) - 1, int(len(times) * q))], 1) for q in (0.5, 0.99, 1)]


def spread_real(size, count):
    """ms from a purge, or a drain, heard by one front to the last front acting; own copies served late."""
    with tempfile.TemporaryDirectory() as folder, Rig(pathlib.Path(folder), size) as rig:
        rig.start_all(timeout_s=120)
        times, chance, old, lost, drainer = [], random.Random(size), 0, 0, ""
        for number in range(count):
            name = (
                drainer if number % 4 == 3 else chance.choice(rig.names)
            )  # who heard the drain hears its end
            drainer = name if number % 4 == 1 else drainer
            lines = {n: len(f.lines) for n, f in rig.fronts.items()}
            if number % 2:
                rig.health([name], 0, "draining" if number % 4 == 1 else "up")
            else:
                rig.purge([name], number, int(time.time() * 1000))
            first = rig.fronts[name].until("told", lines[name])["at"]
            acted = [f.until("fleet_told", lines[n])["at"] for n, f in rig.fronts.items() if n != name]
            times.append(max(acted) - first)
        # Copies: an object asked for at all until fronts keep it; then a purge at one, and no own copy 1 s after it.
        socks = {n: socket.create_connection(("127.0.0.1", f.port), timeout=5) for n, f in rig.fronts.items()}
        calls = iter(range(1, 1 << 30))
        for _ in range(4):
            lost += sum(rig.get(n, 0xABCDEF, next(calls), sock)[0] != 200 for n, sock in socks.items())
        rig.purge(["n0"], 0xABCDEF, int(time.time() * 1000))
        time.sleep(1)
        line = {n: len(f.lines) for n, f in rig.fronts.items()}
        for n, f in rig.fronts.items():
            f.until("second", line[n])  # what was counted before is out
        line = {n: len(f.lines) for n, f in rig.fronts.items()}
        lost += sum(rig.get(n, 0xABCDEF, next(calls), sock)[0] != 200 for n, sock in socks.items())
        for n, f in rig.fronts.items():
            old += f.until("second", line[n]).get("gets_own", 0)
        before = {n: _cpu(f.process.pid) for n, f in rig.fronts.items()}
        said = {n: f.ask("status") for n, f in rig.fronts.items()}
        time.sleep(3)
        cpu = statistics.mean(_cpu(f.process.pid) - before[n] for n, f in rig.fronts.items()) / 3
        after = {n: f.ask("status") for n, f in rig.fronts.items()}
        sent = statistics.mean(after[n]["bytes_out"] - said[n]["bytes_out"] for n in rig.names) / 3
        return times, old, lost, cpu, sent


def _cpu(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def filled(folder, count, now, later=0):
    """A front's folder with that many purges, as its own snapshot would be."""
    keeping = ReplicaStorage(Disk(), str(folder))
    start = keeping.count_start()
    keeping.load(0)
    # Purges of just now, old ones the front would put by at once; the same at all, or each dot had several contents.
    facts = [
        ReplicatedRecord(("purge", "object", n), (now - n + later,), ("n0", start << 32, n + 1))
        for n in range(count)
    ]
    assert keeping.begin_snapshot() is None
    pieces = [encode_records(facts[at : at + RECORDS_PER_PIECE]) for at in range(0, count, RECORDS_PER_PIECE)]
    assert keeping.finish_snapshot([("n0", start << 32, [1, count + 1])], pieces, time.time_ns()) is None
    keeping.close()
    return sum(map(len, pieces))


class Stalls(threading.Thread):
    """The longest time in which a front did not answer GET /status/live, asked over and over."""

    def __init__(self, front):
        super().__init__(daemon=True)
        self.front, self.longest, self.stopped = front, 0.0, False

    def run(self):
        while not self.stopped:
            begun = time.monotonic()
            if self.front.live():
                self.longest = max(self.longest, time.monotonic() - begun)


def catch_up(count, size, away):
    """Seconds to live, bytes over the least, longest answer of one that feeds; `away` of `size` return at once."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Rig(pathlib.Path(folder), size, kdl="    purge-life (h)1\n") as rig,
    ):
        least, now = 0, time.time_ns()
        for name in rig.names[: size - away]:
            least = filled(rig.fronts[name].folder / "state", count, now)
        for name in rig.names[: size - away]:
            rig.fronts[name].start()
        for name in rig.names[: size - away]:
            rig.fronts[name].until("ready", timeout_s=60)
        rig.wait_until_all_alive(60, rig.names[: size - away])
        time.sleep(1)
        sent = sum(rig.fronts[n].ask("status")["bytes_out"] for n in rig.names[: size - away])
        stalls, begun = Stalls(rig.fronts["n0"]), time.monotonic()
        stalls.start()
        took = []
        for name in rig.names[size - away :]:
            rig.fronts[name].start()
        for name in rig.names[size - away :]:
            rig.fronts[name].until("ready", timeout_s=240)
            took.append(time.monotonic() - begun)
            assert rig.fronts[name].ask("status")["facts"].get("purge") == count
        stalls.stopped = True
        sent = sum(rig.fronts[n].ask("status")["bytes_out"] for n in rig.names[: size - away]) - sent
        return max(took), sent / (least * away), stalls.longest * 1000


def storm(count):
    """Two folders of one front that went apart: each dot has two contents. Seconds to one state, longest answer."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Rig(pathlib.Path(folder), 3, kdl="    purge-life (h)1\n") as rig,
    ):
        now = time.time_ns()
        for at, name in enumerate(("n0", "n1")):
            filled(rig.fronts[name].folder / "state", count, now, later=at)
        rig.fronts["n0"].start()
        rig.fronts["n0"].until("ready", timeout_s=60)
        stalls, begun = Stalls(rig.fronts["n0"]), time.monotonic()
        stalls.start()
        for name in ("n1", "n2"):
            rig.fronts[name].start()
        rig.wait(
            lambda: len(
                {(s or {}).get("root", n) for n, s in enumerate(f.ask("status") for f in rig.fronts.values())}
            )
            == 1,
            300,
        )
        stalls.stopped = True
        held = rig.fronts["n2"].ask("status")["facts"].get("purge")
        assert held == count, held
        return time.monotonic() - begun, stalls.longest * 1000


def memory(count):
    """Bytes a fact, of a process that holds that many."""

    def rss():
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    made, before = Replica("n1", 1, RandomSource("n1", 1), 0), rss()
    for n in range(count):
        made.store.join(ReplicatedRecord(("purge", "object", n), (n + 1,), ("n0", 1 << 32, n + 1)))
    return (rss() - before) / count


def gains(seeds, rate):
    """What the exchange gains after a cache has come back empty and a front is new, by mode: a model."""
    for share in (0.1, 0.5):
        for mode in ("on", "guard facts alone", "off"):
            told = Counter()
            for seed in range(seeds):
                told.update(exchange.played(mode, seed, share=share, rate=rate))
            yield share, mode, told


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    figures = {"schedules": 0, "guard_facts_lost": 0}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        count, broken = schedules(size.schedules, pool)
        figures |= {"schedules": count, "guard_facts_lost": broken}
        print(f"{count} schedules, {broken} broken promises", flush=True)
        for fronts in size.simulated:
            for loss in (0.0, 0.1, 0.3):
                told = list(pool.map(spread_simulated, [(fronts, loss, seed) for seed in range(size.seeds)]))
                times = [t for one, _, _ in told for t in one]
                print(
                    f"simulated, {fronts} fronts, {loss:.0%} lost: ms p50, p99, max {_quantiles(times)}, "
                    f"{sum(m for _, m, _ in told)} not within 10 s, "
                    f"{statistics.mean(f for *_, f in told):.0f} frames a second and front",
                    flush=True,
                )
    old = lost = 0
    for fronts in size.real:
        times, late, gone, cpu, sent = spread_real(fronts, size.told)
        old, lost = old + late, lost + gone
        print(
            f"real, {fronts} fronts: ms p50, p99, max {_quantiles(times)}; at rest {cpu:.1%} of a core and "
            f"{sent:.0f} bytes a second sent a front",
            flush=True,
        )
        figures[f"spread_ms_max_{fronts}"] = max(times)
    figures |= {"older_copies_served": old, "gets_lost": lost}
    count = size.facts
    took, over, stall = catch_up(count, 3, 1)
    print(
        f"catch-up of {count} facts: live after {took:.1f} s, {over:.2f} of the least bytes, longest answer of a "
        f"front that feeds {stall:.1f} ms",
        flush=True,
    )
    figures |= {
        "catch_up_s": round(took, 2),
        "catch_up_bytes_over_least": round(over, 2),
        "loop_stall_ms_max": round(stall, 1),
    }
    took, over, stall = catch_up(count, *size.returning)
    fronts, away = size.returning
    print(
        f"{away} in {fronts} at once: {took:.1f} s, {over:.2f} of the least bytes, longest {stall:.1f} ms",
        flush=True,
    )
    apart, stall = storm(count)
    figures |= {"twins_s": round(apart, 2), "twins_stall_ms": round(stall, 1)}
    print(
        f"{count} dots with two contents each: {apart:.1f} s to one state, longest answer {stall:.1f} ms",
        flush=True,
    )
    # In a process that has done nothing else: what was freed before would be taken again and not seen.
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as fresh:
        figures |= {
            "catch_up_s_7_of_10": round(took, 2),
            "bytes_a_fact": round(fresh.submit(memory, count).result()),
        }
    for share, mode, told in gains(size.model_seeds, size.model_rate):
        print(
            f"model, front 0 sees {share:.0%}, exchange {mode}: of {told['gets']} GETs hits {told['hit']}, fills "
            f"from siblings {told['sibling']}, from parents {told['parent']}, from origin {told['origin']}, in time "
            f"{told['in_time'] / told['gets']:.4f}; sent to a drained cache {told['to_drained']}",
            flush=True,
        )
        figures[f"siblings_{mode.split()[0]}_{share}"] = told["sibling"]
    return figures


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    print(measure("--quick" in sys.argv))
