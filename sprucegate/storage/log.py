"""An append-only log of checksummed records: synced at each append, recovered up to its last complete record."""

from pathlib import Path

from sprucegate.storage import records
from sprucegate.storage.disk import Disk, write_all
from sprucegate.storage.records import ScanResult

LOG_BYTES_MAX = 256 << 20


class AppendLog:
    """One log file with one writer. `recover` has to be called once, before the first append.

    After a failed write or sync nothing more is appended, as a reader can't find records after a torn one.

    :ivar size: length in bytes of the part of the file that holds complete records.
    :ivar fault: the first failure of an append as text, or None; it is never reset.
    """

    def __init__(self, disk: Disk, path: str, max_bytes: int = LOG_BYTES_MAX) -> None:
        self.disk = disk
        self.path = path
        self.max_bytes = max_bytes
        self.handle: int | None = None
        self.size = 0
        self.fault: str | None = None

    def recover(self) -> ScanResult:
        """Return the complete records, truncate the file after them, and open it for appending; created if missing.

        Raises OSError if the file can't be read, truncated or opened.
        """
        try:
            data = self.disk.read(self.path, self.max_bytes)
        except FileNotFoundError:
            data = b""
        scanned = records.scan(data)
        if scanned.valid_bytes < len(data):
            self.disk.truncate(self.path, scanned.valid_bytes)
        self.handle = self.disk.append(self.path)
        self.size = scanned.valid_bytes
        self.disk.sync_folder(str(Path(self.path).parent))
        return scanned

    def append(self, *payloads: bytes) -> str | None:
        """Write and sync records; return None once all of them are durable, else the failure as text.

        After a failure some of them may be on the disk. If they don't fit into the log, none is written, and smaller
        ones may still fit.
        """
        data = b"".join(map(records.record, payloads))
        if self.fault is not None:
            return self.fault
        if self.size + len(data) > self.max_bytes:
            return "the log is full"
        assert self.handle is not None, "recover comes before append"
        try:
            write_all(self.disk, self.handle, data)
            self.disk.sync(self.handle)
        except OSError as fault:
            # After a failed fsync the kernel may drop the dirty pages and report success for the next fsync.
            self.fault = f"{type(fault).__name__}: {fault}"
            return self.fault
        self.size += len(data)
        return None

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self.handle is not None:
            self.disk.close(self.handle)
            self.handle = None
