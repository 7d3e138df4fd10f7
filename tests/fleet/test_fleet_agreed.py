"""Voters, fronts and agents as real processes: maintenance and releases under crashes, stalls and partitions."""

import asyncio
import shutil
import signal
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import orjson
import pytest

from sprucegate.fleet.consensus.voter_driver import VoterDriver
from sprucegate.fleet.maintenance_agent import ConsensusSettings, MaintenanceAgent
from sprucegate.routing.settings import RoutingSettings
from sprucegate.storage.disk import Disk
from standins.fleet.agent import Agent
from standins.fleet.rig import Rig

OBJECT_ID = 0x7F3A9C21E0B4D655
ONE_CACHE_OUT = '"fleet cache 1 1.0"'


@pytest.fixture
def rig(tmp_path):
    with Rig(tmp_path, 2, caches=4, keepers=3, budgets=ONE_CACHE_OUT) as made:
        made.start_all()
        yield made


def ask_permit(rig, front, box, id, request=None):
    return rig.propose(front, "ask", id, box, "op", "test", id=request)


def wait_for_leader(rig, patience=20, excluding=()):
    """Return the name of the leader, once there is one that isn't excluded."""
    leaders = []

    def has_leader():
        leaders[:] = [rig.leader()]
        return leaders[0] and leaders[0] not in excluding

    rig.wait(has_leader, patience)
    return leaders[0]


def start_agent(rig, *boxes, **options):
    agent = Agent(rig, "a0", boxes or range(4), **options)
    agent.start()
    return agent


def stop_agent(agent):
    agent.stopped = True
    agent.join(20)
    assert agent.fault is None, agent.fault


def test_all_fronts_drain_a_server_and_report_it_warm_after_its_restart(rig):
    request_numbers = iter(range(1, 1 << 30))
    agent = start_agent(rig)
    assert ask_permit(rig, "n0", "s-10", "h")["word"] == "asked"
    rig.step("h", "back")
    stop_agent(agent)
    assert agent.replaced == [(0, "")] and agent.late_gets == 0
    assert all(
        rig.get(name, OBJECT_ID + n, next(request_numbers))[0] == 200 for name in rig.names for n in range(10)
    )
    # A repeated request for the same permit has no second effect.
    assert ask_permit(rig, "n1", "s-10", "h", request="new")["word"] == "back"
    assert not rig.agreed("n1")["permits"]


def test_an_accepted_request_survives_a_crash_of_the_leader(rig):
    assert ask_permit(rig, "n0", "s-10", "h", request="one")["ok"]
    first = wait_for_leader(rig)
    rig.keepers[first].kill()
    assert ask_permit(rig, "n0", "s-10", "h", request="one")["word"] in ("asked", "granted")
    assert wait_for_leader(rig, excluding=[first])
    rig.step("h", "drained")
    assert ask_permit(rig, "n1", "s-11", "i")["word"] == "asked"
    rig.wait(lambda: rig.permit("n1", "i").get("waits", [""])[0] == "fleet cache")
    rig.keepers[first].start()
    rig.keepers[first].until("keeper_fit", since=len(rig.keepers[first].lines) - 1)


def test_a_suspended_leader_grants_no_permit_after_it_resumes(rig):
    first = wait_for_leader(rig)
    rig.keepers[first].signal(signal.SIGSTOP)
    try:
        second = wait_for_leader_among_others(rig, first)
        assert ask_permit(rig, "n0", "s-10", "h")["ok"]
    finally:
        rig.keepers[first].signal(signal.SIGCONT)
    rig.keepers[first].until("keeper_leads_no_more")
    rig.step("h", "drained")
    assert ask_permit(rig, "n1", "s-11", "i")["ok"]
    rig.wait(lambda: rig.permit("n0", "i").get("waits"))
    granted = [line["permit"] for k in rig.keepers.values() for line in k.seen("permit_granted")]
    assert granted == ["h"] and second != first


def wait_for_leader_among_others(rig, suspended):
    """Return the leader among the other voters. The suspended one isn't asked, as it wouldn't answer."""
    leaders = []

    def has_leader():
        status_by_voter = {
            name: (voter.ask("agreed") or {}).get("voting") or {}
            for name, voter in rig.keepers.items()
            if name != suspended
        }
        leaders[:] = [name for name, status in status_by_voter.items() if status.get("role") == "leader"]
        return leaders

    rig.wait(has_leader)
    return leaders[0]


def test_without_a_majority_nothing_is_granted_and_a_request_can_be_repeated_later(rig):
    dead = list(rig.keepers)[:2]
    for name in dead:
        rig.keepers[name].kill()
    asked_at = time.monotonic()
    answer = ask_permit(rig, "n0", "s-10", "h", request="one")
    assert answer["quorum"] is False and time.monotonic() - asked_at < 5
    rig.fronts["n0"].until("keepers_lost")
    assert not rig.agreed("n0")["permits"] and rig.agreed("n0")["fenced"]
    assert rig.get("n0", OBJECT_ID, 77)[0] == 200  # clients are still served
    for name in dead:
        rig.keepers[name].start()
    rig.wait(lambda: ask_permit(rig, "n1", "s-10", "h", request="one").get("ok"))
    rig.step("h", "drained")


def test_two_intact_voters_of_three_form_a_majority_without_the_third(rig):
    # Guards against a restarted voter that waits for confirmation by all peers: with one of three voters gone for
    # good it never voted again, and every request for a permit was refused.
    first = wait_for_leader(rig)
    gone, restarted = first, next(name for name in rig.keepers if name != first)
    rig.keepers[gone].kill()
    rig.keepers[restarted].kill()
    since = len(rig.keepers[restarted].lines)
    rig.keepers[restarted].start()
    started = rig.keepers[restarted].until("keeper_begins", since)
    allowed = rig.keepers[restarted].until("keeper_fit", since)
    assert allowed["at"] - started["at"] <= 2000
    rig.wait(lambda: ask_permit(rig, "n0", "s-10", "h", request="one").get("ok"))
    rig.step("h", "drained")


@pytest.mark.parametrize("how", ["lost", "old copy"])
def test_a_voter_with_a_lost_or_restored_folder_rejoins_as_a_new_member(rig, how):
    voter = rig.keepers["k0"]
    ask_permit(rig, "n0", "s-10", "h")
    rig.step("h", "drained")
    shutil.copytree(voter.folder / "keeper", rig.folder / "old")
    # The copy is older than this start, which the peers know.
    voter.kill()
    since = len(voter.lines)
    voter.start()
    voter.until("keeper_fit", since)
    ask_permit(rig, "n0", "s-11", "i")
    voter.kill()
    shutil.rmtree(voter.folder / "keeper")
    if how == "old copy":
        shutil.copytree(rig.folder / "old", voter.folder / "keeper")
    since = len(voter.lines)
    voter.start()
    new_name = voter.until("keeper_put_back", since)["name"]
    assert new_name.startswith("k0^")

    def is_admitted():
        status = (rig.keepers["k1"].ask("agreed") or {}).get("voting") or {}
        return sorted(status.get("voters", ())) == sorted(["k1", "k2", new_name])

    rig.wait(is_admitted)
    rig.wait(lambda: (voter.ask("agreed") or {}).get("voting", {}).get("committed", 0) > 0)
    assert rig.permit("n1", "i")["waits"][0] == "fleet cache"


def test_of_two_concurrent_requests_for_the_last_two_caches_of_a_location_one_waits(tmp_path):
    with Rig(tmp_path, 2, caches=2, keepers=3, budgets='"fleet cache 9 1.0"') as rig:
        rig.start_all()
        answers = {}
        threads = [
            threading.Thread(
                target=lambda f=front, b=box, i=id: answers.update({i: ask_permit(rig, f, b, i)})
            )
            for front, box, id in (("n0", "s-10", "h"), ("n1", "s-11", "i"))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        assert all(answer["word"] == "asked" for answer in answers.values())
        rig.wait(lambda: sorted(rig.step_of("n0", id) for id in "hi") == ["asked", "drained"])
        waiting = next(id for id in "hi" if rig.permit("n0", id)["step"] == "asked")
        assert rig.permit("n0", waiting)["waits"][0] in ("last", "warm")


def test_a_failed_cache_counts_against_the_budget(rig):
    process = rig.boxes[0].process
    process.kill()
    process.wait()
    request_numbers = iter(range(1, 1 << 30))

    def is_reported():
        for name in rig.names:
            for _ in range(
                20
            ):  # new objects each time, as the front would serve its own copy without a cache
                rig.get(name, OBJECT_ID + next(request_numbers), next(request_numbers))
        return rig.agreed("n0").get("out", {}).get("s-10") == "unreachable"

    rig.wait(is_reported, 30)
    ask_permit(rig, "n0", "s-11", "h")
    rig.wait(lambda: (rig.permit("n1", "h").get("waits") or [""])[0] == "fleet cache")


def test_an_agents_false_report_of_a_restart_ends_no_permit(rig):
    agent = start_agent(rig, misbehaviour="lying")
    ask_permit(rig, "n0", "s-10", "h")
    rig.step("h", "cold")
    ask_permit(rig, "n0", "s-11", "i")
    # Each front follows the log at its own pace.
    rig.wait(lambda: rig.permit("n0", "i") and rig.permit("n1", "i"))
    request_numbers = iter(range(1, 1 << 30))
    for _ in range(5):
        # 503 is allowed: on a busy machine a request that tried the stopped cache first may have no time left for
        # another attempt.
        statuses = [
            rig.get(name, OBJECT_ID + n, next(request_numbers))[0] for name in rig.names for n in range(10)
        ]
        assert set(statuses) <= {200, 503} and statuses.count(200) >= 15
    assert rig.permit("n0", "h")["step"] == "cold" and rig.permit("n0", "h")["warm"] == []
    assert rig.permit("n1", "i")["step"] == "asked"
    stop_agent(agent)
    correct_agent = Agent(rig, "a1", range(4))
    correct_agent.start()
    rig.step("h", "back")
    rig.step("i", "back")
    stop_agent(correct_agent)


def test_another_agent_continues_after_one_that_crashed_with_its_server_down(rig):
    agent = start_agent(rig, misbehaviour="dying")
    ask_permit(rig, "n0", "s-10", "h")
    ask_permit(rig, "n0", "s-11", "i")
    agent.join(20)
    assert rig.step_of("n0", "h") == "out" and rig.step_of("n0", "i") == "asked"
    successor = Agent(rig, "a1", range(4))
    successor.start()
    rig.step("h", "back")
    rig.step("i", "back")
    stop_agent(successor)


def test_a_front_that_lost_the_voters_still_serves_and_a_drain_waits_for_it_until_it_is_fenced(rig):
    rig.split(["n0"], list(rig.keepers))
    ask_permit(rig, "n1", "s-10", "h")
    rig.wait(lambda: rig.permit("n1", "h").get("drained") == ["n1"])
    assert rig.get("n0", OBJECT_ID, 5)[0] == 200
    lost_at = rig.fronts["n0"].until("keepers_lost")["at"]
    rig.step("h", "drained", ["n1"])
    drained_at = int(time.time() * 1000)
    assert drained_at >= lost_at  # its own lease ended before the leader stopped waiting for it
    assert rig.agreed("n1")["fronts"] == ["n1"] and rig.agreed("n0")["fenced"]
    rig.inject_fault("heal")
    rig.wait(lambda: rig.agreed("n1")["fronts"] == ["n0", "n1"])


def release_plan(tmp_path, waves, version="2", bake="(ms)500", name="v2"):
    lines = "".join(f"    wave {' '.join(chr(34) + box + chr(34) for box in wave)}\n" for wave in waves)
    file = tmp_path / f"{name}.kdl"
    file.write_text(
        f'release "{name}" {{\n    kind "std"\n    version "{version}"\n    former "1"\n    bake {bake}\n'
        f"{lines}}}\n"
    )
    return file


def run_command(rig, front, *arguments):
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "sprucegate",
            "fleet",
            *map(str, arguments),
            "--json",
            "--file",
            str(rig.fronts[front].folder / "front.kdl"),
        ],
        capture_output=True,
        timeout=30,
    )
    assert completed.stdout, completed.stderr
    return completed.returncode, orjson.loads(completed.stdout)


class GetLoad(threading.Thread):
    """Sends GETs of new objects through all fronts, one after another; `failed`: (front, status) of failed ones."""

    def __init__(self, rig, number=1):
        super().__init__(daemon=True)
        self.rig, self.stopped, self.count, self.failed, self.first = rig, False, 0, [], number << 32

    def run(self):
        while not self.stopped:
            for name in self.rig.names:
                self.count += 1
                status, _ = self.rig.get(name, self.first + self.count, self.first + self.count)
                if status not in (200, 503):  # a slow cache, or a busy machine, causes some 503s
                    self.failed.append((name, status))


def test_a_good_release_passes_all_waves_under_load(rig, tmp_path):
    agent, load = start_agent(rig), GetLoad(rig)
    load.start()
    file = release_plan(tmp_path, [["s-10"], ["s-11", "s-12"], ["s-13"]])
    assert run_command(rig, "n0", "release", "start", file)[1]["word"] == "started"
    rig.phase("v2", "done")
    history = [row[2] for row in run_command(rig, "n1", "release", "history", "v2")[1]["history"]]
    assert history == ["started", "wave 1 passed", "wave 2 passed", "wave 3 passed", "done"]
    load.stopped = True
    load.join(10)
    stop_agent(agent)
    assert sorted(agent.replaced) == [(at, "2") for at in range(4)] and agent.late_gets == 0
    assert load.count > 200 and load.failed == []


def test_a_slow_release_is_halted_in_the_canary_wave_and_rolled_back(rig, tmp_path):
    agent, load = start_agent(rig, versions={"2": {"service": 0.6}}), GetLoad(rig)
    more_load = [GetLoad(rig, number) for number in (2, 3, 4)]
    for each in (load, *more_load):
        each.start()
    assert (
        run_command(
            rig,
            "n0",
            "release",
            "start",
            release_plan(tmp_path, [["s-10"], ["s-11", "s-12", "s-13"]], bake="(s)60"),
        )[0]
        == 0
    )
    rig.phase("v2", "halted")
    assert "late" in rig.agreed("n1")["releases"][0]["why"] and agent.replaced == [(0, "2")]
    assert run_command(rig, "n1", "release", "back", "v2")[1]["word"] == "goes back"
    rig.phase("v2", "returned")
    for each in (load, *more_load):
        each.stopped = True
        each.join(10)
    stop_agent(agent)
    assert (
        agent.replaced == [(0, "2"), (0, "1")]
        and [failure for thread in (load, *more_load) for failure in thread.failed] == []
    )


def test_the_command_line_reports_results_and_failures(rig, tmp_path):
    assert run_command(rig, "n0", "drain", "s-77")[0] == 1
    status, answer = run_command(rig, "n0", "drain", "s-10", "--id", "mine")
    assert (status, answer["word"], answer["request"]) == (0, "asked", "mine")
    assert run_command(rig, "n1", "drain", "s-10", "--id", "mine")[1]["word"] == "asked"
    rig.step("mine", "drained")
    status, answer = run_command(rig, "n1", "watch")
    assert status == 0 and answer["permits"][0]["step"] == "drained" and answer["leader"] in rig.keepers
    assert run_command(rig, "n1", "undrain", "mine")[1]["word"] == "withdrawn"
    assert run_command(rig, "n1", "out", "mine")[0] == 1
    ask_permit(rig, "n0", "s-11", "own")
    rig.step("own", "drained")
    results = [
        run_command(rig, "n1", *arguments)[1]["word"]
        for arguments in (("out", "own"), ("renew", "own"), ("started", "own", "s1"))
    ]
    assert results == ["out", "done", "cold"]
    rig.step("own", "back")
    # The relay forwards frames only; questions go to the voters directly.
    file = rig.fronts["n0"].folder / "front.kdl"
    for relayed, voter in zip(rig.relay.addresses[2:], rig.keepers.values(), strict=True):
        file.write_text(file.read_text().replace(relayed, f"127.0.0.1:{voter.fleet_port}"))
    status, answer = run_command(rig, "n0", "keepers")
    assert status == 0 and sorted(k["role"] for k in answer["keepers"]) == ["follower", "follower", "leader"]
    bad = tmp_path / "bad.kdl"
    bad.write_text('release "x" {\n    kind "std"\n    wave 5\n}\n')
    status, answer = run_command(rig, "n0", "release", "start", bad)
    assert status == 2 and ":3:" in answer["error"] and "release.wave" in answer["error"]
    assert run_command(rig, "n0", "release", "halt", "v9")[0] == 1
    assert run_command(rig, "n0", "release", "status", "v9")[0] == 1
    assert run_command(rig, "n0", "release", "history")[1]["history"] == []


def test_a_front_restarts_by_permit_and_sigterm_without_a_permit_is_obeyed_and_counted(tmp_path):
    with Rig(tmp_path, 3, caches=2, keepers=3, budgets='"fleet front 1 1.0"') as rig:
        rig.start_all()
        agent = start_agent(rig, "n1")
        ask_permit(rig, "n0", "n1", "h")
        ask_permit(rig, "n0", "n2", "i")
        rig.step("h", "back", ["n0", "n2"])
        rig.wait(lambda: rig.step_of("n0", "i") == "drained")
        assert rig.fronts["n2"].live() == 503 and rig.fronts["n1"].live() == 200
        stop_agent(agent)
        assert agent.replaced == [("n1", "")] and rig.agreed("n0")["left_without_permit"] == 0
        assert rig.propose("n0", "withdraw", "i")["word"] == "withdrawn"
        rig.wait(lambda: rig.fronts["n2"].live() == 200)
        rig.fronts["n2"].signal(signal.SIGTERM)
        rig.fronts["n2"].until("left_without_permit")
        rig.wait(lambda: rig.agreed("n0").get("left_without_permit") == 1)
        assert rig.agreed("n0")["fronts"] == ["n0", "n1"]


def test_a_server_whose_first_starts_fail_keeps_its_permit(rig):
    agent = start_agent(rig, misbehaviour="failing")
    ask_permit(rig, "n0", "s-10", "h")
    rig.step("h", "back")
    stop_agent(agent)
    assert agent.failed_starts == 2 and agent.replaced == [(0, "")]


class FullableDisk(Disk):
    """A disk whose writes fail with ENOSPC while `full`."""

    full = False

    def write(self, handle, data):
        if self.full:
            raise OSError(28, "no space left on device")
        return super().write(handle, data)


def test_a_leader_whose_disk_is_full_steps_down_and_votes_again_once_there_is_space(tmp_path):
    events = []

    async def scenario():
        disk = FullableDisk()
        settings = ConsensusSettings({"k0": "127.0.0.1:1"}, str(tmp_path / "k0"), None)
        voter = VoterDriver(
            "k0", settings, 7, lambda event, **fields: events.append(event), lambda *_: None, disk
        )
        await voter.recover()

        async def until(event):
            for _ in range(2000):
                if event in events:
                    return
                voter.on_timer(time.monotonic_ns())
                await asyncio.sleep(0.005)
            raise AssertionError((event, events))

        await until("keeper_leads")
        index, actions = voter.raft_node.propose(["front", "n0", 1, True], time.monotonic_ns())
        voter.perform(actions)
        while "n0" not in voter.log_server.machine.permits.fronts:
            await asyncio.sleep(0.005)
        disk.full = True
        voter.perform(voter.raft_node.propose(["front", "n1", 1, True], time.monotonic_ns())[1])
        await until("keeper_not_kept")
        await until("keeper_leads_no_more")
        await until("keeper_off")  # the start can't be counted on disk, so the voter stays silent
        assert voter.raft_node is None
        disk.full = False
        events.clear()
        await until("keeper_leads")
        while "n0" not in voter.log_server.machine.permits.fronts:
            await asyncio.sleep(0.005)
        await voter.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


class PendingTransport:
    """A transport whose connection to each place was started and not established, or established at `connected_at`."""

    def __init__(self, connected_at=None):
        self.connected_at = connected_at

    def connected_since(self, place, since):
        return self.connected_at is not None and self.connected_at >= since

    def warm(self, place, now):
        pass

    drain = open_connections = warm


@pytest.mark.parametrize("connected_at, warm", [(None, False), (5, False), (15, True)])
def test_a_server_is_warm_only_by_a_connection_established_to_the_reported_start(connected_at, warm):
    # Guards against reporting a server as warm by a connection that was only started and refused a moment later: the
    # server had never come back.
    agent = MaintenanceAgent.__new__(MaintenanceAgent)
    place, entry = (
        SimpleNamespace(transport=PendingTransport(connected_at), name="s-10"),
        SimpleNamespace(kind=0, id=1, started=1),
    )
    row = SimpleNamespace(
        server=SimpleNamespace(name="s-10", entry=entry), standing=SimpleNamespace(name="SERVING")
    )
    agent.driver = SimpleNamespace(
        clock=lambda: 20,
        servers=SimpleNamespace(by_id={1: place}, warm=lambda *_: None),
        router=SimpleNamespace(settings=RoutingSettings()),
    )
    agent.merged, agent.members = SimpleNamespace(view=SimpleNamespace(generation=1)), dict
    agent.rows_cache, agent.unreached, agent.counts, agent.name = (1, {"s-10": row}), {}, {}, "n0"
    agent.cold = {"s-10": ("s1", 10, 0)}
    assert agent.is_warm("s-10", "s1") is warm and not agent.is_warm("s-10", "s2")
