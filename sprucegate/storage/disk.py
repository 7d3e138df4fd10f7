"""The disk calls used for durable state. At each of them a test may inject a fault or a crash.

Errors are OSError as the system calls raise them; `AppendLog.append` and `SnapshotStore.save` return them as text.
"""

import errno
import os
from pathlib import Path

CREATED_FILE_MODE = 0o640


class Disk:
    """The real disk. Paths are strings, as tests' in-memory disk uses them as keys; handles are file descriptors."""

    def names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; none if it is missing."""
        try:
            return sorted(entry.name for entry in Path(folder).iterdir())
        except FileNotFoundError:
            return []

    def read(self, path: str, max_bytes: int) -> bytes:
        """Return up to `max_bytes` + 1 bytes of a file: the extra one shows that the file is too large."""
        with Path(path).open("rb") as file:
            return file.read(max_bytes + 1)

    def make_folder(self, folder: str) -> None:
        """Create a folder and its parents, unless it exists."""
        Path(folder).mkdir(parents=True, exist_ok=True)

    def create(self, path: str) -> int:
        """Open an empty file for writing, truncating one that exists; return its handle."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, CREATED_FILE_MODE)

    def append(self, path: str) -> int:
        """Open a file for appending, and create it if it is missing; return its handle."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, CREATED_FILE_MODE)

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Write data and return how many bytes the system accepted, which may be fewer than given."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Wait until what was written to the file is on the disk (fsync)."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close a file without syncing it."""
        os.close(handle)

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to its first `size` bytes."""
        os.truncate(path, size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing one that has the new name."""
        Path(old).replace(new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        Path(path).unlink()

    def sync_folder(self, folder: str) -> None:
        """Wait until created, renamed and removed names of a folder are on the disk (fsync)."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def write_all(disk: Disk, handle: int, data: bytes) -> None:
    """Write all of `data`, repeating short writes.

    Raises OSError (ENOSPC) if a write accepts nothing but reports no error, as the loop would not end.
    """
    remaining = memoryview(data)
    while remaining:
        written = disk.write(handle, remaining)
        if not written:
            raise OSError(errno.ENOSPC, "a write accepted no data")
        remaining = remaining[written:]


def replace_file(disk: Disk, folder: str, name: str, data: bytes) -> None:
    """Replace a file atomically and durably: after a crash at any point either the new or the former file is complete.

    The data goes to a file with the suffix `.new`, is synced and renamed, and the folder is synced. Raises OSError;
    the former file then remains, unless only the last sync failed.
    """
    path = str(Path(folder) / name)
    temporary_path = path + ".new"
    handle = disk.create(temporary_path)
    try:
        write_all(disk, handle, data)
        disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(temporary_path, path)
    disk.sync_folder(folder)
