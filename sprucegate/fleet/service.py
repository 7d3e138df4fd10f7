"""The fleet in a router process: runs a FleetNode with connections, disk and timers, and applies records to the front.

Imported only where the operator's file has `fleet`. No GET waits for anything here. The disk is written in one thread;
the node's times are monotonic.
"""

import asyncio
import gc
import os
import time
from concurrent.futures import ThreadPoolExecutor

import orjson

from sprucegate import clock
from sprucegate.fleet.component_registry import configured_components
from sprucegate.fleet.failure_detector.actions import CheckPort, DeclaredDead, MemberChanged, NameConflict
from sprucegate.fleet.failure_detector.member import MEMBER_STATE_WORDS
from sprucegate.fleet.links import codec
from sprucegate.fleet.links.links import INBOUND_CONNECTIONS_MAX, VOTER_CONNECTIONS_MAX, PeerLinks
from sprucegate.fleet.membership_view.degraded_mode import OwnAction, PeerAction
from sprucegate.fleet.membership_view.health_state import HEALTH_STATE_LOG_WORDS, HEALTH_STATE_WORDS
from sprucegate.fleet.membership_view.tracker import ViewChanged
from sprucegate.fleet.node import FleetNode, outgoing
from sprucegate.fleet.replica.facts import SourceState
from sprucegate.fleet.replica.replica import (
    HELD_LIST,
    INVALIDATION,
    SERVER_STATE,
    CatchUpPhase,
    CaughtUp,
    EvidenceMessage,
    LogEvent,
    PersistRecords,
    RecordDiscarded,
    RecordInForce,
    SendMessage,
    VersionConflict,
)
from sprucegate.fleet.replica_storage import (
    RECORDS_PER_PIECE,
    ReplicaStorage,
    ReplicaStorageError,
    encode_records,
)
from sprucegate.routing.events import BeliefGossip, EjectionGossip, EndpointState
from sprucegate.storage.disk import Disk

S = 1_000_000_000
RETRY_S = 1.0  # until a disk that failed, or a timer that raised, is tried again
IDLE_CHECK_PERIOD_S = 5.0
LOGGED_ONE_BY_ONE_MAX = 20  # records of one message that have a log line each
FREEZE_AFTER_RECORDS = 2000  # new records after which the garbage collector is told to skip what there is
EVIDENCE_PERIOD_S = 1.0
EVIDENCE_ROW_BYTES = 45  # approximate size of one row on the wire
EVIDENCE_AGE_MAX = 2 * S  # and as far in the future: beyond it the sender had stalled, or the clocks differ
SHOWN_RECORDS_MAX = 1000  # in one answer to an operator
SOURCE_STATES = {
    EndpointState.DRAINING: SourceState.DRAINING,
    EndpointState.SERVING: SourceState.LIFTED,
    EndpointState.GONE: SourceState.GONE,
}


class FleetService:
    """Joins a front to its fleet. The methods that the front's driver calls neither wait nor raise for a peer's fault.

    :ivar settings: the node `fleet` of the operator's file
    :ivar fleet_node: the FleetNode; None without a usable disk
    :ivar has_joined: event, set once this front has caught up, or goes on alone
    :ivar components: the configured components
    :ivar random_bits: those of this process's incarnation
    """

    def __init__(self, driver, node, name, seed, merged, agreement=None, disk=None, shares=None):
        self.driver = driver
        self.settings = node
        self.log = driver.log
        self.merged = merged
        self.name = name
        self.seed = seed
        self.loop = asyncio.get_running_loop()
        self.storage = ReplicaStorage(disk or Disk(), node.state)
        self.pool = ThreadPoolExecutor(1, "fleet-disk")
        self.fleet_node = None
        self.links = None
        self.timer = None
        self.has_joined = asyncio.Event()
        self.agreement = agreement  # this and the next: nodes of the operator's file, for the components
        self.shares = shares
        self.tasks = set()
        self.is_saving_snapshot = False
        self.stopped = False
        self.pending_records = []  # (key, value) from this process's own sources before `start`
        self.evidence_rows_out = 0
        self.evidence_rows_in = 0
        self.random_bits = int.from_bytes(os.urandom(4), "big")
        self.components = configured_components(self)
        self.records_since_freeze = 0
        merged.view.pending_reports = []

    # Start and end.

    async def load(self):
        """Load the stored records and put them in force; call before the first list of servers is taken."""
        try:
            start, stored = await self._on_disk_thread(self._open_storage)
        except (OSError, ReplicaStorageError, ValueError) as fault:
            # Without a count of starts it may not join: it serves by its own sources alone, as without a fleet.
            self.log("fleet_off", error=f"{type(fault).__name__}: {fault}")
            return
        for why in stored.rejected:
            self.log("fleet_state_refused", error=why)
        now = time.monotonic_ns()
        address = self.settings.advertise or self.settings.listen
        incarnation = start << 32 | self.random_bits
        self.fleet_node = FleetNode(
            self.name,
            address,
            incarnation,
            self.settings.join,
            self.seed,
            now,
            rate=self.settings.catch_up,
            purge_life=self.settings.purge_life,
            word_life=self.settings.word_life,
            alone_after=self.settings.alone_after,
        )
        records = list(stored.records.values())
        self.fleet_node.load(records, stored.seen, now)
        for at, record in enumerate(records):
            self._apply(record, loaded=True)
            if at % RECORDS_PER_PIECE == 0:
                await asyncio.sleep(0)
        # The garbage collector need not traverse what was loaded, which would block the event loop for 0.1 s.
        gc.freeze()
        self.log("fleet_loaded", start=start, facts=len(records), age_s=stored.age // S)

    def _open_storage(self):
        start = self.storage.count_start()
        return start, self.storage.load(clock.unix())

    def start(self):
        """Listen, look for others, and start the components; call once the loop runs."""
        if self.fleet_node is None:
            for component in self.components:
                component.start_without_storage()
            return self.has_joined.set()
        is_voter = self.agreement is not None and self.name in self.agreement[0].addresses
        self.links = PeerLinks(
            self.settings.address,
            self.log,
            self._greeting,
            self._on_message,
            self._on_question,
            VOTER_CONNECTIONS_MAX if is_voter else INBOUND_CONNECTIONS_MAX,
            self._on_connection_reset,
            self._on_other_format,
        )
        if fault := self.links.start():
            self.log("fleet_listen_failed", address=self.settings.listen, error=fault)
        self.do(self.fleet_node.start(time.monotonic_ns()))
        pending = self.pending_records
        self.pending_records = []
        for key, value in pending:  # reported with the first list of servers
            self._record_own(key, value)
        self._start_task(self._check_idle_connections())
        for component in self.components:
            self._start_task(component.start())
        if self.settings.evidence:
            self._start_task(self._send_evidence())

    def leave(self):
        """Announce at SIGTERM that this front leaves; it goes on exchanging messages until its end."""
        if self.links is not None:
            for component in self.components:
                component.on_leaving()
        if self.fleet_node is not None and self.links is not None:
            self.do(self.fleet_node.leave(time.monotonic_ns()))

    def on_attempt_ended(self, cache, outcome, cache_status, duration, request):
        """Tell the components that an attempt ended; `duration` in ns."""
        for component in self.components:
            component.on_attempt_ended(cache, outcome, cache_status, duration, request)

    async def stop(self):
        """Stop the components, connections and the disk's thread."""
        self.stopped = True
        for component in self.components:
            await component.stop()
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        if self.links is not None:
            self.links.stop()
        await self.loop.run_in_executor(self.pool, self.storage.close)
        self.pool.shutdown(wait=False)

    # Events from the front's own sources.

    def on_invalidation(self, obj, group, at):
        """Take an invalidation from a source of this front's own; `at` is the platform's time stamp (Unix ns)."""
        self._record_own((INVALIDATION, "object", obj) if obj >= 0 else (INVALIDATION, "group", group), (at,))

    def on_endpoints_changed(self):
        """Record the drains and removals that this front's own sources reported since the last call."""
        news, self.merged.view.pending_reports = self.merged.view.pending_reports, []
        for component in self.components:
            component.on_endpoints_changed()
        if self.fleet_node is None:
            return
        held = self.fleet_node.replica.store.held
        for source, server, started, state in news:
            # A removal by a file may be meant for this front alone; the event bus speaks to all fronts.
            if state is EndpointState.GONE and source != "bus":
                continue
            key = (SERVER_STATE, server, started, source, self.fleet_node.replica.name)
            if state is not EndpointState.SERVING or key in held:
                self._record_own(key, (int(SOURCE_STATES[state]),))

    def record_held_list(self, digest, confirmed):
        """Record that this front holds back a list that removes too many servers, or that an operator confirmed it."""
        if digest:
            self._record_own((HELD_LIST, digest), (int(confirmed),))

    def is_list_held(self, digest):
        """Tell whether some front holds back the list of this digest and nobody has confirmed it."""
        return self._held_list_state(digest) == (0,)

    def is_list_confirmed(self, digest):
        """Tell whether an operator confirmed the list of this digest at some front."""
        return self._held_list_state(digest) == (1,)

    def _held_list_state(self, digest):
        record = (
            self.fleet_node.replica.store.held.get((HELD_LIST, digest))
            if self.fleet_node is not None
            else None
        )
        return None if record is None else record.value

    def _record_own(self, key, value):
        if self.fleet_node is None:
            return
        if self.links is None:
            self.pending_records.append((key, value))
            return
        self.do(self.fleet_node.on_own_record(key, value, time.monotonic_ns()))

    # Actions of the node.

    def do(self, actions):
        """Perform actions of the node, in order."""
        in_force = sum(isinstance(action, RecordInForce) for action in actions)
        if in_force > LOGGED_ONE_BY_ONE_MAX:  # a transfer, which may have the whole table: one line for all
            # "several": a count in place of a line for each record.
            self.log("fleet_told", kind="several", key=[], count=in_force)
        self.records_since_freeze += in_force
        if self.records_since_freeze > FREEZE_AFTER_RECORDS:
            # A copied disk causes thousands of records: the garbage collector would traverse all of them each time.
            self.records_since_freeze = 0
            gc.collect(1)
            gc.freeze()
        for action in actions:
            if (sending := outgoing(action)) is not None:
                name, address, message, carries_records = sending
                member = self.fleet_node.members.known.get(name)
                self.links.send(name, address or (member.address if member else ""), message, carries_records)
                continue
            match action:
                case PersistRecords():
                    self._start_task(self._write(action))
                case RecordInForce():
                    self._apply(action.record, quiet=in_force > LOGGED_ONE_BY_ONE_MAX)
                case CaughtUp():
                    self.log(
                        "fleet_" + action.how.replace("-", "_"),
                        asked=action.asked,
                        facts=len(self.fleet_node.replica.store.held),
                    )
                    gc.freeze()  # as in `load`
                    self.has_joined.set()
                case LogEvent():
                    self.log(action.event, **action.fields)
                case CheckPort(name, address, incarnation):
                    self.links.check_port(
                        address,
                        lambda name=name, incarnation=incarnation: self._on_port_refused(name, incarnation),
                    )
                case ViewChanged():
                    self._on_view_changed(action)
                case MemberChanged():
                    member, before = action.member, action.before
                    self.log(
                        "fleet_member",
                        member=member.name,
                        standing=MEMBER_STATE_WORDS[member.state],
                        before=MEMBER_STATE_WORDS[before.state] if before else None,
                        by=member.reported_by,
                        life=f"{member.incarnation:x}",
                        address=member.address,
                    )
                case DeclaredDead():
                    self.log("fleet_fenced")
                case NameConflict():
                    self.log(
                        "fleet_name_twice",
                        own=f"{action.own:x}",
                        other=f"{action.other:x}",
                        alias=action.alias,
                    )
                    self._start_task(self._renew(action.start_above, action.alias))
                case VersionConflict():
                    self._start_task(self._renew(0, ""))
                case RecordDiscarded():
                    pass  # the front's own tables drop entries by age as well
        if not self.stopped and self.fleet_node is not None:
            self._set_timer()

    def _set_timer(self):
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0, self.fleet_node.next_deadline() - time.monotonic_ns()) / S
        self.timer = self.loop.call_later(wait, self._on_timer)

    def _on_timer(self):
        try:
            self.fleet_node.replica.slow_peers = self.links.slow_peers()
            self.do(self.fleet_node.on_timer(time.monotonic_ns()))
        except Exception as fault:  # without a next timer this front would stay silent for good
            self.driver.log_exception(fault)
            self.timer = self.loop.call_later(RETRY_S, self._on_timer)

    async def _send_evidence(self):
        """Send the gossip that the router selects to the same peers as new records."""
        while True:
            await asyncio.sleep(EVIDENCE_PERIOD_S)
            gossip = self.driver.router.gossip_to_send(
                self.settings.evidence // EVIDENCE_ROW_BYTES, self.driver.clock()
            )
            if gossip:
                message = EvidenceMessage(
                    clock.unix(),
                    [one for one in gossip if isinstance(one, BeliefGossip)],
                    [one for one in gossip if isinstance(one, EjectionGossip)],
                )
                self.evidence_rows_out += len(gossip)
                self.do(
                    [
                        SendMessage(name, message)
                        for name in self.fleet_node.replica.push_targets(time.monotonic_ns())
                    ]
                )

    def _on_connection_reset(self, name):
        self.do(self.fleet_node.on_connection_reset(name, time.monotonic_ns()))

    def _on_port_refused(self, name, incarnation):
        self.log("fleet_refused", member=name, life=f"{incarnation:x}")
        self.do(self.fleet_node.on_connection_refused(name, incarnation, time.monotonic_ns()))

    def _on_other_format(self, name):
        self.fleet_node.views.on_other_version(name, time.monotonic_ns())

    def _on_view_changed(self, action):
        view = action.view
        self.log(
            "fleet_view",
            number=view.number,
            agreed=view.agreed,
            state=view.state.value,
            share=round(view.share, 3),
            changed={
                name: HEALTH_STATE_LOG_WORDS[view.rows[name].health]
                for name in action.changed[:LOGGED_ONE_BY_ONE_MAX]
                if name in view.rows
            },
        )
        for component in self.components:
            component.on_view_changed(view)

    def _on_evidence(self, name, message):
        now = self.driver.clock()
        view = self.fleet_node.views.view
        if not view.allows(PeerAction.USE_GOSSIP, name) or not view.allows_own(OwnAction.USE_GOSSIP):
            return
        # By the wall clocks of two machines: where either was stepped, gossip looks too old, or is from the future.
        age = clock.unix() - message.sent_at
        if abs(age) <= EVIDENCE_AGE_MAX:
            self.evidence_rows_in += len(message.ejections) + len(message.beliefs)
            self.driver.router.receive_gossip(message.ejections + message.beliefs, max(0, age), now)

    def _on_message(self, name, message):
        try:
            if isinstance(message, EvidenceMessage):
                self.fleet_node.views.on_frame(name, time.monotonic_ns())
                return self._on_evidence(name, message)
            if isinstance(message, codec.ComponentMessage):
                return [
                    component.on_message(name, message.data)
                    for component in self.components
                    if component.name == message.component
                ]
            if receivers := [
                component for component in self.components if isinstance(message, component.message_types)
            ]:
                return receivers[0].on_message(name, message)
            if isinstance(message, codec.ConsensusFrame):
                return None  # of a replicated log that this front doesn't follow
            self.do(self.fleet_node.on_message(name, message, time.monotonic_ns()))
        except codec.FrameError:
            raise  # a component can't decode it: the peer loses its connection
        except Exception as fault:  # the message is lost, and repaired as one lost on the network is
            self.driver.log_exception(fault)

    def _apply(self, record, loaded=False, quiet=False):
        """Put a record in force at the front, whichever process it is from."""
        now = self.driver.clock()
        if not loaded and not quiet and self.fleet_node.replica.phase is not CatchUpPhase.ASKING:
            self.log("fleet_told", kind=record.key[0], key=record.key[1:], by=record.version[0])
        if record.key[0] == INVALIDATION:
            _, kind, number = record.key
            obj, group = (number, -1) if kind == "object" else (-1, number)
            self.driver.router.invalidate(
                obj, group, self.driver.platform_time.age(record.value[0], now), now
            )
        elif record.key[0] == SERVER_STATE:
            _, server, started, source, owner = record.key
            is_own = owner == self.fleet_node.replica.name
            if is_own and not loaded:
                return  # here its own sources have set that already
            self.merged.apply_drain_report(
                server,
                started,
                source if is_own else f"{source}@{owner}",
                record.value[2] != SourceState.LIFTED,
                now,
            )

    # The disk.

    def _on_disk_thread(self, action, *args):
        return self.loop.run_in_executor(self.pool, action, *args)

    async def _write(self, action):
        fault = await self._on_disk_thread(self.storage.write, action.record)
        now = time.monotonic_ns()
        if fault is not None:
            self.do(self.fleet_node.on_write_failed(action.number, fault, now))
            self.loop.call_later(RETRY_S, lambda: self._start_task(self._snapshot()))
            return
        self.do(self.fleet_node.on_written(action.number, now))
        if self.storage.needs_snapshot(self.settings.log_most):
            self._start_task(self._snapshot())

    async def _snapshot(self):
        """Write a snapshot: records are packed in pieces between turns of the event loop, and written in the thread."""
        if self.is_saving_snapshot or self.stopped:
            return
        self.is_saving_snapshot = True
        replica = self.fleet_node.replica
        try:
            fault = await self._on_disk_thread(self.storage.begin_snapshot)
            pieces = []
            is_recovery = not replica.is_disk_writable
            held, seen = replica.begin_snapshot()
            for at in range(0, len(held), RECORDS_PER_PIECE):
                pieces.append(encode_records(held[at : at + RECORDS_PER_PIECE]))
                await asyncio.sleep(0)
            if fault is None:
                fault = await self._on_disk_thread(self.storage.finish_snapshot, seen, pieces, clock.unix())
        finally:
            self.is_saving_snapshot = False
        if fault is not None:
            self.log("fleet_snapshot_failed", error=fault)
            self.loop.call_later(RETRY_S, lambda: self._start_task(self._snapshot()))
        elif is_recovery:
            self.do(replica.on_disk_recovered(seen, time.monotonic_ns()))
            self.log("fleet_kept_again", facts=len(held))

    async def _renew(self, above, alias):
        """Take a new incarnation, whose start is above `above`, and the alias if there is one."""
        while True:
            try:
                start = await self._on_disk_thread(self.storage.count_start, above)
                break
            except (OSError, ReplicaStorageError) as fault:
                self.log("fleet_not_kept", error=str(fault))
                await asyncio.sleep(RETRY_S)
        self.fleet_node.renew(start, alias)
        if alias:
            self.links.close_all()
        for component in self.components:
            component.on_identity_changed(
                self.fleet_node.members.own.name, self.fleet_node.members.own.incarnation
            )
        self.log(
            "fleet_renewed",
            name=self.fleet_node.members.own.name,
            life=f"{self.fleet_node.members.own.incarnation:x}",
        )

    def _start_task(self, action):
        task = self.loop.create_task(self._reporting_faults(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reporting_faults(self, action):
        try:
            await action
        except Exception as fault:  # the front goes on whatever fails here
            self.driver.log_exception(fault)

    async def _check_idle_connections(self):
        while True:
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)
            self.links.close_idle()

    # Questions of the command line.

    def _greeting(self):
        own = self.fleet_node.members.own
        return codec.Greeting(
            codec.VERSION, self.settings.name, "front", own.name, own.address, own.incarnation
        )

    async def _on_question(self, question):
        handlers = {"status": self._status, "facts": self._facts, "why": self._why}
        for component in self.components:
            handlers |= component.question_handlers
        if question.what not in handlers:
            return orjson.dumps({"ok": False, "error": f"{question.what} is not known"})
        fields = await handlers[question.what](question.args)
        return orjson.dumps(
            {"ok": True, "at": clock.unix(), "front": self.fleet_node.members.own.name, **fields}
        )

    async def _status(self, _):
        replica = self.fleet_node.replica
        members = self.fleet_node.members
        lag = {
            name: sum(end - first for _, _, first, end in seen.missing(replica.store.seen))
            for name, seen in replica.peers.items()
        }
        kinds = {kind: count for kind, count in replica.store.count_by_kind.items() if count}
        return {
            "fleet": self.settings.name,
            "phase": "caught up" if replica.phase is CatchUpPhase.TOGETHER else replica.phase.name.lower(),
            "root": f"{replica.store.root():016x}",
            "kept": replica.is_disk_writable,
            "health": members.local_health,
            "facts": kinds,
            "view": self._view_as_json(),
            "bytes_out": self.links.bytes_out,
            "bytes_in": self.links.bytes_in,
            "refused": self.links.refused,
            "sent": self.links.sent,
            "evidence_out": self.evidence_rows_out,
            "evidence_in": self.evidence_rows_in,
            "connections": len(self.links.outbound) + len(self.links.inbound),
            "members": [
                {
                    "name": m.name,
                    "address": m.address,
                    "standing": MEMBER_STATE_WORDS[m.state],
                    "by": m.reported_by,
                    "life": f"{m.incarnation:x}",
                    "lag": lag.get(name),
                }
                for name, m in sorted(members.known.items())
            ],
        }

    async def _facts(self, given):
        count, found = await self._find(lambda key: not given or key[0] == given[0])
        return {"count": count, "root": f"{self.fleet_node.replica.store.root():016x}", "facts": found}

    def _view_as_json(self):
        view = self.fleet_node.views.view
        now = time.monotonic_ns()
        return {
            "number": view.number,
            "agreed": view.agreed,
            "state": view.state.value,
            "share": round(view.share, 3),
            "fronts": [
                {
                    "name": name,
                    "standing": HEALTH_STATE_WORDS[row.health],
                    "by": row.source,
                    "since_ms": (now - row.since) // 1_000_000,
                    "life": f"{row.incarnation:x}",
                }
                for name, row in sorted(view.rows.items())
            ],
        }

    async def _why(self, given):
        if given[:1] == ["view"]:
            view = self._view_as_json()
            return {
                "facts": [one for one in view["fronts"] if one["name"] in given[1:] or not given[1:]],
                "view": view,
            }
        for component in self.components:
            if given[:1] == [component.question] and (rows := component.explain(given[1:])) is not None:
                return {"facts": rows}
        wanted = set(given)
        return {"facts": (await self._find(lambda key: wanted <= set(map(str, key))))[1]}

    async def _find(self, is_chosen):
        """Return how many records match and the first of them. GETs get a turn of the event loop after each range."""
        store = self.fleet_node.replica.store
        count = 0
        found = []
        for keys in store.digests_by_key:
            matching = [key for key in keys if is_chosen(key)]
            count += len(matching)
            found += [store.held[key] for key in matching[: SHOWN_RECORDS_MAX - len(found)]]
            await asyncio.sleep(0)
        return count, [
            _as_json(record) for record in sorted(found, key=lambda record: tuple(map(str, record.key)))
        ]


def _as_json(record):
    kind, *subject = record.key
    fields = {
        "kind": kind,
        "key": subject,
        "by": record.version[0],
        "life": f"{record.version[1]:x}",
        "counter": record.version[2],
    }
    if kind == SERVER_STATE:
        return {**fields, "state": SourceState(record.value[2]).name.lower()}
    return {**fields, "value": record.value[0]}
