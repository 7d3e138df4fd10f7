"""The replicated log as a component of a router process."""

import orjson

from sprucegate.fleet.components import FleetComponent
from sprucegate.fleet.consensus.driver import ConsensusDriver
from sprucegate.fleet.links.codec import ConsensusFrame
from sprucegate.fleet.maintenance_agent import ConsensusSettings, MaintenanceAgent
from sprucegate.fleet.membership_view.degraded_mode import OwnAction


class ConsensusComponent(FleetComponent):
    """The replicated log in a front: starts its driver and passes events on.

    `agreement` and `rollout` are those nodes of the operator's file.
    """

    name, message_types = "agreed", (ConsensusFrame,)

    def __init__(self, fleet, agreement, rollout):
        self.fleet = fleet
        self.agreement = agreement
        self.rollout = rollout
        self.consensus = None
        self.agent = None
        self.question_handlers = {"agreed": self._status, "propose": self._propose}

    async def start(self):
        """Start the maintenance agent and the driver of the replicated log."""
        fleet = self.fleet
        own = self.fleet.fleet_node.members.own
        self.agent = MaintenanceAgent(
            fleet.driver, fleet.merged, lambda: fleet.fleet_node.members.known, fleet.fleet_node.views
        )
        settings = ConsensusSettings(self.agreement.addresses, self.agreement.state, self.rollout.limits)
        self.consensus = ConsensusDriver(
            own.name, own.incarnation, settings, fleet.seed, fleet.log, fleet.links, self.agent
        )
        await self.consensus.start()

    def on_message(self, sender, message):
        """Pass on a consensus frame of another process."""
        if self.consensus is not None:
            self.consensus.receive(message)

    def on_view_changed(self, view):
        """Note whether this front knows enough of the fleet to propose the list of servers."""
        if self.consensus is not None:
            self.consensus.may_report_servers = view.allows_own(OwnAction.REPORT_SERVERS)

    def on_identity_changed(self, name, incarnation):
        """Follow this process's new name or incarnation."""
        if self.consensus is not None:
            self.consensus.change_identity(name, incarnation)

    def on_attempt_ended(self, endpoint, outcome, cache_status, duration, request):
        """Count the end of an attempt for the report that the gates of releases evaluate."""
        if self.agent is not None:
            self.agent.attempt_ended(
                endpoint,
                outcome,
                cache_status,
                duration,
                self.fleet.driver.router.latency_objective(request),
            )

    def on_leaving(self):
        """Tell the voters that this front shuts down."""
        if self.consensus is not None:
            self.consensus.leave()

    async def stop(self):
        """Stop the driver of the replicated log."""
        if self.consensus is not None:
            await self.consensus.stop()

    async def _status(self, _):
        return self.consensus.status() if self.consensus is not None else _NOT_STARTED

    async def _propose(self, arguments):
        try:
            command = orjson.loads(arguments[0])
        except (IndexError, orjson.JSONDecodeError):
            return {"ok": False, "error": "no command"}
        return await self.consensus.propose(command) if self.consensus is not None else _NOT_STARTED


_NOT_STARTED = {"ok": False, "error": "this front has not begun to follow the log yet"}
