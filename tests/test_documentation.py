"""The documentation pages name only paths that exist, and cover every log event."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = ("README.md", "docs/architecture.md", "docs/glossary.md", "docs/on-call.md")
LOG_CALLS = {"log", "_log"}


def paths_named(page):
    """Return the paths in backquotes on a page, such as `front/driver.py` or `sprucegate/front/`."""
    text = (ROOT / page).read_text()
    return {path for path in re.findall(r"`((?:[a-z_0-9]+/)+(?:[a-z_0-9]+\.py)?)`", text)}


def exists(path):
    """Return whether a path exists, relative to the root, the package, or one of the two packages with subpackages."""
    bases = ("", "sprucegate", "sprucegate/fleet", "sprucegate/upstream")
    return any((ROOT / base / path).exists() for base in bases)


@pytest.mark.parametrize("page", PAGES)
def test_paths_named_on_a_page_exist(page):
    assert sorted(path for path in paths_named(page) if not exists(path)) == []


def events_logged():
    """Return {event: file} of each log call whose event is a literal."""
    found = {}
    for path in sorted((ROOT / "sprucegate").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            first = node.args[0]
            if name in LOG_CALLS and isinstance(first, ast.Constant) and isinstance(first.value, str):
                found[first.value] = str(path.relative_to(ROOT))
    return found


def test_each_log_event_is_documented():
    pages = "\n".join(
        path.read_text()
        for path in [ROOT / "docs" / "on-call.md", *(ROOT / "docs" / "operators").glob("*.md")]
    )
    missing = {event: path for event, path in events_logged().items() if f"`{event}`" not in pages}
    assert missing == {}
