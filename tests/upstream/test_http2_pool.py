"""The pool's decisions: no stream over a limit, no GET without an end, whatever happens in whatever order."""

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


def pool(limit=100, **changed):
    """A pool with one connection that is up."""
    made = ConnectionPool(Limits(**changed), 11, "n0")
    assert made.warm(NOW) == [OpenConnection(1)]
    assert made.settings_received(1, limit, NOW) == []
    made.settings_acknowledged(1)
    return made


def sent(said):
    return [one for one in said if isinstance(one, SendOnConnection)]


def test_the_least_full_takes_a_stream_and_another_is_opened_at_half():
    made = pool(limit=4)
    assert made.request_stream("a", NOW) == [SendOnConnection("a", 1)]
    assert made.request_stream("b", NOW) == [SendOnConnection("b", 1), OpenConnection(2)]
    assert made.request_stream("c", NOW) == [SendOnConnection("c", 1)]  # one at a time
    assert made.settings_received(2, 4, NOW) == []
    assert made.request_stream("d", NOW) == [SendOnConnection("d", 2)]


def test_a_limit_that_falls_below_what_is_open_keeps_new_streams_away_until_there_is_room():
    made = pool(connections=1)
    for at in range(60):
        assert made.request_stream(at, NOW) == [SendOnConnection(at, 1)]
    assert made.stream_limit_changed(1, 3, NOW) == []
    assert made.request_stream("waits", NOW) == []
    for _ in range(57):
        assert made.stream_ended(1, True, NOW) == []
    assert made.stream_ended(1, True, NOW) == [SendOnConnection("waits", 1)]


def test_a_limit_of_zero_holds_gets_back_for_a_moment_and_not_for_longer():
    made = pool(limit=0, connections=1)
    assert made.request_stream("a", NOW) == [] and made.request_stream("b", NOW + 100 * MS) == []
    assert made.due(NOW + 300 * MS) == [RefuseRequest("a", AttemptOutcome.FULL)]
    assert made.stream_limit_changed(1, 5, NOW + 350 * MS) == [SendOnConnection("b", 1)]


def test_waiting_gets_are_bounded_and_one_can_be_withdrawn():
    made = pool(limit=0, connections=1, waiting=2)
    assert made.request_stream("a", NOW) == made.request_stream("b", NOW) == []
    assert made.request_stream("c", NOW) == [RefuseRequest("c", AttemptOutcome.FULL)]
    assert made.withdraw("a") and not made.withdraw("a")


def test_a_graceful_goaway_brings_a_successor_up_before_the_old_one_has_ended():
    made = pool()
    made.request_stream("a", NOW), made.stream_ended(1, True, NOW), made.request_stream("b", NOW)
    assert made.goaway(1, True, NOW) == [OpenConnection(2)]
    assert made.request_stream("c", NOW) == []  # not on the old one
    assert made.settings_received(2, 100, NOW) == [SendOnConnection("c", 2)]
    assert made.goaway(1, True, NOW) == []  # the second one
    assert made.stream_ended(1, True, NOW) == [CloseConnection(1, "drained")]


def test_an_old_connection_serves_until_its_successor_is_up():
    made = pool(age=20 * S, age_spread=0.0)
    made.request_stream("a", NOW + 19 * S)
    assert made.due(NOW + 20 * S) == [SendPing(1), OpenConnection(2)]
    assert made.connections[1].phase is ConnectionPhase.RETIRING
    made.bytes_received(1, NOW + 20 * S)
    assert made.request_stream("b", NOW + 20 * S) == [SendOnConnection("b", 1)]
    assert (
        made.settings_received(2, 100, NOW + 20 * S) == []
        and made.connections[1].phase is ConnectionPhase.DRAINING
    )
    assert made.request_stream("c", NOW + 20 * S) == [SendOnConnection("c", 2)]


def test_ages_are_spread_and_the_same_in_any_process():
    ages = set()
    for server in range(20):
        made = ConnectionPool(Limits(age=100 * S, age_spread=0.5), server, "n0")
        made.warm(NOW), made.settings_received(1, 100, NOW)
        ages.add(made.connections[1].retire_at - NOW)
    assert len(ages) > 15 and all(50 * S <= age <= 100 * S for age in ages)
    again = ConnectionPool(Limits(age=100 * S, age_spread=0.5), 7, "n0")
    again.warm(NOW), again.settings_received(1, 100, NOW)
    assert again.connections[1].retire_at - NOW in ages


def test_a_connection_whose_streams_run_out_is_replaced():
    made = pool(ids=10)
    for at in range(9):
        made.request_stream(at, NOW), made.stream_ended(1, True, NOW)
    assert made.request_stream(9, NOW) == [SendOnConnection(9, 1), OpenConnection(2)]


def test_reconnects_wait_longer_each_time_and_gets_are_refused_at_once_meanwhile():
    made, now, waits = ConnectionPool(Limits(), 11, "n0"), NOW, []
    for _ in range(11):
        (opened,) = made.request_stream("g", now)
        assert isinstance(opened, OpenConnection)
        assert made.connection_lost(opened.connection, False, now) == [
            RefuseRequest("g", AttemptOutcome.UNREACHABLE)
        ]
        assert made.request_stream("h", now) == [RefuseRequest("h", AttemptOutcome.UNREACHABLE)]
        waits.append(made.retry_at - now)
        now = made.retry_at
    steps = [50 * MS << n for n in range(11)]
    assert all(min(s, 5 * S) / 2 <= w <= min(s, 5 * S) for s, w in zip(steps, waits, strict=True))


def test_one_that_lets_in_and_sends_away_is_not_dialled_without_end():
    made, now = ConnectionPool(Limits(), 11, "n0"), NOW
    made.warm(now)
    made.settings_received(1, 100, now)
    assert made.goaway(1, True, now) == [CloseConnection(1, "drained")] and made.retry_at > now
    assert made.request_stream("a", now) == [
        RefuseRequest("a", AttemptOutcome.NOT_SENT)
    ]  # it is there, unlike one not reached


def test_a_ping_only_where_forwards_wait_and_nothing_is_read():
    made = pool()
    assert made.due(NOW + 2 * S) == []  # nobody waits
    made.request_stream("a", NOW + 2 * S)
    assert made.due(NOW + 2 * S + 499 * MS) == []
    assert made.due(NOW + 2 * S + 500 * MS) == [SendPing(1)]
    made.bytes_received(1, NOW + 3 * S)  # an answer to it, or anything
    assert made.due(NOW + 3 * S + 100 * MS) == []
    assert made.due(NOW + 3 * S + 500 * MS) == [SendPing(1)]
    said = made.due(NOW + 4 * S)
    assert said[0] == CloseConnection(1, "silent") and made.failures == 1


def test_settings_that_are_never_acknowledged_end_the_connection():
    made = ConnectionPool(Limits(), 11, "n0")
    made.warm(NOW), made.settings_received(1, 100, NOW)
    assert made.due(NOW + 399 * MS) == []
    assert made.due(NOW + 400 * MS) == [CloseConnection(1, "settings not acknowledged")]


def test_a_server_that_has_gone_keeps_what_is_open_and_takes_nothing_more():
    made = pool(limit=1, connections=1)
    made.request_stream("a", NOW), made.request_stream("b", NOW)
    assert made.remove(NOW) == [RefuseRequest("b", AttemptOutcome.NOT_SENT)]
    assert made.request_stream("c", NOW) == [RefuseRequest("c", AttemptOutcome.NOT_SENT)]
    assert made.stream_ended(1, True, NOW) == [CloseConnection(1, "drained")]


def test_nothing_goes_to_a_peer_that_does_not_read():
    made = pool(connections=1)
    made.set_blocked(1, True, NOW)
    assert made.request_stream("a", NOW) == []
    assert made.set_blocked(1, False, NOW) == [SendOnConnection("a", 1)]


@pytest.mark.parametrize(
    "reached, outcome", [(True, AttemptOutcome.NOT_SENT), (False, AttemptOutcome.UNREACHABLE)]
)
def test_what_waited_for_a_connection_that_never_came_is_refused(reached, outcome):
    made = ConnectionPool(Limits(), 11, "n0")
    assert made.request_stream("a", NOW) == [OpenConnection(1)]
    assert made.connection_lost(1, reached, NOW) == [RefuseRequest("a", outcome)]


class PoolMachine(RuleBasedStateMachine):
    """Any events in any order, against a second book of what is open where."""

    def __init__(self):
        super().__init__()
        self.limits = Limits(connections=3, streams=5, waiting=4, ids=12, age=20 * S, wait=200 * MS)
        self.pool, self.now, self.asked = ConnectionPool(self.limits, 11, "n0"), NOW, 0
        self.state, self.limit, self.open, self.waiting = {}, {}, {}, {}

    def do(self, said):
        for one in said:
            match one:
                case SendOnConnection(forward, number):
                    assert self.state[number] == "up", "a stream on one that takes none"
                    self.waiting.pop(forward, None)
                    self.open[number].add(forward)
                    assert len(self.open[number]) <= min(
                        self.limit[number], self.limits.streams
                    ), "over a limit"
                case OpenConnection(number):
                    assert number not in self.state and "opening" not in self.state.values()
                    self.state[number], self.open[number], self.limit[number] = "opening", set(), 0
                    assert (
                        len([s for s in self.state.values() if s != "closed"]) <= 2 * self.limits.connections
                    )
                case RefuseRequest(forward, outcome):
                    assert outcome.never_executed and not any(forward in o for o in self.open.values())
                    self.waiting.pop(forward, None)
                case SendPing(number):
                    assert self.open[number], "a PING where nobody waits"
                case CloseConnection(number, why):
                    assert not self.open[number] or why in ("silent", "settings not acknowledged")
                    self.state[number], self.open[number] = "closed", set()

    def some(self, *states):
        return sorted(n for n, s in self.state.items() if s in states)

    @rule(step=st.integers(0, 3000))
    def passes(self, step):
        self.now += step * MS
        due = self.pool.next_due()
        if due is not None and due <= self.now:
            self.do(self.pool.due(self.now))
            for forward in list(self.waiting):
                assert self.waiting[forward] + self.limits.wait > self.now, "waited longer than it may"

    @rule()
    def asks(self):
        self.asked += 1
        self.waiting[self.asked] = self.now
        self.do(self.pool.request_stream(self.asked, self.now))

    @precondition(lambda self: self.some("opening"))
    @rule(limit=st.integers(0, 8), settled=st.booleans())
    def comes_up(self, limit, settled):
        (number,) = self.some("opening")
        self.state[number], self.limit[number] = "up", limit
        self.do(self.pool.settings_received(number, limit, self.now))
        if settled and self.state[number] == "up":
            self.pool.settings_acknowledged(number)

    @precondition(lambda self: self.some("up"))
    @rule(data=st.data(), limit=st.integers(0, 8))
    def limit_changes(self, data, limit):
        number = data.draw(st.sampled_from(self.some("up")))
        self.limit[number] = limit
        self.do(self.pool.stream_limit_changed(number, limit, self.now))

    @precondition(lambda self: any(self.open.values()))
    @rule(data=st.data(), well=st.booleans())
    def stream_ends(self, data, well):
        number = data.draw(st.sampled_from(sorted(n for n, o in self.open.items() if o)))
        self.open[number].pop()
        self.do(self.pool.stream_ended(number, well, self.now))

    @precondition(lambda self: self.some("up"))
    @rule(data=st.data(), calm=st.booleans())
    def goes_away(self, data, calm):
        number = data.draw(st.sampled_from(self.some("up")))
        self.state[number] = "draining"
        self.do(self.pool.goaway(number, calm, self.now))

    @precondition(lambda self: self.some("opening", "up", "draining"))
    @rule(data=st.data(), reached=st.booleans())
    def is_lost(self, data, reached):
        number = data.draw(st.sampled_from(self.some("opening", "up", "draining")))
        self.state[number], self.open[number] = "closed", set()
        self.do(self.pool.connection_lost(number, reached, self.now))

    @precondition(lambda self: self.some("opening"))
    @rule(data=st.data())
    def can_not_be_begun_here(self, data):
        number = data.draw(st.sampled_from(self.some("opening")))
        self.state[number], self.open[number] = "closed", set()
        self.do(self.pool.connect_lacked_resources(number, self.now))

    @precondition(lambda self: self.some("up"))
    @rule(data=st.data(), blocked=st.booleans())
    def stops_reading(self, data, blocked):
        self.do(self.pool.set_blocked(data.draw(st.sampled_from(self.some("up"))), blocked, self.now))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def is_withdrawn(self, data):
        forward = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.pool.withdraw(forward)
        del self.waiting[forward]

    @rule()
    def has_gone_and_is_back(self):
        self.do(self.pool.remove(self.now))
        assert not self.waiting
        for number in self.some("up"):
            self.state[number] = "draining"
        self.pool.restore()

    @invariant()
    def the_books_agree(self):
        assert set(self.pool.waiting) == set(self.waiting)
        for number, at in self.pool.connections.items():
            assert at.open == len(self.open[number]) and self.state[number] != "closed"
        if self.waiting:
            assert self.pool.next_due() is not None, "a GET that waits without an end"


TestPool = PoolMachine.TestCase
TestPool.settings = profile(max_examples=150, stateful_step_count=60, deadline=None, derandomize=True)


def test_what_waits_for_a_connection_that_this_side_could_not_begin_waits_on():
    made = ConnectionPool(Limits(), 1, "n0")
    assert made.request_stream("a", NOW) == [OpenConnection(1)]
    assert made.connect_lacked_resources(1, NOW) == [] and made.next_due() == NOW + 10 * MS
    assert made.request_stream("b", NOW + MS) == []  # nor is what comes meanwhile refused
    assert made.due(NOW + 10 * MS) == [OpenConnection(2)]
    assert [one.attempt for one in made.settings_received(2, 100, NOW + 11 * MS)] == [
        "a",
        "b",
    ] and not made.failures


def test_what_a_lack_here_leaves_waiting_has_its_bound():
    made = ConnectionPool(Limits(), 1, "n0")
    made.request_stream("a", NOW)
    for at in range(0, 400, 10):
        for one in made.due(NOW + at * MS):
            if isinstance(one, RefuseRequest):
                assert one == RefuseRequest("a", AttemptOutcome.FULL) and at == 300
                return
            made.connect_lacked_resources(one.connection, NOW + at * MS)
        if at == 0:
            made.connect_lacked_resources(1, NOW)
    raise AssertionError("it waits for good")
