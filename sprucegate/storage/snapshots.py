"""Snapshots by generation: replaced atomically, bounded in count, refused when torn, newer in version or too old."""

import os
import re
from typing import NamedTuple

import orjson

from sprucegate.storage import records
from sprucegate.storage.disk import replace_file

VERSION = 1
SIZE_MOST = 32 << 20  # bytes of one snapshot
S = 1_000_000_000


class Taken(NamedTuple):
    generation: int
    at: int  # Unix time of writing, ns
    payload: bytes


class Refused(NamedTuple):
    name: str
    why: str


class SnapshotStore:
    def __init__(self, disk, folder, kind, keep=3):
        self.disk, self.folder, self.kind, self.keep = disk, folder, kind, keep
        self.named = re.compile(re.escape(kind) + r"-([0-9]{16})\.snap")

    def save(self, generation, at, payload):
        """None, or the fault as text: the former snapshots stand then."""
        head = orjson.dumps({"kind": self.kind, "version": VERSION, "generation": generation, "at": at})
        try:
            self.disk.make_folder(self.folder)
            replace_file(
                self.disk,
                self.folder,
                f"{self.kind}-{generation:016d}.snap",
                records.record(head) + records.record(payload),
            )
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        self._tidy()
        return None

    def _tidy(self):
        """Old ones and what a crash left go; one that can't be removed does no harm."""
        names = self.disk.names(self.folder)
        whole = [name for name in names if self.named.fullmatch(name)]
        left = [name for name in names if name.startswith(self.kind + "-") and name.endswith(".new")]
        for name in whole[: -self.keep] + left:
            try:
                self.disk.remove(os.path.join(self.folder, name))
            except OSError:
                pass

    def logs_before(self, named):
        """Logs by generation (`named` matches it) go that no kept snapshot needs; those that the oldest needs stay, as
        the newest may turn out to be torn."""
        names = self.disk.names(self.folder)
        held = [int(match[1]) for name in names if (match := self.named.fullmatch(name))]
        for name in names:
            if (match := named.fullmatch(name)) and int(match[1]) < min(held, default=0):
                try:
                    self.disk.remove(os.path.join(self.folder, name))
                except OSError:
                    pass

    def newest(self, now, oldest):
        """(Taken or None, [Refused]): the newest that may be used, and why others before it may not."""
        refused = []
        for name in reversed(self.disk.names(self.folder)):
            if not (match := self.named.fullmatch(name)):
                continue
            taken = self._read(name, int(match[1]))
            if isinstance(taken, Taken) and now - taken.at > oldest:
                taken = Refused(name, f"is {(now - taken.at) // S} s old, more than {oldest // S}")
            if isinstance(taken, Taken):
                return taken, refused
            refused.append(taken)
        return None, refused

    def _read(self, name, generation):
        try:
            data = self.disk.read(os.path.join(self.folder, name), SIZE_MOST)
        except OSError as fault:
            return Refused(name, f"can't be read: {fault}")
        if len(data) > SIZE_MOST:
            return Refused(name, "is larger than its bound")
        found, _, fault = records.scan(data)
        if fault or len(found) != 2:
            return Refused(name, fault or "has not two records")
        try:
            head = orjson.loads(found[0])
            version, own = int(head["version"]), (head["kind"], int(head["generation"]))
            at = int(head["at"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return Refused(name, "has no readable head")
        if version > VERSION:
            return Refused(name, f"is of version {version}, newer than {VERSION}")
        if own != (self.kind, generation):
            return Refused(name, "bears another's name")
        return Taken(generation, at, found[1])
