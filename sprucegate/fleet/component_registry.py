"""The components that the operator's file enables; others are not imported."""

from typing import TYPE_CHECKING

from sprucegate.fleet.components import FleetComponent

if TYPE_CHECKING:
    from sprucegate.fleet.service import FleetService


def configured_components(fleet: "FleetService") -> list[FleetComponent]:
    """Return the enabled components in the order in which they start."""
    components: list[FleetComponent] = []
    if fleet.agreement is not None:
        from sprucegate.fleet.consensus.component import ConsensusComponent

        components.append(ConsensusComponent(fleet, *fleet.agreement))
    if fleet.shares is not None:
        from sprucegate.fleet.quotas.component import QuotaComponent

        components.append(QuotaComponent(fleet, fleet.shares))
    return components
