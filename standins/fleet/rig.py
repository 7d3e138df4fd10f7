"""Run real front processes with relays between them, stand-in caches, an origin and a bus; methods inject faults.

with Rig(folder, 3) as rig:
    rig.start_all()
    rig.purge(["n0"], 0x7f3a, at)
    rig.until("n2", "holds", lambda: ...)
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from standins.faults import Faults
from standins.ports import free_port
from standins.processes import Process

S = 1_000_000_000
SETTINGS = {
    "allowed": {"cancel": True, "connectTimeout": 200_000, "keepalive": 15_000_000, "attemptsCap": 6},
    "categories": [{"name": "media", "aim": 400_000, "effect": "pure", "worth": 2.0, "deadline": 3_000_000}],
    "failureDomains": ["here"],
    "shapes": ["std", "parent", "origin"],
    "myZone": 0,
    "specifics": {
        "clientKbPerS": 1000.0,
        "shieldKind": 1,
        "storeKind": 2,
        "classFresh": [0],
        "usableAfter": [0],
        "neighbours": "location",
    },
}


class CommandProcess:
    """A process that prints its listening addresses, then reads commands from stdin as lines of JSON."""

    def __init__(self, module, *flags, count):
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *flags], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.addresses = [self.process.stdout.readline().strip() for _ in range(count)]

    def send(self, **command):
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class FrontProcess:
    """The files of one front and its process, None until it is started; `lines` holds its parsed log.

    `checkout`: root folder of another build of sprucegate for the process to run; None for this build."""

    def __init__(self, rig, name, number):
        self.rig, self.name, self.number, self.process = rig, name, number, None
        self.checkout = None
        self.folder = rig.folder / name
        self.folder.mkdir()
        self.faults = Faults(self.folder / "faults")
        self.port, self.fleet_port = free_port(), free_port()
        self.lines, self.line_added = [], threading.Condition()

    def configure(self, bus, advertise, join):
        known = [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": self.rig.hosts}}]
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "flow_bytes_per_s": 1e7,
                    "link_bytes_per_s": 1e8,
                    "seed": f"{self.number + 7:x}",
                    "name": self.name,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": SETTINGS,
                    "listen": f"127.0.0.1:{self.port}",
                    "bus": bus,
                    "known": {"offset": 1, "batch": known},
                }
            )
        )
        seeds = " ".join(f'"{address}"' for address in join)
        (self.folder / "front.kdl").write_text(
            f'fleet {{\n    name "rig"\n    listen "127.0.0.1:{self.fleet_port}"\n    advertise "{advertise}"\n'
            f'    join {seeds}\n    state "{self.folder / "state"}"\n    alone-after (s)2\n{self.rig.kdl}}}\n'
            + self.rig.more.format(name=self.name)
        )

    def start(self):
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.faults",
                self.faults.path,
                "front",
                "--file",
                str(self.folder / "front.kdl"),
            ],
            stdout=subprocess.PIPE,
            cwd=self.checkout,
            env={**os.environ, "BALANCER_CONFIG": str(self.folder / "config.json")},
        )
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()

    def _read(self, process):
        try:
            for line in process.stdout:
                with self.line_added:
                    self.lines.append(json.loads(line))
                    self.line_added.notify_all()
        except ValueError:
            pass  # the pipe was closed because the process was killed

    def seen(self, event, since=0, **wanted):
        return [
            line
            for line in self.lines[since:]
            if line["event"] == event and all(line.get(k) == v for k, v in wanted.items())
        ]

    def until(self, event, since=0, timeout_s=20, **wanted):
        """Wait for the first matching log line at or after index `since`; fail after `timeout_s`."""
        deadline = time.monotonic() + timeout_s
        with self.line_added:
            while not (matches := self.seen(event, since, **wanted)):
                left = deadline - time.monotonic()
                assert left > 0, (self.name, event, wanted, self.lines[-5:])
                self.line_added.wait(left)
        return matches[0]

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def ask(self, what, *given):
        """Return the answer to an operator's request, as the command line gets it; None without an answer."""
        from sprucegate.fleet.links import codec
        from sprucegate.storage import records

        data = b""
        try:
            with socket.create_connection(("127.0.0.1", self.fleet_port), 3) as sock:
                sock.sendall(
                    codec.encode_greeting(codec.Greeting(codec.VERSION, "rig", "operator", "", "", 0))
                    + codec.encode_question(codec.Question(what, list(given)))
                )
                while piece := sock.recv(1 << 16):
                    data += piece
            length, _ = records.HEADER.unpack_from(data)
            return json.loads(data[records.HEADER.size + length :])
        except (OSError, ValueError, records.struct.error):
            return None

    def holds(self):
        """Return {(kind, key...): value or state} of the facts that it reports, which are a thousand at most."""
        answer = self.ask("facts")
        return (
            {(f["kind"], *f["key"]): f.get("state", f.get("value")) for f in answer["facts"]}
            if answer
            else {}
        )

    def live(self):
        """Return the status code of GET /status/live; 0 if the port does not answer."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), 2) as sock:
                sock.sendall(b"GET /status/live HTTP/1.1\r\nHost: a\r\n\r\n")
                return int(sock.recv(4096).split()[1])
        except (OSError, IndexError, ValueError):
            return 0


class VoterProcess(FrontProcess):
    """A voter of the replicated log that runs without a front."""

    def __init__(self, rig, name):
        super().__init__(rig, name, 0)

    def configure(self):
        (self.folder / "front.kdl").write_text(
            f'fleet {{\n    name "rig"\n    listen "127.0.0.1:{self.fleet_port}"\n}}\n'
            + self.rig.more.format(name=self.name)
        )

    def start(self, *flags):
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.faults",
                self.faults.path,
                "fleet",
                "keeper",
                self.name,
                "--file",
                str(self.folder / "front.kdl"),
                *flags,
            ],
            stdout=subprocess.PIPE,
            cwd=self.checkout,
        )
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()


class Rig:
    def __init__(
        self,
        folder,
        size,
        caches=2,
        seed=0,
        kdl="",
        more="",
        keepers=0,
        budgets='"fleet cache 1 1.0"',
        boxes=None,
        kinds=(),
    ):
        """`boxes`, `kinds`: servers that already run, the origin last, and the kind of each. Without them the rig
        starts `caches` stand-in caches of 1 ms service time and an origin.

        `kdl` is added to the `fleet` block of each front's file, `more` after that block, with {name} for the front's
        name. `keepers`: count of voter processes k0, k1, ...; `budgets`: budgets of the rollout."""
        self.folder, self.kdl, self.more, self.offset, self.relay = folder, kdl, more, 1, None
        self.duplicates, self.duplicate_bus, self.duplicate_relay, self.requests = [], None, None, 0
        self.boxes = boxes or [
            Process("lines", service=0.001, made=1, ran=folder / f"ran-{at}") for at in range(caches + 1)
        ]
        self.hosts = [
            self.host(at, kinds[at] if kinds else "std" if at < caches else "origin")
            for at in range(len(self.boxes))
        ]
        self.names = [f"n{at}" for at in range(size)]
        self.fronts = {name: FrontProcess(self, name, at) for at, name in enumerate(self.names)}
        self.bus = CommandProcess("standins.bus", "--count", str(size), count=size)
        self.keepers = {f"k{at}": VoterProcess(self, f"k{at}") for at in range(keepers)}
        self.relay = CommandProcess(
            "standins.fleet.relay",
            "--seed",
            str(seed),
            *[f"{f.name}=127.0.0.1:{f.fleet_port}" for f in [*self.fronts.values(), *self.keepers.values()]],
            count=size + keepers,
        )
        if keepers:
            at = dict(zip(self.keepers, self.relay.addresses[size:], strict=True))
            self.more += (
                'agreement {{{{\n    keepers {}\n    state "{}/{{name}}/keeper"\n}}}}\n'
                "rollout {{{{\n    budgets {}\n    spare 1.0\n}}}}\n"
            ).format(" ".join(f'"{name}={address}"' for name, address in at.items()), folder, budgets)
        for front, bus, advertise in zip(
            self.fronts.values(), self.bus.addresses, self.relay.addresses, strict=False
        ):
            front.configure(bus, advertise, self.relay.addresses[: min(3, size)])
        for keeper in self.keepers.values():
            keeper.configure()

    def host(self, at, kind, health="up"):
        return {
            "host": f"s-{at + 16:02x}",
            "dial": self.boxes[at].address,
            "site": "here",
            "class": kind,
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for front in [*self.fronts.values(), *self.keepers.values(), *self.duplicates]:
            if front.process is not None and front.process.poll() is None:
                front.signal(signal.SIGCONT)
                front.kill()
        for helper in (self.bus, self.relay, self.duplicate_bus, self.duplicate_relay):
            if helper is not None:
                helper.stop()
        for box in self.boxes:
            box.stop()

    # Schedule steps and waits.

    def start_all(self, timeout_s=30):
        for front in [*self.keepers.values(), *self.fronts.values()]:
            front.start()
        for front in self.fronts.values():
            front.until("ready", timeout_s=timeout_s)
        self.wait_until_all_alive(timeout_s)
        if self.keepers:
            count = len(self.boxes) - 1 + len(self.names)
            self.wait(
                lambda: all(
                    (state := self.agreed(name)).get("fronts") == sorted(self.names)
                    and state["boxes"] == count
                    for name in self.names
                ),
                timeout_s,
            )

    # The replicated log.

    def agreed(self, name):
        """Return a front's copy of the log's state; {} if it does not answer."""
        return self.fronts[name].ask("agreed") or {}

    def propose(self, name, *command, id=None):
        """Send an operator's command through a front and return the answer; {} if the front does not answer."""
        self.requests += 1
        id = id or f"q{self.requests}"
        return self.fronts[name].ask("propose", json.dumps(["once", id, list(command)])) or {}

    def leader(self):
        """Return the name of the voter that leads in the highest term; "" if none says that it leads."""
        votings = {
            name: (k.ask("agreed") or {}).get("voting") or {}
            for name, k in self.keepers.items()
            if k.process is not None and k.process.poll() is None
        }
        leaders = [(v["term"], name) for name, v in votings.items() if v.get("role") == "leader"]
        return max(leaders)[1] if leaders else ""

    def permit(self, name, id):
        """Return an open permit as the front has it; {} if it has ended or is unknown there."""
        return next((p for p in self.agreed(name).get("permits", ()) if p["id"] == id), {})

    def step_of(self, name, id):
        """Return the step of an open or ended permit as the front has it; "" if it is unknown there."""
        state = self.agreed(name)
        steps = {p["id"]: p["step"] for p in state.get("permits", ())} | state.get("ended", {})
        return steps.get(id, "")

    def step(self, id, step, names=None, timeout_s=20):
        """Wait until the permit is at `step` at each front of `names`, by default at all."""
        self.wait(lambda: all(self.step_of(name, id) == step for name in names or self.names), timeout_s)

    def phase(self, release, phase, timeout_s=60):
        """Wait until the release is in `phase` at all fronts."""

        def has_phase():
            return all(
                {r["name"]: r["phase"] for r in self.agreed(name).get("releases", ())}.get(release) == phase
                for name in self.names
            )

        self.wait(has_phase, timeout_s)

    def wait_until_all_alive(self, timeout_s=30, names=None):
        """Wait until each front of `names`, by default all, lists all of them as alive."""
        names = list(names or self.names)

        def all_alive():
            for name in names:
                status = self.fronts[name].ask("status")
                if status is None or not {
                    m["name"] for m in status["members"] if m["standing"] == "alive"
                } >= set(names):
                    return False
            return True

        self.wait(all_alive, timeout_s)

    def wait(self, what, timeout_s=20):
        """Poll until `what()` is true: for conditions that no log event reports."""
        deadline = time.monotonic() + timeout_s
        while not what():
            assert time.monotonic() < deadline, what
            time.sleep(0.01)

    def tell(self, names, **event):
        self.bus.send(to=[self.names.index(name) for name in names], event=event)

    def purge(self, names, obj, at):
        """Send a purge of `obj` to those fronts by their bus; `at`: Unix ms."""
        self.tell(names, ban={"url": f"{obj:x}", "ts": at})

    def purge_at(self, front, obj, at):
        """Send a purge to one front, which may be a duplicate, by its bus."""
        (self.bus if front in self.fronts.values() else self.duplicate_bus).send(
            to=[front.number if front in self.fronts.values() else 0],
            event={"ban": {"url": f"{obj:x}", "ts": at}},
        )

    def duplicate(self, name):
        """Return a second front of that name, not yet started, with its own folder, ports, bus and relay."""
        (self.folder / "twin").mkdir()
        duplicate, self.folder = None, self.folder / "twin"
        try:
            duplicate = FrontProcess(self, name, 0)
        finally:
            self.folder = self.folder.parent
        self.duplicate_bus = CommandProcess("standins.bus", count=1)
        self.duplicate_relay = CommandProcess(
            "standins.fleet.relay", f"{name}=127.0.0.1:{duplicate.fleet_port}", count=1
        )
        duplicate.configure(
            self.duplicate_bus.addresses[0], self.duplicate_relay.addresses[0], self.relay.addresses[:2]
        )
        self.duplicates.append(duplicate)
        return duplicate

    def ran(self, box):
        """Return the count of GETs that a cache has run so far."""
        with open(self.folder / f"ran-{box}") as file:
            return sum(1 for _ in file)

    def health(self, names, box, health):
        kind = "std" if box < len(self.boxes) - 1 else "origin"
        self.offset += 1
        self.tell(
            names, topology={"seq": self.offset, "whole": False, "hosts": [self.host(box, kind, health)]}
        )

    def inject_fault(self, do, **parameters):
        self.relay.send(do=do, **parameters)
        assert self.relay.process.stdout.readline() == "set\n"

    def split(self, one, other):
        self.inject_fault("cut", **{"from": one, "to": other})
        self.inject_fault("cut", **{"from": other, "to": one})

    def wait_for_fact(self, key, value, names=None, timeout_s=20):
        """Wait until each front of `names`, by default all, holds at least `value` of the fact `key`."""

        def all_have_value():
            return all(_at_least(self.fronts[name].holds().get(key), value) for name in names or self.names)

        self.wait(all_have_value, timeout_s)

    def get(self, name, obj, call_id, sock=None, extra=""):
        """Send one GET through a front and return status and body; `extra`: header lines, each with its CRLF."""
        connection = sock or socket.create_connection(("127.0.0.1", self.fronts[name].port), timeout=5)
        connection.sendall(
            f"GET /svc/media/{obj:016x}/slice-1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: {call_id:016x}\r\n"
            f"X-Patience-Ms: 1500\r\nX-Set: 17\r\nX-Heap-Kb: 4.5\r\n{extra}Content-Length: 0\r\n\r\n".encode()
        )
        head = b""
        while b"\r\n\r\n" not in head:
            if not (piece := connection.recv(65_536)):
                return 0, b""
            head += piece
        head, _, body = head.partition(b"\r\n\r\n")
        size = next(
            (
                int(v)
                for k, _, v in (line.partition(b":") for line in head.split(b"\r\n")[1:])
                if k.lower() == b"content-length"
            ),
            0,
        )
        while len(body) < size:
            body += connection.recv(65_536)
        if sock is None:
            connection.close()
        return int(head.split()[1]), body


def _at_least(held, value):
    if held is None:
        return False
    return held >= value if isinstance(value, int) else held == value
