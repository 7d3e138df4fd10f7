"""The replicated log in a process: its voter (if it is one), a front's log follower, and requests of operators.

A front whose file has `agreement` follows the log; one that the file names among the voters votes as well.
`sprucegate fleet keeper` only votes. No client request waits for any of it; the disk is written in one thread.
"""

import asyncio
import time

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
from sprucegate.fleet.rollout.permits import PermitStep
from sprucegate.fleet.rollout.rollout import RolloutStateMachine

S = 1_000_000_000
TICK = 0.02  # seconds between two looks at what is due
DUTIES = 0.1
REPORT_EVERY = S // 2  # of a front, about all boxes
PATIENCE = 2 * S  # of an operator's request


class ConsensusDriver:
    """The replicated log in one process.

    `face` is the front's MaintenanceAgent (`fleet/maintenance_agent.py`), None in a process that is only a voter.
    """

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
            VoterDriver(name, node, seed, log, self._send, disk, **trusted)
            if name in node.addresses
            else None
        )
        self.machine = RolloutStateMachine()
        chance = RandomSource(f"{name}/follows", seed ^ life)
        self.follower = (
            LogFollower(list(node.addresses), life, chance, time.monotonic_ns(), front_lease())
            if face is not None
            else None
        )
        self.words, self.fenced, self.stale, self.report_at = FrontReporter(name, life), True, False, 0
        self.compared, self.speaks = (
            None,
            True,
        )  # `speaks`: this front knows enough to say which boxes there are

    async def start(self):
        """Start the voter, if this process is one, and the timer."""
        if self.voting is not None:
            self.tasks.append(self.loop.create_task(self.voting.begins()))
        self.tasks.append(self.loop.create_task(self._ticks()))

    def renamed(self, name, life):
        """This front is another life, or another name beside its twin: it follows and speaks as that from here on."""
        if self.voting is None:
            self.name, self.face.name = name, name
        self.life = self.follower.incarnation = life
        self.words = FrontReporter(self.name, life)

    def leaves(self):
        """SIGTERM at a front: obeyed with or without a permit; nobody waits for its lease."""
        permit = self.machine.permits.open_by_box.get(self.name)
        if permit is None or permit.step not in (PermitStep.DRAINED, PermitStep.OUT):
            self.log("left_without_permit")
        self._do(self.follower.propose(["left", self.name, self.life], None, time.monotonic_ns(), PATIENCE))

    async def stop(self):
        """Stop the voter and the timer."""
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
        """Take a consensus frame: to the log follower or to the voter, by its kind."""
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
        own = self.voting.raft_node.name if self.voting.raft_node is not None else ""
        return (
            own
            if isinstance(message, FollowRequest | ProposeRequest) and base_name(to) == base_name(own)
            else to
        )

    # A front's side.

    def _follows(self, now):
        fenced = self.follower.is_fenced(now)
        self.face.on_log_applied(self.machine, fenced, now)
        if fenced != self.fenced:
            self.fenced = fenced
            self.log("keepers_lost" if fenced else "keepers_found", index=self.follower.applied_index)
        if now >= self.report_at:
            self.report_at = now + REPORT_EVERY
            self.follower.report = self.face.report()
        self._do(self.follower.on_timer(now))
        if now - self.words_at >= DUTIES * S and not self.stale:
            self.words_at = now
            wanted = self.words.due(self.machine, self.face.drained_boxes, self.face.is_warm, now)
            # Where nothing changed on either side there is nothing to compare: boxes may be thousands.
            key = (
                self.face.boxes_key(),
                id(self.machine.permits.boxes),
                len(self.machine.permits.boxes),
                min(self.machine.permits.fronts, default=""),
            )
            if key != self.compared and self.speaks:
                said = self.words.list_changes(
                    self.machine, self.face.boxes(), self.node.limits(self.face.cold_share()), now
                )
                self.compared = key if self.words.matches_log else None
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
                    self.face.apply_drains(self.machine)
                case ReplaceState():
                    machine = RolloutStateMachine()
                    self.stale = not machine.restore(action.state)
                    self.machine = machine if not self.stale else self.machine
                    self.face.apply_drains(self.machine)
                case ProposalCompleted():
                    if (waiter := self.waiting.pop(action.token, None)) is not None and not waiter.done():
                        waiter.set_result((action.result, action.index))

    # Operators.

    async def propose(self, command):
        """The word for an operator's request, or an error, within PATIENCE; given again it has no second effect."""
        if fault := commands.validation_error(command):
            return {"ok": False, "error": fault}
        inner = command[2] if command[0] == "once" else command
        if inner[0] not in commands.OPERATOR_COMMANDS:
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
        """Return the state of the replicated log as `sprucegate fleet` shows it."""
        follower = self.follower
        heard = time.monotonic_ns() - follower.lease_expiry + front_lease() if follower else None
        return {
            "index": self.machine.index,
            "voting": self.voting.shown() if self.voting else None,
            "leader": follower.leader if follower else "",
            "fenced": self.fenced,
            "heard_ms": heard // 1_000_000 if heard is not None else None,
            **rollout_status(self.machine),
        }
