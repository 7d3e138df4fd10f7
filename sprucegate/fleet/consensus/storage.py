"""A voter's persistent state: its identity, count of starts, term, vote and log, and other voters' starts. Blocking.

    self                        [name, start]: the voter's identity, and how often it was started
    known                       {voter: [start, incarnation]}: the latest start known of each other voter
    agreed-NNNN.snap            storage/snapshots: index, term, members and the state machine's state
    agreed-NNNN.log             storage/log: what was written since

A log begins with all entries that follow its snapshot, and is synced before the snapshot is written, so a crash between
the two loses nothing.
"""

import os
import re
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from sprucegate.errors import StorageError
from sprucegate.fleet.consensus.actions import PersistState
from sprucegate.fleet.consensus.durability_check import Starts
from sprucegate.fleet.consensus.log_entry import CONFIG, ClusterConfiguration, LogEntry, Snapshot
from sprucegate.storage.disk import Disk, replace_file
from sprucegate.storage.log import AppendLog
from sprucegate.storage.snapshots import SnapshotStore

_Row = tuple[int, int, str, object]
_Value = TypeVar("_Value")
_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(tuple[int, str, int, list[_Row]]).decode
_decode_snapshot = msgspec.msgpack.Decoder(tuple[int, int, tuple[list[str], list[str]], object]).decode
_decode_identity = msgspec.msgpack.Decoder(tuple[str, int]).decode
_decode_known_starts = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode
SMALL_FILE_MAX_BYTES = 1 << 20
LOG_MAX_BYTES = 64 << 20
IDENTITY_FILE = "self"
KNOWN_STARTS_FILE = "known"
AGE_UNLIMITED = 1 << 62  # ns; a voter's snapshot never expires


class ConsensusStorageError(StorageError):
    """The folder's content can't be used; the text says why."""


class StoredState(NamedTuple):
    """The state that is read from the folder at a start.

    :ivar term: the current term
    :ivar voted_for: the candidate that got this voter's vote in that term, or ""
    :ivar snapshot: the latest valid snapshot, or None
    :ivar entries: the entries after it
    :ivar refused: for each file that was rejected or truncated, the reason
    """

    term: int
    voted_for: str
    snapshot: Snapshot | None
    entries: list[LogEntry]
    refused: list[str]


def entry_of(row: _Row) -> LogEntry:
    """Return the entry that a row on disk or on the wire encodes."""
    index, term, kind, data = row
    if kind == CONFIG:
        return LogEntry(index, term, kind, ClusterConfiguration(*map(tuple, data)))
    return LogEntry(index, term, kind, data)


class RaftStorage:
    """One voter's folder.

    :ivar name: the voter's identity as stored
    :ivar start_count: how often the folder was opened
    :ivar generation: number of the current log file
    """

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk = disk
        self.folder = folder
        self.log: AppendLog | None = None
        self.generation = 0
        self.name = ""
        self.start_count = 0
        self.snapshots = SnapshotStore(disk, folder, "agreed", keep=2)
        self.log_name = re.compile(r"agreed-([0-9]{16})\.log")

    def count_start(self, name: str) -> tuple[str, int]:
        """Count this start on disk. Returns the voter's identity and its count of starts; a new folder gets `name`.

        Raises OSError or ConsensusStorageError.
        """
        self.disk.make_folder(self.folder)
        self.name, self.start_count = self._read_file(IDENTITY_FILE, _decode_identity, (name, 0))
        self.start_count += 1
        replace_file(self.disk, self.folder, IDENTITY_FILE, _encode((self.name, self.start_count)))
        return self.name, self.start_count

    def begin_new_identity(self, name: str) -> None:
        """Set aside all files of the folder and store a new identity. Raises OSError."""
        self.close()
        prefix = f"put-back-{self.start_count:08d}-"
        for file in self.disk.names(self.folder):
            if self._is_state_file(file):
                self.disk.rename(self._path(file), self._path(prefix + file))
        self.log = None
        self.generation = 0
        self.name = name
        self.start_count = 1
        replace_file(self.disk, self.folder, IDENTITY_FILE, _encode((name, 1)))
        self.disk.sync_folder(self.folder)

    def read_known_starts(self) -> Starts:
        """Return the known starts of other voters. Raises OSError or ConsensusStorageError."""
        return self._read_file(KNOWN_STARTS_FILE, _decode_known_starts, {})

    def write_known_starts(self, known_starts: Starts) -> str | None:
        """Write and sync the known starts. Returns None, or the fault as text."""
        try:
            replace_file(self.disk, self.folder, KNOWN_STARTS_FILE, _encode(known_starts))
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        return None

    def load(self, now: float) -> StoredState:
        """Return the latest valid snapshot and what was written since; `now` is unix time.

        Raises OSError or ConsensusStorageError. A missing entry is an error: the voter would otherwise take a log with
        a gap for a complete one.
        """
        names = self.disk.names(self.folder)
        latest, rejected = self.snapshots.newest(now, AGE_UNLIMITED)
        refused = [f"{snapshot_file.name} {snapshot_file.why}" for snapshot_file in rejected]
        snapshot = None
        if latest is not None:
            index, term, members, state = _decode_snapshot(latest.payload)
            snapshot = Snapshot(index, term, ClusterConfiguration(*map(tuple, members)), state)
        logs = sorted(int(match[1]) for name in names if (match := self.log_name.fullmatch(name)))
        records = [
            record
            for number in logs
            if latest is None or number >= latest.generation
            for record in self._recover_records(number, refused)
        ]
        base = snapshot.index if snapshot else 0
        stored = self._replay(records, snapshot, refused)
        if [entry.index for entry in stored.entries] != list(range(base + 1, base + 1 + len(stored.entries))):
            text = f"{self.folder}: the log has a gap after index {base}"
            raise ConsensusStorageError(text)
        self.generation = max([*logs, latest.generation if latest is not None else 0], default=0)
        self._open_next_log()
        return stored

    def write(self, state: PersistState, now: float) -> str | None:
        """Write and sync a state. Returns None, or the fault as text; `now` is unix time."""
        try:
            if state.snapshot is None:
                return self._append(state)
            self._open_next_log()
            if fault := self._append(state):
                return fault
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        if fault := self.snapshots.save(self.generation, now, _encode(state.snapshot)):
            return str(fault)
        self.snapshots.remove_logs_before(self.log_name)
        return None

    def close(self) -> None:
        """Close the current log."""
        if self.log is not None:
            self.log.close()

    def _recover_records(self, number: int, refused: list[str]) -> list[tuple[int, str, int, list[_Row]]]:
        """Return a log's valid records; a fault at its end is added to `refused`."""
        log = AppendLog(self.disk, self._log_path(number), LOG_MAX_BYTES)
        scanned = log.recover()
        log.close()
        if scanned.fault:
            refused.append(f"agreed-{number:016d}.log ends with {scanned.fault}")
        return [_decode_record(record) for record in scanned.records]

    @staticmethod
    def _replay(
        records: list[tuple[int, str, int, list[_Row]]], snapshot: Snapshot | None, refused: list[str]
    ) -> StoredState:
        term = 0
        voted_for = ""
        entries: list[LogEntry] = []
        for record_term, record_vote, truncate_from, rows in records:
            term = record_term
            voted_for = record_vote
            if truncate_from:
                entries = [entry for entry in entries if entry.index < truncate_from]
            entries += map(entry_of, rows)
        base = snapshot.index if snapshot else 0
        entries = [entry for entry in entries if entry.index > base]
        return StoredState(term, voted_for, snapshot, entries, refused)

    def _append(self, state: PersistState) -> str | None:
        record = _encode((state.term, state.voted_for, state.truncate_from, state.entries))
        assert self.log is not None, "load() must be called before write()"
        fault: str | None = self.log.append(record)
        return fault

    def _read_file(self, name: str, decode: Callable[[bytes], _Value], default: _Value) -> _Value:
        try:
            data = self.disk.read(self._path(name), SMALL_FILE_MAX_BYTES)
        except FileNotFoundError:
            return default
        try:
            return decode(data)
        except msgspec.MsgspecError as fault:
            text = f"{self.folder}/{name}: {fault}"
            raise ConsensusStorageError(text) from None

    def _is_state_file(self, name: str) -> bool:
        if name in (IDENTITY_FILE, KNOWN_STARTS_FILE):
            return True
        return bool(self.log_name.fullmatch(name) or self.snapshots.name_pattern.fullmatch(name))

    def _open_next_log(self) -> None:
        log = AppendLog(self.disk, self._log_path(self.generation + 1), LOG_MAX_BYTES)
        log.recover()
        self.close()
        self.log = log
        self.generation += 1

    def _log_path(self, number: int) -> str:
        return self._path(f"agreed-{number:016d}.log")

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)  # noqa: PTH118 - a folder such as ./x keeps its spelling in fault texts
