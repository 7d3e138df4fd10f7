"""System calls fail for a moment on this side: no request is lost by it, no connection ended and no cache blamed."""

import errno
import signal
import socket
import time

from crossing import key, two
from helpers import Front, get_text, host, served

from standins.faults import SHORT
from standins.http2 import Running

# Errors of this machine's own, for a moment, by the calls that may give them (man pages of Linux, section 2).
FOR_A_MOMENT = [
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
    """Whether a GET on a new connection, and one more on it, are answered while a call fails."""
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


def lost(fronts, calls=FOR_A_MOMENT):
    """What was not answered: the n-th call fails, for each n that a GET comes by, in a front of its own each time."""
    found = []
    for call, error in calls:
        with fronts() as front:
            for after in range(4):
                if not answered(front, call, error, after):
                    found.append((call, errno.errorcode.get(error, "SHORT"), after))
    return found


def test_no_get_is_lost_where_a_call_fails_for_a_moment(tmp_path):
    assert lost(lambda: two(tmp_path, served)[0]) == []


def lost_over_http2(path, calls):
    boxes = [Running(name="s-0b"), Running(name="s-1f")]
    try:
        return lost(
            lambda: Front(
                path,
                host("s-0b", boxes[0].address, "std"),
                host("s-1f", boxes[1].address, "origin"),
                kdl="servers {\n speak http2 kind=std\n speak http2 kind=origin\n}\n",
            ),
            calls,
        )
    finally:
        for box in boxes:
            box.stop()


def test_none_is_over_http2_either(tmp_path):
    assert lost_over_http2(tmp_path, [one for one in FOR_A_MOMENT if one != ("connect", errno.EAGAIN)]) == []


def test_nor_by_a_connect_that_should_be_tried_again(tmp_path):
    """uvloop's sock_connect takes EAGAIN for a connection that is on its way, and the socket is none."""
    assert lost_over_http2(tmp_path, [("connect", errno.EAGAIN)]) == []


def test_a_connection_that_can_not_be_begun_for_want_of_something_here_blames_no_cache(tmp_path):
    """The GET after it goes there at once: a cache taken for unreachable is left alone for a second."""
    for call, error in (
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.ENETUNREACH),
        ("socket", errno.EMFILE),
    ):
        front, box, _ = two(tmp_path, served)
        with front:
            text = get_text(key(1), extra="Connection: close\r\n")
            assert front.ask(text)[0] == 200 and box.heard.get(timeout=5)[0] == b"serve"
            for connection in box.open():
                connection.shutdown(socket.SHUT_RDWR)
            time.sleep(0.1)
            front.faults.fail(call, error, 1)
            front.ask(get_text(key(2), extra="Connection: close\r\n"))
            while not box.heard.empty():
                box.heard.get()
            other = get_text(key(3)).replace(b"7f3a9c21", b"00000001")  # of which there is no own copy
            assert front.ask(other)[0] == 200 and box.heard.get(timeout=1)[0] == b"serve"


def test_who_stands_in_the_queue_at_a_stop_is_served_though_descriptors_are_short(tmp_path):
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
