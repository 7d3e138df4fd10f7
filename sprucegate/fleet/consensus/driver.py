"""The replicated log in a process: its voter (if it is one), a front's log follower, and operators' requests.

A front whose operator's file has an `agreement` node follows the log; one that the node lists as a voter votes as well.
`sprucegate fleet keeper` only votes. No client request waits for any of this; the disk is written by a worker thread.
"""

import asyncio
import time
from collections import deque

from sprucegate.fleet.consensus import codec
from sprucegate.fleet.consensus.actions import (
    SendMessage,
)
from sprucegate.fleet.consensus.durability_check import (
    base_name,
)
from sprucegate.fleet.consensus.follow_messages import (
    EntriesResponse,
    FollowRequest,
    ProposeRequest,
    ProposeResponse,
    StateResponse,
)
from sprucegate.fleet.consensus.log_follower import (
    ApplyCommands,
    LogFollower,
    ProposalCompleted,
    ReplaceState,
)
from sprucegate.fleet.consensus.status import rollout_status
from sprucegate.fleet.consensus.voter_driver import VoterDriver
from sprucegate.fleet.links.codec import ConsensusFrame
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.rollout import commands
from sprucegate.fleet.rollout.follower import FrontReporter
from sprucegate.fleet.rollout.leader import front_lease
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.rollout import RolloutStateMachine

NS_PER_SECOND = 1_000_000_000
TIMER_INTERVAL_SECONDS = 0.02
REPORTER_INTERVAL_SECONDS = 0.1  # between two runs of a front's reporter, which proposes commands
REPORT_INTERVAL = NS_PER_SECOND // 2  # between a front's reports to the leader on all servers
PROPOSAL_TIMEOUT = 2 * NS_PER_SECOND
APPLY_TIME_MAX = (
    5_000_000  # ns of one turn of the event loop in which entries are applied: GETs come in between
)


class ConsensusDriver:
    """The replicated log in one process.

    `agent` is the front's MaintenanceAgent (`fleet/maintenance_agent.py`), None in a process that is only a voter.
    `voter_options` are keyword arguments of VoterDriver.
    """

    def __init__(self, name, incarnation, settings, seed, log, links, agent=None, disk=None, **voter_options):
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.log = log
        self.links = links
        self.agent = agent
        self.loop = asyncio.get_running_loop()
        self.tasks = []
        self.reporter_ran_at = 0
        self.waiters = {}  # token of an operator's proposal -> future of (result, index)
        self.proposal_count = 0
        self.voter = (
            VoterDriver(name, settings, seed, log, self._send, disk, **voter_options)
            if name in settings.addresses
            else None
        )
        self.state_machine = RolloutStateMachine()
        self.pending_actions = (
            deque()
        )  # of the log follower; those behind entries wait until these are applied
        self.unapplied_entries = deque()  # of the action performed last
        self.resume_scheduled = False
        random_source = RandomSource(f"{name}/follows", seed ^ incarnation)
        self.follower = (
            LogFollower(
                list(settings.addresses), incarnation, random_source, time.monotonic_ns(), front_lease()
            )
            if agent is not None
            else None
        )
        self.reporter = FrontReporter(name, incarnation)
        self.fenced = True
        self.incompatible = False  # the log has commands or state of a newer build
        self.report_at = 0
        self.compared_inputs = None  # inputs of the last comparison that found the log up to date
        self.may_report_servers = True  # this front knows enough of the fleet to propose the list of servers

    async def start(self):
        """Start the voter, if this process is one, and the timers."""
        if self.voter is not None:
            self.tasks.append(self.loop.create_task(self.voter.recover()))
        self.tasks.append(self.loop.create_task(self._run_timers()))

    def change_identity(self, name, incarnation):
        """Follow the log and report under a new incarnation, or a new name if another front has the same one."""
        if self.voter is None:
            self.name = name
            self.agent.name = name
        self.incarnation = incarnation
        self.follower.incarnation = incarnation
        self.reporter = FrontReporter(self.name, incarnation)

    def leave(self):
        """Tell the voters that this front shuts down (SIGTERM), with or without a permit.

        The leader then need not wait for the end of its lease.
        """
        permit = self.state_machine.permits.open_by_box.get(self.name)
        if permit is None or permit.step not in (PermitStep.DRAINED, PermitStep.OUT):
            self.log("left_without_permit")
        self._perform(
            self.follower.propose(
                ["left", self.name, self.incarnation], None, time.monotonic_ns(), PROPOSAL_TIMEOUT
            )
        )

    async def stop(self):
        """Stop the voter and the timers."""
        if self.voter is not None:
            await self.voter.stop()
        for task in self.tasks:
            task.cancel()

    async def _run_timers(self):
        while True:
            await asyncio.sleep(TIMER_INTERVAL_SECONDS)
            try:
                now = time.monotonic_ns()
                if self.voter is not None:
                    self.voter.on_timer(now)
                if self.follower is not None:
                    self._on_follower_timer(now)
            except Exception as fault:  # skips the rest of this run only; the timers go on
                self.log("agreed_fault", error=f"{type(fault).__name__}: {fault}")

    # Messages.

    def _send(self, sender, to, message):
        number, data = codec.encode(message)
        process = base_name(to)
        if process == self.name:
            self.loop.call_soon(self.receive, ConsensusFrame(sender, to, number, data))
        else:
            self.links.send(
                process,
                self.settings.addresses.get(process, ""),
                ConsensusFrame(sender, to, number, data),
                False,
            )

    def receive(self, frame):
        """Pass a received frame to the log follower or to the voter, by the kind of its message."""
        try:
            message = codec.decode(frame.number, frame.data)
        except codec.ConsensusMessageError as fault:
            return self.log("agreed_refused", peer=frame.sender, error=str(fault))
        if isinstance(message, EntriesResponse | StateResponse | ProposeResponse):
            if self.follower is not None:
                self._perform(self.follower.on_message(base_name(frame.sender), message, time.monotonic_ns()))
        elif self.voter is not None:
            self.voter.receive(frame.sender, self._resolve_voter(frame.to, message), message)

    def _resolve_voter(self, to, message):
        """Return the voter's name that a message is meant for.

        Followers know voters by their names in the operator's file, so theirs go to whichever identity votes now.
        """
        own = self.voter.raft_node.name if self.voter.raft_node is not None else ""
        return (
            own
            if isinstance(message, FollowRequest | ProposeRequest) and base_name(to) == base_name(own)
            else to
        )

    # A front's side.

    def _on_follower_timer(self, now):
        fenced = self.follower.is_fenced(now)
        self.agent.on_log_applied(self.state_machine, fenced, now)
        if fenced != self.fenced:
            self.fenced = fenced
            self.log("keepers_lost" if fenced else "keepers_found", index=self.follower.applied_index)
        if now >= self.report_at:
            self.report_at = now + REPORT_INTERVAL
            self.follower.report = self.agent.report()
        self._perform(self.follower.on_timer(now))
        if now - self.reporter_ran_at >= REPORTER_INTERVAL_SECONDS * NS_PER_SECOND and not self.incompatible:
            self.reporter_ran_at = now
            proposals = self.reporter.due(
                self.state_machine, self.agent.drained_boxes, self.agent.is_warm, now
            )
            # Servers are compared with the log only where either side changed, as there may be thousands of them.
            inputs = (
                self.agent.boxes_key(),
                id(self.state_machine.permits.boxes),
                len(self.state_machine.permits.boxes),
                min(self.state_machine.permits.fronts, default=""),
            )
            if inputs != self.compared_inputs and self.may_report_servers:
                updates = self.reporter.list_changes(
                    self.state_machine, self.agent.boxes(), self.settings.limits(self.agent.cold_share()), now
                )
                self.compared_inputs = inputs if self.reporter.matches_log else None
                proposals += updates
            for command in proposals:
                self._perform(self.follower.propose(command, None, now, PROPOSAL_TIMEOUT))

    def _perform(self, actions):
        """Perform the log follower's actions in order; entries at most for APPLY_TIME_MAX in one turn of the loop."""
        self.pending_actions.extend(actions)
        if not self.resume_scheduled:
            self._perform_pending()

    def _resume(self):
        self.resume_scheduled = False
        self._perform_pending()

    def _perform_pending(self):
        deadline = time.monotonic_ns() + APPLY_TIME_MAX
        while self.unapplied_entries or self.pending_actions:
            if not self.unapplied_entries:
                self._perform_one(self.pending_actions.popleft())
                continue
            self._apply_entries(deadline)
            if self.unapplied_entries:
                self.resume_scheduled = True
                self.loop.call_soon(self._resume)
                return

    def _perform_one(self, action):
        match action:
            case SendMessage():
                self._send(self.name, action.to, action.message)
            case ApplyCommands():
                self.unapplied_entries.extend(action.entries)
            case ReplaceState():
                state_machine = RolloutStateMachine()
                self.incompatible = not state_machine.restore(action.state)
                self.state_machine = state_machine if not self.incompatible else self.state_machine
                self.agent.apply_drains(self.state_machine)
            case ProposalCompleted():
                if (waiter := self.waiters.pop(action.token, None)) is not None and not waiter.done():
                    waiter.set_result((action.result, action.index))

    def _apply_entries(self, deadline):
        """Apply entries until `deadline` (monotonic ns), one at least, and the drains that follow from them."""
        while self.unapplied_entries:
            index, command = self.unapplied_entries.popleft()
            result, _ = self.state_machine.apply(index, command)
            if result.endswith("is not known here") and not self.incompatible:
                # Of a newer build: the state is no longer complete here, so nothing is proposed from it.
                self.incompatible = True
                self.log("agreed_newer", error=result)
            if time.monotonic_ns() >= deadline:
                break
        self.agent.apply_drains(self.state_machine)

    # Operators.

    async def propose(self, command):
        """Propose an operator's command. Returns the answer as JSON: the result, or an error within PROPOSAL_TIMEOUT.

        A command that is wrapped in `once` takes effect once, however often it is proposed.
        """
        if fault := commands.validation_error(command):
            return {"ok": False, "error": fault}
        inner = command[2] if command[0] == "once" else command
        if inner[0] not in commands.OPERATOR_COMMANDS:
            return {"ok": False, "error": f"{inner[0]} is not an operator's to say"}
        if self.follower is None:
            return {"ok": False, "error": "a keeper takes no requests; ask a front"}
        self.proposal_count += 1
        token = f"w{self.proposal_count}"
        waiter = self.loop.create_future()
        self.waiters[token] = waiter
        self._perform(self.follower.propose(command, token, time.monotonic_ns(), PROPOSAL_TIMEOUT))
        result, index = await waiter
        if not result:
            return {
                "ok": False,
                "error": "no majority of the keepers could be asked in time; the same request may be "
                "given again",
                "quorum": False,
            }
        return {"ok": True, "word": result, "index": index}

    def status(self):
        """Return the state of the replicated log as `sprucegate fleet` shows it."""
        follower = self.follower
        elapsed = time.monotonic_ns() - follower.lease_expiry + front_lease() if follower else None
        return {
            "index": self.state_machine.index,
            "voting": self.voter.status() if self.voter else None,
            "leader": follower.leader if follower else "",
            "fenced": self.fenced,
            "heard_ms": elapsed // 1_000_000 if elapsed is not None else None,
            **rollout_status(self.state_machine),
        }
