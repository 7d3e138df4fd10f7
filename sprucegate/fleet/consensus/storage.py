"""What a voter keeps on disk: its identity, its starts, its term, vote and log, the starts of others. Blocking.

    self                        [name, start]: who it is and how often it began
    known                       {voter: [start, incarnation]}: the latest start that others told this one of
    agreed-NNNN.snap            storage/snapshots: index, term, members and the machine's state
    agreed-NNNN.log             storage/log: what came since

A log begins with all that follows its snapshot, and is there before it: a crash between the two loses neither.
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
AGE_UNLIMITED = 1 << 62  # ns: no snapshot of a voter is too old


class ConsensusStorageError(StorageError):
    """The folder can't be used; the text says why."""


class StoredState(NamedTuple):
    """What a start finds in the folder.

    :ivar term: the current term
    :ivar voted_for: whom this voter voted for in that term, or ""
    :ivar snapshot: the newest whole snapshot, or None
    :ivar entries: the entries after it
    :ivar refused: why files, or the end of one, were not taken
    """

    term: int
    voted_for: str
    snapshot: Snapshot | None
    entries: list[LogEntry]
    refused: list[str]


def entry_of(row: _Row) -> LogEntry:
    """Return the entry that a row on disk or wire stands for."""
    index, term, kind, data = row
    if kind == CONFIG:
        return LogEntry(index, term, kind, ClusterConfiguration(*map(tuple, data)))
    return LogEntry(index, term, kind, data)


class RaftStorage:
    """One voter's folder.

    :ivar name: who the voter is, by the folder
    :ivar start_count: how often it began
    :ivar generation: number of the log that is written
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
        """Return the voter's identity and its count of starts, synced; `name` is for a new folder.

        Raises OSError or ConsensusStorageError.
        """
        self.disk.make_folder(self.folder)
        self.name, self.start_count = self._read_small(IDENTITY_FILE, _decode_identity, (name, 0))
        self.start_count += 1
        replace_file(self.disk, self.folder, IDENTITY_FILE, _encode((self.name, self.start_count)))
        return self.name, self.start_count

    def begin_new_identity(self, name: str) -> None:
        """Set aside all that the folder holds, and be another member from here on. Raises OSError."""
        self.close()
        prefix = f"put-back-{self.start_count:08d}-"
        for found in self.disk.names(self.folder):
            if self._is_own(found):
                self.disk.rename(self._path(found), self._path(prefix + found))
        self.log = None
        self.generation = 0
        self.name = name
        self.start_count = 1
        replace_file(self.disk, self.folder, IDENTITY_FILE, _encode((name, 1)))
        self.disk.sync_folder(self.folder)

    def read_known_starts(self) -> Starts:
        """Return the starts of others. Raises OSError or ConsensusStorageError."""
        return self._read_small(KNOWN_STARTS_FILE, _decode_known_starts, {})

    def write_known_starts(self, known_starts: Starts) -> str | None:
        """Return None once they are synced, or the fault as text."""
        try:
            replace_file(self.disk, self.folder, KNOWN_STARTS_FILE, _encode(known_starts))
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        return None

    def load(self, now: float) -> StoredState:
        """Return the newest whole snapshot and what was written since; `now` is unix time.

        Raises OSError or ConsensusStorageError, also where an entry is missing: the voter would go by a log with a gap
        as if it were whole.
        """
        names = self.disk.names(self.folder)
        taken, refused_snapshots = self.snapshots.newest(now, AGE_UNLIMITED)
        refused = [f"{one.name} {one.why}" for one in refused_snapshots]
        snapshot = None
        if taken is not None:
            index, term, members, state = _decode_snapshot(taken.payload)
            snapshot = Snapshot(index, term, ClusterConfiguration(*map(tuple, members)), state)
        logs = sorted(int(match[1]) for name in names if (match := self.log_name.fullmatch(name)))
        records = [
            record
            for number in logs
            if taken is None or number >= taken.generation
            for record in self._recovered(number, refused)
        ]
        base = snapshot.index if snapshot else 0
        stored = self._replayed(records, snapshot, refused)
        if [entry.index for entry in stored.entries] != list(range(base + 1, base + 1 + len(stored.entries))):
            text = f"{self.folder}: entries are missing after {base}"
            raise ConsensusStorageError(text)
        self.generation = max([*logs, taken.generation if taken is not None else 0], default=0)
        self._begin_next_log()
        return stored

    def write(self, state: PersistState, now: float) -> str | None:
        """Return None once it is synced, or the fault as text; `now` is unix time."""
        try:
            if state.snapshot is None:
                return self._append(state)
            self._begin_next_log()
            if fault := self._append(state):
                return fault
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        if fault := self.snapshots.save(self.generation, now, _encode(state.snapshot)):
            return str(fault)
        self.snapshots.remove_logs_before(self.log_name)
        return None

    def close(self) -> None:
        """Close the log that is written."""
        if self.log is not None:
            self.log.close()

    def _recovered(self, number: int, refused: list[str]) -> list[tuple[int, str, int, list[_Row]]]:
        """Return a log's whole records, and note where it ends with a fault."""
        log = AppendLog(self.disk, self._log_path(number), LOG_MAX_BYTES)
        scanned = log.recover()
        log.close()
        if scanned.fault:
            refused.append(f"agreed-{number:016d}.log ends with {scanned.fault}")
        return [_decode_record(record) for record in scanned.records]

    @staticmethod
    def _replayed(
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
        assert self.log is not None, "load() comes first"
        fault: str | None = self.log.append(record)
        return fault

    def _read_small(self, name: str, decode: Callable[[bytes], _Value], default: _Value) -> _Value:
        try:
            data = self.disk.read(self._path(name), SMALL_FILE_MAX_BYTES)
        except FileNotFoundError:
            return default
        try:
            return decode(data)
        except msgspec.MsgspecError as fault:
            text = f"{self.folder}/{name}: {fault}"
            raise ConsensusStorageError(text) from None

    def _is_own(self, name: str) -> bool:
        if name in (IDENTITY_FILE, KNOWN_STARTS_FILE):
            return True
        return bool(self.log_name.fullmatch(name) or self.snapshots.name_pattern.fullmatch(name))

    def _begin_next_log(self) -> None:
        log = AppendLog(self.disk, self._log_path(self.generation + 1), LOG_MAX_BYTES)
        log.recover()
        self.close()
        self.log = log
        self.generation += 1

    def _log_path(self, number: int) -> str:
        return self._path(f"agreed-{number:016d}.log")

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)  # noqa: PTH118 - a folder such as ./x keeps its spelling in fault texts
