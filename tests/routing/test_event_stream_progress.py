"""Unit tests of what a front concludes from when a stream of the event bus was heard."""

import pytest
from helpers import NOW

from sprucegate.routing.event_stream_progress import (
    CATCH_UP_TIME_NS,
    SILENCE_MAX_NS,
    SILENT_STREAM_KEPT_NS,
    EventStreamProgress,
)


def heard_progress(*times):
    progress = EventStreamProgress(NOW)
    for at in times:
        progress.on_heard(NOW + at)
    return progress


@pytest.mark.parametrize(
    "times, caught_up",
    [
        ((), False),
        ((5,), False),  # a comment may precede the events that were missed
        ((5, 4 + CATCH_UP_TIME_NS), False),
        ((5, 5 + CATCH_UP_TIME_NS), True),
        ((5, 5 + CATCH_UP_TIME_NS, 6 + CATCH_UP_TIME_NS), True),
    ],
)
def test_a_stream_has_caught_up_a_time_after_it_was_first_heard(times, caught_up):
    assert heard_progress(*times).has_caught_up() is caught_up


@pytest.mark.parametrize("age, caught_up", [(CATCH_UP_TIME_NS, True), (CATCH_UP_TIME_NS + 1, False)])
def test_after_an_old_purge_a_stream_has_to_catch_up_again(age, caught_up):
    progress = heard_progress(0, 2 * CATCH_UP_TIME_NS)
    progress.on_purge(age, NOW + 2 * CATCH_UP_TIME_NS)
    assert progress.has_caught_up() is caught_up
    progress.on_heard(NOW + 3 * CATCH_UP_TIME_NS)
    assert progress.has_caught_up()


def test_a_stream_is_silent_and_given_up_by_when_it_was_last_heard():
    assert EventStreamProgress(NOW).silent_at() == NOW + SILENCE_MAX_NS
    progress = heard_progress(7)
    assert progress.silent_at() == NOW + 7 + SILENCE_MAX_NS
    assert progress.may_go_on(NOW + 7 + SILENT_STREAM_KEPT_NS)
    assert not progress.may_go_on(NOW + 8 + SILENT_STREAM_KEPT_NS)
