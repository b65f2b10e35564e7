"""Relaying chat completions, with the network replaced by small fakes."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
from testtools.matchers import Equals

from shallotpoint.callers.chat import ChatRun, read_chat
from shallotpoint.callers.exchange import Exchange
from shallotpoint.controllers.journal import Journal
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.ticket import Ticket
from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams.sse import extract_text

WORDS = ["one", " two", " three", " four", " five"]


def event(**delta):
    return b"data: " + msgspec.json.encode({"choices": [{"delta": delta}]}) + b"\n\n"


class FakeAnswer:
    """An upstream's response that gives one part per read."""

    status = 200
    connection = None

    def __init__(self, parts):
        self.content = self
        self._parts = iter([*parts, b""])

    async def readany(self):
        return next(self._parts)


class SlowCaller:
    """Takes a number of messages, then lets writers wait until it reads on."""

    def __init__(self, takes):
        self.takes = takes
        self.reads = asyncio.Event()
        self.raw = b""

    async def send(self, message):
        if self.takes <= 0:
            await self.reads.wait()
        self.takes -= 1
        self.raw += message.get("body", b"")


def chat_run(caller, *, max_tokens, stream=True):
    request = {
        "model": "m",
        "messages": [{"role": "user", "content": "count"}],
        "stream": stream,
        "max_tokens": max_tokens,
    }
    body = msgspec.json.encode(request)
    exchange = Exchange({"headers": []}, None, caller.send, "r1")
    cls = ServiceClass("counter", 1)
    ticket = Ticket("r1", cls, "school", arrived_s=0.0, resumable=True)
    asked = SimpleNamespace(
        organisation=SimpleNamespace(name="school"),
        service_class=cls,
        branch=None,
        exception=None,
    )
    services = SimpleNamespace(
        journal=Journal(), metrics=mock.MagicMock(), pools=None, client=None
    )
    pool = mock.MagicMock()
    return ChatRun(
        exchange, asked, ticket, pool, services, chat=read_chat(body), body=body
    )


class WithdrawnStreamTests(TestCase):
    def test_tokens_that_were_not_written_are_asked_for_again(self):
        async def main():
            caller = SlowCaller(takes=2)  # the status line and one part
            run = chat_run(caller, max_tokens=5)
            answer = FakeAnswer([event(content=word) for word in WORDS])
            with mock.patch("shallotpoint.callers.chat.MERGE_S", 0.0):
                leg = asyncio.create_task(run._relay_stream("e1", answer))
                while caller.takes:
                    await asyncio.sleep(0)
                for _ in range(10):
                    await asyncio.sleep(0)
                leg.cancel()
                await asyncio.wait({leg})
            return extract_text(caller.raw), msgspec.json.decode(
                run._answer.next_body()
            )

        written, request = self.run_async(main())
        self.assertEqual("one", written)
        self.assertThat(request["messages"][-1]["content"], Equals("one"))
        self.assertEqual(4, request["max_tokens"])


class WithdrawnAtItsEndTests(TestCase):
    """A leg is withdrawn while the end of its answer waits for a slow caller."""

    def finish(self, *, stream, takes, parts, tokens):
        async def main():
            caller = SlowCaller(takes=takes)
            run = chat_run(caller, max_tokens=tokens, stream=stream)
            answer = FakeAnswer(parts)

            async def leg(upstream, address):
                await run._relay_stream(upstream, answer)

            run.leg = leg
            with mock.patch("shallotpoint.callers.chat.MERGE_S", 0.0):
                first = asyncio.create_task(run._leg_task("e1", ""))
                await asyncio.sleep(0.05)
                first.cancel()
                await asyncio.wait({first})
                second = asyncio.create_task(run._leg_task("e2", ""))
                await asyncio.sleep(0.05)
                caller.reads.set()
                await asyncio.wait_for(run._done, 2.0)
                await second
            return caller.raw

        return self.run_async(main())

    def test_an_answer_without_stream_is_given_once(self):
        end = event() + b"data: [DONE]\n\n"
        parts = [*(event(content=word) for word in WORDS), end]
        raw = self.finish(stream=False, takes=0, parts=parts, tokens=90)
        choice = msgspec.json.decode(raw)["choices"][0]
        self.assertThat(choice["message"]["content"], Equals("".join(WORDS)))

    def test_a_stream_at_its_limit_is_ended_once(self):
        parts = [event(content=word) for word in WORDS]
        raw = self.finish(stream=True, takes=6, parts=parts, tokens=5)
        self.assertThat(extract_text(raw), Equals("".join(WORDS)))
        self.assertThat(raw.count(b"[DONE]"), Equals(1))
