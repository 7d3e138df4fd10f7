"""Two builds of sprucegate on the same folders and in one fleet.

`python -m standins.fleet.mixed_builds --other CHECKOUT`: CHECKOUT is another checkout of this repository, for instance
a worktree of the last release; it runs on this interpreter and its libraries. Each step waits, with a bound, for the
state that it asserts. The exit status is 1 where a state doesn't come about, or where a process refuses what the other
build stored or sent.

    handover   the other build writes its folders, this build takes them up and writes on, the other takes them back
    mixed      fronts and voters of both builds in one fleet: a purge, a drain, a quota lease, a change of the leader
"""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

from standins.fleet.agent import Agent
from standins.fleet.rig import Rig

CACHES = 4
KINDS = ("std",) * CACHES + ("parent", "origin")
PARENT = f"s-{16 + CACHES:02x}"
PARENT_SLOTS = 6
FRONTS = 3
VOTERS = 3
BUDGETS = '"fleet cache 1 1.0"'
DEFAULT_TIMEOUT_S = 40
LEADER_CHANGES_MAX = 12
LEASE_HOLDER_CHANGES_MAX = 3
NANOSECONDS_PER_MS = 1_000_000
OBJECT = 0x7F3A9C21E0B4D655
# Log events of refused stored data, frames, commands or settings, and of errors in a process.
REFUSALS = frozenset(
    {
        "agreed_fault",
        "agreed_newer",
        "agreed_refused",
        "bus_gap",
        "fault",
        "fleet_dot_twice",
        "fleet_name_twice",
        "fleet_not_kept",
        "fleet_off",
        "fleet_peer_refused",
        "fleet_snapshot_failed",
        "fleet_state_refused",
        "invariant_broken",
        "keeper_not_kept",
        "keeper_off",
        "keeper_put_back",
        "keeper_state_refused",
        "servers_refused",
        "snapshot_failed",
        "snapshot_refused",
    }
)


class StepFailed(Exception):
    """A state that was not reached, or a refusal; the message names it."""


class Fleet:
    """A rig of three fronts and three voters, each of the build whose checkout it is given.

    :ivar rig: the processes
    :ivar purges: {object: Unix ms} of the purges so far
    """

    def __init__(self, folder, checkouts, timeout_s):
        """`checkouts`: the folder of its build by the name of a front or voter; this build where there is none.

        `timeout_s`: seconds for which a state is waited for.
        """
        self.folder = folder
        self.timeout_s = timeout_s
        self.purges = {}
        self.calls = 0
        fronts = " ".join(f'"n{number}"' for number in range(FRONTS))
        self.rig = Rig(
            folder,
            FRONTS,
            caches=len(KINDS) - 1,
            kinds=KINDS,
            keepers=VOTERS,
            budgets=BUDGETS,
            more=(
                f'membership {{{{\n    file "{folder}/list.kdl"\n    state "{folder}/{{name}}/servers"\n}}}}\n'
                f'shares {{{{\n    header "X-Tenant"\n    tenants "gold 2" "iron 1"\n'
                f'    places "parent {PARENT_SLOTS}"\n    fronts {fronts}\n    longest (s)1\n}}}}\n'
            ),
        )
        self.list_file().write_text(self.server_list())
        self.use(checkouts)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.rig.__exit__()

    def processes(self):
        """Return the fronts and the voters by name."""
        return {**self.rig.keepers, **self.rig.fronts}

    def use(self, checkouts):
        """Set the build that each process runs from its next start on."""
        for name, process in self.processes().items():
            process.checkout = checkouts.get(name)

    def list_file(self):
        """Return the path of the watched list of servers."""
        return self.folder / "list.kdl"

    def server_list(self):
        """Return a list that repeats the servers of the bus."""
        rows = [
            f'    server "{host["host"]}" address="{host["dial"]}" location="here" kind="{host["class"]}"\n'
            for host in self.rig.hosts
        ]
        return "servers {\n" + "".join(rows) + "}\n"

    def start(self):
        """Start all processes and wait until they are one fleet."""
        since = {name: len(process.lines) for name, process in self.processes().items()}
        for process in self.processes().values():
            process.start()
        for name, front in self.rig.fronts.items():
            front.until("ready", since[name], timeout_s=self.timeout_s)
        self.rig.wait_until_all_alive(self.timeout_s)
        self.rig.wait(self.follows_log, self.timeout_s)

    def follows_log(self):
        """Whether each front has the fronts and servers of the replicated log."""
        servers = len(KINDS) - 1 + FRONTS
        states = [self.rig.agreed(name) for name in self.rig.names]
        return all(
            state.get("fronts") == self.rig.names and state["boxes"] == servers and not state["fenced"]
            for state in states
        )

    def stop(self):
        """End all processes by SIGTERM; each has to exit with 0."""
        for process in self.processes().values():
            process.signal(signal.SIGTERM)
        for name, process in self.processes().items():
            status = process.process.wait(self.timeout_s)
            if status != 0:
                raise StepFailed(f"{name} exited with {status} on SIGTERM, expected 0")

    def check_refusals(self):
        """Raise StepFailed where a process logged one of REFUSALS."""
        found = [
            (name, line)
            for name, process in self.processes().items()
            for line in process.lines
            if line["event"] in REFUSALS
        ]
        if found:
            raise StepFailed(f"{len(found)} refusals, the first by {found[0][0]}: {found[0][1]}")

    # What operators and the bus do.

    def purge(self, front):
        """Purge a new object at one front and wait until all fronts hold the purge."""
        number = len(self.purges) + 1
        self.purges[number] = int(time.time() * 1000)
        self.rig.purge([front], number, self.purges[number])
        self.check_purges()

    def check_purges(self):
        """Wait until all fronts hold all purges."""
        for number, at in self.purges.items():
            self.rig.wait_for_fact(
                ("purge", "object", number), at * NANOSECONDS_PER_MS, timeout_s=self.timeout_s
            )

    def propose(self, front, *command, expected):
        """Send an operator's command to a front; its result has to be one of those expected."""
        answer = self.rig.propose(front, *command)
        if answer.get("word") not in expected:
            raise StepFailed(f"{command} at {front}: got {answer}, expected a word of {expected}")

    def drain(self, front, permit, server):
        """Ask for a maintenance permit and wait until all fronts have drained the server."""
        self.propose(front, "ask", permit, server, "operator", "mixed builds", expected=("asked", "granted"))
        self.rig.step(permit, "drained", timeout_s=self.timeout_s)

    def withdraw(self, front, permit):
        """Withdraw a permit and wait until all fronts know it."""
        self.propose(front, "withdraw", permit, expected=("withdrawn",))
        self.rig.step(permit, "withdrawn", timeout_s=self.timeout_s)

    def serve(self):
        """Send a GET through each front; each has to be answered with 200."""
        for name in self.rig.names:
            self.calls += 1
            status, _ = self.rig.get(name, OBJECT + self.calls, self.calls)
            if status != 200:
                raise StepFailed(f"a GET through {name}: got {status}, expected 200")

    # Quota leases.

    def share(self, front):
        """Return the row of `fleet why share` of the parent's slots at a front; {} where it doesn't answer."""
        answer = self.rig.fronts[front].ask("why", "share", "gold")
        return next((row for row in answer["facts"] if row["source"] == PARENT), {}) if answer else {}

    def lease_holder(self):
        """Return the name of the lease holder where all fronts name the same one, else ""."""
        names = {self.share(front).get("steward", "") for front in self.rig.names}
        return names.pop() if len(names) == 1 and names <= set(self.rig.names) else ""

    def check_leases(self):
        """Wait until all slots of the parent are leased to the fronts by one lease holder."""
        self.rig.wait(
            lambda: self.lease_holder()
            and sum(self.share(front).get("all_here", 0) for front in self.rig.names) == PARENT_SLOTS,
            self.timeout_s,
        )

    # Changes of the leader and of the lease holder.

    def leader(self):
        """Return the name of the leading voter, once there is one."""
        self.rig.wait(self.rig.leader, self.timeout_s)
        return self.rig.leader()

    def restart(self, process, event):
        """Start a killed process again and wait for the log event that it is back."""
        since = len(process.lines)
        process.start()
        process.until(event, since, self.timeout_s)

    def change_leader(self):
        """Kill the leader, wait for another one, start the killed voter again; return the new leader's name."""
        former = self.leader()
        self.rig.keepers[former].kill()
        self.rig.wait(lambda: self.rig.leader() not in ("", former), self.timeout_s)
        self.restart(self.rig.keepers[former], "keeper_fit")
        return self.leader()

    def change_lease_holder(self):
        """Kill the lease holder, wait for another one, start the killed front again; return the new one's name."""
        former = self.lease_holder()
        others = [name for name in self.rig.names if name != former]
        self.rig.fronts[former].kill()
        self.rig.wait(
            lambda: all(self.share(name).get("steward") in others for name in others),
            self.timeout_s,
        )
        self.restart(self.rig.fronts[former], "ready")
        self.rig.wait_until_all_alive(self.timeout_s)
        self.check_leases()
        return self.lease_holder()


def report(step):
    """Print a step that has passed."""
    print(f"passed: {step}", flush=True)


def handover(folder, other, timeout_s):
    """Hand the folders of a fleet from the other build to this one and back."""
    everything = {f"n{number}": other for number in range(FRONTS)}
    everything |= {f"k{number}": other for number in range(VOTERS)}
    with Fleet(folder, everything, timeout_s) as fleet:
        rig = fleet.rig
        fleet.start()
        fleet.purge("n0")
        fleet.drain("n1", "first", "s-10")
        waves = [["s-11"], ["s-12", "s-13"]]
        release = ["v2", "std", "2", "1", waves, 600_000]
        fleet.propose("n0", "release", release, "operator", expected=("started",))
        rig.phase("v2", "running", fleet.timeout_s)
        fleet.check_leases()
        rig.wait(lambda: all(any((f.folder / "servers").glob("*.snap")) for f in rig.fronts.values()))
        fleet.stop()
        report("the other build wrote a purge, a permit, a release, leases and its servers")

        fleet.use({})
        restart_on_stored(fleet, "first", "drained", "running")
        report("this build took them up")
        fleet.purge("n1")
        fleet.withdraw("n2", "first")
        fleet.propose("n1", "halt", "v2", "operator", "mixed builds", expected=("halted",))
        rig.phase("v2", "halted", fleet.timeout_s)
        fleet.serve()
        fleet.stop()

        fleet.use(everything)
        restart_on_stored(fleet, "first", "withdrawn", "halted")
        fleet.purge("n2")
        fleet.drain("n0", "second", "s-11")
        fleet.serve()
        fleet.stop()
        fleet.check_refusals()
        report("the other build took back what this one wrote")


def restart_on_stored(fleet, permit, step, phase):
    """Start a fleet on its folders; all that was stored has to be there, from before any process was asked again."""
    since = {name: len(front.lines) for name, front in fleet.rig.fronts.items()}
    fleet.start()
    for name, front in fleet.rig.fronts.items():
        front.until("fleet_loaded", since[name])
        front.until("snapshot_read", since[name])
    fleet.check_purges()
    fleet.rig.step(permit, step, timeout_s=fleet.timeout_s)
    fleet.rig.phase("v2", phase, fleet.timeout_s)
    fleet.check_leases()


def mixed(folder, other, timeout_s):
    """Run fronts and voters of both builds in one fleet.

    The lease holder is the front whose name has the lowest hash, and the next one while it is away: those two, n2 and
    n0, are of different builds.
    """
    checkouts = {"n0": other, "n1": other, "k0": other, "k2": other}
    with Fleet(folder, checkouts, timeout_s) as fleet:
        fleet.start()
        fleet.purge("n0")
        fleet.purge("n2")
        report("a purge from a front of each build holds at all fronts")
        drain_by_agent(fleet, "n0", "from-other", 0)
        drain_by_agent(fleet, "n2", "from-this", 1)
        report("a drain asked at a front of each build went through to the server's return")
        fleet.check_leases()
        holders = {fleet.lease_holder() in checkouts}
        for _ in range(LEASE_HOLDER_CHANGES_MAX):
            if len(holders) == 2:
                break
            holders.add(fleet.change_lease_holder() in checkouts)
        if len(holders) != 2:
            raise StepFailed(f"the lease holder was of one build after {LEASE_HOLDER_CHANGES_MAX} changes")
        report("lease holders of both builds leased all slots to all fronts")
        leaders = {fleet.leader() in checkouts}
        for change in range(LEADER_CHANGES_MAX):
            if len(leaders) == 2:
                break
            leaders.add(fleet.change_leader() in checkouts)
            fleet.drain(f"n{change % FRONTS}", f"led-{change}", "s-12")
            fleet.withdraw(f"n{(change + 1) % FRONTS}", f"led-{change}")
        if len(leaders) != 2:
            raise StepFailed(f"the leader was of one build after {LEADER_CHANGES_MAX} changes")
        report("leaders of both builds granted permits after a change of leader")
        fleet.purge("n1")
        fleet.serve()
        fleet.stop()
        fleet.check_refusals()
        report("no process refused what the other build stored or sent")


def drain_by_agent(fleet, front, permit, cache):
    """Ask for a permit and let an agent replace the cache; wait until all fronts have it back."""
    agent = Agent(fleet.rig, "agent", [cache])
    agent.start()
    server = f"s-{16 + cache:02x}"
    fleet.propose(front, "ask", permit, server, "operator", "mixed builds", expected=("asked", "granted"))
    fleet.rig.step(permit, "back", timeout_s=fleet.timeout_s)
    agent.stopped = True
    agent.join(fleet.timeout_s)
    if agent.fault is not None:
        raise StepFailed(f"the agent failed: {agent.fault!r}")


STAGES = {"handover": handover, "mixed": mixed}


def main():
    """Run the stages; return the exit status."""
    flags = argparse.ArgumentParser(
        prog="python -m standins.fleet.mixed_builds", description=__doc__.split("\n")[0]
    )
    flags.add_argument("--other", type=pathlib.Path, required=True, help="a checkout of the other build")
    flags.add_argument("--stage", choices=STAGES, action="append", help="run only this one; may be repeated")
    flags.add_argument(
        "--patience", type=float, default=DEFAULT_TIMEOUT_S, help="seconds for which a state is waited for"
    )
    given = flags.parse_args()
    other = given.other.resolve()
    if not (other / "sprucegate" / "__main__.py").exists():
        flags.error(f"--other: {other} is no checkout of sprucegate: sprucegate/__main__.py is missing")
    failed = False
    for stage in given.stage or STAGES:
        with tempfile.TemporaryDirectory() as folder:
            try:
                STAGES[stage](pathlib.Path(folder), str(other), given.patience)
            except (StepFailed, AssertionError) as fault:
                failed = True
                print(f"failed: {stage}: {fault!r}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
