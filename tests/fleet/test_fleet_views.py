"""Views of the fleet: health from contradicting evidence, flap damping, allowed actions, checkers, real fronts."""

import signal
import socket
import time

import pytest

from sprucegate.fleet.failure_detector.actions import CheckPort, MemberChanged, ProbeAnswered, Send
from sprucegate.fleet.failure_detector.detector import FailureDetector
from sprucegate.fleet.failure_detector.member import Member, MemberState
from sprucegate.fleet.failure_detector.messages import Ack, ConnectionRefused, FullState, Ping
from sprucegate.fleet.links import codec
from sprucegate.fleet.membership_view import degraded_mode
from sprucegate.fleet.membership_view.degraded_mode import OwnAction, PeerAction
from sprucegate.fleet.membership_view.health_state import FleetState, HealthState
from sprucegate.fleet.membership_view.peer_health import PeerHealth
from sprucegate.fleet.membership_view.tracker import HOLD_DOWN_NS, STALL_RECOVERY_NS, ViewTracker
from sprucegate.fleet.random_source import RandomSource
from standins.fleet import viewing
from standins.fleet.rig import Rig
from standins.fleet.schedules import play_schedule

MS, S = 1_000_000, 1_000_000_000


def member(name="b", state=MemberState.ALIVE, incarnation=1 << 32, refutation=0, reported_by="b"):
    return Member(name, f"at-{name}", incarnation, refutation, int(state), reported_by)


def peer_health(*members, at=0):
    peer = PeerHealth()
    for one in members:
        peer.on_member_changed(one, at)
    return peer


@pytest.mark.parametrize(
    "state, last_frame_at, indirect_probes, in_log, expected",
    [
        (MemberState.ALIVE, 0, 0, None, HealthState.LIVE),
        (MemberState.ALIVE, 0, 0, True, HealthState.LIVE),
        (MemberState.ALIVE, 0, 0, False, HealthState.CUT_OFF),  # answers probes, but the log doesn't list it
        (MemberState.ALIVE, 0, 2, True, HealthState.CUT_OFF),  # only other fronts reach it
        (MemberState.ALIVE, 0, 1, True, HealthState.LIVE),
        (MemberState.SUSPECT, 0, 0, True, HealthState.SUSPECT),
        (MemberState.SUSPECT, 9 * S, 0, True, HealthState.ONE_WAY),
        # Its frames still arrive, so it probably receives none.
        (MemberState.DEAD, 9 * S, 0, True, HealthState.ONE_WAY),
        (MemberState.DEAD, 5 * S, 0, True, HealthState.GONE),  # its last frame is too old
        (MemberState.LEFT, 9 * S, 2, False, HealthState.LEAVING),
    ],
)
def test_health_follows_from_failure_detector_connections_and_log(
    state, last_frame_at, indirect_probes, in_log, expected
):
    one = peer_health(member(state=state))
    one.last_frame_at, one.indirect_probes = last_frame_at, indirect_probes
    assert one.health(in_log, 10 * S)[0] is expected
    one.other_version = True
    assert one.health(in_log, 10 * S)[0] is HealthState.OTHER_BUILD


def test_a_frame_in_transit_does_not_contradict_a_suspicion():
    one = peer_health(member(), member(state=MemberState.SUSPECT))
    one.last_frame_at = 50 * MS
    assert one.health(None, S)[0] is HealthState.SUSPECT


def test_a_flapping_front_is_suppressed_for_a_rising_and_bounded_time():
    one, out = peer_health(member()), []
    for incarnation in range(2, 40):
        now = incarnation * 2 * S
        one.on_member_changed(member(incarnation=incarnation << 32), now)
        if one.health(True, now)[0] is HealthState.FLAPPING:
            out.append(one.damped_until() - now)
    assert out[0] < out[2] < out[3] and max(out) <= 78 * S
    assert one.health(True, now + max(out))[0] is HealthState.LIVE
    # A front that announces that it leaves, as in each release, does not flap.
    planned = peer_health(member())
    for incarnation in range(2, 9):
        planned.on_member_changed(
            member(state=MemberState.LEFT, incarnation=(incarnation - 1) << 32), incarnation * S
        )
        planned.on_member_changed(member(incarnation=incarnation << 32), incarnation * S)
    assert planned.health(True, 30 * S)[0] is HealthState.LIVE


def seen(views, now):
    """Return the health of each front in the view at that time."""
    views.deadline = min(views.deadline, now)
    views.on_timer(now)
    return {name: row.health for name, row in views.view.rows.items()}


def test_worse_health_counts_at_once_and_live_after_the_hold_down():
    views = ViewTracker(0)
    views.on_member_changed(member(), 0)
    assert seen(views, 0) == {"b": HealthState.SUSPECT} and views.view.state is FleetState.RETURNING
    assert seen(views, HOLD_DOWN_NS) == {"b": HealthState.LIVE}
    views.on_member_changed(member(state=MemberState.SUSPECT), 2 * S)
    assert seen(views, 2 * S) == {"b": HealthState.SUSPECT}
    views.on_member_changed(member(refutation=1), 2 * S + MS)
    assert seen(views, 2 * S + 500 * MS) == {"b": HealthState.SUSPECT}
    # Suspected again: the hold-down begins anew.
    views.on_member_changed(member(state=MemberState.SUSPECT, refutation=1), 2 * S + 600 * MS)
    seen(views, 2 * S + 600 * MS)
    views.on_member_changed(member(refutation=2), 2 * S + 700 * MS)
    seen(views, 2 * S + 700 * MS)
    assert seen(views, 3 * S + 650 * MS) == {"b": HealthState.SUSPECT}
    assert seen(views, 3 * S + 700 * MS) == {"b": HealthState.LIVE}
    assert views.view.number == 4 and views.view.agreed == 0


def test_a_stalled_front_keeps_the_health_of_others_and_is_restricted_until_recovery():
    views = ViewTracker(0)
    views.on_caught_up(0)
    for name in "bc":
        views.on_member_changed(member(name), 0)
    seen(views, 0)
    assert (
        set(seen(views, HOLD_DOWN_NS).values()) == {HealthState.LIVE} and views.view.state is FleetState.WHOLE
    )
    views.on_stall(9 * S)
    assert set(seen(views, 9 * S).values()) == {HealthState.LIVE} and views.view.state is FleetState.STALLED
    assert not views.view.allows_own(OwnAction.BORROW) and not views.view.allows_own(OwnAction.USE_MINIMUM)
    seen(views, 9 * S + STALL_RECOVERY_NS)
    assert views.view.state is FleetState.WHOLE


def test_a_view_gives_the_reachable_share_and_the_log_entry_it_is_based_on():
    views = ViewTracker(0)
    views.on_caught_up(0)
    for name in "bcd":
        views.on_member_changed(member(name), 0)
    seen(views, 0)
    seen(views, HOLD_DOWN_NS)
    for name in "bc":
        views.on_member_changed(member(name, MemberState.DEAD), 5 * S)
    seen(views, 5 * S)
    assert (views.view.state, views.view.share, views.view.agreed) == (FleetState.PARTIAL, 0.5, 0)
    views.on_log_applied(7, {"a": 1, "d": 1 << 32, "c": 1 << 32}, False, 6 * S)
    seen(views, 6 * S)  # the log has removed b: it no longer counts as part of the fleet
    assert (views.view.state, views.view.share, views.view.agreed) == (FleetState.PARTIAL, 2 / 3, 7)
    views.on_log_applied(9, {"a": 1, "d": 1 << 32, "c": 1 << 32}, False, 6 * S)
    # Log entries that don't change the fronts make no new view.
    assert seen(views, 6 * S) and views.view.agreed == 7
    views.on_log_applied(9, {"a": 1, "d": 1 << 32, "c": 1 << 32}, True, 7 * S)
    seen(views, 7 * S)  # fenced: the log is no longer used, only this front's own evidence
    assert views.view.agreed == 0
    views.on_member_changed(member("d", MemberState.DEAD), 8 * S)
    seen(views, 8 * S)
    assert views.view.state is FleetState.ALONE
    views.on_member_changed(member("d", MemberState.LEFT), 9 * S)
    seen(views, 9 * S)
    assert seen(views, 700 * S) == {}  # fronts that are gone for long are forgotten


def test_each_action_has_a_row_and_unsafe_ones_are_not_allowed_in_worse_health():
    assert set(degraded_mode.ALLOWED_BY_HEALTH) == set(PeerAction) and set(
        degraded_mode.ALLOWED_BY_FLEET
    ) == set(OwnAction)
    # Never towards a front that may be gone, or that speaks another version.
    for action in (PeerAction.USE_GOSSIP, PeerAction.GRANT_SLOTS, PeerAction.LEASE_HOLDER):
        assert not degraded_mode.ALLOWED_BY_HEALTH[action] & {
            HealthState.GONE,
            HealthState.ONE_WAY,
            HealthState.LEAVING,
            HealthState.OTHER_BUILD,
        }
    # Safe in any health state.
    for action in (
        PeerAction.COUNT_GRANTED_SLOTS,
        PeerAction.RESERVE_MINIMUM,
        PeerAction.AWAIT_DRAIN_CONFIRMATION,
    ):
        assert degraded_mode.ALLOWED_BY_HEALTH[action] == set(HealthState)
    assert not degraded_mode.allows_own(OwnAction.BORROW, FleetState.ALONE) and degraded_mode.allows_own(
        OwnAction.SEND_UPDATES, FleetState.STALLED
    )


def detector(*others):
    made = FailureDetector(member("a"), [], RandomSource("a", 1), 0)
    for name in others:
        made.on_message(name, FullState([member(name)], False), 0)
    return made


def test_a_member_is_dead_once_two_fronts_were_refused_and_not_by_one_alone():
    one = detector("b", "c", "d")
    assert (
        one.on_connection_reset("b", S) == [CheckPort("b", "at-b", 1 << 32)]
        and one.on_connection_reset("b", S + MS) == []
    )
    notified = one.on_connection_refused("b", 1 << 32, S)
    assert (
        notified
        and {a.to for a in notified} <= {"c", "d"}
        and {a.message for a in notified} == {ConnectionRefused("b", 1 << 32)}
    )
    assert one.known["b"].state == MemberState.ALIVE and one.on_connection_refused("b", 1 << 32, S) == []
    assert one.on_message("c", ConnectionRefused("b", 9 << 32), S) == []  # of another incarnation
    actions = one.on_message("c", ConnectionRefused("b", 1 << 32), S)
    assert actions[0] == MemberChanged(member("b", MemberState.DEAD, reported_by="a"), member("b"))
    assert (
        all(isinstance(a, Send) and isinstance(a.message, FullState) for a in actions[1:])
        and len(actions) > 1
    )


def test_a_reported_refusal_is_checked_before_it_counts():
    one = detector("b", "c")
    assert one.on_message("c", ConnectionRefused("b", 1 << 32), S) == [CheckPort("b", "at-b", 1 << 32)]
    assert one.known["b"].state == MemberState.ALIVE
    assert [a for a in one.on_connection_refused("b", 1 << 32, S) if isinstance(a, MemberChanged)]
    # Messages sent before its process ended may arrive later: its port is checked again at once.
    actions = one.on_message("c", FullState([member("b", refutation=5)], False), 2 * S)
    assert CheckPort("b", "at-b", 1 << 32) in actions


def test_a_probe_answered_only_through_a_helper_is_reported_as_indirect():
    one = detector("b", "c")
    probe = next(a for a in one.on_timer(one.next_deadline()) if isinstance(a.message, Ping))
    other = "c" if probe.to == "b" else "b"
    assert ProbeAnswered(probe.to, False) in one.on_message(other, Ack(probe.message.number, 0, []), MS)


@pytest.mark.parametrize("size, loss", [(3, 0.0), (5, 0.1), (5, 0.3)])
def test_views_are_correct_or_more_cautious_under_fault_schedules(size, loss):
    for seed in range(12):
        assert viewing.find_violations(play_schedule(seed, size, loss).trace) == []


def _hide_failures(monkeypatch):
    monkeypatch.setattr(
        ViewTracker,
        "on_member_changed",
        lambda self, m, now, original=ViewTracker.on_member_changed: original(self, m._replace(state=0), now),
    )


def _disable_refutation(monkeypatch):
    monkeypatch.setattr(FailureDetector, "_apply_own", lambda self, update: [])


def _disable_catch_up(monkeypatch):
    monkeypatch.setattr(ViewTracker, "on_caught_up", lambda self, now: None)


@pytest.mark.parametrize(
    "name, inject",
    [
        ("live_though_away", _hide_failures),
        ("gone_though_there", _disable_refutation),
        ("stays_in_part", _disable_catch_up),
    ],
)
def test_an_injected_defect_is_reported_by_its_checker(monkeypatch, name, inject):
    inject(monkeypatch)
    assert any(
        name == violation
        for seed in range(12)
        for violation, _ in viewing.find_violations(play_schedule(seed, 5, 0.1).trace)
    )


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Rig(tmp_path_factory.mktemp("five"), 5) as rig:
        rig.start_all()
        yield rig


def health_at(rig, name, other):
    answer = rig.fronts[name].ask("why", "view", other)
    return answer["facts"][0]["standing"] if answer and answer["facts"] else ""


def wait_until_all_see(rig, other, wanted, names=None, patience=20):
    rig.wait(
        lambda: all(health_at(rig, name, other) == wanted for name in names or rig.names if name != other),
        patience,
    )


def state(rig, name):
    return rig.fronts[name].ask("status")["view"]["state"]


def test_a_killed_front_is_gone_within_a_second_and_a_stopped_one_is_suspected(fleet):
    for name in fleet.names:
        wait_until_all_see(fleet, name, "live")
    since = {name: len(fleet.fronts[name].lines) for name in fleet.names}
    killed = time.time() * 1000
    fleet.fronts["n3"].kill()
    for name in ("n0", "n1", "n2", "n4"):
        event = fleet.fronts[name].until("fleet_member", since[name], member="n3", standing="gone")
        assert event["at"] - killed <= 1000
    assert state(fleet, "n0") == "part"
    fleet.fronts["n4"].signal(signal.SIGSTOP)
    stopped = time.time() * 1000
    for name in ("n0", "n1", "n2"):
        event = fleet.fronts[name].until("fleet_member", since[name], member="n4", standing="suspect")
        assert event["at"] - stopped <= 6000
    fleet.fronts["n4"].signal(signal.SIGCONT)
    fleet.fronts["n3"].start()
    for name in ("n3", "n4"):
        wait_until_all_see(fleet, name, "live")
    # The stopped front declared no other front dead for its own stall.
    gone = fleet.fronts["n4"].seen("fleet_member", since["n4"], standing="gone", by="n4")
    assert {line["member"] for line in gone} <= {"n3"}
    fleet.wait(lambda: all(state(fleet, name) == "whole" for name in fleet.names))


def test_a_one_way_partition_and_a_partition_between_two_fronts(fleet):
    for name in fleet.names:
        wait_until_all_see(fleet, name, "live")
    fleet.inject_fault("cut", **{"from": [n for n in fleet.names if n != "n1"], "to": ["n1"]})
    # n1 sends but receives nothing.
    fleet.wait(lambda: health_at(fleet, "n0", "n1") == "one-way", 30)
    fleet.inject_fault("heal")
    wait_until_all_see(fleet, "n1", "live", patience=40)
    fleet.split(["n0"], ["n2"])
    fleet.wait(
        lambda: health_at(fleet, "n0", "n2") == "cut-off" and health_at(fleet, "n2", "n0") == "cut-off",
        40,
    )
    assert health_at(fleet, "n1", "n0") == health_at(fleet, "n1", "n2") == "live"
    fleet.inject_fault("heal")
    for name in ("n0", "n2"):
        wait_until_all_see(fleet, name, "live", patience=40)


@pytest.fixture(scope="module")
def keeper_fleet(tmp_path_factory):
    with Rig(tmp_path_factory.mktemp("kept"), 3, caches=2, keepers=3) as rig:
        rig.start_all()
        rig.wait(
            lambda: all(
                view(rig, name)["agreed"] and view(rig, name)["state"] == "whole" for name in rig.names
            )
        )
        yield rig


def view(rig, name):
    return rig.fronts[name].ask("status")["view"]


def test_without_keepers_views_are_local_and_gets_are_served(keeper_fleet):
    keeper_fleet.split(keeper_fleet.names, list(keeper_fleet.keepers))
    keeper_fleet.wait(lambda: all(view(keeper_fleet, name)["agreed"] == 0 for name in keeper_fleet.names))
    # By the failure detector alone.
    assert {health_at(keeper_fleet, "n0", other) for other in ("n1", "n2")} == {"live"}
    assert view(keeper_fleet, "n0")["state"] == "whole" and keeper_fleet.get("n0", 5, 5)[0] == 200
    keeper_fleet.inject_fault("heal")
    keeper_fleet.wait(lambda: all(view(keeper_fleet, name)["agreed"] for name in keeper_fleet.names))


def test_a_front_without_keepers_that_answers_probes_is_cut_off_by_the_log(keeper_fleet):
    keeper_fleet.split(["n0"], list(keeper_fleet.keepers))
    keeper_fleet.wait(lambda: health_at(keeper_fleet, "n1", "n0") == "cut-off", 30)
    fact = keeper_fleet.fronts["n1"].ask("why", "view", "n0")["facts"][0]
    assert fact["by"] == "keepers" and view(keeper_fleet, "n0")["agreed"] == 0
    assert keeper_fleet.get("n0", 6, 6)[0] == 200
    keeper_fleet.inject_fault("heal")
    wait_until_all_see(keeper_fleet, "n0", "live", patience=40)


def test_a_flapping_front_is_suppressed_and_serves_its_own_clients(tmp_path):
    with Rig(tmp_path, 3) as rig:
        rig.start_all()
        front = rig.fronts["n2"]
        for _ in range(3):
            since = len(front.lines)
            front.kill()
            front.start()
            front.until("ready", since, timeout_s=40)
        rig.wait(lambda: health_at(rig, "n0", "n2") == health_at(rig, "n1", "n2") == "flapping", 30)
        assert rig.get("n2", 7, 7)[0] == 200
        wait_until_all_see(rig, "n0", "live", ["n2"])


def test_a_front_of_another_protocol_version_is_reported_as_other_build(fleet):
    wait_until_all_see(fleet, "n1", "live")
    incarnation = fleet.fronts["n0"].ask("why", "view", "n1")["facts"][0]["life"]
    with socket.create_connection(("127.0.0.1", fleet.fronts["n0"].fleet_port), 3) as sock:
        sock.sendall(
            codec.encode_greeting(
                codec.Greeting(codec.VERSION + 1, "rig", "front", "n1", "", int(incarnation, 16))
            )
        )
        while sock.recv(4096):
            pass
    fleet.wait(lambda: health_at(fleet, "n0", "n1") == "other-build")
    assert health_at(fleet, "n2", "n1") == "live"
