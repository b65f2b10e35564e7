"""Chat completions: decoding requests and relaying the upstreams' answers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from shallotpoint.callers.answer import (
    CompletionProgress,
    encode_final_events,
    to_streaming_body,
)
from shallotpoint.callers.exchange import CallerGone
from shallotpoint.callers.run import ChatServices, RequestRun
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.errors import RequestError
from shallotpoint.hashing import hash64
from shallotpoint.policy.prompts import MAX_TOKENS
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
# Two prompts with an equal start of this length likely share an engine's prefix cache.
PREFIX_CHARS = 256
# Least time between two writes to a caller. Tokens that arrive within it are sent
# together; it is below the usual time between two tokens.
WRITE_INTERVAL_S = 0.036
# Where the caller does not stream, answers with a lower token limit are not requested
# as a stream from the upstream either.
MIN_COLLECTED_TOKENS = 20
_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


class Message(msgspec.Struct):
    """A message of a chat; its other fields are forwarded without being decoded."""

    role: str
    content: Any = None


class ChatRequest(msgspec.Struct):
    """The decoded fields of a chat request; all others are forwarded unread."""

    model: str
    messages: list[Message]
    stream: bool = False
    n: int | None = None
    tools: Any = None
    response_format: Any = None
    logprobs: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def is_resumable(self, *, tier: int) -> bool:
        """Return whether another upstream can continue an interrupted answer.

        To continue an answer that the caller does not stream, the router has to
        request it as a stream and collect the text.  It does not do so where that
        costs more than it saves: for short answers, and in the first tier, whose
        requests are never preempted.
        """
        is_plain_text = not (self.tools or self.response_format or self.logprobs)
        is_worth_collecting = (
            tier > 1
            and (self.token_limit or MIN_COLLECTED_TOKENS) >= MIN_COLLECTED_TOKENS
        )
        return (
            is_plain_text
            and self.n in (None, 1)
            and (self.stream or is_worth_collecting)
        )

    @property
    def token_limit(self) -> int | None:
        """Token limit that the caller set, or None."""
        return self.max_tokens or self.max_completion_tokens


_decoder = msgspec.json.Decoder(ChatRequest)


def decode_chat_request(body: bytes) -> ChatRequest:
    """Decode the body of a chat request.

    Raises
    ------
    RequestError
        The body is malformed or holds no messages.
    """
    try:
        chat = _decoder.decode(body)
    except (*DECODE_ERRORS, UnicodeDecodeError) as exc:
        raise RequestError(Result.BAD_REQUEST, str(exc)) from None
    if not chat.messages:
        raise RequestError(Result.BAD_REQUEST, "messages must not be empty")
    return chat


def fingerprint(body: bytes) -> int:
    """Return a hash of the body, by which a repeated request is recognised."""
    return hash64(body)


def prefix_hash(chat: ChatRequest) -> int:
    """Return a hash of the first message's start, for prefix-cache affinity.

    It is 0 if that message is too short, or is not plain text.
    """
    first = chat.messages[0].content
    if not isinstance(first, str) or len(first) < PREFIX_CHARS:
        return 0
    return hash64(first[:PREFIX_CHARS])


class ChatRun(RequestRun):
    """Relays one chat completion.

    A resumable answer that the caller does not stream is still requested as a stream,
    and is sent as a whole once it is complete.
    """

    services: ChatServices

    def __init__(self, *args: Any, chat: ChatRequest, body: bytes):
        super().__init__(*args)
        self._chat = chat
        self._collects_answer = self.ticket.resumable and not chat.stream
        if self._collects_answer:
            body = to_streaming_body(body)
        self._progress = CompletionProgress(
            body, limit=chat.token_limit, keeps_text=self.ticket.resumable
        )
        self._started_at_s = time.monotonic()

    async def try_upstream(self, upstream: str, address: str) -> None:
        """Send the request to one upstream and relay its answer."""
        request = UpstreamRequest(
            "POST", CHAT_PATH, self._headers(), self._progress.build_next_body()
        )
        client = self.services.client
        async with client.send(address, request, repeatable=True) as resp:
            self.may_have_run = True
            if resp.status != 200:
                await self._raise_error_response(resp)
            elif self._chat.stream or self._collects_answer:
                await self._relay_stream(upstream, resp)
            else:
                await self._relay_unstreamed(upstream, resp)

    def is_content_complete(self) -> bool:
        """Return whether all tokens were generated, so that no upstream is needed."""
        answer = self._progress
        return self.ticket.resumable and (answer.ended or answer.has_reached_limit)

    async def finish_answer(self) -> None:
        """Complete an answer whose tokens were all generated.

        A stream whose final event was relayed already is left as it is.
        """
        with _raise_caller_gone():
            if self._collects_answer:
                await self._send_collected_answer()
            elif not self._progress.ended:
                events = encode_final_events(self.ticket.id, self._chat.model)
                await self.exchange.write(events, more=False)

    # Requests to the upstream

    def _headers(self) -> dict[str, str]:
        return {
            "content-type": "application/json",
            "x-request-id": self.ticket.id,
            "x-priority": str(self.ticket.service_class.tier),
        }

    # Answers of the upstream

    async def _raise_error_response(self, resp: Any) -> None:
        """Raise UpstreamFailure for a server error, to retry it; else RequestError."""
        body = await read_response_body(resp)
        if resp.status >= 500:
            raise UpstreamFailure(Result.RETRY_BROKE, f"answered {resp.status}")
        raise_upstream_error(resp.status, body)

    async def _relay_unstreamed(self, upstream: str, resp: Any) -> None:
        body = await read_response_body(resp)
        tokens = count_completion_tokens(body)
        read_at_s = time.monotonic()
        self.pool.progress(self.ticket.id, upstream, tokens)
        with _raise_caller_gone():
            await self.exchange.send_answer(200, body)
        self._record_written_events(b"", tokens, read_at_s, ended=True)
        self._record_timings(upstream)

    async def _relay_stream(self, upstream: str, resp: Any) -> None:
        splitter = EventSplitter()
        unwritten_events = b""
        while data := await resp.content.readany():
            events = splitter.feed(data)
            if not events:
                continue
            tokens = count_tokens(events)
            done = has_done_event(events)
            if not tokens and not self._progress.tokens and not done:
                unwritten_events += events
                continue
            read_at_s = time.monotonic()
            self.pool.progress(self.ticket.id, upstream, tokens)
            if not self._collects_answer:
                await self._write_events(upstream, unwritten_events + events, last=done)
            self._record_written_events(
                unwritten_events + events, tokens, read_at_s, ended=done
            )
            unwritten_events = b""
            if done:
                if self._collects_answer:
                    await self.finish_answer_once()
                self._record_timings(upstream)
                return
            await self._pause_reading(resp)
        raise UpstreamFailure(Result.RETRY_BROKE, "the stream ended early")

    async def _send_collected_answer(self) -> None:
        body = self._progress.encode_completion(
            self.ticket.id, self._chat.model, created=int(time.time())
        )
        await self.exchange.send_answer(200, body)

    async def _pause_reading(self, resp: Any) -> None:
        """Pause reading for a moment before the next write.

        Tokens that arrive meanwhile stay in the kernel's socket buffer, and cost one
        read and one write together.
        """
        conn = resp.connection
        transport = conn.transport if conn else None
        if transport is None:
            return
        transport.pause_reading()
        try:
            await asyncio.sleep(WRITE_INTERVAL_S)
        finally:
            if not transport.is_closing():
                transport.resume_reading()

    async def _write_events(self, upstream: str, events: bytes, *, last: bool) -> None:
        with _raise_caller_gone():
            if not self.exchange.started:
                await self.exchange.send_headers(200, _STREAM_HEADERS)
            await self._write_with_backpressure(upstream, events, last=last)

    async def _write_with_backpressure(
        self, upstream: str, events: bytes, *, last: bool
    ) -> None:
        """Write events; mark the attempt as blocked while a slow caller delays that."""
        writing = self.exchange.write(events, more=not last)
        if not self.exchange.is_write_paused():
            await writing
            return
        self.pool.set_backpressure(self.ticket.id, upstream, True)
        try:
            await writing
        finally:
            self.pool.set_backpressure(self.ticket.id, upstream, False)

    def _record_written_events(
        self, events: bytes, tokens: int, read_at_s: Seconds, *, ended: bool
    ) -> None:
        self._progress.add(events, tokens, read_at_s, ended=ended)
        self.log.tokens = self._progress.tokens

    def _record_timings(self, upstream: str) -> None:
        first_token_at_s = self._progress.first_token_at_s
        if first_token_at_s is None:
            return
        time_between_tokens_s = self._progress.time_between_tokens_s()
        name = self.ticket.service_class.name
        metrics = self.services.metrics
        metrics.streamed(
            name, upstream, first_token_at_s - self._started_at_s, time_between_tokens_s
        )
        labels = {"class": name, "organisation": self.ticket.organisation}
        metrics.tokens.add(labels, self._progress.tokens)


@contextlib.contextmanager
def _raise_caller_gone() -> Iterator[None]:
    """Raise :class:`CallerGone` instead of the OSError of a failed write."""
    try:
        yield
    except OSError:
        raise CallerGone from None


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Completion(msgspec.Struct):
    usage: _Usage | None = None


_answer_decoder = msgspec.json.Decoder(_Completion)


def count_completion_tokens(body: bytes) -> int:
    """Return the number of generated tokens in a whole answer, from 1 to MAX_TOKENS.

    Raises
    ------
    UpstreamFailure
        The body is not a complete JSON object.
    """
    try:
        answer = _answer_decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise UpstreamFailure(Result.RETRY_BROKE, f"unreadable answer: {exc}") from exc
    tokens = answer.usage.completion_tokens if answer.usage else 1
    return max(1, min(tokens, MAX_TOKENS))


def raise_upstream_error(status: int, body: bytes) -> None:
    """Raise the RequestError for an error response that is not worth a retry."""
    try:
        message = msgspec.json.decode(body)["error"]["message"]
    except (*DECODE_ERRORS, KeyError, TypeError):
        message = f"the upstream answered {status}"
    raise RequestError(Result.REJECTED, str(message)[:500])
