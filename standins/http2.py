"""An HTTP/2 cache server by script and seed, that closes at random points and writes down which request ran.

It speaks the mapping of docs/http2.md with prior knowledge. A request first waits (`queue` seconds), then it runs, and
then its answer is due (`service` seconds after). Whatever the front is told of it, `ran` has the truth. GOAWAY and
whatever no decent server sends go out as raw frames beside h2, which would refuse to.

    python -m standins.http2 --port 4101 --seed 7 --close-every 200 --ran ran.txt
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import struct
import sys
import threading
from collections import deque

import uvloop
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import (
    DataReceived,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings

NO_ERROR, INTERNAL, REFUSED_STREAM, CANCEL = 0, 2, 7, 8
CLOSES = ("graceful", "sudden", "reset", "refuse", "cut", "end")


def frame(kind, flags, stream, payload=b""):
    """Any frame, well-formed or not (RFC 9113 section 4.1)."""
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def goaway(last, code=NO_ERROR):
    return frame(7, 0, 0, struct.pack(">II", last, code))


class Counted(H2Connection):
    """As in the front's session: h2 would walk all streams at each new one."""

    came = 0

    @property
    def open_inbound_streams(self):
        self.came += 1
        return super().open_inbound_streams if self.came % 128 == 0 else 0


class Request:
    def __init__(self, stream, fields):
        self.stream, self.fields, self.body, self.state = stream, fields, bytearray(), "arriving"
        self.id = fields.get(b"x-call-id", b"").decode()
        words = fields.get(b"spruce-fill", b"").decode().split(", ")
        self.attempt = next((int(w[4:]) for w in words if w.startswith("try=")), 0)
        self.write = fields.get(b":method") == b"PUT"
        self.only_if_cached = b"only-if-cached" in fields.get(b"cache-control", b"")


class Peer:
    """One connection as the server has it."""

    def __init__(self, server, sock):
        self.server, self.sock, self.loop = server, sock, asyncio.get_running_loop()
        self.h2 = Counted(
            H2Configuration(
                client_side=False,
                header_encoding=False,
                validate_inbound_headers=False,
                validate_outbound_headers=False,
            )
        )
        first = {
            SettingCodes.MAX_CONCURRENT_STREAMS: server.limit,
            SettingCodes.INITIAL_WINDOW_SIZE: server.window,
            SettingCodes.MAX_FRAME_SIZE: 16_384,
            SettingCodes.ENABLE_PUSH: 0,
        }
        self.h2.local_settings = Settings(client=False, initial_values=first)
        self.open, self.outgoing, self.rest, self.closed, self.last = {}, deque(), {}, False, None
        self.until_close, self.flushing, self.writes = server.draw_close(), False, False
        self.highest_ran = 0

    def start(self):
        self.h2.initiate_connection()
        self.flush()
        self.loop.add_reader(self.sock, self._readable)

    # What scripts do.

    def raw(self, data):
        self.flush_h2()
        self.outgoing.append(bytes(data))
        self.flush()

    def goaway(self, last, code=NO_ERROR):
        self.last = last if self.last is None else min(last, self.last)
        self.raw(goaway(last, code))

    def settings(self, **named):
        codes = {"limit": SettingCodes.MAX_CONCURRENT_STREAMS, "window": SettingCodes.INITIAL_WINDOW_SIZE}
        self.h2.update_settings({codes[name]: value for name, value in named.items()})
        self.flush()

    def reset(self, stream, code=CANCEL):
        self.open.pop(stream, None)
        self.rest.pop(stream, None)
        try:
            self.h2.reset_stream(stream, code)
        except H2Error:
            pass
        self.flush()

    def interim(self, stream, status=103):
        self.h2.send_headers(stream, [(b":status", b"%d" % status)])
        self.flush()

    def answer(self, stream, status=200, fields=(), body=b"x" * 5, trailers=None, end=True, length=True):
        head = [(b":status", b"%d" % status), *fields]
        if length:
            head.append((b"content-length", b"%d" % len(body)))
        try:
            self.h2.send_headers(stream, head, end_stream=not body and end and not trailers)
        except H2Error:
            return self.open.pop(stream, None)
        self.rest[stream] = (body, trailers, end)
        self._pump()

    def run(self, request):
        """The request runs now: this is what the front can't see."""
        if request.state == "waiting" and not self.closed and request.stream in self.open:
            request.state = "ran"
            self.highest_ran = max(self.highest_ran, request.stream)
            self.server.note(request)
            return True
        return False

    def abort(self):
        """A reset: nothing more is read or written."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.end()

    def end(self):
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.sock)
            if self.writes:
                self.loop.remove_writer(self.sock)
            self.sock.close()
            self.server.peers.discard(self)

    # The protocol.

    def _readable(self):
        try:
            data = self.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            return self.end()
        try:
            events = self.h2.receive_data(data)
        except H2Error:
            self.flush()
            return self.end()
        for event in events:
            if isinstance(event, RequestReceived):
                request = self.open[event.stream_id] = Request(event.stream_id, dict(event.headers))
                self.server.heads(self, request)
            elif isinstance(event, DataReceived):
                if event.stream_id in self.open:
                    self.open[event.stream_id].body += event.data
                if event.flow_controlled_length and self.server.opens:
                    self._credit(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, StreamEnded):
                if (request := self.open.get(event.stream_id)) is not None:
                    request.state = "waiting"
                    self.server.came(self, request)
            elif isinstance(event, StreamReset):
                self.rest.pop(event.stream_id, None)
                if (request := self.open.pop(event.stream_id, None)) is not None:
                    self.server.cancelled.append(request.id)
            elif isinstance(event, WindowUpdated | RemoteSettingsChanged):
                self._pump()
        if not self.closed:
            self.flush()

    def _credit(self, size, stream):
        try:
            self.h2.acknowledge_received_data(size, stream)
        except H2Error:
            pass  # the stream has ended

    def _pump(self):
        for stream, (body, trailers, end) in list(self.rest.items()):
            try:
                while body:
                    size = min(self.h2.local_flow_control_window(stream), 16_384, len(body))
                    if size <= 0:
                        break
                    self.h2.send_data(
                        stream, body[:size], end_stream=end and size == len(body) and not trailers
                    )
                    body = body[size:]
                if not body and trailers:
                    self.h2.send_headers(stream, trailers, end_stream=True)
            except H2Error:
                body = b""  # reset by the front meanwhile
            if body:
                self.rest[stream] = body, trailers, end
            else:
                del self.rest[stream]
                if end:
                    self.open.pop(stream, None)
        self.flush_soon()

    def flush_h2(self):
        if data := self.h2.data_to_send():
            self.outgoing.append(data)

    def flush_soon(self):
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self):
        self.flushing = False
        if self.closed:
            return
        self.flush_h2()
        try:
            while self.outgoing:
                sent = self.sock.send(self.outgoing[0])
                if sent < len(self.outgoing[0]):
                    self.outgoing[0] = self.outgoing[0][sent:]
                else:
                    self.outgoing.popleft()
        except BlockingIOError:
            pass
        except OSError:
            return self.end()
        if bool(self.outgoing) is not self.writes:
            self.writes = not self.writes
            if self.writes:
                self.loop.add_writer(self.sock, self.flush)
            else:
                self.loop.remove_writer(self.sock)


class Server:
    """Takes connections on a free loopback port; `heads` and `came` may be replaced by a test's own."""

    def __init__(
        self,
        seed=0,
        port=0,
        limit=100,
        window=65_535,
        opens=True,
        queue=0.0,
        service=0.0,
        size=5,
        close_every=0,
        closes=CLOSES,
        ran=None,
        name="s",
        steady=False,
        stores=True,
        gateway_timeouts=0.0,
    ):
        self.chance, self.limit, self.window, self.opens = random.Random(seed), limit, window, opens
        self.queue, self.service, self.size, self.close_every, self.closes = (
            queue,
            service,
            size,
            close_every,
            closes,
        )
        self.ran, self.cancelled, self.peers, self.made, self.name = [], [], set(), 0, name
        self.file = os.open(ran, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if ran else None
        self.port, self.listener, self.counts = port, None, {}
        self.heads, self.steady = lambda peer, request: None, steady
        # Without a store it answers a GET with only-if-cached by 504 (RFC 9111 section 5.2.1.7). `gateway_timeouts`:
        # share of the requests that run and are answered 504 all the same, as by a gateway before a slow server.
        self.stores, self.gateway_timeouts, self.timed_out = stores, gateway_timeouts, 0

    def listen(self):
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=512)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.listener)
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = Peer(self, sock)
            self.peers.add(peer)
            self.made += 1
            peer.start()

    def note(self, request):
        self.ran.append((request.id, request.attempt))
        if self.file is not None:
            # At once: what is killed the next moment has run all the same.
            os.write(
                self.file,
                b"%s %d %s\n" % (request.id.encode(), request.attempt, b"order" if request.write else b"get"),
            )

    def draw_close(self):
        return self.chance.randrange(1, 2 * self.close_every) if self.close_every else 0

    def came(self, peer, request):
        """A whole request: it waits, runs, is answered; and now and then the connection is closed instead."""
        if peer.last is not None and request.stream > peer.last:
            return  # above the last stream of our GOAWAY: never runs
        if request.only_if_cached and not request.write and not self.stores:
            return peer.answer(request.stream, 504, (), b"")
        spread = 1.0 if self.steady else 0.5 + self.chance.random()
        peer.loop.call_later(self.queue * spread, self._run, peer, request, spread)
        if peer.until_close:
            peer.until_close -= 1
            if not peer.until_close:
                kind = self.chance.choice(self.closes)
                self.counts[kind] = self.counts.get(kind, 0) + 1
                peer.loop.call_later(
                    self.chance.random() * (self.queue + self.service), self.shut, peer, kind
                )

    def _run(self, peer, request, spread):
        if peer.run(request):
            peer.loop.call_later(self.service * spread, self._answer, peer, request)

    def _answer(self, peer, request):
        if peer.closed or request.stream not in peer.open:
            return
        if self.gateway_timeouts and self.chance.random() < self.gateway_timeouts:
            self.timed_out += 1
            peer.answer(request.stream, 504, (), b"")
        else:
            peer.answer(
                request.stream,
                200,
                ((b"etag", b'"t1"'), (b"cache-status", self.name.encode() + b"; hit")),
                b"x" * self.size,
            )

    def shut(self, peer, kind):
        """One close of the given kind; what has run by then is never called back."""
        if peer.closed or peer.last is not None:
            return
        streams = sorted(peer.open)
        if kind == "graceful":
            peer.raw(goaway(2**31 - 1))
            peer.loop.call_later(0.02, self.shut, peer, "last")
        elif kind in ("sudden", "last"):
            # None below the highest that ran; those up to the last may run still, those above never will.
            peer.goaway(max(peer.highest_ran, streams[len(streams) // 2] if streams else 0))
            for stream in [s for s in peer.open if s > peer.last]:
                del peer.open[stream]
            peer.loop.call_later(3 * (self.queue + self.service) + 0.05, peer.end)
        elif kind == "refuse":
            for stream in streams:
                if peer.open[stream].state == "waiting":
                    peer.reset(stream, REFUSED_STREAM)
            peer.until_close = self.draw_close()
        elif kind == "cut":
            for stream in streams[:1]:
                if peer.open[stream].state == "ran":
                    peer.answer(stream, 200, (), b"x" * 100, end=False, length=False)
            peer.loop.call_soon(peer.loop.call_soon, peer.end)
        elif kind == "reset":
            peer.abort()
        else:
            peer.end()


class Running:
    """A Server in a thread with a loop of its own, for tests; `do` runs a call in it and waits for the result."""

    def __init__(self, **script):
        self.server, self.up = Server(**script), threading.Event()
        self.thread = threading.Thread(target=self._main, daemon=True)
        self.thread.start()
        self.up.wait(10)
        self.address = self.server.address

    def _main(self):
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.server.listen()
        self.accepting = self.loop.create_task(self.server.accept())
        self.up.set()
        self.loop.run_forever()

    def do(self, call):
        done, result = threading.Event(), []

        def run():
            try:
                result.append(call())
            finally:
                done.set()

        self.loop.call_soon_threadsafe(run)
        assert done.wait(10) and result, "the call failed in the stand-in"
        return result[0]

    def stop(self):
        def end():
            self.accepting.cancel()
            self.server.listener.close()
            for peer in list(self.server.peers):
                peer.end()
            return True

        self.do(end)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)


async def serve(server):
    server.listen()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    print(f"listening {server.address}", flush=True)
    task = asyncio.get_running_loop().create_task(server.accept())
    await stop.wait()
    task.cancel()
    closes = sum(server.counts.values())
    figures = f"ran {len(server.ran)} connections {server.made} closes {closes}"
    if server.gateway_timeouts:
        figures += f" gateway_timeouts {server.timed_out}"
    print(figures, flush=True)


def main(given):
    flags = argparse.ArgumentParser(prog="python -m standins.http2", description=__doc__.split("\n")[0])
    for name, kind, default in (
        ("port", int, 0),
        ("seed", int, 0),
        ("limit", int, 100),
        ("window", int, 65_535),
        ("queue", float, 0.0),
        ("service", float, 0.0),
        ("size", int, 5),
        ("close-every", int, 0),
        ("ran", str, None),
        ("name", str, "s"),
        ("steady", int, 0),
        ("stores", int, 1),
        ("gateway-timeouts", float, 0.0),
    ):
        flags.add_argument("--" + name, type=kind, default=default)
    uvloop.run(serve(Server(**{k: v for k, v in vars(flags.parse_args(given)).items()})))


if __name__ == "__main__":
    main(sys.argv[1:])
