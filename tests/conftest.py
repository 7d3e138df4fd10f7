"""Known red: tests that fail for a real fault which is not mended yet, and for nothing else."""

import pathlib

import pytest

MOST = 3  # lines of the list; more are not known faults but a state of affairs


class Wrong(Exception):
    """The list itself is at fault."""


def known_red(text):
    """{test id: cause} of the lines `test id | cause | issue`; raises Wrong."""
    found = {}
    for at, line in enumerate(filter(str.strip, text.splitlines()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].lstrip("#").isdecimal():
            raise Wrong(f"KNOWN-RED.txt, line {at}: `test id | cause | issue` is wanted")
        found[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(found) > MOST:
        raise Wrong(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return found


def pytest_collection_modifyitems(session, config, items):
    list_of_them = pathlib.Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        red = known_red(list_of_them.read_text() if list_of_them.exists() else "")
        if list(config.args) == list(config.getini("testpaths")) and (
            gone := red.keys() - {i.nodeid for i in items}
        ):
            raise Wrong(f"KNOWN-RED.txt: no such test: {', '.join(sorted(gone))}")
    except Wrong as fault:
        raise pytest.UsageError(str(fault)) from None
    for item in items:
        if item.nodeid in red:
            # Strict: once it passes its line has to go.
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=True))
