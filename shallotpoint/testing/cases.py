"""Base classes and fakes for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import testtools

from shallotpoint.types import Seconds

TEST_TIMEOUT_S = 60.0


class TestCase(testtools.TestCase):
    """A test case with testtools' matchers; coroutines run to their end."""

    def run_async(
        self, main: Coroutine[Any, Any, Any], *, timeout_s: Seconds = TEST_TIMEOUT_S
    ) -> Any:
        """Return the result of a coroutine, or fail after ``timeout_s``."""

        async def bounded() -> Any:
            async with asyncio.timeout(timeout_s):
                return await main

        return self.run_loop(bounded())

    run_loop = staticmethod(asyncio.run)


class FakeClock:
    """A clock that a test moves by hand."""

    def __init__(self, now: Seconds = 0.0):
        self.now = now

    def __call__(self) -> Seconds:
        """Return the present time."""
        return self.now

    def advance(self, seconds: Seconds) -> Seconds:
        """Move the clock on and return the new time."""
        self.now += seconds
        return self.now


async def eventually(
    condition: Any, *, timeout_s: Seconds = 5.0, every_s: Seconds = 0.01
) -> None:
    """Return once a condition holds; TimeoutError when it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(every_s)
