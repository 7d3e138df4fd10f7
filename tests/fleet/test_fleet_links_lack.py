"""A system call that fails temporarily delays a connection between fronts and doesn't prevent it."""

import asyncio
import errno

import pytest

from sprucegate.fleet.failure_detector.messages import Ping
from sprucegate.fleet.links import codec, links
from sprucegate.fleet.links.links import PeerLinks
from standins.ports import free_port


def peer_links(name, address, received):
    async def on_question(question):
        return b""

    host, _, port = address.rpartition(":")
    greeting = codec.Greeting(codec.VERSION, "fleet", "front", name, address, 1 << 32)
    return PeerLinks(
        (host, int(port)),
        lambda *_, **__: None,
        lambda: greeting,
        lambda *message: received.append(message),
        on_question,
    )


@pytest.mark.parametrize("call", ["socket", "setsockopt"])
def test_a_connection_is_tried_again_after_a_system_call_failed(monkeypatch, call):
    real, failures = links.socket.socket, [1]

    class FailingOnce(real):
        def __init__(self, *args, **kwargs):
            if call == "socket" and kwargs.get("fileno") is None and failures and failures.pop():
                raise OSError(errno.EMFILE, "too many open files")
            super().__init__(*args, **kwargs)

        def setsockopt(self, *args):
            if call == "setsockopt" and failures and failures.pop():
                raise OSError(errno.ENOBUFS, "no buffer space")
            return super().setsockopt(*args)

    async def run():
        received, address = [], f"127.0.0.1:{free_port()}"
        one, other = peer_links("a", f"127.0.0.1:{free_port()}", []), peer_links("b", address, received)
        assert one.start() is None and other.start() is None
        monkeypatch.setattr(links.socket, "socket", FailingOnce)
        for number in range(40):
            one.send("b", address, Ping(number, "b", 0, []), False)
            await asyncio.sleep(0.05)
            if received:
                break
        one.stop()
        other.stop()
        return len(received), failures

    count, failures_left = asyncio.run(asyncio.wait_for(run(), 10))
    assert count and not failures_left
