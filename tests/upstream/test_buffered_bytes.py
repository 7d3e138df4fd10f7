"""The count of buffered bytes, and what is freed above its bound."""

from sprucegate.upstream.buffered_bytes import BufferedBytes, Holder


class Connections:
    """Connections that hold 40 bytes each, and that can be closed."""

    def __init__(self, buffers, count):
        self.buffers, self.count = buffers, count
        buffers.free_one = self.close_one
        for _ in range(count):
            buffers.change(Holder.PARTIAL_REQUEST, 0, 40)

    def close_one(self):
        if not self.count:
            return False
        self.count -= 1
        self.buffers.change(Holder.PARTIAL_REQUEST, 40, 0)
        return True


def test_connections_are_closed_until_the_bound_holds_and_no_further():
    buffers = BufferedBytes(100)
    connections = Connections(buffers, 2)
    buffers.change(Holder.OPEN_REQUEST, 0, 50)
    assert connections.count == 1 and buffers.total == 90
    buffers.change(Holder.PARTIAL_ANSWER, 0, 200)
    assert connections.count == 0 and buffers.total == 250


def test_only_what_was_taken_on_makes_it_full_and_who_waits_is_resumed_once():
    buffers, resumed = BufferedBytes(100), []
    Connections(buffers, 2)
    assert not buffers.is_full()
    buffers.change(Holder.OPEN_REQUEST, 0, 60)
    buffers.change(Holder.PARTIAL_ANSWER, 0, 40)
    assert buffers.is_full()
    buffers.when_not_full("a", lambda: resumed.append("a"))
    buffers.when_not_full("b", lambda: resumed.append("b"))
    buffers.stop_waiting("b")
    buffers.change(Holder.PARTIAL_ANSWER, 40, 10)
    buffers.change(Holder.PARTIAL_ANSWER, 10, 0)
    assert resumed == ["a"]


def test_the_log_has_kilobytes_of_what_holds_any():
    buffers = BufferedBytes(1 << 30)
    buffers.change(Holder.OPEN_REQUEST, 0, 5000)
    buffers.change(Holder.PARTIAL_ANSWER, 0, 10)
    assert buffers.kilobytes() == {"open_requests": 4}
