"""The operators' language: text to typed commands."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib import resources

import lark

from shallotpoint.errors import OperatorError
from shallotpoint.results import Result
from shallotpoint.types import Seconds

_DURATION_UNITS_S: Mapping[str, Seconds] = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "h": 3600.0,
}


@dataclass(frozen=True, slots=True)
class Condition:
    """A filter on one column; ``compare`` is ``=``, ``!=``, ``<`` and so on."""

    column: str
    compare: str
    value: str


@dataclass(frozen=True, slots=True)
class Show:
    """Ask for the rows of a table."""

    table: str
    where: tuple[Condition, ...] = ()
    by: str | None = None
    last_s: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Set:
    """Create or change a thing; the values are as typed."""

    kind: str
    name: str
    assignments: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Drop:
    """Remove a thing."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Give an upstream no new work, or restore it."""

    upstream: str
    restore: bool = False


@dataclass(frozen=True, slots=True)
class Explain:
    """Ask for the whole course of one request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Order:
    """Have an engine load something or change its role."""

    upstream: str
    assignments: tuple[tuple[str, str], ...]


Command = Show | Set | Drop | Drain | Explain | Order


class _Builder(lark.Transformer):
    """Turns the parse tree into commands."""

    def start(self, children):
        return children[0]

    def value(self, children):
        return str(children[0]).strip("\"'")

    target = value

    def assignment(self, children):
        return (str(children[0]), children[1])

    def condition(self, children):
        return Condition(str(children[0]), str(children[1]), children[2])

    def where(self, children):
        return tuple(children)

    def by(self, children):
        return str(children[0])

    def last(self, children):
        return read_duration_s(children[0])

    def show(self, children):
        table, where, by, last_s = children
        return Show(str(table), where or (), by, last_s)

    def set_thing(self, children):
        return Set(str(children[0]), children[1], tuple(children[2:]))

    def drop(self, children):
        return Drop(str(children[0]), children[1])

    def drain(self, children):
        return Drain(children[0])

    def restore(self, children):
        return Drain(children[0], restore=True)

    def explain(self, children):
        return Explain(children[-1])

    def order(self, children):
        return Order(children[0], tuple(children[1:]))


_GRAMMAR = resources.files(__package__).joinpath("grammar.lark").read_text()
_PARSER = lark.Lark(_GRAMMAR, parser="earley", lexer="dynamic", maybe_placeholders=True)


def parse(text: str) -> Command:
    """Return the command that a line of text means.

    Raises
    ------
    OperatorError
        With ``PARSE_ERROR``; the message shows the place and what is expected.

    Examples
    --------
    >>> parse("drop class counter")
    Drop(kind='class', name='counter')
    """
    try:
        return _Builder().transform(_PARSER.parse(text))
    except lark.exceptions.UnexpectedInput as exc:
        raise OperatorError(Result.PARSE_ERROR, _explain(text, exc)) from None
    except lark.exceptions.VisitError as exc:
        raise OperatorError(Result.PARSE_ERROR, str(exc.orig_exc)) from None


def _explain(text: str, exc: lark.exceptions.UnexpectedInput) -> str:
    position: int | None = getattr(exc, "pos_in_stream", None)
    at_end = isinstance(exc, lark.exceptions.UnexpectedEOF)
    column = len(text) if at_end or position is None else position
    expected = getattr(exc, "allowed", None) or getattr(exc, "expected", None) or ()
    names = sorted({_readable(str(name)) for name in expected})
    place = f"{text}\n{' ' * column}^"
    return f"column {column + 1}: expected {' or '.join(names) or 'less'}\n{place}"


_READABLE = {
    "NAME": "a field name",
    "WORD": "a value",
    "STRING": "a quoted value",
    "COMPARE": "= != < > <= >=",
    "EQUAL": "=",
    "TABLE": "running|waiting|refused|upstreams|routers|classes|exceptions|pools|"
    "orders|organisations|version",
    "KIND": "class|exception|pool|organisation",
}


def _readable(terminal: str) -> str:
    return _READABLE.get(terminal, terminal.lower())


def read_duration_s(text: str) -> Seconds:
    """Return a duration such as ``800ms`` or ``5m`` in seconds."""
    number = text.rstrip("hms")
    unit = text.removeprefix(number) or "s"
    if unit not in _DURATION_UNITS_S:
        raise ValueError(f"{text!r} is not a duration; use 800ms, 30s, 5m or 8h")
    try:
        return float(number) * _DURATION_UNITS_S[unit]
    except ValueError:
        raise ValueError(
            f"{text!r} is not a duration; use 800ms, 30s, 5m or 8h"
        ) from None
