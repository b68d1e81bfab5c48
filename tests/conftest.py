"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests():
    """Returns the pytest node ids listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(items):
    """Marks listed tests as xfail; one that passes does not fail the run."""
    listed = set(known_red_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests after the results."""
    for test_id in known_red_tests():
        terminalreporter.write_line(f"known red: {test_id}")
