"""Membership in a front: the file is watched, lists are loaded elsewhere, changes of the view handed over in pieces."""

import asyncio
import gc
import os
import sys
import time

import orjson
import watchfiles

from sprucegate import clock
from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery import list_reader
from sprucegate.discovery.merged_endpoints import MergedEndpoints, endpoint_list_of
from sprucegate.discovery.merged_view import STANDING_WORDS, View
from sprucegate.discovery.safety_gate import SafetyGate
from sprucegate.discovery.worker import flat, server_of
from sprucegate.storage.disk import Disk
from sprucegate.storage.snapshots import SnapshotStore

MANY = 1000  # entries of a change after which the collector is told that they stay
PIECE = 100  # entries handed over in one turn of the loop
TURN = 0.001  # seconds between two such turns, so that a GET comes in between
UNSETTLED = 1.0  # seconds after which a list that does not become whole is logged
AGAIN = 0.05  # seconds until one that is being written is read again
LINE_MOST = 4 << 20
S = 1_000_000_000


class Membership(MergedEndpoints):
    """Between the sources and the driver, with a list that is watched."""

    def __init__(self, driver, wanted, node, disk=None):
        super().__init__(driver, View(node.order, node.ramp, driver.clock()))
        self.wanted, self.node, self.log = wanted, node, driver.log
        self.loop, self.gate = asyncio.get_running_loop(), SafetyGate(node.most_removed, node.hold)
        self.snapshots = (
            SnapshotStore(disk or Disk(), node.state, "servers", node.keep) if node.state else None
        )
        self.queue, self.handing, self.held_digest = [], None, ""
        self.wake, self.digest, self.refused, self.unsettled = asyncio.Event(), "", None, None
        self.worker, self.dirty, self.tasks, self.seen, self.events = None, False, [], None, 0
        self.polled, self.telling = False, asyncio.Lock()
        self.serving, self.kept = False, None  # whether changes go on by pieces; entries of the snapshot

    # The bus.

    def merged(self, hosts, now):
        """What the bus tells, through the view: Hosts to apply now, or None."""
        change = self._bus_change(hosts, now)
        if change is None:
            return None
        self.dirty = True
        if self.queue:  # in order behind what is being handed over
            self.hand_over(change)
            return None
        return endpoint_list_of(change.servers)

    # Start and end.

    async def recovers(self):
        """The last good snapshot, where there is one: whether the front has servers by it."""
        if (kept := self._recovered()) is None:
            return False
        # First, so that a list that takes away too much is held at a restart as well.
        await self._file_told([server_of(row) for row in kept["file"]], True)
        self._all_handed()
        self.kept = len(kept["file"])
        return True

    async def start(self):
        """The list of the file, before the front is ready."""
        loaded = await self._loaded()
        if isinstance(loaded, list):
            await self._taken(loaded)
        elif self.kept is not None:
            self.log("servers_from_snapshot", generation=self.view.generation, entries=self.kept)
        if not self.serving:
            self._all_handed()
        while self.queue:
            await asyncio.sleep(TURN)
        await asyncio.to_thread(int)  # the first thread takes a tenth of a second: now, not in service
        self.tasks = [
            self.loop.create_task(each()) for each in (self._watch, self._poll, self._run, self._keep)
        ]

    def _all_handed(self):
        """What waits at once, and from here on in pieces: words of other fronts come before the first reading."""
        while self.queue:
            self.driver.apply(self.queue.pop(0))
        self.serving = True

    def stop(self):
        """Cancel the watch and the hand-over, and end the reading process."""
        for task in self.tasks:
            task.cancel()
        if self.worker is not None and self.worker.returncode is None:
            self.worker.kill()

    def _recovered(self):
        if self.snapshots is None:
            return None
        now = clock.unix()
        taken, refused = self.snapshots.newest(now, self.node.state_oldest)
        for one in refused:
            self.log("snapshot_refused", name=one.name, error=one.why)
        if taken is None:
            return None
        try:
            kept = orjson.loads(taken.payload)
            kept["file"] = [row for piece in kept["file"] for row in piece]
            self.view.restored(kept, clock.from_unix)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
            self.log("snapshot_refused", name="servers", error=f"{type(fault).__name__}: {fault}")
            return None
        self.log(
            "snapshot_read",
            generation=taken.generation,
            age_s=(now - taken.at) // S,
            entries=len(kept["file"]),
        )
        return kept

    # Loading.

    async def _loaded(self):
        """Servers of a new list; None where there is nothing new to use."""
        try:
            said = await self._asked()
        except (OSError, ValueError, asyncio.IncompleteReadError) as fault:
            self.log("servers_worker_lost", error=f"{type(fault).__name__}: {fault}")
            if self.worker is not None and self.worker.returncode is None:
                self.worker.kill()
            self.worker = None
            await asyncio.sleep(AGAIN)
            self.wake.set()
            return None
        if isinstance(said, OperatorFileError):
            self._refuse(said)
            return None
        if isinstance(said, str):
            self._wait(said)
            return None
        self.unsettled = self.refused = None
        return said

    async def _asked(self):
        if self.worker is None or self.worker.returncode is not None:
            self.worker = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sprucegate.discovery.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=LINE_MOST,
            )
        self.worker.stdin.write(
            orjson.dumps(
                {
                    "path": self.node.file,
                    "digest": self.digest,
                    "locations": self.wanted.locations,
                    "kinds": self.wanted.kinds,
                }
            )
            + b"\n"
        )
        servers, digest = [], ""
        while True:
            async with asyncio.timeout(30):
                said = orjson.loads(await self.worker.stdout.readuntil(b"\n"))
            if "faulty" in said:
                return OperatorFileError(*said["faulty"])
            if "unsettled" in said:
                return said["unsettled"]
            if "same" in said:
                self.unsettled = self.refused = None
                return None
            servers += [server_of(row) for row in said["servers"]]
            digest = said["digest"]
            if not said["more"]:
                self.digest = digest
                return servers
            await asyncio.sleep(0)  # lines that lie ready must not become one long turn

    def _refuse(self, fault):
        self.unsettled = None
        if str(fault) != self.refused:  # once, however often it is read again
            self.refused = str(fault)
            self.log(
                "servers_refused",
                file=fault.file,
                line=fault.line,
                key=fault.key,
                error=fault.text,
                generation=self.view.generation,
            )

    def _wait(self, why):
        """Being written, or gone for a moment: the last list stands; after a second it is told."""
        now = time.monotonic()
        begun, told = self.unsettled or (now, False)
        if not told and now - begun > UNSETTLED:
            self.log("servers_unsettled", error=why, generation=self.view.generation)
            told = True
        self.unsettled = begun, told
        self.loop.call_later(AGAIN if not told else UNSETTLED, self.wake.set)

    # Taking.

    async def _taken(self, servers):
        now = self.driver.clock()
        fleet, digest = self.driver.fleet, self.digest
        held = fleet is not None and fleet.is_list_held(digest)
        passed = self.gate.offer(self.view.lists["file"], servers, now, held)
        self.held_digest = digest if passed.held is not None else ""
        if self.held_digest and fleet is not None:
            fleet.record_held_list(digest, confirmed=False)
        await asyncio.sleep(0)
        if passed.held is not None:
            held = passed.held
            self.log(
                "servers_held",
                number=held.number,
                location=_name(self.wanted.locations, held.location),
                share=round(held.share, 3),
                until_s=(held.until - now) // S,
                entries=len(held.servers),
                generation=self.view.generation,
            )
        await self._file_told(passed.servers, passed.whole)

    async def _file_told(self, servers, whole):
        """A list of the file, worked out and handed over a piece a turn of the loop, under one generation."""
        changed = 0
        async with self.telling:
            for change in self.view.changes("file", servers, whole, self.driver.clock(), PIECE):
                if change is not None:
                    changed += len(change.servers)
                    self.hand_over(change)
                await asyncio.sleep(TURN)
        self.dirty = True
        if self.driver.fleet is not None:
            self.driver.fleet.on_endpoints_changed()
        if changed:
            self.log(
                "servers_taken", generation=self.view.generation, changed=changed, entries=len(self.view.rows)
            )
        if changed > MANY:
            # What such a list built stays: the collector need not walk it, which would take longer than a turn.
            gc.freeze()

    def hand_over(self, change):
        """Queue a change of the merged view; it goes to the driver in pieces, so that requests come in between."""
        self.queue += [
            endpoint_list_of(change.servers[at : at + PIECE]) for at in range(0, len(change.servers), PIECE)
        ]
        if self.serving and self.handing is None:
            self._piece()

    def _piece(self):
        """One piece a turn of the loop, in the order of the changes; the first one at once."""
        self.handing = None
        if self.queue:
            self.driver.apply(self.queue.pop(0))
        if self.queue:
            self.handing = self.loop.call_later(TURN, self._piece)

    # Watching.

    async def _watch(self):
        """Events of the folder that holds the file, and of the folder itself where the list is one."""
        while True:
            base = os.path.dirname(os.path.abspath(self.node.file))
            folders = [base] + ([self.node.file] if os.path.isdir(self.node.file) else [])
            try:
                async for _ in watchfiles.awatch(
                    *folders,
                    watch_filter=None,
                    debounce=20,
                    step=10,
                    recursive=False,
                    rust_timeout=1000,
                    yield_on_timeout=False,
                ):
                    self.events += 1
                    self.wake.set()
                    if len(folders) == 1 and os.path.isdir(self.node.file):
                        break
            except (OSError, RuntimeError) as fault:
                self.log("servers_unwatched", error=f"{type(fault).__name__}: {fault}")
            await asyncio.sleep(1)

    async def _poll(self):
        """Beside the events, which do not come from every file system."""
        while True:
            events, before = self.events, self.seen
            await asyncio.sleep(self.node.poll / S)
            self.seen = list_reader.signature(self.node.file)
            if self.seen != before:
                if events == self.events and before is not None and not self.polled:
                    self.polled = True
                    self.log("servers_polled", error="a change came without an event")
                self.wake.set()
            now = self.driver.clock()
            if (passed := self.gate.on_timer(now)) is not None:
                self.log("servers_hold_over")
                await self._file_told(passed.servers, True)
            if (change := self.view.due(now)) is not None:
                self.hand_over(change)
            await self._confirm()

    async def _confirm(self):
        """`servers confirm NUMBER` leaves its number in the state folder; or it was left at another front."""
        fleet = self.driver.fleet
        if self.gate.held is not None and fleet is not None and fleet.is_list_confirmed(self.held_digest):
            passed = self.gate.confirm(self.gate.held.number)
            self.log("servers_confirmed", number=0)
            return await self._file_told(passed.servers, True)
        if self.gate.held is None or not self.node.state:
            return
        try:
            with open(os.path.join(self.node.state, "confirm")) as file:
                number = int(file.read(20))
        except (OSError, ValueError):
            return
        if (passed := self.gate.confirm(number)) is not None:
            self.log("servers_confirmed", number=number)
            if self.driver.fleet is not None:
                self.driver.fleet.record_held_list(self.held_digest, confirmed=True)
            await self._file_told(passed.servers, True)

    async def _run(self):
        """Loads after a change, never more often than `least`; what changes meanwhile is read after it."""
        while True:
            await self.wake.wait()
            while self.queue:  # a storm of large lists must not pile up what is to be handed over
                await asyncio.sleep(TURN)
            self.wake.clear()
            loaded = await self._loaded()
            if isinstance(loaded, list):
                await self._taken(loaded)
            await asyncio.sleep(self.node.least / S)

    # What lasts.

    async def _keep(self):
        """A snapshot at most once a second, made in pieces and written in a thread."""
        while True:
            await asyncio.sleep(1)
            if self.snapshots is not None and self.dirty and not self.queue:
                await self.keep()

    async def keep(self):
        """What a restart needs (the file's list, all drains) and what `servers show` prints (the view's rows)."""
        self.dirty, generation, pieces = False, self.view.generation, []
        rows = list(self.view.lists["file"].values())
        head = orjson.dumps(self.view.kept(clock.to_unix))[:-1]
        for at in range(0, len(rows), PIECE):
            pieces.append(orjson.dumps([flat(server) for server in rows[at : at + PIECE]]))
            await asyncio.sleep(0)
        shown, rows = [], list(self.view.rows.values())
        for at in range(0, len(rows), PIECE):
            shown.append(
                orjson.dumps(
                    [
                        [
                            row.server.name,
                            row.server.address,
                            STANDING_WORDS[row.standing],
                            row.why,
                            clock.to_unix(row.since),
                            row.server.entry.weight,
                        ]
                        for row in rows[at : at + PIECE]
                    ]
                )
            )
            await asyncio.sleep(0)
        payload = head + b',"file":[' + b",".join(pieces) + b'],"rows":[' + b",".join(shown) + b"]}"
        fault = await asyncio.to_thread(self.snapshots.save, generation, clock.unix(), payload)
        if fault:
            self.log("snapshot_failed", error=fault, generation=generation)


def _name(names, at):
    return next((name for name, index in names.items() if index == at), str(at))
