"""No import runs from a lower layer to a higher one, and what holds that can fail."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
LINTER = [
    sys.executable,
    "-c",
    "from importlinter.cli import lint_imports_command as run; run()",
    "--no-cache",
]


def linted(config):
    return subprocess.run(
        [*LINTER, "--config", str(config)], cwd=ROOT, capture_output=True, text=True, timeout=120
    )


def test_no_import_runs_up():
    done = linted(ROOT / "pyproject.toml")
    assert done.returncode == 0, done.stdout + done.stderr


def test_an_import_that_runs_up_is_found(tmp_path):
    turned = (
        (ROOT / "pyproject.toml")
        .read_text()
        .replace(
            '"simulator | config | storage",\n    "routing"',
            '"routing",\n    "simulator | config | storage"',
        )
    )
    (tmp_path / "pyproject.toml").write_text(turned)
    done = linted(tmp_path / "pyproject.toml")
    assert done.returncode == 1 and "sprucegate.simulator.host -> sprucegate.routing" in done.stdout
