"""The answer to `fleet why share`: each source and tenant as this front sees it. Operators' tools read its keys."""

from collections.abc import Mapping, Sequence
from typing import Any

from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.fair_queue import SourceQueue
from sprucegate.fleet.quotas.messages import TenantDemand
from sprucegate.units import MILLISECOND


def quota_status(
    quotas: QuotaCoordinator,
    tenant_names: Sequence[str],
    source_names: Mapping[int, str],
    wanted: Sequence[str],
    now: int,
) -> list[dict[str, Any]]:
    """Return a row for each source and tenant; `wanted`: names of tenants or sources, empty for all."""
    rows = []
    for source in sorted(quotas.settings.slots):
        demand = {row.tenant: row for row in quotas.queue.demand(source).tenants}
        source_name = source_names.get(source)
        common = _source_status(quotas, source, source_name, now)
        leased = quotas.borrower.available_slots(source, now).by_tenant
        for tenant, name in enumerate(tenant_names):
            if wanted and name not in wanted and source_name not in wanted:
                continue
            using, waiting = demand.get(tenant, TenantDemand(tenant, 0, 0))[1:]
            own = {
                "tenant": name,
                "weight": quotas.settings.tenants[tenant].weight,
                "using": using,
                "waiting": waiting,
                "lent": leased.get(tenant, 0),
            }
            rows.append({"source": common["source"], **own, **common})
    return rows


def _source_status(
    quotas: QuotaCoordinator, source: int, source_name: str | None, now: int
) -> dict[str, Any]:
    """Return the fields that are the same for all tenants of a source."""
    borrower = quotas.borrower
    queue: SourceQueue | None = quotas.queue.sources.get(source)
    return {
        "source": f"{source:x}" if source_name is None else source_name,
        "all_here": borrower.available_slots(source, now).total,
        "used_here": quotas.queue.demand(source).using,
        "floor": quotas.settings.floor(quotas.name, source),
        "places": quotas.settings.slots[source],
        "mean_ms": queue.mean_fill_time() // MILLISECOND if queue else None,
        "fills": len(queue.fill_times) if queue else 0,
        "steward": borrower.lease_holder.name or "none: its floor",
        "lease_ms": max(0, borrower.expires - now) // MILLISECOND,
    }
