"""The medians are those of the standard library, to the type and the last digit."""

import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucegate.routing.order_statistics import median, median_low

INTEGERS = st.lists(st.integers(0, 1 << 62), min_size=1, max_size=70)


@given(INTEGERS)
def test_medians_of_integers_are_those_of_the_standard_library(data):
    assert median_low(data) == statistics.median_low(data)
    assert repr(median(data)) == repr(statistics.median(data))


@given(st.lists(st.floats(0, 1e12), min_size=1, max_size=70))
def test_medians_of_floats_are_those_of_the_standard_library(data):
    assert repr(median(data)) == repr(statistics.median(data))


@pytest.mark.parametrize("function", [median, median_low])
def test_there_is_no_median_of_nothing(function):
    with pytest.raises(IndexError):
        function([])
