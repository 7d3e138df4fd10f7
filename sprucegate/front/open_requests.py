"""Records of open requests and of their attempts."""

from sprucegate.upstream.progress import Progress


class OpenAttempt:
    """One attempt of an open request.

    :ivar request: its OpenRequest
    :ivar number: its number within the request, from 0
    :ivar cache: id of the server that it is sent to
    :ivar source: id of the server from which `cache` fills a miss
    :ivar decided_at: when the router decided it (ns)
    :ivar deadline: when it times out (ns)
    :ivar transport: the transport that sends it
    :ivar connection: the connection that carries it, None before it has one
    :ivar progress: how much of it was sent
    :ivar ended: whether its outcome is known
    :ivar slot: its slot of the quota of concurrent fills, or None
    :ivar send_arguments: the arguments from which the transport encodes it when it is sent
    :ivar may_have_run: True until its outcome proves that it was never executed
    :ivar outcome: its AttemptOutcome, None until it has ended
    """

    __slots__ = (
        "request",
        "number",
        "cache",
        "source",
        "decided_at",
        "deadline",
        "transport",
        "connection",
        "progress",
        "ended",
        "slot",
        "send_arguments",
        "may_have_run",
        "outcome",
    )

    def __init__(self, request, number, cache, source, decided_at, deadline):
        self.request = request
        self.number = number
        self.cache = cache
        self.source = source
        self.decided_at = decided_at
        self.deadline = deadline
        self.transport = None
        self.connection = None
        self.progress = Progress.NOT_SENT
        self.ended = False
        self.may_have_run = True
        self.outcome = None
        self.send_arguments = None
        self.slot = None


class OpenRequest:
    """A request from its admission until nothing more is tracked of it.

    :ivar client: its ClientConnection
    :ivar id: the client's call id
    :ivar ds: name of its delivery service
    :ivar object_key: key of its object, hexadecimal
    :ivar part: number of the slice of the object
    :ivar if_none_match: entity tag of the client's stored response; "" where it has none
    :ivar body: its content
    :ivar buffered: its memory, as counted by BufferedBytes
    :ivar routing_request: the request as an event of the router
    :ivar handle: the router's handle, None before the router has it
    :ivar attempts: its OpenAttempts by number
    :ivar used_connections: connections to which an attempt was assigned; no other attempt uses them, since a late
        response there would carry the same id
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
        "object_key",
        "part",
        "if_none_match",
        "body",
        "buffered",
        "routing_request",
        "handle",
        "attempts",
        "used_connections",
        "answered",
        "tenant",
        "token",
        "client_deadline",
        "client_left_at",
        "trace",
    )

    def __init__(self, client, call_id, ds, object_key, part, if_none_match, body, routing_request, token=""):
        self.client = client
        self.id = call_id
        self.ds = ds
        self.object_key = object_key
        self.part = part
        self.if_none_match = if_none_match
        self.body = body
        self.buffered = 0
        self.routing_request = routing_request
        self.handle = None
        self.attempts = {}
        self.answered = False
        self.tenant = 0
        self.token = token
        self.client_deadline = 0
        self.client_left_at = None
        self.trace = []
        self.used_connections = []
