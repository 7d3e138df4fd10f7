"""Starts the programs of one case, writes its record, and sends its GETs. Each case has its own copy."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from standins.ports import free_port

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 110

SETTINGS = {
    "allowed": {
        "attemptsCap": 6,
        "cancel": True,
        "connectTimeout": 400_000,
        "keepalive": 15_000_000,
        "maxRetryAfter": 1_000_000,
        "maxStreams": 100,
        "retryAfter": True,
    },
    "categories": [
        {
            "name": "media",
            "aim": 400_000,
            "aimStretch": 2.0,
            "effect": "pure",
            "worth": 2.0,
            "deadline": 6_000_000,
        },
        {"name": "order", "aim": 800_000, "effect": "side_effect", "worth": 3.0, "deadline": 3_000_000},
    ],
    "failureDomains": ["here"],
    "shapes": ["std", "parent", "origin"],
    "myZone": 0,
    "guarantees": {
        "coldFrom": 0.2,
        "drainGrace": 1_000_000,
        "fallMultiple": 4.0,
        "overloadFor": 1_000_000,
        "warmUp": 15_000_000,
    },
    "specifics": {
        "shieldKind": 1,
        "storeKind": 2,
        "classFresh": [0, 0],
        "usableAfter": [0, 0],
        "goesThrough": [False, True],
        "neighbours": "location",
        "straight": True,
        "says": "all",
        "obeyAfter": 1_000_000,
        "purgeDone": 6_000_000,
    },
}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


def unix_ms():
    return time.time_ns() // 1_000_000


class Record:
    """What was sent, answered and run, a line each with its time (Unix, ms)."""

    def __init__(self):
        self.file = (HERE / "record.txt").open("w", buffering=1)
        self.lock = threading.Lock()

    def __call__(self, what, **fields):
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{unix_ms()} {what} {told}\n")


class Program:
    """A process of this case; `lines` has what it printed, parsed where that is JSON."""

    def __init__(self, case, name, command, env=None, stdin=None):
        self.case, self.name, self.lines, self.added = case, name, [], threading.Condition()
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1", **(env or {})},
            stdin=stdin,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        case.programs.append(self)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            try:
                said = json.loads(line)
            except ValueError:
                said = line.decode(errors="replace").rstrip()
            if isinstance(said, dict) and said.get("event") not in ("second", None):
                self.case.record(f"log {self.name}", line=line.decode(errors="replace").rstrip())
            with self.added:
                self.lines.append(said)
                self.added.notify_all()

    def until(self, wanted, timeout_s=20, since=0):
        """Return the first line for which `wanted` is true; CannotRun without one in time."""
        end = time.monotonic() + timeout_s
        with self.added:
            while True:
                for line in self.lines[since:]:
                    if wanted(line):
                        return line
                if self.process.poll() is not None or (left := end - time.monotonic()) <= 0:
                    raise CannotRun(f"{self.name} did not say what was waited for: {self.lines[-3:]}")
                self.added.wait(left)

    def event(self, name, timeout_s=20, since=0, **fields):
        return self.until(
            lambda line: (
                isinstance(line, dict)
                and line.get("event") == name
                and all(line.get(key) == value for key, value in fields.items())
            ),
            timeout_s,
            since,
        )

    def kill(self):
        self.case.record("killed", name=self.name)
        self.process.kill()
        self.process.wait()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Case:
    """One run: a temporary folder, the record, and all programs, which end with it."""

    def __init__(self):
        self.programs, self.record, self.ids = [], Record(), int.from_bytes(os.urandom(4), "big") << 32
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)

    def python(self, name, *arguments, env=None, stdin=None):
        return Program(self, name, [sys.executable, *map(str, arguments)], env, stdin)

    def bus(self, count=1):
        """The project's event bus, a port for each front; returns (program, addresses)."""
        bus = self.python("bus", "-m", "standins.bus", "--count", count, stdin=subprocess.PIPE)
        bus.until(lambda _: len(bus.lines) >= count)
        return bus, bus.lines[:count]

    def tell(self, bus, event, to=(0,)):
        self.record("bus tells", to=list(to), event=json.dumps(event))
        bus.process.stdin.write(json.dumps({"to": list(to), "event": event}).encode() + b"\n")
        bus.process.stdin.flush()

    def cache(self, name, **flags):
        """A cache or origin of the project's that speaks lines and writes down what ran; returns its address."""
        given = [part for key, value in flags.items() for part in (f"--{key}", value)]
        server = self.python(name, "-m", "standins.lines", "--ran", self.folder / f"ran-{name}", *given)
        return server.until(lambda line: str(line).startswith("listening")).split()[1]

    def ran(self, name):
        """The call ids of what a cache ran, in order."""
        path = self.folder / f"ran-{name}"
        return [line.split()[0] for line in path.read_text().splitlines()] if path.exists() else []

    def configure(self, name, bus, hosts, settings=SETTINGS, offset=1, port=None):
        """Write a front's configuration; returns (file, port)."""
        port = port or free_port()
        path = self.folder / f"{name}.json"
        known = [{"offset": offset, "topology": {"seq": offset, "whole": True, "hosts": hosts}}]
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"127.0.0.1:{port}",
                    "seed": os.urandom(8).hex(),
                    "bus": bus,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "flow_bytes_per_s": 1_000_000,
                    "link_bytes_per_s": 10_000_000,
                    "known": {"offset": offset, "batch": known},
                    "settings": settings,
                }
            )
        )
        return path, port

    def front(self, name, config, kdl=None):
        """Start a front: as the platform does, or with an operator's file."""
        command = ["-m", "sprucegate"]
        if kdl is not None:
            path = self.folder / f"{name}.kdl"
            path.write_text(kdl)
            command += ["front", "--file", path]
        self.record("front starts", name=name)
        return self.python(name, *command, env={"BALANCER_CONFIG": str(config)})

    def next_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    def get(self, port, obj, patience_ms=3000, part=1, extra="", timeout_s=8.0):
        """Send one GET on a connection of its own; returns (id, status, headers, body), status 0 for none."""
        call_id = self.next_id()
        self.record("get sent", port=port, id=call_id, object=f"{obj:016x}", patience=patience_ms)
        status, headers, body = 0, {}, b""
        try:
            with socket.create_connection(("127.0.0.1", port), timeout_s) as sock:
                sock.sendall(
                    f"GET /svc/media/{obj:016x}/slice-{part} HTTP/1.1\r\nHost: api.internal\r\n"
                    f"X-Call-Id: {call_id}\r\nX-Patience-Ms: {patience_ms}\r\nX-Set: 17\r\n"
                    f"X-Heap-Kb: 4.5\r\n{extra}\r\n".encode()
                )
                status, headers, body = read_answer(sock)
        except OSError as fault:
            self.record("get failed", id=call_id, fault=type(fault).__name__)
        self.record("get answered", id=call_id, status=status, body=body[:40])
        return call_id, status, headers, body

    def live(self, port, timeout_s=20):
        """Wait until GET /status/live is 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                with socket.create_connection(("127.0.0.1", port), 2) as sock:
                    sock.sendall(b"GET /status/live HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                    if read_answer(sock)[0] == 200:
                        return self.record("live", port=port)
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"no front is live at port {port}")

    def close(self):
        for program in reversed(self.programs):
            program.end()
        self.temporary.cleanup()


def read_answer(sock):
    """Return (status, headers, body) of one answer; status 0 if the connection ends before it is whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65_536)
        if not piece:
            return 0, {}, b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = {
        k.strip().lower().decode(): v.strip().decode() for k, _, v in (ln.partition(b":") for ln in lines)
    }
    size = int(headers.get("content-length", 0))
    while len(body) < size:
        piece = sock.recv(65_536)
        if not piece:
            return 0, {}, b""
        body += piece
    return int(first.split()[1]), headers, body


def host(name, address, kind, health="up", born_ms=0):
    return {
        "host": name,
        "dial": address,
        "site": "here",
        "class": kind,
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def main(run):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    def too_long(*_):
        raise CannotRun("the case took too long")

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    signal.alarm(LIMIT_S)
    case, status = Case(), NOT_RUN
    case.record("begins", trouble=TROUBLE)
    try:
        broken = run(case)
        status = BROKEN if broken else HELD
        case.record("verdict", broken=broken or "no")
        print(broken or "held")
    except Exception as fault:  # whatever it was, it says nothing about the rule
        case.record("could not run", fault=f"{type(fault).__name__}: {fault}")
        print(f"could not run: {type(fault).__name__}: {fault}", file=sys.stderr)
    finally:
        signal.alarm(0)
        case.close()
    sys.exit(status)
