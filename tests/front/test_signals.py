"""Signals that come while a front ends don't change how it ends."""

import signal
import sys
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


# Counts how often a signal that ends a process gets its default effect while the front runs and ends.
COUNTED = """
import atexit, json, runpy, signal, sys

ENDING = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
defaults, set_handler = [], signal.signal


def counted(number, handler):
    if number in ENDING and handler in (signal.SIG_DFL, signal.default_int_handler):
        defaults.append(number)
    return set_handler(number, handler)


signal.signal = counted
atexit.register(lambda: print(json.dumps({"event": "defaults", "count": len(defaults)}), flush=True))
sys.argv = ["sprucegate", *sys.argv[1:]]
runpy.run_module("sprucegate", run_name="__main__")
"""


@pytest.mark.parametrize("kdl", [None, ""], ids=["platform", "operators-file"])
def test_no_signal_that_ends_a_process_has_its_default_effect_for_a_moment(tmp_path, kdl):
    """Guards against a signal that another thread of the process takes just then, and that ends it like a crash."""
    front, _, _ = two(tmp_path, kdl=kdl)
    with front:
        front.process.kill()
        front.process.wait()
        front.command = [sys.executable, "-c", COUNTED, *front.command[4:]]
        front.restart()
        front.process.send_signal(signal.SIGTERM)
        assert front.until("defaults")["count"] == 0
        assert front.process.wait(5) == 0
