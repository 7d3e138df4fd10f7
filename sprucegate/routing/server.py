"""State of one server: its endpoint list entry, health records, load report and slow-start budget."""

from sprucegate.routing.events import Endpoint
from sprucegate.routing.health_record import HealthRecord
from sprucegate.routing.rendezvous import label_of, lane_of
from sprucegate.routing.sentinels import LONG_AGO
from sprucegate.units import SECOND

UNREACHABLE_TIME_NS = SECOND
REPORT_AGE_MAX_NS = SECOND
CONGESTION_REPORT_AGE_MAX_NS = 2 * SECOND  # an older load report doesn't count in the expected slowness
SLOWNESS_PER_REPORTED_REQUEST = 0.6  # per reported request in flight, at a server of weight 1


class Server:
    """A cache, parent or origin.

    :ivar index: sequence number of its first listing; numbers are never reused.
    :ivar entry: its latest entry in the endpoint list.
    :ivar role: "cache", "parent" or "origin".
    :ivar label: its id as bytes, the input of rendezvous hashing; `lane` is its precomputed CRC.
    :ivar unreachable_until: end of the time without requests after it could not be reached, 0 if it is
        reachable.
    :ivar in_flight: this router's attempts in flight at it.
    :ivar fills_in_flight: those of them that are expected to wait for a fill.
    :ivar cache_health: its results as a cache; `source_health` has those as a fill source.
    :ivar started: start time of its process on the platform's clock (ns), 0 if unknown.
    :ivar restart_observed_at: when this router saw it become reachable again, None if `started` comes from
        the endpoint list.
    :ivar load_report: its latest load report, received at `load_reported_at`.
    :ivar slow_start_budget: sending time that slow start allows (ns) as of `slow_start_budget_at`, None
        before its first use.
    """

    __slots__ = (
        "index", "id", "entry", "role", "label", "lane", "unreachable_until", "in_flight", "fills_in_flight",
        "cache_health", "source_health", "load_report", "load_reported_at", "started", "restart_observed_at",
        "slow_start_budget", "slow_start_budget_at",
    )  # fmt: skip

    def __init__(self, index: int, entry: Endpoint, role: str) -> None:
        self.index = index
        self.id = entry.id
        self.entry = entry
        self.role = role
        self.label = label_of(entry.id)
        self.lane = lane_of(self.label)
        self.unreachable_until = 0
        self.in_flight = 0
        self.fills_in_flight = 0
        self.on_restart(entry.started)

    def on_restart(self, started: int, restart_observed_at: int | None = None) -> None:
        """Reset what was learned of the previous process; attempts in flight stay counted."""
        self.cache_health = HealthRecord()
        self.source_health = HealthRecord()
        self.load_report: dict[str, float] = {}
        self.load_reported_at = LONG_AGO
        self.started = started
        self.restart_observed_at = restart_observed_at
        self.slow_start_budget: float | None = None
        self.slow_start_budget_at = LONG_AGO

    def set_reachable(self, reachable: bool, now: int, platform_now: int) -> None:
        """Record whether the server could be reached.

        A server that becomes reachable again is treated as restarted: the endpoint list may report a restart
        late.
        """
        if not reachable:
            self.unreachable_until = now + UNREACHABLE_TIME_NS
            return
        if self.unreachable_until:
            self.on_restart(platform_now, now)
        self.unreachable_until = 0

    def expected_slowness(self, now: int) -> float:
        """Slowness to expect for one more request, from own samples and the server's load report."""
        reported = (
            self.load_report.get("inflight", 0)
            if now - self.load_reported_at < CONGESTION_REPORT_AGE_MAX_NS
            else 0
        )
        sampled = self.cache_health.expected_slowness(self.in_flight - self.fills_in_flight + 1, now)
        return max(SLOWNESS_PER_REPORTED_REQUEST * reported / self.entry.weight, sampled)

    def requests_in_flight(self, now: int) -> float:
        """Requests in flight at it: this router's, or all routers' by a recent load report if more."""
        return max(
            self.in_flight,
            self.load_report.get("inflight", 0) if now - self.load_reported_at < REPORT_AGE_MAX_NS else 0,
        )
