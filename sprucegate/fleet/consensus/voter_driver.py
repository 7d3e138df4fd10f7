"""One voter in a process: its Raft node, its disk, written in one thread, and its answers to followers."""

import asyncio
import os
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

import msgspec

from sprucegate import clock
from sprucegate.fleet.consensus import durability_check
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
)
from sprucegate.fleet.consensus.follow_messages import (
    FollowRequest,
    ProposeRequest,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration
from sprucegate.fleet.consensus.log_server import LogServer
from sprucegate.fleet.consensus.member_replacement import next_membership
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.status import voter_status
from sprucegate.fleet.consensus.storage import ConsensusStorageError, RaftStorage
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.rollout.leader import RolloutLeader
from sprucegate.fleet.rollout.rollout import RolloutStateMachine
from sprucegate.storage.disk import Disk

S = 1_000_000_000
LEADER_INTERVAL_SECONDS = 0.1
DISK_RETRY_SECONDS = 1.0
COMPACTION_ENTRIES = 2000  # entries after which a snapshot is made


class VoterDriver:
    """One voter: its Raft node, its disk and its answers to followers.

    `send(sender, to, message)` sends to a process by name.
    """

    def __init__(self, name, node, seed, log, send, disk=None, trusted=False, alone=False):
        self.base, self.node, self.seed, self.log, self.send = name, node, seed, log, send
        self.loop, self.pool = asyncio.get_running_loop(), ThreadPoolExecutor(1, "keeper-disk")
        self.storage, self.trusted, self.alone = (
            RaftStorage(disk or Disk(), node.state),
            trusted or alone,
            alone,
        )
        self.raft_node = self.serving = self.leading = self.durability = None
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
                name, start, known, stored = await self._disk(self._opened)
                break
            except (OSError, ConsensusStorageError, ValueError) as fault:
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(DISK_RETRY_SECONDS)
        else:
            return
        for why in stored.refused:
            self.log("keeper_state_refused", error=why)
        now = time.monotonic_ns()
        others = [one for one in self.node.addresses if one != self.base]
        incarnation = int.from_bytes(os.urandom(4), "big")
        # A keeper that ever took part in a vote has a term on its disk.
        self.durability = DurabilityCheck(
            name, start, incarnation, others, known, now, self.trusted, never_voted=stored.term == 0
        )
        first = (
            ClusterConfiguration(tuple(self.node.addresses), ())
            if name == self.base
            else ClusterConfiguration((), ())
        )
        self.raft_node = RaftNode(name, first, RandomSource(name, self.seed ^ incarnation), now)
        machine = RolloutStateMachine()
        if stored.snapshot is not None and not machine.restore(msgspec.msgpack.decode(stored.snapshot[3])):
            self.log("keeper_off", error="the state is of another format")
            self.raft_node = None
            return
        self.raft_node.load(stored.term, stored.voted_for, stored.snapshot, stored.entries)
        self.serving = LogServer(self.raft_node, machine)
        self.log(
            "keeper_begins",
            raft_node=name,
            start=start,
            term=stored.term,
            last=self.raft_node.log.last_index(),
        )
        if self.durability.may_vote:
            self.log("keeper_fit", raft_node=name, by="an operator" if self.trusted else "itself alone")
        if self.alone:
            self.alone = False
            self.log("keeper_alone", raft_node=name, last=self.raft_node.log.last_index())
            self.do(self.raft_node.force_single_voter())

    def _opened(self):
        name, start = self.storage.count_start(self.base)
        return name, start, self.storage.read_known_starts(), self.storage.load(clock.unix())

    def due(self, now):
        """Run what is due by `now` (monotonic ns): durability check, Raft node, and the leader's duties."""
        if self.raft_node is None:
            return
        self.do(self.durability.on_timer(now, self.raft_node.name in self.raft_node.configuration().voters))
        if self.raft_node is None or not self.durability.may_vote:
            return
        if self.raft_node.next_deadline() <= now:
            self.do(self.raft_node.on_timer(now))
        if self.leading is not None and now - self.duties_at >= LEADER_INTERVAL_SECONDS * S:
            self.duties_at = now
            for command in self.leading.due(self.serving.contacts, now):
                self.do(self.raft_node.propose(command, now)[1])
            if (
                step := next_membership(self.raft_node, self.newcomers, self.node.addresses, now)
            ) is not None:
                index, actions = self.raft_node.change_membership(*step, now)
                if index:
                    self.log("keepers_change", voters=list(step[0]), learners=list(step[1]))
                self.do(actions)

    def heard(self, sender, to, message):
        """Take a message of another process that is addressed to `to`, this voter's present name."""
        now = time.monotonic_ns()
        if self.raft_node is None:
            return
        if isinstance(message, StartAnnouncement | StartConfirmation):
            if isinstance(message, StartAnnouncement):
                self.newcomers[sender] = now
                while len(self.newcomers) > durability_check.KNOWN_STARTS_MAX:
                    del self.newcomers[next(iter(self.newcomers))]
            return self.do(self.durability.on_message(sender, message, now))
        if not self.durability.may_vote or to != self.raft_node.name:
            return  # what its former self was told is not its own
        if isinstance(message, FollowRequest | ProposeRequest):
            return self.do(self.serving.on_message(sender, message, now))
        self.do(self.raft_node.on_message(sender, message, now))

    def do(self, actions):
        """Perform actions of the Raft node, the durability check and the log server, in order."""
        todo = deque(actions)
        while todo:
            action, now = todo.popleft(), time.monotonic_ns()
            match action:
                case SendMessage():
                    self.send(self.raft_node.name, action.to, action.message)
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
                    if self.raft_node.last_applied - self.raft_node.log.base_index >= COMPACTION_ENTRIES:
                        state = msgspec.msgpack.encode(self.serving.machine.snapshot())
                        todo.extend(self.raft_node.compact_log(self.raft_node.last_applied, state))
                case RestoreSnapshot():
                    self.serving.on_snapshot_restored(action.index, msgspec.msgpack.decode(action.state))
                case LeadershipChanged():
                    self.log(
                        "keeper_leads" if action.is_leader else "keeper_leads_no_more",
                        raft_node=self.raft_node.name,
                        term=action.term,
                    )
                    self.leading = (
                        RolloutLeader(self.serving.machine, now, self.node.gate) if action.is_leader else None
                    )
                    if not action.is_leader:
                        todo.extend(self.serving.on_leadership_lost())
                case VotingAllowed():
                    self.log("keeper_fit", raft_node=self.raft_node.name, by=action.confirmed_by)
                    self.durability.deadline = now
                case StorageRolledBack():
                    self.log("keeper_put_back", raft_node=self.raft_node.name, name=action.name, by=action.by)
                    self.raft_node, self.writes = None, deque()
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
            self.writing = self.loop.create_task(self._written(self.writes.popleft(), self.raft_node))

    async def _written(self, action, raft_node):
        if isinstance(action, PersistStarts):
            fault = await self._disk(self.storage.write_known_starts, action.known_starts)
        else:
            fault = await self._disk(self.storage.write, action, clock.unix())
        self.writing = None
        if raft_node is not self.raft_node:
            return  # another member by now
        now = time.monotonic_ns()
        if fault is None:
            self.do(
                self.durability.on_persisted(action.number, now)
                if isinstance(action, PersistStarts)
                else self.raft_node.on_persisted(action.number, now)
            )
            return self._next_write()
        self.log("keeper_not_kept", raft_node=self.raft_node.name, error=fault)
        self.do(self.raft_node.on_persist_failed(now))
        self.raft_node, self.leading, self.writes = None, None, deque()
        await asyncio.sleep(DISK_RETRY_SECONDS)
        await self.begins()  # as after a crash: by what the disk has, and a start that others confirm

    async def _anew(self, name):
        while not self.stopped:
            try:
                await self._disk(self.storage.begin_new_identity, name)
                break
            except OSError as fault:
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(DISK_RETRY_SECONDS)
        self.trusted = False
        await self.begins()

    def _disk(self, action, *given):
        return self.loop.run_in_executor(self.pool, action, *given)

    async def stop(self):
        """A leader hands its place on first, so that nobody waits for an election."""
        if self.raft_node is not None and self.leading is not None:
            others = [
                n
                for n, m in self.raft_node.match_index.items()
                if m == max(self.raft_node.match_index.values(), default=0)
            ]
            self.do(self.raft_node.transfer_leadership(others[0], time.monotonic_ns()) if others else [])
            await asyncio.sleep(0.1)
        self.stopped = True
        await self._disk(self.storage.close)
        self.pool.shutdown(wait=False)

    def shown(self):
        """Return the voter's state as `sprucegate fleet` shows it."""
        if self.raft_node is None or not self.durability.may_vote:
            return {"name": self.base, "role": "not fit to vote" if self.raft_node else "off"}
        return voter_status(self.raft_node)
