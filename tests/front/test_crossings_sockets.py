"""The rows of docs/design-crossings.md that rest on what the system does with sockets, and the ends of a start."""

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
PIDFD_GETFD = 438  # pidfd_getfd(2), for which Python has no call of its own


def large(call_id, *_):
    return served(call_id, {}, b"x" * LARGE)


def deaf(front):
    """A client that reads nothing. By small segments the front's send buffer stays small too: a large answer waits."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 500)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.settimeout(10)
    sock.connect(front.address)
    return sock


def resets(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def sockets_of(front):
    """The front's own sockets, by pidfd_getfd: what is set on them can be asked for from here."""
    libc, at, found = ctypes.CDLL(None, use_errno=True), os.pidfd_open(front.process.pid), []
    for number in sorted(map(int, os.listdir(f"/proc/{front.process.pid}/fd"))):
        if os.readlink(f"/proc/{front.process.pid}/fd/{number}").startswith("socket:"):
            ours = libc.syscall(PIDFD_GETFD, at, number, 0)
            assert ours >= 0, os.strerror(ctypes.get_errno())
            found.append((number, socket.socket(fileno=ours)))
    os.close(at)
    return found


def number_of(front, client):
    """The front's own descriptor of a client."""
    for number, sock in sockets_of(front):
        with sock:
            try:
                if sock.getpeername() == client.getsockname():
                    return number
            except OSError:
                pass  # the listener, or one of another kind
    raise AssertionError("it has no such client")


# The start and the end.


@pytest.mark.parametrize(
    "moment", ["run.Driver.on_discovery_event", "run.Subscription.start", "run.ConnectionReader.listen"]
)
def test_a_signal_between_the_loops_handlers_and_ready_is_kept_for_the_end_of_the_start(tmp_path, moment):
    front = not_started(tmp_path)
    signals_itself = f"""
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
        [sys.executable, "-c", signals_itself],
        capture_output=True,
        text=True,
        timeout=20,
        env={**os.environ, "BALANCER_CONFIG": str(front.file)},
    )
    assert (done.returncode, done.stderr) == (0, "")
    assert '"stopped"' in done.stdout.splitlines()[-1]
    # Before the listener stands nobody was let in, and nothing is waited for.
    assert ('"ready"' in done.stdout) is (moment != "run.Driver.on_discovery_event")


def test_requests_read_and_not_yet_begun_when_the_end_looks_round_are_served(tmp_path):
    """Read in one turn and begun three a turn, they stand in `whole` while the end asks what still goes on."""
    front, box, _ = two(tmp_path)
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
            pass  # the end has its turn first when it goes on
        goes_on(front)
        assert [answer_of(sock)[:12] for sock in rest] == [b"HTTP/1.1 200"] * 60
        assert front.process.wait(10) == 0


def test_an_answer_still_being_written_at_the_end_is_written_whole(tmp_path):
    front, _, _ = two(tmp_path, large, settings=SLOW_TO_CONNECT)  # its viewer timeouts leave 8 s for the end
    with front:
        sock = deaf(front)
        sock.sendall(get_text())
        second(front, lambda said: said.get("gets_returned"))
        front.process.send_signal(signal.SIGTERM)
        front.until("stopping")
        for _ in range(2):  # past the 0.7 s: only the answer keeps it
            front.until("second")
        assert front.process.poll() is None
        said = answer_of(sock)
        assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"x" * LARGE)
        assert front.process.wait(10) == 0


# Clients.


def test_a_client_that_resets_under_a_pending_write_leaves_its_number_to_the_next(tmp_path):
    """The write ends before the socket is closed, and its number is free: none of its bytes goes to who comes next."""
    front, _, _ = two(tmp_path, large)
    reused = []
    with front:
        for at in range(5):
            sock = deaf(front)
            sock.sendall(get_text(key(2 * at)).replace(b"7f3a", b"%04x" % at))
            second(front, lambda said: said.get("gets_returned"))
            mine = number_of(front, sock)
            stopped(front)
            resets(sock)
            new = front.connect()  # both stand in one round of events
            new.sendall(LIVE)
            goes_on(front)
            status, _, body = front.ask(b"", new)
            assert (status, body) == (200, b"\n")
            reused.append(number_of(front, new) == mine)
            new.settimeout(0.2)
            with pytest.raises(TimeoutError):
                new.recv(1)
            new.close()
        assert any(reused)  # or nothing was shown
        assert "faults" not in front.until("second")


def test_descriptors_that_are_used_again_in_one_round_of_events_serve_their_new_clients(tmp_path):
    front, _, _ = two(tmp_path)
    with front:
        old = [front.connect() for _ in range(20)]
        assert [front.ask(get_text(key(at)), sock)[0] for at, sock in enumerate(old)] == [200] * 20
        stopped(front)
        for sock in old[::2]:
            resets(sock)
        new = [front.connect() for _ in range(20)]
        for at, sock in enumerate([*old[1::2], *new]):
            sock.sendall(get_text(key(100 + at)))
        goes_on(front)
        assert [front.ask(b"", sock)[0] for sock in [*old[1::2], *new]] == [200] * 30
        assert "faults" not in front.until("second")


def without_delay(front):
    """Ports of the other sides of a front's connections, each of which is seen to send at once."""
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


def test_no_socket_of_a_front_holds_small_writes_back(tmp_path):
    """Those of clients, caches and the watch: what the system holds back goes with a close that crosses it."""
    front, _, _ = two(tmp_path)
    with front:
        client = front.connect()
        assert front.ask(get_text(), client)[0] == 200
        hosts = front.config["known"]["batch"][0]["topology"]["hosts"]
        box, root = (int(one["dial"].rpartition(":")[2]) for one in hosts)
        wanted = {client.getsockname()[1], box, root, int(front.config["bus"].rpartition(":")[2])}
        for _ in range(2000):  # the watch, left as silent, may just be on its way again
            wanted -= without_delay(front)
            if not wanted:
                return
        raise AssertionError(f"no connection to {wanted}")


# Servers.


def one_that_resets(go, answers=True):
    """A cache that resets the connection of its first GET, answered or not, once it is let go; all others serve on."""
    first = []

    def talk(self, sock):
        file = sock.makefile("rb")
        while words := file.readline().split():
            if words[0] != b"serve":
                continue
            file.read(int(words[3]) + 2)
            self.heard.put((words[1], len(first)))
            mine = not first
            first.append(sock)
            if not mine or answers:
                sock.sendall(served(words[1], {}))
            if mine:
                go.wait(10)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                file.close()
                return

    return StandIn(talk)


def test_a_reset_long_after_its_answer_costs_no_get(tmp_path):
    go = threading.Event()
    box, root = one_that_resets(go), cache(served)
    front = Front(tmp_path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"))
    with front:
        assert front.ask(get_text(key(1)))[0] == 200
        front.until("second")
        stopped(front)  # reset and GET stand in the kernel at once
        go.set()
        sock = front.connect()
        sock.sendall(get_text(key(2)))
        goes_on(front)
        assert front.ask(b"", sock)[0] == 200
        assert [box.heard.get(timeout=5)[0] for _ in range(2)] == [key(1).encode(), key(2).encode()]
        assert root.heard.empty()  # that one too came from the cache, on another connection


@pytest.mark.parametrize("ds, status", [("media", 200), ("order", 502)])
def test_a_reset_long_after_a_request_was_written_ends_it_as_one_that_may_have_run(tmp_path, ds, status):
    go = threading.Event()
    resetting, good = one_that_resets(go, answers=False), cache(served)
    # The one that resets is where this GET goes at first: a read to the cache, a write to the origin.
    box, root = (resetting, good) if ds == "media" else (good, resetting)
    front = Front(tmp_path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"))
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
        )  # sent again
        assert b"serve" not in [words[0] for words in good.heard.queue]


def test_a_new_cache_at_the_address_of_one_that_has_gone_has_connections_of_its_own(tmp_path):
    go = threading.Event()
    box, root = cache(held(go)), cache(served)
    front = Front(tmp_path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"))
    with front:
        old, new = front.connect(), front.connect()
        old.sendall(get_text(key(1), patience=8000))
        assert box.heard.get(timeout=5)[1] == key(1).encode()
        front.tells.put(
            {
                "offset": 2,
                "topology": {
                    "seq": 2,
                    "whole": False,
                    "hosts": [host("s-0b", box.address, "std", "removed"), host("s-0c", box.address, "std")],
                },
            }
        )
        front.until("told")
        new.sendall(get_text(key(2), patience=8000).replace(b"7f3a", b"aaaa"))
        assert box.heard.get(timeout=5)[1] == key(2).encode()  # though nothing is answered on the first one
        go.set()
        assert [front.ask(b"", sock)[0] for sock in (old, new)] == [200, 200]
        assert box.heard.get(timeout=5)[0] == b"end"  # the old one's connection goes with its last answer
        assert front.ask(get_text(key(3)).replace(b"7f3a", b"bbbb"), new)[0] == 200


# The final answer.


@pytest.mark.parametrize("settings", [SLOW_TO_CONNECT, NEVER_CANCELS])
def test_what_waits_for_a_connection_when_its_get_is_given_up_is_never_sent(tmp_path, settings):
    front, hill, _ = uphill(tmp_path, settings)
    with front:
        sock = front.connect()
        sock.sendall(get_text(patience=1500))
        until_open(front, 1)
        assert front.ask(b"", sock)[0] == 503
        sent = hill.lets()
        for _ in range(2):  # in which a connection that is up is written to
            front.until("second")
        front.process.kill()
        assert sent.read() == b""


def test_a_client_that_writes_slowly_is_waited_for_where_viewer_timeouts_are_short(tmp_path):
    """A request's time is counted from its last byte; this one's pieces come further apart than its viewer timeout."""
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
        front.until("second")  # the first one may come at once
        front.until("second")
        sock.sendall(text[30:])
        assert front.ask(b"", sock)[0] == 200
