"""System calls fail for a moment on this side: no request is lost by it, no connection ended and no cache blamed."""

import errno
import signal
import time

from crossing import key, two
from helpers import get_text, served

from standins.faults import SHORT

# Errors of this machine's own, for a moment, by the calls that may give them (man pages of Linux, section 2).
FOR_A_MOMENT = [
    ("accept", errno.ECONNABORTED), ("accept", errno.EINTR), ("accept", errno.EMFILE), ("accept", errno.ENFILE),
    ("accept", errno.ENOBUFS), ("accept", errno.ENOMEM), ("accept", errno.EPROTO), ("accept", errno.ENETDOWN),
    ("setsockopt", errno.ENOBUFS), ("setsockopt", errno.ENOMEM), ("setsockopt", errno.EINVAL),
    ("recv_into", errno.EINTR), ("recv_into", errno.ENOBUFS), ("recv_into", errno.ENOMEM), ("recv_into", SHORT),
    ("send", errno.EINTR), ("send", errno.ENOBUFS), ("send", errno.ENOMEM), ("send", errno.EAGAIN), ("send", SHORT),
    ("socket", errno.EMFILE), ("socket", errno.ENFILE), ("socket", errno.ENOBUFS), ("socket", errno.ENOMEM),
    ("connect", errno.EADDRNOTAVAIL), ("connect", errno.EAGAIN), ("connect", errno.ENOBUFS),
    ("connect", errno.ENETUNREACH), ("connect", errno.EINTR),
]


def answered(front, call, error, after, times=1):
    """Whether a GET on a new connection, and one more on it, are answered while a call fails."""
    front.faults.fail(call, error, times, after)
    sock = front.connect()
    sock.settimeout(3)
    try:
        return [front.ask(get_text(key(at)), sock)[0] for at in (after * 100 + 1, after * 100 + 2)] == [200, 200]
    except OSError:
        return False
    finally:
        front.faults.fail(call, 0, 0)
        sock.close()


def test_no_get_is_lost_where_a_call_fails_for_a_moment(tmp_path):
    """The n-th call fails, for each n that a GET comes by; the connection to the cache is made anew each time."""
    lost = []
    for call, error in FOR_A_MOMENT:
        front, box, _ = two(tmp_path, served)
        with front:
            for after in range(4):
                if not answered(front, call, error, after):
                    lost.append((call, errno.errorcode.get(error, "SHORT"), after))
    assert not lost


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
