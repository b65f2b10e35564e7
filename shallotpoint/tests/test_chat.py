"""Tests for relaying chat completions, with fakes in place of the network."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
from testtools.matchers import Equals

from shallotpoint.callers.chat import ChatRun, decode_chat_request
from shallotpoint.callers.exchange import Exchange
from shallotpoint.controllers.journal import Journal
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.ticket import Ticket
from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams.sse import extract_text

WORDS = ["one", " two", " three", " four", " five"]


def encode_event(**delta):
    return b"data: " + msgspec.json.encode({"choices": [{"delta": delta}]}) + b"\n\n"


class FakeResponse:
    """An upstream's response whose body returns one part per read."""

    status = 200
    connection = None

    def __init__(self, parts):
        self.content = self
        self._parts = iter([*parts, b""])

    async def readany(self):
        return next(self._parts)


class SlowCaller:
    """Accepts a number of ASGI messages, then blocks until ``resumed`` is set."""

    def __init__(self, accepted_messages):
        self.accepted_messages = accepted_messages
        self.resumed = asyncio.Event()
        self.received = b""

    async def send(self, message):
        if self.accepted_messages <= 0:
            await self.resumed.wait()
        self.accepted_messages -= 1
        self.received += message.get("body", b"")


def make_chat_run(caller, *, max_tokens, stream=True):
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
    authenticated_caller = SimpleNamespace(
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
        exchange,
        authenticated_caller,
        ticket,
        pool,
        services,
        chat=decode_chat_request(body),
        body=body,
    )


class WithdrawnStreamTests(TestCase):
    def test_unwritten_tokens_are_requested_again(self):
        async def main():
            caller = SlowCaller(accepted_messages=2)  # the headers and the first part
            run = make_chat_run(caller, max_tokens=5)
            answer = FakeResponse([encode_event(content=word) for word in WORDS])
            with mock.patch("shallotpoint.callers.chat.WRITE_INTERVAL_S", 0.0):
                attempt_task = asyncio.create_task(run._relay_stream("e1", answer))
                while caller.accepted_messages:
                    await asyncio.sleep(0)
                for _ in range(10):
                    await asyncio.sleep(0)
                attempt_task.cancel()
                await asyncio.wait({attempt_task})
            return extract_text(caller.received), msgspec.json.decode(
                run._progress.build_next_body()
            )

        written, request = self.run_async(main())
        self.assertEqual("one", written)
        self.assertThat(request["messages"][-1]["content"], Equals("one"))
        self.assertEqual(4, request["max_tokens"])


class WithdrawnDuringFinalWriteTests(TestCase):
    """An attempt is withdrawn while a slow caller delays the end of its answer.

    A second attempt then finds the answer complete, and must not write its end again.
    """

    def run_two_attempts(self, *, stream, accepted_messages, parts, max_tokens):
        async def main():
            caller = SlowCaller(accepted_messages=accepted_messages)
            run = make_chat_run(caller, max_tokens=max_tokens, stream=stream)
            answer = FakeResponse(parts)

            async def leg(upstream, address):
                await run._relay_stream(upstream, answer)

            run.try_upstream = leg
            with mock.patch("shallotpoint.callers.chat.WRITE_INTERVAL_S", 0.0):
                first = asyncio.create_task(run._run_attempt("e1", ""))
                await asyncio.sleep(0.05)
                first.cancel()
                await asyncio.wait({first})
                second = asyncio.create_task(run._run_attempt("e2", ""))
                await asyncio.sleep(0.05)
                caller.resumed.set()
                await asyncio.wait_for(run._outcome, 2.0)
                await second
            return caller.received

        return self.run_async(main())

    def test_collected_answer_is_written_once(self):
        end = encode_event() + b"data: [DONE]\n\n"
        parts = [*(encode_event(content=word) for word in WORDS), end]
        raw = self.run_two_attempts(
            stream=False, accepted_messages=0, parts=parts, max_tokens=90
        )
        choice = msgspec.json.decode(raw)["choices"][0]
        self.assertThat(choice["message"]["content"], Equals("".join(WORDS)))

    def test_stream_at_its_token_limit_is_ended_once(self):
        parts = [encode_event(content=word) for word in WORDS]
        raw = self.run_two_attempts(
            stream=True, accepted_messages=6, parts=parts, max_tokens=5
        )
        self.assertThat(extract_text(raw), Equals("".join(WORDS)))
        self.assertThat(raw.count(b"[DONE]"), Equals(1))
