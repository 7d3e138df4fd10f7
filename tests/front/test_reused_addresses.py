"""A server's name and its address are two things: connections to an address it has left carry nothing for it."""

import queue

import pytest
from crossing import SLOW_TO_CONNECT, Uphill, serves_heard, until_open
from helpers import Front, cache, get_text, host, served

from standins.processes import Process


def heard(server):
    """The ids of the requests that a server heard."""
    return [row[1] for row in serves_heard(server)]


def tell(front, offset, *hosts):
    front.tells.put({"offset": offset, "topology": {"seq": offset, "whole": False, "hosts": hosts}})
    while front.until("told")["offset"] != offset:
        pass


def sent_on_late_connections(hill):
    """All that a process receives that takes the connections of an address late, until none is left."""
    found = b""
    hill.sock.settimeout(3)
    try:
        while True:
            sock, _ = hill.sock.accept()
            sock.settimeout(0.3)
            with sock:
                try:
                    found += sock.recv(4096)
                except TimeoutError:
                    pass
    except TimeoutError:
        return found


def moving_requests(*ids):
    """A GET of each id for an object of its own, so that none is answered by the front's own copy."""
    return [get_text(c * 16).replace(b"7f3a9c21e0b4d655", c.encode() * 16) for c in ids]


def test_a_server_that_moved_gets_nothing_at_its_former_address(tmp_path):
    """Guards against a process at the address of one that has moved, taken for the old one (issue 59)."""
    former, new, origin = cache(served), cache(served), cache(served)
    with Front(
        tmp_path, host("s-0b", former.address, "std"), host("s-1f", origin.address, "origin")
    ) as front:
        assert front.ask(get_text("a" * 16))[0] == 200
        tell(front, 2, host("s-0b", new.address, "std"), host("s-0c", former.address, "std", "draining"))
        assert [front.ask(text)[0] for text in moving_requests(*"bcd")] == [200] * 3
        assert heard(former) == [b"a" * 16]
        assert heard(new) == [b"b" * 16, b"c" * 16, b"d" * 16]


def test_an_attempt_at_a_moved_server_may_still_be_answered_and_the_next_one_goes_to_the_new_address(
    tmp_path,
):
    calls, go = queue.Queue(), queue.Queue()

    def slow(call_id, fields, body):
        calls.put(call_id)
        go.get(timeout=5)
        return served(call_id, fields)

    former, new, origin = cache(slow), cache(served), cache(served)
    with Front(
        tmp_path, host("s-0b", former.address, "std"), host("s-1f", origin.address, "origin")
    ) as front:
        sock = front.connect()
        sock.sendall(get_text("a" * 16))
        calls.get(timeout=5)
        tell(front, 2, host("s-0b", new.address, "std"))
        assert front.ask(get_text("b" * 16))[0] == 200
        go.put(None)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert heard(new) == [b"b" * 16]
        assert former.heard.get(timeout=5) and front.ask(get_text("c" * 16))[0] == 200


@pytest.mark.parametrize("moved", [True, False])
def test_a_connection_that_comes_up_late_carries_nothing_for_a_server_that_has_left(tmp_path, moved):
    """Guards against an attempt that waits for a process which is not there any more, and meets another (issue 59)."""
    hill, new, origin = Uphill(), cache(served), cache(served)
    with Front(
        tmp_path,
        host("s-0b", hill.address, "std"),
        host("s-1f", origin.address, "origin"),
        settings=SLOW_TO_CONNECT,
    ) as front:
        sock = front.connect()
        sock.sendall(get_text("a" * 16, patience=8000))
        until_open(front, 1)
        left = host("s-0b", new.address, "std") if moved else host("s-0b", hill.address, "std", "removed")
        tell(front, 2, left, host("s-0c", hill.address, "std", "draining"))
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        assert heard(new) + heard(origin) == [b"a" * 16]
        assert sent_on_late_connections(hill) == b""


def test_over_http2_a_server_that_moved_gets_nothing_at_its_former_address(tmp_path):
    former, new = (Process("http2", ran=tmp_path / name) for name in ("former", "new"))
    origin = cache(served)
    front = Front(
        tmp_path,
        host("s-0b", former.address, "std"),
        host("s-1f", origin.address, "origin"),
        kdl="servers {\n    speak http2 kind=std\n}\n",
    )
    with front:
        assert front.ask(get_text("a" * 16))[0] == 200
        tell(front, 2, host("s-0b", new.address, "std"))
        assert [front.ask(text)[0] for text in moving_requests(*"bcd")] == [200] * 3
    assert former.stop()["ran"] == 1 and new.stop()["ran"] == 3
