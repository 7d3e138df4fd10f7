"""Snapshots numbered by generation: written atomically, bounded in count, rejected if torn, of a newer version or old.

A snapshot file is two records: a header in JSON (kind, version, generation, time of writing) and the payload.
"""

import contextlib
import re
from pathlib import Path
from typing import NamedTuple

import orjson

from sprucegate.storage import records
from sprucegate.storage.disk import Disk, replace_file
from sprucegate.units import SECOND

VERSION = 1
SNAPSHOT_BYTES_MAX = 32 << 20
RECORDS_IN_SNAPSHOT = 2  # header and payload


class Snapshot(NamedTuple):
    """A snapshot that was read and checked.

    :ivar generation: its number, which rises with each snapshot.
    :ivar at: Unix time of writing, ns.
    :ivar payload: the state as encoded by the caller.
    """

    generation: int
    at: int
    payload: bytes


class RejectedSnapshot(NamedTuple):
    """A snapshot file that can't be used.

    :ivar name: the file's name in the folder.
    :ivar why: what is wrong with it, as text.
    """

    name: str
    why: str


class SnapshotStore:
    """The snapshots of one kind in one folder, with one writer.

    `keep`: how many of the newest are kept, as a predecessor is needed if the newest is torn.
    """

    def __init__(self, disk: Disk, folder: str, kind: str, keep: int = 3) -> None:
        self.disk = disk
        self.folder = folder
        self.kind = kind
        self.keep = keep
        self.name_pattern = re.compile(re.escape(kind) + r"-([0-9]{16})\.snap")

    def save(self, generation: int, at: int, payload: bytes) -> str | None:
        """Write a snapshot; return None once it is durable, else the failure as text: the former snapshots then remain.

        `at`: Unix time of writing, ns.
        """
        header = orjson.dumps({"kind": self.kind, "version": VERSION, "generation": generation, "at": at})
        name = f"{self.kind}-{generation:016d}.snap"
        data = records.record(header) + records.record(payload)
        try:
            self.disk.make_folder(self.folder)
            replace_file(self.disk, self.folder, name, data)
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        self._remove_old()
        return None

    def _remove_old(self) -> None:
        """Remove all but the newest `keep` snapshots, and temporary files left by a crash."""
        names = self.disk.names(self.folder)
        complete = [name for name in names if self.name_pattern.fullmatch(name)]
        temporary = [name for name in names if name.startswith(self.kind + "-") and name.endswith(".new")]
        for name in complete[: -self.keep] + temporary:
            self._remove(name)

    def _remove(self, name: str) -> None:
        # A file that can't be removed does no harm; its removal is tried again with the next snapshot.
        with contextlib.suppress(OSError):
            self.disk.remove(str(Path(self.folder) / name))

    def remove_logs_before(self, log_pattern: re.Pattern[str]) -> None:
        """Remove the logs that no kept snapshot needs; `log_pattern` matches a log's name and groups its generation.

        Logs since the oldest kept snapshot are kept, as newer snapshots may turn out to be torn.
        """
        names = self.disk.names(self.folder)
        generations = [int(match[1]) for name in names if (match := self.name_pattern.fullmatch(name))]
        oldest = min(generations, default=0)
        for name in names:
            match = log_pattern.fullmatch(name)
            if match and int(match[1]) < oldest:
                self._remove(name)

    def newest(self, now: int, max_age: int) -> tuple[Snapshot | None, list[RejectedSnapshot]]:
        """Return the newest usable snapshot, or None, and the newer files that were rejected.

        `now`: Unix time, ns; `max_age`: a snapshot older than this (ns) is rejected. Raises OSError if the folder
        can't be listed; a missing folder counts as empty.
        """
        rejected: list[RejectedSnapshot] = []
        for name in reversed(self.disk.names(self.folder)):
            match = self.name_pattern.fullmatch(name)
            if not match:
                continue
            found = self._read(name, int(match[1]))
            if isinstance(found, Snapshot) and now - found.at > max_age:
                age = (now - found.at) // SECOND
                found = RejectedSnapshot(name, f"is {age} s old, more than {max_age // SECOND}")
            if isinstance(found, Snapshot):
                return found, rejected
            rejected.append(found)
        return None, rejected

    def _read(self, name: str, generation: int) -> Snapshot | RejectedSnapshot:
        try:
            data = self.disk.read(str(Path(self.folder) / name), SNAPSHOT_BYTES_MAX)
        except OSError as fault:
            return RejectedSnapshot(name, f"can't be read: {fault}")
        if len(data) > SNAPSHOT_BYTES_MAX:
            return RejectedSnapshot(name, "is larger than the limit")
        scanned = records.scan(data)
        if scanned.fault or len(scanned.records) != RECORDS_IN_SNAPSHOT:
            return RejectedSnapshot(name, scanned.fault or "does not hold exactly two records")
        header, payload = scanned.records
        return self._checked(name, generation, header, payload)

    def _checked(
        self, name: str, generation: int, header: bytes, payload: bytes
    ) -> Snapshot | RejectedSnapshot:
        """Return the snapshot, unless its header is invalid, of a newer version, or doesn't match the file's name."""
        try:
            fields = orjson.loads(header)
            version = int(fields["version"])
            identity = (fields["kind"], int(fields["generation"]))
            at = int(fields["at"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return RejectedSnapshot(name, "has an invalid header")
        if version > VERSION:
            return RejectedSnapshot(name, f"is of version {version}, newer than {VERSION}")
        if identity != (self.kind, generation):
            return RejectedSnapshot(name, "is of another kind or generation than its name says")
        return Snapshot(generation, at, payload)
