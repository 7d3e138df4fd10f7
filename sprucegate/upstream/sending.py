"""The check that each attempt passes on every transport before its first byte is sent.

An attempt may have waited for a connection, for a stream or behind a peer that reads slowly. An attempt refused here
is reported as not sent.
"""

from sprucegate.units import MILLISECOND

CLIENT_CHECK_VALID_NS = MILLISECOND


class Sending:
    """Checks attempts before they are sent.

    `count(name)` counts a refusal by its reason; `began(attempt, now)` is called after the first byte was sent;
    `may_send(attempt, now)` tells whether the decision to send an attempt still holds.
    """

    def __init__(self, count, began=lambda attempt, now: None, may_send=lambda attempt, now: True):
        self.count = count
        self.began = began
        self.may_send = may_send

    def time_left(self, attempt, now):
        """Return the time left for this attempt (ns), or None if it must not be sent any more."""
        get = attempt.request
        if attempt.ended or get.answered:
            self.count("sends_refused over")
            return None
        if (time_left := attempt.deadline - now) <= 0:
            self.count("sends_refused late")
            return None
        # The driver checked the client when it decided this attempt; that result is valid for a short time.
        if (
            now - attempt.decided_at > CLIENT_CHECK_VALID_NS
            and get.client is not None
            and get.client.may_have_left()
        ):
            self.count("sends_refused client_left")
            return None
        if not self.may_send(attempt, now):
            self.count("sends_refused purged")
            return None
        return time_left
