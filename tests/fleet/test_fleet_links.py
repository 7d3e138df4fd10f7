"""Codec, send queue, record store and durable storage of the replication, also on a disk that fails."""

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
RECORDS = [
    ReplicatedRecord(("purge", "object", 5), (7,), ("n0", 1, 1)),
    ReplicatedRecord(("word", 16, 0, "bus", "n0"), (1, 2, 0), ("n0", 1, 2)),
]
SEEN = [("n0", 1, [1, 3, 5, 9])]
MESSAGES = [
    membership.Ping(1, "n1", 2**63, [MEMBER]),
    membership.Ack(1, 0, []),
    membership.PingRequest(2, "n1", []),
    membership.Nack(3),
    membership.FullState([MEMBER], True),
    replica.SpreadRecords(RECORDS, 4, 1),
    replica.TransferEnd(4, 2, SEEN),
    replica.DigestAnnouncement(2**64 - 1),
    replica.SeenReport(SEEN, 9, (0, 2), 1),
    replica.CatchUpMark(1, SEEN, True),
    replica.RangeDigests([0] * 256),
    replica.RangeKeys([3], [(RECORDS[0].key, RECORDS[0].version, 11)], False),
    replica.RepairRecords(RECORDS),
    replica.EvidenceMessage(5, [BeliefGossip(1, 0, 12, 0, 7, 8)], [EjectionGossip(12, 0, True, 9, 1500, 5)]),
    codec.ConsensusFrame("k0", "k1^a", 1, b"x"),
    membership.ConnectionRefused("n1", 7),
    codec.ComponentMessage("shares", b""),
]


def test_messages_are_decoded_as_encoded_however_the_bytes_are_split():
    data = b"".join(map(codec.encode_message, MESSAGES))
    for size in (1, 7, len(data)):
        reader, found = codec.Reader(), []
        reader.max_bytes = codec.FRAME_BYTES_MAX
        for at in range(0, len(data), size):
            found += [codec.decode_message(payload) for payload in reader.feed(data[at : at + size])]
        assert found == MESSAGES and {type(m) for m in MESSAGES} == set(codec.KINDS.values())


def test_a_change_of_any_byte_of_a_frame_is_detected():
    data = codec.encode_message(MESSAGES[5])
    for at in range(len(data)):
        reader = codec.Reader()
        with pytest.raises(codec.FrameError):
            reader.feed(data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :])
            raise codec.FrameError("incomplete: the length was changed") if at < 4 else AssertionError(at)


@pytest.mark.parametrize(
    "record",
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
def test_a_malformed_record_is_rejected(record):
    payload = msgspec.msgpack.encode((codec.NUMBERS[replica.SpreadRecords], ([record], 0, 0)))
    with pytest.raises(codec.FrameError):
        codec.decode_message(payload)


def test_counters_that_are_no_ascending_intervals_are_rejected():
    for bounds in ([1], [3, 2], [1, 1]):
        with pytest.raises(codec.FrameError):
            codec.decode_message(
                codec.encode_message(replica.TransferEnd(1, 1, [("a", 1, bounds)]))[records.HEADER.size :]
            )


def sent(queue):
    reader = codec.Reader()
    reader.max_bytes = codec.FRAME_BYTES_MAX
    return [codec.decode_message(payload) for payload in reader.feed(queue.take())]


def test_the_queue_sends_by_priority_and_only_the_latest_record_of_a_key():
    queue = SendQueue()
    queue.put(replica.EvidenceMessage(1, [], []), False)
    queue.put(replica.EvidenceMessage(2, [], []), False)
    queue.put(replica.SpreadRecords(RECORDS, 7, 0), True)
    queue.put(replica.SpreadRecords([RECORDS[0]], 0, 0), True)
    queue.put(replica.SpreadRecords([RECORDS[0]._replace(value=(9,))], 0, 0), True)
    queue.put(membership.Nack(1), False)
    assert sent(queue) == [
        membership.Nack(1),
        replica.SpreadRecords([RECORDS[0]._replace(value=(9,))], 0, 0),
        replica.SpreadRecords(RECORDS, 7, 0),
        replica.EvidenceMessage(2, [], []),
    ]
    assert not queue


def test_the_send_queue_is_bounded():
    queue = SendQueue()
    for n in range(RECORDS_MAX + 100):
        queue.put(
            replica.SpreadRecords([ReplicatedRecord(("purge", "object", n), (7,), ("n0", 1, n + 1))], 0, 0),
            True,
        )
    assert len(queue.records) == RECORDS_MAX and queue.dropped == 100
    for _ in range(2000):
        queue.put(replica.RangeDigests([2**60] * 256), False)
        queue.put(replica.SpreadRecords(RECORDS * 100, 1, 0), True)
    assert queue.control_bytes <= CONTROL_BYTES_MAX and queue.transfer_bytes <= TRANSFER_BYTES_MAX


def test_a_replica_with_a_full_store_applies_records_and_does_not_push_them_on():
    receiver = replica.Replica("n1", 1, RandomSource("n1", 1), 0, max_records=1)
    receiver.on_peer_changed("n0", True, 0)
    receiver.on_peer_changed("n2", True, 0)
    actions = receiver.on_message("n0", replica.SpreadRecords([RECORDS[0]], 0, 0), 0)
    assert [a.to for a in actions if isinstance(a, replica.SendMessage)] == ["n2"]
    for _ in range(2):
        actions = receiver.on_message("n0", replica.SpreadRecords([RECORDS[1]], 0, 0), 0)
        assert [a.record for a in actions if isinstance(a, replica.RecordInForce)] == [RECORDS[1]]
        assert not any(isinstance(a, replica.SendMessage) for a in actions)


def test_a_full_store_takes_no_new_key_and_does_not_count_it_as_seen():
    store = RecordStore(1)
    assert store.join(RECORDS[0])[0] is JoinResult.NEW and store.join(RECORDS[1])[0] is JoinResult.FULL
    assert not store.seen.contains(RECORDS[1].version)
    assert store.join(ReplicatedRecord(RECORDS[0].key, (8,), ("n0", 1, 3)))[0] is JoinResult.NEW


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("crash_at", range(1, 60))
def test_a_crash_at_any_disk_call_loses_no_durable_record(crash_at, seed):
    """Over several starts, logs and snapshots: records whose write succeeded are loaded, and the start rises."""
    disk, durable, starts = FaultyDisk(seed), [], []
    counter = 0
    disk.crash_at = crash_at
    for _ in range(4):
        storage = ReplicaStorage(disk, "/f")
        try:
            starts.append(storage.count_start())
            stored = storage.load(1)
            assert {r.key for r in durable} <= set(stored.records), "lost"
            for _ in range(3):
                counter += 1
                record = ReplicatedRecord(("purge", "object", counter), (1,), ("n0", starts[-1], counter))
                if storage.write(([record], [], [])) is None:
                    durable.append(record)
            held = [*stored.records.values(), *durable]
            assert storage.begin_snapshot() is None
            storage.finish_snapshot(
                [(r.version[0], r.version[1], [r.version[2], r.version[2] + 1]) for r in held],
                [encode_records(held)],
                1,
            )
            disk = disk.after_crash()
        except Crashed:
            disk = disk.after_crash()
    assert starts == sorted(set(starts))


@pytest.mark.parametrize("at", range(1, 25))
def test_a_full_disk_at_any_call_leaves_the_stored_state_as_it_was(at):
    disk = FaultyDisk()
    storage = ReplicaStorage(disk, "/f")
    storage.count_start()
    storage.load(1)
    assert storage.write((RECORDS, [], [])) is None
    disk.faults = {disk.calls + n: OSError(28, "no space left") for n in range(at, at + 4)}
    for _ in range(3):
        if storage.begin_snapshot() is None:
            storage.finish_snapshot(SEEN, [encode_records(RECORDS)], 1)
        storage.write(([RECORDS[0]], [], []))
    disk.faults = {}
    reopened = ReplicaStorage(disk.after_crash(), "/f")
    assert set(reopened.load(1).records) == {r.key for r in RECORDS}


def test_an_ack_tells_a_process_of_a_newer_incarnation_under_its_name():
    # Of two processes with one name, the one with the older incarnation has to learn why others ignore it.
    own = Member("n0", "127.0.0.1:1", 1 << 32, 0, 0, "n0")
    members = FailureDetector(own, [], RandomSource("n0", 1), 0)
    members.on_message(
        "n2", membership.FullState([MEMBER._replace(name="n2", incarnation=2 << 32, state=0)], False), 0
    )
    (answer,) = members.on_message("n2", membership.Ping(7, "n0", 0, []), 0)
    assert answer.message.number == 7 and [
        m.incarnation for m in answer.message.updates if m.name == "n2"
    ] == [2 << 32]


def test_conflicts_of_one_message_cause_one_log_event_and_one_repair_to_their_owner():
    receiver = replica.Replica("n1", 1, RandomSource("n1", 1), 0)
    for name in ("n0", "n2"):
        receiver.on_peer_changed(name, True, 0)
    ours = [ReplicatedRecord(("purge", "object", n), (5,), ("n2", 1, n + 1)) for n in range(150)]
    receiver.on_message("n0", replica.SpreadRecords(ours, 0, 0), 0)
    receiver.on_written(1, 0)
    actions = receiver.on_message(
        "n0", replica.SpreadRecords([r._replace(value=(5 + r.key[2] % 2 * 2 - 1,)) for r in ours], 0, 0), 0
    )
    assert [a.fields["count"] for a in actions if isinstance(a, replica.LogEvent)] == [150]
    assert [
        (a.to, len(a.message.records))
        for a in actions
        if isinstance(a, replica.SendMessage) and isinstance(a.message, replica.RepairRecords)
    ] == [("n2", 150)]
    # The later time of each holds, under versions that nobody has seen with other content.
    assert all(
        record.value == (6,) if key[2] % 2 else record.value == (5,)
        for key, record in receiver.store.held.items()
    )
    assert {record.version[:2] for record in receiver.store.held.values()} == {("n1", 1)}


def test_repairs_of_many_records_are_sent_in_small_pieces():
    one, other = (replica.Replica(name, 1, RandomSource(name, 1), 0) for name in ("n1", "n2"))
    for receiver, value in ((one, 5), (other, 6)):
        records = [ReplicatedRecord(("purge", "object", n), (value,), ("n0", 1, n + 1)) for n in range(700)]
        receiver.on_message("n0", replica.SpreadRecords(records, 0, 0), 0)
    keys = one.on_message("n2", replica.RangeDigests(list(other.store.range_digests)), 0)[0].message
    repairs = [
        a.message.records
        for a in other.on_message("n1", keys, 0)
        if isinstance(a.message, replica.RepairRecords)
    ]
    assert sum(map(len, repairs)) == 700 and max(map(len, repairs)) <= replica.RECORDS_PER_REPAIR


def test_records_are_pushed_while_the_disk_fails_and_not_reported_as_seen():
    receiver = replica.Replica("n1", 1, RandomSource("n1", 1), 0)
    receiver.on_peer_changed("n0", True, 0)
    receiver.on_own_record(("purge", "object", 1), (5,), 0)
    receiver.on_write_failed(1, "no space left", 0)
    actions = receiver.on_own_record(("purge", "object", 2), (5,), 0)
    assert [a.message.records[0].key[2] for a in actions if isinstance(a, replica.SendMessage)] == [2]
    assert not receiver.unpushed and receiver.on_disk.as_ranges() == []
