"""The fields of each thing that operators set, and how values are read."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from shallotpoint.errors import OperatorError
from shallotpoint.hashing import hash_key
from shallotpoint.operators.commands import read_duration_s
from shallotpoint.policy import configuration
from shallotpoint.policy.model import PoolKind
from shallotpoint.results import Result

_YES = {"yes": True, "true": True, "on": True, "no": False, "false": False}
_YES["off"] = False


def _read_bool(text: str) -> bool:
    if text.lower() not in _YES:
        raise ValueError(f"{text!r} is not allowed; use yes or no")
    return _YES[text.lower()]


def _read_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a whole number") from None


def _read_part(text: str) -> float:
    try:
        if text.endswith("%"):
            return float(text[:-1]) / 100
        return float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a share; use 10% or 0.1") from None


def _read_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None


def _read_names(text: str) -> tuple[str, ...]:
    names = tuple(part.strip() for part in text.split(",") if part.strip())
    return tuple(name.removeprefix("http://").rstrip("/") for name in names)


def _read_optional_s(text: str) -> float | None:
    return None if text == "none" else read_duration_s(text)


def _read_kind(text: str) -> str:
    try:
        return str(PoolKind(text))
    except ValueError:
        raise ValueError(f"{text!r} is not allowed; use engine or service") from None


@dataclass(frozen=True, slots=True)
class FieldSpec:
    """How one field is stored and read."""

    stored_as: str
    read: Callable[[str], Any]


_CLASS_FIELDS = {
    "tier": FieldSpec("tier", _read_int),
    "ttft": FieldSpec("ttft_s", _read_optional_s),
    "tbt": FieldSpec("tbt_s", _read_optional_s),
    "deadline": FieldSpec("deadline_s", _read_optional_s),
    "wait": FieldSpec("max_wait_s", _read_optional_s),
    "protected": FieldSpec("protected", _read_bool),
    "share": FieldSpec("share", _read_part),
    "queue": FieldSpec("max_queued", _read_int),
    "queue_bytes": FieldSpec("max_queued_bytes", _read_int),
}

FIELDS: Mapping[str, Mapping[str, FieldSpec]] = {
    configuration.CLASSES: _CLASS_FIELDS,
    configuration.EXCEPTIONS: {
        name: spec for name, spec in _CLASS_FIELDS.items() if name != "share"
    },
    configuration.POOLS: {
        "kind": FieldSpec("kind", _read_kind),
        "models": FieldSpec("models", _read_names),
        "upstreams": FieldSpec("upstreams", _read_names),
        "slots": FieldSpec("slots", _read_int),
        "idempotent": FieldSpec("idempotent", _read_bool),
    },
    configuration.ORGANISATIONS: {
        "key": FieldSpec("key_hash", hash_key),
        "classes": FieldSpec("classes", _read_names),
        "default": FieldSpec("default_class", str),
        "weight": FieldSpec("weight", _read_float),
    },
    configuration.ORDERS: {
        "load": FieldSpec("load", str),
        "unload": FieldSpec("unload", str),
        "adapter": FieldSpec("adapter", str),
        "version": FieldSpec("version", str),
        "role": FieldSpec("role", str),
    },
}


def read_assignments(kind: str, assignments) -> dict[str, Any]:
    """Return stored fields from typed assignments.

    Raises
    ------
    OperatorError
        With ``INVALID_CHANGE``, naming the field, the value and what to use.
    """
    specs = FIELDS[kind]
    values: dict[str, Any] = {}
    for name, text in assignments:
        spec = specs.get(name)
        if spec is None:
            allowed = ", ".join(specs)
            raise OperatorError(
                Result.INVALID_CHANGE, f"unknown field {name!r}; use {allowed}"
            )
        try:
            values[spec.stored_as] = spec.read(text)
        except ValueError as exc:
            raise OperatorError(Result.INVALID_CHANGE, f"{name}: {exc}") from None
    return values
