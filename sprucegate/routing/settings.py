"""Deployment settings that routing decisions use, as a typed record that is built once from configuration.

`sprucegate/simulator/settings.py` maps the platform's names to the names used here. Times are nanoseconds,
sizes are kilobytes, shares lie between 0 and 1. A setting that the deployment leaves out has its default.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any

from sprucegate.units import MILLISECOND, SECOND

UNLIMITED = 1 << 30
NO_SUCH_KIND = -1


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """One deployment's settings. Sequences have one item for each delivery service, None if not stated.

    :ivar my_number: ordinal of this router among all routers.
    :ivar my_location: position of this router's location in the deployment's list.
    :ivar parent_kind: endpoint kind of parents (origin shields), -1 if there are none.
    :ivar origin_kind: endpoint kind of the origin, -1 if there is none.
    :ivar siblings: which siblings may fill a miss: "location", "any" or "none".
    :ivar direct: whether a request may bypass the caches.
    :ivar joins: whether caches collapse concurrent requests for a missing object into one fill.
    :ivar cancel: whether an attempt may be cancelled.
    :ivar max_forwards: maximum attempts for one request.
    :ivar retry_after: whether a rejection may carry a retry delay.
    :ivar max_retry_after: longest retry delay (ns).
    :ivar discovery: "push", or "ask" if the router has to subscribe to the endpoint list.
    :ivar tells: which cache statuses caches report in their responses: "all", "hit" or "none". With "none",
        statuses are inferred from the speed of responses.
    :ivar tick: granularity of times on the wire (ns).
    :ivar purge_grace: time after a purge until which copies from before it may still be returned (ns).
    :ivar purge_done: time after a purge by which all caches have applied it (ns).
    :ivar client_kb_per_s: rate at which responses are sent to clients, 0 if unknown.
    :ivar link_in_kb_per_s: rate of each location's link from the parents.
    :ivar fronts_by_location: number of routers at each location.
    :ivar cold_share: share of its full rate that a cache sustains right after its start.
    :ivar warm_time: time after its start from which a cache sustains its full rate (ns).
    :ivar fall_time: length of the window in which a cold cache or parent fails if it gets too much work (ns).
    :ivar fall_multiple: multiple of the work that it sustains in one such window at which a cold cache fails.
    :ivar parent_cold_share: `cold_share` of parents.
    :ivar parent_warm_time: `warm_time` of parents (ns).
    :ivar parent_fall_multiple: `fall_multiple` of parents.
    :ivar latency_objective: time within which a request is to be answered (ns).
    :ivar objective_stretch: extension of the latency objective, as a multiple of the sending time.
    :ivar revenue: value of a request.
    :ivar effect: "idempotent", "tokened" (a repeat is recognised by its idempotency key) or
        "non-idempotent". Only "idempotent" requests are repeated if they may have been executed.
    :ivar runs_at_origin: whether requests are executed at the origin.
    :ivar fresh_time: freshness lifetime (ns).
    :ivar grace_time: how long past its freshness lifetime a copy may still be served (ns).
    """

    my_number: int = 0
    my_location: int = 0
    parent_kind: int = NO_SUCH_KIND
    origin_kind: int = NO_SUCH_KIND
    siblings: str = "none"
    direct: bool = False
    joins: bool = False
    cancel: bool = False
    max_forwards: int = UNLIMITED
    retry_after: bool = False
    max_retry_after: int = 0
    discovery: str = ""
    tells: str = "all"
    tick: int = MILLISECOND
    purge_grace: int = 0
    purge_done: int = 0
    client_kb_per_s: float = 0
    link_in_kb_per_s: Sequence[float] = ()
    fronts_by_location: Sequence[int] = ()
    cold_share: float = 0.1
    warm_time: int = 0
    fall_time: int = SECOND
    fall_multiple: float = 2
    parent_cold_share: float = 0.1
    parent_warm_time: int = 0
    parent_fall_multiple: float = 2
    latency_objective: Sequence[int | None] = ()
    objective_stretch: Sequence[float | None] = ()
    revenue: Sequence[float | None] = ()
    effect: Sequence[str | None] = ()
    runs_at_origin: Sequence[bool | None] = ()
    fresh_time: Sequence[int | None] = ()
    grace_time: Sequence[int | None] = ()

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> "RoutingSettings":
        """Build the record from a mapping with the names above; other keys are ignored."""
        known = {field.name for field in fields(cls)}
        return cls(**{name: value for name, value in settings.items() if name in known})

    def of_service(self, name: str, delivery_service: int, default: Any) -> Any:
        """The setting `name` of a delivery service, or `default` if it is not configured."""
        values = getattr(self, name)
        if not 0 <= delivery_service < len(values):
            return default
        value = values[delivery_service]
        return default if value is None else value
