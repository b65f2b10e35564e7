"""A base test case, a fake clock and a wait for conditions."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import testtools

from shallotpoint.types import Seconds

TEST_TIMEOUT_S = 60.0


class TestCase(testtools.TestCase):
    """A test case with testtools' matchers that can run coroutines.

    Attributes
    ----------
    run_loop : Callable
        Runs a coroutine in a new event loop; subclasses may replace it.
    """

    def run_async(
        self, main: Coroutine[Any, Any, Any], *, timeout_s: Seconds = TEST_TIMEOUT_S
    ) -> Any:
        """Run a coroutine in a new event loop and return its result.

        Raises
        ------
        TimeoutError
            If the coroutine takes longer than ``timeout_s``.
        """

        async def bounded() -> Any:
            async with asyncio.timeout(timeout_s):
                return await main

        return self.run_loop(bounded())

    run_loop = staticmethod(asyncio.run)


class FakeClock:
    """A clock whose time changes only when a test changes it."""

    def __init__(self, now: Seconds = 0.0):
        self.now = now

    def __call__(self) -> Seconds:
        """Return the time of this clock, in seconds."""
        return self.now

    def advance(self, seconds: Seconds) -> Seconds:
        """Move the clock forward and return its new time."""
        self.now += seconds
        return self.now


async def eventually(
    condition: Any, *, timeout_s: Seconds = 5.0, interval_s: Seconds = 0.01
) -> None:
    """Check a condition repeatedly until it holds.

    Raises
    ------
    TimeoutError
        If the condition does not hold within ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(interval_s)
