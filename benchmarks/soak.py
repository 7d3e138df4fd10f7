"""Many real fronts on loopback under overlapping troubles, judged by the records of servers and clients.

`python -m benchmarks soak --seed N --seconds S --fronts F`: two or three troubles overlap at each moment of a schedule
that is drawn from the seed: signals, clock steps and failing system calls at fronts, servers and buses that misbehave,
drains, restarts and purges, clients of all manners. `--shrink` plays a failing schedule again with fewer troubles
until each is needed; `--replay FILE` plays one that was written down. Everything is bounded by `--seconds`.
"""

import asyncio
import errno
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import uvloop

from benchmarks import http2_closes
from standins.faults import SHORT, Faults
from standins.ports import free_port
from standins.soak import clients, judge, schedule
from standins.soak.schedule import Fault

CACHES, PARENTS = 6, 2
SETTINGS = {
    **http2_closes.SETTINGS,
    "allowed": {**http2_closes.SETTINGS["allowed"], "connectTimeout": 400_000},
}
NEVER = 1e12
TURN, STALLED = 0.02, 0.15  # seconds between two looks at the clients' own loop; how late one may be
KILL_AFTER = 3.7  # seconds from SIGTERM to the earliest SIGKILL: the longest deadline, 3 s at most, and 0.7 s
OPEN_AFTER_TERM = 0.3  # seconds from SIGTERM in which clients open new connections
LEAST_LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}  # the least memory that the pages name
USUAL_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
READY_IN = 10.0  # seconds in which nine of ten restarted fronts have to be ready


class Front:
    """One front's process with its faults, its log, and how clients see it."""

    def __init__(self, number, folder, hosts, bus, fleet=()):
        """`fleet`: addresses of the fronts that are one fleet, this one's included; empty: it is alone."""
        self.number, self.path, self.log = (
            number,
            folder / f"front-{number}.json",
            folder / f"front-{number}.log",
        )
        self.faults = Faults(folder / f"faults-{number}")
        self.target = clients.Target(number, ("127.0.0.1", free_port()))
        self.config = {
            "name": f"n{number}",
            "seed": f"{number + 7:x}",
            "bus": bus,
            "listen": f"127.0.0.1:{self.target.address[1]}",
            "flow_bytes_per_s": 1e7,
            "link_bytes_per_s": 1e8,
            # A front with an operator's file has more libraries, and more memory.
            "limits": LEAST_LIMITS if number % 3 == 1 and not fleet else USUAL_LIMITS,
            "settings": SETTINGS,
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}],
            },
        }
        self.path.write_text(json.dumps(self.config))
        self.command = [sys.executable, "-m", "standins.faults", self.faults.path]
        if fleet:
            operator = folder / f"front-{number}.kdl"
            join = " ".join(f'"{at}"' for at in list(fleet.values())[:3])
            operator.write_text(
                f'fleet {{\n    name "soak"\n    listen "{fleet[number]}"\n    join {join}\n'
                f'    state "{folder}/state-{number}"\n    alone-after (s)2\n}}\nlog {{\n    gets #true\n}}\n'
            )
            self.command += ["front", "--file", str(operator)]
        self.lines, self.counts, self.process, self.ready_in = [], Counter(), None, []
        self.last, self.busy = {}, asyncio.Lock()
        self.peak_mb = 0.0

    async def start(self):
        begun = time.monotonic()
        self.process = subprocess.Popen(
            self.command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(self.path)},
        )
        ready = threading.Event()
        threading.Thread(target=self._read, args=(self.process, ready), daemon=True).start()
        while not ready.is_set() and time.monotonic() - begun < 30 and self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.ready_in.append(time.monotonic() - begun)
        self.target.open_until = self.target.used_until = NEVER

    def note_peak(self):
        """Remember the peak of the running process's memory."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                found = [line for line in file if line.startswith("VmHWM")]
        except OSError:
            return
        if found:  # none of a process that has just ended
            self.peak_mb = max(self.peak_mb, int(found[0].split()[1]) / 1024)

    def _read(self, process, ready):
        for text in process.stdout:
            with self.log.open("ab") as file:
                file.write(text)
            line = json.loads(text)
            match line["event"]:
                case "ready":
                    ready.set()
                case "second" | "stopped":
                    self.last = line
                    self.counts.update(
                        {k: v for k, v in line.items() if k.startswith("invariant_violations")}
                    )
                case "fault" | "invariant_broken":
                    self.lines.append(line)
        if error := process.stderr.read().decode(errors="replace").strip():
            self.lines.append({"event": "stderr", "text": error[-2000:]})


class Soak:
    def __init__(self, seed, seconds, count, troubles, folder):
        self.seed, self.seconds, self.count, self.folder = seed, seconds, count, folder
        self.troubles, self.windows, self.found = troubles, [], []
        self.chance, self.stalls = random.Random(f"{seed} soak"), 0
        self.records = folder / "records"

    async def run(self):
        self.servers = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.soak.servers",
                "--caches",
                str(CACHES),
                "--parents",
                str(PARENTS),
                "--fronts",
                str(self.count),
                "--seed",
                str(self.seed),
                "--records",
                str(self.records),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            await self._served()
        finally:
            for front in getattr(self, "fronts", ()):
                if front.process is not None and front.process.poll() is None:
                    front.process.kill()
                    front.process.wait()
            self.servers.stdin.close()
            self.servers.wait(20)
        rows = [row for front in self.fronts for row in front.target.rows]
        records = [json.loads(line) for line in self.records.read_text().splitlines()]
        self.found += judge.find_violations(rows, records, self.windows)
        self.found += self._fronts()
        return rows

    async def _served(self):
        lines = [self.servers.stdout.readline().strip() for _ in range(CACHES + PARENTS + 1 + self.count)]
        kinds = ["std"] * CACHES + ["parent"] * PARENTS + ["origin"]
        hosts = [
            {
                "host": f"s-{at + 1:x}",
                "dial": lines[at],
                "site": "here",
                "class": kind,
                "block": 0,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
            }
            for at, kind in enumerate(kinds)
        ]
        # A third of them as one fleet, with folders that last; the others as the platform runs them.
        fleet = {at: f"127.0.0.1:{free_port()}" for at in range(2, self.count, 3)}
        self.fronts = [
            Front(at, self.folder, hosts, lines[len(kinds) + at], fleet if at in fleet else ())
            for at in range(self.count)
        ]
        await asyncio.gather(*[front.start() for front in self.fronts])
        self.begun = time.monotonic()
        self.all = [
            clients.Client(at, [f.target for f in self.fronts], self.seed) for at in range(3 * self.count)
        ]
        watch = asyncio.ensure_future(self._watch())
        asking = [asyncio.ensure_future(one.run(self.begun + self.seconds - 2)) for one in self.all]
        await asyncio.gather(*[self._trouble(one) for one in self.troubles])
        await asyncio.gather(*asking)
        await asyncio.sleep(3.5)  # all that was open has ended, and one `second` has passed
        for front in self.fronts:
            if front.last.get("open") or front.last.get("buffers"):
                self.found.append(("left_over", f"front {front.number}: {front.last}"))
        await asyncio.gather(*[self._stops(front, last=True) for front in self.fronts])
        watch.cancel()

    async def _watch(self):
        """Where the clients' own process stood still nothing can be said of answers in that time; it is counted."""
        while True:
            begun = time.monotonic()
            await asyncio.sleep(TURN)
            for front in self.fronts:
                front.note_peak()
            if time.monotonic() - begun > TURN + STALLED:
                self.stalls += 1
                self.windows += [
                    judge.Window(front.number, "stall", begun, time.monotonic()) for front in self.fronts
                ]

    def _say(self, **said):
        self.servers.stdin.write(json.dumps(said) + "\n")
        self.servers.stdin.flush()

    async def _trouble(self, one):
        await asyncio.sleep(max(0, self.begun + one.at - time.monotonic()))
        if one.what in ("server", "bus", "drain", "restart", "purge"):
            return self._say(do=one.what, where=one.where, how=one.how, seconds=one.seconds)
        front = self.fronts[one.where]
        if one.what in ("clients", "crowd"):
            return await getattr(self, f"_{one.what}")(front, one)
        async with front.busy:  # a front that is being restarted has no second signal
            await getattr(self, f"_{one.what}")(front, one)

    async def _clients(self, front, one):
        if one.how in ("leave", "dribble"):
            for client in self.all[::4]:
                client.misbehaviour = one.how
            await asyncio.sleep(one.seconds)
            for client in self.all[::4]:
                client.misbehaviour = ""
            return
        await clients.run_misbehaving_client(front.target, one.how, one.seconds, self.chance)

    async def _crowd(self, front, one):
        """Misbehaving clients in a process of their own; their requests are not judged."""
        command = [sys.executable, "-m", "standins.misbehaving_clients", "--manner", one.how]
        command += ["--address", "{}:{}".format(*front.target.address)]
        command += ["--count", str(schedule.CROWDS[one.how]), "--seconds", str(one.seconds)]
        process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.DEVNULL)
        await process.wait()

    async def _term(self, front, one):
        await self._stops(front)
        await front.start()

    async def _series(self, front, one):
        """SIGTERM, and more signals while the front ends."""
        more = [text.split(":") for text in one.how.split()]
        await self._stops(front, more=[(getattr(signal, f"SIG{name}"), float(gap)) for name, gap in more])
        await front.start()

    async def _signal_on(self, process, more):
        for number, gap in more:
            await asyncio.sleep(gap)
            if process.poll() is None:
                process.send_signal(number)

    async def _stops(self, front, last=False, more=()):
        """End a front by SIGTERM. Clients go on using open connections until it has ended, or is killed."""
        begun = time.monotonic()
        front.target.open_until = begun + OPEN_AFTER_TERM
        front.process.send_signal(signal.SIGTERM)
        series = asyncio.ensure_future(self._signal_on(front.process, more))
        while front.process.poll() is None and time.monotonic() - begun < KILL_AFTER:
            await asyncio.sleep(0.02)
        front.target.used_until = time.monotonic()
        if front.process.poll() is None:
            self.found.append(("stop", f"front {front.number}: still there after {KILL_AFTER} s"))
            front.process.kill()
        elif front.process.wait() != 0:
            self.found.append(("exit", f"front {front.number}: {front.process.returncode}"))
        await series
        self.windows.append(judge.Window(front.number, "term", begun, time.monotonic() + 0.1))

    async def _kill(self, front, one):
        begun = time.monotonic()
        front.process.kill()
        await asyncio.to_thread(front.process.wait)  # not here: all clients would stand still with it
        front.target.open_until = front.target.used_until = 0
        await front.start()
        self.windows.append(judge.Window(front.number, "kill", begun - 0.05, time.monotonic()))

    async def _stop(self, front, one):
        begun = time.monotonic()
        front.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(one.seconds)
        front.process.send_signal(signal.SIGCONT)
        self.windows.append(judge.Window(front.number, "stop", begun - 0.05, time.monotonic() + 0.3))

    async def _hup(self, front, one):
        for at in range(int(one.how)):
            front.path.write_text("{" if at % 3 == 1 else json.dumps(front.config))
            front.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        front.path.write_text(json.dumps(front.config))
        front.process.send_signal(signal.SIGHUP)

    async def _wall(self, front, one):
        front.faults.step_wall(int(one.how))

    async def _call(self, front, one):
        call, name = one.how.split(":")
        front.faults.fail(
            call, SHORT if name == "SHORT" else getattr(errno, name), 3, self.chance.randrange(4)
        )

    def _fronts(self):
        found = []
        stood = {one.front for one in self.windows if one.what == "stop"}
        for front in self.fronts:
            limit = front.config["limits"]["memory_mb"]
            if front.peak_mb > limit:
                found.append(("memory", f"front {front.number}: {front.peak_mb:.1f} MB of {limit}"))
            # A front that stood still answers late, and can't know why; the judge excuses just those requests.
            found += [
                ("invariant", f"front {front.number}: {name} {count}")
                for name, count in front.counts.items()
                if not (front.number in stood and name.endswith("answered_late"))
            ]
            found += [
                (line["event"], f"front {front.number}: {json.dumps(line)[:1500]}")
                for line in front.lines
                if not (front.number in stood and line.get("rule") == "answered_late")
            ]
        times = sorted(t for front in self.fronts for t in front.ready_in)
        if times[int(0.9 * (len(times) - 1))] > READY_IN:
            found.append(("ready", f"nine in ten after {times[int(0.9 * (len(times) - 1))]:.1f} s"))
        return found


def played(seed, seconds, count, troubles=None, keep=None):
    """(troubles, what was found, figures) of one soak.

    `keep` is a folder for the schedule, records, fronts' logs and findings of one that failed.
    """
    if troubles is None:
        troubles = schedule.generate_schedule(seed, seconds, count, CACHES + PARENTS + 1)
    with tempfile.TemporaryDirectory() as folder:
        made = Soak(seed, seconds, count, troubles, Path(folder))
        rows = uvloop.run(made.run())
        if made.found and keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
            Path(keep, "schedule.json").write_text(json.dumps(troubles, indent=1))
            Path(keep, "found.txt").write_text("".join(f"{rule}: {text}\n" for rule, text in made.found))
            Path(keep, "rows.json").write_text(
                "".join(
                    json.dumps({**vars(row), "body": row.body[:60].decode("latin-1")}) + "\n" for row in rows
                )
            )
    ended = Counter(row.how for row in rows)
    ok = sum(row.status == 200 for row in rows)
    return (
        troubles,
        made.found,
        {
            "requests": len(rows),
            **ended,
            "served": ok,
            "troubles": len(troubles),
            "stalls": made.stalls,
            "peak_mb": round(max(front.peak_mb for front in made.fronts), 1),
            "peak_of_least_mb": round(
                max((f.peak_mb for f in made.fronts if f.config["limits"] is LEAST_LIMITS), default=0), 1
            ),
        },
    )


def measure(quick, seed=1, seconds=120, fronts=24, shrink=False, replay=None, keep=None, smoke=False):
    if quick:
        seconds, fronts = 30, 10
    if smoke:  # the shortest schedule that has a moment of troubles
        seconds, fronts = 9, 3
    troubles = None
    if replay:
        troubles = [Fault(*one) for one in json.loads(Path(replay).read_text())]
    troubles, found, figures = played(seed, seconds, fronts, troubles, keep)
    for rule, text in found[:40]:
        print(f"{rule}: {text}", flush=True)
    if found and shrink:
        rules = {rule for rule, _ in found}
        troubles = schedule.shrink_schedule(
            troubles, lambda fewer: any(rule in rules for rule, _ in played(seed, seconds, fronts, fewer)[1])
        )
        print(json.dumps(troubles), flush=True)
    return {
        "seed": seed,
        "seconds": seconds,
        "fronts": fronts,
        **figures,
        "violations": len(found),
        "rules": dict(Counter(rule for rule, _ in found)),
    }
