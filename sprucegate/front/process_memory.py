"""How much memory this process uses, as the kernel counts it against a limit."""

from pathlib import Path
from typing import NamedTuple

STATUS_FILE = Path("/proc/self/status")
KILOBYTE = 1024


class MemoryUsage(NamedTuple):
    """Memory of this process in bytes; 0 where the system does not tell.

    :ivar resident: resident set size now
    :ivar peak: the largest one since the program was started
    """

    resident: int
    peak: int


def memory_usage() -> MemoryUsage:
    """Return the memory that this process uses (proc(5), `VmRSS` and `VmHWM`)."""
    try:
        lines = STATUS_FILE.read_text().splitlines()
    except OSError:
        return MemoryUsage(0, 0)
    kilobytes = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            kilobytes[name] = int(value.split()[0])
    return MemoryUsage(kilobytes.get("VmRSS", 0) * KILOBYTE, kilobytes.get("VmHWM", 0) * KILOBYTE)
