"""Permits, releases and gates of the replicated log; simulated fleets with faults; checks of the invariant checkers."""

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
from sprucegate.fleet.rollout.disruption import DisruptionCounts
from sprucegate.fleet.rollout.follower import FrontReporter
from sprucegate.fleet.rollout.gates import AnalysisSample, GateVerdict
from sprucegate.fleet.rollout.leader import FRONT_LEASE, PERMIT_LEASE, RETURN_TIMEOUT, RolloutLeader
from sprucegate.fleet.rollout.permit import PermitStep
from sprucegate.fleet.rollout.permits import PermitTable
from sprucegate.fleet.rollout.releases import ReleasePhase, ReleaseTable
from sprucegate.fleet.rollout.rollout import RolloutStateMachine
from standins.fleet import rollouts

S = 1_000_000_000
WIDE = [["fleet", "", "cache", 9, 1000]]


class Log:
    """A state machine, with the index of its latest entry."""

    def __init__(self, *budgets, caches=6, fronts=("x", "y"), spare=3000):
        self.machine, self.index = RolloutStateMachine(), 0
        self.do("limits", list(map(list, budgets)) or WIDE, [100, spare])
        self.do("boxes", [[f"c{at}", "cache", "ab"[at % 2], "std", "g", 1] for at in range(caches)])
        for name in fronts:
            self.do("front", name, 1, True)

    def do(self, *command):
        self.index += 1
        answer, self.granted = self.machine.apply(self.index, list(command))
        return answer

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


def test_the_last_server_of_a_kind_in_a_location_gets_no_permit():
    log = Log(caches=4)
    log.ask("c0", "one")
    log.ask("c2", "two")
    assert log.why("two")[0] == "last"
    log.do("stands", "c3", "unreachable")
    log.ask("c1")
    assert log.why("r-c1")[0] == "last"  # the other one in its location has failed


def test_caches_in_service_must_be_able_to_take_the_load_of_those_out():
    log = Log(caches=12, spare=500)
    for at in (0, 2, 4):
        log.ask(f"c{at}")
    # Six caches: two out leave 1.8 times the load of one to four with half a load to spare each, three would leave 2.7
    # to three.
    assert log.step("r-c2") is PermitStep.GRANTED and log.why("r-c4") == ("warm", "std in a", 2, 2)


def test_a_failed_server_counts_against_the_budget_and_may_be_replaced():
    log = Log(["fleet", "", "cache", 1, 1000])
    log.do("stands", "c0", "unreachable")
    log.ask("c2")
    assert log.why("r-c2")[0] == "fleet cache"
    log.ask("c0")  # it counts against the budget already
    assert log.step("r-c0") is PermitStep.ASKED  # but not before an earlier request of the same budget
    log.do("withdraw", "r-c2")
    assert log.step("r-c0") is PermitStep.GRANTED


def test_requests_are_granted_in_order_within_a_budget():
    log = Log(["location", "", "cache", 1, 1000])
    for box in ("c0", "c2", "c4", "c1"):
        log.ask(box)
    assert log.why("r-c2")[0] == "location cache" and log.why("r-c4")[0] == "location cache"
    assert log.step("r-c1") is PermitStep.GRANTED  # no budget applies to both
    log.back("r-c0")
    assert (
        log.step("r-c0") is PermitStep.BACK
        and log.step("r-c2") is PermitStep.GRANTED
        and log.step("r-c4") is PermitStep.ASKED
    )


def test_a_box_is_drained_once_all_live_fronts_report_it_or_are_fenced():
    log = Log()
    log.ask("c0")
    log.do("drained", "r-c0", "x", 7)  # another incarnation of x
    log.do("drained", "r-c0", "x", 1)
    assert log.step("r-c0") is PermitStep.GRANTED and log.do("out", "r-c0", "agent") == "not drained"
    log.do("front", "z", 1, True)  # a front that joined meanwhile has to report it too
    log.do("drained", "r-c0", "y", 1)
    assert log.step("r-c0") is PermitStep.GRANTED
    log.do("front", "z", 1, False)
    assert log.step("r-c0") is PermitStep.DRAINED


def test_without_a_front_no_permit_advances():
    log = Log(fronts=())
    log.ask("c0")
    log.do("stands", "c5", "")
    assert log.step("r-c0") is PermitStep.GRANTED


def test_a_box_is_back_once_a_majority_reports_its_latest_start_as_warm():
    log = Log(fronts=("x", "y", "z"))
    log.ask("c0")
    log.out("r-c0")
    assert log.do("started", "r-c0", "s1") == "cold"
    log.do("warm", "r-c0", "s0", "x", 1)
    log.do("warm", "r-c0", "s1", "x", 1)
    log.do("started", "r-c0", "s2")  # it crashed and was started again: earlier reports no longer count
    log.do("warm", "r-c0", "s2", "y", 1)
    assert log.step("r-c0") is PermitStep.COLD
    log.do("warm", "r-c0", "s2", "z", 1)
    assert log.step("r-c0") is PermitStep.BACK


def test_a_front_reports_its_own_drain_and_return():
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


def test_nobody_waits_for_a_front_that_left_and_one_without_a_permit_is_counted():
    log = Log(fronts=("x", "y", "z"))
    log.ask("c0")
    for name in "xy":
        log.do("drained", "r-c0", name, 1)
    log.do("left", "z", 1)
    log.do("front", "z", 1, True)  # it still follows the log until it ends
    assert log.step("r-c0") is PermitStep.DRAINED and log.machine.permits.left_without_permit == 1
    assert RolloutLeader(log.machine, 0).due(contacts(S, "xyz"), S) == []
    log.do("front", "z", 2, True)
    assert log.machine.permits.fronts["z"] == 2


@pytest.mark.parametrize("upto", ["granted", "drained", "out", "cold"])
def test_a_permit_whose_holder_is_lost_still_counts_at_any_step(upto):
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
    log.do("late", "r-c0", 0)  # based on what the leader saw before that renewal
    assert not log.machine.permits.permits["r-c0"].overdue
    log.do("give-up", "c0")
    assert log.step("r-c0") is PermitStep.GIVEN_UP and log.step("r-c2") is PermitStep.GRANTED


@pytest.mark.parametrize(
    "step, answer", [("asked", "withdrawn"), ("drained", "withdrawn"), ("out", "can't be withdrawn")]
)
def test_a_permit_can_be_withdrawn_only_before_its_box_is_stopped(step, answer):
    log = Log()
    log.ask("c0")
    if step != "asked":
        log.drained("r-c0")
    if step == "out":
        log.do("out", "r-c0", "agent")
    assert log.do("withdraw", "r-c0") == answer


def test_a_repeated_request_has_no_second_effect_even_after_a_later_one():
    log = Log()
    start_release(log)
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


def test_the_state_is_the_same_after_storing_and_loading():
    log = Log()
    start_release(log)
    log.do("once", "q1", ["ask", "h", "c5", "op", "by hand"])
    other = RolloutStateMachine()
    assert other.restore(msgspec.msgpack.decode(msgspec.msgpack.encode(log.machine.snapshot())))
    assert msgspec.msgpack.encode(other.snapshot()) == msgspec.msgpack.encode(log.machine.snapshot())
    assert other.apply(99, ["drained", "h", "x", 1]) == log.machine.apply(99, ["drained", "h", "x", 1])
    assert other.snapshot() == log.machine.snapshot()
    assert not RolloutStateMachine().restore([2])


# Releases.


def start_release(log, name="v2", waves=(("c0",), ("c1", "c2"), ("c3",)), kind="std"):
    return log.do("release", [name, kind, "2", "1", [list(w) for w in waves], 10 * S], "op")


def replace(log, *boxes, turn=0, name="v2"):
    for box in boxes:
        log.back(f"{name}/{turn}/{box}", start=f"{turn}-{box}")


def test_each_wave_begins_after_the_gate_of_the_one_before():
    log = Log()
    assert start_release(log) == "started" and start_release(log) == "started already"
    replace(log, "c0")
    assert "v2/0/c1" not in log.machine.permits.permits
    log.do("gate", "v2", 0, 0, True, "")
    replace(log, "c1", "c2")
    log.do("gate", "v2", 0, 0, True, "")  # a late result, of the previous wave
    assert log.machine.releases.releases["v2"].wave == 1
    log.do("gate", "v2", 0, 1, True, "")
    replace(log, "c3")
    log.do("gate", "v2", 0, 2, True, "")
    assert log.machine.releases.releases["v2"].phase is ReleasePhase.DONE


def test_a_failed_gate_halts_the_release_and_withdraws_permits_of_boxes_not_yet_out():
    log = Log()
    start_release(log)
    replace(log, "c0")
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


def test_a_rollback_replaces_the_released_boxes_under_the_same_budgets():
    log = Log(["fleet", "", "cache", 1, 1000])
    start_release(log)
    replace(log, "c0")
    log.do("gate", "v2", 0, 0, True, "")
    log.out("v2/0/c1")
    assert log.do("back", "v2", "op") == "goes back" and log.do("back", "v2", "op") == "goes back"
    log.do("started", "v2/0/c1", "s")  # it returns with the new version, and goes out again
    for name in "xy":
        log.do("warm", "v2/0/c1", "s", name, 1)
    one = log.machine.releases.releases["v2"]
    versions = {}
    while one.to_roll_back:
        permit = next(p for p in log.machine.permits.open_by_box.values() if p.step is PermitStep.GRANTED)
        versions[permit.box] = permit.version
        log.back(permit.id, start=f"back-{permit.box}")
    assert one.phase is ReleasePhase.RETURNED and versions == {"c0": "1", "c1": "1"} and one.done == []


def test_a_rollback_can_be_halted_and_the_next_release_of_the_kind_waits_for_its_end():
    log = Log()
    start_release(log)
    replace(log, "c0")
    log.do("back", "v2", "op")
    assert log.do("halt", "v2", "op", "wait") == "halted" and log.step("v2/1/c0") is PermitStep.WITHDRAWN
    assert start_release(log, "v3") == "v2 of the same kind is not over"
    assert log.do("resume", "v2", "op") == "resumed"
    replace(log, "c0", turn=2)
    assert (
        log.machine.releases.releases["v2"].phase is ReleasePhase.RETURNED
        and start_release(log, "v3") == "started"
    )


def test_a_done_release_can_be_rolled_back():
    log = Log()
    start_release(log, waves=(("c0",),))
    replace(log, "c0")
    log.do("gate", "v2", 0, 0, True, "")
    assert log.do("halt", "v2", "op", "late") == "no such release is under way"
    assert log.do("back", "v2", "op") == "goes back"
    replace(log, "c0", turn=1)
    assert log.machine.releases.releases["v2"].phase is ReleasePhase.RETURNED


def test_releases_wait_during_a_trouble_but_operators_requests_do_not():
    log = Log()
    log.do("trouble", "origin", "slow at 3 of 3 fronts")
    start_release(log)
    assert log.why("v2/0/c0")[:2] == ("trouble", "origin")
    log.ask("c5")
    assert log.step("r-c5") is PermitStep.GRANTED
    log.do("trouble", "origin", "")
    assert log.step("v2/0/c0") is PermitStep.GRANTED


def test_a_wave_does_not_wait_for_a_box_that_was_given_up():
    log = Log()
    start_release(log)
    log.out("v2/0/c0")
    log.do("give-up", "c0")
    log.do("gate", "v2", 0, 0, True, "")
    assert log.machine.releases.releases["v2"].wave == 1


@pytest.mark.parametrize(
    "waves, answer",
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
def test_an_invalid_plan_is_refused(waves, answer):
    assert start_release(Log(), waves=waves) == answer


# Gates.


def sample(gets, errors=0, sheds=0, late=0, misses=0, crashes=0):
    return AnalysisSample(gets, (errors, sheds, late, misses, crashes))


@pytest.mark.parametrize(
    "released, others, starts, baked, verdict, metric",
    [
        (sample(2000, late=20), sample(20_000, late=200), 1, True, GateVerdict.PASS, ""),
        (sample(2000, errors=40), sample(20_000), 1, False, GateVerdict.FAIL, "errors"),
        (sample(2000, late=600), sample(20_000, late=200), 1, False, GateVerdict.FAIL, "late"),
        (sample(100, late=1), sample(20_000, late=200), 1, True, GateVerdict.INCONCLUSIVE, "gets"),
        (sample(2000, late=20), sample(20_000, late=200), 1, False, GateVerdict.INCONCLUSIVE, "gets"),
        # This difference may be random: neither a pass nor a failure.
        (sample(300, errors=3), sample(20_000), 1, True, GateVerdict.INCONCLUSIVE, "errors"),
        (sample(0), sample(20_000), 1, True, GateVerdict.INCONCLUSIVE, "gets"),
        (sample(2000), sample(20_000), 3, True, GateVerdict.FAIL, "starts"),
        (sample(2000, crashes=1), sample(20_000), 1, True, GateVerdict.FAIL, "crashes"),
    ],
)
def test_a_gate_compares_the_counts_of_both_groups(released, others, starts, baked, verdict, metric):
    assert gates.evaluate(released, others, starts, baked, gates.GateLimits())[:2] == (verdict, metric)


def test_the_difference_interval_is_newcombes():
    # Newcombe's example (method 10, 95%): 56 of 70 and 48 of 80 differ by 0.0524 to 0.3339.
    least, most = gates.difference_interval(56, 70, 48, 80, 0.025)
    assert round(least, 4) == 0.0524 and round(most, 4) == 0.3339


# The leader.


def contacts(now, fronts=("x", "y"), rows=(), down=(), troubles=None):
    return {name: FrontContact(1, now, [list(rows), list(down), troubles or {}], now) for name in fronts}


def test_a_front_counts_from_its_contact_until_its_lease_expires_which_halts_releases():
    log = Log()
    start_release(log)
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(contacts(S, "xyz"), S) == [["front", "z", 1, True]]
    expired = leading.due(contacts(S, "x") | contacts(9 * S, "y"), S + FRONT_LEASE)
    assert expired[0] == ["front", "x", 1, False] and expired[1][:2] == ["halt", "v2"] and len(expired) == 2
    # A new leader has no contacts yet: it counts leases from its election.
    assert RolloutLeader(log.machine, 100 * S).due({}, 100 * S + FRONT_LEASE - 1) == []


def test_a_permit_that_is_not_renewed_is_overdue_and_halts_its_release():
    log = Log()
    start_release(log)
    leading = RolloutLeader(log.machine, 0)
    leading.due(contacts(0), 0)
    assert leading.due(contacts(PERMIT_LEASE), PERMIT_LEASE) == [
        ["late", "v2/0/c0", 0],
        ["halt", "v2", "fleet", "whoever replaces c0 is lost"],
    ]


def test_a_released_box_that_does_not_return_in_time_halts_its_release():
    log = Log()
    start_release(log)
    log.out("v2/0/c0")
    leading = RolloutLeader(log.machine, 0)
    for at in range(0, RETURN_TIMEOUT, 10 * S):
        assert leading.due(contacts(at), at) == []
        log.do("renew", "v2/0/c0", "agent")
    assert leading.due(contacts(RETURN_TIMEOUT), RETURN_TIMEOUT) == [
        ["halt", "v2", "fleet", "c0 does not come back"]
    ]


def test_a_box_that_most_fronts_cannot_reach_has_failed_until_most_reach_it_again():
    log, now = Log(), S
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(contacts(now, "x", down=["c3"]) | contacts(now, "y"), now) == []
    assert leading.due(contacts(now, down=["c3"]), now) == [["stands", "c3", "unreachable"]]
    log.do("stands", "c3", "unreachable")
    assert leading.due(contacts(now), now) == [["stands", "c3", ""]]


def test_failures_need_a_majority_of_all_fronts_by_reports_since_the_election():
    """A new leader with few contacts, or with reports from before its election, can't judge a box."""
    log, now = Log(fronts="vwxyz"), 10 * S
    leading = RolloutLeader(log.machine, now)
    assert leading.due(contacts(now, "v", down=["c3"]), now) == []  # one of five
    old = {
        name: row._replace(at=now + S, reported_at=now - S)
        for name, row in contacts(now, "vwxyz", down=["c3"]).items()
    }
    assert leading.due(old, now + S) == []  # the contacts are new, their reports are not
    commands = leading.due(contacts(now + S, "vwx", down=["c3"]) | contacts(now, "yz"), now + S)
    assert commands == [["stands", "c3", "unreachable"]]
    log.do(*commands[0])
    # Two of five don't decide that it is back.
    assert leading.due(contacts(now + 2 * S, "vw"), now + 2 * S) == []
    assert leading.due(contacts(now + 2 * S, "vwx"), now + 2 * S) == [["stands", "c3", ""]]


def test_a_permit_granted_to_a_failed_box_needs_budget_once_the_box_recovers():
    budgets = (
        ["fleet", "", "cache", 1, 1000],
        ["location", "", "cache", 1, 1000],
        ["fleet", "", "cache", 9, 200],
    )
    for budget, upto in itertools.product(budgets, ("granted", "drained")):
        log = Log(budget)
        log.ask("c0")
        log.do("stands", "c2", "unreachable")
        log.ask("c2")  # it counts as out already, as it has failed
        assert log.step("r-c2") is PermitStep.GRANTED
        if upto == "drained":
            log.drained("r-c2")
        log.do("stands", "c2", "")
        assert log.step("r-c2") is PermitStep.ASKED and log.do("out", "r-c2", "agent") == "not drained"
        assert log.machine.drained().keys() == {"c0"}
        log.back("r-c0")
        assert log.step("r-c2") is PermitStep.GRANTED  # it had to wait, and was not refused


def test_a_permit_of_a_recovered_box_stays_if_the_budget_allows_or_the_box_is_out():
    log = Log(["fleet", "", "cache", 2, 1000])
    for box in ("c0", "c2"):
        log.do("stands", box, "unreachable")
        log.ask(box)
    log.out("r-c2")
    for box in ("c0", "c2"):
        log.do("stands", box, "")
    assert (log.step("r-c0"), log.step("r-c2")) == (PermitStep.GRANTED, PermitStep.OUT)


def test_a_failed_box_may_be_stopped_only_if_the_boxes_out_by_permit_leave_budget():
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


def test_boxes_that_have_all_failed_are_replaced_one_after_another():
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
def test_a_box_that_recovers_goes_out_within_the_budget(seed):
    world = rollouts.play_schedule(seed, 5, 4, 9, loss=0.1)
    assert rollouts.find_violations(world.trace, 9) == []


def test_a_permit_of_a_lost_front_needs_budget_once_the_front_follows_again():
    log = Log(["fleet", "", "front", 1, 1000], fronts=("x", "y", "z"))
    log.do("boxes", [[name, "front", "a", "front", "g", 1] for name in "xyz"])
    log.do("front", "x", 1, False)  # its lease ended
    log.ask("x")
    assert log.step("r-x") is PermitStep.GRANTED
    log.ask("y")
    assert log.step("r-y") is PermitStep.ASKED
    log.do("front", "x", 2, True)
    assert log.step("r-x") in (PermitStep.GRANTED, PermitStep.DRAINED)  # the budget allows one
    log.do("front", "z", 1, False)
    log.do("front", "x", 2, False)
    log.do("front", "x", 3, True)
    assert log.step("r-x") is PermitStep.ASKED  # the lost front uses up the budget


def test_seed_133_no_more_boxes_go_out_than_the_budgets_allow():
    world = rollouts.play_schedule(133, 5, 4, 9, loss=0.1, span=25 * S)
    assert rollouts.over_budget(world.trace) == []


def test_a_trouble_is_one_that_a_majority_of_the_fronts_reports():
    log = Log()
    leading = RolloutLeader(log.machine, 0)
    assert leading.due(contacts(0, troubles={"origin": "slow"}), 0) == [
        ["trouble", "origin", "2 of 2 fronts"]
    ]
    log.do("trouble", "origin", "2 of 2 fronts")
    assert leading.due(contacts(0), 0) == [["trouble", "origin", ""]]


@pytest.mark.parametrize("late, passed", [(1, True), (40, False)])
def test_the_gate_compares_released_boxes_with_the_others_since_the_wave_began(late, passed):
    log = Log()
    start_release(log)
    leading = RolloutLeader(log.machine, 0)

    def rows(gets, bad):
        return [[f"c{at}", gets, 0, 0, bad if at == 0 else 1 * gets // 100, 0, 1] for at in range(6)]

    leading.due(contacts(0, rows=rows(50_000, 9000)), 0)  # counts from before the release are left out
    replace(log, "c0")
    assert leading.due(contacts(S, rows=rows(50_000, 9000)), S) == []
    early = leading.due(contacts(9 * S, rows=rows(50_100, 9000 + late)), 9 * S)
    done = early or leading.due(contacts(12 * S, rows=rows(51_000, 9000 + late * 10)), 12 * S)
    assert bool(early) is not passed  # a failure does not wait for the bake time, a pass does
    assert [c[:5] for c in done] == [["gate", "v2", 0, 0, passed]]


# Fronts and keepers.


def test_a_front_repeats_its_report_of_a_drain_until_it_is_in_the_log():
    log = Log()
    log.ask("c0")
    reporter = FrontReporter("x", 1)
    assert reporter.due(log.machine, {}, None, 0) == []
    assert reporter.due(log.machine, {"c0": 1}, None, 0) == [["drained", "r-c0", "x", 1]]
    assert reporter.due(log.machine, {"c0": 1}, None, S // 2) == []
    assert reporter.due(log.machine, {"c0": 1}, None, 2 * S) == [["drained", "r-c0", "x", 1]]
    log.out("r-c0")
    log.do("started", "r-c0", "s")
    assert reporter.due(log.machine, {}, lambda box, start: start == "s", 3 * S) == [
        ["warm", "r-c0", "s", "x", 1]
    ]


def test_a_follower_finds_the_leader_and_its_lease_counts_from_its_request():
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


def test_a_proposal_ends_with_an_answer_or_without_one_at_its_timeout():
    one = LogFollower(["k0"], 1, RandomSource("x", 1), 0, 5 * S)
    one.on_timer(0)
    sent = one.propose(["ask"], "t1", S, 2 * S)
    assert [type(a.message) for a in sent] == [ProposeRequest]
    assert one.on_message("k0", ProposeResponse(1, 4, "asked", ""), S) == [
        ProposalCompleted("t1", "asked", 4)
    ]
    one.propose(["ask"], "t2", S, 2 * S)
    assert ProposalCompleted("t2", "", 0) in one.on_timer(3 * S)


def log_server_of_one(now=0):
    keeper = RaftNode("k0", ClusterConfiguration(("k0",), ()), RandomSource("k0", 1), now)
    return keeper, LogServer(keeper, RolloutStateMachine())


def test_a_voter_answers_with_entries_or_its_state_and_is_leader_only_in_contact_with_its_quorum():
    keeper, one = log_server_of_one()
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
    assert set(one.contacts) == {"x"}  # an agent is no front: nobody waits for its reports


# Encoding of messages.

CONFIG = ClusterConfiguration(("k0", "k1"), ())
MESSAGES = [
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


def test_each_message_is_the_same_after_encoding_and_decoding():
    assert [codec.decode(*codec.encode(one)) for one in MESSAGES] == MESSAGES
    assert {type(one) for one in MESSAGES} == {kind.message for kind in codec.KIND_BY_NUMBER.values()}


@pytest.mark.parametrize(
    "message",
    [
        ProposeRequest(1, ["grant", "h"]),
        ProposeRequest(1, ["ask", "h"]),
        ProposeRequest(1, ["ask", "h", "c0", "op", "x" * 201]),
        ProposeRequest(1, ["once", "q", ["once", "r", ["withdraw", "h"]]]),
        ProposeRequest(1, ["once", "", ["withdraw", "h"]]),
        ProposeRequest(1, ["ask", "h", "c0", "op", "why", "v2", "2"]),  # only a release may ask for a version
        AppendEntries(3, 4, 2, [LogEntry(6, 3, "data", None)], 4, 9),
        InstallSnapshot(1, 2, 3, (1, 2), b"", 4),
    ],
)
def test_an_invalid_command_is_refused_before_it_is_proposed(message):
    with pytest.raises(codec.ConsensusMessageError):
        codec.decode(*codec.encode(message))


@pytest.mark.parametrize("number, data", [(0, b""), (99, b""), (1, b"\xc1"), (1, b"\x90")])
def test_bytes_that_are_no_message_are_refused(number, data):
    with pytest.raises(codec.ConsensusMessageError):
        codec.decode(number, data)


def test_reports_of_unknown_boxes_and_from_many_names_do_not_grow_the_tables(monkeypatch):
    log = Log()
    start_release(log)
    leading = RolloutLeader(log.machine, 0)
    for at in range(50):
        leading.due(contacts(at * S, rows=[[f"none-{at}-{n}", at, 0, 0, 0, 0, 1] for n in range(20)]), at * S)
    assert (
        not leading.totals and not leading.starts and all(not rows for *_, rows in leading.reports.values())
    )
    monkeypatch.setattr(log_server, "FOLLOWERS_MAX", 5)
    _, one = log_server_of_one()
    for at in range(50):
        one.on_message(f"n{at}", FollowRequest(0, 1, at, []), at)
    assert list(one.contacts) == [f"n{at}" for at in range(45, 50)]


# Simulated fleets with faults.


@pytest.mark.parametrize("seed", [1, 2, 5, 20])
def test_no_invariant_is_violated_under_faults(seed):
    assert (
        rollouts.find_violations(
            rollouts.play_schedule(seed, (3, 5)[seed % 2], loss=(0, 0.1, 0.3)[seed % 3]).trace
        )
        == []
    )


@pytest.mark.parametrize("seed", [1040, 1840])
def test_a_halt_before_its_release_has_started_is_refused(seed):
    world = rollouts.play_schedule(seed, 3, 4, 9, loss=(0, 0.1, 0.3)[seed % 3], span=25 * S)
    assert rollouts.find_violations(world.trace, 9) == []


def test_the_same_seed_gives_the_same_trace():
    assert rollouts.play_schedule(4, span=12 * S).trace == rollouts.play_schedule(4, span=12 * S).trace


def small(*commands, until=25, waves=None):
    """Return a function that runs six caches with an operator's commands, half a second apart, and lets them settle."""

    def made(seed):
        world = rollouts.Fleet(3, 3, 6, seed)
        if waves is not None:
            world.at(2 * S, world.operator, "n0", "release", ["v2", "std", "2", "1", waves, 2 * S], "op")
        for at, command in enumerate(commands):
            world.at(3 * S + at * S // 2, world.operator, "n1", *command)
        world.run(until * S)
        rollouts.settle(world, timeout=10 * S)
        return world

    return made


REPORTS_ALL_DRAINED = (
    "due",
    lambda self, machine, drained, warm, now, real=FrontReporter.due: real(
        self, machine, {p.box: 1 for p in machine.permits.open_by_box.values()}, warm, now
    ),
)
NEVER_BLOCKED = (DisruptionCounts, "reason_to_stay", lambda self, name: None)
DEFECTS = [
    ("over_budget", *NEVER_BLOCKED, small(waves=[["c0", "c1", "c2", "c3", "c4"]])),
    (
        "last_gone",
        *NEVER_BLOCKED,
        small(("ask", "h", "c0", "op", ""), ("ask", "i", "c3", "op", "")),
    ),
    # A front that reports a drain at once, and applies it up to three seconds later.
    ("sent_to_drained", FrontReporter, *REPORTS_ALL_DRAINED, small(("ask", "h", "c0", "op", ""))),
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
        lambda self, id, start, front, incarnation: None,
        small(("ask", "h", "c0", "op", ""), until=10),
    ),
]


@pytest.mark.parametrize("check, of, name, defect, world", DEFECTS, ids=[s[0] for s in DEFECTS])
def test_each_checker_finds_its_injected_defect(check, of, name, defect, world, monkeypatch):
    assert rollouts.find_violations(world(1).trace, 6) == [] or check == "granted_halted"
    monkeypatch.setattr(of, name, defect)
    if check == "granted_halted":
        monkeypatch.setattr(ReleaseTable, "_withdraw_permits", lambda self, release: None)
    if check == "sent_to_drained":
        monkeypatch.setattr(rollouts.Front, "turn", _turn_with_late_drains)
    assert check in {name for name, _ in rollouts.find_violations(world(1).trace, 6)}


def _turn_with_late_drains(self, now, turn=rollouts.Front.turn):
    """A front that takes its drains from the log only every three seconds."""
    if now - getattr(self, "looked", 0) > 3 * S or not hasattr(self, "drained_then"):
        self.looked, self.drained_then = now, self.machine.drained()
    real, self.machine.drained = self.machine.drained, lambda: self.drained_then
    try:
        return turn(self, now)
    finally:
        self.machine.drained = real


def test_the_checker_of_state_machines_finds_a_difference():
    assert rollouts.machines_apart([(1, "k0", "dump-machine", 5, "a"), (1, "k1", "dump-machine", 5, "b")])


@pytest.mark.parametrize("seed", range(3))
def test_no_invariant_is_violated_with_clock_drift(seed):
    assert (
        rollouts.find_violations(rollouts.play_schedule(seed, 3, 6, 12, 0.1, clock_drift=0.001).trace) == []
    )


@pytest.mark.parametrize("fast, slow, violated", [(1.001, 0.999, False), (2.0, 0.3, True)])
def test_leases_hold_within_the_stated_clock_drift_and_the_checker_finds_a_larger_one(fast, slow, violated):
    """A front with a slow clock is disconnected from voters with fast clocks while a box is drained."""

    class DriftingFleet(rollouts.Fleet):
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

    world = DriftingFleet(3, 2, 4, 5)
    keepers = [f"k{at}" for at in range(3)]
    world.at(6 * S, world.cut.update, {pair for k in keepers for pair in (("n0", k), (k, "n0"))})
    world.at(6 * S + S // 5, world.operator, "n1", "ask", "h", "c0", "op", "")
    world.run(25 * S)
    assert any(what == "down" and name == "c0" for _, name, what, *_ in world.trace)
    assert bool(rollouts.sent_to_drained(world.trace)) is violated
