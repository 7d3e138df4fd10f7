"""Messages between fronts on quotas. The order of the fields is that of the wire; `codec` has the kinds' numbers."""

from typing import NamedTuple


class LeaseHolderId(NamedTuple):
    """One incarnation of a front that lends slots; NO_LEASE_HOLDER stands for none."""

    name: str
    incarnation: int


NO_LEASE_HOLDER = LeaseHolderId("", 0)


class TenantDemand(NamedTuple):
    """Demand of one tenant at one source: its running fills and its waiting requests."""

    tenant: int
    using: int
    waiting: int


class SourceDemand(NamedTuple):
    """A front's state at one source.

    :ivar using: its running fills, including those whose client has left.
    :ivar former_lease: slots that a former lease holder may still have lent to this front.
    :ivar ended: fills that ended since the last request; `late`: of these, the ones that missed the objective.
    """

    source: int
    using: int
    former_lease: int
    ended: int
    late: int
    tenants: list[TenantDemand]


class TenantSlots(NamedTuple):
    """Slots granted for one tenant."""

    tenant: int
    slots: int


class SourceGrant(NamedTuple):
    """Slots granted at one source: `spare` ones for any tenant, and those for each tenant."""

    source: int
    spare: int
    tenants: list[TenantSlots]


class QuotaRequest(NamedTuple):
    """A front asks for slots, and waives its floors for `floor_waiver` after sending, so that they may be lent.

    :ivar incarnation: of the sender.
    :ivar lease_holder: incarnation of the receiver; another process of that name doesn't know what was lent.
    :ivar epoch: how often the sender has changed its lease holder.
    :ivar sequence: number of the request.
    :ivar echo: stamp of the latest grant received in this epoch; 0 without one.
    :ivar grant: number of the latest grant in force.
    :ivar floors_lent: ns for which a former lease holder may still lend the sender's floors.
    :ivar lease_counted: ns for which the former lease holder certainly counts its grants to the sender as in use.
    :ivar sources: demand by source.
    """

    incarnation: int
    lease_holder: int
    epoch: int
    sequence: int
    echo: int
    grant: int
    floors_lent: int
    lease_counted: int
    sources: list[SourceDemand]


class LeaseGrant(NamedTuple):
    """Answer to the request `sequence` of `epoch`: all slots that the front holds from now on.

    :ivar stamp: the lease holder's clock, ns.
    :ivar grant: number of the grant, which rises.
    """

    epoch: int
    sequence: int
    stamp: int
    grant: int
    sources: list[SourceGrant]


class LeaseHolderQuery(NamedTuple):
    """A lease holder with `followers` fronts asks which lease holder the receiver follows."""

    incarnation: int
    followers: int


class LeaseHolderNotice(NamedTuple):
    """The lease holder that the sender follows, and its followers if that is the sender itself (else 0).

    By it a returning front joins the present lease holder, and of two lease holders the one with fewer followers
    gives way.
    """

    name: str
    incarnation: int
    followers: int


Message = QuotaRequest | LeaseGrant | LeaseHolderQuery | LeaseHolderNotice
