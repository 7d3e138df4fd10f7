"""A real front with a watched list: what it uses, what it refuses, what it still knows after a restart."""

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
    """Three caches and an origin; `write` renames a list over the one that the front watches."""

    def __init__(self, path):
        self.path, self.list = path, path / "list.kdl"
        self.boxes = {name: cache(served) for name in ("s-0b", "s-0c", "s-0d")}
        self.root = cache(served)
        self.kdl = (
            f'membership {{\n    file "{self.list}"\n    state "{path / "state"}"\n    ramp (s)0\n'
            "    most-removed 0.4\n    hold (s)600\n}\n"
        )

    def text(self, *names, **states):
        rows = [
            f'    server "{n}" address="{self.boxes[n].address}" location="here" kind="std" '
            f'state="{states.get(n.replace("-", "_"), "serving")}"'
            for n in names or self.boxes
        ]
        rows.append(f'    server "s-1f" address="{self.root.address}" location="here" kind="origin"')
        return "\n".join(["servers {", *rows, "}", ""])

    def write(self, text):
        fresh = self.path / "fresh"
        fresh.write_text(text)
        os.rename(fresh, self.list)

    def front(self, *hosts):
        return Front(self.path, *hosts, kdl=self.kdl)

    def heard(self):
        """The names of caches that had a serve since the last look."""
        found = set()
        for name, box in self.boxes.items():
            while not box.heard.empty():
                found |= {name} if box.heard.get()[0] == b"serve" else set()
        return found


@pytest.fixture
def made(tmp_path):
    return Setup(tmp_path)


def burst(front, first, count=60):
    sock = front.connect()
    for n in range(first, first + count):
        text = get_text(f"{n:016x}").replace(b"7f3a9c21e0b4d655", b"%x" % (n * 7919 + 1))
        assert front.ask(text, sock)[0] == 200


def served_by(made, front, names):
    """Waits until those alone are sent to; a list may be in use before or after one that follows it at once."""
    end, first = time.monotonic() + 10, 10_000
    while True:
        first += 100
        made.heard()
        burst(front, first)
        if (heard := made.heard()) == names:
            return
        assert time.monotonic() < end, heard


def test_a_list_is_taken_drained_refused_and_held(made):
    made.write(made.text())
    with made.front() as front:
        burst(front, 0)
        assert made.heard() == {"s-0b", "s-0c", "s-0d"}
        made.write(made.text(s_0b="draining"))
        assert front.until("servers_taken")["changed"] == 1
        burst(front, 100)
        assert made.heard() == {"s-0c", "s-0d"}
        made.write("servers {\n}\n")
        assert front.until("servers_refused")["line"] == 1
        made.write(made.text().replace('kind="std"', 'kind="bogus"', 1))
        assert front.until("servers_refused")["key"] == "kind"
        burst(front, 200)
        assert made.heard() == {"s-0c", "s-0d"}
        made.write(made.text("s-0c"))
        held = front.until("servers_held")
        assert (held["location"], held["share"]) == ("here", 0.5)
        burst(front, 300)
        assert made.heard() == {"s-0c", "s-0d"}
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "sprucegate",
                "servers",
                "confirm",
                str(held["number"]),
                "--file",
                str(made.path / "sprucegate.kdl"),
            ],
            capture_output=True,
            timeout=30,
        )
        assert done.returncode == 0
        front.until("servers_taken")
        burst(front, 400)
        assert made.heard() == {"s-0c"}


def test_a_drain_of_the_bus_holds_against_the_file_and_the_other_way_round(made):
    made.write(made.text())
    known = [host(n, made.boxes[n].address, "std") for n in made.boxes]
    with made.front(*known) as front:
        front.tells.put(
            {
                "offset": 2,
                "topology": {"seq": 2, "whole": False, "hosts": [{**known[0], "health": "draining"}]},
            }
        )
        front.until("told")
        made.write(made.text() + "\n")  # listed as serving, once more
        made.write(made.text(s_0c="draining"))
        front.until("servers_taken")
        front.tells.put({"offset": 3, "topology": {"seq": 3, "whole": False, "hosts": [known[1]]}})
        front.until("told")
        burst(front, 0)
        assert made.heard() == {"s-0d"}


def test_a_drained_server_is_no_fill_source_any_more(made):
    made.write(made.text())
    with made.front() as front:
        burst(front, 0, 30)
        made.write(made.text(s_0b="draining"))
        front.until("servers_taken")
        made.heard()
        burst(front, 0, 30)  # the same objects: s-0b is believed to hold a third of them
        for box in made.boxes.values():
            while not box.heard.empty():
                assert box.heard.get()[2].get("src") != "s-0b"


def test_a_restart_knows_the_last_good_list_and_its_drains(made):
    made.write(made.text(s_0b="draining"))
    with made.front() as front:
        burst(front, 0, 10)
        while not list((made.path / "state").glob("*.snap")):
            front.until("second")
        front.process.kill()
    made.list.unlink()
    with made.front() as front:  # the file is absent
        burst(front, 100)
        assert made.heard() <= {"s-0c", "s-0d"}
        made.write(made.text("s-0b", "s-0c", s_0b="serving"))  # then present: its own drain is lifted
        front.until("servers_taken")
        burst(front, 200)
        assert made.heard() == {"s-0b", "s-0c"}
    newest = max((made.path / "state").glob("*.snap"))
    newest.write_bytes(newest.read_bytes()[:-3])
    made.write("torn {")
    with made.front() as front:
        assert front.ask(get_text())[0] in (200, 503)  # it starts, with what is left


def test_the_same_content_again_is_no_new_generation_and_mtime_may_go_backwards(made):
    made.write(made.text())
    with made.front() as front:
        for _ in range(5):
            made.write(made.text())
        made.write(made.text(s_0d="draining"))
        os.utime(made.list, (1, 1))
        assert front.until("servers_taken")["generation"] == 2


def test_a_file_that_is_gone_for_a_moment_and_one_written_in_two_halves(made):
    made.write(made.text())
    with made.front() as front:
        made.list.unlink()
        burst(front, 0, 20)
        assert front.until("servers_unsettled")["generation"] == 1
        text = made.text(s_0b="draining")
        with open(made.list, "w") as file:
            for at in range(0, len(text), 40):
                file.write(text[at : at + 40])
                file.flush()
                time.sleep(0.002)
        assert front.until("servers_taken")["changed"] == 1
        made.heard()
        burst(front, 100)
        assert made.heard() == {"s-0c", "s-0d"}


def test_two_files_swapped_at_once_leave_the_newest_and_a_symlink_may_be_swapped(made):
    made.write(made.text())
    with made.front() as front:
        made.write(made.text(s_0b="draining"))
        made.write(made.text(s_0c="draining"))
        served_by(made, front, {"s-0b", "s-0d"})
        other = made.path / "other.kdl"
        other.write_text(made.text(s_0d="draining"))
        os.symlink(other, made.path / "link")
        os.rename(made.path / "link", made.list)
        served_by(made, front, {"s-0b", "s-0c"})


def test_a_folder_replaced_under_the_watch(made):
    def folder(name, text):
        at = made.path / name
        at.mkdir()
        (at / "a.kdl").write_text(text)
        (at / "manifest.kdl").write_text(
            f'part "a.kdl" sha256="{hashlib.sha256(text.encode()).hexdigest()}"\n'
        )
        return at

    folder("list.kdl", made.text())
    with made.front() as front:
        burst(front, 0)
        assert made.heard() == set(made.boxes)
        fresh = folder("fresh.d", made.text(s_0b="draining"))
        os.rename(made.list, made.path / "old.d")
        os.rename(fresh, made.list)
        assert front.until("servers_taken")["changed"] == 1
        burst(front, 100)
        assert made.heard() == {"s-0c", "s-0d"}


def test_300_generations_while_200_gets_are_open(made):
    go = threading.Event()

    def held_back(call_id, fields, body):
        go.wait(60)
        return served(call_id, fields)

    made.boxes = {name: cache(held_back) for name in made.boxes}
    made.kdl = made.kdl.replace("ramp (s)0", "ramp (s)0\n    least (ms)1")
    made.write(made.text())
    front = made.front()
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
            made.write(made.text(s_0b="draining" if turn % 2 else "serving") + f"// {turn}\n")
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


def test_the_command_line_checks_compares_and_shows(made):
    one, two = made.path / "one.kdl", made.path / "two.kdl"
    one.write_text(made.text())
    two.write_text(
        made.text("s-0b", "s-0c", s_0c="draining").replace('kind="std"', 'kind="std" weight=2.0', 1)
    )
    assert "4 servers: 4 serving" in command("check", str(one)).stdout
    said = json.loads(command("diff", "--json", str(one), str(two)).stdout)
    assert [tuple(c) for c in said["changes"]] == [
        ("s-0b", "weight", "1.0 to 2.0"),
        ("s-0c", "state", "serving to draining"),
        ("s-0d", "removed", ""),
    ]
    assert set(said["moved_to"]) == {"s-0b"} and 0.6 < said["moved_share"] < 0.75
    assert "s-0d" in command("diff", str(one), str(two)).stdout
    two.write_text(made.text()[:-20])
    done = command("check", str(two))
    assert done.returncode == 2 and str(two) in done.stderr and done.stderr.count("\n") == 1
    assert json.loads(command("check", "--json", str(two)).stdout)["ok"] is False
    made.write(made.text(s_0b="draining"))
    with made.front() as front:
        while not list((made.path / "state").glob("*.snap")):
            front.until("second")
    shown = json.loads(command("show", "--json", "--file", str(made.path / "sprucegate.kdl")).stdout)
    assert {s["server"]: s["state"] for s in shown["servers"]}["s-0b"] == "draining"
    (made.path / "sprucegate.kdl").write_text("")
    assert command("show", "--file", str(made.path / "sprucegate.kdl")).returncode == 2
