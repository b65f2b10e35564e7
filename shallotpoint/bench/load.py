"""A load tool: mixed requests over HTTP, with a check of every answer."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import msgspec

from shallotpoint.types import JSONObject, Seconds
from shallotpoint.upstreams.sse import extract_text

CLASSES = ("counter", "fitting", "overnight", "summary", "lookup")
CONCURRENT = 40
_WORDS = "juggling clubs stilts rings balls meteor counts sheets north south".split()


@dataclass(slots=True)
class Outcome:
    """What one request came to."""

    service_class: str
    status: int
    whole: bool
    ttft_s: Seconds | None
    result: int = 0


@dataclass(slots=True)
class _Tally:
    outcomes: list[Outcome] = field(default_factory=list)


def expected_text(prompt: str, tokens: int) -> str:
    """Return the answer that a stand-in engine gives."""
    words = prompt.split()
    return " ".join(words[i % len(words)] for i in range(tokens))


class MixedLoad:
    """Sends chats and orders to all routers of a fleet.

    Parameters
    ----------
    fleet : dict
        The line that ``demo --hold`` prints.
    """

    def __init__(self, session: aiohttp.ClientSession, fleet: JSONObject, *, seed: int):
        self._session = session
        self._fleet = fleet
        self._rng = random.Random(seed)

    async def run(self, requests: int) -> JSONObject:
        """Send requests; return counts and times."""
        gate = asyncio.Semaphore(CONCURRENT)
        tally = _Tally()

        async def one(index: int) -> None:
            async with gate:
                tally.outcomes.append(await self._one(index))

        await asyncio.gather(*(one(i) for i in range(requests)))
        return _summary(tally)

    async def _one(self, index: int) -> Outcome:
        if self._fleet["services"] and index % 6 == 5:
            return await self.order(index)
        name = self._rng.choice(CLASSES)
        words = self._rng.choices(_WORDS, k=self._rng.randint(3, 12))
        prompt = " ".join([f"r{index}", *words])
        return await self.chat(prompt, self._rng.randint(5, 40), name)

    def _router(self) -> str:
        return self._rng.choice(self._fleet["callers"])

    def _headers(self, service_class: str) -> dict[str, str]:
        keys = list(self._fleet["organisations"].values())
        return {
            "authorization": f"Bearer {self._rng.choice(keys)}",
            "x-shallotpoint-class": service_class,
        }

    async def chat(self, prompt: str, tokens: int, service_class: str) -> Outcome:
        """Stream one chat and check its text."""
        body = {
            "model": "standin",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        url = f"{self._router()}/v1/chat/completions"
        started_s = time.monotonic()
        ttft_s = None
        raw = b""
        async with self._session.post(
            url, json=body, headers=self._headers(service_class)
        ) as resp:
            async for data in resp.content.iter_any():
                if ttft_s is None:
                    ttft_s = time.monotonic() - started_s
                raw += data
            status = resp.status
        if status != 200:
            return Outcome(service_class, status, False, None, _result(raw))
        done = raw.endswith(b"data: [DONE]\n\n")
        whole = done and extract_text(raw) == expected_text(prompt, tokens)
        return Outcome(service_class, status, whole, ttft_s)

    async def order(self, index: int) -> Outcome:
        """Place one order, which must not run twice."""
        headers = {**self._headers("entry"), "idempotency-key": f"order-{index}"}
        url = f"{self._router()}/services/orders/deposit"
        body = f"deposit {index}"
        async with self._session.post(url, data=body, headers=headers) as resp:
            raw = await resp.read()
            whole = resp.status == 200 and msgspec.json.decode(raw)["echo"] == body
            return Outcome("entry", resp.status, whole, None, _result(raw))


def _result(raw: bytes) -> int:
    try:
        return int(msgspec.json.decode(raw).get("result", 0))
    except (msgspec.DecodeError, AttributeError):
        return 0


def _summary(tally: _Tally) -> JSONObject:
    outcomes = tally.outcomes
    times = sorted(o.ttft_s for o in outcomes if o.ttft_s is not None)
    by_class = Counter(o.service_class for o in outcomes)
    return {
        "requests": len(outcomes),
        "whole": sum(o.whole for o in outcomes),
        "refused": sum(o.status in (429, 503) for o in outcomes),
        "wrong": sum(o.status == 200 and not o.whole for o in outcomes),
        "other": sum(o.status not in (200, 429, 503) for o in outcomes),
        "by_class": dict(sorted(by_class.items())),
        "ttft_p50_s": round(times[len(times) // 2], 4) if times else None,
        "ttft_p99_s": round(times[int(len(times) * 0.99)], 4) if times else None,
    }
