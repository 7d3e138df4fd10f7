"""Signals that come while a front ends don't change how it ends."""

import signal
import time

import pytest
from crossing import two

SERIES_INTERVAL_S = 0.001
END_S = 5.0


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("kdl", [None, ""], ids=["platform", "operators-file"])
def test_a_series_of_signals_up_to_the_end_leaves_the_exit_status_as_it_is(tmp_path, number, kdl):
    """Guards against a front that looks crashed since a second signal found it in its last moments (issue 59)."""
    front, _, _ = two(tmp_path, kdl=kdl)
    with front:
        front.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + END_S
        while front.process.poll() is None and time.monotonic() < end:
            front.process.send_signal(number)
            time.sleep(SERIES_INTERVAL_S)
        assert front.process.wait(1) == 0
