"""Starts fronts and voters as separate processes between small stand-ins, and writes down what is sent and answered.

The stand-ins (caches that speak the line protocol, an event bus for each front, HTTP clients) run in the event loop of
the test. All addresses are loopback addresses. `run(case)` ends all processes and returns the exit status of a script:
1 rule broken, 0 rule held, 2 the case could not run.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIME_LIMIT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def run_command():
    """Return the command of the deploy file that starts a front."""
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


def free_port():
    """Return a free port below those that the system gives out by itself."""
    for _ in range(1000):
        port = random.randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise NotRun("no free port")


def unix_ms():
    return time.time_ns() // 1_000_000


class Record:
    """The file record.txt: one line an event, with the milliseconds since the script's start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def __call__(self, *words):
        ms = int((time.monotonic() - self.began) * 1000)
        print(f"{ms:7d}", *words, file=self.file)


class Box:
    """A cache, parent or origin that speaks the line protocol.

    `served` holds (monotonic time, call id, fields) of each request that came whole. `respond(call, fields)` may be
    replaced; it returns the bytes of an answer, or None for none.
    """

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.served, self.server, self.address, self.writers = [], None, "", set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def respond(self, call, fields):
        body = b"x" * 20
        return b"%b served etag=t1,made=%d,remark=cached %d\r\n%b\r\n" % (call, unix_ms(), len(body), body)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        tasks = set()
        try:
            while words := (await reader.readline()).split():
                if words[0] == b"health":
                    writer.write(b"%b green - 0\r\n\r\n" % words[1])
                if words[0] != b"serve":
                    self.record("box", self.name, "<-", b" ".join(words).decode())
                    continue
                await reader.readexactly(int(words[3]) + 2)
                fields = dict(pair.split("=", 1) for pair in words[2].decode().split(",") if "=" in pair)
                self.served.append((time.monotonic(), words[1].decode(), fields))
                self.record("box", self.name, "<-", b" ".join(words).decode())
                task = asyncio.ensure_future(self._answer(words[1], fields, writer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, call, fields, writer):
        answer = await self.respond(call, fields)
        if answer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write(answer)

    def count_since(self, since):
        return sum(at >= since for at, _, _ in self.served)


class Bus:
    """The event bus of one front: server-sent events, numbered after those that the configuration holds."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.events, self.fresh, self.address, self.server = [], asyncio.Event(), "", None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def tell(self, **event):
        said = {"offset": len(self.events) + 2, **event}
        self.record("bus", self.name, "tells", json.dumps(said))
        self.events.append(said)
        self.fresh.set()
        self.fresh = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = int(head.lower().split(b"last-event-id:")[1].split(b"\r\n")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while True:
                for event in [one for one in self.events if one["offset"] > last]:
                    last = event["offset"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.fresh.wait(), 1)
                writer.write(b":\n\n")
        except (OSError, RuntimeError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Process:
    """A process of the project; `lines` holds the parsed lines of its log."""

    def __init__(self, rig, name, command, env=None):
        self.rig, self.name, self.command, self.env = rig, name, command, env or {}
        self.lines, self.process, self.reader = [], None, None

    async def start(self):
        self.rig.record("start", self.name, self.command)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.command,
            cwd=ROOT,
            env={**os.environ, **self.env},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
            limit=1 << 22,
        )
        self.rig.pids.append(self.process.pid)
        self.reader = asyncio.ensure_future(self._read(self.process.stdout))
        return self

    async def _read(self, stream):
        while line := await stream.readline():
            try:
                parsed = json.loads(line)
            except ValueError:
                parsed = {"event": "text", "text": line.decode(errors="replace").rstrip()}
            self.lines.append(parsed)
            if parsed.get("event") != "second":
                self.rig.record("log", self.name, json.dumps(parsed))

    async def until(self, event, since=0, timeout=20, **wanted):
        """Wait for a line of the log and return it."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for line in self.lines[since:]:
                if line.get("event") == event and all(line.get(k) == v for k, v in wanted.items()):
                    return line
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise NotRun(f"{self.name}: no {event} {wanted} in its log")

    def seen(self, event, since=0):
        return [line for line in self.lines[since:] if line.get("event") == event]

    def send_signal(self, number):
        self.rig.record("signal", self.name, signal.Signals(number).name)
        os.killpg(self.process.pid, number)

    async def stop(self, number=signal.SIGTERM, timeout=15):
        self.send_signal(number)
        await asyncio.wait_for(self.process.wait(), timeout)
        self.rig.record("ended", self.name, self.process.returncode)


class Front(Process):
    """One front with its configuration; `kdl` is the text of its operator's file, "" for none."""

    def __init__(self, rig, name, kdl="", **config):
        self.folder = rig.folder / name
        self.folder.mkdir(exist_ok=True)
        self.port = free_port()
        (self.folder / "front.json").write_text(
            json.dumps({"name": name, "listen": f"127.0.0.1:{self.port}", **config})
        )
        command = run_command()
        if kdl:
            (self.folder / "front.kdl").write_text(kdl)
            command += f" front --file {self.folder / 'front.kdl'}"
        super().__init__(rig, name, command, {"BALANCER_CONFIG": str(self.folder / "front.json")})

    async def ready(self, timeout=30):
        await self.start()
        await self.until("ready", len(self.lines), timeout)
        return self

    async def live(self):
        """Return the status of GET /status/live, 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return 0
        try:
            writer.write(b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n")
            return int((await asyncio.wait_for(reader.readline(), 3)).split()[1])
        except (OSError, IndexError, TimeoutError):
            return 0
        finally:
            writer.close()

    async def get(self, obj, ds="media", part=1, patience=1500, headers="", method="GET", body=b""):
        """Send one request on a connection of its own; return (status, body), status 0 for no whole answer."""
        self.rig.requests += 1
        call = f"{self.rig.requests:016x}"
        self.rig.record("client", self.name, "->", method, ds, f"{obj:x}", part, call, headers.strip())
        try:
            status, answer = await asyncio.wait_for(
                self._exchange(call, obj, ds, part, patience, headers, method, body), patience / 1000 + 3
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as fault:
            status, answer = 0, type(fault).__name__.encode()
        self.rig.record("client", self.name, "<-", call, status, answer[:40])
        return status, answer

    async def _exchange(self, call, obj, ds, part, patience, headers, method, body):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(
                f"{method} /svc/{ds}/{obj:016x}/slice-{part} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {call}\r\n"
                f"X-Patience-Ms: {patience}\r\nX-Set: 17\r\nX-Heap-Kb: 4.5\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            return int(head.split()[1]), await reader.readexactly(length)
        finally:
            writer.close()


class Rig:
    """What one case needs: folder, record, processes."""

    def __init__(self, folder):
        self.here = Path(folder).resolve()
        self.folder = Path(tempfile.mkdtemp(prefix="sprucegate-review-"))
        self.record = Record(self.here / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.pids, self.requests = [], 0
        self.record("trouble" if self.trouble else "no trouble")

    async def command(self, *words):
        """Run a command of the project, as an operator does; return (exit status, output)."""
        text = " ".join([run_command().removeprefix("exec "), *words])
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            text,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
        )
        self.pids.append(process.pid)
        out, _ = await asyncio.wait_for(process.communicate(), 20)
        self.pids.remove(process.pid)
        self.record("command", *words, "->", process.returncode, out.decode().strip()[:300])
        return process.returncode, out.decode()

    def end(self):
        for pid in self.pids:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(pid, signal.SIGKILL)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case):
    """Run `case(rig)`, a coroutine function that returns HELD or BROKEN, and exit with its status."""
    rig = Rig(folder)
    status = NOT_RUN

    async def main():
        # Stand-ins whose peer was killed have nothing to report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(case(rig), TIME_LIMIT_S)
        finally:
            rig.end()
            await asyncio.sleep(0.2)

    try:
        status = asyncio.run(main())
    except NotRun as fault:
        rig.record("could not run:", fault)
    except TimeoutError:
        rig.record("could not run: out of time")
    except Exception:
        rig.record("could not run:", traceback.format_exc())
    rig.record("result", {HELD: "rule held", BROKEN: "rule BROKEN", NOT_RUN: "not run"}[status])
    print({HELD: "rule held", BROKEN: "rule BROKEN", NOT_RUN: "could not run"}[status])
    sys.exit(status)


SETTINGS = {
    "allowed": {"cancel": True, "connectTimeout": 400_000, "keepalive": 15_000_000, "attemptsCap": 6},
    "categories": [{"name": "media", "aim": 400_000, "effect": "pure", "worth": 2.0, "deadline": 3_000_000}],
    "failureDomains": ["here"],
    "shapes": ["std", "parent", "origin"],
    "myZone": 0,
    "guarantees": {"drainGrace": 1_000_000},
    "specifics": {
        "clientKbPerS": 1000.0,
        "shieldKind": 1,
        "storeKind": 2,
        "classFresh": [0],
        "usableAfter": [0],
        "neighbours": "location",
    },
}


def config(bus, hosts, settings=None, seed="7f"):
    """Return the fields of front.json besides name and listen."""
    return {
        "seed": seed,
        "bus": bus.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "flow_bytes_per_s": 1_000_000,
        "link_bytes_per_s": 10_000_000,
        "known": {
            "offset": 1,
            "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}],
        },
        "settings": settings or SETTINGS,
    }


def host(box, kind="std", health="up", share=1.0, born_ms=0):
    """Return a server's entry in a list of the event bus."""
    return {
        "host": box.name,
        "dial": box.address,
        "site": "here",
        "class": kind,
        "block": 0,
        "health": health,
        "share": share,
        "born_ms": born_ms,
    }


def server_line(box, kind="std", state="serving"):
    """Return a server's line in a watched list."""
    return f'    server "{box.name}" address="{box.address}" location="here" kind="{kind}" state="{state}"\n'


def write_list(path, lines):
    """Write a watched list whole and rename it over the former one."""
    new = Path(f"{path}.written")
    new.write_text("servers {\n" + "".join(lines) + "}\n")
    new.replace(path)
