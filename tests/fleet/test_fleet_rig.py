"""Replication among real front processes, with relays between them that cut off, lose, reorder and tear messages.

A purge, drain or held removal given to one front must take effect at all, also after kills, pauses and partitions.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import time

import pytest

from sprucegate.fleet.links import codec
from sprucegate.storage import records
from standins.fleet.rig import Rig

OBJECT = 0x7F3A9C21E0B4D655


def write_list(folder, *boxes):
    rows = [
        f'    server "gone-{at + 64:02x}" address="127.0.0.1:{at + 1}" location="here" kind="std"\n'
        for at in boxes
    ]
    (folder / "fresh").write_text("servers {\n" + "".join(rows) + "}\n")
    os.rename(folder / "fresh", folder / "list.kdl")


def now_ms():
    return int(time.time() * 1000)


def purge_value(at):
    return at * 1_000_000


@pytest.fixture
def three_fronts(tmp_path):
    with Rig(tmp_path, 3) as rig:
        rig.start_all()
        yield rig


@pytest.mark.parametrize("is_spread", [True, False])
def test_a_purge_given_to_a_front_that_is_then_killed_reaches_all_fronts(three_fronts, is_spread):
    rig, at = three_fronts, now_ms()
    if not is_spread:
        rig.split(["n0"], ["n1", "n2"])
    rig.purge(["n0"], 5, at)
    rig.wait_for_fact(("purge", "object", 5), purge_value(at), ["n0"])
    if is_spread:
        rig.fronts["n1"].until("fleet_told")
    rig.fronts["n0"].kill()
    if not is_spread:
        assert not rig.fronts["n1"].holds() and not rig.fronts["n2"].holds()
        rig.inject_fault("heal")
        rig.fronts["n0"].start()  # the purge was on its disk before it could be sent
    rig.wait_for_fact(("purge", "object", 5), purge_value(at), None if not is_spread else ["n1", "n2"])


def test_own_copies_older_than_a_purge_given_to_another_front_are_not_served(three_fronts):
    rig, sock = (
        three_fronts,
        socket.create_connection(("127.0.0.1", three_fronts.fronts["n1"].port), timeout=5),
    )

    def own_copies():
        line = len(rig.fronts["n1"].lines)
        for n in range(5):
            assert rig.get("n1", OBJECT, own_copies.calls + n, sock)[0] == 200
        own_copies.calls += 5
        return rig.fronts["n1"].until("second", line).get("gets_own", 0)

    own_copies.calls = 1
    rig.wait(lambda: own_copies() > 0)
    line, at = len(rig.fronts["n1"].lines), now_ms()
    rig.purge(["n0"], OBJECT, at)
    rig.fronts["n1"].until("fleet_told", line, kind="purge")
    ran = rig.fronts["n1"].until("second", len(rig.fronts["n1"].lines))["at"]
    line = len(rig.fronts["n1"].lines)
    assert rig.get("n1", OBJECT, 90_001, sock)[0] == 200
    second = rig.fronts["n1"].until("second", line)
    assert second["at"] > ran and second["gets_returned"] == 1 and "gets_own" not in second


def test_a_front_that_was_cut_off_exchanges_missed_records_after_the_partition(three_fronts):
    rig, at = three_fronts, now_ms()
    rig.split(["n2"], ["n0", "n1"])
    rig.purge(["n0"], 5, at)
    rig.health(["n1"], 0, "draining")
    rig.purge(["n2"], 6, at)
    rig.wait_for_fact(("word", 16, 0, "bus", "n1"), "draining", ["n0", "n1"])
    rig.fronts["n0"].until("fleet_member", member="n2", standing="gone", timeout_s=40)
    assert set(rig.fronts["n2"].holds()) == {("purge", "object", 6)}
    rig.inject_fault("heal")
    for key, value in (
        (("purge", "object", 5), purge_value(at)),
        (("purge", "object", 6), purge_value(at)),
        (("word", 16, 0, "bus", "n1"), "draining"),
    ):
        rig.wait_for_fact(key, value)
    rig.wait_until_all_alive()


@pytest.mark.parametrize("n2_receives", [True, False])
def test_records_spread_over_a_one_way_partition(three_fronts, n2_receives):
    rig, at = three_fronts, now_ms()
    pair = {"from": ["n2"], "to": ["n0", "n1"]} if n2_receives else {"from": ["n0", "n1"], "to": ["n2"]}
    rig.inject_fault("cut", **pair)
    source, receivers = ("n0", ["n0", "n1", "n2"]) if n2_receives else ("n2", ["n0", "n1", "n2"])
    rig.purge([source], 5, at)
    rig.wait_for_fact(("purge", "object", 5), purge_value(at), receivers)
    rig.inject_fault("heal")
    rig.wait_until_all_alive()


def test_drains_from_both_sides_of_a_partition_hold_until_each_source_lifts_its_own(three_fronts):
    rig = three_fronts
    rig.split(["n2"], ["n0", "n1"])
    rig.health(["n0"], 0, "draining")
    rig.health(["n2"], 0, "draining")
    rig.wait_for_fact(("word", 16, 0, "bus", "n0"), "draining", ["n0", "n1"])
    rig.wait_for_fact(("word", 16, 0, "bus", "n2"), "draining", ["n2"])
    rig.inject_fault("heal")
    for owner in ("n0", "n2"):
        rig.wait_for_fact(("word", 16, 0, "bus", owner), "draining")
    rig.health(["n0"], 0, "up")
    rig.wait_for_fact(("word", 16, 0, "bus", "n0"), "lifted")
    assert all(f.holds()[("word", 16, 0, "bus", "n2")] == "draining" for f in rig.fronts.values())
    # n1 got neither drain by its own bus, and sends nothing to the server until the second is lifted as well.
    assert gets_run_at(rig, "n1", 0, 100) == 0
    rig.health(["n2"], 0, "up")
    rig.wait_for_fact(("word", 16, 0, "bus", "n2"), "lifted")
    assert gets_run_at(rig, "n1", 0, 1000) > 0


def gets_run_at(rig, name, box, first):
    """Return how many of 60 GETs of other objects through that front are run at one of the caches."""
    before = rig.ran(box)
    with socket.create_connection(("127.0.0.1", rig.fronts[name].port), timeout=5) as sock:
        for n in range(first, first + 60):
            assert rig.get(name, n * 7919 + 1, (1 << 32) + n, sock)[0] == 200
    return rig.ran(box) - before


def test_a_front_with_a_restored_folder_takes_a_new_incarnation_and_restores_no_old_state(three_fronts):
    rig, at, front = three_fronts, now_ms(), three_fronts.fronts["n2"]
    rig.health(["n2"], 0, "draining")
    rig.wait_for_fact(("word", 16, 0, "bus", "n2"), "draining")
    front.kill()
    shutil.copytree(front.folder / "state", front.folder / "old")
    front.start()
    front.until("ready", len(front.lines))
    rig.wait_until_all_alive()
    rig.health(["n2"], 0, "up")  # offset 3 of its bus, which sends offsets 2 and 3 again at each start
    rig.wait_for_fact(("word", 16, 0, "bus", "n2"), "lifted")
    rig.purge(["n2"], 6, at)
    rig.wait_for_fact(("purge", "object", 6), purge_value(at))
    front.kill()
    shutil.rmtree(front.folder / "state")
    shutil.move(front.folder / "old", front.folder / "state")
    since = len(front.lines)
    front.start()
    front.until("ready", since)
    rig.wait_for_fact(("purge", "object", 6), purge_value(at))
    rig.wait_for_fact(("word", 16, 0, "bus", "n2"), "lifted")
    assert gets_run_at(rig, "n1", 0, 100) > 0


def test_two_processes_of_one_name_are_distinguished(three_fronts):
    rig, duplicate = three_fronts, three_fronts.duplicate("n2")
    duplicate.start()
    duplicate.until("ready")
    rig.wait(lambda: rig.fronts["n2"].seen("fleet_name_twice") or duplicate.seen("fleet_name_twice"), 30)
    seen = [line for f in (rig.fronts["n2"], duplicate) for line in f.seen("fleet_name_twice")]
    assert seen and all(line["own"] != line["other"] for line in seen)
    at = now_ms()
    for number, source in enumerate((duplicate, rig.fronts["n2"]), 70):
        rig.purge_at(source, number, at)
        rig.wait_for_fact(("purge", "object", number), purge_value(at))
        rig.wait(lambda key=("purge", "object", number): key in duplicate.holds())


def test_a_front_resumed_after_sigstop_rejoins_and_counts_no_other_as_gone(three_fronts):
    rig, at, paused = three_fronts, now_ms(), three_fronts.fronts["n1"]
    rig.purge(["n1"], 4, at)
    paused.signal(signal.SIGSTOP)
    rig.purge(["n0"], 5, at)
    rig.wait_for_fact(("purge", "object", 5), purge_value(at), ["n0", "n2"])
    rig.fronts["n0"].until("fleet_member", member="n1", standing="suspect", timeout_s=20)
    time.sleep(5)  # the test is of a process that is stopped for seconds
    paused.signal(signal.SIGCONT)
    for number in (4, 5):
        rig.wait_for_fact(("purge", "object", number), purge_value(at))
    rig.wait_until_all_alive()
    assert not paused.seen("fleet_member", standing="gone")


def greeting(version, fleet):
    return codec.encode_greeting(codec.Greeting(version, fleet, "front", "x", "", 1))


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "more than"),
        (b"\xff\xff\xff\xff" + bytes(100), "more than"),
        (records.record(b"\x00" * 40), "no greeting"),
        (records.record(b"x" * 40)[:-1] + b"y", "checksum"),
        (greeting(codec.VERSION + 1, "rig"), "format"),
        (greeting(codec.VERSION, "other"), "fleet"),
        (greeting(codec.VERSION, "rig") + records.record(b"\x92\x63\xc0"), "kind"),
        (
            greeting(codec.VERSION, "rig")
            + codec.encode_message(
                codec.replica.SpreadRecords([codec.ReplicatedRecord(("bogus", 1), (1,), ("x", 1, 1))], 0, 0)
            ),
            "no known kind",
        ),
    ],
)
def test_a_malformed_message_closes_only_its_own_connection(one_front, data, why):
    rig, front = one_front, one_front.fronts["n0"]
    since = len(front.lines)
    with socket.create_connection(("127.0.0.1", front.fleet_port), timeout=5) as sock:
        sock.sendall(data)
        while sock.recv(4096):
            pass
    assert why in front.until("fleet_peer_refused", since)["error"]
    assert front.ask("status")["ok"] and rig.get("n0", OBJECT, since + 1)[0] == 200


@pytest.fixture(scope="module")
def one_front(tmp_path_factory):
    with Rig(tmp_path_factory.mktemp("one"), 1) as rig:
        rig.fronts["n0"].start()
        rig.fronts["n0"].until("fleet_alone")
        rig.fronts["n0"].until("ready")
        yield rig


def test_purges_reach_all_fronts_with_lost_duplicated_reordered_and_torn_frames(three_fronts):
    rig, at = three_fronts, now_ms()
    everyone = {"from": rig.names, "to": rig.names}
    rig.inject_fault("loss", share=0.2, **everyone)
    rig.inject_fault("twice", share=0.1, **everyone)
    rig.inject_fault("swap", share=0.1, **everyone)
    for number in range(40):
        rig.purge([rig.names[number % 3]], number, at)
        if number % 10 == 5:
            rig.inject_fault("tear", **everyone)
    for number in range(40):
        rig.wait_for_fact(("purge", "object", number), purge_value(at))


def test_records_discarded_while_a_front_was_away_are_not_restored_by_it(tmp_path):
    with Rig(tmp_path, 3, kdl="    purge-life (s)1\n") as rig:
        rig.start_all()
        rig.health(["n0"], 0, "draining")
        rig.wait_for_fact(("word", 16, 0, "bus", "n0"), "draining")
        rig.split(["n2"], ["n0", "n1"])
        rig.fronts["n0"].until("fleet_member", member="n2", standing="gone", timeout_s=40)
        rig.fronts["n1"].until("fleet_member", member="n2", standing="gone", timeout_s=40)
        rig.health(["n0"], 0, "up")
        rig.wait(lambda: not rig.fronts["n0"].holds() and not rig.fronts["n1"].holds(), 40)
        assert rig.fronts["n2"].holds() == {("word", 16, 0, "bus", "n0"): "draining"}
        rig.inject_fault("heal")
        rig.wait(lambda: not rig.fronts["n2"].holds(), 40)
        assert not rig.fronts["n0"].holds() and not rig.fronts["n1"].holds()
        assert gets_run_at(rig, "n2", 0, 100) > 0


def test_a_removal_held_at_one_front_is_held_at_all_and_confirmed_by_one_command(tmp_path):
    more = (
        f'membership {{{{\n    file "{tmp_path}/list.kdl"\n    state "{tmp_path}/{{name}}/servers"\n'
        "    most-removed 0.6\n    hold (min)10\n}}\n"
    )
    with Rig(tmp_path, 2, caches=3, more=more) as rig:
        write_list(tmp_path, 0, 1, 2)
        rig.start_all()
        write_list(tmp_path, 0)
        held = rig.fronts["n0"].until("servers_held")
        assert held["share"] > 0.6
        rig.fronts["n1"].until("servers_held")
        kinds = {key for key in rig.fronts["n0"].holds() if key[0] == "held"}
        assert len(kinds) == 1
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "sprucegate",
                "servers",
                "confirm",
                str(held["number"]),
                "--file",
                str(rig.fronts["n0"].folder / "front.kdl"),
            ],
            capture_output=True,
            timeout=30,
        )
        assert done.returncode == 0
        for front in rig.fronts.values():
            front.until("servers_confirmed")
        rig.wait_for_fact(next(iter(kinds)), 1)


def test_a_removal_held_at_one_front_is_held_by_a_restarted_front(tmp_path):
    more = (
        f'membership {{{{\n    file "{tmp_path}/list.kdl"\n    state "{tmp_path}/{{name}}/servers"\n'
        "    most-removed 0.6\n    hold (min)10\n}}\n"
    )
    with Rig(tmp_path, 2, caches=3, more=more) as rig:
        write_list(tmp_path, 0, 1, 2)
        rig.start_all()
        front = rig.fronts["n1"]
        rig.wait(lambda: any((front.folder / "servers").glob("servers-*.snap")))
        front.kill()
        # Its own safety gate would accept the removal.
        file = front.folder / "front.kdl"
        file.write_text(file.read_text().replace("most-removed 0.6", "most-removed 0.9"))
        write_list(tmp_path, 0)
        rig.fronts["n0"].until("servers_held")
        since = len(front.lines)
        front.start()
        front.until("ready", since)
        assert front.seen("servers_held", since)


def test_beliefs_are_sent_to_the_neighbours(three_fronts):
    # Evidence is taken only from fronts that have been live for a while.
    three_fronts.wait(
        lambda: all(
            one["standing"] == "live"
            for name in three_fronts.names
            for one in three_fronts.fronts[name].ask("status")["view"]["fronts"]
        )
    )
    with socket.create_connection(("127.0.0.1", three_fronts.fronts["n0"].port), timeout=5) as sock:
        for n in range(40):
            assert three_fronts.get("n0", OBJECT + n % 10, n + 1, sock)[0] == 200
    three_fronts.wait(
        lambda: all(three_fronts.fronts[name].ask("status")["evidence_in"] >= 10 for name in ("n1", "n2"))
    )
    assert not three_fronts.fronts["n1"].holds()  # evidence is not a replicated fact


def test_seven_of_ten_fronts_restart_at_once_under_gets_and_have_all_purges(tmp_path):
    with Rig(tmp_path, 10) as rig:
        rig.start_all()
        at, calls, answers = now_ms(), iter(range(1, 1 << 30)), []
        for number in range(100):
            rig.purge([rig.names[number % 10]], number, at)
        # At every front: one that is killed before its bus sent the purge would have nothing to lose.
        rig.wait(lambda: all(len(front.holds()) == 100 for front in rig.fronts.values()))
        away = rig.names[3:]
        for name in away:
            rig.fronts[name].kill()
        rig.purge(["n0"], 500, at)
        rig.wait_for_fact(("purge", "object", 500), purge_value(at), rig.names[:3])
        since = {name: len(rig.fronts[name].lines) for name in away}
        for name in away:
            rig.fronts[name].start()
        for name in away:
            answers += [rig.get(one, OBJECT + n, next(calls))[0] for one in rig.names[:3] for n in range(5)]
            rig.fronts[name].until("ready", since[name], timeout_s=40)
            held = rig.fronts[name].holds()
            assert len(held) == 101 and held[("purge", "object", 500)] == purge_value(at)
            assert rig.fronts[name].live() == 200
        assert set(answers) == {200}
        rig.wait_until_all_alive()


def test_a_front_alone_serves_and_syncs_with_one_that_starts_later(tmp_path):
    with Rig(tmp_path, 2) as rig:
        one, other = rig.fronts.values()
        one.start()
        one.until("fleet_alone")
        one.until("ready")
        at = now_ms()
        rig.purge(["n0"], 5, at)
        rig.wait_for_fact(("purge", "object", 5), purge_value(at), ["n0"])
        other.start()
        other.until("fleet_caught_up")
        assert other.holds() == {("purge", "object", 5): purge_value(at)}
        one.until("fleet_caught_up")


def test_a_front_without_a_fleet_block_imports_nothing_of_the_fleet(tmp_path):
    (tmp_path / "empty.kdl").write_text("servers {\n}\n")
    for command in ([], ["front", "--file", str(tmp_path / "empty.kdl")]):
        done = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "sprucegate", *command],
            capture_output=True,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "none")},
            timeout=30,
        )
        assert done.returncode == 2 and "uvloop" in done.stderr
        assert "sprucegate.fleet" not in done.stderr
