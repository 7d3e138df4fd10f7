"""The races of docs/design-crossings.md that depend on socket behaviour of the system, and signals during the start."""

import ctypes
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from crossing import (
    LIVE,
    NEVER_CANCELS,
    SLOW_TO_CONNECT,
    answer_of,
    goes_on,
    held,
    key,
    not_started,
    second,
    stopped,
    two,
    until_open,
    uphill,
)
from helpers import REAL, Front, StandIn, cache, get_text, host, served

LARGE = 240_000
PIDFD_GETFD = 438  # number of pidfd_getfd(2), for which Python has no function


def large(call_id, *_):
    return served(call_id, {}, b"x" * LARGE)


def not_reading(front):
    """Connect a client that reads nothing.

    Small segments keep the send buffer of the front small too, so that a large response has to wait.
    """
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 500)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.settimeout(10)
    sock.connect(front.address)
    return sock


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def sockets_of(front):
    """Duplicate the front's sockets by pidfd_getfd, so that their options can be read here."""
    libc, at, found = ctypes.CDLL(None, use_errno=True), os.pidfd_open(front.process.pid), []
    for number in sorted(map(int, os.listdir(f"/proc/{front.process.pid}/fd"))):
        if os.readlink(f"/proc/{front.process.pid}/fd/{number}").startswith("socket:"):
            ours = libc.syscall(PIDFD_GETFD, at, number, 0)
            assert ours >= 0, os.strerror(ctypes.get_errno())
            found.append((number, socket.socket(fileno=ours)))
    os.close(at)
    return found


def descriptor_of(front, client):
    """Return the front's descriptor number of a client."""
    for number, sock in sockets_of(front):
        with sock:
            try:
                if sock.getpeername() == client.getsockname():
                    return number
            except OSError:
                pass  # the listener, or a socket of another kind
    raise AssertionError("the front has no such client")


# Start and shutdown.


@pytest.mark.parametrize(
    "moment", ["run.Driver.on_discovery_event", "run.Subscription.start", "run.ConnectionReader.listen"]
)
def test_a_signal_during_the_start_takes_effect_at_its_end(tmp_path, moment):
    front = not_started(tmp_path)
    code = f"""
import os, signal, sys
from sprucegate.__main__ import main
from sprucegate.assembly import run
before = {moment}
def signalled(*given):
    os.kill(os.getpid(), signal.SIGTERM)
    return before(*given)
{moment} = signalled
sys.exit(main())"""
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=20,
        env={**os.environ, "BALANCER_CONFIG": str(front.file)},
    )
    assert (done.returncode, done.stderr) == (0, "")
    assert '"stopped"' in done.stdout.splitlines()[-1]
    # Before the listener is open no connection was accepted, so the front exits without waiting.
    assert ('"ready"' in done.stdout) is (moment != "run.Driver.on_discovery_event")


def test_requests_read_but_not_dispatched_when_the_drain_checks_are_served(tmp_path):
    """Read in one loop iteration, dispatched three per iteration, they are in `pending_requests` during the check."""
    front, cache_server, _ = two(tmp_path)
    with front:
        rest = [front.connect() for _ in range(60)]
        assert [front.ask(LIVE, sock)[0] for sock in rest] == [200] * 60
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        stopped(front)
        begun = time.monotonic()
        for at, sock in enumerate(rest):
            sock.sendall(get_text(key(at)))
        while time.monotonic() < begun + 0.8:
            pass  # the drain check runs first when the front continues
        goes_on(front)
        assert [answer_of(sock)[:12] for sock in rest] == [b"HTTP/1.1 200"] * 60
        assert front.process.wait(10) == 0


def test_a_response_being_written_at_sigterm_is_written_completely(tmp_path):
    front, _, _ = two(
        tmp_path, large, settings=SLOW_TO_CONNECT
    )  # its viewer timeouts leave 8 s for the shutdown
    with front:
        sock = not_reading(front)
        sock.sendall(get_text())
        second(front, lambda line: line.get("gets_returned"))
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        for _ in range(2):  # beyond the 0.7 s for accepting: only the response delays the exit
            front.until("second")
        assert front.process.poll() is None
        response = answer_of(sock)
        assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"x" * LARGE)
        assert front.process.wait(10) == 0


# Clients.


def test_a_reset_during_a_pending_write_does_not_send_its_bytes_to_the_next_client(tmp_path):
    """The write is cancelled before the socket is closed and its descriptor may be assigned to another connection."""
    front, _, _ = two(tmp_path, large)
    reused = []
    with front:
        for at in range(5):
            sock = not_reading(front)
            sock.sendall(get_text(key(2 * at)).replace(b"7f3a", b"%04x" % at))
            second(front, lambda line: line.get("gets_returned"))
            descriptor = descriptor_of(front, sock)
            stopped(front)
            reset(sock)
            new = front.connect()  # both in one iteration of the event loop
            new.sendall(LIVE)
            goes_on(front)
            status, _, body = front.ask(b"", new)
            assert (status, body) == (200, b"\n")
            reused.append(descriptor_of(front, new) == descriptor)
            new.settimeout(0.2)
            with pytest.raises(TimeoutError):
                new.recv(1)
            new.close()
        assert any(reused)  # otherwise the test proves nothing
        assert "faults" not in front.until("second")


def test_descriptors_reused_in_one_loop_iteration_serve_their_new_clients(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        old = [front.connect() for _ in range(20)]
        assert [front.ask(get_text(key(at)), sock)[0] for at, sock in enumerate(old)] == [200] * 20
        stopped(front)
        for sock in old[::2]:
            reset(sock)
        new = [front.connect() for _ in range(20)]
        for at, sock in enumerate([*old[1::2], *new]):
            sock.sendall(get_text(key(100 + at)))
        goes_on(front)
        assert [front.ask(b"", sock)[0] for sock in [*old[1::2], *new]] == [200] * 30
        assert "faults" not in front.until("second")


def peers_without_delay(front):
    """Return the peers' ports of a front's connections; asserts that each connection has TCP_NODELAY."""
    peers = set()
    for _, sock in sockets_of(front):
        with sock:
            if sock.family != socket.AF_INET or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                continue
            try:
                peers.add(sock.getpeername()[1])
            except OSError:
                continue  # not yet connected
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), sock
    return peers


def test_all_sockets_of_a_front_have_tcp_nodelay(tmp_path):
    """For clients, caches and the subscription: bytes delayed by the kernel are lost if the peer closes meanwhile."""
    front, _, _ = two(tmp_path)
    with front:
        client = front.connect()
        assert front.ask(get_text(), client)[0] == 200
        hosts = front.config["known"]["batch"][0]["topology"]["hosts"]
        cache_server, origin_server = (int(one["dial"].rpartition(":")[2]) for one in hosts)
        wanted = {
            client.getsockname()[1],
            cache_server,
            origin_server,
            int(front.config["bus"].rpartition(":")[2]),
        }
        for _ in range(2000):  # the subscription may be reconnecting after its read time-out
            wanted -= peers_without_delay(front)
            if not wanted:
                return
        raise AssertionError(f"no connection to {wanted}")


# Servers.


def resetting_cache(go, answers=True):
    """A cache that resets the connection of its first request, answered or not, after `go`; others are served."""
    first = []

    def talk(self, sock):
        file = sock.makefile("rb")
        while words := file.readline().split():
            if words[0] != b"serve":
                continue
            file.read(int(words[3]) + 2)
            self.heard.put((words[1], len(first)))
            is_first = not first
            first.append(sock)
            if not is_first or answers:
                sock.sendall(served(words[1], {}))
            if is_first:
                go.wait(10)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                file.close()
                return

    return StandIn(talk)


def test_a_reset_long_after_an_answer_does_not_fail_the_next_request(tmp_path):
    go = threading.Event()
    cache_server, origin_server = resetting_cache(go), cache(served)
    front = Front(
        tmp_path, host("s-0b", cache_server.address, "std"), host("s-1f", origin_server.address, "origin")
    )
    with front:
        assert front.ask(get_text(key(1)))[0] == 200
        front.until("second")
        stopped(front)  # the reset and the request are in the kernel at the same time
        go.set()
        sock = front.connect()
        sock.sendall(get_text(key(2)))
        goes_on(front)
        assert front.ask(b"", sock)[0] == 200
        assert [cache_server.heard.get(timeout=5)[0] for _ in range(2)] == [key(1).encode(), key(2).encode()]
        assert (
            origin_server.heard.empty()
        )  # the second one was served by the cache too, on another connection


@pytest.mark.parametrize("ds, status", [("media", 200), ("order", 502)])
def test_a_reset_long_after_a_request_was_written_ends_it_as_one_that_may_have_run(tmp_path, ds, status):
    go = threading.Event()
    resetting, good = resetting_cache(go, answers=False), cache(served)
    # The resetting server is the one that gets this request first: a GET goes to the cache, a PUT to the origin.
    cache_server, origin_server = (resetting, good) if ds == "media" else (good, resetting)
    front = Front(
        tmp_path, host("s-0b", cache_server.address, "std"), host("s-1f", origin_server.address, "origin")
    )
    with front:
        sock = front.connect()
        sock.sendall(get_text(key(0xF), ds=ds, method="PUT" if ds == "order" else "GET", patience=8000))
        assert resetting.heard.get(timeout=5)[0] == key(0xF).encode()
        for _ in range(2):
            front.until("second")
        go.set()
        assert front.ask(b"", sock)[0] == status
        assert [heard[0] for heard in resetting.heard.queue] == [key(0xF).encode()] * (
            ds == "media"
        )  # retried
        assert b"serve" not in [words[0] for words in good.heard.queue]


def test_a_new_cache_at_the_address_of_a_removed_one_gets_its_own_connections(tmp_path):
    go = threading.Event()
    cache_server, origin_server = cache(held(go)), cache(served)
    front = Front(
        tmp_path, host("s-0b", cache_server.address, "std"), host("s-1f", origin_server.address, "origin")
    )
    with front:
        old, new = front.connect(), front.connect()
        old.sendall(get_text(key(1), patience=8000))
        assert cache_server.heard.get(timeout=5)[1] == key(1).encode()
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [
                        host("s-0b", cache_server.address, "std", "removed"),
                        host("s-0c", cache_server.address, "std"),
                    ],
                },
            }
        )
        front.until("told")
        new.sendall(get_text(key(2), patience=8000).replace(b"7f3a", b"aaaa"))
        assert (
            cache_server.heard.get(timeout=5)[1] == key(2).encode()
        )  # although the first connection has had no answer
        go.set()
        assert [front.ask(b"", sock)[0] for sock in (old, new)] == [200, 200]
        assert (
            cache_server.heard.get(timeout=5)[0] == b"end"
        )  # the removed cache's connection is closed after its last answer
        assert front.ask(get_text(key(3)).replace(b"7f3a", b"bbbb"), new)[0] == 200


# The final response.


@pytest.mark.parametrize("settings", [SLOW_TO_CONNECT, NEVER_CANCELS])
def test_an_attempt_that_waits_for_a_connection_when_its_request_is_given_up_is_never_sent(
    tmp_path, settings
):
    front, slow_server, _ = uphill(tmp_path, settings)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=1500))
        until_open(front, 1)
        assert front.ask(b"", sock)[0] == 503
        sent = slow_server.lets()
        for _ in range(2):  # time in which something would be sent on the established connection
            front.until("second")
        front.process.kill()
        assert sent.read() == b""


def test_a_client_that_sends_slowly_is_waited_for_despite_short_viewer_timeouts(tmp_path):
    """A request's time counts from its last byte; the pieces of this one are further apart than its viewer timeout."""
    front, _, _ = two(tmp_path)
    front.configure(
        settings={
            **REAL["settings"],
            "categories": [{**one, "deadline": 900_000} for one in REAL["settings"]["categories"]],
        }
    )
    front.process.kill()
    front.process.wait()
    front.restart()
    with front:
        sock, text = front.connect(), get_text(patience=900)
        sock.sendall(text[:30])
        front.until("second")  # the first line may already be due
        front.until("second")
        sock.sendall(text[30:])
        assert front.ask(b"", sock)[0] == 200
