"""Steps of the wall clock of fronts and voters: of one, of all, during an election and a permit, across a restart."""

import time

import pytest

from standins.fleet.agent import Agent
from standins.fleet.rig import Rig

HOUR = 3600
OBJECT = 0x7F3A9C21E0B4D655


@pytest.fixture
def rig(tmp_path):
    with Rig(tmp_path, 3, caches=4, keepers=3, budgets='"fleet cache 1 1.0"') as made:
        made.start_all()
        yield made


def step_clocks(rig, names, seconds):
    for name in names:
        (rig.fronts.get(name) or rig.keepers[name]).faults.step_wall(seconds)


def assert_all_serve(rig, first):
    """Every front answers in time, whatever its wall clock shows."""
    for number, name in enumerate(rig.names):
        for at in range(5):
            begun = time.monotonic()
            assert rig.get(name, OBJECT + first + at, (first + number) * 100 + at)[0] == 200
            assert time.monotonic() - begun < 1.5


@pytest.mark.parametrize("step", [-HOUR, HOUR])
@pytest.mark.parametrize("where", ["n1", "k0", "all"])
def test_purges_drains_and_permits_survive_a_clock_step(rig, where, step):
    names = [*rig.names, *rig.keepers] if where == "all" else [where]
    step_clocks(rig, names, step)
    time.sleep(1.0)
    assert_all_serve(rig, 1)
    at = int(time.time() * 1000)
    rig.purge(["n0"], OBJECT, at)
    for name in rig.names:
        rig.wait(
            lambda name=name: any(key[:2] == ("purge", "object") for key in rig.fronts[name].holds()), 10
        )
    agent = Agent(rig, "a0", range(4))
    agent.start()
    assert rig.propose("n1", "ask", "h", "s-10", "op", "test")["word"] == "asked"
    rig.step("h", "back")
    agent.stopped = True
    agent.join(20)
    assert agent.fault is None and agent.late_gets == 0 and agent.replaced == [(0, "")]
    step_clocks(rig, names, 0)  # back to the true time
    time.sleep(0.5)
    assert_all_serve(rig, 50)


def test_clock_steps_during_an_election_and_a_permit_leave_one_leader_and_one_server_out(rig):
    agent = Agent(rig, "a0", range(4))
    agent.start()
    rig.propose("n0", "ask", "h", "s-10", "op", "test")
    rig.propose("n0", "ask", "i", "s-11", "op", "test")
    leader = rig.leader()
    step_clocks(rig, [leader], HOUR)
    rig.keepers[leader].kill()
    for name, step in zip((k for k in rig.keepers if k != leader), (-HOUR, 3), strict=True):
        step_clocks(rig, [name], step)
    rig.keepers[leader].start()  # an hour ahead of the clock by which it wrote its folder
    rig.step("h", "back")
    rig.step("i", "back")
    agent.stopped = True
    agent.join(20)
    assert agent.fault is None and agent.late_gets == 0 and sorted(agent.replaced) == [(0, ""), (1, "")]


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_front_restarted_with_a_stepped_clock_keeps_its_records(rig, step):
    """Its stored state was written an hour before or after what its clock shows at the next start."""
    front = rig.fronts["n2"]
    rig.purge(["n2"], OBJECT, int(time.time() * 1000))
    rig.wait(lambda: any(key[:2] == ("purge", "object") for key in front.holds()), 10)
    time.sleep(1.0)  # until the record is durable
    front.kill()
    front.faults.step_wall(step)
    since = len(front.lines)
    front.start()
    front.until("ready", since)
    assert any(key[:2] == ("purge", "object") for key in front.holds())
    assert_all_serve(rig, 90)
