"""What of a keeper lasts: who it is, its starts, its term, vote and log, the starts of others. Blocking: in a thread.

    self                        [name, start]: who it is and how often it began
    known                       {keeper: [start, being]}: the latest start that others told this one of
    agreed-NNNN.snap            state/snapshots: index, term, members and the machine's state
    agreed-NNNN.log             state/log: what came since

A log begins with all that follows its snapshot, and is there before it: a crash between the two loses neither.
"""

import os
import re

import msgspec

from sprucegate.errors import StorageError
from sprucegate.fleet.consensus.log_entry import CONFIG, ClusterConfiguration, LogEntry
from sprucegate.storage.disk import replace_file
from sprucegate.storage.log import AppendLog
from sprucegate.storage.snapshots import SnapshotStore

_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(tuple[int, str, int, list[tuple[int, int, str, object]]]).decode
_whole = msgspec.msgpack.Decoder(tuple[int, int, tuple[list[str], list[str]], object]).decode
_self = msgspec.msgpack.Decoder(tuple[str, int]).decode
_known = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode
SMALL_MOST = 1 << 20
LOG_MOST = 64 << 20


class ConsensusStorageError(StorageError):
    """The folder can't be used; the text says why."""


class Kept:
    def __init__(self):
        self.term, self.vote, self.snapshot, self.entries, self.refused = 0, "", None, [], []


def entry_of(row):
    index, term, kind, data = row
    return LogEntry(index, term, kind, ClusterConfiguration(*map(tuple, data)) if kind == CONFIG else data)


class Ledger:
    def __init__(self, disk, folder):
        self.disk, self.folder, self.log, self.generation, self.name, self.start = (
            disk,
            folder,
            None,
            0,
            "",
            0,
        )
        self.snapshots = SnapshotStore(disk, folder, "agreed", keep=2)
        self.named = re.compile(r"agreed-([0-9]{16})\.log")

    def begin(self, name):
        """Who this keeper is, and its count of starts, synced before it says a word. Raises OSError or Unreadable."""
        self.disk.make_folder(self.folder)
        self.name, self.start = self._small("self", _self, (name, 0))
        self.start += 1
        replace_file(self.disk, self.folder, "self", _encode((self.name, self.start)))
        return self.name, self.start

    def anew(self, name):
        """Another member from here on: what the folder holds is put aside, never to be voted by again."""
        self.close()
        aside = f"put-back-{self.start:08d}-"
        for at in self.disk.names(self.folder):
            if at in ("self", "known") or self.named.fullmatch(at) or self.snapshots.named.fullmatch(at):
                self.disk.rename(os.path.join(self.folder, at), os.path.join(self.folder, aside + at))
        self.log, self.generation = None, 0
        self.name, self.start = name, 1
        replace_file(self.disk, self.folder, "self", _encode((name, 1)))
        self.disk.sync_folder(self.folder)

    def known(self):
        return self._small("known", _known, {})

    def knows(self, known):
        """None once it is synced, or the fault as text."""
        try:
            replace_file(self.disk, self.folder, "known", _encode(known))
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        return None

    def _small(self, name, decode, otherwise):
        try:
            data = self.disk.read(os.path.join(self.folder, name), SMALL_MOST)
        except FileNotFoundError:
            return otherwise
        try:
            return decode(data)
        except msgspec.MsgspecError as fault:
            raise ConsensusStorageError(f"{self.folder}/{name}: {fault}") from None

    def open(self, now):
        """Kept: the newest whole snapshot and what was written since. Raises OSError or Unreadable."""
        kept, names = Kept(), self.disk.names(self.folder)
        taken, refused = self.snapshots.newest(now, 1 << 62)
        kept.refused = [f"{one.name} {one.why}" for one in refused]
        if taken is not None:
            index, term, config, state = _whole(taken.payload)
            kept.snapshot = index, term, ClusterConfiguration(*map(tuple, config)), state
        logs = sorted(int(match[1]) for name in names if (match := self.named.fullmatch(name)))
        for number in [n for n in logs if taken is None or n >= taken.generation]:
            log = AppendLog(self.disk, self._path(number), LOG_MOST)
            scanned = log.recover()
            log.close()
            if scanned.fault:
                kept.refused.append(f"agreed-{number:016d}.log ends with {scanned.fault}")
            for term, vote, cut, rows in map(_record, scanned.records):
                kept.term, kept.vote = term, vote
                if cut:
                    kept.entries = [e for e in kept.entries if e.index < cut]
                kept.entries += map(entry_of, rows)
        base = kept.snapshot[0] if kept.snapshot else 0
        kept.entries = [e for e in kept.entries if e.index > base]
        if [e.index for e in kept.entries] != list(range(base + 1, base + 1 + len(kept.entries))):
            # A log with a hole would be voted by as if it were whole.
            raise ConsensusStorageError(f"{self.folder}: entries are missing after {base}")
        self.generation = max([*logs, taken.generation if taken is not None else 0], default=0)
        self._next_log()
        return kept

    def write(self, one, now):
        """None once that Write is synced, or the fault as text."""
        try:
            if one.snapshot is None:
                return self.log.append(self._packed(one))
            self._next_log()
            if fault := self.log.append(self._packed(one)):
                return fault
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        if fault := self.snapshots.save(self.generation, now, _encode(one.snapshot)):
            return fault
        self.snapshots.logs_before(self.named)
        return None

    def close(self):
        if self.log is not None:
            self.log.close()

    @staticmethod
    def _packed(one):
        return _encode((one.term, one.voted_for, one.truncate_from, one.entries))

    def _next_log(self):
        log = AppendLog(self.disk, self._path(self.generation + 1), LOG_MOST)
        log.recover()
        self.close()
        self.log, self.generation = log, self.generation + 1

    def _path(self, number):
        return os.path.join(self.folder, f"agreed-{number:016d}.log")
