"""The list of known faults marks just its own tests, and is refused where it is not as agreed."""

import pathlib
import subprocess
import sys

import pytest
from conftest import Wrong, known_red

HERE = pathlib.Path(__file__).parent


SEEN = "pytest -n 0, seed 7 | AssertionError: 0 | 38"


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


def test_a_listed_test_is_passed_over_and_no_other(tmp_path):
    done = run(tmp_path, f"tests/test_x.py::test_a | {SEEN}\n")
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout


def test_a_listed_test_that_passes_again_fails(tmp_path):
    assert run(tmp_path, f"tests/test_x.py::test_b | {SEEN}\n").returncode == 1


def test_one_that_is_not_listed_fails(tmp_path):
    assert run(tmp_path, "").returncode == 1


@pytest.mark.parametrize(
    "listed",
    [
        f"tests/test_x.py::test_gone | {SEEN}\n",
        "tests/test_x.py::test_a | pytest -n 0, seed 7 | AssertionError: 0\n",
        "tests/test_x.py::test_a | the former form, a cause | 38\n",
    ],
)
def test_a_test_that_is_not_there_or_a_line_that_is_malformed_fails_all(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode not in (0, 1) and "KNOWN-RED.txt" in done.stderr + done.stdout


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
def test_what_is_no_list_of_known_faults(text):
    with pytest.raises(Wrong):
        known_red(text)


def test_the_reason_of_a_known_fault_has_what_was_seen_the_issue_and_the_command():
    listed = known_red("t.py::a | pytest -n 0, seed 7 | got 503 | #38")
    assert listed == {"t.py::a": "got 503 (issue #38; pytest -n 0, seed 7)"}


def test_an_empty_list_has_no_known_faults():
    assert known_red("\n") == {}
