"""What a front needs as the fleet has more caches: the same traffic, limits and total capacity, 200 to 3,200 caches.

The platform's front between one stand-in process that answers on an address for each cache, and a bus that tells of
changes, as many a second as there are more caches. Figures are ratios of the largest fleet over the usual one.
"""

import http.client
import json
import os
import queue
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks.front import _Bus, _memory, _stat
from benchmarks.http2_closes import SETTINGS
from standins.lines import address_of
from standins.ports import free_port
from standins.processes import Process

CHANGED_AFTER = 100.0  # seconds in which each cache changes once
OBJECTS = 1500
WEIGHT = 200.0  # of all caches together, so that each has the less of it the more there are
RATE = 100  # GETs a second


class Size(NamedTuple):
    """How much one run does; SMOKE shows only that every step still runs."""

    caches: tuple  # the fleets' sizes, the usual one first
    seconds: float  # of load for each


FULL = Size((200, 800, 3200), seconds=30)
QUICK = Size((200, 800, 3200), seconds=8)
SMOKE = Size((100, 200), seconds=1.5)


def _host(at, port, count, health="up"):
    return {
        "host": f"s-{at + 1:x}",
        "dial": f"{address_of(at)}:{port}",
        "site": "here",
        "class": "std",
        "block": 0,
        "health": health,
        "share": WEIGHT / count,
        "born_ms": 0,
    }


def _descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class _TellingBus(_Bus):
    """One that tells its one subscriber what it is given."""

    def __init__(self):
        self.events = queue.Queue()
        super().__init__()

    def _tell(self, sock):
        try:
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                try:
                    event = self.events.get(timeout=0.5)
                    sock.sendall(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())
                except queue.Empty:
                    sock.sendall(b":\n\n")
        except OSError:
            sock.close()


class _Changes(threading.Thread):
    """Tells that caches drain and serve again, one after the other, until it is stopped; counts bytes told."""

    def __init__(self, bus, port, count):
        super().__init__(daemon=True)
        self.bus, self.port, self.count, self.stop, self.bytes = bus, port, count, threading.Event(), 0

    def run(self):
        offset, at = 1, 0
        while not self.stop.wait(CHANGED_AFTER / self.count / 2):
            offset, at = offset + 1, at + 1
            health = "draining" if at % 2 else "up"
            event = {
                "offset": offset,
                "topology": {
                    "seq": offset,
                    "whole": False,
                    "hosts": [_host(at // 2 * 7 % self.count, self.port, self.count, health)],
                },
            }
            self.bytes += len(json.dumps(event))
            self.bus.events.put(event)


def _run(path, count, seconds, rate):
    caches, origin = Process("lines", addresses=count, made=1), Process("lines", made=1)
    port, listen = int(caches.address.rpartition(":")[2]), free_port()
    hosts = [_host(at, port, count) for at in range(count)]
    hosts.append({**hosts[0], "host": "s-fffff", "dial": origin.address, "class": "origin", "share": 1.0})
    bus = _TellingBus()
    config = Path(path, f"front-{count}.json")
    known = [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "seed": "7f",
                "listen": f"127.0.0.1:{listen}",
                "bus": bus.address,
                "flow_bytes_per_s": 1e7,
                "link_bytes_per_s": 1e8,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": SETTINGS,
                "known": {"offset": 1, "batch": known},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucegate"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(config)},
    )
    served, most = 0, 0
    try:
        for line in process.stdout:
            if json.loads(line)["event"] == "ready":
                break
        threading.Thread(target=process.stdout.read, daemon=True).start()
        changes = _Changes(bus, port, count)
        changes.start()
        time.sleep(1)
        cpu, begun = _stat(process.pid), time.monotonic()
        connection, sent = http.client.HTTPConnection("127.0.0.1", listen), 0
        while (passed := time.monotonic() - begun) < seconds:
            if sent > passed * rate:
                time.sleep(0.5 / rate)
                continue
            connection.request(
                "GET",
                f"/svc/media/{sent * 7919 % OBJECTS + 1:x}/slice-0",
                headers={
                    "X-Call-Id": f"{sent:016x}",
                    "X-Patience-Ms": "3000",
                    "X-Set": "1",
                    "X-Heap-Kb": "1",
                },
            )
            answer = connection.getresponse()
            answer.read()
            sent, served = sent + 1, served + (answer.status == 200)
            if sent % 20 == 0:
                most = max(most, _descriptors(process.pid))
        cpu, memory = _stat(process.pid) - cpu, _memory(process.pid)
        changes.stop.set()
    finally:
        process.terminate()
        process.wait(10)
        origin.stop()
    made = caches.stop()["connections"]
    return {
        "caches": count,
        "gets": sent,
        "served": round(served / sent, 4),
        "cpu_ms_a_get": round(1000 * cpu / sent, 3),
        "memory_kb": memory,
        "descriptors": most,
        "connections": made,
        "list_bytes": changes.bytes,
    }


def measure(quick, smoke=False):
    size = SMOKE if smoke else QUICK if quick else FULL
    with tempfile.TemporaryDirectory() as path:
        rows = []
        for count in size.caches:
            rows.append(_run(path, count, size.seconds, RATE))
            print(rows[-1], flush=True)
    usual, largest = rows[0], rows[-1]
    ratios = {
        name: round(largest[field] / usual[field], 3)
        for name, field in (
            ("cpu_ratio", "cpu_ms_a_get"),
            ("memory_ratio", "memory_kb"),
            ("descriptors_ratio", "descriptors"),
            ("connections_ratio", "connections"),
            ("list_bytes_ratio", "list_bytes"),
            ("served_ratio", "served"),
        )
    }
    return {**ratios, "rows": rows}
