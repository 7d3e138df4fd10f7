"""Fair shares of slow fills: schedules under the deterministic driver, real fronts, a greedy tenant, troubles."""

import os
import random
import signal
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from standins.fleet import filling, sharing
from standins.fleet.rig import Rig

S = 1_000_000_000
OF = {"gold": 1, "iron": 2, "greedy": 3}
WEIGHTS = {"gold": 1, "iron": 1, "greedy": 1}
PLACES = 10
TROUBLES = ("kill", "stop", "cut", "one-way")
WAYS = ((True, False), (True, True), (False, False), (False, True))  # shares on; a greedy tenant beside


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    schedules: tuple  # (fronts, how many schedules)
    fronts: int  # real ones
    settle: float  # seconds of load before a calm span is counted
    calm: float  # seconds of each calm span
    hits: float  # seconds of each run of hits alone
    pairs: int  # of runs of hits, with shares and without
    troubles: tuple  # those that are certain to come, in this order; then by chance
    troubled: float  # seconds in which troubles begin
    recover: float  # seconds after each trouble
    objects: int = 40  # that are asked for where all are hits
    at_once: int = 1  # real fleets; one alone wherever something is measured


FULL = Size(
    ((3, 2500), (4, 1500), (6, 800), (12, 200)),
    fronts=8,
    settle=2,
    calm=20,
    hits=10,
    pairs=3,
    troubles=(),
    troubled=180,
    recover=6,
)
QUICK = Size(
    ((3, 27), (5, 21), (8, 12)),
    fronts=8,
    settle=2,
    calm=6,
    hits=3,
    pairs=1,
    troubles=(),
    troubled=30,
    recover=6,
)
SMOKE = Size(
    ((3, 2),),
    fronts=3,
    settle=0.5,
    calm=0.5,
    hits=1,  # fewer seconds may not be one tick of the CPU clock
    pairs=1,
    troubles=TROUBLES,
    troubled=0,
    recover=0.5,
    objects=4,
    at_once=7,
)


def shares_of(fronts):
    """The operator's block `shares` of each of so many fronts."""
    names = " ".join(f'"n{at}"' for at in range(fronts))
    return (
        'shares {{\n    header "X-Tenant"\n    tenants "gold 1" "iron 1" "greedy 1"\n'
        f'    places "parent {PLACES}" "origin 5"\n    fronts {names}\n    longest (s)1\n}}}}\n'
    )


def one(given):
    seed, size, loss, quiet = given
    return sharing.find_violations(sharing.play_schedule(seed, size, loss, span=8 * S, quiet=quiet).trace)


class Load:
    """GETs of ever other objects, open loop: so many a second of each tenant, over all fronts by chance."""

    def __init__(self, rig, seed):
        self.rig, self.chance, self.stopped, self.threads = rig, random.Random(seed), False, []
        self.rows, self.calls, self.lock = [], iter(range(1, 1 << 40)), threading.Lock()

    def begin(self, tenant, per_s, workers):
        gap = workers / per_s
        for at in range(workers):
            thread = threading.Thread(target=self._run, args=(tenant, gap, at), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run(self, tenant, gap, number):
        due = time.monotonic() + gap * self.chance.random()
        while not self.stopped:
            time.sleep(max(0, due - time.monotonic()))
            name = self.rig.names[(number + self.chance.randrange(len(self.rig.names))) % len(self.rig.names)]
            with self.lock:
                call = next(self.calls)
            begun, sent = due, time.monotonic()  # from when it was due: a slow fleet must not slow its load
            try:
                status, _ = self.rig.get(name, OF[tenant] << 56 | call, call, extra=f"X-Tenant: {tenant}\r\n")
            except OSError:
                status = 0
            # Also from when it was sent: what a busy machine sends late is not what a front answers late.
            self.rows.append(
                (tenant, name, time.monotonic() - sent, time.monotonic() - begun, status, time.time_ns())
            )
            due = max(due + gap, time.monotonic() - 1)

    def end(self):
        self.stopped = True
        for thread in self.threads:
            thread.join(5)


def rig(folder, on, fronts):
    boxes = filling.start_boxes([1, 1, 1.5, 2], {"s-14": PLACES, "s-15": 5}, folder / "fills")
    more = shares_of(fronts) if on else ""
    return Rig(folder, fronts, boxes=boxes, kinds=("std",) * 4 + ("parent", "origin"), more=more)


def cpu(made):
    total = 0
    for front in made.fronts.values():
        if front.process.poll() is None:
            with open(f"/proc/{front.process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) / 100
    return total


def p99(rows, tenants):
    """Of GETs that were returned, ms."""
    times = sorted(row[3] for row in rows if row[0] in tenants and row[4] == 200)
    return times[int(0.99 * (len(times) - 1))] * 1000 if times else float("nan")


def got(folder, begin, end):
    """({tenant: place seconds at the parent between}, fills over)."""
    rows, over = filling.read_fills(folder / "fills")
    used = dict.fromkeys(OF, 0.0)
    names = {first: name for name, first in OF.items()}
    for at, source, thing, took in rows:
        if source == "s-14":
            used[names[thing >> 56]] += max(0, min(at + took, end) - max(at, begin)) / 1e9
    return used, over


def calm(on, greedy, size):
    """Rows, fills over, longest answer of a front's own in ms, place time: neighbours with half of their parts in
    demand, `greedy`: beside it or not."""
    with tempfile.TemporaryDirectory() as folder, rig(Path(folder), on, size.fronts) as made:
        ready(made, on)
        load = Load(made, 1)
        load.begin("gold", 10, 16)
        load.begin("iron", 10, 16)
        if greedy:
            load.begin("greedy", 400, 120)  # twenty times its part
        time.sleep(size.settle)
        begun, since, stall = time.time_ns(), len(load.rows), 0
        until = time.monotonic() + size.calm
        while time.monotonic() < until:
            asked = time.monotonic()
            made.fronts["n0"].live()
            stall = max(stall, 1000 * (time.monotonic() - asked))
            time.sleep(0.02)
        rows = load.rows[since:]
        load.end()
        used, over = got(Path(folder), begun, time.time_ns())
        return rows, over, stall, used


def ready(made, on):
    made.start_all()
    if on:
        made.wait(
            lambda: sum(
                row["all_here"]
                for front in made.fronts.values()
                for row in (front.ask("why", "share", "gold") or {"facts": []})["facts"]
                if row["source"] == "s-14"
            )
            == PLACES,
            30,
        )


def hits(on, size):
    """CPU seconds a GET where all are hits: what the seam costs those that never wait."""
    with tempfile.TemporaryDirectory() as folder, rig(Path(folder), on, size.fronts) as made:
        ready(made, on)
        things = [OF["gold"] << 56 | n for n in range(size.objects)]
        calls = iter(range(1 << 20, 1 << 40))
        for name in made.names:
            for thing in things:
                made.get(name, thing, next(calls), extra="X-Tenant: gold\r\n")
        spent, count, end = cpu(made), 0, time.monotonic() + size.hits
        while time.monotonic() < end:
            for name in made.names:
                made.get(name, things[count % size.objects], next(calls), extra="X-Tenant: gold\r\n")
                count += 1
        return (cpu(made) - spent) / count


def troubled(size, seed):
    """All backlogged, the steward always the one hit. Of the 3 s before each next trouble the least of got over fair
    and the place time used; fills over, GETs lost, sheds late, ms from a killed steward to shares again."""
    chance, recover, least, used_share, spans, hit = random.Random(seed), [], [], [], [], []
    certain = list(size.troubles)
    with tempfile.TemporaryDirectory() as folder, rig(Path(folder), True, size.fronts) as made:
        ready(made, True)
        load = Load(made, seed)
        for tenant, per_s in (("gold", 60), ("iron", 60), ("greedy", 400)):
            load.begin(tenant, per_s, 100 if tenant == "greedy" else 40)
        time.sleep(2 * size.settle)
        end = time.monotonic() + size.troubled
        while certain or time.monotonic() < end:
            steward = next(
                (
                    row["steward"]
                    for name in made.names
                    if (said := made.fronts[name].ask("why", "share"))
                    for row in said["facts"]
                    if row["steward"] in made.fronts
                ),
                made.names[0],
            )
            what, front = certain.pop(0) if certain else chance.choice(TROUBLES), made.fronts[steward]
            others, begun = [name for name in made.names if name != steward], time.time_ns()
            lasts = chance.uniform(1, 3)
            if what == "kill":
                front.kill()
            elif what == "stop":
                front.signal(signal.SIGSTOP)
            elif what == "cut":
                made.split([steward], others)
            else:
                made.inject_fault("cut", **{"from": others, "to": [steward]})
            time.sleep(lasts)
            if what == "kill":
                since = len(front.lines)
                front.start()
                front.until("ready", since, timeout_s=40)
                recover.append((begun, time.time_ns()))
            elif what == "stop":
                front.signal(signal.SIGCONT)
            else:
                made.inject_fault("heal")
            time.sleep(size.recover)
            hit.append((steward, begun, time.time_ns()))
            spans.append((what, time.time_ns() - 3 * S, time.time_ns()))
        load.end()
        folder = Path(folder)
        for what, begin, until in spans:
            used, _ = got(folder, begin, until)
            fair = (until - begin) / 1e9 * PLACES / len(OF)
            least.append(min(used.values()) / fair)
            used_share.append(sum(used.values()) / fair / len(OF))
            print(
                f"after {what}: {({t: round(s / fair, 2) for t, s in used.items()})} of its part", flush=True
            )
        times = [shares_again(folder, begun) for begun, _ in recover]
        _, over = got(folder, 0, time.time_ns())
        # What the front that was hit did meanwhile is no answer of the others: its clients' GETs went with it.
        rows = [
            row
            for row in load.rows
            if not any(name == row[1] and begin <= row[5] <= end for name, begin, end in hit)
        ]
        lost = [row for row in rows if row[4] not in (200, 503, 502)]
        late = [row for row in rows if row[4] == 503 and row[2] > 1.5]
        return least, used_share, over, len(lost), len(late), times


def shares_again(folder, begun):
    """ms until half a second begins in which each tenant has 0.7 of its part of what the others' floors make."""
    for step in range(0, 6000, 50):
        at = begun + step * 1_000_000
        used, _ = got(folder, at, at + S // 2)
        if min(used.values()) >= 0.7 * 0.5 * (PLACES - 2) / len(OF):
            return step
    return 6000


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    jobs = [
        (seed, fronts, (0.0, 0.1, 0.2)[seed % 3] * (seed % 10 != 9), seed % 10 == 9)
        for fronts, many in size.schedules
        for seed in range(many)
    ]
    cries = {}
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for job, found in zip(jobs, pool.map(one, jobs, chunksize=2), strict=True):
            for name, text in found:
                cries.setdefault(name, []).append((job, text))
    for name, told in cries.items():
        print(f"{name}: {len(told)}, first {told[0]}", flush=True)
    print(f"simulated, {len(jobs)} schedules", flush=True)
    rows, told, stall = {}, {}, {}
    with ThreadPoolExecutor(size.at_once) as fleets:
        calms = {way: fleets.submit(calm, *way, size) for way in WAYS}
        costs = [
            (fleets.submit(hits, True, size), fleets.submit(hits, False, size)) for _ in range(size.pairs)
        ]
        troubles = fleets.submit(troubled, size, 3)
    for on, greedy in WAYS:
        rows[on, greedy], over, stall[on, greedy], used = calms[on, greedy].result()
        told[on, greedy] = over
        said = [row[4] for row in rows[on, greedy] if row[0] != "greedy"]
        answers = {status: said.count(status) for status in sorted(set(said))}
        print(
            f"shares {'on' if on else 'off'}, greedy {'beside' if greedy else 'away'}: neighbours' p99 "
            f"{p99(rows[on, greedy], ('gold', 'iron')):.0f} ms, their answers {answers}, fills over {over}, place "
            f"seconds { {t: round(s, 1) for t, s in used.items()} }",
            flush=True,
        )
    neighbours = "gold", "iron"
    ratio = {on: p99(rows[on, True], neighbours) / p99(rows[on, False], neighbours) for on in (True, False)}
    pairs = [(on.result(), off.result()) for on, off in costs]
    costs = sorted(on / off for on, off in pairs)
    print(f"CPU a GET that is a hit, on and off: {pairs}", flush=True)
    least, used, over, lost, late, times = troubles.result()
    parts, shares = [round(x, 2) for x in least], [round(x, 2) for x in used]
    print(
        f"under troubles: least part of each span {parts}, used {shares}, "
        f"steward killed to shares again {times} ms",
        flush=True,
    )
    return {
        "schedules": len(jobs),
        "promises_broken": sum(map(len, cries.values())),
        "places_over": len(cries.get("places_over", ())) + over + told[True, False] + told[True, True],
        "share_least": round(min(least), 3),
        "neighbour_p99_ratio": round(ratio[True], 3),
        "neighbour_p99_ratio_off": round(ratio[False], 3),
        "over_off": told[False, True],
        "places_used": round(min(used), 3),
        "gets_lost": lost,
        "late_sheds": late + len(cries.get("late_sheds", ())),
        "recover_ms_max": max(times, default=None),
        "cpu_over_off": round(costs[len(costs) // 2], 3),
        "loop_stall_ms_max": round(max(stall[True, greedy] for greedy in (True, False)), 1),
    }
