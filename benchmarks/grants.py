"""What the entries of a release cost the event loop of a front: one entry, and the longest turn of the loop.

    python -m benchmarks grants [--quick]

The front's side of the replicated log runs on a real loop, without sockets. Its agent applies no drains. A wave of 98%
of the servers is released under budgets of all scopes; then fronts report drains, and an agent replaces servers.
"""

import asyncio
import statistics
import time
from types import SimpleNamespace
from typing import NamedTuple

import uvloop

from sprucegate.fleet.consensus.driver import ConsensusDriver
from sprucegate.fleet.consensus.log_follower import ApplyCommands
from sprucegate.fleet.maintenance_agent import ConsensusSettings
from sprucegate.fleet.rollout.rollout import RolloutStateMachine

SERVERS_PER_LOCATION = 4
WAVE_SHARE = 0.98
ENTRIES_PER_MESSAGE = 200
TURN_MAX_MS = 10  # of a front with 200 servers


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    servers: tuple
    replaced: int  # servers that are replaced after the first entry
    runs: int


FULL = Size((200, 800, 3200), replaced=60, runs=5)
QUICK = Size((200, 800, 3200), replaced=30, runs=2)
SMOKE = Size((8, 16), replaced=2, runs=1)


class Release:
    """The entries of one release, in the order in which the log has them."""

    def __init__(self, servers):
        self.servers = servers
        self.index = 0

    def _entry(self, *command):
        self.index += 1
        return self.index, list(command)

    def before(self):
        """The servers, the budgets and the front."""
        boxes = [
            [f"s-{at}", "cache", f"location-{at // SERVERS_PER_LOCATION}", "std", f"g{at % 2}", 1]
            for at in range(self.servers)
        ]
        half = self.servers // 2
        budgets = [
            ["fleet", "", "cache", half, 500],
            ["location", "", "cache", 2, 500],
            ["kind", "", "cache", half, 500],
            ["group", "", "cache", half, 500],
            ["fleet", "", "", half, 500],
            ["location", "", "", 2, 500],
        ]
        yield self._entry("boxes", boxes)
        yield self._entry("limits", budgets, [200, 1000])
        yield self._entry("front", "n0", 1, True)

    def start(self):
        """The entry that starts it: one server of each location, then a second one of each, and so on."""
        order = [f"s-{at}" for first in range(SERVERS_PER_LOCATION) for at in self._each_location(first)]
        wave = order[: int(self.servers * WAVE_SHARE)]
        return self._entry("release", ["v2", "std", "2", "1", [wave], 0], "op")

    def _each_location(self, first):
        return range(first, self.servers, SERVERS_PER_LOCATION)

    def replacements(self, permits):
        """The entries by which servers are drained, taken out, started and warm again."""
        for permit in permits:
            yield self._entry("drained", permit, "n0", 1)
            yield self._entry("out", permit, "agent")
            yield self._entry("started", permit, f"{permit} anew")
            yield self._entry("warm", permit, f"{permit} anew", "n0", 1)


def _start_seconds(servers):
    """Seconds of the entry that starts the release."""
    machine, release = RolloutStateMachine(), Release(servers)
    for index, command in release.before():
        machine.apply(index, command)
    index, command = release.start()
    begun = time.perf_counter()
    machine.apply(index, command)
    return time.perf_counter() - begun


async def _watch_turns(turns, stop):
    last = time.perf_counter()
    while not stop.is_set():
        await asyncio.sleep(0)
        now = time.perf_counter()
        turns.append(now - last)
        last = now


async def _longest_turn(servers, replaced):
    """Seconds of the longest turn of the loop while a front applies the entries of a release."""
    settings = ConsensusSettings({"k0": "127.0.0.1:1"}, "", None)
    agent = SimpleNamespace(apply_drains=lambda machine: machine.drained())
    driver = ConsensusDriver("n0", 1, settings, 7, lambda *_, **__: None, None, agent)
    release, turns, stop = Release(servers), [], asyncio.Event()
    driver._perform([ApplyCommands(list(release.before()))])
    watch = asyncio.ensure_future(_watch_turns(turns, stop))
    await asyncio.sleep(0)
    driver._perform([ApplyCommands([release.start()])])
    await asyncio.sleep(0)
    permits = list(driver.state_machine.permits.permits)[:replaced]
    entries = list(release.replacements(permits))
    for at in range(0, len(entries), ENTRIES_PER_MESSAGE):
        driver._perform([ApplyCommands(entries[at : at + ENTRIES_PER_MESSAGE])])
        while driver.unapplied_entries:
            await asyncio.sleep(0)
    stop.set()
    await watch
    return max(turns)


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    figures, seconds = {}, {}
    for servers in size.servers:
        seconds[servers] = statistics.median(_start_seconds(servers) for _ in range(size.runs))
        turns = [uvloop.run(_longest_turn(servers, size.replaced)) for _ in range(size.runs)]
        start_ms, turn_ms = seconds[servers] * 1000, statistics.median(turns) * 1000
        figures[f"start_ms_{servers}"] = round(start_ms, 2)
        figures[f"longest_turn_ms_{servers}"] = round(turn_ms, 2)
        print(
            f"{servers} servers: start of a release {start_ms:.1f} ms, longest turn {turn_ms:.1f} ms",
            flush=True,
        )
    first, last = size.servers[0], size.servers[-1]
    figures["cost_ratio"] = round(seconds[last] / seconds[first], 1)
    if not smoke:
        figures["turns_too_long"] = int(figures["longest_turn_ms_200"] > TURN_MAX_MS)
    return figures
