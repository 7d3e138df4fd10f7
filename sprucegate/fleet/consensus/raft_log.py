"""The replicated log in memory: the latest snapshot, and the entries after it."""

from sprucegate.fleet.consensus.log_entry import CONFIG, ClusterConfiguration, LogEntry, Snapshot


class RaftLog:
    """The entries after `base_index`, up to which the log is compacted into a snapshot.

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
        """Return an entry's term, or 0 if the entry is compacted away or doesn't exist."""
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
        """Return the entries after index `after`, up to and including `last`."""
        return self.entries[after - self.base_index : last - self.base_index]

    def append(self, entry: LogEntry) -> None:
        """Append the next entry."""
        self.entries.append(entry)

    def replace_from(self, entries: list[LogEntry]) -> None:
        """Replace all entries from the index of the first of `entries` on by `entries`."""
        self.entries[entries[0].index - self.base_index - 1 :] = entries

    def snapshot_at(self, index: int, state: object) -> Snapshot:
        """Return a snapshot of the log up to `index`; `state` is the state machine's state there."""
        configuration = self._configuration_in(self.entries[: index - self.base_index])
        return Snapshot(index, self.term_of(index), configuration, state)

    def rebase(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot's index by the snapshot; later entries are kept if the log matches it."""
        matches = self.term_of(snapshot.index) == snapshot.term
        self.entries = self.after(snapshot.index) if matches else []
        self.base_index, self.base_term, self.base_configuration, self.base_state = snapshot

    def load(self, snapshot: Snapshot | None, entries: list[LogEntry]) -> None:
        """Load the snapshot and the entries after it from what is stored."""
        self.entries = list(entries)
        if snapshot is not None:
            self.base_index, self.base_term, self.base_configuration, self.base_state = snapshot

    def _configuration_in(self, entries: list[LogEntry]) -> ClusterConfiguration:
        for entry in reversed(entries):
            if entry.kind == CONFIG and isinstance(entry.data, ClusterConfiguration):
                return entry.data
        return self.base_configuration
