"""The whole path: callers, routers, stand-ins."""

import openai

from shallotpoint.bench.load import expected_text
from shallotpoint.daemons.demo import MODEL, FleetPlan, fleet
from shallotpoint.testing.cases import TestCase


def client(made, router=0, organisation="counter"):
    return openai.AsyncOpenAI(
        api_key=made.organisations[organisation],
        base_url=f"{made.routers[router].callers.url}/v1",
        max_retries=0,
    )


def chat(prompt, **kwargs):
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": 12, **kwargs}


class OpenAIClientTests(TestCase):
    def test_answers_streamed_and_whole(self):
        async def main():
            async with fleet(FleetPlan(routers=2, engines=2)) as made:
                async with client(made) as api:
                    prompt = "which clubs suit a beginner"
                    whole = await api.chat.completions.create(**chat(prompt))
                    stream = await api.chat.completions.create(
                        **chat(prompt, stream=True)
                    )
                    parts = [c.choices[0].delta.content or "" async for c in stream]
                    return whole.choices[0].message.content, "".join(parts)

        wanted = expected_text("which clubs suit a beginner", 12)
        self.assertEqual((wanted, wanted), self.run_async(main()))
