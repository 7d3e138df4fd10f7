"""The guard that each forward passes when its first byte is about to leave, on every transport.

What was decided earlier may have waited for a connection, for a stream or behind a peer that reads slowly. Decides
nothing of where a forward goes; what it refuses has not left this front and is told as such.
"""

LOOKED = 1_000_000  # nanoseconds after a decision in which its client is not looked at again


class Sending:
    def __init__(self, count, began=lambda out, now: None):
        """`count` is told the reason of each refusal, `began` each forward whose first byte has left."""
        self.count, self.began = count, began

    def left(self, out, now):
        """Nanoseconds that the client still waits for this forward, or None where it must not be sent any more."""
        get = out.get
        if out.ended or get.answered:
            self.count("sends_refused over")
            return None
        if (left := out.limit - now) <= 0:
            self.count("sends_refused late")
            return None
        # One that was decided just now was looked at then.
        if now - out.at > LOOKED and get.client is not None and get.client.peer_has_closed():
            self.count("sends_refused client_left")
            return None
        return left
