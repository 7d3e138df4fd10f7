"""The command that runs two builds in one fleet: it fails where the builds differ in what they store or send."""

import pathlib
import shutil
import subprocess
import sys

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
