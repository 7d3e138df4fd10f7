"""Unit tests of the routing decisions, each on directly built state."""

import pytest
from helpers import (
    CACHES,
    NOW,
    ORIGIN,
    PARENTS,
    add_beliefs,
    make_endpoint,
    make_request,
    make_router,
    server_with_id,
)

from sprucegate.routing.actions import FailRequest, PostponeAttempt, RejectRequest, SendAttempt
from sprucegate.routing.attempt_results import AttemptResult
from sprucegate.routing.digest import (
    BELIEF_LIFETIME_MAX_NS,
    COUNTING_INTERVAL_NS,
    EVICTION_THRESHOLD,
    RECHECK_MARGIN_NS,
    ROUND_TRIP_NS,
    ObjectRecord,
)
from sprucegate.routing.events import AttemptOutcome, BeliefGossip, CacheStatus, EjectionGossip, EndpointState
from sprucegate.routing.fill_source import Fill
from sprucegate.routing.health_record import ESTIMATE_AGE_MAX_NS, HealthRecord
from sprucegate.routing.invalidation import CACHED_RESPONSE_AGE_MAX_NS, PURGE_DELIVERY_MAX_NS
from sprucegate.routing.request import ANSWER_MARGIN_NS, Attempt, RequestState
from sprucegate.routing.response_cache import QUEUE_TIMES_SENDING_TIME_MAX
from sprucegate.units import MILLISECOND as MS
from sprucegate.units import SECOND as S


def record_result(router, state, attempt, outcome, status, elapsed, fill_wait, load, now):
    """Record the result of an attempt without deciding what follows."""
    router.results.record(AttemptResult(state, attempt, outcome, status, elapsed, fill_wait, load, now))


def state_with(router, request, *outcomes, at=NOW, cache=11):
    """State of a GET whose attempts had these outcomes; None for an attempt in flight."""
    state = RequestState(router, request, at)
    for outcome in outcomes:
        attempt = Attempt(server_with_id(router, cache), server_with_id(router, PARENTS[0]), 1)
        attempt.is_open, attempt.outcome = outcome is None, outcome
        state.attempts.append(attempt)
    return state


@pytest.mark.parametrize(
    "older, newer, lifetime",
    [
        (9, 9, BELIEF_LIFETIME_MAX_NS),  # equal
        (3, 9, BELIEF_LIFETIME_MAX_NS),  # rising
        (4, 3, BELIEF_LIFETIME_MAX_NS),  # decrease within the noise of the counts
        # Linear extrapolation.
        (20, 8, int((8 - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / 12 - ROUND_TRIP_NS)),
        (9, 0, 0),  # already below the threshold
        (90, 60, int((60 - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / 30 - ROUND_TRIP_NS)),
        (90, 76, BELIEF_LIFETIME_MAX_NS),  # capped at the maximum
    ],
)
def test_belief_lifetime_follows_the_request_rate(older, newer, lifetime):
    record = ObjectRecord(0)
    record.counts = [0, newer, older]
    assert record.belief_lifetime() == min(BELIEF_LIFETIME_MAX_NS, lifetime)


def test_request_counts_shift_with_the_interval():
    record = ObjectRecord(10)
    record.counts = [5, 4, 3]
    record.advance(12)
    assert record.counts == [0, 0, 5]


@pytest.mark.parametrize("rejected_ago, counted", [(None, 1), (S, 0), (3 * S, 1)])
def test_a_retry_after_a_rejection_is_not_counted(rejected_ago, counted):
    router = make_router()
    if rejected_ago is not None:
        router.digest.record_of(make_request(), NOW).rejected_at = NOW - rejected_ago
    router.start_request(make_request(), NOW)
    assert router.digest.record_of(make_request(), NOW).counts[0] == counted


def finish(outcome, status, source=PARENTS[0], before=()):
    router = make_router()
    record = add_beliefs(router, make_request(), *before)
    state = state_with(router, make_request(), None)
    state.attempts[0].source = server_with_id(router, source)
    record_result(router, state, state.attempts[0], outcome, status, 50 * MS, 5 * MS, {}, NOW)
    return {router.registry.servers[at].id for at in record.beliefs}


@pytest.mark.parametrize(
    "outcome, status, source, before, after",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, 21, (), {11}),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 21, (), {11}),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 12, (12,), {11, 12}),
        (AttemptOutcome.MISS, CacheStatus.FILL_SOURCE_MISS, 12, (12, 13), {13}),
        (AttemptOutcome.ERROR, CacheStatus.FILL_SOURCE_BROKEN, 21, (11,), set()),
        (AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, 21, (11,), {11}),
    ],
)
def test_attempt_results_add_and_remove_beliefs(outcome, status, source, before, after):
    assert finish(outcome, status, source, before) == after


@pytest.mark.parametrize("change", ["restart", "purge", "group purge", "drain", "expiry"])
def test_restart_purge_drain_and_expiry_void_beliefs(change):
    router = make_router()
    record = add_beliefs(router, make_request(), 12, expiry=NOW if change == "expiry" else NOW + S)
    if change == "restart":
        router.update_endpoints([make_endpoint(12, started=NOW)], False, NOW)
    elif change == "drain":
        router.update_endpoints([make_endpoint(12, EndpointState.DRAINING)], False, NOW)
    elif change != "expiry":
        router.invalidate(99 if change == "purge" else -1, 5, 0, NOW)
    assert router.digest.valid_beliefs(make_request(), record, NOW) == {}


@pytest.mark.parametrize(
    "remaining, recheck", [(RECHECK_MARGIN_NS // 2, True), (RECHECK_MARGIN_NS + S, False)]
)
def test_a_belief_that_expires_soon_is_rechecked(remaining, recheck):
    router = make_router()
    record = add_beliefs(router, make_request(), 12, expiry=NOW + remaining)
    assert router.source_selector.sibling(
        state_with(router, make_request()), record, server_with_id(router, 11), NOW
    ) == (
        server_with_id(router, 12),
        recheck,
    )


@pytest.mark.parametrize(
    "allowed, same_location, used",
    [("location", True, True), ("location", False, False), ("any", False, True), ("none", True, False)],
)
def test_siblings_fill_only_if_the_settings_allow_it(allowed, same_location, used):
    router = make_router([make_endpoint(12)._replace(location=1 if same_location else 0)], siblings=allowed)
    record = add_beliefs(router, make_request(), 12)
    assert (
        router.source_selector.sibling(
            state_with(router, make_request()), record, server_with_id(router, 11), NOW
        )[0]
        is not None
    ) is used


def test_selection_does_not_depend_on_the_order_of_the_endpoint_list():
    one, other = make_router(), make_router()
    other.group("cache").reverse()
    for obj in range(50):
        selected = [
            router.cache_selector.select(
                state_with(router, make_request(obj=obj)),
                router.digest.record_of(make_request(obj=obj), NOW),
                NOW,
            )[0].id
            for router in (one, other)
        ]
        assert selected[0] == selected[1]


def test_selection_distributes_objects_over_the_caches():
    router = make_router()
    selected = [
        router.cache_selector.select(
            state_with(router, make_request(obj=obj)),
            router.digest.record_of(make_request(obj=obj), NOW),
            NOW,
        )[0].id
        for obj in range(400)
    ]
    assert all(60 < selected.count(cache) < 140 for cache in CACHES)


@pytest.mark.parametrize("count, width", [(1, 1), (6, 1), (12, 2), (30, 3)])  # small counts are noise
def test_a_hot_object_is_spread_over_several_caches(count, width):
    router = make_router()
    router.load.sending_times[0] = [100 * MS]
    router.load.completions.extend((NOW - 4 * S + i * 100 * MS, 200 * MS) for i in range(40))
    record = router.digest.record_of(make_request(), NOW)
    record.counts = [count, 0, 0]
    assert router.cache_selector.width(make_request(), record, len(router.group("cache")), NOW) == width


def test_a_slow_cache_is_skipped():
    router = make_router()
    first = router.cache_selector.select(
        state_with(router, make_request()), router.digest.record_of(make_request(), NOW), NOW
    )[0]
    first.cache_health.slowness_samples.extend((NOW, 6.0, 12) for _ in range(4))
    first.in_flight = 40
    later = NOW + ESTIMATE_AGE_MAX_NS
    second, in_time = router.cache_selector.select(
        state_with(router, make_request()), router.digest.record_of(make_request(), NOW), later
    )
    assert second is not first and in_time


def test_a_request_that_would_be_late_at_every_cache_is_rejected_with_retry_after():
    router = make_router()
    router.random.next_float = lambda text: 0.99
    for cache in CACHES:
        server_with_id(router, cache).cache_health.slowness_samples.extend((NOW, 6.0, 12) for _ in range(4))
        server_with_id(router, cache).in_flight = 40
    assert state_with(router, make_request()).route(NOW) == [RejectRequest(S)]


@pytest.mark.parametrize(
    "results, believed_held, cached_only",
    [([False] * 8, False, True), ([True] * 8, False, False), ([False] * 8, True, False)],
)
def test_fills_are_throttled_by_their_on_time_ratio(results, believed_held, cached_only):
    router = make_router()
    router.random.next_float = lambda text: 0.5
    for source in (*PARENTS, ORIGIN):
        router.source_selector.fills.extend(
            Fill(server_with_id(router, source), NOW - S, NOW, on_time) for on_time in results
        )
    add_beliefs(router, make_request(), *(CACHES if believed_held else ()))
    attempt = router.plan(state_with(router, make_request()), NOW)
    assert attempt.only_if_cached is cached_only


def test_a_fill_in_flight_past_its_objective_counts_as_late():
    router = make_router()
    source = server_with_id(router, PARENTS[0])
    router.source_selector.fills.extend(Fill(source, NOW - S, NOW - MS, None) for _ in range(6))
    assert router.source_selector.on_time_ratios([source], NOW)[0] < 0.1


@pytest.mark.parametrize(
    "effect, outcomes, age, action",
    [
        ("idempotent", [AttemptOutcome.TIMED_OUT], 0, SendAttempt),
        ("non-idempotent", [AttemptOutcome.MISS], 0, SendAttempt),
        ("non-idempotent", [AttemptOutcome.ERROR], 0, FailRequest),
        ("non-idempotent", [None], 0, FailRequest),
        # The server's deduplication window is not relied on.
        ("tokened", [AttemptOutcome.ERROR], S, FailRequest),
    ],
)
def test_a_non_idempotent_request_is_never_executed_twice(effect, outcomes, age, action):
    router = make_router(effect=["idempotent", "idempotent", effect])
    state = state_with(router, make_request(ds=2, ttl=9 * S), *outcomes)
    assert isinstance(state.route(NOW + age)[0], action)


def every_first_attempt(router, requests):
    """Yield each request with its first attempt, if one is sent."""
    for request in requests:
        action = router.start_request(request, NOW).route(NOW)[0]
        if isinstance(action, SendAttempt):
            yield request, action


@pytest.mark.parametrize("direct", [True, False])
@pytest.mark.parametrize(
    "listed", [(*CACHES, *PARENTS, ORIGIN), CACHES, PARENTS, (ORIGIN,), (*CACHES, ORIGIN)]
)
@pytest.mark.parametrize("link_use", [0.0, 20.0])
def test_only_reads_that_a_cache_may_not_fill_ask_for_a_stored_response(direct, listed, link_use):
    """Guards against a 504 to a write, or from the origin, that is taken for a miss: it may have been executed."""
    router = make_router(direct=direct)
    router.update_endpoints([make_endpoint(server) for server in listed], True, NOW)
    router.inbound_link.utilization, router.inbound_link.utilization_reported_at = link_use, NOW
    requests = [
        make_request(f"{ds}-{write}-{obj}", obj, ds=ds)._replace(write=write)
        for ds in range(3)
        for write in (False, True)
        for obj in range(20)
    ]
    for request, action in every_first_attempt(router, requests):
        executed_by_server = request.write or request.delivery_service == 2 or action.cache == ORIGIN
        no_fill = action.fill_source == action.cache
        assert router.stored_response_only(request, action) is (no_fill and not executed_by_server)


def test_the_attempts_that_ask_for_a_stored_response_occur_at_caches_and_parents():
    full_link, parents_alone = make_router(), make_router(direct=True)
    full_link.inbound_link.utilization, full_link.inbound_link.utilization_reported_at = 20.0, NOW
    parents_alone.update_endpoints([make_endpoint(server) for server in PARENTS], True, NOW)
    for router, targets in ((full_link, CACHES), (parents_alone, PARENTS)):
        requests = [make_request(f"r-{obj}", obj) for obj in range(20)]
        asked = [
            action.cache
            for request, action in every_first_attempt(router, requests)
            if router.stored_response_only(request, action)
        ]
        assert asked and set(asked) <= set(targets)


@pytest.mark.parametrize("ds, retries_max", [(2, 3), (0, 2), (1, 1)])
def test_maximum_attempts_depend_on_revenue(ds, retries_max):
    router = make_router(effect=["idempotent"] * 3)
    allowed = [
        router.retry_policy.may_attempt(
            state_with(router, make_request(ds=ds), *[AttemptOutcome.FULL] * sent), NOW
        )
        for sent in range(6)
    ]
    assert allowed == [sent <= retries_max for sent in range(6)]


def test_an_exhausted_retry_budget_stops_retries():
    router = make_router()
    router.retry_policy.retries.extend([True] * 30 + [False] * 70)
    assert not router.retry_policy.may_attempt(state_with(router, make_request(), AttemptOutcome.FULL), NOW)
    assert router.retry_policy.may_attempt(state_with(router, make_request()), NOW)


@pytest.mark.parametrize("outcome, retried", [(AttemptOutcome.NOT_SENT, True), (AttemptOutcome.FULL, False)])
def test_an_attempt_that_was_not_sent_is_replaced_without_retry_budget(outcome, retried):
    router = make_router()
    state = router.start_request(make_request(), NOW)
    (first,) = state.route(NOW)
    router.retry_policy.retries.extend([True] * 30 + [False] * 70)
    (action,) = state.attempt_ended(first.number, outcome, CacheStatus.UNKNOWN, MS, 0, {}, False, NOW + MS)
    assert (
        (isinstance(action, SendAttempt) and action.cache != first.cache)
        if retried
        else isinstance(action, RejectRequest)
    )


def test_a_final_answer_is_given_at_the_deadline():
    router = make_router()
    state = router.start_request(make_request(ttl=3 * S), NOW)
    state.attempts = state_with(router, make_request(), None).attempts
    when = router.next_deadline()
    assert when == NOW + 3 * S - ANSWER_MARGIN_NS
    assert isinstance(router.on_timer(when)[-1][1][0], RejectRequest)


def test_nothing_follows_the_final_answer():
    router = make_router()
    state = state_with(router, make_request(), None)
    state.finished = True
    assert state.attempt_ended(0, AttemptOutcome.FULL, CacheStatus.UNKNOWN, MS, 0, {}, False, NOW) == []
    assert state.client_disconnected(NOW) == []


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_or_removed_server_receives_no_requests(state):
    router = make_router()
    add_beliefs(router, make_request(), 11, 12, 13)
    router.update_endpoints([make_endpoint(c, state) for c in (11, 12, 13, 21)], False, NOW)
    attempt = router.plan(state_with(router, make_request()), NOW)
    assert (attempt.cache, attempt.fill_source) == (14, 22)


def test_servers_missing_from_a_complete_list_are_removed():
    router = make_router()
    router.update_endpoints([make_endpoint(11)], True, NOW)
    assert [n.id for n in router.group("cache")] == [11] and not router.group("parent")


@pytest.mark.parametrize(
    "cache, ago, completed, allowed",
    [
        (11, 0, 40, False),  # starts with a random part of one request
        (11, 1000, 40, True),  # four caches complete 4 s of work per second
        (11, 1000, 0, False),  # no completed work to derive a rate from
        (21, 100, 40, False),  # the cold share of a parent is far lower
        (31, 0, 0, True),  # the origin has no slow start
    ],
)
def test_slow_start_earns_tokens(cache, ago, completed, allowed):
    router = make_router([make_endpoint(c, started=NOW - 3 * S) for c in (11, 21)])
    router.load.completions.extend((NOW - 4 * S + i * 100 * MS, 400 * MS) for i in range(completed))
    router.slow_start.has_budget(server_with_id(router, cache), 0, NOW - ago * MS)
    assert router.slow_start.has_budget(server_with_id(router, cache), 0, NOW) is allowed


def test_the_last_cold_cache_does_not_earn_the_share_of_removed_caches():
    """As the last one of its group it earned tokens for the work of all four and was sent 3.3 times its capacity."""
    router = make_router([make_endpoint(11, started=NOW - 9 * S)])
    router.load.completions.extend((NOW - 4 * S + i * 100 * MS, 400 * MS) for i in range(40))
    router.slow_start.has_budget(server_with_id(router, 11), 0, NOW - 2 * S)
    among_four = router.load.rate(NOW), server_with_id(router, 11)
    router.update_endpoints(
        [make_endpoint(c, EndpointState.DRAINING) for c in CACHES[1:]], False, NOW - 2 * S
    )
    sent, at = 0, NOW - 2 * S
    while at < NOW:
        at += 50 * MS
        if router.slow_start.has_budget(among_four[1], 0, at):
            among_four[1].slow_start_budget -= 400 * MS
            sent += 1
    assert 0 < sent * 0.4 / 2 <= 1.4 * 0.7 * 4 / 4 + 0.2  # its own share of 4 s of work per second


def test_a_router_with_only_cold_caches_still_earns_tokens():
    """Without completed work the budget was 0; if requests can't bypass the caches, all were shed permanently."""
    router = make_router([make_endpoint(c, started=NOW) for c in CACHES], direct=False)
    actions = [
        router.start_request(make_request(f"r-{at}", obj=at), NOW + at * S).route(NOW + at * S)[0]
        for at in range(15)
    ]
    assert any(isinstance(action, SendAttempt) for action in actions)


def test_an_unknown_cache_status_is_not_counted():
    router = make_router(tells="hit")
    state = state_with(router, make_request(), None)
    record_result(
        router, state, state.attempts[0], AttemptOutcome.RETURNED, CacheStatus.UNKNOWN, 50 * MS, 0, {}, NOW
    )
    assert not router.slow_start.statuses


def test_first_requests_of_many_routers_are_spread_over_a_cold_start():
    """156 fronts with one GET per second each overloaded a cold parent when the first request of each was free."""
    sent = 0
    for number in range(150):
        router = make_router([make_endpoint(21, started=NOW)], my_number=number)
        router.load.completions.extend((NOW - 4 * S + i * S, 400 * MS) for i in range(4))
        for at in range(20):
            if router.slow_start.has_budget(server_with_id(router, 21), 0, NOW + at * 100 * MS):
                server_with_id(router, 21).slow_start_budget -= router.load.mean_sending_time(0)
                sent += 1
    # All routers complete 60 s of work per second, 30 s per parent. The bound is fall_multiple (2) times that at
    # the cold share, over two seconds.
    assert sent * 0.4 <= 2 * 2 * 0.09 * 30


@pytest.mark.parametrize(
    "ds, purge_ago, identifier, age_limit",
    [
        (0, None, 99, 0),
        (0, S, 99, S - 2 * MS),
        (0, S, -1, S - 2 * MS),
        (0, 0, 99, 1000),
        (0, S, 98, 0),
        (1, S, 99, S - 2 * MS),
    ],
)
def test_copies_from_before_a_purge_are_not_acceptable(ds, purge_ago, identifier, age_limit):
    router = make_router()
    if purge_ago is not None:
        router.invalidate(identifier, 5 if identifier < 0 else 6, purge_ago, NOW)
    assert router.invalidations.max_age(make_request(ds=ds), False, NOW) == age_limit


def test_a_stale_copy_is_acceptable_only_within_the_grace_time():
    router = make_router(grace_time=[0, 20 * S, 0])
    assert router.invalidations.max_age(make_request(ds=1), True, NOW) == 28 * S
    assert router.invalidations.max_age(make_request(ds=0), True, NOW) == 0


@pytest.mark.parametrize(
    "successes, slowness, peers_succeed, peers_slowness, attributable, ejected",
    [
        ([True] * 6, 1.0, True, 1.0, True, False),
        ([True] * 6, 5.0, True, 1.0, True, True),  # far slower than its peers
        ([True] * 6, 5.0, True, 4.0, True, False),  # all are slow: none is an outlier
        ([False] * 3, 0, True, 1.0, True, True),  # all errors
        ([True] * 4 + [False] * 2, 1.0, True, 1.0, True, False),
        ([True] * 3 + [False] * 3, 1.0, True, 1.0, True, False),  # half of so few results may be chance
        ([True] * 3 + [False] * 3, 0, True, 1.0, False, False),  # the source may have caused the time-outs
        ([False] * 6, 0, True, 1.0, False, True),  # all time-outs: it hangs
        ([False] * 6, 0, False, 1.0, False, False),  # its peers fail in the same way
    ],
)
def test_outliers_are_ejected(successes, slowness, peers_succeed, peers_slowness, attributable, ejected):
    health, peers = HealthRecord(), [HealthRecord(), HealthRecord()]
    for at, success in enumerate(successes):
        health.record(NOW - (9 - at) * 10 * MS, success, slowness)
    for at, peer in enumerate(peers * 4):
        peer.record(NOW - (9 - at) * 10 * MS, peers_succeed, peers_slowness)
    health.evaluate([health, *peers], attributable, NOW)
    assert (health.ejected_until > NOW) is ejected


def test_at_most_half_of_the_caches_are_ejected():
    router = make_router()
    for cache in CACHES:
        server_with_id(router, cache).cache_health.ejected_until = NOW + S
        router.outliers.health_changed(server_with_id(router, cache))
    assert len(router.outliers.excluded(NOW)) == 2


def test_the_origin_fills_if_there_is_no_parent():
    router = make_router([make_endpoint(c, EndpointState.GONE) for c in PARENTS])
    assert router.source_selector.parent_or_origin(state_with(router, make_request()), NOW)[0].id == ORIGIN


def test_a_first_request_of_unknown_size_is_expected_in_time():
    router = make_router(objective_stretch=[0.0] * 3)
    assert router.cache_selector.select(
        state_with(router, make_request()), router.digest.record_of(make_request(), NOW), NOW
    )[1]


@pytest.mark.parametrize(
    "outcome, status, successes, slowness_samples",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, [True], 1),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED_BY_ORIGIN, [True], 0),  # the speed is that of the origin
        (AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, [False], 0),
        (AttemptOutcome.FULL, CacheStatus.UNKNOWN, [], 0),  # overload is not a failure
    ],
)
def test_a_slow_fill_does_not_affect_the_slowness_of_the_cache(outcome, status, successes, slowness_samples):
    router = make_router()
    state = state_with(router, make_request(size=100), None)
    state.attempts[0].fill = Fill(server_with_id(router, 21), NOW, NOW, None)
    record_result(router, state, state.attempts[0], outcome, status, S, 0, {}, NOW)
    health = server_with_id(router, 11).cache_health
    assert ([success for _, success in health.results], len(health.slowness_samples)) == (
        successes,
        slowness_samples,
    )


@pytest.mark.parametrize("slowness, samples", [(1.0, 1), (5.0, 0)])
def test_fills_of_a_slow_parent_are_no_samples_of_the_link(slowness, samples):
    router = make_router(client_kb_per_s=1000)
    for parent, slow in zip(PARENTS, (slowness, 1.0), strict=True):
        server_with_id(router, parent).source_health.slowness_samples.extend((NOW, slow, 0) for _ in range(4))
        router.outliers.health_changed(server_with_id(router, parent))
    state = state_with(router, make_request(size=100), None)
    state.attempts[0].fill = Fill(server_with_id(router, 21), NOW, NOW, None)
    record_result(
        router, state, state.attempts[0], AttemptOutcome.RETURNED, CacheStatus.FILLED, S, 0, {}, NOW
    )
    assert len(router.inbound_link.health.slowness_samples) == samples


def test_an_unreachable_cache_is_excluded_then_retried_and_treated_as_restarted():
    router = make_router()
    state = state_with(router, make_request(), None, None)
    record_result(
        router, state, state.attempts[0], AttemptOutcome.UNREACHABLE, CacheStatus.UNKNOWN, MS, 0, {}, NOW
    )
    assert router.outliers.excluded(NOW + MS) == {router.registry.index_of[11]}
    assert router.outliers.excluded(NOW + 2 * S) == set()
    add_beliefs(router, make_request(), 11)
    record_result(
        router, state, state.attempts[1], AttemptOutcome.RETURNED, CacheStatus.HIT, MS, 0, {}, NOW + 2 * S
    )
    assert server_with_id(router, 11).started == NOW + 2 * S
    assert server_with_id(router, 12).started == 0


@pytest.mark.parametrize(
    "outcome, status, fill_wait, attributed_to, expected_on_time",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, 0, 21, None),  # no fill was made
        # The parent sent its own copy late.
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 100 * MS, 21, False),
        # The parent was slow, the origin on time.
        (AttemptOutcome.RETURNED, CacheStatus.FILLED_BY_ORIGIN, 100 * MS, 31, True),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED_BY_ORIGIN, S, 31, False),
        (AttemptOutcome.FULL, CacheStatus.ORIGIN_FAILED, 0, 31, False),
        (AttemptOutcome.FULL, CacheStatus.FILL_SOURCE_REFUSED, 0, 21, False),
    ],
)
def test_a_late_fill_counts_against_the_source_that_caused_it(
    outcome, status, fill_wait, attributed_to, expected_on_time
):
    router = make_router(client_kb_per_s=1000)
    state = state_with(router, make_request(size=100), None)
    state.attempts[0].fill = fill = Fill(server_with_id(router, 21), NOW - 2 * S, NOW - S, None)
    record_result(router, state, state.attempts[0], outcome, status, 2 * S, fill_wait, {}, NOW)
    assert (fill.source.id, fill.on_time) == (attributed_to, expected_on_time)
    assert expected_on_time is not None or router.source_selector.on_time_ratios(
        [server_with_id(router, 21)], NOW
    ) == [1]


@pytest.mark.parametrize(
    "parents_on_time, origin_on_time, source",
    [([True], [True], 21), ([False], [True], ORIGIN), ([False], [False], 21)],
)
def test_the_origin_replaces_failing_parents_while_it_is_on_time(parents_on_time, origin_on_time, source):
    router = make_router()
    router.source_selector.fills.extend(
        Fill(server_with_id(router, parent), NOW - S, NOW, on_time)
        for on_time in parents_on_time * 20
        for parent in PARENTS
    )
    router.source_selector.fills.extend(
        Fill(server_with_id(router, ORIGIN), NOW - S, NOW, on_time) for on_time in origin_on_time * 20
    )
    assert router.source_selector.parent_or_origin(state_with(router, make_request(obj=3)), NOW)[0].id in (
        source,
        22 if source == 21 else source,
    )


def test_a_throttled_request_is_never_sent_to_the_origin():
    router = make_router([make_endpoint(c, EndpointState.GONE) for c in PARENTS])
    router.random.next_float = lambda text: 0.99
    router.source_selector.fills.extend(
        Fill(server_with_id(router, ORIGIN), NOW - S, NOW, False) for _ in range(20)
    )
    assert router.source_selector.parent_or_origin(state_with(router, make_request()), NOW) == (None, False)


@pytest.mark.parametrize(
    "utilization, age, cached_only", [(20.0, 0, True), (1.0, 0, False), (20.0, 2 * S, False)]
)
def test_no_fills_are_started_on_a_link_that_is_reported_full(utilization, age, cached_only):
    router = make_router(client_kb_per_s=1000)
    router.inbound_link.utilization, router.inbound_link.utilization_reported_at = utilization, NOW - age
    attempt = router.plan(state_with(router, make_request(size=500)), NOW)
    assert attempt.only_if_cached is cached_only and (attempt.cache == attempt.fill_source) is cached_only


@pytest.mark.parametrize("slowness, expected", [(5.0, 5.0), (2.0, 1.0)])
def test_a_full_link_is_detected_with_one_request_at_a_time(slowness, expected):
    record = HealthRecord()
    record.slowness_samples.extend((NOW, slowness, 1) for _ in range(4))
    assert record.expected_slowness(1, NOW) == expected


@pytest.mark.parametrize(
    "ds, age, stored_ago, queue, purged_ago, allowed",
    [
        (0, 20 * S, 0, 0, None, True),  # valid until purged
        (1, 7 * S, 0, 0, None, True),
        (1, 8 * S, 0, 0, None, False),
        (0, 2 * S, 0, 0, 3 * S, True),
        (0, 2 * S, 0, 0, 2 * S, False),
        (0, 2 * S, 0, 0, S, False),
        (0, 20 * S, CACHED_RESPONSE_AGE_MAX_NS, 0, None, False),  # a purge may have expired by then
        (0, 20 * S, 0, QUEUE_TIMES_SENDING_TIME_MAX + 1, None, False),
    ],
)
def test_a_stored_response_is_served_while_young_unpurged_and_without_a_queue(
    ds, age, stored_ago, queue, purged_ago, allowed
):
    router, request = make_router(), make_request(ds=ds)
    if purged_ago is not None:
        router.invalidate(request.object, -1, purged_ago, NOW)
    assert router.may_serve_stored_response(request, NOW - age, NOW - stored_ago, queue, NOW) is allowed


@pytest.mark.parametrize(
    "received_ago, skipped_ago, generated_ago, requested_ago, allowed",
    [
        (7.0, None, 60, 20, True),  # a purge that is missed binds no sooner
        (7.1, None, 60, 20, False),
        (7.1, None, 6.9, 6.9, True),  # younger than any purge that binds
        (7.1, None, 60, 1.0, True),  # requested when no server held a copy from before such a purge
        (7.1, None, 60, 1.1, False),
        (60, None, 60, 1.1, False),
        (0, 7.0, 60, 20, True),
        (0, 8.0, 60, 20, False),
        (0, 8.0, 7.9, 7.9, True),  # generated after the event that was skipped
        (0, 8.0, 60, 1.9, True),
        (0, 8.0, 60, 2.1, False),
    ],
)
def test_a_stored_response_that_a_missed_purge_may_concern_is_not_served(
    received_ago, skipped_ago, generated_ago, requested_ago, allowed
):
    """Guards against own copies that a purge on a bus that is not heard, or on an unreadable event, concerns."""
    router, request = make_router(), make_request()
    if skipped_ago is not None:
        router.on_purges_received(NOW - int(skipped_ago * S))
        router.on_purges_skipped(NOW - int(skipped_ago * S))
    router.on_purges_received(NOW - int(received_ago * S))
    generated_at, requested_at = NOW - int(generated_ago * S), NOW - int(requested_ago * S)
    assert router.may_serve_stored_response(request, generated_at, requested_at, 0, NOW) is allowed


@pytest.mark.parametrize(
    "purge_done, received_ago, limit",
    [(6 * S, 60 * S, 0), (8 * S, 7 * S, 0), (8 * S, 7 * S + 1, PURGE_DELIVERY_MAX_NS - 2 * MS)],
)
def test_a_missed_purge_limits_the_age_of_copies_as_long_as_servers_may_hold_older_ones(
    purge_done, received_ago, limit
):
    router = make_router(purge_done=purge_done)
    router.on_purges_received(NOW - received_ago)
    assert router.invalidations.max_age(make_request(), False, NOW) == limit


GRACE, TICK = 500 * MS, 2 * MS


def coarse_router(purged_ago, **settings):
    """A front whose caches and parents are told ages in whole seconds, and an object that was purged."""
    router = make_router(purge_grace=GRACE, **settings)
    router.age_units = dict.fromkeys([*CACHES, *PARENTS], S)
    router.invalidate(99, -1, purged_ago, NOW)
    return router


@pytest.mark.parametrize(
    "purged_ago, sent", [(0, 1), (GRACE - 1, 1), (GRACE, 0), (S + TICK - 1, 0), (S + TICK, 1)]
)
def test_a_get_waits_until_the_time_since_a_purge_can_be_told_to_its_cache(purged_ago, sent):
    """Guards against an age limit below a second, to which a cache returns a copy from before the purge."""
    router = coarse_router(purged_ago)
    state = router.start_request(make_request(size=1000), NOW)
    action = state.route(NOW)[0]
    assert isinstance(action, SendAttempt) == bool(sent)
    if not sent:
        assert action == PostponeAttempt(NOW - purged_ago + S + TICK) and not state.is_settled()
        assert router.next_deadline() == action.until and router.on_timer(action.until - 1) == [(None, [])]
        (_, (action,)) = router.on_timer(NOW - purged_ago + S + TICK)[1]
        assert isinstance(action, SendAttempt) and action.max_age >= S
        assert router.postponed.next() is None


@pytest.mark.parametrize(
    "settings, ttl, kind, target",
    [
        ({"direct": True}, 3 * S, SendAttempt, ORIGIN),  # in time there, and the parents are coarse too
        ({"direct": False}, 3 * S, PostponeAttempt, None),
        ({"direct": True}, 300 * MS, SendAttempt, ORIGIN),
        ({"direct": True, "latency_objective": [S] * 3}, 300 * MS, SendAttempt, ORIGIN),
        ({"direct": False}, 300 * MS, RejectRequest, None),
    ],
)
def test_a_get_that_would_be_late_goes_straight_to_the_origin_or_waits_as_long_as_it_can(
    settings, ttl, kind, target
):
    """Guards against a GET that is given up because it has to wait."""
    quick = {"latency_objective": [100 * MS] * 3, "objective_stretch": [0] * 3}
    router = coarse_router(GRACE, **{**quick, **settings})
    action = router.start_request(make_request(ttl=ttl), NOW).route(NOW)[0]
    assert isinstance(action, kind) and (target is None or action.cache == target)


def test_what_no_stored_copy_answers_does_not_wait_and_other_objects_neither():
    router = coarse_router(GRACE, direct=True)
    for request in (make_request(ds=2), make_request(obj=98), make_request()._replace(write=True)):
        assert isinstance(router.start_request(request, NOW).route(NOW)[0], SendAttempt)
    router.age_units = {}
    assert isinstance(router.start_request(make_request(), NOW).route(NOW)[0], SendAttempt)


def test_a_postponed_get_whose_client_leaves_is_not_sent():
    router = coarse_router(GRACE)
    state = router.start_request(make_request(size=1000), NOW)
    assert isinstance(state.route(NOW)[0], PostponeAttempt)
    state.client_disconnected(NOW)
    assert router.on_timer(NOW + 2 * S) == [(None, [])]


@pytest.mark.parametrize(
    "purged_ago, age_unit, limited", [(6 * S, S, 1), (6 * S + 1, S, 0), (6 * S + 1, 0, 1)]
)
def test_a_coarse_limit_ends_once_no_server_holds_an_older_copy(purged_ago, age_unit, limited):
    """Guards against good copies from the second after a purge that a rounded limit excludes."""
    router = coarse_router(purged_ago)
    assert bool(router.invalidations.max_age(make_request(), False, NOW, age_unit)) == bool(limited)


@pytest.mark.parametrize("ds, requests, stored", [(0, 1, False), (0, 2, True), (2, 2, False)])
def test_only_responses_to_repeated_reads_are_stored(ds, requests, stored):
    router, request = make_router(), make_request(ds=ds)
    router.digest.record_of(request, NOW).counts[0] = requests
    assert router.should_store_response(request, NOW - MS, NOW, NOW) is stored


@pytest.mark.parametrize(
    "returned, status, against_cache, against_source",
    [
        (False, CacheStatus.UNKNOWN, 0, False),  # perhaps there is no such object: clients may ask for any
        (True, CacheStatus.UNKNOWN, 1, False),
        (False, CacheStatus.FILL_SOURCE_BROKEN, 0, True),
    ],
)
def test_an_error_counts_against_the_server_that_can_have_caused_it(
    returned, status, against_cache, against_source
):
    router, request = make_router(), make_request(size=100)
    state, fill = (
        state_with(router, request, None),
        Fill(server_with_id(router, PARENTS[0]), NOW, NOW + S, None),
    )
    state.attempts[0].fill, router.digest.record_of(request, NOW).returned = fill, returned
    record_result(router, state, state.attempts[0], AttemptOutcome.ERROR, status, MS, 0, {}, NOW)
    assert (
        len(server_with_id(router, 11).cache_health.results) == against_cache
        and (fill.on_time is False) == against_source
    )


@pytest.mark.parametrize(
    "outcome, expected_on_time",
    [
        (AttemptOutcome.RESET, None),
        (AttemptOutcome.NOT_SENT, None),
        (AttemptOutcome.CANCELLED, None),  # no response from the source
        (AttemptOutcome.TIMED_OUT, False),
        (AttemptOutcome.UNREACHABLE, False),
    ],
)
def test_a_reset_or_cancelled_attempt_does_not_count_against_the_source(outcome, expected_on_time):
    router = make_router()
    state, fill = (
        state_with(router, make_request(size=100), None),
        Fill(server_with_id(router, PARENTS[0]), NOW, NOW + S, None),
    )
    state.attempts[0].fill = fill
    record_result(router, state, state.attempts[0], outcome, CacheStatus.UNKNOWN, MS, 0, {}, NOW)
    assert fill.on_time is expected_on_time


def test_a_connection_that_breaks_with_many_attempts_counts_as_one_failure():
    router, state = make_router(), None
    state = state_with(router, make_request(), None, None, None, None)
    for at, attempt in enumerate(state.attempts):
        record_result(
            router, state, attempt, AttemptOutcome.RESET, CacheStatus.UNKNOWN, MS, 0, {}, NOW + at * 1000
        )
    assert (
        len(server_with_id(router, 11).cache_health.results) == 1
        and server_with_id(router, 11).cache_health.ejected_until == 0
    )


def test_some_fills_are_sent_as_trials_over_a_full_link():
    router = make_router(client_kb_per_s=1000)
    router.inbound_link.health.slowness_samples.extend((NOW, 20.0, 3) for _ in range(16))
    trials = 0
    for n in range(300):
        state = RequestState(router, make_request(f"r-{n}", obj=n, size=200), NOW)
        attempt = router.plan(state, NOW)
        trials += attempt.fill_source != attempt.cache
        state.attempt_ended(0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN, 0, 0, {}, True, NOW)
    assert 5 < trials < 60


def test_a_removed_cache_that_returns_is_a_new_server():
    router = make_router()
    record, before = add_beliefs(router, make_request(), 11), len(router.registry.servers)
    for _ in range(50):
        router.update_endpoints([make_endpoint(11, EndpointState.GONE)], False, NOW)
        assert len(router.registry.servers) == before - 1 and not router.digest.valid_beliefs(
            make_request(), record, NOW
        )
        router.update_endpoints([make_endpoint(11)], False, NOW)
    assert len(router.registry.servers) == len(
        router.registry.index_of
    ) == before and not router.digest.valid_beliefs(make_request(), record, NOW)


def test_a_restart_keeps_the_count_of_attempts_in_flight():
    router = make_router()
    router.plan(state_with(router, make_request()), NOW)
    cache = next(n for n in router.registry.servers.values() if n.in_flight)
    cache.on_restart(NOW)
    assert cache.in_flight == 1


NO_STATUS_REPORTED = {
    "tells": "none",
    "client_kb_per_s": 1000.0,
    "link_in_kb_per_s": [0.0, 12000.0],
    "fronts_by_location": [0, 4],
}


@pytest.mark.parametrize(
    "tells, elapsed, believed_held, source, status",
    [
        ("none", 410, False, 21, CacheStatus.HIT),  # 400 KB at 1,000 KB/s: too fast for a fill
        ("none", 700, False, 21, CacheStatus.FILLED),
        ("none", 700, True, 21, CacheStatus.UNKNOWN),  # a congested cache, or its copy was evicted
        ("none", 700, False, 11, CacheStatus.HIT),  # a fill was not allowed
        ("hit", 700, False, 21, CacheStatus.UNKNOWN),  # nothing is inferred where caches report hits
    ],
)
def test_a_missing_cache_status_is_inferred_from_the_speed_or_stays_unknown(
    tells, elapsed, believed_held, source, status
):
    """Unreported waits for fills looked like congested caches: hits were shed and a full link went unnoticed."""
    router = make_router(**{**NO_STATUS_REPORTED, "tells": tells})
    attempt = Attempt(server_with_id(router, 11), server_with_id(router, source), 1, believed_held)
    assert router.results.inferred_status(attempt, CacheStatus.UNKNOWN, elapsed / 400) is status


@pytest.mark.parametrize("fills, hits, slowness", [(0, 0, 1.1), (3, 0, 4.4), (3, 64, 1.2)])
def test_an_even_share_of_the_configured_link_rate_replaces_fill_samples(fills, hits, slowness):
    # The link carries 12 transfers for four fronts; LINK_SHARE of an even share is usable.
    router = make_router(**NO_STATUS_REPORTED)
    router.inbound_link.fills_in_flight = fills
    router.inbound_link.recent_misses.extend([False] * hits or [True] * 64)
    assert router.inbound_link.expected_slowness(NOW) == pytest.approx(slowness, abs=0.06)


def test_requests_that_bypass_the_caches_respect_the_inbound_link():
    """Without a usable cache 766 GETs in five seconds went straight to a parent, and 656 of them were late."""
    router = make_router(
        [make_endpoint(c, EndpointState.DRAINING) for c in CACHES], **NO_STATUS_REPORTED, direct=True
    )
    assert router.start_request(make_request(size=400), NOW).route(NOW)[0].cache in PARENTS
    router.inbound_link.fills_in_flight = 40
    actions = [router.start_request(make_request(f"r-{at}", size=400), NOW).route(NOW)[0] for at in range(20)]
    assert sum(isinstance(action, RejectRequest) for action in actions) > 15


@pytest.mark.parametrize(
    "reported_ago, inflight, slowness", [(0, 2, 1.2), (0, 20, 12.0), (3 * S, 20, 1.0), (0, 0, 1.0)]
)
def test_reported_requests_per_weight_raise_the_expected_slowness(reported_ago, inflight, slowness):
    router = make_router()
    server = server_with_id(router, 11)
    server.load_report, server.load_reported_at = {"inflight": inflight}, NOW - reported_ago
    assert server.expected_slowness(NOW) == pytest.approx(slowness)


def test_parts_of_an_object_share_sending_times():
    router = make_router()
    first = make_request(obj=7)
    # Still in flight when the next part is requested.
    earlier = router.digest.record_of(first._replace(part=2), NOW)
    router.digest.record_of(first, NOW)
    earlier.sending_times.append(120 * MS)
    assert (
        router.load.sending_time(first._replace(part=3))
        == 120 * MS
        != router.load.sending_time(make_request(obj=8))
    )
    for obj in range(5000):
        router.digest.record_of(make_request(obj=1000 + obj), NOW)
    assert len(router.digest.sending_times) <= 4096


def with_gossip(*entries):
    """A router that received these gossip entries 100 ms after they were sent, and a request for their object."""
    router, request = make_router(), make_request()
    router.receive_gossip(list(entries), 100 * MS, NOW)
    return router, request


def test_a_belief_from_gossip_lasts_half_of_its_remaining_time_and_is_voided_by_a_purge():
    router, request = with_gossip(BeliefGossip(99, 0, 12, 0, 4 * S, S))
    assert router.digest.valid_beliefs(request, router.digest.record_of(request, NOW), NOW) == {
        server_with_id(router, 12): NOW + 1950 * MS
    }
    router.invalidate(99, -1, 500 * MS, NOW)
    assert router.digest.valid_beliefs(request, router.digest.record_of(request, NOW), NOW) == {}


def test_a_belief_from_gossip_replaces_no_own_belief_and_requires_the_same_cache_start():
    router, request = with_gossip()
    add_beliefs(router, request, 12, expiry=NOW + S)
    router.receive_gossip(
        [
            BeliefGossip(99, 0, 12, 0, 8 * S, 0),
            BeliefGossip(99, 0, 13, 7, 8 * S, 0),
            BeliefGossip(99, 0, 77, 0, 8 * S, 0),
        ],
        0,
        NOW,
    )
    assert router.digest.valid_beliefs(request, router.digest.record_of(request, NOW), NOW) == {
        server_with_id(router, 12): NOW + S
    }


def test_a_miss_is_filled_from_a_sibling_known_by_gossip():
    router, request = with_gossip()
    first = router.start_request(request, NOW).route(NOW)[0].cache
    other = next(c for c in CACHES if c != first)
    router.receive_gossip([BeliefGossip(99, 0, other, 0, 8 * S, 0)], 0, NOW)
    assert router.start_request(make_request("r-2"), NOW).route(NOW)[0].fill_source == other


def test_an_ejection_from_gossip_needs_no_own_results_and_never_shortens_an_ejection():
    router, _ = with_gossip(EjectionGossip(21, 0, True, 4 * S, 0, 0), EjectionGossip(22, 0, True, -S, 0, 0))
    assert (
        server_with_id(router, 21).source_health.ejected_until == NOW + 1950 * MS
        and not server_with_id(router, 22).source_health.ejected_until
    )
    server_with_id(router, 22).source_health.results.append((NOW, True))
    router.receive_gossip(
        [EjectionGossip(22, 0, True, 4 * S, 0, 0), EjectionGossip(21, 0, True, MS, 0, 0)], 0, NOW
    )
    assert (
        not server_with_id(router, 22).source_health.ejected_until
        and server_with_id(router, 21).source_health.ejected_until == NOW + 1950 * MS
    )


def test_beliefs_are_sent_once_the_most_requested_first_and_none_that_expire_soon():
    router = make_router()
    for obj, requests, expiry in ((1, 1, 8 * S), (2, 5, 8 * S), (3, 9, S)):
        request = make_request(obj=obj)
        for _ in range(requests):
            router.start_request(request, NOW)
        add_beliefs(router, request, 12, expiry=NOW + expiry)
    server_with_id(router, 13).cache_health.ejected_until = NOW + S
    router.outliers.health_changed(server_with_id(router, 13))
    assert router.gossip_to_send(9, NOW) == [
        EjectionGossip(13, 0, False, S, 0, 0),
        BeliefGossip(2, 0, 12, 0, 8 * S, MS),
        BeliefGossip(1, 0, 12, 0, 8 * S, MS),
    ]
    assert (
        router.gossip_to_send(9, NOW + 1) == [EjectionGossip(13, 0, False, S - 1, 0, 0)]
        and len(make_router().gossip_to_send(0, NOW)) == 0
    )


def test_slowness_from_gossip_is_used_without_own_samples_and_keeps_its_age():
    router, _ = with_gossip(EjectionGossip(12, 0, False, 0, 2500, 0))
    health = server_with_id(router, 12).cache_health
    assert (
        health.slowness(NOW) == 2.5
        and not health.ejected_until
        and not health.slowness(NOW + 10 * S - 100 * MS)
    )
    router.receive_gossip([EjectionGossip(12, 0, False, 0, 9000, 0)], 0, NOW)
    assert health.slowness(NOW) == 2.5
    assert router.gossip_to_send(9, NOW) == [EjectionGossip(12, 0, False, 0, 2500, 100 * MS)]


def test_slowness_gossip_among_routers_expires_with_its_sample():
    routers, now = [make_router() for _ in range(3)], NOW
    routers[0].receive_gossip([EjectionGossip(12, 0, False, 0, 2500, 0)], 0, NOW)
    for now in range(NOW, NOW + 12 * S, S):
        for sender in routers:
            entries = sender.gossip_to_send(9, now)
            for receiver in routers:
                if receiver is not sender:
                    receiver.receive_gossip(entries, MS, now)
    assert not any(server_with_id(sender, 12).cache_health.slowness(now) for sender in routers)


def test_purges_are_kept_until_applied_and_expire_a_few_per_call():
    router = make_router()
    # A reconnecting front receives as many in a second: the cost of one must not depend on the others.
    for identifier in range(20_000):
        router.invalidate(identifier, -1, identifier * MS, NOW)
    assert (
        len(router.invalidations.purges) == 20_000
        and router.invalidations.purges["object", 7] == NOW - 7 * MS
    )
    router.invalidate(5, -1, 0, NOW + S)  # a later purge of the same object outlives the earlier one
    # All have expired now; removing them in one call would delay the requests that wait for it.
    router.invalidate(-1, 3, 0, NOW + 37 * S)
    assert len(router.invalidations.purges) >= 19_900
    for identifier in range(6000):
        router.invalidate(-1, 3, identifier, NOW + 37 * S)
    assert set(router.invalidations.purges) == {("object", 5), ("group", 3)}


@pytest.mark.parametrize(
    "limit, connected", [(7, {*CACHES, *PARENTS, ORIGIN}), (6, {*PARENTS, ORIGIN}), (3, {ORIGIN, PARENTS[0]})]
)
def test_startup_connections_go_to_all_servers_or_to_origin_and_parents(limit, connected):
    assert set(make_router().endpoints_to_connect(limit)) == connected
