"""A log of checksummed records: appended, synced, and after a crash read up to its last whole record."""

import os

from sprucegate.storage import records
from sprucegate.storage.disk import write_all


class AppendLog:
    """One writer a file. After a failed append nothing more is written: what follows a torn record is lost."""

    def __init__(self, disk, path, most=256 << 20):
        self.disk, self.path, self.most, self.handle, self.size, self.fault = disk, path, most, None, 0, None

    def recover(self):
        """The records that are whole; the torn rest is cut off, so that appends follow the last whole one."""
        try:
            data = self.disk.read(self.path, self.most)
        except FileNotFoundError:
            data = b""
        scanned = records.scan(data)
        if scanned.good < len(data):
            self.disk.truncate(self.path, scanned.good)
        self.handle, self.size = self.disk.append(self.path), scanned.good
        self.disk.sync_folder(os.path.dirname(self.path))
        return scanned

    def append(self, *payloads):
        """None once all of them last, or the fault as text; then some may be there and some not."""
        data = b"".join(map(records.record, payloads))
        if self.fault is None and self.size + len(data) > self.most:
            return "the log is full"
        try:
            if self.fault is None:
                write_all(self.disk, self.handle, data)
                self.disk.sync(self.handle)
                self.size += len(data)
        except OSError as fault:
            # After a failed sync the kernel may drop what it could not write and call the next sync good.
            self.fault = f"{type(fault).__name__}: {fault}"
        return self.fault

    def close(self):
        if self.handle is not None:
            self.disk.close(self.handle)
            self.handle = None
