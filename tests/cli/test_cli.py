"""Operator's file, command line and log. An invalid file is rejected as a whole, with the location of the error."""

import json
import os
import subprocess
import sys

import orjson
import pytest
from helpers import Front, cache, get_text, host, refuses_first, served
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sprucegate.cli import operator_file
from sprucegate.cli.structured_logging import structured
from sprucegate.config import source_locations
from sprucegate.front.log import Log
from sprucegate.upstream.http2.limits import MS, S

VALID = """// comment with { braces
servers {
    speak http2 kind="std" // line comment
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


def test_a_valid_file_is_parsed_and_rules_have_precedence():
    config = operator_file.parse(VALID, "f")
    limits = config.servers.http2
    assert (limits.connections, limits.wait, limits.held, limits.age_spread) == (2, 250 * MS, 2 << 20, 0.5)
    assert limits.idle == 14 * S  # the default of an omitted setting
    servers = config.servers.resolved({"std": 0, "parent": 1})
    assert servers.transport("s-01", "127.0.0.1:1", 0) == "http2"
    assert servers.transport("s-0b", "127.0.0.1:4101", 0) == "lines"  # name over address
    assert servers.transport("s-01", "127.0.0.1:4101", 1) == "http2"  # address over kind
    assert servers.transport("s-01", "127.0.0.1:1", 1) == "lines"
    with pytest.raises(KeyError):
        config.servers.resolved({"parent": 0})


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
        ("// line comment", '"', 3, ""),
    ],
)
def test_an_error_is_one_line_with_file_line_and_key(old, new, line, key):
    assert old in VALID
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.parse(VALID.replace(old, new, 1), "f.kdl")
    error = caught.value
    assert (error.file, error.line, error.key) == ("f.kdl", line, key), str(error)
    assert str(error).startswith(f"f.kdl:{line}: ") and "\n" not in str(error)


FRAGMENTS = st.sampled_from(
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


@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(FRAGMENTS, max_size=12))
def test_node_positions_match_the_nodes_that_ckdl_parses(fragments):
    text = " ".join(fragments)
    try:
        nodes = operator_file.ckdl.parse(text).nodes
    except Exception:
        return
    lines = text.split("\n")

    def check_positions(nodes, starts):
        assert len(nodes) == len(starts)
        for node, start in zip(nodes, starts, strict=True):
            assert node.name in lines[start.line - 1]
            check_positions(node.children, start.children)

    check_positions(nodes, source_locations.starts(text))


def run_command(*given, **environ):
    return subprocess.run(
        [sys.executable, "-m", "sprucegate", *given],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **environ},
    )


def test_check_reports_a_valid_file_or_the_error_without_starting_a_front(tmp_path):
    path = tmp_path / "f.kdl"
    path.write_text(VALID)
    completed = run_command("check", str(path))
    assert completed.returncode == 0 and ": valid, " in completed.stdout
    assert json.loads(run_command("check", "--json", str(path)).stdout)["speak"][0] == {
        "transport": "http2",
        "kind": "std",
    }
    path.write_text(VALID.replace("connections 2", "connections 0"))
    completed = run_command("check", str(path))
    assert completed.returncode == 2 and completed.stderr.startswith(
        f"sprucegate: {path}:8: servers.http2.connections: "
    )
    answer = json.loads(run_command("check", "--json", str(path)).stdout)
    assert (answer["ok"], answer["line"], answer["key"]) == (False, 8, "servers.http2.connections")
    completed = run_command("check", str(tmp_path / "none"))
    assert completed.returncode == 2 and "can't be read" in completed.stderr


def test_a_front_with_an_invalid_operators_file_does_not_start(tmp_path):
    path = tmp_path / "f.kdl"
    path.write_text("servers {\n  speak http2\n}\n")
    completed = run_command("front", "--file", str(path))
    assert (completed.returncode, completed.stdout) == (
        2,
        "",
    ) and f"{path}:2: servers.speak" in completed.stderr


def test_wrong_usage_exits_with_2_and_version_needs_no_configuration():
    assert run_command("bogus").returncode == run_command("check").returncode == 2
    assert json.loads(run_command("version", "--json").stdout)["python"] == sys.version.split()[0]


def test_the_platforms_front_imports_no_library_that_it_does_not_use(tmp_path, monkeypatch, capfd):
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    server = cache(served)
    with Front(tmp_path, host("s-0b", server.address, "std")) as front:
        assert front.ask(get_text())[0] == 200
    loaded = {
        line.rpartition("|")[2].strip().partition(".")[0] for line in capfd.readouterr().err.splitlines()
    }
    assert "uvloop" in loaded and "sprucegate" in loaded
    assert not loaded & {"h2", "hpack", "hyperframe", "http_sfv", "ckdl", "msgspec", "click", "structlog"}


def test_the_structlog_logger_writes_the_same_lines_as_the_plain_one_and_never_blocks():
    read_end, write_end = os.pipe()
    plain, structlogged = Log("n0", write_end), structured("n0", write_end)
    for log in (plain, structlogged):
        log("told", offset=3, what="Hosts")
    structlogged.bind(server="s-1")("told", offset=4)
    one, two, three = [orjson.loads(line) for line in os.read(read_end, 4096).splitlines()]
    for record in (one, two, three):
        assert record.pop("at") > 0
    assert list(one.items()) == list(two.items())
    assert three == {"front": "n0", "event": "told", "server": "s-1", "offset": 4}
    for _ in range(20_000):
        structlogged("fill", text="x" * 50)
    buffered = b""
    while len(buffered) < 60_000:
        buffered += os.read(read_end, 65_536)
    structlogged("last")
    while b"\n" in (rest := os.read(read_end, 65_536)) and b"last" not in rest:
        pass
    assert orjson.loads(rest.splitlines()[-1])["lines_dropped"] > 0
    os.close(read_end)
    os.close(write_end)


FLEET = """fleet {
    name "east"
    listen "127.0.0.1:7100"
    join "127.0.0.1:7101" "127.0.0.1:7102"
    catch-up (MiB)1
}
"""


def test_the_fleet_node_has_defaults_and_takes_several_addresses():
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
def test_an_error_in_the_fleet_node_is_reported_with_line_and_key(old, new, line, key):
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.parse(FLEET.replace(old, new), "f")
    assert (caught.value.line, caught.value.key) == (line, key)


AGREEMENT = (
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


def test_keepers_and_budgets_are_parsed():
    config = operator_file.parse(AGREEMENT, "f")
    assert config.agreement.addresses["k1"] == "127.0.0.1:7201" and config.agreement.state == "keeper"
    assert config.rollout.limits(0.1) == [
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
        (AGREEMENT[len(FLEET) : AGREEMENT.index("rollout")], "", "rollout", "agreement"),
        (AGREEMENT[AGREEMENT.index("rollout") :], "", "agreement", "rollout"),
        (FLEET, "", "agreement", "fleet"),
    ],
)
def test_an_error_in_keepers_or_budgets_is_reported_with_its_key(old, new, key, text):
    assert old in AGREEMENT
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.parse(AGREEMENT.replace(old, new), "f")
    assert caught.value.key == key and text in caught.value.text


def test_the_steps_of_one_get_are_printed_from_the_log(tmp_path):
    """One cache refuses and the next one serves: the log has each step if `log { gets }` is set."""
    reply = refuses_first()
    caches = [cache(reply) for _ in range(3)]
    hosts = [host(f"s-{at + 11:x}", server.address, "std") for at, server in enumerate(caches)]
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
        "not a log record\n" + json.dumps({**line, "id": "b" * 16}) + "\n" + json.dumps(line) + "\n"
    )
    for call_id, status, count in (("a" * 16, 0, 1 + len(steps)), ("c" * 16, 1, 0)):
        completed = subprocess.run(
            [sys.executable, "-m", "sprucegate", "story", call_id, str(log)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert completed.returncode == status and completed.stdout.count("\n") == count


def test_gets_are_logged_only_if_the_log_node_sets_it():
    assert (
        operator_file.parse("", "f").log.gets is False
        and operator_file.parse("log {\n    gets #true\n}\n", "f").log.gets is True
    )
    with pytest.raises(operator_file.OperatorFileError, match="log.gets"):
        operator_file.parse('log {\n    gets "yes"\n}\n', "f")
