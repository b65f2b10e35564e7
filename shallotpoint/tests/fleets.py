"""Small fleets over real sockets, and requests to them, for tests."""

import aiohttp
import openai

from shallotpoint.daemons.demo import MODEL, FleetPlan, fleet
from shallotpoint.operators.client import send_command
from shallotpoint.standins.timing import EngineTiming
from shallotpoint.testing.cases import TestCase

FAST = EngineTiming(
    prefill_s=0.005, uncached_extra_s=0.005, token_s=0.002, batch_extra_s=0.0
)
SLOW = EngineTiming(
    prefill_s=0.01, uncached_extra_s=0.0, token_s=0.02, batch_extra_s=0.0
)


def client(made, router=0, organisation="counter"):
    return openai.AsyncOpenAI(
        api_key=made.organisations[organisation],
        base_url=f"{made.routers[router].callers.url}/v1",
        max_retries=0,
    )


def chat(prompt, tokens=12, **kwargs):
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, **kwargs}


def headers(made, **more):
    return {"authorization": f"Bearer {made.organisations['counter']}", **more}


async def operate(made, command, router=0, token=None):
    url = made.routers[router].operators.url
    async with aiohttp.ClientSession() as session:
        return await send_command(session, url, token or made.operator_token, command)


class FleetTestCase(TestCase):
    def with_fleet(self, main, *, timeout_s=60.0, **plan):
        async def run():
            sizes = {"routers": 2, "engines": 2, "timing": FAST, **plan}
            async with fleet(FleetPlan(**sizes)) as made:
                async with aiohttp.ClientSession() as session:
                    return await main(made, session)

        return self.run_async(run(), timeout_s=timeout_s)
