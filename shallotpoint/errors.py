"""Errors that carry a result code."""

from __future__ import annotations

from shallotpoint.results import RESULTS, Executed, Result
from shallotpoint.types import Seconds


class ShallotpointError(Exception):
    """Base of all errors that the package raises on purpose."""


class RequestError(ShallotpointError):
    """A request ended without a whole answer.

    Parameters
    ----------
    result : Result
        The code that the caller is given.
    message : str
        What happened, in a sentence without prompt text or keys.
    executed : Executed, optional
        Overrides the statement that belongs to the code.
    retry_after_s : float, optional
        Seconds after which the caller may try again.
    """

    def __init__(
        self,
        result: Result,
        message: str = "",
        *,
        executed: Executed | None = None,
        retry_after_s: Seconds | None = None,
    ):
        self.result = result
        self.info = RESULTS[result]
        self.executed = executed or self.info.executed
        self.retry_after_s = retry_after_s
        super().__init__(message or self.info.meaning)


class SettingError(ShallotpointError):
    """One bad key in a settings file: its path, its value and what is allowed."""

    def __init__(self, path: str, value: object, allowed: str):
        self.path = path
        self.value = value
        self.allowed = allowed
        super().__init__(f"{path}: {value!r} is not allowed; use {allowed}")


class OperatorError(ShallotpointError):
    """An operator command that was not carried out."""

    def __init__(self, result: Result, message: str, *, version: int | None = None):
        self.result = result
        self.version = version
        super().__init__(message)
