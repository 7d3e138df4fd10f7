"""The agreed log in a process: a keeper's disk and timers, a front's following, and the questions of operators.

A front that has `agreement` in its file follows the log; one that the file names among the keepers votes as well.
`sprucegate fleet keeper` does nothing else. No GET waits for any of it; the disk is written in one thread.
"""

import asyncio
import os
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

import msgspec
import orjson

from sprucegate import clock
from sprucegate.fleet.components import FleetComponent
from sprucegate.fleet.consensus import codec, durability_check
from sprucegate.fleet.consensus.actions import (
    ApplyEntries,
    LeadershipChanged,
    PersistState,
    ReadIndexReady,
    RestoreSnapshot,
    SendMessage,
)
from sprucegate.fleet.consensus.durability_check import (
    DurabilityCheck,
    PersistStarts,
    StartAnnouncement,
    StartConfirmation,
    StorageRolledBack,
    VotingAllowed,
    base_name,
)
from sprucegate.fleet.consensus.follow_messages import (
    EntriesResponse,
    FollowRequest,
    ProposeRequest,
    ProposeResponse,
    StateResponse,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration
from sprucegate.fleet.consensus.log_follower import (
    ApplyCommands,
    LogFollower,
    ProposalCompleted,
    ReplaceState,
)
from sprucegate.fleet.consensus.log_server import LogServer
from sprucegate.fleet.consensus.member_replacement import next_membership
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.fleet.consensus.storage import ConsensusStorageError, RaftStorage
from sprucegate.fleet.links.codec import ConsensusFrame
from sprucegate.fleet.maintenance_agent import ConsensusSettings, MaintenanceAgent
from sprucegate.fleet.membership_view.careful import OwnAction
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.rollout import commands
from sprucegate.fleet.rollout.follower import Words
from sprucegate.fleet.rollout.leader import Leading, front_lease
from sprucegate.fleet.rollout.permits import STEP_WORDS, Step
from sprucegate.fleet.rollout.releases import PHASE_WORDS
from sprucegate.fleet.rollout.rollout import Rollout
from sprucegate.storage.disk import Disk

S = 1_000_000_000
TICK = 0.02  # seconds between two looks at what is due
DUTIES = 0.1
REPORT_EVERY = S // 2  # of a front, about all boxes
AGAIN = 1.0  # until a disk that failed is tried again
COMPACT = 2000  # entries after which a snapshot is made
PATIENCE = 2 * S  # of an operator's request
SHOWN_MOST = 500  # permits in one answer
# The words of operators' answers for a voter's role.
ROLE_WORDS = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "asking",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


class Voting:
    """One keeper: what it decides, its disk, and what it answers. `send(to, message)` goes to a process by name."""

    def __init__(self, name, node, seed, log, send, disk=None, trusted=False, alone=False):
        self.base, self.node, self.seed, self.log, self.send = name, node, seed, log, send
        self.loop, self.pool = asyncio.get_running_loop(), ThreadPoolExecutor(1, "keeper-disk")
        self.ledger, self.trusted, self.alone = (
            RaftStorage(disk or Disk(), node.state),
            trusted or alone,
            alone,
        )
        self.keeper = self.serving = self.leading = self.fitness = None
        self.writes, self.writing, self.newcomers, self.duties_at, self.stopped = (
            deque(),
            None,
            {},
            0.0,
            False,
        )

    async def begins(self):
        """From the folder; without one that can be read, or written, it is tried again and votes by nothing."""
        while not self.stopped:
            try:
                name, start, known, kept = await self._disk(self._opened)
                break
            except (OSError, ConsensusStorageError, ValueError) as fault:
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(AGAIN)
        else:
            return
        for why in kept.refused:
            self.log("keeper_state_refused", error=why)
        now = time.monotonic_ns()
        others = [one for one in self.node.addresses if one != self.base]
        being = int.from_bytes(os.urandom(4), "big")
        # A keeper that ever took part in a vote has a term on its disk.
        self.fitness = DurabilityCheck(
            name, start, being, others, known, now, self.trusted, never_voted=kept.term == 0
        )
        first = (
            ClusterConfiguration(tuple(self.node.addresses), ())
            if name == self.base
            else ClusterConfiguration((), ())
        )
        self.keeper = RaftNode(name, first, RandomSource(name, self.seed ^ being), now)
        machine = Rollout()
        if kept.snapshot is not None and not machine.loaded(msgspec.msgpack.decode(kept.snapshot[3])):
            self.log("keeper_off", error="the state is of another format")
            self.keeper = None
            return
        self.keeper.load(kept.term, kept.voted_for, kept.snapshot, kept.entries)
        self.serving = LogServer(self.keeper, machine)
        self.log("keeper_begins", keeper=name, start=start, term=kept.term, last=self.keeper.log.last_index())
        if self.fitness.may_vote:
            self.log("keeper_fit", keeper=name, by="an operator" if self.trusted else "itself alone")
        if self.alone:
            self.alone = False
            self.log("keeper_alone", keeper=name, last=self.keeper.log.last_index())
            self.do(self.keeper.force_single_voter())

    def _opened(self):
        name, start = self.ledger.count_start(self.base)
        return name, start, self.ledger.read_known_starts(), self.ledger.load(clock.unix())

    def due(self, now):
        if self.keeper is None:
            return
        self.do(self.fitness.on_timer(now, self.keeper.name in self.keeper.configuration().voters))
        if self.keeper is None or not self.fitness.may_vote:
            return
        if self.keeper.next_deadline() <= now:
            self.do(self.keeper.on_timer(now))
        if self.leading is not None and now - self.duties_at >= DUTIES * S:
            self.duties_at = now
            for command in self.leading.due(self.serving.contacts, now):
                self.do(self.keeper.propose(command, now)[1])
            if (step := next_membership(self.keeper, self.newcomers, self.node.addresses, now)) is not None:
                index, actions = self.keeper.change_membership(*step, now)
                if index:
                    self.log("keepers_change", voters=list(step[0]), learners=list(step[1]))
                self.do(actions)

    def heard(self, sender, to, message):
        now = time.monotonic_ns()
        if self.keeper is None:
            return
        if isinstance(message, StartAnnouncement | StartConfirmation):
            if isinstance(message, StartAnnouncement):
                self.newcomers[sender] = now
                while len(self.newcomers) > durability_check.KNOWN_STARTS_MAX:
                    del self.newcomers[next(iter(self.newcomers))]
            return self.do(self.fitness.on_message(sender, message, now))
        if not self.fitness.may_vote or to != self.keeper.name:
            return  # what its former self was told is not its own
        if isinstance(message, FollowRequest | ProposeRequest):
            return self.do(self.serving.on_message(sender, message, now))
        self.do(self.keeper.on_message(sender, message, now))

    def do(self, actions):
        todo = deque(actions)
        while todo:
            action, now = todo.popleft(), time.monotonic_ns()
            match action:
                case SendMessage():
                    self.send(self.keeper.name, action.to, action.message)
                case PersistState():
                    self._write(action)
                case PersistStarts():
                    self.writes.append(action)
                    self._next_write()
                case ApplyEntries():
                    sends, granted = self.serving.on_committed(action.entries)
                    for permit in granted:
                        if self.leading is not None:
                            self.log(
                                "permit_granted",
                                permit=permit.id,
                                box=permit.box,
                                by=permit.by,
                                index=permit.index,
                            )
                    todo.extend(sends)
                    if self.keeper.last_applied - self.keeper.log.base_index >= COMPACT:
                        state = msgspec.msgpack.encode(self.serving.machine.told())
                        todo.extend(self.keeper.compact_log(self.keeper.last_applied, state))
                case RestoreSnapshot():
                    self.serving.on_snapshot_restored(action.index, msgspec.msgpack.decode(action.state))
                case LeadershipChanged():
                    self.log(
                        "keeper_leads" if action.is_leader else "keeper_leads_no_more",
                        keeper=self.keeper.name,
                        term=action.term,
                    )
                    self.leading = (
                        Leading(self.serving.machine, now, self.node.gate) if action.is_leader else None
                    )
                    if not action.is_leader:
                        todo.extend(self.serving.on_leadership_lost())
                case VotingAllowed():
                    self.log("keeper_fit", keeper=self.keeper.name, by=action.confirmed_by)
                    self.fitness.deadline = now
                case StorageRolledBack():
                    self.log("keeper_put_back", keeper=self.keeper.name, name=action.name, by=action.by)
                    self.keeper, self.writes = None, deque()
                    self.loop.create_task(self._anew(action.name))
                    return
                case ReadIndexReady():
                    pass  # what operators are told is a follower's state, with its age

    # The disk: one write at a time, in order.

    def _write(self, action):
        # As it is now: the lists of a log that goes on are not read by another thread.
        self.writes.append(action._replace(entries=list(action.entries)))
        self._next_write()

    def _next_write(self):
        if self.writing is None and self.writes and not self.stopped:
            self.writing = self.loop.create_task(self._written(self.writes.popleft(), self.keeper))

    async def _written(self, action, keeper):
        if isinstance(action, PersistStarts):
            fault = await self._disk(self.ledger.write_known_starts, action.known_starts)
        else:
            fault = await self._disk(self.ledger.write, action, clock.unix())
        self.writing = None
        if keeper is not self.keeper:
            return  # another member by now
        now = time.monotonic_ns()
        if fault is None:
            self.do(
                self.fitness.on_persisted(action.number, now)
                if isinstance(action, PersistStarts)
                else self.keeper.on_persisted(action.number, now)
            )
            return self._next_write()
        self.log("keeper_not_kept", keeper=self.keeper.name, error=fault)
        self.do(self.keeper.on_persist_failed(now))
        self.keeper, self.leading, self.writes = None, None, deque()
        await asyncio.sleep(AGAIN)
        await self.begins()  # as after a crash: by what the disk has, and a start that others confirm

    async def _anew(self, name):
        while not self.stopped:
            try:
                await self._disk(self.ledger.begin_new_identity, name)
                break
            except OSError as fault:
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(AGAIN)
        self.trusted = False
        await self.begins()

    def _disk(self, action, *given):
        return self.loop.run_in_executor(self.pool, action, *given)

    async def stop(self):
        """A leader hands its place on first, so that nobody waits for an election."""
        if self.keeper is not None and self.leading is not None:
            others = [
                n
                for n, m in self.keeper.match_index.items()
                if m == max(self.keeper.match_index.values(), default=0)
            ]
            self.do(self.keeper.transfer_leadership(others[0], time.monotonic_ns()) if others else [])
            await asyncio.sleep(0.1)
        self.stopped = True
        await self._disk(self.ledger.close)
        self.pool.shutdown(wait=False)

    def shown(self):
        if self.keeper is None or not self.fitness.may_vote:
            return {"name": self.base, "role": "not fit to vote" if self.keeper else "off"}
        config = self.keeper.configuration()
        return {
            "name": self.keeper.name,
            "role": ROLE_WORDS[self.keeper.role],
            "term": self.keeper.current_term,
            "leader": self.keeper.leader,
            "voters": list(config.voters),
            "learners": list(config.learners),
            "committed": self.keeper.commit_index,
            "last": self.keeper.log.last_index(),
        }


class ConsensusComponent(FleetComponent):
    """The agreed log in a front."""

    name, message_types = "agreed", (ConsensusFrame,)

    def __init__(self, fleet, node, rollout):
        self.fleet, self.file, self.rollout, self.agreed, self.face = fleet, node, rollout, None, None
        self.question_handlers = {"agreed": self._shown, "propose": self._propose}

    async def start(self):
        fleet, own = self.fleet, self.fleet.peer.members.own
        self.face = MaintenanceAgent(
            fleet.driver, fleet.merged, lambda: fleet.peer.members.known, fleet.peer.views
        )
        node = ConsensusSettings(self.file.addresses, self.file.state, self.rollout.limits)
        self.agreed = ConsensusDriver(own.name, own.life, node, fleet.seed, fleet.log, fleet.links, self.face)
        await self.agreed.start()

    def on_message(self, sender, message):
        if self.agreed is not None:
            self.agreed.heard(message)

    def on_view_changed(self, view):
        if self.agreed is not None:
            self.agreed.speaks = view.allows_own(OwnAction.SPEAK)

    def on_identity_changed(self, name, life):
        if self.agreed is not None:
            self.agreed.renamed(name, life)

    def on_attempt_ended(self, cache, outcome, found, took, asked):
        if self.face is not None:
            self.face.forwarded(
                cache, outcome, found, took, self.fleet.driver.router.latency_objective(asked)
            )

    def on_leaving(self):
        if self.agreed is not None:
            self.agreed.leaves()

    async def stop(self):
        if self.agreed is not None:
            await self.agreed.stop()

    async def _shown(self, _):
        return self.agreed.shown() if self.agreed is not None else _AWAY

    async def _propose(self, given):
        try:
            command = orjson.loads(given[0])
        except (IndexError, orjson.JSONDecodeError):
            return {"ok": False, "error": "no command"}
        return await self.agreed.propose(command) if self.agreed is not None else _AWAY


_AWAY = {"ok": False, "error": "this front has not begun to follow the log yet"}


class ConsensusDriver:
    """What a process has of the agreed log. `face` is a front's side (see `Face` in service.py), None for a keeper."""

    def __init__(self, name, life, node, seed, log, links, face=None, disk=None, **trusted):
        self.name, self.life, self.node, self.log, self.links, self.face = name, life, node, log, links, face
        self.loop, self.tasks, self.words_at, self.waiting, self.counter = (
            asyncio.get_running_loop(),
            [],
            0,
            {},
            0,
        )
        self.voting = (
            Voting(name, node, seed, log, self._send, disk, **trusted) if name in node.addresses else None
        )
        self.machine = Rollout()
        chance = RandomSource(f"{name}/follows", seed ^ life)
        self.follower = (
            LogFollower(list(node.addresses), life, chance, time.monotonic_ns(), front_lease())
            if face is not None
            else None
        )
        self.words, self.fenced, self.stale, self.report_at = Words(name, life), True, False, 0
        self.compared, self.speaks = (
            None,
            True,
        )  # `speaks`: this front knows enough to say which boxes there are

    async def start(self):
        if self.voting is not None:
            self.tasks.append(self.loop.create_task(self.voting.begins()))
        self.tasks.append(self.loop.create_task(self._ticks()))

    def renamed(self, name, life):
        """This front is another life, or another name beside its twin: it follows and speaks as that from here on."""
        if self.voting is None:
            self.name, self.face.name = name, name
        self.life = self.follower.incarnation = life
        self.words = Words(self.name, life)

    def leaves(self):
        """SIGTERM at a front: obeyed with or without a permit; nobody waits for its lease."""
        permit = self.machine.permits.of_box.get(self.name)
        if permit is None or permit.step not in (Step.DRAINED, Step.OUT):
            self.log("left_without_permit")
        self._do(self.follower.propose(["left", self.name, self.life], None, time.monotonic_ns(), PATIENCE))

    async def stop(self):
        if self.voting is not None:
            await self.voting.stop()
        for task in self.tasks:
            task.cancel()

    async def _ticks(self):
        while True:
            await asyncio.sleep(TICK)
            try:
                now = time.monotonic_ns()
                if self.voting is not None:
                    self.voting.due(now)
                if self.follower is not None:
                    self._follows(now)
            except Exception as fault:  # one look is lost by it, not the process
                self.log("agreed_fault", error=f"{type(fault).__name__}: {fault}")

    # To and fro.

    def _send(self, sender, to, message):
        number, data = codec.encode(message)
        process = base_name(to)
        if process == self.name:
            self.loop.call_soon(self.heard, ConsensusFrame(sender, to, number, data))
        else:
            self.links.send(
                process, self.node.addresses.get(process, ""), ConsensusFrame(sender, to, number, data), False
            )

    def heard(self, routed):
        try:
            message = codec.decode(routed.number, routed.data)
        except codec.ConsensusMessageError as fault:
            return self.log("agreed_refused", peer=routed.sender, error=str(fault))
        if isinstance(message, EntriesResponse | StateResponse | ProposeResponse):
            if self.follower is not None:
                self._do(self.follower.on_message(base_name(routed.sender), message, time.monotonic_ns()))
        elif self.voting is not None:
            self.voting.heard(routed.sender, self._addressed(routed.to, message), message)

    def _addressed(self, to, message):
        """A front knows keepers by the file's names; whom it means is whoever votes there now."""
        own = self.voting.keeper.name if self.voting.keeper is not None else ""
        return (
            own
            if isinstance(message, FollowRequest | ProposeRequest) and base_name(to) == base_name(own)
            else to
        )

    # A front's side.

    def _follows(self, now):
        fenced = self.follower.is_fenced(now)
        self.face.follows(self.machine, fenced, now)
        if fenced != self.fenced:
            self.fenced = fenced
            self.log("keepers_lost" if fenced else "keepers_found", index=self.follower.applied_index)
        if now >= self.report_at:
            self.report_at = now + REPORT_EVERY
            self.follower.report = self.face.report()
        self._do(self.follower.on_timer(now))
        if now - self.words_at >= DUTIES * S and not self.stale:
            self.words_at = now
            wanted = self.words.due(self.machine, self.face.drained, self.face.warm, now)
            # Where nothing changed on either side there is nothing to compare: boxes may be thousands.
            key = (
                self.face.changed(),
                id(self.machine.permits.boxes),
                len(self.machine.permits.boxes),
                min(self.machine.permits.fronts, default=""),
            )
            if key != self.compared and self.speaks:
                said = self.words.view(
                    self.machine, self.face.boxes(), self.node.limits(self.face.floor()), now
                )
                self.compared = key if self.words.same else None
                wanted += said
            for command in wanted:
                self._do(self.follower.propose(command, None, now, PATIENCE))

    def _do(self, actions):
        for action in actions:
            match action:
                case SendMessage():
                    self._send(self.name, action.to, action.message)
                case ApplyCommands():
                    for index, command in action.entries:
                        word, _ = self.machine.apply(index, command)
                        if word.endswith("is not known here") and not self.stale:
                            # A newer build's: what it says of boxes is no longer known, so nothing is said to it.
                            self.stale = True
                            self.log("agreed_newer", error=word)
                    self.face.holds(self.machine)
                case ReplaceState():
                    machine = Rollout()
                    self.stale = not machine.loaded(action.state)
                    self.machine = machine if not self.stale else self.machine
                    self.face.holds(self.machine)
                case ProposalCompleted():
                    if (waiter := self.waiting.pop(action.token, None)) is not None and not waiter.done():
                        waiter.set_result((action.result, action.index))

    # Operators.

    async def propose(self, command):
        """The word for an operator's request, or an error, within PATIENCE; given again it has no second effect."""
        if fault := commands.fault(command):
            return {"ok": False, "error": fault}
        inner = command[2] if command[0] == "once" else command
        if inner[0] not in commands.BY_OPERATORS:
            return {"ok": False, "error": f"{inner[0]} is not an operator's to say"}
        if self.follower is None:
            return {"ok": False, "error": "a keeper takes no requests; ask a front"}
        self.counter += 1
        token, waiter = f"w{self.counter}", self.loop.create_future()
        self.waiting[token] = waiter
        self._do(self.follower.propose(command, token, time.monotonic_ns(), PATIENCE))
        word, index = await waiter
        if not word:
            return {
                "ok": False,
                "error": "no majority of the keepers could be asked in time; the same request may be "
                "given again",
                "quorum": False,
            }
        return {"ok": True, "word": word, "index": index}

    def shown(self):
        machine, permits = self.machine, self.machine.permits
        out, waits = permits.out(), machine.waits()
        now = time.monotonic_ns()
        fields = [p for p in permits.permits.values() if p.step <= Step.COLD]
        return {
            "index": machine.index,
            "voting": self.voting.shown() if self.voting else None,
            "leader": self.follower.leader if self.follower else "",
            "fenced": self.fenced,
            "heard_ms": (now - self.follower.lease_expiry + front_lease()) // 1_000_000
            if self.follower
            else None,
            "fronts": sorted(permits.fronts),
            "out": out,
            "boxes": len(permits.boxes),
            "budgets": [list(b) for b in permits.budgets],
            "troubles": machine.releases.troubles,
            "permits": [
                {
                    "id": p.id,
                    "box": p.box,
                    "by": p.by,
                    "why": p.why,
                    "release": p.release,
                    "version": p.version,
                    "step": STEP_WORDS[p.step],
                    "index": p.index,
                    "drained": p.drained,
                    "warm": p.warm,
                    "start": p.start,
                    "holder": p.holder,
                    "overdue": p.overdue,
                    "waits": waits.get(p.id),
                }
                for p in fields[:SHOWN_MOST]
            ],
            "history": machine.releases.history,
            "left_without_permit": permits.without,
            "ended": {id: STEP_WORDS[permits.permits[id].step] for id in permits.ended[-SHOWN_MOST:]},
            "releases": [
                {
                    "name": n,
                    "by": r.by,
                    "phase": PHASE_WORDS[r.phase],
                    "wave": r.wave,
                    "why": r.why,
                    "waves": [list(w) for w in r.plan.waves],
                    "done": r.done,
                    "ahead": r.ahead,
                    "version": r.plan.version,
                    "former": r.plan.former,
                }
                for n, r in machine.releases.releases.items()
            ],
        }
