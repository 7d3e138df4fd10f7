"""Nothing is sent on for a client that has left, whatever it left unread, and its request never runs twice."""

import queue
import time

import pytest
from crossing import goes_on, serves_heard, stopped, two
from helpers import get_text, served

ORDER = {"ds": "order", "method": "PUT", "body": b"o" * 300}
LEFT_BEFORE_S = 0.3  # a client that left so long ago gets nothing sent on; 0.1 s is allowed


@pytest.mark.parametrize("order", [False, True])
@pytest.mark.parametrize("unread", [0, 1000, 60_000, 2_000_000])
def test_a_request_is_not_sent_on_when_its_client_closed_behind_unread_bytes(tmp_path, unread, order):
    """Guards against a close that is hidden behind bytes which the front has not read (issue 59)."""
    front, cache_server, origin_server = two(tmp_path)
    with front:
        sock = front.connect()
        sock.settimeout(0.5)
        stopped(front)
        text = get_text("a" * 16, **ORDER) if order else get_text("a" * 16)
        try:
            sock.sendall(text + get_text("b" * 16) * (unread // len(get_text())))
        except TimeoutError:
            pass  # the kernel's buffers are full: the rest is never sent
        sock.close()
        time.sleep(LEFT_BEFORE_S)
        goes_on(front)
        assert serves_heard(cache_server) == serves_heard(origin_server) == []


@pytest.mark.parametrize("unread", [1000, 60_000, 2_000_000])
def test_a_retry_is_not_sent_when_the_client_closed_behind_unread_bytes(tmp_path, unread):
    """Guards against a further attempt for a client whose close is hidden behind unread bytes (issue 59)."""
    asked = queue.Queue()

    def reply(call_id, fields, body):
        asked.put(call_id)
        time.sleep(1.0)
        return b"%b overload - 0\r\n\r\n" % call_id

    front, cache_server, origin_server = two(tmp_path, reply, reply)
    with front:
        sock = front.connect()
        sock.settimeout(0.3)
        sock.sendall(get_text("a" * 16, patience=3000))
        asked.get(timeout=5)
        stopped(front)
        try:
            sock.sendall(get_text("b" * 16) * (unread // len(get_text())))
        except TimeoutError:
            pass
        sock.close()
        time.sleep(1.2)  # the answer, and the close, are both there
        goes_on(front)
        assert len(serves_heard(cache_server) + serves_heard(origin_server)) == 1


@pytest.mark.parametrize("ds", ["order", "media"])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(tmp_path, ds):
    """Guards against a second run of a request whose client left while its first attempt may run (issue 59)."""
    front, cache_server, origin_server = two(tmp_path, lambda *_: None, lambda *_: None)
    text = get_text("a" * 16, **ORDER) if ds == "order" else get_text("a" * 16)
    with front:
        sock = front.connect()
        sock.sendall(text)
        server = origin_server if ds == "order" else cache_server
        assert server.heard.get(timeout=5)[0] == b"serve"
        sock.close()
        front.until("second")
        assert front.ask(text)[0] == 409
        assert serves_heard(server) == []


def test_an_order_that_was_answered_does_not_run_again_under_its_id(tmp_path):
    """Guards against a second run of an order by a client that repeats it under the same id (issue 59)."""
    front, _, origin_server = two(tmp_path)
    with front:
        assert front.ask(get_text("a" * 16, **ORDER))[0] == 200
        assert front.ask(get_text("a" * 16, **ORDER))[0] == 409
        assert len(serves_heard(origin_server)) == 1


def test_an_id_may_come_again_after_a_refusal(tmp_path):
    first = [True]

    def refuses_first(call_id, fields, body):
        return b"%b nobody - 0\r\n\r\n" % call_id if first and first.pop() else served(call_id, fields)

    front, _, _ = two(tmp_path, served, refuses_first)
    with front:
        assert front.ask(get_text("a" * 16, **ORDER))[0] in (200, 503)
        assert front.ask(get_text("b" * 16, patience=1))[0] == 503
        assert front.ask(get_text("b" * 16))[0] == 200
