"""Transient failures of system calls lose no request, close no connection and don't count against a cache."""

import errno
import signal
import socket
import time

from crossing import key, two
from helpers import Front, get_text, host, served

from standins.faults import SHORT
from standins.http2 import Running

# Transient local errors by the system calls that may return them (Linux man pages, section 2).
TRANSIENT_ERRORS = [
    ("accept", errno.ECONNABORTED),
    ("accept", errno.EINTR),
    ("accept", errno.EMFILE),
    ("accept", errno.ENFILE),
    ("accept", errno.ENOBUFS),
    ("accept", errno.ENOMEM),
    ("accept", errno.EPROTO),
    ("accept", errno.ENETDOWN),
    ("setsockopt", errno.ENOBUFS),
    ("setsockopt", errno.ENOMEM),
    ("setsockopt", errno.EINVAL),
    ("recv_into", errno.EINTR),
    ("recv_into", errno.ENOBUFS),
    ("recv_into", errno.ENOMEM),
    ("recv_into", SHORT),
    ("send", errno.EINTR),
    ("send", errno.ENOBUFS),
    ("send", errno.ENOMEM),
    ("send", errno.EAGAIN),
    ("send", SHORT),
    ("socket", errno.EMFILE),
    ("socket", errno.ENFILE),
    ("socket", errno.ENOBUFS),
    ("socket", errno.ENOMEM),
    ("connect", errno.EADDRNOTAVAIL),
    ("connect", errno.EAGAIN),
    ("connect", errno.ENOBUFS),
    ("connect", errno.ENETUNREACH),
    ("connect", errno.EINTR),
]


def answered(front, call, error, after, times=1):
    """Return whether two requests on a new connection are answered while a call fails."""
    front.faults.fail(call, error, times, after)
    sock = front.connect()
    sock.settimeout(3)
    try:
        return [front.ask(get_text(key(at)), sock)[0] for at in (after * 100 + 1, after * 100 + 2)] == [
            200,
            200,
        ]
    except OSError:
        return False
    finally:
        front.faults.fail(call, 0, 0)
        sock.close()


def unanswered(fronts, calls=TRANSIENT_ERRORS):
    """Return the cases not answered: the n-th call fails, for each n within a request; a new front for each error."""
    found = []
    for call, error in calls:
        with fronts() as front:
            for after in range(4):
                if not answered(front, call, error, after):
                    found.append((call, errno.errorcode.get(error, "SHORT"), after))
    return found


def test_no_request_is_lost_by_a_transient_error(tmp_path):
    assert unanswered(lambda: two(tmp_path, served)[0]) == []


def unanswered_over_http2(path, calls):
    cache_servers = [Running(name="s-0b"), Running(name="s-1f")]
    try:
        return unanswered(
            lambda: Front(
                path,
                host("s-0b", cache_servers[0].address, "std"),
                host("s-1f", cache_servers[1].address, "origin"),
                kdl="servers {\n speak http2 kind=std\n speak http2 kind=origin\n}\n",
            ),
            calls,
        )
    finally:
        for cache_server in cache_servers:
            cache_server.stop()


def test_no_request_is_lost_by_a_transient_error_over_http2(tmp_path):
    assert (
        unanswered_over_http2(tmp_path, [one for one in TRANSIENT_ERRORS if one != ("connect", errno.EAGAIN)])
        == []
    )


def test_no_request_is_lost_by_eagain_of_connect_over_http2(tmp_path):
    """uvloop's sock_connect treats EAGAIN as a connection in progress, but the socket isn't connecting."""
    assert unanswered_over_http2(tmp_path, [("connect", errno.EAGAIN)]) == []


def test_a_local_error_of_connect_does_not_count_against_the_cache(tmp_path):
    """The next request is sent there at once: an unreachable cache would be avoided for a second."""
    for call, error in (
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.ENETUNREACH),
        ("socket", errno.EMFILE),
    ):
        front, cache_server, _ = two(tmp_path, served)
        with front:
            text = get_text(key(1), extra="Connection: close\r\n")
            assert front.ask(text)[0] == 200 and cache_server.heard.get(timeout=5)[0] == b"serve"
            for connection in cache_server.open():
                connection.shutdown(socket.SHUT_RDWR)
            time.sleep(0.1)
            front.faults.fail(call, error, 1)
            front.ask(get_text(key(2), extra="Connection: close\r\n"))
            while not cache_server.heard.empty():
                cache_server.heard.get()
            other = get_text(key(3)).replace(b"7f3a9c21", b"00000001")  # not in the front's own cache
            assert front.ask(other)[0] == 200 and cache_server.heard.get(timeout=1)[0] == b"serve"


def test_a_connection_in_the_accept_queue_at_sigterm_is_served_despite_a_lack_of_descriptors(tmp_path):
    front, _, _ = two(tmp_path, served)
    with front:
        front.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        front.faults.fail("accept", errno.ENFILE, 60)
        sock = front.connect()
        sock.settimeout(5)
        try:
            status = front.ask(get_text(key(1)), sock)[0]
        except OSError:
            status = 0
        assert status in (200, 503) and front.process.wait(10) == 0
