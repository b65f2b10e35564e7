"""The whole path: callers, routers, stand-ins, over real sockets."""

import asyncio
import random
import time

import msgspec
import openai
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from shallotpoint.bench.load import expected_text
from shallotpoint.daemons.demo import MODEL
from shallotpoint.standins.timing import EngineTiming
from shallotpoint.testing.cases import eventually
from shallotpoint.tests.fleets import (
    SLOW,
    FleetTestCase,
    chat,
    client,
    headers,
)
from shallotpoint.upstreams.sse import extract_text


class OpenAIClientTests(FleetTestCase):
    def test_answers_streamed_whole_and_concurrent(self):
        async def main(made, session):
            async with client(made) as api:

                async def one(index):
                    prompt = f"r{index} which clubs suit a beginner"
                    stream = await api.chat.completions.create(
                        **chat(prompt, stream=True)
                    )
                    parts = [c.choices[0].delta.content or "" async for c in stream]
                    return "".join(parts) == expected_text(prompt, 12)

                whole = await api.chat.completions.create(**chat("a b"))
                models = [m.id async for m in api.models.list()]
                streamed = await asyncio.gather(*(one(i) for i in range(20)))
                return whole.choices[0].message.content, models, streamed

        text, models, streamed = self.with_fleet(main)
        self.assertEqual((expected_text("a b", 12), [MODEL]), (text, models))
        self.assertTrue(all(streamed))

    def test_errors_are_the_clients_own_kinds(self):
        async def main(made, session):
            async with client(made) as api:
                wrong = api.with_options(api_key="nonsense")
                with self.assertRaises(openai.AuthenticationError):
                    await wrong.chat.completions.create(**chat("a"))
                with self.assertRaises(openai.NotFoundError):
                    await api.chat.completions.create(**{**chat("a"), "model": "x"})

        self.with_fleet(main)


class BadInputTests(FleetTestCase):
    def test_each_is_told_clearly_and_nothing_is_sent(self):
        good = chat("a b")
        cases = [
            ("no key", {"authorization": ""}, good, 401, 100),
            ("wrong key", {"authorization": "Bearer x"}, good, 401, 101),
            ("not JSON", {}, b"{", 400, 102),
            ("no messages", {}, {"model": MODEL, "messages": []}, 400, 102),
            ("wrong type", {}, {"model": 3, "messages": []}, 400, 102),
            ("unknown model", {}, {**good, "model": "x"}, 404, 105),
            ("unknown class", {"x-shallotpoint-class": "x"}, good, 400, 107),
            ("long header", {"x-shallotpoint-class": "a" * 300}, good, 400, 110),
            ("too large", {}, b" " * (5 << 20), 413, 103),
        ]

        async def main(made, session):
            url = f"{made.routers[0].callers.url}/v1/chat/completions"
            for name, more, body, status, result in cases:
                raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
                async with session.post(
                    url, data=raw, headers=headers(made) | more
                ) as resp:
                    answer = await resp.json()
                    self.expectThat(resp.status, Equals(status), name)
                    self.expectThat(answer["result"], Equals(result), name)
                    self.expectThat(answer["executed"], Equals("no"), name)
                    self.assertIn("x-shallotpoint-request", resp.headers)
            url = f"{made.routers[0].callers.url}/services/orders/deposit"
            async with session.post(url, data=b"x", headers=headers(made)) as resp:
                self.expectThat((await resp.json())["result"], Equals(109))
            started = sum(e.started for e in made.engines)
            return started + len(made.services[0].executions)

        self.assertEqual(0, self.with_fleet(main))


class FailureTests(FleetTestCase):
    async def stream(self, made, session, prompt, tokens, router=0, cls="counter"):
        url = f"{made.routers[router].callers.url}/v1/chat/completions"
        body = chat(prompt, tokens, stream=True)
        more = {"x-shallotpoint-class": cls}
        async with session.post(url, json=body, headers=headers(made, **more)) as resp:
            raw = await resp.read()
            return resp.status, raw

    def test_a_broken_stream_is_carried_on_whole(self):
        async def main(made, session):
            made.engines[0].faults.crash_after_tokens = 10
            answers = await asyncio.gather(
                *(self.stream(made, session, f"r{i} a b c", 30) for i in range(4))
            )
            return [
                (status, extract_text(raw), raw.endswith(b"data: [DONE]\n\n"))
                for status, raw in answers
            ]

        found = self.with_fleet(main)
        wanted = [(200, expected_text(f"r{i} a b c", 30), True) for i in range(4)]
        self.assertEqual(wanted, found)

    def test_a_broken_answer_without_stream_is_carried_on_whole(self):
        async def main(made, session):
            made.engines[0].faults.crash_after_tokens = 10
            async with client(made) as api:
                calls = [
                    api.chat.completions.create(
                        **chat(f"r{i} a b c", 30),
                        extra_headers={"x-shallotpoint-class": "overnight"},
                    )
                    for i in range(4)
                ]
                answers = await asyncio.gather(*calls)
            found = [
                (a.choices[0].message.content, a.usage.completion_tokens)
                for a in answers
            ]
            lasted = [g.count for e in made.engines for g in e.generations]
            return found, made.engines[0].started, lasted

        found, broken, asked = self.with_fleet(main)
        wanted = [(expected_text(f"r{i} a b c", 30), 30) for i in range(4)]
        self.assertEqual(wanted, found)
        self.assertThat(broken, GreaterThan(0))
        self.assertIn(20, asked)

    def test_a_break_between_the_last_token_and_the_end_adds_nothing(self):
        async def main(made, session):
            for engine in made.engines:
                engine.faults.crash_after_tokens = 12
            return await self.stream(made, session, "r a b c", 12)

        status, raw = self.with_fleet(main)
        self.assertEqual(
            (200, expected_text("r a b c", 12)), (status, extract_text(raw))
        )
        self.assertIn(b'"finish_reason":"length"', raw)
        self.assertTrue(raw.endswith(b"data: [DONE]\n\n"))

    def test_a_stream_that_falls_silent_is_carried_on(self):
        async def main(made, session):
            call = asyncio.create_task(self.stream(made, session, "r a b c", 100))
            busy = lambda: [e for e in made.engines if e._batch.running]  # noqa: E731
            await eventually(busy)
            await asyncio.sleep(0.5)
            busy()[0].faults.hang = True
            return await call

        status, raw = self.with_fleet(main, timing=SLOW, timeout_s=30.0)
        self.assertEqual(200, status)
        self.assertEqual(expected_text("r a b c", 100), extract_text(raw))
        self.assertTrue(raw.endswith(b"data: [DONE]\n\n"))

    def test_a_slow_caller_holds_back_only_itself(self):
        async def main(made, session):
            url = f"{made.routers[0].callers.url}/v1/chat/completions"
            body = chat("w " * 200, 30_000, stream=True)
            slow = await session.post(
                url, json=body, headers=headers(made), read_bufsize=1_024
            )
            await asyncio.sleep(1.5)
            fast = await self.stream(made, session, "r a b c", 50)
            await asyncio.sleep(2.0)
            steps = [
                c.attempts
                for c in made.routers[0].pools.runners()[0].scheduler.requests.values()
            ]
            slow.close()
            return fast, [leg.upstream for legs in steps for leg in legs]

        (status, raw), legs = self.with_fleet(
            main, timing=EngineTiming(token_s=0.0001, batch_extra_s=0.0)
        )
        self.assertEqual(expected_text("r a b c", 50), extract_text(raw))
        self.assertEqual((200, 1), (status, len(legs)))

    def test_an_answer_that_cannot_be_carried_on_never_looks_whole(self):
        async def main(made, session):
            for engine in made.engines:
                engine.faults.crash_after_tokens = 5
            return await self.stream(made, session, "only this", 30)

        status, raw = self.with_fleet(main)
        self.assertEqual(200, status)
        self.assertNotIn(b"[DONE]", raw)
        self.assertIn(b'"error"', raw)

    def test_two_hundred_callers_with_engines_failing(self):
        """Each gets exactly its own whole answer or an error that says so."""

        async def main(made, session):
            rng = random.Random(11)

            async def torment():
                while True:
                    await asyncio.sleep(0.15)
                    engine = rng.choice(made.engines)
                    for other in made.engines:
                        other.faults.hang = False
                        other.faults.slow_factor = 1.0
                    kind = rng.choice(["crash", "hang", "slow"])
                    if kind == "crash":
                        engine.crash(0.2)
                    elif kind == "hang":
                        engine.faults.hang = True
                    else:
                        engine.faults.slow_factor = 10.0

            trouble = asyncio.create_task(torment())
            calls = [
                self.stream(made, session, f"r{i} x y z", 10 + i % 20, i % 3, "fitting")
                for i in range(200)
            ]
            answers = await asyncio.gather(*calls)
            trouble.cancel()
            return answers

        answers = self.with_fleet(main, routers=3, engines=4)
        whole = 0
        for index, (status, raw) in enumerate(answers):
            wanted = expected_text(f"r{index} x y z", 10 + index % 20)
            if raw.endswith(b"data: [DONE]\n\n"):
                whole += 1
                self.assertEqual(wanted, extract_text(raw))
            else:
                self.assertThat(raw, Contains(b'"error"'), f"{index}: {status}")
                self.assertTrue(wanted.startswith(extract_text(raw)))
        self.assertThat(200 - whole, LessThan(100))

    def test_a_caller_that_leaves_frees_the_slot_within_a_second(self):
        async def main(made, session):
            url = f"{made.routers[0].callers.url}/v1/chat/completions"
            body = chat("a b c", 2_000, stream=True)
            resp = await session.post(url, json=body, headers=headers(made))
            await resp.content.readany()
            running = lambda: sum(e._batch.running for e in made.engines)  # noqa: E731
            self.assertEqual(1, running())
            resp.close()
            started = time.monotonic()
            await eventually(lambda: running() == 0)
            return time.monotonic() - started

        self.assertThat(self.with_fleet(main, timing=SLOW), LessThan(1.0))

    def test_stop_with_open_streams_cuts_nothing(self):
        async def main(made, session):
            calls = [
                asyncio.create_task(self.stream(made, session, f"r{i} a", 40))
                for i in range(6)
            ]
            await asyncio.sleep(0.2)
            stopping = asyncio.create_task(made.routers[0].stop())
            await asyncio.sleep(0.05)
            url = made.routers[0].callers.url
            async with session.get(f"{url}/readyz") as resp:
                self.assertEqual(503, resp.status)
            async with session.get(f"{url}/healthz") as resp:
                self.assertEqual(200, resp.status)
            late = await self.stream(made, session, "late a", 5)
            answers = await asyncio.gather(*calls)
            await stopping
            return [raw.endswith(b"data: [DONE]\n\n") for _, raw in [*answers, late]]

        self.assertEqual([True] * 7, self.with_fleet(main, timing=SLOW))

    def test_a_leaving_upstream_gets_nothing_new(self):
        async def main(made, session):
            made.hosts.faults.leaving = [made.engine_servers[0].address]
            await asyncio.sleep(3.0)
            before = made.engines[0].started
            for index in range(20):
                await self.stream(made, session, f"r{index} a", 3)
            return made.engines[0].started - before

        self.assertEqual(0, self.with_fleet(main))

    def test_poison_is_refused_everywhere_after_two_crashes(self):
        async def main(made, session):
            for engine in made.engines:
                engine.faults.crash_on_word = "doom"
                engine.faults.restart_s = 0.3
            first = await self.stream(made, session, "doom a", 5, cls="fitting")
            await asyncio.sleep(0.5)
            started = sum(e.started for e in made.engines)
            again = await self.stream(made, session, "doom a", 5, router=1)
            return first[1], again, sum(e.started for e in made.engines) - started

        first, again, started = self.with_fleet(main, engines=4)
        self.assertIn(b'"result":205', first)
        self.assertEqual((422, 0), (again[0], started))


class OnceTests(FleetTestCase):
    async def deposit(self, made, session, key, router=0, body=b"d"):
        url = f"{made.routers[router].callers.url}/services/orders/deposit"
        more = {"idempotency-key": key, "x-shallotpoint-class": "entry"}
        async with session.post(url, data=body, headers=headers(made, **more)) as resp:
            return resp.status, await resp.json()

    def test_repeats_through_all_routers_run_once(self):
        async def main(made, session):
            calls = [self.deposit(made, session, "k", i % 2) for i in range(10)]
            answers = await asyncio.gather(*calls)
            return {str(a) for a in answers}, len(made.services[0].executions)

        answers, executions = self.with_fleet(main)
        self.assertEqual((1, 1), (len(answers), executions))

    def test_lost_outcome_is_said_as_such_and_never_repeated(self):
        async def main(made, session):
            made.services[0].faults.crash_after_tokens = 1
            first = await self.deposit(made, session, "k")
            made.services[0].faults.crash_after_tokens = 0
            again = await self.deposit(made, session, "k", 1)
            return first[1], again[1], len(made.services[0].executions)

        first, again, executions = self.with_fleet(main)
        self.assertEqual(("unknown", "unknown"), (first["executed"], again["executed"]))
        self.assertEqual(1, executions)

    def test_service_out_refuses_within_a_second_as_not_run(self):
        async def main(made, session):
            made.kv.kv.faults.down = True
            started = time.monotonic()
            status, answer = await self.deposit(made, session, "k")
            took_s = time.monotonic() - started
            return status, answer["executed"], took_s, len(made.services[0].executions)

        status, executed, took_s, executions = self.with_fleet(main)
        self.assertEqual((503, "no", 0), (status, executed, executions))
        self.assertThat(took_s, LessThan(1.5))

    def test_key_of_another_call_is_told(self):
        async def main(made, session):
            await self.deposit(made, session, "k")
            return await self.deposit(made, session, "k", body=b"other")

        status, answer = self.with_fleet(main)
        self.assertEqual((422, 111), (status, answer["result"]))
