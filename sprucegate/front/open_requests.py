"""Open GETs and their forwards, as the front keeps them. Nothing is decided here."""

from sprucegate.upstream.progress import Progress


class OpenAttempt:
    __slots__ = (
        "get",
        "number",
        "cache",
        "source",
        "at",
        "limit",
        "transport",
        "connection",
        "progress",
        "ended",
        "place",
        "said",
        "may_have_run",
        "outcome",
    )

    def __init__(self, get, number, cache, source, at, limit):
        self.get, self.number, self.cache, self.source, self.at, self.limit = (
            get,
            number,
            cache,
            source,
            at,
            limit,
        )
        self.transport, self.connection, self.progress, self.ended = None, None, Progress.NOT_SENT, False
        self.may_have_run = True  # until it ended in a way that proves it did not
        self.outcome = None  # how it ended
        self.said = None  # what a transport needs to word it once it is sent
        self.place = None  # by which its fill may run, where places are shared out


class OpenRequest:
    __slots__ = (
        "client",
        "id",
        "ds",
        "thing",
        "part",
        "have",
        "body",
        "asked",
        "handle",
        "forwards",
        "left_on",
        "answered",
        "tenant",
        "token",
        "until",
        "left_at",
        "story",
    )

    def __init__(self, client, call_id, ds, thing, part, have, body, asked, token=""):
        self.client, self.id, self.ds, self.thing, self.part = client, call_id, ds, thing, part
        self.have, self.body, self.asked = have, body, asked
        self.handle, self.forwards, self.answered, self.tenant = None, {}, False, 0
        self.token = token  # by which servers know a repeat of it; "" where it bears none
        self.until, self.left_at = 0, None  # when its client stops waiting; when it was seen to have gone
        self.story = []  # (time, what happened), for the log where something is wrong
        # Connections on which one of its forwards was given up: a late answer there bears the same id.
        self.left_on = []
