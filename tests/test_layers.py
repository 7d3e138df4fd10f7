"""No lower layer imports a higher one, and the check itself detects a violation."""

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


def run_linter(config):
    return subprocess.run(
        [*LINTER, "--config", str(config)], cwd=ROOT, capture_output=True, text=True, timeout=120
    )


def test_no_lower_layer_imports_a_higher_one():
    completed = run_linter(ROOT / "pyproject.toml")
    assert completed.returncode == 0, completed.stdout + completed.stderr


def test_an_import_of_a_higher_layer_is_detected(tmp_path):
    swapped = (
        (ROOT / "pyproject.toml")
        .read_text()
        .replace(
            '"simulator | config | storage",\n    "routing"',
            '"routing",\n    "simulator | config | storage"',
        )
    )
    (tmp_path / "pyproject.toml").write_text(swapped)
    completed = run_linter(tmp_path / "pyproject.toml")
    assert completed.returncode == 1 and "sprucegate.simulator.host -> sprucegate.routing" in completed.stdout
