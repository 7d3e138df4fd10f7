"""A front stays within its memory limit, and answers other clients, whatever clients hold back or send."""

import fcntl
import json
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path

import pytest
from helpers import Front, cache, get_text, host

CROWDS_AT_ONCE = 2
CLIENTS = 700  # more than the half of the descriptors that the front gives to clients
SECONDS = 4.0
PATIENCE_S = 1.5
INTERVAL_S = 0.02
LEAST_MB, MIDDLE_MB, MOST_MB = (
    32,
    64,
    192,
)  # the least and the most that the platform's pages name, and one between
SLACK_S = 0.5  # after a client's patience, in which an answer still counts as one
LARGE_BYTES = 240_000  # the largest object
LIMITS = {"cores": 1.0, "sockets": 1024}


@contextmanager
def place_for_a_crowd():
    """Wait until fewer than CROWDS_AT_ONCE tests run a crowd, in all processes of the test run.

    Each crowd takes some three cores; more of them at once starve tests that watch the time.
    """
    names = [Path(tempfile.gettempdir(), f"sprucegate-crowd-{at}") for at in range(CROWDS_AT_ONCE)]
    with ExitStack() as files:
        locks = [files.enter_context(name.open("w")) for name in names]
        while not any(_is_locked(lock) for lock in locks):
            time.sleep(INTERVAL_S)
        yield


def _is_locked(file):
    """Take the lock of a file if nobody has it; it is given back as the file is closed."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


class Misbehaviour:
    """Misbehaving clients of a front, in a process of their own."""

    def __init__(self, front, manner, count, seconds=SECONDS):
        self.seconds = seconds
        command = [sys.executable, "-m", "standins.misbehaving_clients", "--manner", manner]
        address = "{}:{}".format(*front.address)
        command += ["--address", address, "--count", str(count), "--seconds", str(seconds)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def counts(self):
        said, _ = self.process.communicate(timeout=self.seconds + 20)
        return json.loads(said)


def peak_mb(front):
    with open(f"/proc/{front.process.pid}/status") as file:
        (line,) = [line for line in file if line.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


def ask_all_along(front, seconds):
    """One good client that asks all the time, on new connections; return (status or None, seconds) of each GET."""
    found, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        begun = time.monotonic()
        try:
            text = get_text(f"{0xABC0000 + len(found):016x}", extra="Connection: close\r\n")
            found.append((front.ask(text)[0], time.monotonic() - begun))
        except OSError:
            found.append((None, time.monotonic() - begun))
        time.sleep(INTERVAL_S)
    return found


def server(size):
    """A cache whose objects have `size` bytes and were made just now.

    It can't use names that begin with bad, and answers nothing to those that begin with dead.
    """

    def reply(call_id, fields, body):
        if fields["thing"].startswith("dead"):
            return None
        if fields["thing"].startswith("bad"):
            return b"%b crashed - 0\r\n\r\n" % call_id
        made = int(time.time() * 1000)
        return b"%b served etag=t1,made=%d,remark=cached %d\r\n%b\r\n" % (call_id, made, size, b"x" * size)

    return cache(reply)


def misbehave(path, manner, count, memory_mb, size=5, caches=1, **more):
    """Let clients misbehave; return the peak of the front's memory and what the good client saw."""
    hosts = [host(f"s-{at + 11:x}", server(size).address, "std") for at in range(caches)]
    hosts.append(host("s-1f", server(size).address, "origin"))
    with place_for_a_crowd(), Front(path, *hosts, limits={**LIMITS, "memory_mb": memory_mb}, **more) as front:
        front.ask(get_text("f" * 16))
        clients = Misbehaviour(front, manner, count)
        found = ask_all_along(front, SECONDS)
        assert clients.counts()["connections"] >= count
        assert front.process.poll() is None
        return peak_mb(front), found


def check_good_client(found):
    """Each GET of the good client had its final answer in time."""
    assert len(found) > 20
    assert [row for row in found if row[0] not in (200, 503) or row[1] > PATIENCE_S + SLACK_S] == []


@pytest.mark.parametrize("manner, limit_mb", [("many_fields", MOST_MB), ("half_body", MIDDLE_MB)])
def test_memory_limit_holds_when_a_crowd_sends_parts_of_requests(tmp_path, manner, limit_mb):
    """Guards against the kill of a front for memory, seconds after a crowd of slow clients had come (issue 59)."""
    peak, found = misbehave(tmp_path, manner, CLIENTS, limit_mb)
    assert peak <= limit_mb
    check_good_client(found)


def test_memory_limit_holds_when_one_client_sends_trailers_without_end(tmp_path):
    """Guards against memory that grows without end by one connection (issue 59)."""
    peak, found = misbehave(tmp_path, "endless_trailers", 1, MOST_MB)
    assert peak <= MOST_MB
    check_good_client(found)


@pytest.mark.parametrize(
    "manner", ["many_fields", "half_body", "slow_body", "half_body_again", "whole_body", "idle"]
)
def test_the_least_memory_limit_holds_in_a_crowd(tmp_path, manner):
    """Guards against limits of one connection that together are above that of the process (issue 59)."""
    peak, found = misbehave(tmp_path, manner, CLIENTS, LEAST_MB)
    assert peak <= LEAST_MB
    check_good_client(found)


@pytest.mark.parametrize("manner, count", [("large_unread", CLIENTS), ("large_objects", 100)])
def test_the_least_memory_limit_holds_with_large_responses(tmp_path, manner, count):
    """Guards against responses and answers in buffers that are bounded one by one only (issue 59)."""
    peak, found = misbehave(tmp_path, manner, count, LEAST_MB, size=LARGE_BYTES, caches=12)
    assert peak <= LEAST_MB
    check_good_client(found)


@pytest.mark.parametrize(
    "manner", ["new_objects", "new_services", "new_tenants", "unsound_objects", "liveness"]
)
def test_the_least_memory_limit_holds_when_one_client_sends_requests_at_full_speed(tmp_path, manner):
    """Guards against state that is kept for each new name, and against clients that others wait for (issue 59)."""
    peak, found = misbehave(tmp_path, manner, 1, LEAST_MB)
    assert peak <= LEAST_MB
    check_good_client(found)
