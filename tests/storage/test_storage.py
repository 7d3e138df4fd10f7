"""State that lasts: every boundary of a write crashed at, every call made to fail."""

import os

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sprucegate.storage import records
from sprucegate.storage.disk import Disk
from sprucegate.storage.log import AppendLog
from sprucegate.storage.snapshots import VERSION, SnapshotStore
from standins.disk import Crashed, FaultyDisk

S = 1_000_000_000


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("crash_at", range(1, 26))
def test_a_crash_at_any_boundary_leaves_the_new_snapshot_or_the_former_one(crash_at, seed):
    disk = FaultyDisk(seed, crash_at)
    kept, said = SnapshotStore(disk, "/s", "view", keep=2), []
    try:
        for generation in range(1, 5):
            if kept.save(generation, generation * S, b"list %d" % generation * 50) is None:
                said.append(generation)
    except Crashed:
        pass
    taken, _ = SnapshotStore(disk.after_crash(), "/s", "view").newest(5 * S, 100 * S)
    last = max(said, default=0)
    assert taken is None and not last or taken.generation in (last, last + 1)
    assert taken is None or taken.payload == b"list %d" % taken.generation * 50


@pytest.mark.parametrize("fault", [OSError(28, "full"), OSError(5, "input/output error"), "short"])
@pytest.mark.parametrize("at", range(1, 13))
def test_a_fault_at_any_call_is_a_value_and_the_former_snapshot_stands(at, fault):
    disk = FaultyDisk(faults={at + 5: fault})
    kept = SnapshotStore(disk, "/s", "view")
    assert kept.save(1, S, b"one") is None
    failed = [g for g in (2, 3) if kept.save(g, g * S, b"%d" % g) is not None]
    taken, _ = kept.newest(4 * S, 100 * S)
    assert taken is not None and taken.payload in (b"one", b"2", b"3")
    if fault == "short":
        assert not failed and taken.payload == b"3"


def test_a_torn_a_newer_an_old_and_a_misnamed_one_are_refused_with_a_reason(tmp_path):
    kept = SnapshotStore(Disk(), str(tmp_path), "view", keep=9)
    for generation in (1, 2, 3, 4):
        assert kept.save(generation, generation * 100 * S, b"x" * 100) is None
    name = str(tmp_path / "view-{:016d}.snap")
    whole = open(name.format(4), "rb").read()
    open(name.format(4), "wb").write(whole[:-1])
    head = orjson.dumps({"kind": "view", "version": VERSION + 1, "generation": 3, "at": 300 * S})
    open(name.format(3), "wb").write(records.record(head) + records.record(b"x"))
    open(name.format(5), "wb").write(whole)
    taken, refused = kept.newest(410 * S, 300 * S)
    assert taken.generation == 2 and ["name" in r.why or r.why for r in refused] == [
        True,
        "a torn record",
        f"is of version {VERSION + 1}, newer than {VERSION}",
    ]
    taken, refused = kept.newest(600 * S, 300 * S)
    assert taken is None and "s old" in refused[-1].why


def test_snapshots_are_bounded_in_count_and_what_a_crash_left_goes(tmp_path):
    (tmp_path / "view-0000000000000009.snap.new").write_bytes(b"half")
    (tmp_path / "other").write_bytes(b"not ours")
    kept = SnapshotStore(Disk(), str(tmp_path), "view", keep=3)
    for generation in range(20):
        kept.save(generation, S, b"x")
    assert len(os.listdir(tmp_path)) == 4 and (tmp_path / "other").exists()


@profile(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 400), st.integers(0, 255))
def test_a_scan_gives_only_what_was_written_whole(payloads, at, flip):
    data = bytearray(b"".join(map(records.record, payloads)))
    if data:
        data[at % len(data)] ^= flip
    scanned = records.scan(data)
    assert scanned.records == payloads[: len(scanned.records)]
    assert scanned.fault or scanned.records == payloads


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("crash_at", range(1, 22))
def test_a_log_keeps_what_it_said_lasts_and_goes_on_after_the_last_whole_record(crash_at, seed):
    disk, said = FaultyDisk(seed, crash_at), []
    try:
        log = AppendLog(disk, "/s/log")
        log.recover()
        for n in range(8):
            if log.append(b"r%d" % n * 9) is None:
                said.append(b"r%d" % n * 9)
    except Crashed:
        pass
    log = AppendLog(disk.after_crash(), "/s/log")
    found = log.recover().records
    assert found[: len(said)] == said and len(found) <= len(said) + 1
    assert log.append(b"after") is None and AppendLog(log.disk, "/s/log").recover().records == [
        *found,
        b"after",
    ]


@pytest.mark.parametrize("fault", [OSError(28, "full"), OSError(5, "input/output error")])
def test_after_a_failed_append_nothing_more_is_called_lasting(fault):
    disk = FaultyDisk(faults={5: fault})
    log = AppendLog(disk, "/s/log")
    log.recover()
    assert log.append(b"a") is None
    assert log.append(b"b") and log.append(b"c")
    assert AppendLog(disk.after_crash(), "/s/log").recover().records[:1] == [b"a"]


def test_a_log_is_bounded(tmp_path):
    log = AppendLog(Disk(), str(tmp_path / "log"), max_bytes=100)
    log.recover()
    assert log.append(b"x" * 80) is None and log.append(b"x" * 80) == "the log is full"
    log.close()


@pytest.mark.parametrize("lost", range(1, 16))
def test_a_sync_that_lies_costs_at_most_the_newest_and_never_gives_a_torn_one(lost):
    for seed in range(12):
        disk = FaultyDisk(seed, crash_at=16, faults={lost: "lost"})
        kept = SnapshotStore(disk, "/s", "view")
        with pytest.raises(Crashed):
            for generation in range(1, 9):
                kept.save(generation, generation * S, b"list %d" % generation * 50)
        taken, _ = SnapshotStore(disk.after_crash(), "/s", "view").newest(9 * S, 100 * S)
        assert taken is None or taken.payload == b"list %d" % taken.generation * 50
