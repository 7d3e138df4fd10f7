"""The replicated log as a component of a router process."""

import orjson

from sprucegate.fleet.components import FleetComponent
from sprucegate.fleet.consensus.driver import ConsensusDriver
from sprucegate.fleet.links.codec import ConsensusFrame
from sprucegate.fleet.maintenance_agent import ConsensusSettings, MaintenanceAgent
from sprucegate.fleet.membership_view.degraded_mode import OwnAction


class ConsensusComponent(FleetComponent):
    """The replicated log in a front: starts its driver and passes events on."""

    name, message_types = "agreed", (ConsensusFrame,)

    def __init__(self, fleet, node, rollout):
        self.fleet, self.file, self.rollout, self.agreed, self.face = fleet, node, rollout, None, None
        self.question_handlers = {"agreed": self._shown, "propose": self._propose}

    async def start(self):
        """Start the maintenance agent and the driver of the replicated log."""
        fleet, own = self.fleet, self.fleet.peer.members.own
        self.face = MaintenanceAgent(
            fleet.driver, fleet.merged, lambda: fleet.peer.members.known, fleet.peer.views
        )
        node = ConsensusSettings(self.file.addresses, self.file.state, self.rollout.limits)
        self.agreed = ConsensusDriver(
            own.name, own.incarnation, node, fleet.seed, fleet.log, fleet.links, self.face
        )
        await self.agreed.start()

    def on_message(self, sender, message):
        """Pass on a consensus frame of another process."""
        if self.agreed is not None:
            self.agreed.heard(message)

    def on_view_changed(self, view):
        """Note whether this front may speak for the endpoints by its own state."""
        if self.agreed is not None:
            self.agreed.speaks = view.allows_own(OwnAction.SPEAK)

    def on_identity_changed(self, name, life):
        """Follow this process's new name or incarnation."""
        if self.agreed is not None:
            self.agreed.renamed(name, life)

    def on_attempt_ended(self, cache, outcome, found, took, asked):
        """Count the end of an attempt for the report that analysis gates rest on."""
        if self.face is not None:
            self.face.attempt_ended(
                cache, outcome, found, took, self.fleet.driver.router.latency_objective(asked)
            )

    def on_leaving(self):
        """Tell the voters that this front leaves."""
        if self.agreed is not None:
            self.agreed.leaves()

    async def stop(self):
        """Stop the driver of the replicated log."""
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
