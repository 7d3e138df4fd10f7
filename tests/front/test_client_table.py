"""Which connection is closed to make room for a new one."""

import socket

import pytest
from helpers import get_text

from sprucegate.front.client_connections import ClientConnection
from sprucegate.front.client_table import ClientTable


@pytest.fixture
def table():
    return ClientTable()


@pytest.fixture
def connect(table):
    sockets = []

    def connection(has_sent=False, part=b""):
        sockets.extend(socket.socketpair())
        client = ClientConnection(sockets[-2], 0, number=len(table), table=table)
        if has_sent:
            client.on_request(0)
            client.on_response_started(0)
            client.on_response_written(0)
        client.reader.feed(part)
        client.update_table()
        return client

    yield connection
    for sock in sockets:
        sock.close()


def test_the_oldest_of_the_largest_group_is_closed_first(table, connect):
    """Guards against a crowd that crowds out other clients: its own kind of connection gives way (issue 59)."""
    connect()
    partial = [connect(part=get_text()[:20]) for _ in range(3)]
    connect(has_sent=True)
    assert table.next_to_close() is partial[0]


def test_connections_that_asked_for_nothing_yet_give_way_to_fewer_than_twice_as_many_that_did(table, connect):
    idle, unused = [connect(has_sent=True) for _ in range(5)], [connect() for _ in range(3)]
    assert table.next_to_close() is unused[0]
    unused[0].on_closed(0)
    assert table.next_to_close() is idle[0]


def test_a_half_closed_connection_is_closed_first_and_one_with_a_request_in_progress_never(table, connect):
    busy = connect(has_sent=True)
    busy.on_request(0)
    assert table.next_to_close() is None
    writing = connect(has_sent=True)
    writing.on_request(0)
    writing.on_response_started(0)
    assert table.next_to_close() is None
    connect()
    half_closed = connect(has_sent=True)
    half_closed.shut_down(0)
    assert table.next_to_close() is half_closed


def test_each_connection_is_in_one_group_and_leaves_it_at_the_close(table, connect):
    clients = [connect(), connect(has_sent=True), connect(part=b"GET"), connect(has_sent=True, part=b"GET")]
    groups = (table.unused, table.idle, table.first_request, table.next_request)
    assert [list(group) for group in groups] == [[client] for client in clients]
    assert list(table) == clients and len(table) == 4
    for client in table:
        client.on_closed(0)
    assert len(table) == 0 and not any(groups)
