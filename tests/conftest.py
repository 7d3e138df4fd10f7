"""Known red: tests that fail for a real fault which is not mended yet, and for nothing else."""

import gc
import pathlib

import pytest

FORM = "`test id | command and seed | what was seen | issue`"
AT_TIMES = "at times:"  # begins what was seen of a test that fails in some runs only
MOST = 3  # lines of the list; more are not known faults but a state of affairs


class Wrong(Exception):
    """The list itself is at fault."""


def known_red(text):
    """{test id: reason} of the lines `test id | command and seed | what was seen | issue`; raises Wrong."""
    found = {}
    for at, line in enumerate(filter(str.strip, text.splitlines()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts):
            raise Wrong(f"KNOWN-RED.txt, line {at}: {FORM} is wanted")
        test, command, seen, issue = parts
        if "::" not in test or not issue.lstrip("#").isdecimal():
            raise Wrong(f"KNOWN-RED.txt, line {at}: {FORM} is wanted")
        if test in found:
            raise Wrong(f"KNOWN-RED.txt, line {at}: {test} is listed twice")
        found[test] = f"{seen} (issue {issue}; {command})"
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
            # Strict: once it passes its line has to go. One that fails at times passes in most runs with its fault.
            reason = red[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=not reason.startswith(AT_TIMES)))


def pytest_collection_finish(session):
    # A full collection of what the whole suite loads stops a worker, with its clients' threads, for a tenth of a second
    # and more: tests that watch the time would take that for the front's.
    gc.collect()
    gc.freeze()
