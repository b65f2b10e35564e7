"""Pytest plugin that accepts and prints the known failures in ``KNOWN-RED.txt``.

Each entry is one line: test id, command and seed, what was seen, issue,
separated by ``|``.  Lines that start with ``#`` are comments.
"""

from __future__ import annotations

from pathlib import Path

import pytest

LIST_PATH = Path("KNOWN-RED.txt")


def parse_entries(text: str) -> dict[str, str]:
    """Return the description of each listed test, by the id of the test."""
    known = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition("|")
            known[name.strip()] = rest.strip()
    return known


def pytest_collection_modifyitems(items) -> None:
    """Mark the listed tests as expected failures."""
    known = parse_entries(LIST_PATH.read_text()) if LIST_PATH.exists() else {}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the entries of the list at the end of each run."""
    known = parse_entries(LIST_PATH.read_text()) if LIST_PATH.exists() else {}
    for name, detail in known.items():
        terminalreporter.write_line(f"KNOWN RED: {name}: {detail}")
