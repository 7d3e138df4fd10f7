"""A disk in memory that forgets what was not synced, and fails or stops at any call that a test names."""

import os
import random


class Crashed(Exception):
    """The program stops here."""


class FaultyDisk:
    """`crash_at` and `faults` count calls from 1: {7: OSError(28, "full")}, or "short" for a short write,
    "lost" for a sync that says it worked and did not."""

    def __init__(self, seed=0, crash_at=None, faults=None):
        self.chance, self.crash_at, self.faults, self.calls = random.Random(seed), crash_at, faults or {}, 0
        self.durable, self.volatile = (
            {},
            {},
        )  # path -> bytes as synced; names and bytes as the program sees them
        self.handles, self.number = {}, 0

    def _call(self):
        self.calls += 1
        if self.calls == self.crash_at:
            raise Crashed
        fault = self.faults.get(self.calls)
        if isinstance(fault, OSError):
            raise fault
        return fault

    def after_crash(self):
        """What a restart finds: synced names, and of each file its synced bytes and perhaps some more."""
        fresh = FaultyDisk()
        for path, (synced, file) in self.durable.items():
            more = bytes(file["data"][len(synced) :]) if file["data"][: len(synced)] == synced else b""
            kept = synced + more[: self.chance.randrange(len(more) + 1)]
            if len(kept) > len(synced) and self.chance.random() < 0.3:
                kept = kept[:-1] + bytes([kept[-1] ^ 0x55])  # a sector written in part
            file = {"data": bytearray(kept), "synced": bytes(kept)}
            fresh.volatile[path] = file
            fresh.durable[path] = (bytes(kept), file)
        return fresh

    def names(self, folder):
        return sorted(os.path.basename(path) for path in self.volatile if os.path.dirname(path) == folder)

    def read(self, path, most):
        if path not in self.volatile:
            raise FileNotFoundError(2, "no such file")
        return bytes(self.volatile[path]["data"][: most + 1])

    def make_folder(self, folder):
        pass

    def create(self, path):
        self._call()
        self.volatile[path] = {"data": bytearray(), "synced": b""}
        return self._handle(path)

    def append(self, path):
        self._call()
        self.volatile.setdefault(path, {"data": bytearray(), "synced": b""})
        return self._handle(path)

    def _handle(self, path):
        self.number += 1
        self.handles[self.number] = self.volatile[path]
        return self.number

    def write(self, handle, data):
        fault = self._call()
        taken = bytes(data[: max(1, len(data) // 2)] if fault == "short" else data)
        self.handles[handle]["data"] += taken
        return len(taken)

    def sync(self, handle):
        fault, file = self._call(), self.handles[handle]
        if fault != "lost":
            file["synced"] = bytes(file["data"])
            for path, (_, other) in list(self.durable.items()):
                if other is file:
                    self.durable[path] = file["synced"], file

    def close(self, handle):
        del self.handles[handle]

    def truncate(self, path, size):
        self._call()
        del self.volatile[path]["data"][size:]

    def rename(self, old, new):
        self._call()
        self.volatile[new] = self.volatile.pop(old)
        if self.chance.random() < 0.5:  # a rename may last before the folder is synced, or not
            self.durable[new] = self.volatile[new]["synced"], self.volatile[new]

    def remove(self, path):
        self._call()
        del self.volatile[path]

    def sync_folder(self, folder):
        if self._call() == "lost":
            return
        for path in [p for p in self.durable if os.path.dirname(p) == folder and p not in self.volatile]:
            del self.durable[path]
        for path, file in self.volatile.items():
            if os.path.dirname(path) == folder:
                self.durable[path] = file["synced"], file
