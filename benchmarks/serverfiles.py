"""Watched server files: rewrites under traffic, 20,000 entries, moved objects, injected crashes.

The front is a process of its own; the servers and the clients run in this one, so that every arrival has one clock with
the rewrites.
"""

import asyncio
import gc
import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import uvloop

from benchmarks.http2_closes import SETTINGS, _bus, _client
from sprucegate.assembly import run
from sprucegate.cli.operator_file import parse
from sprucegate.discovery import moves
from sprucegate.discovery.list_format import render
from sprucegate.discovery.merged_view import Server
from sprucegate.front import configuration
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.storage.snapshots import SnapshotStore
from sprucegate.upstream.hosts import endpoint_id
from standins import lines
from standins.disk import Crashed, FaultyDisk

LOCATIONS, KINDS = {"here": 0}, {"std": 0, "parent": 1, "origin": 2}
BOXES = 8
S = 1_000_000_000


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    crashes: int
    objects: int  # whose caches are compared before and after a weight has changed
    entries: int  # of the large list
    large_runs: int
    rewrite_seconds: float
    still_seconds: float  # of traffic without rewrites, to compare with


FULL = Size(1000, objects=20_000, entries=20_000, large_runs=3, rewrite_seconds=120, still_seconds=20)
QUICK = Size(200, objects=20_000, entries=20_000, large_runs=1, rewrite_seconds=10, still_seconds=5)
# Two seconds are twenty rewrites: enough that a drain is lifted again.
SMOKE = Size(20, objects=200, entries=300, large_runs=1, rewrite_seconds=2, still_seconds=0.5)


def server(name, address, kind=0, state=EndpointState.SERVING, weight=1.0):
    return Server(Endpoint(endpoint_id(name), 0, kind, 0, state, weight, 0), name, address)


class Box(lines.Server):
    """A line server in this process that writes down when a GET came, and what it was to be filled from."""

    def __init__(self, name, arrivals):
        super().__init__(service=0.004)
        self.name, self.arrivals = name, arrivals
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def came(self, call_id, fields):
        source = next((part[4:] for part in fields.decode().split(",") if part.startswith("src=")), "")
        self.arrivals.append((time.time(), self.name, source))


def _config(folder, port, bus):
    return {
        "name": "n0",
        "seed": "7f",
        "listen": f"127.0.0.1:{port}",
        "bus": bus,
        "flow_bytes_per_s": 1e7,
        "link_bytes_per_s": 1e8,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": {"offset": 1, "batch": []},
    }


def _kdl(folder):
    return (
        f'membership {{\n    file "{folder}/list.kdl"\n    state "{folder}/state"\n    ramp (s)2\n'
        "    hold (s)600\n}\n"
    )


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class FrontProcess:
    def __init__(self, folder, port, bus):
        config, kdl = Path(folder, "front.json"), Path(folder, "sprucegate.kdl")
        config.write_text(json.dumps(_config(folder, port, bus)))
        kdl.write_text(_kdl(folder))
        self.begun, self.lines = time.monotonic(), []
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sprucegate", "front", "--file", str(kdl)],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config)},
        )
        for line in self.process.stdout:
            self.lines.append(json.loads(line))
            if self.lines[-1]["event"] == "ready":
                break
        self.ready = time.monotonic() - self.begun
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def cpu(self):
        """CPU seconds of the front and its worker."""
        with open(f"/proc/{self.process.pid}/task/{self.process.pid}/children") as file:
            pids = [self.process.pid, *map(int, file.read().split())]
        total = 0
        for pid in pids:
            with open(f"/proc/{pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) / 100
        return total

    def stop(self):
        self.process.terminate()
        self.process.wait(10)


async def _rewrites(path, boxes, root, seconds, drains, chance):
    """600 a minute: renamed, in place, half-written first, in turn; every fifth changes what drains."""
    draining, begun, count = [], time.monotonic(), 0
    while time.monotonic() - begun < seconds:
        lifted = None
        if count % 5 == 0:
            box = boxes[(count // 5) % BOXES]
            draining.append(box.name)
            if len(draining) > 3:
                lifted = draining.pop(0)
        listed = [
            server(
                b.name, b.address, 0, EndpointState.DRAINING if b.name in draining else EndpointState.SERVING
            )
            for b in boxes
        ]
        text = render([*listed, server(root.name, root.address, 2)], LOCATIONS, KINDS) + f"// {count}\n"
        if lifted is not None and lifted not in draining:
            drains.append((time.time(), lifted, False))  # from now on it may be sent to again
        if count % 3 == 0:
            path.with_suffix(".new").write_text(text)
            os.rename(path.with_suffix(".new"), path)
        elif count % 3 == 1:
            path.write_text(text)
        else:
            with open(path, "w") as file:
                half = chance.randrange(1, len(text))
                file.write(text[:half])
                file.flush()
                await asyncio.sleep(0.02)
                file.write(text[half:])
        if count % 5 == 0:
            drains.append((time.time(), draining[-1], True))
        count += 1
        await asyncio.sleep(max(0, begun + count * 0.1 - time.monotonic()))
    return count


async def _paced(address, ends, seconds, number, chance):
    """Eight GETs at a time of one connection each, 500 a second over all."""
    end, at = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        at += 1
        begun = time.monotonic()
        await _client(address, [(f"{number:04x}{at:012x}", chance.random() < 0.03)], ends, chance)
        await asyncio.sleep(max(0, 0.04 - (time.monotonic() - begun)))


async def _under_traffic(folder, seconds, still):
    loop, chance, arrivals = asyncio.get_running_loop(), random.Random(5), []
    boxes = [Box(f"s-{n:02x}", arrivals) for n in range(1, BOXES + 1)]
    root = Box("s-31", arrivals)
    for box in [*boxes, root]:
        box.accept_from(box.listener)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    tells = loop.create_task(_bus(listener))
    path, port = Path(folder, "list.kdl"), _free_port()
    path.write_text(
        render(
            [*[server(b.name, b.address) for b in boxes], server(root.name, root.address, 2)],
            LOCATIONS,
            KINDS,
        )
    )
    front = await asyncio.to_thread(FrontProcess, folder, port, f"127.0.0.1:{listener.getsockname()[1]}")
    address, ends, drains = ("127.0.0.1", port), {}, []

    async def load(length, first):
        await asyncio.gather(*[_paced(address, ends, length, first + n, chance) for n in range(20)])

    cpu = front.cpu()
    await load(still, 0)
    cpu_still = (front.cpu() - cpu) / still
    cpu, lines_before = front.cpu(), len(front.lines)
    count, _ = await asyncio.gather(_rewrites(path, boxes, root, seconds, drains, chance), load(seconds, 100))
    cpu_rewrites = (front.cpu() - cpu) / seconds
    await asyncio.to_thread(front.stop)
    tells.cancel()
    for box in [*boxes, root]:
        loop.remove_reader(box.listener)
        box.listener.close()
    logged = front.lines[lines_before:]
    return count, ends, drains, arrivals, logged, cpu_still, cpu_rewrites, len(boxes) + 1


def _percentile(values, share):
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 1) if values else None


def under_traffic(seconds, still):
    with tempfile.TemporaryDirectory() as folder:
        found = uvloop.run(_under_traffic(folder, seconds, still))
    count, ends, drains, arrivals, logged, cpu_still, cpu, whole = found
    lasts, uses = [], []
    for at, name, begins in drains:
        if not begins:
            continue
        end = next((t for t, other, b in drains if other == name and not b and t > at), arrivals[-1][0])
        late = [t - at for t, box, source in arrivals if at < t < end and name in (box, source)]
        lasts.append(max(late, default=0) * 1000)
        taken = next(
            (
                one["at"] / 1000 - at
                for one in logged
                if one["event"] == "servers_taken" and one["at"] / 1000 >= at - 0.001
            ),
            None,
        )
        uses += [max(0, taken) * 1000] if taken is not None else []
    entries = [one["entries"] for one in logged if one["event"] == "servers_taken"]
    return {
        "rewrites": count,
        "drains": len(lasts),
        "gets": len(ends),
        "gets_lost": sum(s == 0 for s, _ in ends.values()),
        "gets_returned": sum(s == 200 for s, _ in ends.values()),
        "generations_used": len(entries),
        "partial_lists_used": sum(n != whole for n in entries),
        "refusals_logged": sum(one["event"] == "servers_refused" for one in logged),
        "drain_last_send_ms_p50": _percentile(lasts, 0.5),
        "drain_last_send_ms_p99": _percentile(lasts, 0.99),
        "drain_last_send_ms_max": _percentile(lasts, 1),
        "use_ms_p50": _percentile(uses, 0.5),
        "use_ms_p99": _percentile(uses, 0.99),
        "cpu_share_still": round(cpu_still, 3),
        "cpu_share_rewrites": round(cpu, 3),
        "faults": sum(one["event"] == "fault" for one in logged),
    }


async def _large(folder, entries):
    """A front in this process takes a list of `entries`; the longest stall of its loop meanwhile."""
    gc.collect()
    gc.freeze()  # as the front does
    gc.set_threshold(20_000, 20, 100)
    loop, events, ready, taken = asyncio.get_running_loop(), Counter(), asyncio.Event(), asyncio.Event()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    tells = loop.create_task(_bus(listener))
    path = Path(folder, "list.kdl")
    small = [server("s-01", "127.0.0.1:1")]
    path.write_text(render(small, LOCATIONS, KINDS))
    wanted = configuration.parse(_config(folder, _free_port(), f"127.0.0.1:{listener.getsockname()[1]}"))
    wanted = wanted._replace(membership=parse(_kdl(folder), "f").membership)
    seen = {}

    def log(event, **fields):
        events[event] += 1
        seen[event] = fields
        {"ready": ready, "servers_taken": taken}.get(event, asyncio.Event()).set()

    drivers, original = [], run.Driver

    class Kept(original):
        def __init__(self, *given, **named):
            super().__init__(*given, **named)
            drivers.append(self)

    run.Driver = Kept
    front = loop.create_task(run.serve(wanted, log))
    await ready.wait()
    run.Driver = original
    stalls, stop = [], False

    async def beat():
        last = time.perf_counter()
        while not stop:
            await asyncio.sleep(0.001)
            now = time.perf_counter()
            stalls.append(now - last - 0.001)
            last = now

    beats = loop.create_task(beat())
    await asyncio.sleep(1)
    quiet, memory = max(stalls) * 1000, _rss()
    stalls.clear()
    taken.clear()
    many = small + [
        server(f"s-{n:x}", f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}:4000")
        for n in range(256, 256 + entries - 1)
    ]
    text = render(many, LOCATIONS, KINDS)
    await asyncio.to_thread(path.with_suffix(".new").write_text, text)
    stalls.clear()
    begun = time.perf_counter()
    os.rename(path.with_suffix(".new"), path)
    await taken.wait()
    while drivers[0].membership.queue:
        await asyncio.sleep(0.005)
    used = time.perf_counter() - begun
    await asyncio.sleep(3)  # and the snapshot
    stop = True
    await beats
    figures = {
        "large_entries": len(drivers[0].membership.view.rows),
        "large_use_s": round(used, 2),
        "loop_stall_ms_max": round(max(stalls) * 1000, 1),
        "loop_stall_ms_quiet": round(quiet, 1),
        "large_bytes": len(text),
        "large_memory_mb": round((_rss() - memory) / 1000, 1),
    }
    os.kill(os.getpid(), 15)
    await front
    tells.cancel()
    return figures


def _rss():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4


def large(entries):
    with tempfile.TemporaryDirectory() as folder:
        figures = uvloop.run(_large(folder, entries))
        os.remove(Path(folder, "list.kdl"))
        front = FrontProcess(folder, _free_port(), "127.0.0.1:9")
        read = next((one for one in front.lines if one["event"] == "snapshot_read"), {})
        front.process.kill()
        front.process.wait()
    return figures | {"start_from_snapshot_s": round(front.ready, 2), "start_entries": read.get("entries", 0)}


def moved_objects(objects):
    """One weight from 1 to 2: objects that move, over the least that had to."""
    found = {}
    for count in (10, 100, 1000):
        before = [server(f"s-{n:x}", f"127.0.0.1:{n}") for n in range(1, count + 1)]
        after = [server("s-1", "127.0.0.1:1", weight=2.0), *before[1:]]
        one = next(iter(moves.moves(before, after, objects).values()))
        found[count] = one.moved / max(1, one.least), one.moved / one.objects * 100
    return {
        "moved_over_least": round(max(ratio for ratio, _ in found.values()), 3),
        **{f"moved_percent_{count}": round(share, 2) for count, (_, share) in found.items()},
    }


def crashes(count):
    """Snapshots crashed at a drawn call, with drawn faults; what the start then uses."""
    chance, torn, newest, former, none = random.Random(11), 0, 0, 0, 0
    for seed in range(count):
        lost = {
            chance.randrange(1, 40): chance.choice(["short", "lost", OSError(28, "full")]) for _ in range(2)
        }
        disk, written, said = FaultyDisk(seed, chance.randrange(1, 40), lost), {}, 0
        kept = SnapshotStore(disk, "/s", "servers")
        try:
            for generation in range(1, 12):
                written[generation] = b"list %d;" % generation * chance.randrange(1, 400)
                if kept.save(generation, generation * S, written[generation]) is None:
                    said = generation
        except Crashed:
            pass
        taken, _ = SnapshotStore(disk.after_crash(), "/s", "servers").newest(20 * S, 100 * S)
        torn += taken is not None and taken.payload != written.get(taken.generation)
        newest += taken is not None and taken.generation >= said
        former += taken is not None and taken.generation < said
        none += taken is None
    return {
        "crashes": count,
        "torn_snapshots_used": torn,
        "newest_used": newest,
        "former_used": former,
        "none_used": none,
    }


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    figures = crashes(size.crashes)
    print(figures, flush=True)
    figures |= moved_objects(size.objects)
    print(figures, flush=True)
    stalls = [large(size.entries) for _ in range(size.large_runs)]
    for one in stalls:
        print(one, flush=True)
    figures |= {key: statistics.median(one[key] for one in stalls) for key in stalls[0]}
    figures["loop_stall_ms_max"] = max(one["loop_stall_ms_max"] for one in stalls)
    said = under_traffic(size.rewrite_seconds, size.still_seconds)
    print(said, flush=True)
    return figures | said
