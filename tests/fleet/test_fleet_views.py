"""How the fleet stands: standings by contradicting words, damping, the table, checkers seen to cry out, real fronts."""

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


def member(name="b", word=MemberState.ALIVE, life=1 << 32, turn=0, by="b"):
    return Member(name, f"at-{name}", life, turn, int(word), by)


def known(*words, at=0):
    one = PeerHealth()
    for word in words:
        one.on_member_changed(word, at)
    return one


@pytest.mark.parametrize(
    "word, heard, indirect, agreed, said",
    [
        (MemberState.ALIVE, 0, 0, None, HealthState.LIVE),
        (MemberState.ALIVE, 0, 0, True, HealthState.LIVE),
        (MemberState.ALIVE, 0, 0, False, HealthState.CUT_OFF),  # probes reach it, and it follows no keeper
        (MemberState.ALIVE, 0, 2, True, HealthState.CUT_OFF),  # only others reach it
        (MemberState.ALIVE, 0, 1, True, HealthState.LIVE),
        (MemberState.SUSPECT, 0, 0, True, HealthState.SUSPECT),
        (MemberState.SUSPECT, 9 * S, 0, True, HealthState.ONE_WAY),
        (
            MemberState.DEAD,
            9 * S,
            0,
            True,
            HealthState.ONE_WAY,
        ),  # its frames still come, so it hears nobody's
        (MemberState.DEAD, 5 * S, 0, True, HealthState.GONE),  # what came last was long ago
        (MemberState.LEFT, 9 * S, 2, False, HealthState.LEAVING),
    ],
)
def test_what_members_links_and_the_log_say_makes_one_standing(word, heard, indirect, agreed, said):
    one = known(member(word=word))
    one.last_frame_at, one.indirect_probes = heard, indirect
    assert one.health(agreed, 10 * S)[0] is said
    one.other_version = True
    assert one.health(agreed, 10 * S)[0] is HealthState.OTHER_BUILD


def test_a_frame_that_was_under_way_speaks_not_against_an_accusation():
    one = known(member(), member(word=MemberState.SUSPECT))
    one.last_frame_at = 50 * MS
    assert one.health(None, S)[0] is HealthState.SUSPECT


def test_one_that_flaps_is_kept_out_for_a_rising_and_bounded_time():
    one, out = known(member()), []
    for life in range(2, 40):
        now = life * 2 * S
        one.on_member_changed(member(life=life << 32), now)
        if one.health(True, now)[0] is HealthState.FLAPPING:
            out.append(one.damped_until() - now)
    assert out[0] < out[2] < out[3] and max(out) <= 78 * S
    assert one.health(True, now + max(out))[0] is HealthState.LIVE
    # One that said that it goes, as each release makes it, does not flap.
    planned = known(member())
    for life in range(2, 9):
        planned.on_member_changed(member(word=MemberState.LEFT, life=(life - 1) << 32), life * S)
        planned.on_member_changed(member(life=life << 32), life * S)
    assert planned.health(True, 30 * S)[0] is HealthState.LIVE


def seen(views, now):
    """The rows of the view at that time."""
    views.deadline = min(views.deadline, now)
    views.on_timer(now)
    return {name: row.health for name, row in views.view.rows.items()}


def test_what_makes_careful_is_at_once_and_what_makes_bold_has_held():
    views = ViewTracker(0)
    views.on_member_changed(member(), 0)
    assert seen(views, 0) == {"b": HealthState.SUSPECT} and views.view.state is FleetState.RETURNING
    assert seen(views, HOLD_DOWN_NS) == {"b": HealthState.LIVE}
    views.on_member_changed(member(word=MemberState.SUSPECT), 2 * S)
    assert seen(views, 2 * S) == {"b": HealthState.SUSPECT}
    views.on_member_changed(member(turn=1), 2 * S + MS)
    assert seen(views, 2 * S + 500 * MS) == {"b": HealthState.SUSPECT}  # doubted again, the time begins anew
    views.on_member_changed(member(word=MemberState.SUSPECT, turn=1), 2 * S + 600 * MS)
    seen(views, 2 * S + 600 * MS)
    views.on_member_changed(member(turn=2), 2 * S + 700 * MS)
    seen(views, 2 * S + 700 * MS)
    assert seen(views, 3 * S + 650 * MS) == {"b": HealthState.SUSPECT}
    assert seen(views, 3 * S + 700 * MS) == {"b": HealthState.LIVE}
    assert views.view.number == 4 and views.view.agreed == 0


def test_a_front_that_stood_still_blames_nobody_and_is_bold_only_after_a_while():
    views = ViewTracker(0)
    views.on_caught_up(0)
    for name in "bc":
        views.on_member_changed(member(name), 0)
    seen(views, 0)
    assert (
        set(seen(views, HOLD_DOWN_NS).values()) == {HealthState.LIVE} and views.view.state is FleetState.WHOLE
    )
    views.on_stall(9 * S)
    assert (
        set(seen(views, 9 * S).values()) == {HealthState.LIVE} and views.view.state is FleetState.STOOD_STILL
    )
    assert not views.view.allows_own(OwnAction.BORROW) and not views.view.allows_own(OwnAction.FLOOR)
    seen(views, 9 * S + STALL_RECOVERY_NS)
    assert views.view.state is FleetState.WHOLE


def test_a_view_says_which_part_of_the_fleet_is_there_and_whose_word_it_is():
    views = ViewTracker(0)
    views.on_caught_up(0)
    for name in "bcd":
        views.on_member_changed(member(name), 0)
    seen(views, 0)
    seen(views, HOLD_DOWN_NS)
    for name in "bc":
        views.on_member_changed(member(name, MemberState.DEAD), 5 * S)
    seen(views, 5 * S)
    assert (views.view.state, views.view.share, views.view.agreed) == (FleetState.PART, 0.5, 0)
    views.on_log_applied(7, {"a": 1, "d": 1 << 32, "c": 1 << 32}, False, 6 * S)
    seen(views, 6 * S)  # the log has counted b out: it is a part of the fleet no more
    assert (views.view.state, views.view.share, views.view.agreed) == (FleetState.PART, 2 / 3, 7)
    views.on_log_applied(9, {"a": 1, "d": 1 << 32, "c": 1 << 32}, False, 6 * S)
    assert seen(views, 6 * S) and views.view.agreed == 7  # entries on other things make no new view
    views.on_log_applied(9, {"a": 1, "d": 1 << 32, "c": 1 << 32}, True, 7 * S)
    seen(views, 7 * S)  # fenced: by its own word again; the log's is no reason for any standing
    assert views.view.agreed == 0
    views.on_member_changed(member("d", MemberState.DEAD), 8 * S)
    seen(views, 8 * S)
    assert views.view.state is FleetState.ALONE
    views.on_member_changed(member("d", MemberState.LEFT), 9 * S)
    seen(views, 9 * S)
    assert seen(views, 700 * S) == {}  # and who is gone for long is forgotten


def test_each_action_is_in_the_table_and_none_is_bolder_for_a_worse_standing():
    assert set(degraded_mode.ALLOWED_BY_HEALTH) == set(PeerAction) and set(
        degraded_mode.ALLOWED_BY_FLEET
    ) == set(OwnAction)
    # Bold ones: never on one that may be gone, or works otherwise.
    for action in (PeerAction.BELIEVE, PeerAction.LEND, PeerAction.LEASE_HOLDER):
        assert not degraded_mode.ALLOWED_BY_HEALTH[action] & {
            HealthState.GONE,
            HealthState.ONE_WAY,
            HealthState.LEAVING,
            HealthState.OTHER_BUILD,
        }
    for action in (
        PeerAction.HOLDS,
        PeerAction.COUNTED,
        PeerAction.AWAITED,
    ):  # careful ones: whatever it looks like
        assert degraded_mode.ALLOWED_BY_HEALTH[action] == set(HealthState)
    assert not degraded_mode.allows_own(OwnAction.BORROW, FleetState.ALONE) and degraded_mode.allows_own(
        OwnAction.TELL, FleetState.STOOD_STILL
    )


def members(*others):
    made = FailureDetector(member("a"), [], RandomSource("a", 1), 0)
    for name in others:
        made.on_message(name, FullState([member(name)], False), 0)
    return made


def test_an_end_takes_two_fronts_that_were_refused_and_one_alone_ends_nobody():
    one = members("b", "c", "d")
    assert (
        one.on_connection_reset("b", S) == [CheckPort("b", "at-b", 1 << 32)]
        and one.on_connection_reset("b", S + MS) == []
    )
    asked = one.on_connection_refused("b", 1 << 32, S)
    assert (
        asked
        and {a.to for a in asked} <= {"c", "d"}
        and {a.message for a in asked} == {ConnectionRefused("b", 1 << 32)}
    )
    assert one.known["b"].state == MemberState.ALIVE and one.on_connection_refused("b", 1 << 32, S) == []
    assert one.on_message("c", ConnectionRefused("b", 9 << 32), S) == []  # another life's end
    told = one.on_message("c", ConnectionRefused("b", 1 << 32), S)
    assert told[0] == MemberChanged(member("b", MemberState.DEAD, by="a"), member("b"))
    assert all(isinstance(a, Send) and isinstance(a.message, FullState) for a in told[1:]) and len(told) > 1


def test_one_that_hears_of_an_end_looks_itself_and_says_nothing_by_hearsay():
    one = members("b", "c")
    assert one.on_message("c", ConnectionRefused("b", 1 << 32), S) == [CheckPort("b", "at-b", 1 << 32)]
    assert one.known["b"].state == MemberState.ALIVE
    assert [a for a in one.on_connection_refused("b", 1 << 32, S) if isinstance(a, MemberChanged)]
    # What it said before its end may come after it: looked at again at once.
    told = one.on_message("c", FullState([member("b", turn=5)], False), 2 * S)
    assert CheckPort("b", "at-b", 1 << 32) in told


def test_an_answer_by_a_helper_alone_is_told_as_such():
    one = members("b", "c")
    probe = next(a for a in one.on_timer(one.next_deadline()) if isinstance(a.message, Ping))
    other = "c" if probe.to == "b" else "b"
    assert ProbeAnswered(probe.to, False) in one.on_message(other, Ack(probe.message.number, 0, []), MS)


@pytest.mark.parametrize("size, loss", [(3, 0.0), (5, 0.1), (5, 0.3)])
def test_views_are_true_or_more_careful_under_schedules_of_faults(size, loss):
    for seed in range(12):
        assert viewing.find_violations(play_schedule(seed, size, loss).trace) == []


def _never_careful(monkeypatch):
    monkeypatch.setattr(
        ViewTracker,
        "on_member_changed",
        lambda self, m, now, told=ViewTracker.on_member_changed: told(self, m._replace(state=0), now),
    )


def _never_refutes(monkeypatch):
    monkeypatch.setattr(FailureDetector, "_apply_own", lambda self, word: [])


def _never_caught_up(monkeypatch):
    monkeypatch.setattr(ViewTracker, "on_caught_up", lambda self, now: None)


@pytest.mark.parametrize(
    "name, sow",
    [
        ("live_though_away", _never_careful),
        ("gone_though_there", _never_refutes),
        ("stays_in_part", _never_caught_up),
    ],
)
def test_a_sown_defect_makes_its_checker_cry_out(monkeypatch, name, sow):
    sow(monkeypatch)
    assert any(
        name == cry
        for seed in range(12)
        for cry, _ in viewing.find_violations(play_schedule(seed, 5, 0.1).trace)
    )


@pytest.fixture(scope="module")
def five(tmp_path_factory):
    with Rig(tmp_path_factory.mktemp("five"), 5) as rig:
        rig.start_all()
        yield rig


def stands(rig, name, other):
    said = rig.fronts[name].ask("why", "view", other)
    return said["facts"][0]["standing"] if said and said["facts"] else ""


def all_see(rig, other, wanted, names=None, patience=20):
    rig.wait(
        lambda: all(stands(rig, name, other) == wanted for name in names or rig.names if name != other),
        patience,
    )


def state(rig, name):
    return rig.fronts[name].ask("status")["view"]["state"]


def test_a_killed_front_is_gone_at_all_within_a_second_and_a_silent_one_is_doubted(five):
    for name in five.names:
        all_see(five, name, "live")
    since = {name: len(five.fronts[name].lines) for name in five.names}
    killed = time.time() * 1000
    five.fronts["n3"].kill()
    for name in ("n0", "n1", "n2", "n4"):
        told = five.fronts[name].until("fleet_member", since[name], member="n3", standing="gone")
        assert told["at"] - killed <= 1000
    assert state(five, "n0") == "part"
    five.fronts["n4"].signal(signal.SIGSTOP)
    stopped = time.time() * 1000
    for name in ("n0", "n1", "n2"):
        told = five.fronts[name].until("fleet_member", since[name], member="n4", standing="suspect")
        assert told["at"] - stopped <= 6000
    five.fronts["n4"].signal(signal.SIGCONT)
    five.fronts["n3"].start()
    for name in ("n3", "n4"):
        all_see(five, name, "live")
    # It blamed nobody for its own stand-still.
    gone = five.fronts["n4"].seen("fleet_member", since["n4"], standing="gone", by="n4")
    assert {line["member"] for line in gone} <= {"n3"}
    five.wait(lambda: all(state(five, name) == "whole" for name in five.names))


def test_a_link_cut_one_way_and_a_cut_of_two_that_both_reach_others(five):
    for name in five.names:
        all_see(five, name, "live")
    five.inject_fault("cut", **{"from": [n for n in five.names if n != "n1"], "to": ["n1"]})
    five.wait(lambda: stands(five, "n0", "n1") == "one-way", 30)  # it speaks, and hears nobody
    five.inject_fault("heal")
    all_see(five, "n1", "live", patience=40)
    five.split(["n0"], ["n2"])
    five.wait(lambda: stands(five, "n0", "n2") == "cut-off" and stands(five, "n2", "n0") == "cut-off", 40)
    assert stands(five, "n1", "n0") == stands(five, "n1", "n2") == "live"
    five.inject_fault("heal")
    for name in ("n0", "n2"):
        all_see(five, name, "live", patience=40)


@pytest.fixture(scope="module")
def kept(tmp_path_factory):
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


def test_keepers_cut_from_fronts_only_make_views_local_and_gets_go_on(kept):
    kept.split(kept.names, list(kept.keepers))
    kept.wait(lambda: all(view(kept, name)["agreed"] == 0 for name in kept.names))
    assert {stands(kept, "n0", other) for other in ("n1", "n2")} == {"live"}  # by the members' word alone
    assert view(kept, "n0")["state"] == "whole" and kept.get("n0", 5, 5)[0] == 200
    kept.inject_fault("heal")
    kept.wait(lambda: all(view(kept, name)["agreed"] for name in kept.names))


def test_one_that_probes_reach_and_that_follows_no_keeper_is_cut_off_by_the_keepers_word(kept):
    kept.split(["n0"], list(kept.keepers))
    kept.wait(lambda: stands(kept, "n1", "n0") == "cut-off", 30)
    said = kept.fronts["n1"].ask("why", "view", "n0")["facts"][0]
    assert said["by"] == "keepers" and view(kept, "n0")["agreed"] == 0
    assert kept.get("n0", 6, 6)[0] == 200
    kept.inject_fault("heal")
    all_see(kept, "n0", "live", patience=40)


def test_one_that_comes_and_goes_is_kept_out_and_its_own_traffic_goes_on(tmp_path):
    with Rig(tmp_path, 3) as rig:
        rig.start_all()
        front = rig.fronts["n2"]
        for _ in range(3):
            since = len(front.lines)
            front.kill()
            front.start()
            front.until("ready", since, timeout_s=40)
        rig.wait(lambda: stands(rig, "n0", "n2") == stands(rig, "n1", "n2") == "flapping", 30)
        assert rig.get("n2", 7, 7)[0] == 200
        all_see(rig, "n0", "live", ["n2"])


def test_one_of_another_format_is_told_as_such(five):
    all_see(five, "n1", "live")
    life = five.fronts["n0"].ask("why", "view", "n1")["facts"][0]["life"]
    with socket.create_connection(("127.0.0.1", five.fronts["n0"].fleet_port), 3) as sock:
        sock.sendall(
            codec.encode_greeting(codec.Greeting(codec.VERSION + 1, "rig", "front", "n1", "", int(life, 16)))
        )
        while sock.recv(4096):
            pass
    five.wait(lambda: stands(five, "n0", "n1") == "other-build")
    assert stands(five, "n2", "n1") == "live"
