"""Ages of what the platform stamps, by a wall clock that may be wrong from the start."""

import pytest

from sprucegate.clock import PlatformTime

S, HOUR = 1_000_000_000, 3600 * 1_000_000_000
AT, UNIX = 500 * S, 1_700_000_000 * S  # the own clock, and the platform's at that time


@pytest.mark.parametrize("wrong", [-HOUR, -3 * S, 0, 3 * S, HOUR])
def test_no_age_is_more_than_the_true_one_and_no_copy_younger_than_it_is(wrong):
    """By a wall clock that is wrong by so much since before the start, once two servers have told of fresh copies."""
    time = PlatformTime(AT, UNIX + wrong)
    for server in (1, 2):
        time.copy_stamped(UNIX, server, AT)
    purge = UNIX + 2 * S
    time.stamped(purge, AT + 3 * S)  # told a second after it was made
    assert 0 <= time.age(purge, AT + 10 * S) <= 8 * S
    assert time.copy_age(UNIX + S, AT + 10 * S) >= 9 * S


def test_where_the_wall_clock_is_right_ages_are_exact_once_a_fresh_copy_has_come():
    time = PlatformTime(AT, UNIX)
    time.copy_stamped(UNIX, 1, AT)
    assert time.age(UNIX - 60 * S, AT) == 60 * S and time.copy_age(UNIX - 4 * S, AT) == 4 * S
    assert time.age(UNIX - 60 * S, AT + S) == 61 * S


def test_one_server_that_stamps_the_future_moves_nothing():
    time = PlatformTime(AT, UNIX)
    for _ in range(3):
        time.copy_stamped(UNIX + HOUR, 1, AT)
    assert time.copy_age(UNIX + HOUR, AT) is None and time.copy_age(UNIX - S, AT) == S
    time.copy_stamped(UNIX + S, 2, AT)  # a second one: it is as far behind as both say
    assert time.copy_age(UNIX + S, AT) == 0 and time.age(UNIX, AT) <= S


def test_a_stamp_from_days_ahead_is_no_stamp():
    """Nanoseconds for milliseconds, or made up: believed, it would make all purges old for good."""
    for absurd in (UNIX * 1000, 10**4000, UNIX + 25 * HOUR):
        time = PlatformTime(AT, UNIX)
        for server in (1, 2):
            time.copy_stamped(absurd, server, AT)
        time.stamped(absurd, AT)
        time.stamped(UNIX, AT)
        assert time.age(UNIX, AT + S) == S and time.copy_age(UNIX - S, AT) == S
        assert time.copy_age(absurd, AT) is None and time.age(absurd, AT) == 0


def test_stamps_are_held_against_each_other_before_any_copy_has_come():
    time = PlatformTime(AT, UNIX + HOUR)
    for stamp in (UNIX - 60 * S, UNIX):
        time.stamped(stamp, AT)
    assert time.age(UNIX - 60 * S, AT) == 60 * S and time.age(UNIX, AT + S) == S
    time.stamped(0, AT)  # none
    assert time.age(UNIX, AT + S) == S
