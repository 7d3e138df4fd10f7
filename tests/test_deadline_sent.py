"""The wait that a server is told (`max`) is at most what the client has left when the request leaves the front."""

import time

from crossing import SLOW_TO_CONNECT, key, uphill
from helpers import get_text

SLACK = 0.15


def test_a_forward_that_waited_for_its_connection_tells_what_is_left_by_then(tmp_path):
    front, hill, _ = uphill(tmp_path, SLOW_TO_CONNECT)
    with front:
        begun = time.monotonic()
        client = front.connect()
        client.sendall(get_text(key(1), patience=5000))
        time.sleep(1.5)                      # the next SYN comes 3 s after the first
        line = hill.lets().readline().split()
        left = 5 - (time.monotonic() - begun)
        told = int(dict(p.split("=", 1) for p in line[2].decode().split(","))["max"]) / 1000
        assert 1 < left < 4.5 and told <= left + SLACK, (told, left)
