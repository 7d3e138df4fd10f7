"""Decisions of the HTTP/2 connection pool: stream limits hold and no request waits forever, in any order of events."""

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sprucegate.routing.events import AttemptOutcome
from sprucegate.upstream.http2.limits import MS, Limits, S
from sprucegate.upstream.http2.pool import (
    CloseConnection,
    ConnectionPhase,
    ConnectionPool,
    OpenConnection,
    RefuseRequest,
    SendOnConnection,
    SendPing,
)

NOW = 1000 * S


def established_pool(limit=100, **changed):
    """Return a pool with one established connection."""
    pool = ConnectionPool(Limits(**changed), 11, "n0")
    assert pool.warm(NOW) == [OpenConnection(1)]
    assert pool.settings_received(1, limit, NOW) == []
    pool.settings_acknowledged(1)
    return pool


def sends(actions):
    return [one for one in actions if isinstance(one, SendOnConnection)]


def test_the_least_full_connection_takes_a_stream_and_another_is_opened_at_half():
    pool = established_pool(limit=4)
    assert pool.request_stream("a", NOW) == [SendOnConnection("a", 1)]
    assert pool.request_stream("b", NOW) == [SendOnConnection("b", 1), OpenConnection(2)]
    assert pool.request_stream("c", NOW) == [SendOnConnection("c", 1)]  # one at a time
    assert pool.settings_received(2, 4, NOW) == []
    assert pool.request_stream("d", NOW) == [SendOnConnection("d", 2)]


def test_a_stream_limit_lowered_below_the_open_streams_stops_new_ones_until_it_allows_one():
    pool = established_pool(connections=1)
    for at in range(60):
        assert pool.request_stream(at, NOW) == [SendOnConnection(at, 1)]
    assert pool.stream_limit_changed(1, 3, NOW) == []
    assert pool.request_stream("waiting", NOW) == []
    for _ in range(57):
        assert pool.stream_ended(1, True, NOW) == []
    assert pool.stream_ended(1, True, NOW) == [SendOnConnection("waiting", 1)]


def test_a_stream_limit_of_zero_makes_requests_wait_no_longer_than_their_bound():
    pool = established_pool(limit=0, connections=1)
    assert pool.request_stream("a", NOW) == [] and pool.request_stream("b", NOW + 100 * MS) == []
    assert pool.due(NOW + 300 * MS) == [RefuseRequest("a", AttemptOutcome.FULL)]
    assert pool.stream_limit_changed(1, 5, NOW + 350 * MS) == [SendOnConnection("b", 1)]


def test_the_number_of_waiting_requests_is_bounded_and_one_can_be_withdrawn():
    pool = established_pool(limit=0, connections=1, waiting=2)
    assert pool.request_stream("a", NOW) == pool.request_stream("b", NOW) == []
    assert pool.request_stream("c", NOW) == [RefuseRequest("c", AttemptOutcome.FULL)]
    assert pool.withdraw("a") and not pool.withdraw("a")


def test_a_graceful_goaway_opens_a_successor_before_the_old_connection_is_closed():
    pool = established_pool()
    pool.request_stream("a", NOW), pool.stream_ended(1, True, NOW), pool.request_stream("b", NOW)
    assert pool.goaway(1, True, NOW) == [OpenConnection(2)]
    assert pool.request_stream("c", NOW) == []  # not on the connection that got the GOAWAY
    assert pool.settings_received(2, 100, NOW) == [SendOnConnection("c", 2)]
    assert pool.goaway(1, True, NOW) == []  # a further GOAWAY
    assert pool.stream_ended(1, True, NOW) == [CloseConnection(1, "drained")]


def test_a_retiring_connection_takes_streams_until_its_successor_is_up():
    pool = established_pool(age=20 * S, age_spread=0.0)
    pool.request_stream("a", NOW + 19 * S)
    assert pool.due(NOW + 20 * S) == [SendPing(1), OpenConnection(2)]
    assert pool.connections[1].phase is ConnectionPhase.RETIRING
    pool.bytes_received(1, NOW + 20 * S)
    assert pool.request_stream("b", NOW + 20 * S) == [SendOnConnection("b", 1)]
    assert (
        pool.settings_received(2, 100, NOW + 20 * S) == []
        and pool.connections[1].phase is ConnectionPhase.DRAINING
    )
    assert pool.request_stream("c", NOW + 20 * S) == [SendOnConnection("c", 2)]


def test_maximum_ages_are_spread_and_equal_in_each_process():
    ages = set()
    for server in range(20):
        pool = ConnectionPool(Limits(age=100 * S, age_spread=0.5), server, "n0")
        pool.warm(NOW), pool.settings_received(1, 100, NOW)
        ages.add(pool.connections[1].retire_at - NOW)
    assert len(ages) > 15 and all(50 * S <= age <= 100 * S for age in ages)
    second = ConnectionPool(Limits(age=100 * S, age_spread=0.5), 7, "n0")
    second.warm(NOW), second.settings_received(1, 100, NOW)
    assert second.connections[1].retire_at - NOW in ages


def test_a_connection_whose_stream_ids_run_out_is_replaced():
    pool = established_pool(ids=10)
    for at in range(9):
        pool.request_stream(at, NOW), pool.stream_ended(1, True, NOW)
    assert pool.request_stream(9, NOW) == [SendOnConnection(9, 1), OpenConnection(2)]


def test_reconnects_back_off_and_requests_are_refused_at_once_meanwhile():
    pool, now, delays = ConnectionPool(Limits(), 11, "n0"), NOW, []
    for _ in range(11):
        (opened,) = pool.request_stream("g", now)
        assert isinstance(opened, OpenConnection)
        assert pool.connection_lost(opened.connection, False, now) == [
            RefuseRequest("g", AttemptOutcome.UNREACHABLE)
        ]
        assert pool.request_stream("h", now) == [RefuseRequest("h", AttemptOutcome.UNREACHABLE)]
        delays.append(pool.retry_at - now)
        now = pool.retry_at
    steps = [50 * MS << n for n in range(11)]
    assert all(min(s, 5 * S) / 2 <= w <= min(s, 5 * S) for s, w in zip(steps, delays, strict=True))


def test_a_server_that_sends_each_connection_away_is_reconnected_to_with_back_off():
    pool, now = ConnectionPool(Limits(), 11, "n0"), NOW
    pool.warm(now)
    pool.settings_received(1, 100, now)
    assert pool.goaway(1, True, now) == [CloseConnection(1, "drained")] and pool.retry_at > now
    # Not UNREACHABLE: the server was reached.
    assert pool.request_stream("a", now) == [RefuseRequest("a", AttemptOutcome.NOT_SENT)]


def test_pings_are_sent_only_while_streams_are_open_and_nothing_is_received():
    pool = established_pool()
    assert pool.due(NOW + 2 * S) == []  # no open stream
    pool.request_stream("a", NOW + 2 * S)
    assert pool.due(NOW + 2 * S + 499 * MS) == []
    assert pool.due(NOW + 2 * S + 500 * MS) == [SendPing(1)]
    pool.bytes_received(1, NOW + 3 * S)  # the answer to the PING, or any other bytes
    assert pool.due(NOW + 3 * S + 100 * MS) == []
    assert pool.due(NOW + 3 * S + 500 * MS) == [SendPing(1)]
    actions = pool.due(NOW + 4 * S)
    assert actions[0] == CloseConnection(1, "silent") and pool.failures == 1


def test_unacknowledged_settings_close_the_connection():
    pool = ConnectionPool(Limits(), 11, "n0")
    pool.warm(NOW), pool.settings_received(1, 100, NOW)
    assert pool.due(NOW + 399 * MS) == []
    assert pool.due(NOW + 400 * MS) == [CloseConnection(1, "settings not acknowledged")]


def test_a_removed_server_keeps_its_open_streams_and_takes_no_new_ones():
    pool = established_pool(limit=1, connections=1)
    pool.request_stream("a", NOW), pool.request_stream("b", NOW)
    assert pool.remove(NOW) == [RefuseRequest("b", AttemptOutcome.NOT_SENT)]
    assert pool.request_stream("c", NOW) == [RefuseRequest("c", AttemptOutcome.NOT_SENT)]
    assert pool.stream_ended(1, True, NOW) == [CloseConnection(1, "drained")]


def test_no_streams_are_assigned_while_the_peer_does_not_read():
    pool = established_pool(connections=1)
    pool.set_blocked(1, True, NOW)
    assert pool.request_stream("a", NOW) == []
    assert pool.set_blocked(1, False, NOW) == [SendOnConnection("a", 1)]


@pytest.mark.parametrize(
    "reached, outcome", [(True, AttemptOutcome.NOT_SENT), (False, AttemptOutcome.UNREACHABLE)]
)
def test_requests_that_waited_for_a_failed_connect_are_refused(reached, outcome):
    pool = ConnectionPool(Limits(), 11, "n0")
    assert pool.request_stream("a", NOW) == [OpenConnection(1)]
    assert pool.connection_lost(1, reached, NOW) == [RefuseRequest("a", outcome)]


class PoolMachine(RuleBasedStateMachine):
    """Events in any order, checked against a model of the connections, their open streams and the waiting attempts."""

    def __init__(self):
        super().__init__()
        self.limits = Limits(connections=3, streams=5, waiting=4, ids=12, age=20 * S, wait=200 * MS)
        self.pool, self.now, self.last_attempt = ConnectionPool(self.limits, 11, "n0"), NOW, 0
        self.state, self.limit, self.open, self.waiting = {}, {}, {}, {}

    def perform(self, actions):
        for one in actions:
            match one:
                case SendOnConnection(attempt, number):
                    assert self.state[number] == "up", "stream assigned to a connection that takes none"
                    self.waiting.pop(attempt, None)
                    self.open[number].add(attempt)
                    assert len(self.open[number]) <= min(
                        self.limit[number], self.limits.streams
                    ), "more streams than a limit allows"
                case OpenConnection(number):
                    assert number not in self.state and "opening" not in self.state.values()
                    self.state[number], self.open[number], self.limit[number] = "opening", set(), 0
                    assert (
                        len([s for s in self.state.values() if s != "closed"]) <= 2 * self.limits.connections
                    )
                case RefuseRequest(attempt, outcome):
                    assert outcome.never_executed and not any(attempt in o for o in self.open.values())
                    self.waiting.pop(attempt, None)
                case SendPing(number):
                    assert self.open[number], "PING on a connection without open streams"
                case CloseConnection(number, why):
                    assert not self.open[number] or why in ("silent", "settings not acknowledged")
                    self.state[number], self.open[number] = "closed", set()

    def numbers_in(self, *states):
        return sorted(n for n, s in self.state.items() if s in states)

    @rule(step=st.integers(0, 3000))
    def time_passes(self, step):
        self.now += step * MS
        due = self.pool.next_due()
        if due is not None and due <= self.now:
            self.perform(self.pool.due(self.now))
            for attempt in list(self.waiting):
                assert (
                    self.waiting[attempt] + self.limits.wait > self.now
                ), "attempt waited longer than its bound"

    @rule()
    def attempt_needs_a_stream(self):
        self.last_attempt += 1
        self.waiting[self.last_attempt] = self.now
        self.perform(self.pool.request_stream(self.last_attempt, self.now))

    @precondition(lambda self: self.numbers_in("opening"))
    @rule(limit=st.integers(0, 8), acknowledged=st.booleans())
    def connection_comes_up(self, limit, acknowledged):
        (number,) = self.numbers_in("opening")
        self.state[number], self.limit[number] = "up", limit
        self.perform(self.pool.settings_received(number, limit, self.now))
        if acknowledged and self.state[number] == "up":
            self.pool.settings_acknowledged(number)

    @precondition(lambda self: self.numbers_in("up"))
    @rule(data=st.data(), limit=st.integers(0, 8))
    def stream_limit_changes(self, data, limit):
        number = data.draw(st.sampled_from(self.numbers_in("up")))
        self.limit[number] = limit
        self.perform(self.pool.stream_limit_changed(number, limit, self.now))

    @precondition(lambda self: any(self.open.values()))
    @rule(data=st.data(), answered=st.booleans())
    def stream_ends(self, data, answered):
        number = data.draw(st.sampled_from(sorted(n for n, o in self.open.items() if o)))
        self.open[number].pop()
        self.perform(self.pool.stream_ended(number, answered, self.now))

    @precondition(lambda self: self.numbers_in("up"))
    @rule(data=st.data(), graceful=st.booleans())
    def goaway_arrives(self, data, graceful):
        number = data.draw(st.sampled_from(self.numbers_in("up")))
        self.state[number] = "draining"
        self.perform(self.pool.goaway(number, graceful, self.now))

    @precondition(lambda self: self.numbers_in("opening", "up", "draining"))
    @rule(data=st.data(), reached=st.booleans())
    def connection_is_lost(self, data, reached):
        number = data.draw(st.sampled_from(self.numbers_in("opening", "up", "draining")))
        self.state[number], self.open[number] = "closed", set()
        self.perform(self.pool.connection_lost(number, reached, self.now))

    @precondition(lambda self: self.numbers_in("opening"))
    @rule(data=st.data())
    def connect_lacks_resources(self, data):
        number = data.draw(st.sampled_from(self.numbers_in("opening")))
        self.state[number], self.open[number] = "closed", set()
        self.perform(self.pool.connect_lacked_resources(number, self.now))

    @precondition(lambda self: self.numbers_in("up"))
    @rule(data=st.data(), blocked=st.booleans())
    def peer_stops_or_resumes_reading(self, data, blocked):
        self.perform(
            self.pool.set_blocked(data.draw(st.sampled_from(self.numbers_in("up"))), blocked, self.now)
        )

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def attempt_is_withdrawn(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.pool.withdraw(attempt)
        del self.waiting[attempt]

    @rule()
    def server_is_removed_and_restored(self):
        self.perform(self.pool.remove(self.now))
        assert not self.waiting
        for number in self.numbers_in("up"):
            self.state[number] = "draining"
        self.pool.restore()

    @invariant()
    def pool_agrees_with_the_model(self):
        assert set(self.pool.waiting) == set(self.waiting)
        for number, at in self.pool.connections.items():
            assert at.open == len(self.open[number]) and self.state[number] != "closed"
        if self.waiting:
            assert self.pool.next_due() is not None, "attempt that waits with no timer"


TestPool = PoolMachine.TestCase
TestPool.settings = profile(max_examples=150, stateful_step_count=60, deadline=None, derandomize=True)


def test_requests_keep_waiting_when_a_connect_lacked_local_resources():
    pool = ConnectionPool(Limits(), 1, "n0")
    assert pool.request_stream("a", NOW) == [OpenConnection(1)]
    assert pool.connect_lacked_resources(1, NOW) == [] and pool.next_due() == NOW + 10 * MS
    assert pool.request_stream("b", NOW + MS) == []  # attempts that arrive meanwhile are not refused either
    assert pool.due(NOW + 10 * MS) == [OpenConnection(2)]
    assert [one.attempt for one in pool.settings_received(2, 100, NOW + 11 * MS)] == [
        "a",
        "b",
    ] and not pool.failures


def test_requests_wait_no_longer_than_their_bound_for_local_resources():
    pool = ConnectionPool(Limits(), 1, "n0")
    pool.request_stream("a", NOW)
    for at in range(0, 400, 10):
        for one in pool.due(NOW + at * MS):
            if isinstance(one, RefuseRequest):
                assert one == RefuseRequest("a", AttemptOutcome.FULL) and at == 300
                return
            pool.connect_lacked_resources(one.connection, NOW + at * MS)
        if at == 0:
            pool.connect_lacked_resources(1, NOW)
    raise AssertionError("the attempt is never refused")
