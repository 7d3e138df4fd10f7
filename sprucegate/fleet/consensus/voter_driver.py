"""One voter in a process: its Raft node, its storage, written by one worker thread, and its answers to followers."""

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

NS_PER_SECOND = 1_000_000_000
LEADER_INTERVAL_SECONDS = 0.1  # between two runs of the leader's periodic tasks
DISK_RETRY_SECONDS = 1.0
COMPACTION_ENTRIES = 2000  # applied entries after which the log is compacted into a snapshot


class VoterDriver:
    """Runs one voter: its Raft node, its storage, and its answers to processes that follow the log.

    `send(sender, to, message)` sends a message to a process by name. `trusted`: an operator vouches that the folder
    lost nothing. `only_one_left`: the other voters are gone for good, and this one continues as the only voter.
    """

    def __init__(self, name, settings, seed, log, send, disk=None, trusted=False, only_one_left=False):
        self.configured_name = name  # as in the operator's file; a later identity has a suffix
        self.settings = settings
        self.seed = seed
        self.log = log
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.disk_thread = ThreadPoolExecutor(1, "keeper-disk")
        self.storage = RaftStorage(disk or Disk(), settings.state)
        self.trusted = trusted or only_one_left
        self.only_one_left = only_one_left
        self.raft_node = None
        self.log_server = None
        self.rollout_leader = None
        self.durability = None
        self.pending_writes = deque()
        self.write_task = None
        self.announced_at = {}  # process -> when its last StartAnnouncement came (ns)
        self.leader_tasks_at = 0.0  # when the leader's periodic tasks last ran (ns)
        self.stopped = False

    async def recover(self):
        """Load the state from the folder and begin to take part.

        Retried while the folder can't be read or written: a start that isn't counted on disk must not vote.
        """
        while not self.stopped:
            try:
                name, start_count, known_starts, stored = await self._on_disk_thread(self._open_storage)
                break
            except (OSError, ConsensusStorageError, ValueError) as fault:
                # Not final: retried.
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(DISK_RETRY_SECONDS)
        else:
            return
        for reason in stored.refused:
            self.log("keeper_state_refused", error=reason)
        now = time.monotonic_ns()
        peers = [voter for voter in self.settings.addresses if voter != self.configured_name]
        incarnation = int.from_bytes(os.urandom(4), "big")
        # A voter that ever took part in an election has a term on its disk.
        self.durability = DurabilityCheck(
            name,
            start_count,
            incarnation,
            peers,
            known_starts,
            now,
            self.trusted,
            never_voted=stored.term == 0,
        )
        initial_configuration = (
            ClusterConfiguration(tuple(self.settings.addresses), ())
            if name == self.configured_name
            else ClusterConfiguration((), ())
        )
        self.raft_node = RaftNode(
            name, initial_configuration, RandomSource(name, self.seed ^ incarnation), now
        )
        state_machine = RolloutStateMachine()
        if stored.snapshot is not None and not state_machine.restore(
            msgspec.msgpack.decode(stored.snapshot[3])
        ):
            # Final: recovery is not tried again, and this voter takes no part.
            self.log("keeper_off", error="the stored snapshot's state has an unknown format")
            self.raft_node = None
            return
        self.raft_node.load(stored.term, stored.voted_for, stored.snapshot, stored.entries)
        self.log_server = LogServer(self.raft_node, state_machine)
        self.log(
            "keeper_begins",
            raft_node=name,
            start=start_count,
            term=stored.term,
            last=self.raft_node.log.last_index(),
        )
        if self.durability.may_vote:
            # "itself alone": no other voter is configured.
            self.log("keeper_fit", raft_node=name, by="an operator" if self.trusted else "itself alone")
        if self.only_one_left:
            self.only_one_left = False
            self.log("keeper_alone", raft_node=name, last=self.raft_node.log.last_index())
            self.perform(self.raft_node.force_single_voter())

    def _open_storage(self):
        name, start_count = self.storage.count_start(self.configured_name)
        return name, start_count, self.storage.read_known_starts(), self.storage.load(clock.unix())

    def on_timer(self, now):
        """Run what is due at `now` (monotonic ns): durability check, Raft node, and the leader's periodic tasks."""
        if self.raft_node is None:
            return
        self.perform(
            self.durability.on_timer(now, self.raft_node.name in self.raft_node.configuration().voters)
        )
        if self.raft_node is None or not self.durability.may_vote:
            return
        if self.raft_node.next_deadline() <= now:
            self.perform(self.raft_node.on_timer(now))
        if (
            self.rollout_leader is not None
            and now - self.leader_tasks_at >= LEADER_INTERVAL_SECONDS * NS_PER_SECOND
        ):
            self.leader_tasks_at = now
            for command in self.rollout_leader.due(self.log_server.contacts, now):
                self.perform(self.raft_node.propose(command, now)[1])
            if (
                step := next_membership(self.raft_node, self.announced_at, self.settings.addresses, now)
            ) is not None:
                index, actions = self.raft_node.change_membership(*step, now)
                if index:
                    # Proposed, not yet committed.
                    self.log("keepers_change", voters=list(step[0]), learners=list(step[1]))
                self.perform(actions)

    def receive(self, sender, to, message):
        """Handle a message of another process; `to` is the voter's name that it was addressed to."""
        now = time.monotonic_ns()
        if self.raft_node is None:
            return
        if isinstance(message, StartAnnouncement | StartConfirmation):
            if isinstance(message, StartAnnouncement):
                self.announced_at[sender] = now
                while len(self.announced_at) > durability_check.KNOWN_STARTS_MAX:
                    del self.announced_at[next(iter(self.announced_at))]
            return self.perform(self.durability.on_message(sender, message, now))
        if not self.durability.may_vote or to != self.raft_node.name:
            return  # also where it was addressed to a former identity of this voter
        if isinstance(message, FollowRequest | ProposeRequest):
            return self.perform(self.log_server.on_message(sender, message, now))
        self.perform(self.raft_node.on_message(sender, message, now))

    def perform(self, actions):
        """Perform actions of the Raft node, the durability check and the log server, in order."""
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            now = time.monotonic_ns()
            match action:
                case SendMessage():
                    self.send(self.raft_node.name, action.to, action.message)
                case PersistState():
                    self._queue_state_write(action)
                case PersistStarts():
                    self.pending_writes.append(action)
                    self._start_next_write()
                case ApplyEntries():
                    responses, granted = self.log_server.on_committed(action.entries)
                    for permit in granted:
                        if self.rollout_leader is not None:
                            self.log(
                                "permit_granted",
                                permit=permit.id,
                                box=permit.box,
                                by=permit.by,
                                index=permit.index,
                            )
                    pending.extend(responses)
                    if self.raft_node.last_applied - self.raft_node.log.base_index >= COMPACTION_ENTRIES:
                        state = msgspec.msgpack.encode(self.log_server.machine.snapshot())
                        pending.extend(self.raft_node.compact_log(self.raft_node.last_applied, state))
                case RestoreSnapshot():
                    self.log_server.on_snapshot_restored(action.index, msgspec.msgpack.decode(action.state))
                case LeadershipChanged():
                    self.log(
                        "keeper_leads" if action.is_leader else "keeper_leads_no_more",
                        raft_node=self.raft_node.name,
                        term=action.term,
                    )
                    self.rollout_leader = (
                        RolloutLeader(self.log_server.machine, now, self.settings.gate)
                        if action.is_leader
                        else None
                    )
                    if not action.is_leader:
                        pending.extend(self.log_server.on_leadership_lost())
                case VotingAllowed():
                    self.log("keeper_fit", raft_node=self.raft_node.name, by=action.confirmed_by)
                    self.durability.deadline = now
                case StorageRolledBack():
                    self.log("keeper_put_back", raft_node=self.raft_node.name, name=action.name, by=action.by)
                    self.raft_node = None
                    self.pending_writes = deque()
                    self.loop.create_task(self._restart_as(action.name))
                    return
                case ReadIndexReady():
                    pass  # no reads are requested: operators see a follower's state and its age

    # Disk writes: one at a time, in order.

    def _queue_state_write(self, action):
        # The entries are copied, as the disk thread reads them while the Raft node goes on.
        self.pending_writes.append(action._replace(entries=list(action.entries)))
        self._start_next_write()

    def _start_next_write(self):
        if self.write_task is None and self.pending_writes and not self.stopped:
            self.write_task = self.loop.create_task(
                self._run_write(self.pending_writes.popleft(), self.raft_node)
            )

    async def _run_write(self, action, raft_node):
        if isinstance(action, PersistStarts):
            fault = await self._on_disk_thread(self.storage.write_known_starts, action.known_starts)
        else:
            fault = await self._on_disk_thread(self.storage.write, action, clock.unix())
        self.write_task = None
        if raft_node is not self.raft_node:
            return  # the Raft node was replaced during the write
        now = time.monotonic_ns()
        if fault is None:
            self.perform(
                self.durability.on_persisted(action.number, now)
                if isinstance(action, PersistStarts)
                else self.raft_node.on_persisted(action.number, now)
            )
            return self._start_next_write()
        self.log("keeper_not_kept", raft_node=self.raft_node.name, error=fault)
        self.perform(self.raft_node.on_persist_failed(now))
        self.raft_node = None
        self.rollout_leader = None
        self.pending_writes = deque()
        await asyncio.sleep(DISK_RETRY_SECONDS)
        await self.recover()  # as after a crash: from what is on disk, by a new start that peers must confirm

    async def _restart_as(self, name):
        """Set the folder's state aside and start again as the new member `name`."""
        while not self.stopped:
            try:
                await self._on_disk_thread(self.storage.begin_new_identity, name)
                break
            except OSError as fault:
                # Not final: retried.
                self.log("keeper_off", error=f"{type(fault).__name__}: {fault}")
                await asyncio.sleep(DISK_RETRY_SECONDS)
        self.trusted = False
        await self.recover()

    def _on_disk_thread(self, function, *arguments):
        return self.loop.run_in_executor(self.disk_thread, function, *arguments)

    async def stop(self):
        """Stop the voter. A leader transfers leadership first, so that nobody waits for an election timeout."""
        if self.raft_node is not None and self.rollout_leader is not None:
            most_up_to_date = [
                name
                for name, index in self.raft_node.match_index.items()
                if index == max(self.raft_node.match_index.values(), default=0)
            ]
            self.perform(
                self.raft_node.transfer_leadership(most_up_to_date[0], time.monotonic_ns())
                if most_up_to_date
                else []
            )
            await asyncio.sleep(0.1)
        self.stopped = True
        await self._on_disk_thread(self.storage.close)
        self.disk_thread.shutdown(wait=False)

    def status(self):
        """Return the voter's state as `sprucegate fleet` shows it."""
        if self.raft_node is None or not self.durability.may_vote:
            return {"name": self.configured_name, "role": "not fit to vote" if self.raft_node else "off"}
        return voter_status(self.raft_node)
