"""Simulated model engine with continuous batching and a prompt prefix cache."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from shallotpoint.hashing import hash64
from shallotpoint.httpd import CrashToCut
from shallotpoint.standins.faults import (
    SimulatedCrash,
    UpstreamFaults,
    faults_route,
)
from shallotpoint.standins.timing import EngineTiming, PrefixCache, draw_answer_length
from shallotpoint.types import JSONObject, Seconds

_PREFIX_CHARS = 256  # start of the first message that identifies the cached prefix
_POLL_INTERVAL_S = 0.02  # for the end of a hang and for a closed connection
_MAX_GENERATIONS = 100  # kept for inspection by tests


@dataclass(frozen=True, slots=True)
class Generation:
    """The answer to a request; it repeats the words of the last user message.

    Attributes
    ----------
    words : tuple of str
        Words of the last user message.
    start_position : int
        Position of the first token in the answer; above 0 if the request continues a
        partial answer.
    count : int
        Number of tokens to generate.
    priority : int
        Requests with a lower number leave the engine's queue first.
    prefix_hash : int
        Hash of the start of the first message, or 0 if the message is too short to
        count as a prefix.
    """

    model: str
    words: tuple[str, ...]
    start_position: int
    count: int
    priority: int
    prefix_hash: int

    def token(self, index: int) -> str:
        """Return a token; all but the first of the answer start with a space."""
        position = self.start_position + index
        word = self.words[position % len(self.words)]
        return word if position == 0 else f" {word}"

    def text(self) -> str:
        """Return all tokens to generate as one text."""
        return "".join(self.token(i) for i in range(self.count))


def read_generation(body: JSONObject) -> Generation:
    """Return the generation that a chat completion request asks for.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If the request is malformed.
    """
    messages = body["messages"]
    if not messages:
        raise ValueError("messages must not be empty")
    partial = ""
    if body.get("continue_final_message") and messages[-1]["role"] == "assistant":
        partial = messages[-1]["content"]
        messages = messages[:-1]
    user_texts = [m["content"] for m in messages if m.get("role") == "user"]
    if not user_texts or not isinstance(user_texts[-1], str):
        raise ValueError("messages need a user message with text")
    content = msgspec.json.encode(messages)
    start = len(partial.split())
    max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
    count = (
        int(max_tokens) if max_tokens else max(0, draw_answer_length(content) - start)
    )
    text = str(messages[0].get("content"))
    long_enough = len(text) >= _PREFIX_CHARS
    prefix = hash64(text[:_PREFIX_CHARS]) if long_enough else 0
    return Generation(
        model=body["model"],
        words=tuple(user_texts[-1].split()) or ("...",),
        start_position=start,
        count=count,
        priority=int(body.get("priority", 0)),
        prefix_hash=prefix,
    )


class _Batch:
    """The batch slots of the engine and the queue for them.

    A free slot goes to the waiting request with the lowest priority number, and among
    equals to the one that has waited longest.
    """

    def __init__(self, size: int):
        self.size = size
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._arrivals = 0

    @property
    def waiting(self) -> int:
        return sum(1 for *_, fut in self._waiting if not fut.done())

    @contextlib.asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        if self.running >= self.size:
            fut: asyncio.Future = asyncio.get_running_loop().create_future()
            self._arrivals += 1
            heapq.heappush(self._waiting, (priority, self._arrivals, fut))
            try:
                await fut
            except asyncio.CancelledError:
                if fut.done() and not fut.cancelled():
                    self._release()  # the slot was given before the cancellation
                raise
        else:
            self.running += 1
        try:
            yield
        finally:
            self._release()

    def _release(self) -> None:
        while self._waiting:
            *_, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1


@dataclass(slots=True)
class OrderState:
    """The orders that the engine carried out, and the resulting state.

    Attributes
    ----------
    checks_fence : bool
        Whether orders with a fencing token below ``fence`` are rejected.
    fence : int
        Highest fencing token of any order so far.
    role : str
        Value of the last ``role`` order.
    loaded : dict
        Loaded models by name, with the value of the last ``load`` or ``adapter`` order;
        ``base`` if there was none.
    log : list of dict
        All orders that were carried out, oldest first.
    """

    checks_fence: bool = True
    fence: int = 0
    role: str = "serve"
    loaded: dict[str, str] = field(default_factory=dict)
    log: list[JSONObject] = field(default_factory=list)


class EngineStandin:
    """Answers chat completions with the words of the last user message.

    Parameters
    ----------
    models : tuple of str
        Names of the models that are loaded at the start.
    timing : EngineTiming, optional
        Generation speed, batch size and prefix cache size.
    checks_fence : bool
        Whether orders with an outdated fencing token are rejected.
    crash : Callable, optional
        Ends the process for the fault ``crash_on_word``; called with the time until the
        restart, in seconds.

    Attributes
    ----------
    started : int
        Number of generations that were accepted.
    generations : deque of Generation
        The most recent of them.
    """

    def __init__(
        self,
        *,
        models: tuple[str, ...] = ("standin",),
        timing: EngineTiming | None = None,
        checks_fence: bool = True,
        crash: Callable[[Seconds], None] | None = None,
    ):
        self.timing = timing or EngineTiming()
        self.faults = UpstreamFaults()
        self.orders = OrderState(checks_fence, loaded=dict.fromkeys(models, "base"))
        self.crash = crash
        self.started = 0
        self.generations: deque[Generation] = deque(maxlen=_MAX_GENERATIONS)
        self._batch = _Batch(self.timing.slots)
        self._cache = PrefixCache(self.timing.cache_size)
        self._load_reports: list[tuple[Seconds, JSONObject]] = []
        self.app = CrashToCut(
            Starlette(
                routes=[
                    Route(
                        "/v1/chat/completions", self._post_completion, methods=["POST"]
                    ),
                    Route("/v1/models", self._get_models),
                    Route("/load", self._get_load),
                    Route("/orders", self._get_orders, methods=["GET"]),
                    Route("/orders", self._post_order, methods=["POST"]),
                    faults_route(self.faults),
                ]
            ),
            SimulatedCrash,
        )

    async def _post_completion(self, request: Request) -> Response:
        if self.faults.refuse:
            return _error_response(503, "the engine refuses work")
        try:
            body = msgspec.json.decode(await request.body())
            generation = read_generation(body)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return _error_response(400, f"cannot read the request: {exc!r}")
        if generation.model not in self.orders.loaded:
            return _error_response(404, f"model {generation.model!r} is not loaded")
        self._crash_on_word(generation)
        self.started += 1
        self.generations.append(generation)
        tokens = self._generate(generation)
        if body.get("stream"):
            stream = self._stream_events(body, generation, tokens)
            return StreamingResponse(stream, media_type="text/event-stream")
        return await self._full_response(request, generation, tokens)

    def _crash_on_word(self, generation: Generation) -> None:
        word = self.faults.crash_on_word
        if word and word in generation.words:
            if self.crash is not None:
                self.crash(self.faults.restart_s)
            raise SimulatedCrash("request contains the word set as crash_on_word")

    async def _generate(self, generation: Generation) -> AsyncIterator[str]:
        """Yield the tokens at the speed that the size of the batch allows."""
        async with self._batch.slot(generation.priority):
            cached = self._cache.touch(generation.prefix_hash)
            await self._wait_while_hung()
            wait_s = self.timing.first_token_s(
                self._batch.running,
                cached=cached,
                slow_factor=self.faults.slow_factor,
            )
            for index in range(generation.count):
                await asyncio.sleep(wait_s)
                await self._wait_while_hung()
                self._crash_after_tokens(index)
                yield generation.token(index)
                wait_s = self.timing.token_time_s(
                    self._batch.running, slow_factor=self.faults.slow_factor
                )

            self._crash_after_tokens(generation.count)

    def _crash_after_tokens(self, generated: int) -> None:
        if 0 < self.faults.crash_after_tokens <= generated:
            raise SimulatedCrash("configured number of tokens generated")

    async def _wait_while_hung(self) -> None:
        while self.faults.hang:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _stream_events(
        self, body: JSONObject, generation: Generation, tokens: AsyncIterator[str]
    ) -> AsyncIterator[bytes]:
        base = _common_fields(generation)
        async with contextlib.aclosing(tokens):  # type: ignore[type-var]
            yield _sse_event(
                {**base, "choices": [_stream_choice({"role": "assistant"})]}
            )
            async for token in tokens:
                yield _sse_event(
                    {**base, "choices": [_stream_choice({"content": token})]}
                )
        yield _sse_event(
            {**base, "choices": [_stream_choice({}, finish_reason="stop")]}
        )
        if (body.get("stream_options") or {}).get("include_usage"):
            yield _sse_event({**base, "choices": [], "usage": _token_usage(generation)})
        yield b"data: [DONE]\n\n"

    async def _full_response(
        self, request: Request, generation: Generation, tokens: AsyncIterator[str]
    ) -> Response:
        collecting = asyncio.ensure_future(_join_tokens(tokens))
        try:
            while not collecting.done():
                await asyncio.wait({collecting}, timeout=_POLL_INTERVAL_S)
                if await request.is_disconnected():
                    raise SimulatedCrash("caller closed the connection")
            text = collecting.result()
        finally:
            collecting.cancel()
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {
            **_common_fields(generation),
            "object": "chat.completion",
            "choices": [choice],
            "usage": _token_usage(generation),
        }
        return Response(msgspec.json.encode(answer), media_type="application/json")

    async def _get_models(self, request: Request) -> JSONResponse:
        data = [{"id": name, "object": "model"} for name in self.orders.loaded]
        return JSONResponse({"object": "list", "data": data})

    async def _get_load(self, request: Request) -> JSONResponse:
        now = time.monotonic()
        report = {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "slots": self.timing.slots,
            "started": self.started,
        }
        self._load_reports.append((now, report))
        if not self.faults.report_lag_s:
            self._load_reports = self._load_reports[-1:]
            return JSONResponse(report)
        until_s = now - self.faults.report_lag_s
        old = [r for at_s, r in self._load_reports if at_s <= until_s]
        return JSONResponse(old[-1] if old else {**report, "running": 0, "waiting": 0})

    async def _get_orders(self, request: Request) -> JSONResponse:
        return JSONResponse(
            {
                "fence": self.orders.fence,
                "role": self.orders.role,
                "loaded": self.orders.loaded,
                "log": self.orders.log,
            }
        )

    async def _post_order(self, request: Request) -> JSONResponse:
        order = await request.json()
        fence = int(order.get("fence", 0))
        if self.orders.checks_fence and fence < self.orders.fence:
            return JSONResponse({"error": "old fence"}, status_code=409)
        self.orders.fence = max(self.orders.fence, fence)
        self.orders.log.append(order)
        if order["kind"] == "role":
            self.orders.role = order["value"]
        elif order["kind"] == "unload":
            self.orders.loaded.pop(order["model"], None)
        else:
            self.orders.loaded[order["model"]] = order.get("value") or "base"
        return JSONResponse({"loaded": self.orders.loaded, "role": self.orders.role})


async def _join_tokens(tokens: AsyncIterator[str]) -> str:
    async with contextlib.aclosing(tokens):  # type: ignore[type-var]
        return "".join([token async for token in tokens])


def _error_response(status: int, message: str) -> JSONResponse:
    error = {"message": message, "type": "engine_error", "code": status}
    return JSONResponse({"error": error}, status_code=status)


def _sse_event(data: Any) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _stream_choice(
    delta: JSONObject, *, finish_reason: str | None = None
) -> JSONObject:
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def _common_fields(generation: Generation) -> JSONObject:
    return {
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": generation.model,
    }


def _token_usage(generation: Generation) -> JSONObject:
    prompt = len(generation.words)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": generation.count,
        "total_tokens": prompt + generation.count,
    }
