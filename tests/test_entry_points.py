"""Every command of the benchmarks and stand-ins runs, on the smallest input that takes it through its steps.

What a benchmark measures is not judged here: a smoke run is too short, and other tests run beside it.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

import pytest

from benchmarks.__main__ import NAMES, broken
from sprucegate.fleet.links import codec
from sprucegate.routing.events import AttemptOutcome
from sprucegate.upstream.http2.limits import Limits
from standins.driver import Recorder
from standins.faults import Faults

ROOT = pathlib.Path(__file__).parent.parent
SECONDS = 30  # that one command may take, unless a test says otherwise
GREETING = codec.encode_greeting(codec.Greeting(codec.VERSION, "rig", "front", "n1", "", 0))


@contextlib.contextmanager
def started(*arguments, seconds=SECONDS):
    """`python -m ARGUMENT ...` as a process group of its own, which is killed at the end or after `seconds`."""
    process = subprocess.Popen(
        [sys.executable, "-m", *map(str, arguments)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    limit = threading.Timer(seconds, process.kill)
    limit.start()
    try:
        yield process
    finally:
        limit.cancel()
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        for stream in (process.stdin, process.stdout, process.stderr):
            stream.close()


def finished(*arguments, seconds=SECONDS):
    """(exit status, standard output, standard error) of a command that ends by itself."""
    with started(*arguments, seconds=seconds) as process:
        output, errors = process.communicate(timeout=seconds)
    return process.returncode, output, errors


def ended(process, text=None):
    """The same of a process that ends with its standard input, which first gets `text`."""
    output, errors = process.communicate(text, timeout=SECONDS)
    assert process.returncode == 0, errors
    return output


def address(line):
    """(host, port) at the end of a line that a stand-in prints when it listens."""
    host, _, port = line.split()[-1].rpartition(":")
    return host, int(port)


def received(sock, wanted):
    """What comes until `wanted` is in it."""
    data = b""
    while wanted not in data:
        piece = sock.recv(4096)
        assert piece, data
        data += piece
    return data


@pytest.mark.parametrize("name", NAMES)
def test_a_benchmark_runs_to_its_figures(name):
    size = "--quick" if name == "same" else "--smoke"
    status, output, errors = finished("benchmarks", name, size, seconds=60)
    *_, last = ["", *output.splitlines()]
    assert last.startswith('{"'), errors  # one JSON object of its figures
    figures = json.loads(last)
    assert status == (1 if broken(figures) else 0), errors


# Commands that end by themselves: of each the module, its arguments, and a figure that it prints.
DETERMINISTIC = {
    "schedules": (["--seeds", "1", "--size", "3"], {"schedules": 1, "broken": 0}),
    "keepers": (["--seeds", "1"], {"schedules": 1, "broken": 0}),
    "viewing": (["--seeds", "1", "--size", "3"], {"schedules": 1, "broken": 0}),
    "rollouts": (["--seeds", "1", "--fronts", "3", "--caches", "6"], {"schedules": 1, "broken": 0}),
    "sharing": (["--seeds", "1", "--size", "3"], {"schedules": 1, "broken": 0}),
    "explore": (["--depth", "3"], {"depth": 3}),
    "explore_fitness": (["--depth", "2"], {"depth": 2}),
    "explore_keepers": (["--depth", "3", "--contested"], {"depth": 3}),
    "explore_shares": (["--depth", "1"], {"depth": 1}),
}


@pytest.mark.parametrize("name", DETERMINISTIC)
def test_schedules_and_explorations_run(name):
    arguments, wanted = DETERMINISTIC[name]
    status, output, errors = finished(f"standins.fleet.{name}", *arguments)
    assert status == 0, errors
    figures = json.loads(output.splitlines()[-1])
    assert wanted.items() <= figures.items()


@pytest.mark.parametrize("speaks", ["lines", "http2"])
def test_a_cache_server_answers_and_tells_what_ran(tmp_path, speaks):
    async def asked(where):
        recorder = Recorder({1: where}, speaks, Limits())
        outcome = await recorder.end(recorder.send(1, "00000000000000a1"))
        recorder.servers.stop()
        return outcome

    with started(f"standins.{speaks}", "--ran", tmp_path / "ran") as process:
        host, port = address(process.stdout.readline())
        assert asyncio.run(asked(f"{host}:{port}")) is AttemptOutcome.RETURNED
        process.terminate()
        assert ended(process) == "ran 1 connections 1 closes 0\n"
    assert (tmp_path / "ran").read_text() == "00000000000000a1 0 get\n"


def test_a_bus_tells_its_port_an_event():
    with started("standins.bus", "--count", "2") as process:
        addresses = [address(process.stdout.readline()) for _ in range(2)]
        with socket.create_connection(addresses[1], SECONDS) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nLast-Event-ID: 1\r\n\r\n")
            process.stdin.write('{"to": [1], "event": {"ban": {"url": "7f3a"}}}\n')
            process.stdin.flush()
            assert b'data: {"offset": 2, "ban": {"url": "7f3a"}}' in received(sock, b"}}\n")
        ended(process)


def test_a_relay_passes_frames_until_it_is_told_to_cut():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        with started("standins.fleet.relay", f"n0=127.0.0.1:{port}") as process:
            relay = address(process.stdout.readline())
            with socket.create_connection(relay, SECONDS) as dialler:
                dialler.sendall(GREETING)
                listener.settimeout(SECONDS)
                dialled, _ = listener.accept()
                with dialled:
                    dialled.settimeout(SECONDS)
                    assert received(dialled, GREETING) == GREETING
                    dialled.sendall(GREETING)
                    assert received(dialler, GREETING) == GREETING
                    process.stdin.write('{"do": "cut", "from": ["n1"], "to": ["n0"]}\n')
                    process.stdin.flush()
                    assert process.stdout.readline() == "set\n"
                    dialler.sendall(GREETING)
                    dialled.settimeout(0.2)
                    with pytest.raises(TimeoutError):
                        dialled.recv(1)
            ended(process)


def test_a_filling_cache_takes_a_place_at_its_source(tmp_path):
    arguments = ["--paces", "0.1", "--places", "s-2a=1", "--ran", tmp_path / "fills"]
    with started("standins.fleet.filling", *arguments) as process:
        cache = address(process.stdout.readline())
        with socket.create_connection(cache, SECONDS) as sock:
            sock.sendall(b"serve a1 thing=7f3a,nth=0,src=s-2a 0\r\n\r\n")
            assert b"a1 served" in received(sock, b"remark=fetched 5\r\nxxxxx\r\n")
    _, source, thing, took = (tmp_path / "fills").read_text().split()
    assert (source, thing) == ("s-2a", "7f3a") and int(took) > 0


def test_servers_of_a_soak_listen_and_write_down_what_they_told(tmp_path):
    records = tmp_path / "records"
    counts = ["--caches", "1", "--parents", "1", "--fronts", "1", "--records", records]
    with started("standins.soak.servers", *counts) as process:
        for _ in range(4):  # a cache, a parent, the origin, a bus
            socket.create_connection(address(process.stdout.readline()), SECONDS).close()
        ended(process, '{"do": "purge", "where": 3}\n')
    written = [json.loads(line) for line in records.read_text().splitlines()]
    assert [one["event"]["ban"]["tag"] for one in written if one["what"] == "event"] == [3]


def test_the_program_runs_under_injected_faults(tmp_path):
    Faults(tmp_path / "faults")
    status, output, errors = finished("standins.faults", tmp_path / "faults", "version")
    assert status == 0 and output, errors


@pytest.mark.parametrize("stage", ["handover", "mixed"])
def test_two_checkouts_of_one_build_run_as_one_fleet(stage):
    status, output, errors = finished(
        "standins.fleet.mixed_builds", "--other", ROOT, "--stage", stage, seconds=200
    )
    assert status == 0, output + errors
    assert "failed" not in output and output.count("passed: ") >= 3


def test_each_command_of_the_stand_ins_is_run_here():
    commands = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in ROOT.glob("standins/**/*.py")
        if '__name__ == "__main__"' in path.read_text()
    }
    run_here = {f"standins.fleet.{name}" for name in DETERMINISTIC} | {
        "standins.bus",
        "standins.faults",
        "standins.fleet.filling",
        "standins.fleet.mixed_builds",
        "standins.fleet.relay",
        "standins.http2",
        "standins.lines",
        "standins.soak.servers",
    }
    assert commands == run_here
