"""The operator's file, the command line and the log: taken whole or not at all, and said where it is wrong."""

import json
import os
import subprocess
import sys

import orjson
import pytest
from helpers import Front, cache, get_text, host, refuses_first, served
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sprucegate.cli import operator_file
from sprucegate.cli.structured_logging import structured
from sprucegate.config import source_locations
from sprucegate.front.log import Log
from sprucegate.upstream.http2.limits import MS, S

GOOD = """// comment with { braces
servers {
    speak http2 kind="std" // and so on
    /- speak bogus
    speak lines name="s-0b"; speak http2 address="127.0.0.1:4101"
    /* speak
       nothing */ http2 {
        connections 2
        wait (ms)250
        held (MiB)2
        age-spread 0.5
    }
}
"""


def test_a_good_file_and_what_goes_before_what():
    made = operator_file.parse(GOOD, "f")
    limits = made.servers.http2
    assert (limits.connections, limits.wait, limits.held, limits.age_spread) == (2, 250 * MS, 2 << 20, 0.5)
    assert limits.idle == 14 * S  # what is not set has its default
    servers = made.servers.resolved({"std": 0, "parent": 1})
    assert servers.transport("s-01", "127.0.0.1:1", 0) == "http2"
    assert servers.transport("s-0b", "127.0.0.1:4101", 0) == "lines"  # a name before an address
    assert servers.transport("s-01", "127.0.0.1:4101", 1) == "http2"  # an address before a kind
    assert servers.transport("s-01", "127.0.0.1:1", 1) == "lines"
    with pytest.raises(KeyError):
        made.servers.resolved({"parent": 0})


@pytest.mark.parametrize(
    "old, new, line, key",
    [
        ("wait (ms)250", "wait 250", 9, "servers.http2.wait"),
        ("wait (ms)250", "wait (KB)250", 9, "servers.http2.wait"),
        ("wait (ms)250", 'wait (ms)"x"', 9, "servers.http2.wait"),
        ("wait (ms)250", "wait (h)20", 9, "servers.http2.wait"),
        ("wait (ms)250", "wait (ms)1 2", 9, "servers.http2.wait"),
        ("wait (ms)250", "wait (ms)250; wait (ms)1", 9, "servers.http2.wait"),
        ("wait (ms)250", "wate (ms)250", 9, "servers.http2.wate"),
        ("connections 2", "connections (ms)2", 8, "servers.http2.connections"),
        ("connections 2", "connections 0", 8, "servers.http2.connections"),
        ("connections 2", "connections 2.5", 8, "servers.http2.connections"),
        ("connections 2", "connections #true", 8, "servers.http2.connections"),
        ("connections 2", "connections {\n}", 8, "servers.http2.connections"),
        ("connections 2", "reconnect-first (s)9", 8, "servers.http2.reconnect-first"),
        ("age-spread 0.5", "age-spread #nan", 11, "servers.http2.age-spread"),
        ("lines name=", "lines nane=", 5, "servers.speak[1].nane"),
        ('lines name="s-0b"', "lines name=5", 5, "servers.speak[1].name"),
        ('lines name="s-0b"', 'lines kind="std"', 5, "servers.speak"),
        ("lines name=", 'lines kind="x" name=', 5, "servers.speak"),
        ("speak lines name", "speak http3 name", 5, "servers.speak[1].transport"),
        ("127.0.0.1:4101", "127.0.0.1", 5, "servers.speak"),
        ("servers {", "server {", 2, "server"),
        ("http2 {\n", "http2 4 {\n", 7, "servers.http2"),
        ("    }\n}\n", "    }\n", 13, ""),
        ("// and so on", '"', 3, ""),
    ],
)
def test_a_fault_is_one_message_with_file_line_and_key(old, new, line, key):
    assert old in GOOD
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.parse(GOOD.replace(old, new, 1), "f.kdl")
    said = caught.value
    assert (said.file, said.line, said.key) == ("f.kdl", line, key), str(said)
    assert str(said).startswith(f"f.kdl:{line}: ") and "\n" not in str(said)


WORDS = st.sampled_from(
    [
        "a",
        "speak x=1",
        'b "str{ing"',
        "c {",
        "}",
        "\n",
        ";",
        "// z\n",
        "/* { */",
        "/- d",
        'e #"raw " {"#',
        "\\\n",
        "f (ms)5",
        'g """\n x {\n """',
        "/-{ h\n}",
        "i 1 2",
    ]
)


@profile(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(WORDS, max_size=12))
def test_nodes_are_found_as_the_library_reads_them(words):
    text = " ".join(words)
    try:
        nodes = operator_file.ckdl.parse(text).nodes
    except Exception:
        return
    lines = text.split("\n")

    def same(nodes, starts):
        assert len(nodes) == len(starts)
        for node, start in zip(nodes, starts, strict=True):
            assert node.name in lines[start.line - 1]
            same(node.children, start.children)

    same(nodes, source_locations.starts(text))


def command(*given, **environ):
    return subprocess.run(
        [sys.executable, "-m", "sprucegate", *given],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **environ},
    )


def test_check_says_good_or_what_is_wrong_without_starting(tmp_path):
    path = tmp_path / "f.kdl"
    path.write_text(GOOD)
    done = command("check", str(path))
    assert done.returncode == 0 and ": valid, " in done.stdout
    assert json.loads(command("check", "--json", str(path)).stdout)["speak"][0] == {
        "transport": "http2",
        "kind": "std",
    }
    path.write_text(GOOD.replace("connections 2", "connections 0"))
    done = command("check", str(path))
    assert done.returncode == 2 and done.stderr.startswith(
        f"sprucegate: {path}:8: servers.http2.connections: "
    )
    said = json.loads(command("check", "--json", str(path)).stdout)
    assert (said["ok"], said["line"], said["key"]) == (False, 8, "servers.http2.connections")
    done = command("check", str(tmp_path / "none"))
    assert done.returncode == 2 and "can't be read" in done.stderr


def test_a_front_with_a_faulty_operators_file_does_not_start(tmp_path):
    path = tmp_path / "f.kdl"
    path.write_text("servers {\n  speak http2\n}\n")
    done = command("front", "--file", str(path))
    assert (done.returncode, done.stdout) == (2, "") and f"{path}:2: servers.speak" in done.stderr


def test_wrong_use_is_exit_2_and_the_version_needs_no_configuration():
    assert command("bogus").returncode == command("check").returncode == 2
    assert json.loads(command("version", "--json").stdout)["python"] == sys.version.split()[0]


def test_the_platforms_front_loads_no_library_that_it_does_not_use(tmp_path, monkeypatch, capfd):
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    box = cache(served)
    with Front(tmp_path, host("s-0b", box.address, "std")) as front:
        assert front.ask(get_text())[0] == 200
    loaded = {
        line.rpartition("|")[2].strip().partition(".")[0] for line in capfd.readouterr().err.splitlines()
    }
    assert "uvloop" in loaded and "sprucegate" in loaded
    assert not loaded & {"h2", "hpack", "hyperframe", "http_sfv", "ckdl", "msgspec", "click", "structlog"}


def test_the_log_by_the_library_writes_the_same_lines_and_never_blocks():
    near, far = os.pipe()
    plain, rich = Log("n0", far), structured("n0", far)
    for log in (plain, rich):
        log("told", offset=3, what="Hosts")
    rich.bind(server="s-1")("told", offset=4)
    one, two, three = [orjson.loads(line) for line in os.read(near, 4096).splitlines()]
    for said in (one, two, three):
        assert said.pop("at") > 0
    assert list(one.items()) == list(two.items())
    assert three == {"front": "n0", "event": "told", "server": "s-1", "offset": 4}
    for _ in range(20_000):
        rich("fill", text="x" * 50)
    held = b""
    while len(held) < 60_000:
        held += os.read(near, 65_536)
    rich("last")
    while b"\n" in (rest := os.read(near, 65_536)) and b"last" not in rest:
        pass
    assert orjson.loads(rest.splitlines()[-1])["lines_dropped"] > 0
    os.close(near)
    os.close(far)


FLEET = """fleet {
    name "east"
    listen "127.0.0.1:7100"
    join "127.0.0.1:7101" "127.0.0.1:7102"
    catch-up (MiB)1
}
"""


def test_a_fleet_has_its_defaults_and_several_addresses():
    node = operator_file.parse(FLEET, "f").fleet
    assert (node.address, node.join) == (("127.0.0.1", 7100), ["127.0.0.1:7101", "127.0.0.1:7102"])
    assert (node.catch_up, node.alone_after, node.evidence, node.advertise) == (1 << 20, 5 * S, 32 << 10, "")
    assert operator_file.parse("", "f").fleet is None


@pytest.mark.parametrize(
    "old, new, line, key",
    [
        ("127.0.0.1:7100", "nowhere", 3, "fleet.listen"),
        ("127.0.0.1:7102", "127.0.0.1:0", 4, "fleet.join"),
        ('    name "east"\n', "", 1, "fleet"),
        ('name "east"', 'name ""', 2, "fleet.name"),
        ("catch-up (MiB)1", "catch-up 1", 5, "fleet.catch-up"),
        ("catch-up (MiB)1", "catch-up (B)9", 5, "fleet.catch-up"),
        ("catch-up (MiB)1", 'advertise "x"', 5, "fleet.advertise"),
        ("catch-up", "catchup", 5, "fleet.catchup"),
    ],
)
def test_a_fault_in_a_fleet_is_told_with_its_line_and_key(old, new, line, key):
    with pytest.raises(operator_file.OperatorFileError) as fault:
        operator_file.parse(FLEET.replace(old, new), "f")
    assert (fault.value.line, fault.value.key) == (line, key)


AGREED = (
    FLEET
    + """agreement {
    keepers "k0=127.0.0.1:7200" "k1=127.0.0.1:7201" "k2=127.0.0.1:7202"
}
rollout {
    budgets "fleet cache 3 0.5" "kind=parent any 1 0.25"
    spare 0.25
}
"""
)


def test_keepers_and_budgets_are_read():
    made = operator_file.parse(AGREED, "f")
    assert made.agreement.addresses["k1"] == "127.0.0.1:7201" and made.agreement.state == "keeper"
    assert made.rollout.limits(0.1) == [
        [["fleet", "", "cache", 3, 500], ["kind", "parent", "", 1, 250]],
        [100, 250],
    ]


@pytest.mark.parametrize(
    "old, new, key, text",
    [
        ('"k2=127.0.0.1:7202"', "", "agreement.keepers", "odd"),
        ("k2=", "k1=", "agreement.keepers", "twice"),
        ("k2=127.0.0.1:7202", "k2", "agreement.keepers", "HOST:PORT"),
        ("k2=", "k^2=", "agreement.keepers", "HOST:PORT"),
        ("fleet cache 3 0.5", "fleet cache 3", "rollout.budgets", "COUNT"),
        ("fleet cache 3 0.5", "house cache 3 0.5", "rollout.budgets", "scope"),
        ("fleet cache 3 0.5", "fleet parent 3 0.5", "rollout.budgets", "role"),
        ("fleet cache 3 0.5", "fleet cache 0 0.5", "rollout.budgets", "count"),
        ("fleet cache 3 0.5", "fleet cache x 0.5", "rollout.budgets", "x"),
        ("spare 0.25", "spare 2", "rollout.spare", ""),
        ("rollout {", "rolling {", "rolling", "not known"),
        (AGREED[len(FLEET) : AGREED.index("rollout")], "", "rollout", "agreement"),
        (AGREED[AGREED.index("rollout") :], "", "agreement", "rollout"),
        (FLEET, "", "agreement", "fleet"),
    ],
)
def test_a_fault_in_keepers_or_budgets_is_told_with_its_key(old, new, key, text):
    assert old in AGREED
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.parse(AGREED.replace(old, new), "f")
    assert caught.value.key == key and text in caught.value.text


def test_the_story_of_one_get_is_read_out_of_the_log(tmp_path):
    """One cache refuses, the next serves: each step with its server, only where the operator's file asks for it."""
    reply = refuses_first()
    boxes = [cache(reply) for _ in range(3)]
    hosts = [host(f"s-{at + 11:x}", box.address, "std") for at, box in enumerate(boxes)]
    hosts.append(host("s-1f", cache(served).address, "origin"))
    with Front(tmp_path, *hosts, kdl="log {\n    gets #true\n}\n") as front:
        assert front.ask(get_text("a" * 16))[0] == 200
        line = front.until("get")
    steps = [step.split(" ", 1)[1] for step in line["story"]]
    assert [step.split(" to ")[0] for step in steps] == [
        "read",
        "attempt 0",
        "attempt 0 sent",
        "attempt 0 full",
        "attempt 1",
        "attempt 1 sent",
        "answered 200",
        "attempt 1 returned",
    ]
    log = tmp_path / "log"
    log.write_text(
        "no line of a log\n" + json.dumps({**line, "id": "b" * 16}) + "\n" + json.dumps(line) + "\n"
    )
    for call_id, status, count in (("a" * 16, 0, 1 + len(steps)), ("c" * 16, 1, 0)):
        done = subprocess.run(
            [sys.executable, "-m", "sprucegate", "story", call_id, str(log)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == status and done.stdout.count("\n") == count


def test_without_the_node_no_get_has_a_line():
    assert (
        operator_file.parse("", "f").log.gets is False
        and operator_file.parse("log {\n    gets #true\n}\n", "f").log.gets is True
    )
    with pytest.raises(operator_file.OperatorFileError, match="log.gets"):
        operator_file.parse('log {\n    gets "yes"\n}\n', "f")
