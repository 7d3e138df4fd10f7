"""The replicated log in memory: a snapshot's position, and the entries after it."""

from sprucegate.fleet.consensus.log_entry import CONFIG, ClusterConfiguration, LogEntry, Snapshot


class RaftLog:
    """Entries after `base_index`, up to which a snapshot stands for the log.

    :ivar base_index: index of the last entry in the snapshot, 0 without one
    :ivar base_term: that entry's term
    :ivar base_configuration: the cluster's configuration up to that entry
    :ivar base_state: the snapshot's state, None without one
    :ivar entries: the entries from `base_index` + 1 on, without a gap
    """

    def __init__(self, configuration: ClusterConfiguration) -> None:
        self.base_index = 0
        self.base_term = 0
        self.base_configuration = configuration
        self.base_state: object = None
        self.entries: list[LogEntry] = []

    def configuration(self) -> ClusterConfiguration:
        """Return the latest configuration in the log, committed or not."""
        return self._configuration_in(self.entries)

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_of(self.last_index())

    def term_of(self, index: int) -> int:
        """Return an entry's term; 0 where the entry is compacted away, or not there yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index():
            return self.entries[index - self.base_index - 1].term
        return 0

    def after(self, index: int, limit: int | None = None) -> list[LogEntry]:
        """Return the entries after `index`, at most `limit` of them."""
        first = index - self.base_index
        return self.entries[first:] if limit is None else self.entries[first : first + limit]

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Return the entries after `after`, up to `last`."""
        return self.entries[after - self.base_index : last - self.base_index]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        self.entries.append(entry)

    def replace_from(self, entries: list[LogEntry]) -> None:
        """Put `entries` in place of all from the first one's index on."""
        self.entries[entries[0].index - self.base_index - 1 :] = entries

    def snapshot_at(self, index: int, state: object) -> Snapshot:
        """Return the snapshot that could stand for the log up to `index`."""
        configuration = self._configuration_in(self.entries[: index - self.base_index])
        return Snapshot(index, self.term_of(index), configuration, state)

    def rebase(self, snapshot: Snapshot) -> None:
        """Let the snapshot stand for the log up to its index; what follows stays where it agrees with it."""
        agrees = self.term_of(snapshot.index) == snapshot.term
        self.entries = self.after(snapshot.index) if agrees else []
        self.base_index, self.base_term, self.base_configuration, self.base_state = snapshot

    def load(self, snapshot: Snapshot | None, entries: list[LogEntry]) -> None:
        """Take over what the disk holds: the entries follow the snapshot."""
        self.entries = list(entries)
        if snapshot is not None:
            self.base_index, self.base_term, self.base_configuration, self.base_state = snapshot

    def _configuration_in(self, entries: list[LogEntry]) -> ClusterConfiguration:
        for entry in reversed(entries):
            if entry.kind == CONFIG and isinstance(entry.data, ClusterConfiguration):
                return entry.data
        return self.base_configuration
