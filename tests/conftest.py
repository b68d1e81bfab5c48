"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """Returns the listed test ids."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.split()[0] for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(items):
    """Marks listed tests as expected to fail, whether they do or not."""
    listed = set(known_red())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests."""
    for test in known_red():
        terminalreporter.write_line(f"known red: {test}")
