"""What is kept of one connection to a server that speaks lines."""

from collections import deque

from sprucegate.upstream.lines.codec import AnswerReader


class LineConnection:
    """One connection to a place; `open` has the forwards on it that await an answer."""

    __slots__ = (
        "place",
        "sock",
        "reader",
        "task",
        "writing",
        "retry",
        "up",
        "closed",
        "queue",
        "rest",
        "sending",
        "open",
        "used",
        "heard",
        "answered",
        "watched",
        "in_reach",
        "made",
    )

    def __init__(self, place, now):
        self.place, self.sock, self.reader = place, None, AnswerReader()
        self.task, self.up, self.closed = None, False, False
        # What waits to be sent, (bytes, None) or (None, forward), whose line is made when its first byte goes.
        self.queue, self.open, self.used = deque(), {}, now
        self.rest, self.sending = b"", None  # of a line sent in part; its forward
        self.writing, self.retry = (
            False,
            None,
        )  # whether the loop tells when more can be sent; or a timer does
        self.watched = self.in_reach = False
        self.made = 0  # when it came up
        self.heard, self.answered = now, now  # its last byte, and its last whole answer
