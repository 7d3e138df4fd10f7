"""A front that ends amid a crowd keeps within its descriptors, answers what it took, and ends in time."""

import os
import signal
import threading
import time

from helpers import REAL, Front, get_text, host
from test_memory_limit import Misbehaviour, place_for_a_crowd, server

SOCKETS = 64
CROWD = 300
KILL_AFTER_S = 3.7  # the earliest SIGKILL after SIGTERM


def test_a_front_that_ends_amid_a_crowd_keeps_within_its_descriptors(tmp_path):
    """Guards against all connections of the accept queue taken on at once at the end (issue 59)."""
    hosts = [host("s-0b", server(5).address, "std"), host("s-1f", server(5).address, "origin")]
    limits = {**REAL["limits"], "sockets": SOCKETS}
    with place_for_a_crowd(), Front(tmp_path, *hosts, limits=limits) as front:
        crowd = Misbehaviour(front, "idle", CROWD, seconds=6)
        time.sleep(1.0)
        front.process.send_signal(signal.SIGTERM)
        begun, most = time.monotonic(), 0
        answers = []
        asking = threading.Thread(target=lambda: answers.append(front.ask(get_text())[0]))
        asking.start()
        while front.process.poll() is None and time.monotonic() - begun < KILL_AFTER_S:
            try:
                most = max(most, len(os.listdir(f"/proc/{front.process.pid}/fd")))
            except OSError:
                break  # it has just ended
            time.sleep(0.005)
        assert front.process.wait(1) == 0 and time.monotonic() - begun < KILL_AFTER_S
        asking.join(5)
        assert most <= SOCKETS and answers == [200]
        crowd.counts()
