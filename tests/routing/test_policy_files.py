"""The deployment file lists every policy file, and each of them meets the rules for policy files."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
LINE_LENGTH = 110


def imported(path):
    """Absolute names of the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            yield node.module


def test_the_policy_lists_every_routing_module_and_the_units():
    modules = {
        path.relative_to(ROOT).as_posix()
        for path in (ROOT / "sprucegate/routing").rglob("*.py")
        if path.name != "__init__.py"
    }
    assert sorted(POLICY) == sorted({*modules, "sprucegate/units.py"})


@pytest.mark.parametrize("name", POLICY)
def test_a_policy_file_imports_only_the_standard_library_and_other_policy_files(name):
    allowed = {other.removesuffix(".py").replace("/", ".") for other in POLICY} | {"sprucegate.errors"}
    disallowed = [
        module
        for module in imported(ROOT / name)
        if module not in allowed and module.split(".")[0] not in sys.stdlib_module_names
    ]
    assert disallowed == []


@pytest.mark.parametrize("name", POLICY)
def test_policy_file_lines_are_within_the_length_limit(name):
    assert max(len(line) for line in (ROOT / name).read_text().splitlines()) <= LINE_LENGTH
