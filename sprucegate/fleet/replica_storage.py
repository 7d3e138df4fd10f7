"""What of the replica lasts: a snapshot, the logs written since, and the count of starts. Blocking: called in a thread.

    start                       the count of starts, replaced whole
    facts-NNNN.snap             storage/snapshots: all facts and what was seen, as of the beginning of log NNNN
    facts-NNNN.log              storage/log: what came since

A snapshot begins with its log, so that a crash between the two leaves the former snapshot and both logs.
"""

import os
import re

import msgspec

from sprucegate.errors import StorageError
from sprucegate.fleet.replica.facts import ReplicatedRecord
from sprucegate.storage.disk import replace_file
from sprucegate.storage.log import AppendLog
from sprucegate.storage.snapshots import SnapshotStore

Span = tuple[str, int, int, int]
Life = tuple[str, int, list[int]]
_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(tuple[list[ReplicatedRecord], list[Span], list[tuple]]).decode
_head = msgspec.msgpack.Decoder(tuple[list[Life], list[bytes]]).decode
_facts = msgspec.msgpack.Decoder(list[ReplicatedRecord]).decode
RECORDS_PER_PIECE = 500  # facts packed in one turn of a loop
START_MOST = 1 << 30


class ReplicaStorageError(StorageError):
    """The folder can't be used; the text says why."""


class StoredRecords:
    """What was there: facts in the order in which they were written, all that was seen, and what was passed over."""

    def __init__(self):
        self.facts, self.lives, self.refused, self.age = {}, [], [], 0

    def take(self, facts, spans, forgotten):
        """Apply one record of the log: records written, versions seen, keys let go."""
        for fact in facts:
            self.facts[fact.key] = fact
            self.lives.append((*fact.dot[:2], [fact.dot[2], fact.dot[2] + 1]))
        self.lives += [(owner, life, [first, past]) for owner, life, first, past in spans]
        for key in forgotten:
            self.facts.pop(key, None)


class ReplicaStorage:
    """Stored state of one replica, in one folder; all calls block."""

    def __init__(self, disk, folder):
        self.disk, self.folder, self.log, self.generation = disk, folder, None, 0
        self.snapshots = SnapshotStore(disk, folder, "facts", keep=2)
        self.named = re.compile(r"facts-([0-9]{16})\.log")

    def start(self, least=0):
        """The next count of starts, on disk before it is returned; above `least`. Raises OSError or Unreadable."""
        self.disk.make_folder(self.folder)
        try:
            last = int(self.disk.read(os.path.join(self.folder, "start"), 20))
        except FileNotFoundError:
            last = 0
        except ValueError:
            raise ReplicaStorageError(f"{self.folder}/start: holds no number") from None
        fresh = max(last, least) + 1
        if not 0 < fresh < START_MOST:
            raise ReplicaStorageError(f"{self.folder}/start: {fresh} is past its bound")
        replace_file(self.disk, self.folder, "start", str(fresh).encode())
        return fresh

    def open(self, now):
        """Kept: the newest whole snapshot and the logs since; a new log takes what comes from here on."""
        self.disk.make_folder(self.folder)
        kept, names = StoredRecords(), self.disk.names(self.folder)
        taken, refused = self.snapshots.newest(now, 1 << 62)
        kept.refused = [f"{one.name} {one.why}" for one in refused]
        if taken is not None:
            lives, pieces = _head(taken.payload)
            kept.lives, kept.age = list(lives), now - taken.at
            for piece in pieces:
                kept.take(_facts(piece), [], [])
        logs = sorted(int(match[1]) for name in names if (match := self.named.fullmatch(name)))
        for number in [n for n in logs if taken is None or n >= taken.generation]:
            log = AppendLog(self.disk, self._path(number))
            scanned = log.recover()
            log.close()
            if scanned.fault:
                kept.refused.append(f"facts-{number:016d}.log ends with {scanned.fault}")
            for record in scanned.records:
                kept.take(*_record(record))
        self.generation = max([*logs, taken.generation if taken is not None else 0], default=0)
        self._next_log()
        return kept

    def write(self, record):
        """None once it is synced, or the fault as text."""
        return self.log.append(_encode(record))

    def full(self, most):
        """Whether the log is over `most` bytes or takes no more, so that a snapshot is due."""
        return self.log.size > most or self.log.fault is not None

    def begin_snapshot(self):
        """What comes from here on goes to a new log; None or the fault as text. Then `finish_snapshot`."""
        try:
            self._next_log()
        except OSError as fault:
            return f"{type(fault).__name__}: {fault}"
        return None

    def finish_snapshot(self, lives, pieces, at):
        """`lives` and the packed pieces as they were when it began; logs before it go once it is there."""
        fault = self.snapshots.save(self.generation, at, _encode((lives, pieces)))
        if fault is None:
            self.snapshots.remove_logs_before(self.named)
        return fault

    def close(self):
        """Close the log."""
        if self.log is not None:
            self.log.close()

    def _next_log(self):
        log = AppendLog(self.disk, self._path(self.generation + 1))
        log.recover()
        if self.log is not None:
            self.log.close()
        self.log, self.generation = log, self.generation + 1

    def _path(self, number):
        return os.path.join(self.folder, f"facts-{number:016d}.log")


def encode_records(facts):
    """Return records as the bytes of one piece of a snapshot."""
    return _encode(facts)
