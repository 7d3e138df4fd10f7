"""The open client connections, grouped by what may be closed to make room, each group with the oldest first."""

from itertools import islice

from sprucegate.front.client_connections import ConnectionState

UNPROVEN_WEIGHT = 2  # of a place on which no request was read whole yet


class ClientTable:
    """Groups of client connections; each connection is in one of them.

    A connection calls `update` whenever its state changes, and its reader's owner whenever a request has begun.

    :ivar unused: no request was begun yet
    :ivar idle: the response to the last request is written, and no other one was begun
    :ivar first_request: a part of the first request was read
    :ivar next_request: a part of a later request was read
    :ivar in_progress: a request was read whole, and its response is not known yet
    :ivar writing: a response is not written whole
    :ivar half_closed: this side was shut down
    """

    def __init__(self):
        self.unused = {}
        self.idle = {}
        self.first_request = {}
        self.next_request = {}
        self.in_progress = {}
        self.writing = {}
        self.half_closed = {}
        self._group_of = {}  # client -> its group, in the order of their acceptance

    def __len__(self):
        """Return the number of open connections."""
        return len(self._group_of)

    def __iter__(self):
        """Iterate over the open connections in the order of their acceptance; they may be closed meanwhile."""
        return iter(list(self._group_of))

    def update(self, client):
        """Move a connection to the group of its present state, where it becomes the last one."""
        group = self._find_group(client)
        former = self._group_of.get(client)
        if group is former:
            return
        if former is not None:
            del former[client]
        if group is None:
            del self._group_of[client]
        else:
            group[client] = None
            self._group_of[client] = group

    def _find_group(self, client):
        match client.state:
            case ConnectionState.IDLE if client.reader.request_started:
                return self.next_request if client.has_sent_request else self.first_request
            case ConnectionState.IDLE:
                return self.idle if client.has_sent_request else self.unused
            case ConnectionState.REQUEST_IN_PROGRESS:
                return self.in_progress
            case ConnectionState.WRITING_RESPONSE:
                return self.writing
            case ConnectionState.HALF_CLOSED:
                return self.half_closed
        return None

    def next_to_close(self):
        """Return the connection to close first to make room for a new one, or None if responses are due on all.

        Half-closed ones go first. Then the oldest one of the group that takes the most places, so that no kind of
        client crowds out the others. Where no request was read whole yet a place counts twice: good clients hold two
        thirds of the places at most, so a larger crowd is one that asks for nothing.
        """
        if self.half_closed:
            return next(iter(self.half_closed))
        group = max(
            (self.first_request, self.unused, self.next_request, self.idle),
            key=lambda group: len(group) * self._weight(group),
        )
        return next(iter(group), None)

    def _weight(self, group):
        return UNPROVEN_WEIGHT if group is self.unused or group is self.first_request else 1

    def next_to_free(self, count):
        """Return the `count` connections to close first to free memory, fewer where there are fewer.

        Nothing was taken on by a partly read request. A response that its client does not take ends cut short, and its
        length tells the client.
        """
        group = max(self.first_request, self.next_request, key=len) or self.writing
        return list(islice(group, count))
