"""Typed sections that controllers read and write, each with one owner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

S = TypeVar("S")


class OwnershipError(Exception):
    """A controller wrote a section that another one owns."""


class Blackboard:
    """Holds one frozen value of each section type.

    Examples
    --------
    >>> from dataclasses import dataclass
    >>> @dataclass(frozen=True)
    ... class Load:
    ...     running: int = 0
    >>> board = Blackboard()
    >>> write = board.claim(Load, "meter")
    >>> write(Load(3))
    >>> board.get(Load).running
    3
    """

    def __init__(self) -> None:
        self._sections: dict[type, Any] = {}
        self._owners: dict[type, str] = {}
        self._listeners: dict[type, list[Callable[[Any], None]]] = defaultdict(list)

    def claim(self, section: type[S], owner: str) -> Callable[[S], None]:
        """Return the only function that may replace a section.

        Raises
        ------
        OwnershipError
            The section has an owner already.
        """
        if section in self._owners:
            raise OwnershipError(
                f"{section.__name__} belongs to {self._owners[section]}, not {owner}"
            )
        self._owners[section] = owner

        def write(value: S) -> None:
            if self._sections.get(section) == value:
                return
            self._sections[section] = value
            for listener in self._listeners[section]:
                listener(value)

        return write

    def get(self, section: type[S]) -> S:
        """Return the present value; a fresh default if nobody wrote yet."""
        if section not in self._sections:
            self._sections[section] = section()
        return self._sections[section]

    def on_change(self, section: type[S], listener: Callable[[S], None]) -> None:
        """Call a function with each new value of a section."""
        self._listeners[section].append(listener)

    def owners(self) -> dict[str, str]:
        """Return the owner of each claimed section, for the docs."""
        return {section.__name__: owner for section, owner in self._owners.items()}
