"""Simulated fleets: no fault schedule violates an invariant, and each checker of an invariant detects a defect."""

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sprucegate.fleet.failure_detector.detector import FailureDetector
from sprucegate.fleet.replica import replica
from sprucegate.fleet.replica.facts import JoinResult, RecordStore, ReplicatedRecord, SourceState
from sprucegate.fleet.replica.version_vector import VersionVector
from sprucegate.fleet.replica_storage import ReplicaStorage
from standins.fleet import checkers, explore
from standins.fleet.schedules import play_schedule
from standins.fleet.simulated import Fleet, S

INTERVALS = st.lists(st.tuples(st.integers(1, 30), st.integers(1, 30)), max_size=12)


@given(INTERVALS, INTERVALS)
@profile(max_examples=300, deadline=None, derandomize=True)
def test_a_version_vector_behaves_like_a_set_of_counters(ours, theirs):
    def built(intervals):
        vector, counters = VersionVector(), set()
        for first, end in intervals:
            vector.add_range("a", 1, first, end)
            counters |= set(range(first, end))
        return vector, counters

    (vector, counters), (other, other_counters) = built(ours), built(theirs)
    assert {n for n in range(40) if vector.contains(("a", 1, n))} == counters
    assert {n for _, _, a, b in vector.missing(other) for n in range(a, b)} == other_counters - counters
    assert VersionVector(vector.as_ranges()).as_ranges() == vector.as_ranges() and vector.covers(other) is (
        other_counters <= counters
    )
    assert all(a < b for _, _, bounds in vector.as_ranges() for a, b in zip(bounds, bounds[1:], strict=False))


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(0, 2)), max_size=20), st.randoms()
)
@profile(max_examples=200, deadline=None, derandomize=True)
def test_records_join_to_the_same_state_in_any_order_and_with_duplicates(values, order):
    records = [
        ReplicatedRecord(("purge", "object", key), (value,), (f"n{owner}", 1, counter))
        for counter, (key, value, owner) in enumerate(values, 1)
    ]
    one, other = RecordStore(), RecordStore()
    for record in records:
        one.join(record)
    shuffled = records * 2
    order.shuffle(shuffled)
    for record in shuffled:
        other.join(record)
    assert (
        one.held == other.held
        and one.root() == other.root()
        and one.seen.as_ranges() == other.seen.as_ranges()
    )
    assert all(one.held[r.key].value >= r.value for r in records)


@pytest.mark.parametrize(("size", "loss"), [(3, 0.3), (5, 0.0), (5, 0.1), (9, 0.1)])
@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_fault_schedule_violates_an_invariant(size, loss, first):
    for seed in range(first, first + 10):
        assert not checkers.find_violations(play_schedule(seed, size, loss).trace), (seed, size, loss)


def test_a_seed_reproduces_its_trace_exactly():
    assert play_schedule(11, 5, 0.1).trace == play_schedule(11, 5, 0.1).trace


# Each checker is shown to fail: with an injected defect, one of a few schedules is reported under its number.


def _drop_some_records(monkeypatch):
    original = replica.Replica._join

    def join(self, sender, record, now, repair=False):
        if record.key[0] == "purge" and record.key[2] % 5 == 0:
            self.store.seen.add(record.version)
            return []
        return original(self, sender, record, now, repair)

    monkeypatch.setattr(replica.Replica, "_join", join)


def _last_write_wins(monkeypatch):
    def join(self, record):
        current = self.held.get(record.key)
        if self.seen.contains(record.version):
            return JoinResult.OLD, current
        self.seen.add(record.version)
        if current is not None:
            self._take_out(current)
        self.put(record)
        return JoinResult.NEW, current

    monkeypatch.setattr(RecordStore, "join", join)


def _start_not_rising(monkeypatch):
    original = ReplicaStorage.count_start
    monkeypatch.setattr(
        ReplicaStorage, "count_start", lambda self, above=0: original(self, above) and 1 + above
    )


def _drop_some_writes(monkeypatch):
    original, calls = ReplicaStorage.write, []

    def write(self, record):
        calls.append(0)
        return None if len(calls) % 3 == 0 else original(self, record)

    monkeypatch.setattr(ReplicaStorage, "write", write)


def _remove_too_early(monkeypatch):
    monkeypatch.setattr(replica.Replica, "_on_timer_expiry", _remove_lifted_at_once)
    monkeypatch.setattr(replica.Replica, "_on_range_keys", lambda self, sender, message, now: [])


def _remove_lifted_at_once(self, now):
    self.timers["expiry"], actions = now + replica.EXPIRY_PERIOD, []
    for key in [k for k, r in self.store.held.items() if k[0] == "word" and r.value[2] == SourceState.LIFTED]:
        actions += self._remove(key)
    return actions + self._start_write()


def _caught_up_too_early(monkeypatch):
    def end_catch_up(self, now):
        if self.phase is not replica.CatchUpPhase.ASKING or not self.marks:
            return []
        self.phase = replica.CatchUpPhase.TOGETHER
        return [replica.CaughtUp("caught-up", list(self.marks))]

    monkeypatch.setattr(replica.Replica, "_end_catch_up_if_complete", end_catch_up)


@pytest.mark.parametrize(
    ("number", "inject"),
    [
        (1, _drop_some_records),
        (2, _last_write_wins),
        (3, _drop_some_records),
        (5, _start_not_rising),
        (6, _drop_some_writes),
        (7, _remove_too_early),
        (8, _caught_up_too_early),
    ],
)
def test_each_checker_detects_its_injected_defect(monkeypatch, number, inject):
    inject(monkeypatch)
    for seed in range(60):
        if any(at == number for at, _ in checkers.find_violations(play_schedule(seed, 4, 0.1).trace)):
            return
    raise AssertionError(f"checker {number} detected nothing in 60 schedules")


def fleet_with_a_stall_and_one_way_partitions(seed):
    """Ten fronts, of which for 6 s one is paused, one can't send and one can't receive."""
    fleet = Fleet(10, seed, loss=0.02)
    fleet.start()
    fleet.run(3 * S)
    others = [n for n in fleet.fronts if n not in ("n1", "n2", "n3")]
    fleet.pause("n1", True)
    for name, is_sender in (("n2", True), ("n3", False)):
        fleet.note(name, "cut")
        for other in others:
            fleet.split([name] if is_sender else [other], [other] if is_sender else [name], both=False)
    fleet.run(9 * S)
    fleet.pause("n1", False)
    fleet.heal()
    for name in ("n2", "n3"):
        fleet.note(name, "healed")
    fleet.run(30 * S)
    return fleet


@pytest.mark.parametrize("seed", range(6))
def test_a_stalled_or_one_way_partitioned_front_has_no_other_declared_dead(seed):
    fleet = fleet_with_a_stall_and_one_way_partitions(seed)
    assert not checkers.falsely_gone(fleet.trace, 5 * S)
    for front in fleet.fronts.values():
        assert len(front.peer.members.reachable()) == 9, front.name


def test_the_checker_of_false_deaths_detects_a_defect(monkeypatch):
    # No front takes a suspect's refutation.
    monkeypatch.setattr(FailureDetector, "_apply_own", lambda self, update: [])
    assert any(
        checkers.falsely_gone(fleet_with_a_stall_and_one_way_partitions(seed).trace, 5 * S)
        for seed in range(3)
    )


def test_no_interleaving_of_a_small_instance_violates_an_invariant():
    states, settled = explore.explore_to_depth(5)
    assert states > 900 and settled > 600
    assert explore.explore_to_depth(4, ("a", "b", "c"), losses=0, crashes=0)[0] > 100


def _claim_before_all_pieces(monkeypatch):
    original = replica.Replica._complete_transfer

    def complete_transfer(self, sender, transfer):
        transfer.pieces |= set(range(transfer.end.pieces if transfer.end else 0))
        return original(self, sender, transfer)

    monkeypatch.setattr(replica.Replica, "_complete_transfer", complete_transfer)


def _report_before_durable(monkeypatch):
    original = replica.Replica.on_written

    def on_written(self, number, now):
        actions = original(self, number, now)
        self.on_disk = self.store.seen.copy()
        return actions

    monkeypatch.setattr(replica.Replica, "on_written", on_written)


@pytest.mark.parametrize(
    ("invariant", "inject", "depth"), [("a", _claim_before_all_pieces, 7), ("b", _report_before_durable, 6)]
)
def test_the_explorer_detects_an_injected_defect(monkeypatch, invariant, inject, depth):
    inject(monkeypatch)
    with pytest.raises(explore.Broken) as found:
        explore.explore_to_depth(depth)
    assert found.value.args[0] == invariant


def fleet_after_catch_up(crash_at=None, fault_at=None):
    """Two fronts hold 300 records; a third, with an empty disk, catches up and crashes or has disk faults at a call."""
    fleet = Fleet(3, 5, alone_after=2 * S, rate=200_000)
    fleet.start("n0", "n1")
    fleet.run(3 * S)
    for number in range(300):
        fleet.purge(("n0", "n1")[number % 2], number, number)
        fleet.run(fleet.now + S // 100)
    third = fleet.fronts["n2"]
    third.disk.crash_at = crash_at
    third.disk.faults = (
        {n: OSError(28, "no space left") for n in range(fault_at, fault_at + 6)} if fault_at else {}
    )
    fleet.start("n2")
    fleet.run(fleet.now + 2 * S)
    has_crashed = not third.up
    if has_crashed:
        fleet.start("n2")
    fleet.run(fleet.now + 15 * S)
    fleet.dump()
    return fleet, has_crashed


def test_catch_up_resumes_from_the_disk_after_a_crash_at_any_disk_call(monkeypatch):
    monkeypatch.setattr(replica, "RECORDS_PER_MESSAGE", 20)  # so that the transfer takes many writes
    crashed = 0
    for crash_at in range(1, 40):
        fleet, has_crashed = fleet_after_catch_up(crash_at=crash_at)
        crashed += has_crashed
        assert not checkers.find_violations(fleet.trace), crash_at
        assert len(fleet.fronts["n2"].holds()) == 300
        assert [x for x in fleet.trace if x[1:3] == ("n2", "live")][-1][3] == "caught-up"
    assert crashed > 20


def test_a_temporarily_full_disk_loses_no_record_and_is_used_again(monkeypatch):
    monkeypatch.setattr(replica, "RECORDS_PER_MESSAGE", 20)
    failed = 0
    for fault_at in range(7, 40):
        fleet, _ = fleet_after_catch_up(fault_at=fault_at)
        failed += any(x[1:3] == ("n2", "not-kept") for x in fleet.trace)
        assert not checkers.find_violations(fleet.trace), fault_at
        assert len(fleet.fronts["n2"].holds()) == 300 and fleet.fronts["n2"].peer.replica.is_disk_writable
        # The records are on its disk as well: it has them after a restart.
        fleet.kill("n2")
        fleet.start("n2")
        assert len(fleet.fronts["n2"].holds()) == 300
    assert failed > 10


def test_tombstones_are_kept_for_a_reachable_front_and_not_for_a_dead_one():
    fleet = Fleet(3, 5, alone_after=S, purge_life=S)
    fleet.start()
    fleet.run(3 * S)
    fleet.drain("n0", 16)
    fleet.run(4 * S)
    # n2 receives everything but records: it is reachable, and hasn't seen that the drain was lifted.
    fleet.network.cut |= {
        (a, "n2", kind) for a in ("n0", "n1") for kind in (replica.SpreadRecords, replica.TransferEnd)
    }
    fleet.drain("n0", 16, SourceState.LIFTED)
    fleet.run(30 * S)
    assert all(("word", 16, 0, "bus", "n0") in fleet.fronts[n].holds() for n in ("n0", "n1"))
    fleet.kill("n2")
    fleet.run(90 * S)
    assert not fleet.fronts["n0"].holds() and not fleet.fronts["n1"].holds()
    fleet.heal()
    fleet.start("n2")
    fleet.run(130 * S)
    fleet.dump()
    assert not fleet.fronts["n2"].holds() and not checkers.find_violations(fleet.trace)


def test_fronts_that_return_together_catch_up_from_those_that_stayed_not_from_each_other():
    for seed in range(6):
        fleet = Fleet(10, seed, alone_after=2 * S)
        fleet.start()
        fleet.run(4 * S)
        for number in range(50):
            fleet.purge(f"n{number % 3}", number, number)
        fleet.run(6 * S)
        returning = [f"n{at}" for at in range(3, 10)]
        for name in returning:
            fleet.kill(name)
            fleet.fronts[name].disk = type(fleet.fronts[name].disk)()  # an empty disk
            fleet.note(name, "folder-put-back")
        fleet.run(7 * S)
        since = len(fleet.trace)
        # They meet each other first: those that stayed become reachable 1 s later.
        fleet.split(returning, ["n0", "n1", "n2"])
        fleet.start(*returning)
        fleet.run(fleet.now + S)
        fleet.heal()
        fleet.run(fleet.now + 10 * S)
        live = {x[1]: x for x in fleet.trace[since:] if x[2] == "live"}
        assert set(live) >= set(returning)
        assert all(live[name][3] == "caught-up" and len(live[name][-1]) == 50 for name in returning), seed
