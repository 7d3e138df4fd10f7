"""Attempt results: updates the state of servers, objects and the inbound link after each attempt.

A failure counts against the component that can have caused it: the cache, the fill source, the origin, or
none of them.
"""

from typing import TYPE_CHECKING

from sprucegate.routing.cache_status import FILL_SOURCE_FAULTS, FILLS, HITS
from sprucegate.routing.digest import Digest, ObjectRecord
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.routing.fill_source import Fill
from sprucegate.routing.health_record import CONGESTED_SLOWNESS
from sprucegate.routing.inbound_link import InboundLink
from sprucegate.routing.load_estimation import LoadEstimator
from sprucegate.routing.outlier_detection import OutlierDetector
from sprucegate.routing.server import Server
from sprucegate.routing.server_registry import ServerRegistry
from sprucegate.routing.settings import RoutingSettings
from sprucegate.routing.slow_start import SlowStart
from sprucegate.units import MILLISECOND

if TYPE_CHECKING:
    from sprucegate.routing.request import Attempt, RequestState

SENDING_TIME_MIN_NS = 20 * MILLISECOND  # floor: ratios to a shorter expected time are mostly noise

_REACHABILITY_UNKNOWN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)
_NOT_CACHE_FAILURES = (AttemptOutcome.FULL, AttemptOutcome.NOT_SENT)
_FILL_RESULT_UNKNOWN = (AttemptOutcome.RESET, AttemptOutcome.NOT_SENT)
# Outcomes for which RequestState.missed is set: plain misses, and attempts that were never sent.
_MISSES = (AttemptOutcome.MISS, AttemptOutcome.NOT_SENT)


class AttemptResult:
    """How one attempt ended. RequestState.attempt_ended describes the fields that are not listed here.

    :ivar succeeded: whether a response was returned.
    :ivar unspecified_error: whether it ended with an error for which the cache gave no reason.
    """

    __slots__ = (
        "state",
        "attempt",
        "outcome",
        "status",
        "elapsed",
        "fill_wait",
        "load_report",
        "now",
        "succeeded",
        "unspecified_error",
    )

    def __init__(  # noqa: PLR0913 - a plain record
        self,
        state: "RequestState",
        attempt: "Attempt",
        outcome: AttemptOutcome,
        status: CacheStatus,
        elapsed: int,
        fill_wait: int,
        load_report: dict[str, float],
        now: int,
    ) -> None:
        self.state = state
        self.attempt = attempt
        self.outcome = outcome
        self.status = status
        self.elapsed = elapsed
        self.fill_wait = fill_wait
        self.load_report = load_report
        self.now = now
        self.succeeded = outcome is AttemptOutcome.RETURNED
        self.unspecified_error = outcome is AttemptOutcome.ERROR and status is CacheStatus.UNKNOWN


class ResultRecorder:
    """Updates all estimates after each attempt."""

    def __init__(  # noqa: PLR0913 - every component that it updates
        self,
        settings: RoutingSettings,
        registry: ServerRegistry,
        digest: Digest,
        load: LoadEstimator,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        inbound_link: InboundLink,
    ) -> None:
        self.settings = settings
        self.registry = registry
        self.digest = digest
        self.load = load
        self.slow_start = slow_start
        self.outliers = outliers
        self.inbound_link = inbound_link

    def record(self, result: AttemptResult) -> None:
        """Update all estimates with one result."""
        state = result.state
        request = state.request
        cache = result.attempt.cache
        self.load.now = result.now
        record = self.digest.record_of(request, result.now)
        runs_at_origin = self.settings.of_service("runs_at_origin", request.delivery_service, False)
        state.missed = result.outcome in _MISSES
        cache.in_flight = max(0, cache.in_flight - 1)
        record.returned = result.succeeded or record.returned
        self._record_reachability(result)
        self._record_load(result)
        if result.succeeded and not runs_at_origin:
            result.status = self.inferred_status(result.attempt, result.status, self._slowness(result))
        if result.attempt.fill:
            self._record_fill(result, result.attempt.fill)
        if result.succeeded and not runs_at_origin and (request.size or record.sending_times):
            self._record_speed(result)
        if result.succeeded:
            self._record_success(result, record, runs_at_origin)
        elif result.outcome is AttemptOutcome.MISS or result.status in FILL_SOURCE_FAULTS:
            self._record_failed_fill(result, record)
        elif result.outcome is not AttemptOutcome.CANCELLED:
            self._record_cache_failure(result, record)
        self._evaluate(result)

    def _slowness(self, result: AttemptResult) -> float:
        """Ratio of actual to expected sending time."""
        expected = max(SENDING_TIME_MIN_NS, self.load.sending_time(result.state.request))
        return (result.elapsed - result.fill_wait) / expected

    def _record_reachability(self, result: AttemptResult) -> None:
        now = result.now
        platform_now = now + self.registry.platform_clock_offset
        if result.outcome not in _REACHABILITY_UNKNOWN:
            reachable = result.outcome is not AttemptOutcome.UNREACHABLE
            result.attempt.cache.set_reachable(reachable, now, platform_now)
        source_unreachable = result.outcome.never_executed and result.status is CacheStatus.FILL_SOURCE_BROKEN
        if result.status in FILLS or source_unreachable:
            result.attempt.source.set_reachable(result.status in FILLS, now, platform_now)

    def _record_load(self, result: AttemptResult) -> None:
        cache = result.attempt.cache
        if result.load_report:
            cache.load_report = result.load_report
            cache.load_reported_at = result.now
        if cache.role == "cache" and "link_use" in result.load_report:
            self.inbound_link.utilization = result.load_report["link_use"]
            self.inbound_link.utilization_reported_at = result.now

    def inferred_status(self, attempt: "Attempt", status: CacheStatus, slowness: float) -> CacheStatus:
        """Infer the cache status of a response from its speed, for caches that never report a status.

        UNKNOWN if the speed doesn't decide it. Treating each such response as a hit would count the wait for
        a fill against the cache and hide a full inbound link.
        """
        if (
            status is not CacheStatus.UNKNOWN
            or self.settings.tells != "none"
            or attempt.cache.role != "cache"
        ):
            return status
        if attempt.source is attempt.cache:
            return CacheStatus.HIT
        if slowness <= CONGESTED_SLOWNESS * max(1.0, attempt.cache.cache_health.slowness(self.load.now)):
            return CacheStatus.HIT
        return CacheStatus.UNKNOWN if attempt.believed else CacheStatus.FILLED

    def _record_fill(self, result: AttemptResult, fill: Fill) -> None:
        """Record whether the fill was on time for its source."""
        cache = result.attempt.cache
        self.inbound_link.fills_in_flight -= 1
        cache.fills_in_flight = max(0, cache.fills_in_flight - 1)
        if result.succeeded:
            self.inbound_link.recent_misses.append(result.status not in HITS)
        fill.on_time = result.succeeded and result.now <= fill.due_at
        cancelled_in_time = result.outcome is AttemptOutcome.CANCELLED and result.now < fill.due_at
        if (
            result.status in HITS
            or result.unspecified_error
            or cancelled_in_time
            or result.outcome in _FILL_RESULT_UNKNOWN
        ):
            fill.disregard()
        elif result.status in (CacheStatus.FILLED_BY_ORIGIN, CacheStatus.ORIGIN_FAILED) and (
            origins := self.registry.group("origin")
        ):
            # A fill that is late because of the origin counts against the origin, not against the parent.
            fill.source = origins[-1]
            expected = self.load.sending_time(result.state.request)
            fill.on_time = (
                result.succeeded and result.now - result.elapsed + result.fill_wait + expected <= fill.due_at
            )

    def _record_speed(self, result: AttemptResult) -> None:
        attempt = result.attempt
        slowness = self._slowness(result)
        is_cache_speed = result.status in HITS or result.status is CacheStatus.UNKNOWN
        attempt.cache.cache_health.record(
            result.now, True, slowness if is_cache_speed else 0, attempt.concurrent_transfers
        )
        if attempt.fill and result.status in (CacheStatus.FILLED, CacheStatus.COLLAPSED):
            self.inbound_link.record_fill(attempt.source, slowness, attempt.concurrent_fills, result.now)

    def _record_success(self, result: AttemptResult, record: ObjectRecord, runs_at_origin: bool) -> None:
        request = result.state.request
        cache = result.attempt.cache
        source = result.attempt.source
        if result.status is not CacheStatus.UNKNOWN:
            self.slow_start.statuses.append(result.status)
        self.load.completions.append((result.now, self.load.sending_time(request)))
        if not request.size and not runs_at_origin:
            sending_time = result.elapsed - result.fill_wait
            record.sending_times.append(sending_time)
            self.load.sending_times[request.delivery_service].append(sending_time)
        if not runs_at_origin and cache.role == "cache":
            self.digest.add_belief(record, cache, result.now)
        if result.status in FILLS:
            source.source_health.record(result.now, True, self._slowness(result))
            if source.role == "cache":
                self.digest.add_belief(record, source, result.now)

    def _record_failed_fill(self, result: AttemptResult, record: ObjectRecord) -> None:
        """Record that the cache had no copy and its source did not fill it."""
        state = result.state
        source = result.attempt.source
        record.beliefs.pop(result.attempt.cache.index, None)
        state.failed_servers.add(source.index)
        if result.outcome is AttemptOutcome.MISS:
            record.beliefs.pop(source.index, None)
        elif result.status is CacheStatus.ORIGIN_FAILED:
            # A retry on another path would load the same origin again; it can only help to find a stale copy.
            grace_time = self.settings.of_service("grace_time", state.request.delivery_service, 0)
            state.no_retry = not grace_time
        else:
            source.source_health.record(result.now, False, 0)

    def _record_cache_failure(self, result: AttemptResult, record: ObjectRecord) -> None:
        """Record a failure of the cache.

        An unspecified error on an object that was never returned doesn't count: clients may ask for objects
        that don't exist.
        """
        cache = result.attempt.cache
        result.state.failed_servers.add(cache.index)
        if result.outcome not in _NOT_CACHE_FAILURES and (record.returned or not result.unspecified_error):
            cache.cache_health.record(result.now, False, 0)

    def _evaluate(self, result: AttemptResult) -> None:
        cache: Server = result.attempt.cache
        source: Server = result.attempt.source
        self.outliers.health_changed(cache)
        if source is not cache:
            self.outliers.health_changed(source)
        # The fill source may have caused a time-out. It counts against the cache only if all its recent
        # results are failures and those of its peers aren't.
        self.outliers.evaluate_cache(cache, result.outcome is not AttemptOutcome.TIMED_OUT, result.now)
        if source is not cache and source.role != "origin":
            # If all parents fail, the origin or overload is the cause; an unreachable parent is down itself.
            unreachable = result.outcome.never_executed and result.status is CacheStatus.FILL_SOURCE_BROKEN
            self.outliers.evaluate_source(source, unreachable, result.now)
