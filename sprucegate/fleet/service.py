"""A fleet in a front: links, disk and timers round the decisions, and what holds handed to the front.

Imported only where the operator's file has `fleet`. No GET waits for anything here. The disk is written in one thread;
the decisions' clock is monotonic.
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
from sprucegate.routing.events import BeliefGossip, EjectionGossip
from sprucegate.routing.events import EndpointState as Listed
from sprucegate.storage.disk import Disk

S = 1_000_000_000
AGAIN = 1.0  # seconds until a disk that failed is tried again
SWEEP = 5.0
TOLD_EACH = 20  # facts of one message that have a line each in the log
STAY = 2000  # new facts after which the collector is told that they stay
EVIDENCE_EVERY = 1.0  # seconds
EVIDENCE_BYTES = 45  # of one row on the way, about
EVIDENCE_OLD = 2 * S  # past it, or that far ahead: a front that stood still, or clocks apart, tell nothing
SHOWN_MOST = 1000  # facts in one answer to an operator
STATES = {
    Listed.DRAINING: SourceState.DRAINING,
    Listed.SERVING: SourceState.LIFTED,
    Listed.GONE: SourceState.GONE,
}


class FleetService:
    """What the driver calls: `purged` and `listed`. Neither waits, neither raises for what other fronts do."""

    def __init__(self, driver, node, name, seed, merged, agreement=None, disk=None, shares=None):
        self.driver, self.node, self.log, self.merged = driver, node, driver.log, merged
        self.name, self.seed, self.loop = name, seed, asyncio.get_running_loop()
        self.keeping, self.pool = (
            ReplicaStorage(disk or Disk(), node.state),
            ThreadPoolExecutor(1, "fleet-disk"),
        )
        self.peer, self.links, self.timer, self.up = None, None, None, asyncio.Event()
        self.agreement, self.shares = agreement, shares  # nodes of the file, for the parts
        self.tasks, self.snapping, self.stopped, self.waiting = set(), False, False, []
        self.rows_out, self.rows_in = 0, 0  # of evidence
        self.being = int.from_bytes(os.urandom(4), "big")
        self.parts = configured_components(self)
        self.fresh = 0  # facts since the collector was told
        merged.view.news = []

    # Start and end.

    async def load(self):
        """What the disk has, in force before the first list of servers is taken."""
        try:
            start, kept = await self._disk(self._opened)
        except (OSError, ReplicaStorageError, ValueError) as fault:
            # Without a count of starts it may not speak: it serves by what it hears itself, as without a fleet.
            self.log("fleet_off", error=f"{type(fault).__name__}: {fault}")
            return
        for why in kept.refused:
            self.log("fleet_state_refused", error=why)
        now = time.monotonic_ns()
        address, life = self.node.advertise or self.node.listen, start << 32 | self.being
        self.peer = FleetNode(
            self.name,
            address,
            life,
            self.node.join,
            self.seed,
            now,
            rate=self.node.catch_up,
            purge_life=self.node.purge_life,
            word_life=self.node.word_life,
            alone_after=self.node.alone_after,
        )
        facts = list(kept.facts.values())
        self.peer.loaded(facts, kept.lives, now)
        for at, fact in enumerate(facts):
            self._in_force(fact, loaded=True)
            if at % RECORDS_PER_PIECE == 0:
                await asyncio.sleep(0)
        # What was loaded stays: the collector need not walk it, which would hold up the loop for a tenth of a second.
        gc.freeze()
        self.log("fleet_loaded", start=start, facts=len(facts), age_s=kept.age // S)

    def _opened(self):
        start = self.keeping.start()
        return start, self.keeping.open(clock.unix())

    def start(self):
        """Listen, look for others, and start the components; call once the loop runs."""
        if self.peer is None:
            for part in self.parts:
                part.start_without_storage()
            return self.up.set()
        keeps = self.agreement is not None and self.name in self.agreement[0].addresses
        self.links = PeerLinks(
            self.node.address,
            self.log,
            self._greeting,
            self._heard,
            self._asked,
            VOTER_CONNECTIONS_MAX if keeps else INBOUND_CONNECTIONS_MAX,
            self._reset,
            self._other_build,
        )
        if fault := self.links.start():
            self.log("fleet_listen_failed", address=self.node.listen, error=fault)
        self.do(self.peer.starts(time.monotonic_ns()))
        waiting, self.waiting = self.waiting, []
        for key, value in waiting:  # heard with the first list
            self._told(key, value)
        self._later(self._sweeps())
        for part in self.parts:
            self._later(part.start())
        if self.node.evidence:
            self._later(self._tells())

    def leave(self):
        """SIGTERM: the others need not find out by themselves. This front hears and tells until its end."""
        if self.links is not None:
            for part in self.parts:
                part.on_leaving()
        if self.peer is not None and self.links is not None:
            self.do(self.peer.leaves(time.monotonic_ns()))

    def forwarded(self, cache, outcome, found, took, asked):
        """Tell the components of an attempt's end."""
        for part in self.parts:
            part.on_attempt_ended(cache, outcome, found, took, asked)

    async def stop(self):
        """Stop the components, connections and the disk's thread."""
        self.stopped = True
        for part in self.parts:
            await part.stop()
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        if self.links is not None:
            self.links.stop()
        await self.loop.run_in_executor(self.pool, self.keeping.close)
        self.pool.shutdown(wait=False)

    # What the front hears.

    def purged(self, obj, group, at):
        """Take an invalidation that a source of this front's own told; `at` is the platform's stamp."""
        self._told((INVALIDATION, "object", obj) if obj >= 0 else (INVALIDATION, "group", group), (at,))

    def listed(self):
        """Drains and removals that a source of this front's own told since the last call."""
        news, self.merged.view.news = self.merged.view.news, []
        for part in self.parts:
            part.on_endpoints_changed()
        if self.peer is None:
            return
        held = self.peer.replica.facts.held
        for source, server, started, state in news:
            # A removal by a file may be meant for this front alone; the bus is everybody's.
            if state is Listed.GONE and source != "bus":
                continue
            key = (SERVER_STATE, server, started, source, self.peer.replica.name)
            if state is not Listed.SERVING or key in held:
                self._told(key, (int(STATES[state]),))

    def held(self, digest, confirmed):
        """A list that takes away too much, by its digest: held by this front's gate, or confirmed at it."""
        if digest:
            self._told((HELD_LIST, digest), (int(confirmed),))

    def holds(self, digest):
        """Whether some front holds that list and none has been told to let it through."""
        return self._removal(digest) == (0,)

    def confirms(self, digest):
        """Whether some front was told to let the list of this digest through."""
        return self._removal(digest) == (1,)

    def _removal(self, digest):
        fact = self.peer.replica.facts.held.get((HELD_LIST, digest)) if self.peer is not None else None
        return None if fact is None else fact.value

    def _told(self, key, value):
        if self.peer is None:
            return
        if self.links is None:
            self.waiting.append((key, value))
            return
        self.do(self.peer.told(key, value, time.monotonic_ns()))

    # What is decided.

    def do(self, actions):
        """Perform actions of the node, in order."""
        told = sum(isinstance(action, RecordInForce) for action in actions)
        if told > TOLD_EACH:  # a transfer: a line for each would be a log of the whole table
            self.log("fleet_told", kind="several", key=[], count=told)
        self.fresh += told
        if self.fresh > STAY:
            # Facts come by the thousand from a copied disk: the collector would walk through all of them.
            self.fresh = 0
            gc.collect(1)
            gc.freeze()
        for action in actions:
            if (sent := outgoing(action)) is not None:
                name, address, message, guard = sent
                member = self.peer.members.known.get(name)
                self.links.send(name, address or (member.address if member else ""), message, guard)
                continue
            match action:
                case PersistRecords():
                    self._later(self._writes(action))
                case RecordInForce():
                    self._in_force(action.fact, quiet=told > TOLD_EACH)
                case CaughtUp():
                    self.log(
                        "fleet_" + action.how.replace("-", "_"),
                        asked=action.asked,
                        facts=len(self.peer.replica.facts.held),
                    )
                    gc.freeze()  # as after the loading
                    self.up.set()
                case LogEvent():
                    self.log(action.event, **action.said)
                case CheckPort(name, address, life):
                    self.links.look(address, lambda name=name, life=life: self._refused(name, life))
                case ViewChanged():
                    self._viewed(action)
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
                    self._later(self._renew(action.start_above, action.alias))
                case VersionConflict():
                    self._later(self._renew(0, ""))
                case RecordDiscarded():
                    pass  # the front's own table forgets by age as well
        if not self.stopped and self.peer is not None:
            self._arm()

    def _arm(self):
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0, self.peer.next_due() - time.monotonic_ns()) / S
        self.timer = self.loop.call_later(wait, self._due)

    def _due(self):
        try:
            self.peer.replica.slow = self.links.slow()
            self.do(self.peer.due(time.monotonic_ns()))
        except Exception as fault:  # without a next time this front would fall silent for good
            self.driver.log_exception(fault)
            self.timer = self.loop.call_later(AGAIN, self._due)

    async def _tells(self):
        """What the rules find worth telling, to the neighbours that this front tells of purges."""
        while True:
            await asyncio.sleep(EVIDENCE_EVERY)
            said = self.driver.router.gossip_to_send(
                self.node.evidence // EVIDENCE_BYTES, self.driver.clock()
            )
            if said:
                message = EvidenceMessage(
                    clock.unix(),
                    [one for one in said if isinstance(one, BeliefGossip)],
                    [one for one in said if isinstance(one, EjectionGossip)],
                )
                self.rows_out += len(said)
                self.do([SendMessage(name, message) for name in self.peer.replica.to(time.monotonic_ns())])

    def _reset(self, name):
        self.do(self.peer.reset(name, time.monotonic_ns()))

    def _refused(self, name, life):
        self.log("fleet_refused", member=name, life=f"{life:x}")
        self.do(self.peer.refused(name, life, time.monotonic_ns()))

    def _other_build(self, name):
        self.peer.views.on_other_version(name, time.monotonic_ns())

    def _viewed(self, action):
        view = action.view
        self.log(
            "fleet_view",
            number=view.number,
            agreed=view.agreed,
            state=view.state.value,
            share=round(view.share, 3),
            changed={
                name: HEALTH_STATE_LOG_WORDS[view.rows[name].health]
                for name in action.changed[:TOLD_EACH]
                if name in view.rows
            },
        )
        for part in self.parts:
            part.on_view_changed(view)

    def _hears(self, name, message):
        now = self.driver.clock()
        view = self.peer.views.view
        if not view.allows(PeerAction.BELIEVE, name) or not view.allows_own(OwnAction.BELIEVE):
            return
        # Two machines' wall clocks: where either was stepped the words look too old, or come from the future.
        age = clock.unix() - message.at
        if abs(age) <= EVIDENCE_OLD:
            self.rows_in += len(message.resting) + len(message.believed)
            self.driver.router.receive_gossip(message.resting + message.believed, max(0, age), now)

    def _heard(self, name, message):
        try:
            if isinstance(message, EvidenceMessage):
                self.peer.views.on_frame(name, time.monotonic_ns())
                return self._hears(name, message)
            if isinstance(message, codec.ComponentMessage):
                return [
                    part.on_message(name, message.data) for part in self.parts if part.name == message.part
                ]
            if taken := [part for part in self.parts if isinstance(message, part.message_types)]:
                return taken[0].on_message(name, message)
            if isinstance(message, codec.ConsensusFrame):
                return None  # of a log that this front does not follow
            self.do(self.peer.heard(name, message, time.monotonic_ns()))
        except codec.FrameError:
            raise  # a part can't read it: the peer loses its connection
        except Exception as fault:  # one message is lost by it, and repaired as a lost one is
            self.driver.log_exception(fault)

    def _in_force(self, fact, loaded=False, quiet=False):
        """A guard fact that holds from here on, whoever said it."""
        now = self.driver.clock()
        if not loaded and not quiet and self.peer.replica.phase is not CatchUpPhase.ASKING:
            self.log("fleet_told", kind=fact.key[0], key=fact.key[1:], by=fact.dot[0])
        if fact.key[0] == INVALIDATION:
            _, kind, at = fact.key
            obj, group = (at, -1) if kind == "object" else (-1, at)
            self.driver.router.invalidate(obj, group, self.driver.platform_time.age(fact.value[0], now), now)
        elif fact.key[0] == SERVER_STATE:
            _, server, started, source, owner = fact.key
            own = owner == self.peer.replica.name
            if own and not loaded:
                return  # its own sources say here what holds
            self.merged.word(
                server,
                started,
                source if own else f"{source}@{owner}",
                fact.value[2] != SourceState.LIFTED,
                now,
            )

    # The disk.

    def _disk(self, action, *given):
        return self.loop.run_in_executor(self.pool, action, *given)

    async def _writes(self, action):
        fault = await self._disk(self.keeping.write, action.record)
        now = time.monotonic_ns()
        if fault is not None:
            self.do(self.peer.not_kept(action.number, fault, now))
            self.loop.call_later(AGAIN, lambda: self._later(self._snapshot()))
            return
        self.do(self.peer.synced(action.number, now))
        if self.keeping.full(self.node.log_most):
            self._later(self._snapshot())

    async def _snapshot(self):
        """All that is held, packed in pieces between turns of the loop and written in the thread."""
        if self.snapping or self.stopped:
            return
        self.snapping, replica = True, self.peer.replica
        try:
            fault = await self._disk(self.keeping.begin_snapshot)
            pieces, repairing = [], not replica.kept
            held, lives = replica.captured()
            for at in range(0, len(held), RECORDS_PER_PIECE):
                pieces.append(encode_records(held[at : at + RECORDS_PER_PIECE]))
                await asyncio.sleep(0)
            if fault is None:
                fault = await self._disk(self.keeping.finish_snapshot, lives, pieces, clock.unix())
        finally:
            self.snapping = False
        if fault is not None:
            self.log("fleet_snapshot_failed", error=fault)
            self.loop.call_later(AGAIN, lambda: self._later(self._snapshot()))
        elif repairing:
            self.do(replica.disk_is_back(lives, time.monotonic_ns()))
            self.log("fleet_kept_again", facts=len(held))

    async def _renew(self, least, alias):
        while True:
            try:
                start = await self._disk(self.keeping.start, least)
                break
            except (OSError, ReplicaStorageError) as fault:
                self.log("fleet_not_kept", error=str(fault))
                await asyncio.sleep(AGAIN)
        self.peer.renewed(start, alias)
        if alias:
            self.links.greet_again()
        for part in self.parts:
            part.on_identity_changed(self.peer.members.own.name, self.peer.members.own.incarnation)
        self.log(
            "fleet_renewed", name=self.peer.members.own.name, life=f"{self.peer.members.own.incarnation:x}"
        )

    def _later(self, action):
        task = self.loop.create_task(self._guarded(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guarded(self, action):
        try:
            await action
        except Exception as fault:  # the front goes on whatever breaks here
            self.driver.log_exception(fault)

    async def _sweeps(self):
        while True:
            await asyncio.sleep(SWEEP)
            self.links.sweep()

    # Questions.

    def _greeting(self):
        own = self.peer.members.own
        return codec.Greeting(codec.VERSION, self.node.name, "front", own.name, own.address, own.incarnation)

    async def _asked(self, question):
        answers = {"status": self._status, "facts": self._facts, "why": self._why}
        for part in self.parts:
            answers |= part.question_handlers
        if question.what not in answers:
            return orjson.dumps({"ok": False, "error": f"{question.what} is not known"})
        said = await answers[question.what](question.given)
        return orjson.dumps({"ok": True, "at": clock.unix(), "front": self.peer.members.own.name, **said})

    async def _status(self, _):
        replica, members = self.peer.replica, self.peer.members
        lag = {
            name: sum(past - first for _, _, first, past in seen.missing(replica.facts.seen))
            for name, seen in replica.peers.items()
        }
        kinds = {kind: count for kind, count in replica.facts.kinds.items() if count}
        return {
            "fleet": self.node.name,
            "phase": "caught up" if replica.phase is CatchUpPhase.TOGETHER else replica.phase.name.lower(),
            "root": f"{replica.facts.root():016x}",
            "kept": replica.kept,
            "health": members.local_health,
            "facts": kinds,
            "view": self._shown_view(),
            "bytes_out": self.links.bytes_out,
            "bytes_in": self.links.bytes_in,
            "refused": self.links.refused,
            "sent": self.links.sent,
            "evidence_out": self.rows_out,
            "evidence_in": self.rows_in,
            "connections": len(self.links.dialled) + len(self.links.taken),
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
        count, found = await self._found(lambda key: not given or key[0] == given[0])
        return {"count": count, "root": f"{self.peer.replica.facts.root():016x}", "facts": found}

    def _shown_view(self):
        view, now = self.peer.views.view, time.monotonic_ns()
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
            view = self._shown_view()
            return {
                "facts": [one for one in view["fronts"] if one["name"] in given[1:] or not given[1:]],
                "view": view,
            }
        for part in self.parts:
            if given[:1] == [part.question] and (rows := part.explain(given[1:])) is not None:
                return {"facts": rows}
        wanted = set(given)
        return {"facts": (await self._found(lambda key: wanted <= set(map(str, key))))[1]}

    async def _found(self, chosen):
        """(how many, the first of them), a range of keys a turn: a question must not hold up GETs."""
        facts, count, found = self.peer.replica.facts, 0, []
        for keys in facts.in_range:
            of_range = [key for key in keys if chosen(key)]
            count += len(of_range)
            found += [facts.held[key] for key in of_range[: SHOWN_MOST - len(found)]]
            await asyncio.sleep(0)
        return count, [_shown(fact) for fact in sorted(found, key=lambda fact: tuple(map(str, fact.key)))]


def _shown(fact):
    kind, *rest = fact.key
    said = {"kind": kind, "key": rest, "by": fact.dot[0], "life": f"{fact.dot[1]:x}", "counter": fact.dot[2]}
    if kind == SERVER_STATE:
        return {**said, "state": SourceState(fact.value[2]).name.lower()}
    return {**said, "value": fact.value[0]}
