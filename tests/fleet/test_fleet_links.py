"""What fronts say as bytes, what waits to be sent, and what of it lasts: pure, and over a disk that fails."""

import msgspec
import pytest

from sprucegate.fleet.failure_detector import messages as membership
from sprucegate.fleet.failure_detector.detector import FailureDetector
from sprucegate.fleet.failure_detector.member import Member
from sprucegate.fleet.links import codec
from sprucegate.fleet.links.send_queue import CONTROL_BYTES_MAX, RECORDS_MAX, TRANSFER_BYTES_MAX, SendQueue
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.replica import replica
from sprucegate.fleet.replica.facts import JoinResult, RecordStore, ReplicatedRecord
from sprucegate.fleet.replica_storage import ReplicaStorage, encode_records
from sprucegate.routing.events import BeliefGossip, EjectionGossip
from sprucegate.storage import records
from standins.disk import Crashed, FaultyDisk

MEMBER = Member("n0", "127.0.0.1:1", 1 << 40, 2, 1, "n1")
FACTS = [
    ReplicatedRecord(("purge", "object", 5), (7,), ("n0", 1, 1)),
    ReplicatedRecord(("word", 16, 0, "bus", "n0"), (1, 2, 0), ("n0", 1, 2)),
]
LIVES = [("n0", 1, [1, 3, 5, 9])]
MESSAGES = [
    membership.Ping(1, "n1", 2**63, [MEMBER]),
    membership.Ack(1, 0, []),
    membership.PingRequest(2, "n1", []),
    membership.Nack(3),
    membership.FullState([MEMBER], True),
    replica.SpreadRecords(FACTS, 4, 1),
    replica.TransferEnd(4, 2, LIVES),
    replica.DigestAnnouncement(2**64 - 1),
    replica.SeenReport(LIVES, 9, (0, 2), 1),
    replica.CatchUpMark(1, LIVES, True),
    replica.RangeDigests([0] * 256),
    replica.RangeKeys([3], [(FACTS[0].key, FACTS[0].dot, 11)], False),
    replica.RepairRecords(FACTS),
    replica.EvidenceMessage(5, [BeliefGossip(1, 0, 12, 0, 7, 8)], [EjectionGossip(12, 0, True, 9, 1500, 5)]),
    codec.ConsensusFrame("k0", "k1^a", 1, b"x"),
    membership.ConnectionRefused("n1", 7),
    codec.ComponentMessage("shares", b""),
]


def test_each_message_comes_as_it_went_whole_or_byte_by_byte():
    data = b"".join(map(codec.frame, MESSAGES))
    for size in (1, 7, len(data)):
        reader, found = codec.Reader(), []
        reader.max_bytes = codec.FRAME_BYTES_MAX
        for at in range(0, len(data), size):
            found += [codec.message(payload) for payload in reader.feed(data[at : at + size])]
        assert found == MESSAGES and {type(m) for m in MESSAGES} == set(codec.KINDS.values())


def test_every_changed_byte_of_a_frame_is_found():
    data = codec.frame(MESSAGES[5])
    for at in range(len(data)):
        reader = codec.Reader()
        with pytest.raises(codec.FrameError):
            reader.feed(data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :])
            raise codec.FrameError("more is waited for") if at < 4 else AssertionError(at)


@pytest.mark.parametrize(
    "fact",
    [
        ((), (1,), ("a", 1, 1)),
        (("purge", "object", "x"), (1,), ("a", 1, 1)),
        (("purge", "object", 1), (1, 2), ("a", 1, 1)),
        (("purge", "object", 1), ("1",), ("a", 1, 1)),
        (("word", 1, 0, "bus", "a"), (1, 1, 9), ("a", 1, 1)),
        (("purge", "object", 1), (1,), ("a", 1, 0)),
        (("purge", "object", True), (1,), ("a", 1, 1)),
    ],
)
def test_a_fact_that_is_none_is_unreadable(fact):
    payload = msgspec.msgpack.encode((codec.NUMBERS[replica.SpreadRecords], ([fact], 0, 0)))
    with pytest.raises(codec.FrameError):
        codec.message(payload)


def test_counters_that_are_no_intervals_are_unreadable():
    for ends in ([1], [3, 2], [1, 1]):
        with pytest.raises(codec.FrameError):
            codec.message(codec.frame(replica.TransferEnd(1, 1, [("a", 1, ends)]))[records.HEAD.size :])


def sent(out):
    reader = codec.Reader()
    reader.max_bytes = codec.FRAME_BYTES_MAX
    return [codec.message(payload) for payload in reader.feed(out.take())]


def test_what_waits_is_in_order_of_weight_and_the_latest_word_of_a_key_replaces_an_older_one():
    out = SendQueue()
    out.put(replica.EvidenceMessage(1, [], []), False)
    out.put(replica.EvidenceMessage(2, [], []), False)
    out.put(replica.SpreadRecords(FACTS, 7, 0), True)
    out.put(replica.SpreadRecords([FACTS[0]], 0, 0), True)
    out.put(replica.SpreadRecords([FACTS[0]._replace(value=(9,))], 0, 0), True)
    out.put(membership.Nack(1), False)
    assert sent(out) == [
        membership.Nack(1),
        replica.SpreadRecords([FACTS[0]._replace(value=(9,))], 0, 0),
        replica.SpreadRecords(FACTS, 7, 0),
        replica.EvidenceMessage(2, [], []),
    ]
    assert not out


def test_what_waits_is_bounded():
    out = SendQueue()
    for n in range(RECORDS_MAX + 100):
        out.put(
            replica.SpreadRecords([ReplicatedRecord(("purge", "object", n), (7,), ("n0", 1, n + 1))], 0, 0),
            True,
        )
    assert len(out.records) == RECORDS_MAX and out.dropped == 100
    for _ in range(2000):
        out.put(replica.RangeDigests([2**60] * 256), False)
        out.put(replica.SpreadRecords(FACTS * 100, 1, 0), True)
    assert out.control_bytes <= CONTROL_BYTES_MAX and out.transfer_bytes <= TRANSFER_BYTES_MAX


def test_a_front_with_a_full_table_obeys_what_it_is_told_and_passes_it_on_to_nobody():
    made = replica.Replica("n1", 1, RandomSource("n1", 1), 0, max_records=1)
    made.stands("n0", True, 0)
    made.stands("n2", True, 0)
    done = made.heard("n0", replica.SpreadRecords([FACTS[0]], 0, 0), 0)
    assert [a.to for a in done if isinstance(a, replica.SendMessage)] == ["n2"]
    for _ in range(2):
        done = made.heard("n0", replica.SpreadRecords([FACTS[1]], 0, 0), 0)
        assert [a.fact for a in done if isinstance(a, replica.RecordInForce)] == [FACTS[1]]
        assert not any(isinstance(a, replica.SendMessage) for a in done)


def test_a_full_table_takes_no_new_key_and_has_not_seen_it():
    facts = RecordStore(1)
    assert facts.join(FACTS[0])[0] is JoinResult.NEW and facts.join(FACTS[1])[0] is JoinResult.FULL
    assert not facts.seen.contains(FACTS[1].dot)
    assert facts.join(ReplicatedRecord(FACTS[0].key, (8,), ("n0", 1, 3)))[0] is JoinResult.NEW


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("crash_at", range(1, 60))
def test_a_crash_at_any_disk_call_loses_nothing_that_was_synced(crash_at, seed):
    """Through starts, logs and snapshots: what `write` called good is there, and the start rises."""
    disk, good, starts = FaultyDisk(seed), [], []
    at = 0
    disk.crash_at = crash_at
    for _ in range(4):
        keeping = ReplicaStorage(disk, "/f")
        try:
            starts.append(keeping.start())
            kept = keeping.open(1)
            assert {f.key for f in good} <= set(kept.facts), "lost"
            for _ in range(3):
                at += 1
                fact = ReplicatedRecord(("purge", "object", at), (1,), ("n0", starts[-1], at))
                if keeping.write(([fact], [], [])) is None:
                    good.append(fact)
            held = [*kept.facts.values(), *good]
            assert keeping.begin_snapshot() is None
            keeping.finish_snapshot(
                [(f.dot[0], f.dot[1], [f.dot[2], f.dot[2] + 1]) for f in held], [encode_records(held)], 1
            )
            disk = disk.after_crash()
        except Crashed:
            disk = disk.after_crash()
    assert starts == sorted(set(starts))


@pytest.mark.parametrize("at", range(1, 25))
def test_a_full_disk_at_any_call_is_a_value_or_an_oserror_and_the_former_state_stands(at):
    disk = FaultyDisk()
    keeping = ReplicaStorage(disk, "/f")
    keeping.start()
    keeping.open(1)
    assert keeping.write((FACTS, [], [])) is None
    disk.faults = {disk.calls + n: OSError(28, "no space left") for n in range(at, at + 4)}
    for _ in range(3):
        if keeping.begin_snapshot() is None:
            keeping.finish_snapshot(LIVES, [encode_records(FACTS)], 1)
        keeping.write(([FACTS[0]], [], []))
    disk.faults = {}
    fresh = ReplicaStorage(disk.after_crash(), "/f")
    assert set(fresh.open(1).facts) == {f.key for f in FACTS}


def test_an_answer_tells_a_process_of_a_later_life_under_its_name():
    # Against two of one name: the one that others no longer took for it heard nothing of why.
    own = Member("n0", "127.0.0.1:1", 1 << 32, 0, 0, "n0")
    members = FailureDetector(own, [], RandomSource("n0", 1), 0)
    members.on_message(
        "n2", membership.FullState([MEMBER._replace(name="n2", incarnation=2 << 32, state=0)], False), 0
    )
    (answer,) = members.on_message("n2", membership.Ping(7, "n0", 0, []), 0)
    assert answer.message.number == 7 and [
        m.incarnation for m in answer.message.updates if m.name == "n2"
    ] == [2 << 32]


def test_many_twins_in_one_message_are_one_note_and_one_repair_to_their_owner():
    made = replica.Replica("n1", 1, RandomSource("n1", 1), 0)
    for name in ("n0", "n2"):
        made.stands(name, True, 0)
    ours = [ReplicatedRecord(("purge", "object", n), (5,), ("n2", 1, n + 1)) for n in range(150)]
    made.heard("n0", replica.SpreadRecords(ours, 0, 0), 0)
    made.synced(1, 0)
    done = made.heard(
        "n0", replica.SpreadRecords([f._replace(value=(5 + f.key[2] % 2 * 2 - 1,)) for f in ours], 0, 0), 0
    )
    assert [a.fields["count"] for a in done if isinstance(a, replica.LogEvent)] == [150]
    assert [
        (a.to, len(a.message.facts))
        for a in done
        if isinstance(a, replica.SendMessage) and isinstance(a.message, replica.RepairRecords)
    ] == [("n2", 150)]
    # The later floor of each holds, and all stand under dots that nobody has seen with another content.
    assert all(
        fact.value == (6,) if key[2] % 2 else fact.value == (5,) for key, fact in made.facts.held.items()
    )
    assert {fact.dot[:2] for fact in made.facts.held.values()} == {("n1", 1)}


def test_facts_that_differ_go_in_pieces_that_hold_up_nobody():
    one, other = (replica.Replica(name, 1, RandomSource(name, 1), 0) for name in ("n1", "n2"))
    for made, value in ((one, 5), (other, 6)):
        facts = [ReplicatedRecord(("purge", "object", n), (value,), ("n0", 1, n + 1)) for n in range(700)]
        made.heard("n0", replica.SpreadRecords(facts, 0, 0), 0)
    keys = one.heard("n2", replica.RangeDigests(list(other.facts.range_digests)), 0)[0].message
    repairs = [
        a.message.facts for a in other.heard("n1", keys, 0) if isinstance(a.message, replica.RepairRecords)
    ]
    assert sum(map(len, repairs)) == 700 and max(map(len, repairs)) <= replica.RECORDS_PER_REPAIR


def test_what_is_told_while_the_disk_fails_goes_out_and_is_not_said_to_have_been_seen():
    made = replica.Replica("n1", 1, RandomSource("n1", 1), 0)
    made.stands("n0", True, 0)
    made.told(("purge", "object", 1), (5,), 0)
    made.not_kept(1, "no space left", 0)
    done = made.told(("purge", "object", 2), (5,), 0)
    assert [a.message.facts[0].key[2] for a in done if isinstance(a, replica.SendMessage)] == [2]
    assert not made.waiting and made.on_disk.as_ranges() == []
