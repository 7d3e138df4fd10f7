"""Snapshots and append-only logs under a crash, a failure, a short write or a lost sync at each disk call."""

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
def test_a_crash_at_any_disk_call_leaves_the_new_or_the_former_snapshot(crash_at, seed):
    disk = FaultyDisk(seed, crash_at)
    store = SnapshotStore(disk, "/s", "view", keep=2)
    durable = []
    try:
        for generation in range(1, 5):
            if store.save(generation, generation * S, b"list %d" % generation * 50) is None:
                durable.append(generation)
    except Crashed:
        pass
    snapshot, _ = SnapshotStore(disk.after_crash(), "/s", "view").newest(5 * S, 100 * S)
    last = max(durable, default=0)
    assert snapshot is None and not last or snapshot.generation in (last, last + 1)
    assert snapshot is None or snapshot.payload == b"list %d" % snapshot.generation * 50


@pytest.mark.parametrize("fault", [OSError(28, "full"), OSError(5, "input/output error"), "short"])
@pytest.mark.parametrize("at", range(1, 13))
def test_a_failed_disk_call_is_returned_and_a_former_snapshot_remains(at, fault):
    disk = FaultyDisk(faults={at + 5: fault})
    store = SnapshotStore(disk, "/s", "view")
    assert store.save(1, S, b"one") is None
    failed = [g for g in (2, 3) if store.save(g, g * S, b"%d" % g) is not None]
    snapshot, _ = store.newest(4 * S, 100 * S)
    assert snapshot is not None and snapshot.payload in (b"one", b"2", b"3")
    if fault == "short":
        assert not failed and snapshot.payload == b"3"


def test_torn_newer_old_and_misnamed_snapshots_are_rejected_with_a_reason(tmp_path):
    store = SnapshotStore(Disk(), str(tmp_path), "view", keep=9)
    for generation in (1, 2, 3, 4):
        assert store.save(generation, generation * 100 * S, b"x" * 100) is None
    name = str(tmp_path / "view-{:016d}.snap")
    complete = open(name.format(4), "rb").read()
    open(name.format(4), "wb").write(complete[:-1])
    header = orjson.dumps({"kind": "view", "version": VERSION + 1, "generation": 3, "at": 300 * S})
    open(name.format(3), "wb").write(records.record(header) + records.record(b"x"))
    open(name.format(5), "wb").write(complete)
    snapshot, rejected = store.newest(410 * S, 300 * S)
    assert snapshot.generation == 2 and ["name" in r.why or r.why for r in rejected] == [
        True,
        "a torn record",
        f"is of version {VERSION + 1}, newer than {VERSION}",
    ]
    snapshot, rejected = store.newest(600 * S, 300 * S)
    assert snapshot is None and "s old" in rejected[-1].why


def test_old_snapshots_and_temporary_files_of_a_crash_are_removed(tmp_path):
    (tmp_path / "view-0000000000000009.snap.new").write_bytes(b"half")
    (tmp_path / "other").write_bytes(b"not ours")
    store = SnapshotStore(Disk(), str(tmp_path), "view", keep=3)
    for generation in range(20):
        store.save(generation, S, b"x")
    assert len(os.listdir(tmp_path)) == 4 and (tmp_path / "other").exists()


@profile(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 400), st.integers(0, 255))
def test_a_scan_returns_only_complete_records(payloads, at, flip):
    data = bytearray(b"".join(map(records.record, payloads)))
    if data:
        data[at % len(data)] ^= flip
    scanned = records.scan(data)
    assert scanned.records == payloads[: len(scanned.records)]
    assert scanned.fault or scanned.records == payloads


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("crash_at", range(1, 22))
def test_a_log_keeps_durable_records_over_a_crash_and_appends_after_them(crash_at, seed):
    disk = FaultyDisk(seed, crash_at)
    durable = []
    try:
        log = AppendLog(disk, "/s/log")
        log.recover()
        for n in range(8):
            if log.append(b"r%d" % n * 9) is None:
                durable.append(b"r%d" % n * 9)
    except Crashed:
        pass
    log = AppendLog(disk.after_crash(), "/s/log")
    found = log.recover().records
    assert found[: len(durable)] == durable and len(found) <= len(durable) + 1
    assert log.append(b"after") is None and AppendLog(log.disk, "/s/log").recover().records == [
        *found,
        b"after",
    ]


@pytest.mark.parametrize("fault", [OSError(28, "full"), OSError(5, "input/output error")])
def test_after_a_failed_append_all_further_appends_fail(fault):
    disk = FaultyDisk(faults={5: fault})
    log = AppendLog(disk, "/s/log")
    log.recover()
    assert log.append(b"a") is None
    assert log.append(b"b") and log.append(b"c")
    assert AppendLog(disk.after_crash(), "/s/log").recover().records[:1] == [b"a"]


def test_a_full_log_refuses_records(tmp_path):
    log = AppendLog(Disk(), str(tmp_path / "log"), max_bytes=100)
    log.recover()
    assert log.append(b"x" * 80) is None and log.append(b"x" * 80) == "the log is full"
    log.close()


@pytest.mark.parametrize("lost", range(1, 16))
def test_a_lost_sync_never_yields_a_torn_snapshot(lost):
    for seed in range(12):
        disk = FaultyDisk(seed, crash_at=16, faults={lost: "lost"})
        store = SnapshotStore(disk, "/s", "view")
        with pytest.raises(Crashed):
            for generation in range(1, 9):
                store.save(generation, generation * S, b"list %d" % generation * 50)
        snapshot, _ = SnapshotStore(disk.after_crash(), "/s", "view").newest(9 * S, 100 * S)
        assert snapshot is None or snapshot.payload == b"list %d" % snapshot.generation * 50
