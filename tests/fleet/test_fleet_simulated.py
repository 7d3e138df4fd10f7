"""Whole fleets in the deterministic driver: fault schedules, and each checker of a promise seen to cry out."""

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
from standins.fleet.schedules import played
from standins.fleet.simulated import Fleet, S

SPANS = st.lists(st.tuples(st.integers(1, 30), st.integers(1, 30)), max_size=12)


@given(SPANS, SPANS)
@profile(max_examples=300, deadline=None, derandomize=True)
def test_what_was_seen_is_a_set_of_counters(ours, theirs):
    def made(spans):
        seen, plain = VersionVector(), set()
        for first, past in spans:
            seen.add_range("a", 1, first, past)
            plain |= set(range(first, past))
        return seen, plain

    (seen, plain), (other, others) = made(ours), made(theirs)
    assert {n for n in range(40) if seen.contains(("a", 1, n))} == plain
    assert {n for _, _, a, b in seen.missing(other) for n in range(a, b)} == others - plain
    assert VersionVector(seen.as_ranges()).as_ranges() == seen.as_ranges() and seen.covers(other) is (
        others <= plain
    )
    assert all(a < b for _, _, ends in seen.as_ranges() for a, b in zip(ends, ends[1:], strict=False))


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(0, 2)), max_size=20), st.randoms()
)
@profile(max_examples=200, deadline=None, derandomize=True)
def test_facts_join_to_the_same_in_any_order_and_any_number_of_times(said, order):
    facts = [
        ReplicatedRecord(("purge", "object", key), (value,), (f"n{owner}", 1, at))
        for at, (key, value, owner) in enumerate(said, 1)
    ]
    one, other = RecordStore(), RecordStore()
    for fact in facts:
        one.join(fact)
    mixed = facts * 2
    order.shuffle(mixed)
    for fact in mixed:
        other.join(fact)
    assert (
        one.held == other.held
        and one.root() == other.root()
        and one.seen.as_ranges() == other.seen.as_ranges()
    )
    assert all(one.held[f.key].value >= f.value for f in facts)


@pytest.mark.parametrize(("size", "loss"), [(3, 0.3), (5, 0.0), (5, 0.1), (9, 0.1)])
@pytest.mark.parametrize("first", range(0, 40, 10))
def test_schedules_of_faults_break_no_promise(size, loss, first):
    for seed in range(first, first + 10):
        assert not checkers.broken(played(seed, size, loss).trace), (seed, size, loss)


def test_the_same_seed_is_the_same_to_the_bit():
    assert played(11, 5, 0.1).trace == played(11, 5, 0.1).trace


# Each checker is seen to fail: a defect is sown, and within a few schedules it is found under its number.


def _not_joined(monkeypatch):
    whole = replica.Replica._join

    def joined(self, sender, fact, now, repair=False):
        if fact.key[0] == "purge" and fact.key[2] % 5 == 0:
            self.facts.seen.add(fact.dot)
            return []
        return whole(self, sender, fact, now, repair)

    monkeypatch.setattr(replica.Replica, "_join", joined)


def _last_one_wins(monkeypatch):
    def join(self, fact):
        mine = self.held.get(fact.key)
        if self.seen.contains(fact.dot):
            return JoinResult.OLD, mine
        self.seen.add(fact.dot)
        if mine is not None:
            self._take_out(mine)
        self.put(fact)
        return JoinResult.NEW, mine

    monkeypatch.setattr(RecordStore, "join", join)


def _start_not_counted(monkeypatch):
    whole = ReplicaStorage.start
    monkeypatch.setattr(ReplicaStorage, "start", lambda self, least=0: whole(self, least) and 1 + least)


def _sync_dropped(monkeypatch):
    whole, times = ReplicaStorage.write, []

    def write(self, record):
        times.append(0)
        return None if len(times) % 3 == 0 else whole(self, record)

    monkeypatch.setattr(ReplicaStorage, "write", write)


def _let_go_early(monkeypatch):
    monkeypatch.setattr(replica.Replica, "_on_timer_expiry", _due_let_go_at_once)
    monkeypatch.setattr(replica.Replica, "_on_range_keys", lambda self, sender, message, now: [])


def _due_let_go_at_once(self, now):
    self.timers["expiry"], done = now + replica.EXPIRY_PERIOD, []
    for key in [k for k, f in self.facts.held.items() if k[0] == "word" and f.value[2] == SourceState.LIFTED]:
        done += self._remove(key)
    return done + self._start_write()


def _live_at_once(monkeypatch):
    def caught_up(self, now):
        if self.phase is not replica.CatchUpPhase.ASKING or not self.marks:
            return []
        self.phase = replica.CatchUpPhase.TOGETHER
        return [replica.CaughtUp("caught-up", list(self.marks))]

    monkeypatch.setattr(replica.Replica, "_end_catch_up_if_complete", caught_up)


@pytest.mark.parametrize(
    ("number", "sow"),
    [
        (1, _not_joined),
        (2, _last_one_wins),
        (3, _not_joined),
        (5, _start_not_counted),
        (6, _sync_dropped),
        (7, _let_go_early),
        (8, _live_at_once),
    ],
)
def test_a_sown_defect_makes_its_checker_cry_out(monkeypatch, number, sow):
    sow(monkeypatch)
    for seed in range(60):
        if any(at == number for at, _ in checkers.broken(played(seed, 4, 0.1).trace)):
            return
    raise AssertionError(f"checker {number} found nothing")


def paused_and_half_cut(seed):
    """Ten fronts: one stands still for 6 s, one hears and isn't heard for 6 s, one is heard and hears nothing."""
    fleet = Fleet(10, seed, loss=0.02)
    fleet.start()
    fleet.run(3 * S)
    others = [n for n in fleet.fronts if n not in ("n1", "n2", "n3")]
    fleet.pause("n1", True)
    for name, out in (("n2", True), ("n3", False)):
        fleet.note(name, "cut")
        for other in others:
            fleet.split([name] if out else [other], [other] if out else [name], both=False)
    fleet.run(9 * S)
    fleet.pause("n1", False)
    fleet.heal()
    for name in ("n2", "n3"):
        fleet.note(name, "healed")
    fleet.run(30 * S)
    return fleet


@pytest.mark.parametrize("seed", range(6))
def test_one_that_stands_still_or_is_half_cut_takes_no_other_down(seed):
    fleet = paused_and_half_cut(seed)
    assert not checkers.falsely_gone(fleet.trace, 5 * S)
    for front in fleet.fronts.values():
        assert len(front.peer.members.reachable()) == 9, front.name


def test_the_checker_of_false_ends_cries_out(monkeypatch):
    # A suspect that is not heard: nobody takes its refutation.
    monkeypatch.setattr(FailureDetector, "_apply_own", lambda self, word: [])
    assert any(checkers.falsely_gone(paused_and_half_cut(seed).trace, 5 * S) for seed in range(3))


def test_every_interleaving_of_a_small_instance_keeps_what_was_seen():
    states, settled = explore.explored(5)
    assert states > 900 and settled > 600
    assert explore.explored(4, ("a", "b", "c"), losses=0, crashes=0)[0] > 100


def _claims_before_the_pieces(monkeypatch):
    whole = replica.Replica._complete_transfer

    def at_once(self, sender, coming):
        coming.pieces |= set(range(coming.end.pieces if coming.end else 0))
        return whole(self, sender, coming)

    monkeypatch.setattr(replica.Replica, "_complete_transfer", at_once)


def _said_before_it_is_synced(monkeypatch):
    synced = replica.Replica.synced

    def early(self, number, now):
        done = synced(self, number, now)
        self.on_disk = self.facts.seen.copy()
        return done

    monkeypatch.setattr(replica.Replica, "synced", early)


@pytest.mark.parametrize(
    ("what", "sow", "depth"), [("a", _claims_before_the_pieces, 7), ("b", _said_before_it_is_synced, 6)]
)
def test_the_explorer_finds_a_sown_defect(monkeypatch, what, sow, depth):
    sow(monkeypatch)
    with pytest.raises(explore.Broken) as found:
        explore.explored(depth)
    assert found.value.args[0] == what


def caught_up_after(crash_at=None, fault_at=None):
    """Two fronts hold 300 facts, a third with an empty disk catches up; its disk stops it, or fails, at a call."""
    fleet = Fleet(3, 5, alone_after=2 * S, rate=200_000)
    fleet.start("n0", "n1")
    fleet.run(3 * S)
    for number in range(300):
        fleet.purged(("n0", "n1")[number % 2], number, number)
        fleet.run(fleet.now + S // 100)
    third = fleet.fronts["n2"]
    third.disk.crash_at = crash_at
    third.disk.faults = (
        {n: OSError(28, "no space left") for n in range(fault_at, fault_at + 6)} if fault_at else {}
    )
    fleet.start("n2")
    fleet.run(fleet.now + 2 * S)
    again = not third.up
    if again:
        fleet.start("n2")
    fleet.run(fleet.now + 15 * S)
    fleet.dump()
    return fleet, again


def test_a_front_killed_at_each_disk_call_of_its_catch_up_goes_on_where_its_disk_is(monkeypatch):
    monkeypatch.setattr(replica, "RECORDS_PER_MESSAGE", 20)  # so that it takes many writes
    crashed = 0
    for crash_at in range(1, 40):
        fleet, again = caught_up_after(crash_at=crash_at)
        crashed += again
        assert not checkers.broken(fleet.trace), crash_at
        assert len(fleet.fronts["n2"].holds()) == 300
        assert [x for x in fleet.trace if x[1:3] == ("n2", "live")][-1][3] == "caught-up"
    assert crashed > 20


def test_a_disk_that_is_full_for_a_while_at_any_call_loses_no_fact_and_is_taken_up_again(monkeypatch):
    monkeypatch.setattr(replica, "RECORDS_PER_MESSAGE", 20)
    failed = 0
    for fault_at in range(7, 40):
        fleet, _ = caught_up_after(fault_at=fault_at)
        failed += any(x[1:3] == ("n2", "not-kept") for x in fleet.trace)
        assert not checkers.broken(fleet.trace), fault_at
        assert len(fleet.fronts["n2"].holds()) == 300 and fleet.fronts["n2"].peer.replica.kept
        # And its disk has it: what a restart finds is what it holds.
        fleet.kill("n2")
        fleet.start("n2")
        assert len(fleet.fronts["n2"].holds()) == 300
    assert failed > 10


def test_tombstones_wait_for_one_that_is_there_and_not_for_one_that_is_gone():
    fleet = Fleet(3, 5, alone_after=S, purge_life=S)
    fleet.start()
    fleet.run(3 * S)
    fleet.drained("n0", 16)
    fleet.run(4 * S)
    # n2 hears everything but facts: it is there, and has not seen the lifting.
    fleet.network.cut |= {
        (a, "n2", kind) for a in ("n0", "n1") for kind in (replica.SpreadRecords, replica.TransferEnd)
    }
    fleet.drained("n0", 16, SourceState.LIFTED)
    fleet.run(30 * S)
    assert all(("word", 16, 0, "bus", "n0") in fleet.fronts[n].holds() for n in ("n0", "n1"))
    fleet.kill("n2")
    fleet.run(90 * S)
    assert not fleet.fronts["n0"].holds() and not fleet.fronts["n1"].holds()
    fleet.heal()
    fleet.start("n2")
    fleet.run(130 * S)
    fleet.dump()
    assert not fleet.fronts["n2"].holds() and not checkers.broken(fleet.trace)


def test_fronts_that_return_together_are_live_by_those_that_stayed_and_not_by_each_other():
    for seed in range(6):
        fleet = Fleet(10, seed, alone_after=2 * S)
        fleet.start()
        fleet.run(4 * S)
        for number in range(50):
            fleet.purged(f"n{number % 3}", number, number)
        fleet.run(6 * S)
        away = [f"n{at}" for at in range(3, 10)]
        for name in away:
            fleet.kill(name)
            fleet.fronts[name].disk = type(fleet.fronts[name].disk)()  # with nothing of what they had
            fleet.note(name, "folder-put-back")
        fleet.run(7 * S)
        since = len(fleet.trace)
        # First among themselves: those that stayed are reached a little later.
        fleet.split(away, ["n0", "n1", "n2"])
        fleet.start(*away)
        fleet.run(fleet.now + S)
        fleet.heal()
        fleet.run(fleet.now + 10 * S)
        live = {x[1]: x for x in fleet.trace[since:] if x[2] == "live"}
        assert set(live) >= set(away)
        assert all(live[name][3] == "caught-up" and len(live[name][-1]) == 50 for name in away), seed
