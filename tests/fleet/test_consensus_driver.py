"""How a front applies entries of the replicated log on the event loop that serves its GETs."""

import asyncio
import time
from types import SimpleNamespace

from sprucegate.fleet.consensus.driver import APPLY_TIME_MAX, ConsensusDriver
from sprucegate.fleet.consensus.log_follower import ApplyCommands, ProposalCompleted
from sprucegate.fleet.maintenance_agent import ConsensusSettings

ENTRY_S = 0.002
NS_PER_S = 1_000_000_000


class SlowStateMachine:
    """Takes ENTRY_S for each entry."""

    def __init__(self):
        self.applied = []

    def apply(self, index, command):
        time.sleep(ENTRY_S)
        self.applied.append(index)
        return "done", []


async def make_driver():
    settings = ConsensusSettings({"k0": "127.0.0.1:1"}, "", None)
    agent = SimpleNamespace(apply_drains=lambda machine: drains.append(len(machine.applied)))
    drains = agent.drains = []
    driver = ConsensusDriver("n0", 1, settings, 7, lambda *_, **__: None, None, agent)
    driver.state_machine = SlowStateMachine()
    return driver


async def longest_turn(until):
    """The longest time between two turns of the event loop (s), up to when `until()` is true."""
    longest, last = 0.0, time.monotonic()
    while not until():
        await asyncio.sleep(0)
        longest, last = max(longest, time.monotonic() - last), time.monotonic()
    return longest


def test_gets_are_served_between_the_entries_of_one_message():
    """Guards against a front that stands still while it applies a whole message of entries."""

    async def run():
        driver = await make_driver()
        answered = driver.waiters["w1"] = asyncio.get_running_loop().create_future()
        driver._perform(
            [ApplyCommands([(at, []) for at in range(1, 51)]), ProposalCompleted("w1", "done", 50)]
        )
        driver._perform([ApplyCommands([(at, []) for at in range(51, 61)])])
        applied = driver.state_machine.applied
        assert len(applied) * ENTRY_S <= APPLY_TIME_MAX / NS_PER_S + ENTRY_S and not answered.done()
        longest = await longest_turn(lambda: len(applied) == 60)
        assert applied == list(range(1, 61))
        assert answered.result() == ("done", 50)
        assert driver.agent.drains[-1] == 60 and len(driver.agent.drains) >= 60 * ENTRY_S / 0.02
        assert longest < 60 * ENTRY_S / 2

    asyncio.run(run())


def test_an_answer_is_given_only_once_the_entries_before_it_are_applied():
    async def run():
        driver = await make_driver()
        answered = driver.waiters["w1"] = asyncio.get_running_loop().create_future()
        seen = []
        answered.add_done_callback(lambda _: seen.append(len(driver.state_machine.applied)))
        driver._perform([ApplyCommands([(at, []) for at in range(1, 21)])])
        driver._perform([ProposalCompleted("w1", "done", 20)])
        await answered
        await asyncio.sleep(0)
        assert seen == [20]

    asyncio.run(run())
