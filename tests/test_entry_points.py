"""Smoke tests: every command of the benchmarks and stand-ins runs all its steps on a minimal input.

Benchmark results are not asserted: a smoke run is too short, and other tests run at the same time.
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
TIMEOUT_S = 30  # default time limit of one command
GREETING = codec.encode_greeting(codec.Greeting(codec.VERSION, "rig", "front", "n1", "", 0))


@contextlib.contextmanager
def running(*arguments, timeout_s=TIMEOUT_S):
    """Run `python -m ARGUMENT ...` in its own process group, killed on exit or after `timeout_s`."""
    process = subprocess.Popen(
        [sys.executable, "-m", *map(str, arguments)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    limit = threading.Timer(timeout_s, process.kill)
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


def run_to_exit(*arguments, timeout_s=TIMEOUT_S):
    """Run a command that exits by itself; return (exit status, standard output, standard error)."""
    with running(*arguments, timeout_s=timeout_s) as process:
        output, errors = process.communicate(timeout=timeout_s)
    return process.returncode, output, errors


def wait_for_exit(process, text=None):
    """Send `text` and end-of-file to a process, wait for its successful exit and return its output."""
    output, errors = process.communicate(text, timeout=TIMEOUT_S)
    assert process.returncode == 0, errors
    return output


def listen_address(line):
    """Return (host, port) from the end of the line that a stand-in prints once it listens."""
    host, _, port = line.split()[-1].rpartition(":")
    return host, int(port)


def receive_until(sock, expected):
    """Receive until the data contains `expected`, and return it."""
    data = b""
    while expected not in data:
        chunk = sock.recv(4096)
        assert chunk, data
        data += chunk
    return data


@pytest.mark.parametrize("name", NAMES)
def test_a_benchmark_runs_and_prints_its_results(name):
    size = "--quick" if name == "same" else "--smoke"
    status, output, errors = run_to_exit("benchmarks", name, size, timeout_s=60)
    *_, last = ["", *output.splitlines()]
    assert last.startswith('{"'), errors  # the results as one JSON object
    results = json.loads(last)
    assert status == (1 if broken(results) else 0), errors


# Commands that exit by themselves: module, arguments, and results that it must print.
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
def test_deterministic_simulations_and_explorations_run(name):
    arguments, expected = DETERMINISTIC[name]
    status, output, errors = run_to_exit(f"standins.fleet.{name}", *arguments)
    assert status == 0, errors
    results = json.loads(output.splitlines()[-1])
    assert expected.items() <= results.items()


@pytest.mark.parametrize("speaks", ["lines", "http2"])
def test_a_cache_server_answers_and_records_executed_requests(tmp_path, speaks):
    async def send_get(where):
        recorder = Recorder({1: where}, speaks, Limits())
        outcome = await recorder.end(recorder.send(1, "00000000000000a1"))
        recorder.servers.stop()
        return outcome

    with running(f"standins.{speaks}", "--ran", tmp_path / "ran") as process:
        host, port = listen_address(process.stdout.readline())
        assert asyncio.run(send_get(f"{host}:{port}")) is AttemptOutcome.RETURNED
        process.terminate()
        assert wait_for_exit(process) == "ran 1 connections 1 closes 0\n"
    assert (tmp_path / "ran").read_text() == "00000000000000a1 0 get\n"


def test_a_bus_sends_an_event_on_the_addressed_port():
    with running("standins.bus", "--count", "2") as process:
        addresses = [listen_address(process.stdout.readline()) for _ in range(2)]
        with socket.create_connection(addresses[1], TIMEOUT_S) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nLast-Event-ID: 1\r\n\r\n")
            process.stdin.write('{"to": [1], "event": {"ban": {"url": "7f3a"}}}\n')
            process.stdin.flush()
            assert b'data: {"offset": 2, "ban": {"url": "7f3a"}}' in receive_until(sock, b"}}\n")
        wait_for_exit(process)


def test_a_relay_forwards_frames_until_the_link_is_cut():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        with running("standins.fleet.relay", f"n0=127.0.0.1:{port}") as process:
            relay = listen_address(process.stdout.readline())
            with socket.create_connection(relay, TIMEOUT_S) as client:
                client.sendall(GREETING)
                listener.settimeout(TIMEOUT_S)
                server_side, _ = listener.accept()
                with server_side:
                    server_side.settimeout(TIMEOUT_S)
                    assert receive_until(server_side, GREETING) == GREETING
                    server_side.sendall(GREETING)
                    assert receive_until(client, GREETING) == GREETING
                    process.stdin.write('{"do": "cut", "from": ["n1"], "to": ["n0"]}\n')
                    process.stdin.flush()
                    assert process.stdout.readline() == "set\n"
                    client.sendall(GREETING)
                    server_side.settimeout(0.2)
                    with pytest.raises(TimeoutError):
                        server_side.recv(1)
            wait_for_exit(process)


def test_a_filling_cache_occupies_a_slot_of_its_source(tmp_path):
    arguments = ["--paces", "0.1", "--places", "s-2a=1", "--ran", tmp_path / "fills"]
    with running("standins.fleet.filling", *arguments) as process:
        cache = listen_address(process.stdout.readline())
        with socket.create_connection(cache, TIMEOUT_S) as sock:
            sock.sendall(b"serve a1 thing=7f3a,nth=0,src=s-2a 0\r\n\r\n")
            assert b"a1 served" in receive_until(sock, b"remark=fetched 5\r\nxxxxx\r\n")
    _, source, object_id, duration = (tmp_path / "fills").read_text().split()
    assert (source, object_id) == ("s-2a", "7f3a") and int(duration) > 0


def test_soak_servers_listen_and_record_sent_events(tmp_path):
    records = tmp_path / "records"
    counts = ["--caches", "1", "--parents", "1", "--fronts", "1", "--records", records]
    with running("standins.soak.servers", *counts) as process:
        for _ in range(4):  # a cache, a parent, the origin, a bus
            socket.create_connection(listen_address(process.stdout.readline()), TIMEOUT_S).close()
        wait_for_exit(process, '{"do": "purge", "where": 3}\n')
    written = [json.loads(line) for line in records.read_text().splitlines()]
    assert [record["event"]["ban"]["tag"] for record in written if record["what"] == "event"] == [3]


def test_misbehaving_clients_open_connections_and_count_them():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        status, output, errors = run_to_exit(
            "standins.misbehaving_clients",
            *("--address", address, "--manner", "idle", "--count", "2", "--seconds", "0.5"),
        )
    assert status == 0 and json.loads(output)["connections"] == 2, output + errors


def test_the_program_runs_under_injected_faults(tmp_path):
    Faults(tmp_path / "faults")
    status, output, errors = run_to_exit("standins.faults", tmp_path / "faults", "version")
    assert status == 0 and output, errors


@pytest.mark.parametrize("stage", ["handover", "mixed"])
def test_two_checkouts_of_one_build_run_as_one_fleet(stage):
    status, output, errors = run_to_exit(
        "standins.fleet.mixed_builds", "--other", ROOT, "--stage", stage, timeout_s=200
    )
    assert status == 0, output + errors
    assert "failed" not in output and output.count("passed: ") >= 3


def test_every_stand_in_command_is_covered_here():
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
        "standins.misbehaving_clients",
        "standins.soak.servers",
    }
    assert commands == run_here
