"""Service discovery with a watched list of servers: reloads it on changes and applies them to the driver in batches."""

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
from sprucegate.discovery.worker import row_of, server_of
from sprucegate.storage.disk import Disk
from sprucegate.storage.snapshots import SnapshotStore

FREEZE_ENTRIES_MIN = 1000  # a larger change is excluded from garbage collection
BATCH_SIZE = 100  # entries applied in one iteration of the event loop
BATCH_INTERVAL_S = 0.001  # between two batches, so that requests are served in between
INCOMPLETE_LOG_DELAY_S = 1.0  # until a list that stays incomplete is logged
RETRY_DELAY_S = 0.05  # until an incomplete list is read again
WORKER_LINE_BYTES_MAX = 4 << 20
WORKER_TIMEOUT_S = 30
NS_PER_S = 1_000_000_000


class Membership(MergedEndpoints):
    """The merged view of the bus and of a watched list.

    :ivar queue: partial endpoint lists that are still to be applied to the driver, in order
    :ivar apply_timer: handle of the next batch's timer, or None
    :ivar digest: SHA-256 of the list that was loaded last
    :ivar held_digest: digest of the list that the safety gate holds, or ""
    :ivar last_refusal: text of the last list error that was logged, or None
    :ivar incomplete: (when the list was first found incomplete, whether that was logged), or None
    :ivar batching: whether changes are applied in batches, as while serving, or wait for `_apply_queue`
    :ivar snapshot_entries: count of entries recovered from a snapshot, or None
    """

    def __init__(self, driver, configuration, settings, disk=None):
        super().__init__(driver, View(settings.order, settings.ramp, driver.clock()))
        self.configuration = configuration
        self.settings = settings
        self.log = driver.log
        self.loop = asyncio.get_running_loop()
        self.gate = SafetyGate(settings.most_removed, settings.hold)
        self.snapshots = (
            SnapshotStore(disk or Disk(), settings.state, "servers", settings.keep)
            if settings.state
            else None
        )
        self.queue = []
        self.apply_timer = None
        self.held_digest = ""
        self.reload_requested = asyncio.Event()
        self.digest = ""
        self.last_refusal = None
        self.incomplete = None
        self.worker = None
        self.snapshot_outdated = False
        self.tasks = []
        self.last_signature = None
        self.watch_events = 0
        self.missed_event_logged = False
        self.file_list_lock = asyncio.Lock()
        self.batching = False
        self.snapshot_entries = None

    # The bus.

    def merge_bus_list(self, hosts, now):
        """Merge a list of the bus into the view; return what is to be applied now, or None."""
        change = self._bus_change(hosts, now)
        if change is None:
            return None
        self.snapshot_outdated = True
        if self.queue:  # changes are applied in order, so this one waits for those queued before
            self.apply_change(change)
            return None
        return endpoint_list_of(change.servers)

    # Start and stop.

    async def recover(self):
        """Recover the servers of the newest usable snapshot; return whether there was one."""
        if (stored := self._read_snapshot()) is None:
            return False
        # Applied before the list is read, so that the safety gate compares that list with the previous run's.
        await self._apply_file_list([server_of(row) for row in stored["file"]], True)
        self._apply_queue()
        self.snapshot_entries = len(stored["file"])
        return True

    async def start(self):
        """Load and apply the list, then start the background tasks; the front is ready only after this."""
        loaded = await self._load()
        if isinstance(loaded, list):
            await self._offer(loaded)
        elif self.snapshot_entries is not None:
            # `generation`: number of the merged list.
            self.log("servers_from_snapshot", generation=self.view.generation, entries=self.snapshot_entries)
        if not self.batching:
            self._apply_queue()
        while self.queue:
            await asyncio.sleep(BATCH_INTERVAL_S)
        # The first thread takes 0.1 s to start: start it before requests are served.
        await asyncio.to_thread(int)
        self.tasks = [
            self.loop.create_task(each())
            for each in (self._watch_loop, self._poll_loop, self._reload_loop, self._snapshot_loop)
        ]

    def _apply_queue(self):
        """Apply all queued changes at once, and later ones in batches.

        Later ones may come before the list is loaded: other fronts report drains as soon as they are connected.
        """
        while self.queue:
            self.driver.apply(self.queue.pop(0))
        self.batching = True

    def stop(self):
        """Cancel the background tasks and kill the worker process."""
        for task in self.tasks:
            task.cancel()
        if self.worker is not None and self.worker.returncode is None:
            self.worker.kill()

    def _read_snapshot(self):
        if self.snapshots is None:
            return None
        now = clock.unix()
        snapshot, rejected = self.snapshots.newest(now, self.settings.state_oldest)
        for one in rejected:
            self.log("snapshot_refused", name=one.name, error=one.why)
        if snapshot is None:
            return None
        try:
            stored = orjson.loads(snapshot.payload)
            stored["file"] = [row for batch in stored["file"] for row in batch]
            self.view.restore(stored, clock.from_unix)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
            self.log("snapshot_refused", name="servers", error=f"{type(fault).__name__}: {fault}")
            return None
        self.log(
            "snapshot_read",
            generation=snapshot.generation,
            age_s=(now - snapshot.at) // NS_PER_S,
            entries=len(stored["file"]),
        )
        return stored

    # Loading.

    async def _load(self):
        """Return the servers of a new list, or None if it is unchanged, incomplete or invalid, or the worker failed."""
        try:
            result = await self._ask_worker()
        except (OSError, ValueError, asyncio.IncompleteReadError) as fault:
            self.log("servers_worker_lost", error=f"{type(fault).__name__}: {fault}")
            if self.worker is not None and self.worker.returncode is None:
                self.worker.kill()
            self.worker = None
            await asyncio.sleep(RETRY_DELAY_S)
            self.reload_requested.set()
            return None
        if isinstance(result, OperatorFileError):
            self._on_invalid(result)
            return None
        if isinstance(result, str):
            self._on_incomplete(result)
            return None
        self.incomplete = self.last_refusal = None
        return result

    async def _ask_worker(self):
        """Return the servers of a new list, None if unchanged, an OperatorFileError, or why it is incomplete."""
        if self.worker is None or self.worker.returncode is not None:
            self.worker = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sprucegate.discovery.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=WORKER_LINE_BYTES_MAX,
            )
        self.worker.stdin.write(
            orjson.dumps(
                {
                    "path": self.settings.file,
                    "digest": self.digest,
                    "locations": self.configuration.locations,
                    "kinds": self.configuration.kinds,
                }
            )
            + b"\n"
        )
        servers = []
        digest = ""
        while True:
            async with asyncio.timeout(WORKER_TIMEOUT_S):
                answer = orjson.loads(await self.worker.stdout.readuntil(b"\n"))
            if "faulty" in answer:
                return OperatorFileError(*answer["faulty"])
            if "unsettled" in answer:
                return answer["unsettled"]
            if "same" in answer:
                self.incomplete = self.last_refusal = None
                return None
            servers += [server_of(row) for row in answer["servers"]]
            digest = answer["digest"]
            if not answer["more"]:
                self.digest = digest
                return servers
            # Reading lines that are buffered already doesn't yield: without this the loop is blocked until the last.
            await asyncio.sleep(0)

    def _on_invalid(self, fault):
        self.incomplete = None
        if str(fault) != self.last_refusal:  # logged once, however often the same list is read again
            self.last_refusal = str(fault)
            self.log(
                "servers_refused",
                file=fault.file,
                line=fault.line,
                key=fault.key,
                error=fault.text,
                generation=self.view.generation,
            )

    def _on_incomplete(self, why):
        """Keep the last list while the file is being written or is missing; log that after INCOMPLETE_LOG_DELAY_S."""
        now = time.monotonic()
        since, logged = self.incomplete or (now, False)
        if not logged and now - since > INCOMPLETE_LOG_DELAY_S:
            # `generation`: number of the merged list, which stays in force.
            self.log("servers_unsettled", error=why, generation=self.view.generation)
            logged = True
        self.incomplete = since, logged
        self.loop.call_later(
            RETRY_DELAY_S if not logged else INCOMPLETE_LOG_DELAY_S, self.reload_requested.set
        )

    # Applying.

    async def _offer(self, servers):
        """Pass a loaded list through the safety gate and apply what it lets through."""
        now = self.driver.clock()
        fleet = self.driver.fleet
        digest = self.digest
        held = fleet is not None and fleet.is_list_held(digest)
        decision = self.gate.offer(self.view.lists["file"], servers, now, held)
        self.held_digest = digest if decision.held is not None else ""
        if self.held_digest and fleet is not None:
            fleet.record_held_list(digest, confirmed=False)
        await asyncio.sleep(0)
        if decision.held is not None:
            held = decision.held
            self.log(
                "servers_held",
                number=held.number,
                location=_location_name(self.configuration.locations, held.location),
                share=round(held.share, 3),
                until_s=(held.until - now) // NS_PER_S,
                entries=len(held.servers),
                generation=self.view.generation,
            )
        await self._apply_file_list(decision.servers, decision.whole)

    async def _apply_file_list(self, servers, whole):
        """Merge a list of the file into the view, a batch per iteration of the event loop, as one generation."""
        changed = 0
        async with self.file_list_lock:
            for change in self.view.changes("file", servers, whole, self.driver.clock(), BATCH_SIZE):
                if change is not None:
                    changed += len(change.servers)
                    self.apply_change(change)
                await asyncio.sleep(BATCH_INTERVAL_S)
        self.snapshot_outdated = True
        if self.driver.fleet is not None:
            self.driver.fleet.on_endpoints_changed()
        if changed:
            self.log(
                "servers_taken", generation=self.view.generation, changed=changed, entries=len(self.view.rows)
            )
        if changed > FREEZE_ENTRIES_MIN:
            # These objects live long, and a collection that traverses them would take longer than BATCH_INTERVAL_S.
            gc.freeze()

    def apply_change(self, change):
        """Queue a change of the merged view; it is applied to the driver in batches, with requests in between."""
        self.queue += [
            endpoint_list_of(change.servers[at : at + BATCH_SIZE])
            for at in range(0, len(change.servers), BATCH_SIZE)
        ]
        if self.batching and self.apply_timer is None:
            self._apply_batch()

    def _apply_batch(self):
        """Apply the first queued batch, and schedule the next one if there is more."""
        self.apply_timer = None
        if self.queue:
            self.driver.apply(self.queue.pop(0))
        if self.queue:
            self.apply_timer = self.loop.call_later(BATCH_INTERVAL_S, self._apply_batch)

    # Background tasks.

    async def _watch_loop(self):
        """Request a reload on events of the folder that holds the list, and of the list itself if it is a folder."""
        while True:
            parent = os.path.dirname(os.path.abspath(self.settings.file))
            folders = [parent] + ([self.settings.file] if os.path.isdir(self.settings.file) else [])
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
                    self.watch_events += 1
                    self.reload_requested.set()
                    if len(folders) == 1 and os.path.isdir(self.settings.file):
                        break
            except (OSError, RuntimeError) as fault:
                self.log("servers_unwatched", error=f"{type(fault).__name__}: {fault}")
            await asyncio.sleep(1)

    async def _poll_loop(self):
        """Poll the list for changes, as some file systems send no events; also run the timers of gate and view."""
        while True:
            events_before = self.watch_events
            signature_before = self.last_signature
            await asyncio.sleep(self.settings.poll / NS_PER_S)
            self.last_signature = list_reader.signature(self.settings.file)
            if self.last_signature != signature_before:
                if (
                    events_before == self.watch_events
                    and signature_before is not None
                    and not self.missed_event_logged
                ):
                    self.missed_event_logged = True
                    self.log("servers_polled", error="the list changed without a file system event")
                self.reload_requested.set()
            now = self.driver.clock()
            if (decision := self.gate.on_timer(now)) is not None:
                self.log("servers_hold_over")
                await self._apply_file_list(decision.servers, True)
            if (change := self.view.advance_ramps(now)) is not None:
                self.apply_change(change)
            await self._check_confirmation()

    async def _check_confirmation(self):
        """Apply the held list once it is confirmed, by its number in the state folder or at another front."""
        fleet = self.driver.fleet
        if self.gate.held is not None and fleet is not None and fleet.is_list_confirmed(self.held_digest):
            decision = self.gate.confirm(self.gate.held.number)
            self.log("servers_confirmed", number=0)
            return await self._apply_file_list(decision.servers, True)
        if self.gate.held is None or not self.settings.state:
            return
        # `servers confirm NUMBER` writes this file.
        try:
            with open(os.path.join(self.settings.state, "confirm")) as file:
                number = int(file.read(20))
        except (OSError, ValueError):
            return
        if (decision := self.gate.confirm(number)) is not None:
            self.log("servers_confirmed", number=number)
            if self.driver.fleet is not None:
                self.driver.fleet.record_held_list(self.held_digest, confirmed=True)
            await self._apply_file_list(decision.servers, True)

    async def _reload_loop(self):
        """Load the list on request, at most once per `settings.least`; requests in between lead to one more load."""
        while True:
            await self.reload_requested.wait()
            while self.queue:  # or frequent large lists would make the queue grow without bound
                await asyncio.sleep(BATCH_INTERVAL_S)
            self.reload_requested.clear()
            loaded = await self._load()
            if isinstance(loaded, list):
                await self._offer(loaded)
            await asyncio.sleep(self.settings.least / NS_PER_S)

    # Snapshots.

    async def _snapshot_loop(self):
        """Save a snapshot after changes, at most once a second."""
        while True:
            await asyncio.sleep(1)
            if self.snapshots is not None and self.snapshot_outdated and not self.queue:
                await self.save_snapshot()

    async def save_snapshot(self):
        """Save a snapshot: the file's list and all drains for a restart, the view's rows for `servers show`.

        It is encoded in batches and written in a thread, so that the event loop isn't blocked.
        """
        self.snapshot_outdated = False
        generation = self.view.generation
        file_batches = []
        servers = list(self.view.lists["file"].values())
        head = orjson.dumps(self.view.dump(clock.to_unix))[:-1]
        for at in range(0, len(servers), BATCH_SIZE):
            file_batches.append(orjson.dumps([row_of(server) for server in servers[at : at + BATCH_SIZE]]))
            await asyncio.sleep(0)
        row_batches = []
        rows = list(self.view.rows.values())
        for at in range(0, len(rows), BATCH_SIZE):
            row_batches.append(
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
                        for row in rows[at : at + BATCH_SIZE]
                    ]
                )
            )
            await asyncio.sleep(0)
        payload = (
            head + b',"file":[' + b",".join(file_batches) + b'],"rows":[' + b",".join(row_batches) + b"]}"
        )
        fault = await asyncio.to_thread(self.snapshots.save, generation, clock.unix(), payload)
        if fault:
            self.log("snapshot_failed", error=fault, generation=generation)


def _location_name(numbers, location):
    return next((name for name, number in numbers.items() if number == location), str(location))
