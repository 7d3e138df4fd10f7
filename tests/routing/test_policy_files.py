"""The deploy file names every file that decisions rest on, and each of them is within the bench's rules."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
LINE_LENGTH = 110


def imported(path):
    """Modules that a file imports, absolute."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            yield node.module


def test_the_policy_names_every_routing_module_and_the_units():
    modules = {
        path.relative_to(ROOT).as_posix()
        for path in (ROOT / "sprucegate/routing").rglob("*.py")
        if path.name != "__init__.py"
    }
    assert sorted(POLICY) == sorted({*modules, "sprucegate/units.py"})


@pytest.mark.parametrize("name", POLICY)
def test_a_policy_file_imports_only_the_standard_library_and_other_policy_files(name):
    allowed = {other.removesuffix(".py").replace("/", ".") for other in POLICY} | {"sprucegate.errors"}
    foreign = [
        module
        for module in imported(ROOT / name)
        if module not in allowed and module.split(".")[0] not in sys.stdlib_module_names
    ]
    assert foreign == []


@pytest.mark.parametrize("name", POLICY)
def test_lines_of_a_policy_file_are_short(name):
    assert max(len(line) for line in (ROOT / name).read_text().splitlines()) <= LINE_LENGTH
