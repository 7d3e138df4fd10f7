"""The one module that asks the system for the time, and how Unix times of the platform are compared with it.

Everything that lasts (deadlines, waits, graces, leases, ages) is a span on the monotonic clock, nanoseconds from a
beginning of its own. The wall clock may be stepped at any time, so it is read for people, for what lasts on disk and
once at the start of `PlatformTime`, never for a span.
"""

import time

STAMP_LEAD_MAX = 24 * 3600 * 1_000_000_000  # nanoseconds by which a stamp may be ahead of the wall clock
CONFIRMING_SERVERS = 2  # that have to be ahead of the wall clock before it counts as behind

now = time.monotonic_ns


def unix() -> int:
    """Return the wall clock: Unix time, nanoseconds. For logs, files and between processes, never for a span here."""
    return time.time_ns()


def unix_of(at: int) -> int:
    """Return a time of `now` as Unix time by the wall clock as it stands, for people and for files."""
    return unix() - (now() - at)


def since_unix(stamp: int) -> int:
    """Return a Unix time out of a file as a time of `now`; one in the future counts as just now."""
    return now() - max(0, unix() - stamp)


class PlatformTime:
    """Unix times that the platform stamps (starts of caches, purges, copies), as ages on this process's clock.

    This machine's own wall clock may be wrong by an hour, at the start as well. So the stamps are held against each
    other: none can come from the future, so the platform's clock shows at least the newest stamp, moved on by the time
    since it came. `least_offset` and `most_offset` (nanoseconds to add to the own clock) enclose the platform's clock.
    Where the two differ each age is taken towards the careful side: `age` is never more than the true age, for purges
    and cold starts; `copy_age` never less, for copies, as far as stamps have shown.

    A stamp that is more than STAMP_LEAD_MAX ahead of the wall clock counts as none. Without any stamp both offsets are
    those of the wall clock when this object was made.
    """

    def __init__(self, at: int | None = None, wall: int | None = None) -> None:
        self.wall_offset = (unix() if wall is None else wall) - (now() if at is None else at)
        self._newest: int | None = None  # the largest offset that a stamp has shown
        self._leads: dict[int, int] = {}  # server -> how far a stamp of it was ahead (ns), the largest ones

    @property
    def least_offset(self) -> int:
        """The least that the platform's clock can be ahead of the own one, nanoseconds."""
        return self.wall_offset if self._newest is None else self._newest

    @property
    def most_offset(self) -> int:
        """The most that the platform's clock can be ahead of the own one, nanoseconds."""
        return max(self.wall_offset, self.least_offset)

    def stamped(self, stamp: int, at: int) -> None:
        """Take a stamp of discovery, which is trusted: a purge's or a start's, Unix nanoseconds; 0 is none."""
        if not stamp or stamp - at > self.wall_offset + STAMP_LEAD_MAX:
            return
        if self._newest is None or stamp - at > self._newest:
            self._newest = stamp - at

    def copy_stamped(self, stamp: int, server: int, at: int) -> None:
        """Take a copy's stamp, reported by one of many servers of which one may be wrong.

        It shows that the own wall clock is not ahead; that it is behind takes the word of a second server.
        """
        if not stamp or stamp - at > self.wall_offset + STAMP_LEAD_MAX:
            return
        self.stamped(min(stamp, at + self.wall_offset), at)
        lead = stamp - at - self.most_offset
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

    def age(self, stamp: int, at: int) -> int:
        """Return nanoseconds since a stamp, at most the true ones; one from the future counts as just now."""
        return max(0, at + self.least_offset - stamp)

    def copy_age(self, stamp: int, at: int) -> int | None:
        """Return nanoseconds since a copy was made, at least the true ones; None where its stamp lies in the future."""
        age = at + self.most_offset - stamp
        return age if age >= 0 else None
