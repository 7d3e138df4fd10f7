"""A cache server that speaks lines, fast enough to be measured against: `python -m standins.lines --service 0.01`.

As the HTTP/2 stand-in: a request waits, runs, and is answered; `ran` has what ran.
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import time

import uvloop


def address_of(at):
    """The loopback's address of one of many caches of one process; they share a port."""
    return f"127.10.{at >> 8}.{at & 255}"


class Peer:
    def __init__(self, server, sock):
        self.server, self.sock, self.loop, self.held, self.open = (
            server,
            sock,
            asyncio.get_running_loop(),
            b"",
            {},
        )
        self.outgoing, self.flushing, self.writes = bytearray(), False, False
        self.loop.add_reader(sock, self._readable)

    def _readable(self):
        try:
            data = self.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            return self.end()
        self.held += data
        while (at := self.held.find(b"\r\n")) >= 0:
            words = self.held[:at].split(b" ")
            if words[0] == b"serve":
                size = int(words[3])
                if len(self.held) < at + 4 + size:
                    break
                self.held = self.held[at + 4 + size :]
                self.open[words[1]] = True
                self.server.came(words[1], words[2])
                self.loop.call_later(self.server.wait(), self._answer, words[1])
            else:
                self.held = self.held[at + 2 :]
                self.open.pop(words[1], None)

    def _answer(self, call_id):
        if self.open.pop(call_id, None) and self.sock.fileno() >= 0:
            self.server.note(call_id)
            made = b"made=%d," % int(time.time() * 1000) if self.server.made else b""
            self.outgoing += b"%b served etag=t1,%bremark=cached %d\r\n%b\r\n" % (
                call_id,
                made,
                self.server.size,
                b"x" * self.server.size,
            )
            if not self.flushing:
                self.flushing = True
                self.loop.call_soon(self._flush)

    def _flush(self):
        self.flushing = False
        if self.sock.fileno() < 0:
            return
        try:
            while self.outgoing:
                del self.outgoing[: self.sock.send(self.outgoing)]
        except BlockingIOError:
            pass
        except OSError:
            return self.end()
        if bool(self.outgoing) is not self.writes:
            self.writes = not self.writes
            if self.writes:
                self.loop.add_writer(self.sock, self._flush)
            else:
                self.loop.remove_writer(self.sock)

    def end(self):
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            if self.writes:
                self.loop.remove_writer(self.sock)
            self.sock.close()


class Server:
    def __init__(self, port=0, seed=0, service=0.0, size=5, ran=None, steady=False, made=False, addresses=0):
        self.port, self.service, self.size, self.chance = port, service, size, random.Random(seed)
        self.file = os.open(ran, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if ran else None
        self.connections = self.count = 0
        self.made = made  # whether it tells when its copies were made: just now
        self.steady = steady
        self.addresses = addresses  # on how many of the loopback, each as a cache of its own; 0: 127.0.0.1

    def wait(self):
        return self.service * (1.0 if self.steady else 0.5 + self.chance.random())

    def came(self, call_id, fields):
        """Called as a whole request comes in."""

    def note(self, call_id):
        self.count += 1
        if self.file is not None:
            os.write(self.file, b"%s 0 get\n" % call_id)

    async def serve(self):
        listener = socket.create_server(
            (address_of(0) if self.addresses else "127.0.0.1", self.port), backlog=512
        )
        port = listener.getsockname()[1]
        listeners = [listener] + [
            socket.create_server((address_of(at), port)) for at in range(1, self.addresses)
        ]
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        print(f"listening 127.0.0.1:{listener.getsockname()[1]}", flush=True)
        for one in listeners:
            self.accept_from(one)
        await stop.wait()
        print(f"ran {self.count} connections {self.connections} closes 0", flush=True)

    def accept_from(self, listener):
        """Takes the connections of a listening socket from now on, in the running event loop."""
        listener.setblocking(False)
        asyncio.get_running_loop().add_reader(listener, self._accept, listener)

    def _accept(self, listener):
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        Peer(self, sock)


def main(given):
    flags = argparse.ArgumentParser(prog="python -m standins.lines", description=__doc__.split("\n")[0])
    for name, kind, default in (
        ("port", int, 0),
        ("seed", int, 0),
        ("service", float, 0.0),
        ("size", int, 5),
        ("ran", str, None),
        ("steady", int, 0),
        ("made", int, 0),
        ("addresses", int, 0),
    ):
        flags.add_argument("--" + name, type=kind, default=default)
    uvloop.run(Server(**vars(flags.parse_args(given))).serve())


if __name__ == "__main__":
    main(sys.argv[1:])
