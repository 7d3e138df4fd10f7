"""Durable state of the replica: snapshots, the logs written since, and the count of starts.

All calls block, and are made in a thread.

    start                       the count of starts, replaced atomically
    facts-NNNN.snap             storage/snapshots: all records and the versions seen, as of the beginning of log NNNN
    facts-NNNN.log              storage/log: changes since

A snapshot is begun with a new log, so that a crash before it is complete leaves the former snapshot and both logs.
"""

import os
import re

import msgspec

from sprucegate.errors import StorageError
from sprucegate.fleet.replica.facts import ReplicatedRecord
from sprucegate.storage.disk import replace_file
from sprucegate.storage.log import AppendLog
from sprucegate.storage.snapshots import SnapshotStore

Interval = tuple[str, int, int, int]  # owner, incarnation, first counter, end
SeenRange = tuple[str, int, list[int]]  # as VersionVector.as_ranges returns them
_encode = msgspec.msgpack.Encoder().encode
_decode_log_record = msgspec.msgpack.Decoder(
    tuple[list[ReplicatedRecord], list[Interval], list[tuple]]
).decode
_decode_snapshot = msgspec.msgpack.Decoder(tuple[list[SeenRange], list[bytes]]).decode
_decode_piece = msgspec.msgpack.Decoder(list[ReplicatedRecord]).decode
RECORDS_PER_PIECE = 500  # packed in one turn of the event loop
START_MAX = 1 << 30
AGE_UNLIMITED = 1 << 62


class ReplicaStorageError(StorageError):
    """The folder can't be used; the text says why."""


class StoredRecords:
    """What a folder holds.

    :ivar records: records by key, in the order in which they were written
    :ivar seen: versions seen, as VersionVector takes them
    :ivar rejected: files that were rejected, and why
    :ivar age: of the snapshot, in ns
    """

    def __init__(self):
        self.records = {}
        self.seen = []
        self.rejected = []
        self.age = 0

    def apply(self, records, intervals, removed):
        """Apply one record of the log: records written, versions seen, keys removed."""
        for record in records:
            self.records[record.key] = record
            self.seen.append((*record.version[:2], [record.version[2], record.version[2] + 1]))
        self.seen += [(owner, incarnation, [first, end]) for owner, incarnation, first, end in intervals]
        for key in removed:
            self.records.pop(key, None)


class ReplicaStorage:
    """Stored state of one replica, in one folder; all calls block."""

    def __init__(self, disk, folder):
        self.disk = disk
        self.folder = folder
        self.log = None
        self.generation = 0
        self.snapshots = SnapshotStore(disk, folder, "facts", keep=2)
        self.log_pattern = re.compile(r"facts-([0-9]{16})\.log")

    def count_start(self, above=0):
        """Count this start: return a number above the last one and `above`, which is durable by then.

        Raises OSError or ReplicaStorageError.
        """
        self.disk.make_folder(self.folder)
        try:
            last = int(self.disk.read(os.path.join(self.folder, "start"), 20))
        except FileNotFoundError:
            last = 0
        except ValueError:
            raise ReplicaStorageError(f"{self.folder}/start: is not a number") from None
        number = max(last, above) + 1
        if not 0 < number < START_MAX:
            raise ReplicaStorageError(f"{self.folder}/start: {number} is not between 1 and {START_MAX - 1}")
        replace_file(self.disk, self.folder, "start", str(number).encode())
        return number

    def load(self, now):
        """Return the newest usable snapshot with the logs since, and begin a new log. `now`: Unix ns."""
        self.disk.make_folder(self.folder)
        stored = StoredRecords()
        names = self.disk.names(self.folder)
        snapshot, rejected = self.snapshots.newest(now, AGE_UNLIMITED)
        stored.rejected = [f"{one.name} {one.why}" for one in rejected]
        if snapshot is not None:
            seen, pieces = _decode_snapshot(snapshot.payload)
            stored.seen = list(seen)
            stored.age = now - snapshot.at
            for piece in pieces:
                stored.apply(_decode_piece(piece), [], [])
        logs = sorted(int(match[1]) for name in names if (match := self.log_pattern.fullmatch(name)))
        for number in [n for n in logs if snapshot is None or n >= snapshot.generation]:
            log = AppendLog(self.disk, self._path(number))
            scanned = log.recover()
            log.close()
            if scanned.fault:
                stored.rejected.append(f"facts-{number:016d}.log ends with {scanned.fault}")
            for record in scanned.records:
                stored.apply(*_decode_log_record(record))
        self.generation = max([*logs, snapshot.generation if snapshot is not None else 0], default=0)
        self._begin_next_log()
        return stored

    def write(self, record):
        """Append to the log; return None once it is durable, or the fault as text."""
        return self.log.append(_encode(record))

    def needs_snapshot(self, max_bytes):
        """Tell whether a snapshot is due: the log is longer than `max_bytes`, or takes no more after a fault."""
        return self.log.size > max_bytes or self.log.fault is not None

    def begin_snapshot(self):
        """Begin a new log for later changes; return None or the fault as text. Then call `finish_snapshot`."""
        try:
            self._begin_next_log()
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        return None

    def finish_snapshot(self, seen, pieces, at):
        """Write the snapshot, then remove the logs that it replaces; return None or the fault as text.

        `seen` and the packed `pieces` are of the time of `begin_snapshot`; `at`: Unix ns.
        """
        fault = self.snapshots.save(self.generation, at, _encode((seen, pieces)))
        if fault is None:
            self.snapshots.remove_logs_before(self.log_pattern)
        return fault

    def close(self):
        """Close the log."""
        if self.log is not None:
            self.log.close()

    def _begin_next_log(self):
        log = AppendLog(self.disk, self._path(self.generation + 1))
        log.recover()
        if self.log is not None:
            self.log.close()
        self.log = log
        self.generation += 1

    def _path(self, number):
        return os.path.join(self.folder, f"facts-{number:016d}.log")


def encode_records(records):
    """Return records as the bytes of one piece of a snapshot."""
    return _encode(records)
