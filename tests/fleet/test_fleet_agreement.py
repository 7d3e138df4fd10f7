"""The replicated log: fault schedules, checks of the checkers, storage, and the durability check of voters."""

import pytest

from sprucegate.fleet.consensus import messages
from sprucegate.fleet.consensus.actions import LeadershipChanged, PersistState, ReadIndexReady, SendMessage
from sprucegate.fleet.consensus.durability_check import (
    ANNOUNCEMENTS_MIN,
    DurabilityCheck,
    PersistStarts,
    StartAnnouncement,
    StartConfirmation,
    StorageRolledBack,
    VotingAllowed,
)
from sprucegate.fleet.consensus.log_entry import ClusterConfiguration, LogEntry
from sprucegate.fleet.consensus.member_replacement import next_membership
from sprucegate.fleet.consensus.messages import RequestVote, RequestVoteResponse
from sprucegate.fleet.consensus.raft_node import RaftNode
from sprucegate.fleet.consensus.raft_state import Role
from sprucegate.fleet.consensus.storage import RaftStorage
from sprucegate.fleet.random_source import RandomSource
from sprucegate.units import MILLISECOND, SECOND
from standins.disk import Crashed, FaultyDisk
from standins.fleet import explore_fitness, explore_keepers, keepers
from standins.fleet.keepers import find_violations, play_schedule

THREE = ClusterConfiguration(("a", "b", "c"), ())


@pytest.mark.parametrize(("size", "loss", "spare"), [(3, 0.0, 0), (3, 0.1, 2), (5, 0.2, 0), (5, 0.05, 1)])
def test_fault_schedules_violate_no_invariant_and_entries_are_committed(size, loss, spare):
    for seed in range(12):
        trace = play_schedule(seed, size, loss, spare=spare).trace
        assert not find_violations(trace), (seed, size, loss, spare)
        proposed = {more[2] for _, _, what, *more in trace if what == "proposes"}
        applied = {more[2] for _, _, what, *more in trace if what == "applies"}
        assert len(proposed & applied) > 50


def test_a_seed_reproduces_its_trace_exactly():
    assert play_schedule(7, 5, 0.1).trace == play_schedule(7, 5, 0.1).trace


def _drop_writes(monkeypatch):
    """Every third write is reported as synced and lost."""
    original = keepers.SimulatedVoter._synced

    def synced(self, generation, number):
        if self.up and self.pending and number % 3 == 0:
            self.pending = [write for write in self.pending if write.number != number]
        return original(self, generation, number)

    monkeypatch.setattr(keepers.SimulatedVoter, "_synced", synced)


def _vote_twice_in_a_term(monkeypatch):
    original = RaftNode._on_request_vote

    def vote(self, sender, request, now):
        if not request.pre_vote and request.term == self.current_term:
            self.voted_for, self.role = "", Role.FOLLOWER
        return original(self, sender, request, now)

    monkeypatch.setattr(RaftNode, "_on_request_vote", vote)


def _accept_any_quorum(monkeypatch):
    monkeypatch.setattr(RaftNode, "_is_quorum", lambda self, names: True)


def _read_without_a_round(monkeypatch):
    def read(self, token, now):
        return [ReadIndexReady(token, self.commit_index if self.role is Role.LEADER else -1)]

    monkeypatch.setattr(RaftNode, "read_index", read)
    # Otherwise a leader that was suspended steps down before it is asked for a read.
    monkeypatch.setattr(
        RaftNode,
        "_is_quorum",
        lambda self, names: 2 * len({*names, self.name} & set(self.configuration().voters))
        > len(self.configuration().voters)
        or self.role is Role.LEADER,
    )


def _commit_before_the_write(monkeypatch):
    original = RaftNode._advance_commit

    def advance_commit(self, now):
        self.commit_index = (
            max(self.commit_index, self.log.last_index()) if self.role is Role.LEADER else self.commit_index
        )
        return original(self, now)

    monkeypatch.setattr(RaftNode, "_advance_commit", advance_commit)


@pytest.mark.parametrize(
    ("name", "inject"),
    [
        ("votes_twice", _vote_twice_in_a_term),
        ("two_leaders", _accept_any_quorum),
        ("applied_apart", _drop_writes),
        ("lost", _commit_before_the_write),
        ("stale_reads", _read_without_a_round),
    ],
)
def test_each_checker_detects_an_injected_defect(monkeypatch, name, inject):
    inject(monkeypatch)
    for seed in range(150):
        try:
            if any(found == name for found, _ in find_violations(play_schedule(seed, 3, 0.1).trace)):
                return
        except (AssertionError, IndexError, ValueError):
            continue  # the defect may crash a run before a checker reads its trace
    raise AssertionError(f"{name} found nothing")


def elected_leader(entries=(), term=1, config=THREE):
    """Return node "a", elected by "b", and the time; all its writes are on its disk."""
    node = RaftNode("a", config, lambda _: 0.0, 0)
    node.load(term - 1, "", None, list(entries))
    node.on_timer(node.next_deadline())
    now = node.next_deadline()
    node.on_message("b", RequestVoteResponse(term, True, True), now)
    actions = node.on_persisted(node.write_number, now)
    assert any(isinstance(a, SendMessage) and isinstance(a.message, RequestVote) for a in actions)
    actions = node.on_message("b", RequestVoteResponse(term, False, True), now)
    assert any(isinstance(a, LeadershipChanged) and a.is_leader for a in actions)
    node.on_persisted(node.write_number, now)
    return node, now


def test_a_vote_is_sent_only_once_it_is_on_disk_and_given_once_a_term():
    node = RaftNode("c", THREE, lambda _: 0.0, 0)
    actions = node.on_message("a", RequestVote(3, 0, 0, False, False), SECOND)
    assert [type(a) for a in actions] == [PersistState, PersistState] and actions[-1].voted_for == "a"
    assert [a.message.vote_granted for a in node.on_persisted(2, SECOND)] == [True]
    second_actions = node.on_message("b", RequestVote(3, 5, 2, False, False), SECOND)
    assert [a.message.vote_granted for a in second_actions if isinstance(a, SendMessage)] == [False]


def test_a_node_with_a_live_leader_grants_no_vote():
    node = RaftNode("c", THREE, lambda _: 0.0, 0)
    node.on_message("a", messages.AppendEntries(1, 0, 0, [], 0, 1), SECOND)
    node.on_persisted(node.write_number, SECOND)
    (response,) = node.on_message("b", RequestVote(9, 9, 9, True, False), SECOND + 100 * MILLISECOND)
    assert not response.message.vote_granted and node.current_term == 1
    assert (
        node.on_message("b", RequestVote(9, 9, 9, False, False), SECOND + 100 * MILLISECOND) == []
        and node.current_term == 1
    )


def test_an_entry_of_an_older_term_is_committed_only_with_one_of_the_leaders_own():
    # Figure 3.7 of the thesis: an entry that a majority has on disk can still be replaced.
    node, now = elected_leader([LogEntry(1, 1, "data", "old")], term=3)
    node.on_message("b", messages.AppendEntriesResponse(3, True, 1, 0), now)
    assert node.commit_index == 0
    node.on_message("b", messages.AppendEntriesResponse(3, True, 2, 0), now)
    assert node.commit_index == 2


def test_members_change_one_at_a_time_and_not_before_an_entry_of_the_leaders_own_term():
    node, now = elected_leader()
    # Nothing of the leader's term is committed yet.
    assert node.change_membership(("a", "b", "c"), ("d",), now)[0] == 0
    node.on_message("b", messages.AppendEntriesResponse(1, True, 1, 0), now)
    assert node.change_membership(("a", "b", "c", "d"), (), now)[0] == 0  # "d" is no learner yet
    assert node.change_membership(("a", "b", "c"), ("d",), now)[0] == 2
    assert node.change_membership(("a", "b", "c", "d"), (), now)[0] == 0  # the last change isn't committed
    node.on_persisted(node.write_number, now)
    node.on_message("b", messages.AppendEntriesResponse(1, True, 2, 0), now)
    assert node.change_membership(("a", "d"), (), now)[0] == 0  # more than one voter changes
    assert node.change_membership(("a", "b", "c", "d"), (), now)[0] == 3


def test_a_leader_without_responses_of_a_majority_steps_down_and_fails_its_reads():
    node, now = elected_leader()
    node.on_message("b", messages.AppendEntriesResponse(1, True, 1, 0), now)
    node.read_index("t", now)
    actions = node.on_timer(now + 400 * MILLISECOND)
    assert LeadershipChanged(False, 1) in actions and ReadIndexReady("t", -1) in actions
    assert node.propose("x", now)[0] == 0


def test_after_a_failed_write_a_leader_steps_down_and_votes_no_more():
    node, now = elected_leader()
    assert LeadershipChanged(False, 1) in node.on_persist_failed(now)
    assert (
        node.on_message("b", RequestVote(9, 9, 9, False, False), now + SECOND) == []
        and node.on_timer(now + 9 * SECOND) == []
    )


def test_leadership_is_transferred_to_a_voter_that_has_the_whole_log():
    node, now = elected_leader()
    node.on_message("b", messages.AppendEntriesResponse(1, True, 1, 0), now)
    assert node.transfer_leadership("b", now) == [SendMessage("b", messages.TimeoutNow(1))]
    assert node.propose("x", now)[0] == 0
    successor = RaftNode("b", THREE, lambda _: 0.0, 0)
    successor.on_message("a", messages.AppendEntries(1, 0, 0, [LogEntry(1, 1, "nothing", None)], 1, 1), now)
    successor.on_persisted(successor.write_number, now)
    actions = successor.on_message("a", messages.TimeoutNow(1), now)
    actions += successor.on_persisted(successor.write_number, now)
    assert {a.to for a in actions if isinstance(a, SendMessage) and a.message.leadership_transfer} == {
        "a",
        "c",
    }


def test_all_interleavings_of_three_voters_up_to_a_depth_keep_the_log_consistent():
    assert explore_keepers.explore_to_depth(6) > 1000
    assert explore_keepers.explore_to_depth(6, contested=True) > 1000


@pytest.mark.parametrize(
    ("what", "inject"), [("leaders", _accept_any_quorum), ("votes", _vote_twice_in_a_term)]
)
def test_the_explorer_finds_an_injected_defect(monkeypatch, what, inject):
    inject(monkeypatch)
    with pytest.raises(explore_keepers.Broken) as found:
        explore_keepers.explore_to_depth(7, contested=what == "votes")
    assert found.value.args[0] == what


# Storage.


def write(storage, number, term, vote, truncate_from, entries, snapshot=None):
    return storage.write(PersistState(number, term, vote, truncate_from, entries, snapshot), 0)


def entries(first, end, term=1):
    return [LogEntry(n, term, "data", ["ask", n]) for n in range(first, end)]


def test_storage_returns_what_was_written():
    disk = FaultyDisk()
    storage = RaftStorage(disk, "/k")
    assert storage.count_start("k0") == ("k0", 1)
    storage.load(0)
    write(storage, 1, 1, "k1", 0, entries(1, 5))
    write(storage, 2, 2, "", 4, entries(4, 6, term=2))  # truncates, and appends entries of another term
    storage.close()
    reopened = RaftStorage(disk.after_crash(), "/k")
    assert reopened.count_start("k7") == ("k0", 2)  # the stored identity holds
    stored = reopened.load(0)
    assert (stored.term, stored.voted_for, stored.refused) == (2, "", [])
    assert stored.entries == entries(1, 4) + entries(4, 6, term=2)
    config = ClusterConfiguration(("k0", "k1"), ("k2",))
    assert write(reopened, 3, 2, "k0", 4, entries(4, 6, term=2), (3, 1, config, b"state")) is None
    assert write(reopened, 4, 2, "k0", 0, [LogEntry(6, 2, "config", config)]) is None
    reopened.close()
    stored = RaftStorage(reopened.disk.after_crash(), "/k").load(0)
    assert stored.snapshot == (3, 1, config, b"state")
    assert stored.entries == [*entries(4, 6, term=2), LogEntry(6, 2, "config", config)]


def test_each_new_identity_sets_logs_and_snapshots_aside():
    disk = FaultyDisk()
    storage = RaftStorage(disk, "/k")
    storage.count_start("k0")
    storage.load(0)
    config = ClusterConfiguration(("k0",), ())
    assert write(storage, 1, 1, "k0", 3, entries(3, 5), (2, 1, config, b"state")) is None
    for name in ("k0^1", "k0^2"):
        assert any(file.startswith("agreed-") for file in disk.names("/k"))
        storage.begin_new_identity(name)
        assert not any(file.startswith("agreed-") for file in disk.names("/k"))
        assert storage.load(0).entries == [] and storage.count_start("k7")[0] == name
    assert any(file.startswith("put-back-") and file.endswith(".snap") for file in disk.names("/k"))


def test_a_crash_at_any_disk_call_loses_nothing_that_was_synced():
    config, crash_at = ClusterConfiguration(("k0",), ()), 0
    while True:
        crash_at += 1
        disk, synced = FaultyDisk(seed=crash_at, crash_at=crash_at), 0
        storage = RaftStorage(disk, "/k")
        try:
            storage.count_start("k0")
            storage.load(0)
            for n in range(1, 9):
                snapshot = (n - 2, 1, config, n) if n in (4, 7) else None
                new_entries = entries(n, n + 1) if snapshot is None else entries(n - 1, n + 1)
                assert write(storage, n, 1, f"k{n}", n - 1 if snapshot else 0, new_entries, snapshot) is None
                synced = n
        except Crashed:
            pass
        reopened = RaftStorage(disk.after_crash(), "/k")
        reopened.count_start("k0")
        stored = reopened.load(0)
        last = stored.entries[-1].index if stored.entries else stored.snapshot[0] if stored.snapshot else 0
        assert last >= synced, crash_at
        assert not synced or stored.voted_for in (f"k{synced}", f"k{synced + 1}"), crash_at
        if synced == 8:
            return


@pytest.mark.parametrize("call", range(1, 60))
def test_a_disk_fault_is_reported_and_never_taken_for_a_sync(call):
    disk = FaultyDisk(faults={call: OSError(28, "no space left")})
    storage, synced = RaftStorage(disk, "/k"), 0
    try:
        storage.count_start("k0")
        storage.load(0)
    except OSError:
        return
    for n in range(1, 9):
        snapshot = (n - 1, 1, ClusterConfiguration(("k0",), ()), n) if n == 5 else None
        if write(storage, n, 1, "", n if snapshot else 0, entries(n, n + 1), snapshot) is not None:
            break  # the voter steps down and writes no more
        synced = n
    stored = RaftStorage(disk.after_crash(), "/k").load(0)
    assert (stored.entries[-1].index if stored.entries else 0) >= synced


def test_a_new_identity_starts_without_term_vote_and_entries():
    disk = FaultyDisk()
    storage = RaftStorage(disk, "/k")
    storage.count_start("k0")
    storage.load(0)
    write(storage, 1, 3, "k1", 0, entries(1, 5))
    storage.begin_new_identity("k0^ab")
    stored = storage.load(0)
    assert (stored.term, stored.voted_for, stored.entries, stored.snapshot) == (0, "", [], None)
    storage.close()
    assert RaftStorage(disk.after_crash(), "/k").count_start("k0") == ("k0^ab", 2)


# The durability check.


def durability_checks(*names, **options):
    return {
        name: DurabilityCheck(name, 1, at, [n for n in names if n != name], {}, 0, **options)
        for at, name in enumerate(names)
    }


def exchange(voters, messages_max=80, rounds=1):
    """Run the timers, deliver messages until there are none, and return the other actions by voter."""
    results, pending = {}, []
    for _ in range(rounds):
        pending += [(n, a) for n, voter in voters.items() for a in voter.on_timer(voter.deadline)]
        _deliver(voters, pending, results, messages_max)
    return results


def _deliver(voters, pending, results, messages_max):
    while pending and messages_max:
        messages_max -= 1
        name, action = pending.pop(0)
        if isinstance(action, SendMessage):
            if action.to in voters:
                pending += [(action.to, a) for a in voters[action.to].on_message(name, action.message, 0)]
        elif isinstance(action, PersistStarts):
            pending += [(name, a) for a in voters[name].on_persisted(action.number, 0)]
        else:
            results.setdefault(name, []).append(action)


def test_voters_of_a_new_cluster_confirm_each_other():
    voters = durability_checks("k0", "k1", "k2", never_voted=True)
    assert {n: type(actions[0]) for n, actions in exchange(voters).items()} == {
        "k0": VotingAllowed,
        "k1": VotingAllowed,
        "k2": VotingAllowed,
    }


@pytest.mark.parametrize(
    "start_count, incarnation, expected",
    [(2, 9, VotingAllowed), (1, 9, StorageRolledBack), (1, 0, VotingAllowed)],
)
def test_another_start_with_a_known_count_means_lost_state(start_count, incarnation, expected):
    voters = durability_checks("k0", "k1", "k2")
    exchange(voters)
    # A lost or restored folder repeats an earlier count with another incarnation. A repeated announcement has the same
    # count and the same incarnation.
    voters["k0"] = DurabilityCheck("k0", start_count, incarnation, ["k1", "k2"], {}, 0)
    result = exchange({n: voters[n] for n in ("k0", "k1", "k2")})["k0"][0]
    assert type(result) is expected
    if expected is StorageRolledBack:
        assert result.name == "k0^9"


@pytest.mark.parametrize(
    "never_voted, peer_never_voted, allowed",
    [(False, False, True), (True, False, False), (False, True, False), (True, True, False)],
)
def test_a_majority_that_includes_the_voter_itself_suffices_if_both_voted_before(
    never_voted, peer_never_voted, allowed
):
    # Guards against waiting for confirmation by all peers: with one of three voters gone, a restarted one never voted
    # again, though two are a majority.
    voters = {
        "k0": DurabilityCheck("k0", 2, 9, ["k1", "k2"], {}, 0, never_voted=never_voted),
        "k1": DurabilityCheck("k1", 2, 8, ["k0", "k2"], {}, 0, never_voted=peer_never_voted),
    }
    # A peer that knows a later start has had no time to say so.
    assert exchange(voters, rounds=ANNOUNCEMENTS_MIN) == {}
    assert bool(exchange(voters, rounds=1).get("k0")) is allowed
    assert DurabilityCheck("k0", 1, 1, ["k1", "k2"], {}, 0, trusted=True, never_voted=True).may_vote


def test_known_starts_are_passed_on_to_a_peer_that_was_away():
    voters = durability_checks("k0", "k1", "k2")
    exchange(voters)
    away = voters.pop("k2")
    voters["k0"] = DurabilityCheck("k0", 2, 9, ["k1", "k2"], {"k1": (1, 1), "k2": (1, 2)}, 0)
    assert VotingAllowed in map(type, exchange(voters, rounds=ANNOUNCEMENTS_MIN + 1)["k0"])
    # k0 is gone before k2 is back: k2 learns of the second start of k0 from k1.
    del voters["k0"]
    voters["k2"] = DurabilityCheck("k2", 2, 7, ["k0", "k1"], away.known_starts, 0)
    assert VotingAllowed in map(type, exchange(voters, rounds=ANNOUNCEMENTS_MIN + 1)["k2"]) and voters[
        "k2"
    ].known_starts["k0"] == (2, 9)
    del voters["k1"]
    voters["k0"] = DurabilityCheck("k0", 2, 5, ["k1", "k2"], {}, 0)
    assert {type(action) for action in exchange(voters)["k0"]} == {StorageRolledBack}
    assert voters["k2"].uninformed_peers == [
        "k0"
    ]  # only peers that may lack a start get further announcements


def test_a_voter_that_may_vote_stops_as_soon_as_a_peer_knows_a_later_start_of_it():
    voter = DurabilityCheck("k0", 2, 9, ["k1", "k2"], {}, 0)
    voter.may_vote = True
    assert voter.on_message("k2", StartAnnouncement(1, 7, {"k0": (2, 5)}), 0) == [
        StorageRolledBack("k0^9", "k2")
    ]
    assert voter.on_message("k2", StartConfirmation(2, 9, False, False, {}), 0) == [
        StorageRolledBack("k0^9", "k2")
    ]
    trusted = DurabilityCheck("k0", 2, 9, ["k1", "k2"], {}, 0, trusted=True)
    assert not any(
        isinstance(a, StorageRolledBack)
        for a in trusted.on_message("k2", StartAnnouncement(1, 7, {"k0": (2, 5)}), 0)
    )


def test_a_start_is_confirmed_only_once_it_is_on_disk():
    voter = durability_checks("k0", "k1")["k0"]
    actions = voter.on_message("k1", StartAnnouncement(1, 1, {}), 0)
    # A repeated announcement causes no further write: one each time would postpone the confirmation for ever.
    assert [type(a) for a in actions] == [PersistStarts] and voter.on_message(
        "k1", StartAnnouncement(1, 1, {}), 0
    ) == []
    assert voter.on_persisted(0, 0) == []
    assert voter.on_persisted(1, 0) == [
        SendMessage("k1", StartConfirmation(1, 1, True, False, {"k1": (1, 1), "k0": (1, 0)}))
    ]


def test_all_interleavings_of_starts_with_a_restored_folder_up_to_a_depth(monkeypatch):
    assert explore_fitness.explore_to_depth(6) > 1000
    # The explorer detects a check that never reports lost state.
    monkeypatch.setattr(explore_fitness, "DurabilityCheck", UncheckedVoter)
    with pytest.raises(explore_fitness.Broken, match="knows"):
        explore_fitness.explore_to_depth(7)


@pytest.mark.parametrize("seed, loss", [(3, 0.0), (192, 0.0), (168, 0.2)])
def test_a_restored_folder_votes_only_while_no_peer_that_knows_a_later_start_is_reachable(seed, loss):
    assert find_violations(play_schedule(seed, 3, loss, back=1).trace) == []


def test_the_checkers_of_starts_detect_injected_defects(monkeypatch):
    # Confirmation by all peers was needed once.
    monkeypatch.setattr(DurabilityCheck, "confirmations_needed", lambda self: len(self.peers))
    assert "majority_waits" in {
        name for seed in (16, 17) for name, _ in find_violations(play_schedule(seed, 3, back=1).trace)
    }
    monkeypatch.undo()
    monkeypatch.setattr(keepers, "DurabilityCheck", UncheckedVoter)
    assert "fit_though_known" in {
        name for seed in (0, 1) for name, _ in find_violations(play_schedule(seed, 3, back=1).trace)
    }


def test_a_new_identity_replaces_its_former_one_in_three_steps():
    node = RaftNode("k1", ClusterConfiguration(("k0", "k1", "k2"), ()), RandomSource("k1", 1), 0)
    node.role, steps = Role.LEADER, []
    for _ in range(6):
        step = next_membership(node, {"k0^9": 0, "stranger": 0}, ("k0", "k1", "k2"), 0)
        if step is None:
            break
        steps.append(step)
        node.log.base_configuration = ClusterConfiguration(*step)
        node.match_index["k0^9"] = node.commit_index
    assert steps == [
        (("k0", "k1", "k2"), ("k0^9",)),
        (("k0", "k1", "k2", "k0^9"), ()),
        (("k1", "k2", "k0^9"), ()),
    ]


def test_voters_are_aligned_with_the_operators_file_one_at_a_time():
    node = RaftNode("k1", ClusterConfiguration(("k0", "k1", "k2"), ()), RandomSource("k1", 1), 0)
    node.role = Role.LEADER
    assert next_membership(node, {}, ("k1", "k2", "k3"), 0) == (("k1", "k2"), ())
    node.log.base_configuration = ClusterConfiguration(("k1", "k2"), ())
    assert next_membership(node, {"k3": 0}, ("k1", "k2", "k3"), 0) == (("k1", "k2"), ("k3",))
    # k3 announced its start too long ago to count as present.
    assert next_membership(node, {"k3": 0}, ("k1", "k2", "k3"), 9 * 10**9) is None


def test_an_operator_can_make_the_last_voter_the_only_one():
    node = RaftNode("k1", ClusterConfiguration(("k0", "k1", "k2"), ()), RandomSource("k1", 1), 0)
    node.load(3, "k2", None, entries(1, 4, term=3))
    writes = node.force_single_voter()
    assert (
        node.configuration() == ClusterConfiguration(("k1",), ())
        and node.current_term == 4
        and node.log.last_index() == 4
    )
    assert node.on_persisted(writes[0].number, 0) == []
    actions = node.on_timer(node.next_deadline())
    number = max(a.number for a in actions if isinstance(a, PersistState))
    actions += node.on_persisted(number, 10**9)
    actions += node.on_persisted(node.write_number, 10**9)
    assert (
        any(isinstance(a, LeadershipChanged) for a in actions) and node.commit_index == node.log.last_index()
    )


class UncheckedVoter(DurabilityCheck):
    """A check that accepts any folder and never reports lost state."""

    def _roll_back(self, sender):
        return []

    def _is_later_self(self, known):
        return False

    def confirmations_needed(self):
        return 0


@pytest.mark.parametrize("seed", [15, 37, 42])
def test_without_the_durability_check_a_restored_folder_violates_invariants(seed, monkeypatch):
    trace = play_schedule(seed, 3, (0.0, 0.1, 0.3)[seed % 3]).trace
    assert not find_violations(trace) and any(what == "put-back" for _, _, what, *_ in trace)
    monkeypatch.setattr(keepers, "DurabilityCheck", UncheckedVoter)
    trace = play_schedule(seed, 3, (0.0, 0.1, 0.3)[seed % 3]).trace
    found = {check.__name__ for check in keepers.ALL if check(trace)}
    assert found & {"lost", "applied_apart", "stale_reads", "votes_twice"}
