"""How tests make two events cross in one order: a front that stands still, servers that hold back."""

import os
import queue
import select
import signal
import socket

from helpers import REAL, Front, cache, host, served

from standins.ports import free_port

QUIET_S = 0.5  # in which another request would have arrived
LIVE = b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n"


def key(at):
    return f"{at:016x}"


def answer_of(sock):
    """All bytes up to the end that the front makes; a reset in between is an error."""
    return b"".join(iter(lambda: sock.recv(65_536), b""))


def serves_heard(server):
    """The requests that a stand-in server heard, as (word, id, fields, body), until it was quiet for a while."""
    found = []
    while True:
        try:
            found.append(server.heard.get(timeout=QUIET_S))
        except queue.Empty:
            return [row for row in found if row[0] == b"serve"]


def is_readable(sock, seconds):
    """Whether a socket can be read within so long; unlike select(2) for descriptors of any number."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(seconds * 1000))


def held(go):
    def reply(call_id, fields, body):
        go.wait(10)
        return served(call_id, fields)

    return reply


def two(path, reply=served, origin=served, **more):
    """A front with one cache and an origin."""
    box, root = cache(reply), cache(origin)
    return (
        Front(path, host("s-0b", box.address, "std"), host("s-1f", root.address, "origin"), **more),
        box,
        root,
    )


def not_started(path):
    """The configuration of a front that a test starts itself: one cache that refuses, discovery down."""
    front = Front.__new__(Front)
    front.config = {
        **REAL,
        "listen": f"127.0.0.1:{free_port()}",
        "bus": f"127.0.0.1:{free_port()}",
        "known": {
            "offset": 1,
            "batch": [
                {
                    "offset": 1,
                    "topology": {"seq": 1, "whole": True, "hosts": [host("s-0b", "127.0.0.1:9", "std")]},
                }
            ],
        },
    }
    front.file = path / "config.json"
    front.configure()
    return front


def stopped(front):
    """The front stands still, so that what comes meanwhile is all there at once when it goes on."""
    os.kill(front.process.pid, signal.SIGSTOP)
    os.waitid(os.P_PID, front.process.pid, os.WSTOPPED | os.WNOWAIT)


def second(front, is_so):
    """Waits until a line of the log, of which there is one a second, says so."""
    for _ in range(10):
        if is_so(front.until("second")):
            return
    raise AssertionError("not so in ten seconds")


def goes_on(front):
    os.kill(front.process.pid, signal.SIGCONT)


def fill_queue(listener):
    """Connections that fill the queue of a listening socket with a backlog of 0, so that it drops further SYNs."""
    fillers = []
    for _ in range(3):  # one more than a queue of 0 holds
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    return fillers


class Uphill:
    """A server whose connections come up only once it `lets` them: its queue is full, SYNs are dropped."""

    def __init__(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.fillers = fill_queue(self.sock)

    def lets(self):
        """The first connection of the front, as a file, once it is up."""
        self.sock.settimeout(10)
        ours = {filler.getsockname() for filler in self.fillers}
        while True:
            sock, at = self.sock.accept()
            if at not in ours:
                sock.settimeout(10)
                return sock.makefile("rb")
            sock.close()


SLOW_TO_CONNECT = {
    **REAL["settings"],
    "allowed": {**REAL["settings"]["allowed"], "connectTimeout": 9_000_000},
    "categories": [
        {**one, "aim": 6_000_000, "deadline": 8_000_000} for one in REAL["settings"]["categories"]
    ],
}
NEVER_CANCELS = {**SLOW_TO_CONNECT, "allowed": {**SLOW_TO_CONNECT["allowed"], "cancel": False}}


def until_open(front, count):
    second(front, lambda said: said["open"] == count)


KINDS = {"lines": None, "http2": "servers {\n    speak http2 kind=std\n    speak http2 kind=origin\n}\n"}


def uphill(path, settings, kdl=None, origin=None, **more):
    hill, root = Uphill(), cache(served) if origin is None else origin
    front = Front(
        path,
        host("s-0b", hill.address, "std"),
        host("s-1f", root.address, "origin"),
        settings=settings,
        kdl=kdl,
        **more,
    )
    return front, hill, root
