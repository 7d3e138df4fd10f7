"""Access to the system clocks, and conversion of the platform's Unix timestamps to ages.

This is the only module that reads a system clock. All durations (deadlines, waits, grace periods, leases, ages) are
measured on the monotonic clock, in nanoseconds since an arbitrary epoch. The wall clock may be stepped at any time, so
it is used only for output to people, for stored timestamps and once when a `PlatformTime` is created, never for a
duration.
"""

import time

MAX_TIMESTAMP_LEAD = 24 * 3600 * 1_000_000_000  # ns by which a valid timestamp may be ahead of the wall clock
CONFIRMING_SERVERS = 2  # servers ahead of the wall clock, from which it counts as behind

now = time.monotonic_ns


def unix() -> int:
    """Return the wall clock as Unix time in ns: for logs, files and other processes, never for durations."""
    return time.time_ns()


def to_unix(at: int) -> int:
    """Convert a monotonic time to Unix time by the current wall clock, for output and files."""
    return unix() - (now() - at)


def from_unix(timestamp: int) -> int:
    """Convert a Unix time from a file to monotonic time; a time in the future counts as now."""
    return now() - max(0, unix() - timestamp)


class PlatformTime:
    """Computes ages of the platform's Unix timestamps (starts of caches, purges, copies) on the monotonic clock.

    The local wall clock may be wrong by an hour, even at startup, so the platform's clock is estimated from the
    timestamps themselves: none can be from the future, so the platform's clock is at least at the newest timestamp plus
    the time since its receipt. `least_offset` and `most_offset` (ns to add to the monotonic clock) are the lower and
    upper bound of the platform's clock. Where they differ, each age errs on the safe side: `age`, for purges and cold
    starts, never exceeds the true age; `copy_age`, for copies, is never below it as far as the timestamps show.

    Timestamps more than MAX_TIMESTAMP_LEAD ahead of the wall clock are ignored. Before the first timestamp both offsets
    are that of the wall clock when the object was created.
    """

    def __init__(self, at: int | None = None, wall: int | None = None) -> None:
        self.wall_offset = (unix() if wall is None else wall) - (now() if at is None else at)
        self._newest: int | None = None  # largest offset derived from a timestamp
        self._leads: dict[int, int] = {}  # server -> largest lead of its timestamps over most_offset, ns

    @property
    def least_offset(self) -> int:
        """Lower bound of the platform's clock minus the monotonic clock, in ns."""
        return self.wall_offset if self._newest is None else self._newest

    @property
    def most_offset(self) -> int:
        """Upper bound of the platform's clock minus the monotonic clock, in ns."""
        return max(self.wall_offset, self.least_offset)

    def add_timestamp(self, timestamp: int, at: int) -> None:
        """Process a trusted timestamp from discovery, of a purge or a start, in Unix ns; 0 means none."""
        if not timestamp or timestamp - at > self.wall_offset + MAX_TIMESTAMP_LEAD:
            return
        if self._newest is None or timestamp - at > self._newest:
            self._newest = timestamp - at

    def add_copy_timestamp(self, timestamp: int, server: int, at: int) -> None:
        """Process the timestamp of a copy, reported by one of many servers, of which one may be wrong.

        It is enough to show that the wall clock is not ahead; that it is behind must be confirmed by a second server.
        """
        if not timestamp or timestamp - at > self.wall_offset + MAX_TIMESTAMP_LEAD:
            return
        self.add_timestamp(min(timestamp, at + self.wall_offset), at)
        lead = timestamp - at - self.most_offset
        if lead <= 0:
            return
        self._leads[server] = max(lead, self._leads.get(server, 0))
        if len(self._leads) > CONFIRMING_SERVERS:
            del self._leads[min(self._leads, key=self._leads.__getitem__)]
        if len(self._leads) == CONFIRMING_SERVERS:
            confirmed = min(self._leads.values())
            self.wall_offset = self.most_offset + confirmed
            self._leads = {
                name: ahead - confirmed for name, ahead in self._leads.items() if ahead > confirmed
            }

    def age(self, timestamp: int, at: int) -> int:
        """Return ns since a timestamp, at most the true age; 0 for a timestamp in the future."""
        return max(0, at + self.least_offset - timestamp)

    def copy_age(self, timestamp: int, at: int) -> int | None:
        """Return ns since a copy was made, at least the true age; None if its timestamp is in the future."""
        age = at + self.most_offset - timestamp
        return age if age >= 0 else None
