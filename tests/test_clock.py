"""Ages of the platform's timestamps under a local wall clock that may be wrong from the start."""

import pytest

from sprucegate.clock import PlatformTime

S, HOUR = 1_000_000_000, 3600 * 1_000_000_000
AT, UNIX = 500 * S, 1_700_000_000 * S  # monotonic clock, and the platform's clock at the same time


@pytest.mark.parametrize("wrong", [-HOUR, -3 * S, 0, 3 * S, HOUR])
def test_age_never_exceeds_and_copy_age_never_falls_below_the_true_age(wrong):
    """The wall clock is wrong by a constant from the start, and two servers have reported fresh copies."""
    time = PlatformTime(AT, UNIX + wrong)
    for server in (1, 2):
        time.add_copy_timestamp(UNIX, server, AT)
    purge = UNIX + 2 * S
    time.add_timestamp(purge, AT + 3 * S)  # received one second after the purge
    assert 0 <= time.age(purge, AT + 10 * S) <= 8 * S
    assert time.copy_age(UNIX + S, AT + 10 * S) >= 9 * S


def test_with_a_correct_wall_clock_ages_are_exact_after_a_fresh_copy():
    time = PlatformTime(AT, UNIX)
    time.add_copy_timestamp(UNIX, 1, AT)
    assert time.age(UNIX - 60 * S, AT) == 60 * S and time.copy_age(UNIX - 4 * S, AT) == 4 * S
    assert time.age(UNIX - 60 * S, AT + S) == 61 * S


def test_future_timestamps_of_one_server_do_not_shift_the_clock():
    time = PlatformTime(AT, UNIX)
    for _ in range(3):
        time.add_copy_timestamp(UNIX + HOUR, 1, AT)
    assert time.copy_age(UNIX + HOUR, AT) is None and time.copy_age(UNIX - S, AT) == S
    time.add_copy_timestamp(UNIX + S, 2, AT)  # confirmed by a second server: behind by the smaller lead
    assert time.copy_age(UNIX + S, AT) == 0 and time.age(UNIX, AT) <= S


def test_a_timestamp_days_ahead_is_ignored():
    """A wrong unit or an invented value: if accepted, it would make all purges look old permanently."""
    for absurd in (UNIX * 1000, 10**4000, UNIX + 25 * HOUR):
        time = PlatformTime(AT, UNIX)
        for server in (1, 2):
            time.add_copy_timestamp(absurd, server, AT)
        time.add_timestamp(absurd, AT)
        time.add_timestamp(UNIX, AT)
        assert time.age(UNIX, AT + S) == S and time.copy_age(UNIX - S, AT) == S
        assert time.copy_age(absurd, AT) is None and time.age(absurd, AT) == 0


def test_trusted_timestamps_are_compared_with_each_other_before_the_first_copy():
    time = PlatformTime(AT, UNIX + HOUR)
    for timestamp in (UNIX - 60 * S, UNIX):
        time.add_timestamp(timestamp, AT)
    assert time.age(UNIX - 60 * S, AT) == 60 * S and time.age(UNIX, AT + S) == S
    time.add_timestamp(0, AT)  # 0 means no timestamp
    assert time.age(UNIX, AT + S) == S
