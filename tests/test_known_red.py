"""KNOWN-RED.txt marks exactly the listed tests as expected failures; a malformed list is rejected."""

import pathlib
import subprocess
import sys

import pytest
from conftest import Wrong, known_red

HERE = pathlib.Path(__file__).parent


ENTRY = "pytest -n 0, seed 7 | AssertionError: 0 | 38"


def run(path, listed, body="def test_a():\n    assert 0\n\n\ndef test_b():\n    pass\n"):
    (path / "tests").mkdir()
    (path / "tests" / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (path / "tests" / "test_x.py").write_text(body)
    (path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (path / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=path,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_only_a_listed_test_is_expected_to_fail(tmp_path):
    completed = run(tmp_path, f"tests/test_x.py::test_a | {ENTRY}\n")
    assert completed.returncode == 0 and "1 passed, 1 xfailed" in completed.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    assert run(tmp_path, f"tests/test_x.py::test_b | {ENTRY}\n").returncode == 1


@pytest.mark.parametrize(
    "test, outcome", [("test_a", "1 passed, 1 xfailed"), ("test_b", "1 failed, 1 xpassed")]
)
def test_only_a_listed_test_that_fails_at_times_may_pass_or_fail(tmp_path, test, outcome):
    completed = run(tmp_path, f"tests/test_x.py::{test} | pytest -n 0 | at times: AssertionError: 0 | 38\n")
    assert outcome in completed.stdout


def test_an_unlisted_failure_fails_the_run(tmp_path):
    assert run(tmp_path, "").returncode == 1


@pytest.mark.parametrize(
    "listed",
    [
        f"tests/test_x.py::test_gone | {ENTRY}\n",
        "tests/test_x.py::test_a | pytest -n 0, seed 7 | AssertionError: 0\n",
        "tests/test_x.py::test_a | the former form, a cause | 38\n",
    ],
)
def test_an_unknown_test_or_a_malformed_line_aborts_the_run(tmp_path, listed):
    completed = run(tmp_path, listed)
    assert completed.returncode not in (0, 1) and "KNOWN-RED.txt" in completed.stderr + completed.stdout


@pytest.mark.parametrize(
    "text",
    [
        "a | b | c | 1",
        "t.py::a | | c | 1",
        "t.py::a | b | | 1",
        "t.py::a | b | c | ",
        "t.py::a | b | c | soon",
        "t.py::a | b | 1",
        "t.py::a | b | c | d | 1",
        "t.py::a | b | c | 1\nt.py::a | b | c | 1",
        "\n".join(f"t.py::a{at} | b | c | 1" for at in range(4)),
    ],
)
def test_a_malformed_list_is_rejected(text):
    with pytest.raises(Wrong):
        known_red(text)


def test_the_reason_contains_the_failure_the_issue_and_the_command():
    listed = known_red("t.py::a | pytest -n 0, seed 7 | got 503 | #38")
    assert listed == {"t.py::a": "got 503 (issue #38; pytest -n 0, seed 7)"}


def test_an_empty_list_has_no_entries():
    assert known_red("\n") == {}
