"""Ids of requests that must not come again: they may have run, or a late answer may still carry their id."""

CALL_IDS_MAX = 4096


class CallIdHistory:
    """A bounded set of call ids; the oldest is forgotten first."""

    def __init__(self) -> None:
        self._ids: dict[bytes, None] = {}

    def add(self, call_id: bytes) -> None:
        """Add an id."""
        self._ids[call_id] = None
        if len(self._ids) > CALL_IDS_MAX:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, call_id: bytes) -> bool:
        """Return whether the id was added and not forgotten since."""
        return call_id in self._ids
