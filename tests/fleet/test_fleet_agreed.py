"""Keepers, fronts and box agents as processes: who goes out, whoever is killed, stopped, cut off or put back."""

import asyncio
import shutil
import signal
import subprocess
import sys
import threading
import time
from types import SimpleNamespace as NS

import orjson
import pytest

from sprucegate.fleet.consensus.voter_driver import VoterDriver
from sprucegate.fleet.maintenance_agent import ConsensusSettings, MaintenanceAgent
from sprucegate.routing.settings import RoutingSettings
from sprucegate.storage.disk import Disk
from standins.fleet.agent import Agent
from standins.fleet.rig import Rig

THING = 0x7F3A9C21E0B4D655
ALL = '"fleet cache 1 1.0"'


@pytest.fixture
def rig(tmp_path):
    with Rig(tmp_path, 2, caches=4, keepers=3, budgets=ALL) as made:
        made.start_all()
        yield made


def asks(rig, front, box, id, request=None):
    return rig.propose(front, "ask", id, box, "op", "test", id=request)


def leads(rig, patience=20, but=()):
    """The keeper that leads, once there is one besides those."""
    found = []

    def so():
        found[:] = [rig.leader()]
        return found[0] and found[0] not in but

    rig.wait(so, patience)
    return found[0]


def agents(rig, *boxes, **given):
    one = Agent(rig, "a0", boxes or range(4), **given)
    one.start()
    return one


def ends(one):
    one.stopped = True
    one.join(20)
    assert one.fault is None, one.fault


def test_a_drain_is_kept_at_all_fronts_and_a_box_is_back_by_their_word(rig):
    sock_calls = iter(range(1, 1 << 30))
    one = agents(rig)
    assert asks(rig, "n0", "s-10", "h")["word"] == "asked"
    rig.step("h", "back")
    ends(one)
    assert one.replaced == [(0, "")] and one.late == 0
    assert all(rig.get(name, THING + n, next(sock_calls))[0] == 200 for name in rig.names for n in range(10))
    assert asks(rig, "n1", "s-10", "h", request="new")["word"] == "back"  # the same permit: no second effect
    assert not rig.agreed("n1")["permits"]


def test_a_leader_that_is_killed_after_it_took_a_request_loses_nothing(rig):
    assert asks(rig, "n0", "s-10", "h", request="one")["ok"]
    first = leads(rig)
    rig.keepers[first].kill()
    assert asks(rig, "n0", "s-10", "h", request="one")["word"] in ("asked", "granted")
    assert leads(rig, but=[first])
    rig.step("h", "drained")
    assert asks(rig, "n1", "s-11", "i")["word"] == "asked"
    rig.wait(lambda: rig.permit("n1", "i").get("waits", [""])[0] == "fleet cache")
    rig.keepers[first].start()
    rig.keepers[first].until("keeper_fit", since=len(rig.keepers[first].lines) - 1)


def test_a_leader_that_stood_still_grants_nothing_when_it_wakes(rig):
    first = leads(rig)
    rig.keepers[first].signal(signal.SIGSTOP)
    try:
        second = leads_among(rig, first)
        assert asks(rig, "n0", "s-10", "h")["ok"]
    finally:
        rig.keepers[first].signal(signal.SIGCONT)
    rig.keepers[first].until("keeper_leads_no_more")
    rig.step("h", "drained")
    assert asks(rig, "n1", "s-11", "i")["ok"]
    rig.wait(lambda: rig.permit("n0", "i").get("waits"))
    granted = [line["permit"] for k in rig.keepers.values() for line in k.seen("permit_granted")]
    assert granted == ["h"] and second != first


def leads_among(rig, stopped):
    """As `leads`, of those that answer: one that stands still would be waited for."""
    found = []

    def so():
        said = {
            n: (k.ask("agreed") or {}).get("voting") or {} for n, k in rig.keepers.items() if n != stopped
        }
        found[:] = [n for n, one in said.items() if one.get("role") == "leader"]
        return found

    rig.wait(so)
    return found[0]


def test_without_a_majority_nothing_is_granted_and_a_request_can_be_given_again(rig):
    dead = list(rig.keepers)[:2]
    for name in dead:
        rig.keepers[name].kill()
    begun = time.monotonic()
    said = asks(rig, "n0", "s-10", "h", request="one")
    assert said["quorum"] is False and time.monotonic() - begun < 5
    rig.fronts["n0"].until("keepers_lost")
    assert not rig.agreed("n0")["permits"] and rig.agreed("n0")["fenced"]
    assert rig.get("n0", THING, 77)[0] == 200  # and clients are served all the same
    for name in dead:
        rig.keepers[name].start()
    rig.wait(lambda: asks(rig, "n1", "s-10", "h", request="one").get("ok"))
    rig.step("h", "drained")


def test_two_whole_folders_of_three_are_a_majority_whoever_is_gone_for_good(rig):
    # Two keepers killed and one back: it waited for the third for ever, and every drain was refused.
    first = leads(rig)
    gone, back = first, next(name for name in rig.keepers if name != first)
    rig.keepers[gone].kill()
    rig.keepers[back].kill()
    since = len(rig.keepers[back].lines)
    rig.keepers[back].start()
    begins = rig.keepers[back].until("keeper_begins", since)
    fit = rig.keepers[back].until("keeper_fit", since)
    assert fit["at"] - begins["at"] <= 2000
    rig.wait(lambda: asks(rig, "n0", "s-10", "h", request="one").get("ok"))
    rig.step("h", "drained")


@pytest.mark.parametrize("how", ["lost", "put back"])
def test_a_keeper_whose_folder_was_put_back_comes_back_as_another_member(rig, how):
    keeper = rig.keepers["k0"]
    asks(rig, "n0", "s-10", "h")
    rig.step("h", "drained")
    shutil.copytree(keeper.folder / "keeper", rig.folder / "old")
    # A later start, of which the others know: the old copy is from before it.
    keeper.kill()
    since = len(keeper.lines)
    keeper.start()
    keeper.until("keeper_fit", since)
    asks(rig, "n0", "s-11", "i")
    keeper.kill()
    shutil.rmtree(keeper.folder / "keeper")
    if how == "put back":
        shutil.copytree(rig.folder / "old", keeper.folder / "keeper")
    since = len(keeper.lines)
    keeper.start()
    other = keeper.until("keeper_put_back", since)["name"]
    assert other.startswith("k0^")

    def taken_in():
        voting = (rig.keepers["k1"].ask("agreed") or {}).get("voting") or {}
        return sorted(voting.get("voters", ())) == sorted(["k1", "k2", other])

    rig.wait(taken_in)
    rig.wait(lambda: (keeper.ask("agreed") or {}).get("voting", {}).get("committed", 0) > 0)
    assert rig.permit("n1", "i")["waits"][0] == "fleet cache"


def test_two_operators_ask_at_two_fronts_for_the_last_two_of_a_location(tmp_path):
    with Rig(tmp_path, 2, caches=2, keepers=3, budgets='"fleet cache 9 1.0"') as rig:
        rig.start_all()
        said = {}
        threads = [
            threading.Thread(target=lambda f=front, b=box, i=id: said.update({i: asks(rig, f, b, i)}))
            for front, box, id in (("n0", "s-10", "h"), ("n1", "s-11", "i"))
        ]
        for one in threads:
            one.start()
        for one in threads:
            one.join(20)
        assert all(one["word"] == "asked" for one in said.values())
        rig.wait(lambda: sorted(rig.step_of("n0", id) for id in "hi") == ["asked", "drained"])
        waiting = next(id for id in "hi" if rig.permit("n0", id)["step"] == "asked")
        assert rig.permit("n0", waiting)["waits"][0] in ("last", "warm")


def test_a_cache_that_fails_takes_its_place_in_the_budget(rig):
    process = rig.boxes[0].process
    process.kill()
    process.wait()
    calls = iter(range(1, 1 << 30))

    def told():
        for name in rig.names:
            for _ in range(20):  # other objects each time: a copy of the front's own needs no cache
                rig.get(name, THING + next(calls), next(calls))
        return rig.agreed("n0").get("out", {}).get("s-10") == "unreachable"

    rig.wait(told, 30)
    asks(rig, "n0", "s-11", "h")
    rig.wait(lambda: (rig.permit("n1", "h").get("waits") or [""])[0] == "fleet cache")


def test_an_agent_that_lies_brings_nothing_back(rig):
    one = agents(rig, manner="lying")
    asks(rig, "n0", "s-10", "h")
    rig.step("h", "cold")
    asks(rig, "n0", "s-11", "i")
    rig.wait(
        lambda: rig.permit("n0", "i") and rig.permit("n1", "i")
    )  # a keeper's word reaches each in its time
    calls = iter(range(1, 1 << 30))
    for _ in range(5):
        # A shed is an answer: on a busy machine what met the dead box first has no time left for another.
        said = [rig.get(name, THING + n, next(calls))[0] for name in rig.names for n in range(10)]
        assert set(said) <= {200, 503} and said.count(200) >= 15
    assert rig.permit("n0", "h")["step"] == "cold" and rig.permit("n0", "h")["warm"] == []
    assert rig.permit("n1", "i")["step"] == "asked"
    ends(one)
    honest = Agent(rig, "a1", range(4))
    honest.start()
    rig.step("h", "back")
    rig.step("i", "back")
    ends(honest)


def test_an_agent_that_dies_with_its_box_down_is_followed_by_another(rig):
    one = agents(rig, manner="dying")
    asks(rig, "n0", "s-10", "h")
    asks(rig, "n0", "s-11", "i")
    one.join(20)
    assert rig.step_of("n0", "h") == "out" and rig.step_of("n0", "i") == "asked"
    other = Agent(rig, "a1", range(4))
    other.start()
    rig.step("h", "back")
    rig.step("i", "back")
    ends(other)


def test_a_front_that_can_not_reach_the_keepers_serves_and_is_waited_for_until_it_is_fenced(rig):
    rig.split(["n0"], list(rig.keepers))
    asks(rig, "n1", "s-10", "h")
    rig.wait(lambda: rig.permit("n1", "h").get("drained") == ["n1"])
    assert rig.get("n0", THING, 5)[0] == 200
    lost = rig.fronts["n0"].until("keepers_lost")["at"]
    rig.step("h", "drained", ["n1"])
    drained = int(time.time() * 1000)
    assert drained >= lost  # its own lease ended before it was counted out
    assert rig.agreed("n1")["fronts"] == ["n1"] and rig.agreed("n0")["fenced"]
    rig.trouble("heal")
    rig.wait(lambda: rig.agreed("n1")["fronts"] == ["n0", "n1"])


def plan(tmp_path, waves, version="2", bake="(ms)500", name="v2"):
    lines = "".join(f"    wave {' '.join(chr(34) + box + chr(34) for box in wave)}\n" for wave in waves)
    file = tmp_path / f"{name}.kdl"
    file.write_text(
        f'release "{name}" {{\n    kind "std"\n    version "{version}"\n    former "1"\n    bake {bake}\n'
        f"{lines}}}\n"
    )
    return file


def command(rig, front, *given):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "sprucegate",
            "fleet",
            *map(str, given),
            "--json",
            "--file",
            str(rig.fronts[front].folder / "front.kdl"),
        ],
        capture_output=True,
        timeout=30,
    )
    assert done.stdout, done.stderr
    return done.returncode, orjson.loads(done.stdout)


class Gets(threading.Thread):
    """GETs of ever other objects through all fronts, one after another; `bad`: what was lost or errored."""

    def __init__(self, rig, number=1):
        super().__init__(daemon=True)
        self.rig, self.stopped, self.count, self.bad, self.first = rig, False, 0, [], number << 32

    def run(self):
        while not self.stopped:
            for name in self.rig.names:
                self.count += 1
                status, _ = self.rig.get(name, self.first + self.count, self.first + self.count)
                if status not in (200, 503):  # a shed is an answer: a slow box, or a busy machine, costs some
                    self.bad.append((name, status))


def test_a_good_release_goes_through_all_waves_under_gets(rig, tmp_path):
    one, gets = agents(rig), Gets(rig)
    gets.start()
    file = plan(tmp_path, [["s-10"], ["s-11", "s-12"], ["s-13"]])
    assert command(rig, "n0", "release", "start", file)[1]["word"] == "started"
    rig.phase("v2", "done")
    told = [row[2] for row in command(rig, "n1", "release", "history", "v2")[1]["history"]]
    assert told == ["started", "wave 1 passed", "wave 2 passed", "wave 3 passed", "done"]
    gets.stopped = True
    gets.join(10)
    ends(one)
    assert sorted(one.replaced) == [(at, "2") for at in range(4)] and one.late == 0
    assert gets.count > 200 and gets.bad == []


def test_a_slow_release_is_halted_in_the_canary_and_goes_back(rig, tmp_path):
    one, gets = agents(rig, versions={"2": {"service": 0.6}}), Gets(rig)
    more = [Gets(rig, number) for number in (2, 3, 4)]
    for each in (gets, *more):
        each.start()
    assert (
        command(
            rig, "n0", "release", "start", plan(tmp_path, [["s-10"], ["s-11", "s-12", "s-13"]], bake="(s)60")
        )[0]
        == 0
    )
    rig.phase("v2", "halted")
    assert "late" in rig.agreed("n1")["releases"][0]["why"] and one.replaced == [(0, "2")]
    assert command(rig, "n1", "release", "back", "v2")[1]["word"] == "goes back"
    rig.phase("v2", "returned")
    for each in (gets, *more):
        each.stopped = True
        each.join(10)
    ends(one)
    assert one.replaced == [(0, "2"), (0, "1")] and [b for g in (gets, *more) for b in g.bad] == []


def test_the_command_line_says_by_whose_word_and_what_failed(rig, tmp_path):
    assert command(rig, "n0", "drain", "s-77")[0] == 1
    status, said = command(rig, "n0", "drain", "s-10", "--id", "mine")
    assert (status, said["word"], said["request"]) == (0, "asked", "mine")
    assert command(rig, "n1", "drain", "s-10", "--id", "mine")[1]["word"] == "asked"
    rig.step("mine", "drained")
    status, said = command(rig, "n1", "watch")
    assert status == 0 and said["permits"][0]["step"] == "drained" and said["leader"] in rig.keepers
    assert command(rig, "n1", "undrain", "mine")[1]["word"] == "withdrawn"
    assert command(rig, "n1", "out", "mine")[0] == 1
    asks(rig, "n0", "s-11", "own")
    rig.step("own", "drained")
    said = [
        command(rig, "n1", *words)[1]["word"]
        for words in (("out", "own"), ("renew", "own"), ("started", "own", "s1"))
    ]
    assert said == ["out", "done", "cold"]
    rig.step("own", "back")
    # Relays carry frames alone: a question goes to the keepers themselves.
    file = rig.fronts["n0"].folder / "front.kdl"
    for relayed, keeper in zip(rig.relay.addresses[2:], rig.keepers.values(), strict=True):
        file.write_text(file.read_text().replace(relayed, f"127.0.0.1:{keeper.fleet_port}"))
    status, said = command(rig, "n0", "keepers")
    assert status == 0 and sorted(k["role"] for k in said["keepers"]) == ["follower", "follower", "leader"]
    bad = tmp_path / "bad.kdl"
    bad.write_text('release "x" {\n    kind "std"\n    wave 5\n}\n')
    status, said = command(rig, "n0", "release", "start", bad)
    assert status == 2 and ":3:" in said["error"] and "release.wave" in said["error"]
    assert command(rig, "n0", "release", "halt", "v9")[0] == 1
    assert command(rig, "n0", "release", "status", "v9")[0] == 1
    assert command(rig, "n0", "release", "history")[1]["history"] == []


def test_a_front_restarts_by_permit_and_one_without_is_obeyed_and_counted(tmp_path):
    with Rig(tmp_path, 3, caches=2, keepers=3, budgets='"fleet front 1 1.0"') as rig:
        rig.start_all()
        one = agents(rig, "n1")
        asks(rig, "n0", "n1", "h")
        asks(rig, "n0", "n2", "i")
        rig.step("h", "back", ["n0", "n2"])
        rig.wait(lambda: rig.step_of("n0", "i") == "drained")
        assert rig.fronts["n2"].live() == 503 and rig.fronts["n1"].live() == 200
        ends(one)
        assert one.replaced == [("n1", "")] and rig.agreed("n0")["left_without_permit"] == 0
        assert rig.propose("n0", "withdraw", "i")["word"] == "withdrawn"
        rig.wait(lambda: rig.fronts["n2"].live() == 200)
        rig.fronts["n2"].signal(signal.SIGTERM)
        rig.fronts["n2"].until("left_without_permit")
        rig.wait(lambda: rig.agreed("n0").get("left_without_permit") == 1)
        assert rig.agreed("n0")["fronts"] == ["n0", "n1"]


def test_a_box_that_does_not_start_at_once_keeps_its_place(rig):
    one = agents(rig, manner="failing")
    asks(rig, "n0", "s-10", "h")
    rig.step("h", "back")
    ends(one)
    assert one.vain == 2 and one.replaced == [(0, "")]


class Fickle(Disk):
    """A disk that has no room while `full`."""

    full = False

    def write(self, handle, data):
        if self.full:
            raise OSError(28, "no space left on device")
        return super().write(handle, data)


def test_a_keeper_whose_disk_is_full_steps_down_and_votes_again_once_there_is_room(tmp_path):
    events = []

    async def played():
        disk = Fickle()
        node = ConsensusSettings({"k0": "127.0.0.1:1"}, str(tmp_path / "k0"), None)
        one = VoterDriver("k0", node, 7, lambda event, **said: events.append(event), lambda *_: None, disk)
        await one.begins()

        async def until(event):
            for _ in range(2000):
                if event in events:
                    return
                one.due(time.monotonic_ns())
                await asyncio.sleep(0.005)
            raise AssertionError((event, events))

        await until("keeper_leads")
        index, actions = one.raft_node.propose(["front", "n0", 1, True], time.monotonic_ns())
        one.do(actions)
        while "n0" not in one.serving.machine.permits.fronts:
            await asyncio.sleep(0.005)
        disk.full = True
        one.do(one.raft_node.propose(["front", "n1", 1, True], time.monotonic_ns())[1])
        await until("keeper_not_kept")
        await until("keeper_leads_no_more")
        await until("keeper_off")  # no start can be counted, so it says nothing at all
        assert one.raft_node is None
        disk.full = False
        events.clear()
        await until("keeper_leads")
        while "n0" not in one.serving.machine.permits.fronts:
            await asyncio.sleep(0.005)
        await one.stop()

    asyncio.run(asyncio.wait_for(played(), 30))


class Half:
    """A transport whose connection to each place was begun and is not made, or was made at `made`."""

    def __init__(self, made=None):
        self.made = made

    def came_up(self, place, since):
        return self.made is not None and self.made >= since

    def warm(self, place, now):
        pass

    leave = open_connections = warm


@pytest.mark.parametrize("made, warm", [(None, False), (5, False), (15, True)])
def test_a_box_is_warm_by_a_connection_made_to_that_very_start(made, warm):
    # By one that was only begun, and refused a moment later, a front said `warm` of a box that had never come back.
    face = MaintenanceAgent.__new__(MaintenanceAgent)
    place, entry = NS(transport=Half(made), name="s-10"), NS(kind=0, id=1, started=1)
    row = NS(server=NS(name="s-10", entry=entry), standing=NS(name="SERVING"))
    face.driver = NS(
        clock=lambda: 20,
        servers=NS(places={1: place}, warm=lambda *_: None),
        router=NS(settings=RoutingSettings()),
    )
    face.merged, face.members = NS(view=NS(generation=1)), dict
    face.rows_cache, face.unreached, face.counts, face.name = (1, {"s-10": row}), {}, {}, "n0"
    face.cold = {"s-10": ("s1", 10, 0)}
    assert face.is_warm("s-10", "s1") is warm and not face.is_warm("s-10", "s2")
