"""A log for events that may come by the thousand: a bounded number of lines a second, the others are counted."""

from collections.abc import Callable


class LimitedLog:
    """Writes at most `lines_per_second` lines between two calls of `start_second`.

    :ivar written: lines in this second, with those that were left out
    """

    def __init__(
        self,
        log: Callable[..., None],
        lines_per_second: int,
        count_left_out: Callable[[], None] = lambda: None,
    ) -> None:
        """`count_left_out` is called for each line that is not written."""
        self.log = log
        self.count_left_out = count_left_out
        self.lines_per_second = lines_per_second
        self.written = 0

    def __call__(self, event: str, **fields: object) -> None:
        """Write a line, or count it."""
        self.written += 1
        if self.written <= self.lines_per_second:
            self.log(event, **fields)
        else:
            self.count_left_out()

    def start_second(self) -> None:
        """Allow the next lines; called once a second."""
        self.written = 0
