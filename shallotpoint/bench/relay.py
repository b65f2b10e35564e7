"""``bench relay``: the router's cost beside a relay without policy."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time
from dataclasses import dataclass

import aiohttp

from shallotpoint.bench.cli import register
from shallotpoint.bench.policy_bench import print_line
from shallotpoint.bench.processes import (
    KEY,
    Process,
    operate,
    process,
    router,
    standin,
    wait_up,
)
from shallotpoint.bench.report import percentile
from shallotpoint.loop import run_loop
from shallotpoint.types import Seconds

PORTS = (18_480, 18_481, 18_482)
STREAMS = 40
TOKENS = 300
SHORT_REQUESTS = 3_000
SHORT_CONCURRENT = 32
OPEN_STREAMS = 500


@dataclass(frozen=True, slots=True)
class Cost:
    """What one load cost one process."""

    per_cpu_s: float
    ttft_p99_s: Seconds


async def stream_once(session, url: str, tokens: int, index: int) -> tuple[int, float]:
    """Read one stream; return its tokens and time to first token."""
    body = {
        "model": "standin",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"r{index} a b c d e f g"}],
    }
    started_s = time.monotonic()
    first_s = None
    count = 0
    async with session.post(f"{url}/v1/chat/completions", json=body) as resp:
        async for data in resp.content.iter_any():
            count += data.count(b'"content":"')
            if first_s is None and count:
                first_s = time.monotonic() - started_s
    if count != tokens:
        raise RuntimeError(f"{count} of {tokens} tokens")
    return count, first_s or 0.0


async def stream_cost(session, made: Process) -> Cost:
    """Measure streamed tokens per second of processor time."""
    before_s = made.cpu_s()
    found = await asyncio.gather(
        *(stream_once(session, made.url, TOKENS, i) for i in range(STREAMS))
    )
    used_s = made.cpu_s() - before_s
    tokens = sum(count for count, _ in found)
    return Cost(tokens / used_s, percentile([t for _, t in found], 0.99))


async def short_cost(session, made: Process) -> Cost:
    """Measure short whole requests per second of processor time."""
    body = {
        "model": "standin",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": "a b c"}],
    }
    gate = asyncio.Semaphore(SHORT_CONCURRENT)
    times: list[float] = []

    async def one() -> None:
        async with gate:
            started_s = time.monotonic()
            url = f"{made.url}/v1/chat/completions"
            async with session.post(url, json=body) as resp:
                await resp.read()
                if resp.status != 200:
                    raise RuntimeError(f"answered {resp.status}")
            times.append(time.monotonic() - started_s)

    before_s = made.cpu_s()
    await asyncio.gather(*(one() for _ in range(SHORT_REQUESTS)))
    return Cost(SHORT_REQUESTS / (made.cpu_s() - before_s), percentile(times, 0.99))


async def resident_with_streams(session, made: Process) -> int:
    """Return the resident size with many open streams."""
    streams = [
        asyncio.create_task(stream_once(session, made.url, 400, i))
        for i in range(OPEN_STREAMS)
    ]
    await asyncio.sleep(3.0)
    size = made.resident_bytes()
    for task in streams:
        task.cancel()
    await asyncio.gather(*streams, return_exceptions=True)
    return size


async def configure(session, engine: Process) -> None:
    """Give the router one pool with the engine."""
    await wait_up(session, f"http://127.0.0.1:{PORTS[0]}", "/healthz")
    address = engine.url.removeprefix("http://")
    for command in (
        "set class bulk tier=2 ttft=60s share=50% queue=5000",
        f"set pool p models=standin upstreams={address} slots=1000",
        f"set organisation o key={KEY} classes=bulk default=bulk",
    ):
        reply = await operate(session, PORTS[1], command)
        if reply["status"] != "accepted":
            raise RuntimeError(f"{command}: {reply}")
    await wait_up(session, f"http://127.0.0.1:{PORTS[0]}", "/readyz")
    await asyncio.sleep(1.0)


async def measure() -> None:
    """Run both relays side by side."""
    with contextlib.ExitStack() as stack:
        kv = stack.enter_context(standin("kv"))
        hosts = stack.enter_context(standin("hosts"))
        engine = stack.enter_context(
            standin("engine", "--slots", "1000", "--token-ms", "12", "--flat")
        )
        plain = stack.enter_context(
            process("shallotpoint.bench.plain_relay", "--upstream", engine.url)
        )
        own = stack.enter_context(router("r1", kv.url, hosts.url, PORTS))
        headers = {"authorization": f"Bearer {KEY}"}
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            headers=headers, connector=connector
        ) as session:
            await configure(session, engine)
            await _compare(session, own, plain)


async def _compare(session, own: Process, plain: Process) -> None:
    def line(metric: str, value: float, theirs: float, unit: str) -> None:
        print_line(
            metric,
            round(value, 4),
            unit=unit,
            bench="relay",
            seed=0,
            baseline="plain relay",
            baseline_value=round(theirs, 4),
        )

    for metric, cost in (("streamed", stream_cost), ("short", short_cost)):
        await cost(session, own)
        await cost(session, plain)
        mine, theirs = await cost(session, own), await cost(session, plain)
        unit = "tokens/cpu_s" if metric == "streamed" else "requests/cpu_s"
        line(f"{metric}.per_cpu_s", mine.per_cpu_s, theirs.per_cpu_s, unit)
        line(f"{metric}.ttft_p99", mine.ttft_p99_s, theirs.ttft_p99_s, "s")
    size = await resident_with_streams(session, own)
    theirs_size = await resident_with_streams(session, plain)
    line("resident.500_streams", size / 1e6, theirs_size / 1e6, "MB")


@register("relay")
def bench_relay(args: argparse.Namespace) -> int:
    """Print the costs."""
    run_loop(measure())
    return 0
