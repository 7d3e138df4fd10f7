"""Records of open requests and of their attempts."""

from sprucegate.upstream.progress import Progress


class OpenAttempt:
    """One attempt of an open request.

    :ivar get: its request
    :ivar number: its number within the request, from 0
    :ivar cache: id of the server that it is sent to
    :ivar source: id of the server from which `cache` fills a miss
    :ivar at: when it was decided (ns)
    :ivar limit: when it times out (ns)
    :ivar transport: the transport that sends it
    :ivar connection: the connection that carries it, None before it has one
    :ivar progress: how much of it was sent
    :ivar ended: whether its outcome is known
    :ivar place: its slot of the quota of concurrent fills, or None
    :ivar said: the arguments from which the transport encodes it when it is sent
    :ivar may_have_run: True until its outcome proves that it was never executed
    :ivar outcome: its AttemptOutcome, None until it has ended
    """

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
        self.get = get
        self.number = number
        self.cache = cache
        self.source = source
        self.at = at
        self.limit = limit
        self.transport = None
        self.connection = None
        self.progress = Progress.NOT_SENT
        self.ended = False
        self.may_have_run = True
        self.outcome = None
        self.said = None
        self.place = None


class OpenRequest:
    """A request from its admission until nothing more is tracked of it.

    :ivar client: its ClientConnection
    :ivar id: the client's call id
    :ivar ds: name of its delivery service
    :ivar thing: key of its object, hexadecimal
    :ivar part: number of the slice of the object
    :ivar have: entity tag of the client's stored response; "" where it has none
    :ivar body: its content
    :ivar asked: the request as the router's event
    :ivar handle: the router's handle, None before the router has it
    :ivar attempts: its OpenAttempts by number
    :ivar left_on: connections on which an attempt was cancelled: a late response there would carry the same id
    :ivar answered: whether its response was written, or its client has disconnected
    :ivar tenant: index of the tenant whose share of the fills' quota it uses
    :ivar token: idempotency key by which servers recognise a repeat; "" where it has none
    :ivar client_deadline: when its client stops waiting (ns)
    :ivar client_left_at: when its client was found to have disconnected (ns), or None
    :ivar trace: (time, event) pairs, for the log
    """

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
        "attempts",
        "left_on",
        "answered",
        "tenant",
        "token",
        "client_deadline",
        "client_left_at",
        "trace",
    )

    def __init__(self, client, call_id, ds, thing, part, have, body, asked, token=""):
        self.client = client
        self.id = call_id
        self.ds = ds
        self.thing = thing
        self.part = part
        self.have = have
        self.body = body
        self.asked = asked
        self.handle = None
        self.attempts = {}
        self.answered = False
        self.tenant = 0
        self.token = token
        self.client_deadline = 0
        self.client_left_at = None
        self.trace = []
        self.left_on = []
