"""The decisions, each on state built directly and by one call."""

import pytest
from helpers import CACHES, NOW, ORIGIN, PARENTS, asked, believed, entry, node, router

from sprucegate.routing.actions import FailRequest, RejectRequest, SendAttempt
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
from sprucegate.routing.invalidation import CACHED_RESPONSE_AGE_MAX_NS
from sprucegate.routing.request import ANSWER_MARGIN_NS, Attempt, RequestState
from sprucegate.routing.response_cache import QUEUE_TIMES_SENDING_TIME_MAX
from sprucegate.units import MILLISECOND as MS
from sprucegate.units import SECOND as S


def learn(made, state, attempt, outcome, status, elapsed, fill_wait, load, now):
    """The router is told that an attempt ended; nothing is decided on what follows."""
    made.results.record(AttemptResult(state, attempt, outcome, status, elapsed, fill_wait, load, now))


def state_with(made, ask, *outcomes, at=NOW, cache=11):
    """A GET whose forwards ended so; None for one that is still out."""
    state = RequestState(made, ask, at)
    for outcome in outcomes:
        attempt = Attempt(node(made, cache), node(made, PARENTS[0]), 1)
        attempt.is_open, attempt.outcome = outcome is None, outcome
        state.attempts.append(attempt)
    return state


@pytest.mark.parametrize(
    "older, newer, life",
    [
        (9, 9, BELIEF_LIFETIME_MAX_NS),  # equal
        (3, 9, BELIEF_LIFETIME_MAX_NS),  # rising
        (4, 3, BELIEF_LIFETIME_MAX_NS),  # falls within the noise of counting
        (20, 8, int((8 - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / 12 - ROUND_TRIP_NS)),  # the line
        (9, 0, 0),  # already under the threshold
        (90, 60, int((60 - EVICTION_THRESHOLD) * COUNTING_INTERVAL_NS / 30 - ROUND_TRIP_NS)),
        (90, 76, BELIEF_LIFETIME_MAX_NS),  # the cap bounds the line
    ],
)
def test_validity_of_a_belief_follows_the_request_rate(older, newer, life):
    record = ObjectRecord(0)
    record.counts = [0, newer, older]
    assert record.belief_lifetime() == min(BELIEF_LIFETIME_MAX_NS, life)


def test_counts_advance_by_spans():
    record = ObjectRecord(10)
    record.counts = [5, 4, 3]
    record.advance(12)
    assert record.counts == [0, 0, 5]


@pytest.mark.parametrize("failed_ago, counted", [(None, 1), (S, 0), (3 * S, 1)])
def test_a_retry_after_a_rejection_is_not_counted(failed_ago, counted):
    made = router()
    if failed_ago is not None:
        made.digest.record_of(asked(), NOW).rejected_at = NOW - failed_ago
    made.start_request(asked(), NOW)
    assert made.digest.record_of(asked(), NOW).counts[0] == counted


def finish(outcome, found, source=PARENTS[0], before=()):
    made = router()
    record = believed(made, asked(), *before)
    state = state_with(made, asked(), None)
    state.attempts[0].source = node(made, source)
    learn(made, state, state.attempts[0], outcome, found, 50 * MS, 5 * MS, {}, NOW)
    return {made.registry.servers[at].id for at in record.beliefs}


@pytest.mark.parametrize(
    "outcome, found, source, before, after",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, 21, (), {11}),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 21, (), {11}),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 12, (12,), {11, 12}),
        (AttemptOutcome.MISS, CacheStatus.FILL_SOURCE_MISS, 12, (12, 13), {13}),
        (AttemptOutcome.ERROR, CacheStatus.FILL_SOURCE_BROKEN, 21, (11,), set()),
        (AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, 21, (11,), {11}),
    ],
)
def test_beliefs_begin_and_end(outcome, found, source, before, after):
    assert finish(outcome, found, source, before) == after


@pytest.mark.parametrize("change", ["restart", "purge", "group purge", "drain", "expiry"])
def test_beliefs_are_voided(change):
    made = router()
    record = believed(made, asked(), 12, expiry=NOW if change == "expiry" else NOW + S)
    if change == "restart":
        made.update_endpoints([entry(12, started=NOW)], False, NOW)
    elif change == "drain":
        made.update_endpoints([entry(12, EndpointState.DRAINING)], False, NOW)
    elif change != "expiry":
        made.invalidate(99 if change == "purge" else -1, 5, 0, NOW)
    assert made.digest.valid_beliefs(asked(), record, NOW) == {}


@pytest.mark.parametrize("left, recheck", [(RECHECK_MARGIN_NS // 2, True), (RECHECK_MARGIN_NS + S, False)])
def test_a_belief_near_its_end_is_rechecked(left, recheck):
    made = router()
    record = believed(made, asked(), 12, expiry=NOW + left)
    assert made.sources.sibling(state_with(made, asked()), record, node(made, 11), NOW) == (
        node(made, 12),
        recheck,
    )


@pytest.mark.parametrize(
    "allowed, mine, used",
    [("location", True, True), ("location", False, False), ("any", False, True), ("none", True, False)],
)
def test_siblings_only_where_allowed(allowed, mine, used):
    made = router([entry(12)._replace(location=1 if mine else 0)], siblings=allowed)
    record = believed(made, asked(), 12)
    assert (
        made.sources.sibling(state_with(made, asked()), record, node(made, 11), NOW)[0] is not None
    ) is used


def test_routers_pick_alike_whatever_the_order_of_their_lists():
    one, other = router(), router()
    other.group("cache").reverse()
    for obj in range(50):
        picked = [
            made.caches.pick(
                state_with(made, asked(obj=obj)), made.digest.record_of(asked(obj=obj), NOW), NOW
            )[0].id
            for made in (one, other)
        ]
        assert picked[0] == picked[1]


def test_the_pick_spreads_objects_over_the_caches():
    made = router()
    picked = [
        made.caches.pick(state_with(made, asked(obj=obj)), made.digest.record_of(asked(obj=obj), NOW), NOW)[
            0
        ].id
        for obj in range(400)
    ]
    assert all(60 < picked.count(cache) < 140 for cache in CACHES)


@pytest.mark.parametrize("count, width", [(1, 1), (6, 1), (12, 2), (30, 3)])  # a few GETs are noise
def test_a_hot_object_is_spread(count, width):
    made = router()
    made.load.sending_times[0] = [100 * MS]
    made.load.completions.extend((NOW - 4 * S + i * 100 * MS, 200 * MS) for i in range(40))
    record = made.digest.record_of(asked(), NOW)
    record.counts = [count, 0, 0]
    assert made.caches.width(asked(), record, len(made.group("cache")), NOW) == width


def test_a_slow_cache_is_passed_by():
    made = router()
    first = made.caches.pick(state_with(made, asked()), made.digest.record_of(asked(), NOW), NOW)[0]
    first.as_cache.slowness_samples.extend((NOW, 6.0, 12) for _ in range(4))
    first.in_flight = 40
    later = NOW + ESTIMATE_AGE_MAX_NS
    second, in_time = made.caches.pick(state_with(made, asked()), made.digest.record_of(asked(), NOW), later)
    assert second is not first and in_time


def test_what_would_be_late_everywhere_is_rejected_with_retry_after():
    made = router()
    made.random.next_float = lambda text: 0.99
    for cache in CACHES:
        node(made, cache).as_cache.slowness_samples.extend((NOW, 6.0, 12) for _ in range(4))
        node(made, cache).in_flight = 40
    assert state_with(made, asked()).route(NOW) == [RejectRequest(S)]


@pytest.mark.parametrize(
    "results, held, looks",
    [([False] * 8, False, True), ([True] * 8, False, False), ([False] * 8, True, False)],
)
def test_fills_are_throttled_by_their_success(results, held, looks):
    made = router()
    made.random.next_float = lambda text: 0.5
    for source in (*PARENTS, ORIGIN):
        made.sources.fills.extend(Fill(node(made, source), NOW - S, NOW, good) for good in results)
    believed(made, asked(), *(CACHES if held else ()))
    attempt = made.plan(state_with(made, asked()), NOW)
    assert attempt.only_if_cached is looks


def test_a_fill_in_flight_beyond_its_objective_counts_as_late():
    made = router()
    source = node(made, PARENTS[0])
    made.sources.fills.extend(Fill(source, NOW - S, NOW - MS, None) for _ in range(6))
    assert made.sources.on_time_ratios([source], NOW)[0] < 0.1


@pytest.mark.parametrize(
    "effect, outcomes, age, answer",
    [
        ("idempotent", [AttemptOutcome.TIMED_OUT], 0, SendAttempt),
        ("non-idempotent", [AttemptOutcome.MISS], 0, SendAttempt),
        ("non-idempotent", [AttemptOutcome.ERROR], 0, FailRequest),
        ("non-idempotent", [None], 0, FailRequest),
        (
            "tokened",
            [AttemptOutcome.ERROR],
            S,
            FailRequest,
        ),  # a window in which repeats are thrown away is not used
    ],
)
def test_what_is_not_idempotent_is_never_sent_twice(effect, outcomes, age, answer):
    made = router(effect=["idempotent", "idempotent", effect])
    state = state_with(made, asked(ds=2, ttl=9 * S), *outcomes)
    assert isinstance(state.route(NOW + age)[0], answer)


@pytest.mark.parametrize("ds, most", [(2, 3), (0, 2), (1, 1)])
def test_most_attempts_go_by_revenue(ds, most):
    made = router(effect=["idempotent"] * 3)
    allowed = [
        made.retry_policy.may_attempt(state_with(made, asked(ds=ds), *[AttemptOutcome.FULL] * n), NOW)
        for n in range(6)
    ]
    assert allowed == [n <= most for n in range(6)]


def test_a_spent_retry_budget_stops_retries():
    made = router()
    made.retry_policy.retries.extend([True] * 30 + [False] * 70)
    assert not made.retry_policy.may_attempt(state_with(made, asked(), AttemptOutcome.FULL), NOW)
    assert made.retry_policy.may_attempt(state_with(made, asked()), NOW)


@pytest.mark.parametrize("outcome, again", [(AttemptOutcome.NOT_SENT, True), (AttemptOutcome.FULL, False)])
def test_an_attempt_not_sent_is_replaced_outside_the_retry_budget(outcome, again):
    made = router()
    state = made.start_request(asked(), NOW)
    (first,) = state.route(NOW)
    made.retry_policy.retries.extend([True] * 30 + [False] * 70)
    (said,) = state.attempt_ended(first.number, outcome, CacheStatus.UNKNOWN, MS, 0, {}, False, NOW + MS)
    assert (
        (isinstance(said, SendAttempt) and said.cache != first.cache)
        if again
        else isinstance(said, RejectRequest)
    )


def test_a_final_answer_is_given_at_the_deadline():
    made = router()
    state = made.start_request(asked(ttl=3 * S), NOW)
    state.attempts = state_with(made, asked(), None).attempts
    when = made.next_deadline()
    assert when == NOW + 3 * S - ANSWER_MARGIN_NS
    assert isinstance(made.on_timer(when)[-1][1][0], RejectRequest)


def test_nothing_follows_the_final_answer():
    made = router()
    state = state_with(made, asked(), None)
    state.finished = True
    assert state.attempt_ended(0, AttemptOutcome.FULL, CacheStatus.UNKNOWN, MS, 0, {}, False, NOW) == []
    assert state.client_disconnected(NOW) == []


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_server_gets_nothing(state):
    made = router()
    believed(made, asked(), 11, 12, 13)
    made.update_endpoints([entry(c, state) for c in (11, 12, 13, 21)], False, NOW)
    attempt = made.plan(state_with(made, asked()), NOW)
    assert (attempt.cache, attempt.fill_source) == (14, 22)


def test_what_a_complete_list_leaves_out_is_gone():
    made = router()
    made.update_endpoints([entry(11)], True, NOW)
    assert [n.id for n in made.group("cache")] == [11] and not made.group("parent")


@pytest.mark.parametrize(
    "cache, ago, carried, room",
    [
        (11, 0, 40, False),  # drawn to begin with, under one GET
        (11, 1000, 40, True),  # 4 s of work a second carried by four caches
        (11, 1000, 0, False),  # nothing is known to be bearable
        (21, 100, 40, False),  # a parent's floor is far lower
        (31, 0, 0, True),  # the origin has no cold start
    ],
)
def test_slow_start_earns_credit(cache, ago, carried, room):
    made = router([entry(c, started=NOW - 3 * S) for c in (11, 21)])
    made.load.completions.extend((NOW - 4 * S + i * 100 * MS, 400 * MS) for i in range(carried))
    made.slow_start.has_budget(node(made, cache), 0, NOW - ago * MS)
    assert made.slow_start.has_budget(node(made, cache), 0, NOW) is room


def test_the_last_cold_cache_does_not_earn_for_those_gone():
    """As its group's last one it earned what four had carried, and was attempt 3.3 times what it could do."""
    made = router([entry(11, started=NOW - 9 * S)])
    made.load.completions.extend((NOW - 4 * S + i * 100 * MS, 400 * MS) for i in range(40))
    made.slow_start.has_budget(node(made, 11), 0, NOW - 2 * S)
    among_four = made.load.rate(NOW), node(made, 11)
    made.update_endpoints([entry(c, EndpointState.DRAINING) for c in CACHES[1:]], False, NOW - 2 * S)
    earned, at = 0, NOW - 2 * S
    while at < NOW:
        at += 50 * MS
        if made.slow_start.has_budget(among_four[1], 0, at):
            among_four[1].slow_start_budget -= 400 * MS
            earned += 1
    assert 0 < earned * 0.4 / 2 <= 1.4 * 0.7 * 4 / 4 + 0.2  # its own part of 4 s of work a second


def test_a_router_among_cold_caches_alone_still_earns_credit():
    """With nothing carried its budget was nothing; where GETs can't pass the caches by, all were shed for good."""
    made = router([entry(c, started=NOW) for c in CACHES], direct=False)
    said = [
        made.start_request(asked(f"r-{at}", obj=at), NOW + at * S).route(NOW + at * S)[0] for at in range(15)
    ]
    assert any(isinstance(one, SendAttempt) for one in said)


def test_an_unknown_cache_status_is_not_counted():
    made = router(tells="hit")
    state = state_with(made, asked(), None)
    learn(made, state, state.attempts[0], AttemptOutcome.RETURNED, CacheStatus.UNKNOWN, 50 * MS, 0, {}, NOW)
    assert not made.slow_start.statuses


def test_first_requests_of_many_routers_are_spread_over_a_cold_start():
    """156 fronts that each see a GET a second pushed a cold parent over: each one's first was free."""
    attempt = 0
    for number in range(150):
        made = router([entry(21, started=NOW)], my_number=number)
        made.load.completions.extend((NOW - 4 * S + i * S, 400 * MS) for i in range(4))
        for at in range(20):
            if made.slow_start.has_budget(node(made, 21), 0, NOW + at * 100 * MS):
                node(made, 21).slow_start_budget -= made.load.mean_sending_time(0)
                attempt += 1
    # All together carry 60 s of work a second; a parent's half of it, at its floor twice over in two seconds.
    assert attempt * 0.4 <= 2 * 2 * 0.09 * 30


@pytest.mark.parametrize(
    "ds, purge_ago, key, oldest",
    [
        (0, None, 99, 0),
        (0, S, 99, S - 2 * MS),
        (0, S, -1, S - 2 * MS),
        (0, 0, 99, 1000),
        (0, S, 98, 0),
        (1, S, 99, S - 2 * MS),
    ],
)
def test_copies_from_before_a_purge_will_not_do(ds, purge_ago, key, oldest):
    made = router()
    if purge_ago is not None:
        made.invalidate(key, 5 if key < 0 else 6, purge_ago, NOW)
    assert made.invalidations.max_age(asked(ds=ds), False, NOW) == oldest


def test_a_stale_copy_is_taken_only_within_its_grace():
    made = router(grace_time=[0, 20 * S, 0])
    assert made.invalidations.max_age(asked(ds=1), True, NOW) == 28 * S
    assert made.invalidations.max_age(asked(ds=0), True, NOW) == 0


@pytest.mark.parametrize(
    "ends, speed, peers_good, peers_speed, alone, aside",
    [
        ([True] * 6, 1.0, True, 1.0, True, False),
        ([True] * 6, 5.0, True, 1.0, True, True),  # far slower than its peers
        ([True] * 6, 5.0, True, 4.0, True, False),  # all are slow: nobody is an outlier
        ([False] * 3, 0, True, 1.0, True, True),  # errors
        ([True] * 4 + [False] * 2, 1.0, True, 1.0, True, False),
        ([True] * 3 + [False] * 3, 1.0, True, 1.0, True, False),  # half of so few is chance
        ([True] * 3 + [False] * 3, 0, True, 1.0, False, False),  # time-outs may be the source's fault
        ([False] * 6, 0, True, 1.0, False, True),  # but not where nothing else comes: it hangs
        ([False] * 6, 0, False, 1.0, False, False),  # nor where its peers' GETs end so too
    ],
)
def test_outliers_are_ejected(ends, speed, peers_good, peers_speed, alone, aside):
    one, rivals = HealthRecord(), [HealthRecord(), HealthRecord()]
    for at, good in enumerate(ends):
        one.record(NOW - (9 - at) * 10 * MS, good, speed)
    for at, rival in enumerate(rivals * 4):
        rival.record(NOW - (9 - at) * 10 * MS, peers_good, peers_speed)
    one.evaluate([one, *rivals], alone, NOW)
    assert (one.ejected_until > NOW) is aside


def test_at_most_half_of_the_caches_are_ejected():
    made = router()
    for cache in CACHES:
        node(made, cache).as_cache.ejected_until = NOW + S
        made.outliers.health_changed(node(made, cache))
    assert len(made.outliers.excluded(NOW)) == 2


def test_the_origin_fills_when_no_parent_is_up():
    made = router([entry(c, EndpointState.GONE) for c in PARENTS])
    assert made.sources.parent_or_origin(state_with(made, asked()), NOW)[0].id == ORIGIN


def test_a_first_request_of_unknown_size_is_expected_in_time():
    made = router(objective_stretch=[0.0] * 3)
    assert made.caches.pick(state_with(made, asked()), made.digest.record_of(asked(), NOW), NOW)[1]


@pytest.mark.parametrize(
    "outcome, found, ends, slowness_samples",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, [True], 1),
        (AttemptOutcome.RETURNED, CacheStatus.FILLED_BY_ORIGIN, [True], 0),  # its speed tells of the origin
        (AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, [False], 0),
        (AttemptOutcome.FULL, CacheStatus.UNKNOWN, [], 0),  # load, not a fault
    ],
)
def test_a_slow_fill_does_not_count_against_the_cache(outcome, found, ends, slowness_samples):
    made = router()
    state = state_with(made, asked(size=100), None)
    state.attempts[0].fill = Fill(node(made, 21), NOW, NOW, None)
    learn(made, state, state.attempts[0], outcome, found, S, 0, {}, NOW)
    health = node(made, 11).as_cache
    assert ([good for _, good in health.results], len(health.slowness_samples)) == (ends, slowness_samples)


@pytest.mark.parametrize("slowness, noted", [(1.0, 1), (5.0, 0)])
def test_fills_of_a_slow_parent_say_nothing_of_the_link(slowness, noted):
    made = router(client_kb_per_s=1000)
    for parent, slow in zip(PARENTS, (slowness, 1.0), strict=True):
        node(made, parent).as_source.slowness_samples.extend((NOW, slow, 0) for _ in range(4))
        made.outliers.health_changed(node(made, parent))
    state = state_with(made, asked(size=100), None)
    state.attempts[0].fill = Fill(node(made, 21), NOW, NOW, None)
    learn(made, state, state.attempts[0], AttemptOutcome.RETURNED, CacheStatus.FILLED, S, 0, {}, NOW)
    assert len(made.link.health.slowness_samples) == noted


def test_an_unreachable_cache_is_avoided_then_tried_and_taken_for_restarted():
    made = router()
    state = state_with(made, asked(), None, None)
    learn(made, state, state.attempts[0], AttemptOutcome.UNREACHABLE, CacheStatus.UNKNOWN, MS, 0, {}, NOW)
    assert made.outliers.excluded(NOW + MS) == {made.registry.index_of[11]}
    assert made.outliers.excluded(NOW + 2 * S) == set()
    believed(made, asked(), 11)
    learn(made, state, state.attempts[1], AttemptOutcome.RETURNED, CacheStatus.HIT, MS, 0, {}, NOW + 2 * S)
    assert node(made, 11).started == NOW + 2 * S
    assert node(made, 12).started == 0


@pytest.mark.parametrize(
    "outcome, found, waited, blamed, good",
    [
        (AttemptOutcome.RETURNED, CacheStatus.HIT, 0, 21, None),  # no fill at all
        (AttemptOutcome.RETURNED, CacheStatus.FILLED, 100 * MS, 21, False),  # the parent's own copy came late
        (
            AttemptOutcome.RETURNED,
            CacheStatus.FILLED_BY_ORIGIN,
            100 * MS,
            31,
            True,
        ),  # the parent slow, its fetch not
        (AttemptOutcome.RETURNED, CacheStatus.FILLED_BY_ORIGIN, S, 31, False),
        (AttemptOutcome.FULL, CacheStatus.ORIGIN_FAILED, 0, 31, False),
        (AttemptOutcome.FULL, CacheStatus.FILL_SOURCE_REFUSED, 0, 21, False),
    ],
)
def test_a_late_fill_counts_against_the_source_that_made_it_late(outcome, found, waited, blamed, good):
    made = router(client_kb_per_s=1000)
    state = state_with(made, asked(size=100), None)
    state.attempts[0].fill = fill = Fill(node(made, 21), NOW - 2 * S, NOW - S, None)
    learn(made, state, state.attempts[0], outcome, found, 2 * S, waited, {}, NOW)
    assert (fill.source.id, fill.on_time) == (blamed, good)
    assert good is not None or made.sources.on_time_ratios([node(made, 21)], NOW) == [1]


@pytest.mark.parametrize(
    "parents, origin, source", [([True], [True], 21), ([False], [True], ORIGIN), ([False], [False], 21)]
)
def test_the_origin_stands_in_for_failing_parents_while_it_does_well(parents, origin, source):
    made = router()
    made.sources.fills.extend(
        Fill(node(made, by), NOW - S, NOW, good) for good in parents * 20 for by in PARENTS
    )
    made.sources.fills.extend(Fill(node(made, ORIGIN), NOW - S, NOW, good) for good in origin * 20)
    assert made.sources.parent_or_origin(state_with(made, asked(obj=3)), NOW)[0].id in (
        source,
        22 if source == 21 else source,
    )


def test_a_throttled_request_never_asks_the_origin():
    made = router([entry(c, EndpointState.GONE) for c in PARENTS])
    made.random.next_float = lambda text: 0.99
    made.sources.fills.extend(Fill(node(made, ORIGIN), NOW - S, NOW, False) for _ in range(20))
    assert made.sources.parent_or_origin(state_with(made, asked()), NOW) == (None, False)


@pytest.mark.parametrize("utilization, age, looks", [(20.0, 0, True), (1.0, 0, False), (20.0, 2 * S, False)])
def test_a_link_reported_full_takes_no_new_fills(utilization, age, looks):
    made = router(client_kb_per_s=1000)
    made.link.utilization, made.link.utilization_reported_at = utilization, NOW - age
    attempt = made.plan(state_with(made, asked(size=500)), NOW)
    assert attempt.only_if_cached is looks and (attempt.cache == attempt.fill_source) is looks


@pytest.mark.parametrize("slow, seen", [(5.0, 5.0), (2.0, 1.0)])
def test_a_router_with_one_request_at_a_time_still_sees_a_full_link(slow, seen):
    one = HealthRecord()
    one.slowness_samples.extend((NOW, slow, 1) for _ in range(4))
    assert one.expected_slowness(1, NOW) == seen


@pytest.mark.parametrize(
    "ds, age, since, wait, purged, may",
    [
        (0, 20 * S, 0, 0, None, True),  # good until purged
        (1, 7 * S, 0, 0, None, True),
        (1, 8 * S, 0, 0, None, False),
        (0, 2 * S, 0, 0, 3 * S, True),
        (0, 2 * S, 0, 0, 2 * S, False),
        (0, 2 * S, 0, 0, S, False),
        (0, 20 * S, CACHED_RESPONSE_AGE_MAX_NS, 0, None, False),  # its purge might be forgotten by then
        (0, 20 * S, 0, QUEUE_TIMES_SENDING_TIME_MAX + 1, None, False),
    ],
)
def test_an_own_copy_answers_while_young_unpurged_and_without_a_queue(ds, age, since, wait, purged, may):
    made, ask = router(), asked(ds=ds)
    if purged is not None:
        made.invalidate(ask.object, -1, purged, NOW)
    assert made.may_answer_from_own_copy(ask, NOW - age, NOW - since, wait, NOW) is may


@pytest.mark.parametrize("ds, times, kept", [(0, 1, False), (0, 2, True), (2, 2, False)])
def test_copies_are_stored_of_what_is_requested_again_and_never_of_writes(ds, times, kept):
    made, ask = router(), asked(ds=ds)
    made.digest.record_of(ask, NOW).counts[0] = times
    assert made.should_store_own_copy(ask, NOW - MS, NOW) is kept


@pytest.mark.parametrize(
    "returned, told, against_cache, against_source",
    [
        (False, CacheStatus.UNKNOWN, 0, False),  # perhaps no such object: bad clients make them up
        (True, CacheStatus.UNKNOWN, 1, False),
        (False, CacheStatus.FILL_SOURCE_BROKEN, 0, True),
    ],
)
def test_an_error_counts_against_those_who_can_have_caused_it(returned, told, against_cache, against_source):
    made, ask = router(), asked(size=100)
    state, fill = state_with(made, ask, None), Fill(node(made, PARENTS[0]), NOW, NOW + S, None)
    state.attempts[0].fill, made.digest.record_of(ask, NOW).returned = fill, returned
    learn(made, state, state.attempts[0], AttemptOutcome.ERROR, told, MS, 0, {}, NOW)
    assert len(node(made, 11).as_cache.results) == against_cache and (fill.on_time is False) == against_source


@pytest.mark.parametrize(
    "outcome, good",
    [
        (AttemptOutcome.RESET, None),
        (AttemptOutcome.NOT_SENT, None),
        (AttemptOutcome.CANCELLED, None),  # no word from the source
        (AttemptOutcome.TIMED_OUT, False),
        (AttemptOutcome.UNREACHABLE, False),
    ],
)
def test_a_reset_or_cancelled_attempt_says_nothing_of_the_source(outcome, good):
    made = router()
    state, fill = state_with(made, asked(size=100), None), Fill(node(made, PARENTS[0]), NOW, NOW + S, None)
    state.attempts[0].fill = fill
    learn(made, state, state.attempts[0], outcome, CacheStatus.UNKNOWN, MS, 0, {}, NOW)
    assert fill.on_time is good


def test_a_connection_that_ends_with_many_attempts_is_one_failure():
    made, state = router(), None
    state = state_with(made, asked(), None, None, None, None)
    for at, attempt in enumerate(state.attempts):
        learn(made, state, attempt, AttemptOutcome.RESET, CacheStatus.UNKNOWN, MS, 0, {}, NOW + at * 1000)
    assert len(node(made, 11).as_cache.results) == 1 and node(made, 11).as_cache.ejected_until == 0


def test_a_link_that_looks_full_is_tried_by_some_fills():
    made = router(client_kb_per_s=1000)
    made.link.health.slowness_samples.extend((NOW, 20.0, 3) for _ in range(16))
    tried = 0
    for n in range(300):
        state = RequestState(made, asked(f"r-{n}", obj=n, size=200), NOW)
        forward = made.plan(state, NOW)
        tried += forward.fill_source != forward.cache
        state.attempt_ended(0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN, 0, 0, {}, True, NOW)
    assert 5 < tried < 60


def test_a_cache_that_has_gone_is_forgotten_and_its_id_is_another_cache_when_it_comes_again():
    made = router()
    record, before = believed(made, asked(), 11), len(made.registry.servers)
    for _ in range(50):
        made.update_endpoints([entry(11, EndpointState.GONE)], False, NOW)
        assert len(made.registry.servers) == before - 1 and not made.digest.valid_beliefs(
            asked(), record, NOW
        )
        made.update_endpoints([entry(11)], False, NOW)
    assert len(made.registry.servers) == len(
        made.registry.index_of
    ) == before and not made.digest.valid_beliefs(asked(), record, NOW)


def test_a_restart_keeps_the_count_of_attempts_in_flight():
    made = router()
    made.plan(state_with(made, asked()), NOW)
    cache = next(n for n in made.registry.servers.values() if n.in_flight)
    cache.on_restart(NOW)
    assert cache.in_flight == 1


SILENT = {
    "tells": "none",
    "client_kb_per_s": 1000.0,
    "link_in_kb_per_s": [0.0, 12000.0],
    "fronts_by_location": [0, 4],
}


@pytest.mark.parametrize(
    "tells, spent, held, source, found",
    [
        ("none", 410, False, 21, CacheStatus.HIT),  # 400 KB at 1,000 KB/s: no time for a fill
        ("none", 700, False, 21, CacheStatus.FILLED),
        ("none", 700, True, 21, CacheStatus.UNKNOWN),  # a crowded cache, or its copy was gone
        ("none", 700, False, 11, CacheStatus.HIT),  # nothing else could answer
        ("hit", 700, False, 21, CacheStatus.UNKNOWN),  # silence is no answer where hits are told
    ],
)
def test_an_untold_cache_status_is_resolved_by_time_or_stays_open(tells, spent, held, source, found):
    """Untold fill waits read as crowded caches: hits were shed, the full link in was not seen."""
    made = router(**{**SILENT, "tells": tells})
    attempt = Attempt(node(made, 11), node(made, source), 1, held)
    assert made.results.inferred_status(attempt, CacheStatus.UNKNOWN, spent / 400) is found


@pytest.mark.parametrize("filling, hits, pace", [(0, 0, 1.1), (3, 0, 4.4), (3, 64, 1.2)])
def test_an_even_part_of_the_stated_link_rate_stands_in_for_fill_waits(filling, hits, pace):
    made = router(**SILENT)  # 12 transfers over four fronts, of which LINK_SHARE counts
    made.link.fills_in_flight = filling
    made.link.recent_misses.extend([False] * hits or [True] * 64)
    assert made.link.expected_slowness(NOW) == pytest.approx(pace, abs=0.06)


def test_what_goes_past_the_caches_obeys_the_link():
    """With no cache left 766 GETs in five seconds went straight to a parent, 656 of them too late."""
    made = router([entry(c, EndpointState.DRAINING) for c in CACHES], **SILENT, direct=True)
    assert made.start_request(asked(size=400), NOW).route(NOW)[0].cache in PARENTS
    made.link.fills_in_flight = 40
    shed = [made.start_request(asked(f"r-{at}", size=400), NOW).route(NOW)[0] for at in range(20)]
    assert sum(isinstance(one, RejectRequest) for one in shed) > 15


@pytest.mark.parametrize(
    "told_ago, inflight, pace", [(0, 2, 1.2), (0, 20, 12.0), (3 * S, 20, 1.0), (0, 0, 1.0)]
)
def test_reported_requests_over_the_weight_raise_the_expected_slowness(told_ago, inflight, pace):
    made = router()
    at = node(made, 11)
    at.load_report, at.load_reported_at = {"inflight": inflight}, NOW - told_ago
    assert at.expected_slowness(NOW) == pytest.approx(pace)


def test_parts_of_an_object_share_their_sending_times():
    made = router()
    first = asked(obj=7)
    earlier = made.digest.record_of(
        first._replace(part=2), NOW
    )  # not back yet when the next one is asked for
    made.digest.record_of(first, NOW)
    earlier.sending_times.append(120 * MS)
    assert made.load.sending_time(first._replace(part=3)) == 120 * MS != made.load.sending_time(asked(obj=8))
    for obj in range(5000):
        made.digest.record_of(asked(obj=1000 + obj), NOW)
    assert len(made.digest.sending_times) <= 4096


def told(*said):
    """A front that has heard those words 100 ms after they were said, and a GET for the object that they name."""
    made, ask = router(), asked()
    made.receive_gossip(list(said), 100 * MS, NOW)
    return made, ask


def test_a_belief_from_gossip_lasts_half_of_the_time_left_and_is_voided_by_a_purge():
    made, ask = told(BeliefGossip(99, 0, 12, 0, 4 * S, S))
    assert made.digest.valid_beliefs(ask, made.digest.record_of(ask, NOW), NOW) == {
        node(made, 12): NOW + 1950 * MS
    }
    made.invalidate(99, -1, 500 * MS, NOW)
    assert made.digest.valid_beliefs(ask, made.digest.record_of(ask, NOW), NOW) == {}


def test_a_belief_from_gossip_replaces_no_own_one_and_needs_the_same_start_of_its_cache():
    made, ask = told()
    believed(made, ask, 12, expiry=NOW + S)
    made.receive_gossip(
        [
            BeliefGossip(99, 0, 12, 0, 8 * S, 0),
            BeliefGossip(99, 0, 13, 7, 8 * S, 0),
            BeliefGossip(99, 0, 77, 0, 8 * S, 0),
        ],
        0,
        NOW,
    )
    assert made.digest.valid_beliefs(ask, made.digest.record_of(ask, NOW), NOW) == {node(made, 12): NOW + S}


def test_gossip_has_a_miss_filled_from_a_sibling_that_another_router_knows():
    made, ask = told()
    first = made.start_request(ask, NOW).route(NOW)[0].cache
    other = next(c for c in CACHES if c != first)
    made.receive_gossip([BeliefGossip(99, 0, other, 0, 8 * S, 0)], 0, NOW)
    assert made.start_request(asked("r-2"), NOW).route(NOW)[0].fill_source == other


def test_an_ejection_from_gossip_holds_where_nothing_was_seen_and_never_shortens_an_own_one():
    made, _ = told(EjectionGossip(21, 0, True, 4 * S, 0, 0), EjectionGossip(22, 0, True, -S, 0, 0))
    assert (
        node(made, 21).as_source.ejected_until == NOW + 1950 * MS
        and not node(made, 22).as_source.ejected_until
    )
    node(made, 22).as_source.results.append((NOW, True))
    made.receive_gossip(
        [EjectionGossip(22, 0, True, 4 * S, 0, 0), EjectionGossip(21, 0, True, MS, 0, 0)], 0, NOW
    )
    assert (
        not node(made, 22).as_source.ejected_until
        and node(made, 21).as_source.ejected_until == NOW + 1950 * MS
    )


def test_beliefs_are_sent_once_the_most_requested_first_and_none_that_end_soon():
    made = router()
    for obj, times, expiry in ((1, 1, 8 * S), (2, 5, 8 * S), (3, 9, S)):
        ask = asked(obj=obj)
        for _ in range(times):
            made.start_request(ask, NOW)
        believed(made, ask, 12, expiry=NOW + expiry)
    node(made, 13).as_cache.ejected_until = NOW + S
    made.outliers.health_changed(node(made, 13))
    assert made.gossip_to_send(9, NOW) == [
        EjectionGossip(13, 0, False, S, 0, 0),
        BeliefGossip(2, 0, 12, 0, 8 * S, MS),
        BeliefGossip(1, 0, 12, 0, 8 * S, MS),
    ]
    assert (
        made.gossip_to_send(9, NOW + 1) == [EjectionGossip(13, 0, False, S - 1, 0, 0)]
        and len(router().gossip_to_send(0, NOW)) == 0
    )


def test_slowness_from_gossip_counts_where_none_was_seen_and_keeps_its_age():
    made, _ = told(EjectionGossip(12, 0, False, 0, 2500, 0))
    by = node(made, 12).as_cache
    assert by.slowness(NOW) == 2.5 and not by.ejected_until and not by.slowness(NOW + 10 * S - 100 * MS)
    made.receive_gossip([EjectionGossip(12, 0, False, 0, 9000, 0)], 0, NOW)
    assert by.slowness(NOW) == 2.5
    assert made.gossip_to_send(9, NOW) == [EjectionGossip(12, 0, False, 0, 2500, 100 * MS)]


def test_slowness_that_goes_round_among_routers_ends_with_its_sample():
    fronts, now = [router() for _ in range(3)], NOW
    fronts[0].receive_gossip([EjectionGossip(12, 0, False, 0, 2500, 0)], 0, NOW)
    for now in range(NOW, NOW + 12 * S, S):
        for one in fronts:
            said = one.gossip_to_send(9, now)
            for other in fronts:
                if other is not one:
                    other.receive_gossip(said, MS, now)
    assert not any(node(one, 12).as_cache.slowness(now) for one in fronts)


def test_many_purges_are_each_kept_until_done_and_forgotten_a_few_at_a_time():
    made = router()
    for number in range(20_000):  # a returning front gets as many in a second: none may cost by the others
        made.invalidate(number, -1, number * MS, NOW)
    assert len(made.invalidations.purges) == 20_000 and made.invalidations.purges["object", 7] == NOW - 7 * MS
    made.invalidate(5, -1, 0, NOW + S)  # a later purge of one of them outlives the former
    made.invalidate(
        -1, 3, 0, NOW + 37 * S
    )  # all are old in the same turn: a walk through them would hold up its GETs
    assert len(made.invalidations.purges) >= 19_900
    for number in range(6000):
        made.invalidate(-1, 3, number, NOW + 37 * S)
    assert set(made.invalidations.purges) == {("object", 5), ("group", 3)}


@pytest.mark.parametrize(
    "most, warmed", [(7, {*CACHES, *PARENTS, ORIGIN}), (6, {*PARENTS, ORIGIN}), (3, {ORIGIN, PARENTS[0]})]
)
def test_connections_at_the_start_go_to_all_servers_or_to_those_of_every_fill(most, warmed):
    assert set(router().endpoints_to_connect(most)) == warmed
