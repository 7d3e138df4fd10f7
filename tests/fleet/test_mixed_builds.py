"""The command that runs two builds in one fleet: it passes with one build twice, and fails where the builds differ."""

import pathlib
import shutil
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]


def run(other, *flags):
    return subprocess.run(
        [sys.executable, "-m", "standins.fleet.mixed_builds", "--other", other, *flags],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
    )


def changed_build(folder, module, old, new):
    """A copy of this build in which a text of one module is another."""
    for package in ("sprucegate", "standins"):
        shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "sprucegate" / module
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))
    return folder


@pytest.mark.parametrize("stage", ["handover", "mixed"])
def test_one_build_passes_beside_itself(stage):
    done = run(ROOT, "--stage", stage)
    assert done.returncode == 0, done.stdout
    assert "failed" not in done.stdout and done.stdout.count("passed: ") >= 3


def test_a_build_that_names_the_voters_files_otherwise_fails_the_handover(tmp_path):
    other = changed_build(tmp_path, "fleet/consensus/storage.py", "agreed", "accord")
    done = run(other, "--stage", "handover", "--patience", "10")
    assert done.returncode == 1 and "failed: handover" in done.stdout, done.stdout


def test_a_build_that_names_replicated_records_otherwise_fails_beside_this_one(tmp_path):
    other = changed_build(tmp_path, "fleet/replica/replica.py", '"purge"', '"purged"')
    done = run(other, "--stage", "mixed", "--patience", "10")
    assert done.returncode == 1 and "failed: mixed" in done.stdout, done.stdout


def test_a_folder_that_is_no_checkout_is_refused(tmp_path):
    done = run(tmp_path)
    assert done.returncode == 2 and "sprucegate/__main__.py is missing" in done.stderr
