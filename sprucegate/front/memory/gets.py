"""Open GETs and their forwards, as the front keeps them. Nothing is decided here."""

from enum import IntEnum


class Progress(IntEnum):
    """How far a forward had come: it tells 'never ran' from 'may have run'."""

    NOT_SENT = 0
    PARTLY = 1
    WHOLE = 2


class OpenForward:
    __slots__ = ("get", "number", "at", "limit", "transport", "connection", "progress", "ended")

    def __init__(self, get, number, at, limit):
        self.get, self.number, self.at, self.limit = get, number, at, limit
        self.transport, self.connection, self.progress, self.ended = None, None, Progress.NOT_SENT, False


class OpenGet:
    __slots__ = ("client", "id", "ds", "thing", "part", "have", "body", "asked", "handle", "forwards",
                 "left_on", "answered")

    def __init__(self, client, call_id, ds, thing, part, have, body, asked):
        self.client, self.id, self.ds, self.thing, self.part = client, call_id, ds, thing, part
        self.have, self.body, self.asked = have, body, asked
        self.handle, self.forwards, self.answered = None, {}, False
        # Connections on which one of its forwards was given up: a late answer there bears the same id.
        self.left_on = []
