"""Actions that the router returns for its driver to perform. Times are whole nanoseconds."""

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Send the request to a cache.

    `fill_source` is the server that a miss is filled from; the cache's own id there forbids a fill. `rank` is
    the object's retention priority in the cache; `max_age` is the age of the oldest acceptable copy, 0 for
    the freshness lifetime; `timeout` bounds the attempt; `collapse` lets the request join a fill in flight;
    `only_if_cached` forbids a fetch from the origin; `bypass_parent` and `revalidate` are passed on to the
    cache.
    """

    number: int
    cache: int
    fill_source: int
    rank: int
    max_age: int
    timeout: int
    collapse: bool
    only_if_cached: bool
    bypass_parent: bool
    revalidate: bool


class AwaitSlot(NamedTuple):
    """Nothing is sent: route the request again once it holds a concurrency slot at this fill source."""

    fill_source: int


class PostponeAttempt(NamedTuple):
    """Nothing is sent: the router's timer routes the request again at `until`."""

    until: int


class RejectRequest(NamedTuple):
    """Final answer: the request is shed. A retry is safe, best after `retry_after` ns (0: no advice)."""

    retry_after: int


class FailRequest(NamedTuple):
    """Final answer: the request failed and may have been executed."""


class CancelAttempt(NamedTuple):
    """Cancel one attempt."""

    number: int


class HealthCheck(NamedTuple):
    """Ask a cache for its load report."""

    cache: int


class SendGossip(NamedTuple):
    """Send bytes to one peer, or to all with peer -1."""

    peer: int
    payload: bytes


class SubscribeToEndpoints(NamedTuple):
    """Ask service discovery for the endpoint list and its changes."""
