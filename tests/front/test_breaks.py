"""An exception in one part of a front, or a resource missing at its start, affects nothing else."""

import asyncio
import socket
import subprocess
import sys
import threading
import time

import pytest
from crossing import two
from helpers import REAL, cache, get_text, host, served

from sprucegate.assembly import run as assembly
from sprucegate.front import configuration, driver
from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.client_connections import ClientConnection
from sprucegate.front.connection_reader import ConnectionReader
from sprucegate.front.protocol.http import RequestReader
from sprucegate.routing.events import AttemptOutcome
from sprucegate.upstream.lines.codec import AnswerReader


def configured(dial=None):
    hosts = [] if dial is None else [host("s-0b", dial, "std"), host("s-1f", dial, "origin")]
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]}
    return configuration.parse({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})


def run_in_loop(act, dial=None):
    """Run `act(driver, logged)` with a Driver that has applied its endpoint list."""
    logged = []

    async def run():
        made = driver.Driver(
            configured(dial), BufferPool(8), lambda event, **fields: logged.append((event, fields))
        )
        for _, news in made.config.known:
            made.on_discovery_event(news)
        return await act(made, logged)

    return asyncio.run(asyncio.wait_for(run(), 10))


def send_request(made):
    near, far = socket.socketpair()
    near.setblocking(False)
    client = ClientConnection(near, made.clock())
    client.on_request(made.clock())
    made.receive_request(client, *RequestReader().feed(get_text(patience=300)), made.clock())
    return client, far


def test_a_front_retries_to_listen_while_its_address_is_in_use(tmp_path):
    front, _, _ = two(tmp_path, served)
    with front:
        front.process.kill()
        front.process.wait()
        front.tells.put(None)
        holder = socket.create_server(front.address, backlog=1)
        threading.Timer(1.5, holder.close).start()
        front.restart()
        assert front.ask(get_text())[0] == 200


def test_a_transport_that_raises_in_its_timer_does_not_prevent_responses(monkeypatch):
    async def act(made, logged):
        calls = []

        def raises(now):
            calls.append(now)
            raise KeyError("broken")

        monkeypatch.setattr(made.servers, "due", raises)
        client, far = send_request(made)
        far.settimeout(5)
        answer = await asyncio.to_thread(far.recv, 4096)
        return answer, len(calls), [event for event, _ in logged if event == "fault"]

    with socket.socket() as unresponsive:  # no connection is ever accepted, no request read
        unresponsive.bind(("127.0.0.1", 0))
        unresponsive.listen(9)
        answer, calls, faults = run_in_loop(act, f"127.0.0.1:{unresponsive.getsockname()[1]}")
    assert answer.startswith(b"HTTP/1.1 50") and calls and len(faults) == calls


def test_housekeeping_goes_on_after_a_sweep_that_raises(monkeypatch):
    async def act(made, logged):
        reader, swept = (
            ConnectionReader(made, made.servers.transports["lines"].pool, 8, made.config.times),
            [],
        )

        def sweep(now):
            swept.append(now)
            raise ValueError("broken")

        monkeypatch.setattr(reader, "sweep", sweep)
        task = asyncio.ensure_future(
            assembly.housekeeping(made, reader, made.servers.transports["lines"].pool, made.log)
        )
        await asyncio.sleep(1.7)
        task.cancel()
        return len(swept), [event for event, _ in logged]

    swept, events = run_in_loop(act)
    assert swept == 3 and events.count("fault") == 3 and "second" in events


def test_an_exception_while_parsing_a_request_closes_only_its_connection(tmp_path):
    """Nothing is written to standard error either, which may block."""
    front, _, _ = two(tmp_path, served)
    with front:
        pass
    code = (
        "import sprucegate.front.protocol.http as http\n"
        "feed = http.RequestReader.feed\n"
        "def raises(self, data):\n"
        "    if b'9b1f03aa5c7e2d41' in bytes(data): raise KeyError('broken')\n"
        "    return feed(self, data)\n"
        "http.RequestReader.feed = raises\n"
        "import sys, sprucegate.__main__ as program\n"
        "sys.exit(program.main())\n"
    )
    front.command = [sys.executable, "-c", code]
    errors = tmp_path / "errors"
    with errors.open("w") as file:
        real, subprocess.Popen = subprocess.Popen, lambda *a, **k: real(*a, stderr=file, **k)
        try:
            front.restart()
        finally:
            subprocess.Popen = real
    with front:
        sock = front.connect()
        sock.sendall(get_text())
        sock.settimeout(2)
        assert sock.recv(1) == b"" and front.until("fault")["error"] == "KeyError: 'broken'"
        assert front.ask(get_text("a" * 16))[0] == 200
    assert errors.read_text() == ""


@pytest.mark.parametrize("dial", ["a..b:4100"])
def test_a_server_with_an_invalid_host_name_is_unreachable_and_leaves_no_connection(dial):
    async def act(made, logged):
        ended = []
        made.on_attempt_ended = lambda out, outcome, found, waited, load, at=None: ended.append(outcome)
        kept = send_request(made)
        end = time.monotonic() + 3
        while not ended and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return ended[:1], made.servers.connections, kept[0].peer_has_closed()

    assert run_in_loop(act, dial) == ([AttemptOutcome.UNREACHABLE], 0, False)


def test_an_exception_while_parsing_an_answer_closes_its_connection_and_ends_its_attempts(
    tmp_path, monkeypatch
):
    """Attempts on that connection end at once, not after their time-outs."""

    async def act(made, logged):
        ended = []
        made.on_attempt_ended = lambda out, outcome, found, waited, load, at=None: ended.append(outcome)

        def raises(self, data):
            raise KeyError("broken")

        monkeypatch.setattr(AnswerReader, "feed", raises)
        kept = send_request(made)
        end = time.monotonic() + 2
        while not ended and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return (
            ended[:1],
            made.servers.connections,
            [e for e, _ in logged if e == "fault"],
            kept[0].peer_has_closed(),
        )

    with cache(served).sock as listener:
        result = run_in_loop(act, f"127.0.0.1:{listener.getsockname()[1]}")
    assert result == ([AttemptOutcome.RESET], 0, ["fault"], False)
