"""A call that fails here for a moment costs a link between fronts no more than that moment."""

import asyncio
import errno

import pytest

from sprucegate.fleet.failure_detector.messages import Ping
from sprucegate.fleet.links import codec, links
from sprucegate.fleet.links.links import PeerLinks
from standins.ports import free_port


def linked(name, address, heard):
    async def asked(question):
        return b""

    host, _, port = address.rpartition(":")
    greeting = codec.Greeting(codec.VERSION, "fleet", "front", name, address, 1 << 32)
    return PeerLinks(
        (host, int(port)), lambda *_, **__: None, lambda: greeting, lambda *said: heard.append(said), asked
    )


@pytest.mark.parametrize("call", ["socket", "setsockopt"])
def test_a_peer_is_dialled_again_after_a_call_failed_for_a_moment(monkeypatch, call):
    real, failures = links.socket.socket, [1]

    class Lacking(real):
        def __init__(self, *given, **named):
            if call == "socket" and named.get("fileno") is None and failures and failures.pop():
                raise OSError(errno.EMFILE, "too many open files")
            super().__init__(*given, **named)

        def setsockopt(self, *given):
            if call == "setsockopt" and failures and failures.pop():
                raise OSError(errno.ENOBUFS, "no buffer space")
            return super().setsockopt(*given)

    async def run():
        heard, there = [], f"127.0.0.1:{free_port()}"
        one, other = linked("a", f"127.0.0.1:{free_port()}", []), linked("b", there, heard)
        assert one.start() is None and other.start() is None
        monkeypatch.setattr(links.socket, "socket", Lacking)
        for number in range(40):
            one.send("b", there, Ping(number, "b", 0, []), False)
            await asyncio.sleep(0.05)
            if heard:
                break
        one.stop()
        other.stop()
        return len(heard), failures

    count, left = asyncio.run(asyncio.wait_for(run(), 10))
    assert count and not left
