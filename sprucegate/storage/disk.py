"""The disk calls that state is kept by. Each is one boundary at which a test may fail or stop the program.

Errors are OSError, as the calls give them; who keeps state turns them into values.
"""

import os


class Disk:
    def names(self, folder):
        """Names in a folder, sorted; none where it is missing."""
        try:
            return sorted(os.listdir(folder))
        except FileNotFoundError:
            return []

    def read(self, path, most):
        """At most `most` bytes; one more tells a longer file."""
        with open(path, "rb") as file:
            return file.read(most + 1)

    def make_folder(self, folder):
        os.makedirs(folder, exist_ok=True)

    def create(self, path):
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)

    def append(self, path):
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)

    def write(self, handle, data):
        """How many bytes were taken; it may be fewer."""
        return os.write(handle, data)

    def sync(self, handle):
        os.fsync(handle)

    def close(self, handle):
        os.close(handle)

    def truncate(self, path, size):
        os.truncate(path, size)

    def rename(self, old, new):
        os.replace(old, new)

    def remove(self, path):
        os.remove(path)

    def sync_folder(self, folder):
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def write_all(disk, handle, data):
    """A short write is gone on with; none at all is a full disk in disguise."""
    data = memoryview(data)
    while data:
        if not (size := disk.write(handle, data)):
            raise OSError(28, "no byte was taken")
        data = data[size:]


def replace_file(disk, folder, name, data):
    """The whole file or the former one, whatever happens in between: new name, sync, rename, sync of the folder."""
    path, fresh = os.path.join(folder, name), os.path.join(folder, name + ".new")
    handle = disk.create(fresh)
    try:
        write_all(disk, handle, data)
        disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(fresh, path)
    disk.sync_folder(folder)
