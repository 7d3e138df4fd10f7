"""A real front with a watched list: lists that it applies, rejects and holds, and its state after a restart."""

import hashlib
import json
import os
import subprocess
import sys
import threading
import time

import pytest
from helpers import REAL, Front, cache, get_text, host, served


class Setup:
    """Three caches and an origin; `write` atomically replaces the list that the front watches."""

    def __init__(self, path):
        self.path, self.list = path, path / "list.kdl"
        self.caches = {name: cache(served) for name in ("s-0b", "s-0c", "s-0d")}
        self.root = cache(served)
        self.kdl = (
            f'membership {{\n    file "{self.list}"\n    state "{path / "state"}"\n    ramp (s)0\n'
            "    most-removed 0.4\n    hold (s)600\n}\n"
        )

    def text(self, *names, **states):
        rows = [
            f'    server "{n}" address="{self.caches[n].address}" location="here" kind="std" '
            f'state="{states.get(n.replace("-", "_"), "serving")}"'
            for n in names or self.caches
        ]
        rows.append(f'    server "s-1f" address="{self.root.address}" location="here" kind="origin"')
        return "\n".join(["servers {", *rows, "}", ""])

    def write(self, text):
        fresh = self.path / "fresh"
        fresh.write_text(text)
        os.rename(fresh, self.list)

    def front(self, *hosts):
        return Front(self.path, *hosts, kdl=self.kdl)

    def caches_with_requests(self):
        """Return the names of the caches that were sent a request since the last call."""
        found = set()
        for name, cache_server in self.caches.items():
            while not cache_server.heard.empty():
                found |= {name} if cache_server.heard.get()[0] == b"serve" else set()
        return found


@pytest.fixture
def setup(tmp_path):
    return Setup(tmp_path)


def send_gets(front, first, count=60):
    sock = front.connect()
    for n in range(first, first + count):
        text = get_text(f"{n:016x}").replace(b"7f3a9c21e0b4d655", b"%x" % (n * 7919 + 1))
        assert front.ask(text, sock)[0] == 200


def wait_until_served_by(setup, front, names):
    """Waits until requests go to those alone; of two lists written in quick succession the first may be skipped."""
    end, first = time.monotonic() + 10, 10_000
    while True:
        first += 100
        setup.caches_with_requests()
        send_gets(front, first)
        if (found := setup.caches_with_requests()) == names:
            return
        assert time.monotonic() < end, found


def test_lists_are_applied_rejected_held_and_confirmed(setup):
    setup.write(setup.text())
    with setup.front() as front:
        send_gets(front, 0)
        assert setup.caches_with_requests() == {"s-0b", "s-0c", "s-0d"}
        setup.write(setup.text(s_0b="draining"))
        assert front.until("servers_taken")["changed"] == 1
        send_gets(front, 100)
        assert setup.caches_with_requests() == {"s-0c", "s-0d"}
        setup.write("servers {\n}\n")
        assert front.until("servers_refused")["line"] == 1
        setup.write(setup.text().replace('kind="std"', 'kind="bogus"', 1))
        assert front.until("servers_refused")["key"] == "kind"
        send_gets(front, 200)
        assert setup.caches_with_requests() == {"s-0c", "s-0d"}
        setup.write(setup.text("s-0c"))
        held = front.until("servers_held")
        assert (held["location"], held["share"]) == ("here", 0.5)
        send_gets(front, 300)
        assert setup.caches_with_requests() == {"s-0c", "s-0d"}
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "sprucegate",
                "servers",
                "confirm",
                str(held["number"]),
                "--file",
                str(setup.path / "sprucegate.kdl"),
            ],
            capture_output=True,
            timeout=30,
        )
        assert done.returncode == 0
        front.until("servers_taken")
        send_gets(front, 400)
        assert setup.caches_with_requests() == {"s-0c"}


def test_neither_bus_nor_file_lifts_a_drain_of_the_other(setup):
    setup.write(setup.text())
    hosts = [host(n, setup.caches[n].address, "std") for n in setup.caches]
    with setup.front(*hosts) as front:
        front.tells.put(
            {
                "offset": 2,
                "topology": {"seq": 2, "whole": False, "hosts": [{**hosts[0], "health": "draining"}]},
            }
        )
        front.until("told")
        setup.write(setup.text() + "\n")  # lists it as serving once more
        setup.write(setup.text(s_0c="draining"))
        front.until("servers_taken")
        front.tells.put({"offset": 3, "topology": {"seq": 3, "whole": False, "hosts": [hosts[1]]}})
        front.until("told")
        send_gets(front, 0)
        assert setup.caches_with_requests() == {"s-0d"}


def test_a_drained_server_is_no_longer_a_fill_source(setup):
    setup.write(setup.text())
    with setup.front() as front:
        send_gets(front, 0, 30)
        setup.write(setup.text(s_0b="draining"))
        front.until("servers_taken")
        setup.caches_with_requests()
        send_gets(front, 0, 30)  # the same objects: the front believes that s-0b holds a third of them
        for cache_server in setup.caches.values():
            while not cache_server.heard.empty():
                assert cache_server.heard.get()[2].get("src") != "s-0b"


def test_a_restart_recovers_the_last_valid_list_and_its_drains(setup):
    setup.write(setup.text(s_0b="draining"))
    with setup.front() as front:
        send_gets(front, 0, 10)
        while not list((setup.path / "state").glob("*.snap")):
            front.until("second")
        front.process.kill()
    setup.list.unlink()
    with setup.front() as front:  # the list is missing
        send_gets(front, 100)
        assert setup.caches_with_requests() <= {"s-0c", "s-0d"}
        # Once the list is back, its own drain is lifted.
        setup.write(setup.text("s-0b", "s-0c", s_0b="serving"))
        front.until("servers_taken")
        send_gets(front, 200)
        assert setup.caches_with_requests() == {"s-0b", "s-0c"}
    newest = max((setup.path / "state").glob("*.snap"))
    newest.write_bytes(newest.read_bytes()[:-3])
    setup.write("torn {")
    with setup.front() as front:
        assert front.ask(get_text())[0] in (200, 503)  # it starts, with an older snapshot if any


def test_unchanged_content_is_no_new_generation_and_mtime_may_go_backwards(setup):
    setup.write(setup.text())
    with setup.front() as front:
        for _ in range(5):
            setup.write(setup.text())
        setup.write(setup.text(s_0d="draining"))
        os.utime(setup.list, (1, 1))
        assert front.until("servers_taken")["generation"] == 2


def test_a_missing_or_partly_written_list_is_not_applied(setup):
    setup.write(setup.text())
    with setup.front() as front:
        setup.list.unlink()
        send_gets(front, 0, 20)
        assert front.until("servers_unsettled")["generation"] == 1
        text = setup.text(s_0b="draining")
        with open(setup.list, "w") as file:
            for at in range(0, len(text), 40):
                file.write(text[at : at + 40])
                file.flush()
                time.sleep(0.002)
        assert front.until("servers_taken")["changed"] == 1
        setup.caches_with_requests()
        send_gets(front, 100)
        assert setup.caches_with_requests() == {"s-0c", "s-0d"}


def test_the_newest_of_two_lists_is_applied_and_a_list_may_become_a_symlink(setup):
    setup.write(setup.text())
    with setup.front() as front:
        setup.write(setup.text(s_0b="draining"))
        setup.write(setup.text(s_0c="draining"))
        wait_until_served_by(setup, front, {"s-0b", "s-0d"})
        other = setup.path / "other.kdl"
        other.write_text(setup.text(s_0d="draining"))
        os.symlink(other, setup.path / "link")
        os.rename(setup.path / "link", setup.list)
        wait_until_served_by(setup, front, {"s-0b", "s-0c"})


def test_a_watched_folder_may_be_replaced(setup):
    def folder(name, text):
        at = setup.path / name
        at.mkdir()
        (at / "a.kdl").write_text(text)
        (at / "manifest.kdl").write_text(
            f'part "a.kdl" sha256="{hashlib.sha256(text.encode()).hexdigest()}"\n'
        )
        return at

    folder("list.kdl", setup.text())
    with setup.front() as front:
        send_gets(front, 0)
        assert setup.caches_with_requests() == set(setup.caches)
        fresh = folder("fresh.d", setup.text(s_0b="draining"))
        os.rename(setup.list, setup.path / "old.d")
        os.rename(fresh, setup.list)
        assert front.until("servers_taken")["changed"] == 1
        send_gets(front, 100)
        assert setup.caches_with_requests() == {"s-0c", "s-0d"}


def test_300_generations_while_200_gets_are_open(setup):
    go = threading.Event()

    def held_back(call_id, fields, body):
        go.wait(60)
        return served(call_id, fields)

    setup.caches = {name: cache(held_back) for name in setup.caches}
    setup.kdl = setup.kdl.replace("ramp (s)0", "ramp (s)0\n    least (ms)1")
    setup.write(setup.text())
    front = setup.front()
    front.process.kill()
    front.configure(
        settings={
            **REAL["settings"],
            "categories": [{**REAL["settings"]["categories"][0], "deadline": 60_000_000}],
        }
    )
    front.restart()
    with front:
        socks = [front.connect() for _ in range(200)]
        for at, sock in enumerate(socks):
            sock.sendall(get_text(f"{at:016x}", patience=60_000).replace(b"7f3a", b"%04x" % (at + 1)))
        for turn in range(1, 301):
            setup.write(setup.text(s_0b="draining" if turn % 2 else "serving") + f"// {turn}\n")
            assert front.until("servers_taken")["generation"] == turn + 1
        go.set()
        for sock in socks:
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")


def command(*given):
    return subprocess.run(
        [sys.executable, "-m", "sprucegate", "servers", *given],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, "BALANCER_CONFIG": ""},
    )


def test_the_command_line_checks_compares_and_shows(setup):
    one, two = setup.path / "one.kdl", setup.path / "two.kdl"
    one.write_text(setup.text())
    two.write_text(
        setup.text("s-0b", "s-0c", s_0c="draining").replace('kind="std"', 'kind="std" weight=2.0', 1)
    )
    assert "4 servers: 4 serving" in command("check", str(one)).stdout
    diff = json.loads(command("diff", "--json", str(one), str(two)).stdout)
    assert [tuple(c) for c in diff["changes"]] == [
        ("s-0b", "weight", "1.0 to 2.0"),
        ("s-0c", "state", "serving to draining"),
        ("s-0d", "removed", ""),
    ]
    assert set(diff["moved_to"]) == {"s-0b"} and 0.6 < diff["moved_share"] < 0.75
    assert "s-0d" in command("diff", str(one), str(two)).stdout
    two.write_text(setup.text()[:-20])
    done = command("check", str(two))
    assert done.returncode == 2 and str(two) in done.stderr and done.stderr.count("\n") == 1
    assert json.loads(command("check", "--json", str(two)).stdout)["ok"] is False
    setup.write(setup.text(s_0b="draining"))
    with setup.front() as front:
        while not list((setup.path / "state").glob("*.snap")):
            front.until("second")
    shown = json.loads(command("show", "--json", "--file", str(setup.path / "sprucegate.kdl")).stdout)
    assert {s["server"]: s["state"] for s in shown["servers"]}["s-0b"] == "draining"
    (setup.path / "sprucegate.kdl").write_text("")
    assert command("show", "--file", str(setup.path / "sprucegate.kdl")).returncode == 2
