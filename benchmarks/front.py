"""The platform's front, paired with a former revision of this repository: memory at rest and CPU a GET.

Both run between the same line stand-ins, in turns, with the same load; the figure is the median over the turns. A smoke
run needs no former revision: it runs the front of the working tree alone.
"""

import http.client
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import contextmanager
from pathlib import Path

from benchmarks.http2_closes import SETTINGS
from standins.processes import Process


class _Bus:
    """An event bus that says nothing but that it lives."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.sock.accept()
            threading.Thread(target=self._tell, args=(sock,), daemon=True).start()

    def _tell(self, sock):
        try:
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                sock.sendall(b":\n\n")
                time.sleep(1)
        except OSError:
            sock.close()


def _stat(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory(pid):
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(("Pss_Anon", "Anonymous")))


def _turn(folder, path, hosts, bus, gets):
    """(memory at rest in KB, CPU microseconds a GET, GETs that failed) of the front whose code is in `folder`."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    config = Path(path, "front.json")
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "seed": "7f",
                "listen": f"127.0.0.1:{port}",
                "bus": bus,
                "flow_bytes_per_s": 1e7,
                "link_bytes_per_s": 1e8,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": SETTINGS,
                "known": {
                    "offset": 1,
                    "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}],
                },
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "sprucegate"],
        cwd=folder,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(config), "PYTHONPATH": str(folder)},
    )
    try:
        for line in process.stdout:
            if json.loads(line)["event"] == "ready":
                break
        threading.Thread(target=process.stdout.read, daemon=True).start()
        time.sleep(0.3)  # what the start still does
        memory, failed = _memory(process.pid), 0
        connection = http.client.HTTPConnection("127.0.0.1", port)
        for n in range(200 + gets):
            if n == 200:
                cpu = _stat(process.pid)
            connection.request(
                "GET",
                f"/svc/media/{n % 700 + 1:x}/slice-0",
                headers={"X-Call-Id": f"{n:016x}", "X-Patience-Ms": "3000", "X-Set": "1", "X-Heap-Kb": "1"},
            )
            answer = connection.getresponse()
            answer.read()
            failed += answer.status != 200
        cpu = (_stat(process.pid) - cpu) / gets * 1e6
    finally:
        process.terminate()
        process.wait(10)
    return memory, cpu, failed


@contextmanager
def _surroundings():
    """Hosts that a front is to know and the address of its bus, while all of them run."""
    servers = [Process("lines") for _ in range(3)]
    hosts = [
        {
            "host": name,
            "dial": one.address,
            "site": "here",
            "class": kind,
            "block": 0,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        }
        for (name, kind), one in zip(
            (("s-01", "std"), ("s-02", "std"), ("s-31", "origin")), servers, strict=True
        )
    ]
    try:
        yield hosts, _Bus().address
    finally:
        for one in servers:
            one.stop()


def _check_out(revision, folder):
    """Writes the package of a former revision of this repository into `folder`."""
    command = ["git", "archive", revision, "sprucegate"]
    archive = subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout
    subprocess.run(["tar", "-x", "-C", folder], input=archive, check=True)


def alone(gets):
    """Figures of one turn of the working tree's front."""
    with tempfile.TemporaryDirectory() as folder, _surroundings() as (hosts, bus):
        memory, cpu, failed = _turn(os.getcwd(), folder, hosts, bus, gets)
    return {"gets_a_turn": gets, "memory_kb_after": memory, "cpu_us_after": round(cpu, 1), "failed": failed}


def paired(against, gets, turns):
    """Figures of the working tree's front and of a former revision's, in turns."""
    found = {"before": [], "after": []}
    with tempfile.TemporaryDirectory() as folder, _surroundings() as (hosts, bus):
        _check_out(against, folder)
        trees = {"before": folder, "after": os.getcwd()}
        for turn in range(turns):
            order = list(found) if turn % 2 else list(found)[::-1]
            for name in order:
                found[name].append(_turn(trees[name], folder, hosts, bus, gets))
            print(f"turn {turn + 1}:", {k: v[-1] for k, v in found.items()}, flush=True)
    middle = {
        name: [statistics.median(column) for column in zip(*rows, strict=True)]
        for name, rows in found.items()
    }
    before, after = middle["before"], middle["after"]
    return {
        "against": against,
        "turns": turns,
        "gets_a_turn": gets,
        "memory_kb_before": before[0],
        "memory_kb_after": after[0],
        "memory_kb_up": after[0] - before[0],
        "cpu_us_before": round(before[1], 1),
        "cpu_us_after": round(after[1], 1),
        "cpu_ratio": round(after[1] / before[1], 3),
        "failed": int(sum(row[2] for rows in found.values() for row in rows)),
    }


def measure(quick, against, smoke=False):
    if smoke:
        return alone(gets=100)
    return paired(against, gets=2000, turns=3) if quick else paired(against, gets=6000, turns=7)
