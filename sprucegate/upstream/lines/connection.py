"""The state of one connection to a server that speaks the line protocol."""

from collections import deque

from sprucegate.upstream.lines.codec import AnswerReader


class LineConnection:
    """One connection to a server.

    :ivar server: its UpstreamServer
    :ivar sock: its socket, None before it was created
    :ivar reader: parses what the server sends
    :ivar connect_task: the task that establishes it
    :ivar up: it is established and not closed
    :ivar closed: it was closed
    :ivar queue: what waits to be sent: (bytes, None), or (None, attempt), which is encoded just before its first byte
    :ivar attempts: the attempts on it that await an answer, by call id
    :ivar last_used: time of the last attempt or answer (ns)
    :ivar unsent: the rest of a line that was sent in part
    :ivar sending: the attempt of that line; None for a cancel
    :ivar writer_registered: whether the event loop calls back when the socket takes more
    :ivar retry_timer: timer of the next try to send, where the socket reports writable and takes nothing
    :ivar stall_check_armed: whether a stall check is scheduled
    :ivar reachable: the failed connect does not show an unreachable server
    :ivar up_since: when it was established (ns)
    :ivar last_read: time of the last bytes from the server (ns)
    :ivar retired: it takes no further attempts, and is closed once its open ones have ended
    :ivar buffered: bytes of an answer that is not read whole, as counted by BufferedBytes
    :ivar paused: it is not read, as there is no room for another answer
    :ivar last_answer: time of the last complete answer (ns)
    """

    __slots__ = (
        "server",
        "sock",
        "reader",
        "connect_task",
        "writer_registered",
        "retry_timer",
        "up",
        "closed",
        "queue",
        "unsent",
        "sending",
        "attempts",
        "last_used",
        "last_read",
        "last_answer",
        "buffered",
        "paused",
        "retired",
        "stall_check_armed",
        "reachable",
        "up_since",
    )

    def __init__(self, server, now):
        self.server = server
        self.sock = None
        self.reader = AnswerReader()
        self.connect_task = None
        self.up = False
        self.closed = False
        self.queue = deque()
        self.attempts = {}
        self.last_used = now
        self.unsent = b""
        self.sending = None
        self.writer_registered = False
        self.retry_timer = None
        self.stall_check_armed = False
        self.reachable = False
        self.up_since = 0
        self.last_read = now
        self.last_answer = now
        self.buffered = 0
        self.paused = False
        self.retired = False
