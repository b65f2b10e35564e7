"""Chat completions: reading requests and relaying answers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from shallotpoint.callers.answer import AnswerSoFar, closing_events, streamed_body
from shallotpoint.callers.exchange import CallerGone
from shallotpoint.callers.run import ChatServices, RequestRun
from shallotpoint.errors import RequestError
from shallotpoint.hashing import hash64
from shallotpoint.results import Result
from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import (
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)
from shallotpoint.upstreams.sse import (
    EventSplitter,
    count_tokens,
    has_done_event,
)

CHAT_PATH = "/v1/chat/completions"
PREFIX_CHARS = 256  # prompts that share this much likely share cached work
MERGE_S = 0.036  # least time between two writes; below the usual pace of tokens
GATHER_FROM_TOKENS = 20  # an answer that cannot be this long is not gathered
_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


class Message(msgspec.Struct):
    """A message of a chat; other fields pass unread."""

    role: str
    content: Any = None


class ChatRequest(msgspec.Struct):
    """The fields of a chat request that the router reads."""

    model: str
    messages: list[Message]
    stream: bool = False
    n: int | None = None
    tools: Any = None
    response_format: Any = None
    logprobs: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def resumable(self, *, tier: int) -> bool:
        """Return whether a broken answer can be carried on from its text.

        Without stream, an answer passes through as it is where gathering it would
        cost more than it saves: it is short, or of the first tier, which gives
        way to nobody.
        """
        plain = not (self.tools or self.response_format or self.logprobs)
        worth = tier > 1 and (self.limit or GATHER_FROM_TOKENS) >= GATHER_FROM_TOKENS
        return plain and self.n in (None, 1) and (self.stream or worth)

    @property
    def limit(self) -> int | None:
        """The most tokens that the caller wants."""
        return self.max_tokens or self.max_completion_tokens


_decoder = msgspec.json.Decoder(ChatRequest)


def read_chat(body: bytes) -> ChatRequest:
    """Read a chat request; RequestError says what is malformed."""
    try:
        chat = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RequestError(Result.BAD_REQUEST, str(exc)) from None
    if not chat.messages:
        raise RequestError(Result.BAD_REQUEST, "messages must not be empty")
    return chat


def fingerprint(body: bytes) -> int:
    """Return a hash that is equal for a request that is sent again."""
    return hash64(body)


def prefix_hash(chat: ChatRequest) -> int:
    """Return a hash of the start of the prompt; 0 if it is too short to cache."""
    first = chat.messages[0].content
    if not isinstance(first, str) or len(first) < PREFIX_CHARS:
        return 0
    return hash64(first[:PREFIX_CHARS])


class ChatRun(RequestRun):
    """Relays one chat completion."""

    services: ChatServices

    def __init__(self, *args: Any, chat: ChatRequest, body: bytes):
        super().__init__(*args)
        self._chat = chat
        self._gathers = self.ticket.resumable and not chat.stream
        if self._gathers:
            body = streamed_body(body)
        self._answer = AnswerSoFar(
            body, limit=chat.limit, keeps_text=self.ticket.resumable
        )
        self._started_s = time.monotonic()

    async def leg(self, upstream: str, address: str) -> None:
        """Try the request on one upstream."""
        outgoing = UpstreamRequest(
            "POST", CHAT_PATH, self._headers(), self._answer.next_body()
        )
        client = self.services.client
        async with client.send(address, outgoing, repeatable=True) as resp:
            self.sent = True
            if resp.status != 200:
                await self._pass_refusal(resp)
            elif self._chat.stream or self._gathers:
                await self._relay_stream(upstream, resp)
            else:
                await self._relay_whole(upstream, resp)

    def lacks_only_its_end(self) -> bool:
        """Return whether there is no more to generate."""
        answer = self._answer
        return self.ticket.resumable and (answer.ended or answer.at_limit)

    async def write_end(self) -> None:
        """End an answer that lacks nothing else; a relayed end stands."""
        with _caller_may_go():
            if self._gathers:
                await self._answer_gathered()
            elif not self._answer.ended:
                events = closing_events(self.ticket.id, self._chat.model)
                await self.exchange.write(events, more=False)

    # Requests

    def _headers(self) -> dict[str, str]:
        return {
            "content-type": "application/json",
            "x-request-id": self.ticket.id,
            "x-priority": str(self.ticket.service_class.tier),
        }

    # Answers

    async def _pass_refusal(self, resp: Any) -> None:
        """Give the upstream's own error to the caller."""
        body = await read_response_body(resp)
        if resp.status >= 500:
            raise UpstreamFailure(Result.RETRY_BROKE, f"answered {resp.status}")
        raise_upstream_error(resp.status, body)

    async def _relay_whole(self, upstream: str, resp: Any) -> None:
        body = await read_response_body(resp)
        tokens = completion_tokens(body)
        read_s = time.monotonic()
        self.pool.progress(self.ticket.id, upstream, tokens)
        with _caller_may_go():
            await self.exchange.answer(200, body)
        self._note_written(b"", tokens, read_s, ended=True)
        self._note_times(upstream)

    async def _relay_stream(self, upstream: str, resp: Any) -> None:
        splitter = EventSplitter()
        held = b""
        while data := await resp.content.readany():
            events = splitter.feed(data)
            if not events:
                continue
            tokens = count_tokens(events)
            done = has_done_event(events)
            if not tokens and not self._answer.tokens and not done:
                held += events
                continue
            read_s = time.monotonic()
            self.pool.progress(self.ticket.id, upstream, tokens)
            if not self._gathers:
                await self._write_events(upstream, held + events, last=done)
            self._note_written(held + events, tokens, read_s, ended=done)
            held = b""
            if done:
                if self._gathers:
                    await self.write_end_once()
                self._note_times(upstream)
                return
            await self._let_tokens_gather(resp)
        raise UpstreamFailure(Result.RETRY_BROKE, "the stream ended early")

    async def _answer_gathered(self) -> None:
        body = self._answer.whole(
            self.ticket.id, self._chat.model, created=int(time.time())
        )
        await self.exchange.answer(200, body)

    async def _let_tokens_gather(self, resp: Any) -> None:
        """Leave tokens that come fast in the kernel, for one read and one write."""
        conn = resp.connection
        transport = conn.transport if conn else None
        if transport is None:
            return
        transport.pause_reading()
        try:
            await asyncio.sleep(MERGE_S)
        finally:
            if not transport.is_closing():
                transport.resume_reading()

    async def _write_events(self, upstream: str, events: bytes, *, last: bool) -> None:
        with _caller_may_go():
            if not self.exchange.started:
                await self.exchange.start(200, _STREAM_HEADERS)
            await self._write_at_callers_pace(upstream, events, last=last)

    async def _write_at_callers_pace(
        self, upstream: str, events: bytes, *, last: bool
    ) -> None:
        """Write, and say so if that has to wait for a slow caller."""
        writing = self.exchange.write(events, more=not last)
        if not self.exchange.is_slow():
            await writing
            return
        self.pool.set_backpressure(self.ticket.id, upstream, True)
        try:
            await writing
        finally:
            self.pool.set_backpressure(self.ticket.id, upstream, False)

    def _note_written(
        self, events: bytes, tokens: int, read_s: Seconds, *, ended: bool
    ) -> None:
        self._answer.add(events, tokens, read_s, ended=ended)
        self.log.tokens = self._answer.tokens

    def _note_times(self, upstream: str) -> None:
        first_s = self._answer.first_s
        if first_s is None:
            return
        tbt_s = self._answer.time_between_tokens_s()
        name = self.ticket.service_class.name
        metrics = self.services.metrics
        metrics.streamed(name, upstream, first_s - self._started_s, tbt_s)
        labels = {"class": name, "organisation": self.ticket.organisation}
        metrics.tokens.add(labels, self._answer.tokens)


@contextlib.contextmanager
def _caller_may_go() -> Iterator[None]:
    """Turn a failed write into :class:`CallerGone`."""
    try:
        yield
    except OSError:
        raise CallerGone from None


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


_answer_decoder = msgspec.json.Decoder(_Answer)


def completion_tokens(body: bytes) -> int:
    """Return the tokens of a whole answer, at least 1.

    Raises
    ------
    UpstreamFailure
        The body is not a whole JSON object.
    """
    try:
        answer = _answer_decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise UpstreamFailure(Result.RETRY_BROKE, f"unreadable answer: {exc}") from exc
    return max(1, answer.usage.completion_tokens) if answer.usage else 1


def raise_upstream_error(status: int, body: bytes) -> None:
    """Raise the error that an upstream gave, as it was not retryable."""
    try:
        message = msgspec.json.decode(body)["error"]["message"]
    except (msgspec.DecodeError, KeyError, TypeError):
        message = f"the upstream answered {status}"
    raise RequestError(Result.REJECTED, str(message)[:500])
