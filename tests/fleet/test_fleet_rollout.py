"""Permits, releases and gates as the log makes them; schedules of troubles; checkers that are seen to cry out."""

import itertools

import msgspec
import pytest

from sprucegate.fleet.consensus import codec, log_server
from sprucegate.fleet.consensus.durability_check import StartAnnouncement, StartConfirmation
from sprucegate.fleet.consensus.follow_messages import (
    EntriesResponse,
    FollowRequest,
    ProposeRequest,
    ProposeResponse,
    StateResponse,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration, LogEntry
from sprucegate.fleet.consensus.log_follower import ApplyCommands, LogFollower, ProposalCompleted
from sprucegate.fleet.consensus.log_server import FrontContact, LogServer
from sprucegate.fleet.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.rollout import gates
from sprucegate.fleet.rollout.follower import FrontReporter
from sprucegate.fleet.rollout.gates import AnalysisSample, GateVerdict
from sprucegate.fleet.rollout.leader import FRONT_LEASE, PERMIT_LEASE, RETURN_TIMEOUT, RolloutLeader
from sprucegate.fleet.rollout.permits import PermitStep, PermitTable
from sprucegate.fleet.rollout.releases import ReleasePhase, ReleaseTable
from sprucegate.fleet.rollout.rollout import RolloutStateMachine
from standins.fleet import rollouts

S = 1_000_000_000
WIDE = [["fleet", "", "cache", 9, 1000]]


class Log:
    """A machine and the index of its next entry."""

    def __init__(self, *budgets, caches=6, fronts=("x", "y"), spare=3000):
        self.machine, self.index = RolloutStateMachine(), 0
        self.do("limits", list(map(list, budgets)) or WIDE, [100, spare])
        self.do("boxes", [[f"c{at}", "cache", "ab"[at % 2], "std", "g", 1] for at in range(caches)])
        for name in fronts:
            self.do("front", name, 1, True)

    def do(self, *command):
        self.index += 1
        word, self.granted = self.machine.apply(self.index, list(command))
        return word

    def ask(self, box, id=None):
        return self.do("ask", id or f"r-{box}", box, "op", "test")

    def step(self, id):
        return self.machine.permits.permits[id].step

    def drained(self, id, *fronts):
        for name in fronts or tuple(self.machine.permits.fronts):
            self.do("drained", id, name, 1)

    def out(self, id):
        self.drained(id)
        assert self.do("out", id, "agent") == "out"

    def back(self, id, start="s1"):
        self.out(id)
        self.do("started", id, start)
        for name in tuple(self.machine.permits.fronts):
            self.do("warm", id, start, name, 1)

    def why(self, id):
        return self.machine.waits()[id]


@pytest.mark.parametrize(
    "budgets, wait",
    [
        ([["fleet", "", "cache", 1, 1000]], ("fleet cache", "", 1, 1)),
        ([["location", "", "cache", 1, 1000]], ("location cache", "a", 1, 1)),
        ([["location", "b", "cache", 1, 1000]], None),
        ([["kind", "", "", 1, 1000]], ("kind", "std", 1, 1)),
        ([["group", "", "cache", 9, 200]], ("group cache", "g", 1, 9)),
        ([["fleet", "", "front", 1, 1000]], None),
    ],
)
def test_each_budget_binds_in_its_scope(budgets, wait):
    log = Log(*budgets)
    log.ask("c0")
    assert [p.box for p in log.granted] == ["c0"]
    log.ask("c2")
    assert log.machine.waits().get("r-c2") == wait
    assert log.step("r-c2") is (PermitStep.GRANTED if wait is None else PermitStep.ASKED)


def test_the_last_of_a_kind_in_a_location_never_goes_whoever_asks():
    log = Log(caches=4)
    log.ask("c0", "one")
    log.ask("c2", "two")
    assert log.why("two")[0] == "last"
    log.do("stands", "c3", "unreachable")
    log.ask("c1")
    assert log.why("r-c1")[0] == "last"  # the other of its location failed by itself


def test_a_wave_is_no_wider_than_those_that_stay_can_bear():
    log = Log(caches=12, spare=500)
    for at in (0, 2, 4):
        log.ask(f"c{at}")
    # Six there: two away leave 1.8 parts to four with half a part each, three would leave 2.7 to three.
    assert log.step("r-c2") is PermitStep.GRANTED and log.why("r-c4") == ("warm", "std in a", 2, 2)


def test_what_failed_by_itself_counts_and_may_be_replaced():
    log = Log(["fleet", "", "cache", 1, 1000])
    log.do("stands", "c0", "unreachable")
    log.ask("c2")
    assert log.why("r-c2")[0] == "fleet cache"
    log.ask("c0")  # it takes its place already
    assert log.step("r-c0") is PermitStep.ASKED  # but never past who asked before for the same place
    log.do("withdraw", "r-c2")
    assert log.step("r-c0") is PermitStep.GRANTED


def test_requests_go_in_one_order_and_none_holds_what_another_waits_for():
    log = Log(["location", "", "cache", 1, 1000])
    for box in ("c0", "c2", "c4", "c1"):
        log.ask(box)
    assert log.why("r-c2")[0] == "location cache" and log.why("r-c4")[0] == "location cache"
    assert log.step("r-c1") is PermitStep.GRANTED  # no budget binds both
    log.back("r-c0")
    assert (
        log.step("r-c0") is PermitStep.BACK
        and log.step("r-c2") is PermitStep.GRANTED
        and log.step("r-c4") is PermitStep.ASKED
    )


def test_drained_is_the_word_of_all_live_fronts_or_their_fencing():
    log = Log()
    log.ask("c0")
    log.do("drained", "r-c0", "x", 7)  # another life of x
    log.do("drained", "r-c0", "x", 1)
    assert log.step("r-c0") is PermitStep.GRANTED and log.do("out", "r-c0", "agent") == "not drained"
    log.do("front", "z", 1, True)  # one that came meanwhile has to say so too
    log.do("drained", "r-c0", "y", 1)
    assert log.step("r-c0") is PermitStep.GRANTED
    log.do("front", "z", 1, False)
    assert log.step("r-c0") is PermitStep.DRAINED


def test_without_a_front_nothing_is_drained_and_nothing_is_back():
    log = Log(fronts=())
    log.ask("c0")
    log.do("stands", "c5", "")
    assert log.step("r-c0") is PermitStep.GRANTED


def test_back_is_the_word_of_most_fronts_about_that_very_start():
    log = Log(fronts=("x", "y", "z"))
    log.ask("c0")
    log.out("r-c0")
    assert log.do("started", "r-c0", "s1") == "cold"
    log.do("warm", "r-c0", "s0", "x", 1)
    log.do("warm", "r-c0", "s1", "x", 1)
    log.do("started", "r-c0", "s2")  # it fell and was started anew: what it earned is gone
    log.do("warm", "r-c0", "s2", "y", 1)
    assert log.step("r-c0") is PermitStep.COLD
    log.do("warm", "r-c0", "s2", "z", 1)
    assert log.step("r-c0") is PermitStep.BACK


def test_a_front_goes_out_by_its_own_word():
    log = Log(["fleet", "", "front", 1, 1000])
    log.do("boxes", [["x", "front", "a", "front", "g", 1], ["y", "front", "a", "front", "g", 1]])
    log.ask("x")
    log.ask("y")
    log.do("drained", "r-x", "x", 1)
    assert log.step("r-x") is PermitStep.DRAINED and log.why("r-y")[0] in ("last", "fleet front")
    log.do("out", "r-x", "agent")
    log.do("front", "x", 1, False)
    log.do("started", "r-x", "2")
    assert log.step("r-x") is PermitStep.COLD
    log.do("front", "x", 2, True)
    log.do("warm", "r-x", "2", "x", 2)
    assert log.step("r-x") is PermitStep.BACK and log.step("r-y") is PermitStep.GRANTED


def test_a_front_that_leaves_is_waited_for_no_more_and_counted_without_a_permit():
    log = Log(fronts=("x", "y", "z"))
    log.ask("c0")
    for name in "xy":
        log.do("drained", "r-c0", name, 1)
    log.do("left", "z", 1)
    log.do("front", "z", 1, True)  # it follows on until its end
    assert log.step("r-c0") is PermitStep.DRAINED and log.machine.permits.without == 1
    assert RolloutLeader(log.machine, 0).due(heard(S, "xyz"), S) == []
    log.do("front", "z", 2, True)
    assert log.machine.permits.fronts["z"] == 2


@pytest.mark.parametrize("upto", ["granted", "drained", "out", "cold"])
def test_a_holder_that_is_lost_frees_no_place_at_any_step(upto):
    log = Log(["fleet", "", "cache", 1, 1000])
    log.ask("c0")
    log.ask("c2")
    if upto != "granted":
        log.drained("r-c0")
    if upto in ("out", "cold"):
        log.do("out", "r-c0", "agent")
    if upto == "cold":
        log.do("started", "r-c0", "s1")
    log.do("late", "r-c0", 0)
    assert log.machine.permits.permits["r-c0"].overdue and log.step("r-c2") is PermitStep.ASKED
    log.do("renew", "r-c0", "another agent")
    log.do("late", "r-c0", 0)  # the leader's look before that renewal
    assert not log.machine.permits.permits["r-c0"].overdue
    log.do("give-up", "c0")
    assert log.step("r-c0") is PermitStep.GIVEN_UP and log.step("r-c2") is PermitStep.GRANTED


@pytest.mark.parametrize(
    "step, word", [("asked", "withdrawn"), ("drained", "withdrawn"), ("out", "can't be withdrawn")]
)
def test_a_request_is_withdrawn_only_before_its_box_is_stopped(step, word):
    log = Log()
    log.ask("c0")
    if step != "asked":
        log.drained("r-c0")
    if step == "out":
        log.do("out", "r-c0", "agent")
    assert log.do("withdraw", "r-c0") == word


def test_the_same_request_again_has_no_second_effect_also_after_a_later_word():
    log = Log()
    release(log)
    assert log.do("once", "q1", ["halt", "v2", "op", "to look"]) == "halted"
    assert log.do("once", "q2", ["resume", "v2", "op"]) == "resumed"
    assert log.do("once", "q1", ["halt", "v2", "op", "to look"]) == "halted"
    assert log.machine.releases.releases["v2"].phase is ReleasePhase.RUNNING
    assert log.ask("c5", "h") == "asked" and log.ask("c5", "h") in ("asked", "granted")
    assert log.ask("c5", "other") == "asked for already, as h"


def test_a_box_that_is_out_stays_listed_until_it_is_back():
    log = Log()
    log.ask("c0")
    log.out("r-c0")
    log.do("boxes", [["c1", "cache", "b", "std", "g", 1]])
    assert set(log.machine.permits.boxes) == {"c0", "c1"}


def test_the_whole_state_survives_being_packed():
    log = Log()
    release(log)
    log.do("once", "q1", ["ask", "h", "c5", "op", "by hand"])
    other = RolloutStateMachine()
    assert other.loaded(msgspec.msgpack.decode(msgspec.msgpack.encode(log.machine.told())))
    assert msgspec.msgpack.encode(other.told()) == msgspec.msgpack.encode(log.machine.told())
    assert other.apply(99, ["drained", "h", "x", 1]) == log.machine.apply(99, ["drained", "h", "x", 1])
    assert other.told() == log.machine.told()
    assert not RolloutStateMachine().loaded([2])


# Releases.


def release(log, name="v2", waves=(("c0",), ("c1", "c2"), ("c3",)), kind="std"):
    return log.do("release", [name, kind, "2", "1", [list(w) for w in waves], 10 * S], "op")


def through(log, *boxes, turn=0, name="v2"):
    for box in boxes:
        log.back(f"{name}/{turn}/{box}", start=f"{turn}-{box}")


def test_a_release_goes_wave_by_wave_each_after_its_gate():
    log = Log()
    assert release(log) == "started" and release(log) == "started already"
    through(log, "c0")
    assert "v2/0/c1" not in log.machine.permits.permits
    log.do("gate", "v2", 0, 0, True, "")
    through(log, "c1", "c2")
    log.do("gate", "v2", 0, 0, True, "")  # a look at the wave before
    assert log.machine.releases.releases["v2"].wave == 1
    log.do("gate", "v2", 0, 1, True, "")
    through(log, "c3")
    log.do("gate", "v2", 0, 2, True, "")
    assert log.machine.releases.releases["v2"].phase is ReleasePhase.DONE


def test_a_gate_that_fails_halts_and_what_was_granted_and_is_not_out_stays():
    log = Log()
    release(log)
    through(log, "c0")
    log.do("gate", "v2", 0, 0, True, "")
    log.out("v2/0/c1")
    log.do("gate", "v2", 0, 1, False, "errors: 0.02 beside 0")
    one = log.machine.releases.releases["v2"]
    assert (
        one.phase is ReleasePhase.HALTED
        and "errors" in one.why
        and log.step("v2/0/c2") is PermitStep.WITHDRAWN
    )
    assert log.do("halt", "v2", "op", "again") == "halted" and "errors" in one.why
    log.do("started", "v2/0/c1", "s")
    for name in "xy":
        log.do("warm", "v2/0/c1", "s", name, 1)
    assert one.done == ["c0", "c1"] and "v2/1/c2" not in log.machine.permits.permits
    log.do("resume", "v2", "op")
    assert log.step("v2/1/c2") is PermitStep.GRANTED


def test_the_way_back_takes_the_released_under_the_same_budgets():
    log = Log(["fleet", "", "cache", 1, 1000])
    release(log)
    through(log, "c0")
    log.do("gate", "v2", 0, 0, True, "")
    log.out("v2/0/c1")
    assert log.do("back", "v2", "op") == "goes back" and log.do("back", "v2", "op") == "goes back"
    log.do("started", "v2/0/c1", "s")  # it comes back with the new version, and goes out once more
    for name in "xy":
        log.do("warm", "v2/0/c1", "s", name, 1)
    one = log.machine.releases.releases["v2"]
    versions = {}
    while one.ahead:
        permit = next(p for p in log.machine.permits.of_box.values() if p.step is PermitStep.GRANTED)
        versions[permit.box] = permit.version
        log.back(permit.id, start=f"back-{permit.box}")
    assert one.phase is ReleasePhase.RETURNED and versions == {"c0": "1", "c1": "1"} and one.done == []


def test_a_halt_holds_on_the_way_back_and_a_release_of_the_same_kind_waits_for_its_end():
    log = Log()
    release(log)
    through(log, "c0")
    log.do("back", "v2", "op")
    assert log.do("halt", "v2", "op", "wait") == "halted" and log.step("v2/1/c0") is PermitStep.WITHDRAWN
    assert release(log, "v3") == "v2 of the same kind is not over"
    assert log.do("resume", "v2", "op") == "resumed"
    through(log, "c0", turn=2)
    assert (
        log.machine.releases.releases["v2"].phase is ReleasePhase.RETURNED and release(log, "v3") == "started"
    )


def test_a_done_release_goes_back_until_another_begins_on_top():
    log = Log()
    release(log, waves=(("c0",),))
    through(log, "c0")
    log.do("gate", "v2", 0, 0, True, "")
    assert log.do("halt", "v2", "op", "late") == "no such release is under way"
    assert log.do("back", "v2", "op") == "goes back"
    through(log, "c0", turn=1)
    assert log.machine.releases.releases["v2"].phase is ReleasePhase.RETURNED


def test_a_trouble_makes_releases_wait_and_neither_hand_drains_nor_the_way_back():
    log = Log()
    log.do("trouble", "origin", "slow at 3 of 3 fronts")
    release(log)
    assert log.why("v2/0/c0")[:2] == ("trouble", "origin")
    log.ask("c5")
    assert log.step("r-c5") is PermitStep.GRANTED
    log.do("trouble", "origin", "")
    assert log.step("v2/0/c0") is PermitStep.GRANTED


def test_a_box_that_is_given_up_holds_up_no_wave():
    log = Log()
    release(log)
    log.out("v2/0/c0")
    log.do("give-up", "c0")
    log.do("gate", "v2", 0, 0, True, "")
    assert log.machine.releases.releases["v2"].wave == 1


@pytest.mark.parametrize(
    "waves, word",
    [
        ((), "a box stands in two waves, or none is named"),
        ((("c0",), ("c0",)), "a box stands in two waves, or none is named"),
        ((("c0", "c77"),), "no such box: c77"),
        (
            (("c0", "c1", "c2", "c3", "c4", "c5"),),
            "no such plan: a gate holds the first wave against boxes beside it, and there is none",
        ),
    ],
)
def test_a_plan_that_can_not_be_is_refused(waves, word):
    assert release(Log(), waves=waves) == word


# Gates.


def seen(gets, errors=0, sheds=0, late=0, misses=0, crashes=0):
    return AnalysisSample(gets, (errors, sheds, late, misses, crashes))


@pytest.mark.parametrize(
    "released, others, starts, baked, said, by",
    [
        (seen(2000, late=20), seen(20_000, late=200), 1, True, GateVerdict.PASS, ""),
        (seen(2000, errors=40), seen(20_000), 1, False, GateVerdict.FAIL, "errors"),
        (seen(2000, late=600), seen(20_000, late=200), 1, False, GateVerdict.FAIL, "late"),
        (seen(100, late=1), seen(20_000, late=200), 1, True, GateVerdict.INCONCLUSIVE, "gets"),
        (seen(2000, late=20), seen(20_000, late=200), 1, False, GateVerdict.INCONCLUSIVE, "gets"),
        (
            seen(300, errors=3),
            seen(20_000),
            1,
            True,
            GateVerdict.INCONCLUSIVE,
            "errors",
        ),  # may be chance: no pass and no halt
        (seen(0), seen(20_000), 1, True, GateVerdict.INCONCLUSIVE, "gets"),
        (seen(2000), seen(20_000), 3, True, GateVerdict.FAIL, "starts"),
        (seen(2000, crashes=1), seen(20_000), 1, True, GateVerdict.FAIL, "crashes"),
    ],
)
def test_a_gate_by_counts_of_both_sides(released, others, starts, baked, said, by):
    assert gates.evaluate(released, others, starts, baked, gates.GateLimits())[:2] == (said, by)


def test_the_interval_of_a_difference_is_newcombes():
    # His example (method 10, 95%): 56 of 70 and 48 of 80 differ by 0.0524 to 0.3339.
    least, most = gates.difference_interval(56, 70, 48, 80, 0.025)
    assert round(least, 4) == 0.0524 and round(most, 4) == 0.3339


# The leader.


def heard(now, fronts=("x", "y"), rows=(), down=(), troubles=None):
    return {name: FrontContact(1, now, [list(rows), list(down), troubles or {}], now) for name in fronts}


def test_a_front_is_counted_in_when_heard_and_out_after_its_lease_with_a_halt():
    log = Log()
    release(log)
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(heard(S, "xyz"), S) == [["front", "z", 1, True]]
    late = leading.due(heard(S, "x") | heard(9 * S, "y"), S + FRONT_LEASE)
    assert late[0] == ["front", "x", 1, False] and late[1][:2] == ["halt", "v2"] and len(late) == 2
    # A new leader has heard nobody yet: it counts from its election on.
    assert RolloutLeader(log.machine, 100 * S).due({}, 100 * S + FRONT_LEASE - 1) == []


def test_a_permit_that_is_not_renewed_is_late_and_halts_its_release():
    log = Log()
    release(log)
    leading = RolloutLeader(log.machine, 0)
    leading.due(heard(0), 0)
    assert leading.due(heard(PERMIT_LEASE), PERMIT_LEASE) == [
        ["late", "v2/0/c0", 0],
        ["halt", "v2", "fleet", "whoever replaces c0 is lost"],
    ]


def test_a_released_box_that_does_not_come_back_halts_its_release():
    log = Log()
    release(log)
    log.out("v2/0/c0")
    leading = RolloutLeader(log.machine, 0)
    for at in range(0, RETURN_TIMEOUT, 10 * S):
        assert leading.due(heard(at), at) == []
        log.do("renew", "v2/0/c0", "agent")
    assert leading.due(heard(RETURN_TIMEOUT), RETURN_TIMEOUT) == [
        ["halt", "v2", "fleet", "c0 does not come back"]
    ]


def test_what_most_fronts_miss_is_out_by_itself_and_comes_back_by_them():
    log, now = Log(), S
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(heard(now, "x", down=["c3"]) | heard(now, "y"), now) == []
    assert leading.due(heard(now, down=["c3"]), now) == [["stands", "c3", "unreachable"]]
    log.do("stands", "c3", "unreachable")
    assert leading.due(heard(now), now) == [["stands", "c3", ""]]


def test_a_box_fails_and_comes_back_by_most_of_all_fronts_heard_since_the_election_alone():
    """A new leader that has heard few fronts, or has their words of before, knows nothing of a box."""
    log, now = Log(fronts="vwxyz"), 10 * S
    leading = RolloutLeader(log.machine, now)
    assert leading.due(heard(now, "v", down=["c3"]), now) == []  # one of five
    old = {
        name: row._replace(at=now + S, reported_at=now - S)
        for name, row in heard(now, "vwxyz", down=["c3"]).items()
    }
    assert leading.due(old, now + S) == []  # heard anew, but not of the boxes
    said = leading.due(heard(now + S, "vwx", down=["c3"]) | heard(now, "yz"), now + S)
    assert said == [["stands", "c3", "unreachable"]]
    log.do(*said[0])
    assert leading.due(heard(now + 2 * S, "vw"), now + 2 * S) == []  # nor that it is back
    assert leading.due(heard(now + 2 * S, "vwx"), now + 2 * S) == [["stands", "c3", ""]]


def test_a_permit_that_was_free_is_charged_once_its_box_is_back():
    budgets = (
        ["fleet", "", "cache", 1, 1000],
        ["location", "", "cache", 1, 1000],
        ["fleet", "", "cache", 9, 200],
    )
    for budget, upto in itertools.product(budgets, ("granted", "drained")):
        log = Log(budget)
        log.ask("c0")
        log.do("stands", "c2", "unreachable")
        log.ask("c2")  # it takes its place already, as it failed by itself
        assert log.step("r-c2") is PermitStep.GRANTED
        if upto == "drained":
            log.drained("r-c2")
        log.do("stands", "c2", "")
        assert log.step("r-c2") is PermitStep.ASKED and log.do("out", "r-c2", "agent") == "not drained"
        assert log.machine.drained().keys() == {"c0"}
        log.back("r-c0")
        assert log.step("r-c2") is PermitStep.GRANTED  # it was held back, not refused


def test_a_free_permit_stays_where_there_is_room_or_its_box_has_gone_out():
    log = Log(["fleet", "", "cache", 2, 1000])
    for box in ("c0", "c2"):
        log.do("stands", box, "unreachable")
        log.ask(box)
    log.out("r-c2")
    for box in ("c0", "c2"):
        log.do("stands", box, "")
    assert (log.step("r-c0"), log.step("r-c2")) == (PermitStep.GRANTED, PermitStep.OUT)


def test_a_free_permit_goes_out_only_where_those_out_by_permit_leave_it_a_place():
    log = Log(["fleet", "", "cache", 1, 1000])
    log.ask("c0")
    log.do("stands", "c2", "unreachable")
    log.ask("c2")
    log.drained("r-c0")
    log.drained("r-c2")
    assert (
        log.do("out", "r-c2", "agent") == "held back: fleet cache" and log.step("r-c2") is PermitStep.DRAINED
    )
    log.back("r-c0")
    assert log.do("out", "r-c2", "agent") == "out"


def test_boxes_that_all_failed_by_themselves_go_out_in_turn():
    log = Log(["fleet", "", "cache", 1, 1000])
    for box in ("c0", "c2"):
        log.do("stands", box, "unreachable")
        log.ask(box)
        log.drained(f"r-{box}")
    assert log.do("out", "r-c0", "agent") == "out"
    assert log.do("out", "r-c2", "agent") == "held back: fleet cache"
    log.do("started", "r-c0", "s1")
    for name in "xy":
        log.do("warm", "r-c0", "s1", name, 1)
    assert log.do("out", "r-c2", "agent") == "out"


@pytest.mark.parametrize("seed", [26, 368])
def test_a_box_that_comes_back_by_itself_goes_out_within_the_budget(seed):
    world = rollouts.played(seed, 5, 4, 9, loss=0.1)
    assert rollouts.broken(world.trace, 9) == []


def test_a_fronts_free_permit_is_charged_once_it_follows_again():
    log = Log(["fleet", "", "front", 1, 1000], fronts=("x", "y", "z"))
    log.do("boxes", [[name, "front", "a", "front", "g", 1] for name in "xyz"])
    log.do("front", "x", 1, False)  # its lease ended
    log.ask("x")
    assert log.step("r-x") is PermitStep.GRANTED
    log.ask("y")
    assert log.step("r-y") is PermitStep.ASKED
    log.do("front", "x", 2, True)
    assert log.step("r-x") in (PermitStep.GRANTED, PermitStep.DRAINED)  # the one place there is
    log.do("front", "z", 1, False)
    log.do("front", "x", 2, False)
    log.do("front", "x", 3, True)
    assert log.step("r-x") is PermitStep.ASKED  # the lost one takes it


def test_seed_133_no_more_boxes_go_out_than_the_budgets_allow():
    world = rollouts.played(133, 5, 4, 9, loss=0.1, span=25 * S)
    assert rollouts.over_budget(world.trace) == []


def test_a_trouble_that_most_fronts_tell_is_one():
    log = Log()
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(heard(0, troubles={"origin": "slow"}), 0) == [["trouble", "origin", "2 of 2 fronts"]]
    log.do("trouble", "origin", "2 of 2 fronts")
    assert leading.due(heard(0), 0) == [["trouble", "origin", ""]]


@pytest.mark.parametrize("late, passed", [(1, True), (40, False)])
def test_the_leader_holds_the_released_against_the_others_since_the_wave_began(late, passed):
    log = Log()
    release(log)
    leading = RolloutLeader(log.machine, 0)

    def rows(gets, bad):
        return [[f"c{at}", gets, 0, 0, bad if at == 0 else 1 * gets // 100, 0, 1] for at in range(6)]

    leading.due(heard(0, rows=rows(50_000, 9000)), 0)  # what was before the release is nobody's here
    through(log, "c0")
    assert leading.due(heard(S, rows=rows(50_000, 9000)), S) == []
    early = leading.due(heard(9 * S, rows=rows(50_100, 9000 + late)), 9 * S)
    done = early or leading.due(heard(12 * S, rows=rows(51_000, 9000 + late * 10)), 12 * S)
    assert bool(early) is not passed  # a fail needs no bake, a pass does
    assert [c[:5] for c in done] == [["gate", "v2", 0, 0, passed]]


# Fronts and keepers.


def test_a_front_says_that_it_is_drained_once_it_is_and_again_until_it_stands_in_the_log():
    log = Log()
    log.ask("c0")
    words = FrontReporter("x", 1)
    assert words.due(log.machine, {}, None, 0) == []
    assert words.due(log.machine, {"c0": 1}, None, 0) == [["drained", "r-c0", "x", 1]]
    assert words.due(log.machine, {"c0": 1}, None, S // 2) == []
    assert words.due(log.machine, {"c0": 1}, None, 2 * S) == [["drained", "r-c0", "x", 1]]
    log.out("r-c0")
    log.do("started", "r-c0", "s")
    assert words.due(log.machine, {}, lambda box, start: start == "s", 3 * S) == [
        ["warm", "r-c0", "s", "x", 1]
    ]


def test_a_follower_finds_the_leader_and_its_lease_counts_from_its_question():
    one = LogFollower(["k0", "k1", "k2"], 1, RandomSource("x", 1), 0, 5 * S)
    asked = one.on_timer(0)[0]
    other = next(k for k in one.voters if k != asked.to)
    assert (
        one.on_message(asked.to, EntriesResponse(asked.message.number, 0, [], 0, False, other), S // 10) == []
    )
    asked = one.on_timer(S // 10)[0]
    assert asked.to == other and one.is_fenced(S // 10)
    done = one.on_message(other, EntriesResponse(asked.message.number, 0, [[1, None]], 1, True, other), 3 * S)
    assert (
        done == [ApplyCommands([[1, None]])] and not one.is_fenced(5 * S) and one.is_fenced(S // 10 + 5 * S)
    )
    again = EntriesResponse(asked.message.number, 1, [[2, None]], 2, True, other)
    assert one.on_message(other, again, 9 * S) == []


def test_a_request_ends_with_a_word_or_without_one_in_its_time():
    one = LogFollower(["k0"], 1, RandomSource("x", 1), 0, 5 * S)
    one.on_timer(0)
    sent = one.propose(["ask"], "t1", S, 2 * S)
    assert [type(a.message) for a in sent] == [ProposeRequest]
    assert one.on_message("k0", ProposeResponse(1, 4, "asked", ""), S) == [
        ProposalCompleted("t1", "asked", 4)
    ]
    one.propose(["ask"], "t2", S, 2 * S)
    assert ProposalCompleted("t2", "", 0) in one.on_timer(3 * S)


def serving(now=0):
    keeper = RaftNode("k0", ClusterConfiguration(("k0",), ()), RandomSource("k0", 1), now)
    return keeper, LogServer(keeper, RolloutStateMachine())


def test_a_keeper_answers_with_entries_or_its_whole_state_and_leads_only_in_touch():
    keeper, one = serving()
    one.on_committed([LogEntry(n, 1, "data", ["front", f"f{n}", 1, True]) for n in range(1, 1500)])
    near = one.on_message("x", FollowRequest(1400, 1, 5, []), S)[0].message
    assert [e[0] for e in near.entries] == list(range(1401, 1500)) and not near.is_leader
    far = one.on_message("x", FollowRequest(3, 1, 6, []), S)[0].message
    assert far.index == 1499 and far.state[1] == 1499
    assert one.on_message("x", ProposeRequest(1, ["ask"]), S)[0].message == ProposeResponse(1, 0, "", "")
    assert (
        set(one.contacts) == {"x"}
        and not one.on_message("agent", FollowRequest(1499, 0, 1, []), S)[0].message.is_leader
    )
    assert set(one.contacts) == {"x"}  # an agent is no front: nobody waits for its word


# On the way.

CONFIG = ClusterConfiguration(("k0", "k1"), ())
SAID = [
    RequestVote(1, 2, 1, True, False),
    RequestVoteResponse(2, True, False),
    AppendEntries(3, 4, 2, [LogEntry(5, 3, "data", ["ask", "h"]), LogEntry(6, 3, "config", CONFIG)], 4, 9),
    AppendEntriesResponse(3, True, 6, 9),
    InstallSnapshot(3, 9, 2, CONFIG, b"state", 1),
    TimeoutNow(4),
    FollowRequest(7, 1 << 40, 2, ([("c0", 1, 2, 3, 4, 5, 6)], ["c1"], {"origin": "rests"})),
    EntriesResponse(1, 2, [(3, ["ask", "h"]), (4, None)], 5, True, "k1"),
    StateResponse(1, 9, [1, 9], True, "k1"),
    ProposeRequest(1, ["halt", "v2", "op", "why"]),
    ProposeResponse(1, 0, "", "k1"),
    StartAnnouncement(2, 77, {"k1": (3, 5)}),
    StartConfirmation(2, 77, False, True, {}),
]


def test_each_word_of_the_log_comes_as_it_went():
    assert [codec.decode(*codec.encode(said)) for said in SAID] == SAID
    assert {type(said) for said in SAID} == {kind.message for kind in codec.KIND_BY_NUMBER.values()}


@pytest.mark.parametrize(
    "said",
    [
        ProposeRequest(1, ["grant", "h"]),
        ProposeRequest(1, ["ask", "h"]),
        ProposeRequest(1, ["ask", "h", "c0", "op", "x" * 201]),
        ProposeRequest(1, ["once", "q", ["once", "r", ["withdraw", "h"]]]),
        ProposeRequest(1, ["once", "", ["withdraw", "h"]]),
        ProposeRequest(
            1, ["ask", "h", "c0", "op", "why", "v2", "2"]
        ),  # a release's own request is no operator's
        AppendEntries(3, 4, 2, [LogEntry(6, 3, "data", None)], 4, 9),
        InstallSnapshot(1, 2, 3, (1, 2), b"", 4),
    ],
)
def test_a_word_that_would_trip_all_is_refused_at_the_door(said):
    with pytest.raises(codec.ConsensusMessageError):
        codec.decode(*codec.encode(said))


@pytest.mark.parametrize("number, data", [(0, b""), (99, b""), (1, b"\xc1"), (1, b"\x90")])
def test_bytes_that_are_no_word_are_refused(number, data):
    with pytest.raises(codec.ConsensusMessageError):
        codec.decode(number, data)


def test_who_reports_of_boxes_that_are_none_or_under_many_names_fills_no_memory(monkeypatch):
    log = Log()
    release(log)
    leading = RolloutLeader(log.machine, 0)
    for at in range(50):
        leading.due(heard(at * S, rows=[[f"none-{at}-{n}", at, 0, 0, 0, 0, 1] for n in range(20)]), at * S)
    assert (
        not leading.totals and not leading.starts and all(not rows for *_, rows in leading.reports.values())
    )
    monkeypatch.setattr(log_server, "FOLLOWERS_MAX", 5)
    _, one = serving()
    for at in range(50):
        one.on_message(f"n{at}", FollowRequest(0, 1, at, []), at)
    assert list(one.contacts) == [f"n{at}" for at in range(45, 50)]


# Whole fleets under troubles.


@pytest.mark.parametrize("seed", [1, 2, 5, 20])
def test_no_promise_breaks_under_troubles(seed):
    assert rollouts.broken(rollouts.played(seed, (3, 5)[seed % 2], loss=(0, 0.1, 0.3)[seed % 3]).trace) == []


@pytest.mark.parametrize("seed", [1040, 1840])
def test_a_halt_that_comes_before_its_release_is_refused_and_is_no_halt(seed):
    world = rollouts.played(seed, 3, 4, 9, loss=(0, 0.1, 0.3)[seed % 3], span=25 * S)
    assert rollouts.broken(world.trace, 9) == []


def test_the_same_seed_gives_the_same_trace():
    assert rollouts.played(4, span=12 * S).trace == rollouts.played(4, span=12 * S).trace


def small(*commands, until=25, waves=None):
    """Six caches; commands by an operator half a second apart, and time to settle."""

    def made(seed):
        world = rollouts.Fleet(3, 3, 6, seed)
        if waves is not None:
            world.at(2 * S, world.operator, "n0", "release", ["v2", "std", "2", "1", waves, 2 * S], "op")
        for at, command in enumerate(commands):
            world.at(3 * S + at * S // 2, world.operator, "n1", *command)
        world.run(until * S)
        rollouts.settle(world, patience=10 * S)
        return world

    return made


EARLY = (
    "due",
    lambda self, machine, drained, warm, now, real=FrontReporter.due: real(
        self, machine, {p.box: 1 for p in machine.permits.of_box.values()}, warm, now
    ),
)
ANY = ("blocked_by", lambda self, permit, out=None: None)
SOWN = [
    ("over_budget", PermitTable, *ANY, small(waves=[["c0", "c1", "c2", "c3", "c4"]])),
    ("last_gone", PermitTable, *ANY, small(("ask", "h", "c0", "op", ""), ("ask", "i", "c3", "op", ""))),
    # A front that looks for its drains every three seconds, and says at once that it has them.
    ("sent_to_drained", FrontReporter, *EARLY, small(("ask", "h", "c0", "op", ""))),
    (
        "granted_halted",
        ReleaseTable,
        "allows",
        lambda self, permit: True,
        small(("halt", "v2", "op", ""), waves=[["c0", "c1", "c2", "c3", "c4"]]),
    ),
    (
        "without_end",
        PermitTable,
        "report_warm",
        lambda self, id, start, front, life: None,
        small(("ask", "h", "c0", "op", ""), until=10),
    ),
]


@pytest.mark.parametrize("check, of, name, defect, world", SOWN, ids=[s[0] for s in SOWN])
def test_each_checker_cries_out_at_a_sown_defect(check, of, name, defect, world, monkeypatch):
    assert rollouts.broken(world(1).trace, 6) == [] or check == "granted_halted"
    monkeypatch.setattr(of, name, defect)
    if check == "granted_halted":
        monkeypatch.setattr(ReleaseTable, "_withdraw_permits", lambda self, release: None)
    if check == "sent_to_drained":
        monkeypatch.setattr(rollouts.Front, "turn", _late_turn)
    assert check in {name for name, _ in rollouts.broken(world(1).trace, 6)}


def _late_turn(self, now, turn=rollouts.Front.turn):
    """A front that looks at the log for its drains every three seconds only."""
    if now - getattr(self, "looked", 0) > 3 * S or not hasattr(self, "drained_then"):
        self.looked, self.drained_then = now, self.machine.drained()
    real, self.machine.drained = self.machine.drained, lambda: self.drained_then
    try:
        return turn(self, now)
    finally:
        self.machine.drained = real


def test_the_checker_of_machines_cries_out():
    assert rollouts.machines_apart([(1, "k0", "dump-machine", 5, "a"), (1, "k1", "dump-machine", 5, "b")])


@pytest.mark.parametrize("seed", range(3))
def test_no_promise_breaks_where_clocks_go_apart(seed):
    assert rollouts.broken(rollouts.played(seed, 3, 6, 12, 0.1, apart=0.001).trace) == []


@pytest.mark.parametrize("fast, slow, cries", [(1.001, 0.999, False), (2.0, 0.3, True)])
def test_a_lease_holds_under_the_drift_that_is_stated_and_its_checker_under_none_that_is_not(
    fast, slow, cries
):
    """A front with a slow clock is cut off from keepers with fast ones while a box is drained."""

    class Apart(rollouts.Fleet):
        def clock(self, name):
            return int(self.now * (fast if name in self.keepers else slow if name == "n0" else 1))

        def when(self, name, due):
            return (
                self.now
                + int(
                    (due - self.clock(name))
                    / (fast if name in self.boxes and name[0] == "k" else (slow if name == "n0" else 1))
                )
                + 1
            )

    world = Apart(3, 2, 4, 5)
    keepers = [f"k{at}" for at in range(3)]
    world.at(6 * S, world.cut.update, {pair for k in keepers for pair in (("n0", k), (k, "n0"))})
    world.at(6 * S + S // 5, world.operator, "n1", "ask", "h", "c0", "op", "")
    world.run(25 * S)
    assert any(what == "down" and name == "c0" for _, name, what, *_ in world.trace)
    assert bool(rollouts.sent_to_drained(world.trace)) is cries
